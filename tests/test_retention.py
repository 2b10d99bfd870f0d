"""Groups go on while their records are missing, unless a member is leaving."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec
import pytest
from structlog.testing import capture_logs

from tests.fake_engines import SoundPaths
from tests.fleet_simulation import (
    RECORDS,
    VM_COUNT,
    FakeEngines,
    SimulatedFleet,
    list_engines,
    list_heads,
    wait_until,
)
from tests.test_belief import RECORD, ViewWriter
from tests.virtual_time import run_in_virtual_time
from zinniaspool.core.fleet import Health, HealthAnswer, InstanceId
from zinniaspool.fleet import FleetView
from zinniaspool.keeper import holder
from zinniaspool.keeper.queries import InstanceQueries
from zinniaspool.keeper.retention import MAX_CONCURRENT_CHECKS, InstanceRetainer
from zinniaspool.platform.spelling import PlatformCodec
from zinniaspool_standins.installation import make_rules

HEAD, MEMBER = InstanceId("i-00"), InstanceId("i-01")
KNOWN_S = 0.3
"""Time in seconds in which a decision of the holder reaches all processes."""

MAX_EXPOSURE_S = 2.0
"""Longest time in seconds for which an upstream that leaves gets requests."""


@pytest.fixture(autouse=True)
def simulated_boot_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make the ages of heartbeats follow the simulated time."""
    monkeypatch.setattr(
        time, "clock_gettime", lambda _: asyncio.get_running_loop().time()
    )


def run(test: Callable[[SimulatedFleet], Coroutine[Any, Any, None]]) -> list[Any]:
    """Run a test on a fleet that has settled; return the log lines."""

    async def run_settled() -> None:
        fleet = SimulatedFleet(retains_instances=True)
        fleet.take_over(0)
        await asyncio.sleep(2.0)
        assert fleet.count_users({HEAD}) == VM_COUNT
        await test(fleet)
        fleet.stop()

    with capture_logs() as lines:
        run_in_virtual_time(run_settled)
    return lines


def list_ends(lines: list[Any]) -> list[tuple[str, str, bool]]:
    return [
        (line["instance"], line["reason"], line["was_retained"])
        for line in lines
        if line["event"] == "retention-ended"
    ]


async def watch_use(fleet: SimulatedFleet, seconds: float, least: int) -> None:
    """Check for some time that entry processes use the head without a gap."""
    least_seen = fleet.count_users({HEAD})

    def look() -> None:
        nonlocal least_seen
        least_seen = min(least_seen, fleet.count_users({HEAD}))

    for entry in fleet.entries:
        entry.fleet_view.on_instances.append(look)
    await asyncio.sleep(seconds)
    look()
    for entry in fleet.entries:
        entry.fleet_view.on_instances.remove(look)
    assert least_seen >= least


def test_a_group_goes_on_while_records_of_its_members_are_missing() -> None:
    """Callers would lose a group that serves, for as long as it takes to form.

    A head and a member lose the store for six seconds. The group serves on at
    every entry process without a gap and stays open in the planner, and
    nothing changes when the records return.
    """

    async def test(fleet: SimulatedFleet) -> None:
        fleet.remove_record(HEAD)
        fleet.remove_record(MEMBER)
        await watch_use(fleet, 6.0, VM_COUNT)
        for name in (HEAD, MEMBER):
            assert 6 <= fleet.engines.health_queries.count(name) <= 8
            fleet.write_record(name)
        await watch_use(fleet, 3.0, VM_COUNT)
        views = [entry.fleet_view for entry in fleet.entries]
        assert not any(view.retention.list_kept() for view in views)
        assert not any(view.retention.retained for view in views)

    lines = run(test)
    assert sorted(list_ends(lines)) == [
        (HEAD, "record-returned", True),
        (MEMBER, "record-returned", True),
    ]
    assert "ending" not in [line.get("phase") for line in lines]


