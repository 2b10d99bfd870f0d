"""Chooses among the targets of one service or model.

A pool has the state of each target: this process's requests there, what its
peers report to have there, its failures and its stalls. It sends a request to
the target with the lowest cost, which is mainly the load in relation to the
slots. Most targets of a large fleet are out of this process's subset (see the
subsets module); their load is only estimated.
"""

import math
import random
from collections.abc import Collection, Iterable, Iterator, Mapping

from zinniaspool.core.dispatch.backpressure import Backpressure
from zinniaspool.core.dispatch.choice import (
    LATE_EVENT_COST,
    PASS_TOLERANCE_S,
    SUSPECTED_DOMAIN_COST,
    compute_cost,
    has_slot,
)
from zinniaspool.core.dispatch.failures import record_outcome
from zinniaspool.core.dispatch.outside import OutOfSubsetUtilization, OutOfSubsetWindow
from zinniaspool.core.dispatch.pace import FirstEventForecast
from zinniaspool.core.dispatch.shares import PeerCounts
from zinniaspool.core.dispatch.subsets import Subset
from zinniaspool.core.dispatch.targets import Target, TargetState, is_same_target
from zinniaspool.core.dispatch.timeouts import AdaptiveTimeout
from zinniaspool.core.fleet import InstanceId, InstanceIncarnation
from zinniaspool.core.ids import FabricDomainId, FailureDomainId

__all__ = ["TargetPool"]

TYPICAL_UTILIZATION_WEIGHT = 0.1
"""Weight of one answer in the typical utilization of targets. About ten
answers change it, a single full target does not."""

SHORTAGE_PART = 0.85
"""Part of its share of all slots below which a process has a shortage."""

INITIAL_GAP_EXCESS_S = 0.06  # seconds, one more pass
MAX_GAP_EXCESS_S = 0.3  # seconds, a pause that callers accept
GAP_EXCESS_DECAY_PART = 0.0005
"""Learning of gaps between two events of a target: the initial and the largest
excess over the predicted pass, in seconds, and the part by which the excess
decays with each gap. A process sees about a hundred gaps a second of a busy
model."""

INITIAL_FIRST_EVENT_EXCESS_S = 0.08  # seconds, about one first event
MAX_FIRST_EVENT_EXCESS_S = 0.6  # seconds, less than callers wait
FIRST_EVENT_EXCESS_DECAY_PART = 0.005
"""The same for first events, of which a process sees a few a second."""

MAX_RETRY_SPREAD = 1.25
"""Largest retry time of callers, as a multiple of the time until a target
opens."""


