"""The relay over real connections.

The tests cover failed upstreams, responses to other requests and callers that
disconnect.
"""

import asyncio
import random
from collections.abc import Iterable

import pytest
from result import Result

from tests import fakes
from tests.fakes import FakeUpstream, run_in_loop
from zinniaspool.core.errors import ErrorKind, Fault
from zinniaspool.core.ids import (
    Address,
    CustomerId,
    FailureDomainId,
    ModelVersion,
    RequestId,
    UpstreamId,
)
from zinniaspool.core.requests import (
    RetryBudget,
    RetryTerms,
    Upstream,
    UpstreamPool,
    UpstreamReport,
)
from zinniaspool.entry.answers import answer_fault
from zinniaspool.entry.relay import RelayedCall, RelayLimits, RequestRelay
from zinniaspool.entry.sinks import AnswerSink, RecordingSink
from zinniaspool.http import (
    Exchange,
    Headers,
    HttpClient,
    HttpServer,
    Request,
    TransportError,
    TransportFailure,
)

_TOKENS = b"".join(b"id: %d\ndata: t%d\n\n" % (k, k) for k in range(1, 7))
_WHOLE = _TOKENS + b"event: done\ndata: {}\n\n"
_PAUSE_S = 1.0
"""Silence of a sound upstream, longer than all timeouts of the relay."""


class _RelayServer:
    """An HTTP server that answers every request by the relay."""

    def __init__(
        self,
        upstreams: list[FakeUpstream],
        idempotent: bool,
        versions: list[ModelVersion] | None = None,
        retry_tokens: float = 10.0,
    ) -> None:
        self.faults: list[ErrorKind] = []
        domain = FailureDomainId("d")
        limits = RelayLimits(
            min_header_timeout_s=0.3, header_timeout_share=0.0, stall_timeout_s=0.3
        )
        self._relay = RequestRelay(HttpClient(), limits=limits)
        self._relay._budgets[CustomerId("care")] = RetryBudget(0.0, retry_tokens)
        self._pool = UpstreamPool(random.Random(0), domain)
        upstream_versions = versions or [ModelVersion("v1")] * len(upstreams)
        reports = [
            UpstreamReport(
                Upstream(UpstreamId(u.address), u.address, domain, 8, version=version)
            )
            for u, version in zip(upstreams, upstream_versions, strict=True)
        ]
        self._pool.sync(reports, 0.0)
        self._idempotent = idempotent

    async def run(self, sink: AnswerSink) -> Result[None, Fault]:
        deadline = asyncio.get_running_loop().time() + 5.0
        terms = RetryTerms(self._idempotent, deadline)
        customer = CustomerId("care")
        call = RelayedCall(RequestId("r1"), customer, "/generate", b"{}", terms)
        return await self._relay.run(sink, call, self._pool)

    async def handle(self, exchange: Exchange) -> None:
        result = await self.run(exchange)
        if result.is_err():
            self.faults.append(result.unwrap_err().kind)
            await answer_fault(exchange, result.unwrap_err())


async def _send_request(
    upstreams: list[FakeUpstream], idempotent: bool = True, retry_tokens: float = 10.0
) -> tuple[_RelayServer, int, bytes]:
    for upstream in upstreams:
        await upstream.listen()
    relay_server = _RelayServer(upstreams, idempotent, retry_tokens=retry_tokens)
    server = HttpServer(relay_server.handle)
    address = await server.listen(Address("127.0.0.1:0"))
    request = Request("POST", "/", Headers(), b"{}")
    try:
        status, body = await HttpClient().fetch(address, request, 10.0)
    finally:
        await server.drain(0.0)
        for upstream in upstreams:
            await upstream.close()
    return relay_server, status, body


async def _wait_for_first(events: Iterable[asyncio.Event]) -> None:
    waits = [asyncio.create_task(event.wait()) for event in events]
    _, left = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in left:
        wait.cancel()


