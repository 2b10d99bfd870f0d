"""A store that loses, delays and reorders the writes of its callers."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from result import Err, Ok, Result

from zinniaspool.core.fleet import StoredItem
from zinniaspool.core.ids import Revision
from zinniaspool.core.storage import KeyWrite, LeaseNumber, StoreCall, StoreFault

__all__ = ["Fate", "LossyStore", "PendingWrite"]


class Fate(Enum):
    """What happens to a call."""

    ANSWERED = "answered"
    DONE = "done"
    """It is done at once, and the answer is lost."""

    LATE = "late"
    """It is done when the test says so, and not answered."""

    DROPPED = "dropped"
    """It is never done, and not answered."""


@dataclass(frozen=True)
class PendingWrite:
    """A write that is not answered and may be done later."""

    expected: tuple[tuple[str, Revision], ...]
    writes: tuple[KeyWrite, ...]
    removals: tuple[str, ...]


@dataclass
class LossyStore:
    """Implements the parts of ``FleetStore`` that read and write single keys.

    Attributes:
        fates: Fates of the next writes; those beyond them are answered.
        loses_reads: Whether reads and ends of leases are not answered.
        pending: The writes that may still be done.
        leases: The keys under each lease that has not ended.
        lifetimes: The lifetime of each lease, in seconds.
        history: All items that were ever written.
    """

    fates: list[Fate] = field(default_factory=list)
    loses_reads: bool = False
    items: dict[str, StoredItem] = field(default_factory=dict)
    revision: int = 0
    pending: list[PendingWrite] = field(default_factory=list)
    leases: dict[LeaseNumber, set[str]] = field(default_factory=dict)
    lifetimes: dict[LeaseNumber, float] = field(default_factory=dict)
    history: list[StoredItem] = field(default_factory=list)
    calls: Counter[tuple[StoreCall, str]] = field(default_factory=Counter)
    _granted: int = 0

    async def get(self, key: str) -> Result[StoredItem | None, StoreFault]:
        """Return a key's item, or None when it is absent."""
        if self.loses_reads:
            return Err(StoreFault.UNKNOWN)
        return Ok(self.items.get(key))

    async def commit(
        self,
        expected: Sequence[tuple[str, Revision]],
        writes: Sequence[KeyWrite] = (),
        removals: Sequence[str] = (),
    ) -> Result[Revision, StoreFault]:
        """Write and remove keys, or do what the next fate says."""
        write = PendingWrite(tuple(expected), tuple(writes), tuple(removals))
        match self.fates.pop(0) if self.fates else Fate.ANSWERED:
            case Fate.ANSWERED:
                return self.apply(write)
            case Fate.DONE:
                self.apply(write)
            case Fate.LATE:
                self.pending.append(write)
        return Err(StoreFault.UNKNOWN)

    async def grant(self, ttl_s: float) -> Result[LeaseNumber, StoreFault]:
        """Return a new lease."""
        self._granted += 1
        lease = LeaseNumber(self._granted)
        self.leases[lease] = set()
        self.lifetimes[lease] = ttl_s
        return Ok(lease)

    async def renew(self, lease: LeaseNumber) -> Result[None, StoreFault]:
        """Renew a lease that has not ended."""
        return Ok(None) if lease in self.leases else Err(StoreFault.NO_LEASE)

    async def end_lease(self, lease: LeaseNumber) -> Result[None, StoreFault]:
        """End a lease, unless the store doesn't answer."""
        if self.loses_reads:
            return Err(StoreFault.UNKNOWN)
        if lease not in self.leases:
            return Err(StoreFault.NO_LEASE)
        self.expire(lease)
        return Ok(None)

    def expire(self, lease: LeaseNumber) -> None:
        """End a lease and remove its keys."""
        for key in self.leases.pop(lease, set()):
            self.items.pop(key, None)
            self.revision += 1

    def apply(self, write: PendingWrite) -> Result[Revision, StoreFault]:
        """Do a write if all its keys are as it expects."""
        for key, revision in write.expected:
            item = self.items.get(key)
            if (item.revision if item is not None else 0) != revision:
                return Err(StoreFault.CONFLICT)
        if any(one.lease and one.lease not in self.leases for one in write.writes):
            return Err(StoreFault.NO_LEASE)
        self.revision += 1
        for one in write.writes:
            item = StoredItem(one.key, one.value, Revision(self.revision))
            self.items[one.key] = item
            self.history.append(item)
            for keys in self.leases.values():
                keys.discard(one.key)
            if one.lease:
                self.leases[one.lease].add(one.key)
        for key in write.removals:
            self.items.pop(key, None)
        return Ok(Revision(self.revision))

    def apply_late(self, number: int = 0) -> None:
        """Do one of the writes that were delayed."""
        self.apply(self.pending.pop(number))
