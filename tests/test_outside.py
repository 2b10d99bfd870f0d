"""Tests what a process sends to targets whose load isn't reported to it."""

import pytest

from zinniaspool.core.dispatch.outside import OutOfSubsetUtilization, OutOfSubsetWindow


def send(window: OutOfSubsetWindow, count: int, late_s: float, now: float) -> int:
    """Send the allowed requests and answer them all; return their number."""
    sent = 0
    while sent < count and window.allows(now):
        window.begin_request()
        sent += 1
    for _ in range(sent):
        window.record_first_event(late_s, now)
    return sent


def test_requests_of_a_failed_domain_find_room_elsewhere_within_a_few_answers() -> None:
    """Callers would be refused for seconds beside targets with free slots.

    A fabric domain lost its power, and its entry processes' own targets can't
    run all requests. The other targets answer in time, so that more and more
    requests may wait there.
    """
    window = OutOfSubsetWindow()
    sent = [send(window, 8, 0.0, 0.1 * step) for step in range(6)]
    assert sent[0] == 1
    assert sent[-1] == 8


def test_in_an_overload_of_the_whole_fleet_hardly_any_request_is_sent_elsewhere() -> (
    None
):
    """Each process would assume that the targets of others are emptier.

    No request would be on time. First events from those targets come late, for
    all processes alike.
    """
    window = OutOfSubsetWindow()
    sent = [send(window, 8, 0.3, 0.1 * step) for step in range(100)]
    assert sum(sent) <= 4


def test_a_late_first_event_halves_the_window_and_the_next_ones_restore_it() -> None:
    window = OutOfSubsetWindow()
    for step in range(8):
        send(window, 16, 0.0, 0.1 * step)
    before = send(window, 16, 0.0, 1.0)
    window.begin_request()
    window.record_first_event(0.5, 1.1)
    after = send(window, 16, 0.0, 1.2)
    assert after == before // 2
    assert send(window, 16, 0.0, 1.3) > after


def test_a_stalled_target_does_not_close_the_window() -> None:
    """The window would close when a domain is lost and it is needed most."""
    window = OutOfSubsetWindow()
    window.begin_request()
    window.record_reroute()
    assert window.allows(0.0)


def test_unknown_targets_elsewhere_are_tried_and_full_ones_are_tried_again() -> None:
    """Targets elsewhere assumed to be full would never be tried."""
    use = OutOfSubsetUtilization()
    assert use.estimate(0.0) == pytest.approx(0.5)
    for _ in range(10):
        use.record(1.0, 1.0)
    assert use.estimate(1.0) > 0.9
    assert use.estimate(9.0) < 0.6
