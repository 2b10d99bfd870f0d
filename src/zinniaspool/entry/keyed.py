"""Execution of the keyed calls that this process may run.

A call runs at most once. Its repeats are answered with its outcome.
"""

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
from zinniaspool.entry.calls import CallerRequest, CallRunner, ResolvedCall
from zinniaspool.entry.claims import ClaimStore
from zinniaspool.entry.handover import AnswerHandover
from zinniaspool.entry.sinks import (
    MAX_FORWARDED_BYTES,
    MAX_STORED_BYTES,
    CallOutcome,
    RecordingSink,
)
from zinniaspool.http import Exchange

__all__ = ["KeyedCall", "KeyedCallRunner", "KeyedOutcome", "refuse_keyed"]

_log = structlog.get_logger(__name__)

_ERROR_KINDS = {
    KeyDecision.REUSED: ErrorKind.KEY_REUSED,
    KeyDecision.UNKNOWN: ErrorKind.KEY_OWNER_GONE,
    KeyDecision.DROPPED: ErrorKind.ANSWER_EXPIRED,
    KeyDecision.FULL: ErrorKind.OVERLOADED,
}


@dataclass(slots=True)
class _RunningCall:
    sink: RecordingSink
    task: asyncio.Task[CallOutcome]


@dataclass(frozen=True, slots=True)
class KeyedCall:
    """A call with its idempotency key and the slot of the key's claim.

    Attributes:
        request: The call.
        key: The key as the caller sent it, without quotes.
        hash: The hash under which the key is remembered.
        fingerprint: The fingerprint of the call.
        slot: The slot in which the key is claimed; None for a key of a
            session, which needs no claim.
        remember_until: Time until which the key is at least remembered.
    """

    request: CallerRequest
    key: IdempotencyKey
    hash: KeyHash
    fingerprint: Fingerprint
    slot: int | None
    remember_until: float = 0.0


@dataclass(frozen=True, slots=True)
class KeyedOutcome:
    """The outcome of a keyed call, and how far its answer was delivered.

    Attributes:
        outcome: The outcome of the call.
        delivery_started: Whether the answer, or the beginning of it, has been
            sent to the caller while the call ran.
    """

    outcome: CallOutcome
    delivery_started: bool = False


