"""Tests of each safeguard of groups, with the failure that it prevents."""

from dataclasses import replace

import pytest

from tests.group_world import SimulatedFleet, make_configuration, make_model, make_vms
from zinniaspool.core.deployment import FencingSupport
from zinniaspool.core.groups import (
    EvidenceTable,
    FleetIndex,
    Holder,
    HolderLimits,
    OtherDomainsView,
    TimedReport,
    VmCondition,
    WeightLoad,
    WeightLoadQueue,
    decide_orders,
)
from zinniaspool.core.groups.beats import DomainHeartbeat, make_heartbeat
from zinniaspool.core.groups.succession import (
    DomainFailover,
    DomainRole,
    FailoverLimits,
    rank_process,
)
from zinniaspool.core.groups.tracking import TrackingLimits, VmTracker
from zinniaspool.core.ids import (
    CustomerId,
    Epoch,
    FabricDomainId,
    GroupId,
    ModelName,
    ModelVersion,
    NodeId,
    Revision,
    VmId,
)
from zinniaspool.core.plans import (
    DomainPlan,
    DrainCause,
    EngineReport,
    EngineState,
    ExcludedVm,
    ExclusionReason,
    GroupPlan,
    GroupStage,
    OrderKind,
)

_D0 = FabricDomainId("d0")
_A, _B, _C = VmId("d0-0"), VmId("d0-1"), VmId("d0-2")
_GROUP = GroupPlan(
    GroupId("g1"),
    ModelName("m"),
    ModelVersion("1"),
    (CustomerId("a"),),
    (_A, _B),
    Epoch(5),
)
_PLAN = DomainPlan(_D0, (_GROUP,), Epoch(5))


def _ready(vm: VmId, group: GroupPlan = _GROUP, running: int = 0) -> EngineReport:
    return EngineReport(
        vm,
        "b",
        EngineState.READY,
        group.id,
        group.epoch,
        group.model,
        group.version,
        running,
    )


def _one_domain(owners: str, *models: object) -> SimulatedFleet:
    used_models = models or (make_model("m", 2, 0, 1),)
    return SimulatedFleet(make_configuration(make_vms("d0", owners), used_models))  # type: ignore[arg-type]


# Joining and leaving


def test_a_vm_joins_only_once_it_reports_empty() -> None:
    """A VM still has a former group's weights and KV cache loaded.

    If it joined a group now, its cache could be used for another customer's
    prompts. It stays idle until it reports EMPTY itself.
    """
    fleet = _one_domain("aa")
    fleet.reports[_A] = _ready(_A)
    assert not fleet.run_pass(_D0).plan.groups
    assert fleet.run_pass(_D0).plan.groups


def test_what_another_customer_left_is_unloaded_before_a_load() -> None:
    group = replace(_GROUP, id=GroupId("g2"), epoch=Epoch(9))
    plan = DomainPlan(_D0, (group,), Epoch(9))
    orders = decide_orders(plan, {_A: _ready(_A), _B: _ready(_B)})
    assert {order.kind for order in orders} == {OrderKind.UNLOAD}


def test_the_head_is_changed_first() -> None:
    """Entry processes may still send requests to a group that is released.

    Its head would run them without the second VM. The second VM therefore
    gets its order only after the head has reported that it stopped.
    """
    releasing = replace(_GROUP, stage=GroupStage.RELEASING, epoch=Epoch(6))
    plan = DomainPlan(_D0, (releasing,), Epoch(6))
    first = decide_orders(plan, {_A: _ready(_A), _B: _ready(_B)})
    assert [order.vm for order in first] == [_A]
    empty = EngineReport(_A, "b", EngineState.EMPTY)
    then = decide_orders(plan, {_A: empty, _B: _ready(_B)})
    assert [order.vm for order in then] == [_B]


def test_a_released_group_keeps_its_vms_until_they_are_empty() -> None:
    fleet = _one_domain("aa")
    releasing = replace(_GROUP, stage=GroupStage.RELEASING)
    fleet.plans[_D0] = replace(_PLAN, groups=(releasing,))
    fleet.reports = {_A: _ready(_A), _B: EngineReport(_B, "b", EngineState.EMPTY)}
    assert fleet.run_pass(_D0).plan.groups == (releasing,)


