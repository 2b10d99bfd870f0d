"""Tests when a head counts as stalled, by the times of its earlier passes."""

import asyncio
import contextlib
import math
import random
from collections.abc import Callable
from itertools import pairwise
from math import inf
from unittest.mock import Mock

import pytest
from hypothesis import given, strategies as st

from tests.test_dispatch import find, find_stalled, make_pool, make_target
from tests.virtual_time import run_in_virtual_time
from zinniaspool.core.dispatch import (
    Attempts,
    EngineTiming,
    RetryTerms,
    StallLimits,
    TargetPool,
    TargetState,
    find_stall_times,
    suspect,
)
from zinniaspool.core.dispatch.timeouts import PASS_MARGIN_S
from zinniaspool.core.ids import (
    ContentId,
    FailureDomainId,
    ModelName,
    NodeId,
    ServiceName,
)
from zinniaspool.core.messages.fleet import StalledTarget
from zinniaspool.fleet import FleetView
from zinniaspool.gateway.calls import GatewayCall
from zinniaspool.gateway.moves import Rerouter
from zinniaspool.gateway.silence import (
    MAX_CHECK_INTERVAL_S,
    MIN_CHECK_INTERVAL_S,
    StallDetector,
    StallLinks,
)
from zinniaspool.gateway.targets import TargetIndex
from zinniaspool.platform.spelling import PlatformCodec

LIMITS = StallLimits(streaming_s=10.0)
"""Limits that are longer than the learned timeouts."""

TIMING = EngineTiming(0.0194, 0.00057, 0.0000107, max_read_tokens=10_240)
"""Timing of the smaller model in the users' sheets."""


def make_streaming_pool() -> tuple[TargetPool, TargetState]:
    """Return a pool whose first target has two streams of this process."""
    pool = make_pool("x", "y")
    pool.forecast.timing = TIMING
    state = find(pool, "x")
    for _ in range(2):
        pool.begin_request(state, 0)
    state.streaming = 2
    return pool, state


def find_next_stall(pool: TargetPool, limits: StallLimits, now: float) -> float:
    return min((at for _, at in find_stall_times(pool, limits, now)), default=inf)


def find_stall_timeout(pool: TargetPool, state: TargetState) -> float:
    """Return how long the target may send no event now, in seconds."""
    since_event_s = 0.0
    while not find_stalled(pool, LIMITS, state.last_event_at + since_event_s):
        since_event_s += 0.001
    return since_event_s


def test_streams_of_a_head_with_short_passes_are_rerouted_within_their_pause() -> None:
    """Callers of a small model accept pauses of a fifth of a second.

    A VM of the group fails in the middle of their streams, and the head sends
    no further event. Its passes took 30 to 50 ms until then. If this is
    noticed after a quarter of a second, all its streams are late; if it is
    noticed as soon as it can't be a long pass, there may be time for a first
    event elsewhere. The longest gap of healthy heads was 99 ms in 5,645
    streams.
    """
    pool, state = make_streaming_pool()
    source, now = random.Random(3), 0.0
    for _ in range(1500):
        now += source.uniform(0.03, 0.05)
        pool.record_event(state, now)
    assert 0.099 < find_stall_timeout(pool, state) <= 0.11


@pytest.mark.parametrize("unread", [0, 2_000, 6_000, 10_000, 12_000])
def test_a_pass_that_reads_long_prompts_is_no_stall(unread: int) -> None:
    """Streams would be rerouted from a head that is about to go on.

    Several callers' prompts arrive between two events, so that the pass takes
    as long as reading them. Prompts of other processes are known by their load
    reports. A pass reads 10,240 tokens at most.
    """
    pool, state = make_streaming_pool()
    now = 0.0
    for _ in range(1500):
        now += 0.04
        pool.record_event(state, now)
    pool.begin_request(state, unread)
    read_s = TIMING.read_s * min(unread, TIMING.max_read_tokens)
    assert find_stall_timeout(pool, state) >= 0.04 + PASS_MARGIN_S + read_s


def test_one_long_pass_of_slow_engines_lengthens_the_timeout_by_their_pace() -> None:
    """Guards against rerouting streams of a slow head one after another."""
    pool, state = make_streaming_pool()
    now, longest_s = 0.0, pool.predict_longest_gap(state, 0.0)
    for _ in range(300):
        now += 1.5 * TIMING.predict_pass(2, 0)
        pool.record_event(state, now)
    assert find_stall_timeout(pool, state) < 1.2 * longest_s
    pool.record_event(state, now + 1.1 * longest_s)
    assert find_stall_timeout(pool, state) > 1.45 * longest_s


