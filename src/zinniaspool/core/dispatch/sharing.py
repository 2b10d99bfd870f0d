"""Which part of each target belongs to this process's subset, and its load.

Processes of the subset report their loads to each other. The load that all
other processes have at a target is assumed from what answers typically show.
"""

from collections.abc import Mapping

from zinniaspool.core.dispatch.outside import OutOfSubsetUtilization
from zinniaspool.core.dispatch.shares import PeerCounts
from zinniaspool.core.dispatch.subsets import Subset
from zinniaspool.core.dispatch.targets import TargetState
from zinniaspool.core.fleet import InstanceId
from zinniaspool.core.ids import FailureDomainId

__all__ = ["SubsetSharing"]

TYPICAL_UTILIZATION_WEIGHT = 0.1
"""Weight of one answer in the typical utilization of targets. About ten
answers change it, a single full target does not."""

SHORTAGE_PART = 0.85
"""Part of its share of all slots below which a process has a shortage."""


class SubsetSharing:
    """Divides the targets of a pool between the subsets of processes.

    Attributes:
        peer_counts: The processes of this process's subset.
        process_count: Number of entry processes in the fleet.
        has_shortage: Whether the subset has less than its share of all slots.
    """

    def __init__(self) -> None:
        self.peer_counts = PeerCounts(1, 1, 0)
        self.process_count = 1
        self.has_shortage = False
        self._subset: Subset | None = None
        self._typical_utilization = 0.0
        self._domain_utilizations: dict[FailureDomainId, OutOfSubsetUtilization] = {}

    def set_subset(self, subset: Subset, process_count: int) -> None:
        """Set which processes share which targets.

        Args:
            subset: The processes that share targets with this one.
            process_count: Number of entry processes in the fleet.
        """
        self._subset, self.process_count = subset, process_count
        self.peer_counts = subset.peer_counts

    def divide(self, states: Mapping[InstanceId, TargetState]) -> None:
        """Update the parts of all targets that belong to the subset."""
        if self._subset is None:
            return
        parts = self._subset.divide(
            (name, state.target.failure_domain) for name, state in states.items()
        )
        for name, state in states.items():
            state.subset_part = parts.get(name, 0.0)
            self._estimate_other_load(state)
        open_states = [state for state in states.values() if not state.evacuated]
        all_slots = sum(state.effective_slots for state in open_states)
        subset_slots = sum(state.subset_slots for state in open_states)
        fair_slots = all_slots * self.peer_counts.count / max(1, self.process_count)
        self.has_shortage = subset_slots < SHORTAGE_PART * fair_slots

    def record_reported_load(
        self,
        state: TargetState,
        total: int,
        now: float,
        states: Mapping[InstanceId, TargetState],
    ) -> None:
        """Record a target's load as its answer reports it.

        Args:
            state: The target.
            total: All requests at the target, from all processes.
            now: Seconds.
            states: All targets.
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
        for other in states.values():
            if other.subset_part < 1.0:
                self._estimate_other_load(other)

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
