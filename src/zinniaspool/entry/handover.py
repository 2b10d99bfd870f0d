"""Outcomes that a leaving process stores for the next owners of its slots."""

from collections import defaultdict
from collections.abc import Iterable

import msgspec
import structlog
from result import Err

from zinniaspool.core.decoding import DECODE_ERRORS
from zinniaspool.core.errors import Fault
from zinniaspool.core.ids import Revision
from zinniaspool.core.requests.claims import find_slot
from zinniaspool.core.requests.keys import Fingerprint, KeyHash, StoredOutcome
from zinniaspool.entry.sinks import CallOutcome, StoredAnswer
from zinniaspool.store import Store, swap_and_confirm

__all__ = ["AnswerHandover"]

_log = structlog.get_logger(__name__)
_MAX_PAGE_BYTES = 400 * 1024
"""Maximum bytes of one page, below the store's limit of a megabyte."""


class _StoredRecord(msgspec.Struct, frozen=True, array_like=True):
    key: KeyHash
    fingerprint: Fingerprint
    status: int
    content_type: str
    body: bytes
    fault: Fault | None


class _Page(msgspec.Struct, frozen=True):
    """The stored outcomes of one slot's keys.

    Attributes:
        tag: Identifies the write, so that a writer that received no response
            can find out whether it took effect.
        records: The outcomes, newest last.
    """

    tag: str
    records: tuple[_StoredRecord, ...]


class AnswerHandover:
    """Stores outcomes for other processes and finds those they stored.

    Claims tell the next owner of a slot only that a request was begun. After
    a planned stop its callers would therefore read "outcome unknown", though
    the answers were stored in memory until the process ended. So a leaving
    process writes the outcomes to the platform's store, one value per slot.

    Args:
        store: The platform's store.
        writer_id: Identifies this incarnation of the process.
    """

    def __init__(self, store: Store, writer_id: str) -> None:
        self._store = store
        self._writer_id = writer_id
        self._write_count = 0

    async def store_outcomes(
        self, outcomes: Iterable[StoredOutcome[CallOutcome]]
    ) -> None:
        """Write outcomes to the store, as far as it accepts them.

        Answers without a body and the oldest outcomes of a full page are left
        out. A slot whose value cannot be written is logged.
        """
        pages: dict[int, list[_StoredRecord]] = defaultdict(list)
        for outcome in outcomes:
            record = _make_record(outcome)
            if record is not None:
                pages[find_slot(outcome.key)].append(record)
        for slot, records in pages.items():
            await self._write(slot, records)

    async def find_outcome(
        self, slot: int, key: KeyHash, fingerprint: Fingerprint
    ) -> CallOutcome | None:
        """Return the outcome of a request if a process that left stored it."""
        found = await self._store.get(_make_key(slot))
        if isinstance(found, Err) or found.ok_value is None:
            return None
        for record in _decode(found.ok_value.value):
            if (record.key, record.fingerprint) == (key, fingerprint):
                return _parse_record(record)
        return None

    async def _write(self, slot: int, records: list[_StoredRecord]) -> None:
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
        self._write_count += 1
        page = _Page(
            f"{self._writer_id}:{self._write_count}",
            _keep_newest(list(merged.values())),
        )
        written = await swap_and_confirm(
            self._store,
            _make_key(slot),
            msgspec.json.encode(page).decode(),
            expected,
        )
        if isinstance(written, Err):
            _log.warning("answers-not-left", slot=slot, fault=written.err_value.value)


def _make_key(slot: int) -> str:
    return f"claims/answers/{slot}"


def _decode(value: str) -> tuple[_StoredRecord, ...]:
    try:
        return msgspec.json.decode(value, type=_Page).records
    except DECODE_ERRORS:
        return ()


def _keep_newest(records: list[_StoredRecord]) -> tuple[_StoredRecord, ...]:
    """Return the newest records that fit into a page."""
    left_bytes, newest = _MAX_PAGE_BYTES, []
    for record in reversed(records):
        left_bytes -= len(record.body) + len(record.content_type) + 100
        if left_bytes < 0:
            break
        newest.append(record)
    return tuple(reversed(newest))


def _make_record(stored: StoredOutcome[CallOutcome]) -> _StoredRecord | None:
    outcome = stored.outcome
    if outcome.fault is not None:
        return _StoredRecord(stored.key, stored.fingerprint, 0, "", b"", outcome.fault)
    if outcome.answer is None or outcome.answer.body is None:
        return None
    answer = outcome.answer
    return _StoredRecord(
        stored.key,
        stored.fingerprint,
        answer.status,
        answer.content_type,
        answer.body or b"",
        None,
    )


def _parse_record(record: _StoredRecord) -> CallOutcome:
    if record.fault is not None:
        return CallOutcome(None, record.fault)
    return CallOutcome(StoredAnswer(record.status, record.content_type, record.body))
