"""Metrics of both programs: what is believed, and the calls to the store."""

import asyncio
from collections.abc import Iterator

from zinniaspool.fleet.belief import FleetBelief
from zinniaspool.fleet.store import FleetStore
from zinniaspool.telemetry import Sample
from zinniaspool.telemetry.page import MetricsPage

__all__ = ["add_fleet_metrics"]


def add_fleet_metrics(
    page: MetricsPage, belief: FleetBelief, store: FleetStore
) -> None:
    """Add what a process believes and how it learned of it."""

    def list_calls() -> Iterator[Sample]:
        for (kind, outcome), count in store.calls.items():
            yield Sample({"call": kind.value, "outcome": outcome}, count)

    def list_age() -> Iterator[Sample]:
        now = asyncio.get_running_loop().time()
        yield Sample({}, max(0.0, belief.age(now)))

    def list_version() -> Iterator[Sample]:
        catalog = belief.catalog
        yield Sample({}, 0 if catalog is None else catalog.version)

    def list_instances() -> Iterator[Sample]:
        yield Sample({}, len(belief.instances))

    page.count("zinniaspool_store_calls", "Calls to the store.", list_calls)
    page.gauge("zinniaspool_belief_age_seconds", "Age of what is believed.", list_age)
    page.gauge("zinniaspool_configuration", "Version in force.", list_version)
    page.gauge("zinniaspool_instances", "Instances known.", list_instances)
