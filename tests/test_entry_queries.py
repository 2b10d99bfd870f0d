"""Entry processes query instances that do not answer the holder itself."""

import asyncio
import time
from collections.abc import Coroutine
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from tests.fake_engines import SoundPaths
from tests.fleet_simulation import (
    VM_COUNT,
    FakeEngines,
    SimulatedFleet,
    make_entry_address,
    wait_until,
)
from tests.test_belief import RECORD, ViewWriter
from tests.test_retention import KNOWN_S, list_ends, run, watch_use
from tests.virtual_time import run_in_virtual_time
from zinniaspool.core.fleet import Health, HealthAnswer, InstanceId
from zinniaspool.core.ids import Address, FailureDomainId, GroupId, NodeId
from zinniaspool.core.messages.fleet import InstanceAnswer, InstanceQuery
from zinniaspool.fleet import (
    FleetView,
    ProcessLocation,
    UpstreamConnector,
)
from zinniaspool.gateway.queries import InstanceQueryHandler
from zinniaspool.keeper.metrics import make_controller_metrics
from zinniaspool.keeper.queries import InstanceQueries, list_unresponsive
from zinniaspool.keeper.relays import MAX_CONCURRENT_RELAYS, EntryRelay
from zinniaspool.keeper.retention import InstanceRetainer
from zinniaspool.keeper.suspicion import MAX_SILENCE_S
from zinniaspool.platform.spelling import PlatformCodec
from zinniaspool_standins.installation import make_rules

HEAD, MEMBER, OTHER = InstanceId("i-00"), InstanceId("i-01"), InstanceId("i-02")
MAX_CHECK_S = 0.12 + 0.3 + 0.15
"""Longest time in seconds until a dead instance is known to be dead: two
status queries, and what the second path may add."""


@pytest.fixture(autouse=True)
def simulated_boot_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make the ages of heartbeats follow the simulated time."""
    monkeypatch.setattr(
        time, "clock_gettime", lambda _: asyncio.get_running_loop().time()
    )


def list_events(lines: list[Any], event: str) -> list[str]:
    return [line["instance"] for line in lines if line["event"] == event]


async def report_stalls(fleet: SimulatedFleet, seconds: float, pause_s: float) -> None:
    """Report the streams of the head as stalled again and again."""
    for _ in range(round(seconds / pause_s)):
        fleet.controls[0].holder.check_group(HEAD, fleet.controls[9].node)
        await asyncio.sleep(pause_s)


def read_gauge(fleet: SimulatedFleet, number: int) -> float:
    """Return the number of indirect instances on a control process's page."""
    control = fleet.controls[number]
    store = SimpleNamespace(calls={})
    page = make_controller_metrics(
        control.fleet_view,
        store,
        control.holder,
        UpstreamConnector(control.node, control.domain, control.fleet_view),
    )
    (line,) = [
        line
        for line in page.render().decode().splitlines()
        if line.startswith("zinniaspool_indirect_instances")
    ]
    return float(line.split()[-1])


@pytest.mark.parametrize("cut", [{HEAD}, {MEMBER}, {HEAD, MEMBER}])
def test_a_group_goes_on_while_only_the_holder_reaches_no_member(
    cut: set[InstanceId],
) -> None:
    """Each stall report and each removal would end a group that serves.

    The cut members lose the store too. Streams are reported as stalled while
    their records are there, and once after they have expired.
    """

    async def test(fleet: SimulatedFleet) -> None:
        fleet.engines.cut = cut
        stalls = asyncio.create_task(report_stalls(fleet, 3.0, 0.5))
        await watch_use(fleet, 3.6, VM_COUNT)
        await stalls
        assert fleet.controls[0].holder.queries.indirect == cut
        assert read_gauge(fleet, 0) == len(cut)
        assert read_gauge(fleet, 1) == 0
        for name in cut:
            fleet.remove_record(name)
        await watch_use(fleet, 1.0, VM_COUNT)
        await report_stalls(fleet, 0.5, 0.5)
        await watch_use(fleet, 1.5, VM_COUNT)
        fleet.engines.cut = set()
        for name in cut:
            fleet.write_record(name)
        await watch_use(fleet, 3.0, VM_COUNT)
        assert not fleet.controls[0].holder.queries.indirect

    lines = run(test)
    assert sorted(list_ends(lines)) == [
        (name, "record-returned", True) for name in sorted(cut)
    ]
    assert sorted(list_events(lines, "instance-indirect")) == sorted(cut)
    assert sorted(list_events(lines, "instance-indirect-ended")) == sorted(cut)
    assert not list_events(lines, "instance-lost")
    assert "ending" not in [line.get("phase") for line in lines]


