"""State machines of the writers whose writes are lost, late or reordered."""

import asyncio
from collections.abc import Coroutine
from functools import partial
from typing import Any

import msgspec
from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from tests.lossy_store import Fate, LossyStore
from tests.test_plan_store import KEY, make_plan, open_plans
from zinniaspool.core.dispatch import Quarantine, find_terms
from zinniaspool.core.fleet import (
    HELD_PREFIX,
    HOLDER_KEY,
    NODES_PREFIX,
    StoredItem,
)
from zinniaspool.core.formation import DomainPlan
from zinniaspool.core.ids import Address, NodeId, Revision, TraitId
from zinniaspool.core.storage import KeyWrite, LeaseNumber
from zinniaspool.fleet import FleetView, HolderHeartbeat, OwnRecord, RenewedLease
from zinniaspool.gateway.records import QuarantineRecordStore
from zinniaspool.keeper.election import HolderElection
from zinniaspool.platform.spelling import PlatformCodec

FATES = st.sampled_from(list(Fate))
PROCESSES = st.integers(0, 1)
RECORD_KEY = NODES_PREFIX + "n1"
TRAIT = TraitId("c:1")
TRAIT_KEY = HELD_PREFIX + TRAIT


class LossyWriters(RuleBasedStateMachine):
    """Processes that write to one store that loses and delays writes."""

    def __init__(self) -> None:
        super().__init__()
        self.store: Any = LossyStore()
        self._loop = asyncio.new_event_loop()

    def teardown(self) -> None:
        self._loop.close()

    def run_call(self, call: Coroutine[Any, Any, Any], fate: Fate) -> Any:
        """Run a call whose first write has a fate, and return its result."""
        self.store.fates = [fate]
        result = self._loop.run_until_complete(call)
        self.store.fates = []
        return result

    def sync(self, view: FleetView) -> None:
        """Have a process know the store's contents."""
        items, as_of = list(self.store.items.values()), Revision(self.store.revision)
        view.apply_changes(view.mirror.replace(items, as_of, 0.0))

    @precondition(lambda self: self.store.pending)
    @rule(number=st.integers(0, 3))
    def apply_late(self, number: int) -> None:
        self.store.apply_late(-1 - number % len(self.store.pending))

    @rule(loses=st.booleans())
    def lose_reads(self, *, loses: bool) -> None:
        self.store.loses_reads = loses


class PlanWriters(LossyWriters):
    """A plan that was saved is replaced by later plans of holders alone."""

    @initialize()
    def begin(self) -> None:
        self.number, self.saved, self.checked = 0, 0, 0
        self.plans = [open_plans(self.store), open_plans(self.store)]
        self.held = [Revision(0), Revision(0)]
        self.take_over(0)

    @rule(process=PROCESSES)
    def take_over(self, process: int) -> None:
        """Replace the holder by a process that has read the store."""
        key = self.store.items.get(HOLDER_KEY)
        known = Revision(0) if key is None else key.revision
        write = KeyWrite(HOLDER_KEY, b"%d" % process)
        commit = self.store.commit([(HOLDER_KEY, known)], [write])
        revision = self.run_call(commit, Fate.ANSWERED).unwrap()
        self.holder, self.held[process] = process, revision
        view = FleetView(PlatformCodec())
        self.sync(view)
        loaded = self.plans[process].load(view.mirror)
        assert not self.saved or loaded[0].groups[0].epoch >= self.saved
        # No write of an earlier holder may be done from here on.
        self.number += 1
        self.first = self.number

    @rule(process=PROCESSES, fate=FATES)
    def save(self, process: int, fate: Fate) -> None:
        self.number += 1
        plan = make_plan(self.number)
        fault = self.run_call(self.plans[process].save(plan, self.held[process]), fate)
        if fault is not None:
            return
        assert process == self.holder
        assert self.store.items[KEY].value == msgspec.json.encode(plan)
        self.check_history()
        self.saved = self.number

    @rule()
    def save_while_the_store_is_sound(self) -> None:
        self.store.loses_reads = False
        self.number += 1
        plan = make_plan(self.number)
        plans, held = self.plans[self.holder], self.held[self.holder]
        faults = [
            self.run_call(plans.save(plan, held), Fate.ANSWERED) for _ in range(2)
        ]
        assert faults[-1] is None
        self.saved = self.number
        self.checked = len(self.store.history)

    @invariant()
    def check_history(self) -> None:
        """Check the plans that were written since the last check."""
        if not hasattr(self, "checked"):
            return
        for item in self.store.history[self.checked :]:
            if item.key == KEY:
                plan = msgspec.json.decode(item.value, type=DomainPlan)
                assert plan.groups[0].epoch >= self.saved
                assert plan.groups[0].epoch > self.first
        self.checked = len(self.store.history)


