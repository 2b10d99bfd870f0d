"""Connections on which entry processes are requested to query instances."""

from zinniaspool.core.ids import Address
from zinniaspool.core.messages.fleet import InstanceAnswer, InstanceQuery
from zinniaspool.fleet.mesh import PeerExchange
from zinniaspool.peers import PeerLinks

__all__ = ["QueryConnections"]

ENTRY_TIMEOUT_S = 0.2
"""Longest wait for an entry process, in seconds: its own wait for an instance,
of 0.16 s at most, and the way there and back."""


class QueryConnections:
    """Connections to entry processes for queries that run side by side.

    Answers arrive in the order of the requests on one connection, so that
    each query that is under way has a connection of its own.

    Args:
        peers: Makes the connections.
        timeout_s: Longest wait for an entry process, in seconds.
    """

    def __init__(self, peers: PeerExchange, timeout_s: float = ENTRY_TIMEOUT_S) -> None:
        self._peers = peers
        self._timeout_s = timeout_s
        self._all: list[PeerLinks] = []
        self._idle: list[PeerLinks] = []

    async def request(
        self, entry: Address, query: InstanceQuery
    ) -> InstanceAnswer | None:
        """Send a query to an entry process; return None without an answer."""
        if not self._idle:
            self._idle.append(self._peers.make_links(self._timeout_s))
            self._all += self._idle
        links = self._idle.pop()
        try:
            answer = await links.request(entry, query)
        finally:
            self._idle.append(links)
        return answer if isinstance(answer, InstanceAnswer) else None

    def close(self) -> None:
        """Close all connections."""
        for links in self._all:
            links.close()
