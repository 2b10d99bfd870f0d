"""Instances that answer no query: whether their groups go on or end."""

import asyncio
import time
from collections.abc import Callable
from typing import Any, cast

import pytest

from tests.fake_engines import RECORDS
from tests.fleet_simulation import (
    VM_COUNT,
    SimulatedFleet,
    list_engines,
    list_heads,
    wait_until,
)
from tests.installation import free_address
from tests.test_belief import ViewWriter
from tests.test_retention import KNOWN_S, run
from zinniaspool.core.fleet import Instance, InstanceId
from zinniaspool.core.ids import Address, FailureDomainId, NodeId
from zinniaspool.fleet import UpstreamConnector
from zinniaspool.keeper.queries import QueryOutcome
from zinniaspool.keeper.suspicion import MAX_SILENCE_S

HEAD = InstanceId("i-00")
GROUP = {InstanceId(f"i-{number:02}") for number in range(3)}
ALL = list_engines("d0") | list_engines("d1")
MAX_CHECK_S = 0.57
TOLERANCE_S = 0.02


@pytest.fixture(autouse=True)
def simulated_boot_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make the ages of heartbeats follow the simulated time."""
    monkeypatch.setattr(
        time, "clock_gettime", lambda _: asyncio.get_running_loop().time()
    )


def report_stall(fleet: SimulatedFleet, *heads: InstanceId) -> None:
    for head in heads:
        fleet.controls[0].holder.check_group(head, fleet.controls[9].node)


def select(lines: list[Any], event: str) -> list[Any]:
    return [line for line in lines if line["event"] == event]


def assert_all_goes_on(fleet: SimulatedFleet, lines: list[Any]) -> None:
    assert not select(lines, "instance-lost")
    assert "ending" not in [line.get("phase") for line in lines]
    orders = {order.action.value for order in fleet.engines.orders}
    assert orders <= {"stage"}


@pytest.mark.parametrize("silent", [{HEAD}, GROUP, ALL])
@pytest.mark.parametrize("silent_s", [1.0, 1.4])
def test_groups_go_on_after_a_silence(silent: set[InstanceId], silent_s: float) -> None:
    """Guards against groups that are ended although their members go on."""
    seen: list[SimulatedFleet] = []

    async def test(fleet: SimulatedFleet) -> None:
        seen.append(fleet)
        heads = (list_heads("d0") | list_heads("d1")) & silent
        fleet.engines.unreachable = silent
        report_stall(fleet, *heads)
        await asyncio.sleep(MAX_CHECK_S + KNOWN_S)
        assert not fleet.count_users(heads)
        report_stall(fleet, *heads)
        await asyncio.sleep(silent_s - MAX_CHECK_S - KNOWN_S)
        fleet.engines.unreachable = set()
        await asyncio.sleep(KNOWN_S)
        assert all(fleet.count_users({head}) == VM_COUNT for head in heads)

    lines = run(test)
    assert_all_goes_on(seen[0], lines)
    regained = [line["instance"] for line in select(lines, "instance-regained")]
    assert sorted(regained) == sorted(silent)


@pytest.mark.parametrize("dead", [GROUP, ALL])
def test_what_stays_silent_is_lost_in_time(dead: set[InstanceId]) -> None:
    """Guards against groups that never end although they can't serve."""

    async def test(fleet: SimulatedFleet) -> None:
        fleet.engines.unreachable = dead
        heads = (list_heads("d0") | list_heads("d1")) & dead
        report_stall(fleet, *heads)
        holder = fleet.controls[0].holder
        await asyncio.sleep(MAX_SILENCE_S - TOLERANCE_S)
        assert holder.find_suspects() == dead
        await wait_until(lambda: not holder.find_suspects(), 2 * TOLERANCE_S)

    lines = run(test)
    lost = select(lines, "instance-lost")
    assert sorted(line["instance"] for line in lost) == sorted(dead)
    assert {line["reason"] for line in lost} == {"silent"}
    assert {line["silent_ms"] for line in lost} <= {1999, 2000}


