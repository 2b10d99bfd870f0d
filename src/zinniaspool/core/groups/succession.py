"""Which control process takes a fabric domain, and when.

Every process ranks the control processes it knows for each domain in the
same, evenly spread order. The first in the order acts first; the others only
after a silence that grows with their place, so that neither the store nor
the engines are asked by all of them at once.
"""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from zinniaspool.core.ids import FabricDomainId, NodeId

__all__ = ["Duty", "Succession", "SuccessionLimits", "rank_process"]


class Duty(Enum):
    """What a process does for a domain whose lease it does not hold."""

    NONE = "none"
    WITNESS = "witness"
    """Ask the engines and pass on what they report; change nothing. Needs no
    lease: evidence is of use from whoever gives it, and while the store is
    out nobody can take the lease of a holder that died."""

    TAKE = "take"
    """Try to take the lease, and witness meanwhile."""


@dataclass(frozen=True, slots=True)
class SuccessionLimits:
    """Silences after which a process acts.

    Attributes:
        witness_after_s: Without any beat, before witnessing; less than the
            age at which evidence is void, so that groups serve on.
        take_after_s: Without a holder's beat, before taking the lease.
        start_s: The same for a process that has heard nothing yet.
        stagger_s: Added for each place in the order.
    """

    witness_after_s: float = 1.2
    take_after_s: float = 3.0
    start_s: float = 0.3
    stagger_s: float = 0.3


def rank_process(node: NodeId, nodes: Iterable[NodeId], domain: FabricDomainId) -> int:
    """Return a process's place in a domain's order, from 0."""
    own = _weigh(node, domain)
    return sum(_weigh(other, domain) < own for other in nodes if other != node)


def _weigh(node: NodeId, domain: FabricDomainId) -> bytes:
    return hashlib.blake2b(f"{node}|{domain}".encode(), digest_size=8).digest()


@dataclass(slots=True)
class Succession:
    """Decides one process's duty towards one domain from what it hears.

    Attributes:
        limits: Silences after which it acts.
        began_at: When the process began to listen.
    """

    limits: SuccessionLimits
    began_at: float
    _heard_at: float | None = None
    _holder_at: float | None = None
    _heard_rank: int = -1
    _witnesses: bool = False
    _tried_at: float = field(default=float("-inf"))

    def hear(self, holds: bool, ends: bool, rank: int, now: float) -> None:
        """Take another process's beat.

        Args:
            holds: Whether it holds the lease.
            ends: Whether it stops.
            rank: Its place in the domain's order.
            now: Seconds.
        """
        if ends:
            self._heard_at = now - self.limits.witness_after_s
            self._holder_at = now - self.limits.take_after_s
            return
        self._heard_at, self._heard_rank = now, -1 if holds else rank
        if holds:
            self._holder_at = now

    def note_try(self, now: float) -> None:
        """Note that the lease was asked for and not got."""
        self._tried_at = now

    def decide(self, rank: int, now: float) -> Duty:
        """Return what to do now, at this place in the domain's order."""
        stagger_s = rank * self.limits.stagger_s
        if now >= max(self._take_from() + stagger_s, self._tried_at + self._retry_s):
            return Duty.TAKE
        self._witnesses = self._is_witness(rank, now - stagger_s)
        return Duty.WITNESS if self._witnesses else Duty.NONE

    def _is_witness(self, rank: int, now: float) -> bool:
        heard_at = self.began_at if self._heard_at is None else self._heard_at
        if now >= heard_at + self.limits.witness_after_s:
            return True
        # Of two that witness at once, the later in the order stops.
        return self._witnesses and rank < self._heard_rank

    @property
    def _retry_s(self) -> float:
        return self.limits.take_after_s / 2

    def _take_from(self) -> float:
        if self._holder_at is None:
            return self.began_at + self.limits.start_s
        return self._holder_at + self.limits.take_after_s
