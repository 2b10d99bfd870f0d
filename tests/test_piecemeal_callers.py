"""Tests of the callers that send requests in chunks."""

import asyncio
import contextlib

from tests.piecemeal_callers import (
    PiecemealAnswer,
    PiecemealCaller,
    PiecemealRequest,
)
from zinniaspool.core.ids import Address
from zinniaspool.http import Headers

TIMEOUT_S = 0.5
REQUEST_END = b"0\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
NEVER_S = 60.0


def _ask(answers_after_s: float, pause_s: float) -> tuple[PiecemealAnswer, float]:
    """Send a request of two pieces.

    Args:
        answers_after_s: Time from its end to its answer, in seconds.
        pause_s: Pause before each piece and before the end, in seconds.

    Returns:
        What the caller got, and how long it waited from the request's end on,
        in seconds.
    """

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(REQUEST_END)
            # The caller's reset ends the wait.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(answers_after_s):
                    await reader.read()
            writer.write(ANSWER)
        writer.close()

    async def ask() -> tuple[PiecemealAnswer, float]:
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        async with server, asyncio.timeout(10.0):
            port = server.sockets[0].getsockname()[1]
            caller = PiecemealCaller(Address(f"127.0.0.1:{port}"))
            request = PiecemealRequest(
                "r1", "/drafts/1", TIMEOUT_S, Headers(), [b"x"] * 2, pause_s
            )
            got = await caller.ask(request)
            waited_s = asyncio.get_running_loop().time() - got.sent_at
            caller.close()
            await asyncio.sleep(0.05)
        return got, waited_s

    return asyncio.run(ask())


def test_a_caller_that_sends_for_long_waits_for_its_whole_time() -> None:
    """Guards against answers that count as lost since their caller left early.

    A busy play sends the pieces of a request late, and an entry VM counts its
    time from the end of the request on.
    """
    got, _ = _ask(0.8 * TIMEOUT_S, pause_s=0.4)
    assert got.answer.whole


def test_a_caller_does_not_wait_for_ever() -> None:
    """Guards against plays that never end since a VM answers nothing."""
    got, waited_s = _ask(NEVER_S, pause_s=0.0)
    assert not got.answer.whole
    assert waited_s >= TIMEOUT_S
