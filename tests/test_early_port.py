"""The callers' port is open before the entry program has loaded."""

import asyncio
import socket

import pytest

from zinniaspool.core.ids import Address
from zinniaspool.http import HttpServer
from zinniaspool.http.exchange import Exchange
from zinniaspool.http.messages import Headers
from zinniaspool.platform.entry import listen_early


def test_a_caller_that_connects_while_the_program_loads_is_answered() -> None:
    """A connection is not refused while no program reads from it yet.

    The program then takes over the listening socket and answers.
    """

    async def answer(exchange: Exchange) -> None:
        await exchange.respond(200, Headers(), b"here")

    async def test() -> None:
        listener = listen_early("127.0.0.1", 0)
        port = listener.getsockname()[1]
        early = socket.create_connection(("127.0.0.1", port), timeout=1.0)
        early.sendall(b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        server = HttpServer(answer)
        await server.listen(Address(f"127.0.0.1:{port}"), listener)
        read = await asyncio.to_thread(_read_all, early)
        await server.drain(0.0)
        assert read.startswith(b"HTTP/1.1 200")
        assert read.endswith(b"here")

    asyncio.run(test())


def test_small_segments_are_sent_without_delay_on_the_early_port() -> None:
    """Otherwise each event of a stream waits 40 ms for an acknowledgement.

    asyncio turns the delay off only on sockets with an explicit protocol.
    """
    listener = listen_early("127.0.0.1", 0)
    caller = socket.create_connection(listener.getsockname(), timeout=1.0)
    listener.setblocking(True)
    accepted, _ = listener.accept()
    try:
        assert accepted.proto == socket.IPPROTO_TCP
    finally:
        for connection in (accepted, caller, listener):
            connection.close()


def test_a_port_in_use_is_an_error_and_leaves_no_socket_open() -> None:
    with (
        socket.create_server(("127.0.0.1", 0)) as other,
        pytest.raises(OSError, match="in use"),
    ):
        listen_early("127.0.0.1", other.getsockname()[1])


def _read_all(connection: socket.socket) -> bytes:
    found = b""
    with connection:
        while part := connection.recv(4096):
            found += part
    return found
