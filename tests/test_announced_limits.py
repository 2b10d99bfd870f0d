"""Upstreams that announce how many requests a second they take."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import replace

import pytest
from structlog.testing import capture_logs

from tests.installation import Answer, Installation, run
from zinniaspool.core.dispatch import AnnouncedRate, Target, TargetPool
from zinniaspool.core.fleet import InstanceId, InstanceLife
from zinniaspool.core.ids import Address, FailureDomainId, GroupId
from zinniaspool.http import Headers
from zinniaspool.platform.wire import read_limit


@pytest.mark.parametrize(
    ("said", "read"),
    [
        ("1.5", 1.5),
        ("0", 0.0),
        ("-1", None),
        ("many", None),
        ("inf", None),
        ("nan", None),
        ("", None),
    ],
)
def test_a_limit_is_read_where_it_is_a_number(said: str, read: float | None) -> None:
    assert read_limit(Headers.of(server_limit=said)) == read


def test_log_lines_tell_what_limit_an_upstream_announced() -> None:
    """Guards against a limit that no line shows to have been seen."""

    async def test() -> None:
        async with Installation.running(nodes=1) as made:
            await made.settle()
            with capture_logs() as lines:
                for per_s in (1.5, -1.0):
                    for one in made.runners.values():
                        one.faults.limit_per_s = per_s
                    for _ in range(30):
                        await made.ask("n0", "/receipts/one")
                        await asyncio.sleep(0.1)
            told = [one["per_s"] for one in lines if one["event"] == "limit-announced"]
            assert {1.5, None} <= set(told)

    run(test)


def _count_sent(rates: Sequence[AnnouncedRate], part: float, seconds: float) -> int:
    """Return what processes send that tell each other, when they may."""
    sent = 0
    for tick in range(int(seconds * 100)):
        now = tick / 100
        for rate in rates:
            if rate.allows(part, now):
                sent += 1
                for told in rates:
                    told.count(part, now)
    return sent


@pytest.mark.parametrize("processes", [1, 8])
@pytest.mark.parametrize("part", [1.0, 0.5])
def test_processes_together_send_their_part_of_a_limit(
    processes: int, part: float
) -> None:
    """Guards against a rate that grows with the VMs, or leaves much unused."""
    rates = [AnnouncedRate(2.0, 0.0) for _ in range(processes)]
    sent = _count_sent(rates, part, 20.0)
    assert 2.0 * part * 20.0 * 0.9 <= sent <= 2.0 * part * 20.0 + 3


def test_a_limited_upstream_that_others_share_gets_nothing() -> None:
    """Guards against processes beyond those that count its requests."""
    assert not AnnouncedRate(100.0, 0.0).allows(0.0, 10.0)


def test_an_upstream_that_takes_none_is_asked_now_and_then() -> None:
    """Guards against a limit of none whose end nobody would learn."""
    assert 1 <= _count_sent([AnnouncedRate(0.0, 0.0)], 1.0, 20.0) <= 7


def test_a_limit_outlasts_the_group_of_its_upstream() -> None:
    """Guards against a group formed anew whose head gets all at once."""
    head = Target(InstanceId("i"), Address("10.0.0.1:1"), FailureDomainId("a"), 8)
    rates = {InstanceLife(head.instance, None): AnnouncedRate(1.0, 0.0)}
    pool = TargetPool(FailureDomainId("a"), random.Random(1), rates)
    for group in ("g1", "g2"):
        pool.update([replace(head, group=GroupId(group))], 0.0)
        (state,) = pool
        while state.is_within_rate(0.0):
            assert state.rate is not None
            state.rate.count(state.part, 0.0)
        assert pool.choose(0.0) is None
        assert pool.is_limited(0.0)


_Ask = Callable[[str], Awaitable[Answer]]

_PER_S = 1.0
_WINDOW_S = 4.0
_MOST = 1.5 * _PER_S * _WINDOW_S + 5
"""Requests in any window of that length that an upstream with that limit may
get, from when all have had time to hear of it."""

_HEARD_S = 3.0


def _count_most(times: list[float], since: float) -> int:
    """Return the most requests in one window that begins after a time."""
    late = [one for one in times if one >= since]
    return max(
        (sum(first <= one < first + _WINDOW_S for one in late) for first in late),
        default=0,
    )


async def _ask_for(
    made: Installation, seconds: float, asks: Sequence[_Ask]
) -> list[int]:
    """Send requests at all VMs in turn; return the answers' statuses."""
    loop = asyncio.get_running_loop()
    ends, number = loop.time() + seconds, 0
    asking: list[asyncio.Future[Answer]] = []
    while loop.time() < ends:
        number += 1
        ask = asks[number % len(asks)]
        asking.append(asyncio.ensure_future(ask(f"n{number % 3}")))
        await asyncio.sleep(0.05)
    return [answer.status for answer in await asyncio.gather(*asking)]


def test_an_upstream_gets_no_more_than_it_announced() -> None:
    """Guards against a limit that no VM keeps, or each for itself."""

    async def test() -> None:
        async with Installation.running(nodes=3, engines=9) as made:
            await made.settle()
            limited = made.heads("small")[0]
            limited.faults.limit_per_s = _PER_S
            began = asyncio.get_running_loop().time()
            asks = [lambda node: made.draft(node, "small", 2)]
            statuses = await _ask_for(made, _HEARD_S + 2 * _WINDOW_S, asks)
            assert _count_most(limited.arrived, began + _HEARD_S) <= _MOST
            assert statuses.count(200) > len(statuses) / 2

    run(test)


def test_a_service_whose_upstreams_all_announce_limits_refuses_the_rest() -> None:
    """Guards against a limit that is broken where no other one is left."""

    async def test() -> None:
        async with Installation.running(nodes=3, plain=2) as made:
            await made.settle()
            plain = [one for one in made.runners.values() if one.service == "cards"]
            for one in plain:
                one.faults.limit_per_s = _PER_S
            began = asyncio.get_running_loop().time()
            asks = [
                lambda node: made.ask(node, "/receipts/one"),
                lambda node: made.ask(node, "/cards/one"),
            ]
            statuses = await _ask_for(made, _HEARD_S + 2 * _WINDOW_S, asks)
            for one in plain:
                assert _count_most(one.arrived, began + _HEARD_S) <= _MOST
            assert set(statuses) <= {200, 503}
            assert statuses.count(200) >= _PER_S * 2 * _WINDOW_S

    run(test)
