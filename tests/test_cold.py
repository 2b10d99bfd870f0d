"""Cold upstreams: shares of entry VMs, and when an upstream counts as cold."""

import asyncio
import random
from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import replace
from pathlib import Path

import msgspec
import pytest
from hypothesis import given, settings, strategies as st
from structlog.testing import capture_logs

from tests.formation_world import ENGINE, LARGE, SimulatedFleet, make_idle_instance
from tests.test_belief import RECORD
from tests.virtual_time import run_in_virtual_time
from zinniaspool.core.dispatch import (
    Backpressure,
    ColdBound,
    ColdShare,
    Target,
    TargetPool,
    TargetState,
    find_cold_share,
)
from zinniaspool.core.fleet import (
    NODES_PREFIX,
    InstanceId,
    InstanceIncarnation,
    MirrorEvent,
    NodeRecord,
    NodeState,
)
from zinniaspool.core.formation.allocation import Candidate, ModelNeed, select_group
from zinniaspool.core.ids import Address, FailureDomainId, NodeId, Revision
from zinniaspool.fleet import FleetView
from zinniaspool.gateway.cold import ColdTracker
from zinniaspool.gateway.targets import TargetIndex
from zinniaspool.platform.nodefile import read_node_file
from zinniaspool.platform.rules import decode_rules
from zinniaspool.platform.spelling import PlatformCodec
from zinniaspool_standins.installation import make_rules

PER_S, BOUND = 26.0, ColdBound(1.5, 5.0)
ALLOWED = int(PER_S * BOUND.over + BOUND.slack)
SHARED = BOUND.count_shared(PER_S)
A = FailureDomainId("hall-a")
UPSTREAM = InstanceIncarnation(InstanceId("i-1"), 1000)

Nodes = Mapping[NodeId, FailureDomainId]


def _make_nodes(count: int) -> dict[NodeId, FailureDomainId]:
    return {
        NodeId(f"vm-{n}"): FailureDomainId(f"hall-{'abc'[n % 3]}") for n in range(count)
    }


def _find_share(node: NodeId, nodes: Nodes) -> int:
    return find_cold_share(node, nodes, UPSTREAM, A, SHARED)


# Shares.


@pytest.mark.parametrize("count", [1, 2, 8, 12, 21, 22, 23, 58, 61, 200])
def test_shares_add_up_to_at_most_the_rate(count: int) -> None:
    """Guards against more requests than the rate while all VMs agree."""
    nodes = _make_nodes(count)
    shares = [_find_share(node, nodes) for node in nodes]
    assert SHARED / 2 < sum(shares) <= SHARED <= PER_S


def test_vms_of_the_upstreams_failure_domain_have_shares_first() -> None:
    """Guards against shares of VMs that don't use the upstream."""
    nodes = _make_nodes(61)
    owners = [node for node in nodes if _find_share(node, nodes)]
    assert len(owners) == SHARED
    assert sum(nodes[node] == A for node in owners) == 21


def test_a_new_incarnation_is_assigned_to_other_vms() -> None:
    """Guards against the same few VMs for every cold upstream."""
    nodes = _make_nodes(200)
    owners = [
        {node for node in nodes if find_cold_share(node, nodes, incarnation, A, SHARED)}
        for incarnation in (UPSTREAM, UPSTREAM._replace(started_at_ms=2000))
    ]
    assert owners[0] != owners[1]


def test_the_share_of_a_lost_vm_is_unused_until_the_lists_agree() -> None:
    nodes = _make_nodes(61)
    owners = {node for node in nodes if _find_share(node, nodes)}
    lost = min(owners)
    assert sum(_find_share(node, nodes) for node in nodes if node != lost) < SHARED
    left = {node: domain for node, domain in nodes.items() if node != lost}
    agreed = {node for node in left if _find_share(node, left)}
    assert len(agreed) == SHARED
    assert owners - agreed == {lost}


