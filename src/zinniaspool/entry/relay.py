"""Sends a request to an upstream and its response to the caller.

A failed attempt is retried at another upstream if the retry terms of the
request allow it. An interrupted event stream is resumed at another upstream.

The silence of an upstream does not end an attempt, since the upstream may go
on, and another one may refuse the request or be silent too. A second attempt
is begun beside the first one if the retry budget allows it. The first attempt
that has the next event or the whole response leads, and the others are ended.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import structlog
from result import Err, Ok, Result

from zinniaspool.core.decoding import parse_count
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
    """Timeouts after which an upstream of an idempotent request is silent.

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


@dataclass(slots=True, eq=False)
class _Attempt:
    """One attempt of a call.

    Attributes:
        number: Number of the attempt.
        state: State of its upstream.
        cursor: Position of its event stream.
        began_at: Time at which it began.
        task: Runs the attempt.
        latency_s: Seconds until its response headers arrived, or None before
            that.
        outcome: How it reflects on its upstream.
        silent: Whether its upstream is silent.
        silence_recorded: Whether the silence counts as a failure of its
            upstream.
        unfit: Whether its response cannot continue what the caller has
            received.
    """

    number: int
    state: UpstreamState
    cursor: EventCursor
    began_at: float
    task: "asyncio.Task[AttemptFailure | None] | None" = None
    latency_s: float | None = None
    outcome: AttemptOutcome = AttemptOutcome.ABANDONED
    silent: bool = False
    silence_recorded: bool = False
    unfit: bool = False


