"""Everything that a domain's next plan depends on."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from zinniaspool.core.groups.index import FleetIndex
from zinniaspool.core.groups.views import VmCondition, VmView
from zinniaspool.core.ids import Epoch, FabricDomainId, GroupId, ModelName, VmId
from zinniaspool.core.plans import DomainPlan, GroupStage

__all__ = ["DomainInput", "count_serving"]

_UNSEEN = VmView(VmCondition.ABSENT, 0.0)


@dataclass(frozen=True, slots=True)
class DomainInput:
    """Everything that a domain's next plan depends on.

    Attributes:
        index: The accepted configuration.
        plans: The newest plan known of every domain, this one's included.
        domain: The domain to plan.
        vms: Its VMs as its holder sees them.
        ready: The groups of the fleet that serve now.
        epoch: For the groups that this plan forms or changes.
        peaks: Models whose announced peak is on or near.
        told: Groups that entry processes have had time to hear of; None for
            all that serve.
        queued_gb: Weights that the domain's VMs are still to load.
        load_gb_per_s: The domain's part of the weight store's rate.
    """

    index: FleetIndex
    plans: Mapping[FabricDomainId, DomainPlan]
    domain: FabricDomainId
    vms: Mapping[VmId, VmView]
    ready: frozenset[GroupId]
    epoch: Epoch
    peaks: frozenset[ModelName] = field(default=frozenset())
    told: frozenset[GroupId] | None = None
    queued_gb: float = 0.0
    load_gb_per_s: float = 10.0

    @property
    def plan(self) -> DomainPlan:
        """The domain's current plan."""
        return self.plans.get(self.domain, DomainPlan(self.domain))

    @property
    def relied_on(self) -> frozenset[GroupId]:
        """The groups that may take over from one that is drained.

        A group that has just become ready is not known to entry processes
        before the next beat. Were another one drained at that moment, their
        callers would be refused though a group stands ready.
        """
        return self.ready if self.told is None else self.ready & self.told

    def view(self, vm: VmId) -> VmView:
        """Return what is seen of a VM; one never seen is absent."""
        return self.vms.get(vm, _UNSEEN)


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
