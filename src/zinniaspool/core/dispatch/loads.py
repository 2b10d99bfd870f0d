"""Loads that entry processes report to each other, by target.

A target's answers report its whole load, but each process gets an answer of a
target only about once a second, and doesn't see what the other processes send
there in between. At usual load, such a view was too low by three of seven
requests on average, and in a burst by eight, so that every process went on
sending requests to full targets. So the processes that share targets report
their own requests to each other.
"""

from collections import defaultdict
from collections.abc import Mapping
from statistics import median

from zinniaspool.core.dispatch.speed import NO_PACES, PeerPaces, sum_up_paces
from zinniaspool.core.fleet import NO_LOAD, InstanceId, TargetLoad
from zinniaspool.core.ids import NodeId

__all__ = ["LoadChangeTracker", "PeerLoads"]

REPORT_EXPIRY_S = 1.0
"""Time after which a process that sends no report is assumed to have no
requests, in seconds. Upstreams drop its requests when its connections end, and
a request takes about as long."""


class PeerLoads:
    """Requests of the other processes, by target."""

    def __init__(self) -> None:
        self._reported: dict[NodeId, dict[InstanceId, TargetLoad]] = {}
        self._reported_at: dict[NodeId, float] = {}
        self._sums: dict[InstanceId, TargetLoad] = {}
        self._intervals_s: dict[NodeId, float] = {}
        self._paces: dict[InstanceId, PeerPaces] = {}

    def apply_report(
        self,
        node: NodeId,
        loads: Mapping[InstanceId, TargetLoad],
        now: float,
        *,
        complete: bool,
        interval_s: float = 0.0,
    ) -> set[InstanceId]:
        """Apply a peer's load report.

        Args:
            node: The peer's VM.
            loads: Its requests by target, with no load at targets where it has
                no more requests.
            now: Seconds.
            complete: Whether it has no requests at targets that the report
                leaves out.
            interval_s: Time between its last two reports, in seconds.

        Returns:
            The targets whose loads may have changed.
        """
        known = self._reported.setdefault(node, {})
        self._reported_at[node] = now
        self._intervals_s[node] = interval_s
        changed = set(loads)
        if complete:
            changed |= known.keys()
            known.clear()
        known.update(loads)
        self._update_sums(changed)
        return changed

    def expire(self, now: float) -> set[InstanceId]:
        """Remove processes without a recent report; return their targets."""
        changed: set[InstanceId] = set()
        for node, at in list(self._reported_at.items()):
            if now - at > REPORT_EXPIRY_S:
                changed |= self._reported.pop(node).keys()
                del self._reported_at[node], self._intervals_s[node]
        self._update_sums(changed)
        return changed

    def measure_oldest_age(self, now: float) -> float:
        """Return the age of the oldest report in use, in seconds."""
        return now - min(self._reported_at.values(), default=now)

    def measure_interval(self) -> float:
        """Return the usual time between reports of a process, in seconds."""
        return median(self._intervals_s.values()) if self._intervals_s else 0.0

    def get(self, instance: InstanceId) -> TargetLoad:
        """Return what the other processes have at a target."""
        return self._sums.get(instance, NO_LOAD)

    def get_paces(self, instance: InstanceId) -> PeerPaces:
        """Return what the other processes know of a target's pace."""
        return self._paces.get(instance, NO_PACES)

    def _update_sums(self, changed: set[InstanceId]) -> None:
        found: defaultdict[InstanceId, list[TargetLoad]] = defaultdict(list)
        for known in self._reported.values():
            for instance in known.keys() & changed:
                found[instance].append(known[instance])
        for instance in changed:
            self._sums.pop(instance, None)
            self._paces.pop(instance, None)
        for instance, loads in found.items():
            self._sums[instance] = TargetLoad(
                sum(load.requests for load in loads), sum(load.unread for load in loads)
            )
            paces = sum_up_paces((load.requests, load.pace_quarters) for load in loads)
            if paces is not NO_PACES:
                self._paces[instance] = paces


class LoadChangeTracker:
    """Tracks which loads of this process its peers don't know yet."""

    def __init__(self) -> None:
        self._reported: dict[InstanceId, TargetLoad] = {}

    def collect_changes(
        self, loads: Mapping[InstanceId, TargetLoad]
    ) -> dict[InstanceId, TargetLoad]:
        """Return the loads that changed since the last call.

        The returned loads count as reported from then on.
        """
        changes = {
            instance: load
            for instance, load in loads.items()
            if self._reported.get(instance) != load
        }
        changes |= dict.fromkeys(self._reported.keys() - loads.keys(), NO_LOAD)
        self._reported = dict(loads)
        return changes
