"""Carries a request to a target and its answer back."""

import asyncio
from http import HTTPStatus

import structlog
from result import Err, Ok, Result

from zinniaspool.core.dispatch import (
    AttemptFailure,
    Progress,
    RetryWindow,
    TargetPool,
    TargetState,
)
from zinniaspool.core.errors import ErrorKind, Fault
from zinniaspool.core.fleet import RequestKind
from zinniaspool.gateway.calls import GatewayCall, HeldAnswer
from zinniaspool.gateway.crashes import CrashWatch
from zinniaspool.gateway.gate import Gate
from zinniaspool.gateway.limits import AnnouncedLimits
from zinniaspool.gateway.moves import Moves
from zinniaspool.gateway.spelling import CallSpelling
from zinniaspool.gateway.targets import TargetIndex
from zinniaspool.http import (
    ClientResponse,
    HttpClient,
    Request,
    TransportError,
    TransportFailure,
)
from zinniaspool.http.sides import CALLER_SIDE, CallerGoneError

__all__ = ["Carrier"]

_log = structlog.get_logger(__name__)

EVENT_STREAM = "text/event-stream"
SERVER_ERRORS = 500
"""HTTP statuses from here on are the upstream's failures."""

UNREPEATABLE_IDLE_S = 1.0
"""Longest time that a kept connection may have been idle, in seconds, for a
request that may run once only: if the other side closes it just then, nobody
can tell whether it ran."""

PLAIN_WAIT_S = 0.7
"""Longest wait for the answer of a plain idempotent request before another
upstream is asked, in seconds: several times what such a call takes, and time
is left for the second one."""

MOST_EXTRA_ANSWERS = 3
"""Foreign answers that are thrown away before a connection is given up."""

_FAILURES = {
    TransportFailure.NOT_SENT: AttemptFailure.NOT_SENT,
    TransportFailure.TIMED_OUT: AttemptFailure.TIMED_OUT,
    TransportFailure.CUT: AttemptFailure.LOST,
    TransportFailure.MALFORMED: AttemptFailure.LOST,
}


