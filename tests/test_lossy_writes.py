"""State machines of the writers whose writes are lost, late or reordered."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import msgspec
from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from tests.lossy_store import Fate, LossyStore
from tests.test_plan_store import KEY, make_plan
from zinniaspool.core.fleet import HOLDER_KEY
from zinniaspool.core.formation import DomainPlan
from zinniaspool.core.ids import Address, NodeId, Revision
from zinniaspool.core.storage import KeyWrite
from zinniaspool.fleet import FleetView, HolderHeartbeat
from zinniaspool.keeper.election import HolderElection
from zinniaspool.keeper.plans import PlanStore
from zinniaspool.platform.spelling import PlatformCodec

FATES = st.sampled_from(list(Fate))
PROCESSES = st.integers(0, 1)


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

    @rule(number=st.integers(0, 3))
    def apply_late(self, number: int) -> None:
        if self.store.pending:
            self.store.apply_late(-1 - number % len(self.store.pending))

    @rule(loses=st.booleans())
    def lose_reads(self, *, loses: bool) -> None:
        self.store.loses_reads = loses


class PlanWriters(LossyWriters):
    """A plan that was saved is replaced by later plans of holders alone."""

    @initialize()
    def begin(self) -> None:
        self.number, self.saved, self.checked = 0, 0, 0
        self.plans = [PlanStore(self.store), PlanStore(self.store)]
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


_SETTINGS = settings(
    max_examples=150, stateful_step_count=30, deadline=None, derandomize=True
)
TestPlanWriters = PlanWriters.TestCase
TestPlanWriters.settings = _SETTINGS
TestHolderKeyWriters = HolderKeyWriters.TestCase
TestHolderKeyWriters.settings = _SETTINGS
