"""Sends a request to an upstream and its response to the caller.

A failed attempt is retried at another upstream if the retry terms of the
request allow it. An interrupted event stream is resumed at another upstream.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import structlog
from result import Err, Ok, Result

from zinniaspool.core.errors import ErrorKind, Fault
from zinniaspool.core.ids import CustomerId, ModelVersion, RequestId, UpstreamId
from zinniaspool.core.requests import (
    NORMAL_URGENCY,
    AttemptFailure,
    AttemptOutcome,
    Attempts,
    EventCursor,
    Progress,
    RetryBudget,
    RetryTerms,
    Upstream,
    UpstreamPool,
    UpstreamState,
)
from zinniaspool.entry.sinks import AnswerSink
from zinniaspool.entry.stalls import StallWatchdog
from zinniaspool.http import (
    ClientResponse,
    Headers,
    HttpClient,
    Request,
    TransportError,
    TransportFailure,
)
from zinniaspool.http.sides import CALLER_SIDE, CallerGoneError

__all__ = ["FailedAttempt", "RelayLimits", "RelayedCall", "RequestRelay"]

_log = structlog.get_logger(__name__)
_FORWARDED_HEADERS = ("content-type",)
_NOT_RUN_HEADER = "x-not-run"
_MIN_SERVER_ERROR_STATUS = 500
"""Lowest HTTP status that counts as a failure of the upstream."""
_LOAD_REPORT_LAG_S = 0.25
"""Seconds by which a load report is out of date, as stated by the engines."""
_EVENT_STREAM_TYPE = "text/event-stream"

_ATTEMPT_FAILURES = {
    TransportFailure.NOT_SENT: AttemptFailure.NOT_SENT,
    TransportFailure.TIMED_OUT: AttemptFailure.TIMED_OUT,
    TransportFailure.CUT: AttemptFailure.LOST,
    TransportFailure.MALFORMED: AttemptFailure.LOST,
}


@dataclass(frozen=True, slots=True)
class RelayedCall:
    """A request to send to an upstream.

    Attributes:
        id: Identifier of the request. The response must repeat it, together
            with the number of the attempt.
        customer: Customer whose request it is.
        upstream_path: Path of the request at the upstream.
        body: Body of the request as the caller sent it.
        retry_terms: Deadline of the request, and whether it may run more than
            once.
        urgency: Urgency for upstreams that honour it; 0 is the most urgent.
        affinity: Hash of the body's prefix, or None.
        cache_salt: Separates the cached prefixes of the customer from those
            of other customers.
    """

    id: RequestId
    customer: CustomerId
    upstream_path: str
    body: bytes
    retry_terms: RetryTerms
    urgency: int = NORMAL_URGENCY
    affinity: int | None = None
    cache_salt: str = ""


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """A failed attempt, for the journal of this process.

    Attributes:
        request: Identifier of the request.
        customer: Customer whose request it is.
        attempt: Number of the attempt.
        upstream: Upstream of the attempt.
        failure: How the attempt failed.
        retried: Whether another attempt is allowed.
    """

    request: RequestId
    customer: CustomerId
    attempt: int
    upstream: UpstreamId
    failure: AttemptFailure
    retried: bool


@dataclass(frozen=True, slots=True)
class RelayLimits:
    """Timeouts after which an attempt of an idempotent request has failed.

    Attributes:
        header_timeout_share: Share of the remaining time that an attempt may
            take until its response headers arrive.
        min_header_timeout_s: Minimum timeout in seconds until the response
            headers arrive.
        stall_timeout_s: Maximum seconds between two pieces of a stream.
    """

    header_timeout_share: float = 0.5
    min_header_timeout_s: float = 2.0
    stall_timeout_s: float = 3.0


@dataclass(slots=True)
class _CallRun:
    """The state of a call in progress, which its attempts share.

    Attributes:
        sink: Receives the response.
        call: The call.
        pool: Upstreams that may run the call.
        attempts: Decides whether another attempt is allowed.
        cursor: Position in the event stream.
        progress: How much of the response has gone to the sink.
        status: HTTP status that has gone to the sink.
        version: Model version of the upstream that began the stream.
        tried: Upstreams that are not chosen again for this call.
        upstream_state: State of the current attempt's upstream.
        attempt_began_at: Time at which the current attempt began.
        latency_s: Seconds until the response headers of the current attempt
            arrived, or None before that.
    """

    sink: AnswerSink
    call: RelayedCall
    pool: UpstreamPool
    attempts: Attempts
    cursor: EventCursor = field(default_factory=EventCursor)
    progress: Progress = Progress.NOTHING
    status: int = 0
    version: ModelVersion | None = None
    tried: list[UpstreamId] = field(default_factory=list)
    upstream_state: UpstreamState | None = None
    attempt_began_at: float = 0.0
    latency_s: float | None = None


class RequestRelay:
    """Chooses upstreams, sends them requests and relays their responses.

    Args:
        http: Client that sends the requests to the upstreams.
        on_failure: Called with each failed attempt.
        limits: Timeouts of the attempts of idempotent requests.
    """

    def __init__(
        self,
        http: HttpClient,
        on_failure: Callable[[FailedAttempt], None] = lambda _: None,
        limits: RelayLimits | None = None,
    ) -> None:
        self._limits = limits or RelayLimits()
        self._http = http
        self._on_failure = on_failure
        self._budgets: dict[CustomerId, RetryBudget] = {}

    async def run(
        self, sink: AnswerSink, call: RelayedCall, pool: UpstreamPool
    ) -> Result[None, Fault]:
        """Run a call and respond to it, or return why there is no response.

        Once part of a response has gone to ``sink``, an error means that the
        rest cannot follow. The caller's connection must then be cut.
        """
        budget = self._budgets.get(call.customer)
        if budget is None:
            budget = self._budgets[call.customer] = RetryBudget()
        budget.deposit()
        run = _CallRun(sink, call, pool, Attempts(call.retry_terms, budget))
        loop = asyncio.get_running_loop()
        while (state := self._choose_upstream(run, loop.time())) is not None:
            begun = run.attempts.begin(loop.time())
            if isinstance(begun, Err):
                return begun
            failure = await self._run_attempt(run, state)
            if failure is None:
                return Ok(None)
            run.tried.append(state.upstream.id)
            fault = run.attempts.evaluate_failure(failure, run.progress, loop.time())
            self._report_failure(run, state, failure, retried=fault is None)
            if fault is not None:
                return Err(fault)
        return Err(run.attempts.make_no_upstream_fault(ErrorKind.NO_UPSTREAM))

    def _choose_upstream(self, run: _CallRun, now: float) -> UpstreamState | None:
        call = run.call
        state = run.pool.choose(
            now, call.affinity, run.tried, allow_probe=call.retry_terms.idempotent
        )
        if run.progress is Progress.NOTHING or state is None:
            return state
        if state.upstream.version == run.version:
            return state
        # Output of another model version would not continue the text that the
        # caller has already received.
        run.tried.append(state.upstream.id)
        return self._choose_upstream(run, now)

    def _report_failure(
        self,
        run: _CallRun,
        state: UpstreamState,
        failure: AttemptFailure,
        *,
        retried: bool,
    ) -> None:
        self._on_failure(
            FailedAttempt(
                run.call.id,
                run.call.customer,
                run.attempts.number,
                state.upstream.id,
                failure,
                retried,
            )
        )

    async def _run_attempt(
        self, run: _CallRun, state: UpstreamState
    ) -> AttemptFailure | None:
        loop = asyncio.get_running_loop()
        run.attempt_began_at, run.latency_s = loop.time(), None
        run.upstream_state = state
        run.pool.begin(state, run.attempt_began_at)
        outcome = AttemptOutcome.ABANDONED
        try:
            failure = await self._send_attempt(run, state.upstream)
            outcome = self._classify_outcome(run, failure, loop.time())
            return failure
        finally:
            now = loop.time()
            duration_s = (
                now - run.attempt_began_at
                if outcome is AttemptOutcome.ANSWERED
                else None
            )
            run.pool.end(state, now, outcome, run.latency_s, duration_s)

    def _classify_outcome(
        self, run: _CallRun, failure: AttemptFailure | None, now: float
    ) -> AttemptOutcome:
        match failure:
            case None:
                return AttemptOutcome.ANSWERED
            case AttemptFailure.REFUSED:
                return AttemptOutcome.REFUSED
            case AttemptFailure.TIMED_OUT if not run.pool.is_slow(
                now - run.attempt_began_at
            ):
                return AttemptOutcome.ABANDONED
            case _:
                return AttemptOutcome.FAILED

    async def _send_attempt(
        self, run: _CallRun, upstream: Upstream
    ) -> AttemptFailure | None:
        terms = run.call.retry_terms
        remaining_s = terms.deadline - asyncio.get_running_loop().time()
        headers = _make_request_headers(run, upstream)
        request = Request("POST", run.call.upstream_path, headers, run.call.body)
        header_timeout_s = remaining_s
        if terms.idempotent:
            # A frozen upstream accepts requests and never responds, so part of
            # the time is reserved for an attempt at another upstream.
            limits = self._limits
            header_timeout_s = max(
                limits.min_header_timeout_s, remaining_s * limits.header_timeout_share
            )
        try:
            async with asyncio.timeout(remaining_s):
                response = await self._http.send(
                    upstream.address,
                    request,
                    min(header_timeout_s, remaining_s),
                    fresh=not terms.idempotent,
                )
                try:
                    return await self._relay_response(run, response)
                except BaseException:
                    # The caller has disconnected or the deadline has passed.
                    # Closing the connection makes the upstream stop.
                    response.abort()
                    raise
        except TimeoutError:
            return AttemptFailure.TIMED_OUT
        except CallerGoneError as error:
            raise error.cause from error
        except TransportError as error:
            return _ATTEMPT_FAILURES[error.failure]

    def _record_response_head(self, run: _CallRun, response: ClientResponse) -> None:
        now = asyncio.get_running_loop().time()
        run.latency_s = now - run.attempt_began_at
        assert run.upstream_state is not None
        headers = response.headers
        running = headers.get("x-load-running")
        if running is not None and running.isdecimal():
            waiting = headers.get("x-load-waiting") or "0"
            load = int(running) + (int(waiting) if waiting.isdecimal() else 0)
            run.pool.record_load(
                run.upstream_state, load, now - _LOAD_REPORT_LAG_S, now
            )
        if headers.get("x-leaving") is not None:
            run.pool.mark_leaving(run.upstream_state, now)

    async def _relay_response(
        self, run: _CallRun, response: ClientResponse
    ) -> AttemptFailure | None:
        headers = response.headers
        echoed = (headers.get("x-request-id"), headers.get("x-attempt"))
        expected = (run.call.id, str(run.attempts.number))
        self._record_response_head(run, response)
        if headers.get(_NOT_RUN_HEADER) is not None and echoed in (
            expected,
            (None, None),
        ):
            await response.read()
            return AttemptFailure.REFUSED
        if echoed != expected:
            # A response to another request must reach no caller, and the
            # requests and responses on its connection no longer correspond.
            response.abort()
            _log.error("answer-foreign", request=run.call.id, echoed=echoed[0])
            return AttemptFailure.FOREIGN
        if response.status >= _MIN_SERVER_ERROR_STATUS:
            await response.read()
            return AttemptFailure.FAILED
        if run.progress is not Progress.NOTHING:
            return await self._resume_stream(run, response)
        if headers.get("content-length") is not None:
            body = await response.read()
            with CALLER_SIDE:
                await run.sink.respond(
                    response.status, _filter_response_headers(run, headers), body
                )
            return None
        assert run.upstream_state is not None
        run.status, run.version = response.status, run.upstream_state.upstream.version
        is_event_stream = _is_event_stream(response)
        # After the headers of an event stream, no event is missing yet: an
        # upstream that begins the stream anew completes it. Otherwise, an
        # upstream that fails before its first token would cost the caller the
        # whole response.
        run.progress = Progress.RESUMABLE if is_event_stream else Progress.PARTIAL
        with CALLER_SIDE:
            await run.sink.start(
                response.status, _filter_response_headers(run, headers)
            )
        if is_event_stream:
            return await self._relay_events(run, response)
        async for data in response.stream():
            with CALLER_SIDE:
                await run.sink.write(data)
        with CALLER_SIDE:
            await run.sink.finish()
        return None

    async def _resume_stream(
        self, run: _CallRun, response: ClientResponse
    ) -> AttemptFailure | None:
        if response.status != run.status or not _is_event_stream(response):
            # The response is not the rest of the stream that the caller reads.
            response.abort()
            run.progress = Progress.PARTIAL
            return AttemptFailure.LOST
        run.cursor.resume()
        return await self._relay_events(run, response)

    async def _relay_events(
        self, run: _CallRun, response: ClientResponse
    ) -> AttemptFailure | None:
        may_repeat = run.call.retry_terms.idempotent
        watchdog = (
            StallWatchdog(response, self._limits.stall_timeout_s)
            if may_repeat
            else None
        )
        try:
            return await self._relay_watched_events(run, response, watchdog)
        finally:
            if watchdog is not None:
                watchdog.cancel()

    async def _relay_watched_events(
        self, run: _CallRun, response: ClientResponse, watchdog: StallWatchdog | None
    ) -> AttemptFailure | None:
        async for data in response.stream():
            if watchdog is not None:
                watchdog.awaiting_data = False
            accepted = run.cursor.feed(data)
            if isinstance(accepted, Err):
                response.abort()
                run.progress = Progress.PARTIAL
                return AttemptFailure.LOST
            if accepted.ok_value:
                resumable = run.cursor.resumable
                run.progress = Progress.RESUMABLE if resumable else Progress.PARTIAL
                with CALLER_SIDE:
                    await run.sink.write(accepted.ok_value)
            if watchdog is not None:
                watchdog.record_data()
        with CALLER_SIDE:
            await run.sink.write(run.cursor.finish())
            await run.sink.finish()
        return None


def _make_request_headers(run: _CallRun, upstream: Upstream) -> Headers:
    headers = Headers.of(
        content_type="application/json",
        x_request_id=run.call.id,
        x_attempt=str(run.attempts.number),
    )
    if upstream.group is not None:
        headers.add("x-group", upstream.group).add("x-epoch", str(upstream.epoch))
    if run.call.urgency != NORMAL_URGENCY:
        headers.add("priority", f"u={run.call.urgency}")
    if run.call.cache_salt:
        headers.add("x-cache-salt", run.call.cache_salt)
    if run.cursor.resumable:
        headers.add("last-event-id", str(run.cursor.last_id))
    return headers


def _filter_response_headers(run: _CallRun, headers: Headers) -> Headers:
    passed = Headers.of(x_request_id=run.call.id)
    for name in _FORWARDED_HEADERS:
        value = headers.get(name)
        if value is not None:
            passed.add(name, value)
    return passed


def _is_event_stream(response: ClientResponse) -> bool:
    return (response.headers.get("content-type") or "").startswith(_EVENT_STREAM_TYPE)
