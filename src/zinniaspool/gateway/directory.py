"""Which addresses callers use, and whether this process is ready."""

import random
from collections.abc import Callable

import msgspec

from zinniaspool.core.fleet import NodeRecord, NodeState, ReachabilityTracker
from zinniaspool.fleet import FleetBelief
from zinniaspool.http import Exchange, Headers

__all__ = ["DirectoryFace"]

MOST_ADDRESSES = 64
"""What callers take of one answer."""

LIFETIME_S = 2.0
"""How long callers keep an answer, in seconds. Some keep it three times as
long, and a leaving process must outlast that within its stop time."""


class DirectoryFace:
    """Answers on the addresses for directory and readiness.

    Args:
        belief: The entry processes that there are.
        find_own: Returns this process's record while callers may be sent
            here, else None.
        lifetime_s: Longest lifetime that callers honour.
        reachability: Which other VMs are reached from here.
    """

    def __init__(
        self,
        belief: FleetBelief,
        find_own: Callable[[], NodeRecord | None],
        lifetime_s: float,
        reachability: ReachabilityTracker,
    ) -> None:
        self._reachability = reachability
        self._belief = belief
        self._find_own = find_own
        self._lifetime_s = min(LIFETIME_S, lifetime_s)

    async def handle(self, exchange: Exchange) -> None:
        """Answer one question."""
        path = exchange.request.path
        if path == "/v1/readyz":
            ready = self._find_own() is not None
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
        """Return where callers may connect, in no order."""
        own = self._find_own()
        others = {
            record.node: record
            for record in self._belief.nodes.values()
            if record.state is NodeState.READY
            and (own is None or record.node != own.node)
        }
        ready = [others[name] for name in self._reachability.list_usable(others)]
        if own is not None:
            ready.append(own)
        if len(ready) > MOST_ADDRESSES:
            ready = random.sample(ready, MOST_ADDRESSES)
        return [record.caller_address for record in ready]
