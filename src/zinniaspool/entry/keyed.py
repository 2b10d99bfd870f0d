"""Keyed calls that this process runs, each at most once."""

import asyncio
from dataclasses import dataclass

import structlog
from result import Err

from zinniaspool.core.errors import ERROR_ANSWERS, ErrorKind, Fault, Outcome
from zinniaspool.core.ids import IdempotencyKey
from zinniaspool.core.requests.claims import Claim, ClaimOutcome
from zinniaspool.core.requests.keys import (
    Fingerprint,
    KeyDecision,
    KeyHash,
    KeyTable,
)
from zinniaspool.entry.calls import CallRunner, ResolvedCall, WantedCall
from zinniaspool.entry.claims import ClaimKeeper
from zinniaspool.entry.handover import AnswerHandover
from zinniaspool.entry.sinks import (
    MOST_FORWARDED_BYTES,
    MOST_KEPT_BYTES,
    EndedCall,
    KeepingSink,
)
from zinniaspool.http import Exchange

__all__ = ["KeyedCall", "KeyedEnd", "KeyedRuns", "refuse_keyed"]

_log = structlog.get_logger(__name__)

_FAULTS = {
    KeyDecision.REUSED: ErrorKind.KEY_REUSED,
    KeyDecision.UNKNOWN: ErrorKind.KEY_OWNER_GONE,
    KeyDecision.DROPPED: ErrorKind.ANSWER_EXPIRED,
    KeyDecision.FULL: ErrorKind.OVERLOADED,
}


@dataclass(slots=True)
class _Running:
    sink: KeepingSink
    task: asyncio.Task[EndedCall]


@dataclass(frozen=True, slots=True)
class KeyedCall:
    """A call, its key, and where the key's claim belongs.

    Attributes:
        wanted: The call.
        key: As the caller wrote it.
        hash: What it is remembered by.
        fingerprint: Of the request.
        slot: The slot of a caller's own key; None for a session's key.
        until: Remember the key at least this long.
    """

    wanted: WantedCall
    key: IdempotencyKey
    hash: KeyHash
    fingerprint: Fingerprint
    slot: int | None
    until: float = 0.0


@dataclass(frozen=True, slots=True)
class KeyedEnd:
    """How a call ended, and whether its caller has the answer already."""

    ended: EndedCall
    passed_on: bool = False


