"""Tests that the holder forms a group anew without its slow member."""

import asyncio
from functools import partial

import pytest

from tests.delays import measure_slowness
from tests.formation_world import (
    LARGE,
    SMALL,
    FakeEngine,
    SimulatedFleet,
    make_settled_fleet,
)
from tests.installation import PatientInstallation, eventually, run
from zinniaspool.core.formation import GroupPhase
from zinniaspool.core.ids import ModelName


def make_fleet(size: int = 7) -> SimulatedFleet:
    """Return a fleet of two domains, with two groups of each model or more."""
    fleet = SimulatedFleet(domains=2, size=size)
    fleet.advance(14.0)
    assert not fleet.violations
    return fleet


def find_members(fleet: SimulatedFleet, model: ModelName) -> list[list[FakeEngine]]:
    return [
        [fleet.engines[member] for member in run.record.members]
        for run in fleet.planner.list_runs()
        if run.record.model == model and run.phase is GroupPhase.SERVING
        if not run.record.standby
    ]


def report(fleet: SimulatedFleet, engine: FakeEngine, pace: float = 4.0) -> None:
    fleet.planner.slow_vms.record(engine.id, pace, fleet.now)


def list_serving_ids(fleet: SimulatedFleet, model: ModelName) -> set[str]:
    return {member.id for group in find_members(fleet, model) for member in group}


def test_a_slow_member_is_replaced_by_a_standby_vm() -> None:
    """One slow VM would keep the other VMs of its group slow for seconds."""
    fleet = make_fleet()
    slow = find_members(fleet, LARGE)[0][1]
    report(fleet, slow)
    fleet.advance(3.0)
    assert fleet.count_serving(LARGE) == 2
    assert slow.id not in list_serving_ids(fleet, LARGE)
    assert fleet.planner.slow_vms.replaced_count == 1
    assert not fleet.violations


def test_one_group_of_a_model_is_replaced_at_a_time() -> None:
    """A model whose groups are all slow would have none for a while."""
    fleet = make_fleet()
    groups = find_members(fleet, LARGE)
    for group in groups:
        report(fleet, group[0])
    serving = []
    for _ in range(60):
        fleet.advance(0.1)
        serving.append(fleet.count_serving(LARGE))
        for group in groups:
            report(fleet, group[0])
    assert min(serving) == 1
    assert fleet.planner.slow_vms.replaced_count == 2
    assert not fleet.violations


def test_the_only_group_of_a_model_is_not_replaced() -> None:
    """Callers would be refused; a slow group is better than none."""
    fleet = make_settled_fleet()
    report(fleet, find_members(fleet, LARGE)[0][1])
    fleet.advance(2.0)
    assert fleet.count_serving(LARGE) == 1
    assert fleet.planner.slow_vms.replaced_count == 0


def test_a_group_is_not_closed_without_a_vm_that_takes_the_place() -> None:
    """The group would be missing until another VM has loaded the model."""
    fleet = make_fleet(size=6)
    assert all(run.record.standby is False for run in fleet.planner.list_runs())
    slow = find_members(fleet, SMALL)[0][1]
    report(fleet, slow)
    fleet.advance(1.0)
    assert slow.id in list_serving_ids(fleet, SMALL)


def test_a_group_is_not_closed_while_no_order_reaches_a_member() -> None:
    """It would stop serving, and its VMs could join no other group."""
    fleet = make_fleet()
    members = find_members(fleet, LARGE)[0]
    fleet.not_orderable = {members[0].id}
    report(fleet, members[1])
    fleet.advance(1.0)
    assert members[1].id in list_serving_ids(fleet, LARGE)
    assert not fleet.violations


def test_a_slow_vm_takes_no_place_while_another_one_can() -> None:
    """A group that repairs a loss would be slow from its start."""
    fleet = make_fleet(size=9)
    groups = find_members(fleet, SMALL)
    domain = groups[0][0].domain
    first, other = [group for group in groups if group[0].domain == domain]
    fleet.fail_engine(first[0])
    fleet.fail_engine(other[0])
    report(fleet, first[1], pace=9.0)
    fleet.advance(2.0)
    report(fleet, first[1], pace=9.0)
    fleet.advance(1.0)
    assert other[1].id in list_serving_ids(fleet, SMALL)
    assert first[1].id not in list_serving_ids(fleet, SMALL)


def test_slowness_that_nobody_reports_any_more_is_forgotten() -> None:
    """A VM that was slow once would never serve again."""
    fleet = make_fleet()
    slow = find_members(fleet, LARGE)[0][1]
    report(fleet, slow)
    fleet.advance(6.0)
    assert not fleet.planner.slow_vms.instances
    report(fleet, slow)
    assert fleet.planner.slow_vms.record(slow.id, 1.0, fleet.now)
    assert not fleet.planner.slow_vms.instances


def test_callers_are_answered_while_a_slow_group_is_formed_anew() -> None:
    """A head of an eighth of its speed has a pause of 240 ms at each event.

    The entry process sees it by its streams, avoids the head and reports it.
    The holder asks the members, closes the group and forms it again without
    the slow VM.
    """

    async def test() -> None:
        async with PatientInstallation.running(nodes=1, engines=14) as made:
            await made.settle()
            heads = made.heads("large")
            assert len(heads) >= 2
            slowness = await measure_slowness(partial(made.draft, "n0", "large"))
            deadline_ms = int(made.deadline_s * 1000)
            answers = [
                asyncio.ensure_future(
                    made.draft("n0", "large", 60, deadline_ms=deadline_ms)
                )
                for _ in range(12)
            ]
            await asyncio.sleep(0.5)
            slow = max(heads, key=lambda head: head.streams)
            slow.faults.pace = 8.0
            group = slow.group

            def is_replaced() -> bool:
                return slow.group != group and len(made.heads("large")) >= len(heads)

            await eventually(is_replaced, 10.0 * slowness)
            assert slow.id not in {head.id for head in made.heads("large")}
            assert {answer.status for answer in await asyncio.gather(*answers)} == {200}
            made.assert_sound()

    run(test)


@pytest.mark.parametrize("is_expected", [True, False])
def test_streams_leave_a_slow_head_although_others_begin_late(
    is_expected: bool,
) -> None:
    """Guards against streams that stay slow since a move takes one long pause.

    If first events are expected to be late, streams aren't moved to be on
    time. If not, the slow head's next event ends the attempt elsewhere.
    """

    async def test() -> None:
        async with PatientInstallation.running(nodes=1, engines=14) as made:
            await made.settle()
            heads = made.heads("large")
            ask = partial(made.draft, "n0", "large")
            slowness = await measure_slowness(ask)

            def delay_first_events() -> None:
                for head in heads:
                    head.times.lag_s = (0.18, 0.18)

            if is_expected:
                delay_first_events()
                for _ in range(4):
                    await asyncio.gather(*(ask(5) for _ in range(6)))
            deadline_ms = int(made.deadline_s * 1000)
            answers = [
                asyncio.ensure_future(ask(60, deadline_ms=deadline_ms))
                for _ in range(12)
            ]
            await asyncio.sleep(0.7)
            delay_first_events()
            slow = max(heads, key=lambda head: head.streams)
            slow.faults.pace = 8.0
            await eventually(lambda: slow.streams == 0, 6.0 * slowness)
            ended = await asyncio.gather(*answers)
            assert {(one.status, len(one.events)) for one in ended} == {(200, 60)}

    run(test)
