"""Client of the platform's key-value service, over HTTP and JSON.

:class:`Store` lists the operations that the system needs; the classes that
work with the store depend on it and not on the HTTP client.
"""

from dataclasses import dataclass
from typing import NewType, Protocol, TypeVar
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result

from zinniaspool.core.decoding import DECODE_ERRORS
from zinniaspool.core.ids import Address, Revision
from zinniaspool.core.storage import StoreFault
from zinniaspool.http import (
    Headers,
    HttpClient,
    Request,
    TransportError,
    TransportFailure,
)

__all__ = [
    "HttpStore",
    "LeaseId",
    "Store",
    "StoreChange",
    "StoreFault",
    "StoreListing",
    "StoreValue",
]

LeaseId = NewType("LeaseId", str)

_NOT_FOUND = 404
"""HTTP status of a key or lease that does not exist."""

_T = TypeVar("_T")


@dataclass(frozen=True, slots=True)
class StoreValue:
    """One key's value and the revision of its last write."""

    key: str
    value: str
    revision: Revision


@dataclass(frozen=True, slots=True)
class StoreListing:
    """All values below a prefix, as of one revision of the whole store."""

    values: tuple[StoreValue, ...]
    revision: Revision


@dataclass(frozen=True, slots=True)
class StoreChange:
    """One change that a watch reports; ``value`` is None for a deletion."""

    key: str
    value: str | None
    revision: Revision


@dataclass(frozen=True, slots=True)
class WatchBatch:
    """Changes that a watch saw up to a revision; empty after its timeout."""

    changes: tuple[StoreChange, ...]
    revision: Revision


class Store(Protocol):
    """Operations of the platform's key-value service that this system uses."""

    async def get(self, key: str) -> Result[StoreValue | None, StoreFault]:
        """Return a key's value, or None if the key is absent."""
        ...

    async def list(self, prefix: str) -> Result[StoreListing, StoreFault]:
        """Return all values below a prefix."""
        ...

    async def swap(
        self, key: str, value: str, expected: Revision, lease: LeaseId | None = None
    ) -> Result[Revision, StoreFault]:
        """Write a value if the key is at revision ``expected`` (0: absent).

        With ``lease``, the key is deleted when the lease expires. Returns the
        revision of the write.
        """
        ...

    async def delete(self, key: str, expected: Revision) -> Result[None, StoreFault]:
        """Delete a key if it is at revision ``expected``."""
        ...

    async def grant(self, ttl_s: float) -> Result[LeaseId, StoreFault]:
        """Create a lease; keys written under it go when it expires."""
        ...

    async def renew(self, lease: LeaseId) -> Result[None, StoreFault]:
        """Restart a lease's time to live."""
        ...

    async def revoke(self, lease: LeaseId) -> Result[None, StoreFault]:
        """End a lease and delete its keys."""
        ...

    async def watch(
        self, prefix: str, after: Revision, timeout_s: float
    ) -> Result[WatchBatch, StoreFault]:
        """Wait for changes below a prefix that are later than a revision."""
        ...


class _SwapBody(msgspec.Struct):
    value: str
    expected: int
    lease: str | None = None


class _SwapResult(msgspec.Struct):
    revision: Revision


class _GrantResult(msgspec.Struct):
    lease: LeaseId


class _GrantBody(msgspec.Struct):
    ttl_s: float


