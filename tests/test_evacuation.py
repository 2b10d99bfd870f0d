"""Evacuated failure domains: the view, the targets and the planner."""

import asyncio
import random
from collections import Counter
from dataclasses import replace

import msgspec
import pytest
from structlog.testing import capture_logs

from tests.formation_world import LARGE, SERVICE, SMALL, SimulatedFleet
from tests.test_belief import RECORD
from zinniaspool.core.dispatch import (
    AdmissionController,
    AdmissionRequest,
    Refusal,
    Target,
    TargetPool,
    TicketState,
    assign_domains,
    find_subset,
)
from zinniaspool.core.fleet import (
    NODES_PREFIX,
    InstanceId,
    MirrorEvent,
    NodeRecord,
    NodeState,
    StoredItem,
)
from zinniaspool.core.formation import OrderAction
from zinniaspool.core.generations import make_revision
from zinniaspool.core.ids import (
    Address,
    CustomerId,
    FabricDomainId,
    FailureDomainId,
    NodeId,
    Revision,
)
from zinniaspool.fleet import FleetView, NodeSettings
from zinniaspool.gateway.evacuations import EvacuationMonitor
from zinniaspool.platform.gateway import make_gateway
from zinniaspool.platform.spelling import PlatformCodec

A, B = FailureDomainId("hall-a"), FailureDomainId("hall-b")
IN_A, IN_B = InstanceId("i-a"), InstanceId("i-b")
ORDER = "op/evacuate/hall-a"
READY = NodeState.READY


# The view.


def _make_item(key: str, revision: Revision, zone: str | None = None) -> StoredItem:
    value = b"{}" if zone is None else msgspec.json.encode({**RECORD, "zone": zone})
    return StoredItem(key, value, revision)


def _read(view: FleetView, items: list[StoredItem], as_of: Revision) -> None:
    view.apply_changes(view.mirror.replace(items, as_of, 0.0))


def _watch(view: FleetView, key: str, value: bytes | None, revision: int) -> None:
    event = MirrorEvent(key, value, Revision(revision))
    view.apply_changes(view.mirror.apply([event], event.revision, 0.0))


def test_an_order_of_before_the_start_precedes_the_first_targets() -> None:
    """Guards against requests between the first instance and the order."""
    view = FleetView(PlatformCodec())
    seen = []
    view.on_instances.append(lambda: seen.append(view.evacuated))
    records = [_make_item("servers/i-a", Revision(3), "hall-a")]
    _read(view, [*records, _make_item(ORDER, Revision(2))], Revision(3))
    assert seen == [{A}]


def test_an_evacuation_is_logged_once_at_its_begin_and_its_end() -> None:
    view = FleetView(PlatformCodec())
    _read(view, [_make_item("servers/i-a", Revision(1), "hall-a")], Revision(1))
    calls: list[tuple[frozenset[FailureDomainId], ...]] = []
    view.on_evacuation.append(lambda began, ended: calls.append((began, ended)))
    with capture_logs() as lines:
        _watch(view, ORDER, b"{}", 2)
        _watch(view, ORDER, b'{"why": "power"}', 3)
        assert view.evacuated == {A}
        _watch(view, ORDER, None, 4)
        assert not view.evacuated
    events = [line["event"] for line in lines]
    assert events == ["evacuation-began", "evacuation-ended"]
    assert calls == [(frozenset({A}), frozenset()), (frozenset(), frozenset({A}))]


def test_an_unknown_failure_domain_is_logged_once() -> None:
    """Guards against a typing error of the operator that nothing shows."""
    view = FleetView(PlatformCodec())
    _read(view, [_make_item("servers/i-a", Revision(1), "hall-a")], Revision(1))
    with capture_logs() as lines:
        _watch(view, "op/evacuate/hall-z", b"{}", 2)
        _watch(view, "op/evacuate/hall-z", b"{}", 3)
    events = [line["event"] for line in lines]
    assert events.count("evacuation-domain-unknown") == 1


