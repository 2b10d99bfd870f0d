"""The HTTP server against callers that break rules, are slow or leave."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field, replace

import h11
import pytest
from hypothesis import example, given, settings, strategies as st

from tests.fakes import run_in_loop
from zinniaspool.core.ids import Address
from zinniaspool.http import Exchange, Headers, HttpServer, ServerLimits
from zinniaspool.http.connection import ServerConnection

_GET = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
_POST = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
_CHUNKED_HEAD = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"


@dataclass(slots=True)
class _Trial:
    """A server, the state of its handler, and connections to it."""

    server: HttpServer
    address: Address
    seen: list[bytes] = field(default_factory=list)
    cancelled: asyncio.Event = field(default_factory=asyncio.Event)
    held: asyncio.Event = field(default_factory=asyncio.Event)
    began: asyncio.Event = field(default_factory=asyncio.Event)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self.address.rpartition(":")
        return await asyncio.open_connection(host, int(port))

    async def send(self, *parts: bytes) -> bytes:
        """Send parts on one connection and return all that comes back."""
        reader, writer = await self.connect()
        for part in parts:
            writer.write(part)
            with contextlib.suppress(ConnectionError):
                await writer.drain()
        received = await _read_all(reader)
        writer.close()
        return received


async def _read_all(reader: asyncio.StreamReader) -> bytes:
    received = bytearray()
    with contextlib.suppress(ConnectionError):
        while data := await reader.read(65536):
            received += data
    return bytes(received)


async def _wait_until(check: Callable[[], bool]) -> None:
    while not check():  # noqa: ASYNC110 - no event is set for it
        await asyncio.sleep(0.01)


async def _read_response(reader: asyncio.StreamReader) -> bytes:
    """Return the head and body of a response with a content-length."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    return head + await reader.readexactly(length)


@contextlib.asynccontextmanager
async def _serve(limits: ServerLimits | None = None) -> AsyncIterator[_Trial]:
    async def handle(exchange: Exchange) -> None:
        trial.began.set()
        trial.seen.append(exchange.request.body)
        match exchange.request.path:
            case "/hold":
                try:
                    await trial.held.wait()
                except asyncio.CancelledError:
                    trial.cancelled.set()
                    raise
            case "/raise":
                raise RuntimeError("boom")
            case "/cut":
                await exchange.start(200, Headers())
                await exchange.write(b"part")
                return
            case "/stream":
                await exchange.start(200, Headers())
                while True:
                    await exchange.write(b"x" * 65536)
        body = exchange.request.body or exchange.request.path.encode()
        size = int(exchange.request.headers.get("x-size") or 1)
        await exchange.respond(200, Headers(), body * size)

    server = HttpServer(handle, limits or ServerLimits(idle_s=0.3, linger_s=0.3))
    trial = _Trial(server, await server.listen(Address("127.0.0.1:0")))
    yield trial
    await server.drain(0.0)


def _run_trial(
    trial: Callable[[_Trial], Awaitable[None]], limits: ServerLimits | None = None
) -> None:
    async def run() -> None:
        async with _serve(limits) as served:
            await trial(served)

    run_in_loop(run)


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"\x00\xff nonsense\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (b"GET / HTTP/1.0\r\nHost: x\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", 400),
        (_CHUNKED_HEAD + b"Content-Length: 3\r\n\r\n0\r\n\r\n", 400),
        (_CHUNKED_HEAD + b"\r\nzz\r\n", 400),
        (_CHUNKED_HEAD + b"\r\n" + b"1;" + b"e" * 20_000, 431),
        (b"GET / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding : chunked\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 1, 2\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: x\r\nA: " + b"b" * 17_000 + b"\r\n\r\n", 431),
        (b"GET /" + b"b" * 17_000, 431),
        (b"HEAD / HTTP/1.1\r\nHost: x\r\nContent-Length: 9999999\r\n\r\n", 413),
        (_CHUNKED_HEAD + b"\r\n" + b"20000\r\n" + b"x" * 0x20000, 413),
    ],
)
def test_a_request_that_breaks_a_rule_is_answered_and_closed(
    sent: bytes, status: int
) -> None:
    """No handler receives it, and another caller is still served."""

    async def trial(served: _Trial) -> None:
        received = await served.send(sent)
        assert received.startswith(b"HTTP/1.1 %d " % status), received
        assert received.count(b"HTTP/1.1") == 1
        assert served.seen == []
        reader, writer = await served.connect()
        writer.write(_POST)
        assert (await _read_response(reader)).endswith(b"abc")
        writer.close()

    _run_trial(trial, ServerLimits(body_bytes=0x10000, idle_s=0.3, linger_s=0.3))


