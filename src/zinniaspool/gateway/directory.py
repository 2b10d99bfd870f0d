"""Tells callers which addresses to use, and whether this process is ready."""

import random
from collections.abc import Callable

import msgspec

from zinniaspool.core.fleet import NodeRecord, NodeState, ReachabilityTracker
from zinniaspool.fleet import FleetView
from zinniaspool.http import Exchange, Headers

__all__ = ["DirectoryHandler"]

MAX_ADDRESSES = 64
"""Largest number of addresses in one answer that callers accept."""

MAX_LIFETIME_S = 2.0
"""Longest time for which callers may keep an answer, in seconds. Some callers
keep it three times as long, and a stopping process must serve them until then
within its stop time."""

MIN_ANNOUNCED_PART = 0.5
"""Least part of the VMs that callers are sent to because the others have no
path of their own to the upstreams."""


class DirectoryHandler:
    """Answers requests at the directory and readiness addresses.

    Args:
        fleet_view: Has the records of the other entry processes.
        find_own_record: Returns this process's record while callers may be
            sent here, else None.
        lifetime_s: Longest lifetime of an answer that callers honour.
        reachability: The other VMs that can be reached from here.
    """

    def __init__(
        self,
        fleet_view: FleetView,
        find_own_record: Callable[[], NodeRecord | None],
        lifetime_s: float,
        reachability: ReachabilityTracker,
    ) -> None:
        self._reachability = reachability
        self._fleet_view = fleet_view
        self._find_own_record = find_own_record
        self._lifetime_s = min(MAX_LIFETIME_S, lifetime_s)

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        path = exchange.request.path
        if path == "/v1/readyz":
            ready = self._find_own_record() is not None
            await exchange.respond(200 if ready else 503, Headers(), b"")
        elif path == "/v1/resolve":
            await self._resolve(exchange)
        else:
            await exchange.respond(404, Headers(), b"")

    async def _resolve(self, exchange: Exchange) -> None:
        addresses = self.list_addresses()
        if not addresses:
            headers = Headers.of(retry_after="1")
            await exchange.respond(503, headers, b"")
            return
        body = msgspec.json.encode({"addresses": addresses, "ttl-s": self._lifetime_s})
        await exchange.respond(200, Headers.of(content_type="application/json"), body)

    def list_addresses(self) -> list[str]:
        """Return the addresses at which callers may connect, in no order."""
        own = self._find_own_record()
        others = {
            record.node: record
            for record in self._fleet_view.nodes.values()
            if record.state is NodeState.READY
            and (own is None or record.node != own.node)
        }
        ready = [others[name] for name in self._reachability.list_usable(others)]
        if own is not None:
            ready.append(own)
        ready = _choose_with_path(ready)
        if len(ready) > MAX_ADDRESSES:
            ready = random.sample(ready, MAX_ADDRESSES)
        return [record.caller_address for record in ready]


def _choose_with_path(ready: list[NodeRecord]) -> list[NodeRecord]:
    """Leave out the VMs without a path of their own to the upstreams.

    They are announced if too few others are left. Those carry the requests of
    all VMs anyway, but not all connections of callers as well.
    """
    chosen = [record for record in ready if record.has_upstream_path]
    return chosen if len(chosen) >= MIN_ANNOUNCED_PART * len(ready) else ready
