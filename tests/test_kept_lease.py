"""The lease of an entry process while the store fails."""

import asyncio

from result import Err, Ok, Result

from zinniaspool.core.storage import LeaseNumber, StoreFault
from zinniaspool.fleet import RenewedLease


class FailingStore:
    """A store that rejects renewals while it is down."""

    def __init__(self) -> None:
        self.down = False
        self.renewals: list[float] = []

    async def grant(self, ttl_s: float) -> Result[LeaseNumber, StoreFault]:
        return Ok(LeaseNumber(1))

    async def renew(self, lease: LeaseNumber) -> Result[None, StoreFault]:
        self.renewals.append(asyncio.get_running_loop().time())
        return Err(StoreFault.UNAVAILABLE) if self.down else Ok(None)


def test_a_failed_renewal_is_retried_soon() -> None:
    """Otherwise callers don't learn of a VM that serves, for seconds.

    The store is unavailable when the lease is due for renewal. If the renewal
    were retried only after the usual pause, the lease would lapse although the
    store has long been back.
    """
    store = FailingStore()
    pauses: list[float] = []

    async def test() -> None:
        lease = RenewedLease(store, 12.0)  # type: ignore[arg-type]
        loop = asyncio.get_running_loop()
        assert await lease.renew_or_replace()
        store.down = True
        assert not await lease.renew_or_replace()
        began = loop.time()
        await lease.wait_until_due()
        pauses.append(loop.time() - began)
        store.down = False
        assert await lease.renew_or_replace()
        assert lease.trusted

    asyncio.run(test())
    assert 0.9 <= pauses[0] <= 2.0


def test_a_failed_write_under_a_lease_is_retried_soon() -> None:
    """A VM that starts would stay unknown for seconds after a lost write."""
    pauses: list[float] = []

    async def test() -> None:
        lease = RenewedLease(FailingStore(), 12.0)  # type: ignore[arg-type]
        assert await lease.renew_or_replace()
        began = asyncio.get_running_loop().time()
        await lease.wait_until_due(retries=True)
        pauses.append(asyncio.get_running_loop().time() - began)

    asyncio.run(test())
    assert 0.9 <= pauses[0] <= 2.0