def test_the_refusal_of_a_large_body_reaches_its_sender() -> None:
    """The sender is still writing when it is refused.

    If the connection were closed at once with unread bytes, it would be
    reset, and the reset would discard the response on the sender's side.
    """

    async def trial(served: _Trial) -> None:
        size = 8 * 1024 * 1024
        head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % size
        received = await served.send(head, *[b"x" * 65536] * 64)
        assert received.startswith(b"HTTP/1.1 413 ")

    _run_trial(trial)


def test_all_bodies_together_stay_within_their_memory_limit() -> None:
    async def trial(served: _Trial) -> None:
        head = b"POST /hold HTTP/1.1\r\nHost: x\r\nContent-Length: 600\r\n\r\n"
        reader, writer = await served.connect()
        writer.write(head + b"x" * 600)
        await served.began.wait()
        assert (await served.send(head + b"x" * 600)).startswith(b"HTTP/1.1 503 ")
        served.held.set()
        assert (await _read_response(reader)).endswith(b"x" * 600)
        writer.write(head + b"y" * 600)
        assert (await _read_response(reader)).endswith(b"y" * 600)
        writer.close()

    _run_trial(trial, ServerLimits(buffered_bytes=1000, linger_s=0.3))


@pytest.mark.parametrize("head", [b"GET / HTTP/1.1\r\nA: b", _POST[:-3]])
def test_a_sender_of_single_bytes_is_refused_in_time(head: bytes) -> None:
    """A byte now and then does not extend the time for a whole request.

    The sender continues until it is answered, for up to three seconds.
    """

    async def trial(served: _Trial) -> None:
        reader, writer = await served.connect()
        answer = asyncio.create_task(_read_all(reader))
        writer.write(head.replace(b": 3", b": 300"))
        for _ in range(100):
            writer.write(b"b")
            await asyncio.sleep(0.03)
            if answer.done():
                break
        assert answer.done()
        assert (await answer).startswith(b"HTTP/1.1 408 ")
        writer.close()

    _run_trial(trial, ServerLimits(receive_s=0.2, idle_s=60, linger_s=0.2))


@pytest.mark.parametrize("used", [True, False])
def test_a_raised_limit_on_headers_holds_on_open_connections(used: bool) -> None:
    """A proper request whose head comes in parts would be refused."""
    limits = ServerLimits(header_bytes=1024, idle_s=5.0)

    async def trial(served: _Trial) -> None:
        reader, writer = await served.connect()
        if used:
            writer.write(_GET)
            await _read_response(reader)
        served.server.limits = replace(limits, header_bytes=8192)
        for part in (_GET[:-2], b"X-Large: " + b"x" * 4096, b"\r\n\r\n"):
            writer.write(part)
            await asyncio.sleep(0.02)
        assert (await _read_response(reader)).startswith(b"HTTP/1.1 200")
        served.server.limits = limits
        for part in (_GET[:-2], b"X-Large: " + b"x" * 4096):
            writer.write(part)
            await asyncio.sleep(0.02)
        assert (await _read_response(reader)).startswith(b"HTTP/1.1 431")
        writer.close()

    _run_trial(trial, limits)


def test_a_raised_limit_holds_for_a_pipelined_request() -> None:
    """A proper request behind another one would be refused."""
    limits = ServerLimits(header_bytes=1024, idle_s=5.0)

    async def trial(served: _Trial) -> None:
        reader, writer = await served.connect()
        writer.write(_GET.replace(b"/a", b"/hold") + _GET[:-2])
        await served.began.wait()
        served.server.limits = replace(limits, header_bytes=8192)
        served.held.set()
        await _read_response(reader)
        for part in (b"X-Large: " + b"x" * 4096, b"\r\n\r\n"):
            writer.write(part)
            await asyncio.sleep(0.02)
        assert (await _read_response(reader)).startswith(b"HTTP/1.1 200")
        writer.close()

    _run_trial(trial, limits)


