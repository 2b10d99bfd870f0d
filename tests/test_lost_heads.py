"""Tests how lost heads are told from slow heads and from late processes."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from typing import cast

import msgspec
import pytest
from hypothesis import given, strategies as st
from structlog.testing import capture_logs

from tests.test_cut_answers import collect_line
from tests.test_dispatch import find, make_target
from tests.virtual_time import run_in_virtual_time
from zinniaspool.core.dispatch import (
    Attempts,
    EngineTiming,
    Progress,
    RequestTerms,
    RetryTerms,
    TargetPool,
    TargetState,
    find_stall_times,
)
from zinniaspool.core.dispatch.attempts import RetryAllowance
from zinniaspool.core.dispatch.silence import StallLimits
from zinniaspool.core.dispatch.timeouts import INITIAL_PASSES, PassTimeout
from zinniaspool.core.fleet import RequestKind, RouteSpec
from zinniaspool.core.ids import (
    ContentId,
    FabricDomainId,
    FailureDomainId,
    ModelName,
    NodeId,
    RequestId,
    ServiceName,
)
from zinniaspool.core.messages.fleet import StalledTarget, StallEvidence
from zinniaspool.fleet import FleetView
from zinniaspool.gateway.calls import GatewayAttempt, GatewayCall
from zinniaspool.gateway.moves import Rerouter
from zinniaspool.gateway.silence import FORMER_PATH_S, StallDetector, StallLinks
from zinniaspool.gateway.targets import TargetIndex
from zinniaspool.http import Exchange
from zinniaspool.platform.spelling import PlatformCodec

TIMING = EngineTiming(0.0194, 0.00057, 0.0000107, 10_240)
"""Timing of the small model."""

ROUTE = RouteSpec(
    "r", "", "", RequestKind.STREAM, 6.0, 0.25, 0, (), 2, True, True, max_pause_s=0.2
)
SERVICE, MODEL, PEER = ServiceName("s"), ModelName("m"), NodeId("peer")


@given(
    usual=st.floats(0.8, 2.5),
    longest=st.floats(1.0, 3.0),
    period=st.integers(2, 60),
)
def test_a_head_with_varying_passes_is_rarely_found_stalled(
    usual: float, longest: float, period: int
) -> None:
    """A head that stutters regularly would lose its streams repeatedly.

    Each pass takes as long as predicted times ``usual``, and each ``period``th
    one as long times ``longest`` again.
    """
    timeout, alarms, predicted_s = PassTimeout(), 0, 0.03
    for number in range(4000):
        took_s = predicted_s * usual * (longest if number % period == 0 else 1.0)
        took_s = min(took_s, predicted_s * 3.9)
        if took_s > timeout.compute_timeout(predicted_s):
            timeout.record_false_alarm()
            alarms += number >= INITIAL_PASSES
        else:
            timeout.record(predicted_s, took_s)
    assert alarms <= 4


def test_false_alarms_become_rare_where_passes_are_rarely_long() -> None:
    """Passes that are longer each ten seconds aren't in the quantile."""
    timeout, alarms = PassTimeout(), []
    for number in range(30_000):
        took_s = 0.075 if number % 300 == 0 else 0.03
        if took_s > timeout.compute_timeout(0.03):
            timeout.record_false_alarm()
            alarms.append(number)
        else:
            timeout.record(0.03, took_s)
    assert len(alarms) <= 100 / 3


def test_events_of_one_pass_are_not_taken_for_short_passes() -> None:
    """Twenty streams would hide how long the passes between them are."""
    timeout = PassTimeout()
    for _ in range(2000):
        timeout.record(0.03, 0.05)
        for _ in range(19):
            timeout.record(0.03, 0.0002)
    assert timeout.compute_timeout(0.03) >= 0.05


def test_until_passes_were_measured_the_timeout_is_long() -> None:
    """The configured figures may be wrong, and streams would be rerouted."""
    timeout = PassTimeout()
    for _ in range(INITIAL_PASSES - 1):
        timeout.record(0.001, 0.03)
        assert timeout.compute_timeout(0.001) >= 0.1
    for _ in range(INITIAL_PASSES):
        timeout.record(0.001, 0.03)
        assert 0.03 <= timeout.compute_timeout(0.001) <= 0.045


