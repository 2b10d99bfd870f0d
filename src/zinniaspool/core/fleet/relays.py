"""Choice of the processes to follow, so that none serves the whole fleet.

The holder learns of each change from the store. If it passed each change on to
every other VM itself, its work and its link's traffic would grow with the
fleet, on a VM that also serves callers. So in a larger fleet only a few VMs of
each failure domain, the relays, follow the holder, and the other VMs follow a
relay. A process whose relay is unresponsive changes to the next one, and reads
from the store meanwhile.
"""

from collections.abc import Mapping
from zlib import crc32

from zinniaspool.core.ids import FailureDomainId, NodeId

__all__ = ["FANOUT", "choose_relays"]

FANOUT = 16
"""Approximate number of VMs that follow one process. At ten changes a second,
serving them takes some hundredths of half a core."""

RELAY_CHOICES = 2
"""Relays that a process may follow: a second one for when the first is
unresponsive. After that the process follows the holder itself."""


def choose_relays(
    own: NodeId, holder: NodeId, nodes: Mapping[NodeId, FailureDomainId]
) -> list[NodeId]:
    """Return the VMs that a VM may follow in place of the holder, best first.

    Args:
        own: The VM that follows.
        holder: The VM of the holder.
        nodes: All VMs that can be followed, with their failure domains.

    Returns:
        An empty list if the VM follows the holder itself: because the fleet
        is small, because the VM is a relay, or because its failure domain has
        none.
    """
    if len(nodes) <= FANOUT or own == holder:
        return []
    own_domain = nodes.get(own)
    candidates = [
        name
        for name, domain in nodes.items()
        if domain == own_domain and name != holder
    ]
    candidates.sort(key=lambda name: (_rank(name, holder), name))
    relays = candidates[: -(-len(candidates) // FANOUT)]
    if own in relays or not relays:
        return []
    first = crc32(own.encode()) % len(relays)
    return (relays[first:] + relays[:first])[:RELAY_CHOICES]


def _rank(name: NodeId, holder: NodeId) -> int:
    """Return the number to draw relays by, a different one for each holder."""
    return crc32(f"{holder}/{name}".encode())
