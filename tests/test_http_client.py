"""The HTTP client against late, cut, malformed and surplus responses."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest
from hypothesis import example, given, settings, strategies as st

from tests.fakes import run_in_loop
from zinniaspool.core.ids import Address
from zinniaspool.http import (
    ClientResponse,
    HttpClient,
    Request,
    TransportError,
    TransportFailure,
    count_undelivered,
)

_OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
_HEAD = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


class _ScriptedUpstream:
    """An upstream that answers each request with the next bytes of a list.

    For ``None`` it closes the connection instead.
    """

    def __init__(self, *answers: bytes | None) -> None:
        self.answers = list(answers)
        self.connections = 0
        self.answered = asyncio.Event()
        self.writers: list[asyncio.StreamWriter] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self.writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while self.answers:
                await reader.readuntil(b"\r\n\r\n")
                answer = self.answers.pop(0)
                if answer is None:
                    self.answered.set()
                    break
                writer.write(answer)
                self.answered.set()
                await writer.drain()
            await reader.read()
        writer.close()


@contextlib.asynccontextmanager
async def _serve(scripted: _ScriptedUpstream) -> AsyncIterator[Address]:
    server = await asyncio.start_server(scripted.serve, "127.0.0.1", 0)
    try:
        yield Address(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
    finally:
        server.close()
        for writer in scripted.writers:
            writer.transport.abort()


def _run_trial(
    scripted: _ScriptedUpstream, trial: Callable[[HttpClient, Address], Awaitable[None]]
) -> None:
    async def run() -> None:
        async with _serve(scripted) as address:
            client = HttpClient()
            try:
                await trial(client, address)
            finally:
                client.close()

    run_in_loop(run)


async def _get(client: HttpClient, address: Address) -> bytes:
    return (await client.fetch(address, Request("GET", "/"), 5.0))[1]


def test_a_connection_is_kept_after_a_clean_end() -> None:
    scripted = _ScriptedUpstream(_OK, _CHUNKED + b"2\r\nok\r\n0\r\n\r\n", _OK)

    async def trial(client: HttpClient, address: Address) -> None:
        assert [await _get(client, address) for _ in range(3)] == [b"ok"] * 3
        assert scripted.connections == 1

    _run_trial(scripted, trial)


@pytest.mark.parametrize(
    "first",
    [
        _OK + b"extra",
        _OK + _OK.replace(b"ok", b"no"),
        _OK.replace(b"Content", b"Connection: close\r\nContent"),
    ],
)
def test_a_connection_with_more_bytes_than_the_response_is_not_reused(
    first: bytes,
) -> None:
    """The second caller gets its own response, not the rest of the first."""
    scripted = _ScriptedUpstream(first, _OK)

    async def trial(client: HttpClient, address: Address) -> None:
        assert await _get(client, address) == b"ok"
        assert await _get(client, address) == b"ok"
        assert scripted.connections == 2

    _run_trial(scripted, trial)


def test_unrequested_bytes_close_an_idle_connection() -> None:
    """A response that arrives between two requests reaches neither caller."""
    scripted = _ScriptedUpstream(_OK, _OK)

    async def trial(client: HttpClient, address: Address) -> None:
        assert await _get(client, address) == b"ok"
        scripted.writers[0].write(_OK.replace(b"ok", b"no"))
        while client._idle[address]:  # noqa: ASYNC110 - no event is set for it
            await asyncio.sleep(0.01)
        assert await _get(client, address) == b"ok"
        assert scripted.connections == 2

    _run_trial(scripted, trial)


@pytest.mark.parametrize(
    ("answer", "failure"),
    [
        (None, TransportFailure.CUT),
        (_HEAD, TransportFailure.CUT),
        (_HEAD + b"Content-Length: 3\r\n\r\nok", TransportFailure.CUT),
        (_CHUNKED + b"2\r\nok\r\n", TransportFailure.CUT),
        (_CHUNKED + b"zz\r\nok\r\n", TransportFailure.MALFORMED),
        (_HEAD + b"\r\nok", TransportFailure.MALFORMED),
        (
            _HEAD + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            TransportFailure.MALFORMED,
        ),
        (b"SSH-2.0\r\n\r\n", TransportFailure.MALFORMED),
    ],
)
def test_a_cut_or_malformed_response_raises_an_error(
    answer: bytes | None, failure: TransportFailure
) -> None:
    """A response without a length would look whole wherever it is cut."""
    scripted = _ScriptedUpstream(answer)

    async def trial(client: HttpClient, address: Address) -> None:
        fetch = asyncio.create_task(_get(client, address))
        await scripted.answered.wait()
        for writer in scripted.writers:
            writer.write_eof()
        with pytest.raises(TransportError) as caught:
            await fetch
        assert caught.value.failure is failure

    _run_trial(scripted, trial)


def test_informational_responses_are_skipped() -> None:
    early = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
    scripted = _ScriptedUpstream(early + early + _OK)

    async def trial(client: HttpClient, address: Address) -> None:
        assert await _get(client, address) == b"ok"

    _run_trial(scripted, trial)


def test_a_response_to_head_ends_with_its_head() -> None:
    scripted = _ScriptedUpstream(_HEAD + b"Content-Length: 5\r\n\r\n", _OK)

    async def trial(client: HttpClient, address: Address) -> None:
        head = await client.fetch(address, Request("HEAD", "/"), 5.0)
        assert head == (200, b"")
        assert await _get(client, address) == b"ok"
        assert scripted.connections == 1

    _run_trial(scripted, trial)


def test_a_request_to_a_closed_port_is_not_sent() -> None:
    async def trial(client: HttpClient, address: Address) -> None:
        closed_port = Address("127.0.0.1:1")
        with pytest.raises(TransportError) as caught:
            await client.send(closed_port, Request("GET", "/"), 5.0)
        assert caught.value.failure is TransportFailure.NOT_SENT

    _run_trial(_ScriptedUpstream(), trial)


async def _await_pause(response: ClientResponse) -> asyncio.Transport:
    """Wait until a response's connection reads no more; return it."""
    transport = response._connection._transport
    assert transport is not None
    while transport.is_reading():  # noqa: ASYNC110 - no event is set for it
        await asyncio.sleep(0.01)
    return transport


