"""Interface of the key-value store that the whole fleet shares."""

from collections import Counter
from collections.abc import Sequence
from typing import Protocol

from result import Result

from zinniaspool.core.fleet import StoredItem
from zinniaspool.core.ids import Revision
from zinniaspool.core.storage import (
    KeyWrite,
    LeaseNumber,
    RangeResult,
    StoreCall,
    StoreFault,
    WatchResult,
)

__all__ = ["FleetStore"]


class FleetStore(Protocol):
    """Calls to the store.

    If no answer to a write arrives, it is unknown whether the store applied
    it, and the store may still apply it seconds later. Such a call returns
    ``UNKNOWN``, and its caller must read the key to find out.

    Attributes:
        calls: Number of calls made so far, by kind and outcome.
    """

    calls: Counter[tuple[StoreCall, str]]

    async def get(self, key: str) -> Result[StoredItem | None, StoreFault]:
        """Return a key's item, or None when it is absent."""
        ...

    async def probe(self) -> bool:
        """Return whether the store answers at all."""
        ...

    async def read(self, prefix: str) -> Result[RangeResult, StoreFault]:
        """Return all items below a prefix."""
        ...

    async def watch(
        self, prefix: str, after: Revision, wait_s: float, overdue_s: float
    ) -> Result[WatchResult, StoreFault]:
        """Wait for changes below a prefix later than a revision.

        Args:
            prefix: Prefix of the keys.
            after: The revision.
            wait_s: How long the store may wait for a change, in seconds.
            overdue_s: How much later its answer may arrive, in seconds.
        """
        ...

    async def commit(
        self,
        expected: Sequence[tuple[str, Revision]],
        writes: Sequence[KeyWrite] = (),
        removals: Sequence[str] = (),
    ) -> Result[Revision, StoreFault]:
        """Write and remove keys if all expected keys have their revisions.

        Args:
            expected: Keys and their revisions; 0 for an absent key.
            writes: Keys to write, with their values and leases.
            removals: Keys to remove.
        """
        ...

    async def grant(self, ttl_s: float) -> Result[LeaseNumber, StoreFault]:
        """Return a new lease, whose end removes the keys written under it."""
        ...

    async def renew(self, lease: LeaseNumber) -> Result[None, StoreFault]:
        """Renew a lease for its full lifetime."""
        ...

    async def end_lease(self, lease: LeaseNumber) -> Result[None, StoreFault]:
        """End a lease and remove its keys."""
        ...
