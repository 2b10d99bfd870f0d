"""Sends a request upstream and its answer back."""

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
from zinniaspool.entry.stalls import StallWatch
from zinniaspool.http import (
    ClientResponse,
    Headers,
    HttpClient,
    Request,
    TransportError,
    TransportFailure,
)
from zinniaspool.http.sides import CALLER_SIDE, CallerGoneError

__all__ = ["FailedAttempt", "Relay", "RelayLimits", "RelayedCall"]

_log = structlog.get_logger(__name__)
_PASSED_ON = ("content-type",)
_NOT_RUN = "x-not-run"
_SERVER_ERRORS = 500
"""HTTP statuses from here on are the upstream's failures."""
_LOAD_LAG_S = 0.25
"""Seconds by which an engine's load is behind; the engines' figure."""
_EVENT_STREAM = "text/event-stream"

_FAILURES = {
    TransportFailure.NOT_SENT: AttemptFailure.NOT_SENT,
    TransportFailure.TIMED_OUT: AttemptFailure.TIMED_OUT,
    TransportFailure.CUT: AttemptFailure.LOST,
    TransportFailure.MALFORMED: AttemptFailure.LOST,
}


@dataclass(frozen=True, slots=True)
class RelayedCall:
    """One request on its way upstream.

    Attributes:
        id: Checked on the answer, with the attempt's number.
        customer: Whose request it is.
        target: Path at the upstream.
        body: As the caller sent it.
        terms: Its deadline, and whether it may run more than once.
        urgency: 0 is the most urgent, for upstreams that honour it.
        affinity: Hash of its prefix, or None.
        salt: Keeps the customer's cached prefixes apart from others'.
    """

    id: RequestId
    customer: CustomerId
    target: str
    body: bytes
    terms: RetryTerms
    urgency: int = NORMAL_URGENCY
    affinity: int | None = None
    salt: str = ""


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """One attempt that failed, for the process's journal."""

    request: RequestId
    customer: CustomerId
    attempt: int
    upstream: UpstreamId
    failure: AttemptFailure
    again: bool


@dataclass(frozen=True, slots=True)
class RelayLimits:
    """How long an idempotent attempt waits before another is tried.

    Attributes:
        head_part: Part of the time left that one attempt may take until its
            answer begins.
        least_head_s: What it may take in any case.
        stall_s: Longest silence of a stream.
    """

    head_part: float = 0.5
    least_head_s: float = 2.0
    stall_s: float = 3.0


@dataclass(slots=True)
class _Run:
    """One call while it is carried: what its attempts share."""

    sink: AnswerSink
    call: RelayedCall
    pool: UpstreamPool
    attempts: Attempts
    cursor: EventCursor = field(default_factory=EventCursor)
    progress: Progress = Progress.NOTHING
    status: int = 0
    version: ModelVersion | None = None
    tried: list[UpstreamId] = field(default_factory=list)
    state: UpstreamState | None = None
    began: float = 0.0
    latency_s: float | None = None


