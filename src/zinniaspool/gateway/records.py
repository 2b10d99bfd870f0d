"""Records quarantined traits of requests in the store.

A quarantine thereby outlasts the entry processes that counted the crashes.
"""

import asyncio
import random
from collections.abc import Collection

import msgspec
import structlog
from result import Err

from zinniaspool.core.decoding import decode_json
from zinniaspool.core.dispatch import Quarantine, find_terms
from zinniaspool.core.fleet import HELD_PREFIX, QuarantineRecord
from zinniaspool.core.ids import NodeId, Revision, TraitId
from zinniaspool.core.storage import KeyWrite, LeaseNumber, StoreFault
from zinniaspool.fleet import FleetStore, FleetView, ValueKind

__all__ = ["QuarantineRecordStore"]

_log = structlog.get_logger(__name__)

CHECK_INTERVAL_S = 0.2
"""Pause between checks for traits that are to be recorded, in seconds."""

FIRST_WRITE_DELAY_S = 0.2
"""Delay before the first process records a quarantine, in seconds. Reports of
crashes at the same moment may end it until then."""

MIN_WRITE_DELAY_S = 0.6  # seconds, a change is known to all by then
MAX_WRITE_DELAY_S = 2.0
"""Delay before a process records a quarantine that another process found, in
seconds. That process may have ended before it wrote the record. The delay is
random, since not all other processes need to write it."""


class QuarantineRecordStore:
    """Reads, writes and removes the records of quarantined traits.

    A write that stays without an answer may be applied seconds later, also
    after the record was removed. So the lease of a record is ended once its
    trait is released, and no write under it can be applied from then on.

    A process that ends before it has an answer can't do that. A record that it
    leaves expires with the lease, whose lifetime is that of the quarantine. A
    process that knows of a recent answer to the trait removes it at once.

    Args:
        node: This process's VM.
        fleet_view: Has the traits that are recorded.
        store: The store that has the records.
        quarantine: Has the evidence that is recorded.
    """

    def __init__(
        self,
        node: NodeId,
        fleet_view: FleetView,
        store: FleetStore,
        quarantine: Quarantine,
    ) -> None:
        self._node = node
        self._fleet_view = fleet_view
        self._store = store
        self._quarantine = quarantine
        self._write_due_at: dict[TraitId, float] = {}
        self._leases: dict[TraitId, LeaseNumber] = {}
        self._ending: dict[LeaseNumber, TraitId] = {}
        self._removals: set[asyncio.Task[None]] = set()

    def find(self, trait: TraitId) -> QuarantineRecord | None:
        """Return the record of a trait; None if it can't be read."""
        item = self._fleet_view.mirror.get(HELD_PREFIX + trait)
        if item is None:
            return None
        decoded = decode_json(item.value, QuarantineRecord)
        if isinstance(decoded, Err):
            self._fleet_view.unreadable.reject(
                ValueKind.QUARANTINE, item.key, decoded.err_value
            )
            return None
        self._fleet_view.unreadable.accept(item.key)
        return decoded.ok_value

    def add(self, trait: TraitId, *, found_here: bool) -> None:
        """Have a trait recorded, by this process if no other one does it.

        Args:
            trait: The quarantined trait.
            found_here: Whether this process found the last crash. If so, it
                is the first to write the record.
        """
        now = asyncio.get_running_loop().time()
        delay_s = (
            FIRST_WRITE_DELAY_S
            if found_here
            else random.uniform(MIN_WRITE_DELAY_S, MAX_WRITE_DELAY_S)
        )
        self._write_due_at[trait] = now + delay_s

    def cancel_writes(self, traits: Collection[TraitId]) -> None:
        """Cancel the pending writes of traits that are released."""
        for trait in traits:
            self._write_due_at.pop(trait, None)
            lease = self._leases.pop(trait, None)
            if lease is not None:
                self._ending[lease] = trait

    def remove(self, traits: Collection[TraitId]) -> None:
        """Remove the records of traits that crash no upstream."""
        self.cancel_writes(traits)
        known = [
            (item.key, item.revision)
            for trait in traits
            if (item := self._fleet_view.mirror.get(HELD_PREFIX + trait)) is not None
        ]
        if not known:
            return
        removal = asyncio.create_task(self._remove(known))
        self._removals.add(removal)
        removal.add_done_callback(self._removals.discard)

    async def run(self) -> None:
        """Write records until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            await self._end_leases()
            await self._write_due_records()

    async def _write_due_records(self) -> None:
        now = asyncio.get_running_loop().time()
        for trait, due_at in list(self._write_due_at.items()):
            if trait in self._fleet_view.quarantined:
                self._write_due_at.pop(trait, None)
            elif due_at <= now and trait not in self._ending.values():
                await self._write(trait)

    async def _write(self, trait: TraitId) -> None:
        lease = await self._prepare_lease(trait)
        if lease is None or trait not in self._write_due_at:
            return
        key = HELD_PREFIX + trait
        record = QuarantineRecord(
            self._node,
            self._quarantine.list_crashed_instances(trait),
            self._quarantine.count_trials(trait),
        )
        write = KeyWrite(key, msgspec.json.encode(record), lease)
        self._leases[trait] = lease
        written = await self._store.commit([(key, Revision(0))], [write])
        fault = written.err_value if isinstance(written, Err) else None
        if fault in (None, StoreFault.CONFLICT):
            self._write_due_at.pop(trait, None)

    async def _prepare_lease(self, trait: TraitId) -> LeaseNumber | None:
        """Return a lease that lasts as long as a quarantine, or None."""
        lease = self._leases.get(trait)
        if lease is not None:
            renewed = await self._store.renew(lease)
            if not isinstance(renewed, Err):
                return lease
            if renewed.err_value is not StoreFault.NO_LEASE:
                return None
            self._leases.pop(trait, None)
        granted = await self._store.grant(find_terms(trait).hold_s)
        return None if isinstance(granted, Err) else granted.ok_value

    async def _end_leases(self) -> None:
        """End the leases under which released traits may still be written."""
        for lease in list(self._ending):
            ended = await self._store.end_lease(lease)
            if not isinstance(ended, Err) or ended.err_value is StoreFault.NO_LEASE:
                del self._ending[lease]

    async def _remove(self, known: list[tuple[str, Revision]]) -> None:
        """Remove records that are still as this process knows them.

        A removal that is applied late must not remove a newer record.
        """
        for key, revision in known:
            removed = await self._store.commit([(key, revision)], [], [key])
            if isinstance(removed, Err):
                # The record expires with its lease. Until then, each process
                # that answers it clears it again.
                _log.warning("record-not-removed", fault=removed.err_value.value)
