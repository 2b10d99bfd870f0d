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
    SUSPECTED_DOMAIN_COST,
    compute_cost,
    has_slot,
)
from zinniaspool.core.dispatch.failures import record_outcome
from zinniaspool.core.dispatch.outside import OutOfSubsetWindow
from zinniaspool.core.dispatch.predictions import TargetPredictions
from zinniaspool.core.dispatch.shares import PeerCounts
from zinniaspool.core.dispatch.sharing import SubsetSharing
from zinniaspool.core.dispatch.speed import PeerPaces
from zinniaspool.core.dispatch.subsets import Subset
from zinniaspool.core.dispatch.targets import Target, TargetState, is_same_target
from zinniaspool.core.dispatch.traits import rank_for_trial
from zinniaspool.core.fleet import InstanceId, InstanceIncarnation, TargetLoad
from zinniaspool.core.ids import FabricDomainId, FailureDomainId, TraitId

__all__ = ["TargetPool"]

MAX_RETRY_SPREAD = 1.25
"""Largest retry time of callers, as a multiple of the time until a target
opens."""


class TargetPool(TargetPredictions):
    """The targets of one service or of one of its models.

    Args:
        local_domain: This process's failure domain.
        random_source: Breaks ties, so that processes don't all choose the same
            target.
        backpressure: What instances have asked of this process.

    Attributes:
        own_load_weight: Weight of this process's own load in the cost of
            targets; above 0 while its peers' reports are old.
    """

    def __init__(
        self,
        local_domain: FailureDomainId,
        random_source: random.Random,
        backpressure: Mapping[InstanceIncarnation, Backpressure] | None = None,
    ) -> None:
        super().__init__(random_source)
        self._backpressure: Mapping[InstanceIncarnation, Backpressure] = (
            {} if backpressure is None else backpressure
        )
        self._local_domain = local_domain
        self._random_source = random_source
        self._states: dict[InstanceId, TargetState] = {}
        self._busy: set[TargetState] = set()
        self._sharing = SubsetSharing()
        self.own_load_weight = 0.0
        self._out_of_subset_window = OutOfSubsetWindow()
        self._evacuated: frozenset[FailureDomainId] = frozenset()

    @property
    def peer_counts(self) -> PeerCounts:
        """The processes of this process's subset."""
        return self._sharing.peer_counts

    @peer_counts.setter
    def peer_counts(self, counts: PeerCounts) -> None:
        self._sharing.peer_counts = counts

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
                self.slow.forget(state)
                removed.append(self._states.pop(name))
            else:
                state.target = new
        is_first = not self._states and not removed
        for name, target in wanted.items():
            if name not in self._states:
                backpressure = self._backpressure.get(target.incarnation)
                self._states[name] = self._restore_state(target) or TargetState(
                    target,
                    last_event_at=now,
                    backpressure=backpressure,
                    ramps_from=-math.inf if is_first else now,
                )
        self._apply_evacuations()
        self._sharing.divide(self._states)
        return removed

    def _restore_state(self, target: Target) -> TargetState | None:
        """Return the state of a target that was removed for a while.

        Its requests went on there meanwhile, and are counted in that state.
        """
        for state in self._busy:
            is_removed = state.removed and state.target.instance == target.instance
            if is_removed and is_same_target(state.target, target):
                state.target, state.removed = target, False
                state.backpressure = self._backpressure.get(target.incarnation)
                return state
        return None

    def set_evacuated(self, domains: frozenset[FailureDomainId]) -> None:
        """Set the failure domains whose targets get no new requests.

        The state of those targets is kept: their streams go on, and they serve
        again at once when their domain is returned to service.
        """
        self._evacuated = domains
        self._apply_evacuations()
        self._sharing.divide(self._states)

    @property
    def is_evacuated(self) -> bool:
        """Whether there are targets, all of them in evacuated domains."""
        states = self._states.values()
        return bool(states) and all(state.evacuated for state in states)

    def _apply_evacuations(self) -> None:
        for state in self._states.values():
            state.evacuated = state.target.failure_domain in self._evacuated

    def set_subset(self, subset: Subset, process_count: int) -> None:
        """Set which processes share which targets.

        Args:
            subset: The processes that share targets with this one.
            process_count: Number of entry processes in the fleet.
        """
        self._sharing.set_subset(subset, process_count)
        self._sharing.divide(self._states)

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
        return usable, self._sharing.process_count

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
        *,
        avoided: Collection[TargetState] = (),
        may_probe: bool = False,
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
            avoided: Targets that are used only if no other one is left.
            may_probe: Whether the request may show if a slow target has
                recovered. It can still be sent elsewhere.
        """
        if may_probe and (probed := self.slow.find_probe(now)) is not None:
            return probed
        usable = [
            state
            for state in self.list_eligible(now)
            if state.target.instance not in tried
        ]
        return self._choose_best(
            usable or self._list_last_resort(now, tried),
            now,
            prompt_tokens,
            first_event_within_s,
            suspected_domains,
            avoided,
        )

    def _choose_best(
        self,
        usable: list[TargetState],
        now: float,
        prompt_tokens: int,
        first_event_within_s: float | None,
        suspected_domains: Collection[FabricDomainId | None],
        avoided: Collection[TargetState],
    ) -> TargetState | None:
        """Return the target with the lowest cost, or None if there is none."""
        if not usable:
            return None
        if avoided:
            usable = [state for state in usable if state not in avoided] or usable
        if first_event_within_s is not None:
            usable = (
                self._list_within(usable, prompt_tokens, first_event_within_s, now)
                or usable
            )

        def rank(state: TargetState) -> tuple[float, float]:
            cost = compute_cost(
                state,
                self._estimate_cost_load(state, now),
                self.forecast.timing.read_s,
                prompt_tokens,
                now,
                is_remote=state.target.failure_domain != self._local_domain,
            )
            if state.target.fabric_domain in suspected_domains:
                cost += SUSPECTED_DOMAIN_COST
            if self._is_silent(state, now):
                cost += LATE_EVENT_COST
            return cost, self._random_source.random()

        return min(usable, key=rank)

    def choose_alternative(
        self,
        now: float,
        tried: Collection[InstanceId],
        prompt_tokens: int,
        first_event_within_s: float | None,
        suspected_domains: Collection[FabricDomainId | None],
        *,
        avoided: Collection[TargetState] = (),
    ) -> TargetState | None:
        """Return the target of an attempt beside one that goes on, or None.

        Targets that are silent themselves are no alternative: if many fall
        silent at one moment, a request would only use up its attempts. None of
        them is chosen as a last resort either.

        Args:
            now: Seconds.
            tried: Targets that the request was sent to before.
            prompt_tokens: Length of its prompt.
            first_event_within_s: Time within which the first event is wanted,
                in seconds.
            suspected_domains: Fabric domains in which a target stalled for
                this request.
            avoided: Targets that are used only if no other one is left.
        """
        return self._choose_best(
            self.list_alternatives(now, tried),
            now,
            prompt_tokens,
            first_event_within_s,
            suspected_domains,
            avoided,
        )

    def list_alternatives(
        self, now: float, tried: Collection[InstanceId]
    ) -> list[TargetState]:
        """Return the targets of an attempt beside one that goes on.

        Args:
            now: Seconds.
            tried: Targets that it may not be sent to.
        """
        return [
            state
            for state in self.list_eligible(now)
            if state.target.instance not in tried and not self._is_silent(state, now)
        ]

    def _is_silent(self, state: TargetState, now: float) -> bool:
        """Return whether the streams of a target lack an event."""
        since_event_s = now - state.last_event_at
        return bool(state.streaming) and self.is_past_pass_end(
            state, since_event_s, now
        )

    def choose_for_trial(
        self, trait: TraitId, now: float, tried: Collection[InstanceId] = ()
    ) -> TargetState | None:
        """Return the target that all processes choose for a suspected trait.

        It depends on the trait and the usable targets alone, so that a trait
        that crashes upstreams ends one of them, whichever processes get its
        requests.

        Args:
            trait: The trait.
            now: Seconds.
            tried: Targets that refused the request before.
        """
        return max(
            (
                state
                for state in self.list_usable(now)
                if state.target.instance not in tried
            ),
            key=lambda state: rank_for_trial(trait, state.target.incarnation),
            default=None,
        )

    def _estimate_cost_load(self, state: TargetState, now: float) -> float:
        """Return the load that a target's cost is computed from.

        All processes see old reports alike and would send all requests to the
        targets that had the least load then. The own load is never old: if
        each process spreads its own requests, the sums are even too.
        """
        load = state.estimate_load(now)
        if not self.own_load_weight or not state.in_subset:
            return load
        own = state.local_requests * self.peer_counts.count / state.subset_part
        return load + self.own_load_weight * (own - load)

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
        usable = [state for state in self._states.values() if state.is_usable(now)]
        return self.slow.filter_usable(usable)

    def list_awaited(self, now: float) -> list[TargetState]:
        """Return the targets of which one is usable with its next event.

        Returns:
            Empty if requests may be sent to any target now.
        """
        if self._list_last_resort(now, ()):
            return []
        return [state for state in self._states.values() if state.is_awaited(now)]

    # The speed of targets.

    def apply_peer_load(
        self, instance: InstanceId, load: TargetLoad, paces: PeerPaces, now: float
    ) -> None:
        """Apply what the other processes report of a target.

        Args:
            instance: The target.
            load: Their load there.
            paces: What they know of its pace.
            now: Seconds.
        """
        state = self._states.get(instance)
        if state is None:
            return
        state.peer_load = load
        state.update_peak_unread()
        if paces is not state.speed.peers and paces != state.speed.peers:
            state.speed.peers = paces
            self.slow.record(state, now)

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
        return has_slot(
            state, now, self.peer_counts, has_shortage=self._sharing.has_shortage
        )

    def count_free_slots(self, now: float) -> float:
        """Return the number of free slots over all usable targets."""
        return sum(
            max(0.0, state.effective_slots - state.estimate_load(now))
            for state in self.list_usable(now)
        )

    def record_reported_load(self, state: TargetState, total: int, now: float) -> None:
        """Record a target's load as its answer reports it.

        Args:
            state: The target.
            total: All requests at the target, from all processes.
            now: Seconds.
        """
        self._sharing.record_reported_load(state, total, now, self._states)

    def record_outcome(
        self, state: TargetState, failed: bool, now: float, *, refused: bool = False
    ) -> None:
        """Record how a request ended; eject a target that often fails."""
        record_outcome(state, now, failed=failed, refused=refused)

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
