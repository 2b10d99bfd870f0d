"""Upstreams in processes that are stopped for about a second and resumed."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from enum import Enum
from http import HTTPStatus
from pathlib import Path

import pytest

from tests.installation import run
from tests.silent_processes import Caller, ProcessFleet, pause_all
from zinniaspool_standins.hosts import RunnerHost

pytestmark = pytest.mark.processes

STREAMS = 32
EVENTS, LATER_EVENTS = 45, 10
"""Events of a caller's first stream, which takes 1.5 s, and of its second."""

LEAST_STARTED = 24
STARTED_S = 0.4
"""Time from the first streams to the silence, in seconds."""


class Share(Enum):
    """Which processes with engines fall silent."""

    ALL = "all"
    MOST = "most"
    ALL_BUT_ONE_GROUP = "all but one group"


def choose_hosts(
    fleet: ProcessFleet, share: Share, source: random.Random
) -> list[RunnerHost]:
    """Return the processes that are stopped."""
    hosts = list(fleet.engines)
    match share:
        case Share.ALL:
            return hosts
        case Share.MOST:
            source.shuffle(hosts)
            wanted = 0.6 * sum(len(host.runners) for host in hosts)
            chosen: list[RunnerHost] = []
            while sum(len(host.runners) for host in chosen) + 1 < wanted:
                chosen.append(hosts.pop())
            return chosen
    single = [host for host in hosts if len(host.list_open_groups()) == 1]
    kept = source.choice(single)
    return [host for host in hosts if host is not kept]


async def stream_twice(fleet: ProcessFleet, caller: Caller, number: int) -> None:
    """Ask for two streams, one after the other over the same connection."""
    await fleet.draft(caller, f"first-{number}", EVENTS)
    await fleet.draft(caller, f"second-{number}", LATER_EVENTS)


def play(
    folder: Path,
    seed: str,
    share: Share,
    *others: Callable[[ProcessFleet, random.Random], Awaitable[None]],
) -> None:
    """Stop processes with engines beside streams and other events."""

    async def test() -> None:
        source = random.Random(seed)
        async with ProcessFleet.running(folder) as fleet:
            callers = fleet.make_callers(STREAMS)
            await fleet.settle(callers)
            streams = [
                asyncio.create_task(stream_twice(fleet, caller, number))
                for number, caller in enumerate(callers)
            ]
            await asyncio.sleep(STARTED_S)
            await asyncio.gather(
                pause_all(choose_hosts(fleet, share, source), source),
                *(other(fleet, source) for other in others),
            )
            await asyncio.gather(*streams)
            assert len(fleet.list_started()) >= LEAST_STARTED
            fleet.assert_sound()
            for caller in callers:
                caller.close()

    run(test)


async def change_configuration(fleet: ProcessFleet, source: random.Random) -> None:
    for _ in range(3):
        fleet.made.configure()
        await asyncio.sleep(source.uniform(0.2, 0.4))


async def stop_vm(fleet: ProcessFleet, source: random.Random) -> None:
    await asyncio.sleep(source.uniform(0.0, 0.4))
    await fleet.stop_vm(source.choice(fleet.nodes))


async def freeze_holder(fleet: ProcessFleet, source: random.Random) -> None:
    await asyncio.sleep(source.uniform(0.0, 0.4))
    await fleet.freeze_holder(source.uniform(1.0, 2.0))


@pytest.mark.parametrize("with_changes", [False, True])
@pytest.mark.parametrize("share", Share)
def test_no_stream_is_lost_while_processes_of_engines_are_stopped(
    share: Share, with_changes: bool, tmp_path: Path
) -> None:
    """Guards against streams that are cut because their engines paused."""
    others = [change_configuration] if with_changes else []
    play(tmp_path, f"{share} {with_changes}", share, *others)


def test_no_stream_is_lost_where_a_vm_stops_during_a_silence(tmp_path: Path) -> None:
    """Guards against planned stops that cut streams of stopped engines."""
    play(tmp_path, "stop", Share.ALL, stop_vm)


def test_no_stream_is_lost_where_the_holder_is_frozen_during_a_silence(
    tmp_path: Path,
) -> None:
    """Guards against a holder that judges groups by answers it read late."""
    play(tmp_path, "freeze", Share.ALL, freeze_holder)


def test_calls_outlast_a_stop_of_all_plain_upstreams(tmp_path: Path) -> None:
    """Guards against calls that are given up although their answer comes."""

    async def test() -> None:
        source = random.Random("plain")
        async with ProcessFleet.running(tmp_path) as fleet:
            callers = fleet.make_callers(8)
            await fleet.settle(callers)
            silence = asyncio.create_task(pause_all([fleet.plain], source))
            # Calls to /cards/ are given up after 1.5 s by the route.
            await asyncio.sleep(0.2)
            names = [f"call-{number}" for number in range(len(callers))]
            answers = await asyncio.gather(
                *(
                    caller.ask(name, "GET", "/receipts/1")
                    if number % 2
                    else caller.ask(name, "POST", "/cards/1")
                    for number, (caller, name) in enumerate(
                        zip(callers, names, strict=True)
                    )
                )
            )
            await silence
            expected = [(HTTPStatus.OK, f"answer to {name}".encode()) for name in names]
            assert [(answer.status, answer.body) for answer in answers] == expected
            fleet.assert_sound()
            for caller in callers:
                caller.close()

    run(test)
