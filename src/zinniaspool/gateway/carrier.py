"""Has requests sent to targets until one of them answers.

A failed attempt is repeated at another target if the route, the deadline and
the retry budget allow it. If a target is only suspected to have failed, the
attempt there goes on, and another one is begun beside it.
"""

import asyncio
import contextlib
from dataclasses import replace

import structlog
from result import Err, Ok, Result

from zinniaspool.core.dispatch import (
    AttemptFailure,
    Progress,
    RetryStop,
    TargetPool,
    TargetState,
    TraitStatus,
    Verdict,
    find_terms,
)
from zinniaspool.core.errors import ERROR_ANSWERS, ErrorKind, Fault
from zinniaspool.gateway.calls import GatewayAttempt, GatewayCall
from zinniaspool.gateway.crashes import CrashDetector
from zinniaspool.gateway.gate import AdmissionQueues
from zinniaspool.gateway.moves import RETRY_INTERVAL_S
from zinniaspool.gateway.retries import ServiceRetries
from zinniaspool.gateway.sending import AttemptSender
from zinniaspool.gateway.stops import StopGuard
from zinniaspool.gateway.targets import TargetIndex
from zinniaspool.http import TransportError, TransportFailure

__all__ = ["RequestForwarder"]

_log = structlog.get_logger(__name__)

_OWN_RETRY_TIMES = frozenset({ErrorKind.QUARANTINED, ErrorKind.LEAVING})
"""Faults whose retry time doesn't depend on the targets."""

TARGET_WAIT_PART = 1 / 3
"""Part of its time that a request waits for a target after a lost attempt. The
rest is left to its caller, who may retry at another VM."""