def test_an_unread_response_pauses_reading_and_is_whole_when_read() -> None:
    """A slow caller costs bounded memory, whatever the upstream sends."""
    size = 32 * 1024 * 1024
    body = b"x" * size
    scripted = _ScriptedUpstream(_HEAD + b"Content-Length: %d\r\n\r\n" % size + body)

    async def trial(client: HttpClient, address: Address) -> None:
        response = await client.send(address, Request("GET", "/"), 5.0)
        connection = response._connection
        await _await_pause(response)
        assert connection._buffered < 1024 * 1024
        assert await response.read(size) == body

    _run_trial(scripted, trial)


def test_surplus_bytes_without_end_cost_bounded_memory() -> None:
    """Guards against a buffer that grows while a slow caller reads."""
    scripted = _ScriptedUpstream(_OK + b"x" * 32 * 1024 * 1024)

    async def trial(client: HttpClient, address: Address) -> None:
        response = await client.send(address, Request("GET", "/"), 5.0)
        connection = response._connection
        transport = await _await_pause(response)
        assert len(connection._h11.trailing_data[0]) < 1024 * 1024
        assert await response.read() == b"ok"
        assert transport.is_closing()

    _run_trial(scripted, trial)


@settings(max_examples=60, deadline=None)
@given(
    st.one_of(
        st.binary(max_size=120),
        st.text(alphabet="HTP/1. 20OK\r\nContent-Length:0ab;", max_size=120).map(
            str.encode
        ),
        st.tuples(st.just(_CHUNKED), st.binary(max_size=40)).map(b"".join),
    )
)
@example(_OK + b"\r\n")
@example(_CHUNKED + b"2\r\nok\r\n0\r\n")
def test_any_bytes_are_a_whole_response_or_an_error(answer: bytes) -> None:
    """No fetch hangs, and a response taken as whole ends within its bytes."""
    scripted = _ScriptedUpstream(answer)

    async def trial(client: HttpClient, address: Address) -> None:
        fetch = asyncio.create_task(_get(client, address))
        await scripted.answered.wait()
        for writer in scripted.writers:
            if not writer.is_closing():
                writer.write_eof()
        try:
            body = await fetch
        except TransportError:
            return
        chunked = b"0\r\n\r\n" in answer
        assert chunked or b"ontent-" in answer or answer[9:12] in (b"204", b"304")
        assert body in answer or chunked

    _run_trial(scripted, trial)


def test_a_request_that_is_unwanted_once_connected_is_not_sent() -> None:
    """Guards against requests to an upstream that left while they waited."""
    scripted = _ScriptedUpstream(_OK)

    async def trial(client: HttpClient, address: Address) -> None:
        request = Request("GET", "/")
        with pytest.raises(TransportError) as caught:
            await client.send(address, request, 5.0, may_send=lambda: False)
        assert caught.value.failure is TransportFailure.NOT_SENT
        assert scripted.connections <= 1
        assert not scripted.answered.is_set()

    _run_trial(scripted, trial)


def test_bytes_that_the_other_side_does_not_take_are_undelivered() -> None:
    """Guards against a request in the kernel's queue that counts as sent."""

    async def run() -> None:
        server = await asyncio.start_server(_read_nothing, "127.0.0.1", 0, limit=1)
        port = server.sockets[0].getsockname()[1]
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            assert count_undelivered(writer.transport) == 0
            writer.write(bytes(32 * 1024 * 1024))
            await asyncio.sleep(0.1)
            unwritten = writer.transport.get_write_buffer_size()
            assert count_undelivered(writer.transport) > unwritten
        finally:
            writer.transport.abort()
            server.close()

    run_in_loop(run)


async def _read_nothing(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    try:
        await asyncio.sleep(1.0)
    finally:
        writer.transport.abort()
