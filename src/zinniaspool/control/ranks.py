"""The order of control processes for each domain, worked out seldom."""

import asyncio

from zinniaspool.core.groups.succession import rank_process
from zinniaspool.core.ids import FabricDomainId, NodeId
from zinniaspool.core.membership import MemberState, Role
from zinniaspool.node import NodeFrame

__all__ = ["ControlRanks"]

_REFRESH_S = 1.0
"""Seconds between rankings of the control processes; chosen."""


class ControlRanks:
    """Ranks the control processes known for each domain.

    With hundreds of processes a rank costs as many hashes, and every domain
    asks for it several times a second; so they are kept until other
    processes are known.

    Args:
        frame: Knows the processes.
    """

    def __init__(self, frame: NodeFrame) -> None:
        self._frame = frame
        self._nodes: frozenset[NodeId] = frozenset()
        self._ranks: dict[tuple[NodeId, FabricDomainId], int] = {}
        self._looked_at = float("-inf")

    def rank(self, node: NodeId, domain: FabricDomainId) -> int:
        """Return a process's place in a domain's order, from 0."""
        self._refresh()
        key = node, domain
        found = self._ranks.get(key)
        if found is None:
            found = self._ranks[key] = rank_process(node, self._nodes, domain)
        return found

    def _refresh(self) -> None:
        now = asyncio.get_running_loop().time()
        if now < self._looked_at + _REFRESH_S:
            return
        self._looked_at = now
        nodes = frozenset(
            member.node
            for member in self._frame.members()
            if member.role is Role.CONTROL
            and member.state in (MemberState.STARTING, MemberState.READY)
        )
        if nodes != self._nodes:
            self._nodes = nodes
            self._ranks.clear()