class TargetPool:
    """The targets of one service or of one of its models.

    Args:
        local_domain: This process's failure domain.
        random_source: Breaks ties, so that processes don't all choose the same
            target.
        backpressure: What instances have asked of this process.

    Attributes:
        forecast: Predicts first events and passes.
        gap_timeout: Learns how much later than predicted an event may come.
        first_event_timeout: Learns the same of first events.
        peer_counts: The processes of this process's subset.
    """

    def __init__(
        self,
        local_domain: FailureDomainId,
        random_source: random.Random,
        backpressure: Mapping[InstanceIncarnation, Backpressure] | None = None,
    ) -> None:
        self._backpressure: Mapping[InstanceIncarnation, Backpressure] = (
            {} if backpressure is None else backpressure
        )
        self._local_domain = local_domain
        self._random_source = random_source
        self._states: dict[InstanceId, TargetState] = {}
        self._busy: set[TargetState] = set()
        self._subset: Subset | None = None
        self._typical_utilization = 0.0
        self._domain_utilizations: dict[FailureDomainId, OutOfSubsetUtilization] = {}
        self.forecast = FirstEventForecast()
        self.gap_timeout = AdaptiveTimeout(
            INITIAL_GAP_EXCESS_S, MAX_GAP_EXCESS_S, GAP_EXCESS_DECAY_PART
        )
        self.first_event_timeout = AdaptiveTimeout(
            INITIAL_FIRST_EVENT_EXCESS_S,
            MAX_FIRST_EVENT_EXCESS_S,
            FIRST_EVENT_EXCESS_DECAY_PART,
        )
        self.peer_counts = PeerCounts(1, 1, 0)
        self._process_count = 1
        self._out_of_subset_window = OutOfSubsetWindow()
        self._has_shortage = False

    def __iter__(self) -> Iterator[TargetState]:
        return iter(list(self._states.values()))

    def get(self, instance: InstanceId) -> TargetState | None:
        """Return the target at an instance, or None."""
        return self._states.get(instance)

    def __len__(self) -> int:
        return len(self._states)

    def update(self, targets: Iterable[Target], now: float) -> list[TargetState]:
        """Replace the set of targets.

        Args:
            targets: All current targets of this service or model.
            now: Seconds.

        Returns:
            The states of targets that were removed or that are another group
            or incarnation now.
        """
        wanted = {current.instance: current for current in targets}
        removed = []
        for name, state in list(self._states.items()):
            new = wanted.get(name)
            if new is None or not is_same_target(state.target, new):
                state.removed = True
                removed.append(self._states.pop(name))
            else:
                state.target = new
        for name, target in wanted.items():
            if name not in self._states:
                backpressure = self._backpressure.get(
                    InstanceIncarnation(name, target.started_at_ms)
                )
                self._states[name] = TargetState(
                    target, last_event_at=now, backpressure=backpressure
                )
        self._apply_subset()
        return removed

    def set_subset(self, subset: Subset, process_count: int) -> None:
        """Set which processes share which targets.

        Args:
            subset: The processes that share targets with this one.
            process_count: Number of entry processes in the fleet.
        """
        self._subset, self._process_count = subset, process_count
        self.peer_counts = subset.peer_counts
        self._apply_subset()

    def _apply_subset(self) -> None:
        if self._subset is None:
            return
        parts = self._subset.divide(
            (name, state.target.failure_domain) for name, state in self._states.items()
        )
        for name, state in self._states.items():
            state.subset_part = parts.get(name, 0.0)
            self._estimate_other_load(state)
        self._has_shortage = self._is_short_of_targets()

    def _is_short_of_targets(self) -> bool:
        """Tell whether this subset has less than its share of all slots."""
        all_slots = sum(state.target.slots for state in self._states.values())
        subset_slots = sum(state.subset_slots for state in self._states.values())
        fair_slots = all_slots * self.peer_counts.count / max(1, self._process_count)
        return subset_slots < SHORTAGE_PART * fair_slots

    def _estimate_other_load(self, state: TargetState) -> None:
        domain = state.target.failure_domain
        state.assumed_other_load = (
            self._typical_utilization * state.target.slots * (1.0 - state.subset_part)
        )
        state.out_of_subset_utilization = None
        if not state.in_subset:
            state.out_of_subset_utilization = self._domain_utilizations.setdefault(
                domain, OutOfSubsetUtilization()
            )

    def list_capacity_targets(self, now: float) -> tuple[list[TargetState], int]:
        """Return the usable targets whose capacity is divided among processes.

        These are the targets of the subset. If none of them is usable, they
        are all usable targets, divided among all entry processes.

        Returns:
            The targets, and the number of processes that divide their slots.
        """
        usable = self.list_usable(now)
        in_subset = [state for state in usable if state.in_subset]
        if in_subset or not usable:
            return in_subset, self.peer_counts.count
        return usable, self._process_count

    # Requests of this process.

    @property
    def busy(self) -> Collection[TargetState]:
        """Targets at which this process has requests, also removed ones."""
        return self._busy

    def begin_request(self, state: TargetState, prompt_tokens: int) -> bool:
        """Count a request that is sent to a target.

        Returns:
            Whether the target is out of this process's subset.
        """
        state.local_requests += 1
        state.local_unread_tokens += prompt_tokens
        state.update_peak_unread()
        self._busy.add(state)
        if not state.in_subset:
            self._out_of_subset_window.begin_request()
        return not state.in_subset

    def record_out_of_subset_first_event(self, late_s: float, now: float) -> None:
        """Record the first event of a request that was sent out of the subset.

        Args:
            late_s: How much later than predicted it came, in seconds.
            now: Seconds.
        """
        self._out_of_subset_window.record_first_event(late_s, now)

    def end_request(
        self,
        state: TargetState,
        now: float,
        *,
        unanswered_out_of_subset: bool = False,
        rerouted: bool = False,
    ) -> None:
        """Count a request that has ended at a target.

        Args:
            state: The target.
            now: Seconds.
            unanswered_out_of_subset: Whether it was sent out of the subset and
                nothing came back.
            rerouted: Whether it was rerouted from a stalled target.
        """
        state.local_requests -= 1
        if not state.local_requests:
            self._busy.discard(state)
        if not unanswered_out_of_subset:
            return
        if rerouted:
            self._out_of_subset_window.record_reroute()
        else:
            self._out_of_subset_window.record_unanswered(now)

    def list_eligible(self, now: float) -> list[TargetState]:
        """Return the targets that a new request may be sent to now.

        Targets out of the subset are eligible while the window for them is
        open.
        """
        usable = self.list_usable(now)
        if self._out_of_subset_window.allows(now):
            return usable
        return [state for state in usable if state.in_subset]

    def choose(
        self,
        now: float,
        tried: Collection[InstanceId] = (),
        prompt_tokens: int = 0,
        first_event_within_s: float | None = None,
        suspected_domains: Collection[FabricDomainId | None] = (),
    ) -> TargetState | None:
        """Return the target that is likely to answer soonest, or None.

        Args:
            now: Seconds.
            tried: Targets that the request was sent to before.
            prompt_tokens: Length of its prompt.
            first_event_within_s: Time within which the first event is wanted,
                in seconds. Targets that need longer are used only if no other
                one is left.
            suspected_domains: Fabric domains in which a target stalled for
                this request.
        """
        usable = [
            state
            for state in self.list_eligible(now)
            if state.target.instance not in tried
        ]
        if not usable:
            usable = self._list_last_resort(now, tried)
        if not usable:
            return None
        if first_event_within_s is not None:
            usable = (
                self._list_within(usable, prompt_tokens, first_event_within_s, now)
                or usable
            )

        def rank(state: TargetState) -> tuple[float, float]:
            cost = compute_cost(
                state,
                self.forecast.timing.read_s,
                prompt_tokens,
                now,
                is_remote=state.target.failure_domain != self._local_domain,
            )
            if state.target.fabric_domain in suspected_domains:
                cost += SUSPECTED_DOMAIN_COST
            if state.streaming and self.is_past_pass_end(
                state, now - state.last_event_at, now
            ):
                cost += LATE_EVENT_COST
            return cost, self._draw_tie_breaker()

        return min(usable, key=rank)

    def _list_within(
        self, states: list[TargetState], prompt_tokens: int, within_s: float, now: float
    ) -> list[TargetState]:
        """Return the targets whose first event is predicted to come in time.

        If any of them has a free slot for this process, only those are
        returned.
        """
        within = [
            state
            for state in states
            if self.predict_first_event(state, prompt_tokens, now) <= within_s
        ]
        return [state for state in within if self.has_slot(state, now)] or within

    def list_usable(self, now: float) -> list[TargetState]:
        """Return the targets that accept requests and are not avoided now."""
        return [state for state in self._states.values() if state.is_usable(now)]

    def predict_first_event(
        self, state: TargetState, prompt_tokens: int, now: float
    ) -> float:
        """Return the predicted time to a request's first event, in seconds.

        Args:
            state: The target.
            prompt_tokens: Length of the request's prompt.
            now: Seconds.
        """
        slots, unread = state.target.slots, state.known_unread_tokens
        return self.forecast.predict(
            state.estimate_load(now), slots, unread, prompt_tokens
        )

    def predict_gap(self, state: TargetState, now: float) -> float:
        """Return the predicted time to a target's next event, in seconds."""
        load = min(state.estimate_load(now), state.target.slots)
        return self.forecast.timing.predict_pass(load, state.peak_unread_tokens)

    def is_past_pass_end(
        self, state: TargetState, since_event_s: float, now: float
    ) -> bool:
        """Tell whether the current pass should have brought an event by now.

        Args:
            state: The target.
            since_event_s: Time since its last event, in seconds.
            now: Seconds.
        """
        return since_event_s >= self.predict_gap(state, now) + PASS_TOLERANCE_S

    def record_event(self, state: TargetState, now: float) -> None:
        """Record that an event came from a target.

        If the target was found stalled, the timeout was too short.
        """
        if state.consecutive_stalls:
            self.gap_timeout.record_false_alarm()
        elif state.streaming:
            gap_s = now - state.last_event_at
            self.gap_timeout.record(self.predict_gap(state, now), gap_s)
        state.last_event_at, state.backoff_until, state.consecutive_stalls = now, 0.0, 0
        state.peak_unread_tokens = state.known_unread_tokens

    def record_first_event(self, predicted_s: float, took_s: float) -> None:
        """Record a first event's predicted and actual time, in seconds."""
        self.forecast.record_first_event(predicted_s, took_s)
        self.first_event_timeout.record(predicted_s, took_s)

    def has_slot(self, state: TargetState, now: float) -> bool:
        """Tell whether a request can begin at a target without a wait.

        Each process of the subset has its own part of each target's slots, and
        the parts add up to all slots. Processes learn of each other's requests
        a moment late, so that several of them would use the last free slot at
        once. Beyond its own part, a process uses a slot only while several are
        free. With eight processes at 2.2 and 3.5 times the usual traffic, 63
        requests a second began and were on time; without such parts, 51 to 57
        were.
        """
        return has_slot(state, now, self.peer_counts, has_shortage=self._has_shortage)

    def count_free_slots(self, now: float) -> float:
        """Return the number of free slots over all usable targets."""
        return sum(
            max(0.0, state.target.slots - state.estimate_load(now))
            for state in self._states.values()
            if state.is_usable(now)
        )

    def record_reported_load(self, state: TargetState, total: int, now: float) -> None:
        """Record a target's load as its answer reports it.

        Args:
            state: The target.
            total: All requests at the target, from all processes.
            now: Seconds.
        """
        state.unattributed = max(
            0.0, total - state.local_requests - state.peer_load.requests
        )
        state.unattributed_at = now
        utilization = total / state.target.slots
        if state.in_subset:
            self._typical_utilization += TYPICAL_UTILIZATION_WEIGHT * (
                utilization - self._typical_utilization
            )
        else:
            assert state.out_of_subset_utilization is not None
            state.out_of_subset_utilization.record(utilization, now)
        for other in self._states.values():
            if other.subset_part < 1.0:
                self._estimate_other_load(other)

    def record_outcome(self, state: TargetState, failed: bool, now: float) -> None:
        """Record whether a request failed; eject a target that often fails."""
        record_outcome(state, now, failed=failed)

    def find_opening(self) -> float:
        """Return when the first target accepts a request by its own statement.

        Returns:
            Seconds; infinite if no target is going to accept one.
        """
        return min(
            (state.find_opening() for state in self._states.values()), default=math.inf
        )

    def has_closed_target(self, now: float) -> bool:
        """Tell whether any target accepts no requests now, but will later."""
        return any(
            now < state.find_opening() < math.inf for state in self._states.values()
        )

    def draw_retry_after(self, now: float) -> float | None:
        """Return when a caller may come back if no target accepts requests.

        Returns:
            Time from now, in seconds, at least until the first target opens.
            It differs by caller, so that they don't all come back at once.
            None if a target is open, or if none is going to open.
        """
        opening = self.find_opening()
        if not now < opening < math.inf:
            return None
        spread = self._random_source.uniform(1.0, MAX_RETRY_SPREAD)
        return round((opening - now) * spread, 2)

    def _list_last_resort(
        self, now: float, tried: Collection[InstanceId]
    ) -> list[TargetState]:
        # Ejected targets are listed too: a fault of the network may eject all
        # of them. A stalled target is no better than no target.
        return [
            state
            for name, state in self._states.items()
            if name not in tried and now >= state.backoff_until and state.is_open(now)
        ]

    def _draw_tie_breaker(self) -> float:
        return self._random_source.random()
