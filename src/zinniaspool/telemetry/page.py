"""The metrics address of a process on the users' platform."""

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
    counts: bool


class MetricsPage:
    """Metrics of one process, rendered when somebody asks.

    The library that renders them is loaded at the first question: it would
    make every start, and so every recovery, a tenth of a second longer.
    """

    def __init__(self) -> None:
        self._series: list[_Series] = []
        self._render: Callable[[], bytes] | None = None

    def count(
        self, name: str, description: str, read: Callable[[], Iterable[Sample]]
    ) -> None:
        """Add a metric that only grows."""
        self._series.append(_Series(name, description, read, counts=True))

    def gauge(
        self, name: str, description: str, read: Callable[[], Iterable[Sample]]
    ) -> None:
        """Add a metric that goes up and down."""
        self._series.append(_Series(name, description, read, counts=False))

    async def listen(self, address: Address) -> HttpServer:
        """Serve the page from now on."""
        server = HttpServer(self.handle)
        await server.listen(address)
        return server

    async def handle(self, exchange: Exchange) -> None:
        """Answer with all metrics."""
        headers = Headers.of(content_type=CONTENT_TYPE)
        await exchange.respond(200, headers, self.render())

    def render(self) -> bytes:
        """Return all metrics as text."""
        if self._render is None:
            self._render = self._build()
        return self._render()

    def _build(self) -> Callable[[], bytes]:
        from zinniaspool.telemetry.metrics import Metrics

        metrics = Metrics(Journal())
        for one in self._series:
            metrics.add_samples(one.name, one.description, one.read, counts=one.counts)
        return metrics.render
