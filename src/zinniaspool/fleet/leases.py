"""A store lease that a process renews, and for how long it can trust it."""

import asyncio
import contextlib

import structlog
from result import Err

from zinniaspool.core.storage import LeaseNumber, StoreFault
from zinniaspool.fleet.sight import read_boot_clock
from zinniaspool.fleet.store import FleetStore

__all__ = ["RenewedLease"]

_log = structlog.get_logger(__name__)

RENEW_PART = 0.3
"""Share of a lease's lifetime after which it is renewed, so that two renewals
may be lost."""

RETRY_DELAY_S = 1.0
"""Pause after a failed renewal, in seconds. Once the store is back, the keys
written under the lease must be there again before other processes treat them
as removed.
"""

TRUST_PART = 0.75
"""Share of its lifetime for which a lease is trusted after the last renewal
was sent. The store's clock may run a little faster, and an order to an engine
needs time to arrive."""


class RenewedLease:
    """One lease at a time, renewed while it is needed.

    Time during which the VM is suspended counts. On a clock that stops
    meanwhile, a process that resumes would assume that it still holds what
    other processes have taken over. So trust is measured on a clock that goes
    on.

    Args:
        store: Grants and renews the lease.
        ttl_s: The lease's lifetime without a renewal, in seconds.

    Attributes:
        lease_number: The current lease; None while there is none.
    """

    def __init__(self, store: FleetStore, ttl_s: float) -> None:
        self.lease_number: LeaseNumber | None = None
        self._store = store
        self._ttl_s = ttl_s
        self._trusted_until = 0.0
        self._last_succeeded = True
        self._check_requested = asyncio.Event()

    @property
    def trusted(self) -> bool:
        """Whether the lease is certain to be valid now."""
        return self.lease_number is not None and read_boot_clock() < self._trusted_until

    async def renew_or_replace(self) -> bool:
        """Renew the lease, or get a new one; return False if both failed.

        A lease that has ended is replaced. The store has then removed the keys
        that were written under it, which shows by the new ``lease_number``.
        """
        self._last_succeeded = await self._renew_or_grant()
        return self._last_succeeded

    async def _renew_or_grant(self) -> bool:
        requested_at = read_boot_clock()
        if self.lease_number is not None:
            renewed = await self._store.renew(self.lease_number)
            if not isinstance(renewed, Err):
                self._trusted_until = requested_at + self._ttl_s * TRUST_PART
                return True
            if renewed.err_value is not StoreFault.NO_LEASE:
                return False
            _log.warning("lease-lost", lease=self.lease_number)
            self.lease_number = None
        requested_at = read_boot_clock()
        granted = await self._store.grant(self._ttl_s)
        if isinstance(granted, Err):
            return False
        self.lease_number = granted.ok_value
        self._trusted_until = requested_at + self._ttl_s * TRUST_PART
        return True

    async def wait_until_due(self, *, retries: bool = False) -> None:
        """Wait until the next renewal is due or a check is requested.

        Args:
            retries: Whether something else failed that is tried again with
                the next renewal.
        """
        pause_s = self._ttl_s * RENEW_PART
        if retries or not self._last_succeeded:
            pause_s = min(pause_s, RETRY_DELAY_S)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_s):
                await self._check_requested.wait()
        self._check_requested.clear()

    def request_check(self) -> None:
        """Have the lease renewed or replaced now."""
        self._check_requested.set()

    async def release(self) -> None:
        """End the lease, which removes all keys written under it."""
        number, self.lease_number = self.lease_number, None
        if number is not None:
            await self._store.end_lease(number)
