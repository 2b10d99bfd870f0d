"""The HTTP server answers what it has read before it closes."""

import asyncio
import socket
import ssl
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from tests.certificates import issue_certificates
from tests.fakes import run_in_loop
from zinniaspool.core.ids import Address, split_address
from zinniaspool.http import Exchange, Headers, HttpServer

_GET = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
_TIMEOUT_S = 20.0
_SOON_S = 4.0
"""Time within which a drain with nothing to answer ends, in seconds."""


class _Served:
    """A server whose handler waits, and a connection to it."""

    def __init__(self) -> None:
        self.server = HttpServer(self._answer)
        self.began, self.held = asyncio.Event(), asyncio.Event()
        self.starts_early = False

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        address = await self.server.listen(Address("127.0.0.1:0"))
        reader, self._writer = await asyncio.open_connection(*split_address(address))
        return reader, self._writer

    async def close(self) -> None:
        self._writer.close()
        await self.server.drain(0.0)

    def begin_drain(self) -> asyncio.Task[int]:
        return asyncio.create_task(self.server.drain(_TIMEOUT_S))

    async def wait_until_read_ahead(self) -> None:
        (connection,) = self.server._connections
        while not connection._read_ahead:  # noqa: ASYNC110 - no event is set for it
            await asyncio.sleep(0.01)

    async def _answer(self, exchange: Exchange) -> None:
        if self.starts_early:
            await exchange.start(200, Headers())
        self.began.set()
        await self.held.wait()
        if not exchange.started:
            await exchange.start(200, Headers())
        await exchange.write(b"whole")
        await exchange.finish()


def _run(trial: Callable[[_Served], Awaitable[None]]) -> None:
    async def test() -> None:
        served = _Served()
        try:
            await trial(served)
        finally:
            await served.close()

    run_in_loop(test)


@pytest.mark.parametrize("is_draining", [False, True])
@pytest.mark.parametrize("read_part", [_GET, _GET[:9]], ids=["whole", "in-part"])
def test_a_stop_answers_each_request_that_has_been_read(
    *, is_draining: bool, read_part: bytes
) -> None:
    """Guards against a request behind another one that gets no answer."""

    async def trial(served: _Served) -> None:
        reader, writer = await served.connect()
        writer.write(_GET + read_part)
        await served.began.wait()
        await served.wait_until_read_ahead()
        served.server.retiring = True
        draining = served.begin_drain() if is_draining else None
        await asyncio.sleep(0)
        served.held.set()
        first = await reader.readuntil(b"\r\n0\r\n\r\n")
        assert b"whole" in first
        assert b"connection: close" not in first.lower()
        writer.write(_GET[len(read_part) :])
        second = await reader.read()
        assert b"whole" in second
        assert b"connection: close" in second.lower()
        assert draining is None or await draining == 0

    _run(trial)


def test_a_drain_answers_what_was_read_after_the_response_began() -> None:
    """Guards against a close over a request that came during a response."""

    async def trial(served: _Served) -> None:
        served.starts_early = True
        reader, writer = await served.connect()
        writer.write(_GET)
        await served.began.wait()
        writer.write(_GET)
        await served.wait_until_read_ahead()
        draining = served.begin_drain()
        await asyncio.sleep(0)
        served.held.set()
        received = await reader.read()
        assert received.count(b"whole") == 2
        assert received.lower().count(b"connection: close") == 1
        assert await draining == 0

    _run(trial)


def test_a_request_that_waits_to_be_accepted_is_answered() -> None:
    """Guards against a reset for a request that a late process hasn't read."""

    async def test() -> None:
        served = _Served()
        served.held.set()
        address = await served.server.listen(Address("127.0.0.1:0"))
        waiting = [socket.create_connection(split_address(address)) for _ in range(3)]
        for one in waiting:
            one.sendall(_GET)
        assert await served.server.drain(_TIMEOUT_S) == 0
        for one in waiting:
            with one:
                assert b"whole" in one.recv(4096)

    run_in_loop(test)


def test_a_caller_that_never_begins_tls_does_not_hold_up_a_stop(
    tmp_path: Path,
) -> None:
    """Guards against a stop that waits for a handshake that never comes."""
    files = issue_certificates(tmp_path, "server").files
    tls = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    tls.load_cert_chain(files.certificate_file, files.key_file)

    async def answer(exchange: Exchange) -> None:
        await exchange.respond(200, Headers(), b"whole")

    async def test() -> None:
        server = HttpServer(answer, tls=tls)
        address = await server.listen(Address("127.0.0.1:0"))
        with socket.create_connection(split_address(address)):
            began_at = time.monotonic()
            assert await server.drain(_TIMEOUT_S) == 0
            assert time.monotonic() - began_at < _SOON_S

    run_in_loop(test)


def test_an_answer_that_is_cut_before_it_was_sent_is_counted() -> None:
    """Guards against a stop that reports no cut though an answer was."""
    sent = asyncio.Event()

    async def answer(exchange: Exchange) -> None:
        await exchange.start(200, Headers())
        (connection,) = server._connections
        transport = connection._transport
        assert transport is not None
        while not transport.get_write_buffer_size():
            await exchange.write(bytes(8192))
        await exchange.finish()
        sent.set()

    server = HttpServer(answer)

    async def test() -> None:
        address = await server.listen(Address("127.0.0.1:0"))
        with socket.create_connection(split_address(address)) as caller:
            caller.sendall(_GET)
            await sent.wait()
            assert await server.drain(0.1) == 1

    run_in_loop(test)
