"""The inputs of planning one fabric domain."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from zinniaspool.core.groups.index import FleetIndex
from zinniaspool.core.groups.views import VmCondition, VmView
from zinniaspool.core.ids import Epoch, FabricDomainId, GroupId, ModelName, VmId
from zinniaspool.core.plans import DomainPlan, GroupStage

__all__ = ["DomainInput", "count_serving"]

_NEVER_SEEN = VmView(VmCondition.ABSENT, 0.0)


@dataclass(frozen=True, slots=True)
class DomainInput:
    """Everything that a domain's next plan depends on.

    Attributes:
        index: The indexed accepted configuration.
        plans: The newest known plan of every domain, including this one.
        domain: The domain to plan.
        vms: The domain's VMs as its holder sees them.
        ready: The groups of the whole fleet that serve now.
        epoch: The epoch of groups that this plan forms or changes.
        peaks: Models whose announced peak is in progress or near.
        announced: Groups whose heartbeats have had time to reach the entry
            processes, or None if all ready groups count as announced.
        queued_gb: Size of the weights that the domain's VMs have yet to
            load.
        load_gb_per_s: The domain's share of the weight store's rate.
    """

    index: FleetIndex
    plans: Mapping[FabricDomainId, DomainPlan]
    domain: FabricDomainId
    vms: Mapping[VmId, VmView]
    ready: frozenset[GroupId]
    epoch: Epoch
    peaks: frozenset[ModelName] = field(default=frozenset())
    announced: frozenset[GroupId] | None = None
    queued_gb: float = 0.0
    load_gb_per_s: float = 10.0

    @property
    def plan(self) -> DomainPlan:
        """The domain's current plan."""
        return self.plans.get(self.domain, DomainPlan(self.domain))

    @property
    def announced_ready(self) -> frozenset[GroupId]:
        """The serving groups that may replace a group that is drained.

        Entry processes learn of a group that has just become ready only with
        the next heartbeat. If another group was drained before that, they
        would refuse requests although a group is ready.
        """
        return self.ready if self.announced is None else self.ready & self.announced

    def get_view(self, vm: VmId) -> VmView:
        """Return the view of a VM; a VM that never reported is absent."""
        return self.vms.get(vm, _NEVER_SEEN)


def count_serving(
    plans: Mapping[FabricDomainId, DomainPlan], ready: frozenset[GroupId]
) -> Counter[ModelName]:
    """Return how many groups of each model serve now."""
    return Counter(
        group.model
        for plan in plans.values()
        for group in plan.groups
        if group.stage is GroupStage.SERVING and group.id in ready
    )
