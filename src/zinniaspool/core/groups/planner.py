"""Which groups a fabric domain should have."""

from collections.abc import Collection

from zinniaspool.core.deployment import Configuration, ModelRule, Vm
from zinniaspool.core.ids import Epoch, FabricDomainId, GroupId, VmId
from zinniaspool.core.plans import DomainPlan, GroupPlan

__all__ = ["plan_domain"]


def plan_domain(
    configuration: Configuration,
    current: DomainPlan,
    present: Collection[VmId],
    epoch: Epoch,
) -> DomainPlan:
    """Return the next plan of one fabric domain.

    Groups whose VMs are all present stay as they are; the rest are dissolved
    and formed anew from the VMs that are left, first fit.

    Args:
        configuration: What the operators want.
        current: The plan in force.
        present: The VMs that may be used.
        epoch: For the groups that this plan forms.
    """
    kept = tuple(
        group for group in current.groups if all(vm in present for vm in group.vms)
    )
    used = {vm for group in kept for vm in group.vms}
    free = [
        vm
        for vm in configuration.inventory.vms
        if vm.fabric_domain == current.fabric_domain
        and vm.id in present
        and vm.id not in used
    ]
    formed: list[GroupPlan] = []
    for model in configuration.rules.models:
        have = sum(group.model == model.name for group in kept)
        wanted = model.wanted_groups - have
        formed += _form_groups(
            configuration,
            model,
            free,
            wanted,
            epoch,
            current.fabric_domain,
            len(formed),
        )
    if not formed and kept == current.groups:
        return current
    return DomainPlan(current.fabric_domain, (*kept, *formed), epoch)


def _form_groups(
    configuration: Configuration,
    model: ModelRule,
    free: list[Vm],
    wanted: int,
    epoch: Epoch,
    domain: FabricDomainId,
    formed: int,
) -> list[GroupPlan]:
    customers = tuple(sorted(share.customer for share in model.shares))
    allowed = [
        set(rule.may_use)
        for rule in configuration.rules.customers
        if rule.id in customers
    ]
    groups: list[GroupPlan] = []
    while len(groups) < wanted:
        usable = [vm for vm in free if all(vm.owner in owners for owners in allowed)]
        members = usable[: model.vms_per_group]
        if len(members) < model.vms_per_group:
            break
        for vm in members:
            free.remove(vm)
        name = GroupId(f"{domain}-{epoch}-{formed + len(groups)}")
        groups.append(
            GroupPlan(
                name,
                model.name,
                model.version,
                customers,
                tuple(vm.id for vm in members),
                epoch,
            )
        )
    return groups
