"""Which orders bring engines to what a plan says."""

from collections.abc import Mapping

from zinniaspool.core.ids import VmId
from zinniaspool.core.plans import (
    DomainPlan,
    EngineReport,
    EngineState,
    GroupPlan,
    Order,
    OrderKind,
)

__all__ = ["decide_orders"]


def decide_orders(
    plan: DomainPlan, reports: Mapping[VmId, EngineReport]
) -> list[Order]:
    """Return the orders that are due, by VM.

    Args:
        plan: The plan in force.
        reports: What the domain's engines said last.
    """
    wanted = {vm: group for group in plan.groups for vm in group.vms}
    orders = []
    for vm, report in sorted(reports.items()):
        order = _decide_order(vm, wanted.get(vm), report, plan)
        if order is not None:
            orders.append(order)
    return orders


def _decide_order(
    vm: VmId, group: GroupPlan | None, report: EngineReport, plan: DomainPlan
) -> Order | None:
    if group is None:
        if report.state is EngineState.EMPTY:
            return None
        return Order(OrderKind.UNLOAD, vm, plan.epoch)
    held = (report.group, report.epoch, report.model, report.version)
    if held == (group.id, group.epoch, group.model, group.version):
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
