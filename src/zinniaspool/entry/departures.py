"""Detects that the process of a leaving plain service has ended."""

import asyncio

import structlog

from zinniaspool.core.ids import Address
from zinniaspool.core.requests import UpstreamPool, UpstreamState
from zinniaspool.entry.services import ServiceIndex

__all__ = ["DepartureDetector"]

_log = structlog.get_logger(__name__)
_CHECK_S = 0.25
"""Seconds that one check of a leaving upstream takes.

The time is short, since a leaving process may wait for its connections to end.
"""


class DepartureDetector:
    """Readmits an upstream once another process may be at its address.

    A leaving upstream is sent no requests, so no response shows that it is
    back: a plain service that is replaced at its own address would stay
    excluded forever. A refused connection shows that the process that
    announced its leaving no longer listens, and that any process that listens
    there later is another one. The detector sends no request to find out.

    A process may be replaced between two checks, so each check holds a
    connection open. The connection ends when the process ends. Its successor
    does not listen yet at that moment, so a second connection that is tried
    at once is refused. The end of a connection shows nothing by itself, since
    servers close idle connections.

    Args:
        index: Models and plain services.
    """

    def __init__(self, index: ServiceIndex) -> None:
        self._index = index

    async def run(self) -> None:
        """Check the leaving upstreams until cancelled."""
        while True:
            checks = [
                self._check(pool, state)
                for service in self._index.list_services()
                for pool in service.pools.values()
                for state in pool.list_leaving()
            ]
            await asyncio.gather(asyncio.sleep(_CHECK_S), *checks)

    async def _check(self, pool: UpstreamPool, state: UpstreamState) -> None:
        address = state.upstream.address
        ends_at = asyncio.get_running_loop().time() + _CHECK_S
        refused = await _probe_connection(address, ends_at)
        if refused or await _probe_connection(address, ends_at):
            pool.mark_ended(state, asyncio.get_running_loop().time())
            _log.info("upstream-ended", address=address)


async def _probe_connection(address: Address, ends_at: float) -> bool:
    """Hold a connection open until a time, or until the peer closes it.

    Returns:
        Whether the connection was refused.
    """
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout_at(ends_at):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                await reader.read(1)
            finally:
                writer.close()
    except ConnectionRefusedError:
        return True
    except TimeoutError:
        # The connection was held for the whole check, or the connection
        # attempt got no response.
        return False
    except OSError as error:
        _log.debug("upstream-look-failed", address=address, reason=str(error))
    return False
