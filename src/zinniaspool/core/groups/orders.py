"""Decides the orders that bring the engines to the state of a plan."""

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

_LOADING_OR_READY = (EngineState.LOADING, EngineState.READY)


def decide_orders(
    plan: DomainPlan, reports: Mapping[VmId, EngineReport]
) -> list[Order]:
    """Return the orders that are due, sorted by VM.

    Args:
        plan: The domain's current plan.
        reports: The newest report of each VM that is not absent.
    """
    member_of = {vm: group for group in plan.groups for vm in group.vms}
    orders = []
    for vm, report in sorted(reports.items()):
        group = member_of.get(vm)
        if group is None:
            order = _make_unload_order(vm, plan.epoch, report)
        else:
            order = _decide_member_order(vm, group, report, reports)
        if order is not None:
            orders.append(order)
    return orders


def _decide_member_order(
    vm: VmId,
    group: GroupPlan,
    report: EngineReport,
    reports: Mapping[VmId, EngineReport],
) -> Order | None:
    match group.stage:
        case GroupStage.RELEASING:
            if _must_wait_for_head(vm, group, group.id, reports):
                return None
            return _make_unload_order(vm, group.epoch, report)
        case GroupStage.DRAINING:
            reports_group = (report.group, report.epoch) == (group.id, group.epoch)
            if not reports_group or report.state not in _LOADING_OR_READY:
                return None
            return Order(OrderKind.DRAIN, vm, group.epoch, group.id)
    return _make_load_order(vm, group, report, reports)


def _make_load_order(
    vm: VmId,
    group: GroupPlan,
    report: EngineReport,
    reports: Mapping[VmId, EngineReport],
) -> Order | None:
    loaded = (report.group, report.epoch, report.model, report.version)
    wanted = (group.id, group.epoch, group.model, group.version)
    if loaded == wanted and report.state in _LOADING_OR_READY:
        return None
    if not _may_load(group, report):
        # The VM's memory may have another customer's data, which a load
        # would not remove. The VM is emptied first and loads once it reports
        # that it is empty.
        return Order(OrderKind.UNLOAD, vm, group.epoch)
    if group.follows and _must_wait_for_head(vm, group, group.follows, reports):
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


def _must_wait_for_head(
    vm: VmId, group: GroupPlan, old: GroupId, reports: Mapping[VmId, EngineReport]
) -> bool:
    """Whether a member must not change yet, since the head may still serve.

    A group's head receives its requests. If another member changed before
    it, an entry process with slightly older reports would still send
    requests to a group that lacks a member. The head, and any former member
    that is back, therefore has to report its change before the other members
    get their orders.

    Args:
        vm: The member.
        group: The group in the current plan.
        old: The group that ends.
        reports: The newest report of each VM that is not absent.
    """
    if vm == group.vms[0] or vm not in group.vms:
        return False
    return any(
        report.group == old and report.state is EngineState.READY
        for other, report in reports.items()
        if other == group.vms[0] or other not in group.vms
    )


def _make_unload_order(vm: VmId, epoch: Epoch, report: EngineReport) -> Order | None:
    if report.state is EngineState.EMPTY:
        return None
    return Order(OrderKind.UNLOAD, vm, epoch)