def test_after_a_false_alarm_the_timeout_is_longer() -> None:
    """Growing gaps are never measured if their streams are always rerouted."""
    pool, state = make_streaming_pool()
    for number in range(1, 1500):
        pool.record_event(state, number * 0.03)
    earlier_timeout_s = find_stall_timeout(pool, state)
    state.consecutive_stalls = 1
    pool.record_event(state, state.last_event_at + 0.3)
    assert state.is_usable(state.last_event_at)
    assert find_stall_timeout(pool, state) >= earlier_timeout_s * 1.2


def test_a_target_suspected_by_a_peer_gets_no_new_requests_for_a_moment() -> None:
    """Each process would send callers there until it noticed the stall.

    Another process's streams stopped at a head. This process has a request
    that only waits there. The head is used again at once when it sends an
    event.
    """
    pool = make_pool("x", "y")
    state = find(pool, "x")
    pool.begin_request(state, 0)
    assert suspect(state, StallLimits(), 1.0)
    assert not state.is_usable(1.0)
    assert not suspect(state, StallLimits(), 1.1)
    assert state.is_usable(1.0 + StallLimits().suspected_backoff_s)
    pool.record_event(state, 1.2)
    assert state.is_usable(1.2)


def test_a_process_with_streams_at_a_target_ignores_suspicions_of_peers() -> None:
    """A process that is cut off would make its peers use no target."""
    pool, state = make_streaming_pool()
    assert not suspect(state, StallLimits(), 1.0)
    assert state.is_usable(1.0)


@given(late=st.lists(st.floats(0.0, 0.5), min_size=1, max_size=80))
def test_a_first_event_as_late_as_a_recent_one_is_not_overdue(
    late: list[float],
) -> None:
    """Requests would be rerouted, and read twice, whenever load is high."""
    pool = make_pool("x")
    for late_s in sorted(late, reverse=True):
        pool.record_first_event(find(pool, "x"), 0.1, 0.1 + late_s, 0.0)
    assert pool.first_event_timeout.compute_timeout(0.1) >= 0.1 + max(late)


def test_a_slow_caller_does_not_make_its_head_look_stalled() -> None:
    """A caller that reads slowly would make all avoid a healthy head.

    Its stream waits for it, and the head's next events lie unread meanwhile.
    """
    pool, state = make_streaming_pool()
    state.blocked_streams = 1
    assert not find_stalled(pool, StallLimits(), state.last_event_at + 5.0)
    state.blocked_streams = 0
    assert find_stalled(pool, StallLimits(), state.last_event_at + 5.0)


def test_a_stream_is_not_rerouted_to_another_stalled_head() -> None:
    """Its caller gets a failure: the stream can be rerouted only once.

    Two groups of one failure domain lose a VM at the same moment. A stream of
    the first is rerouted before either is known to be stalled. The second
    looks emptiest, though its streams should have had an event by now.
    """
    pool, state = make_streaming_pool()
    pool.update([make_target("x"), make_target("y"), make_target("z")], 0.0)
    stalled, healthy = find(pool, "y"), find(pool, "z")
    pool.begin_request(stalled, 0)
    stalled.streaming = 1
    for _ in range(3):
        pool.begin_request(healthy, 0)
    healthy.streaming = 3
    healthy.last_event_at = 0.11
    chosen = pool.choose(0.12, [state.target.instance])
    assert chosen is healthy


@pytest.mark.parametrize(("quiet_s", "is_avoided"), [(0.045, False), (0.08, True)])
def test_only_heads_far_past_their_pass_are_avoided(
    quiet_s: float, is_avoided: bool
) -> None:
    """Long passes would send all new requests to fuller heads.

    Of two heads that stall at one moment, the second may have had an event one
    pass later than the first. The first is found stalled after 0.1 s.
    """
    pool, _ = make_streaming_pool()
    fuller, other = find(pool, "x"), find(pool, "y")
    pool.begin_request(other, 0)
    other.streaming = 1
    fuller.last_event_at, other.last_event_at = 1.0, 1.0 - quiet_s
    assert (pool.choose(1.0) is fuller) is is_avoided


