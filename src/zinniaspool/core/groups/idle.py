"""Why VMs serve in no group."""

from collections.abc import Mapping

from zinniaspool.core.groups.allocation import Allocation, is_kept
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

_BY_CONDITION = {
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
    """Return the domain's VMs that serve in no whole group, each with why."""
    member_of = {vm: group for group in plan.groups for vm in group.vms}
    lacking = {shortfall.model for shortfall in allocation.shortfalls}
    found = []
    for vm in index.domains.get(plan.fabric_domain, ()):
        reason = _explain_vm(index, vm.id, member_of.get(vm.id), vms, lacking)
        if reason is not None:
            found.append(IdleVm(vm.id, reason))
    return tuple(found)


def _explain_vm(
    index: FleetIndex,
    vm: VmId,
    group: GroupPlan | None,
    vms: Mapping[VmId, VmView],
    lacking: set[ModelName],
) -> IdleReason | None:
    view = vms.get(vm)
    condition = view.condition if view else VmCondition.ABSENT
    if group is not None and is_kept(group):
        if condition is VmCondition.ABSENT:
            return IdleReason.ABSENT
        if any(_is_absent(vms.get(member)) for member in group.vms):
            return IdleReason.WAITING_FOR_MEMBER
        return None
    if condition in _BY_CONDITION:
        return _BY_CONDITION[condition]
    if group is not None or view is None or not view.empty:
        return IdleReason.EMPTYING
    owner = index.vms[vm].owner
    usable_by = [
        model.name
        for model in index.configuration.rules.models
        if owner in index.owners(model.name)
    ]
    if not usable_by:
        return IdleReason.NO_CUSTOMER
    if any(model in lacking for model in usable_by):
        return IdleReason.TOO_FEW
    return IdleReason.NOT_WANTED


def _is_absent(view: VmView | None) -> bool:
    return view is None or view.condition is VmCondition.ABSENT