def test_a_drained_group_goes_on_until_its_last_request_has_ended() -> None:
    """A planned change interrupts no request; the group waits for the last."""
    fleet = _one_domain("aa", make_model("m", 2, 0, 0))
    draining = replace(_GROUP, stage=GroupStage.DRAINING, cause=DrainCause.SURPLUS)
    fleet.plans[_D0] = replace(_PLAN, groups=(draining,))
    busy = replace(_ready(_A, running=1), state=EngineState.DRAINING)
    fleet.reports = {_A: busy, _B: replace(busy, vm=_B, running=0)}
    assert fleet.run_pass(_D0).plan.groups == (draining,)
    fleet.reports[_A] = replace(busy, running=0)
    assert fleet.run_pass(_D0).plan.groups[0].stage is GroupStage.RELEASING


def test_a_vm_that_settles_stays_out() -> None:
    fleet = _one_domain("aa")
    fleet.plans[_D0] = DomainPlan(
        _D0, (), Epoch(1), (ExcludedVm(_A, ExclusionReason.ABSENT),)
    )
    fleet.conditions[_A] = VmCondition.SETTLING
    assert fleet.run_pass(_D0).plan is fleet.plans[_D0]
    assert fleet.plans[_D0].out


# Planned drains


def test_a_rollout_stops_at_the_first_group_that_fails() -> None:
    model = make_model("m", 1, 1, 3)
    fleet = _one_domain("aaa", model)
    fleet.plan_until_stable()
    fleet.broken_versions = {"2"}
    rolled = replace(model, version=ModelVersion("2"))
    fleet.configuration = make_configuration(make_vms("d0", "aaa"), (rolled,))
    for _ in range(20):
        fleet.run_pass(_D0)
    assert sorted(group.version for group in fleet.list_groups()) == ["1", "1", "2"]


def test_planned_drains_of_one_model_take_turns_over_the_domains() -> None:
    """Two domains each have a slow VM in a group of the same model.

    If both holders drained their groups at the same time, the model would
    have no serving group. The second domain waits until the group of the
    first domain serves again.
    """
    vms = (*make_vms("d0", "aa"), *make_vms("d1", "aa"))
    fleet = SimulatedFleet(make_configuration(vms, (make_model("m", 1, 0, 2),)))
    fleet.plan_until_stable()
    for plan in list(fleet.plans.values()):
        fleet.conditions[plan.groups[0].vms[0]] = VmCondition.STRAGGLING
    for _ in range(6):
        for domain in fleet.index.domains:
            fleet.run_pass(domain)
            assert fleet.count_serving("m") >= 1
    slow = set(fleet.conditions)
    assert not slow & {vm for group in fleet.list_groups() for vm in group.vms}


def test_a_slow_vm_is_not_replaced_at_the_cost_of_a_guarantee() -> None:
    fleet = _one_domain("aaa", make_model("m", 2, 1, 1))
    fleet.plan_until_stable()
    fleet.conditions[_A] = VmCondition.STRAGGLING
    for _ in range(4):
        fleet.run_pass(_D0)
        assert fleet.count_serving("m") == 1


def test_a_group_ends_when_a_vm_passes_to_an_owner_its_customer_may_not_use() -> None:
    fleet = _one_domain("aa")
    fleet.plan_until_stable()
    vms = make_vms("d0", "ab")
    fleet.configuration = make_configuration(vms, (make_model("m", 2, 0, 1),))
    result = fleet.run_pass(_D0)
    assert result.plan.groups[0].stage is GroupStage.DRAINING
    fleet.plan_until_stable()
    assert not fleet.list_groups()


def test_one_group_is_drained_for_one_broken_guarantee() -> None:
    """A guaranteed group lacks a VM; other groups are beyond the guarantee.

    While the VMs of the first victim are drained and emptied, the group
    still lacks its VM. A second victim must not be drained meanwhile.
    """
    models = (make_model("m", 2, 1, 1), make_model("x", 1, 0, 3))
    fleet = _one_domain("aaaaa", *models)
    fleet.plan_until_stable()
    broken = next(group for group in fleet.list_groups() if group.model == "m")
    fleet.make_absent(broken.vms[1])
    results = fleet.plan_until_stable()
    drained = {
        group.id
        for result in results
        for group in result.plan.groups
        if group.cause is DrainCause.REASSIGNED
    }
    assert len(drained) == 1
    assert (fleet.count_serving("m"), fleet.count_serving("x")) == (1, 2)