def test_a_vm_that_no_list_names_has_no_share() -> None:
    """Guards against hundreds of VMs that each believe to be alone."""
    assert _find_share(NodeId("vm-9"), {}) == 0
    assert _find_share(NodeId("vm-9"), _make_nodes(3)) == 0


def _draw_list(node: NodeId, nodes: Nodes, source: random.Random) -> Nodes:
    """Return a list that lacks a third of the other VMs."""
    others = [other for other in nodes if other != node]
    kept = source.sample(others, len(others) - len(nodes) // 3)
    return {other: nodes[other] for other in [node, *kept]}


def _simulate(count: int, seed: int) -> list[float]:
    """Return when requests arrive that VMs send as fast as they may.

    Each VM's list lacks a third of the VMs, and is another one after two
    seconds. Some processes start again in between. Requests take up to 30 ms.
    """
    source = random.Random(seed)
    nodes = _make_nodes(count)
    arrivals = []
    for node in nodes:
        share = ColdShare(4.0)
        share.requests = _find_share(node, _draw_list(node, nodes, source))
        share.opens_at = 0.0
        restarts_at = source.choice([9.0, source.uniform(0.0, 4.0)])
        now, changed = source.uniform(0.0, 1.0), False
        while now < 4.0:
            if now >= restarts_at:
                restarts_at, requests = 9.0, share.requests
                share = ColdShare(4.0)
                share.requests, share.opens_at = requests, now + 1.0
            if now >= 2.0 and not changed:
                changed = True
                share.requests = _find_share(node, _draw_list(node, nodes, source))
            if share.find_opening() <= now:
                share.record_request(now)
                arrivals.append(now + source.uniform(0.0, 0.03))
            now += 0.02
    return sorted(arrivals)


@settings(max_examples=60, deadline=None)
@given(count=st.integers(1, 80), seed=st.integers(0, 2**32))
def test_the_bound_holds_while_lists_differ_by_a_third(count: int, seed: int) -> None:
    """Guards against a crash of a cold upstream while VMs are cut off.

    The bound holds in any second, wherever it begins.
    """
    arrivals = _simulate(count, seed)
    for position, begin in enumerate(arrivals):
        assert bisect_left(arrivals, begin + 1.0) - position <= ALLOWED


def test_a_process_that_has_just_started_has_used_up_its_share() -> None:
    """Guards against a share before a restart and another one after it."""
    share = ColdShare(9.0)
    share.requests, share.opens_at = 2, 5.0
    assert share.find_opening() == 5.0
    for sent_at in (5.0, 5.5):
        share.record_request(sent_at)
    assert share.find_opening() == 6.0
    share.record_request(6.0)
    assert share.find_opening() == 6.5


def test_a_cold_target_is_closed_like_any_other_and_opens_when_warm() -> None:
    """Guards against callers that are told to come back too soon."""
    target = Target(UPSTREAM.instance, Address("10.0.0.1:1"), A, 8)
    asked = {target.incarnation: Backpressure(cold=ColdShare(3.0))}
    pool = TargetPool(A, random.Random(1), asked)
    pool.update([target], 0.0)
    assert pool.choose(2.9) is None and pool.has_closed_target(2.9)
    retry_after_s = pool.draw_retry_after(1.0)
    assert retry_after_s is not None and retry_after_s >= 2.0
    assert pool.choose(3.0) is not None


# When an upstream is cold.


class _Process:
    """An entry process's view, targets and cold upstreams, without sockets."""

    def __init__(self, nodes: int = 1) -> None:
        self.view = FleetView(PlatformCodec())
        self.index = TargetIndex(self.view, A)
        self.tracker = ColdTracker(NodeId("vm-0"), self.view, self.index, BOUND)
        self.view.on_instances.append(self._refresh)
        self.revision = 0
        rules = make_rules(3, ["k"])
        for service in rules["services"]:
            service |= {"cold-start-s": 3.0, "cold-per-s": PER_S}
        self.write("op/config", msgspec.json.encode(rules))
        for number in range(nodes):
            node = NodeId(f"vm-{number}")
            record = NodeRecord(
                node,
                Address("10.0.0.1:1"),
                Address("10.0.0.1:2"),
                A,
                "north",
                NodeState.READY,
            )
            self.write(NODES_PREFIX + node, msgspec.json.encode(record))

    def _refresh(self) -> None:
        self.index.refresh(asyncio.get_running_loop().time())

    def write(self, key: str, value: bytes | None) -> None:
        self.revision += 1
        event = MirrorEvent(key, value, Revision(self.revision))
        self.view.apply_changes(self.view.mirror.apply([event], event.revision, 0.0))

    def put(self, cold_ms: int = 0, **changes: object) -> None:
        """Write the record of the plain upstream i-1."""
        record = RECORD | {"service": "cards", "group": None, "cold-left-ms": cold_ms}
        self.write("servers/i-1", msgspec.json.encode(record | changes))

    @property
    def state(self) -> TargetState:
        found = self.index.find_state(UPSTREAM.instance)
        assert found is not None
        return found

    def count_open_s(self) -> float:
        """Return the seconds until the upstream is warm; 0 if it is."""
        now = asyncio.get_running_loop().time()
        self.tracker.expire(now)
        backpressure = self.state.backpressure
        if backpressure is None or backpressure.cold is None:
            return 0.0
        return round(backpressure.cold.until - now, 3)


def _run(test: Callable[[_Process], object]) -> None:
    async def main() -> None:
        process = _Process()
        await asyncio.sleep(10.0)
        result = test(process)
        if asyncio.iscoroutine(result):
            await result

    run_in_virtual_time(main)


@pytest.mark.parametrize("born", [1, 10**15])
def test_a_record_counts_from_its_arrival_whatever_its_vms_clock_says(
    born: int,
) -> None:
    """Guards against clocks that are wrong by hours."""

    async def test(process: _Process) -> None:
        process.put(2500, born=born)
        assert process.count_open_s() == 2.5
        await asyncio.sleep(1.0)
        assert process.count_open_s() == 1.5
        await asyncio.sleep(1.6)
        assert process.count_open_s() == 0.0

    _run(test)


def test_a_start_before_the_first_traffic_does_not_count_and_one_later_does() -> None:
    """Guards against a fleet that serves nothing in its first seconds.

    The upstream that starts again under its id is another incarnation, whose
    record may not say that it is cold.
    """

    def test(process: _Process) -> None:
        process.put()
        assert process.count_open_s() == 0.0
        process.tracker.record_request(process.state)
        process.put(born=2000)
        assert process.count_open_s() == 3.0

    _run(test)


def test_a_record_that_comes_back_is_no_start() -> None:
    """Guards against limits after an upstream had lost the store."""

    def test(process: _Process) -> None:
        process.put()
        process.tracker.record_request(process.state)
        process.write("servers/i-1", None)
        process.put()
        assert process.count_open_s() == 0.0

    _run(test)


def test_an_upstream_may_become_cold_again_and_warm_before_its_time() -> None:
    async def test(process: _Process) -> None:
        process.put(2000)
        await asyncio.sleep(5.0)
        assert process.count_open_s() == 0.0
        with capture_logs() as lines:
            process.put(2000, slots=9)
            assert process.count_open_s() == 2.0
            await asyncio.sleep(0.5)
            process.put(0)
            assert process.count_open_s() == 0.0
        events = [line["event"] for line in lines]
        assert events == ["upstream-cold", "upstream-warm"]

    _run(test)


def test_a_record_that_a_status_amends_says_nothing_new_of_coldness() -> None:
    """Guards against an upstream that stays cold as long as it is queried."""

    async def test(process: _Process) -> None:
        process.put(3000)
        await asyncio.sleep(2.0)
        item = process.view.mirror.get("servers/i-1")
        assert item is not None
        amended = item.value.replace(b'"slots":13', b'"slots":12')
        process.view.apply_changes(process.view.mirror.amend(item.key, amended))
        assert process.state.target.slots == 12
        assert process.count_open_s() == 1.0

    _run(test)


def test_upstreams_of_a_returned_failure_domain_are_cold() -> None:
    def test(process: _Process) -> None:
        process.put()
        process.tracker.record_request(process.state)
        process.write("op/evacuate/hall-a", b"{}")
        process.write("op/evacuate/hall-b", b"{}")
        process.write("op/evacuate/hall-b", None)
        assert process.count_open_s() == 0.0
        process.write("op/evacuate/hall-a", None)
        assert process.count_open_s() == 3.0

    _run(test)


def test_requests_to_a_cold_upstream_are_counted_and_end_with_the_share() -> None:
    """Guards against requests that the share doesn't see."""

    def test(process: _Process) -> None:
        process.put(3000)
        now, sent = asyncio.get_running_loop().time(), 0
        while process.state.is_open(now):
            process.tracker.record_request(process.state)
            sent += 1
        assert sent == process.tracker.request_count == SHARED
        assert process.state.find_opening() == now + 1.0

    _run(test)


def test_no_limit_applies_where_the_configuration_names_none() -> None:
    def test(process: _Process) -> None:
        process.write("op/config", msgspec.json.encode(make_rules(9, ["k"])))
        process.put(3000)
        assert process.state.backpressure is None

    _run(test)


def test_coldness_and_its_bounds_are_read_from_the_platforms_formats(
    tmp_path: Path,
) -> None:
    """Guards against a limit that is silently never in force."""
    path = tmp_path / "node.toml"
    path.write_text(
        'node-name = "n"\nip = "10.1.0.4"\nzone = "z"\nregion = "r"\n'
        "internal-ports = [1, 2]\nlisten-addrs = {}\n"
        "bounds = { evac-ms = 4000, cold-over = 1.25, cold-slack = 3 }\n"
        'platform = { address = "10.2.0.7:8" }\n'
    )
    node = read_node_file(path)
    assert (node.evacuation_s, node.cold_over, node.cold_slack) == (4.0, 1.25, 3.0)
    rules = make_rules(3, ["k"])
    rules["services"][1] |= {"cold-start-s": 2.5, "cold-per-s": 26}
    services = decode_rules(msgspec.json.encode(rules)).unwrap().services.values()
    found = {(spec.name, spec.cold_start_s, spec.cold_per_s) for spec in services}
    assert found == {("drafting", 0.0, 0.0), ("cards", 2.5, 26.0)}
    value = msgspec.json.encode(RECORD | {"cold-left-ms": 1500.5})
    record = PlatformCodec().decode_instance("servers/i-1", value).unwrap()
    assert record.cold_left_s == 1.5005


# Heads of groups.


def test_the_head_of_a_group_is_not_cold_if_the_group_has_another_vm() -> None:
    """Guards against a group that takes few requests for its first seconds."""
    vms = [
        Candidate(make_idle_instance(f"i{number}"), LARGE, False, cold=number < 3)
        for number in range(4)
    ]
    needs = [ModelNeed(spec, 1, 10.0, 0.6) for spec in ENGINE.models]
    chosen = select_group(vms, needs, Counter(), Counter())
    assert chosen is not None
    assert chosen.members == ("i3", "i0", "i1", "i2")


def test_the_planner_takes_coldness_from_records_for_as_long_as_they_say() -> None:
    fleet = SimulatedFleet(size=3)
    inventory = fleet.planner._inventory
    cold = replace(make_idle_instance("i9"), cold_left_s=2.0)
    for now, record in ((1.0, cold), (2.0, replace(cold, slots=9))):
        fleet.planner.update_instances({record.id: record})
        fleet.planner.step(now)
    assert inventory.is_cold(cold.id, 2.9) and not inventory.is_cold(cold.id, 3.0)
    fleet.planner.update_instances({cold.id: replace(cold, cold_left_s=0.0)})
    fleet.planner.step(2.5)
    assert not inventory.is_cold(cold.id, 2.6)
