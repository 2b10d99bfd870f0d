"""A model of one head's passes, as eight processes see them.

All rules that it compares see the same passes, and none changes them.
"""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Protocol

from tests.test_dispatch import make_target
from zinniaspool.core.dispatch import EngineTiming, TargetPool, TargetState
from zinniaspool.core.fleet import NO_LOAD, TargetLoad
from zinniaspool.core.ids import FailureDomainId

__all__ = ["Outcome", "Rule", "Scene", "Timeouts", "View", "simulate"]

PROCESSES = 8
STEPS, STEP_TOKENS = 5, 2048
REPORT_S, CHECK_S = 0.05, 0.02
FREEZE_S = 0.4
"""Time for which a lost head is watched, in seconds."""

SMALL_LONG_PASSES = ((0.055, 0.0022), (0.08, 0.0017), (0.095, 0.0))
LARGE_LONG_PASSES = (
    (0.06, 0.02),
    (0.08, 0.0133),
    (0.1, 0.0096),
    (0.12, 0.0039),
    (0.15, 0.0005),
    (0.165, 0.0),
)
"""Times of passes, in seconds, and the part of all passes that take longer
because of prompts that no process here knows of. A stream has about 30 passes.
The parts follow from the longest gaps of streams measured at healthy heads."""


@dataclass(frozen=True, slots=True)
class Scene:
    """What happens at the head.

    Attributes:
        streams: Streams there at a time.
        factor: Times of the model in relation to the large one's.
        prompt: Mean prompt tokens.
        pace: Actual over predicted time of a pass.
        slow_s: Time for which the head is slow and then for which it isn't,
            in seconds; 0 if the pace lasts.
        burst_s: Time between bursts of six prompts of four times the mean, in
            seconds; 0 for none.
        lag_s: Mean time between two delays of a process by 5 to 30 ms, in
            seconds; 0 for none.
        arrives_at_once: Whether the engine has a prompt at once, before peers
            know of it.
        has_unknown_prompts: Whether some passes read prompts that no process
            knows of, as in ``LONG_PASSES``.
    """

    streams: int = 5
    factor: float = 1.0
    prompt: int = 1500
    pace: float = 1.0
    slow_s: float = 0.0
    burst_s: float = 0.0
    lag_s: float = 4.0
    arrives_at_once: bool = False
    has_unknown_prompts: bool = True


@dataclass(slots=True)
class Outcome:
    """What a rule did.

    Attributes:
        streams: Streams that were run.
        rerouted: Streams that were rerouted from the healthy head.
        waits: Times from last events to detections of the lost head, in
            seconds.
        longest_gaps: The longest gap of each stream that ended while the head
            was never lost, in seconds.
    """

    streams: int = 0
    rerouted: int = 0
    waits: list[float] = field(default_factory=list)
    longest_gaps: list[float] = field(default_factory=list)


@dataclass(eq=False, slots=True)
class View:
    """What one process knows of the head.

    Attributes:
        pool: Its targets, which is just the head.
        state: The head.
        running: Its streams there that have had an event.
        lag_until: Time until which the process is late, in seconds.
        reported: Its latest load report.
        arrivals: When prompts arrived of which it knows, and their tokens.
    """

    pool: TargetPool
    state: TargetState
    running: set["Stream"] = field(default_factory=set)
    lag_until: float = 0.0
    reported: TargetLoad = NO_LOAD
    arrivals: deque[tuple[float, int]] = field(default_factory=deque)

    def record_arrival(self, now: float, tokens: int) -> None:
        """Record that this process learns of prompts now."""
        self.arrivals.append((now, tokens))
        while self.arrivals[0][0] < now - 0.2:
            self.arrivals.popleft()


@dataclass(frozen=True, slots=True)
class Timeouts:
    """How long a process waits for an event of the head, in seconds.

    Attributes:
        alone_s: Without reports of peers.
        confirmed_s: If another process has reported the head.
    """

    alone_s: float
    confirmed_s: float


class Rule(Protocol):
    """Decides how long a process waits for an event.

    Attributes:
        reads_first: Whether a late process reads what has arrived before it
            decides.
        reports_late: Whether a process reports the head as soon as the shorter
            timeout is over, and not when it has found it stalled.
    """

    reads_first: bool = True
    reports_late: bool = False

    def find_timeouts(self, view: View, now: float) -> Timeouts:
        """Return the timeouts of the current pass."""

    def record(self, view: View, gap_s: float, now: float) -> None:
        """Record a gap between two events."""

    def record_false_alarm(self, view: View) -> None:
        """Record that an event came after the timeout."""


@dataclass(eq=False, slots=True)
class Stream:
    view: View
    prompt: int
    events_left: int
    in_burst: bool = False
    rerouted_by: set[int] = field(default_factory=set)
    started: bool = False
    last_event_at: float = 0.0
    longest_gap_s: float = 0.0
    met_loss: bool = False


