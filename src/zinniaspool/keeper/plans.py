"""Plans in the store: read back by whoever takes over."""

import msgspec
import structlog
from result import Err

from zinniaspool.core.fleet import HOLDER_KEY, PLANS_PREFIX, StoreMirror
from zinniaspool.core.formation import DomainPlan
from zinniaspool.core.ids import FabricDomainId, Revision
from zinniaspool.core.storage import KeyWrite, StoreFault
from zinniaspool.fleet import FleetStore

__all__ = ["PlanBook"]

_log = structlog.get_logger(__name__)


class PlanBook:
    """The plans of all fabric domains, one value each.

    Args:
        store: Where they last.
    """

    def __init__(self, store: FleetStore) -> None:
        self._store = store
        self._revisions: dict[FabricDomainId, Revision] = {}

    def load(self, mirror: StoreMirror) -> list[DomainPlan]:
        """Return the plans that are in the store."""
        plans = []
        self._revisions.clear()
        for item in mirror.list_by_prefix(PLANS_PREFIX):
            domain = FabricDomainId(item.key.removeprefix(PLANS_PREFIX))
            self._revisions[domain] = item.revision
            try:
                plans.append(msgspec.json.decode(item.value, type=DomainPlan))
            except msgspec.MsgspecError as error:
                _log.error("plan-unreadable", domain=domain, reason=str(error))
        return plans

    async def save(self, plan: DomainPlan, holder: Revision) -> StoreFault | None:
        """Write a plan; return None once it is certainly there.

        The holder's key is expected as this process wrote it, so that one
        that lost it while standing still writes nothing over its successor.
        """
        key = PLANS_PREFIX + plan.domain
        value = msgspec.json.encode(plan)
        known = self._revisions.get(plan.domain, Revision(0))
        done = await self._store.commit(
            [(HOLDER_KEY, holder), (key, known)], [KeyWrite(key, value)]
        )
        if not isinstance(done, Err):
            self._revisions[plan.domain] = done.ok_value
            return None
        if done.err_value not in (StoreFault.UNKNOWN, StoreFault.CONFLICT):
            return done.err_value
        # Its answer was lost, or an earlier try was done late: what is there
        # now decides.
        found = await self._store.get(key)
        if isinstance(found, Err):
            return StoreFault.UNKNOWN
        item = found.ok_value
        if item is not None and item.value == value:
            self._revisions[plan.domain] = item.revision
            return None
        return done.err_value
