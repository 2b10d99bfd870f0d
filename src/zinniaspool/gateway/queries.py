"""Queries instances for the holder when they do not answer it itself."""

from typing import Protocol

from result import Ok, Result

from zinniaspool.core.fleet import InstanceId
from zinniaspool.core.ids import Address
from zinniaspool.core.messages.fleet import InstanceAnswer, InstanceQuery, QueryKind
from zinniaspool.fleet import FleetView
from zinniaspool.http import TransportFailure

__all__ = ["MAX_CONCURRENT_QUERIES", "InstanceFetcher", "InstanceQueryHandler"]

STATUS_TIMEOUT_S = 0.12
"""Longest wait for a status, in seconds; as long as the holder's own first
query."""

HEALTH_TIMEOUT_S = 0.16
"""Longest wait for a health answer, in seconds. It waits for a slot. The
holder waits 0.2 s for this process, from opening the connection on."""

MAX_CONCURRENT_QUERIES = 24
"""How many instances are queried at once: as many as the holder has under way.
Requests of two holders at a change are refused beyond it."""

MAX_BODY_BYTES = 64 * 1024
"""Longest body that is returned. Statuses have a few hundred bytes."""


class InstanceFetcher(Protocol):
    """Sends queries to instances, and returns the answers as received."""

    async def fetch_status(
        self, address: Address, timeout_s: float
    ) -> Result[InstanceAnswer, TransportFailure]:
        """Query an engine's status."""
        ...

    async def fetch_health(
        self, address: Address, instance: InstanceId, path: str, timeout_s: float
    ) -> Result[InstanceAnswer, TransportFailure]:
        """Query an instance's health."""
        ...


class InstanceQueryHandler:
    """Handles queries of the holder to instances that this process knows.

    Args:
        fleet_view: What this process knows of the fleet.
        fetcher: Sends the queries.
    """

    def __init__(self, fleet_view: FleetView, fetcher: InstanceFetcher) -> None:
        self._fleet_view = fleet_view
        self._fetcher = fetcher
        self._running = 0

    async def handle(self, query: InstanceQuery) -> InstanceAnswer:
        """Query an instance; return what it answered, or a refusal."""
        view = self._fleet_view
        known = view.retention.find_recent(query.instance)
        if known is None or known.address != query.address:
            return InstanceAnswer(is_refused=True)
        if self._running >= MAX_CONCURRENT_QUERIES:
            return InstanceAnswer(is_refused=True)
        service = view.catalog and view.catalog.services.get(known.service)
        path = service.health_path if service else None
        if query.kind is QueryKind.HEALTH and (
            path is None or known.failure_domain in view.evacuated
        ):
            # A health query is a request, and must not reach an evacuated
            # failure domain.
            return InstanceAnswer(is_refused=True)
        self._running += 1
        try:
            return await self._fetch(query, path or "")
        finally:
            self._running -= 1

    async def _fetch(self, query: InstanceQuery, path: str) -> InstanceAnswer:
        if query.kind is QueryKind.STATUS:
            answer = await self._fetcher.fetch_status(query.address, STATUS_TIMEOUT_S)
        else:
            answer = await self._fetcher.fetch_health(
                query.address, query.instance, path, HEALTH_TIMEOUT_S
            )
        if not isinstance(answer, Ok) or len(answer.ok_value.body) > MAX_BODY_BYTES:
            return InstanceAnswer()
        return answer.ok_value
