"""Divides capacity between customers, and between entry processes.

Each entry process computes the same shares from the same digests, and uses the
part of each share that its own callers ask for. A process leaves the parts of
peers whose digests it doesn't receive to those peers.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from zinniaspool.core.ids import CustomerId

__all__ = [
    "ClassGrant",
    "CustomerShare",
    "LocalShares",
    "PeerCounts",
    "apportion",
    "compute_local_shares",
    "divide_by_urgency",
    "divide_capacity",
]

MIN_CLASS_PART = 0.1
"""Largest part of the capacity that is reserved for one class of urgency so
that it doesn't starve. A class that demands more than this is above its share
and may be served less often than the others."""

MIN_SERVED_RATIO = 0.9
"""Ratio of a class's minimum to the part of its demand that all classes get on
average. More urgent requests that come back are late, so that with 1.0 a less
urgent class was on time more often in a burst of the more urgent (0.38 to
0.376)."""

_ROUNDING = 1e-9
"""Largest difference of shares that is a rounding error."""


@dataclass(frozen=True, slots=True)
class CustomerShare:
    """One customer's share of a service.

    Attributes:
        customer: The customer.
        guaranteed: Requests in progress that it can always have, over the
            fleet.
        weight: Its weight in the division of idle capacity.
    """

    customer: CustomerId
    guaranteed: int
    weight: int


@dataclass(frozen=True, slots=True)
class ClassGrant:
    """What one class of urgency gets of a capacity.

    Attributes:
        demand: Capacity that the class asks for.
        minimum: Capacity that it gets however much the more urgent ask for.
        total: Capacity that it gets.
        customers: The parts of its customers.
    """

    demand: float
    minimum: float
    total: float
    customers: Mapping[CustomerId, float]


@dataclass(frozen=True, slots=True)
class PeerCounts:
    """The entry processes that divide the shares.

    Attributes:
        count: Entry processes that may be serving, including this one.
        reporting: Processes with recent digests, including this one.
        rank: Position of this process among all of them, from 0.
    """

    count: int
    reporting: int
    rank: int


@dataclass(frozen=True, slots=True)
class LocalShares:
    """What this process may admit until the next digests.

    Attributes:
        limits: Requests in progress that each customer may have here.
        guaranteed: How many of those it can always have.
        spare: Further requests, for any customer.
    """

    limits: Mapping[CustomerId, float]
    guaranteed: Mapping[CustomerId, float]
    spare: float


def divide_capacity(
    capacity: float,
    shares: Sequence[CustomerShare],
    demands: Mapping[CustomerId, float],
) -> dict[CustomerId, float]:
    """Divide capacity: guarantees first, then the rest by weight.

    No customer gets more than it asks for, and no capacity is left over while
    a customer asks for more.
    """
    promised = sum(share.guaranteed for share in shares)
    scale = min(1.0, capacity / promised) if promised else 1.0
    granted = {
        share.customer: min(demands.get(share.customer, 0.0), share.guaranteed * scale)
        for share in shares
    }
    remaining = capacity - sum(granted.values())
    unsatisfied = [
        customer_share
        for customer_share in shares
        if demands.get(customer_share.customer, 0.0) > granted[customer_share.customer]
    ]
    while unsatisfied and remaining > _ROUNDING:
        part = remaining / sum(share.weight for share in unsatisfied)
        for share in unsatisfied:
            unmet = demands[share.customer] - granted[share.customer]
            more = min(unmet, part * share.weight)
            granted[share.customer] += more
            remaining -= more
        unsatisfied = [
            share
            for share in unsatisfied
            if demands[share.customer] - granted[share.customer] > _ROUNDING
        ]
    return granted


def divide_by_urgency(
    capacity: float,
    shares: Mapping[int, Sequence[CustomerShare]],
    demands: Mapping[int, Mapping[CustomerId, float]],
) -> dict[int, ClassGrant]:
    """Divide capacity between classes of urgency, then between customers.

    The most urgent class (0) is served first. Each class has a small minimum,
    which is at most the part of its demand that all classes get on average,
    so that no class gets a larger part of its demand than a more urgent one.

    Args:
        capacity: The capacity.
        shares: The customers of each class.
        demands: Their demands, in the unit of the capacity.
    """
    class_demands = {
        urgency: sum(demands.get(urgency, {}).values()) for urgency in sorted(shares)
    }
    total = sum(class_demands.values())
    served_part = min(1.0, capacity / total) if total else 1.0
    minimums = {
        urgency: min(MIN_CLASS_PART * capacity, MIN_SERVED_RATIO * served_part * demand)
        for urgency, demand in class_demands.items()
    }
    remaining = max(0.0, capacity - sum(minimums.values()))
    grants = {}
    for urgency, demand in class_demands.items():
        more = min(remaining, demand - minimums[urgency])
        remaining -= more
        granted = minimums[urgency] + more
        parts = divide_capacity(granted, shares[urgency], demands.get(urgency, {}))
        grants[urgency] = ClassGrant(demand, minimums[urgency], granted, parts)
    return grants


def compute_local_shares(
    capacity: float,
    shares: Sequence[CustomerShare],
    local_demands: Mapping[CustomerId, float],
    peer_demands: Mapping[CustomerId, float],
    peer_counts: PeerCounts,
) -> LocalShares:
    """Return what this process may admit.

    Args:
        capacity: Requests that all upstreams run at a time.
        shares: The customers' shares.
        local_demands: Requests in progress and waiting in this process.
        peer_demands: The same in the other processes that report.
        peer_counts: The entry processes that divide the capacity.
    """
    # Processes that don't report may be serving behind a network partition.
    # Each of them keeps to its own part, as computed below. Leaving that part
    # to them keeps every guarantee, whatever they do.
    reporting_part = peer_counts.reporting / peer_counts.count
    known_capacity = capacity * reporting_part
    demands = {
        share.customer: local_demands.get(share.customer, 0.0)
        + peer_demands.get(share.customer, 0.0)
        for share in shares
    }
    granted = divide_capacity(known_capacity, shares, demands)
    limits, guaranteed = {}, {}
    for position, share in enumerate(shares):
        customer = share.customer
        demand = demands[customer]
        part = local_demands.get(customer, 0.0) / demand if demand else 0.0
        own_part = min(
            float(apportion(share.guaranteed, peer_counts, position)), known_capacity
        )
        limits[customer] = max(part * granted[customer], own_part)
        guaranteed[customer] = max(part * share.guaranteed, own_part)
    idle = known_capacity - sum(granted.values())
    return LocalShares(limits, guaranteed, max(0.0, idle) / peer_counts.reporting)


def apportion(total: int, peer_counts: PeerCounts, position: int) -> int:
    """Return one process's integer part; the parts add up to the total.

    If each part were rounded up, more would be promised than there is. If each
    were rounded down, a small guarantee would be zero everywhere.

    Args:
        total: The number to divide.
        peer_counts: The processes that divide it.
        position: Offset of the ranks, so that the remainders of several
            numbers go to different processes.
    """
    whole, rest = divmod(total, peer_counts.count)
    return whole + ((peer_counts.rank + position) % peer_counts.count < rest)
