"""Targets of requests, and the state that a process keeps of each."""

import math
from dataclasses import dataclass, field

from zinniaspool.core.dispatch.backpressure import Backpressure
from zinniaspool.core.dispatch.outside import OutOfSubsetUtilization
from zinniaspool.core.dispatch.speed import TargetSpeed
from zinniaspool.core.fleet import (
    NO_LOAD,
    InstanceId,
    InstanceIncarnation,
    TargetLoad,
    has_restarted,
)
from zinniaspool.core.ids import (
    Address,
    Epoch,
    FabricDomainId,
    FailureDomainId,
    GroupId,
    ModelName,
)

__all__ = ["Target", "TargetState", "is_same_target"]

UNATTRIBUTED_HALF_LIFE_S = 0.7
"""Time after which half of the unattributed requests of an answer count as
ended, in seconds: about half of a stream's duration. Such requests belong to
processes that have ended or are cut off."""


@dataclass(frozen=True, slots=True)
class Target:
    """Where requests can be sent: a whole group's head or a plain instance.

    Attributes:
        instance: Instance id of the upstream.
        address: Address that it listens on.
        failure_domain: Failure domain of its VM.
        slots: Requests that it runs at a time.
        model: Model that it serves; None for a plain service.
        group: Its replica group.
        epoch: Epoch of that group.
        started_at_ms: Start of the instance in Unix milliseconds, or None if
            it doesn't report that.
        draining: Whether it finishes its requests and must get no new ones.
        fabric_domain: Fabric domain of its group's VMs, which may all fail at
            the same moment; None for a plain service.
    """

    instance: InstanceId
    address: Address
    failure_domain: FailureDomainId
    slots: int
    model: ModelName | None = None
    group: GroupId | None = None
    epoch: Epoch = Epoch(0)
    started_at_ms: int | None = None
    draining: bool = False
    fabric_domain: FabricDomainId | None = None

    @property
    def incarnation(self) -> InstanceIncarnation:
        """The run of the instance that its upstream is."""
        return InstanceIncarnation(self.instance, self.started_at_ms)


