"""Rate limit on the calls of one process to the store."""

import asyncio

from result import Err, Ok, Result

from tests.virtual_time import run_in_virtual_time
from zinniaspool.core.ids import Revision
from zinniaspool.store import BudgetedStore, CallKind, LeaseId, StoreFault
from zinniaspool.store.client import StoreListing, StoreValue, WatchBatch


class _InstantStore:
    """Store that responds to every call at once."""

    async def get(self, key: str) -> Result[StoreValue | None, StoreFault]:
        return Ok(None)

    async def list(self, prefix: str) -> Result[StoreListing, StoreFault]:
        return Ok(StoreListing((), Revision(0)))

    async def swap(
        self, key: str, value: str, expected: Revision, lease: LeaseId | None = None
    ) -> Result[Revision, StoreFault]:
        return Ok(Revision(1))

    async def delete(self, key: str, expected: Revision) -> Result[None, StoreFault]:
        return Ok(None)

    async def grant(self, ttl_s: float) -> Result[LeaseId, StoreFault]:
        return Ok(LeaseId("lease"))

    async def renew(self, lease: LeaseId) -> Result[None, StoreFault]:
        return Ok(None)

    async def revoke(self, lease: LeaseId) -> Result[None, StoreFault]:
        return Ok(None)

    async def watch(
        self, prefix: str, after: Revision, timeout_s: float
    ) -> Result[WatchBatch, StoreFault]:
        return Ok(WatchBatch((), Revision(0)))


def test_burst_is_bounded_and_excess_calls_are_refused_at_once() -> None:
    """A process makes 500 calls at once with a limit of 10 calls a second.

    Twenty calls go out at once and twenty more within two seconds. All
    others are refused immediately, and none of them reaches the store.
    """

    async def burst() -> None:
        store = BudgetedStore(_InstantStore(), 10.0)
        results = await asyncio.gather(*(store.get("key") for _ in range(500)))
        refused = sum(isinstance(result, Err) for result in results)
        assert store.calls[CallKind.GET] == 500 - refused == 40
        assert store.refused_calls == refused

    run_in_virtual_time(burst)


def test_lease_is_renewed_while_other_calls_wait() -> None:
    """The lease must not expire because other calls used up the budget."""

    async def renew() -> None:
        store = BudgetedStore(_InstantStore(), 10.0)
        waiting = [asyncio.create_task(store.get("key")) for _ in range(100)]
        await asyncio.sleep(0)
        renewing = asyncio.create_task(store.renew(LeaseId("lease")))
        done, _ = await asyncio.wait(
            [renewing, *waiting], return_when=asyncio.FIRST_COMPLETED
        )
        await asyncio.sleep(0)
        assert renewing.done()
        assert not all(task.done() for task in waiting)
        for task in waiting:
            task.cancel()

    asyncio.run(renew())