class HttpStore:
    """Calls the store over HTTP at any of its addresses.

    Attributes:
        calls: Number of requests so far.

    Args:
        client: Sends the requests.
        addresses: Addresses of the store, all equivalent. After a transport
            failure the next call goes to the next address.
        timeout_s: Seconds to wait for a response; a watch adds its own
            timeout.
    """

    def __init__(
        self, client: HttpClient, addresses: tuple[Address, ...], timeout_s: float = 2.0
    ) -> None:
        self.calls = 0
        self._client = client
        self._addresses = addresses
        self._timeout_s = timeout_s
        self._address_index = 0

    async def get(self, key: str) -> Result[StoreValue | None, StoreFault]:
        """See :meth:`Store.get`."""
        response = await self._call("GET", f"/kv/{quote(key)}")
        if isinstance(response, Err):
            return response
        if response.ok_value.status == _NOT_FOUND:
            return Ok(None)
        return _decode(response, StoreValue)

    async def list(self, prefix: str) -> Result[StoreListing, StoreFault]:
        """See :meth:`Store.list`."""
        response = await self._call("GET", f"/kv?prefix={quote(prefix, safe='')}")
        return _decode(response, StoreListing)

    async def swap(
        self, key: str, value: str, expected: Revision, lease: LeaseId | None = None
    ) -> Result[Revision, StoreFault]:
        """See :meth:`Store.swap`."""
        body = msgspec.json.encode(_SwapBody(value, expected, lease))
        response = await self._call("PUT", f"/kv/{quote(key)}", body)
        return _decode(response, _SwapResult).map(lambda result: result.revision)

    async def delete(self, key: str, expected: Revision) -> Result[None, StoreFault]:
        """See :meth:`Store.delete`."""
        response = await self._call("DELETE", f"/kv/{quote(key)}?expected={expected}")
        return response.map(lambda _: None)

    async def grant(self, ttl_s: float) -> Result[LeaseId, StoreFault]:
        """See :meth:`Store.grant`."""
        response = await self._call(
            "POST", "/leases", msgspec.json.encode(_GrantBody(ttl_s))
        )
        return _decode(response, _GrantResult).map(lambda result: result.lease)

    async def renew(self, lease: LeaseId) -> Result[None, StoreFault]:
        """See :meth:`Store.renew`."""
        return _require_lease(await self._call("POST", f"/leases/{lease}/renew"))

    async def revoke(self, lease: LeaseId) -> Result[None, StoreFault]:
        """See :meth:`Store.revoke`."""
        return _require_lease(await self._call("DELETE", f"/leases/{lease}"))

    async def watch(
        self, prefix: str, after: Revision, timeout_s: float
    ) -> Result[WatchBatch, StoreFault]:
        """See :meth:`Store.watch`."""
        query = f"prefix={quote(prefix, safe='')}&after={after}&timeout_s={timeout_s}"
        response = await self._call("GET", f"/watch?{query}", wait_s=timeout_s)
        return _decode(response, WatchBatch)

    async def _call(
        self, method: str, target: str, body: bytes = b"", wait_s: float = 0.0
    ) -> "Result[_StoreResponse, StoreFault]":
        self.calls += 1
        address = self._addresses[self._address_index]
        headers = Headers.of(content_type="application/json")
        request = Request(method, target, headers, body)
        try:
            status, data = await self._client.fetch(
                address, request, self._timeout_s + wait_s
            )
        except TransportError as error:
            self._address_index = (self._address_index + 1) % len(self._addresses)
            if error.failure is TransportFailure.NOT_SENT:
                return Err(StoreFault.UNAVAILABLE)
            return Err(StoreFault.UNKNOWN)
        match status:
            case 200 | 404:
                return Ok(_StoreResponse(status, data))
            case 412:
                return Err(StoreFault.CONFLICT)
            case 429:
                return Err(StoreFault.LIMITED)
            case 503:
                return Err(StoreFault.UNAVAILABLE)
            case _:
                return Err(StoreFault.UNKNOWN)


@dataclass(frozen=True, slots=True)
class _StoreResponse:
    status: int
    body: bytes


def _decode(
    response: Result[_StoreResponse, StoreFault], kind: type[_T]
) -> Result[_T, StoreFault]:
    if isinstance(response, Err):
        return response
    if response.ok_value.status == _NOT_FOUND:
        return Err(StoreFault.NO_LEASE)
    try:
        return Ok(msgspec.json.decode(response.ok_value.body, type=kind))
    except DECODE_ERRORS:
        return Err(StoreFault.UNKNOWN)


def _require_lease(
    response: Result[_StoreResponse, StoreFault],
) -> Result[None, StoreFault]:
    if isinstance(response, Err):
        return response
    if response.ok_value.status == _NOT_FOUND:
        return Err(StoreFault.NO_LEASE)
    return Ok(None)
