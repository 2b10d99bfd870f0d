"""The VMs that the planner knows of, and what each of them holds."""

from collections import defaultdict
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from zinniaspool.core.fleet import Instance, InstanceId, is_reborn
from zinniaspool.core.formation.lifecycle import FleetSight
from zinniaspool.core.ids import FabricDomainId, ModelName, ServiceName

__all__ = ["Census", "CensusChange"]

ARRIVAL_S = 0.6
"""For how long after a VM came in more are expected in its domain, in seconds:
VMs that start together are seen within less than this of each other."""


@dataclass(slots=True)
class CensusChange:
    """What has changed since the instances were last seen.

    Attributes:
        gone: VMs that are no more.
        reborn: VMs that have started again.
        domains: Fabric domains in which anything has changed.
    """

    gone: list[InstanceId] = field(default_factory=list)
    reborn: list[InstanceId] = field(default_factory=list)
    domains: set[FabricDomainId] = field(default_factory=set)


class Census:
    """VMs by fabric domain, those that are lost, and the models they hold.

    Attributes:
        sight: The VMs, and which of them answer nobody.
        held: The model that each holds, as far as known.
    """

    def __init__(self) -> None:
        self.sight = FleetSight({})
        self.held: dict[InstanceId, ModelName] = {}
        self._seen: dict[InstanceId, Instance] = {}
        self._births: dict[InstanceId, int] = {}
        self._arrivals: set[InstanceId] = set()
        self._arrived_at: dict[FabricDomainId, float] = {}
        self._by_domain: dict[FabricDomainId, list[Instance]] = {}

    def see(self, instances: Mapping[InstanceId, Instance]) -> CensusChange | None:
        """Take the instances as the store has them now; None for no change."""
        self.sight.instances = instances
        gone = [one for name, one in self._seen.items() if name not in instances]
        changed = [
            one for name, one in instances.items() if self._seen.get(name) is not one
        ]
        if not gone and not changed:
            return None
        change = CensusChange()
        for one in gone:
            self._drop(one, change)
        for one in changed:
            self._take(one, change)
        return change

    def sort(self, services: Collection[ServiceName]) -> Collection[FabricDomainId]:
        """Sort the VMs of some services by domain; return the domains."""
        found: defaultdict[FabricDomainId, list[Instance]] = defaultdict(list)
        for one in self._seen.values():
            if one.fabric_domain is not None and one.service in services:
                found[one.fabric_domain].append(one)
        self._by_domain = dict(found)
        return self._by_domain.keys()

    def list_domain(self, domain: FabricDomainId) -> list[Instance]:
        """Return the VMs of a fabric domain."""
        return self._by_domain.get(domain, [])

    def find_domain(self, instance: InstanceId) -> FabricDomainId | None:
        """Return the fabric domain of a VM, or None where unknown."""
        found = self._seen.get(instance)
        return None if found is None else found.fabric_domain

    def note_arrivals(self, now: float) -> None:
        """Take when the VMs came in that are new since the last time."""
        for one in self._arrivals & self._seen.keys():
            domain = self._seen[one].fabric_domain
            if domain is not None:
                self._arrived_at[domain] = now
        self._arrivals.clear()

    def expects_more(self, domain: FabricDomainId, now: float) -> bool:
        """Tell whether more VMs are about to come in, as some just have."""
        return now - self._arrived_at.get(domain, float("-inf")) < ARRIVAL_S

    def _drop(self, gone: Instance, change: CensusChange) -> None:
        del self._seen[gone.id]
        self.sight.lost.discard(gone.id)
        self.held.pop(gone.id, None)
        self._births.pop(gone.id, None)
        change.gone.append(gone.id)
        _touch(change, gone.fabric_domain)

    def _take(self, one: Instance, change: CensusChange) -> None:
        before = self._seen.get(one.id)
        self._seen[one.id] = one
        if before is None:
            self._arrivals.add(one.id)
        elif before.fabric_domain != one.fabric_domain:
            _touch(change, before.fabric_domain)
        _touch(change, one.fabric_domain)
        if is_reborn(self._births.get(one.id), one.born):
            # It is in no group and holds no model.
            self.held.pop(one.id, None)
            self.sight.lost.discard(one.id)
            change.reborn.append(one.id)
        if one.born is not None:
            self._births[one.id] = one.born
        if one.membership is not None and one.model is not None:
            self.held[one.id] = one.model


def _touch(change: CensusChange, domain: FabricDomainId | None) -> None:
    if domain is not None:
        change.domains.add(domain)
