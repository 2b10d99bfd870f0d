"""Tells callers which addresses to use, and whether this process is ready."""

import asyncio
import random
from collections.abc import Callable

import msgspec

from zinniaspool.core.fleet import (
    NODES_PREFIX,
    NodeRecord,
    NodeState,
    ReachabilityTracker,
)
from zinniaspool.core.ids import NodeId, Revision
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


LEAVING_MARGIN_S = 1.5
"""How much longer than it serves a leaving VM isn't announced, in seconds. By
then probes have found that it has ended."""


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
        self._leaving: dict[NodeId, tuple[float, Revision]] = {}

    def handle_leaving(self, node: NodeId, left_s: float) -> None:
        """Announce a VM that is being stopped no longer.

        Its record shows that later, and not before the store answers. The next
        record is that of the VM's stop or of its next start.

        Args:
            node: The VM.
            left_s: Time until it ends its connections, in seconds.
        """
        now = asyncio.get_running_loop().time()
        self._leaving = {
            other: (ends_at, revision)
            for other, (ends_at, revision) in self._leaving.items()
            if now < ends_at
        }
        ends_at = now + left_s + LEAVING_MARGIN_S
        self._leaving[node] = ends_at, self._find_revision(node)

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
            and not self._is_leaving(record.node)
            and (own is None or record.node != own.node)
        }
        usable = self._reachability.list_usable(
            others, has_path=own is not None and own.has_upstream_path
        )
        ready = [others[name] for name in usable]
        if own is not None:
            ready.append(own)
        ready = _choose_with_path(ready)
        if len(ready) > MAX_ADDRESSES:
            ready = random.sample(ready, MAX_ADDRESSES)
        return [record.caller_address for record in ready]

    def _is_leaving(self, node: NodeId) -> bool:
        """Tell whether a VM leaves and has no new record since."""
        if node not in self._leaving:
            return False
        ends_at, revision = self._leaving[node]
        return (
            asyncio.get_running_loop().time() < ends_at
            and self._find_revision(node) == revision
        )

    def _find_revision(self, node: NodeId) -> Revision:
        item = self._fleet_view.mirror.get(NODES_PREFIX + node)
        return Revision(0) if item is None else item.revision


def _choose_with_path(ready: list[NodeRecord]) -> list[NodeRecord]:
    """Leave out the VMs without a path of their own to the upstreams.

    They are announced if too few others are left. Those carry the requests of
    all VMs anyway, but not all connections of callers as well.
    """
    chosen = [record for record in ready if record.has_upstream_path]
    return chosen if len(chosen) >= MIN_ANNOUNCED_PART * len(ready) else ready
