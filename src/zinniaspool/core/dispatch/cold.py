"""Limits the requests to a cold upstream without asking any other process.

An upstream is cold for some seconds after a start and crashes well above a
rate of requests from all VMs together. VMs that can't communicate must keep to
that rate as well, so that they can't count their requests together. Each cold
upstream is assigned to as many entry VMs as can have one request a second
each, by rendezvous hashing (highest random weight) over the known entry VMs.
Each of these has a fixed share, and the others send nothing there.
"""

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b

from zinniaspool.core.fleet import InstanceIncarnation
from zinniaspool.core.ids import FailureDomainId, NodeId

__all__ = ["WINDOW_S", "ColdBound", "ColdShare", "find_cold_share"]

WINDOW_S = 1.0
"""Window in which requests to a cold upstream are counted, in seconds."""

LIST_MARGIN = 2.0
"""Part of the bound, as a divisor, that is given out while all VMs agree on
the list of entry VMs. If each VM's list lacks a random third of the VMs, half
as many VMs again count themselves among those with a share: 37 at most in 150
trials with 33 to 90 VMs each, where 22 are meant and 44 are allowed."""

_HASH_BYTES = 8


@dataclass(frozen=True, slots=True)
class ColdBound:
    """How many requests a cold upstream may get in any second.

    Attributes:
        over: Factor on the rate that its service's configuration names.
        slack: Requests that are added to that.
    """

    over: float
    slack: float

    def count_shared(self, per_s: float) -> int:
        """Return how many requests in a window all shares add up to.

        Args:
            per_s: Requests a second that the configuration names.
        """
        allowed = per_s * self.over + self.slack
        return int(min(per_s, allowed / LIST_MARGIN))


class ColdShare:
    """One process's share of one cold upstream, in a sliding window.

    Args:
        until: Time at which the upstream is warm, in seconds.

    Attributes:
        until: As above.
        requests: Requests that this process may send in a window.
        opens_at: Time until which the share counts as used up, in seconds.
            A process that has just started doesn't know what it sent before.
    """

    def __init__(self, until: float) -> None:
        self.until = until
        self.requests = 0
        self.opens_at = -math.inf
        self._sent: deque[float] = deque()

    def find_opening(self) -> float:
        """Return when the next request may be sent, in seconds."""
        if not self.requests:
            return self.until
        opening = self.opens_at
        if len(self._sent) >= self.requests:
            opening = max(opening, self._sent[-self.requests] + WINDOW_S)
        return min(self.until, opening)

    def record_request(self, now: float) -> None:
        """Count a request that this process sends.

        Args:
            now: Seconds.
        """
        while self._sent and self._sent[0] <= now - WINDOW_S:
            self._sent.popleft()
        self._sent.append(now)


def find_cold_share(
    node: NodeId,
    nodes: Mapping[NodeId, FailureDomainId],
    incarnation: InstanceIncarnation,
    failure_domain: FailureDomainId,
    shared: int,
) -> int:
    """Return the requests in a window that a VM may send to a cold upstream.

    VMs in the upstream's failure domain come first, since they share their
    load reports of it and would otherwise have to do without it.

    Args:
        node: The VM.
        nodes: All known entry VMs and their failure domains.
        incarnation: The upstream.
        failure_domain: The upstream's failure domain.
        shared: Requests in a window that all shares add up to.

    Returns:
        0 if the VM has no share, as also a VM that no list names.
    """
    if node not in nodes or not shared:
        return 0
    if len(nodes) <= shared:
        return shared // len(nodes)

    def rank(other: NodeId) -> tuple[bool, bytes]:
        return nodes[other] != failure_domain, _hash(other, incarnation)

    own_rank = rank(node)
    preceding = sum(rank(other) < own_rank for other in nodes)
    return 1 if preceding < shared else 0


def _hash(node: NodeId, incarnation: InstanceIncarnation) -> bytes:
    text = f"{node}\0{incarnation.instance}\0{incarnation.started_at_ms}"
    return blake2b(text.encode(), digest_size=_HASH_BYTES).digest()
