"""Tests of plans whose writes are lost, late or in conflict."""

import asyncio
from typing import Any, cast

import msgspec
import pytest
from structlog.testing import capture_logs

from tests.fakes import run_in_loop
from tests.fleet_simulation import FakePlanStore, SimulatedFleet
from tests.lossy_store import Fate, LossyStore, PendingWrite
from tests.virtual_time import run_in_virtual_time
from zinniaspool.core.fleet import HOLDER_KEY, PLANS_PREFIX, InstanceId
from zinniaspool.core.formation import DomainPlan, GroupRecord
from zinniaspool.core.ids import (
    Epoch,
    FabricDomainId,
    GroupId,
    ModelName,
    Revision,
    ServiceName,
)
from zinniaspool.core.storage import KeyWrite, StoreFault
from zinniaspool.fleet import FleetStore, FleetView, UnreadableValues
from zinniaspool.keeper.plans import PlanStore
from zinniaspool.platform.spelling import PlatformCodec

DOMAIN = FabricDomainId("d0")
KEY = PLANS_PREFIX + DOMAIN


def make_plan(number: int) -> DomainPlan:
    """Return a plan that differs from those of other numbers."""
    record = GroupRecord(
        GroupId(f"g{number}"),
        Epoch(number),
        ServiceName("drafting"),
        ModelName("small"),
        (InstanceId("i-1"),),
    )
    return DomainPlan(DOMAIN, (record,))


def open_plans(store: LossyStore) -> PlanStore:
    """Return what reads and writes the plans in a store."""
    return PlanStore(cast(FleetStore, store), UnreadableValues())


async def acquire(store: LossyStore, holder: str) -> Revision:
    """Write the holder's key."""
    item = store.items.get(HOLDER_KEY)
    known = Revision(0) if item is None else item.revision
    written = await store.commit(
        [(HOLDER_KEY, known)], [KeyWrite(HOLDER_KEY, holder.encode())]
    )
    return written.unwrap()


def read_plan(store: LossyStore) -> DomainPlan:
    """Return the plan in the store."""
    return msgspec.json.decode(store.items[KEY].value, type=DomainPlan)


@pytest.mark.parametrize("loses_reads", [False, True])
def test_a_plan_is_written_after_a_late_write_of_an_earlier_one(
    *, loses_reads: bool
) -> None:
    """Guards against a holder whose own late write bars its later plans."""

    async def test() -> None:
        store = LossyStore()
        plans = open_plans(store)
        holder = await acquire(store, "n1")
        assert await plans.save(make_plan(1), holder) is None
        store.fates, store.loses_reads = [Fate.LATE, Fate.LATE], loses_reads
        assert await plans.save(make_plan(2), holder) is StoreFault.UNKNOWN
        assert await plans.save(make_plan(3), holder) is StoreFault.UNKNOWN
        store.loses_reads = False
        store.apply_late()
        faults = [await plans.save(make_plan(4), holder) for _ in range(2)]
        assert faults[-1] is None
        store.apply_late()
        assert read_plan(store) == make_plan(4)

    run_in_loop(test)


def test_a_plan_under_another_domains_key_is_unreadable() -> None:
    """Guards against a plan of another writer that replaces the holder's."""
    store, view = LossyStore(), FleetView(PlatformCodec())
    plans = PlanStore(cast(FleetStore, store), view.unreadable)
    foreign = PLANS_PREFIX + "d9"
    for key, number in ((KEY, 1), (foreign, 2)):
        value = msgspec.json.encode(make_plan(number))
        store.apply(PendingWrite((), (KeyWrite(key, value),), ()))
    view.mirror.replace(list(store.items.values()), Revision(store.revision), 0.0)
    assert plans.load(view.mirror) == [make_plan(1)]
    assert list(view.unreadable.current) == [foreign]


def test_a_former_holder_does_not_replace_its_successors_plan() -> None:
    """Guards against a revision that is taken over from another holder."""

    async def test() -> None:
        store = LossyStore()
        former, latter = open_plans(store), open_plans(store)
        before = await acquire(store, "n1")
        assert await former.save(make_plan(1), before) is None
        after = await acquire(store, "n2")
        await latter.save(make_plan(2), after)
        await latter.save(make_plan(2), after)
        for _ in range(3):
            assert await former.save(make_plan(3), before) is StoreFault.CONFLICT
        assert read_plan(store) == make_plan(2)

    run_in_loop(test)


