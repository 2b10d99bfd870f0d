"""Each safeguard of groups on its own, with the failure that it prevents."""

from dataclasses import replace

import pytest

from tests.group_world import World, make_configuration, make_model, make_vms
from zinniaspool.core.deployment import FencingSupport
from zinniaspool.core.groups import (
    EvidenceBook,
    FleetIndex,
    FleetKnowledge,
    Holder,
    HolderLimits,
    Load,
    LoadQueue,
    SeenReport,
    VmCondition,
    decide_orders,
)
from zinniaspool.core.groups.beats import DomainBeat, make_beat
from zinniaspool.core.groups.succession import (
    Duty,
    Succession,
    SuccessionLimits,
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


def _one_domain(owners: str, *models: object) -> World:
    chosen = models or (make_model("m", 2, 0, 1),)
    return World(make_configuration(make_vms("d0", owners), chosen))  # type: ignore[arg-type]


# Joining and leaving


def test_a_vm_joins_only_once_it_reports_empty() -> None:
    """A VM still holds a former group's weights and KV cache.

    Were it to join now, another customer's prompts could be answered from
    its cache. It stays idle until it reports EMPTY itself.
    """
    world = _one_domain("aa")
    world.reports[_A] = _ready(_A)
    assert not world.step(_D0).plan.groups
    assert world.step(_D0).plan.groups


def test_what_another_customer_left_is_unloaded_before_a_load() -> None:
    group = replace(_GROUP, id=GroupId("g2"), epoch=Epoch(9))
    plan = DomainPlan(_D0, (group,), Epoch(9))
    orders = decide_orders(plan, {_A: _ready(_A), _B: _ready(_B)})
    assert {order.kind for order in orders} == {OrderKind.UNLOAD}


def test_the_vm_that_takes_requests_is_changed_first() -> None:
    """Entries may still send to a group that its holder takes apart.

    Its first VM would run requests with the second one gone. So the second
    gets its order only when the first reports that it stopped.
    """
    releasing = replace(_GROUP, stage=GroupStage.RELEASING, epoch=Epoch(6))
    plan = DomainPlan(_D0, (releasing,), Epoch(6))
    first = decide_orders(plan, {_A: _ready(_A), _B: _ready(_B)})
    assert [order.vm for order in first] == [_A]
    empty = EngineReport(_A, "b", EngineState.EMPTY)
    then = decide_orders(plan, {_A: empty, _B: _ready(_B)})
    assert [order.vm for order in then] == [_B]


def test_a_released_group_keeps_its_vms_until_they_are_empty() -> None:
    world = _one_domain("aa")
    releasing = replace(_GROUP, stage=GroupStage.RELEASING)
    world.plans[_D0] = replace(_PLAN, groups=(releasing,))
    world.reports = {_A: _ready(_A), _B: EngineReport(_B, "b", EngineState.EMPTY)}
    assert world.step(_D0).plan.groups == (releasing,)


def test_a_drained_group_goes_on_until_its_last_request_has_ended() -> None:
    """A planned change cuts no request: the group stays while one runs."""
    world = _one_domain("aa", make_model("m", 2, 0, 0))
    draining = replace(_GROUP, stage=GroupStage.DRAINING, cause=DrainCause.SURPLUS)
    world.plans[_D0] = replace(_PLAN, groups=(draining,))
    busy = replace(_ready(_A, running=1), state=EngineState.DRAINING)
    world.reports = {_A: busy, _B: replace(busy, vm=_B, running=0)}
    assert world.step(_D0).plan.groups == (draining,)
    world.reports[_A] = replace(busy, running=0)
    assert world.step(_D0).plan.groups[0].stage is GroupStage.RELEASING


def test_a_vm_that_settles_stays_out() -> None:
    world = _one_domain("aa")
    world.plans[_D0] = DomainPlan(
        _D0, (), Epoch(1), (ExcludedVm(_A, ExclusionReason.ABSENT),)
    )
    world.conditions[_A] = VmCondition.SETTLING
    assert world.step(_D0).plan is world.plans[_D0]
    assert world.plans[_D0].out


# Moves


def test_a_rollout_stops_at_the_first_group_that_fails() -> None:
    model = make_model("m", 1, 1, 3)
    world = _one_domain("aaa", model)
    world.settle()
    world.broken_versions = {"2"}
    rolled = replace(model, version=ModelVersion("2"))
    world.configuration = make_configuration(make_vms("d0", "aaa"), (rolled,))
    for _ in range(20):
        world.step(_D0)
    assert sorted(group.version for group in world.groups()) == ["1", "1", "2"]


def test_moves_of_one_model_take_turns_over_the_domains() -> None:
    """Two domains each have a slow VM in a group of the same model.

    Both holders would drain at once and leave the model with one group; the
    second domain waits until the first one's group serves again.
    """
    vms = (*make_vms("d0", "aa"), *make_vms("d1", "aa"))
    world = World(make_configuration(vms, (make_model("m", 1, 0, 2),)))
    world.settle()
    for plan in list(world.plans.values()):
        world.conditions[plan.groups[0].vms[0]] = VmCondition.STRAGGLING
    for _ in range(6):
        for domain in world.index.domains:
            world.step(domain)
            assert world.serving("m") >= 1
    slow = set(world.conditions)
    assert not slow & {vm for group in world.groups() for vm in group.vms}


def test_a_slow_vm_is_not_replaced_at_the_cost_of_a_guarantee() -> None:
    world = _one_domain("aaa", make_model("m", 2, 1, 1))
    world.settle()
    world.conditions[_A] = VmCondition.STRAGGLING
    for _ in range(4):
        world.step(_D0)
        assert world.serving("m") == 1


def test_a_group_ends_when_a_vm_passes_to_an_owner_its_customer_may_not_use() -> None:
    world = _one_domain("aa")
    world.settle()
    vms = make_vms("d0", "ab")
    world.configuration = make_configuration(vms, (make_model("m", 2, 0, 1),))
    step = world.step(_D0)
    assert step.plan.groups[0].stage is GroupStage.DRAINING
    world.settle()
    assert not world.groups()


def test_one_group_is_taken_for_one_broken_guarantee() -> None:
    """A guaranteed group lacks a VM for long; two others are beyond theirs.

    While the first victim's VMs are drained and emptied, the group still
    lacks its VM; a second victim must not be taken meanwhile.
    """
    models = (make_model("m", 2, 1, 1), make_model("x", 1, 0, 3))
    world = _one_domain("aaaaa", *models)
    world.settle()
    broken = next(group for group in world.groups() if group.model == "m")
    world.lose(broken.vms[1])
    steps = world.settle()
    taken = {
        group.id
        for step in steps
        for group in step.plan.groups
        if group.cause is DrainCause.REASSIGNED
    }
    assert len(taken) == 1
    assert (world.serving("m"), world.serving("x")) == (1, 2)


# Holder


def test_nothing_is_changed_before_every_vm_was_asked_in_this_tenure() -> None:
    """A new holder knows reports from before: the former may have ordered.

    Until each VM has answered again, or been silent for long enough, it
    proposes nothing and orders nothing.
    """
    configuration = make_configuration(
        make_vms("d0", "aa"), (make_model("m", 2, 0, 1),)
    )
    rules = replace(configuration.rules, fencing=FencingSupport.CHECKED)
    holder = Holder(_D0, HolderLimits())
    holder.configure(FleetIndex(replace(configuration, rules=rules)), 0.0)
    empty = [EngineReport(vm, "b", EngineState.EMPTY) for vm in (_A, _B)]
    for report in empty:
        holder.note_report(report, 0.5)
    holder.take(1.0, 1.0)
    holder.read_plan(DomainPlan(_D0), Revision(0))
    holder.note_report(empty[0], 1.1)
    assert holder.propose(1.2, FleetKnowledge()) is None
    holder.note_report(empty[1], 1.2)
    proposal = holder.propose(1.3, FleetKnowledge())
    assert proposal is not None
    holder.doubt_plan()
    assert not holder.may_change(1.3), "the swap's outcome is not known"


def test_silence_counts_only_when_asked() -> None:
    """A process that was stopped for a minute has only old reports.

    Taking their age for the VMs' silence would dissolve every group.
    """
    tracker = VmTracker(TrackingLimits(absent_s=2.5))
    tracker.begin([_A], 0.0)
    tracker.note_report(_ready(_A), 1.0)
    tracker.note_silence(_A, 60.0)
    assert tracker.views(60.0)[_A].condition is VmCondition.PRESENT
    tracker.note_silence(_A, 60.3)
    assert tracker.views(60.3)[_A].condition is VmCondition.ABSENT


def test_a_slow_vm_rests_before_it_may_join_again() -> None:
    """Out of its group a straggler shows no speed, and would join at once."""
    tracker = VmTracker(TrackingLimits(slow_s=5.0, slow_rest_s=100.0))
    group = replace(_GROUP, vms=(_A, _B, _C))
    tracker.begin(group.vms, 0.0)
    for now in (1.0, 7.0):
        for vm, speed in ((_A, 10.0), (_B, 100.0), (_C, 100.0)):
            tracker.note_report(replace(_ready(vm), tokens_per_s=speed), now)
        tracker.note_speeds([group], now)
    assert tracker.views(50.0)[_A].condition is VmCondition.STRAGGLING
    assert tracker.views(50.0)[_B].condition is VmCondition.PRESENT
    assert tracker.views(200.0)[_A].condition is VmCondition.PRESENT


def test_loads_never_exceed_the_rate_of_the_weight_store() -> None:
    """A domain returns and sixty VMs want their weights at once."""
    queue = LoadQueue(gb_per_s=10.0)
    due = [Load((1.0,), f"vm{k}", 20.0) for k in range(60)]
    urgent = Load((0.0,), "urgent", 20.0)
    assert queue.admit([*due, urgent], 0.0) == [urgent]
    left = list(due)
    for tick in range(1, 101):
        admitted = queue.admit(left, float(tick))
        left = [load for load in left if load not in admitted]
        assert queue.begun_gb <= 10.0 * tick + 20.0
    assert len(left) == 60 - 50


# Evidence and succession


def _beat(made_at: float, plan: DomainPlan = _PLAN, age: float = 0.0) -> DomainBeat:
    seen = {vm: SeenReport(_ready(vm), made_at - age) for vm in (_A, _B)}
    return make_beat(plan, seen, "c0@1", made_at)


@pytest.fixture
def book() -> EvidenceBook:
    """Return evidence of a group that serves, from clocks 500 s apart."""
    book = EvidenceBook(stale_after_s=2.0)
    book.take_plan(_PLAN)
    book.take_beat(_beat(100.0), 0.0, 600.0)
    assert [found.group for found in book.find_serving(601.9)] == [_GROUP]
    assert not list(book.find_serving(602.1))
    return book


def test_a_beat_that_was_held_up_counts_from_when_it_was_made(
    book: EvidenceBook,
) -> None:
    """The sender was stopped as it sent, and the beat arrives 30 s late.

    By its own words the reports in it are fresh. A VM may have died since,
    and requests would go to a group without it.
    """
    book.take_beat(_beat(110.0), 0.0, 640.0)
    assert not list(book.find_serving(640.0))
    book.take_beat(_beat(141.0), 0.0, 641.0)
    assert list(book.find_serving(641.0))


def test_beats_of_other_plans_and_without_reports_change_nothing(
    book: EvidenceBook,
) -> None:
    """A witness that is cut off tells of an older plan, or has heard nobody.

    Neither says anything against what the holder's beat said just before.
    """
    older = DomainPlan(_D0, (replace(_GROUP, vms=(_C,)),), Epoch(4))
    seen = {_C: SeenReport(_ready(_C), 101.0)}
    book.take_beat(make_beat(older, seen, "c0@1", 101.0), 0.0, 601.0)
    nobody = make_beat(_PLAN, {}, "c0@1", 101.5)
    book.take_beat(nobody, 0.0, 601.5)
    assert list(book.find_serving(601.5))


def test_a_report_of_another_group_stops_the_group_at_once(
    book: EvidenceBook,
) -> None:
    other = replace(_ready(_B), group=GroupId("g9"))
    seen = {_A: SeenReport(_ready(_A), 100.5), _B: SeenReport(other, 100.5)}
    book.take_beat(make_beat(_PLAN, seen, "c0@1", 100.5), 0.0, 600.5)
    assert not list(book.find_serving(600.5))


def test_a_witness_goes_on_within_the_time_that_evidence_lasts() -> None:
    """The holder dies; the store is out, so nobody can take its lease.

    The next process in the order passes evidence on before the last one's
    is void; the one after it hears that and stays quiet.
    """
    succession = Succession(SuccessionLimits(witness_after_s=1.0), 0.0)
    succession.hear(True, False, 0, 10.0)
    assert succession.decide(0, 10.9) is Duty.STANDBY
    assert succession.decide(0, 11.1) is Duty.WITNESS
    later = Succession(SuccessionLimits(witness_after_s=1.0), 0.0)
    later.hear(True, False, 0, 10.0)
    later.hear(False, False, 0, 11.2)
    assert later.decide(1, 11.4) is Duty.STANDBY
    later.hear(True, True, 0, 11.5)
    assert later.decide(0, 11.5) is Duty.TAKE


def test_domains_spread_over_the_control_processes() -> None:
    nodes = [NodeId(f"c{k}") for k in range(8)]
    domains = [FabricDomainId(f"d{k}") for k in range(64)]
    first = [
        sum(rank_process(node, nodes, domain) == 0 for domain in domains)
        for node in nodes
    ]
    assert sum(first) == 64
    assert max(first) <= 16


def test_a_change_of_one_group_leaves_the_others_in_service(book: EvidenceBook) -> None:
    """A new plan drains another group; this one's evidence is still true.

    Were it dropped with the old plan, callers would be refused until the
    next beat, each time that any group of the domain changes.
    """
    reports = {vm: SeenReport(_ready(vm), 10.0) for vm in (_A, _B)}
    book.take_beat(make_beat(_PLAN, reports, "c@1", 10.0), 0.0, 10.0)
    other = replace(_GROUP, id=GroupId("g2"), vms=(_C,), stage=GroupStage.DRAINING)
    book.take_plan(replace(_PLAN, groups=(other, _GROUP), epoch=Epoch(6)))
    assert [found.group for found in book.find_serving(10.5)] == [_GROUP]
    changed = replace(_GROUP, epoch=Epoch(7))
    book.take_plan(replace(_PLAN, groups=(changed,), epoch=Epoch(7)))
    assert not list(book.find_serving(10.5))