@given(gaps=st.lists(st.floats(0.0, 0.4), min_size=1, max_size=40))
def test_the_next_stall_is_the_first_moment_at_which_a_target_is_stalled(
    gaps: list[float],
) -> None:
    """A detector that sleeps until then would be late, or find nothing."""
    pool, state = make_streaming_pool()
    now = 0.0
    for gap_s in gaps:
        now += gap_s
        pool.record_event(state, now)
    due = find_next_stall(pool, LIMITS, now)
    assert find_stalled(pool, LIMITS, due) == [state]
    assert not find_stalled(pool, LIMITS, due - 0.0001)


def make_links(send_to_holder: Callable[[StalledTarget], None]) -> StallLinks:
    return StallLinks(send_to_holder, lambda _: None, lambda *_: None, lambda _: None)


def test_a_late_request_that_a_head_never_answers_is_sent_elsewhere_too() -> None:
    """Guards against late requests that wait at a mute head until they end."""

    async def test() -> None:
        now = asyncio.get_running_loop().time()
        index = TargetIndex(FleetView(PlatformCodec()), FailureDomainId("a"))
        pool = index.find_pool(ServiceName("s"), ModelName("m"))
        pool.update([make_target("x"), make_target("y")], now)
        attempts = Attempts(RetryTerms(idempotent=True, deadline=now + 6.0), Mock())
        attempts.begin(now)
        call = GatewayCall(
            Mock(),
            Mock(model=ModelName("m"), prompt_tokens=100),
            Mock(repeatable=True, max_attempts=2, objective_s=0.3),
            ServiceName("s"),
            None,
            now,
            now + 6.0,
            attempts,
            ContentId("c"),
        )
        call.late = True
        attempt = call.leader = call.make_attempt(find(pool, "x"))
        attempt.sent_at = now
        rerouter = Rerouter(index)
        rerouter.starter = Mock()
        rerouter.begin_attempt(attempt)
        assert rerouter.reroute_overdue(now + 1.9) == []
        rerouter.starter.begin_alternative.assert_not_called()
        assert rerouter.reroute_overdue(now + 2.1) == []
        rerouter.starter.begin_alternative.assert_called_once_with(
            call, find(pool, "y")
        )

    run_in_virtual_time(test)


def test_a_process_with_no_requests_checks_seldom() -> None:
    """Hundreds of idle processes would use up the fleet's processor time."""
    checks = []

    class CountedMoves(Rerouter):
        def reroute_overdue(
            self, now: float, suspected_since: float = -math.inf
        ) -> list[TargetState]:
            checks.append(now)
            return super().reroute_overdue(now, suspected_since)

    async def test() -> None:
        index = TargetIndex(FleetView(PlatformCodec()), FailureDomainId("z"))
        detector = StallDetector(
            NodeId("n"), index, CountedMoves(index), make_links(lambda _: None)
        )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(10.0):
                await detector.run()

    run_in_virtual_time(test)
    assert 0 < len(checks) <= 10.0 / MAX_CHECK_INTERVAL_S + 1
    assert all(b - a >= MIN_CHECK_INTERVAL_S for a, b in pairwise(checks))


def test_a_head_that_stalls_between_two_checks_is_noticed_in_time() -> None:
    """Its streams would pause for as long as the detector meant to sleep."""
    reports: list[float] = []

    async def test() -> None:
        loop = asyncio.get_running_loop()
        index = TargetIndex(FleetView(PlatformCodec()), FailureDomainId("z"))
        pool = index.find_pool(ServiceName("s"), None)
        pool.update([make_target("x")], 0.0)
        state = find(pool, "x")
        detector = StallDetector(
            NodeId("n"),
            index,
            Rerouter(index),
            make_links(lambda _: reports.append(loop.time())),
        )
        watching = asyncio.create_task(detector.run())
        await asyncio.sleep(1.0 + MAX_CHECK_INTERVAL_S / 2)
        pool.begin_request(state, 0)
        state.streaming, state.last_event_at = 1, loop.time()
        due = find_next_stall(pool, StallLimits(), loop.time())
        await asyncio.sleep(due + MIN_CHECK_INTERVAL_S - loop.time())
        watching.cancel()
        assert len(reports) == 1
        assert due <= reports[0]

    run_in_virtual_time(test)
