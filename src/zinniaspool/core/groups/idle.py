"""Explains why a VM serves in no group."""

from collections.abc import Mapping

from zinniaspool.core.groups.allocation import Allocation, counts_for_model
from zinniaspool.core.groups.index import FleetIndex
from zinniaspool.core.groups.views import (
    IdleReason,
    IdleVm,
    VmCondition,
    VmView,
)
from zinniaspool.core.ids import ModelName, VmId
from zinniaspool.core.plans import DomainPlan, GroupPlan

__all__ = ["explain_idle"]

_REASONS_BY_CONDITION = {
    VmCondition.ABSENT: IdleReason.ABSENT,
    VmCondition.LEAVING: IdleReason.LEAVING,
    VmCondition.STRAGGLING: IdleReason.STRAGGLING,
    VmCondition.SETTLING: IdleReason.SETTLING,
}


def explain_idle(
    index: FleetIndex,
    plan: DomainPlan,
    vms: Mapping[VmId, VmView],
    allocation: Allocation,
) -> tuple[IdleVm, ...]:
    """Return the domain's VMs that serve in no whole group, with reasons.

    Args:
        index: The indexed configuration.
        plan: The domain's plan.
        vms: The domain's VMs as their holder sees them.
        allocation: The fleet's allocation, for its shortfalls.
    """
    member_of = {vm: group for group in plan.groups for vm in group.vms}
    models_with_shortfall = {shortfall.model for shortfall in allocation.shortfalls}
    idle = []
    for vm in index.domains.get(plan.fabric_domain, ()):
        reason = _explain_vm(
            index, vm.id, member_of.get(vm.id), vms, models_with_shortfall
        )
        if reason is not None:
            idle.append(IdleVm(vm.id, reason))
    return tuple(idle)


def _explain_vm(
    index: FleetIndex,
    vm: VmId,
    group: GroupPlan | None,
    vms: Mapping[VmId, VmView],
    models_with_shortfall: set[ModelName],
) -> IdleReason | None:
    view = vms.get(vm)
    condition = view.condition if view else VmCondition.ABSENT
    if group is not None and counts_for_model(group):
        if condition is VmCondition.ABSENT:
            return IdleReason.ABSENT
        if any(_is_absent(vms.get(member)) for member in group.vms):
            return IdleReason.WAITING_FOR_MEMBER
        return None
    if condition in _REASONS_BY_CONDITION:
        return _REASONS_BY_CONDITION[condition]
    if group is not None or view is None or not view.is_empty:
        return IdleReason.EMPTYING
    owner = index.vms[vm].owner
    usable_by = [
        model.name
        for model in index.configuration.rules.models
        if owner in index.get_owners(model.name)
    ]
    if not usable_by:
        return IdleReason.NO_CUSTOMER
    if any(model in models_with_shortfall for model in usable_by):
        return IdleReason.TOO_FEW
    return IdleReason.NOT_WANTED


def _is_absent(view: VmView | None) -> bool:
    return view is None or view.condition is VmCondition.ABSENT