class HolderKeyWriters(LossyWriters):
    """A process that knows the store holds the key if it wrote it last."""

    @initialize()
    def begin(self) -> None:
        self.started = 0
        self.views = [FleetView(PlatformCodec()), FleetView(PlatformCodec())]
        self.elections = [self.start(0), self.start(1)]

    def start(self, process: int) -> HolderElection:
        """Return the election of a new start of a process."""
        view = self.views[process] = FleetView(PlatformCodec())
        self.sync(view)
        peers: Any = None
        name, address = NodeId(f"n{process}"), Address(f"10.0.0.{process}:81")
        return HolderElection(self.store, view, peers, HolderHeartbeat(), name, address)

    @rule(process=PROCESSES, fate=FATES)
    def acquire(self, process: int, fate: Fate) -> None:
        election = self.elections[process]
        if election.revision and not election.holds_key:
            election.revision = Revision(0)
        if not election.holds_key:
            self.run_call(election._write_key(), fate)

    @rule(process=PROCESSES, fate=FATES)
    def stop(self, process: int, fate: Fate) -> None:
        """End a process, which resigns if it is the holder, and start it."""
        self.run_call(self.elections[process].resign(), fate)
        self.elections[process] = self.start(process)

    @rule(process=PROCESSES)
    def crash(self, process: int) -> None:
        self.elections[process] = self.start(process)

    @rule(process=PROCESSES)
    def follow(self, process: int) -> None:
        self.sync(self.views[process])

    @rule(process=PROCESSES)
    def acquire_while_the_store_is_sound(self, process: int) -> None:
        self.store.loses_reads = False
        self.sync(self.views[process])
        self.acquire(process, Fate.ANSWERED)
        assert self.elections[process].holds_key

    @invariant()
    def the_last_writer_holds_the_key(self) -> None:
        if not hasattr(self, "elections"):
            return
        key = self.store.items.get(HOLDER_KEY)
        for election, view in zip(self.elections, self.views, strict=True):
            if view.mirror.as_of < self.store.revision or not election.holds_key:
                continue
            assert key is not None
            assert key.revision == election.revision
            assert key.value == msgspec.json.encode(election._record)


class NodeRecordWriters(LossyWriters):
    """The newest start of a process replaces its record, and keeps it."""

    @initialize()
    def begin(self) -> None:
        self.number = 0
        self.sound: StoredItem | None = None
        self.crash()

    @rule()
    def crash(self) -> None:
        """Start the process anew; its earlier lease goes on for a while."""
        self.number += 1
        self.value = b"%d" % self.number
        self.view = FleetView(PlatformCodec())
        self.sync(self.view)
        self.lease = RenewedLease(self.store, 12.0)
        self.record = OwnRecord(RECORD_KEY, self.store, self.view.mirror)
        self.sound = None

    @rule()
    def change(self) -> None:
        self.number += 1
        self.value = b"%d" % self.number
        self.sound = None

    @rule()
    def follow(self) -> None:
        self.sync(self.view)

    @rule(number=st.integers(0, 3))
    def expire(self, number: int) -> None:
        leases = list(self.store.leases)
        if leases:
            ended = leases[number % len(leases)]
            self.store.expire(ended)
            if ended == self.lease.lease_number:
                self.sound = None

    @rule(fate=FATES)
    def write(self, fate: Fate) -> None:
        if not self.run_call(self.lease.renew_or_replace(), Fate.ANSWERED):
            return
        lease = self.lease.lease_number
        assert lease is not None
        if self.record.is_current(self.value, lease):
            return
        write = self.record.write(lambda: self.value, lease)
        if self.run_call(write, fate):
            self.sound = self.store.items[RECORD_KEY]
            assert self.sound.value == self.value
            assert RECORD_KEY in self.store.leases[lease]

    @rule()
    def write_while_the_store_is_sound(self) -> None:
        self.store.loses_reads = False
        for _ in range(2):
            self.sync(self.view)
            self.write(Fate.ANSWERED)
        assert self.store.items[RECORD_KEY].value == self.value
        assert RECORD_KEY in self.store.leases[self.lease.lease_number]

    @invariant()
    def no_late_write_replaces_a_written_record(self) -> None:
        sound = getattr(self, "sound", None)
        assert sound is None or self.store.items[RECORD_KEY] == sound


