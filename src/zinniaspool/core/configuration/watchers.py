"""Which processes watch the store for the others."""

import hashlib
from collections.abc import Iterable

from zinniaspool.core.ids import NodeId
from zinniaspool.core.membership import Member, MemberState

__all__ = ["WATCHERS_PER_DOMAIN", "is_watcher"]

WATCHERS_PER_DOMAIN = 2
"""One more than needed: while one is found silent, the other watches."""


def is_watcher(node: NodeId, members: Iterable[Member]) -> bool:
    """Return whether a process is to watch the store.

    Each process decides it for itself from the members it knows, with no
    word between them: those of a failure domain whose names hash lowest.
    Where views differ, a few more watch; a process that knows of no other in
    its failure domain watches, so that a cut leaves none without news.

    Args:
        node: The process.
        members: The members that it knows, itself among them.
    """
    known = list(members)
    own = next((member for member in known if member.node == node), None)
    if own is None:
        return True
    rivals = [
        member.node
        for member in known
        if member.failure_domain == own.failure_domain
        and member.node != node
        and member.state in (MemberState.STARTING, MemberState.READY)
    ]
    lower = sum(_rank(rival) < _rank(node) for rival in rivals)
    return lower < WATCHERS_PER_DOMAIN


def _rank(node: NodeId) -> bytes:
    return hashlib.sha256(node.encode()).digest()
