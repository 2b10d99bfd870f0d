"""Failover: which control process takes over a fabric domain, and when.

Every process computes the same ranking of the control processes it knows for
each domain; the rankings of the domains spread evenly over the processes. The
process of the first rank acts first, the others only after a time without
heartbeats that grows with their rank, so that not all processes call the
store and the engines at once.
"""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from zinniaspool.core.ids import FabricDomainId, NodeId

__all__ = ["DomainFailover", "DomainRole", "FailoverLimits", "rank_process"]


_STANDBY_COUNT = 2
"""Number of first ranks that are standbys; the holder usually has one of
them."""


class DomainRole(Enum):
    """The role of a process for a domain whose lease it does not hold."""

    NONE = "none"
    """The process does nothing for the domain."""

    STANDBY = "standby"
    """The process polls the engines and publishes nothing. It knows their
    reports at the moment at which the holder's heartbeats stop."""

    WITNESS = "witness"
    """The process polls the engines and publishes their reports, but changes
    nothing. It needs no lease: evidence is useful from any process, and no
    process can acquire the lease of a failed holder while the store is
    unreachable."""

    CANDIDATE = "take"
    """The process tries to acquire the lease, and is a witness meanwhile."""


@dataclass(frozen=True, slots=True)
class FailoverLimits:
    """Times without a heartbeat after which a process acts.

    Attributes:
        witness_after_s: Time without any heartbeat until the process becomes
            a witness. It is shorter than the age above which evidence is
            ignored, so that groups continue to serve.
        acquire_after_s: Time without the holder's heartbeat until the
            process tries to acquire the lease.
        first_acquire_after_s: The same for a process that has not received
            any of the holder's heartbeats since it started.
        stagger_s: Time added to each of these for each rank.
    """

    witness_after_s: float = 0.9
    acquire_after_s: float = 3.0
    first_acquire_after_s: float = 0.3
    stagger_s: float = 0.1


def rank_process(node: NodeId, nodes: Iterable[NodeId], domain: FabricDomainId) -> int:
    """Return a process's rank for a domain, from 0."""
    node_hash = _hash_rank(node, domain)
    return sum(
        _hash_rank(other, domain) < node_hash for other in nodes if other != node
    )


def _hash_rank(node: NodeId, domain: FabricDomainId) -> bytes:
    return hashlib.blake2b(f"{node}|{domain}".encode(), digest_size=8).digest()


@dataclass(slots=True)
class DomainFailover:
    """Decides one process's role for one domain by received heartbeats.

    Attributes:
        limits: Times without a heartbeat after which the process acts.
        started_at: When the process started to receive heartbeats.
    """

    limits: FailoverLimits
    started_at: float
    _heartbeat_at: float | None = None
    _holder_heartbeat_at: float | None = None
    _heartbeat_rank: int = -1
    _is_witnessing: bool = False
    _attempted_at: float = field(default=float("-inf"))

    def on_heartbeat(self, holds: bool, ends: bool, rank: int, now: float) -> None:
        """Handle a heartbeat of another process.

        Args:
            holds: Whether the other process holds the lease.
            ends: Whether the other process stops.
            rank: The other process's rank for the domain.
            now: Seconds, on this process's clock.
        """
        if ends:
            self._heartbeat_at = now - self.limits.witness_after_s
            self._holder_heartbeat_at = now - self.limits.acquire_after_s
            return
        self._heartbeat_at, self._heartbeat_rank = now, -1 if holds else rank
        if holds:
            self._holder_heartbeat_at = now

    def on_acquire_attempt(self, now: float) -> None:
        """Record an attempt to acquire the lease.

        The next attempt follows after half of ``acquire_after_s``.
        """
        self._attempted_at = now

    def decide_role(self, rank: int, now: float) -> DomainRole:
        """Return the process's role now, given its rank for the domain."""
        stagger_s = rank * self.limits.stagger_s
        if now >= max(
            self._find_acquire_time() + stagger_s, self._attempted_at + self._retry_s
        ):
            return DomainRole.CANDIDATE
        self._is_witnessing = self._should_witness(rank, now - stagger_s)
        if self._is_witnessing:
            return DomainRole.WITNESS
        return DomainRole.STANDBY if rank < _STANDBY_COUNT else DomainRole.NONE

    def _should_witness(self, rank: int, now: float) -> bool:
        heartbeat_at = (
            self.started_at if self._heartbeat_at is None else self._heartbeat_at
        )
        if now >= heartbeat_at + self.limits.witness_after_s:
            return True
        # Of two concurrent witnesses, the one of the higher rank number
        # stops.
        return self._is_witnessing and rank < self._heartbeat_rank

    @property
    def _retry_s(self) -> float:
        return self.limits.acquire_after_s / 2

    def _find_acquire_time(self) -> float:
        if self._holder_heartbeat_at is None:
            return self.started_at + self.limits.first_acquire_after_s
        return self._holder_heartbeat_at + self.limits.acquire_after_s