# Holder


def test_nothing_is_changed_before_every_vm_was_polled_in_this_tenure() -> None:
    """A new holder has reports from before orders of the former holder.

    It proposes and orders nothing until each VM has answered again or is
    absent.
    """
    configuration = make_configuration(
        make_vms("d0", "aa"), (make_model("m", 2, 0, 1),)
    )
    rules = replace(configuration.rules, fencing=FencingSupport.CHECKED)
    holder = Holder(_D0, HolderLimits())
    holder.configure(FleetIndex(replace(configuration, rules=rules)), 0.0)
    empty = [EngineReport(vm, "b", EngineState.EMPTY) for vm in (_A, _B)]
    for report in empty:
        holder.on_report(report, 0.5)
    holder.start_tenure(1.0, 1.0)
    holder.apply_stored_plan(DomainPlan(_D0), Revision(0))
    holder.on_report(empty[0], 1.1)
    assert holder.propose(1.2, OtherDomainsView()) is None
    holder.on_report(empty[1], 1.2)
    proposal = holder.propose(1.3, OtherDomainsView())
    assert proposal is not None
    holder.invalidate_plan()
    assert not holder.may_change(1.3), "the swap's outcome is not known"


def test_a_vm_is_absent_only_after_unanswered_polls() -> None:
    """A process that was suspended for a minute has only old reports.

    If their age alone made the VMs absent, every group would be dissolved.
    """
    tracker = VmTracker(TrackingLimits(absent_after_s=2.5))
    tracker.track([_A], 0.0)
    tracker.on_report(_ready(_A), 1.0)
    tracker.on_no_answer(_A, 60.0)
    assert tracker.get_vm_views(60.0)[_A].condition is VmCondition.PRESENT
    tracker.on_no_answer(_A, 60.3)
    assert tracker.get_vm_views(60.3)[_A].condition is VmCondition.ABSENT


def test_a_slow_vm_backs_off_before_it_may_join_again() -> None:
    """A straggler shows no speed outside a group, and could join at once."""
    tracker = VmTracker(TrackingLimits(slow_after_s=5.0, slow_backoff_s=100.0))
    group = replace(_GROUP, vms=(_A, _B, _C))
    tracker.track(group.vms, 0.0)
    for now in (1.0, 7.0):
        for vm, speed in ((_A, 10.0), (_B, 100.0), (_C, 100.0)):
            tracker.on_report(replace(_ready(vm), tokens_per_s=speed), now)
        tracker.update_stragglers([group], now)
    assert tracker.get_vm_views(50.0)[_A].condition is VmCondition.STRAGGLING
    assert tracker.get_vm_views(50.0)[_B].condition is VmCondition.PRESENT
    assert tracker.get_vm_views(200.0)[_A].condition is VmCondition.PRESENT


def test_loads_never_exceed_the_rate_of_the_weight_store() -> None:
    """After the return of a domain, sixty VMs need their weights at once."""
    queue = WeightLoadQueue(gb_per_s=10.0)
    due = [WeightLoad((1.0,), f"vm{k}", 20.0) for k in range(60)]
    urgent = WeightLoad((0.0,), "urgent", 20.0)
    assert queue.admit([*due, urgent], 0.0) == [urgent]
    left = list(due)
    for tick in range(1, 101):
        admitted = queue.admit(left, float(tick))
        left = [load for load in left if load not in admitted]
        assert queue.admitted_gb <= 10.0 * tick + 20.0
    assert len(left) == 60 - 50


# Evidence and failover


def _make_heartbeat(
    made_at: float, plan: DomainPlan = _PLAN, age: float = 0.0
) -> DomainHeartbeat:
    reports = {vm: TimedReport(_ready(vm), made_at - age) for vm in (_A, _B)}
    return make_heartbeat(plan, reports, "c0@1", made_at)


@pytest.fixture
def table() -> EvidenceTable:
    """Return evidence of a group that serves, from clocks 500 s apart."""
    table = EvidenceTable(stale_after_s=2.0)
    table.apply_plan(_PLAN)
    table.apply_heartbeat(_make_heartbeat(100.0), 0.0, 600.0)
    assert [serving.group for serving in table.find_serving(601.9)] == [_GROUP]
    assert not list(table.find_serving(602.1))
    return table


