"""Client of the platform's key-value store."""

import json
from base64 import b64decode, b64encode
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from http import HTTPStatus
from typing import Annotated, Any, TypeVar
from urllib.parse import quote

import msgspec
import structlog
from result import Err, Ok, Result

from zinniaspool.core.decoding import DECODE_ERRORS, decode_json, parse_count, shorten
from zinniaspool.core.fleet import HOLDER_KEY, MirrorEvent, StoredItem
from zinniaspool.core.generations import (
    MAX_GENERATION,
    MAX_NUMBER,
    find_generation,
    find_number,
    make_revision,
)
from zinniaspool.core.ids import Address, Revision
from zinniaspool.core.storage import (
    KeyWrite,
    LeaseNumber,
    RangeResult,
    StoreCall,
    StoreFault,
    WatchResult,
)
from zinniaspool.http import (
    Headers,
    HttpClient,
    Request,
    TransportError,
    TransportFailure,
)

__all__ = ["KvStore"]

CALL_TIMEOUT_S = 0.8
"""Longest wait for an answer, in seconds. The store answers within
milliseconds; a slow store takes about sixty times as long and still answers in
time."""

PAGE_TIMEOUT_S = 2.2
"""Longest wait for a page of up to a megabyte, in seconds. After a power loss
of 195 VMs, all of them request about 0.3 MB at the same moment, which takes
the store's link a second. If processes gave up too soon and requested the
pages again, those would fill the link for many seconds and hardly any process
would get one."""

_GENERATION = "store-era"

_LEASE_BITS = 64
"""Bits of the store's own number in a lease, which stays in this process."""

_log = structlog.get_logger(__name__)
_T = TypeVar("_T")


# A larger number would reach into the generation of a revision.
_Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]


class _Item(msgspec.Struct):
    key: str
    revision: _Number
    # Base64 text, unless another writer's value is of another form.
    value: Any = ""
    # Only in the events of a watch: the key was removed at this revision.
    removed: bool = False


class _Range(msgspec.Struct, rename="kebab"):
    items: list[_Item]
    as_of: _Number
    truncated: bool = False


class _Watch(msgspec.Struct, rename="kebab"):
    events: list[_Item]
    as_of: _Number


class _Written(msgspec.Struct):
    revision: _Number


class _Granted(msgspec.Struct):
    lease: int


@dataclass(frozen=True, slots=True)
class _Answer:
    """An answer of the store.

    Attributes:
        status: HTTP status.
        body: Its body.
        generation: The store's generation that gave it.
    """

    status: int
    body: bytes
    generation: int


