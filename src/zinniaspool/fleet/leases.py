"""A lease that a process keeps, and how long it may trust it."""

import asyncio

import structlog
from result import Err

from zinniaspool.core.storage import LeaseNumber, StoreFault
from zinniaspool.fleet.sight import boot_time
from zinniaspool.fleet.store import FleetStore

__all__ = ["KeptLease"]

_log = structlog.get_logger(__name__)

RENEW_PART = 0.3
"""Part of a lease's time after which it is renewed, so that two renewals may
be lost."""

RETRY_S = 1.0
"""Pause after a renewal that failed, in seconds: once the store is back, what
is written under the lease must be there again before others take it for gone.
"""

TRUST_PART = 0.75
"""Part of its time for which a lease is trusted after the last renewal left.
The store may measure a little faster, and an order needs time to arrive."""


class KeptLease:
    """One lease at a time, renewed while it is wanted.

    The time that a VM stands still counts: a process that was frozen wakes
    up with a clock on which no time has passed, and would believe that it
    still holds what others have taken over. So trust is measured on the
    clock that goes on meanwhile.

    Args:
        store: Grants and renews.
        ttl_s: How long it lasts without a renewal.
    """

    def __init__(self, store: FleetStore, ttl_s: float) -> None:
        self.number: LeaseNumber | None = None
        self._store = store
        self._ttl_s = ttl_s
        self._trusted_until = 0.0
        self._kept = True

    @property
    def trusted(self) -> bool:
        """Whether the lease certainly lasts now."""
        return self.number is not None and boot_time() < self._trusted_until

    async def keep(self) -> bool:
        """Renew the lease, or get a new one; False where neither worked.

        A lease that was lost is replaced: what was written under it is gone,
        which ``number`` shows by its change.
        """
        self._kept = await self._renew_or_grant()
        return self._kept

    async def _renew_or_grant(self) -> bool:
        asked = boot_time()
        if self.number is not None:
            renewed = await self._store.renew(self.number)
            if not isinstance(renewed, Err):
                self._trusted_until = asked + self._ttl_s * TRUST_PART
                return True
            if renewed.err_value is not StoreFault.NO_LEASE:
                return False
            _log.warning("lease-lost", lease=self.number)
            self.number = None
        asked = boot_time()
        granted = await self._store.grant(self._ttl_s)
        if isinstance(granted, Err):
            return False
        self.number = granted.ok_value
        self._trusted_until = asked + self._ttl_s * TRUST_PART
        return True

    async def pause(self) -> None:
        """Wait until the next renewal is due."""
        pause_s = self._ttl_s * RENEW_PART
        await asyncio.sleep(pause_s if self._kept else min(pause_s, RETRY_S))

    async def end(self) -> None:
        """Give the lease back, and all keys with it."""
        number, self.number = self.number, None
        if number is not None:
            await self._store.end_lease(number)