class RequestForwarder:
    """Sends each request to targets until one answers or none is left.

    Args:
        sender: Runs single attempts.
        index: The targets.
        admission_queues: Decide when a request for a model may begin.
        crashes: Detects crashed upstreams and quarantines what crashes them.
        stop_guard: Decides which requests may outlast this process.
    """

    def __init__(
        self,
        sender: AttemptSender,
        index: TargetIndex,
        admission_queues: AdmissionQueues,
        crashes: CrashDetector,
        stop_guard: StopGuard,
    ) -> None:
        self._sender = sender
        self._index = index
        self._admission_queues = admission_queues
        self._crashes = crashes
        self._stop_guard = stop_guard

    async def run(
        self, call: GatewayCall, retries: ServiceRetries
    ) -> Result[None, Fault]:
        """Run a request and answer its caller, or return why it can't.

        If a part of the answer has gone to the caller already, an error means
        that the rest can't follow, and the caller's connection must be cut.

        Args:
            call: The request.
            retries: Counts the requests and retries of its service.

        Raises:
            TransportError: The caller has left.
        """
        loop = asyncio.get_running_loop()
        retries.record_request()
        pool = self._index.find_pool(call.service, call.terms.model)
        verdict = self._crashes.judge(call)
        if verdict.status is TraitStatus.QUARANTINED:
            return Err(_make_quarantined_fault(call, verdict))
        if self._stop_guard.should_refuse(call, pool):
            return Err(_make_leaving_fault(call))
        if call.terms.model is not None:
            is_named = self._index.is_named(call.service, call.terms.model)
            refused = await self._admission_queues.admit(call, pool, is_named=is_named)
            if refused is not None:
                return Err(refused)
        try:
            fault = await self._run_attempts(call, pool)
        finally:
            for attempt in (call.leader, *call.alternatives):
                if attempt is not None and attempt.task is not None:
                    attempt.interrupt(loop.time())
        if fault is None:
            return Ok(None)
        if call.failed_answer is not None and call.progress is Progress.NOTHING:
            answer = call.failed_answer
            await self._sender.write_answer(call, answer.response, answer.body)
            return Ok(None)
        return Err(_add_retry_after(fault, pool, loop.time()))

    async def _run_attempts(self, call: GatewayCall, pool: TargetPool) -> Fault | None:
        """Run attempts until one answers; return a fault if none does."""
        loop = asyncio.get_running_loop()
        fault: Fault | None = None
        while fault is None:
            verdict = self._crashes.judge(call)
            if verdict.status is TraitStatus.QUARANTINED:
                return _make_quarantined_fault(call, verdict)
            if not call.attempts.may_have_run and self._stop_guard.should_refuse(
                call, pool
            ):
                # It has waited, or upstreams have refused it.
                return _make_leaving_fault(call)
            state = self._choose(call, pool, verdict)
            if state is None:
                if not self._may_wait(call, pool, verdict):
                    return _make_no_upstream_fault(call, pool, loop.time())
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            if call.exchange.has_caller_left:
                raise TransportError(TransportFailure.CUT, "the caller has left")
            is_repeat = call.is_repeat(state)
            begun = call.attempts.begin(loop.time(), is_repeat=is_repeat)
            if isinstance(begun, Err):
                return begun.err_value
            call.waits_until = None
            if verdict.trait is not None:
                self._crashes.record_trial(call, verdict.trait, state)
            attempt = call.leader = call.make_attempt(
                state, verdict.trait, is_repeat=is_repeat
            )
            failure = await self._run_leaders(attempt)
            if failure is None:
                return None
            await self._leave_out_ended(call)
            fault = self._evaluate_failure(call, pool, failure)
            if verdict.trait is not None and not call.attempts.may_have_run:
                self._crashes.cancel_trial(verdict.trait)
        return fault

    async def _leave_out_ended(self, call: GatewayCall) -> None:
        """Leave out the attempts of a request whose upstreams have ended.

        If it has no other attempt left, it waits until that is known of the
        last one.
        """
        may_go_on = call.route.repeatable and call.progress is not Progress.PARTIAL
        if call.attempts.may_begin_alternative or not may_go_on:
            return
        assert call.leader is not None
        incarnation = call.leader.state.target.incarnation
        await self._crashes.await_check(incarnation, call.deadline)
        call.leave_out_ended(self._index.has_ended)

    async def _run_leaders(self, attempt: GatewayAttempt) -> AttemptFailure | None:
        """Run an attempt, and then each one that goes on in its place.

        Returns:
            How the last one failed; None if the caller has its answer.
        """
        call = attempt.call
        failure = await self._sender.run(attempt)
        while True:
            if failure is None:
                assert call.leader is not None
                self._crashes.record_answer(call.leader)
                return None
            if failure is AttemptFailure.LOST:
                await self._handle_loss(attempt)
            successor = call.leader
            if successor is attempt:
                successor = call.promote_alternative()
            if successor is None or successor.task is None:
                return failure
            self._record_failure(attempt, failure)
            attempt = successor
            failure = await successor.task

    async def _handle_loss(self, attempt: GatewayAttempt) -> None:
        """Find out whether an attempt's upstream has crashed.

        When the process stops, its caller must have an answer before that.
        """
        call = attempt.call
        until = call.deadline if call.deadline_after_stop else None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(until):
                await self._crashes.handle_lost_attempt(attempt)

    def begin_alternative(self, call: GatewayCall, state: TargetState) -> bool:
        """Begin an attempt beside those that a request has.

        Returns:
            Whether it was begun; False if the request may not be sent again.
        """
        if self._crashes.judge(call).status is not TraitStatus.CLEAR:
            return False
        if call.exchange.has_caller_left:
            return False
        now = asyncio.get_running_loop().time()
        is_repeat = call.is_repeat(state)
        if not call.attempts.begin_alternative(now, is_repeat=is_repeat):
            return False
        alternative = call.make_attempt(state, is_repeat=is_repeat)
        call.alternatives.append(alternative)
        alternative.task = asyncio.create_task(self._run_alternative(alternative))
        return True

    async def _run_alternative(self, attempt: GatewayAttempt) -> AttemptFailure | None:
        """Run an attempt beside others; it may become the leader.

        Returns:
            How it failed; None if the caller has its answer.
        """
        call = attempt.call
        try:
            failure = await self._sender.run(attempt)
        finally:
            if attempt in call.alternatives:
                call.alternatives.remove(attempt)
        if attempt.has_led or failure is None:
            return failure
        if attempt.moved_from is not None and not attempt.has_event:
            self._stop_guard.record_vain_move(attempt)
        self._record_failure(attempt, failure)
        if failure is AttemptFailure.LOST:
            await self._crashes.handle_lost_attempt(attempt)
        return failure

    def _choose(
        self, call: GatewayCall, pool: TargetPool, verdict: Verdict
    ) -> TargetState | None:
        """Return the target of the next attempt, or None.

        A suspected request runs once, at the target of the trial or, if that
        one refuses it, at the next in order. One that may outlast a stopping
        process probes no slow target. One that has just waited since no other
        target was left may use the same one again.
        """
        now = asyncio.get_running_loop().time()
        if verdict.trait is not None:
            if call.attempts.may_have_run:
                return None
            return pool.choose_for_trial(verdict.trait, now, call.tried)
        within_s = call.compute_wanted_event_time(now)
        prompt, domains = call.terms.prompt_tokens, call.suspected_domains
        avoided = call.list_avoided(now)
        may_probe = (
            not call.tried
            and call.route.repeatable
            and call.route.max_attempts > 1
            and not call.deadline_after_stop
        )
        chosen = pool.choose(
            now,
            call.list_excluded(pool),
            prompt,
            within_s,
            domains,
            avoided=avoided,
            may_probe=may_probe,
        )
        may_use_any = (
            call.waits_until is not None and call.attempts.may_begin_alternative
        )
        if chosen is not None or not may_use_any:
            return chosen
        return pool.choose(now, (), prompt, within_s, domains, avoided=avoided)

    def _may_wait(self, call: GatewayCall, pool: TargetPool, verdict: Verdict) -> bool:
        """Return whether a request waits for a target after a lost attempt.

        Its targets may be usable again within moments, and the one that lost
        it may have lost this answer alone. A request that has not run doesn't
        wait: its caller is told so at once, and when to come back.
        """
        if verdict.trait is not None or not call.attempts.may_have_run:
            return False
        if call.failed_answer is not None and call.progress is Progress.NOTHING:
            return False
        if not self._stop_guard.can_begin_again(call, pool):
            return False
        now = asyncio.get_running_loop().time()
        if call.waits_until is None:
            call.waits_until = now + TARGET_WAIT_PART * (call.deadline - now)
            _log.info(
                "request-awaits-target",
                request=call.terms.id,
                model=call.terms.model or "",
                targets=len(pool),
                left_ms=int((call.deadline - now) * 1000),
            )
        until = min(call.waits_until, call.deadline)
        return max(now + RETRY_INTERVAL_S, pool.find_opening()) <= until

    def _evaluate_failure(
        self, call: GatewayCall, pool: TargetPool, failure: AttemptFailure
    ) -> Fault | None:
        assert call.leader is not None
        if failure is AttemptFailure.FAILED and call.route.repeatable:
            # The request may be sent again as after a lost attempt. The
            # upstream's answer is passed on if no other one answers.
            retried_as = AttemptFailure.LOST
        else:
            retried_as = failure
        now = asyncio.get_running_loop().time()
        can_end = self._stop_guard.can_begin_again(call, pool)
        fault = call.attempts.evaluate_failure(
            retried_as,
            call.progress,
            now,
            can_end=can_end,
            can_repeat=bool(call.left),
            is_uncounted=call.leader.is_uncounted,
        )
        self._log_failure(call.leader, failure, again=fault is None)
        if not can_end and call.attempts.stop is RetryStop.DEADLINE:
            call.stopped_by = "stop"
        return fault

    def _record_failure(self, attempt: GatewayAttempt, failure: AttemptFailure) -> None:
        """Record the end of an attempt beside which another one goes on."""
        attempt.call.attempts.record_failure(failure, is_uncounted=attempt.is_uncounted)
        self._log_failure(attempt, failure, again=True)

    def _log_failure(
        self, attempt: GatewayAttempt, failure: AttemptFailure, *, again: bool
    ) -> None:
        call, target = attempt.call, attempt.state.target
        call.stopped_by = _find_stopped_by(attempt, failure)
        cause, stop = attempt.reroute_cause, call.attempts.stop
        _log.info(
            "attempt-failed",
            request=call.terms.id,
            attempt=attempt.number,
            instance=target.instance,
            failure=failure.value,
            by=call.stopped_by,
            cause="" if cause is None else cause.value,
            stop="" if stop is None else stop.value,
            group=target.group or "",
            last_event=call.last_event_id or 0,
            again=again,
            content=call.content,
            parts=",".join(call.terms.prompt_parts),
        )


