"""Determines which entry processes share which targets.

This is deterministic subsetting. If every process used every target in a fleet
with hundreds of both, a process would get an answer from a target about once a
minute, and load reports between all processes would need messages in the
square of their number. So a few processes of a failure domain share a few of
its targets, and report their loads at these only to each other. Each process
knows those targets as well as in a small fleet, at the same cost however large
the fleet is. It uses the other targets for requests that its own can't run.

All processes compute the same subsets from the same names. While two processes
have different lists of VMs, a target is in a subset too many or too few for a
moment. They then know its load less well, and nothing else depends on it.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from typing import TypeVar
from zlib import crc32

from zinniaspool.core.dispatch.shares import PeerCounts
from zinniaspool.core.fleet import InstanceId
from zinniaspool.core.ids import FailureDomainId, NodeId

__all__ = ["Subset", "assign_domains", "find_subset"]

_Name = TypeVar("_Name", NodeId, InstanceId)

MAX_UNDIVIDED_PROCESSES = 12
"""Entry processes up to which the whole fleet is one subset. What each process
knows of a target's load is then about as recent as the target's answers."""

SUBSET_SIZE = 8
"""Processes of one subset in a larger fleet. As many share all targets in the
smallest fleets, where a process's load estimate of a target is wrong by one
request on average."""

MIN_TARGET_PART = 0.15
"""Part of a target, relative to the largest part that a subset has, below
which the subset leaves it to the others. Of seven slots, this subset would
have one."""


@dataclass(frozen=True, slots=True)
class Subset:
    """The processes that share targets with this one.

    Attributes:
        members: The VMs of these processes and of this one, ordered by rank.
        rank: Position of this process among them.
        domain: The failure domain whose targets they share; None if they share
            all targets of the fleet.
        index: Position of this subset among the domain's subsets, from 0.
        subset_count: Number of the domain's subsets.
    """

    members: tuple[NodeId, ...]
    rank: int
    domain: FailureDomainId | None = None
    index: int = 0
    subset_count: int = 1

    @property
    def peer_counts(self) -> PeerCounts:
        """The number of members and this process's rank among them."""
        return PeerCounts(len(self.members), len(self.members), self.rank)

    @property
    def other_members(self) -> list[NodeId]:
        """The VMs of the other processes in the subset."""
        return [
            name for position, name in enumerate(self.members) if position != self.rank
        ]

    def divide(
        self, targets: Iterable[tuple[InstanceId, FailureDomainId]]
    ) -> dict[InstanceId, float]:
        """Return this subset's targets in one pool, with its part of each.

        The ordered targets of the domain are cut into as many equal pieces as
        there are subsets. A cut seldom falls between two targets; a target
        that is cut belongs to the subsets on both sides. If subsets only had
        whole targets, four subsets with six targets would differ by a half in
        their capacity.
        """
        if self.domain is None:
            return {name: 1.0 for name, _ in targets}
        domain_targets = _shuffle_by_hash(
            name for name, domain in targets if domain == self.domain
        )
        width = len(domain_targets) / self.subset_count
        begin, end = self.index * width, (self.index + 1) * width
        parts = {
            name: min(end, position + 1) - max(begin, position)
            for position, name in enumerate(domain_targets)
        }
        largest_part = max(parts.values(), default=0.0)
        return {
            name: part
            for name, part in parts.items()
            if part >= MIN_TARGET_PART * largest_part > 0
        }


def find_subset(
    local_node: NodeId,
    local_domain: FailureDomainId,
    nodes: Mapping[NodeId, FailureDomainId],
) -> Subset:
    """Return the subset of one process.

    Args:
        local_node: Its VM.
        local_domain: Failure domain of that VM.
        nodes: Failure domain of each VM with an entry process.
    """
    if len(nodes.keys() | {local_node}) <= MAX_UNDIVIDED_PROCESSES:
        names = sorted({*nodes, local_node})
        return Subset(tuple(names), names.index(local_node))
    domain_nodes = {name for name, domain in nodes.items() if domain == local_domain}
    ordered = _shuffle_by_hash(domain_nodes | {local_node})
    count = max(1, round(len(ordered) / SUBSET_SIZE))
    index = ordered.index(local_node) * count // len(ordered)
    members = tuple(
        name
        for position, name in enumerate(ordered)
        if position * count // len(ordered) == index
    )
    return Subset(members, members.index(local_node), local_domain, index, count)


def assign_domains(
    domains: Mapping[NodeId, FailureDomainId],
    evacuated: Collection[FailureDomainId],
) -> dict[NodeId, FailureDomainId]:
    """Return the failure domain whose targets each entry process shares.

    A process in an evacuated failure domain still serves its callers. It
    shares the targets of another domain meanwhile; without a subset it would
    know the load of no target that it may use. These processes are spread
    evenly over the other domains. If all domains are evacuated, nothing
    changes.

    Args:
        domains: The entry processes and their failure domains.
        evacuated: The failure domains that are evacuated.
    """
    left = sorted(set(domains.values()) - set(evacuated))
    if not left:
        return dict(domains)
    moved = _shuffle_by_hash(node for node in domains if domains[node] not in left)
    return {
        **domains,
        **{node: left[rank % len(left)] for rank, node in enumerate(moved)},
    }


def _shuffle_by_hash(names: Iterable[_Name]) -> list[_Name]:
    """Return names in an order that doesn't depend on their origin.

    Names are often given in the order of racks or of age, and VMs that fail
    together would then be in one subset.
    """
    return sorted(set(names), key=lambda name: (crc32(name.encode()), name))