class Carrier:
    """Sends requests to targets until one answers or none may.

    Args:
        http: Connections to upstreams.
        spelling: Reads and writes their headers.
        index: The targets.
        gate: Decides when a request for a model may begin.
        moves: Ends attempts that are to go on elsewhere.
        crashes: Knows which requests crash upstreams.
        limits: What upstreams take a second.
    """

    def __init__(
        self,
        http: HttpClient,
        spelling: CallSpelling,
        index: TargetIndex,
        gate: Gate,
        moves: Moves,
        crashes: CrashWatch,
        limits: AnnouncedLimits,
    ) -> None:
        self._http = http
        self._spelling = spelling
        self._index = index
        self._gate = gate
        self._moves = moves
        self._crashes = crashes
        self._limits = limits

    async def run(self, call: GatewayCall, window: RetryWindow) -> Result[None, Fault]:
        """Run a call and answer it, or return why it has no answer.

        Once part of an answer has gone to the caller, an error means that
        the rest cannot come; its connection must then be cut.
        """
        loop = asyncio.get_running_loop()
        window.record_request(loop.time())
        pool = self._index.find(call.service, call.terms.model)
        if self._crashes.is_held(call):
            return Err(call.attempts.make_quarantined_fault())
        if call.terms.model is not None:
            refused = await self._gate.admit(call, pool)
            if refused is not None:
                return Err(refused)
        fault: Fault | None
        while (state := self._choose(call, pool)) is not None:
            if self._crashes.is_held(call):
                fault = call.attempts.make_quarantined_fault()
                break
            begun = call.attempts.begin(loop.time())
            if isinstance(begun, Err):
                return begun
            failure = await self._count(call, pool, state)
            if failure is None:
                self._crashes.note_answer(call)
                return Ok(None)
            if failure is AttemptFailure.LOST:
                await self._crashes.take_lost(call, state)
            fault = self._judge(call, state, failure, loop.time())
            if fault is not None:
                break
        else:
            kind = ErrorKind.NO_UPSTREAM
            if pool.is_rate_limited(loop.time()):
                kind = ErrorKind.OVERLOADED
            fault = call.attempts.make_no_upstream_fault(kind)
        if call.held is not None and call.progress is Progress.NOTHING:
            await self._pass_whole(call, call.held.response, call.held.body)
            return Ok(None)
        return Err(fault)

    def _choose(self, call: GatewayCall, pool: TargetPool) -> TargetState | None:
        now = asyncio.get_running_loop().time()
        within_s = None
        if call.terms.model is not None and not call.late:
            within_s = call.received + call.route.objective_s - now
        prompt = call.terms.prompt_tokens
        return pool.choose(now, call.tried, prompt, within_s, call.doubted)

    def _judge(
        self,
        call: GatewayCall,
        state: TargetState,
        failure: AttemptFailure,
        now: float,
    ) -> Fault | None:
        call.tried.append(state.target.instance)
        if failure is AttemptFailure.FAILED and call.route.repeatable:
            # The upstream's failure is kept and passed on if no other one
            # does better.
            judged = AttemptFailure.LOST
        else:
            judged = failure
        fault = call.attempts.evaluate_failure(judged, call.progress, now)
        _log.info(
            "attempt-failed",
            request=call.terms.id,
            content=call.content,
            attempt=call.attempts.number,
            instance=state.target.instance,
            group=state.target.group or "",
            failure=failure.value,
            last_event=call.cursor.last_id or 0,
            again=fault is None,
        )
        return fault

    async def _count(
        self, call: GatewayCall, pool: TargetPool, state: TargetState
    ) -> AttemptFailure | None:
        loop = asyncio.get_running_loop()
        if not state.local_requests:
            state.last_event_at = loop.time()
        call.sent_at = loop.time()
        prompt = call.terms.prompt_tokens
        call.predicted_s = pool.predict_first_event(state, prompt, call.sent_at)
        call.unheard_outside = pool.begin_request(state, prompt)
        call.state = state
        call.seen_event = call.moved = call.overdue = False
        self._limits.note_sent(state)
        self._moves.begin(call, state)
        failed = False
        try:
            failure = await self._try(call, state)
            failed = failure in _TARGET_FAULTS or call.overdue
            if failure is None:
                pool.forecast.record_request_time(loop.time() - call.sent_at)
            return failure
        finally:
            pool.end_request(
                state,
                loop.time(),
                unanswered_out_of_subset=call.unheard_outside,
                rerouted=call.moved,
            )
            if call.seen_event:
                state.streaming -= 1
            else:
                state.local_unread_tokens -= prompt
            self._moves.end(call, state)
            pool.record_outcome(state, failed, loop.time())

    async def _try(
        self, call: GatewayCall, state: TargetState
    ) -> AttemptFailure | None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        left_s = call.deadline - now
        until = call.deadline
        plain = call.route.kind is RequestKind.IDEMPOTENT
        if plain and call.attempts.number < call.route.max_attempts:
            until = min(until, now + max(PLAIN_WAIT_S, left_s / 3))
        idle_s = 20.0 if call.route.repeatable else UNREPEATABLE_IDLE_S
        try:
            async with asyncio.timeout_at(until) as patience:
                call.patience = patience
                response = await self._http.send(
                    state.target.address,
                    self._make_request(call, state, left_s),
                    left_s + 1.0,
                    most_idle_s=idle_s,
                )
                try:
                    response = await self._match(call, response)
                    return await self._take_answer(call, state, response)
                except BaseException:
                    # The caller has gone, or time is over: closing the
                    # connection is what tells the upstream to stop.
                    response.abort()
                    raise
        except TimeoutError:
            return AttemptFailure.STALLED if call.moved else AttemptFailure.TIMED_OUT
        except CallerGoneError as error:
            raise error.cause from error
        except TransportError as error:
            if error.failure is TransportFailure.NOT_SENT:
                self._crashes.take_unsent(state)
            return _FAILURES[error.failure]

    def _make_request(
        self, call: GatewayCall, state: TargetState, left_s: float
    ) -> Request:
        asked = call.exchange.request
        headers = self._spelling.forward_headers(
            asked,
            state.target.instance,
            left_s,
            call.customer,
            call.urgency,
            call.cursor.last_id,
        )
        return Request(asked.method, asked.target, headers, asked.body)

    async def _match(
        self, call: GatewayCall, response: ClientResponse
    ) -> ClientResponse:
        """Return the answer to this request, past those to others.

        An answer that came a second time stands where this request's is
        due. Given on, a caller would read another's.
        """
        for _ in range(MOST_EXTRA_ANSWERS):
            answered = self._spelling.answered_request(response.headers)
            if answered in (call.terms.id, None):
                return response
            _log.warning(
                "answer-foreign",
                request=call.terms.id,
                echoed=answered,
            )
            response = await response.skip()
        raise TransportError(TransportFailure.MALFORMED, "too many foreign answers")

    async def _take_answer(
        self, call: GatewayCall, state: TargetState, response: ClientResponse
    ) -> AttemptFailure | None:
        now = asyncio.get_running_loop().time()
        load = self._spelling.read_load(response.headers)
        pool = self._index.find(call.service, call.terms.model)
        if load is not None:
            pool.record_reported_load(state, load.running + load.waiting, now)
        ran = not self._spelling.answers_unrun(response.status, response.headers)
        self._limits.note_answer(
            state, self._spelling.read_limit(response.headers), ran=ran
        )
        if not ran:
            await response.read()
            return AttemptFailure.REFUSED
        if call.route.kind is RequestKind.STREAM and _is_stream(response):
            return await self._pass_events(call, state, response)
        body = await response.read()
        state.last_event_at = asyncio.get_running_loop().time()
        # Plain work takes as long as it takes: that it came says enough.
        self._note_heard(call, pool, 0.0, state.last_event_at)
        if response.status >= SERVER_ERRORS:
            call.held = HeldAnswer(response, body)
            return AttemptFailure.FAILED
        if call.progress is not Progress.NOTHING:
            # Not the rest of what the caller has begun to read.
            call.progress = Progress.PARTIAL
            return AttemptFailure.LOST
        await self._pass_whole(call, response, body)
        return None

    async def _pass_whole(
        self, call: GatewayCall, response: ClientResponse, body: bytes
    ) -> None:
        call.first_s = asyncio.get_running_loop().time() - call.received
        headers = self._spelling.pass_headers(response.headers)
        with CALLER_SIDE:
            await call.exchange.respond(response.status, headers, body)

    async def _pass_events(
        self, call: GatewayCall, state: TargetState, response: ClientResponse
    ) -> AttemptFailure | None:
        loop = asyncio.get_running_loop()
        pool = self._index.find(call.service, call.terms.model)
        call.cursor.resume()
        while (data := await response.next_part()) is not None:
            now = loop.time()
            pool.record_event(state, now)
            if not call.seen_event:
                self._note_first_event(call, state, now)
            taken = call.cursor.feed(data)
            if isinstance(taken, Err):
                response.abort()
                return AttemptFailure.LOST
            if not taken.ok_value:
                continue
            if call.progress is Progress.NOTHING:
                await self._start_stream(call, response)
            else:
                pause_s = now - call.last_event_at
                call.longest_pause_s = max(call.longest_pause_s, pause_s)
            call.last_event_at = now
            await self._hand_on(call, state, taken.ok_value)
        return await self._end_stream(call, response)

    async def _hand_on(
        self, call: GatewayCall, state: TargetState, data: bytes
    ) -> None:
        """Give events to the caller, who may read slowly.

        Meanwhile the target's next events lie unread: it would be taken for
        silent, and its streams moved.
        """
        state.blocked_streams += 1
        try:
            with CALLER_SIDE:
                await call.exchange.write(data)
        finally:
            state.blocked_streams -= 1
            state.last_event_at = asyncio.get_running_loop().time()

    def _note_first_event(
        self, call: GatewayCall, state: TargetState, now: float
    ) -> None:
        call.seen_event = True
        state.streaming += 1
        state.local_unread_tokens -= call.terms.prompt_tokens
        pool = self._index.find(call.service, call.terms.model)
        took_s = now - call.sent_at
        pool.record_first_event(call.predicted_s, took_s)
        error_s = took_s - call.predicted_s
        self._note_heard(call, pool, error_s, now)
        self._gate.tally.add_error(call.terms.model or "", error_s)

    def _note_heard(
        self, call: GatewayCall, pool: TargetPool, late_s: float, now: float
    ) -> None:
        if call.unheard_outside:
            call.unheard_outside = False
            pool.record_out_of_subset_first_event(late_s, now)

    async def _start_stream(self, call: GatewayCall, response: ClientResponse) -> None:
        call.first_s = asyncio.get_running_loop().time() - call.received
        call.progress = Progress.RESUMABLE
        if not call.route.resumable or not call.cursor.resumable:
            call.progress = Progress.PARTIAL
        headers = self._spelling.pass_headers(response.headers)
        with CALLER_SIDE:
            await call.exchange.start(response.status, headers)

    async def _end_stream(
        self, call: GatewayCall, response: ClientResponse
    ) -> AttemptFailure | None:
        if call.cursor.finish().strip():
            # It stopped in the middle of an event: no whole answer.
            return AttemptFailure.LOST
        if call.progress is Progress.NOTHING:
            return AttemptFailure.LOST
        with CALLER_SIDE:
            await call.exchange.finish()
        return None


_TARGET_FAULTS = frozenset(
    {
        AttemptFailure.LOST,
        AttemptFailure.FAILED,
        AttemptFailure.TIMED_OUT,
        AttemptFailure.NOT_SENT,
    }
)


def _is_stream(response: ClientResponse) -> bool:
    kind = response.headers.get("content-type") or ""
    return response.status == HTTPStatus.OK and kind.startswith(EVENT_STREAM)
