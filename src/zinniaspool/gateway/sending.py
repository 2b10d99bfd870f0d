"""Sends one attempt of a request to its target and passes on the answer."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus

import structlog
from result import Err

from zinniaspool.core.dispatch import AttemptFailure, Progress, TargetPool
from zinniaspool.core.fleet import RequestKind
from zinniaspool.core.ids import NodeId
from zinniaspool.gateway.backpressure import BackpressureTracker
from zinniaspool.gateway.calls import FailedAnswer, GatewayAttempt, GatewayCall
from zinniaspool.gateway.crashes import CrashDetector
from zinniaspool.gateway.gate import AdmissionQueues
from zinniaspool.gateway.leaving import LeavingReporter
from zinniaspool.gateway.moves import Rerouter
from zinniaspool.gateway.spelling import CallCodec
from zinniaspool.gateway.stops import StopGuard
from zinniaspool.gateway.targets import TargetIndex
from zinniaspool.http import (
    ClientResponse,
    HttpClient,
    Request,
    TransportError,
    TransportFailure,
)
from zinniaspool.http.sides import CALLER_SIDE, CallerGoneError

__all__ = ["AttemptSender"]

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
request is sent to another upstream too, in seconds. It is several times what
such a call takes, and leaves time for the second attempt."""

MAX_BYTES_WITHOUT_ID = 64 * 1024
"""Most bytes of whole events without an id. Each event of a stream has one, so
that more of them are no answer."""

MAX_FOREIGN_ANSWERS = 3
"""Answers to other requests that are skipped before a connection is closed."""

_ATTEMPT_FAILURES = {
    TransportFailure.NOT_SENT: AttemptFailure.NOT_SENT,
    TransportFailure.TIMED_OUT: AttemptFailure.TIMED_OUT,
    TransportFailure.CUT: AttemptFailure.LOST,
    TransportFailure.MALFORMED: AttemptFailure.LOST,
}

_TARGET_FAILURES = frozenset(
    {
        AttemptFailure.LOST,
        AttemptFailure.FAILED,
        AttemptFailure.TIMED_OUT,
        AttemptFailure.NOT_SENT,
    }
)