def test_a_raised_idle_time_holds_on_open_connections() -> None:
    """A connection would close that its caller may still use."""

    async def trial(served: _Trial) -> None:
        reader, writer = await served.connect()
        writer.write(_GET)
        await _read_response(reader)
        served.server.limits = replace(served.server.limits, idle_s=0.6)
        await asyncio.sleep(0.4)
        writer.write(_GET)
        assert (await _read_response(reader)).startswith(b"HTTP/1.1 200")
        assert await _read_all(reader) == b""
        writer.close()

    _run_trial(trial, ServerLimits(idle_s=0.2))


def test_a_caller_that_leaves_has_its_handler_cancelled() -> None:
    async def trial(served: _Trial) -> None:
        _, writer = await served.connect()
        writer.write(b"GET /hold HTTP/1.1\r\nHost: x\r\n\r\n")
        await served.began.wait()
        writer.close()
        await served.cancelled.wait()

    _run_trial(trial)


def test_pipelined_requests_are_answered_in_order_and_bounded() -> None:
    """While a request is being answered, only so many bytes are read.

    The rest waits in the sockets' buffers until the response has been sent.
    """

    async def trial(served: _Trial) -> None:
        reader, writer = await served.connect()
        writer.write(b"GET /hold HTTP/1.1\r\nHost: x\r\n\r\n" + _GET)
        await served.began.wait()
        request_count = 200_000
        writer.write(_GET * request_count)
        (connection,) = served.server._connections
        transport = connection._transport
        assert transport is not None
        await _wait_until(lambda: not transport.is_reading())
        assert len(connection._h11.trailing_data[0]) < 1024 * 1024
        served.held.set()
        assert (await _read_response(reader)).endswith(b"/hold")
        for _ in range(200):
            assert (await _read_response(reader)).endswith(b"/a")
        writer.transport.abort()

    _run_trial(trial)


def test_unread_responses_delay_the_next_requests() -> None:
    async def trial(served: _Trial) -> None:
        _, writer = await served.connect()
        writer.write(large_request * 20)
        await served.began.wait()
        await _wait_until(lambda: not served.server.connections)
        assert len(served.seen) < 20
        writer.transport.abort()

    large_request = b"GET /a HTTP/1.1\r\nHost: x\r\nX-Size: 4000000\r\n\r\n"
    _run_trial(trial, ServerLimits(send_s=0.2))


def test_an_unread_stream_is_cut_in_time() -> None:
    async def trial(served: _Trial) -> None:
        _, writer = await served.connect()  # The reader's buffer is bounded.
        writer.write(b"GET /stream HTTP/1.1\r\nHost: x\r\n\r\n")
        await served.began.wait()
        await _wait_until(lambda: not served.server.connections)
        writer.transport.abort()

    _run_trial(trial, ServerLimits(send_s=0.2))


class _Transport(asyncio.Transport):
    """Sends nothing, like a transport whose socket buffers are full.

    Records its calls.
    """

    def __init__(self) -> None:
        super().__init__()
        self.calls: list[str] = []

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.calls.append("write")

    def close(self) -> None:
        self.calls.append("close")

    def abort(self) -> None:
        self.calls.append("abort")

    def is_closing(self) -> bool:
        return bool({"close", "abort"} & set(self.calls))


def test_a_response_is_flushed_though_the_caller_requested_a_close() -> None:
    """The response's end is still in the buffer when its handler returns.

    The connection must close after it is sent; an abort would discard it,
    and the caller would get a cut response.
    """

    async def trial(served: _Trial) -> None:
        transport = _Transport()
        connection = ServerConnection(served.server)
        connection.connection_made(transport)
        connection.data_received(_GET[:-2] + b"Connection: close\r\n\r\n")
        await _wait_until(lambda: transport.is_closing())
        assert transport.calls == ["write", "close"]
        connection.connection_lost(None)

    _run_trial(trial)


