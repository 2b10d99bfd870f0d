"""A process stays below its part of the store's calls."""

import asyncio

from result import Err, Ok, Result

from zinniaspool.core.ids import Revision
from zinniaspool.store import BudgetedStore, CallKind, LeaseId, StoreFault
from zinniaspool.store.client import StoreListing, StoreValue, WatchBatch


class _Instant:
    """Answers every call at once."""

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


def test_a_burst_of_calls_is_bounded_and_the_rest_refused_at_once() -> None:
    """A process asks 500 times at once and may ask 10 times a second.

    Twenty go at once and twenty more within two seconds; all others are
    told so immediately, and nothing was asked of the store for them.
    """

    async def burst() -> None:
        store = BudgetedStore(_Instant(), 10.0)
        answers = await asyncio.gather(*(store.get("key") for _ in range(500)))
        refused = sum(isinstance(answer, Err) for answer in answers)
        assert store.calls[CallKind.GET] == 500 - refused == 40
        assert store.limited == refused

    asyncio.run(burst())


def test_a_lease_is_renewed_while_other_calls_wait() -> None:
    """Other work has used up the calls; the lease must not lapse for it."""

    async def renew() -> None:
        store = BudgetedStore(_Instant(), 10.0)
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