@dataclass
class Process:
    """A stall detector with three heads, and what it sends."""

    to_holder: list[StalledTarget] = field(default_factory=list)
    to_peers: list[StalledTarget] = field(default_factory=list)
    to_peer: list[tuple[NodeId, StalledTarget]] = field(default_factory=list)
    probed: list[TargetState] = field(default_factory=list)
    attempts: list["asyncio.Task[None]"] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.index = TargetIndex(FleetView(PlatformCodec()), FailureDomainId("a"))
        self.pool = self.index.find_pool(SERVICE, MODEL)
        self.pool.forecast.timing = TIMING
        self.pool.forecast.overhead_s = 0.093
        targets = [
            replace(make_target(name, group=name), fabric_domain=FabricDomainId(name))
            for name in "xyz"
        ]
        self.pool.update(targets, 0.0)
        self.rerouter = Rerouter(self.index)
        self.rerouter.starter = self
        self.detector = StallDetector(
            NodeId("n"),
            self.index,
            self.rerouter,
            StallLinks(
                self.to_holder.append,
                self.to_peers.append,
                lambda node, report: self.to_peer.append((node, report)),
                self.probed.append,
            ),
        )
        for _ in range(300):
            self.pool.gap_timeout.record(0.021, 0.021)

    def find(self, name: str) -> TargetState:
        """Return the state of a head."""
        return find(self.pool, name)

    def start_stream(self, state: TargetState) -> GatewayAttempt:
        """Start a stream that has just had an event."""
        now = asyncio.get_running_loop().time()
        terms = RequestTerms(RequestId("r"), 6.0, MODEL, 700, 150, None, None)
        attempts = Attempts(RetryTerms(True, now + 6.0, 2), cast(RetryAllowance, None))
        attempts.begin(now)
        call = GatewayCall(
            cast(Exchange, None),
            terms,
            ROUTE,
            SERVICE,
            None,
            now,
            now + 6.0,
            attempts,
            ContentId("c"),
        )
        call.progress, call.last_event_at = Progress.RESUMABLE, now
        attempt = call.leader = call.make_attempt(state)
        attempt.has_event, attempt.sent_at = True, now
        self.pool.begin_request(state, 0)
        state.streaming += 1
        state.last_event_at = now
        self.rerouter.begin_attempt(attempt)
        self.attempts.append(asyncio.create_task(self.run_attempt(attempt)))
        return attempt

    async def run_attempt(self, attempt: GatewayAttempt) -> None:
        """Wait until a stream's attempt is interrupted."""
        state = attempt.state
        try:
            async with asyncio.timeout(60.0) as attempt.timeout:
                await asyncio.sleep(60.0)
        except TimeoutError:
            state.streaming -= 1
            self.pool.end_request(state, asyncio.get_running_loop().time())
            self.rerouter.end_attempt(attempt)

    def begin_alternative(self, call: GatewayCall, state: TargetState) -> bool:
        """Let a stream go on at once at the target that was chosen for it."""
        call.lead(call.make_attempt(state), asyncio.get_running_loop().time())
        return True

    def find_stall_time(self, state: TargetState) -> float:
        """Return when a head stalls if it sends no event."""
        now = asyncio.get_running_loop().time()
        times = dict(find_stall_times(self.pool, StallLimits(), now))
        return times[state]

    def fill(self, *names: str) -> None:
        """Make other processes use all slots of heads."""
        for name in names:
            self.find(name).assumed_other_load = 8.0


def run_with_process(test: Callable[[Process], Awaitable[None]]) -> None:
    """Run a test beside a process that looks for stalled heads."""

    async def run() -> None:
        process = Process()
        detecting = asyncio.create_task(process.detector.run())
        await test(process)
        for task in [detecting, *process.attempts]:
            assert not task.done() or task.exception() is None
            task.cancel()

    run_in_virtual_time(run)


async def sleep_until(at: float) -> None:
    """Sleep until a time of the event loop."""
    await asyncio.sleep(at - asyncio.get_running_loop().time())