@pytest.mark.parametrize("first", [fakes.cut, fakes.cross])
@pytest.mark.parametrize("idempotent", [True, False])
def test_a_request_with_a_lost_response_is_retried_only_if_idempotent(
    first: fakes.Behaviour, idempotent: bool
) -> None:
    """The caller of an idempotent request gets the response to its request.

    The upstream runs the request, and the response is lost or replaced by
    that to another request. A non-idempotent request must not be retried,
    since it is unknown whether it ran.
    """

    async def trial() -> None:
        behaviours = [first, fakes.answer("own")]
        upstream = FakeUpstream(behaviours)
        other = FakeUpstream(behaviours)
        relay_server, status, body = await _send_request([upstream, other], idempotent)
        runs = len(upstream.calls) + len(other.calls)
        if idempotent:
            assert (runs, status, body) == (2, 200, b'"own"')
        else:
            assert (runs, status) == (1, 502)
            assert relay_server.faults == [ErrorKind.UPSTREAM_LOST]
        assert b"rival" not in body

    run_in_loop(trial)


def test_a_refused_request_is_retried_also_if_not_idempotent() -> None:
    async def trial() -> None:
        refusing = FakeUpstream([fakes.refuse])
        answering = FakeUpstream([fakes.answer("own")])
        _, status, body = await _send_request([refusing, answering], idempotent=False)
        assert (status, body) == (200, b'"own"')
        assert len(answering.calls) == 1

    run_in_loop(trial)


def test_a_stream_is_resumed_at_another_upstream() -> None:
    """The caller reads one complete stream.

    Each upstream fails after two tokens, inside the third. The next upstream
    is requested to continue after the last complete token.
    """

    async def trial() -> None:
        lossy = [fakes.stream(6, lose_after=2)]
        upstreams = [FakeUpstream(lossy), FakeUpstream(lossy), FakeUpstream(lossy)]
        _, status, body = await _send_request(upstreams)
        assert (status, body) == (200, _WHOLE)

    run_in_loop(trial)


def test_a_stream_is_resumed_only_by_the_version_that_began_it() -> None:
    """A stream does not mix the output of two versions of a model.

    Both upstreams lose the stream after two tokens, and they run different
    versions. The other version's output would not continue the text, so the
    stream is cut and the other upstream gets no request.
    """

    async def trial() -> None:
        lossy = [fakes.stream(6, lose_after=2)]
        upstreams = [FakeUpstream(list(lossy)), FakeUpstream(list(lossy))]
        for upstream in upstreams:
            await upstream.listen()
        versions = [ModelVersion("v1"), ModelVersion("v2")]
        server = HttpServer(_RelayServer(upstreams, True, versions).handle)
        address = await server.listen(Address("127.0.0.1:0"))
        request = Request("POST", "/", Headers(), b"{}")
        with pytest.raises(TransportError):
            await HttpClient().fetch(address, request, 10.0)
        assert sum(len(upstream.calls) for upstream in upstreams) == 1
        await server.drain(0.0)
        for upstream in upstreams:
            await upstream.close()

    run_in_loop(trial)


@pytest.mark.parametrize("idempotent", [True, False])
def test_a_stream_that_cannot_be_resumed_is_cut_without_a_clean_end(
    idempotent: bool,
) -> None:
    """The caller gets a broken connection instead of a truncated response.

    The only upstream fails in mid-stream. A clean end would make the partial
    response look complete.
    """

    async def trial() -> None:
        with pytest.raises(TransportError) as caught:
            await _send_request(
                [FakeUpstream([fakes.stream(6, lose_after=2)])], idempotent
            )
        assert caught.value.failure is TransportFailure.CUT

    run_in_loop(trial)


@pytest.mark.parametrize("behaviour", [fakes.hang, fakes.stall])
def test_an_upstream_stops_when_the_caller_disconnects(
    behaviour: fakes.Behaviour,
) -> None:
    """The upstream's work ends as soon as the caller's connection does.

    The caller disconnects before or after the first token. The request must
    not be sent to another upstream either.
    """

    async def trial() -> None:
        upstreams = [FakeUpstream([behaviour]), FakeUpstream([behaviour])]
        for upstream in upstreams:
            await upstream.listen()
        server = HttpServer(_RelayServer(upstreams, idempotent=True).handle)
        address = await server.listen(Address("127.0.0.1:0"))
        request = Request("POST", "/", Headers(), b"{}")
        fetching = asyncio.create_task(HttpClient().fetch(address, request, 10.0))
        await _wait_for_first(upstream.called for upstream in upstreams)
        fetching.cancel()
        await _wait_for_first(upstream.left for upstream in upstreams)
        await server.drain(5.0)
        assert sum(len(upstream.calls) for upstream in upstreams) == 1

    run_in_loop(trial)


