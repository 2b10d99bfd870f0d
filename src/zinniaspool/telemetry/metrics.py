"""Collects metrics by OpenTelemetry and renders them for scraping."""

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

_MAX_CUSTOMERS = 64
"""Customers with series of their own; further ones share one series, since a
collector's memory grows with every series."""
_OTHER = "other"
"""Label of all customers without a series of their own."""

_BOUNDARIES_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60)
"""Upper bounds of the buckets of a request's duration, in seconds."""


class Metrics:
    """The metrics of one process.

    Values of labels come only from closed lists and from the configuration,
    never from data that a caller sends, and the number of customers with a
    series of their own is limited: a collector's memory grows with every
    series.

    Requests are counted in plain numbers that the instruments read at each
    scrape. Updating a counter and a histogram of the library at each request
    took 31 us of the about 400 us that a request costs in all.

    Args:
        journal: Journal whose decisions are counted.
        max_customers: Customers with series of their own.
    """

    def __init__(self, journal: Journal, max_customers: int = _MAX_CUSTOMERS) -> None:
        self._max_customers = max_customers
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
        """Add a metric of one number that is read at each scrape."""
        self._meter.create_observable_gauge(
            name, [lambda options: [Observation(read())]], description=description
        )

    def add_samples(
        self,
        name: str,
        description: str,
        read: Callable[[], Iterable[Sample]],
        *,
        is_counter: bool,
    ) -> None:
        """Add a metric of labelled numbers that are read at each scrape.

        Args:
            name: Name of the metric.
            description: What the metric measures.
            read: Returns the metric's samples.
            is_counter: Whether the numbers only grow.
        """

        def observe(options: CallbackOptions) -> Iterable[Observation]:
            for sample in read():
                yield Observation(sample.value, sample.labels)

        create = self._meter.create_observable_gauge
        if is_counter:
            create = self._meter.create_observable_counter  # type: ignore[assignment]
        create(name, [observe], description=description)

    def observe_request(
        self, customer: CustomerId | None, end: str, seconds: float
    ) -> None:
        """Count a request that ended.

        Args:
            customer: The customer who sent the request; None where no
                credential was accepted.
            end: ``answered`` or the kind of the error.
            seconds: Duration of the request.
        """
        label = self._label(customer)
        self._ends[label, end] += 1
        buckets = self._durations.get(label)
        if buckets is None:
            buckets = self._durations[label] = [0] * (len(_BOUNDARIES_S) + 1)
        buckets[bisect_left(_BOUNDARIES_S, seconds)] += 1

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
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
        if len(self._customers) >= self._max_customers:
            return _OTHER
        self._customers.add(customer)
        return customer


def _count_decisions(
    journal: Journal, options: CallbackOptions
) -> Iterable[Observation]:
    for kind, count in journal.counts.items():
        yield Observation(count, {"kind": kind.value})
