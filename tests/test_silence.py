"""When a head's silence is silence, by what its passes have shown."""

import asyncio
import contextlib
import random
from itertools import pairwise

from hypothesis import given, strategies as st

from tests.test_dispatch import find, make_pool, make_target
from tests.virtual_time import run_virtually
from zinniaspool.core.dispatch import (
    EnginePace,
    SilenceLimits,
    TargetPool,
    TargetState,
    doubt,
    find_next_silence,
    find_silent,
)
from zinniaspool.core.ids import FailureDomainId, NodeId, ServiceName
from zinniaspool.fleet import FleetBelief
from zinniaspool.gateway.moves import Moves
from zinniaspool.gateway.silence import LEAST_PAUSE_S, MOST_PAUSE_S, SilenceWatch
from zinniaspool.gateway.targets import TargetIndex
from zinniaspool.platform.spelling import PlatformSpelling

LIMITS = SilenceLimits(writing_s=10.0)
"""Limits that only what was learned undercuts."""

PACE = EnginePace(pass_s=0.025, pass_per_request_s=0.0002, read_s=0.0000118)
"""Of the smaller model of the users' sheets."""


def make_writing() -> tuple[TargetPool, TargetState]:
    """Return a pool whose first target writes two streams of this process."""
    pool = make_pool("x", "y")
    pool.forecast.pace = PACE
    state = find(pool, "x")
    for _ in range(2):
        pool.begin(state, 0)
    state.writing = 2
    return pool, state


def find_silent_after(pool: TargetPool, state: TargetState) -> float:
    """Return for how long the target may say nothing now, in seconds."""
    quiet_s = 0.0
    while not find_silent(pool, LIMITS, state.progress_at + quiet_s):
        quiet_s += 0.001
    return quiet_s


def test_streams_of_a_head_with_short_passes_are_moved_within_their_pause() -> None:
    """Callers of a small model accept pauses of a fifth of a second.

    A VM of the group is lost in the middle of their streams, and the head says
    nothing more. Its passes took 30 to 50 ms until then. Noticed after a
    quarter of a second, all its streams would be late; within an eighth, there
    is time for a first event elsewhere.
    """
    pool, state = make_writing()
    source, now = random.Random(3), 0.0
    for _ in range(1500):
        now += source.uniform(0.03, 0.05)
        pool.note_progress(state, now)
    assert 0.05 < find_silent_after(pool, state) <= 0.125


def test_a_pass_that_reads_long_prompts_is_no_silence() -> None:
    """Streams would be moved away from a head that is about to go on.

    Several callers' prompts come in between two events, so that the pass
    takes as long as reading them. Theirs are known by the other processes'
    word.
    """
    pool, state = make_writing()
    now = 0.0
    for _ in range(1500):
        now += 0.04
        pool.note_progress(state, now)
    calm_s = find_silent_after(pool, state)
    pool.begin(state, 12_000)
    assert find_silent_after(pool, state) >= calm_s + 12_000 * PACE.read_s


@given(
    gaps=st.lists(st.floats(0.0, 0.4), min_size=1, max_size=800),
    seed=st.integers(0, 99),
)
def test_a_gap_as_long_as_a_recent_one_is_no_silence(
    gaps: list[float], seed: int
) -> None:
    """A head that stutters by nature would lose its streams again and again.

    The longest gap comes first, and is followed by many short ones.
    """
    pool, state = make_writing()
    pool.note_progress(state, 0.1)
    now, longest_s = 0.1, 0.0
    most_s = PACE.pass_s + 0.3
    for gap_s in sorted(gaps, reverse=True):
        now += gap_s
        longest_s = max(longest_s, gap_s)
        pool.note_progress(state, now)
    assert find_silent_after(pool, state) >= min(longest_s, most_s)


def test_after_a_false_silence_more_is_allowed() -> None:
    """Gaps that grow are never measured if their streams are always moved."""
    pool, state = make_writing()
    for number in range(1, 1500):
        pool.note_progress(state, number * 0.03)
    before_s = find_silent_after(pool, state)
    state.silences = 1
    pool.note_progress(state, state.progress_at + 0.3)
    assert state.usable(state.progress_at)
    assert find_silent_after(pool, state) >= before_s * 1.2


def test_what_others_found_silent_gets_nothing_new_for_a_moment() -> None:
    """Each process would send its next callers there until it saw by itself.

    Another process's streams stopped at a head. This one has a request that
    only waits there. The head is used again at once when it says something.
    """
    pool = make_pool("x", "y")
    state = find(pool, "x")
    pool.begin(state, 0)
    assert doubt(state, SilenceLimits(), 1.0)
    assert not state.usable(1.0)
    assert not doubt(state, SilenceLimits(), 1.1)
    assert state.usable(1.0 + SilenceLimits().doubted_s)
    pool.note_progress(state, 1.2)
    assert state.usable(1.2)