def test_events_that_lie_unread_are_read_before_a_head_counts_as_stalled() -> None:
    """An entry VM has half a core, so that its processes are late at times.

    The process wakes up late, to the check and to the event that has arrived
    meanwhile. If it decided first, it would reroute the streams of a head that
    is alive.
    """

    async def test(process: Process) -> None:
        state = process.find("x")
        attempt = process.start_stream(state)
        loop, due = asyncio.get_running_loop(), process.find_stall_time(state)
        list_pools, checks = process.index.list_pools, list[float]()

        def read_event_after_check() -> list[TargetPool]:
            if loop.time() >= due and not checks:
                checks.append(loop.time())
                loop.call_later(0.001, process.pool.record_event, state, loop.time())
            return list_pools()

        process.index.list_pools = read_event_after_check  # type: ignore[method-assign]
        await sleep_until(due + 0.025)
        assert checks
        assert not process.to_holder
        assert not attempt.superseded
        await sleep_until(due + 0.28)
        assert process.to_holder
        assert attempt.superseded

    run_with_process(test)


def test_a_stall_is_logged_and_counted_with_what_was_predicted() -> None:
    """Otherwise an engineer can't tell a lost head from a false alarm."""

    async def test(process: Process) -> None:
        with capture_logs() as lines:
            state = process.find("x")
            process.start_stream(state)
            process.fill("y", "z")
            await asyncio.sleep(0.14)
            process.pool.record_event(state, asyncio.get_running_loop().time())
            await asyncio.sleep(0.02)
        found, alive = (line for line in lines if line["event"].startswith("target-"))
        assert found["predicted_ms"] < found["timeout_ms"] <= found["quiet_ms"] <= 110
        assert found["evidence"] == alive["evidence"] == "streams"
        assert alive["event"] == "target-alive"
        # The holder's line on the end of a lost head's group has this too.
        assert found["group"] == alive["group"] == "x"
        tally = process.detector.tally
        assert [one.value for one in tally.list_found()] == [1]
        assert [one.value for one in tally.list_false_alarms()] == [1]
        assert max(one.value for one in tally.list_detections()) == 1

    run_with_process(test)


@pytest.mark.parametrize("is_rerouted", [True, False])
def test_what_decides_stands_first_in_the_line_of_a_stream_at_a_silent_head(
    *, is_rerouted: bool
) -> None:
    """Guards against collected lines that end before why a stream stayed."""

    async def test(process: Process) -> None:
        attempt = process.start_stream(process.find("x"))
        process.fill("z")
        if not is_rerouted:
            process.fill("y")
        with capture_logs() as lines:
            await asyncio.sleep(0.2)
        assert attempt.superseded is is_rerouted
        (found,) = (line for line in lines if line["event"] == "stream-silent")
        ids = {
            "request": "15a328aed395e971",
            "instance": "i-a3047946",
            "to": "i-753a50c6",
        }
        outcome = "rerouted" if is_rerouted else "stays"
        collected = collect_line({**found, **ids})
        keys = ("to=i-753a50c6", f"outcome={outcome}", "quiet_ms=", "within_ms=")
        assert all(key in collected for key in keys), collected
        # A figure that is cut off looks whole.
        assert f" first_ms={found['first_ms']} " in collected, collected
        assert f" within_ms={found['within_ms']} " in collected, collected

    run_with_process(test)


def test_a_stream_that_could_not_be_on_time_stays_until_its_head_is_lost() -> None:
    """Its head may only be slow, and a reroute is its last attempt.

    All other heads are full when the head is found stalled.
    """

    async def test(process: Process) -> None:
        process.fill("y", "z")
        attempt = process.start_stream(process.find("x"))
        await asyncio.sleep(0.2)
        assert process.to_holder
        assert not attempt.superseded
        await asyncio.sleep(0.1)
        assert attempt.superseded

    run_with_process(test)


@pytest.mark.parametrize("unread", [0, 12_000])
def test_a_stream_is_rerouted_only_where_it_can_go_on_in_time(unread: int) -> None:
    """A head with free slots and many unread prompts would answer late."""

    async def test(process: Process) -> None:
        process.fill("z")
        process.find("y").local_unread_tokens = unread
        attempt = process.start_stream(process.find("x"))
        await asyncio.sleep(0.15)
        assert attempt.superseded is not bool(unread)

    run_with_process(test)


