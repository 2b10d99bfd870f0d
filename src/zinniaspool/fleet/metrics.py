"""Metrics of both programs: the fleet view and the calls to the store."""

import asyncio
from collections.abc import Iterator

from zinniaspool.core.decoding import shorten
from zinniaspool.fleet.belief import FleetView
from zinniaspool.fleet.connector import UpstreamConnector
from zinniaspool.fleet.store import FleetStore
from zinniaspool.telemetry import Sample
from zinniaspool.telemetry.page import MetricsPage

MAX_LISTED_KEYS = 50
"""Most keys that the metrics name. Any writer of the store can add more."""

__all__ = ["add_fleet_metrics", "add_path_metrics"]


def add_fleet_metrics(page: MetricsPage, view: FleetView, store: FleetStore) -> None:
    """Add metrics of a process's fleet view and of its calls to the store."""

    def list_calls() -> Iterator[Sample]:
        for (kind, outcome), count in store.calls.items():
            yield Sample({"call": kind.value, "outcome": outcome}, count)

    def list_age() -> Iterator[Sample]:
        now = asyncio.get_running_loop().time()
        yield Sample({}, max(0.0, view.compute_age_s(now)))

    def list_version() -> Iterator[Sample]:
        catalog = view.catalog
        yield Sample({}, 0 if catalog is None else catalog.version)

    def list_instances() -> Iterator[Sample]:
        yield Sample({}, len(view.instances))

    def list_evacuated() -> Iterator[Sample]:
        yield Sample({}, len(view.evacuated))

    def list_rejected() -> Iterator[Sample]:
        for kind, count in view.unreadable.counts.items():
            yield Sample({"kind": kind.value}, count)

    def list_unreadable() -> Iterator[Sample]:
        current = sorted(view.unreadable.current.items())
        for key, (kind, reason) in current[:MAX_LISTED_KEYS]:
            # ``ascii`` also makes characters visible that no page can have.
            labels = {"kind": kind.value, "key": ascii(shorten(key))[1:-1]}
            yield Sample({**labels, "reason": ascii(reason)[1:-1]}, 1)

    page.add_counter(
        "zinniaspool_unreadable_values",
        "Values of the store that this process could not use, by kind.",
        list_rejected,
    )
    page.add_gauge(
        "zinniaspool_unreadable_keys",
        "Keys whose values this process can't use now, and why; the first 50.",
        list_unreadable,
    )
    page.add_gauge(
        "zinniaspool_evacuated_domains",
        "Failure domains whose upstreams get no new requests.",
        list_evacuated,
    )

    def list_retained() -> Iterator[Sample]:
        yield Sample({}, len(view.retention.retained))

    page.add_counter("zinniaspool_store_calls", "Calls to the store.", list_calls)
    page.add_gauge(
        "zinniaspool_belief_age_seconds",
        "Seconds since the fleet view was confirmed.",
        list_age,
    )
    page.add_gauge(
        "zinniaspool_configuration",
        "Version of the active configuration.",
        list_version,
    )
    page.add_gauge("zinniaspool_instances", "Known instances.", list_instances)
    page.add_gauge(
        "zinniaspool_retained_instances",
        "Instances that the holder retains although their records were removed.",
        list_retained,
    )


def add_path_metrics(page: MetricsPage, connector: UpstreamConnector) -> None:
    """Add metrics of a process's path to the upstreams."""

    def list_lost() -> Iterator[Sample]:
        yield Sample({}, float(connector.is_path_lost))

    def list_connections() -> Iterator[Sample]:
        for (path, outcome), count in connector.counts.items():
            yield Sample({"path": path, "outcome": outcome}, count)

    page.add_gauge(
        "zinniaspool_upstream_path_lost",
        "Whether this process reaches no upstream directly.",
        list_lost,
    )
    page.add_counter(
        "zinniaspool_upstream_connections",
        "Connections to upstreams, by path and outcome.",
        list_connections,
    )