def test_who_has_streams_at_a_target_believes_them_and_not_others() -> None:
    """A process that is cut off would have its peers use no target."""
    pool, state = make_writing()
    assert not doubt(state, SilenceLimits(), 1.0)
    assert state.usable(1.0)


@given(late=st.lists(st.floats(0.0, 0.5), min_size=1, max_size=80))
def test_a_first_event_as_late_as_a_recent_one_is_not_overdue(
    late: list[float],
) -> None:
    """Requests would be moved, and read twice, whenever much is asked."""
    pool = make_pool("x")
    for late_s in sorted(late, reverse=True):
        pool.note_first(0.1, 0.1 + late_s)
    assert pool.first_timeout.allow(0.1) >= 0.1 + max(late)


def test_a_slow_caller_does_not_make_its_head_silent() -> None:
    """One caller that reads slowly would have a sound head left alone by all.

    Its stream waits for it, and the head's next events lie unread meanwhile.
    """
    pool, state = make_writing()
    state.held_up = 1
    assert not find_silent(pool, SilenceLimits(), state.progress_at + 5.0)
    state.held_up = 0
    assert find_silent(pool, SilenceLimits(), state.progress_at + 5.0)


def test_a_stream_is_not_moved_to_a_head_that_stands_still_as_well() -> None:
    """Its caller is answered with a failure: it had one move only.

    Two groups of one failure domain lose a VM at the same moment. A stream of
    the first leaves before either is known to be silent; the second looks
    emptiest, though its streams should have had an event by now.
    """
    pool, state = make_writing()
    pool.update([make_target("x"), make_target("y"), make_target("z")], 0.0)
    stalled, sound = find(pool, "y"), find(pool, "z")
    pool.begin(stalled, 0)
    stalled.writing = 1
    for _ in range(3):
        pool.begin(sound, 0)
    sound.writing = 3
    sound.progress_at = 0.11
    chosen = pool.choose(0.12, [state.target.instance])
    assert chosen is sound


@given(gaps=st.lists(st.floats(0.0, 0.4), min_size=1, max_size=40))
def test_the_next_silence_is_the_first_moment_at_which_a_target_is_silent(
    gaps: list[float],
) -> None:
    """A watch that sleeps until then would be late, or look for nothing."""
    pool, state = make_writing()
    now = 0.0
    for gap_s in gaps:
        now += gap_s
        pool.note_progress(state, now)
    due = find_next_silence(pool, LIMITS, now)
    assert find_silent(pool, LIMITS, due) == [state]
    assert not find_silent(pool, LIMITS, due - 0.0001)


def test_a_process_with_nothing_to_watch_hardly_looks() -> None:
    """Hundreds of idle processes would spend the fleet's processor time."""
    looks = []

    class CountedMoves(Moves):
        def move_overdue(self, now: float) -> list[TargetState]:
            looks.append(now)
            return super().move_overdue(now)

    async def test() -> None:
        index = TargetIndex(FleetBelief(PlatformSpelling()), FailureDomainId("z"))
        watch = SilenceWatch(
            NodeId("n"), index, CountedMoves(index), lambda _: None, lambda _: None
        )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(10.0):
                await watch.run()

    run_virtually(test)
    assert len(looks) <= 10.0 / MOST_PAUSE_S + 1
    assert all(b - a >= LEAST_PAUSE_S for a, b in pairwise(looks))


def test_a_head_that_falls_silent_between_two_looks_is_noticed_in_time() -> None:
    """Its streams would pause for as long as the watch had meant to sleep."""
    told: list[float] = []

    async def test() -> None:
        loop = asyncio.get_running_loop()
        index = TargetIndex(FleetBelief(PlatformSpelling()), FailureDomainId("z"))
        pool = index.find(ServiceName("s"), None)
        pool.update([make_target("x")], 0.0)
        state = find(pool, "x")
        watch = SilenceWatch(
            NodeId("n"),
            index,
            Moves(index),
            lambda _: told.append(loop.time()),
            lambda _: None,
        )
        watching = asyncio.create_task(watch.run())
        await asyncio.sleep(1.0 + MOST_PAUSE_S / 2)
        pool.begin(state, 0)
        state.writing, state.progress_at = 1, loop.time()
        due = find_next_silence(pool, SilenceLimits(), loop.time())
        await asyncio.sleep(due + LEAST_PAUSE_S - loop.time())
        watching.cancel()
        assert len(told) == 1
        assert due <= told[0]

    run_virtually(test)