def test_the_end_of_an_evacuation_is_not_deferred_by_an_outage() -> None:
    """Guards against a domain closed for as long as removals are deferred."""
    view = FleetView(PlatformCodec())
    _read(view, [_make_item(ORDER, Revision(1))], Revision(1))
    view.mirror.mark_outage(0.0)
    _watch(view, ORDER, None, 2)
    assert not view.evacuated


@pytest.mark.parametrize("in_copy", [False, True])
def test_the_order_applies_as_a_restored_store_has_it(in_copy: bool) -> None:
    """Guards against a domain that stays closed, or open, after a restore."""
    view = FleetView(PlatformCodec())
    before = [] if in_copy else [_make_item(ORDER, make_revision(1, 5))]
    _read(view, [_make_item("x", make_revision(1, 1)), *before], make_revision(1, 9))
    after = [_make_item(ORDER, make_revision(2, 4))] if in_copy else []
    _read(view, [_make_item("x", make_revision(2, 1)), *after], make_revision(2, 9))
    assert view.evacuated == ({A} if in_copy else set())


def test_a_process_that_is_cut_off_keeps_the_order_and_says_so_once() -> None:
    """Guards against a VM that sends requests there and that nothing shows."""
    view = FleetView(PlatformCodec())
    _read(view, [_make_item(ORDER, Revision(1))], Revision(1))
    view.record_confirmation(0.0)
    monitor = EvacuationMonitor(view, 5.0)
    with capture_logs() as lines:
        for tenth in range(200):
            monitor.check(tenth / 10)
    assert [line["event"] for line in lines] == ["evacuations-unconfirmed"]
    assert view.evacuated == {A}


# The targets.


def _make_pool() -> TargetPool:
    """Return a pool with a target in each of two failure domains."""
    target = Target(IN_A, Address("10.0.0.1:1"), A, 8)
    pool = TargetPool(A, random.Random(1))
    pool.update([target, replace(target, instance=IN_B, failure_domain=B)], 0.0)
    return pool


def _find_chosen(pool: TargetPool, *tried: InstanceId) -> InstanceId | None:
    state = pool.choose(1.0, tried)
    return None if state is None else state.target.instance


def test_an_evacuated_target_gets_no_request_not_even_as_a_last_resort() -> None:
    """Guards against retries, resumed streams and last-resort requests there.

    All of them are chosen by the same call; the other target was tried, is
    ejected, or has gone.
    """
    pool = _make_pool()
    pool.set_evacuated(frozenset({A}))
    assert {_find_chosen(pool) for _ in range(50)} == {IN_B}
    assert _find_chosen(pool, IN_B) is None
    (other,) = (state for state in pool if state.target.instance == IN_B)
    other.ejected_until = 9.0
    assert _find_chosen(pool) == IN_B
    pool.update([state.target for state in pool if state is not other], 1.0)
    assert _find_chosen(pool) is None
    assert not pool.has_closed_target(1.0)


def test_a_target_that_arrives_in_an_evacuated_domain_is_closed() -> None:
    """Guards against requests to a group that forms there afterwards."""
    pool = _make_pool()
    (first, second) = (state.target for state in pool)
    pool.update([second], 1.0)
    pool.set_evacuated(frozenset({A}))
    pool.update([first, second], 2.0)
    assert _find_chosen(pool, IN_B) is None


def test_a_returned_target_serves_at_once_with_its_state() -> None:
    """Guards against streams that are forgotten, or learned figures lost."""
    pool = _make_pool()
    state = pool.get(IN_A)
    assert state is not None
    pool.begin_request(state, 100)
    pool.record_outcome(state, True, 1.0)
    pool.set_evacuated(frozenset({A}))
    pool.record_event(state, 1.0)
    assert state in pool.busy and not state.removed
    pool.set_evacuated(frozenset())
    assert pool.get(IN_A) is state
    assert (state.local_requests, state.error_part) == (1, 0.15)
    assert _find_chosen(pool, IN_B) == IN_A