@pytest.mark.parametrize("entries", ["live", "local silent", "all silent"])
def test_a_dead_member_is_found_in_time_on_both_paths(entries: str) -> None:
    """The second path must not delay the end of a group that can't serve."""

    async def test(fleet: SimulatedFleet) -> None:
        if entries == "local silent":
            fleet.silent_entries = {make_entry_address(0)}
        if entries == "all silent":
            fleet.silent_entries = set(map(make_entry_address, range(VM_COUNT)))
        fleet.engines.unreachable = {MEMBER}
        planning = fleet.controls[0].holder
        lost_by = asyncio.get_running_loop().time() + MAX_SILENCE_S + 0.02
        planning.check_group(HEAD, fleet.controls[9].node)
        view = fleet.controls[0].fleet_view
        await wait_until(lambda: MEMBER in view.unreachable, MAX_CHECK_S + 0.02)
        left_s = lost_by - asyncio.get_running_loop().time()
        await wait_until(lambda: not planning.find_suspects(), left_s)
        assert MEMBER in view.unreachable

    lines = run(test)
    assert list_events(lines, "instance-suspected") == [MEMBER]
    assert list_events(lines, "instance-lost") == [MEMBER]


def test_a_dead_member_without_a_record_is_not_retained() -> None:
    """Both paths must have been tried before the grace of 0.8 s ends."""

    async def test(fleet: SimulatedFleet) -> None:
        fleet.engines.unreachable = {MEMBER}
        fleet.remove_record(MEMBER)
        await wait_until(lambda: not fleet.count_users({HEAD}), MAX_CHECK_S + KNOWN_S)

    lines = run(test)
    assert list_ends(lines) == [(MEMBER, "no-status", False)]
    (after_ms,) = [
        line["after_ms"] for line in lines if line["event"] == "retention-ended"
    ]
    assert after_ms <= 1000 * MAX_CHECK_S + 50


CONTRADICTIONS: dict[str, tuple[HealthAnswer, dict[str, Any]]] = {
    "unhealthy": (HealthAnswer(Health.UNHEALTHY, HEAD), {}),
    "misdirected": (HealthAnswer(Health.MISDIRECTED, None), {}),
    "other-instance": (HealthAnswer(Health.HEALTHY, MEMBER), {}),
    "leaving": (HealthAnswer(Health.HEALTHY, HEAD, is_leaving=True), {}),
    "restarted": (HealthAnswer(Health.HEALTHY, HEAD), {"born": 2}),
    "other-membership": (HealthAnswer(Health.HEALTHY, HEAD), {"group": None}),
}


@pytest.mark.parametrize("reason", CONTRADICTIONS)
def test_answers_through_an_entry_process_are_checked_like_others(reason: str) -> None:
    """An upstream that is cut and leaves would get requests until it ends."""

    async def test(fleet: SimulatedFleet) -> None:
        fleet.engines.cut = {HEAD}
        fleet.remove_record(HEAD)
        await asyncio.sleep(3.3)
        assert fleet.count_users({HEAD}) == VM_COUNT
        fleet.engines.health[HEAD], fleet.engines.statuses[HEAD] = CONTRADICTIONS[
            reason
        ]
        await asyncio.sleep(2.0)
        assert not fleet.count_users({HEAD})

    assert list_ends(run(test)) == [(HEAD, reason, True)]


@pytest.mark.parametrize("is_dead", [False, True])
def test_another_entry_process_is_tried_where_the_local_one_is_silent(
    is_dead: bool,
) -> None:
    """The group would end wherever the holder's VM has an older entry process.

    The silent one is left alone for a while, and the other is in another
    failure domain.
    """

    async def test(fleet: SimulatedFleet) -> None:
        local = make_entry_address(0)
        if is_dead:
            fleet.entries = [entry for entry in fleet.entries if entry.number]
        else:
            fleet.silent_entries = {local}
        fleet.engines.cut = {HEAD, MEMBER}
        users = len(fleet.entries)
        await report_stalls(fleet, 2.0, 0.5)
        assert fleet.count_users({HEAD}) == users
        fleet.remove_record(MEMBER)
        await asyncio.sleep(3.0)
        assert fleet.count_users({HEAD}) == users
        assert fleet.requested_entries.count(local) <= 15
        others = set(fleet.requested_entries) - {local}
        domains = {f"hall-{int(entry.split('.')[3][:-3]) % 3}" for entry in others}
        assert domains and "hall-0" not in domains

    lines = run(test)
    assert not list_ends(lines) and not list_events(lines, "instance-lost")