ENDS: dict[str, tuple[HealthAnswer | None, dict[str, Any] | None]] = {
    "unhealthy": (HealthAnswer(Health.UNHEALTHY, HEAD), {}),
    "misdirected": (HealthAnswer(Health.MISDIRECTED, None), {}),
    "other-instance": (HealthAnswer(Health.HEALTHY, MEMBER), {}),
    "leaving": (HealthAnswer(Health.HEALTHY, HEAD, is_leaving=True), {}),
    "no-health": (None, {}),
    "no-status": (HealthAnswer(Health.HEALTHY, HEAD), None),
    "restarted": (HealthAnswer(Health.HEALTHY, HEAD), {"born": 2}),
    "other-membership": (HealthAnswer(Health.HEALTHY, HEAD), {"group": None}),
}


@pytest.mark.parametrize("was_retained", [False, True])
@pytest.mark.parametrize("reason", ENDS)
def test_an_upstream_that_may_be_leaving_gets_no_request_after_two_seconds(
    reason: str, was_retained: bool
) -> None:
    """It ends its requests three seconds after it began to leave, unanswered.

    One of its two answers contradicts that it serves, at once or after it has
    been retained for some seconds. No entry process uses it two seconds
    later, or ever again, also if its answers agree by then: the retention has
    ended for good. A status that disagrees counts as much as the health.
    """

    async def test(fleet: SimulatedFleet) -> None:
        fleet.remove_record(HEAD)
        if was_retained:
            await asyncio.sleep(3.3)
            assert fleet.count_users({HEAD}) == VM_COUNT
        fleet.engines.health[HEAD], fleet.engines.statuses[HEAD] = ENDS[reason]
        await asyncio.sleep(MAX_EXPOSURE_S)
        assert not fleet.count_users({HEAD})
        fleet.engines.health.clear()
        fleet.engines.statuses.clear()
        await asyncio.sleep(2.0)
        assert not fleet.count_users({HEAD})
        others = list_heads("d0") - {HEAD}
        assert fleet.count_users(others) == VM_COUNT

    lines = run(test)
    assert list_ends(lines) == [(HEAD, reason, was_retained)]
    assert "member-lost:i-00" in [line.get("reason") for line in lines]


def test_a_dead_upstream_ends_with_its_record() -> None:
    """It answers nothing, so that its group can serve nobody."""

    async def test(fleet: SimulatedFleet) -> None:
        fleet.engines.unreachable = {MEMBER}
        fleet.remove_record(MEMBER)
        await asyncio.sleep(0.8 + KNOWN_S)
        assert not fleet.count_users({HEAD})

    assert list_ends(run(test)) == [(MEMBER, "no-status", False)]


def test_no_health_query_reaches_an_evacuated_failure_domain() -> None:
    """A health query is a request, and none may reach such an upstream."""

    async def test(fleet: SimulatedFleet) -> None:
        fleet.remove_record(MEMBER)
        await asyncio.sleep(KNOWN_S)
        assert fleet.engines.health_queries.count(MEMBER) == 1
        fleet.store.put(f"op/evacuate/{RECORDS[MEMBER]['zone']}", b"{}")
        await asyncio.sleep(3.0)
        assert fleet.engines.health_queries.count(MEMBER) == 1

    assert list_ends(run(test)) == [(MEMBER, "evacuated", True)]


def test_stalled_streams_end_a_retention_in_spite_of_good_answers() -> None:
    """A head that answers all queries but serves nobody would keep its group.

    Its streams are reported as stalled, it is queried at once, and they stall
    again although its answers agree.
    """

    async def test(fleet: SimulatedFleet) -> None:
        fleet.remove_record(HEAD)
        await asyncio.sleep(0.5)
        planning, reporter = fleet.controls[0].holder, fleet.controls[9].node
        asked = len(fleet.engines.health_queries)
        planning.check_group(HEAD, reporter)
        await asyncio.sleep(0.1)
        assert len(fleet.engines.health_queries) == asked + 1
        assert fleet.count_users({HEAD}) == VM_COUNT
        await asyncio.sleep(0.5)
        planning.check_group(HEAD, reporter)
        await asyncio.sleep(KNOWN_S)
        assert not fleet.count_users({HEAD})

    assert list_ends(run(test)) == [(HEAD, "stalled", True)]


