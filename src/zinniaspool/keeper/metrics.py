"""Metrics of the control process on the users' platform."""

from collections import Counter
from collections.abc import Iterator

from zinniaspool.fleet import FleetStore, FleetView, UpstreamConnector
from zinniaspool.fleet.metrics import add_fleet_metrics, add_path_metrics
from zinniaspool.keeper.holder import GroupHolder
from zinniaspool.telemetry import Sample
from zinniaspool.telemetry.page import MetricsPage

__all__ = ["make_controller_metrics"]


def make_controller_metrics(
    fleet_view: FleetView,
    store: FleetStore,
    holder: GroupHolder,
    connector: UpstreamConnector,
) -> MetricsPage:
    """Return the metrics page of a control process."""
    page = MetricsPage()

    def list_groups() -> Iterator[Sample]:
        counts = Counter(
            (run.record.model, run.phase.value) for run in holder.list_runs()
        )
        for (model, phase), count in counts.items():
            yield Sample({"model": model, "phase": phase}, count)

    def list_orders() -> Iterator[Sample]:
        for (action, outcome), count in holder.order_counts.items():
            labels = {"action": action.value, "outcome": outcome.value}
            yield Sample(labels, count)

    def list_planning() -> Iterator[Sample]:
        yield Sample({}, float(holder.is_planning))

    def list_retention_ends() -> Iterator[Sample]:
        for reason, count in holder.retainer.end_counts.items():
            yield Sample({"reason": reason.value}, count)

    def list_health_queries() -> Iterator[Sample]:
        for outcome, count in holder.queries.health_counts.items():
            yield Sample({"outcome": outcome}, count)

    def list_indirect() -> Iterator[Sample]:
        yield Sample({}, len(holder.queries.indirect) if holder.is_planning else 0)

    def list_scans() -> Iterator[Sample]:
        yield Sample({}, holder.domains_scanned)

    def list_plan_writes() -> Iterator[Sample]:
        for fault, count in holder.plans.write_counts.items():
            yield Sample({"outcome": "ok" if fault is None else fault.value}, count)

    def list_unsaved() -> Iterator[Sample]:
        yield Sample({}, len(holder.plans.unsaved) if holder.is_planning else 0)

    def list_slow() -> Iterator[Sample]:
        yield Sample({}, len(holder.slow_vms.instances))

    def list_replaced() -> Iterator[Sample]:
        yield Sample({}, holder.slow_vms.replaced_count)

    page.add_gauge(
        "zinniaspool_slow_instances", "VMs that report to be slow.", list_slow
    )
    page.add_counter(
        "zinniaspool_replaced_groups",
        "Groups that were closed because of a slow member.",
        list_replaced,
    )
    page.add_counter(
        "zinniaspool_planner_domain_looks",
        "Fabric domains that the planner scanned, over all its passes.",
        list_scans,
    )
    page.add_counter(
        "zinniaspool_plan_writes",
        "Writes of plans to the store, by outcome.",
        list_plan_writes,
    )
    page.add_gauge(
        "zinniaspool_unsaved_plans",
        "Plans that could not be written for several tries.",
        list_unsaved,
    )
    page.add_gauge("zinniaspool_groups", "Groups by model and phase.", list_groups)
    page.add_counter(
        "zinniaspool_orders", "Orders sent, by action and outcome.", list_orders
    )
    page.add_gauge("zinniaspool_holder", "Whether this process plans.", list_planning)
    page.add_counter(
        "zinniaspool_retention_ends",
        "Instances without a record that are not retained, or no longer, by reason.",
        list_retention_ends,
    )
    page.add_counter(
        "zinniaspool_health_queries",
        "Health queries to instances without a record, by outcome.",
        list_health_queries,
    )
    page.add_gauge(
        "zinniaspool_indirect_instances",
        "Instances that answer the holder only through an entry process.",
        list_indirect,
    )
    add_path_metrics(page, connector)
    add_fleet_metrics(page, fleet_view, store)
    return page