def test_an_unsaved_plan_is_reported_at_its_start_and_end() -> None:
    """Guards against a line for each try, and none at the end."""

    async def test() -> None:
        store = LossyStore()
        plans = open_plans(store)
        holder = await acquire(store, "n1")
        store.fates = [Fate.DROPPED] * 7
        with capture_logs() as lines:
            for number in range(7):
                await plans.save(make_plan(number), holder)
                assert bool(plans.unsaved) is (number >= 2)
            assert await plans.save(make_plan(9), holder) is None
            store.fates = [Fate.DROPPED]
            for number in (10, 11):
                await plans.save(make_plan(number), holder)
        assert [(line["event"], line["tries"]) for line in lines] == [
            ("plan-unsaved", 3),
            ("plan-saved", 7),
        ]
        assert not plans.unsaved
        assert plans.write_counts == {StoreFault.UNKNOWN: 8, None: 2}

    run_in_loop(test)


class RefusingPlanStore(FakePlanStore):
    """Plans that the store doesn't accept for some time."""

    refuses = True

    async def save(self, plan: DomainPlan, holder_revision: Revision) -> Any:
        await asyncio.sleep(0.01)
        return StoreFault.CONFLICT if self.refuses else None


def test_a_plan_counts_as_unsaved_between_two_tries() -> None:
    """Guards against a holder that resigns with an unwritten plan."""

    async def test() -> None:
        fleet = SimulatedFleet()
        holder = fleet.take_over(0).holder
        holder.plans = plans = RefusingPlanStore()  # type: ignore[assignment]
        await asyncio.sleep(2.0)
        assert holder._planner is not None
        holder._planner.save_all_plans()
        for _ in range(50):
            await asyncio.sleep(0.02)
            assert holder.has_unsaved_plans
        plans.refuses = False
        await asyncio.sleep(0.5)
        assert not holder.has_unsaved_plans
        fleet.stop()

    run_in_virtual_time(test)


class RecordingPlanStore(FakePlanStore):
    """Plans that are loaded at a revision of the mirror that is recorded."""

    loaded_at: Revision | None = None

    def load(self, mirror: Any) -> list[DomainPlan]:
        self.loaded_at = mirror.as_of
        return super().load(mirror)


def test_a_new_holder_waits_for_plans_written_just_before_its_key() -> None:
    """Guards against a holder that starts from a mirror older than its key."""

    async def test() -> None:
        fleet = SimulatedFleet()
        control = fleet.controls[0]
        control.holder.plans = plans = RecordingPlanStore()  # type: ignore[assignment]
        written = Revision(len(fleet.store.events) + 2)
        control.election.revision = written
        fleet.take_over(0)
        await asyncio.sleep(0.5)
        assert plans.loaded_at is None
        fleet.store.put(KEY, msgspec.json.encode(make_plan(1)))
        await asyncio.sleep(0.5)
        assert plans.loaded_at == written
        fleet.stop()

    run_in_virtual_time(test)


@pytest.mark.parametrize("is_starting", [False, True])
def test_a_holder_that_acquires_its_key_again_reads_the_plans_again(
    *, is_starting: bool
) -> None:
    """Guards against orders of plans that another holder has replaced.

    A process that is suspended loses the key, and acquires it again before its
    planner has noticed.
    """

    async def test() -> None:
        fleet = SimulatedFleet()
        control = fleet.controls[0]
        holder: Any = control.holder
        holder.plans = plans = RecordingPlanStore()
        resumed = asyncio.Event()

        async def wait(_: object) -> None:
            await resumed.wait()

        holder._query_all_engines = wait
        control.election.revision = Revision(1)
        fleet.take_over(0)
        await asyncio.sleep(0.5)
        if not is_starting:
            resumed.set()
            await asyncio.sleep(1.0)
        first = plans.loaded_at
        assert first is not None
        fleet.store.put(KEY, msgspec.json.encode(make_plan(1)))
        written = Revision(len(fleet.store.events))
        assert written > first
        await asyncio.sleep(0.5)
        control.election.revision = written
        resumed.set()
        await asyncio.sleep(1.0)
        assert plans.loaded_at == written
        assert holder.is_planning
        fleet.stop()

    run_in_virtual_time(test)
