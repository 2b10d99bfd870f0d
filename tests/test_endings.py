"""When streams in progress will end, by the pace of their events."""

import pytest

from zinniaspool.core.dispatch import EventPace, RunningStream, is_sooner, predict_end


def _make_pace(*gaps: float, ids: int = 1) -> EventPace:
    pace = EventPace()
    for gap_s in gaps:
        pace.record(gap_s, ids)
    return pace


def test_a_pace_is_unknown_until_some_events_came() -> None:
    """Guards against a stream that leaves its head for its first gap."""
    assert _make_pace(0.5, 0.5).estimate() is None
    assert _make_pace(0.5, 0.5, 0.5).estimate() == 0.5


def test_a_single_pause_leaves_the_pace_as_it_is() -> None:
    """Guards against a stream that leaves a head for one pause."""
    assert _make_pace(*[0.03] * 6, 1.2).estimate() == 0.03


def test_a_slower_head_is_known_after_four_events() -> None:
    """Guards against a slow head that is found when it is too late."""
    assert _make_pace(*[0.03] * 7, *[0.15] * 4).estimate() == 0.15


def test_events_that_are_read_at_once_count_one_by_one() -> None:
    """Guards against a late read that is taken for a slow head."""
    assert _make_pace(*[0.3] * 5, ids=10).estimate() == pytest.approx(0.03)
    assert _make_pace(*[0.3] * 5, ids=0).estimate() is None


def test_the_end_follows_from_what_is_left() -> None:
    """Guards against an end that lies before the next event."""
    stream = RunningStream(ids_left=10, id_s=0.1, read_at=5.0, next_s=0.1)
    assert predict_end(stream, 5.0) == pytest.approx(6.0)
    assert predict_end(stream, 5.05) == pytest.approx(6.0)
    # The next event is due by now.
    assert predict_end(stream, 5.15) == pytest.approx(5.15 + 0.9)


def test_a_silence_is_expected_to_last_as_long_again() -> None:
    """Guards against a silent head that is waited for until it is too late."""
    stream = RunningStream(ids_left=1, id_s=0.1, read_at=5.0, next_s=0.1)
    ends = [predict_end(stream, 5.0 + quiet_s) for quiet_s in (0.5, 1.0, 1.5)]
    assert ends == pytest.approx([6.0, 7.0, 8.0])


def test_a_small_gain_is_no_reason_to_leave() -> None:
    """Guards against a prompt that is read again for nothing."""
    assert is_sooner(8.0, 7.8)
    assert not is_sooner(8.0, 7.95)