def test_an_entry_process_is_no_second_witness_if_its_vm_is_cut_off() -> None:
    """Guards against groups that end since the holder's VM is cut off.

    Its entry process responds, and receives no answer from an engine either.
    """

    async def test(fleet: SimulatedFleet) -> None:
        fleet.engines.cut = {HEAD, MEMBER}
        fleet.cut_entries = {make_entry_address(0)}
        await report_stalls(fleet, 2.0, 0.5)
        assert fleet.count_users({HEAD}) == VM_COUNT

    lines = run(test)
    assert not list_events(lines, "instance-lost")


@pytest.mark.parametrize(("seconds", "is_lost"), [(0.5, False), (9.0, True)])
def test_late_entry_processes_are_no_witnesses_against_a_cut_member(
    seconds: float, is_lost: bool
) -> None:
    """Guards against groups that end since entry processes answer too late."""

    async def test(fleet: SimulatedFleet) -> None:
        fleet.engines.cut = {MEMBER}
        await report_stalls(fleet, 1.0, 0.5)
        fleet.remove_record(MEMBER)
        await asyncio.sleep(1.0)
        fleet.silent_entries = set(map(make_entry_address, range(VM_COUNT)))
        await report_stalls(fleet, seconds, seconds)
        fleet.silent_entries = set()
        await asyncio.sleep(2.0)
        assert fleet.count_users({HEAD}) == (0 if is_lost else VM_COUNT)

    assert bool(list_ends(run(test))) == is_lost


def test_without_any_entry_process_a_cut_member_counts_as_lost() -> None:
    """Nobody could tell a group that serves from one that doesn't."""

    async def test(fleet: SimulatedFleet) -> None:
        fleet.silent_entries = set(map(make_entry_address, range(VM_COUNT)))
        fleet.engines.cut = {MEMBER}
        await report_stalls(fleet, 1.0, 0.5)
        await asyncio.sleep(KNOWN_S)
        assert not fleet.count_users({HEAD})
        await asyncio.sleep(MAX_SILENCE_S - 1.0)
        assert not fleet.count_users({HEAD})

    assert set(list_events(run(test), "instance-lost")) == {MEMBER}


def test_an_instance_that_orders_do_not_reach_joins_no_group() -> None:
    """A group with it would load weights for nothing, and never open.

    Two groups lose a member each, and the others form a new group. One of
    them is cut, and is used only once it answers the holder again.
    """
    dead = {MEMBER, InstanceId("i-04")}

    async def test(fleet: SimulatedFleet) -> None:
        fleet.engines.unreachable, fleet.engines.cut = dead, {OTHER}
        holder, reporter = fleet.controls[0].holder, fleet.controls[9].node
        holder.check_group(HEAD, reporter)
        await asyncio.sleep(0.2)
        assert holder.queries.not_orderable == {OTHER}
        await asyncio.sleep(0.5)
        holder.check_group(InstanceId("i-03"), reporter)
        await asyncio.sleep(4.0)
        joined = {
            order.instance
            for order in fleet.engines.orders
            if order.action.value == "join"
        }
        assert joined and OTHER not in joined
        old = GroupId("g0")
        assert [run.record.group for run in holder.list_runs()].count(old) == 0
        planned = {name for run in holder.list_runs() for name in run.record.members}
        assert OTHER not in planned
        assert OTHER not in {order.instance for order in fleet.engines.orders}
        fleet.engines.cut = set()
        await asyncio.sleep(2.0)
        assert not holder.queries.not_orderable

    lines = run(test)
    assert list_events(lines, "instance-indirect") == [OTHER]
    assert list_events(lines, "instance-indirect-ended") == [OTHER]


def test_a_new_holder_ends_no_group_whose_members_only_it_does_not_reach() -> None:
    """Its queries to all engines would end a ninth of the groups."""
    cut = {InstanceId(f"i-{number:02}") for number in (1, 6, 12)}

    async def test(fleet: SimulatedFleet) -> None:
        fleet.engines.cut = cut
        fleet.kill(fleet.controls[0])
        await asyncio.sleep(0.3)
        fleet.take_over(7)
        await watch_use(fleet, 3.0, len(fleet.entries))
        assert fleet.controls[7].holder.queries.indirect == cut

    assert "ending" not in [line.get("phase") for line in run(test)]