class KeyedRuns:
    """Runs keyed calls here and answers their repeats from what is kept.

    Args:
        runner: Runs calls.
        keeper: Writes claims.
        table: The keys remembered here.
        handover: Finds answers that other processes left.
        repeat_wait_s: Longest wait of a repeat for the running request.
    """

    def __init__(
        self,
        runner: CallRunner,
        keeper: ClaimKeeper,
        table: KeyTable[EndedCall],
        handover: AnswerHandover,
        repeat_wait_s: float,
    ) -> None:
        self._runner = runner
        self._keeper = keeper
        self._table = table
        self._handover = handover
        self._repeat_wait_s = repeat_wait_s
        self._running: dict[KeyHash, _Running] = {}

    def __len__(self) -> int:
        return len(self._running)

    async def drain(self) -> None:
        """Wait for the calls that run."""
        tasks = [running.task for running in self._running.values()]
        await asyncio.gather(*tasks, return_exceptions=True)

    async def end(self, exchange: Exchange | None, call: KeyedCall) -> KeyedEnd:
        """Run a call, or give what is known of its key's earlier run."""
        verdict = self._table.classify(call.hash, call.fingerprint)
        match verdict:
            case KeyDecision.RUN:
                return await self._begin(exchange, call)
            case KeyDecision.WAIT:
                return await self._wait_for_running(call)
            case KeyDecision.REPEAT:
                ended = self._table.get_outcome(call.hash)
                assert ended is not None
                return KeyedEnd(ended)
            case KeyDecision.UNKNOWN if call.slot is not None:
                return await self._find_left(call, call.slot)
            case _:
                return refuse_keyed(_FAULTS[verdict])

    async def _find_left(self, call: KeyedCall, slot: int) -> KeyedEnd:
        ended = await self._handover.find(slot, call.hash, call.fingerprint)
        if ended is None:
            return refuse_keyed(ErrorKind.KEY_OWNER_GONE)
        return KeyedEnd(ended)

    async def _begin(self, exchange: Exchange | None, call: KeyedCall) -> KeyedEnd:
        resolved = self._runner.resolve(call.wanted)
        if isinstance(resolved, Err):
            return KeyedEnd(EndedCall(None, resolved.err_value))
        most_bytes = MOST_KEPT_BYTES if exchange else MOST_FORWARDED_BYTES
        sink = KeepingSink(exchange, most_bytes)
        self._table.record_begun(call.hash, call.fingerprint)
        task = asyncio.create_task(self._carry_out(sink, call, resolved.ok_value))
        self._running[call.hash] = _Running(sink, task)
        try:
            ended = await asyncio.shield(task)
        except asyncio.CancelledError:
            sink.leave()
            raise
        unknown = ended.fault and ended.fault.kind is ErrorKind.KEY_OWNER_GONE
        if unknown and call.slot is not None:
            return await self._find_left(call, call.slot)
        return KeyedEnd(ended, sink.passed_on)

    async def _wait_for_running(self, call: KeyedCall) -> KeyedEnd:
        running = self._running[call.hash]
        left_s = call.wanted.deadline - asyncio.get_running_loop().time()
        wait_s = min(left_s, self._repeat_wait_s)
        done, _ = await asyncio.wait([running.task], timeout=wait_s)
        if not done:
            return refuse_keyed(ErrorKind.KEY_IN_PROGRESS)
        return KeyedEnd(running.task.result())

    async def _carry_out(
        self, sink: KeepingSink, call: KeyedCall, resolved: ResolvedCall
    ) -> EndedCall:
        async def claim() -> Fault | None:
            return await self._claim(call)

        try:
            result = await self._runner.run(sink, resolved, claim)
            fault = result.err()
        except Exception:
            # The key must not stay "running" for ever after a fault of this
            # process: its repeats would wait for nothing.
            _log.exception("keyed-call-failed", request=call.wanted.id)
            fault = Fault(ErrorKind.INTERNAL)
        finally:
            del self._running[call.hash]
        return self._keep(
            call, EndedCall(sink.answer if fault is None else None, fault)
        )

    def _keep(self, call: KeyedCall, ended: EndedCall) -> EndedCall:
        now = asyncio.get_running_loop().time()
        if self._table.classify(call.hash, call.fingerprint) is not KeyDecision.WAIT:
            return ended
        if ended.fault is None or not _is_not_run(ended.fault):
            self._table.record_outcome(call.hash, _shorten(ended), now, call.until)
            return ended
        self._table.release(call.hash)
        if call.slot is not None:
            self._keeper.forget(call.slot, call.hash)
        return ended

    async def _claim(self, call: KeyedCall) -> Fault | None:
        if call.slot is None:
            return None
        claim = Claim(call.hash, call.fingerprint)
        settled = await self._keeper.claim(call.slot, claim, call.wanted.deadline)
        match settled.outcome:
            case ClaimOutcome.WRITTEN:
                return None
            case ClaimOutcome.REFUSED:
                return Fault(ErrorKind.STORE_UNAVAILABLE)
            case ClaimOutcome.KNOWN:
                assert settled.existing is not None
                now = asyncio.get_running_loop().time()
                self._table.release(call.hash)
                self._table.record_remote(call.hash, settled.existing.fingerprint, now)
                verdict = self._table.classify(call.hash, call.fingerprint)
                return Fault(_FAULTS[verdict])


def refuse_keyed(kind: ErrorKind, detail: str = "") -> KeyedEnd:
    """Return the end of a call that is not run."""
    return KeyedEnd(EndedCall(None, Fault(kind, detail)))


def _is_not_run(fault: Fault) -> bool:
    return ERROR_ANSWERS[fault.kind].outcome is Outcome.NOT_RUN


def _shorten(ended: EndedCall) -> EndedCall:
    """Return what is kept of a call: a large answer's end, not its bytes."""
    answer = ended.answer
    if answer is None:
        return ended
    if answer.body is not None and len(answer.body) <= MOST_KEPT_BYTES:
        return ended
    return EndedCall(None, Fault(ErrorKind.ANSWER_EXPIRED))
