"""What a process needs of the store that the whole fleet shares."""

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

    An answer that did not come leaves open whether a write was done, and it
    may still be done seconds later: such a call ends in ``UNKNOWN``, and its
    caller reads the key before it believes either.

    Attributes:
        calls: Calls made so far, by kind and outcome.
    """

    calls: Counter[tuple[StoreCall, str]]

    async def get(self, key: str) -> Result[StoredItem | None, StoreFault]:
        """Return a key's item, or None when it is absent."""
        ...

    async def probe(self) -> bool:
        """Tell whether the store answers at all."""
        ...

    async def read(self, prefix: str) -> Result[RangeResult, StoreFault]:
        """Return all items below a prefix."""
        ...

    async def watch(
        self, prefix: str, after: Revision, wait_s: float, overdue_s: float
    ) -> Result[WatchResult, StoreFault]:
        """Wait for changes below a prefix later than a revision.

        Args:
            prefix: Of the keys.
            after: The revision.
            wait_s: For how long the store may wait for a change.
            overdue_s: How much later its answer may come.
        """
        ...

    async def commit(
        self,
        expected: Sequence[tuple[str, Revision]],
        writes: Sequence[KeyWrite] = (),
        removals: Sequence[str] = (),
    ) -> Result[Revision, StoreFault]:
        """Write and remove keys if all expected ones are as expected.

        Args:
            expected: Keys and their revisions; 0 for an absent one.
            writes: What to write.
            removals: Keys to remove.
        """
        ...

    async def grant(self, ttl_s: float) -> Result[LeaseNumber, StoreFault]:
        """Return a new lease; keys written under it go when it ends."""
        ...

    async def renew(self, lease: LeaseNumber) -> Result[None, StoreFault]:
        """Start a lease's time anew."""
        ...

    async def end_lease(self, lease: LeaseNumber) -> Result[None, StoreFault]:
        """End a lease and remove its keys."""
        ...