class _Head:
    def __init__(
        self, scene: Scene, rules: Sequence[Callable[[], Rule]], seed: int
    ) -> None:
        self.scene, self.now, self.frozen = scene, 0.0, False
        self.random = random.Random(seed)
        self.outcomes = [Outcome() for _ in rules]
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._queue: list[Stream] = []
        self._running: dict[Stream, None] = {}
        self._reading: list[Stream] = []
        self._least_tokens = 0.0
        timing = EngineTiming(
            STEPS * 0.00645 * scene.factor,
            STEPS * 0.00019 * scene.factor,
            scene.factor / 56_100,
            STEPS * STEP_TOKENS,
        )
        self.views = []
        for _ in range(PROCESSES):
            pool = TargetPool(FailureDomainId("a"), self.random)
            pool.forecast.timing = timing
            pool.update([replace(make_target("x"), slots=24)], 0.0)
            self.views.append(View(pool, next(iter(pool))))
        self._watches = [
            [_Watch(self, view, rule(), n) for view in self.views]
            for n, rule in enumerate(rules)
        ]
        for number, view in enumerate(self.views):
            self.after(REPORT_S * number / PROCESSES, partial(self._report, view))
            if scene.lag_s:
                self.after(self._draw_lag(), partial(self._lag, view))
        for _ in range(scene.streams):
            self.after(self.random.uniform(0, 1.5), self._send)
        if scene.burst_s:
            self.after(scene.burst_s, self._burst)
        self._begin_pass()

    def after(self, delay_s: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (self.now + delay_s, next(self._order), call))

    def run(self, until: float) -> None:
        while self._heap[0][0] < until:
            self.now, _, call = heapq.heappop(self._heap)
            call()

    def watches_of(self, rule: int) -> list["_Watch"]:
        return self._watches[rule]

    def _draw_lag(self) -> float:
        return self.random.expovariate(1 / self.scene.lag_s)

    def _lag(self, view: View) -> None:
        view.lag_until = self.now + self.random.uniform(0.005, 0.03)
        self.after(self._draw_lag(), partial(self._lag, view))

    def _report(self, view: View) -> None:
        state = view.state
        view.reported = TargetLoad(state.local_requests, state.local_unread_tokens)
        loads = [other.reported for other in self.views]
        requests = sum(load.requests for load in loads)
        unread = sum(load.unread for load in loads)
        for other in self.views:
            own = other.reported
            before = other.state.peer_load.unread
            if unread - own.unread > before:
                other.record_arrival(self.now, unread - own.unread - before)
            other.state.peer_load = TargetLoad(
                requests - own.requests, unread - own.unread
            )
            other.state.update_peak_unread()
        self.after(REPORT_S, partial(self._report, view))

    def _burst(self) -> None:
        for _ in range(6):
            self._send(4 * self.scene.prompt, 5)
        self.after(self.scene.burst_s, self._burst)

    def _send(self, prompt: int = 0, events: int = 0) -> None:
        view = self.random.choice(self.views)
        drawn = self.scene.prompt * self.random.lognormvariate(-0.32, 0.8)
        stream = Stream(
            view,
            prompt or int(drawn),
            events or self.random.randint(15, 45),
            events > 0,
        )
        view.pool.begin_request(view.state, stream.prompt)
        view.record_arrival(self.now, stream.prompt)
        for outcome in self.outcomes:
            outcome.streams += 1
        overhead_s = self.random.uniform(0.08, 0.105)
        if self.scene.arrives_at_once:
            overhead_s = 0.001
        self.after(overhead_s, partial(self._queue.append, stream))

    def _begin_pass(self, carried: float = 0.0) -> None:
        if self.scene.has_unknown_prompts:
            self._least_tokens = self._draw_least_tokens()
        self._step(STEPS, carried)

    def _draw_least_tokens(self) -> float:
        """Return how many prompt tokens the next pass reads at least.

        Those that are missing are of prompts that no process knows of.
        """
        points = LARGE_LONG_PASSES if self.scene.factor >= 1.0 else SMALL_LONG_PASSES
        drawn = self.random.random()
        for (short_s, more), (long_s, less) in itertools.pairwise(points):
            if less <= drawn < more:
                took_s = short_s + (long_s - short_s) * (more - drawn) / (more - less)
                step_s = (0.00645 + 0.00019 * len(self._running)) * self.scene.factor
                return (took_s - STEPS * step_s) / self.scene.factor * 56_100
        return 0.0

    def _step(self, left: int, carried: float) -> None:
        if self.frozen:
            self.after(0.001, partial(self._step, left, carried))
            return
        if not left:
            self._end_pass()
            return
        # A prompt longer than the step's budget is read on in the next step.
        budget, scene = STEP_TOKENS, self.scene
        while self._queue and budget:
            first = self._queue[0]
            part = min(budget, first.prompt - int(carried))
            budget -= part
            carried += part
            if carried >= first.prompt:
                self._reading.append(self._queue.pop(0))
                carried = 0.0
        missing = self._least_tokens / left - (STEP_TOKENS - budget)
        budget -= min(budget, max(0, int(missing)))
        self._least_tokens -= STEP_TOKENS - budget
        requests = len(self._running) + len(self._reading)
        step_ms = 6.45 + 0.19 * requests + (STEP_TOKENS - budget) / 56.1
        self._carried = carried
        is_slow = not scene.slow_s or self.now % (2 * scene.slow_s) > scene.slow_s
        pace = scene.pace if is_slow else 1.0
        self.after(
            step_ms / 1000 * scene.factor * pace,
            partial(self._step, left - 1, carried),
        )

    def _end_pass(self) -> None:
        self._running.update(dict.fromkeys(self._reading))
        self._reading.clear()
        for stream in list(self._running):
            stream.events_left -= 1
            if not stream.events_left:
                del self._running[stream]
            delay_s = self.random.uniform(0.0002, 0.004)
            ended = not stream.events_left
            self.after(delay_s, partial(self._arrive, stream, ended))
        self._begin_pass(self._carried)

    def _arrive(self, stream: Stream, ended: bool) -> None:
        if self.now < stream.view.lag_until:
            late_s = stream.view.lag_until - self.now
            self.after(late_s, partial(self._arrive, stream, ended))
            return
        view, state = stream.view, stream.view.state
        gap_s = self.now - state.last_event_at
        for watches in self._watches:
            watches[self.views.index(view)].record_event(gap_s)
        if stream.started:
            gap_s = self.now - stream.last_event_at
            stream.longest_gap_s = max(stream.longest_gap_s, gap_s)
        stream.last_event_at = self.now
        if not stream.started:
            stream.started = True
            state.local_unread_tokens -= stream.prompt
            state.streaming += 1
            view.running.add(stream)
        view.pool.record_event(state, self.now)
        if ended:
            if not stream.met_loss:
                for outcome in self.outcomes:
                    outcome.longest_gaps.append(stream.longest_gap_s)
            state.streaming -= 1
            view.running.discard(stream)
            view.pool.end_request(state, self.now)
            if not stream.in_burst:
                self.after(self.random.uniform(0, 0.1), self._send)

    def lose(self) -> None:
        """Make the head send nothing for a while."""
        self.frozen = True
        for view in self.views:
            for stream in view.running:
                stream.met_loss = True
        self.after(FREEZE_S, self._recover)

    def _recover(self) -> None:
        self.frozen = False
        for view in self.views:
            view.state.last_event_at = self.now
        for watches in self._watches:
            for watch in watches:
                watch.reset()