@pytest.mark.parametrize("behaviour", [fakes.hang, fakes.stall])
def test_a_request_at_a_frozen_upstream_is_retried_at_another(
    behaviour: fakes.Behaviour,
) -> None:
    """The caller reads a complete response well before its deadline.

    The first upstream accepts the request and stalls before its response or
    after one token. Its connection stays open.
    """

    async def trial() -> None:
        script = [behaviour, fakes.stream(6)]
        upstreams = [FakeUpstream(script), FakeUpstream(script)]
        _, status, body = await _send_request(upstreams)
        assert (status, body) == (200, _WHOLE)
        assert {len(upstream.calls) for upstream in upstreams} == {1}

    run_in_loop(trial)


async def _pause_before_stream(exchange: Exchange, echo: Headers) -> None:
    await asyncio.sleep(_PAUSE_S)
    await fakes.stream(6)(exchange, echo)


async def _pause_within_stream(exchange: Exchange, echo: Headers) -> None:
    await exchange.start(200, fakes.make_event_headers(echo))
    await exchange.write(_WHOLE.partition(b"\n\n")[0] + b"\n\n")
    await asyncio.sleep(_PAUSE_S)
    await exchange.write(_WHOLE.partition(b"\n\n")[2])
    await exchange.finish()


async def _pause_before_answer(exchange: Exchange, echo: Headers) -> None:
    await asyncio.sleep(_PAUSE_S)
    await exchange.respond(200, echo, _WHOLE)


_PAUSES = [_pause_before_stream, _pause_within_stream, _pause_before_answer]


@pytest.mark.parametrize("pause", _PAUSES)
@pytest.mark.parametrize("second", [None, fakes.refuse, fakes.cut, fakes.hang])
def test_a_request_outlasts_a_pause_if_no_other_upstream_answers_it(
    pause: fakes.Behaviour, second: fakes.Behaviour | None
) -> None:
    """Guards against an attempt that is given up for one that fails."""

    async def trial() -> None:
        script = [pause, *([] if second is None else [second])]
        upstreams = [FakeUpstream(script) for _ in script]
        _, status, body = await _send_request(upstreams)
        assert (status, body) == (200, _WHOLE)

    run_in_loop(trial)


def test_a_stream_outlasts_a_pause_if_the_other_upstream_begins_it_anew() -> None:
    """Guards against an attempt that is given up for one that can't go on."""

    async def trial() -> None:
        script: list[fakes.Behaviour] = [_pause_within_stream, fakes.stall]
        upstreams = [FakeUpstream(script) for _ in script]
        _, status, body = await _send_request(upstreams)
        assert (status, body) == (200, _WHOLE)
        assert [len(upstream.calls) for upstream in upstreams] == [1, 1]

    run_in_loop(trial)


@pytest.mark.parametrize("pause", _PAUSES)
def test_a_request_outlasts_a_pause_if_the_retry_budget_is_used_up(
    pause: fakes.Behaviour,
) -> None:
    """Guards against an attempt that is given up for one that is not begun."""

    async def trial() -> None:
        script = [pause, fakes.stream(6)]
        upstreams = [FakeUpstream(script) for _ in range(2)]
        _, status, body = await _send_request(upstreams, retry_tokens=0.0)
        assert (status, body) == (200, _WHOLE)
        assert sum(len(upstream.calls) for upstream in upstreams) == 1

    run_in_loop(trial)


@pytest.mark.parametrize("silent", [fakes.hang, fakes.stall])
def test_a_third_upstream_answers_if_two_are_silent(silent: fakes.Behaviour) -> None:
    """Guards against a request that waits for two dead upstreams."""

    async def trial() -> None:
        script = [silent, silent, fakes.stream(6)]
        upstreams = [FakeUpstream(script) for _ in range(3)]
        begun = asyncio.get_running_loop().time()
        _, status, body = await _send_request(upstreams)
        assert (status, body) == (200, _WHOLE)
        assert asyncio.get_running_loop().time() < begun + _PAUSE_S

    run_in_loop(trial)


