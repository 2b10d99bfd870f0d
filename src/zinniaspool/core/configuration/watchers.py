"""Chooses the processes that watch the store for the others."""

import hashlib
from collections.abc import Iterable

from zinniaspool.core.ids import NodeId
from zinniaspool.core.membership import Member, MemberState

__all__ = ["WATCHERS_PER_DOMAIN", "is_watcher"]

WATCHERS_PER_DOMAIN = 2
"""Watchers in each failure domain. The second one watches while the failure
of the first is being detected."""


def is_watcher(node: NodeId, members: Iterable[Member]) -> bool:
    """Return whether a process watches the store.

    The watchers of a failure domain are the processes whose names have the
    lowest hashes. Each process decides this by itself from the members that
    it knows, without any message. Where their views differ, a few more
    processes watch. A process that knows no other one in its failure domain
    watches, so that a partition leaves no process without changes.

    Args:
        node: Name of the process.
        members: The members that the process knows, including itself.
    """
    known_members = list(members)
    local = next((member for member in known_members if member.node == node), None)
    if local is None:
        return True
    peers = [
        member.node
        for member in known_members
        if member.failure_domain == local.failure_domain
        and member.node != node
        and member.state in (MemberState.STARTING, MemberState.READY)
    ]
    lower_ranked = sum(_rank(peer) < _rank(node) for peer in peers)
    return lower_ranked < WATCHERS_PER_DOMAIN


def _rank(node: NodeId) -> bytes:
    return hashlib.sha256(node.encode()).digest()