class Relay:
    """Chooses upstreams and carries requests and answers.

    Args:
        http: Connections to upstreams.
        on_failure: Told of each attempt that failed.
        limits: How long attempts wait.
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
        """Run a call and answer it, or return why it has no answer.

        Once part of an answer has gone to ``sink``, an error means that the
        rest cannot come; the caller's connection must then be cut.
        """
        budget = self._budgets.get(call.customer)
        if budget is None:
            budget = self._budgets[call.customer] = RetryBudget()
        budget.deposit()
        run = _Run(sink, call, pool, Attempts(call.terms, budget))
        loop = asyncio.get_running_loop()
        while (state := self._choose(run, loop.time())) is not None:
            begun = run.attempts.begin(loop.time())
            if isinstance(begun, Err):
                return begun
            failure = await self._count_attempt(run, state)
            if failure is None:
                return Ok(None)
            run.tried.append(state.upstream.id)
            fault = run.attempts.evaluate_failure(failure, run.progress, loop.time())
            self._report_failure(run, state, failure, again=fault is None)
            if fault is not None:
                return Err(fault)
        return Err(run.attempts.make_no_upstream_fault(ErrorKind.NO_UPSTREAM))

    def _choose(self, run: _Run, now: float) -> UpstreamState | None:
        call = run.call
        state = run.pool.choose(
            now, call.affinity, run.tried, allow_probe=call.terms.idempotent
        )
        if run.progress is Progress.NOTHING or state is None:
            return state
        if state.upstream.version == run.version:
            return state
        # The rest of a stream by another version would not fit its beginning.
        run.tried.append(state.upstream.id)
        return self._choose(run, now)

    def _report_failure(
        self, run: _Run, state: UpstreamState, failure: AttemptFailure, *, again: bool
    ) -> None:
        self._on_failure(
            FailedAttempt(
                run.call.id,
                run.call.customer,
                run.attempts.number,
                state.upstream.id,
                failure,
                again,
            )
        )

    async def _count_attempt(
        self, run: _Run, state: UpstreamState
    ) -> AttemptFailure | None:
        loop = asyncio.get_running_loop()
        run.began, run.latency_s = loop.time(), None
        run.state = state
        run.pool.begin(state, run.began)
        end = AttemptOutcome.ABANDONED
        try:
            failure = await self._try_upstream(run, state.upstream)
            end = self._judge_upstream(run, failure, loop.time())
            return failure
        finally:
            now = loop.time()
            stay_s = now - run.began if end is AttemptOutcome.ANSWERED else None
            run.pool.end(state, now, end, run.latency_s, stay_s)

    def _judge_upstream(
        self, run: _Run, failure: AttemptFailure | None, now: float
    ) -> AttemptOutcome:
        match failure:
            case None:
                return AttemptOutcome.ANSWERED
            case AttemptFailure.REFUSED:
                return AttemptOutcome.REFUSED
            case AttemptFailure.TIMED_OUT if not run.pool.is_slow(now - run.began):
                return AttemptOutcome.ABANDONED
            case _:
                return AttemptOutcome.FAILED

    async def _try_upstream(
        self, run: _Run, upstream: Upstream
    ) -> AttemptFailure | None:
        terms = run.call.terms
        left_s = terms.deadline - asyncio.get_running_loop().time()
        headers = _make_headers(run, upstream)
        request = Request("POST", run.call.target, headers, run.call.body)
        head_s = left_s
        if terms.idempotent:
            # A frozen upstream takes requests and says nothing: part of the
            # time is kept for another one.
            limits = self._limits
            head_s = max(limits.least_head_s, left_s * limits.head_part)
        try:
            async with asyncio.timeout(left_s):
                response = await self._http.send(
                    upstream.address,
                    request,
                    min(head_s, left_s),
                    fresh=not terms.idempotent,
                )
                try:
                    return await self._take_answer(run, response)
                except BaseException:
                    # The caller has gone, or time is over: closing the
                    # connection is what tells the upstream to stop.
                    response.abort()
                    raise
        except TimeoutError:
            return AttemptFailure.TIMED_OUT
        except CallerGoneError as error:
            raise error.cause from error
        except TransportError as error:
            return _FAILURES[error.failure]

    def _note_head(self, run: _Run, response: ClientResponse) -> None:
        now = asyncio.get_running_loop().time()
        run.latency_s = now - run.began
        assert run.state is not None
        headers = response.headers
        running = headers.get("x-load-running")
        if running is not None and running.isdecimal():
            waiting = headers.get("x-load-waiting") or "0"
            load = int(running) + (int(waiting) if waiting.isdecimal() else 0)
            run.pool.record_load(run.state, load, now - _LOAD_LAG_S, now)
        if headers.get("x-leaving") is not None:
            run.pool.mark_leaving(run.state, now)

    async def _take_answer(
        self, run: _Run, response: ClientResponse
    ) -> AttemptFailure | None:
        headers = response.headers
        echoed = (headers.get("x-request-id"), headers.get("x-attempt"))
        asked = (run.call.id, str(run.attempts.number))
        self._note_head(run, response)
        if headers.get(_NOT_RUN) is not None and echoed in (asked, (None, None)):
            await response.read()
            return AttemptFailure.REFUSED
        if echoed != asked:
            # An answer to another request must reach nobody, and the
            # connection that brought it is out of step.
            response.abort()
            _log.error("answer-foreign", request=run.call.id, echoed=echoed[0])
            return AttemptFailure.FOREIGN
        if response.status >= _SERVER_ERRORS:
            await response.read()
            return AttemptFailure.FAILED
        if run.progress is not Progress.NOTHING:
            return await self._resume_stream(run, response)
        if headers.get("content-length") is not None:
            body = await response.read()
            with CALLER_SIDE:
                await run.sink.respond(
                    response.status, _pass_headers(run, headers), body
                )
            return None
        assert run.state is not None
        run.status, run.version = response.status, run.state.upstream.version
        events = _is_event_stream(response)
        # Of a stream of events the head alone leaves nothing out: whoever
        # begins the stream anew completes it. Without this, an upstream lost
        # before its first token costs the caller the whole answer.
        run.progress = Progress.RESUMABLE if events else Progress.PARTIAL
        with CALLER_SIDE:
            await run.sink.start(response.status, _pass_headers(run, headers))
        if events:
            return await self._pass_events(run, response)
        async for data in response.stream():
            with CALLER_SIDE:
                await run.sink.write(data)
        with CALLER_SIDE:
            await run.sink.finish()
        return None

    async def _resume_stream(
        self, run: _Run, response: ClientResponse
    ) -> AttemptFailure | None:
        if response.status != run.status or not _is_event_stream(response):
            # Not the rest of what the caller has begun to read.
            response.abort()
            run.progress = Progress.PARTIAL
            return AttemptFailure.LOST
        run.cursor.resume()
        return await self._pass_events(run, response)

    async def _pass_events(
        self, run: _Run, response: ClientResponse
    ) -> AttemptFailure | None:
        stalls = run.call.terms.idempotent
        watch = StallWatch(response, self._limits.stall_s) if stalls else None
        try:
            return await self._pass_watched_events(run, response, watch)
        finally:
            if watch is not None:
                watch.cancel()

    async def _pass_watched_events(
        self, run: _Run, response: ClientResponse, watch: StallWatch | None
    ) -> AttemptFailure | None:
        async for data in response.stream():
            if watch is not None:
                watch.waiting = False
            taken = run.cursor.feed(data)
            if isinstance(taken, Err):
                response.abort()
                run.progress = Progress.PARTIAL
                return AttemptFailure.LOST
            if taken.ok_value:
                resumable = run.cursor.resumable
                run.progress = Progress.RESUMABLE if resumable else Progress.PARTIAL
                with CALLER_SIDE:
                    await run.sink.write(taken.ok_value)
            if watch is not None:
                watch.touch()
        with CALLER_SIDE:
            await run.sink.write(run.cursor.finish())
            await run.sink.finish()
        return None


def _make_headers(run: _Run, upstream: Upstream) -> Headers:
    headers = Headers.of(
        content_type="application/json",
        x_request_id=run.call.id,
        x_attempt=str(run.attempts.number),
    )
    if upstream.group is not None:
        headers.add("x-group", upstream.group).add("x-epoch", str(upstream.epoch))
    if run.call.urgency != NORMAL_URGENCY:
        headers.add("priority", f"u={run.call.urgency}")
    if run.call.salt:
        headers.add("x-cache-salt", run.call.salt)
    if run.cursor.resumable:
        headers.add("last-event-id", str(run.cursor.last_id))
    return headers


def _pass_headers(run: _Run, headers: Headers) -> Headers:
    passed = Headers.of(x_request_id=run.call.id)
    for name in _PASSED_ON:
        value = headers.get(name)
        if value is not None:
            passed.add(name, value)
    return passed


def _is_event_stream(response: ClientResponse) -> bool:
    return (response.headers.get("content-type") or "").startswith(_EVENT_STREAM)
