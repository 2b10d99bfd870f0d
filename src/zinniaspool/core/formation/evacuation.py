"""Which VMs and groups take no part while their failure domain is evacuated.

Groups there stay open, since their callers' requests run to completion, but no
new request reaches them. They don't count as groups that serve, so that the
lost capacity is replaced elsewhere.
"""

from collections.abc import Collection

from zinniaspool.core.fleet import Instance, InstanceId, InstanceState
from zinniaspool.core.formation.lifecycle import GroupRun, InstanceView
from zinniaspool.core.ids import FailureDomainId, ServiceName

__all__ = ["EvacuationFilter"]


class EvacuationFilter:
    """Excludes the VMs of evacuated failure domains from planning.

    Args:
        view: The known instances.
    """

    def __init__(self, view: InstanceView) -> None:
        self._view = view
        self._evacuated: frozenset[FailureDomainId] = frozenset()
        self._replaceable: frozenset[ServiceName] = frozenset()
        self._applied = (self._evacuated, self._replaceable)

    def set_evacuated(self, evacuated: Collection[FailureDomainId]) -> None:
        """Set the evacuated failure domains."""
        self._evacuated = frozenset(evacuated)

    def refresh(self) -> bool:
        """Find the services that have VMs in other failure domains.

        Returns:
            Whether the result for any VM or group may have changed.
        """
        before = self._applied
        replaceable = frozenset(
            instance.service
            for instance in (self._view.instances.values() if self._evacuated else ())
            if instance.failure_domain not in self._evacuated
            and instance.state is not InstanceState.LEAVING
            and instance.id not in self._view.unreachable
        )
        self._replaceable = replaceable
        self._applied = (self._evacuated, replaceable)
        return before != self._applied

    def allows_use(self, instance: Instance) -> bool:
        """Return whether a VM may join a group or load a model.

        If no other failure domain has a VM for the service, groups are planned
        as without the order, so that they can serve as soon as a domain is
        returned.
        """
        if instance.failure_domain not in self._evacuated:
            return True
        return instance.service not in self._replaceable

    def allows_loads(self, member: InstanceId) -> bool:
        """Return whether a planned VM may load another model."""
        found = self._view.instances.get(member)
        return found is None or self.allows_use(found)

    def serves(self, run: GroupRun) -> bool:
        """Return whether a group counts as one that serves."""
        return self.allows_loads(run.record.head)
