"""Metrics by OpenTelemetry, rendered for collectors that scrape."""

from collections.abc import Callable, Iterable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from prometheus_client import CollectorRegistry, generate_latest

from zinniaspool.core.ids import CustomerId
from zinniaspool.core.journal import Journal

__all__ = ["Metrics"]

_MOST_CUSTOMERS = 64
_OTHER = "other"
_BOUNDARIES_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60)


class Metrics:
    """One process's metrics.

    Labels take values from closed lists and from the configuration alone,
    never from what a caller sends, and at most so many customers have a
    series of their own: a collector's memory grows with every series.

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
        seconds = View(
            instrument_unit="s",
            aggregation=ExplicitBucketHistogramAggregation(_BOUNDARIES_S),
        )
        self._provider = MeterProvider([reader], views=[seconds])
        self._meter = self._provider.get_meter("zinniaspool")
        self._requests = self._meter.create_counter(
            "zinniaspool_requests", description="Requests that ended, by their end."
        )
        self._durations = self._meter.create_histogram(
            "zinniaspool_request_duration",
            unit="s",
            description="Time from a request's head to its answer's end.",
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
        self._requests.add(1, {"customer": label, "end": end})
        self._durations.record(seconds, {"customer": label})

    def render(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        return generate_latest(self._registry)

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
