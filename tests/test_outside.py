"""What a process sends to targets whose load nobody tells it."""

import pytest

from zinniaspool.core.dispatch.outside import OutsideUse, OutsideWindow


def send(window: OutsideWindow, count: int, late_s: float, now: float) -> int:
    """Send as many as are allowed, let all come; return how many that were."""
    sent = 0
    while sent < count and window.allows(now):
        window.begin()
        sent += 1
    for _ in range(sent):
        window.note_first(late_s, now)
    return sent


def test_a_lost_domain_s_requests_find_room_elsewhere_within_a_few_answers() -> None:
    """Callers would be refused for seconds beside targets with free slots.

    A fabric domain went dark; its entry processes' own targets cannot take
    all. The others answer in time, so that more and more may wait there.
    """
    window = OutsideWindow()
    sent = [send(window, 8, 0.0, 0.1 * step) for step in range(6)]
    assert sent[0] == 1
    assert sent[-1] == 8


def test_in_an_overload_of_the_whole_fleet_hardly_any_is_sent_elsewhere() -> None:
    """Nobody would be on time: each takes the others' targets for emptier.

    First events from there come late, for all processes alike.
    """
    window = OutsideWindow()
    sent = [send(window, 8, 0.3, 0.1 * step) for step in range(100)]
    assert sum(sent) <= 4


def test_a_late_one_halves_what_may_wait_and_the_next_ones_bring_it_back() -> None:
    window = OutsideWindow()
    for step in range(8):
        send(window, 16, 0.0, 0.1 * step)
    before = send(window, 16, 0.0, 1.0)
    window.begin()
    window.note_first(0.5, 1.1)
    after = send(window, 16, 0.0, 1.2)
    assert after == before // 2
    assert send(window, 16, 0.0, 1.3) > after


def test_a_target_that_stands_still_says_nothing_of_the_others_load() -> None:
    """The window would close when a domain is lost, just when it is needed."""
    window = OutsideWindow()
    window.begin()
    window.withdraw()
    assert window.allows(0.0)


def test_what_is_unknown_elsewhere_is_tried_and_what_was_full_is_tried_again() -> None:
    """Own targets are full; taken for as full, others would never be tried."""
    use = OutsideUse()
    assert use.estimate(0.0) == pytest.approx(0.5)
    for _ in range(10):
        use.note(1.0, 1.0)
    assert use.estimate(1.0) > 0.9
    assert use.estimate(9.0) < 0.6
