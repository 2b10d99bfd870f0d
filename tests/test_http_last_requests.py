"""A server that closes leaves no request unread, whenever it comes."""

import asyncio
import socket
import time
from contextlib import suppress
from dataclasses import dataclass, field

import pytest

from tests.fakes import run_in_loop
from zinniaspool.core.ids import Address, split_address
from zinniaspool.http import Exchange, Headers, HttpServer

_GET = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
_END = b"0\r\n\r\n"
_TURNS = 24
_HELD_S = 0.1
_WAIT_S = 2.0
_FIRST_REQUEST_S = 0.5


@dataclass
class _Sent:
    """Requests that were whole at the server's side before it closed."""

    connections: list[socket.socket] = field(default_factory=list)

    def send(self, connection: socket.socket) -> None:
        """Send a request, unless the server's side has closed."""
        if _has_ended(connection):
            connection.close()
            return
        connection.sendall(_GET)
        self.connections.append(connection)

    async def count_unanswered(self) -> int:
        """Return how many got no whole answer."""
        return sum(
            [not await asyncio.to_thread(_is_answered, c) for c in self.connections]
        )


def _has_ended(connection: socket.socket) -> bool:
    connection.setblocking(False)
    try:
        return not connection.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except ConnectionError:
        return True
    finally:
        connection.settimeout(_WAIT_S)


def _is_answered(connection: socket.socket) -> bool:
    received = b""
    with connection, suppress(OSError):
        while part := connection.recv(4096):
            received += part
    return received.startswith(b"HTTP/1.1 503") and received.endswith(b"leaving")


async def _refuse(exchange: Exchange) -> None:
    await exchange.respond(503, Headers(), b"leaving")


async def _hold() -> None:
    """Hold the event loop at each of its turns."""
    for _ in range(_TURNS):
        time.sleep(_HELD_S / _TURNS)  # noqa: ASYNC251 - it is held
        await asyncio.sleep(0)


@pytest.mark.parametrize("timeout_s", [0.0, 1.0])
@pytest.mark.parametrize("is_first", [True, False])
def test_a_drain_answers_requests_of_each_of_its_turns(
    *, is_first: bool, timeout_s: float
) -> None:
    """Guards against requests that are reset unread while a server closes."""

    async def count(turn: int) -> int:
        server, sent = HttpServer(_refuse), _Sent()
        address = split_address(await server.listen(Address("127.0.0.1:0")))
        kept_open = [socket.create_connection(address) for _ in range(3)]
        late = socket.create_connection(address)
        while server.connections < len(kept_open) + 1:  # noqa: ASYNC110
            await asyncio.sleep(0.01)

        async def send() -> None:
            for _ in range(turn):
                await asyncio.sleep(0)
            for connection in kept_open:
                sent.send(connection)
            with suppress(ConnectionError):
                sent.send(socket.create_connection(address))

        sending = asyncio.create_task(send()) if is_first else None
        draining = asyncio.create_task(server.drain(timeout_s))
        holding = asyncio.create_task(_hold())
        await (sending or send())
        await draining
        await holding
        late.close()
        return await sent.count_unanswered()

    async def test() -> None:
        unanswered = {turn: await count(turn) for turn in range(_TURNS)}
        assert not any(unanswered.values()), unanswered

    run_in_loop(test)


@pytest.mark.parametrize("is_accepted", [True, False])
def test_a_drain_answers_the_first_request_of_a_late_caller(
    *, is_accepted: bool
) -> None:
    """Guards against a close between a caller's connection and its request."""

    async def test() -> None:
        server, sent = HttpServer(_refuse), _Sent()
        address = split_address(await server.listen(Address("127.0.0.1:0")))
        callers = [socket.create_connection(address) for _ in range(2)]
        while is_accepted and server.connections < len(callers):  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        draining = asyncio.create_task(server.drain(_WAIT_S, _FIRST_REQUEST_S))
        await asyncio.sleep(_FIRST_REQUEST_S / 2)
        sent.send(callers[0])
        assert sent.connections, "closed before its first request"
        assert await sent.count_unanswered() == 0
        assert await asyncio.to_thread(callers[1].recv, 1) == b""
        callers[1].close()
        assert await draining == 0

    run_in_loop(test)


def test_a_drain_answers_a_request_that_comes_at_the_end_of_another_answer() -> None:
    """Guards against a close between a request's arrival and its reading."""
    sent = _Sent()

    async def answer(exchange: Exchange) -> None:
        if sent.connections:
            await _refuse(exchange)
            return
        await exchange.start(200, Headers())
        began.set()
        await held.wait()
        await exchange.finish()
        # A caller is as fast as the loop is slow.
        received = b""
        while not received.endswith(_END):
            received += callers[0].recv(4096)
        sent.send(callers[0])

    async def test() -> None:
        server = HttpServer(answer)
        address = await server.listen(Address("127.0.0.1:0"))
        callers.append(
            socket.create_connection(split_address(address), timeout=_WAIT_S)
        )
        callers[0].sendall(_GET)
        await began.wait()
        draining = asyncio.create_task(server.drain(_WAIT_S))
        await asyncio.sleep(0.05)
        held.set()
        assert await draining == 0
        assert await sent.count_unanswered() == 0
        assert sent.connections

    callers: list[socket.socket] = []
    began, held = asyncio.Event(), asyncio.Event()
    run_in_loop(test)