@pytest.mark.parametrize("is_cut", [True, False])
def test_a_process_whose_streams_all_end_at_once_warns_no_peer(is_cut: bool) -> None:
    """Guards against peers that avoid all heads since one VM is cut off.

    Its heads have had their last events within one pass of each other.
    """

    async def test(process: Process) -> None:
        loop = asyncio.get_running_loop()
        stalled, other = process.find("x"), process.find("y")
        process.start_stream(stalled)
        process.start_stream(other)
        gap_s = process.pool.predict_gap(stalled, loop.time())
        last_s = gap_s * (0.9 if is_cut else 1.3)
        await asyncio.sleep(last_s)
        process.pool.record_event(other, loop.time())
        await asyncio.sleep(0.4 - last_s)
        assert process.to_holder
        assert bool(process.to_peers) is not is_cut

    run_with_process(test)


def test_streams_of_a_head_that_refuses_connections_are_rerouted_at_once() -> None:
    """Its process has ended, so that it is not slow: any target is better."""

    async def test(process: Process) -> None:
        process.fill("y", "z")
        state = process.find("x")
        attempt = process.start_stream(state)
        await sleep_until(process.find_stall_time(state) + 0.03)
        assert process.probed == [state]
        assert not attempt.superseded
        process.detector.handle_refusal(state)
        assert attempt.superseded
        assert process.to_peers[-1].evidence is StallEvidence.REFUSED

    run_with_process(test)


def test_streams_that_go_on_are_left_at_a_head_that_refuses_connections() -> None:
    """An upstream that leaves may finish its requests and accept no more."""

    async def test(process: Process) -> None:
        state = process.find("x")
        attempt = process.start_stream(state)
        process.detector.handle_refusal(state)
        for _ in range(20):
            await asyncio.sleep(0.025)
            process.pool.record_event(state, asyncio.get_running_loop().time())
        assert not attempt.superseded
        await asyncio.sleep(0.13)
        assert attempt.superseded

    run_with_process(test)


@pytest.mark.parametrize("is_alive", [True, False])
def test_a_peer_with_newer_events_disproves_a_report(is_alive: bool) -> None:
    """A process that took a head for lost would avoid it for two seconds."""

    async def test(process: Process) -> None:
        state = process.find("x")
        process.start_stream(state)
        report = StalledTarget(
            state.target.instance, PEER, StallEvidence.STREAMS, quiet_ms=10
        )
        process.detector.handle_peer_report(report)
        for _ in range(8):
            await asyncio.sleep(0.02)
            if is_alive:
                now = asyncio.get_running_loop().time()
                process.pool.record_event(state, now)
        evidence = [(node, one.evidence) for node, one in process.to_peer]
        assert evidence == ([(PEER, StallEvidence.ALIVE)] if is_alive else [])

    run_with_process(test)


def test_a_head_that_is_alive_at_a_peer_is_used_again_once() -> None:
    """After a false alarm, its capacity would be unused for two seconds.

    If the head stalls again without an event here, this process alone can't
    reach it, and the peer's events don't count.
    """

    async def test(process: Process) -> None:
        state = process.find("x")
        alive = StalledTarget(state.target.instance, PEER, StallEvidence.ALIVE)
        process.start_stream(state)
        await asyncio.sleep(0.13)
        now = asyncio.get_running_loop().time
        assert not state.is_usable(now())
        process.detector.handle_peer_report(alive)
        assert state.is_usable(now())
        process.start_stream(state)
        await asyncio.sleep(0.13)
        assert not state.is_usable(now())
        process.detector.handle_peer_report(alive)
        assert not state.is_usable(now())

    run_with_process(test)


def test_more_prompts_than_a_pass_can_read_do_not_delay_the_detection() -> None:
    """A lost head keeps accepting requests, whose prompts it never reads.

    The timeout would grow with each of them.
    """

    async def test(process: Process) -> None:
        state = process.find("x")
        process.start_stream(state)
        full_s = TIMING.predict_pass(1.0, 10_240)
        process.pool.begin_request(state, 200_000)
        assert process.find_stall_time(state) <= 1.1 * full_s + 0.02

    run_with_process(test)


