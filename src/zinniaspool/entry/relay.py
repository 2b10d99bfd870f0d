"""Sends a request upstream and its answer back."""

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from types import TracebackType

import structlog
from result import Err, Ok, Result

from zinniaspool.core.errors import ErrorKind, Fault
from zinniaspool.core.ids import CustomerId, RequestId
from zinniaspool.core.requests import (
    NORMAL_URGENCY,
    AttemptFailure,
    Attempts,
    CallTerms,
    EventCursor,
    Progress,
    RetryBudget,
    Router,
    Upstream,
)
from zinniaspool.entry.sinks import AnswerSink
from zinniaspool.http import (
    ClientResponse,
    Headers,
    HttpClient,
    Request,
    TransportError,
    TransportFailure,
)

__all__ = ["Relay", "RelayedCall"]

_log = structlog.get_logger(__name__)
_PASSED_ON = ("content-type",)
_NOT_RUN = "x-not-run"
_SERVER_ERRORS = 500
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
    """

    id: RequestId
    customer: CustomerId
    target: str
    body: bytes
    terms: CallTerms
    urgency: int = NORMAL_URGENCY


@dataclass(slots=True)
class _Run:
    """One call while it is carried: what its attempts share."""

    sink: AnswerSink
    call: RelayedCall
    attempts: Attempts
    cursor: EventCursor = field(default_factory=EventCursor)
    progress: Progress = Progress.NOTHING
    status: int = 0


class Relay:
    """Chooses upstreams and carries requests and answers.

    Args:
        http: Connections to upstreams.
        source: The random source of the routing.
    """

    def __init__(self, http: HttpClient, source: random.Random) -> None:
        self._http = http
        self._router = Router(source)
        self._budgets: dict[CustomerId, RetryBudget] = {}

    async def run(
        self, sink: AnswerSink, call: RelayedCall, upstreams: Sequence[Upstream]
    ) -> Result[None, Fault]:
        """Run a call and answer it, or return why it has no answer.

        Once part of an answer has gone to ``sink``, an error means that the
        rest cannot come; the caller's connection must then be cut.
        """
        budget = self._budgets.setdefault(call.customer, RetryBudget())
        budget.deposit()
        run = _Run(sink, call, Attempts(call.terms, budget))
        left = list(upstreams)
        if not left:
            return Err(Fault(ErrorKind.NO_UPSTREAM))
        while (upstream := self._router.choose(left)) is not None:
            left.remove(upstream)
            begun = run.attempts.begin(asyncio.get_running_loop().time())
            if isinstance(begun, Err):
                return begun
            failure = await self._count_attempt(run, upstream)
            if failure is None:
                return Ok(None)
            fault = run.attempts.judge(
                failure, run.progress, asyncio.get_running_loop().time()
            )
            _log.info(
                "attempt-failed",
                request=call.id,
                attempt=run.attempts.number,
                upstream=upstream.id,
                failure=failure.value,
                again=fault is None,
            )
            if fault is not None:
                return Err(fault)
        return Err(run.attempts.end_without_upstream(ErrorKind.OVERLOADED))

    async def _count_attempt(
        self, run: _Run, upstream: Upstream
    ) -> AttemptFailure | None:
        self._router.begin(upstream.id)
        try:
            return await self._try_upstream(run, upstream)
        finally:
            self._router.end(upstream.id)

    async def _try_upstream(
        self, run: _Run, upstream: Upstream
    ) -> AttemptFailure | None:
        terms = run.call.terms
        left_s = terms.deadline - asyncio.get_running_loop().time()
        request = Request(
            "POST", run.call.target, _make_headers(run, upstream), run.call.body
        )
        try:
            async with asyncio.timeout(left_s):
                response = await self._http.send(
                    upstream.address, request, left_s, fresh=not terms.idempotent
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
        except _SinkClosedError as error:
            raise error.cause from error
        except TransportError as error:
            return _FAILURES[error.failure]

    async def _take_answer(
        self, run: _Run, response: ClientResponse
    ) -> AttemptFailure | None:
        headers = response.headers
        echoed = (headers.get("x-request-id"), headers.get("x-attempt"))
        asked = (run.call.id, str(run.attempts.number))
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
            with _CALLER_SIDE:
                await run.sink.respond(
                    response.status, _pass_headers(run, headers), body
                )
            return None
        run.status = response.status
        run.progress = Progress.PARTIAL
        with _CALLER_SIDE:
            await run.sink.start(response.status, _pass_headers(run, headers))
        if _is_event_stream(response):
            return await self._pass_events(run, response)
        async for data in response.stream():
            with _CALLER_SIDE:
                await run.sink.write(data)
        with _CALLER_SIDE:
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
        async for data in response.stream():
            taken = run.cursor.take(data)
            if isinstance(taken, Err):
                response.abort()
                run.progress = Progress.PARTIAL
                return AttemptFailure.LOST
            if run.cursor.resumable:
                run.progress = Progress.RESUMABLE
            if taken.ok_value:
                with _CALLER_SIDE:
                    await run.sink.write(taken.ok_value)
        with _CALLER_SIDE:
            await run.sink.write(run.cursor.end())
            await run.sink.finish()
        return None


class _SinkClosedError(Exception):
    """The caller's side failed, which is no failure of the upstream."""

    def __init__(self, cause: TransportError) -> None:
        super().__init__(str(cause))
        self.cause = cause


class _CallerSide:
    """Keeps a caller's failure apart from the upstream's.

    Both raise the same error. Taken for a lost upstream, a caller that has
    gone would have its request sent to another one, for nobody.
    """

    def __enter__(self) -> None:
        return None

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if isinstance(error, TransportError):
            raise _SinkClosedError(error) from error


_CALLER_SIDE = _CallerSide()


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
    if run.progress is Progress.RESUMABLE:
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
