"""A fabric domain's lease and plan in the store."""

import secrets

import msgspec
import structlog
from result import Err, Ok, Result

from zinniaspool.core.ids import FabricDomainId, NodeId, Revision
from zinniaspool.core.plans import DomainPlan
from zinniaspool.store import LeaseId, Store, StoreFault, settle_swap

__all__ = ["DomainStore", "StoredPlan"]

_log = structlog.get_logger(__name__)
_PLANS = "plans/"


class StoredPlan(msgspec.Struct, frozen=True):
    """A plan as it stands in the store.

    Attributes:
        tag: Unique to the write, so that a lost answer can be settled.
        plan: The plan.
    """

    tag: str
    plan: DomainPlan


class _HolderValue(msgspec.Struct, frozen=True):
    tag: str
    node: NodeId


class DomainStore:
    """The store's calls for one domain.

    Args:
        store: The platform's store.
        domain: The fabric domain.
        node: This process.
        lease_s: Length of the lease.
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
        """Whether a lease was taken and is not known to be lost."""
        return self._lease is not None

    async def take(self) -> bool:
        """Take the domain's lease if nobody holds it."""
        key = f"holders/{self._domain}"
        found = await self._store.get(key)
        if isinstance(found, Err) or found.ok_value is not None:
            return False
        granted = await self._store.grant(self._lease_s)
        if isinstance(granted, Err):
            return False
        lease = granted.ok_value
        value = msgspec.json.encode(_HolderValue(secrets.token_hex(8), self._node))
        written = await settle_swap(
            self._store, key, value.decode(), Revision(0), lease
        )
        if isinstance(written, Err):
            await self._store.revoke(lease)
            return False
        self._lease = lease
        return True

    async def renew(self) -> Result[None, StoreFault]:
        """Start the lease's time anew."""
        if self._lease is None:
            return Err(StoreFault.NO_LEASE)
        lease = self._lease
        renewed = await self._store.renew(lease)
        if renewed == Err(StoreFault.NO_LEASE) and self._lease == lease:
            self._lease = None
        return renewed

    async def release(self) -> None:
        """Give the lease up, so that another process need not wait."""
        lease, self._lease = self._lease, None
        if lease is not None:
            await self._store.revoke(lease)

    async def read_plan(self) -> Result[tuple[DomainPlan, Revision], StoreFault]:
        """Return the plan, an empty one at first, and its revision."""
        found = await self._store.get(_PLANS + self._domain)
        if isinstance(found, Err):
            return found
        value = found.ok_value
        if value is None:
            return Ok((DomainPlan(self._domain), Revision(0)))
        try:
            stored = msgspec.json.decode(value.value, type=StoredPlan)
        except msgspec.MsgspecError as error:
            _log.error("plan-unreadable", domain=self._domain, error=str(error))
            return Err(StoreFault.UNKNOWN)
        return Ok((stored.plan, value.revision))

    async def list_plans(self) -> Result[list[DomainPlan], StoreFault]:
        """Return the plans of all domains."""
        found = await self._store.list(_PLANS)
        if isinstance(found, Err):
            return found
        plans = []
        for value in found.ok_value.values:
            try:
                plans.append(msgspec.json.decode(value.value, type=StoredPlan).plan)
            except msgspec.MsgspecError as error:
                _log.error("plan-unreadable", key=value.key, error=str(error))
        return Ok(plans)

    async def swap_plan(
        self, plan: DomainPlan, expected: Revision
    ) -> Result[Revision, StoreFault]:
        """Replace the plan if it is at a revision."""
        stored = StoredPlan(secrets.token_hex(8), plan)
        value = msgspec.json.encode(stored).decode()
        return await settle_swap(self._store, _PLANS + self._domain, value, expected)
