"""Tests of plans whose writes are lost, late or in conflict."""

import msgspec
import pytest

from tests.fakes import run_in_loop
from tests.lossy_store import Fate, LossyStore
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
from zinniaspool.keeper.plans import PlanStore

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
        plans = PlanStore(store)  # type: ignore[arg-type]
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


def test_a_former_holder_does_not_replace_its_successors_plan() -> None:
    """Guards against a revision that is taken over from another holder."""

    async def test() -> None:
        store = LossyStore()
        former, latter = PlanStore(store), PlanStore(store)  # type: ignore[arg-type]
        before = await acquire(store, "n1")
        assert await former.save(make_plan(1), before) is None
        after = await acquire(store, "n2")
        await latter.save(make_plan(2), after)
        await latter.save(make_plan(2), after)
        for _ in range(3):
            assert await former.save(make_plan(3), before) is StoreFault.CONFLICT
        assert read_plan(store) == make_plan(2)

    run_in_loop(test)
