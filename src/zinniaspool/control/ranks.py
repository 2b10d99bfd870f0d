"""Cached ranks of the control processes for each fabric domain."""

import asyncio

from zinniaspool.core.groups.succession import rank_process
from zinniaspool.core.ids import FabricDomainId, NodeId
from zinniaspool.core.membership import MemberState, Role
from zinniaspool.node import NodeRuntime

__all__ = ["ControlRanks"]

_REFRESH_S = 1.0
"""Seconds between two checks whether the set of control processes has
changed."""


class ControlRanks:
    """Ranks the known control processes for each domain.

    With hundreds of processes a rank costs as many hashes, and each domain
    needs it several times a second. So ranks are cached until the set of known
    processes changes.

    Args:
        frame: Lists the known processes.
    """

    def __init__(self, frame: NodeRuntime) -> None:
        self._frame = frame
        self._nodes: frozenset[NodeId] = frozenset()
        self._ranks: dict[tuple[NodeId, FabricDomainId], int] = {}
        self._refreshed_at = float("-inf")

    def rank(self, node: NodeId, domain: FabricDomainId) -> int:
        """Return the rank of a process in a domain's order, from 0."""
        self._refresh()
        key = node, domain
        rank = self._ranks.get(key)
        if rank is None:
            rank = self._ranks[key] = rank_process(node, self._nodes, domain)
        return rank

    def _refresh(self) -> None:
        now = asyncio.get_running_loop().time()
        if now < self._refreshed_at + _REFRESH_S:
            return
        self._refreshed_at = now
        nodes = frozenset(
            member.node
            for member in self._frame.list_members()
            if member.role is Role.CONTROL
            and member.state in (MemberState.STARTING, MemberState.READY)
        )
        if nodes != self._nodes:
            self._nodes = nodes
            self._ranks.clear()