class KvStore:
    """Implements ``FleetStore`` by calls to the platform's store.

    If no answer to a write arrives, it is unknown whether the store applied
    it, and the store may still apply it seconds later. Such a call returns
    ``UNKNOWN``, and its caller must read the key to find out.

    Revisions and leases of an earlier generation of the store are void: the
    store has most likely given out their numbers again.

    Args:
        client: Sends the requests.
        address: The store's address.

    Attributes:
        generation: The latest generation of the store that an answer named.
    """

    def __init__(self, client: HttpClient, address: Address) -> None:
        self.calls: Counter[tuple[StoreCall, str]] = Counter()
        self.generation = 0
        self._knows_generation = False
        self._client = client
        self._address = address

    async def get(self, key: str) -> Result[StoredItem | None, StoreFault]:
        """Return a key's item, or None when it is absent."""
        target = f"/v1/kv-key?key={quote(key, safe='')}"
        answer = await self._call(StoreCall.GET, "GET", target)
        if isinstance(answer, Err):
            return answer
        found = answer.ok_value
        if found.status == HTTPStatus.NOT_FOUND:
            return Ok(None)
        return _decode(found.body, _Item).map(
            lambda raw: _decode_item(raw, found.generation)
        )

    async def probe(self) -> bool:
        """Return whether the store answers at all."""
        return not isinstance(await self.get(HOLDER_KEY), Err)

    async def read(self, prefix: str) -> Result[RangeResult, StoreFault]:
        """Return all items below a prefix, page by page.

        The pages are not a snapshot. A watch from the revision of the first
        page returns what changed between them.
        """
        items: list[StoredItem] = []
        as_of: Revision | None = None
        after = ""
        while True:
            target = f"/v1/kv-range?path-prefix={quote(prefix, safe='')}"
            if after:
                target += f"&after={quote(after, safe='')}"
            answer = await self._call(
                StoreCall.RANGE, "GET", target, timeout_s=PAGE_TIMEOUT_S
            )
            if isinstance(answer, Err):
                return answer
            page = _decode_rows(answer.ok_value.body, _Range, "items")
            if isinstance(page, Err):
                return page
            found, generation = page.ok_value, answer.ok_value.generation
            if as_of is None:
                as_of = make_revision(generation, found.as_of)
            elif generation != find_generation(as_of):
                # The store was restored between two pages.
                return Err(StoreFault.UNKNOWN)
            items += [_decode_item(raw, generation) for raw in found.items]
            if not found.truncated:
                return Ok(RangeResult(items, as_of))
            if not found.items:
                return Err(StoreFault.UNKNOWN)
            after = found.items[-1].key

    async def watch(
        self,
        prefix: str,
        after: Revision,
        wait_s: float,
        overdue_s: float = CALL_TIMEOUT_S,
    ) -> Result[WatchResult, StoreFault]:
        """Wait for changes below a prefix later than a revision.

        Args:
            prefix: Prefix of the keys.
            after: The revision.
            wait_s: How long the store may wait for a change, in seconds.
            overdue_s: How much later its answer may arrive, in seconds.
        """
        generations = _list_generations([after])
        if self._is_void(generations):
            return Ok(WatchResult([], after, complete=False))
        wait_ms = max(1, int(wait_s * 1000))
        target = (
            f"/v1/kv-watch?path-prefix={quote(prefix, safe='')}"
            f"&after={find_number(after)}&wait-ms={wait_ms}"
        )
        answer = await self._call(
            StoreCall.WATCH, "GET", target, timeout_s=wait_s + overdue_s
        )
        if isinstance(answer, Err):
            return answer
        found = answer.ok_value
        if found.status == HTTPStatus.GONE or generations - {found.generation}:
            return Ok(WatchResult([], after, complete=False))
        return _decode_rows(found.body, _Watch, "events").map(
            lambda watch: _decode_watch(watch, found.generation)
        )

    async def commit(
        self,
        expected: Sequence[tuple[str, Revision]],
        writes: Sequence[KeyWrite] = (),
        removals: Sequence[str] = (),
    ) -> Result[Revision, StoreFault]:
        """Write and remove keys if all expected keys have their revisions.

        Args:
            expected: Keys and their revisions; 0 for an absent key.
            writes: Keys to write, with their values and leases.
            removals: Keys to remove.
        """
        expected_in = _list_generations(revision for _, revision in expected)
        granted_in = _list_lease_generations(write.lease for write in writes)
        if self._is_void(expected_in):
            return Err(StoreFault.CONFLICT)
        if self._is_void(granted_in):
            return Err(StoreFault.NO_LEASE)
        body = {
            "expected": [
                {"key": key, "revision": find_number(rev)} for key, rev in expected
            ],
            "set-keys": [
                {
                    "key": write.key,
                    "value": b64encode(write.value).decode(),
                    "lease": _find_lease_number(write.lease),
                }
                for write in writes
            ],
            "remove": list(removals),
        }
        answer = await self._call(StoreCall.COMMIT, "POST", "/v1/kv-txn", body)
        if isinstance(answer, Err):
            return answer
        found = answer.ok_value
        if found.status == HTTPStatus.NOT_FOUND:
            return Err(StoreFault.NO_LEASE)
        if (expected_in | granted_in) - {found.generation}:
            # The store was restored since, and the write may have hit a
            # revision or a lease that was given out again.
            return Err(StoreFault.UNKNOWN)
        return _decode(found.body, _Written).map(
            lambda written: make_revision(found.generation, written.revision)
        )

    async def grant(self, ttl_s: float) -> Result[LeaseNumber, StoreFault]:
        """Return a new lease, whose end removes the keys written under it."""
        body = {"ttl-ms": int(ttl_s * 1000)}
        answer = await self._call(StoreCall.GRANT, "POST", "/v1/kv-lease", body)
        if isinstance(answer, Err):
            return answer
        generation = answer.ok_value.generation
        return _decode(answer.ok_value.body, _Granted).map(
            lambda grant: _make_lease(generation, grant.lease)
        )

    async def renew(self, lease: LeaseNumber) -> Result[None, StoreFault]:
        """Renew a lease for its full lifetime."""
        if self._is_void(_list_lease_generations([lease])):
            return Err(StoreFault.NO_LEASE)
        target = f"/v1/kv-keep/{_find_lease_number(lease)}"
        answer = await self._call(StoreCall.RENEW, "POST", target, {})
        return _require_lease(answer, lease)

    async def end_lease(self, lease: LeaseNumber) -> Result[None, StoreFault]:
        """End a lease and remove its keys."""
        if self._is_void(_list_lease_generations([lease])):
            return Err(StoreFault.NO_LEASE)
        target = f"/v1/kv-lease-end/{_find_lease_number(lease)}"
        answer = await self._call(StoreCall.END_LEASE, "DELETE", target)
        return _require_lease(answer, lease)

    def _is_void(self, generations: set[int]) -> bool:
        """Tell whether anything is of an earlier generation of the store."""
        return any(generation < self.generation for generation in generations)

    def _record_generation(self, generation: int) -> None:
        if self._knows_generation and generation > self.generation:
            _log.warning(
                "store-restored", generation=generation, before=self.generation
            )
        self._knows_generation = True
        self.generation = max(self.generation, generation)

    async def _call(
        self,
        kind: StoreCall,
        method: str,
        target: str,
        body: object = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Result[_Answer, StoreFault]:
        data = b"" if body is None else msgspec.json.encode(body)
        headers = Headers.of(content_type="application/json") if data else Headers()
        request = Request(method, target, headers, data)
        try:
            status, fields, answer = await self._client.fetch_with_headers(
                self._address, request, timeout_s
            )
        except TransportError as error:
            fault = StoreFault.UNKNOWN
            if error.failure is TransportFailure.NOT_SENT:
                fault = StoreFault.UNAVAILABLE
            self.calls[kind, fault.value] += 1
            return Err(fault)
        named = _parse_generation(fields)
        if named is not None:
            self._record_generation(named)
        rejection = _FAULTS.get(status)
        if rejection is None and status not in _DECODED_STATUSES:
            rejection = StoreFault.UNKNOWN
        self.calls[kind, "ok" if rejection is None else rejection.value] += 1
        if rejection is not None:
            return Err(rejection)
        return Ok(_Answer(status, answer, self.generation if named is None else named))


_DECODED_STATUSES = frozenset({200, 404, 410})
_FAULTS = {
    412: StoreFault.CONFLICT,
    429: StoreFault.LIMITED,
    503: StoreFault.UNAVAILABLE,
}


def _parse_generation(headers: Headers) -> int | None:
    """Return the store's generation that an answer names, or None.

    One that a revision can't hold counts as not named.
    """
    text = headers.get(_GENERATION) or ""
    generation = parse_count(text)
    if generation is not None and generation > MAX_GENERATION:
        _log.error("generation-unusable", generation=generation)
        return None
    return generation


def _decode(body: bytes, kind: type[_T]) -> Result[_T, StoreFault]:
    try:
        return Ok(msgspec.json.decode(body, type=kind))
    except DECODE_ERRORS:
        return Err(StoreFault.UNKNOWN)


def _decode_rows(body: bytes, kind: type[_T], field: str) -> Result[_T, StoreFault]:
    """Decode an answer with rows; leave out those that can't be decoded.

    Any writer chooses keys and values. If one of them failed the whole answer,
    no process could read any key.
    """
    decoded = decode_json(body, kind)
    if not isinstance(decoded, Err):
        return Ok(decoded.ok_value)
    try:
        # Unlike msgspec, the standard library decodes any text of JSON.
        answer = json.loads(body, parse_int=_parse_json_integer)
        answer[field] = [row for row in answer[field] if _is_usable(row)]
        return Ok(msgspec.convert(answer, kind))
    except (*DECODE_ERRORS, ValueError, TypeError, KeyError):
        _log.warning("store-answer-unreadable", reason=decoded.err_value)
        return Err(StoreFault.UNKNOWN)


def _parse_json_integer(text: str) -> int | float:
    number = parse_count(text)
    return float(text) if number is None else number


def _is_usable(row: object) -> bool:
    """Return whether a row has a key and a revision that can be passed on."""
    try:
        msgspec.convert(row, _Item).key.encode()
    except DECODE_ERRORS as error:
        key = row.get("key") if isinstance(row, dict) else None
        _log.warning(
            "store-row-unreadable",
            key=shorten(ascii(key)),
            reason=shorten(ascii(str(error))),
        )
        return False
    return True


def _decode_item(raw: _Item, generation: int) -> StoredItem:
    """Return an item; its value is empty if the row's is no base64.

    No decoder accepts an empty value, and the key's presence and revision are
    needed to replace it.
    """
    try:
        value = b64decode(raw.value, validate=True)
    except (ValueError, TypeError):
        value = b""
    return StoredItem(raw.key, value, make_revision(generation, raw.revision))


def _decode_watch(watch: _Watch, generation: int) -> WatchResult:
    events = []
    for raw in watch.events:
        item = _decode_item(raw, generation)
        value = None if raw.removed else item.value
        events.append(MirrorEvent(raw.key, value, item.revision))
    return WatchResult(events, make_revision(generation, watch.as_of))


def _list_generations(revisions: Iterable[Revision]) -> set[int]:
    """Return the generations of revisions, without those of absent keys."""
    return {find_generation(revision) for revision in revisions if revision}


def _make_lease(generation: int, number: int) -> LeaseNumber:
    """Return a lease with the generation of the store that granted it."""
    return LeaseNumber(generation << _LEASE_BITS | number)


def _find_lease_number(lease: LeaseNumber) -> int:
    return lease & ((1 << _LEASE_BITS) - 1)


def _list_lease_generations(leases: Iterable[LeaseNumber]) -> set[int]:
    """Return the generations of leases, without that of no lease."""
    return {lease >> _LEASE_BITS for lease in leases if lease}


def _require_lease(
    answer: Result[_Answer, StoreFault], lease: LeaseNumber
) -> Result[None, StoreFault]:
    if isinstance(answer, Err):
        return answer
    found = answer.ok_value
    is_other = _list_lease_generations([lease]) != {found.generation}
    if found.status == HTTPStatus.NOT_FOUND or is_other:
        return Err(StoreFault.NO_LEASE)
    return Ok(None)
