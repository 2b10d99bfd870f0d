"""Sends a request to targets and passes the answer back to the caller.

A failed attempt is repeated at another target if the route, the deadline and
the retry budget allow it.
"""

import asyncio
from dataclasses import replace
from http import HTTPStatus

import structlog
from result import Err, Ok, Result

from zinniaspool.core.dispatch import (
    AttemptFailure,
    Progress,
    RetryWindow,
    TargetPool,
    TargetState,
    TraitStatus,
    Verdict,
    find_terms,
)
from zinniaspool.core.errors import ERROR_ANSWERS, ErrorKind, Fault
from zinniaspool.core.fleet import RequestKind
from zinniaspool.gateway.backpressure import BackpressureTracker
from zinniaspool.gateway.calls import FailedAnswer, GatewayCall
from zinniaspool.gateway.crashes import CrashDetector
from zinniaspool.gateway.gate import AdmissionQueues
from zinniaspool.gateway.moves import Rerouter
from zinniaspool.gateway.spelling import CallCodec
from zinniaspool.gateway.targets import TargetIndex
from zinniaspool.http import (
    ClientResponse,
    HttpClient,
    Request,
    TransportError,
    TransportFailure,
)
from zinniaspool.http.sides import CALLER_SIDE, CallerGoneError

__all__ = ["RequestForwarder"]

_log = structlog.get_logger(__name__)

EVENT_STREAM = "text/event-stream"
MIN_SERVER_ERROR_STATUS = 500
"""Smallest HTTP status that counts as a failure of the upstream."""

UNREPEATABLE_MAX_IDLE_S = 1.0
"""Longest time that a kept connection may have been idle, in seconds, to be
used for a request that must not run twice. If the upstream closes an idle
connection at the moment of the request, it is unknown whether the request
ran."""

MIN_PLAIN_ATTEMPT_S = 0.7
"""Shortest time that an attempt of a plain idempotent request gets before the
request is sent to another upstream, in seconds. It is several times what such
a call takes, and leaves time for the second attempt."""

MAX_FOREIGN_ANSWERS = 3
"""Answers to other requests that are skipped before a connection is closed."""

_ATTEMPT_FAILURES = {
    TransportFailure.NOT_SENT: AttemptFailure.NOT_SENT,
    TransportFailure.TIMED_OUT: AttemptFailure.TIMED_OUT,
    TransportFailure.CUT: AttemptFailure.LOST,
    TransportFailure.MALFORMED: AttemptFailure.LOST,
}