def test_admission_counts_an_evacuated_target_as_removed() -> None:
    """Guards against queues for capacity that is closed.

    A part of the late requests fits while both domains serve. With all
    domains evacuated, requests that wait and new ones are refused at once.
    """
    pool = _make_pool()
    admission = AdmissionController(pool, random.Random(1))
    late = AdmissionRequest(CustomerId("c"), 1, -1.0, 9.0)
    both = admission.refuse(late, 0.0).leftover_per_s
    pool.set_evacuated(frozenset({A}))
    assert admission.refuse(late, 0.0).leftover_per_s == pytest.approx(both / 2)
    queued = admission.submit(late, 0.0)
    assert not isinstance(queued, Refusal)
    pool.set_evacuated(frozenset({A, B}))
    assert admission.admit_waiting(0.1) == [queued]
    assert queued.state is TicketState.ENDED
    assert isinstance(admission.submit(late, 0.1), Refusal)


def test_processes_of_an_evacuated_domain_share_the_targets_of_others() -> None:
    """Guards against callers refused by VMs that know no target's load.

    In a large fleet each process shares targets of its own failure domain.
    The processes of the evacuated one are spread over the others, and all
    processes agree on that.
    """
    nodes = {
        NodeId(f"vm-{n}"): FailureDomainId(f"hall-{'abc'[n % 3]}") for n in range(60)
    }
    shared = assign_domains(nodes, {A})
    counts = [list(shared.values()).count(domain) for domain in set(shared.values())]
    assert counts == [30, 30]
    assert all(shared[node] == nodes[node] for node in nodes if nodes[node] != A)
    subset = find_subset(NodeId("vm-0"), shared[NodeId("vm-0")], shared)
    assert subset.domain != A
    assert subset == replace(
        find_subset(subset.members[-1], shared[subset.members[-1]], shared),
        rank=subset.rank,
    )
    assert assign_domains(nodes, set(nodes.values())) == nodes


def test_a_process_takes_its_subset_from_another_domain_until_the_end() -> None:
    """Guards against an order that the choice of shared targets ignores."""

    async def test() -> None:
        settings = NodeSettings(
            node=NodeId("vm-0"),
            ip="127.0.0.1",
            failure_domain=A,
            region="north",
            caller_address=None,
            ready_address=None,
            directory_address=None,
            control_address=Address("127.0.0.1:1"),
            first_port=2,
            seeds=(),
            store_address=Address("127.0.0.1:3"),
            least_lease_s=1.0,
            heartbeat_s=1.0,
            first_start=False,
            grace_s=1.0,
            address_lifetime_s=1.0,
            stall_s=1.0,
            repeat_ratio=0.2,
            repeat_window_s=10.0,
            repeat_slack=0.0,
            load_window_s=5.0,
        )
        gateway = make_gateway(settings)
        view = gateway._fleet_view
        for number in range(30):
            node = NodeId(f"vm-{number}")
            record = NodeRecord(
                node,
                Address("10.0.0.1:1"),
                Address("10.0.0.1:2"),
                (A, B)[number % 2],
                "north",
                READY,
            )
            _watch(view, NODES_PREFIX + node, msgspec.json.encode(record), number + 1)
        assert gateway._subset.domain == A
        _watch(view, ORDER, b"{}", 40)
        assert gateway._subset.domain == B
        _watch(view, ORDER, None, 41)
        assert gateway._subset.domain == A

    asyncio.run(test())


# The planner.


def _make_fleet(domains: int = 3, size: int = 8) -> SimulatedFleet:
    """Return a settled fleet whose fabric domain d0 is in hall-a."""
    fleet = SimulatedFleet(domains=domains, size=size)
    for engine in fleet.engines.values():
        engine.failure_domain = A if engine.domain == "d0" else B
    fleet.advance(12.0)
    return fleet


def _count_planned(fleet: SimulatedFleet, domain: str) -> int:
    return len(fleet.plans[FabricDomainId(domain)].groups)


