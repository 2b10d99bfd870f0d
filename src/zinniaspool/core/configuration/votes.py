"""A start without the store: a vote on the newest configuration."""

import random
from collections.abc import Iterable, Sequence

from zinniaspool.core.ids import Address, NodeId, Revision
from zinniaspool.core.membership import Member, MemberState

__all__ = ["StartupVote"]

_REPEAT_REQUEST_S = 2.0
"""Seconds until the request to a member that did not respond is repeated."""


class StartupVote:
    """Collects the active revision of each member.

    A process that starts without a configuration during an outage of the
    store may reach only peers that a partition left behind. It would then
    revert a change that was active in it before. So the highest revision is
    used only after more than half of all known members have reported theirs.
    Unresponsive members and seeds at which no member listens are part of the
    total. Members without a configuration don't count as votes: they may have
    lost the change in question.

    Args:
        seeds: Peer addresses from the settings of this process.
    """

    def __init__(self, seeds: Iterable[Address]) -> None:
        self._seeds = frozenset(seeds)
        self._revisions: dict[NodeId, Revision] = {}
        self._requested_at: dict[NodeId, float] = {}
        self._voter_count = 0

    def choose_voters(
        self,
        other_members: Sequence[Member],
        max_count: int,
        now: float,
        rng: random.Random,
    ) -> list[Member]:
        """Return the members whose revision is to be requested now.

        Args:
            other_members: All known members except this process.
            max_count: Maximum number of members to return.
            now: Current time in seconds.
            rng: Random source.
        """
        known_nodes = {member.node for member in other_members}
        self._revisions = {
            node: revision
            for node, revision in self._revisions.items()
            if node in known_nodes
        }
        unconnected_seeds = self._seeds - {
            member.peer_address for member in other_members
        }
        self._voter_count = len(other_members) + len(unconnected_seeds)
        due = [
            member
            for member in other_members
            if member.state is not MemberState.UNRESPONSIVE
            and member.node not in self._revisions
            and now - self._requested_at.get(member.node, float("-inf"))
            >= _REPEAT_REQUEST_S
        ]
        selected = rng.sample(due, min(max_count, len(due)))
        for member in selected:
            self._requested_at[member.node] = now
        return selected

    def record_vote(self, node: NodeId, revision: Revision | None) -> None:
        """Record a member's active revision; None if it did not respond."""
        if revision:
            self._revisions[node] = max(
                revision, self._revisions.get(node, Revision(0))
            )

    def decide(self) -> Revision | None:
        """Return the highest reported revision; None without a majority."""
        if not self._voter_count or 2 * len(self._revisions) <= self._voter_count:
            return None
        return max(self._revisions.values())
