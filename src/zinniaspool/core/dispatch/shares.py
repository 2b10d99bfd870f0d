"""How capacity is shared between customers, and between entry processes.

Each entry process works out the same shares from the same digests, and takes
the part of each share that its own callers ask for. What is unknown, because
peers cannot be heard, is left to them.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from zinniaspool.core.ids import CustomerId

__all__ = [
    "CustomerShare",
    "LocalShares",
    "Peers",
    "share_capacity",
    "share_locally",
    "take_part",
]

_ROUNDING = 1e-9
"""Differences of shares below this come from rounding."""


@dataclass(frozen=True, slots=True)
class CustomerShare:
    """One customer's part of a service.

    Attributes:
        customer: Who.
        guaranteed: Requests in progress it can always have, over the fleet.
        weight: Its part of what is idle.
    """

    customer: CustomerId
    guaranteed: int
    weight: int


@dataclass(frozen=True, slots=True)
class Peers:
    """Which entry processes the shares are divided between.

    Attributes:
        count: Entry processes that may be serving, this one included.
        heard: Those with fresh digests, this one included.
        rank: This one's place among all of them, from 0.
    """

    count: int
    heard: int
    rank: int


@dataclass(frozen=True, slots=True)
class LocalShares:
    """What this process may admit until the next digests.

    Attributes:
        limits: Requests in progress that each customer may have here.
        guaranteed: How many of those it can always have.
        spare: Further ones, for whichever customers ask.
    """

    limits: Mapping[CustomerId, float]
    guaranteed: Mapping[CustomerId, float]
    spare: float


def share_capacity(
    capacity: float,
    shares: Sequence[CustomerShare],
    demands: Mapping[CustomerId, float],
) -> dict[CustomerId, float]:
    """Divide capacity: guarantees first, then the rest by weight.

    Nobody is given more than it asks for, and nothing is left over while
    somebody asks for more.
    """
    promised = sum(share.guaranteed for share in shares)
    scale = min(1.0, capacity / promised) if promised else 1.0
    given = {
        share.customer: min(demands.get(share.customer, 0.0), share.guaranteed * scale)
        for share in shares
    }
    left = capacity - sum(given.values())
    asking = [s for s in shares if demands.get(s.customer, 0.0) > given[s.customer]]
    while asking and left > _ROUNDING:
        part = left / sum(share.weight for share in asking)
        for share in asking:
            lacking = demands[share.customer] - given[share.customer]
            more = min(lacking, part * share.weight)
            given[share.customer] += more
            left -= more
        asking = [
            share
            for share in asking
            if demands[share.customer] - given[share.customer] > _ROUNDING
        ]
    return given


def share_locally(
    capacity: float,
    shares: Sequence[CustomerShare],
    here: Mapping[CustomerId, float],
    elsewhere: Mapping[CustomerId, float],
    peers: Peers,
) -> LocalShares:
    """Return what this process may admit.

    Args:
        capacity: Requests that all upstreams run at a time.
        shares: The customers' parts.
        here: Requests in progress and waiting in this process.
        elsewhere: The same in the other processes that are heard.
        peers: Which processes there are.
    """
    # Processes that are not heard may be serving behind a cut. Each of them
    # keeps to its own part below, so that leaving them that part keeps every
    # guarantee, whatever they do.
    heard = peers.heard / peers.count
    known = capacity * heard
    demands = {
        share.customer: here.get(share.customer, 0.0)
        + elsewhere.get(share.customer, 0.0)
        for share in shares
    }
    given = share_capacity(known, shares, demands)
    limits, guaranteed = {}, {}
    for place, share in enumerate(shares):
        customer = share.customer
        asked = demands[customer]
        part = here.get(customer, 0.0) / asked if asked else 0.0
        own = min(float(take_part(share.guaranteed, peers, place)), known)
        limits[customer] = max(part * given[customer], own)
        guaranteed[customer] = max(part * share.guaranteed, own)
    idle = known - sum(given.values())
    return LocalShares(limits, guaranteed, max(0.0, idle) / peers.heard)


def take_part(guaranteed: int, peers: Peers, place: int) -> int:
    """Return one process's whole-numbered part; all parts add up exactly.

    Rounding each part up would promise more than there is, rounding down
    would leave a small guarantee with nothing anywhere.
    """
    whole, rest = divmod(guaranteed, peers.count)
    return whole + ((peers.rank + place) % peers.count < rest)
