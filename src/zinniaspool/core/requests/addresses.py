"""Chooses the entry VMs whose addresses a caller receives."""

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from zinniaspool.core.ids import FailureDomainId, NodeId
from zinniaspool.core.membership import Member, MemberState, Role

__all__ = ["choose_entries"]

_MAX_ADDRESSES = 3
"""Maximum number of addresses in an answer. One of the entry VMs may have
failed and one may be leaving."""
_REMOTE_DOMAIN_WEIGHT = 0.25
"""Weight of a VM in another failure domain, relative to a VM in the preferred
failure domain."""


@dataclass(frozen=True, slots=True)
class _Candidate:
    member: Member
    weight: float


def choose_entries(
    members: Sequence[Member],
    loads: Mapping[NodeId, float],
    preferred_domain: FailureDomainId,
    rng: random.Random,
) -> list[Member]:
    """Return entry VMs in the order in which a caller should try them.

    The entry VMs are drawn at random, and a VM with a higher load is drawn
    less often. Callers keep an answer for some time, so if every answer named
    the least loaded VM, the next callers would all go there together. The
    second VM is in another failure domain than the first if possible, for a
    caller whose first VM becomes unreachable with its whole domain.

    Args:
        members: The known processes.
        loads: Number of requests at each entry VM.
        preferred_domain: The failure domain to prefer.
        rng: The random number generator.
    """
    remaining = [
        _Candidate(member, _weigh(member, loads, preferred_domain))
        for member in members
        if member.role is Role.ENTRY and member.state is MemberState.READY
    ]
    chosen: list[Member] = []
    while remaining and len(chosen) < _MAX_ADDRESSES:
        eligible = remaining
        if len(chosen) == 1:
            first = chosen[0].failure_domain
            elsewhere = [c for c in remaining if c.member.failure_domain != first]
            eligible = elsewhere or remaining
        drawn = rng.choices(eligible, [c.weight for c in eligible])[0]
        remaining.remove(drawn)
        chosen.append(drawn.member)
    return chosen


def _weigh(
    member: Member, loads: Mapping[NodeId, float], preferred_domain: FailureDomainId
) -> float:
    weight = 1.0 / (1.0 + loads.get(member.node, 0.0))
    return (
        weight
        if member.failure_domain == preferred_domain
        else weight * _REMOTE_DOMAIN_WEIGHT
    )
