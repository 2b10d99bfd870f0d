"""What streams show of the paces of their targets, and what moves cost."""

from types import SimpleNamespace
from typing import cast

import pytest

from zinniaspool.core.dispatch import (
    AttemptFailure,
    EventPace,
    MoveCosts,
    PaceSpread,
    TargetState,
)
from zinniaspool.gateway.calls import GatewayAttempt
from zinniaspool.gateway.clocks import StopClock
from zinniaspool.gateway.stops import StopGuard, _count_ids_left
from zinniaspool.gateway.targets import TargetIndex


class _State:
    """A target that is slow or not."""

    def __init__(self, *, is_slow: bool) -> None:
        self.speed = SimpleNamespace(is_slow=is_slow)


def _make_state(*, is_slow: bool = False) -> TargetState:
    return cast(TargetState, _State(is_slow=is_slow))


def test_a_spread_forgets_what_is_no_longer_recent() -> None:
    """Guards against samples that pile up while nothing asks for them."""
    spread, state = PaceSpread(), _make_state()
    for number in range(4000):
        spread.record(state, 0.005, number * 0.25)
    assert len(spread) < 40


def test_the_longest_pace_is_that_of_targets_that_are_not_slow() -> None:
    """Guards against streams refused for heads that they are not sent to."""
    spread = PaceSpread()
    for _ in range(20):
        spread.record(_make_state(), 0.005, 1.0)
    for _ in range(10):
        spread.record(_make_state(), 0.008, 1.0)
        spread.record(_make_state(is_slow=True), 0.025, 1.0)
    assert spread.find_usual_elsewhere(_make_state(), 1.0) == 0.005
    assert spread.find_longest(1.0) == 0.008


def test_a_target_counts_by_what_it_showed_since_a_time() -> None:
    """Guards against a head that was left, judged by what it showed before."""
    spread, state = PaceSpread(), _make_state()
    spread.record(state, 0.005, 1.0)
    spread.record(state, 0.020, 2.0)
    assert spread.find_at(state, 2.5, since=1.5) == 0.020
    assert spread.find_at(state, 2.5, since=2.2) is None
    assert spread.find_at(_make_state(), 2.5) is None


@pytest.mark.parametrize("last_s", [0.005, 0.015])
def test_a_target_counts_by_what_it_has_shown_last(last_s: float) -> None:
    """Guards against streams moved to a head that others leave as slow."""
    spread, state = PaceSpread(), _make_state()
    for number in range(10):
        spread.record(state, 0.010, number * 0.25)
    # Two streams at one time, one of which reads late.
    spread.record(state, last_s, 2.5)
    spread.record(state, last_s + 0.002, 2.5)
    assert spread.find_at(state, 3.0) == pytest.approx(last_s + 0.001)
    assert spread.find_at(state, 5.6) is None


def test_a_few_slow_events_are_no_slow_pace() -> None:
    """Guards against streams that leave a head after a few late events."""
    pace = EventPace()
    for _ in range(20):
        pace.record(0.03, 1)
    for _ in range(4):
        pace.record(0.06, 1)
    shortest_s, longest_s = pace.estimate_shortest(), pace.estimate_longest()
    assert shortest_s is not None and shortest_s < 0.036
    assert longest_s == 0.06


@pytest.mark.parametrize("last_id", [0, 1, 50, 76, 77, 80])
def test_a_stream_with_all_its_events_has_none_left(last_id: int) -> None:
    """Guards against a stream given up though its last event has come."""
    terms = SimpleNamespace(max_output_tokens=462, resume_after=None)
    attempt = SimpleNamespace(
        call=SimpleNamespace(terms=terms), cursor=SimpleNamespace(last_id=last_id)
    )
    ids_left = _count_ids_left(cast(GatewayAttempt, attempt), 6.0)
    assert ids_left == max(0, 77 - last_id)


def test_moves_in_vain_make_the_next_one_dearer() -> None:
    """Guards against moves that seem to cost less the more of them fail."""
    guard = StopGuard(StopClock(8.0), cast(TargetIndex, None))
    for failure in (AttemptFailure.NOT_SENT, *[AttemptFailure.STALLED] * 3):
        attempt = SimpleNamespace(
            failure=failure, sent_at=1.0, ended_at=1.05, predicted_first_event_s=0.15
        )
        guard.record_vain_move(cast(GatewayAttempt, attempt))
    assert guard.move_costs.estimate(1.1) == pytest.approx(0.15)
    assert MoveCosts().estimate(0.0) == 0.0
    assert guard.move_costs.estimate(60.0) == 0.0
