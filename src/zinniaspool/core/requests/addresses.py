"""Which entry VMs a caller is told to use."""

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from zinniaspool.core.ids import FailureDomainId, NodeId
from zinniaspool.core.membership import Member, MemberState, Role

__all__ = ["choose_entries"]

_MOST_ADDRESSES = 3
"""Addresses of an answer: one may be dead and one leaving."""
_FAR_WEIGHT = 0.25
"""Weight of a VM in another failure domain against a near one; chosen."""


@dataclass(frozen=True, slots=True)
class _Candidate:
    member: Member
    weight: float


def choose_entries(
    members: Sequence[Member],
    loads: Mapping[NodeId, float],
    near: FailureDomainId,
    source: random.Random,
) -> list[Member]:
    """Return entry VMs in the order in which a caller should try them.

    Callers keep an answer for a while, so each is drawn at random, less
    often the more an entry VM carries: naming the least loaded one to all of
    them would send the next wave of callers there together. The second one
    is of another failure domain where there is one, for a caller whose first
    is lost with its whole domain.

    Args:
        members: The processes known.
        loads: Requests that each entry VM carries.
        near: The failure domain to prefer.
        source: The random source.
    """
    left = [
        _Candidate(member, _weigh(member, loads, near))
        for member in members
        if member.role is Role.ENTRY and member.state is MemberState.READY
    ]
    chosen: list[Member] = []
    while left and len(chosen) < _MOST_ADDRESSES:
        fitting = left
        if len(chosen) == 1:
            first = chosen[0].failure_domain
            others = [c for c in left if c.member.failure_domain != first]
            fitting = others or left
        drawn = source.choices(fitting, [c.weight for c in fitting])[0]
        left.remove(drawn)
        chosen.append(drawn.member)
    return chosen


def _weigh(
    member: Member, loads: Mapping[NodeId, float], near: FailureDomainId
) -> float:
    weight = 1.0 / (1.0 + loads.get(member.node, 0.0))
    return weight if member.failure_domain == near else weight * _FAR_WEIGHT
