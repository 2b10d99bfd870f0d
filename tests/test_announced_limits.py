"""Tests of upstreams that announce how many requests a second they accept."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import replace

import pytest
from structlog.testing import capture_logs

from tests.installation import Answer, Installation, run
from zinniaspool.core.dispatch import AnnouncedRate, Backpressure, Target, TargetPool
from zinniaspool.core.fleet import InstanceId, InstanceIncarnation
from zinniaspool.core.ids import Address, FailureDomainId, GroupId
from zinniaspool.http import Headers
from zinniaspool.platform.wire import parse_notice


@pytest.mark.parametrize(
    ("header", "parsed"),
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
def test_a_limit_is_parsed_if_it_is_a_valid_number(
    header: str, parsed: float | None
) -> None:
    assert parse_notice(200, Headers.of(server_limit=header)).limit_per_s == parsed


def test_log_lines_show_the_limit_that_an_upstream_announced() -> None:
    """Guards against a limit that no log line shows."""

    async def test() -> None:
        async with Installation.running(nodes=1) as made:
            await made.settle()
            with capture_logs() as lines:
                for per_s in (1.5, -1.0):
                    for runner in made.runners.values():
                        runner.faults.limit_per_s = per_s
                    for _ in range(30):
                        await made.ask("n0", "/receipts/one")
                        await asyncio.sleep(0.1)
            limits = [
                line["per_s"] for line in lines if line["event"] == "limit-announced"
            ]
            assert {1.5, None} <= set(limits)

    run(test)


def _count_sent(rates: Sequence[AnnouncedRate], part: float, seconds: float) -> int:
    """Return how many requests processes send that report to each other."""
    sent = 0
    for tick in range(int(seconds * 100)):
        now = tick / 100
        for rate in rates:
            if rate.allows(part, now):
                sent += 1
                for peer_rate in rates:
                    peer_rate.record_request(part, now)
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


def test_a_limited_upstream_out_of_the_subset_gets_no_requests() -> None:
    """Guards against requests of processes that don't report to its subset."""
    assert not AnnouncedRate(100.0, 0.0).allows(0.0, 10.0)


def test_an_upstream_with_a_limit_of_zero_gets_a_request_now_and_then() -> None:
    """Guards against a limit of zero whose end no process would notice."""
    assert 1 <= _count_sent([AnnouncedRate(0.0, 0.0)], 1.0, 20.0) <= 7


def test_a_limit_outlasts_the_group_of_its_upstream() -> None:
    """Guards against a newly formed group whose head gets a burst."""
    head = Target(InstanceId("i"), Address("10.0.0.1:1"), FailureDomainId("a"), 8)
    asked = Backpressure(rate=AnnouncedRate(1.0, 0.0))
    known = {InstanceIncarnation(head.instance, None): asked}
    pool = TargetPool(FailureDomainId("a"), random.Random(1), known)
    for group in ("g1", "g2"):
        pool.update([replace(head, group=GroupId(group))], 0.0)
        (state,) = pool
        while state.is_open(0.0):
            assert state.backpressure is asked and asked.rate is not None
            asked.rate.record_request(state.subset_part, 0.0)
        assert pool.choose(0.0) is None
        assert pool.has_closed_target(0.0)


_SendRequest = Callable[[str], Awaitable[Answer]]

_PER_S = 1.0
_WINDOW_S = 4.0
_MAX_IN_WINDOW = 1.5 * _PER_S * _WINDOW_S + 5
"""Requests in any window of that length that an upstream with that limit may
get, after all processes have had time to learn of the limit."""

_SPREAD_S = 3.0


def _count_max_in_window(times: list[float], since: float) -> int:
    """Return the most requests in one window that begins after a time."""
    later_times = [time for time in times if time >= since]
    return max(
        (
            sum(first <= time < first + _WINDOW_S for time in later_times)
            for first in later_times
        ),
        default=0,
    )


async def _send_for(
    made: Installation, seconds: float, senders: Sequence[_SendRequest]
) -> list[int]:
    """Send requests to all VMs in turn; return the statuses of the answers."""
    loop = asyncio.get_running_loop()
    ends_at, number = loop.time() + seconds, 0
    pending: list[asyncio.Future[Answer]] = []
    while loop.time() < ends_at:
        number += 1
        send = senders[number % len(senders)]
        pending.append(asyncio.ensure_future(send(f"n{number % 3}")))
        await asyncio.sleep(0.05)
    return [answer.status for answer in await asyncio.gather(*pending)]


def test_an_upstream_gets_no_more_than_it_announced() -> None:
    """Guards against a limit that no VM keeps, or each VM for itself."""

    async def test() -> None:
        async with Installation.running(nodes=3, engines=9) as made:
            await made.settle()
            limited = made.heads("small")[0]
            limited.faults.limit_per_s = _PER_S
            began = asyncio.get_running_loop().time()
            senders = [lambda node: made.draft(node, "small", 2)]
            statuses = await _send_for(made, _SPREAD_S + 2 * _WINDOW_S, senders)
            assert (
                _count_max_in_window(limited.arrived, began + _SPREAD_S)
                <= _MAX_IN_WINDOW
            )
            assert statuses.count(200) > len(statuses) / 2

    run(test)


def test_a_service_whose_upstreams_all_announce_limits_refuses_the_rest() -> None:
    """Guards against a limit that is exceeded if no other upstream is left."""

    async def test() -> None:
        async with Installation.running(nodes=3, plain=2) as made:
            await made.settle()
            plain = [
                runner for runner in made.runners.values() if runner.service == "cards"
            ]
            for runner in plain:
                runner.faults.limit_per_s = _PER_S
            began = asyncio.get_running_loop().time()
            senders = [
                lambda node: made.ask(node, "/receipts/one"),
                lambda node: made.ask(node, "/cards/one"),
            ]
            statuses = await _send_for(made, _SPREAD_S + 2 * _WINDOW_S, senders)
            for runner in plain:
                assert (
                    _count_max_in_window(runner.arrived, began + _SPREAD_S)
                    <= _MAX_IN_WINDOW
                )
            assert set(statuses) <= {200, 503}
            assert statuses.count(200) >= _PER_S * 2 * _WINDOW_S

    run(test)