def test_the_second_attempt_ends_as_soon_as_the_first_goes_on() -> None:
    """Guards against upstreams that run what another one answers."""

    async def trial() -> None:
        left = asyncio.Event()

        async def pause_and_wait(exchange: Exchange, echo: Headers) -> None:
            await exchange.start(200, fakes.make_event_headers(echo))
            await asyncio.sleep(_PAUSE_S)
            await exchange.write(_WHOLE.partition(b"\n\n")[0] + b"\n\n")
            await left.wait()
            await exchange.write(_WHOLE.partition(b"\n\n")[2])
            await exchange.finish()

        script: list[fakes.Behaviour] = [pause_and_wait, fakes.hang]
        upstreams = [FakeUpstream(script, left=left) for _ in script]
        _, status, body = await _send_request(upstreams)
        assert (status, body) == (200, _WHOLE)
        assert [len(upstream.calls) for upstream in upstreams] == [1, 1]

    run_in_loop(trial)


def test_a_request_that_is_cancelled_at_once_leaves_no_load() -> None:
    """Guards against upstreams that count requests which never began."""

    async def trial() -> None:
        upstream = await FakeUpstream([fakes.hang]).listen()
        relay_server = _RelayServer([upstream], idempotent=True)
        running = asyncio.create_task(relay_server.run(RecordingSink(None)))
        await asyncio.sleep(0)
        running.cancel()
        await asyncio.wait([running])
        assert relay_server._pool.utilization == 0.0
        await upstream.close()

    run_in_loop(trial)


def test_a_lost_request_is_not_reported_as_refused_by_a_second_attempt() -> None:
    """Guards against "not run" for a request of which one attempt has run."""

    async def lose_late(exchange: Exchange, echo: Headers) -> None:
        await asyncio.sleep(_PAUSE_S)
        exchange.abort()

    async def refuse_later(exchange: Exchange, echo: Headers) -> None:
        await asyncio.sleep(2 * _PAUSE_S)
        await fakes.refuse(exchange, echo)

    async def trial() -> None:
        for refuse in (fakes.refuse, refuse_later):
            script: list[fakes.Behaviour] = [lose_late, refuse]
            upstreams = [FakeUpstream(script) for _ in script]
            relay_server, _, _ = await _send_request(upstreams)
            assert relay_server.faults == [ErrorKind.UPSTREAM_LOST]

    run_in_loop(trial)


class _SlowSink(RecordingSink):
    """A caller whose first read takes longer than the stall timeout."""

    def __init__(self, read: asyncio.Event) -> None:
        super().__init__(None)
        self._read = read

    async def write(self, data: bytes) -> None:
        if not self._read.is_set():
            await asyncio.sleep(1.0)
            self._read.set()
        await super().write(data)


def test_a_slow_caller_is_not_mistaken_for_a_stalled_upstream() -> None:
    """A stream is not aborted while the upstream waits for a slow caller.

    The upstream sends no data until the caller has read, for longer than the
    stall timeout.
    """

    async def trial() -> None:
        read = asyncio.Event()

        async def wait(exchange: Exchange, echo: Headers) -> None:
            await exchange.start(200, fakes.make_event_headers(echo))
            await exchange.write(b"id: 1\ndata: t1\n\n")
            await read.wait()
            await exchange.write(_WHOLE.partition(b"\n\n")[2])
            await exchange.finish()

        upstreams = [FakeUpstream([wait]) for _ in range(2)]
        for upstream in upstreams:
            await upstream.listen()
        sink = _SlowSink(read)
        result = await _RelayServer(upstreams, idempotent=True).run(sink)
        assert result.is_ok() and sink.answer is not None
        assert sink.answer.body == _WHOLE
        assert sum(len(upstream.calls) for upstream in upstreams) == 1
        for upstream in upstreams:
            await upstream.close()

    run_in_loop(trial)


class _ClosedSink(RecordingSink):
    """A caller whose connection fails at the first part of the response."""

    async def write(self, data: bytes) -> None:
        raise TransportError(TransportFailure.CUT, "the caller has disconnected")


def test_a_failed_caller_is_not_mistaken_for_a_failed_upstream() -> None:
    """No request is sent to another upstream for a disconnected caller.

    Writing to the caller raises the same error as reading from a failed
    upstream, in the middle of a stream that could be resumed.
    """

    async def trial() -> None:
        upstreams = [FakeUpstream([fakes.stream(6)]) for _ in range(2)]
        for upstream in upstreams:
            await upstream.listen()
        relay_server = _RelayServer(upstreams, idempotent=True)
        with pytest.raises(TransportError):
            await relay_server.run(_ClosedSink(None))
        assert sum(len(upstream.calls) for upstream in upstreams) == 1
        for upstream in upstreams:
            await upstream.close()

    run_in_loop(trial)