@dataclass(slots=True)
class _CallRun:
    """The state of a call in progress, which its attempts share.

    Attributes:
        sink: Receives the response.
        call: The call.
        pool: Upstreams that may run the call.
        attempts: Decides whether another attempt is allowed.
        cursor: Position in the event stream of the attempt that leads.
        progress: How much of the response has gone to the sink.
        status: HTTP status that has gone to the sink.
        version: Model version of the upstream that began the stream.
        tried: Upstreams that are not chosen again for this call.
        running: The attempts that go on.
        tasks: The tasks of all attempts so far.
        ended: The attempts whose tasks have ended.
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
    running: list[_Attempt] = field(default_factory=list)
    tasks: list["asyncio.Task[AttemptFailure | None]"] = field(default_factory=list)
    ended: "asyncio.Queue[_Attempt]" = field(default_factory=asyncio.Queue)


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
        attempts = Attempts(call.retry_terms, budget)
        run = _CallRun(sink, call, pool, attempts)
        try:
            return await self._run_attempts(run)
        finally:
            for task in run.tasks:
                task.cancel()
            await asyncio.gather(*run.tasks, return_exceptions=True)

    async def _run_attempts(self, run: _CallRun) -> Result[None, Fault]:
        fault = self._begin_next(run)
        while fault is None:
            attempt = await run.ended.get()
            if attempt not in run.running:
                continue
            run.running.remove(attempt)
            assert attempt.task is not None
            failure = attempt.task.result()
            if failure is None:
                return Ok(None)
            fault = self._handle_failure(run, attempt, failure)
        return Err(fault)

    def _handle_failure(
        self, run: _CallRun, attempt: _Attempt, failure: AttemptFailure
    ) -> Fault | None:
        if run.running:
            run.attempts.record_failure(failure)
            self._report_failure(run, attempt, failure, retried=True)
            self._begin_beside(run)
            return None
        progress = Progress.PARTIAL if attempt.unfit else run.progress
        now = asyncio.get_running_loop().time()
        fault = run.attempts.evaluate_failure(failure, progress, now)
        self._report_failure(run, attempt, failure, retried=fault is None)
        return fault or self._begin_next(run)

    def _choose_upstream(
        self, run: _CallRun, now: float, *, allow_probe: bool
    ) -> UpstreamState | None:
        call = run.call
        state = run.pool.choose(now, call.affinity, run.tried, allow_probe=allow_probe)
        if run.progress is Progress.NOTHING or state is None:
            return state
        if state.upstream.version == run.version:
            return state
        # Output of another model version would not continue the text that the
        # caller has already received.
        run.tried.append(state.upstream.id)
        return self._choose_upstream(run, now, allow_probe=allow_probe)

    def _begin_next(self, run: _CallRun) -> Fault | None:
        """Begin an attempt while no other one is running."""
        now = asyncio.get_running_loop().time()
        state = self._choose_upstream(
            run, now, allow_probe=run.call.retry_terms.idempotent
        )
        if state is None:
            return run.attempts.make_no_upstream_fault(ErrorKind.NO_UPSTREAM)
        begun = run.attempts.begin(now)
        if isinstance(begun, Err):
            return begun.err_value
        self._begin(run, state, now)
        return None

    def _begin_beside(self, run: _CallRun) -> None:
        """Begin an attempt beside the running ones if all are silent."""
        if run.progress is Progress.PARTIAL or not run.attempts.may_begin_alternative:
            return
        if not all(attempt.silent for attempt in run.running):
            return
        now = asyncio.get_running_loop().time()
        state = self._choose_upstream(run, now, allow_probe=False)
        if state is not None and run.attempts.begin_alternative(now):
            self._begin(run, state, now)

    def _begin(self, run: _CallRun, state: UpstreamState, now: float) -> None:
        cursor = EventCursor()
        cursor.last_id = run.cursor.last_id
        attempt = _Attempt(run.attempts.number, state, cursor, now)
        attempt.task = asyncio.create_task(self._run_attempt(run, attempt))
        attempt.task.add_done_callback(lambda _: self._end_attempt(run, attempt))
        run.tasks.append(attempt.task)
        run.running.append(attempt)
        run.tried.append(state.upstream.id)
        run.pool.begin(state, now)

    def _record_silence(self, run: _CallRun, attempt: _Attempt) -> None:
        now = asyncio.get_running_loop().time()
        attempt.silent = True
        is_late = attempt.latency_s is not None or run.pool.is_slow(
            now - attempt.began_at
        )
        if is_late and not attempt.silence_recorded:
            attempt.silence_recorded = True
            run.pool.record_silence(attempt.state, now)
        self._begin_beside(run)

    def _take_lead(self, run: _CallRun, attempt: _Attempt) -> None:
        """End the attempts beside one whose response goes on."""
        attempt.silent = False
        run.cursor = attempt.cursor
        if len(run.running) == 1:
            return
        for other in run.running:
            if other is attempt:
                continue
            assert other.task is not None
            other.task.cancel()
            run.attempts.record_failure(AttemptFailure.TIMED_OUT)
            if other.silent:
                failure = AttemptFailure.TIMED_OUT
                self._report_failure(run, other, failure, retried=True)
        run.running = [attempt]

    def _report_failure(
        self,
        run: _CallRun,
        attempt: _Attempt,
        failure: AttemptFailure,
        *,
        retried: bool,
    ) -> None:
        self._on_failure(
            FailedAttempt(
                run.call.id,
                run.call.customer,
                attempt.number,
                attempt.state.upstream.id,
                failure,
                retried,
            )
        )

    async def _run_attempt(
        self, run: _CallRun, attempt: _Attempt
    ) -> AttemptFailure | None:
        failure = await self._send_attempt(run, attempt)
        now = asyncio.get_running_loop().time()
        attempt.outcome = self._classify_outcome(run, attempt, failure, now)
        return failure

    def _end_attempt(self, run: _CallRun, attempt: _Attempt) -> None:
        now = asyncio.get_running_loop().time()
        answered = attempt.outcome is AttemptOutcome.ANSWERED
        duration_s = now - attempt.began_at if answered else None
        run.pool.end(attempt.state, now, attempt.outcome, attempt.latency_s, duration_s)
        run.ended.put_nowait(attempt)

    def _classify_outcome(
        self,
        run: _CallRun,
        attempt: _Attempt,
        failure: AttemptFailure | None,
        now: float,
    ) -> AttemptOutcome:
        match failure:
            case None:
                return AttemptOutcome.ANSWERED
            case AttemptFailure.REFUSED:
                return AttemptOutcome.REFUSED
            case AttemptFailure.TIMED_OUT if (
                attempt.silence_recorded or not run.pool.is_slow(now - attempt.began_at)
            ):
                return AttemptOutcome.ABANDONED
            case _:
                return AttemptOutcome.FAILED

    async def _send_attempt(
        self, run: _CallRun, attempt: _Attempt
    ) -> AttemptFailure | None:
        remaining_s = run.call.retry_terms.deadline - asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(remaining_s):
                response = await self._send_request(run, attempt, remaining_s)
                try:
                    return await self._relay_response(run, attempt, response)
                except BaseException:
                    # The caller has disconnected, the deadline has passed or
                    # another attempt leads. Closing the connection makes the
                    # upstream stop.
                    response.abort()
                    raise
        except TimeoutError:
            return AttemptFailure.TIMED_OUT
        except CallerGoneError as error:
            raise error.cause from error
        except TransportError as error:
            return _ATTEMPT_FAILURES[error.failure]

    async def _send_request(
        self, run: _CallRun, attempt: _Attempt, remaining_s: float
    ) -> ClientResponse:
        headers = _make_request_headers(run, attempt)
        request = Request("POST", run.call.upstream_path, headers, run.call.body)
        address = attempt.state.upstream.address
        if not run.call.retry_terms.idempotent:
            return await self._http.send(address, request, remaining_s, fresh=True)
        # A frozen upstream accepts requests and never responds, so part of
        # the time is reserved for an attempt at another upstream.
        limits = self._limits
        watchdog = StallWatchdog(
            max(limits.min_header_timeout_s, remaining_s * limits.header_timeout_share),
            lambda: self._record_silence(run, attempt),
        )
        try:
            return await self._http.send(address, request, remaining_s)
        finally:
            watchdog.cancel()

    def _record_response_head(
        self, run: _CallRun, attempt: _Attempt, response: ClientResponse
    ) -> None:
        now = asyncio.get_running_loop().time()
        attempt.latency_s = now - attempt.began_at
        headers = response.headers
        running = parse_count(headers.get("x-load-running") or "")
        if running is not None:
            load = running + (parse_count(headers.get("x-load-waiting") or "") or 0)
            counted_at = now - _LOAD_REPORT_LAG_S
            run.pool.record_load(attempt.state, load, counted_at, now)
        if headers.get("x-leaving") is not None:
            run.pool.mark_leaving(attempt.state, now)

    async def _relay_response(
        self, run: _CallRun, attempt: _Attempt, response: ClientResponse
    ) -> AttemptFailure | None:
        headers = response.headers
        echoed = (headers.get("x-request-id"), headers.get("x-attempt"))
        expected = (run.call.id, str(attempt.number))
        self._record_response_head(run, attempt, response)
        if headers.get(_NOT_RUN_HEADER) is not None and echoed in (
            expected,
            (None, None),
        ):
            await response.discard()
            return AttemptFailure.REFUSED
        if echoed != expected:
            # A response to another request must reach no caller, and the
            # requests and responses on its connection no longer correspond.
            response.abort()
            _log.error("answer-foreign", request=run.call.id, echoed=echoed[0])
            return AttemptFailure.FOREIGN
        if response.status >= _MIN_SERVER_ERROR_STATUS:
            await response.discard()
            return AttemptFailure.FAILED
        if run.progress is not Progress.NOTHING:
            return await self._resume_stream(run, attempt, response)
        if headers.get("content-length") is not None:
            body = await response.read()
            if run.progress is not Progress.NOTHING:
                return self._reject_response(attempt, response)
            self._take_lead(run, attempt)
            # No other attempt can answer, also while the caller reads.
            run.progress = Progress.PARTIAL
            with CALLER_SIDE:
                await run.sink.respond(
                    response.status, _filter_response_headers(run, headers), body
                )
            return None
        run.status, run.version = response.status, attempt.state.upstream.version
        is_event_stream = _is_event_stream(response)
        # After the headers of an event stream, no event is missing yet: an
        # upstream that begins the stream anew completes it. Otherwise, an
        # upstream that fails before its first token would cost the caller the
        # whole response.
        run.progress = Progress.RESUMABLE if is_event_stream else Progress.PARTIAL
        if not is_event_stream:
            self._take_lead(run, attempt)
        with CALLER_SIDE:
            await run.sink.start(
                response.status, _filter_response_headers(run, headers)
            )
        if is_event_stream:
            return await self._relay_events(run, attempt, response)
        async for data in response.stream():
            with CALLER_SIDE:
                await run.sink.write(data)
        with CALLER_SIDE:
            await run.sink.finish()
        return None

    async def _resume_stream(
        self, run: _CallRun, attempt: _Attempt, response: ClientResponse
    ) -> AttemptFailure | None:
        is_rest = (
            response.status == run.status
            and _is_event_stream(response)
            and attempt.state.upstream.version == run.version
        )
        if not is_rest:
            return self._reject_response(attempt, response)
        attempt.cursor.resume()
        return await self._relay_events(run, attempt, response)

    def _reject_response(
        self, attempt: _Attempt, response: ClientResponse
    ) -> AttemptFailure:
        """Reject a response that does not continue what the caller reads."""
        response.abort()
        attempt.unfit = True
        return AttemptFailure.LOST

    async def _relay_events(
        self, run: _CallRun, attempt: _Attempt, response: ClientResponse
    ) -> AttemptFailure | None:
        if not run.call.retry_terms.idempotent:
            return await self._relay_watched_events(run, attempt, response, None)
        watchdog = StallWatchdog(
            self._limits.stall_timeout_s, lambda: self._record_silence(run, attempt)
        )
        try:
            return await self._relay_watched_events(run, attempt, response, watchdog)
        finally:
            watchdog.cancel()

    async def _relay_watched_events(
        self,
        run: _CallRun,
        attempt: _Attempt,
        response: ClientResponse,
        watchdog: StallWatchdog | None,
    ) -> AttemptFailure | None:
        cursor = attempt.cursor
        async for data in response.stream():
            if watchdog is not None:
                watchdog.awaiting_data = False
            accepted = cursor.feed(data)
            if isinstance(accepted, Err):
                return self._reject_response(attempt, response)
            if accepted.ok_value:
                self._take_lead(run, attempt)
                run.progress = (
                    Progress.RESUMABLE if cursor.resumable else Progress.PARTIAL
                )
                with CALLER_SIDE:
                    await run.sink.write(accepted.ok_value)
            if watchdog is not None:
                watchdog.record_data()
        self._take_lead(run, attempt)
        with CALLER_SIDE:
            await run.sink.write(cursor.finish())
            await run.sink.finish()
        return None


def _make_request_headers(run: _CallRun, attempt: _Attempt) -> Headers:
    upstream = attempt.state.upstream
    headers = Headers.of(
        content_type="application/json",
        x_request_id=run.call.id,
        x_attempt=str(attempt.number),
    )
    if upstream.group is not None:
        headers.add("x-group", upstream.group).add("x-epoch", str(upstream.epoch))
    if run.call.urgency != NORMAL_URGENCY:
        headers.add("priority", f"u={run.call.urgency}")
    if run.call.cache_salt:
        headers.add("x-cache-salt", run.call.cache_salt)
    if attempt.cursor.resumable:
        headers.add("last-event-id", str(attempt.cursor.last_id))
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
