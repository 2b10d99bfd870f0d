"""A process's part of what the platform's store can take."""

import asyncio
from collections import Counter
from enum import Enum

from result import Err, Result

from zinniaspool.core.ids import Revision
from zinniaspool.store.client import (
    LeaseId,
    Store,
    StoreFault,
    StoreListing,
    StoreValue,
    WatchBatch,
)

__all__ = ["BudgetedStore", "CallKind"]

_BURST_S = 2.0
"""Seconds' worth of calls that may come at once."""
_LONGEST_WAIT_S = 2.0
"""Seconds that a call waits for its turn."""


class CallKind(Enum):
    """The kinds of calls that are counted."""

    GET = "get"
    LIST = "list"
    SWAP = "swap"
    DELETE = "delete"
    LEASE = "lease"
    WATCH = "watch"


class BudgetedStore:
    """Keeps the calls of one process below a rate, and counts them.

    The store counts the calls of all processes together. One that asks
    without limit, for a fault of its own or in a burst of work, would have
    the others' calls refused. Calls wait for their turn, and are refused when
    it does not come within two seconds. Calls that keep a lease never wait:
    a lease lapsed for want of a turn would stop what it protects.

    Args:
        store: Does the calls.
        calls_per_s: Most calls a second on average.
    """

    def __init__(self, store: Store, calls_per_s: float) -> None:
        self.calls: Counter[CallKind] = Counter()
        self.limited = 0
        self._store = store
        self._rate = calls_per_s
        self._left = calls_per_s * _BURST_S
        self._filled_at: float | None = None

    async def get(self, key: str) -> Result[StoreValue | None, StoreFault]:
        """See :meth:`Store.get`."""
        if not await self._take_turn(CallKind.GET):
            return Err(StoreFault.LIMITED)
        return await self._store.get(key)

    async def list(self, prefix: str) -> Result[StoreListing, StoreFault]:
        """See :meth:`Store.list`."""
        if not await self._take_turn(CallKind.LIST):
            return Err(StoreFault.LIMITED)
        return await self._store.list(prefix)

    async def swap(
        self, key: str, value: str, expected: Revision, lease: LeaseId | None = None
    ) -> Result[Revision, StoreFault]:
        """See :meth:`Store.swap`."""
        if lease is not None:
            self._count(CallKind.SWAP)
        elif not await self._take_turn(CallKind.SWAP):
            return Err(StoreFault.LIMITED)
        return await self._store.swap(key, value, expected, lease)

    async def delete(self, key: str, expected: Revision) -> Result[None, StoreFault]:
        """See :meth:`Store.delete`."""
        if not await self._take_turn(CallKind.DELETE):
            return Err(StoreFault.LIMITED)
        return await self._store.delete(key, expected)

    async def grant(self, ttl_s: float) -> Result[LeaseId, StoreFault]:
        """See :meth:`Store.grant`."""
        self._count(CallKind.LEASE)
        return await self._store.grant(ttl_s)

    async def renew(self, lease: LeaseId) -> Result[None, StoreFault]:
        """See :meth:`Store.renew`."""
        self._count(CallKind.LEASE)
        return await self._store.renew(lease)

    async def revoke(self, lease: LeaseId) -> Result[None, StoreFault]:
        """See :meth:`Store.revoke`."""
        self._count(CallKind.LEASE)
        return await self._store.revoke(lease)

    async def watch(
        self, prefix: str, after: Revision, timeout_s: float
    ) -> Result[WatchBatch, StoreFault]:
        """See :meth:`Store.watch`."""
        if not await self._take_turn(CallKind.WATCH):
            return Err(StoreFault.LIMITED)
        return await self._store.watch(prefix, after, timeout_s)

    async def _take_turn(self, kind: CallKind) -> bool:
        self._refill()
        wait_s = (1.0 - self._left) / self._rate
        if wait_s > _LONGEST_WAIT_S:
            self.limited += 1
            return False
        # Taken before the wait, so that calls that wait stand in a queue.
        self._count(kind)
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        return True

    def _count(self, kind: CallKind) -> None:
        self._refill()
        self.calls[kind] += 1
        self._left -= 1.0

    def _refill(self) -> None:
        now = asyncio.get_running_loop().time()
        earned = 0.0 if self._filled_at is None else now - self._filled_at
        self._filled_at = now
        most = self._rate * _BURST_S
        self._left = min(most, self._left + earned * self._rate)