def _find_stopped_by(attempt: GatewayAttempt, failure: AttemptFailure) -> str:
    if attempt.superseded:
        return "reroute"
    if failure is AttemptFailure.TOO_LATE:
        return "stop"
    if failure is not AttemptFailure.TIMED_OUT:
        return "upstream"
    return "stop" if attempt.call.deadline_after_stop else "deadline"


def _make_leaving_fault(call: GatewayCall) -> Fault:
    call.stopped_by = "stop"
    return Fault(ErrorKind.LEAVING)


def _make_quarantined_fault(call: GatewayCall, verdict: Verdict) -> Fault:
    assert verdict.trait is not None
    return call.attempts.make_quarantined_fault(find_terms(verdict.trait).hold_s)


def _make_no_upstream_fault(call: GatewayCall, pool: TargetPool, now: float) -> Fault:
    kind = ErrorKind.NO_UPSTREAM
    if pool.has_closed_target(now):
        kind = ErrorKind.OVERLOADED
    return call.attempts.make_no_upstream_fault(kind)


def _add_retry_after(fault: Fault, pool: TargetPool, now: float) -> Fault:
    """Return a fault with the retry time that the pool's targets imply.

    The default retry time is too short if all targets have asked for
    a longer pause.
    """
    has_default = ERROR_ANSWERS[fault.kind].retry_after is not None
    if fault.kind in _OWN_RETRY_TIMES or not has_default:
        return fault
    return replace(fault, retry_after=pool.draw_retry_after(now))
