"""The relay between real connections: losses, crossed answers, leaving."""

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
from zinniaspool.core.requests import RetryTerms, Upstream, UpstreamPool, UpstreamReport
from zinniaspool.entry.answers import answer_fault
from zinniaspool.entry.relay import Relay, RelayedCall, RelayLimits
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


class _Entry:
    """A relay behind a server, as callers meet it."""

    def __init__(
        self,
        upstreams: list[FakeUpstream],
        idempotent: bool,
        versions: list[ModelVersion] | None = None,
    ) -> None:
        self.faults: list[ErrorKind] = []
        domain = FailureDomainId("d")
        limits = RelayLimits(least_head_s=0.3, head_part=0.0, stall_s=0.3)
        self._relay = Relay(HttpClient(), limits=limits)
        self._pool = UpstreamPool(random.Random(0), domain)
        said = versions or [ModelVersion("v1")] * len(upstreams)
        fresh = [
            UpstreamReport(
                Upstream(UpstreamId(u.address), u.address, domain, 8, version=version)
            )
            for u, version in zip(upstreams, said, strict=True)
        ]
        self._pool.sync(fresh, 0.0)
        self._idempotent = idempotent

    async def run(self, sink: AnswerSink) -> Result[None, Fault]:
        deadline = asyncio.get_running_loop().time() + 5.0
        terms = RetryTerms(self._idempotent, deadline)
        customer = CustomerId("care")
        call = RelayedCall(RequestId("r1"), customer, "/generate", b"{}", terms)
        return await self._relay.run(sink, call, self._pool)

    async def handle(self, exchange: Exchange) -> None:
        ended = await self.run(exchange)
        if ended.is_err():
            self.faults.append(ended.unwrap_err().kind)
            await answer_fault(exchange, ended.unwrap_err())


async def _ask(
    upstreams: list[FakeUpstream], idempotent: bool = True
) -> tuple[_Entry, int, bytes]:
    for upstream in upstreams:
        await upstream.listen()
    entry = _Entry(upstreams, idempotent)
    server = HttpServer(entry.handle)
    address = await server.listen(Address("127.0.0.1:0"))
    request = Request("POST", "/", Headers(), b"{}")
    try:
        status, body = await HttpClient().fetch(address, request, 10.0)
    finally:
        await server.drain(0.0)
        for upstream in upstreams:
            await upstream.close()
    return entry, status, body


async def _wait_for_first(events: Iterable[asyncio.Event]) -> None:
    waits = [asyncio.create_task(event.wait()) for event in events]
    _, left = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in left:
        wait.cancel()


@pytest.mark.parametrize("first", [fakes.cut, fakes.cross])
@pytest.mark.parametrize("idempotent", [True, False])
def test_a_lost_answer_is_asked_for_again_only_where_that_is_harmless(
    first: fakes.Behaviour, idempotent: bool
) -> None:
    """The caller of an idempotent request sees one answer, its own.

    The upstream runs the request and its answer is lost, or another's comes
    in its place. A non-idempotent one must end there: nobody can tell
    whether it ran.
    """

    async def trial() -> None:
        behaviours = [first, fakes.answer("own")]
        upstream = FakeUpstream(behaviours)
        other = FakeUpstream(behaviours)
        entry, status, body = await _ask([upstream, other], idempotent)
        runs = len(upstream.calls) + len(other.calls)
        if idempotent:
            assert (runs, status, body) == (2, 200, b'"own"')
        else:
            assert (runs, status) == (1, 502)
            assert entry.faults == [ErrorKind.UPSTREAM_LOST]
        assert b"rival" not in body

    run_in_loop(trial)


def test_a_refusal_is_taken_elsewhere_also_where_once_is_promised() -> None:
    async def trial() -> None:
        refusing = FakeUpstream([fakes.refuse])
        answering = FakeUpstream([fakes.answer("own")])
        _, status, body = await _ask([refusing, answering], idempotent=False)
        assert (status, body) == (200, b'"own"')
        assert len(answering.calls) == 1

    run_in_loop(trial)


def test_a_stream_goes_on_at_another_upstream() -> None:
    """The caller reads one whole stream.

    Each upstream is lost after two tokens, inside the third; the next is
    asked to go on after the last whole one.
    """

    async def trial() -> None:
        lossy = [fakes.stream(6, lose_after=2)]
        upstreams = [FakeUpstream(lossy), FakeUpstream(lossy), FakeUpstream(lossy)]
        _, status, body = await _ask(upstreams)
        assert (status, body) == (200, _WHOLE)

    run_in_loop(trial)


