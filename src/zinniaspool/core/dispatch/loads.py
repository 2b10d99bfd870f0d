"""What other entry processes have at each target, by their own word.

A target's answers tell its whole load, but each process hears of a target
about once a second, and all that the others send meanwhile is unknown to it.
Measured at usual load, such a belief was three of seven requests too low on
average; in a burst eight too low, so that every process went on filling
targets that were full.
"""

from collections import defaultdict
from collections.abc import Mapping

from zinniaspool.core.fleet import NO_LOAD, InstanceId, TargetLoad
from zinniaspool.core.ids import NodeId

__all__ = ["LoadChanges", "PeerLoads"]

SILENT_S = 1.0
"""Seconds after which a process that says nothing is taken to have nothing
anywhere: upstreams drop its requests when its connections end, and a request
lasts for about as long."""


class PeerLoads:
    """Requests of the other processes, by target."""

    def __init__(self) -> None:
        self._told: dict[NodeId, dict[InstanceId, TargetLoad]] = {}
        self._told_at: dict[NodeId, float] = {}
        self._sums: dict[InstanceId, TargetLoad] = {}

    def take(
        self,
        node: NodeId,
        loads: Mapping[InstanceId, TargetLoad],
        now: float,
        *,
        whole: bool,
    ) -> set[InstanceId]:
        """Take what a process says; return the targets that it is about.

        Args:
            node: Which process.
            loads: Its requests by target; none where it has none any more.
            now: Seconds.
            whole: Whether it has none at targets that are not named.
        """
        known = self._told.setdefault(node, {})
        self._told_at[node] = now
        changed = set(loads)
        if whole:
            changed |= known.keys()
            known.clear()
        known.update(loads)
        self._sum(changed)
        return changed

    def expire(self, now: float) -> set[InstanceId]:
        """Forget the processes that fell silent; return their targets."""
        changed: set[InstanceId] = set()
        for node, at in list(self._told_at.items()):
            if now - at > SILENT_S:
                changed |= self._told.pop(node).keys()
                del self._told_at[node]
        self._sum(changed)
        return changed

    def measure_age(self, now: float) -> float:
        """Return how old the oldest word is that counts, in seconds."""
        return now - min(self._told_at.values(), default=now)

    def at(self, instance: InstanceId) -> TargetLoad:
        """Return what the other processes have at a target."""
        return self._sums.get(instance, NO_LOAD)

    def _sum(self, changed: set[InstanceId]) -> None:
        found: defaultdict[InstanceId, list[TargetLoad]] = defaultdict(list)
        for known in self._told.values():
            for instance in known.keys() & changed:
                found[instance].append(known[instance])
        for instance in changed:
            self._sums.pop(instance, None)
        for instance, loads in found.items():
            self._sums[instance] = TargetLoad(
                sum(one.requests for one in loads), sum(one.unread for one in loads)
            )


class LoadChanges:
    """What of this process's own loads the others have not been told yet."""

    def __init__(self) -> None:
        self._told: dict[InstanceId, TargetLoad] = {}

    def list_changes(
        self, loads: Mapping[InstanceId, TargetLoad]
    ) -> dict[InstanceId, TargetLoad]:
        """Return what has changed since the last time, and take it as told."""
        changes = {
            one: load for one, load in loads.items() if self._told.get(one) != load
        }
        changes |= dict.fromkeys(self._told.keys() - loads.keys(), NO_LOAD)
        self._told = dict(loads)
        return changes
