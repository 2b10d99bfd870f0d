"""The VMs that the planner knows by fabric domain, and their loaded models."""

from collections import defaultdict
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from zinniaspool.core.fleet import Instance, InstanceId, has_restarted
from zinniaspool.core.formation.lifecycle import InstanceView
from zinniaspool.core.ids import FabricDomainId, ModelName, ServiceName

__all__ = ["InventoryChange", "VmInventory"]

ARRIVAL_WINDOW_S = 0.6
"""Time after a VM's arrival in which more VMs are expected in its domain, in
seconds. VMs that start together are reported within less than this of each
other."""


@dataclass(slots=True)
class InventoryChange:
    """The changes since the last update of the instances.

    Attributes:
        removed: VMs whose records were removed.
        restarted: VMs that have restarted.
        domains: Fabric domains in which anything has changed.
    """

    removed: list[InstanceId] = field(default_factory=list)
    restarted: list[InstanceId] = field(default_factory=list)
    domains: set[FabricDomainId] = field(default_factory=set)


class VmInventory:
    """The VMs by fabric domain, and the models that they have loaded.

    Attributes:
        view: The VMs' instances, and which of them are unreachable.
        loaded_models: The model that each VM has loaded, as far as known.
    """

    def __init__(self) -> None:
        self.view = InstanceView({})
        self.loaded_models: dict[InstanceId, ModelName] = {}
        self._known: dict[InstanceId, Instance] = {}
        self._started_at_ms: dict[InstanceId, int] = {}
        self._new_vms: set[InstanceId] = set()
        self._arrived_at: dict[FabricDomainId, float] = {}
        self._by_domain: dict[FabricDomainId, list[Instance]] = {}
        self._cold_left_s: dict[InstanceId, float] = {}
        self._cold_until: dict[InstanceId, float] = {}

    def update_instances(
        self, instances: Mapping[InstanceId, Instance]
    ) -> InventoryChange | None:
        """Replace the instances by those now in the store.

        Returns:
            What has changed, or None if nothing has.
        """
        self.view.instances = instances
        removed = [
            instance for name, instance in self._known.items() if name not in instances
        ]
        changed = [
            instance
            for name, instance in instances.items()
            if self._known.get(name) is not instance
        ]
        if not removed and not changed:
            return None
        change = InventoryChange()
        for instance in removed:
            self._remove(instance, change)
        for instance in changed:
            self._update(instance, change)
        return change

    def group_by_domain(
        self, services: Collection[ServiceName]
    ) -> Collection[FabricDomainId]:
        """Group the VMs of these services by domain; return the domains."""
        found: defaultdict[FabricDomainId, list[Instance]] = defaultdict(list)
        for instance in self._known.values():
            if instance.fabric_domain is not None and instance.service in services:
                found[instance.fabric_domain].append(instance)
        self._by_domain = dict(found)
        return self._by_domain.keys()

    def list_instances(self, domain: FabricDomainId) -> list[Instance]:
        """Return the instances of a fabric domain."""
        return self._by_domain.get(domain, [])

    def find_domain(self, instance: InstanceId) -> FabricDomainId | None:
        """Return the fabric domain of a VM, or None if it is unknown."""
        found = self._known.get(instance)
        return None if found is None else found.fabric_domain

    def record_arrivals(self, now: float) -> None:
        """Record when new VMs and reports of coldness arrived."""
        for name, left_s in self._cold_left_s.items():
            self._cold_until[name] = now + left_s
        self._cold_left_s.clear()
        for name in self._new_vms & self._known.keys():
            domain = self._known[name].fabric_domain
            if domain is not None:
                self._arrived_at[domain] = now
        self._new_vms.clear()

    def expects_more_vms(self, domain: FabricDomainId, now: float) -> bool:
        """Return whether a VM has just arrived, so that more are expected."""
        return now - self._arrived_at.get(domain, float("-inf")) < ARRIVAL_WINDOW_S

    def is_cold(self, instance: InstanceId, now: float) -> bool:
        """Return whether a VM's upstream is cold by its last record."""
        return now < self._cold_until.get(instance, float("-inf"))

    def _remove(self, instance: Instance, change: InventoryChange) -> None:
        del self._known[instance.id]
        self.view.unreachable.discard(instance.id)
        self.view.suspected.discard(instance.id)
        self.loaded_models.pop(instance.id, None)
        self._started_at_ms.pop(instance.id, None)
        self._cold_left_s.pop(instance.id, None)
        self._cold_until.pop(instance.id, None)
        change.removed.append(instance.id)
        _add_changed_domain(change, instance.fabric_domain)

    def _update(self, instance: Instance, change: InventoryChange) -> None:
        before = self._known.get(instance.id)
        self._known[instance.id] = instance
        if before is None or _is_cold_anew(before, instance):
            self._cold_left_s[instance.id] = instance.cold_left_s
        if before is None:
            self._new_vms.add(instance.id)
        elif before.fabric_domain != instance.fabric_domain:
            _add_changed_domain(change, before.fabric_domain)
        _add_changed_domain(change, instance.fabric_domain)
        if has_restarted(self._started_at_ms.get(instance.id), instance.started_at_ms):
            # A restarted VM is in no group and has no model loaded.
            self.loaded_models.pop(instance.id, None)
            self.view.unreachable.discard(instance.id)
            self.view.suspected.discard(instance.id)
            change.restarted.append(instance.id)
        if instance.started_at_ms is not None:
            self._started_at_ms[instance.id] = instance.started_at_ms
        if instance.membership is not None and instance.model is not None:
            self.loaded_models[instance.id] = instance.model


def _is_cold_anew(before: Instance, now: Instance) -> bool:
    """Return whether a record reports another coldness than before.

    A record that only a status report has amended repeats the time left.
    """
    restarted = has_restarted(before.started_at_ms, now.started_at_ms)
    return restarted or before.cold_left_s != now.cold_left_s


def _add_changed_domain(change: InventoryChange, domain: FabricDomainId | None) -> None:
    if domain is not None:
        change.domains.add(domain)