def test_no_instance_is_retained_for_ever() -> None:
    """One that never writes a record again would stay in its group unseen."""

    async def test(fleet: SimulatedFleet) -> None:
        fleet.remove_record(HEAD)
        await watch_use(fleet, 11.9, VM_COUNT)
        await asyncio.sleep(0.5 + KNOWN_S)
        assert not fleet.count_users({HEAD})

    assert list_ends(run(test)) == [(HEAD, "too-long", True)]


@pytest.mark.parametrize(
    ("removed_s", "resigns"), [(3.0, False), (0.1, False), (3.0, True)]
)
def test_a_new_holder_goes_on_with_what_its_predecessor_retained(
    removed_s: float, resigns: bool
) -> None:
    """Otherwise the loss of a VM would end all groups without records.

    The holder ends or resigns seconds after a removal, or ends before the
    removal's decision has arrived everywhere. Its successor finds the instance
    in its own memory and queries it itself, which takes a moment.
    """

    async def test(fleet: SimulatedFleet) -> None:
        fleet.remove_record(HEAD)
        await asyncio.sleep(removed_s)
        if resigns:
            election = fleet.controls[0].election
            election.holds_key = election.may_plan = False
        else:
            fleet.kill(fleet.controls[0])
            await asyncio.sleep(0.3)
        fleet.engines.delay_s = 0.1
        fleet.take_over(7)
        await watch_use(fleet, 4.0, len(fleet.entries))
        fleet.write_record(HEAD)
        await watch_use(fleet, 1.0, len(fleet.entries))

    assert list_ends(run(test)) == [(HEAD, "record-returned", True)]


