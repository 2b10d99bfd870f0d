"""Upstreams that announce how many requests a second they take."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

import pytest
from structlog.testing import capture_logs

from tests.installation import Answer, Installation, run
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
                    for _ in range(4):
                        await made.ask("n0", "/receipts/one")
            told = [one["per_s"] for one in lines if one["event"] == "limit-announced"]
            assert {1.5, None} <= set(told)

    run(test)


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