class RequestForwarder:
    """Sends each request to targets until one answers or none is left.

    Args:
        http: Connections to upstreams.
        codec: Parses and makes the headers of requests and answers.
        index: The targets.
        admission_queues: Decide when a request for a model may begin.
        rerouter: Interrupts attempts whose requests must leave a target.
        crashes: Detects crashed upstreams and quarantines what crashes them.
        backpressure: Keeps what upstreams ask in their answers.
    """

    def __init__(
        self,
        http: HttpClient,
        codec: CallCodec,
        index: TargetIndex,
        admission_queues: AdmissionQueues,
        rerouter: Rerouter,
        crashes: CrashDetector,
        backpressure: BackpressureTracker,
    ) -> None:
        self._http = http
        self._codec = codec
        self._index = index
        self._admission_queues = admission_queues
        self._rerouter = rerouter
        self._crashes = crashes
        self._backpressure = backpressure

    async def run(self, call: GatewayCall, window: RetryWindow) -> Result[None, Fault]:
        """Run a request and answer its caller, or return why it can't.

        If a part of the answer has gone to the caller already, an error means
        that the rest can't follow, and the caller's connection must be cut.

        Args:
            call: The request.
            window: Counts the requests and retries of its service.
        """
        loop = asyncio.get_running_loop()
        window.record_request(loop.time())
        pool = self._index.find_pool(call.service, call.terms.model)
        verdict = self._crashes.judge(call)
        if verdict.status is TraitStatus.QUARANTINED:
            return Err(_make_quarantined_fault(call, verdict))
        if call.terms.model is not None:
            refused = await self._admission_queues.admit(call, pool)
            if refused is not None:
                return Err(refused)
        fault: Fault | None = None
        while fault is None:
            verdict = self._crashes.judge(call)
            if verdict.status is TraitStatus.QUARANTINED:
                fault = _make_quarantined_fault(call, verdict)
                break
            state = self._choose(call, pool, verdict)
            if state is None:
                fault = _make_no_upstream_fault(call, pool, loop.time())
                break
            begun = call.attempts.begin(loop.time())
            if isinstance(begun, Err):
                return begun
            if call.trial is not None:
                self._crashes.record_trial(call, call.trial, state)
            failure = await self._run_attempt(call, pool, state)
            if failure is None:
                self._crashes.record_answer(call)
                return Ok(None)
            if failure is AttemptFailure.LOST:
                await self._crashes.handle_lost_attempt(call, state)
            fault = self._evaluate_failure(call, state, failure, loop.time())
        if call.failed_answer is not None and call.progress is Progress.NOTHING:
            await self._write_answer(
                call, call.failed_answer.response, call.failed_answer.body
            )
            return Ok(None)
        return Err(_add_retry_after(fault, pool, loop.time()))

    def _choose(
        self, call: GatewayCall, pool: TargetPool, verdict: Verdict
    ) -> TargetState | None:
        """Return the target of the next attempt, or None.

        A suspected request has one attempt, at the target of the trial.
        """
        now = asyncio.get_running_loop().time()
        call.trial = verdict.trait
        if verdict.trait is not None:
            return None if call.tried else pool.choose_for_trial(verdict.trait, now)
        within_s = call.compute_wanted_event_time(now)
        prompt = call.terms.prompt_tokens
        return pool.choose(
            now,
            call.tried,
            prompt,
            within_s,
            call.suspected_domains,
            may_probe=not call.tried
            and call.route.repeatable
            and call.route.max_attempts > 1,
        )

    def _evaluate_failure(
        self,
        call: GatewayCall,
        state: TargetState,
        failure: AttemptFailure,
        now: float,
    ) -> Fault | None:
        call.tried.append(state.target.instance)
        if failure is AttemptFailure.FAILED and call.route.repeatable:
            # The request may be sent again as after a lost attempt. The
            # upstream's answer is passed on if no other one answers.
            retried_as = AttemptFailure.LOST
        else:
            retried_as = failure
        fault = call.attempts.evaluate_failure(retried_as, call.progress, now)
        call.stopped_by = _find_stopped_by(call, failure)
        _log.info(
            "attempt-failed",
            request=call.terms.id,
            content=call.content,
            parts=",".join(call.terms.prompt_parts),
            attempt=call.attempts.number,
            instance=state.target.instance,
            group=state.target.group or "",
            failure=failure.value,
            by=call.stopped_by,
            cause=call.reroute_cause,
            last_event=call.cursor.last_id or 0,
            again=fault is None,
            stop="" if call.attempts.stop is None else call.attempts.stop.value,
        )
        return fault

    async def _run_attempt(
        self, call: GatewayCall, pool: TargetPool, state: TargetState
    ) -> AttemptFailure | None:
        """Run one attempt, and keep the state of its target up to date.

        Returns:
            How the attempt failed; None if the caller has its answer.
        """
        loop = asyncio.get_running_loop()
        if not state.local_requests:
            state.last_event_at = loop.time()
        call.sent_at = loop.time()
        prompt = call.terms.prompt_tokens
        call.predicted_first_event_s = pool.predict_first_event(
            state, prompt, call.sent_at
        )
        call.unanswered_out_of_subset = pool.begin_request(state, prompt)
        call.target_state = state
        call.has_event = call.rerouted = call.first_event_overdue = False
        call.reroute_cause = ""
        call.event_reads = 0
        call.is_answer = False
        self._backpressure.record_request(state)
        self._rerouter.begin_attempt(call, state)
        failed = refused = False
        try:
            failure = await self._send(call, state)
            failed = failure in _TARGET_FAILURES or call.first_event_overdue
            refused = failure is AttemptFailure.REFUSED
            if failure is None:
                pool.forecast.record_request_time(loop.time() - call.sent_at)
            return failure
        finally:
            pool.end_request(
                state,
                loop.time(),
                unanswered_out_of_subset=call.unanswered_out_of_subset,
                rerouted=call.rerouted,
            )
            if call.has_event:
                state.streaming -= 1
            else:
                state.local_unread_tokens -= prompt
            self._rerouter.end_attempt(call, state)
            pool.record_outcome(state, failed, loop.time(), refused=refused)

    async def _send(
        self, call: GatewayCall, state: TargetState
    ) -> AttemptFailure | None:
        """Send a request to a target and pass on the answer.

        The attempt ends early if the rerouter interrupts it by its timeout.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        left_s = call.deadline - now
        until = call.deadline
        is_plain = call.route.kind is RequestKind.IDEMPOTENT
        if is_plain and call.attempts.number < call.route.max_attempts:
            until = min(until, now + max(MIN_PLAIN_ATTEMPT_S, left_s / 3))
        idle_s = 20.0 if call.route.repeatable else UNREPEATABLE_MAX_IDLE_S
        try:
            async with asyncio.timeout_at(until) as attempt_timeout:
                call.attempt_timeout = attempt_timeout
                response = await self._http.send(
                    state.target.address,
                    self._make_request(call, state, left_s),
                    left_s + 1.0,
                    max_idle_s=idle_s,
                )
                try:
                    response = await self._skip_foreign_answers(call, response)
                    return await self._handle_answer(call, state, response)
                except BaseException:
                    # The caller has left, or the time is over. The upstream
                    # stops the request when its connection is closed.
                    response.abort()
                    raise
        except TimeoutError:
            return AttemptFailure.STALLED if call.rerouted else AttemptFailure.TIMED_OUT
        except CallerGoneError as error:
            raise error.cause from error
        except TransportError as error:
            if error.failure is TransportFailure.NOT_SENT:
                self._crashes.check_target(state)
            return _ATTEMPT_FAILURES[error.failure]

    def _make_request(
        self, call: GatewayCall, state: TargetState, left_s: float
    ) -> Request:
        request = call.exchange.request
        headers = self._codec.make_upstream_headers(
            request,
            state.target.instance,
            left_s,
            call.customer,
            call.urgency,
            call.cursor.last_id,
        )
        return Request(request.method, request.target, headers, request.body)

    async def _skip_foreign_answers(
        self, call: GatewayCall, response: ClientResponse
    ) -> ClientResponse:
        """Return the answer to this request; skip those to other requests.

        If an upstream sends an answer twice, the second one is in the place of
        the next request's answer on that connection. If it were passed on, a
        caller would read the answer to another caller's request.

        Raises:
            TransportError: There were too many answers to other requests.
        """
        for _ in range(MAX_FOREIGN_ANSWERS):
            answered_id = self._codec.parse_answered_request(response.headers)
            if answered_id in (call.terms.id, None):
                return response
            _log.warning(
                "answer-foreign",
                request=call.terms.id,
                echoed=answered_id,
            )
            response = await response.skip_to_next()
        raise TransportError(
            TransportFailure.MALFORMED, "too many answers to other requests"
        )

    async def _handle_answer(
        self, call: GatewayCall, state: TargetState, response: ClientResponse
    ) -> AttemptFailure | None:
        now = asyncio.get_running_loop().time()
        load = self._codec.parse_load(response.headers)
        pool = self._index.find_pool(call.service, call.terms.model)
        if load is not None:
            pool.record_reported_load(state, load.running + load.waiting, now)
        has_run = not self._codec.has_not_run(response.status, response.headers)
        notice = self._codec.parse_notice(response.status, response.headers)
        self._backpressure.record_answer(state, notice, has_run=has_run)
        self._backpressure.record_unknown_headers(
            self._codec.list_unknown_headers(response.headers)
        )
        if not has_run:
            await response.read()
            return AttemptFailure.REFUSED
        if call.route.kind is RequestKind.STREAM and _is_stream(response):
            return await self._stream_events(call, state, response)
        body = await response.read()
        state.last_event_at = asyncio.get_running_loop().time()
        # The time of a whole answer isn't predicted, so that any such answer
        # counts as in time.
        self._record_response(call, pool, 0.0, state.last_event_at)
        if response.status >= MIN_SERVER_ERROR_STATUS:
            call.failed_answer = FailedAnswer(response, body)
            return AttemptFailure.FAILED
        if call.progress is not Progress.NOTHING:
            # This answer doesn't continue the stream that the caller has
            # begun to read.
            call.progress = Progress.PARTIAL
            return AttemptFailure.LOST
        await self._write_answer(call, response, body)
        return None

    async def _write_answer(
        self, call: GatewayCall, response: ClientResponse, body: bytes
    ) -> None:
        call.first_byte_s = asyncio.get_running_loop().time() - call.received_at
        headers = self._codec.make_caller_headers(response.headers)
        with CALLER_SIDE:
            await call.exchange.respond(response.status, headers, body)

    async def _stream_events(
        self, call: GatewayCall, state: TargetState, response: ClientResponse
    ) -> AttemptFailure | None:
        loop = asyncio.get_running_loop()
        pool = self._index.find_pool(call.service, call.terms.model)
        call.cursor.resume()
        while (data := await response.next_part()) is not None:
            now = loop.time()
            pool.record_event(state, now)
            if not call.has_event:
                self._record_first_event(call, state, now)
            call.event_reads += 1
            self._crashes.record_progress(call, now)
            events = call.cursor.feed(data)
            if isinstance(events, Err):
                response.abort()
                return AttemptFailure.LOST
            if not events.ok_value:
                continue
            if call.progress is Progress.NOTHING:
                await self._start_stream(call, response)
            else:
                pause_s = now - call.last_event_at
                call.longest_pause_s = max(call.longest_pause_s, pause_s)
            call.last_event_at = now
            await self._write_events(call, state, events.ok_value)
        return await self._end_stream(call, response)

    async def _write_events(
        self, call: GatewayCall, state: TargetState, data: bytes
    ) -> None:
        """Write events to the caller, which may read slowly.

        The target's next events lie unread until the write has ended. The
        stream counts as blocked for this time, since the target would
        otherwise be considered stalled and its streams would be rerouted.
        """
        state.blocked_streams += 1
        try:
            with CALLER_SIDE:
                await call.exchange.write(data)
        finally:
            state.blocked_streams -= 1
            state.last_event_at = asyncio.get_running_loop().time()

    def _record_first_event(
        self, call: GatewayCall, state: TargetState, now: float
    ) -> None:
        call.has_event = True
        call.writing_since = now
        state.streaming += 1
        state.local_unread_tokens -= call.terms.prompt_tokens
        pool = self._index.find_pool(call.service, call.terms.model)
        took_s = now - call.sent_at
        pool.record_first_event(state, call.predicted_first_event_s, took_s, now)
        error_s = took_s - call.predicted_first_event_s
        self._record_response(call, pool, error_s, now)
        self._admission_queues.tally.add_error(call.terms.model or "", error_s)

    def _record_response(
        self, call: GatewayCall, pool: TargetPool, late_s: float, now: float
    ) -> None:
        if call.unanswered_out_of_subset:
            call.unanswered_out_of_subset = False
            pool.record_out_of_subset_first_event(late_s, now)

    async def _start_stream(self, call: GatewayCall, response: ClientResponse) -> None:
        call.first_byte_s = asyncio.get_running_loop().time() - call.received_at
        call.progress = Progress.RESUMABLE
        if not call.route.resumable or not call.cursor.resumable:
            call.progress = Progress.PARTIAL
        headers = self._codec.make_caller_headers(response.headers)
        with CALLER_SIDE:
            await call.exchange.start(response.status, headers)

    async def _end_stream(
        self, call: GatewayCall, response: ClientResponse
    ) -> AttemptFailure | None:
        if call.cursor.finish().strip():
            # The stream ended in the middle of an event.
            return AttemptFailure.LOST
        if call.progress is Progress.NOTHING:
            return AttemptFailure.LOST
        with CALLER_SIDE:
            await call.exchange.finish()
        return None


_TARGET_FAILURES = frozenset(
    {
        AttemptFailure.LOST,
        AttemptFailure.FAILED,
        AttemptFailure.TIMED_OUT,
        AttemptFailure.NOT_SENT,
    }
)


def _find_stopped_by(call: GatewayCall, failure: AttemptFailure) -> str:
    if call.rerouted:
        return "reroute"
    return "deadline" if failure is AttemptFailure.TIMED_OUT else "upstream"


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

    What callers are told by default is too short if all targets have asked for
    a longer pause.
    """
    has_default = ERROR_ANSWERS[fault.kind].retry_after is not None
    if fault.kind is ErrorKind.QUARANTINED or not has_default:
        return fault
    return replace(fault, retry_after=pool.draw_retry_after(now))


def _is_stream(response: ClientResponse) -> bool:
    kind = response.headers.get("content-type") or ""
    return response.status == HTTPStatus.OK and kind.startswith(EVENT_STREAM)