def test_a_new_holder_reports_what_is_retained_while_it_queries_all_engines(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The other processes would drop it before the queries have ended.

    A fabric domain of twelve VMs answers nothing, and the queries of a new
    holder take 2.5 s in all, as in a larger fleet that has lost more.
    """
    monkeypatch.setattr(holder, "MAX_CONCURRENT_QUERIES", 2)

    async def test(fleet: SimulatedFleet) -> None:
        fleet.remove_record(HEAD)
        await asyncio.sleep(3.0)
        fleet.kill(fleet.controls[0])
        fleet.engines.unreachable = list_engines("d1")
        await asyncio.sleep(0.3)
        fleet.take_over(7)
        await watch_use(fleet, 5.0, VM_COUNT - 1)

    assert list_ends(run(test)) == []


def test_without_a_holder_no_instance_is_kept() -> None:
    """Nobody would notice that it is leaving.

    The holder ends and nobody takes over. What it retained is dropped by all
    processes that it reported it to, in time.
    """

    async def test(fleet: SimulatedFleet) -> None:
        fleet.remove_record(HEAD)
        await asyncio.sleep(3.0)
        fleet.kill(fleet.controls[0])
        await asyncio.sleep(MAX_EXPOSURE_S)
        assert not fleet.count_users({HEAD})
        fleet.remove_record(InstanceId("i-03"))
        await asyncio.sleep(0.8 + KNOWN_S)
        assert not fleet.count_users({InstanceId("i-03")})

    run(test)


def test_a_restarted_upstream_replaces_the_retained_one() -> None:
    """Callers would be sent to a group that has lost what it had loaded."""

    async def test(fleet: SimulatedFleet) -> None:
        fleet.remove_record(HEAD)
        await asyncio.sleep(2.0)
        fleet.write_record(HEAD, born=2, group=None, models=[])
        await asyncio.sleep(KNOWN_S)
        assert not fleet.count_users({HEAD})

    run(test)


def test_entry_processes_learn_that_a_retained_group_closes() -> None:
    """They would send requests that its head refuses, and learn of no end.

    The head begins to close its group while its record is missing. Its own
    status shows that, and the holder passes it on.
    """

    async def test(fleet: SimulatedFleet) -> None:
        fleet.remove_record(HEAD)
        await asyncio.sleep(2.0)
        closing = {**RECORDS[HEAD]["group"], "state": "closing"}
        fleet.engines.statuses[HEAD] = {"group": closing}
        await asyncio.sleep(1.0 + KNOWN_S)
        for entry in fleet.entries:
            (state,) = [state for state in entry.index if state.target.instance == HEAD]
            assert state.target.draining

    assert list_ends(run(test)) == []


def test_without_the_contract_a_group_ends_with_its_records() -> None:
    """Guards against a change where upstreams answer no health queries."""

    async def test() -> None:
        fleet = SimulatedFleet()
        fleet.take_over(0)
        await asyncio.sleep(2.0)
        fleet.remove_record(MEMBER)
        await wait_until(lambda: not fleet.count_users({HEAD}), KNOWN_S)
        assert not fleet.engines.health_queries
        fleet.stop()

    run_in_virtual_time(test)


def test_a_vm_without_a_record_joins_no_other_group() -> None:
    """No process would learn that it has, and its old head may still serve.

    A group without records loses a member for good. Its other VMs leave it;
    none of them is ordered into another group before its record returns.
    """

    async def test(fleet: SimulatedFleet) -> None:
        group = [InstanceId(f"i-0{number}") for number in range(3)]
        for name in group:
            fleet.remove_record(name)
        await asyncio.sleep(1.0)
        fleet.engines.unreachable = {MEMBER}
        await asyncio.sleep(4.0)
        joined = [
            order.instance
            for order in fleet.engines.orders
            if order.action.value == "join"
        ]
        assert not set(joined) & set(group)

    assert (MEMBER, "no-status", True) in list_ends(run(test))


@pytest.mark.bounds
@pytest.mark.parametrize("dead", [0, 20])
def test_many_records_at_once_cost_a_bounded_number_of_queries(dead: int) -> None:
    """Guards against a burst that a small VM can't read in time.

    A fifth of 162 upstreams lose the store at the same moment, and some of
    them are dead. All that answer are retained before any process drops them.
    """

    async def test() -> None:
        view = FleetView(PlatformCodec(), retains_instances=True)
        writer = ViewWriter(view)
        writer.write_key("op/config", msgspec.json.encode(make_rules(1, ["key"])))
        records: dict[str, dict[str, Any]] = {
            f"i-{n}": {**RECORD, "address": f"10.1.0.{n}:80"} for n in range(162)
        }
        for name, record in records.items():
            writer.put(InstanceId(name), **record)
        lost = [InstanceId(name) for name in list(records)[:33]]
        engines = FakeEngines(records)
        engines.unreachable = set(lost[:dead])
        tasks: set[asyncio.Task[Any]] = set()

        def start(work: Coroutine[Any, Any, object]) -> None:
            tasks.add(asyncio.create_task(work))

        queries = InstanceQueries(view, engines, None, start, SoundPaths())
        retainer = InstanceRetainer(view, queries, start)
        for _ in range(2):
            view.update_retained({}, 0.0)
            await asyncio.sleep(0.1)
        for name in lost:
            writer.write(name, None)
        for _ in range(80):
            retainer.step()
            await asyncio.sleep(0.01)
        assert view.retention.retained.keys() == set(lost[dead:])
        assert len(engines.health_queries) == 33 + dead
        assert engines.peak <= 2 * MAX_CONCURRENT_CHECKS

    run_in_virtual_time(test)


def test_an_ended_retention_is_not_resumed_by_an_older_report() -> None:
    """The holder would query and retain an instance again that it had dropped.

    Its own view follows the last report, which named the instance until the
    moment in which the retention ended.
    """

    async def test(fleet: SimulatedFleet) -> None:
        view = fleet.controls[0].fleet_view
        fleet.remove_record(HEAD)
        await asyncio.sleep(1.5)
        view.on_instances.append(view.settle_retained)
        fleet.engines.health[HEAD] = HealthAnswer(Health.UNHEALTHY, HEAD)
        await asyncio.sleep(1.0)
        fleet.engines.health.clear()
        await asyncio.sleep(2.0)
        assert HEAD not in view.instances

    assert list_ends(run(test)) == [(HEAD, "unhealthy", True)]