class _Watch:
    """One process that applies one rule to the head."""

    def __init__(self, head: _Head, view: View, rule: Rule, number: int) -> None:
        self._head, self._view, self.rule, self._number = head, view, rule, number
        self.stalled_at: float | None = None
        self.is_late = False
        head.after(head.random.uniform(0, CHECK_S), self._check)

    def reset(self) -> None:
        self.stalled_at, self.is_late = None, False

    def record_event(self, gap_s: float) -> None:
        if self.stalled_at is not None:
            self.rule.record_false_alarm(self._view)
        elif self._view.state.streaming:
            self.rule.record(self._view, gap_s, self._head.now)
        self.reset()

    def _check(self) -> None:
        head, view, state = self._head, self._view, self._view.state
        lag_s = view.lag_until - head.now
        if lag_s > 0 and self.rule.reads_first:
            head.after(lag_s + 0.001, self._check)
            return
        wait_s = CHECK_S
        if state.streaming and self.stalled_at is None:
            timeouts = self.rule.find_timeouts(view, head.now)
            since_s = head.now - state.last_event_at
            is_late = since_s >= timeouts.confirmed_s
            self.is_late = is_late or self.is_late
            if since_s >= timeouts.alone_s or (is_late and self._is_reported()):
                self._detect(since_s)
            else:
                next_s = timeouts.alone_s if is_late else timeouts.confirmed_s
                # The process has other heads, for which it checks too.
                other_s = head.random.uniform(0.005, 0.06)
                wait_s = max(CHECK_S, min(next_s - since_s, other_s))
        head.after(wait_s, self._check)

    def _is_reported(self) -> bool:
        """Tell whether another process has reported the head."""
        return any(
            other.stalled_at or (other.is_late and self.rule.reports_late)
            for other in self._head.watches_of(self._number)
            if other is not self
        )

    def _detect(self, since_s: float) -> None:
        outcome = self._head.outcomes[self._number]
        self.stalled_at = self._head.now
        if self._head.frozen:
            outcome.waits.append(since_s)
            return
        moved = [s for s in self._view.running if self._number not in s.rerouted_by]
        for stream in moved:
            stream.rerouted_by.add(self._number)
        outcome.rerouted += len(moved)


def simulate(
    scene: Scene, rules: Sequence[Callable[[], Rule]], seconds: float, seed: int
) -> list[Outcome]:
    """Return what each rule does in a scene; the head is lost each 4 seconds.

    The first 20 seconds, in which the rules learn, aren't counted.
    """
    head = _Head(scene, rules, seed)
    head.run(20.0)
    for outcome in head.outcomes:
        outcome.streams = outcome.rerouted = 0
    at = 20.0
    while at < seconds + 20.0:
        at += 4.0 + head.random.random()
        head.run(at)
        head.lose()
    head.run(at + FREEZE_S)
    return head.outcomes