@dataclass(eq=False, slots=True)
class TargetState:
    """One target as this process knows it.

    Attributes:
        target: The target.
        local_requests: Requests that this process has there.
        local_unread_tokens: Prompt tokens of those of them that have had no
            event yet.
        peak_unread_tokens: The most known prompt tokens that were to be read
            there at a time since its last event.
        streaming: Requests of this process there that have had an event.
        blocked_streams: Streams of them that wait for a caller who reads
            slowly, so that the target's events lie unread in this process.
        peer_load: Load that the other processes of the subset report.
        unattributed: Requests in its latest load report that no process
            reports as its own.
        unattributed_at: Time of that load report, in seconds.
        last_event_at: Time at which anything last came from it, in seconds.
        backoff_until: Time until which it is avoided after a stall or a
            suspicion, in seconds.
        awaited_until: Time until which an event may still show that it was
            only delayed, in seconds.
        consecutive_stalls: Stalls since its last event.
        consecutive_failures: Failures since its last answered request.
        ejected_until: Time until which it is avoided after failures, in
            seconds.
        error_part: Smoothed part of its answers that failed, as of the newest.
        errors_at: Time of the newest answer or failure, in seconds.
        ejections: Ejections since its last answered request.
        ramps_from: Time from which it gets its part of the requests step by
            step, in seconds.
        subset_part: Part of it that belongs to this process's subset, whose
            processes report their loads to each other; 0 if it is out of the
            subset.
        assumed_other_load: Requests that processes out of the subset, which
            don't report, are assumed to have there.
        out_of_subset_utilization: Utilization of the targets in its failure
            domain, if it is out of the subset.
        backpressure: What it has asked of this process, if anything.
        evacuated: Whether its failure domain is evacuated.
        removed: Whether it has been removed from the targets.
        speed: How much slower than predicted it works.
    """

    target: Target
    local_requests: int = 0
    local_unread_tokens: int = 0
    peak_unread_tokens: int = 0
    streaming: int = 0
    blocked_streams: int = 0
    peer_load: TargetLoad = NO_LOAD
    unattributed: float = 0.0
    unattributed_at: float = 0.0
    last_event_at: float = 0.0
    backoff_until: float = 0.0
    awaited_until: float = 0.0
    consecutive_stalls: int = 0
    consecutive_failures: int = 0
    ejected_until: float = 0.0
    error_part: float = 0.0
    errors_at: float = 0.0
    ejections: int = 0
    ramps_from: float = -math.inf
    subset_part: float = 1.0
    assumed_other_load: float = 0.0
    out_of_subset_utilization: OutOfSubsetUtilization | None = None
    backpressure: Backpressure | None = None
    evacuated: bool = False
    removed: bool = False
    speed: TargetSpeed = field(default_factory=TargetSpeed)

    @property
    def pace(self) -> float:
        """The factor by which it works slower than predicted; at least 1."""
        return self.speed.pace

    @property
    def effective_slots(self) -> float:
        """The slots of an engine of the usual speed that does as much.

        Only a slow target has fewer: prompts that this process doesn't know of
        raise the learned pace of healthy targets, and callers were refused
        although there were free slots.
        """
        if not self.speed.is_slow:
            return float(self.target.slots)
        return max(1.0, self.target.slots / self.speed.pace)

    def estimate_load(self, now: float) -> float:
        """Return the estimated number of requests at the target."""
        reported = float(self.local_requests + self.peer_load.requests)
        unattributed = 0.0
        if self.unattributed:
            age_s = max(0.0, now - self.unattributed_at)
            unattributed = self.unattributed * 0.5 ** (age_s / UNATTRIBUTED_HALF_LIFE_S)
        others = self.assumed_other_load
        if self.out_of_subset_utilization is not None:
            others = self.out_of_subset_utilization.estimate(now) * self.target.slots
        if 0.0 < self.subset_part < 1.0:
            # Processes of other subsets have about as many requests there in
            # proportion to their part.
            others = max(others, reported * (1.0 - self.subset_part) / self.subset_part)
        return reported + max(unattributed, others)

    @property
    def in_subset(self) -> bool:
        """Whether any part of it belongs to this process's subset."""
        return self.subset_part > 0.0

    @property
    def subset_slots(self) -> float:
        """The effective slots that belong to this process's subset."""
        return self.subset_part * self.effective_slots

    @property
    def known_unread_tokens(self) -> int:
        """Prompt tokens that are still to be read there, as far as known."""
        return self.local_unread_tokens + self.peer_load.unread

    def clear_failures(self) -> None:
        """Forget failures and stalls, which had another cause."""
        self.backoff_until = self.ejected_until = 0.0
        self.consecutive_stalls = self.consecutive_failures = self.ejections = 0
        self.error_part = 0.0

    def update_peak_unread(self) -> None:
        """Include newly arrived prompts in the peak of the current pass."""
        self.peak_unread_tokens = max(self.peak_unread_tokens, self.known_unread_tokens)

    def find_opening(self) -> float:
        """Return when it may get the next request.

        That is by its own statement, or by the operator's for its failure
        domain.

        Returns:
            Seconds; infinite if it gets no more, or none until the operator
            ends the evacuation.
        """
        if self.removed or self.target.draining or self.evacuated:
            return math.inf
        if self.backpressure is None:
            return -math.inf
        return self.backpressure.find_opening(self.subset_part)

    def is_open(self, now: float) -> bool:
        """Whether it and the operator allow requests to be sent there now."""
        return self.find_opening() <= now

    def is_awaited(self, now: float) -> bool:
        """Whether it is avoided only until an event shows that it works."""
        if not self.is_open(now) or now < self.ejected_until:
            return False
        return now < min(self.backoff_until, self.awaited_until)

    def is_usable(self, now: float) -> bool:
        """Whether requests may be sent there now."""
        if not self.is_open(now):
            return False
        return now >= self.backoff_until and now >= self.ejected_until


def is_same_target(before: Target, now: Target) -> bool:
    """Return whether the state of a target is still valid.

    A group that was formed anew, or an instance that was restarted, has none
    of the requests, failures or stalls of the one before it.
    """
    same_group = (before.group, before.epoch) == (now.group, now.epoch)
    return same_group and not has_restarted(before.started_at_ms, now.started_at_ms)
