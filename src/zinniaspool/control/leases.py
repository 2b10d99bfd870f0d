"""Lease and plan of a fabric domain in the store."""

import secrets

import msgspec
import structlog
from result import Err, Ok, Result

from zinniaspool.core.decoding import DECODE_ERRORS
from zinniaspool.core.ids import FabricDomainId, NodeId, Revision
from zinniaspool.core.plans import DomainPlan
from zinniaspool.store import LeaseId, Store, StoreFault, swap_and_confirm

__all__ = ["DomainStore", "StoredPlan"]

_log = structlog.get_logger(__name__)
_PLANS_PREFIX = "plans/"


class StoredPlan(msgspec.Struct, frozen=True):
    """A plan as it is encoded in the store.

    Attributes:
        tag: Unique to the write. It shows whether a write whose answer was
            lost has been applied.
        plan: The plan.
    """

    tag: str
    plan: DomainPlan


class _HolderValue(msgspec.Struct, frozen=True):
    tag: str
    node: NodeId


class DomainStore:
    """Reads and writes the lease and the plan of one domain.

    Args:
        store: The platform's store.
        domain: The fabric domain.
        node: This process's node name.
        lease_s: Length of the lease, in seconds.
    """

    def __init__(
        self, store: Store, domain: FabricDomainId, node: NodeId, lease_s: float
    ) -> None:
        self._store = store
        self._domain = domain
        self._node = node
        self._lease_s = lease_s
        self._lease: LeaseId | None = None

    @property
    def has_lease(self) -> bool:
        """Whether the lease was acquired and is not known to be lost."""
        return self._lease is not None

    async def acquire_lease(self) -> bool:
        """Acquire the domain's lease if no process holds it.

        Returns:
            Whether this process holds the lease now.
        """
        key = f"holders/{self._domain}"
        read = await self._store.get(key)
        if isinstance(read, Err) or read.ok_value is not None:
            return False
        granted = await self._store.grant(self._lease_s)
        if isinstance(granted, Err):
            return False
        lease = granted.ok_value
        value = msgspec.json.encode(_HolderValue(secrets.token_hex(8), self._node))
        written = await swap_and_confirm(
            self._store, key, value.decode(), Revision(0), lease
        )
        if isinstance(written, Err):
            await self._store.revoke(lease)
            return False
        self._lease = lease
        return True

    async def renew_lease(self) -> Result[None, StoreFault]:
        """Renew the lease for its full length."""
        if self._lease is None:
            return Err(StoreFault.NO_LEASE)
        lease = self._lease
        renewed = await self._store.renew(lease)
        if renewed == Err(StoreFault.NO_LEASE) and self._lease == lease:
            self._lease = None
        return renewed

    async def release_lease(self) -> None:
        """Revoke the lease, so that another process can acquire it at once."""
        lease, self._lease = self._lease, None
        if lease is not None:
            await self._store.revoke(lease)

    async def read_plan(self) -> Result[tuple[DomainPlan, Revision], StoreFault]:
        """Return the domain's plan and its revision.

        The plan is empty and its revision 0 if none has been written yet.
        """
        read = await self._store.get(_PLANS_PREFIX + self._domain)
        if isinstance(read, Err):
            return read
        value = read.ok_value
        if value is None:
            return Ok((DomainPlan(self._domain), Revision(0)))
        try:
            stored = msgspec.json.decode(value.value, type=StoredPlan)
        except DECODE_ERRORS as error:
            _log.error("plan-unreadable", domain=self._domain, error=str(error))
            return Err(StoreFault.UNKNOWN)
        return Ok((stored.plan, value.revision))

    async def list_plans(self) -> Result[list[DomainPlan], StoreFault]:
        """Return the plans of all domains, except unreadable ones."""
        read = await self._store.list(_PLANS_PREFIX)
        if isinstance(read, Err):
            return read
        plans = []
        for value in read.ok_value.values:
            try:
                plans.append(msgspec.json.decode(value.value, type=StoredPlan).plan)
            except DECODE_ERRORS as error:
                _log.error("plan-unreadable", key=value.key, error=str(error))
        return Ok(plans)

    async def swap_plan(
        self, plan: DomainPlan, expected: Revision
    ) -> Result[Revision, StoreFault]:
        """Replace the plan if its revision is the expected one."""
        stored = StoredPlan(secrets.token_hex(8), plan)
        value = msgspec.json.encode(stored).decode()
        return await swap_and_confirm(
            self._store, _PLANS_PREFIX + self._domain, value, expected
        )
