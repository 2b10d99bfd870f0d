"""State of the platform's key-value service, without input or output."""

from collections import deque
from dataclasses import dataclass, field

from zinniaspool.core.ids import Revision
from zinniaspool.store.client import (
    LeaseId,
    StoreChange,
    StoreFault,
    StoreListing,
    StoreValue,
    WatchBatch,
)

__all__ = ["CallBudget", "KeyValueState", "StoreFaults"]

MOST_VALUE_BYTES = 1_000_000
_KEPT_CHANGES = 100_000


@dataclass(slots=True)
class StoreFaults:
    """The faults that are switched on.

    Attributes:
        out: Every call is refused.
        delay_s: Every call waits this long before it takes effect.
        lose_answers: How many of the next writes take effect and have their
            answers lost.
        hang: Every call waits until this is switched off.
        calls_per_s: Most calls a second, a waiting watch counted as one.
        writes_per_s: Most writes among them a second.
    """

    out: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    hang: bool = False
    calls_per_s: float = 2000.0
    writes_per_s: float = 400.0


class CallBudget:
    """How many calls may still be made within a rate, a second's worth.

    Args:
        per_s: The rate; also the most that can be saved up.
    """

    def __init__(self, per_s: float) -> None:
        self._left = per_s
        self._at = 0.0

    def take(self, per_s: float, now: float) -> bool:
        """Count a call; False when the rate is used up."""
        self._left = min(per_s, self._left + (now - self._at) * per_s)
        self._at = now
        if self._left < 1:
            return False
        self._left -= 1
        return True


@dataclass(slots=True)
class _Lease:
    ttl_s: float
    ends: float
    keys: set[str] = field(default_factory=set)


class KeyValueState:
    """Keys, leases and the recent changes; the caller gives the time."""

    def __init__(self) -> None:
        self.revision = Revision(0)
        self._values: dict[str, StoreValue] = {}
        self._leases: dict[LeaseId, _Lease] = {}
        self._lease_of: dict[str, LeaseId] = {}
        self._changes: deque[StoreChange] = deque(maxlen=_KEPT_CHANGES)
        self._granted = 0

    def get(self, key: str) -> StoreValue | None:
        """Return a key's value."""
        return self._values.get(key)

    def list(self, prefix: str) -> StoreListing:
        """Return the values below a prefix, by key."""
        found = (self._values[key] for key in sorted(self._values))
        values = tuple(value for value in found if value.key.startswith(prefix))
        return StoreListing(values, self.revision)

    def swap(
        self, key: str, value: str, expected: Revision, lease: LeaseId | None
    ) -> Revision | StoreFault:
        """Write if the key is at ``expected``."""
        if self._revision_of(key) != expected:
            return StoreFault.CONFLICT
        if lease is not None and lease not in self._leases:
            return StoreFault.NO_LEASE
        self._unbind(key)
        if lease is not None:
            self._leases[lease].keys.add(key)
            self._lease_of[key] = lease
        self._record(key, value)
        return self.revision

    def delete(self, key: str, expected: Revision) -> StoreFault | None:
        """Delete if the key is at ``expected``."""
        if self._revision_of(key) != expected:
            return StoreFault.CONFLICT
        if key in self._values:
            self._unbind(key)
            self._record(key, None)
        return None

    def grant(self, ttl_s: float, now: float) -> LeaseId:
        """Return a new lease."""
        self._granted += 1
        lease = LeaseId(f"lease-{self._granted}")
        self._leases[lease] = _Lease(ttl_s, now + ttl_s)
        return lease

    def renew(self, lease: LeaseId, now: float) -> bool:
        """Start a lease's time anew; False when it has lapsed."""
        found = self._leases.get(lease)
        if found is None:
            return False
        found.ends = now + found.ttl_s
        return True

    def revoke(self, lease: LeaseId) -> bool:
        """End a lease and delete its keys."""
        found = self._leases.pop(lease, None)
        if found is None:
            return False
        for key in sorted(found.keys):
            self._lease_of.pop(key, None)
            self._record(key, None)
        return True

    def lapse(self, now: float) -> None:
        """End the leases whose time is over."""
        for lease in [name for name, held in self._leases.items() if held.ends <= now]:
            self.revoke(lease)

    def changes(self, prefix: str, after: Revision) -> WatchBatch:
        """Return the changes below a prefix later than a revision."""
        recent: list[StoreChange] = []
        for change in reversed(self._changes):
            if change.revision <= after:
                break
            if change.key.startswith(prefix):
                recent.append(change)
        return WatchBatch(tuple(reversed(recent)), self.revision)

    def _revision_of(self, key: str) -> Revision:
        found = self._values.get(key)
        return found.revision if found else Revision(0)

    def _record(self, key: str, value: str | None) -> None:
        self.revision = Revision(self.revision + 1)
        if value is None:
            self._values.pop(key, None)
        else:
            self._values[key] = StoreValue(key, value, self.revision)
        self._changes.append(StoreChange(key, value, self.revision))

    def _unbind(self, key: str) -> None:
        lease = self._lease_of.pop(key, None)
        if lease is not None and lease in self._leases:
            self._leases[lease].keys.discard(key)
