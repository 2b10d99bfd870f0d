"""Until when a stream may go on, by its route's timeout."""

import asyncio

import pytest

from tests.installation import Answer, Installation, run

pytestmark = pytest.mark.processes

TIMEOUT_S = 4.0
"""The route's timeout, in seconds."""

LATE_S = 0.5
"""Time after the route's timeout within which each request must have ended."""

REQUESTS = 4
SENT_EVERY_S = 0.02
"""One of several requests may be held up on a busy machine, so the best of
them shows what is reserved."""


async def _draft(made: Installation, number: int, events: int) -> tuple[Answer, float]:
    """Return a stream's answer, and how long it took in seconds."""
    await asyncio.sleep(number * SENT_EVERY_S)
    loop = asyncio.get_running_loop()
    sent_at = loop.time()
    answer = await made.draft("n0", "small", events, f"long-{number}", deadline_ms=9000)
    return answer, loop.time() - sent_at


def test_a_stream_has_the_whole_timeout_of_its_route() -> None:
    """Guards against a stream cut in the time reserved for an error answer."""

    async def check() -> None:
        async with Installation.running(nodes=1) as made:
            made.configure()
            await made.settle()
            ended = await asyncio.gather(
                *(_draft(made, number, 400) for number in range(REQUESTS))
            )
            for answer, took_s in ended:
                assert not answer.whole and answer.status == 200
                assert TIMEOUT_S - 0.01 < took_s < TIMEOUT_S + LATE_S
            runs = [run for one in made.runners.values() for run in one.runs]
            allowed_ms = [run.deadline_ms for run in runs if "long" in run.request]
            assert (TIMEOUT_S - 0.02) * 1000 < max(allowed_ms) <= TIMEOUT_S * 1000

    run(check)


def test_a_stream_without_an_event_is_answered_within_its_timeout() -> None:
    """Guards against an error answer that comes after the route's timeout."""

    async def check() -> None:
        async with Installation.running(nodes=1) as made:
            made.configure()
            await made.settle()
            for runner in made.runners.values():
                runner.faults.silent = True
            ended = await asyncio.gather(
                *(_draft(made, number, 10) for number in range(REQUESTS))
            )
            for answer, took_s in ended:
                assert answer.whole and answer.status == 504
                assert took_s < TIMEOUT_S + LATE_S
            assert min(took_s for _, took_s in ended) < TIMEOUT_S

    run(check)
