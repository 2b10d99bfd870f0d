"""Which entry processes share which targets, in a fleet of any size.

Pattern: deterministic subsetting. Were every process to use every target, each
would hear of a target by its answers about once a minute where there are
hundreds of both, and telling each other would take messages by the square of
the processes. So a few processes of a failure domain share a few of its
targets and tell only each other what they have there. Each knows those targets
as well as in a small fleet, for the same cost however large the fleet is; the
other targets are there for what these cannot take.

Everybody works out the same subsets from the same names. While two processes
differ on which VMs there are, a target is in a subset too many or too few for
a moment, which costs them some knowledge of its load and nothing else.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import TypeVar
from zlib import crc32

from zinniaspool.core.dispatch.shares import Peers
from zinniaspool.core.fleet import InstanceId
from zinniaspool.core.ids import FailureDomainId, NodeId

__all__ = ["Subset", "find_subset"]

_Name = TypeVar("_Name", NodeId, InstanceId)

MOST_TOGETHER = 12
"""Entry processes up to which the whole fleet is one subset: each then has a
target's load about as fresh as the targets' answers are."""

SUBSET_SIZE = 8
"""Processes of one subset in a larger fleet: as many as share all targets in
the smallest fleets, where what each believes of a target is wrong by one
request on average."""

LEAST_PART = 0.15
"""Part of a target, against the largest that a subset has, below which it is
left to the others: of seven slots, one would be this subset's."""


@dataclass(frozen=True, slots=True)
class Subset:
    """The processes that share targets with this one.

    Attributes:
        members: They and this one, in the order in which they are ranked.
        rank: This one's place among them.
        domain: The failure domain whose targets they share; None for all
            targets there are.
        number: Which of that domain's subsets this is, from 0.
        count: How many subsets that domain has.
    """

    members: tuple[NodeId, ...]
    rank: int
    domain: FailureDomainId | None = None
    number: int = 0
    count: int = 1

    @property
    def peers(self) -> Peers:
        """The same as a number of processes that divide something."""
        return Peers(len(self.members), len(self.members), self.rank)

    @property
    def others(self) -> list[NodeId]:
        """The other members."""
        return [name for place, name in enumerate(self.members) if place != self.rank]

    def divide(
        self, targets: Iterable[tuple[InstanceId, FailureDomainId]]
    ) -> dict[InstanceId, float]:
        """Return the targets of one pool that are this subset's, by its part.

        The domain's targets in a row are cut into as many equal pieces as
        there are subsets. Seldom does a cut fall between two targets; one that
        is cut belongs to both sides. Given whole ones only, the subsets of six
        targets and four subsets would differ by a half in what they can take.
        """
        if self.domain is None:
            return {name: 1.0 for name, _ in targets}
        near = _order(name for name, domain in targets if domain == self.domain)
        width = len(near) / self.count
        begin, end = self.number * width, (self.number + 1) * width
        parts = {
            name: min(end, place + 1) - max(begin, place)
            for place, name in enumerate(near)
        }
        most = max(parts.values(), default=0.0)
        return {
            name: part for name, part in parts.items() if part >= LEAST_PART * most > 0
        }


def find_subset(
    own: NodeId, own_domain: FailureDomainId, nodes: Mapping[NodeId, FailureDomainId]
) -> Subset:
    """Return the subset of one process.

    Args:
        own: Its VM.
        own_domain: That VM's failure domain.
        nodes: All VMs with an entry process, by failure domain.
    """
    if len(nodes.keys() | {own}) <= MOST_TOGETHER:
        names = sorted({*nodes, own})
        return Subset(tuple(names), names.index(own))
    near = {name for name, domain in nodes.items() if domain == own_domain}
    ordered = _order(near | {own})
    count = max(1, round(len(ordered) / SUBSET_SIZE))
    number = ordered.index(own) * count // len(ordered)
    members = tuple(
        name
        for place, name in enumerate(ordered)
        if place * count // len(ordered) == number
    )
    return Subset(members, members.index(own), own_domain, number, count)


def _order(names: Iterable[_Name]) -> list[_Name]:
    """Return names in an order that says nothing about where they came from.

    Names are often given in the order of racks or of age; VMs that are lost
    together would then be those of one subset.
    """
    return sorted(set(names), key=lambda name: (crc32(name.encode()), name))