def test_a_delayed_heartbeat_counts_from_when_it_was_made(
    table: EvidenceTable,
) -> None:
    """The sender was suspended as it sent, and the heartbeat is 30 s late.

    By the ages that it states, its reports are recent. A VM may have failed
    since, and requests would be sent to a group without that VM.
    """
    table.apply_heartbeat(_make_heartbeat(110.0), 0.0, 640.0)
    assert not list(table.find_serving(640.0))
    table.apply_heartbeat(_make_heartbeat(141.0), 0.0, 641.0)
    assert list(table.find_serving(641.0))


def test_heartbeats_of_other_plans_and_without_reports_change_nothing(
    table: EvidenceTable,
) -> None:
    """A witness that is cut off has an older plan, or no reports.

    Neither refutes the evidence of the holder's last heartbeat.
    """
    older = DomainPlan(_D0, (replace(_GROUP, vms=(_C,)),), Epoch(4))
    reports = {_C: TimedReport(_ready(_C), 101.0)}
    table.apply_heartbeat(make_heartbeat(older, reports, "c0@1", 101.0), 0.0, 601.0)
    without_reports = make_heartbeat(_PLAN, {}, "c0@1", 101.5)
    table.apply_heartbeat(without_reports, 0.0, 601.5)
    assert list(table.find_serving(601.5))


def test_a_report_of_another_group_stops_the_group_at_once(
    table: EvidenceTable,
) -> None:
    other = replace(_ready(_B), group=GroupId("g9"))
    reports = {_A: TimedReport(_ready(_A), 100.5), _B: TimedReport(other, 100.5)}
    table.apply_heartbeat(make_heartbeat(_PLAN, reports, "c0@1", 100.5), 0.0, 600.5)
    assert not list(table.find_serving(600.5))


def test_a_witness_takes_over_before_the_evidence_is_stale() -> None:
    """The holder fails, and the store is unreachable.

    No process can then acquire the holder's lease. The process of the next
    rank publishes evidence before the holder's last evidence is stale. The
    process after it receives that heartbeat and stays a standby.
    """
    failover = DomainFailover(FailoverLimits(witness_after_s=1.0), 0.0)
    failover.on_heartbeat(True, False, 0, 10.0)
    assert failover.decide_role(0, 10.9) is DomainRole.STANDBY
    assert failover.decide_role(0, 11.1) is DomainRole.WITNESS
    later = DomainFailover(FailoverLimits(witness_after_s=1.0), 0.0)
    later.on_heartbeat(True, False, 0, 10.0)
    later.on_heartbeat(False, False, 0, 11.2)
    assert later.decide_role(1, 11.4) is DomainRole.STANDBY
    later.on_heartbeat(True, True, 0, 11.5)
    assert later.decide_role(0, 11.5) is DomainRole.CANDIDATE


def test_domains_spread_over_the_control_processes() -> None:
    nodes = [NodeId(f"c{k}") for k in range(8)]
    domains = [FabricDomainId(f"d{k}") for k in range(64)]
    first = [
        sum(rank_process(node, nodes, domain) == 0 for domain in domains)
        for node in nodes
    ]
    assert sum(first) == 64
    assert max(first) <= 16


def test_a_change_of_one_group_leaves_the_others_in_service(
    table: EvidenceTable,
) -> None:
    """A new plan drains one group; the evidence of the others stays valid.

    If it was dropped with the old plan, requests would be refused until the
    next heartbeat each time that any group of the domain changes.
    """
    reports = {vm: TimedReport(_ready(vm), 10.0) for vm in (_A, _B)}
    table.apply_heartbeat(make_heartbeat(_PLAN, reports, "c@1", 10.0), 0.0, 10.0)
    other = replace(_GROUP, id=GroupId("g2"), vms=(_C,), stage=GroupStage.DRAINING)
    table.apply_plan(replace(_PLAN, groups=(other, _GROUP), epoch=Epoch(6)))
    assert [serving.group for serving in table.find_serving(10.5)] == [_GROUP]
    changed = replace(_GROUP, epoch=Epoch(7))
    table.apply_plan(replace(_PLAN, groups=(changed,), epoch=Epoch(7)))
    assert not list(table.find_serving(10.5))