@pytest.mark.bounds
def test_a_check_predicts_each_head_once() -> None:
    """All entry processes check up to 50 times a second on half a core."""

    async def test(process: Process) -> None:
        predicted = 0
        predict_gap = process.pool.predict_longest_gap

        def count(state: TargetState, now: float) -> float:
            nonlocal predicted
            predicted += 1
            return predict_gap(state, now)

        process.pool.predict_longest_gap = count  # type: ignore[method-assign]
        for name in "xyz":
            process.start_stream(process.find(name))
        for _ in range(50):
            await asyncio.sleep(0.02)
            for state in process.pool.busy:
                state.last_event_at = asyncio.get_running_loop().time()
        assert 0 < predicted <= 3 * 51

    run_with_process(test)


def test_reports_of_older_processes_are_read() -> None:
    """Processes of two adjacent versions run side by side."""
    old = msgspec.msgpack.encode(
        {"type": "silent-target", "instance": "x", "node": "n"}
    )
    report = msgspec.msgpack.decode(old, type=StalledTarget)
    assert report.evidence is None
    assert report.quiet_ms is None


@pytest.mark.parametrize("is_told", [True, False])
def test_silence_on_a_path_of_before_makes_no_head_avoided(is_told: bool) -> None:
    """Guards against heads that are avoided since connections to them hang.

    They are reached through other VMs from the change of the path on.
    """

    async def test(process: Process) -> None:
        loop = asyncio.get_running_loop()
        state = process.find("x")
        attempt = process.start_stream(state)
        await asyncio.sleep(0.02)
        if is_told:
            process.detector.handle_path_change()
        await asyncio.sleep(0.4)
        assert attempt.superseded
        assert state.is_usable(loop.time()) is is_told
        assert bool(process.to_holder) is not is_told

    run_with_process(test)


def test_silence_on_the_path_of_now_makes_a_head_avoided() -> None:
    """Guards against stalled heads that a change of the path hides."""

    async def test(process: Process) -> None:
        loop = asyncio.get_running_loop()
        state = process.find("x")
        former = process.start_stream(state)
        await asyncio.sleep(0.02)
        process.detector.handle_path_change()
        await asyncio.sleep(0.2)
        assert former.superseded
        process.start_stream(state)
        await asyncio.sleep(0.13)
        assert not state.is_usable(loop.time())
        assert process.to_holder

    run_with_process(test)


def test_a_head_is_found_stalled_although_a_former_request_stays_there() -> None:
    """Guards against requests that keep their head from being judged."""

    async def test(process: Process) -> None:
        loop = asyncio.get_running_loop()
        state = process.find("x")
        former = process.start_stream(state)
        former.call.progress = Progress.PARTIAL
        await asyncio.sleep(0.02)
        process.detector.handle_path_change()
        await asyncio.sleep(FORMER_PATH_S + 0.5)
        assert not former.superseded
        assert not state.is_usable(loop.time())

    run_with_process(test)


@pytest.mark.parametrize(
    ("gaps", "usual_s", "leaves"),
    [
        ([0.24] * 12, 0.03, True),
        ([0.03] * 16 + [0.24] * 8, 0.03, True),
        ([0.03] * 16 + [0.24] * 3, 0.03, False),
        ([0.03] * 18 + [0.24] * 5, 0.03, False),
        ([0.05] * 12, 0.03, False),
        ([0.24] * 12, 0.2, False),
    ],
)
def test_a_stream_leaves_a_closed_head_that_is_slow_by_its_events(
    gaps: list[float], usual_s: float, leaves: bool
) -> None:
    """Guards against streams that stay slow, and against moves for no gain."""

    async def test(process: Process) -> None:
        process.fill("z")
        loop = asyncio.get_running_loop()
        attempt = process.start_stream(process.find("x"))
        for gap_s in gaps:
            attempt.pace.record(gap_s, 1)
        process.rerouter.reroute_from_closed(attempt, usual_s, loop.time())
        assert attempt.superseded is leaves
        assert (attempt.call.holds_until > loop.time() + 0.4) is leaves

    run_with_process(test)