class AttemptSender:
    """Runs attempts, and keeps the state of their targets up to date.

    Args:
        http: Connections to upstreams.
        codec: Parses and makes the headers of requests and answers.
        index: The targets.
        admission_queues: Counts the errors of predicted first events.
        rerouter: Tracks the attempts at each target.
        crashes: Is informed of the progress of streams.
        backpressure: Keeps what upstreams ask in their answers.
        leaving: Reports upstreams that leave, and withholds requests.
        stop_guard: Finds the streams that begin too late to end in time.
        find_relay: Returns the VM that a connection leads through, by host and
            port at its other end; None if it leads to the upstream itself.
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
        leaving: LeavingReporter,
        stop_guard: StopGuard,
        find_relay: Callable[[tuple[str, int] | None], NodeId | None],
    ) -> None:
        self._http = http
        self._codec = codec
        self._index = index
        self._admission_queues = admission_queues
        self._rerouter = rerouter
        self._crashes = crashes
        self._backpressure = backpressure
        self._leaving = leaving
        self._stop_guard = stop_guard
        self._find_relay = find_relay

    async def run(self, attempt: GatewayAttempt) -> AttemptFailure | None:
        """Run one attempt.

        If the attempt is an alternative, it goes on alone from its first event
        or its whole answer on.

        Returns:
            How it failed; None if the caller has its answer.
        """
        if attempt.superseded:
            attempt.failure = AttemptFailure.NOT_SENT
            return attempt.failure
        call, state = attempt.call, attempt.state
        loop = asyncio.get_running_loop()
        if not state.local_requests:
            state.last_event_at = loop.time()
        attempt.sent_at = attempt.read_at = loop.time()
        prompt = call.terms.prompt_tokens
        pool = self._index.find_pool(call.service, call.terms.model)
        attempt.predicted_first_event_s = pool.predict_first_event(
            state, prompt, attempt.sent_at
        )
        attempt.unanswered_out_of_subset = pool.begin_request(state, prompt)
        self._backpressure.record_request(state)
        self._rerouter.begin_attempt(attempt)
        failed = refused = False
        try:
            failure = attempt.failure = await self._send(attempt)
            failed = failure in _TARGET_FAILURES
            if attempt.superseded and attempt.first_event_overdue:
                failed = True
            refused = failure is AttemptFailure.REFUSED
            if failure is None:
                pool.forecast.record_request_time(loop.time() - attempt.sent_at)
            return failure
        finally:
            attempt.ended_at = loop.time()
            pool.end_request(
                state,
                loop.time(),
                unanswered_out_of_subset=attempt.unanswered_out_of_subset,
                rerouted=attempt.superseded,
            )
            if attempt.has_event:
                state.streaming -= 1
            else:
                state.local_unread_tokens -= prompt
            self._rerouter.end_attempt(attempt)
            if failed or not attempt.superseded:
                pool.record_outcome(state, failed, loop.time(), refused=refused)

    async def _send(self, attempt: GatewayAttempt) -> AttemptFailure | None:
        """Send a request to a target and pass on the answer.

        The attempt ends early if another one goes on in its place.
        """
        call, state = attempt.call, attempt.state
        now = asyncio.get_running_loop().time()
        is_stream = call.route.kind is RequestKind.STREAM
        left_s = call.deadline - now
        allowed_s = call.stream_deadline - now if is_stream else left_s
        idle_s = 20.0 if call.route.repeatable else UNREPEATABLE_MAX_IDLE_S
        late_timer = self._start_late_timer(attempt, left_s)
        try:
            async with asyncio.timeout_at(call.deadline) as attempt.timeout:
                response = await self._http.send(
                    state.target.address,
                    self._make_request(attempt, allowed_s),
                    left_s + 1.0,
                    max_idle_s=idle_s,
                    may_send=lambda: self._may_send(attempt),
                )
                try:
                    response = await self._skip_foreign_answers(call, response)
                    return await self._handle_answer(attempt, response)
                except BaseException:
                    # The caller has left, or the time is over. The upstream
                    # stops the request when its connection is closed.
                    response.abort()
                    raise
        except TimeoutError:
            return _find_interruption(attempt)
        except CallerGoneError as error:
            raise error.cause from error
        except TransportError as error:
            if error.failure is TransportFailure.NOT_SENT:
                self._crashes.check_target(state)
            return _ATTEMPT_FAILURES[error.failure]
        finally:
            if late_timer is not None:
                late_timer.cancel()

    def _may_send(self, attempt: GatewayAttempt) -> bool:
        """Return whether its upstream still takes an attempt's request."""
        incarnation, request = attempt.state.target.incarnation, attempt.call.terms.id
        return self._leaving.may_send(
            incarnation, request
        ) and self._backpressure.may_send(incarnation, request)

    def _start_late_timer(
        self, attempt: GatewayAttempt, left_s: float
    ) -> asyncio.TimerHandle | None:
        """Have an idempotent request sent elsewhere if its answer is late."""
        if attempt.call.route.kind is not RequestKind.IDEMPOTENT:
            return None
        return asyncio.get_running_loop().call_later(
            max(MIN_PLAIN_ATTEMPT_S, left_s / 3), self._rerouter.reroute_late, attempt
        )

    def _make_request(self, attempt: GatewayAttempt, allowed_s: float) -> Request:
        call = attempt.call
        request = call.exchange.request
        headers = self._codec.make_upstream_headers(
            request,
            attempt.state.target.instance,
            allowed_s,
            call.customer,
            call.urgency,
            attempt.cursor.last_id,
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
        self, attempt: GatewayAttempt, response: ClientResponse
    ) -> AttemptFailure | None:
        call, state = attempt.call, attempt.state
        loop = asyncio.get_running_loop()
        load = self._codec.parse_load(response.headers)
        pool = self._index.find_pool(call.service, call.terms.model)
        if load is not None:
            pool.record_reported_load(state, load.running + load.waiting, loop.time())
        has_run = not self._codec.has_not_run(response.status, response.headers)
        notice = self._codec.parse_notice(response.status, response.headers)
        if notice.leaving:
            self._leaving.record_answer(state.target.incarnation)
        relay = None
        if notice.pause_s is not None:
            relay = self._find_relay(response.peer_name)
        self._backpressure.record_answer(state, notice, has_run=has_run, relay=relay)
        self._backpressure.record_unknown_headers(
            self._codec.list_unknown_headers(response.headers)
        )
        if not has_run:
            await response.discard()
            return AttemptFailure.REFUSED
        if call.route.kind is RequestKind.STREAM and _is_stream(response):
            return await self._stream_events(attempt, response)
        body = await response.read()
        state.last_event_at = loop.time()
        # The time of a whole answer isn't predicted, so that any such answer
        # counts as in time.
        self._record_response(attempt, pool, 0.0, state.last_event_at)
        if response.status >= MIN_SERVER_ERROR_STATUS:
            call.failed_answer = FailedAnswer(response, body)
            return AttemptFailure.FAILED
        if call.progress is not Progress.NOTHING:
            # This answer doesn't continue the stream that the caller has
            # begun to read.
            if attempt.is_leading:
                call.progress = Progress.PARTIAL
            return AttemptFailure.LOST
        if attempt.superseded:
            return _find_interruption(attempt)
        call.lead(attempt, loop.time())
        await self.write_answer(call, response, body)
        return None

    async def write_answer(
        self, call: GatewayCall, response: ClientResponse, body: bytes
    ) -> None:
        """Write a whole answer of an upstream to the caller."""
        call.first_byte_s = asyncio.get_running_loop().time() - call.received_at
        call.is_served = _is_success(response)
        headers = self._codec.make_caller_headers(response.headers)
        with CALLER_SIDE:
            await call.exchange.respond(response.status, headers, body)

    async def _stream_events(
        self, attempt: GatewayAttempt, response: ClientResponse
    ) -> AttemptFailure | None:
        call, state = attempt.call, attempt.state
        loop = asyncio.get_running_loop()
        pool = self._index.find_pool(call.service, call.terms.model)
        while (data := await response.next_part()) is not None:
            if attempt.superseded:
                response.abort()
                return _find_interruption(attempt)
            now = loop.time()
            pool.record_event(state, now)
            if not attempt.has_event:
                self._record_first_event(attempt, now)
            attempt.event_reads += 1
            self._crashes.record_progress(attempt, now)
            last_id = attempt.cursor.last_id or 0
            events = attempt.cursor.feed(data)
            self._record_pace(attempt, response, last_id, now)
            without_id = attempt.cursor.bytes_without_id
            if isinstance(events, Err) or without_id > MAX_BYTES_WITHOUT_ID:
                response.abort()
                return AttemptFailure.LOST
            if not events.ok_value:
                continue
            attempt.held += events.ok_value
            if call.holds_back(attempt, now):
                continue
            if self._stop_guard.awaits_end(attempt, now):
                if self._stop_guard.begins_too_late(attempt, now):
                    self._stop_guard.record_left(attempt, now)
                    response.abort()
                    return AttemptFailure.TOO_LATE
                continue
            call.lead(attempt, now)
            await self._write_events(attempt, response, now)
        return await self._end_stream(attempt, response)

    async def _write_events(
        self, attempt: GatewayAttempt, response: ClientResponse, now: float
    ) -> None:
        """Write the events that an attempt has; begin the answer with them.

        Args:
            attempt: The attempt that goes on.
            response: Its answer.
            now: Seconds.
        """
        call = attempt.call
        if call.progress is Progress.NOTHING:
            await self._start_stream(attempt, response)
        else:
            pause_s = now - call.last_event_at
            call.longest_pause_s = max(call.longest_pause_s, pause_s)
        await self._write_held(attempt)

    async def _write_held(self, attempt: GatewayAttempt) -> None:
        """Write an attempt's events to the caller, which may read slowly.

        The target's next events lie unread until the write has ended. The
        stream counts as blocked for this time, since the target would
        otherwise be considered stalled.
        """
        state, loop = attempt.state, asyncio.get_running_loop()
        attempt.call.last_event_id = attempt.cursor.last_id
        data, attempt.held = attempt.held, b""
        began_at = loop.time()
        state.blocked_streams += 1
        attempt.is_blocked = True
        try:
            with CALLER_SIDE:
                await attempt.call.exchange.write(data)
        finally:
            now = loop.time()
            state.blocked_streams -= 1
            attempt.is_blocked = False
            attempt.read_at += now - began_at
            attempt.blocked_s += now - began_at
            attempt.call.last_event_at = state.last_event_at = now

    def _record_pace(
        self,
        attempt: GatewayAttempt,
        response: ClientResponse,
        last_id: int,
        now: float,
    ) -> None:
        """Record the time since the events before.

        The time for which they lay unread says nothing of their upstream.

        Args:
            attempt: The attempt; it has just read events.
            response: Its answer.
            last_id: Id of the last event before them; 0 without one.
            now: Seconds.
        """
        ids = (attempt.cursor.last_id or 0) - last_id
        gap_s = now - attempt.read_at
        if attempt.pace.may_be_late(gap_s, ids):
            gap_s = max(0.0, gap_s - response.measure_unread())
        if attempt.event_reads > 1:
            attempt.pace.record(gap_s, ids)
        attempt.read_at += gap_s

    def _record_first_event(self, attempt: GatewayAttempt, now: float) -> None:
        call, state = attempt.call, attempt.state
        attempt.has_event, attempt.first_event_overdue = True, False
        attempt.writing_since = now
        state.streaming += 1
        state.local_unread_tokens -= call.terms.prompt_tokens
        pool = self._index.find_pool(call.service, call.terms.model)
        took_s = now - attempt.sent_at
        pool.record_first_event(state, attempt.predicted_first_event_s, took_s, now)
        error_s = took_s - attempt.predicted_first_event_s
        self._record_response(attempt, pool, error_s, now)
        if attempt.moved_from is not None:
            self._stop_guard.move_costs.record(error_s, now)
            _log_move(attempt, attempt.moved_from, took_s)
        self._admission_queues.tally.add_error(call.terms.model or "", error_s)

    def _record_response(
        self, attempt: GatewayAttempt, pool: TargetPool, late_s: float, now: float
    ) -> None:
        if attempt.unanswered_out_of_subset:
            attempt.unanswered_out_of_subset = False
            pool.record_out_of_subset_first_event(late_s, now)

    async def _start_stream(
        self, attempt: GatewayAttempt, response: ClientResponse
    ) -> None:
        call = attempt.call
        call.first_byte_s = asyncio.get_running_loop().time() - call.received_at
        call.progress, call.is_served = Progress.RESUMABLE, True
        if not call.route.resumable or not attempt.cursor.resumable:
            call.progress = Progress.PARTIAL
        self._stop_guard.extend_deadline(call)
        headers = self._codec.make_caller_headers(response.headers)
        with CALLER_SIDE:
            await call.exchange.start(response.status, headers)

    async def _end_stream(
        self, attempt: GatewayAttempt, response: ClientResponse
    ) -> AttemptFailure | None:
        call = attempt.call
        if attempt.cursor.finish().strip():
            # The stream ended in the middle of an event.
            return AttemptFailure.LOST
        if call.progress is Progress.NOTHING and not attempt.held:
            return AttemptFailure.LOST
        if attempt.superseded:
            return _find_interruption(attempt)
        now = asyncio.get_running_loop().time()
        call.lead(attempt, now)
        if attempt.held:
            await self._write_events(attempt, response, now)
        with CALLER_SIDE:
            await call.exchange.finish()
        return None


