"""Client of the platform's key-value service, over HTTP and JSON."""

from dataclasses import dataclass
from typing import NewType, Protocol, TypeVar
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result

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
"""HTTP status."""

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
    """What a watch saw up to a revision; empty when its time ran out."""

    changes: tuple[StoreChange, ...]
    revision: Revision


class Store(Protocol):
    """What the product asks of the platform's key-value service."""

    async def get(self, key: str) -> Result[StoreValue | None, StoreFault]:
        """Return a key's value, or None when it is absent."""
        ...

    async def list(self, prefix: str) -> Result[StoreListing, StoreFault]:
        """Return all values below a prefix."""
        ...

    async def swap(
        self, key: str, value: str, expected: Revision, lease: LeaseId | None = None
    ) -> Result[Revision, StoreFault]:
        """Write if the key is at ``expected`` (0: absent)."""
        ...

    async def delete(self, key: str, expected: Revision) -> Result[None, StoreFault]:
        """Delete if the key is at ``expected``."""
        ...

    async def grant(self, ttl_s: float) -> Result[LeaseId, StoreFault]:
        """Return a new lease; keys written under it go when it lapses."""
        ...

    async def renew(self, lease: LeaseId) -> Result[None, StoreFault]:
        """Start a lease's time anew."""
        ...

    async def revoke(self, lease: LeaseId) -> Result[None, StoreFault]:
        """End a lease and delete its keys."""
        ...

    async def watch(
        self, prefix: str, after: Revision, timeout_s: float
    ) -> Result[WatchBatch, StoreFault]:
        """Wait for changes below a prefix later than a revision."""
        ...


class _SwapBody(msgspec.Struct):
    value: str
    expected: int
    lease: str | None = None


class _Written(msgspec.Struct):
    revision: Revision


class _Granted(msgspec.Struct):
    lease: LeaseId


class _Granting(msgspec.Struct):
    ttl_s: float


class HttpStore:
    """The store over HTTP; any of its addresses will do.

    Args:
        client: Sends the requests.
        addresses: Tried in turn when one cannot be reached.
        timeout_s: Longest wait for an answer, but for watches.
    """

    def __init__(
        self, client: HttpClient, addresses: tuple[Address, ...], timeout_s: float = 2.0
    ) -> None:
        self.calls = 0
        self._client = client
        self._addresses = addresses
        self._timeout_s = timeout_s
        self._current = 0

    async def get(self, key: str) -> Result[StoreValue | None, StoreFault]:
        """See :meth:`Store.get`."""
        answer = await self._call("GET", f"/kv/{quote(key)}")
        if isinstance(answer, Err):
            return answer
        if answer.ok_value.status == _NOT_FOUND:
            return Ok(None)
        return _decode(answer, StoreValue)

    async def list(self, prefix: str) -> Result[StoreListing, StoreFault]:
        """See :meth:`Store.list`."""
        answer = await self._call("GET", f"/kv?prefix={quote(prefix, safe='')}")
        return _decode(answer, StoreListing)

    async def swap(
        self, key: str, value: str, expected: Revision, lease: LeaseId | None = None
    ) -> Result[Revision, StoreFault]:
        """See :meth:`Store.swap`."""
        body = msgspec.json.encode(_SwapBody(value, expected, lease))
        answer = await self._call("PUT", f"/kv/{quote(key)}", body)
        return _decode(answer, _Written).map(lambda written: written.revision)

    async def delete(self, key: str, expected: Revision) -> Result[None, StoreFault]:
        """See :meth:`Store.delete`."""
        answer = await self._call("DELETE", f"/kv/{quote(key)}?expected={expected}")
        return answer.map(lambda _: None)

    async def grant(self, ttl_s: float) -> Result[LeaseId, StoreFault]:
        """See :meth:`Store.grant`."""
        answer = await self._call(
            "POST", "/leases", msgspec.json.encode(_Granting(ttl_s))
        )
        return _decode(answer, _Granted).map(lambda granted: granted.lease)

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
        answer = await self._call("GET", f"/watch?{query}", wait_s=timeout_s)
        return _decode(answer, WatchBatch)

    async def _call(
        self, method: str, target: str, body: bytes = b"", wait_s: float = 0.0
    ) -> "Result[_StoreAnswer, StoreFault]":
        self.calls += 1
        address = self._addresses[self._current]
        headers = Headers.of(content_type="application/json")
        request = Request(method, target, headers, body)
        try:
            status, data = await self._client.fetch(
                address, request, self._timeout_s + wait_s
            )
        except TransportError as error:
            self._current = (self._current + 1) % len(self._addresses)
            if error.failure is TransportFailure.NOT_SENT:
                return Err(StoreFault.UNAVAILABLE)
            return Err(StoreFault.UNKNOWN)
        match status:
            case 200 | 404:
                return Ok(_StoreAnswer(status, data))
            case 412:
                return Err(StoreFault.CONFLICT)
            case 429:
                return Err(StoreFault.LIMITED)
            case 503:
                return Err(StoreFault.UNAVAILABLE)
            case _:
                return Err(StoreFault.UNKNOWN)


@dataclass(frozen=True, slots=True)
class _StoreAnswer:
    status: int
    body: bytes


def _decode(
    answer: Result[_StoreAnswer, StoreFault], kind: type[_T]
) -> Result[_T, StoreFault]:
    if isinstance(answer, Err):
        return answer
    if answer.ok_value.status == _NOT_FOUND:
        return Err(StoreFault.NO_LEASE)
    try:
        return Ok(msgspec.json.decode(answer.ok_value.body, type=kind))
    except msgspec.MsgspecError:
        return Err(StoreFault.UNKNOWN)


def _require_lease(
    answer: Result[_StoreAnswer, StoreFault],
) -> Result[None, StoreFault]:
    if isinstance(answer, Err):
        return answer
    if answer.ok_value.status == _NOT_FOUND:
        return Err(StoreFault.NO_LEASE)
    return Ok(None)
