"""Attempts at a second upstream beside one that is only suspected."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from http import HTTPStatus
from typing import Any

from structlog.testing import capture_logs

from tests.installation import Answer, Installation, eventually, run
from zinniaspool_standins.installation import make_rules
from zinniaspool_standins.runners import Runner

EVENTS = 40
WHOLE = list(range(1, EVENTS + 1))
FOUND_S = 0.6
"""Time after which a head is found stalled and another one was chosen, in
seconds."""


def run_vm() -> AbstractAsyncContextManager[Installation]:
    """Run one entry VM and several groups of each model."""
    return Installation.running(nodes=1, engines=12, plain=3)


async def start_stream(made: Installation) -> tuple["asyncio.Task[Answer]", Runner]:
    """Begin a stream; return it and its head."""
    await made.settle()
    await eventually(lambda: len(made.heads("large")) >= 2)
    before = {one.id: len(one.runs) for one in made.heads("large")}
    stream = asyncio.create_task(made.draft("n0", "large", EVENTS, request_id="s"))

    def list_busy() -> list[Runner]:
        heads = made.heads("large")
        return [one for one in heads if len(one.runs) > before.get(one.id, 0)]

    await eventually(list_busy)
    await asyncio.sleep(0.3)
    return stream, list_busy()[0]


def list_others(made: Installation, head: Runner) -> list[Runner]:
    return [one for one in made.heads("large") if one is not head]


def run_with_stream(
    test: Callable[[Installation, "asyncio.Task[Answer]", Runner], Awaitable[None]],
) -> None:
    """Run a test on a stream that has had events from its head."""

    async def run_test() -> None:
        async with run_vm() as made:
            stream, head = await start_stream(made)
            await test(made, stream, head)
            made.assert_sound()

    run(run_test)


def list_failures(lines: list[Any]) -> list[str]:
    return [line["failure"] for line in lines if line["event"] == "attempt-failed"]


def test_a_stream_goes_on_where_its_head_has_the_next_event_first() -> None:
    """Guards against events that come twice, or from two runs in turn."""

    async def test(
        made: Installation, stream: "asyncio.Task[Answer]", head: Runner
    ) -> None:
        for other in list_others(made, head):
            other.faults.mute = True
        with capture_logs() as lines:
            head.faults.silent = True
            await eventually(lambda: len(made.runs_of("s")) == 2)
            head.faults.silent = False
            assert (await stream).events == WHOLE
        assert list_failures(lines) == ["superseded"]

    run_with_stream(test)


def test_the_attempts_of_a_caller_that_has_left_all_end() -> None:
    """Guards against upstreams that work for callers that have left."""

    async def test(
        made: Installation, stream: "asyncio.Task[Answer]", head: Runner
    ) -> None:
        for other in list_others(made, head):
            other.times.pass_s = 1.0
        head.faults.silent = True
        await eventually(lambda: sum(one.streams for one in made.heads("large")) == 2)
        stream.cancel()
        await asyncio.gather(stream, return_exceptions=True)
        await asyncio.sleep(0.1)
        head.faults.silent = False
        await asyncio.sleep(0.4)
        assert [one.streams for one in made.heads("large")] == [0] * len(
            made.heads("large")
        )

    run_with_stream(test)


def test_a_stream_whose_head_ends_goes_on_at_the_second_one() -> None:
    """Guards against a third attempt, or none, when the first one ends."""

    async def test(
        made: Installation, stream: "asyncio.Task[Answer]", head: Runner
    ) -> None:
        for other in list_others(made, head):
            other.times.pass_s = 0.3
        head.faults.silent = True
        await eventually(lambda: len(made.runs_of("s")) == 2)
        await head.crash()
        for other in list_others(made, head):
            other.times.pass_s = 0.03
        assert (await stream).events == WHOLE
        assert len(made.runs_of("s")) == 2

    run_with_stream(test)


def test_a_stream_outlasts_a_second_attempt_that_breaks_off() -> None:
    """Guards against streams that end with their second attempt."""

    async def test(
        made: Installation, stream: "asyncio.Task[Answer]", head: Runner
    ) -> None:
        for other in list_others(made, head):
            other.faults.fail = True
        head.faults.silent = True
        await asyncio.sleep(FOUND_S)
        head.faults.silent = False
        assert (await stream).events == WHOLE

    run_with_stream(test)


def test_a_late_call_is_sent_to_a_third_upstream_if_the_second_refuses_it() -> None:
    """Guards against calls that wait for a dead upstream after a refusal."""

    async def test() -> None:
        async with run_vm() as made:
            routes = make_rules(0, [])["routes"]
            made.configure(routes=[{**one, "max-attempts": 3} for one in routes])
            await made.settle()
            plain = [one for one in made.runners.values() if one.domain is None]
            for one in plain:
                one.faults.mute = True
            asked = asyncio.create_task(
                made.ask("n0", "/receipts/1", "GET", request_id="c")
            )
            await eventually(lambda: sum(one.arrivals["c"] for one in plain))
            others = [one for one in plain if not one.arrivals["c"]]
            for one in others:
                one.faults.mute, one.faults.refuse = False, True
            await eventually(lambda: sum(one.arrivals["c"] for one in others))
            for one in others:
                one.faults.refuse = False
            assert (await asked).status == HTTPStatus.OK

    run(test)


def test_a_late_call_has_the_answer_that_comes_first() -> None:
    """Guards against calls that wait for the later one of two answers."""

    async def test() -> None:
        async with run_vm() as made:
            await made.settle()
            plain = [one for one in made.runners.values() if one.domain is None]
            for one in plain:
                one.faults.mute = True
            asked = asyncio.create_task(
                made.ask("n0", "/receipts/1", "GET", request_id="c")
            )
            await eventually(lambda: sum(one.arrivals["c"] for one in plain))
            for one in plain:
                one.faults.mute = False
            answer = await asked
            assert answer.status == HTTPStatus.OK
            assert answer.body == b"answer to c"
            assert sum(one.arrivals["c"] for one in plain) == 2

    run(test)
