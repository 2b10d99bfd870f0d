"""Serves the metrics of a process that runs on the users' platform."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from zinniaspool.core.ids import Address
from zinniaspool.core.journal import Journal
from zinniaspool.http import Exchange, Headers, HttpServer
from zinniaspool.telemetry.tallies import Sample

__all__ = ["MetricsPage"]

CONTENT_TYPE = "text/plain; version=0.0.4"


@dataclass(frozen=True, slots=True)
class _Series:
    name: str
    description: str
    read: Callable[[], Iterable[Sample]]
    is_counter: bool


class MetricsPage:
    """Metrics of one process, rendered at each request for them.

    The library that renders them is imported at the first request: importing
    it at the start would make every start, and so every recovery, a tenth of
    a second longer.
    """

    def __init__(self) -> None:
        self._series: list[_Series] = []
        self._render: Callable[[], bytes] | None = None

    def add_counter(
        self, name: str, description: str, read: Callable[[], Iterable[Sample]]
    ) -> None:
        """Add a metric whose numbers only grow."""
        self._series.append(_Series(name, description, read, is_counter=True))

    def add_gauge(
        self, name: str, description: str, read: Callable[[], Iterable[Sample]]
    ) -> None:
        """Add a metric whose numbers rise and fall."""
        self._series.append(_Series(name, description, read, is_counter=False))

    async def listen(self, address: Address) -> HttpServer:
        """Start an HTTP server of the page at an address and return it."""
        server = HttpServer(self.handle)
        await server.listen(address)
        return server

    async def handle(self, exchange: Exchange) -> None:
        """Respond to an HTTP request with all metrics."""
        headers = Headers.of(content_type=CONTENT_TYPE)
        await exchange.respond(200, headers, self.render())

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        if self._render is None:
            self._render = self._build()
        return self._render()

    def _build(self) -> Callable[[], bytes]:
        from zinniaspool.telemetry.metrics import Metrics

        metrics = Metrics(Journal())
        for series in self._series:
            metrics.add_samples(
                series.name,
                series.description,
                series.read,
                is_counter=series.is_counter,
            )
        return metrics.render
