"""Plans of replica groups in the store, read by the next holder."""

import asyncio
from collections import Counter
from dataclasses import dataclass

import msgspec
import structlog
from result import Err, Result

from zinniaspool.core.decoding import decode_json
from zinniaspool.core.fleet import HOLDER_KEY, PLANS_PREFIX, StoredItem, StoreMirror
from zinniaspool.core.formation import DomainPlan
from zinniaspool.core.ids import FabricDomainId, Revision
from zinniaspool.core.storage import KeyWrite, StoreFault
from zinniaspool.fleet import FleetStore, UnreadableValues, ValueKind

__all__ = ["PlanStore"]

_log = structlog.get_logger(__name__)


MIN_REPORTED_TRIES = 3
"""Failed writes in a row from which on a plan counts as unsaved. Single writes
fail whenever an answer is lost."""


@dataclass(slots=True)
class _FailedWrites:
    """Writes of one domain's plan that failed in a row.

    Attributes:
        since: When the first of them failed, in seconds on the loop's clock.
        count: How many there were.
    """

    since: float
    count: int = 0


class PlanStore:
    """Reads and writes the plans of all fabric domains, one value for each.

    Args:
        store: The store that keeps the plans.
        unreadable: Records the plans that can't be read.

    Attributes:
        write_counts: Number of writes of plans, by their fault; None for
            those after which the plan was certainly in the store.
    """

    def __init__(self, store: FleetStore, unreadable: UnreadableValues) -> None:
        self.write_counts: Counter[StoreFault | None] = Counter()
        self._store = store
        self._unreadable = unreadable
        self._revisions: dict[FabricDomainId, Revision] = {}
        self._failed: dict[FabricDomainId, _FailedWrites] = {}

    @property
    def unsaved(self) -> list[FabricDomainId]:
        """Domains whose plans could not be written for several tries."""
        return [
            domain
            for domain, failed in self._failed.items()
            if failed.count >= MIN_REPORTED_TRIES
        ]

    def load(self, mirror: StoreMirror) -> list[DomainPlan]:
        """Return the plans that are in the store, and keep their revisions."""
        plans = []
        self._failed.clear()
        self.update_revisions(mirror)
        for item in mirror.list_by_prefix(PLANS_PREFIX):
            decoded = _decode_plan(item)
            if isinstance(decoded, Err):
                self._unreadable.reject(ValueKind.PLAN, item.key, decoded.err_value)
                continue
            self._unreadable.accept(item.key)
            plans.append(decoded.ok_value)
        return plans

    def update_revisions(self, mirror: StoreMirror) -> None:
        """Keep the revisions at which the plans are in the store now."""
        self._revisions = {
            FabricDomainId(item.key.removeprefix(PLANS_PREFIX)): item.revision
            for item in mirror.list_by_prefix(PLANS_PREFIX)
        }

    async def save(
        self, plan: DomainPlan, holder_revision: Revision
    ) -> StoreFault | None:
        """Write a plan; return None if it is certainly in the store.

        The write requires that the holder's key is as this process wrote it.
        So a process that lost the key while it was suspended does not
        overwrite a plan of its successor.

        Args:
            plan: The plan.
            holder_revision: Revision of the holder's key that is required.
        """
        fault = await self._write(plan, holder_revision)
        self.write_counts[fault] += 1
        self._record_outcome(plan.domain, fault)
        return fault

    def _record_outcome(self, domain: FabricDomainId, fault: StoreFault | None) -> None:
        now = asyncio.get_running_loop().time()
        if fault is not None:
            failed = self._failed.setdefault(domain, _FailedWrites(now))
            failed.count += 1
            if failed.count == MIN_REPORTED_TRIES:
                _log.warning(
                    "plan-unsaved",
                    domain=domain,
                    fault=fault.value,
                    tries=failed.count,
                    for_ms=int((now - failed.since) * 1000),
                )
            return
        ended = self._failed.pop(domain, None)
        if ended is not None and ended.count >= MIN_REPORTED_TRIES:
            _log.info(
                "plan-saved",
                domain=domain,
                tries=ended.count,
                for_ms=int((now - ended.since) * 1000),
            )

    async def _write(
        self, plan: DomainPlan, holder_revision: Revision
    ) -> StoreFault | None:
        key = PLANS_PREFIX + plan.domain
        value = msgspec.json.encode(plan)
        known = self._revisions.get(plan.domain, Revision(0))
        committed = await self._store.commit(
            [(HOLDER_KEY, holder_revision), (key, known)], [KeyWrite(key, value)]
        )
        if not isinstance(committed, Err):
            self._revisions[plan.domain] = committed.ok_value
            return None
        if committed.err_value not in (StoreFault.UNKNOWN, StoreFault.CONFLICT):
            return committed.err_value
        # The answer was lost, or an earlier write of this process was applied
        # late. The value that is in the store now decides.
        stored = await self._store.get(key)
        if isinstance(stored, Err):
            return StoreFault.UNKNOWN
        item = stored.ok_value
        # The revision may be one of an earlier write of this process, which
        # the next write must expect. If it is one of a later holder, the next
        # write fails by the holder's key.
        self._revisions[plan.domain] = Revision(0) if item is None else item.revision
        if item is not None and item.value == value:
            return None
        return committed.err_value


def _decode_plan(item: StoredItem) -> Result[DomainPlan, str]:
    """Return the plan of an item, or why it can't be used."""
    decoded = decode_json(item.value, DomainPlan)
    if isinstance(decoded, Err):
        return decoded
    if PLANS_PREFIX + decoded.ok_value.domain != item.key:
        return Err("the plan is of another domain than its key")
    return decoded
