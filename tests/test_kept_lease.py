"""The lease of an entry process, through a store that fails."""

import asyncio

from result import Err, Ok, Result

from zinniaspool.core.storage import LeaseNumber, StoreFault
from zinniaspool.fleet import KeptLease


class FailingStore:
    """A store that answers no renewal while it is down."""

    def __init__(self) -> None:
        self.down = False
        self.renewals: list[float] = []

    async def grant(self, ttl_s: float) -> Result[LeaseNumber, StoreFault]:
        return Ok(LeaseNumber(1))

    async def renew(self, lease: LeaseNumber) -> Result[None, StoreFault]:
        self.renewals.append(asyncio.get_running_loop().time())
        return Err(StoreFault.UNAVAILABLE) if self.down else Ok(None)


def test_a_renewal_that_failed_is_tried_again_soon() -> None:
    """Callers would not be told of a VM that serves, for seconds.

    The store is away when the lease is to be renewed. Tried again only after
    the usual pause, the lease would lapse although the store is long back.
    """
    store = FailingStore()
    pauses: list[float] = []

    async def test() -> None:
        lease = KeptLease(store, 12.0)  # type: ignore[arg-type]
        loop = asyncio.get_running_loop()
        assert await lease.keep()
        store.down = True
        assert not await lease.keep()
        began = loop.time()
        await lease.pause()
        pauses.append(loop.time() - began)
        store.down = False
        assert await lease.keep()
        assert lease.trusted

    asyncio.run(test())
    assert 0.9 <= pauses[0] <= 2.0
