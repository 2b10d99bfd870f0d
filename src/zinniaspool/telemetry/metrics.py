"""Metrics by OpenTelemetry, rendered for collectors that scrape."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Iterable
from itertools import accumulate

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import CollectorRegistry, generate_latest

from zinniaspool.core.ids import CustomerId
from zinniaspool.core.journal import Journal
from zinniaspool.telemetry.tallies import Sample

__all__ = ["Metrics"]

_MOST_CUSTOMERS = 64
"""Customers with series of their own; a collector's memory grows with each."""
_OTHER = "other"
_BOUNDARIES_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60)


class Metrics:
    """One process's metrics.

    Labels take values from closed lists and from the configuration alone,
    never from what a caller sends, and at most so many customers have a
    series of their own: a collector's memory grows with every series.

    Requests are counted in plain numbers that the instruments read at each
    scrape: a counter and a histogram of the library, told of each request,
    took 31 us of some 400 us that a request costs in all.

    Args:
        journal: Whose decisions are counted.
        most_customers: Customers with series of their own.
    """

    def __init__(self, journal: Journal, most_customers: int = _MOST_CUSTOMERS) -> None:
        self._most_customers = most_customers
        self._customers: set[CustomerId] = set()
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(
            disable_target_info=True, scope_info_enabled=False, registry=self._registry
        )
        self._provider = MeterProvider([reader])
        self._meter = self._provider.get_meter("zinniaspool")
        self._ends: Counter[tuple[str, str]] = Counter()
        self._durations: dict[str, list[int]] = {}
        self._meter.create_observable_counter(
            "zinniaspool_requests",
            [lambda options: self._list_ends()],
            description="Requests that ended, by their end.",
        )
        self._meter.create_observable_counter(
            "zinniaspool_request_duration_buckets",
            [lambda options: self._list_durations()],
            description="Requests that took at most so many seconds.",
        )
        self._meter.create_observable_counter(
            "zinniaspool_decisions",
            [lambda options: _count_decisions(journal, options)],
            description="Decisions of the journal, by kind.",
        )

    def add_gauge(self, name: str, description: str, read: Callable[[], float]) -> None:
        """Show a number that is read at each scrape."""
        self._meter.create_observable_gauge(
            name, [lambda options: [Observation(read())]], description=description
        )

    def add_samples(
        self,
        name: str,
        description: str,
        read: Callable[[], Iterable[Sample]],
        *,
        counts: bool,
    ) -> None:
        """Show numbers with labels that are read at each scrape.

        Args:
            name: Of the metric.
            description: What it tells.
            read: Returns its numbers.
            counts: Whether they only grow.
        """

        def observe(options: CallbackOptions) -> Iterable[Observation]:
            for sample in read():
                yield Observation(sample.value, sample.labels)

        create = self._meter.create_observable_gauge
        if counts:
            create = self._meter.create_observable_counter  # type: ignore[assignment]
        create(name, [observe], description=description)

    def observe_request(
        self, customer: CustomerId | None, end: str, seconds: float
    ) -> None:
        """Count a request that ended.

        Args:
            customer: Whose it was; None where no credential was accepted.
            end: ``answered`` or the error's kind.
            seconds: How long it took.
        """
        label = self._label(customer)
        self._ends[label, end] += 1
        buckets = self._durations.get(label)
        if buckets is None:
            buckets = self._durations[label] = [0] * (len(_BOUNDARIES_S) + 1)
        buckets[bisect_left(_BOUNDARIES_S, seconds)] += 1

    def render(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        return generate_latest(self._registry)

    def _list_ends(self) -> Iterable[Observation]:
        for (customer, end), count in self._ends.items():
            yield Observation(count, {"customer": customer, "end": end})

    def _list_durations(self) -> Iterable[Observation]:
        bounds = [*(f"{bound:g}" for bound in _BOUNDARIES_S), "+Inf"]
        for customer, buckets in self._durations.items():
            for bound, within in zip(bounds, accumulate(buckets), strict=True):
                yield Observation(within, {"customer": customer, "le": bound})

    def _label(self, customer: CustomerId | None) -> str:
        if customer is None:
            return ""
        if customer in self._customers:
            return customer
        if len(self._customers) >= self._most_customers:
            return _OTHER
        self._customers.add(customer)
        return customer


def _count_decisions(
    journal: Journal, options: CallbackOptions
) -> Iterable[Observation]:
    for kind, count in journal.counts.items():
        yield Observation(count, {"kind": kind.value})