class QuarantineWriters(LossyWriters):
    """No late write brings back a removed record or removes a newer one.

    A process that ended can't end its leases. A record that it left expires
    with one of them.
    """

    @initialize()
    def begin(self) -> None:
        self.kept: StoredItem | None = None
        self.is_released = False
        self.left: set[LeaseNumber] = set()
        self.views: dict[int, FleetView] = {}
        self.records: dict[int, QuarantineRecordStore] = {}
        for number in range(2):
            self.start(number)

    def start(self, process: int) -> None:
        """Start a process, which reads the store."""
        view = self.views[process] = FleetView(PlatformCodec())
        records = self.records[process] = QuarantineRecordStore(
            NodeId(f"n{process}"), view, self.store, Quarantine()
        )
        view.on_quarantine.append(partial(self._cancel, records))
        self.follow(process)

    @staticmethod
    def _cancel(
        records: QuarantineRecordStore, _: frozenset[TraitId], gone: frozenset[TraitId]
    ) -> None:
        records.cancel_writes(gone)

    @rule(process=PROCESSES)
    def crash(self, process: int) -> None:
        """End a process without a word, and start it anew."""
        records = self.records[process]
        self.left.update(records._leases.values(), records._ending)
        self.start(process)

    @rule()
    def expire_left(self) -> None:
        """End the leases that nobody renews."""
        for lease in self.left & self.store.leases.keys():
            if TRAIT_KEY in self.store.leases[lease]:
                self.kept = None
            self.store.expire(lease)

    @rule(process=PROCESSES, fate=FATES)
    def add(self, process: int, fate: Fate) -> None:
        self.is_released = False
        self.records[process]._write_due_at[TRAIT] = 0.0
        self.run(process, fate)

    @rule(process=PROCESSES, fate=FATES)
    def run(self, process: int, fate: Fate) -> None:
        """Do what is due in a process, once."""
        records = self.records[process]
        self.run_call(records._end_leases(), fate)
        self.run_call(records._write_due_records(), fate)

    @rule(process=PROCESSES, fate=FATES)
    def remove(self, process: int, fate: Fate) -> None:
        """Have a process find the trait innocent, and the others know."""
        self.kept = None

        async def remove() -> None:
            self.records[1 - process].cancel_writes([TRAIT])
            self.records[process].remove([TRAIT])
            await asyncio.gather(*self.records[process]._removals)

        self.run_call(remove(), fate)

    @precondition(lambda self: TRAIT_KEY in self.store.items)
    @rule(process=PROCESSES)
    def remove_late(self, process: int) -> None:
        """Have a process remove a record that it knows, and get no answer."""
        self.follow(process)
        self.remove(process, Fate.LATE)

    @rule(process=PROCESSES)
    def follow(self, process: int) -> None:
        self.sync(self.views[process])

    @rule(process=PROCESSES)
    def release_while_the_store_is_sound(self, process: int) -> None:
        """No write of before it may be done from here on."""
        self.store.loses_reads = False
        self.follow(0)
        self.follow(1)
        self.remove(process, Fate.ANSWERED)
        self.run(0, Fate.ANSWERED)
        self.run(1, Fate.ANSWERED)
        self.is_released = True

    @rule(process=PROCESSES)
    def record_while_the_store_is_sound(self, process: int) -> None:
        self.release_while_the_store_is_sound(process)
        self.follow(0)
        self.follow(1)
        self.add(process, Fate.ANSWERED)
        self.kept = self.store.items[TRAIT_KEY]

    @invariant()
    def a_released_trait_has_no_record(self) -> None:
        if getattr(self, "is_released", False) and TRAIT_KEY in self.store.items:
            found = [
                lease for lease, keys in self.store.leases.items() if TRAIT_KEY in keys
            ]
            assert found and self.left.issuperset(found)

    @invariant()
    def a_newer_record_stays(self) -> None:
        kept = getattr(self, "kept", None)
        assert kept is None or self.store.items.get(TRAIT_KEY) == kept


_SETTINGS = settings(
    max_examples=150, stateful_step_count=30, deadline=None, derandomize=True
)
TestPlanWriters = PlanWriters.TestCase
TestPlanWriters.settings = _SETTINGS
TestHolderKeyWriters = HolderKeyWriters.TestCase
TestHolderKeyWriters.settings = _SETTINGS
TestNodeRecordWriters = NodeRecordWriters.TestCase
TestNodeRecordWriters.settings = _SETTINGS
TestQuarantineWriters = QuarantineWriters.TestCase
TestQuarantineWriters.settings = _SETTINGS


def test_a_late_write_brings_back_no_removed_record() -> None:
    """Guards against refusals of a trait that was released."""
    writers = QuarantineWriters()
    writers.begin()
    writers.add(0, Fate.LATE)
    writers.release_while_the_store_is_sound(1)
    writers.apply_late(0)
    writers.a_released_trait_has_no_record()
    writers.teardown()


def test_a_late_removal_keeps_a_newer_record() -> None:
    """Guards against a quarantine ended by an earlier removal."""
    writers = QuarantineWriters()
    writers.begin()
    writers.add(0, Fate.ANSWERED)
    writers.follow(0)
    writers.remove(0, Fate.LATE)
    writers.record_while_the_store_is_sound(1)
    writers.apply_late(0)
    writers.a_newer_record_stays()
    writers.teardown()


def test_a_record_that_an_ended_process_left_expires() -> None:
    """Guards against refusals of a released trait that never end.

    The process ends before it has an answer to its write, which is done after
    the trait was released. Nobody else can end its lease.
    """
    writers = QuarantineWriters()
    writers.begin()
    writers.add(0, Fate.LATE)
    writers.crash(0)
    writers.release_while_the_store_is_sound(1)
    writers.apply_late(0)
    writers.a_released_trait_has_no_record()
    assert TRAIT_KEY in writers.store.items
    lifetimes = {writers.store.lifetimes[lease] for lease in writers.left}
    assert lifetimes == {find_terms(TRAIT).hold_s}
    writers.expire_left()
    assert TRAIT_KEY not in writers.store.items
    writers.teardown()
