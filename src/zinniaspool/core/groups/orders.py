"""Which orders bring engines to what a plan says."""

from collections.abc import Mapping

from zinniaspool.core.ids import Epoch, GroupId, VmId
from zinniaspool.core.plans import (
    DomainPlan,
    EngineReport,
    EngineState,
    GroupPlan,
    GroupStage,
    Order,
    OrderKind,
)

__all__ = ["decide_orders"]

_HELD = (EngineState.LOADING, EngineState.READY)


def decide_orders(
    plan: DomainPlan, reports: Mapping[VmId, EngineReport]
) -> list[Order]:
    """Return the orders that are due, by VM.

    Args:
        plan: The plan in force.
        reports: What each VM said last, without those that are absent.
    """
    member_of = {vm: group for group in plan.groups for vm in group.vms}
    orders = []
    for vm, report in sorted(reports.items()):
        group = member_of.get(vm)
        if group is None:
            order = _empty(vm, plan.epoch, report)
        else:
            order = _decide_member(vm, group, report, reports)
        if order is not None:
            orders.append(order)
    return orders


def _decide_member(
    vm: VmId,
    group: GroupPlan,
    report: EngineReport,
    reports: Mapping[VmId, EngineReport],
) -> Order | None:
    match group.stage:
        case GroupStage.RELEASING:
            if _takes_requests_elsewhere(vm, group, group.id, reports):
                return None
            return _empty(vm, group.epoch, report)
        case GroupStage.DRAINING:
            follows = (report.group, report.epoch) == (group.id, group.epoch)
            if not follows or report.state not in _HELD:
                return None
            return Order(OrderKind.DRAIN, vm, group.epoch, group.id)
    return _load(vm, group, report, reports)


def _load(
    vm: VmId,
    group: GroupPlan,
    report: EngineReport,
    reports: Mapping[VmId, EngineReport],
) -> Order | None:
    held = (report.group, report.epoch, report.model, report.version)
    wanted = (group.id, group.epoch, group.model, group.version)
    if held == wanted and report.state in _HELD:
        return None
    if not _may_load(group, report):
        # What it holds may be another customer's, and would stay in its
        # memory: it is emptied, and loads once it reports so.
        return Order(OrderKind.UNLOAD, vm, group.epoch)
    if group.follows and _takes_requests_elsewhere(vm, group, group.follows, reports):
        return None
    return Order(
        OrderKind.LOAD,
        vm,
        group.epoch,
        group.id,
        group.model,
        group.version,
        group.vms,
    )


def _may_load(group: GroupPlan, report: EngineReport) -> bool:
    if report.state is EngineState.EMPTY:
        return True
    return report.group is not None and report.group in (group.id, group.follows)


def _takes_requests_elsewhere(
    vm: VmId, group: GroupPlan, old: GroupId, reports: Mapping[VmId, EngineReport]
) -> bool:
    """Whether another VM may still take requests for the group that ends.

    A group's first VM takes its requests. Were another member changed before
    it, an entry process with reports of a moment ago would still send to a
    group that lacks a member; so the first VM, and any former member that is
    back, is changed and read back before the rest.
    """
    if vm == group.vms[0] or vm not in group.vms:
        return False
    return any(
        report.group == old and report.state is EngineState.READY
        for other, report in reports.items()
        if other == group.vms[0] or other not in group.vms
    )


def _empty(vm: VmId, epoch: Epoch, report: EngineReport) -> Order | None:
    if report.state is EngineState.EMPTY:
        return None
    return Order(OrderKind.UNLOAD, vm, epoch)
