"""Limits the rate at which one process calls the platform's store.

The store limits the calls of all processes together, so each process gets a
share of that limit.
"""

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
"""Size of the token bucket, in seconds of the allowed rate."""
_MAX_WAIT_S = 2.0
"""Longest wait of a call for its token; a longer one refuses the call."""


class CallKind(Enum):
    """Kinds of calls, each of which is counted on its own."""

    GET = "get"
    LIST = "list"
    SWAP = "swap"
    DELETE = "delete"
    LEASE = "lease"
    WATCH = "watch"


class BudgetedStore:
    """Limits the calls of one process with a token bucket, and counts them.

    The store limits the calls of all processes together. A process without
    a limit of its own could use up that limit, through a fault or a burst
    of work, and the calls of the other processes would be refused. A call
    waits for its token, and is refused at once with ``LIMITED`` if it would
    wait more than two seconds. Calls that grant, renew or revoke a lease, or
    write a key under one, never wait: a lease that expired because its
    renewal was queued would stop the work that it protects. They use up
    tokens, though, so the other calls wait longer.

    Attributes:
        calls: Number of calls passed on to the store or waiting for their
            token, by kind.
        refused_calls: Number of calls refused here, without a request to
            the store.

    Args:
        store: Executes the calls.
        calls_per_s: Highest average rate of calls.
    """

    def __init__(self, store: Store, calls_per_s: float) -> None:
        self.calls: Counter[CallKind] = Counter()
        self.refused_calls = 0
        self._store = store
        self._calls_per_s = calls_per_s
        self._tokens = calls_per_s * _BURST_S
        self._refilled_at: float | None = None

    async def get(self, key: str) -> Result[StoreValue | None, StoreFault]:
        """See :meth:`Store.get`."""
        if not await self._wait_for_token(CallKind.GET):
            return Err(StoreFault.LIMITED)
        return await self._store.get(key)

    async def list(self, prefix: str) -> Result[StoreListing, StoreFault]:
        """See :meth:`Store.list`."""
        if not await self._wait_for_token(CallKind.LIST):
            return Err(StoreFault.LIMITED)
        return await self._store.list(prefix)

    async def swap(
        self, key: str, value: str, expected: Revision, lease: LeaseId | None = None
    ) -> Result[Revision, StoreFault]:
        """See :meth:`Store.swap`."""
        if lease is not None:
            self._consume_token(CallKind.SWAP)
        elif not await self._wait_for_token(CallKind.SWAP):
            return Err(StoreFault.LIMITED)
        return await self._store.swap(key, value, expected, lease)

    async def delete(self, key: str, expected: Revision) -> Result[None, StoreFault]:
        """See :meth:`Store.delete`."""
        if not await self._wait_for_token(CallKind.DELETE):
            return Err(StoreFault.LIMITED)
        return await self._store.delete(key, expected)

    async def grant(self, ttl_s: float) -> Result[LeaseId, StoreFault]:
        """See :meth:`Store.grant`."""
        self._consume_token(CallKind.LEASE)
        return await self._store.grant(ttl_s)

    async def renew(self, lease: LeaseId) -> Result[None, StoreFault]:
        """See :meth:`Store.renew`."""
        self._consume_token(CallKind.LEASE)
        return await self._store.renew(lease)

    async def revoke(self, lease: LeaseId) -> Result[None, StoreFault]:
        """See :meth:`Store.revoke`."""
        self._consume_token(CallKind.LEASE)
        return await self._store.revoke(lease)

    async def watch(
        self, prefix: str, after: Revision, timeout_s: float
    ) -> Result[WatchBatch, StoreFault]:
        """See :meth:`Store.watch`."""
        if not await self._wait_for_token(CallKind.WATCH):
            return Err(StoreFault.LIMITED)
        return await self._store.watch(prefix, after, timeout_s)

    async def _wait_for_token(self, kind: CallKind) -> bool:
        self._refill()
        wait_s = (1.0 - self._tokens) / self._calls_per_s
        if wait_s > _MAX_WAIT_S:
            self.refused_calls += 1
            return False
        # The token is consumed before the wait, so that each further call
        # waits longer and calls go out in the order in which they arrived.
        self._consume_token(kind)
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        return True

    def _consume_token(self, kind: CallKind) -> None:
        self._refill()
        self.calls[kind] += 1
        self._tokens -= 1.0

    def _refill(self) -> None:
        now = asyncio.get_running_loop().time()
        elapsed_s = 0.0 if self._refilled_at is None else now - self._refilled_at
        self._refilled_at = now
        max_tokens = self._calls_per_s * _BURST_S
        self._tokens = min(max_tokens, self._tokens + elapsed_s * self._calls_per_s)
