"""Has entry processes query instances that do not answer the holder itself."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterator

import structlog

from zinniaspool.core.fleet import Instance, NodeState
from zinniaspool.core.ids import Address
from zinniaspool.core.messages.fleet import InstanceAnswer, InstanceQuery, QueryKind
from zinniaspool.fleet import FleetView, ProcessLocation

__all__ = ["MAX_CONCURRENT_RELAYS", "EntryRelay"]

_log = structlog.get_logger(__name__)

MAX_CONCURRENT_RELAYS = 24
"""How many queries entry processes have under way for this one: as many
instances as are checked at once when their records are missing."""

SILENT_S = 1.0
"""For how long an entry process that did not answer is not tried again, in
seconds. Each query to one that is dead or of an older version would cost its
timeout."""

RequestAnswer = Callable[[Address, InstanceQuery], Awaitable[InstanceAnswer | None]]
"""Sends a query to an entry process; returns its answer, or None."""


class EntryRelay:
    """Chooses the entry processes that query instances for the holder.

    Args:
        fleet_view: What this process knows of the fleet.
        location: Where this process runs.
        request: Sends a query to an entry process.
    """

    def __init__(
        self, fleet_view: FleetView, location: ProcessLocation, request: RequestAnswer
    ) -> None:
        self._fleet_view = fleet_view
        self._location = location
        self._request = request
        self._slots = asyncio.Semaphore(MAX_CONCURRENT_RELAYS)
        self._silent_until: dict[Address, float] = {}

    async def query(
        self, known: Instance, kind: QueryKind, timeout_s: float | None
    ) -> InstanceAnswer | None:
        """Have an entry process query an instance.

        The entry process of this VM is tried first, then one of another
        failure domain: this VM may reach no upstream at all.

        Args:
            known: The instance.
            kind: What to query it for.
            timeout_s: Longest time for all of it, in seconds, also to wait for
                other queries; None if it may wait for these.

        Returns:
            What an entry process received from the instance, with no status
            if that did not answer; None if no entry process is known to have
            queried it.
        """
        query = InstanceQuery(known.id, known.address, kind)
        entries: list[Address] = []
        received = None
        try:
            async with asyncio.timeout(timeout_s), self._slots:
                for entry in self._list_entries():
                    entries.append(entry)
                    answer = await self._request(entry, query)
                    if answer is None:
                        self._record_silence(entry)
                    elif not answer.is_refused:
                        received = answer
                        if answer.status is not None:
                            return answer
        except TimeoutError:
            pass
        _log.info(
            "query-unanswered",
            instance=known.id,
            kind=kind.value,
            entries=",".join(entries),
        )
        return received

    def _list_entries(self) -> Iterator[Address]:
        """Return the entry processes to try, the local one first."""
        now = asyncio.get_running_loop().time()
        for entry in self._location.list_local_entry():
            if self._silent_until.get(entry, 0.0) <= now:
                yield entry
        others = [
            record.peer_address
            for record in self._fleet_view.nodes.values()
            if record.failure_domain != self._location.failure_domain
            and record.state is NodeState.READY
            and self._silent_until.get(record.peer_address, 0.0) <= now
        ]
        if others:
            yield random.choice(others)

    def _record_silence(self, entry: Address) -> None:
        now = asyncio.get_running_loop().time()
        self._silent_until = {
            address: until
            for address, until in self._silent_until.items()
            if until > now
        }
        self._silent_until[entry] = now + SILENT_S