def test_a_stream_goes_on_only_with_the_version_that_began_it() -> None:
    """The caller would read a text by two versions of a model.

    Both upstreams lose the stream after two tokens, and they run different
    versions. The rest of the other one would not fit the beginning: the
    stream is cut, and the other upstream is not asked.
    """

    async def trial() -> None:
        lossy = [fakes.stream(6, lose_after=2)]
        upstreams = [FakeUpstream(list(lossy)), FakeUpstream(list(lossy))]
        for upstream in upstreams:
            await upstream.listen()
        versions = [ModelVersion("v1"), ModelVersion("v2")]
        server = HttpServer(_Entry(upstreams, True, versions).handle)
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
def test_a_stream_that_cannot_go_on_is_cut_and_never_ended(idempotent: bool) -> None:
    """The caller sees a broken connection in place of a short answer.

    The only upstream is lost in mid-stream. A clean end would make the part
    that has come look like the whole.
    """

    async def trial() -> None:
        with pytest.raises(TransportError) as caught:
            await _ask([FakeUpstream([fakes.stream(6, lose_after=2)])], idempotent)
        assert caught.value.failure is TransportFailure.CUT

    run_in_loop(trial)


@pytest.mark.parametrize("act", [fakes.hang, fakes.stall])
def test_an_upstream_stops_when_the_caller_goes(act: fakes.Behaviour) -> None:
    """The engine's work ends at once with the caller's connection.

    The caller leaves before or after the first token; the request must go to
    no other upstream either.
    """

    async def trial() -> None:
        upstreams = [FakeUpstream([act]), FakeUpstream([act])]
        for upstream in upstreams:
            await upstream.listen()
        server = HttpServer(_Entry(upstreams, idempotent=True).handle)
        address = await server.listen(Address("127.0.0.1:0"))
        request = Request("POST", "/", Headers(), b"{}")
        asking = asyncio.create_task(HttpClient().fetch(address, request, 10.0))
        await _wait_for_first(upstream.called for upstream in upstreams)
        asking.cancel()
        await _wait_for_first(upstream.left for upstream in upstreams)
        await server.drain(5.0)
        assert sum(len(upstream.calls) for upstream in upstreams) == 1

    run_in_loop(trial)


@pytest.mark.parametrize("act", [fakes.hang, fakes.stall])
def test_a_frozen_upstream_is_left_for_another_one(act: fakes.Behaviour) -> None:
    """The caller reads a whole answer well before its deadline.

    The first upstream takes the request and falls silent, before its answer
    or after one token; its connection stays open.
    """

    async def trial() -> None:
        script = [act, fakes.stream(6)]
        upstreams = [FakeUpstream(script), FakeUpstream(script)]
        _, status, body = await _ask(upstreams)
        assert (status, body) == (200, _WHOLE)
        assert {len(upstream.calls) for upstream in upstreams} == {1}

    run_in_loop(trial)


class _SlowSink(RecordingSink):
    """A caller that takes longer for a read than a stream may be silent."""

    def __init__(self, read: asyncio.Event) -> None:
        super().__init__(None)
        self._read = read

    async def write(self, data: bytes) -> None:
        if not self._read.is_set():
            await asyncio.sleep(1.0)
            self._read.set()
        await super().write(data)


def test_a_slow_caller_is_not_taken_for_a_silent_upstream() -> None:
    """The caller reads slowly, and the upstream has to wait for it.

    The upstream is held back until the caller has read: its silence must
    not end the stream.
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
        ended = await _Entry(upstreams, idempotent=True).run(sink)
        assert ended.is_ok() and sink.answer is not None
        assert sink.answer.body == _WHOLE
        assert sum(len(upstream.calls) for upstream in upstreams) == 1
        for upstream in upstreams:
            await upstream.close()

    run_in_loop(trial)


class _ClosedSink(RecordingSink):
    """A caller whose connection fails at the first part of the answer."""

    async def write(self, data: bytes) -> None:
        raise TransportError(TransportFailure.CUT, "the caller is gone")


def test_a_caller_that_fails_is_not_taken_for_a_lost_upstream() -> None:
    """Nothing is sent to another upstream for a caller that has gone.

    Writing to the caller raises just what reading from a lost upstream
    does, in the middle of a stream that could be resumed.
    """

    async def trial() -> None:
        upstreams = [FakeUpstream([fakes.stream(6)]) for _ in range(2)]
        for upstream in upstreams:
            await upstream.listen()
        entry = _Entry(upstreams, idempotent=True)
        with pytest.raises(TransportError):
            await entry.run(_ClosedSink(None))
        assert sum(len(upstream.calls) for upstream in upstreams) == 1
        for upstream in upstreams:
            await upstream.close()

    run_in_loop(trial)