def test_groups_in_an_evacuated_domain_stay_open_and_nothing_forms_there() -> None:
    """Guards against streams that are cut, and loads that nobody needs.

    A group there that loses a VM is not replaced there while the other
    failure domain has VMs, and is as soon as the domain is returned.
    """
    fleet = _make_fleet()
    runs = {run.record.group for run in fleet.planner.list_runs()}
    fleet.planner.set_evacuated({A})
    fleet.orders.clear()
    fleet.advance(4.0)
    assert runs <= {run.record.group for run in fleet.planner.list_runs()}
    lost = next(
        fleet.engines[run.record.members[-1]]
        for run in fleet.planner.list_runs()
        if run.record.model == LARGE
        and fleet.engines[run.record.head].failure_domain == A
    )
    fleet.fail_engine(lost)
    fleet.advance(4.0)
    acted = {OrderAction.JOIN, OrderAction.OPEN, OrderAction.STAGE}
    assert not [
        order
        for order in fleet.orders
        if order.action in acted and fleet.engines[order.instance].failure_domain == A
    ]
    serving = fleet.count_serving(LARGE) + fleet.count_serving(SMALL)
    fleet.planner.set_evacuated(set())
    fleet.advance(6.0)
    assert fleet.count_serving(LARGE) + fleet.count_serving(SMALL) > serving
    assert not fleet.violations


def _count_in(fleet: SimulatedFleet, failure_domain: FailureDomainId) -> Counter[str]:
    """Count the groups of a failure domain by model, without standby VMs."""
    return Counter(
        run.record.model
        for run in fleet.planner.list_runs()
        if not run.record.standby
        and fleet.engines[run.record.head].failure_domain == failure_domain
    )


def test_lost_capacity_is_replaced_first_for_the_model_that_lacks_most() -> None:
    """Guards against a model that is full while the other's VMs have room.

    The demand for the small model fits into the groups of both failure
    domains, not into those of one. VMs of the other model take the place of
    the groups that are closed, and groups there stay open.
    """
    fleet = _make_fleet()
    fleet.planner.set_demand({(SERVICE, LARGE): 1.0, (SERVICE, SMALL): 40.0})
    fleet.advance(8.0)
    small, closed = _count_in(fleet, B)[SMALL], _count_in(fleet, A)
    fleet.planner.set_evacuated({A})
    fleet.advance(10.0)
    assert _count_in(fleet, B)[SMALL] > small
    assert _count_in(fleet, A) == closed
    assert not fleet.violations


def test_vms_reserved_in_an_evacuated_domain_are_no_groups_to_come() -> None:
    """Guards against a model that waits for groups that nobody forms."""
    fleet = _make_fleet()
    domain = fleet.planner._domains[FabricDomainId("d0")]
    domain.reserved_for, domain.reserved_groups = SMALL, 2
    domain.reserved_until = fleet.now + 99.0
    provisioning = fleet.planner._provisioning
    assert provisioning.count_reserved_groups(fleet.now) == {SMALL: 2}
    fleet.planner.set_evacuated({A})
    fleet.planner.step(fleet.now)
    assert not provisioning.count_reserved_groups(fleet.now)


def test_groups_are_planned_as_usual_where_all_domains_are_evacuated() -> None:
    """Guards against a fleet that must load everything when it is returned."""
    fleet = _make_fleet()
    fleet.planner.set_evacuated({A, B})
    fleet.advance(1.0)
    serving = fleet.count_serving(LARGE) + fleet.count_serving(SMALL)
    member = fleet.find_members(SMALL)[0]
    fleet.fail_engine(member)
    fleet.advance(6.0)
    now_serving = fleet.count_serving(LARGE) + fleet.count_serving(SMALL)
    assert now_serving >= serving - 1
    assert fleet.find_members(LARGE) and fleet.find_members(SMALL)


def test_a_successor_of_the_holder_plans_by_the_same_order() -> None:
    """Guards against groups formed there by the next holder."""
    fleet = _make_fleet()
    fleet.take_over()
    fleet.planner.set_evacuated({A})
    planned = _count_planned(fleet, "d0")
    fleet.add_vm(FabricDomainId("d0")).failure_domain = A
    fleet.advance(5.0)
    assert _count_planned(fleet, "d0") == planned
