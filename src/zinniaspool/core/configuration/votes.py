"""A start without the store: whose word on the configuration suffices."""

import random
from collections.abc import Iterable, Sequence

from zinniaspool.core.ids import Address, NodeId, Revision
from zinniaspool.core.membership import Member, MemberState

__all__ = ["StartVote"]

_ASK_AGAIN_S = 2.0
"""Seconds until a member that did not answer is asked again; chosen."""


class StartVote:
    """Gathers which revision each member holds.

    A process that starts with nothing while the store is out could meet only
    peers that a partition left behind, and would turn back a change that it
    had in force before. So the highest revision counts only once more than
    half of all members known, the silent ones and the seeds that nobody
    answers at included, have said what they hold. Members that hold nothing
    don't count: they may have forgotten the very change.

    Args:
        seeds: Peer addresses that the process is told at the start.
    """

    def __init__(self, seeds: Iterable[Address]) -> None:
        self._seeds = frozenset(seeds)
        self._held: dict[NodeId, Revision] = {}
        self._asked_at: dict[NodeId, float] = {}
        self._electorate = 0

    def choose(
        self,
        others: Sequence[Member],
        count: int,
        now: float,
        source: random.Random,
    ) -> list[Member]:
        """Return the members to ask now.

        Args:
            others: All members known but the asking one.
            count: How many at most.
            now: Seconds.
            source: The random source.
        """
        known = {member.node for member in others}
        self._held = {n: held for n, held in self._held.items() if n in known}
        unmet = self._seeds - {member.peer_address for member in others}
        self._electorate = len(others) + len(unmet)
        due = [
            member
            for member in others
            if member.state is not MemberState.SILENT
            and member.node not in self._held
            and now - self._asked_at.get(member.node, float("-inf")) >= _ASK_AGAIN_S
        ]
        chosen = source.sample(due, min(count, len(due)))
        for member in chosen:
            self._asked_at[member.node] = now
        return chosen

    def take(self, node: NodeId, held: Revision | None) -> None:
        """Take a member's answer; None when none came."""
        if held:
            self._held[node] = max(held, self._held.get(node, Revision(0)))

    def decide(self) -> Revision | None:
        """Return the revision that is new enough, or None so far."""
        if not self._electorate or 2 * len(self._held) <= self._electorate:
            return None
        return max(self._held.values())
