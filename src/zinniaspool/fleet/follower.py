"""Keeps the store's copy up to date by reading and watching the store."""

import asyncio
import random

import structlog
from result import Err, Ok, Result

from zinniaspool.fleet.belief import FleetBelief
from zinniaspool.platform.kvstore import KvStore
from zinniaspool.platform.store import StoreFault

__all__ = ["StoreFollower"]

_log = structlog.get_logger(__name__)

WAIT_S = 2.5
"""Longest wait of one watch, in seconds. A connection that went silent shows
only when the answer is overdue, and a configuration must not be missed for
longer."""

GATHER_S = 0.05
"""Pause between watches, in seconds: an instance that changes several times in
a row then costs one call."""

RETRY_S = 0.15
"""First pause after a failed call, in seconds; it doubles up to the next."""

MOST_RETRY_S = 0.6
"""Longest pause: the store's return must be noticed well within the second
that a change may take from there."""


class StoreFollower:
    """Follows all keys of the store.

    Args:
        store: The store.
        belief: What is kept up to date.
    """

    def __init__(self, store: KvStore, belief: FleetBelief) -> None:
        self.reachable = True
        self._store = store
        self._belief = belief
        self._read = False
        self._pause_s = RETRY_S

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            done = await (self._watch() if self._read else self._read_all())
            self._settle(done)
            await asyncio.sleep(self._pause_s if isinstance(done, Err) else GATHER_S)

    async def _read_all(self) -> Result[None, StoreFault]:
        reading = await self._store.read("")
        if isinstance(reading, Err):
            return reading
        self._read = True
        found = reading.ok_value
        changes = self._belief.mirror.replace(found.items, found.as_of, self._now())
        self._belief.take(changes)
        return Ok(None)

    async def _watch(self) -> Result[None, StoreFault]:
        mirror = self._belief.mirror
        seen = await self._store.watch("", mirror.as_of, WAIT_S)
        if isinstance(seen, Err):
            return seen
        batch = seen.ok_value
        if not batch.complete:
            # The history between is gone: only a whole reading tells.
            _log.info("history-dropped", as_of=mirror.as_of)
            self._read = False
            return Ok(None)
        self._belief.take(mirror.apply(batch.events, batch.as_of, self._now()))
        return Ok(None)

    def _settle(self, done: Result[None, StoreFault]) -> None:
        now = self._now()
        mirror = self._belief.mirror
        if isinstance(done, Err):
            mirror.disturb(now)
            if self.reachable:
                _log.warning("store-lost", fault=done.err_value.value)
            self.reachable = False
            self._pause_s = min(MOST_RETRY_S, self._pause_s * 2)
            self._pause_s *= random.uniform(0.7, 1.0)
            return
        if not self.reachable:
            _log.info("store-regained", as_of=mirror.as_of)
        self.reachable = True
        self._pause_s = RETRY_S
        self._belief.take(mirror.expire(now))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