def make_view(count: int) -> tuple[FleetView, ViewWriter, FakeEngines]:
    """Return a view with a number of instances, and their engines."""
    view = FleetView(PlatformCodec(), retains_instances=True)
    writer = ViewWriter(view)
    writer.write_key("op/config", msgspec.json.encode(make_rules(1, ["key"])))
    records: dict[str, dict[str, Any]] = {
        f"i-{n}": {**RECORD, "address": f"10.1.0.{n}:80"} for n in range(count)
    }
    for name, record in records.items():
        writer.put(InstanceId(name), **record)
    return view, writer, FakeEngines(records)


@pytest.mark.bounds
@pytest.mark.parametrize(("dead", "longest_s"), [(27, 0.6), (90, 1.1), (162, 1.8)])
def test_queries_to_all_engines_stay_bounded(dead: int, longest_s: float) -> None:
    """A new holder that waits for each dead engine would order nobody.

    Of 162 engines, some are dead, and a ninth of the rest is cut.
    """

    async def test() -> None:
        view, _, engines = make_view(162)
        names = list(view.instances)
        engines.unreachable = set(names[:dead])
        engines.cut = set(names[dead::9])
        handler = InstanceQueryHandler(view, engines)
        tasks: set[asyncio.Task[Any]] = set()

        async def request(_: Address, query: InstanceQuery) -> InstanceAnswer:
            answer = await handler.handle(query)
            assert not answer.is_refused
            return answer

        location = ProcessLocation(
            NodeId("vm"), FailureDomainId("hall-a"), local_entry=Address("10.0.0.1:81")
        )
        queries = InstanceQueries(
            view,
            engines,
            EntryRelay(view, location, request),
            lambda work: tasks.add(asyncio.create_task(work)),
            SoundPaths(),
        )

        async def refresh_own(name: InstanceId) -> bool:
            return (
                await queries.query_own_status(view.instances[name], 0.12) is not None
            )

        async def refresh(name: InstanceId) -> bool:
            outcome = await queries.query_status(view.instances[name], (0.3,), None)
            return outcome.answer is not None

        started_at = asyncio.get_running_loop().time()
        left = await list_unresponsive(names, refresh_own, 96)
        left = await list_unresponsive(left, refresh, 96)
        assert set(left) == engines.unreachable
        assert asyncio.get_running_loop().time() - started_at < longest_s
        assert engines.peak <= 96 + MAX_CONCURRENT_RELAYS
        await asyncio.gather(*tasks)
        assert queries.indirect == engines.cut

    run_in_virtual_time(test)


@pytest.mark.bounds
@pytest.mark.parametrize("dead", [0, 10, 20])
def test_many_cut_instances_are_retained_before_they_are_dropped(dead: int) -> None:
    """Guards against dead instances that take the places of those that serve.

    A fifth of 162 upstreams lose the store and the holder at the same moment,
    and some of them are dead.
    """

    async def test() -> None:
        view, writer, engines = make_view(162)
        names = list(view.instances)[:33]
        engines.unreachable, engines.cut = set(names[:dead]), set(names[dead:])
        handler = InstanceQueryHandler(view, engines)
        tasks: set[asyncio.Task[Any]] = set()

        async def request(_: Address, query: InstanceQuery) -> InstanceAnswer:
            answer = await handler.handle(query)
            assert not answer.is_refused
            return answer

        def start(work: Coroutine[Any, Any, object]) -> None:
            tasks.add(asyncio.create_task(work))

        location = ProcessLocation(
            NodeId("vm"), FailureDomainId("hall-a"), local_entry=Address("10.0.0.1:81")
        )
        relay = EntryRelay(view, location, request)
        queries = InstanceQueries(view, engines, relay, start, SoundPaths())
        retainer = InstanceRetainer(view, queries, start)
        for _ in range(2):
            view.update_retained({}, 0.0)
            await asyncio.sleep(0.1)
        for name in names:
            writer.write(name, None)
        for _ in range(75):
            retainer.step()
            await asyncio.sleep(0.01)
        assert view.retention.retained.keys() == engines.cut

    run_in_virtual_time(test)
