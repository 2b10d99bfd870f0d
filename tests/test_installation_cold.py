"""Cold upstreams over the platform's protocols, which crash above a rate."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from structlog.testing import capture_logs

from tests.delays import explain_by_delays
from tests.installation import Answer, Installation, eventually, run
from zinniaspool_standins.installation import make_rules
from zinniaspool_standins.runners import Runner

COLD_S, PER_S, ALLOWED = 2.0, 26, 44
"""Seconds and requests a second of the configuration, and the requests that a
cold upstream survives within a second: 26 x 1.5 + 5."""

MAX_SPELLS, MAX_DELAYED_S = 3, 0.5
"""Cold spells until one in which the test's loop stood still for less than so
many seconds in all."""

PAUSE_S = 0.012
"""Pause between two requests to all VMs, in seconds: with two VMs over 100
requests a second, more than twice what a cold upstream survives."""


@contextlib.asynccontextmanager
async def _run_plain() -> AsyncIterator[Installation]:
    """Run two entry VMs before two upstreams whose coldness is limited."""
    async with Installation.running(nodes=0, engines=0, plain=0) as made:
        services = make_rules(0, [])["services"]
        for service in services:
            service |= {"cold-start-s": COLD_S, "cold-per-s": PER_S}
        made.configure(services=services)
        for zone in ("hall-a", "hall-b"):
            made.add_runner("cards", None, zone)
        for runner in made.runners.values():
            runner.times.cold_s, runner.times.cold_limit = COLD_S, ALLOWED
        for name in ("n0", "n1"):
            await made.start_node(name)
        for name in made.nodes:
            await _await_served(made, name)
        await asyncio.sleep(1.5)
        yield made


async def _await_served(made: Installation, node: str) -> None:
    for _ in range(200):
        if (await made.ask(node, "/cards/1")).status == 200:
            return
        await asyncio.sleep(0.05)
    raise AssertionError(f"{node} does not serve")


async def _send_for(made: Installation, seconds: float) -> list[Answer]:
    ends_at = asyncio.get_running_loop().time() + seconds
    pending: list[asyncio.Future[Answer]] = []
    while asyncio.get_running_loop().time() < ends_at:
        for node in made.nodes:
            pending.append(asyncio.ensure_future(made.ask(node, "/cards/1")))
        await asyncio.sleep(PAUSE_S)
    return await asyncio.gather(*pending)


def _assert_survived(runner: Runner) -> None:
    assert runner.crashes == 0
    assert runner.coldness.most_requests <= ALLOWED


def test_the_stand_in_crashes_above_its_rate() -> None:
    """Guards against tests below that would pass without any limit."""

    async def test() -> None:
        async with Installation.running(nodes=1, engines=0, plain=1) as made:
            (runner,) = made.runners.values()
            await _await_served(made, "n0")
            runner.times.cold_limit = 10
            runner.coldness.begin(5.0)
            pending = [
                asyncio.ensure_future(made.ask("n0", "/cards/1", deadline_ms=900))
                for _ in range(20)
            ]
            await asyncio.gather(*pending)
            assert runner.crashes == 1

    run(test)


def test_an_upstream_that_starts_again_under_its_id_is_cold() -> None:
    """Guards against a crash as soon as it has started, again and again."""

    async def test() -> None:
        async with _run_plain() as made:
            runner = next(iter(made.runners.values()))
            await _send_for(made, 0.5)
            with capture_logs() as lines:
                runner.restart()
                await asyncio.sleep(0.3)
                answers = await _send_for(made, COLD_S + 1.0)
            assert {answer.status for answer in answers} == {200}
            _assert_survived(runner)
            await eventually(
                lambda: (
                    [
                        line["event"]
                        for line in lines
                        if line.get("instance") == runner.id
                        and line["event"] in ("upstream-cold", "upstream-warm")
                    ]
                    == ["upstream-cold"] * 2 + ["upstream-warm"] * 2
                )
            )

    run(test)


def test_an_upstream_that_is_cold_again_without_a_restart_survives() -> None:
    """Guards against a limit that only a start begins."""

    async def test() -> None:
        async with _run_plain() as made:
            runner = next(iter(made.runners.values()))
            await _send_for(made, 0.5)
            for _ in range(2):
                # The record has arrived by the time the limit begins.
                runner.times.cold_limit = 0
                runner.coldness.begin(COLD_S)
                await asyncio.sleep(0.3)
                runner.coldness.reset_counts()
                runner.times.cold_limit = ALLOWED
                answers = await _send_for(made, COLD_S)
                assert {answer.status for answer in answers} == {200}
                _assert_survived(runner)

    run(test)


def test_upstreams_that_are_all_cold_are_protected_and_callers_told_when() -> None:
    """Guards against last-resort requests, and against too early returns."""

    async def test() -> None:
        async with _run_plain() as made:
            await _send_for(made, 0.3)
            for _ in range(MAX_SPELLS):
                async with explain_by_delays() as delays:
                    for runner in made.runners.values():
                        runner.restart()
                    await asyncio.sleep(0.3)
                    answers = await _send_for(made, 1.0)
                if delays.total_s < MAX_DELAYED_S:
                    break
                # The upstreams became warm while the loop stood still.
            statuses = [answer.status for answer in answers]
            assert set(statuses) == {200, 503}
            # Two upstreams, each with 22 requests in the first second.
            assert statuses.count(200) >= 20
            refused = [answer for answer in answers if answer.status == 503]
            assert all(answer.headers.get("retry-after") for answer in refused)
            for runner in made.runners.values():
                _assert_survived(runner)
            await asyncio.sleep(COLD_S)
            warm = await _send_for(made, 0.5)
            assert {answer.status for answer in warm} == {200}

    run(test)


def test_upstreams_of_a_returned_failure_domain_are_spared() -> None:
    """Guards against a rush to the domain that has just been returned."""

    async def test() -> None:
        async with _run_plain() as made:
            await _send_for(made, 0.5)
            runner = next(one for one in made.runners.values() if one.zone == "hall-a")
            made.evacuate("hall-a")
            await _send_for(made, 1.0)
            runner.coldness.begin(COLD_S)
            made.end_evacuation("hall-a")
            answers = await _send_for(made, COLD_S)
            assert {answer.status for answer in answers} == {200}
            assert runner.coldness.most_requests > 0
            _assert_survived(runner)

    run(test)
