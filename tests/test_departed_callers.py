"""Requests that a late process reads together with their caller's end."""

import asyncio
import contextlib
import socket
import struct
import time
from collections.abc import Callable

import pytest

from tests.installation import KEY, Installation, run
from zinniaspool.core.ids import split_address

pytestmark = pytest.mark.processes

RESET_AT_CLOSE = struct.pack("ii", 1, 0)
GIVEN_UP_S = 0.7
"""Time for which the process reads nothing, in seconds."""

STREAM = "X-Zinniaspool-Model: small\r\nX-Zinniaspool-Token-Count: 100,10\r\n"


def _reset(caller: socket.socket) -> None:
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
    caller.close()


LEAVE: dict[str, Callable[[socket.socket], None]] = {
    "closes": socket.socket.close,
    "resets": _reset,
    "ends-sending": lambda caller: caller.shutdown(socket.SHUT_WR),
}


class _Caller:
    """A caller on a connection that it keeps.

    Args:
        made: The installation.
    """

    def __init__(self, made: Installation) -> None:
        address = made.nodes["n0"].file.caller_address
        assert address is not None
        self.socket = socket.create_connection(split_address(address))
        self.socket.setblocking(False)

    def send(self, name: str, first: str, deadline_ms: int, fields: str = "") -> None:
        """Send a request without a body."""
        self.socket.send(
            f"{first} HTTP/1.1\r\nHost: care.example\r\nAuthorization: Token {KEY}\r\n"
            f"X-Zinniaspool-Request-Id: {name}\r\nContent-Length: 0\r\n"
            f"X-Zinniaspool-Deadline-Ms: {deadline_ms}\r\n{fields}\r\n".encode()
        )

    async def read(self) -> bytes:
        """Return what has arrived of an answer."""
        loop = asyncio.get_running_loop()
        return await loop.sock_recv(self.socket, 65536)


async def _warm(made: Installation, first: str, fields: str) -> _Caller:
    """Return a caller that was answered; upstreams have idle connections."""
    await made.settle()
    method, path = first.split()
    for _ in range(8):
        if fields:
            await made.draft("n0", "small", 1)
        else:
            await asyncio.gather(*(made.ask("n0", path, method) for _ in range(8)))
    caller = _Caller(made)
    caller.send("warm", first, 4000, fields)
    assert (await caller.read()).startswith(b"HTTP/1.1 200")
    await asyncio.sleep(0.5)
    with contextlib.suppress(BlockingIOError):
        while caller.socket.recv(65536):
            pass
    return caller


def _count_arrivals(made: Installation, name: str) -> int:
    return sum(one.arrivals[name] for one in made.runners.values())


@pytest.mark.parametrize("leave", LEAVE)
@pytest.mark.parametrize(
    ("first", "fields"),
    [("GET /receipts/1", ""), ("POST /drafts/1", STREAM)],
    ids=["get", "stream"],
)
def test_a_request_that_its_caller_gave_up_unread_is_not_sent_on(
    leave: str, first: str, fields: str
) -> None:
    """Guards against requests that are sent on after their callers left."""

    async def check() -> None:
        async with Installation.running(nodes=1) as made:
            caller = await _warm(made, first, fields)
            caller.send("gone", first, int(GIVEN_UP_S * 2000), fields)
            LEAVE[leave](caller.socket)
            time.sleep(GIVEN_UP_S)  # noqa: ASYNC251
            await asyncio.sleep(0.3)
            assert _count_arrivals(made, "gone") == 0

    run(check)


@pytest.mark.parametrize("left_ms", [600, -200])
def test_a_request_that_lay_unread_has_the_time_that_is_left(left_ms: int) -> None:
    """Guards against upstreams that work for longer than callers wait."""

    async def check() -> None:
        async with Installation.running(nodes=1) as made:
            caller = await _warm(made, "GET /receipts/1", "")
            caller.send("late", "GET /receipts/1", int(GIVEN_UP_S * 1000) + left_ms)
            time.sleep(GIVEN_UP_S)  # noqa: ASYNC251
            answer = await caller.read()
            if left_ms < 0:
                assert b"x-error-kind: deadline-too-short" in answer
                assert _count_arrivals(made, "late") == 0
                return
            assert answer.startswith(b"HTTP/1.1 200")
            (seen,) = [
                one
                for runner in made.runners.values()
                for one in runner.runs
                if one.request == "late"
            ]
            assert left_ms - 300 < seen.deadline_ms <= left_ms + 50

    run(check)
