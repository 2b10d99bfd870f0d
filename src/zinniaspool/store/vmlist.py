"""Client of the platform's list of live and leaving VMs.

The list lags behind the VMs by seconds.
"""

import msgspec
from result import Err, Ok, Result

from zinniaspool.core.decoding import DECODE_ERRORS
from zinniaspool.core.ids import Address
from zinniaspool.core.plans import VmListing
from zinniaspool.core.storage import StoreFault
from zinniaspool.http import HttpClient, Request, TransportError

__all__ = ["fetch_vm_list"]

_OK = 200
"""HTTP status of a successful request."""


async def fetch_vm_list(
    client: HttpClient, address: Address, timeout_s: float = 2.0
) -> Result[tuple[VmListing, ...], StoreFault]:
    """Return the platform's current list, which lags the VMs by seconds.

    Any failure, also a malformed response, is ``UNAVAILABLE``.
    """
    try:
        status, body = await client.fetch(address, Request("GET", "/vms"), timeout_s)
    except TransportError:
        return Err(StoreFault.UNAVAILABLE)
    if status != _OK:
        return Err(StoreFault.UNAVAILABLE)
    try:
        return Ok(msgspec.json.decode(body, type=tuple[VmListing, ...]))
    except DECODE_ERRORS:
        return Err(StoreFault.UNAVAILABLE)
