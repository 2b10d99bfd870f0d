"""Whom a process follows, so that nobody has to tell the whole fleet.

The holder learns of each change from the store and would have to tell every
other VM: its work and what its link carries would grow with the fleet, on a
VM that also serves callers. So in a larger fleet only a few VMs of each
failure domain follow the holder, and the others follow one of those. Whoever
finds its relay silent takes the next one, and learns from the store meanwhile.
"""

from collections.abc import Mapping
from zlib import crc32

from zinniaspool.core.ids import FailureDomainId, NodeId

__all__ = ["FANOUT", "choose_relays"]

FANOUT = 16
"""VMs that one process tells, about: at ten changes a second it spends some
hundredths of half a core on it."""

CHOICES = 2
"""Relays that a process knows: with the first one silent, the second; the
holder itself after that."""


def choose_relays(
    own: NodeId, holder: NodeId, nodes: Mapping[NodeId, FailureDomainId]
) -> list[NodeId]:
    """Return the VMs that one may follow in place of the holder, best first.

    Args:
        own: The VM that wants to know.
        holder: The VM of the holder.
        nodes: All VMs that can be followed, by failure domain.

    Returns:
        None where it follows the holder itself: in a small fleet, or since it
        is a relay.
    """
    if len(nodes) <= FANOUT or own == holder:
        return []
    domain = nodes.get(own)
    near = [name for name, one in nodes.items() if one == domain and name != holder]
    near.sort(key=lambda name: (_mix(name, holder), name))
    relays = near[: -(-len(near) // FANOUT)]
    if own in relays or not relays:
        return []
    first = crc32(own.encode()) % len(relays)
    return (relays[first:] + relays[:first])[:CHOICES]


def _mix(name: NodeId, holder: NodeId) -> int:
    """Return a number to draw relays by, another one for each holder."""
    return crc32(f"{holder}/{name}".encode())
