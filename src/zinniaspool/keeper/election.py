"""Who plans groups: the process whose lease holds the key for it."""

import asyncio
import random

import msgspec
import structlog
from result import Err

from zinniaspool.core.fleet import HOLDER_KEY, HolderRecord
from zinniaspool.core.ids import Revision
from zinniaspool.fleet import FleetBelief, KeptLease
from zinniaspool.platform.kvstore import KeyWrite, KvStore
from zinniaspool.platform.store import StoreFault

__all__ = ["HolderElection"]

_log = structlog.get_logger(__name__)

LEASE_S = 1.0
"""How long a holder that is gone holds up repairs, in seconds: the shortest
lease that stores grant, with room for one lost renewal."""

STAND_BACK_S = 0.25
"""Candidates wait a random part of this, so that one write decides mostly."""

CHECK_S = 0.1
"""Pause of a process that is no holder between looks at the key's copy."""


class HolderElection:
    """Takes and keeps the holder's key while this process lives.

    Args:
        store: The store.
        belief: Its copy.
        record: This process, as others find it.
        least_lease_s: Shortest lease that the store grants.
    """

    def __init__(
        self,
        store: KvStore,
        belief: FleetBelief,
        record: HolderRecord,
        least_lease_s: float,
    ) -> None:
        self.revision = Revision(0)
        self._store = store
        self._belief = belief
        self._record = record
        self._lease = KeptLease(store, max(LEASE_S, least_lease_s))
        self._held_under: int | None = None

    @property
    def holds(self) -> bool:
        """Whether this process certainly is the holder now."""
        return (
            self._held_under is not None
            and self._held_under == self._lease.number
            and self._lease.trusted
        )

    async def run(self) -> None:
        """Stand for holder until cancelled."""
        while True:
            if self._held_under is not None:
                await self._lease.pause()
                if not await self._lease.keep() or (
                    self._held_under != self._lease.number
                ):
                    self._check_lost()
                continue
            await asyncio.sleep(CHECK_S)
            mirror = self._belief.mirror
            if mirror.known and mirror.get(HOLDER_KEY) is None:
                await asyncio.sleep(random.random() * STAND_BACK_S)
                if mirror.get(HOLDER_KEY) is None:
                    await self._take()

    async def resign(self) -> None:
        """Give the key back, so that another takes over at once."""
        self._held_under = None
        await self._lease.end()

    def _check_lost(self) -> None:
        if self._held_under != self._lease.number:
            _log.warning("holder-lost", reason="lease ended")
            self._held_under = None

    async def _take(self) -> None:
        if not await self._lease.keep() or self._lease.number is None:
            return
        number = self._lease.number
        value = msgspec.json.encode(self._record)
        write = KeyWrite(HOLDER_KEY, value, number)
        done = await self._store.commit([(HOLDER_KEY, Revision(0))], [write])
        if isinstance(done, Err):
            if done.err_value is StoreFault.UNKNOWN:
                await self._settle(value, number)
            return
        self._hold(number, done.ok_value)

    async def _settle(self, value: bytes, number: int) -> None:
        """Find out whether a write without an answer was done."""
        found = await self._store.get(HOLDER_KEY)
        if isinstance(found, Err) or found.ok_value is None:
            return
        if found.ok_value.value == value:
            self._hold(number, found.ok_value.revision)

    def _hold(self, number: int, revision: Revision) -> None:
        self._held_under, self.revision = number, revision
        _log.info("holder-taken", revision=revision, lease=number)
