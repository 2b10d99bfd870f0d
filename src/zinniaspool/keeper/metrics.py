"""Metrics of the control program on the users' platform."""

from collections import Counter
from collections.abc import Iterator

from zinniaspool.fleet import FleetStore, FleetView
from zinniaspool.fleet.metrics import add_fleet_metrics
from zinniaspool.keeper.holder import GroupHolder
from zinniaspool.telemetry import Sample
from zinniaspool.telemetry.page import MetricsPage

__all__ = ["make_keeper_metrics"]


def make_keeper_metrics(
    belief: FleetView, store: FleetStore, holder: GroupHolder
) -> MetricsPage:
    """Return the page of a control process."""
    page = MetricsPage()

    def list_groups() -> Iterator[Sample]:
        counts = Counter(
            (run.record.model, run.phase.value) for run in holder.list_runs()
        )
        for (model, phase), count in counts.items():
            yield Sample({"model": model, "phase": phase}, count)

    def list_orders() -> Iterator[Sample]:
        for (action, outcome), count in holder.orders.items():
            labels = {"action": action.value, "outcome": outcome.value}
            yield Sample(labels, count)

    def list_holding() -> Iterator[Sample]:
        yield Sample({}, float(holder.holds))

    def list_looks() -> Iterator[Sample]:
        yield Sample({}, holder.domains_looked_at)

    page.count(
        "zinniaspool_planner_domain_looks",
        "Fabric domains that the planner went through, over all its looks.",
        list_looks,
    )
    page.gauge("zinniaspool_groups", "Groups by model and phase.", list_groups)
    page.count("zinniaspool_orders", "Orders given, by outcome.", list_orders)
    page.gauge("zinniaspool_holder", "Whether this process plans.", list_holding)
    add_fleet_metrics(page, belief, store)
    return page