def test_a_check_that_shows_nothing_is_repeated(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against lost groups that a busy holder checks only once."""

    async def test(fleet: SimulatedFleet) -> None:
        queries = fleet.controls[0].holder.queries
        query_status = queries.query_status
        queried: set[InstanceId] = set()

        async def query_late(known: Instance, *limits: Any) -> QueryOutcome[Any]:
            outcome = await query_status(known, *limits)
            if known.id in queried:
                return outcome
            queried.add(known.id)
            return QueryOutcome(None, is_inconclusive=True)

        monkeypatch.setattr(queries, "query_status", query_late)
        fleet.engines.unreachable = GROUP
        report_stall(fleet, HEAD)
        await asyncio.sleep(2 * MAX_CHECK_S + KNOWN_S)
        assert fleet.controls[0].holder.find_suspects() == GROUP

    run(test)


def test_queries_to_a_suspect_are_few() -> None:
    """Guards against queries that cost more than they find out."""

    async def test(fleet: SimulatedFleet) -> None:
        fleet.engines.unreachable = {HEAD}
        report_stall(fleet, HEAD)
        await asyncio.sleep(MAX_CHECK_S)
        before = len(fleet.engines.relayed)
        for _ in range(3):
            report_stall(fleet, HEAD)
            await asyncio.sleep(0.5)
        asked = [name for _, name in fleet.engines.relayed[before:]]
        assert asked.count(HEAD) <= 8

    run(test)


def test_what_refuses_connections_is_lost_at_once() -> None:
    """Guards against seconds without a group whose process has ended."""

    async def test(fleet: SimulatedFleet) -> None:
        fleet.engines.unreachable = {HEAD}
        fleet.engines.refusing.add(Address(RECORDS[HEAD]["address"]))
        report_stall(fleet, HEAD)
        await asyncio.sleep(MAX_CHECK_S + TOLERANCE_S)

    lines = run(test)
    (lost,) = select(lines, "instance-lost")
    assert (lost["instance"], lost["reason"]) == (HEAD, "refused")


def test_a_leaving_instance_that_has_closed_its_port_is_not_lost() -> None:
    """Guards against groups that end before their last streams have."""

    async def test(fleet: SimulatedFleet) -> None:
        fleet.write_record(HEAD, state="draining")
        fleet.engines.unreachable = {HEAD}
        fleet.engines.refusing.add(Address(RECORDS[HEAD]["address"]))
        await asyncio.sleep(KNOWN_S)
        report_stall(fleet, HEAD)
        await asyncio.sleep(2 * MAX_SILENCE_S)
        assert fleet.controls[0].holder.find_suspects() == {HEAD}

    assert not select(run(test), "instance-lost")


@pytest.mark.parametrize("silent", [GROUP, ALL])
def test_a_new_holder_ends_nothing_during_a_silence(silent: set[InstanceId]) -> None:
    """Guards against a takeover that ends all groups that are silent."""
    seen: list[SimulatedFleet] = []

    async def test(fleet: SimulatedFleet) -> None:
        seen.append(fleet)
        fleet.engines.unreachable = silent
        fleet.kill(fleet.controls[0])
        await asyncio.sleep(0.3)
        fleet.take_over(7)
        await asyncio.sleep(1.1)
        assert fleet.controls[7].holder.find_suspects() == silent
        fleet.engines.unreachable = set()
        await asyncio.sleep(1.0)
        assert not fleet.controls[7].holder.find_suspects()

    lines = run(test)
    assert_all_goes_on(seen[0], lines)


def test_a_new_holder_finds_what_is_lost() -> None:
    """Guards against suspicions of a takeover that never end."""

    async def test(fleet: SimulatedFleet) -> None:
        fleet.engines.unreachable = list_engines("d1")
        fleet.kill(fleet.controls[0])
        await asyncio.sleep(0.3)
        holder = fleet.take_over(7).holder
        await wait_until(lambda: holder.find_suspects(), 1.0)
        await wait_until(lambda: not holder.find_suspects(), MAX_SILENCE_S)

    lost = select(run(test), "instance-lost")
    assert {line["instance"] for line in lost} == list_engines("d1")


@pytest.mark.parametrize("frozen_after_s", [0.05, 0.3, 0.7, 1.1])
def test_time_in_which_the_holder_stood_still_is_no_silence(
    frozen_after_s: float,
) -> None:
    """Guards against groups that a holder ends after it stood still."""
    seen: list[SimulatedFleet] = []

    async def test(fleet: SimulatedFleet) -> None:
        seen.append(fleet)
        fleet.engines.unreachable = ALL
        report_stall(fleet, *list_heads("d0"))
        await asyncio.sleep(frozen_after_s)
        cast(Any, asyncio.get_running_loop())._jumping.now += 3.0
        await asyncio.sleep(0.3)
        fleet.engines.unreachable = set()
        await asyncio.sleep(1.0)
        assert not fleet.controls[0].holder.find_suspects()

    lines = run(test)
    assert_all_goes_on(seen[0], lines)


@pytest.mark.parametrize(
    ("is_listening", "reaches_other", "is_refused"),
    [(False, True, True), (False, False, False), (True, True, False)],
)
def test_a_refusal_counts_only_where_another_upstream_is_reached(
    is_listening: bool, reaches_other: bool, is_refused: bool
) -> None:
    """Guards against a device on the way that refuses all connections."""

    async def test() -> None:
        writers: list[asyncio.StreamWriter] = []
        say_nothing: Callable[..., Any] = lambda _, opened: writers.append(opened)  # noqa: E731
        writer, address, other = ViewWriter(), free_address(), free_address()
        listening = [address] * is_listening + [other] * reaches_other
        servers = [
            await asyncio.start_server(say_nothing, *one.split(":"))
            for one in listening
        ]
        writer.put(InstanceId("i-0"), address=address)
        writer.put(InstanceId("i-1"), address=other)
        paths = UpstreamConnector(NodeId("n"), FailureDomainId("a"), writer.view)
        assert await paths.is_refused(address) is is_refused
        paths.close()
        for server in servers:
            server.close()
        for opened in writers:
            opened.transport.abort()

    asyncio.run(test())