class KeyedCallRunner:
    """Runs keyed calls and gives their repeats the stored outcomes.

    Args:
        runner: Runs calls, regardless of their keys.
        claim_store: Writes claims.
        table: The keys that this process remembers.
        handover: Finds outcomes that other processes stored as they stopped.
        repeat_wait_s: Maximum seconds that a repeat waits for its request,
            which is still running.
    """

    def __init__(
        self,
        runner: CallRunner,
        claim_store: ClaimStore,
        table: KeyTable[CallOutcome],
        handover: AnswerHandover,
        repeat_wait_s: float,
    ) -> None:
        self._runner = runner
        self._claim_store = claim_store
        self._table = table
        self._handover = handover
        self._repeat_wait_s = repeat_wait_s
        self._running: dict[KeyHash, _RunningCall] = {}

    def __len__(self) -> int:
        return len(self._running)

    async def drain(self) -> None:
        """Wait for the running calls."""
        tasks = [running.task for running in self._running.values()]
        await asyncio.gather(*tasks, return_exceptions=True)

    async def run(self, exchange: Exchange | None, call: KeyedCall) -> KeyedOutcome:
        """Run a call, or return the outcome of its key's earlier run.

        Args:
            exchange: The exchange with the caller; None if the call was
                forwarded by another process.
            call: The call.
        """
        decision = self._table.classify(call.hash, call.fingerprint)
        match decision:
            case KeyDecision.RUN:
                return await self._begin(exchange, call)
            case KeyDecision.WAIT:
                return await self._wait_for_running(call)
            case KeyDecision.REPEAT:
                outcome = self._table.get_outcome(call.hash)
                assert outcome is not None
                return KeyedOutcome(outcome)
            case KeyDecision.UNKNOWN if call.slot is not None:
                return await self._find_handed_over(call, call.slot)
            case _:
                return refuse_keyed(_ERROR_KINDS[decision])

    async def _find_handed_over(self, call: KeyedCall, slot: int) -> KeyedOutcome:
        outcome = await self._handover.find_outcome(slot, call.hash, call.fingerprint)
        if outcome is None:
            return refuse_keyed(ErrorKind.KEY_OWNER_GONE)
        return KeyedOutcome(outcome)

    async def _begin(self, exchange: Exchange | None, call: KeyedCall) -> KeyedOutcome:
        resolved = self._runner.resolve(call.request)
        if isinstance(resolved, Err):
            return KeyedOutcome(CallOutcome(None, resolved.err_value))
        max_bytes = MAX_STORED_BYTES if exchange else MAX_FORWARDED_BYTES
        sink = RecordingSink(exchange, max_bytes)
        self._table.record_begun(call.hash, call.fingerprint)
        task = asyncio.create_task(self._execute(sink, call, resolved.ok_value))
        self._running[call.hash] = _RunningCall(sink, task)
        try:
            outcome = await asyncio.shield(task)
        except asyncio.CancelledError:
            sink.detach_caller()
            raise
        unknown = outcome.fault and outcome.fault.kind is ErrorKind.KEY_OWNER_GONE
        if unknown and call.slot is not None:
            return await self._find_handed_over(call, call.slot)
        return KeyedOutcome(outcome, sink.delivery_started)

    async def _wait_for_running(self, call: KeyedCall) -> KeyedOutcome:
        running = self._running[call.hash]
        left_s = call.request.deadline - asyncio.get_running_loop().time()
        wait_s = min(left_s, self._repeat_wait_s)
        done, _ = await asyncio.wait([running.task], timeout=wait_s)
        if not done:
            return refuse_keyed(ErrorKind.KEY_IN_PROGRESS)
        return KeyedOutcome(running.task.result())

    async def _execute(
        self, sink: RecordingSink, call: KeyedCall, resolved: ResolvedCall
    ) -> CallOutcome:
        async def claim() -> Fault | None:
            return await self._claim(call)

        try:
            result = await self._runner.run(sink, resolved, claim)
            fault = result.err()
        except Exception:
            # After a defect of this process the key must not remain marked as
            # running, because its repeats would wait in vain.
            _log.exception("keyed-call-failed", request=call.request.id)
            fault = Fault(ErrorKind.INTERNAL)
        finally:
            del self._running[call.hash]
        return self._record_outcome(
            call, CallOutcome(sink.answer if fault is None else None, fault)
        )

    def _record_outcome(self, call: KeyedCall, outcome: CallOutcome) -> CallOutcome:
        now = asyncio.get_running_loop().time()
        if self._table.classify(call.hash, call.fingerprint) is not KeyDecision.WAIT:
            return outcome
        if outcome.fault is None or not _has_not_run(outcome.fault):
            self._table.record_outcome(
                call.hash, _drop_large_body(outcome), now, call.remember_until
            )
            return outcome
        self._table.release(call.hash)
        if call.slot is not None:
            self._claim_store.discard(call.slot, call.hash)
        return outcome

    async def _claim(self, call: KeyedCall) -> Fault | None:
        if call.slot is None:
            return None
        claim = Claim(call.hash, call.fingerprint)
        result = await self._claim_store.submit(call.slot, claim, call.request.deadline)
        match result.outcome:
            case ClaimOutcome.WRITTEN:
                return None
            case ClaimOutcome.REFUSED:
                return Fault(ErrorKind.STORE_UNAVAILABLE)
            case ClaimOutcome.KNOWN:
                assert result.existing is not None
                now = asyncio.get_running_loop().time()
                self._table.release(call.hash)
                self._table.record_remote(call.hash, result.existing.fingerprint, now)
                decision = self._table.classify(call.hash, call.fingerprint)
                return Fault(_ERROR_KINDS[decision])


def refuse_keyed(kind: ErrorKind, detail: str = "") -> KeyedOutcome:
    """Return the error outcome of a keyed call that is not run here."""
    return KeyedOutcome(CallOutcome(None, Fault(kind, detail)))


def _has_not_run(fault: Fault) -> bool:
    return ERROR_ANSWERS[fault.kind].outcome is Outcome.NOT_RUN


def _drop_large_body(outcome: CallOutcome) -> CallOutcome:
    """Return the outcome to store.

    Of an answer that is too large to store, only the fact that the call has
    ended is stored.
    """
    answer = outcome.answer
    if answer is None:
        return outcome
    if answer.body is not None and len(answer.body) <= MAX_STORED_BYTES:
        return outcome
    return CallOutcome(None, Fault(ErrorKind.ANSWER_EXPIRED))