def _log_move(attempt: GatewayAttempt, former: GatewayAttempt, took_s: float) -> None:
    """Log how long a stream that was moved waited for its first event."""
    call = attempt.call
    _log.info(
        "stream-went-on",
        request=call.terms.id,
        took_ms=int(took_s * 1000),
        predicted_ms=int(attempt.predicted_first_event_s * 1000),
        left_ms=int((call.stream_deadline - attempt.sent_at - took_s) * 1000),
        instance=former.state.target.instance,
        to=attempt.state.target.instance,
        last_event=call.last_event_id or 0,
        former_last_event=former.cursor.last_id or 0,
        route=call.route.name,
    )


def _find_interruption(attempt: GatewayAttempt) -> AttemptFailure:
    """Return how an attempt failed that ended before its upstream's answer."""
    if not attempt.superseded:
        # Its target has written what its caller didn't get.
        is_held = attempt.held and attempt.call.progress is Progress.NOTHING
        return AttemptFailure.TOO_LATE if is_held else AttemptFailure.TIMED_OUT
    if attempt.reroute_cause is not None:
        return AttemptFailure.STALLED
    return AttemptFailure.SUPERSEDED


def _is_success(response: ClientResponse) -> bool:
    return HTTPStatus.OK <= response.status < HTTPStatus.MULTIPLE_CHOICES


def _is_stream(response: ClientResponse) -> bool:
    kind = response.headers.get("content-type") or ""
    return response.status == HTTPStatus.OK and kind.startswith(EVENT_STREAM)
