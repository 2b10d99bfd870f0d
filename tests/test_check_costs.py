"""What the checks of streams in progress cost a VM that has many of them."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Any, cast
from unittest.mock import Mock, patch

from tests.test_dispatch import make_target
from tests.test_lost_heads import MODEL, ROUTE, SERVICE
from tests.virtual_time import run_in_virtual_time
from zinniaspool.core.dispatch import (
    Attempts,
    DurationForecast,
    EventPace,
    Progress,
    RequestTerms,
    RetryTerms,
    spread,
)
from zinniaspool.core.dispatch.attempts import RetryAllowance
from zinniaspool.core.ids import ContentId, FailureDomainId, RequestId
from zinniaspool.fleet import FleetView
from zinniaspool.gateway import endings
from zinniaspool.gateway.calls import GatewayCall
from zinniaspool.gateway.clocks import StopClock
from zinniaspool.gateway.endings import StreamEndWatcher
from zinniaspool.gateway.moves import Rerouter
from zinniaspool.gateway.stops import PACE_INTERVAL_S, StopGuard
from zinniaspool.gateway.targets import TargetIndex
from zinniaspool.platform.spelling import PlatformCodec

FEW, MANY = 20, 80
"""Streams in progress."""

TARGETS = 5

MORE_COST = 1.25 * MANY / FEW
"""By how much the cost of many may be that of few."""

NOW = 10.0
GAP_S = 0.1
"""Time from one event of a stream to the next, in seconds."""


class _Site:
    """A VM with streams in progress that won't end in time."""

    def __init__(self, streams: int, *, closed: bool) -> None:
        index = TargetIndex(FleetView(PlatformCodec()), FailureDomainId("a"))
        pool = index.find_pool(SERVICE, MODEL)
        pool.update([make_target(f"h{number}") for number in range(TARGETS)], 0.0)
        self._states = list(pool)
        if closed:
            for state in self._states[1:]:
                state.target = replace(state.target, draining=True)
        self.guard = StopGuard(StopClock(8.0), index)
        rerouter = Rerouter(index)
        rerouter.starter = Mock()
        rerouter.starter.begin_alternative.return_value = False
        self.watcher = StreamEndWatcher(self.guard, index, rerouter)
        for number in range(streams):
            self._add_stream(number)

    def _add_stream(self, number: int) -> None:
        ends_at = NOW + 1.0
        call = GatewayCall(
            Mock(),
            RequestTerms(RequestId(f"r{number}"), 6.0, MODEL, 0, 70, None, None),
            ROUTE,
            SERVICE,
            None,
            NOW - 4.0,
            ends_at,
            Attempts(RetryTerms(True, ends_at, 4), cast(RetryAllowance, None)),
            ContentId("c"),
        )
        call.deadline_after_stop, call.progress = True, Progress.RESUMABLE
        attempt = call.make_attempt(self._states[1 + number % (TARGETS - 1)])
        call.lead(attempt, NOW - 4.0)
        attempt.has_event, attempt.read_at = True, NOW
        attempt.cursor.last_id = call.last_event_id = 20
        for _ in range(20):
            attempt.pace.record(GAP_S, 1)
        self.guard.running.add(call)

    def check(self) -> None:
        """Check the streams twice, as each second check records no paces."""
        self.watcher._check(NOW)
        self.watcher._check(NOW + PACE_INTERVAL_S / 2)


def _count(streams: int, owner: Any, name: str, *, closed: bool = False) -> int:
    """Return how often the checks call a function."""
    counted = 0
    measured: Callable[..., Any] = getattr(owner, name)

    def measure(*args: Any, **keys: Any) -> Any:
        nonlocal counted
        counted += 1
        return measured(*args, **keys)

    async def check() -> None:
        await asyncio.sleep(NOW)
        site = _Site(streams, closed=closed)
        with patch.object(owner, name, measure):
            site.check()

    run_in_virtual_time(check)
    assert counted
    return counted


def test_the_paces_of_streams_are_compared_once_in_a_check() -> None:
    """Guards against a check whose cost rises by the square of the streams."""
    few, many = (_count(one, EventPace, "estimate") for one in (FEW, MANY))
    assert many <= MORE_COST * few
    few, many = (_count(one, endings, "median") for one in (FEW, MANY))
    assert many == few


def test_the_usual_pace_is_found_once_for_each_target() -> None:
    """Guards against all shown paces being sorted anew for each stream."""
    few, many = (_count(one, spread, "median") for one in (FEW, MANY))
    assert many <= 1.25 * few


def test_recent_answers_are_summed_up_once_for_streams_at_closed_heads() -> None:
    """Guards against a VM that stands still while slow groups are replaced."""
    few, many = (
        _count(one, DurationForecast, "sum_up", closed=True) for one in (FEW, MANY)
    )
    assert many == few