def test_a_failed_handler_gets_a_refusal_and_an_unfinished_response_is_cut() -> None:
    async def trial(served: _Trial) -> None:
        raised = await served.send(b"GET /raise HTTP/1.1\r\nHost: x\r\n\r\n")
        assert raised.startswith(b"HTTP/1.1 500 ")
        cut = await served.send(b"GET /cut HTTP/1.1\r\nHost: x\r\n\r\n")
        assert b"part" in cut
        assert not cut.endswith(b"0\r\n\r\n")

    _run_trial(trial)


def test_a_caller_that_expects_100_continue_receives_it() -> None:
    async def trial(served: _Trial) -> None:
        reader, writer = await served.connect()
        head, body = _POST[:-7], _POST[-3:]
        writer.write(head + b"\r\nExpect: 100-continue\r\n\r\n")
        assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100 ")
        writer.write(body)
        assert (await _read_response(reader)).endswith(b"abc")
        writer.close()

    _run_trial(trial)


def test_a_response_to_head_has_no_body() -> None:
    async def trial(served: _Trial) -> None:
        received = await served.send(b"HEAD /a HTTP/1.1\r\nHost: x\r\n\r\n" + _GET)
        first, second = received.split(b"\r\n\r\n", 1)
        assert b"content-length: 2" in first.lower()
        assert second.startswith(b"HTTP/1.1 200 ")

    _run_trial(trial)


def test_too_many_connections_are_closed_at_once() -> None:
    async def trial(served: _Trial) -> None:
        reader, writer = await served.connect()
        writer.write(_GET)
        await _read_response(reader)
        assert await served.send(_GET) == b""
        writer.write(_GET)
        assert (await _read_response(reader)).endswith(b"/a")
        writer.close()

    _run_trial(trial, ServerLimits(connections=1))


def test_a_drain_finishes_begun_requests_and_closes_idle_connections() -> None:
    """A planned stop cuts no request.

    One connection is idle, one request is being answered, one has arrived
    in part. The first connection closes at once. Both requests get whole
    responses with ``connection: close``, and no new connection is accepted.
    """

    async def trial(served: _Trial) -> None:
        idle, _ = await served.connect()
        (reader, writer), (late, slow) = await served.connect(), await served.connect()
        writer.write(b"GET /hold HTTP/1.1\r\nHost: x\r\n\r\n")
        slow.write(_POST[:20])
        await served.began.wait()
        connections = served.server._connections
        await _wait_until(
            lambda: sum(connection.busy for connection in connections) == 2
        )
        draining = asyncio.create_task(served.server.drain(20.0))
        assert await idle.read() == b""
        slow.write(_POST[20:])
        for answered, end in ((late, b"abc"), (reader, b"/hold")):
            if answered is reader:
                served.held.set()
            received = await _read_all(answered)
            assert received.endswith(end)
            assert b"connection: close" in received.lower()
        assert await draining == 0
        with pytest.raises(ConnectionError):
            await served.connect()

    _run_trial(trial)


_BYTES = st.one_of(
    st.binary(max_size=200),
    st.text(alphabet="GETPOS /:1.\r\nHostx0a;,", max_size=200).map(str.encode),
)


@settings(max_examples=60, deadline=None)
@given(st.lists(st.one_of(_BYTES, st.sampled_from([_GET, _POST])), max_size=5))
@example([_POST, _POST, b"GET"])
@example([_GET[:-2], b"\r\n" * 4])
def test_any_bytes_get_valid_responses_and_affect_no_other_caller(
    parts: list[bytes],
) -> None:
    """Whatever is sent, the responses parse and other callers are served.

    No handler receives a request that the bytes do not contain.
    """

    async def trial(served: _Trial) -> None:
        received = await served.send(*parts)
        client = h11.Connection(h11.CLIENT)
        client.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
        client.send(h11.EndOfMessage())
        client.receive_data(received)
        client.receive_data(b"")
        if received:
            assert isinstance(client.next_event(), h11.Response)
        whole = b"".join(parts)
        assert len(served.seen) <= whole.count(b"HTTP/1.1")
        reader, writer = await served.connect()
        writer.write(_POST)
        assert (await _read_response(reader)).endswith(b"abc")
        writer.close()

    _run_trial(trial, ServerLimits(idle_s=0.03, receive_s=0.03, linger_s=0.03))
