"""Kept answers of a leaving process, for the next owners of its slots."""

from collections import defaultdict
from collections.abc import Iterable

import msgspec
import structlog
from result import Err

from zinniaspool.core.errors import Fault
from zinniaspool.core.ids import Revision
from zinniaspool.core.requests.claims import find_slot
from zinniaspool.core.requests.keys import Fingerprint, KeyHash, StoredOutcome
from zinniaspool.entry.sinks import EndedCall, KeptAnswer
from zinniaspool.store import Store, settle_swap

__all__ = ["AnswerHandover"]

_log = structlog.get_logger(__name__)
_MOST_PAGE_BYTES = 400 * 1024
"""Bytes of one page in the store, below its limit of a megabyte."""


class _KeptRecord(msgspec.Struct, frozen=True, array_like=True):
    key: KeyHash
    fingerprint: Fingerprint
    status: int
    content_type: str
    body: bytes
    fault: Fault | None


class _Page(msgspec.Struct, frozen=True):
    """The answers of one slot's keys, the newest last."""

    tag: str
    records: tuple[_KeptRecord, ...]


class AnswerHandover:
    """Leaves answers in the store and finds those that others left.

    Claims alone tell the next owner of a slot that a request was begun. After
    a planned stop its callers would read "outcome unknown" for answers that
    were kept until a moment ago; so a leaving process writes them down, in
    one value a slot.

    Args:
        store: The platform's store.
        own: Unique to this start of the process.
    """

    def __init__(self, store: Store, own: str) -> None:
        self._store = store
        self._own = own
        self._written = 0

    async def leave(self, kept: Iterable[StoredOutcome[EndedCall]]) -> None:
        """Write the answers down, as far as the store takes them."""
        pages: dict[int, list[_KeptRecord]] = defaultdict(list)
        for each in kept:
            record = _make_record(each)
            if record is not None:
                pages[find_slot(each.key)].append(record)
        for slot, records in pages.items():
            await self._write(slot, records)

    async def find(
        self, slot: int, key: KeyHash, fingerprint: Fingerprint
    ) -> EndedCall | None:
        """Return how a request ended, if a process that left wrote it down."""
        found = await self._store.get(_make_key(slot))
        if isinstance(found, Err) or found.ok_value is None:
            return None
        for record in _decode(found.ok_value.value):
            if (record.key, record.fingerprint) == (key, fingerprint):
                return _read_record(record)
        return None

    async def _write(self, slot: int, records: list[_KeptRecord]) -> None:
        found = await self._store.get(_make_key(slot))
        if isinstance(found, Err):
            _log.warning("answers-not-left", slot=slot, fault=found.err_value.value)
            return
        value, expected = found.ok_value, Revision(0)
        merged = {record.key: record for record in records}
        if value is not None:
            expected = value.revision
            earlier = {record.key: record for record in _decode(value.value)}
            merged = {**earlier, **merged}
        self._written += 1
        page = _Page(f"{self._own}:{self._written}", _shorten(list(merged.values())))
        written = await settle_swap(
            self._store,
            _make_key(slot),
            msgspec.json.encode(page).decode(),
            expected,
        )
        if isinstance(written, Err):
            _log.warning("answers-not-left", slot=slot, fault=written.err_value.value)


def _make_key(slot: int) -> str:
    return f"claims/answers/{slot}"


def _decode(value: str) -> tuple[_KeptRecord, ...]:
    try:
        return msgspec.json.decode(value, type=_Page).records
    except msgspec.MsgspecError:
        return ()


def _shorten(records: list[_KeptRecord]) -> tuple[_KeptRecord, ...]:
    """Return the newest records that a page has room for."""
    left, kept = _MOST_PAGE_BYTES, []
    for record in reversed(records):
        left -= len(record.body) + len(record.content_type) + 100
        if left < 0:
            break
        kept.append(record)
    return tuple(reversed(kept))


def _make_record(kept: StoredOutcome[EndedCall]) -> _KeptRecord | None:
    ended = kept.outcome
    if ended.fault is not None:
        return _KeptRecord(kept.key, kept.fingerprint, 0, "", b"", ended.fault)
    if ended.answer is None or ended.answer.body is None:
        return None
    answer = ended.answer
    return _KeptRecord(
        kept.key,
        kept.fingerprint,
        answer.status,
        answer.content_type,
        answer.body or b"",
        None,
    )


def _read_record(record: _KeptRecord) -> EndedCall:
    if record.fault is not None:
        return EndedCall(None, record.fault)
    return EndedCall(KeptAnswer(record.status, record.content_type, record.body))
