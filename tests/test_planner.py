"""Planning: whole groups on permitted VMs, guarantees first, no flapping."""

from dataclasses import replace

from hypothesis import given, settings, strategies as st

from tests.group_world import World, make_configuration, make_model, make_vms
from zinniaspool.core.deployment import Configuration, ModelRule, Vm
from zinniaspool.core.groups import (
    ExpectedCost,
    ShortfallKind,
    VmCondition,
    is_kept,
    plan_domain,
)
from zinniaspool.core.ids import FabricDomainId, ModelName, ModelVersion, VmId
from zinniaspool.core.plans import DrainCause, GroupStage

_OWNERS = "abc"


@st.composite
def _models(draw: st.DrawFn) -> tuple[ModelRule, ...]:
    models = []
    for k in range(draw(st.integers(1, 3))):
        guaranteed = draw(st.integers(0, 2))
        customers = draw(st.sampled_from(["a", "b", "ab", "c"]))
        wanted = guaranteed + draw(st.integers(0, 2))
        size = draw(st.integers(1, 3))
        models.append(make_model(f"m{k}", size, guaranteed, wanted, customers))
    return tuple(models)


@st.composite
def _configurations(draw: st.DrawFn) -> Configuration:
    vms: list[Vm] = []
    for k in range(draw(st.integers(1, 3))):
        owners = draw(st.text(_OWNERS, min_size=1, max_size=7))
        vms += make_vms(f"d{k}", owners, f"f{k % 2}")
    may_use = {
        customer: customer + draw(st.text(_OWNERS, max_size=2)) for customer in _OWNERS
    }
    return make_configuration(tuple(vms), draw(_models()), may_use)


def _check_guarantees(world: World) -> None:
    """No guarantee is missed that some domain has room for."""
    index = world.index
    for model in world.configuration.rules.models:
        kept = sum(g.model == model.name and is_kept(g) for g in world.groups())
        if kept >= model.guaranteed_groups:
            continue
        for domain, vms in index.domains.items():
            used = {vm for g in world.plans[domain].groups for vm in g.vms}
            free = [
                vm
                for vm in vms
                if vm.id not in used
                and vm.id not in world.conditions
                and vm.owner in index.owners(model.name)
            ]
            assert len(free) < model.vms_per_group, (domain, model.name)


@settings(max_examples=150, deadline=None)
@given(st.data(), _configurations())
def test_plans_stay_sound_through_failures_and_changes(
    data: st.DataObject, configuration: Configuration
) -> None:
    """Whatever VMs and operators do, no plan breaks a promise.

    VMs go and come back, and the operators change models, in any order. At
    each step no VM is in two groups, no group spans domains or uses a VM
    that one of its customers may not use; at rest, no guarantee is missed
    that there is room for, and planning again changes nothing.
    """
    world = World(configuration)
    world.settle()
    _check_guarantees(world)
    for _ in range(data.draw(st.integers(1, 4))):
        vms = sorted(world.index.vms)
        match data.draw(st.sampled_from(["lose", "back", "leave", "slow", "models"])):
            case "lose":
                world.lose(*data.draw(st.lists(st.sampled_from(vms), max_size=4)))
            case "back":
                world.restore(*sorted(world.conditions))
            case "leave":
                vm = data.draw(st.sampled_from(vms))
                world.conditions[vm] = VmCondition.LEAVING
            case "slow":
                vm = data.draw(st.sampled_from(vms))
                world.conditions[vm] = VmCondition.STRAGGLING
            case "models":
                rules = replace(world.configuration.rules, models=data.draw(_models()))
                world.configuration = replace(world.configuration, rules=rules)
        world.settle()
        _check_guarantees(world)


@settings(max_examples=60, deadline=None)
@given(_configurations())
def test_the_same_input_gives_the_same_plan(configuration: Configuration) -> None:
    world = World(configuration)
    for domain in world.index.domains:
        looked = world.look(domain)
        steps = [plan_domain(looked, world.policy, world.now) for _ in range(2)]
        assert steps[0] == steps[1]


def test_guarantees_take_vms_from_groups_beyond_theirs() -> None:
    """A model without its guarantee gets VMs of another's extra group.

    The domain is full of groups that their model merely wants. When a model
    with a guarantee is added, one of them is drained, emptied and used.
    """
    vms = make_vms("d0", "aaaa")
    extra = make_model("extra", 2, 1, 2)
    world = World(make_configuration(vms, (extra,)))
    world.settle()
    assert world.serving("extra") == 2
    urgent = make_model("urgent", 2, 1, 1)
    world.configuration = make_configuration(vms, (extra, urgent))
    step = world.step(FabricDomainId("d0"))
    assert [g.cause for g in step.plan.groups].count(DrainCause.REASSIGNED) == 1
    world.settle()
    assert (world.serving("extra"), world.serving("urgent")) == (1, 1)


def test_tight_packing_is_found_where_spreading_leaves_holes() -> None:
    vms = (*make_vms("d0", "a" * 6), *make_vms("d1", "a" * 6))
    models = (make_model("big", 3, 2, 2), make_model("small", 2, 3, 3))
    world = World(make_configuration(vms, models))
    steps = world.settle()
    assert (world.serving("big"), world.serving("small")) == (2, 3)
    kinds = {s.kind for s in steps[-1].shortfalls}
    assert ShortfallKind.GUARANTEE not in kinds


def test_groups_spread_so_that_a_lost_domain_leaves_the_guarantee() -> None:
    """Three groups, two guaranteed, three failure domains: one in each.

    The callers of the model keep their guarantee when any one failure
    domain goes dark; where the rules leave no room for that, the shortfall
    says so.
    """
    vms = tuple(vm for k in range(3) for vm in make_vms(f"d{k}", "aaaa"))
    world = World(make_configuration(vms, (make_model("m", 2, 2, 3),)))
    assert not world.settle()[-1].shortfalls
    assert {len(plan.groups) for plan in world.plans.values()} == {1}
    tight = World(make_configuration(vms[:4], (make_model("m", 2, 2, 2),)))
    kinds = [s.kind for s in tight.settle()[-1].shortfalls]
    assert kinds == [ShortfallKind.SPREAD]


def test_a_dark_domain_and_its_return_end_spread_again() -> None:
    """After a failure domain was dark and is back, its groups spread again.

    While it is dark the guarantee moves to the other domain. Once it is
    back a group is formed there first, and only then the extra one drained:
    the number that serves never falls on the way back.
    """
    vms = tuple(vm for k in range(2) for vm in make_vms(f"d{k}", "aaaa"))
    world = World(make_configuration(vms, (make_model("m", 2, 1, 2),)))
    world.settle()
    lost = [vm.id for vm in vms[:4]]
    world.lose(*lost)
    world.settle()
    assert world.serving("m") == 2
    world.restore(*lost)
    for _ in range(12):
        for domain in world.index.domains:
            world.step(domain)
            assert world.serving("m") >= 2
    world.settle()
    assert [len(plan.groups) for plan in world.plans.values()] == [1, 1]


def test_a_group_formed_twice_is_taken_back_once() -> None:
    """Two holders with old views of each other both form the wanted group.

    Once they see both plans they work out the same surplus, so that one
    group is drained by one of them, and it is not formed again.
    """
    vms = (*make_vms("d0", "aa"), *make_vms("d1", "aa"))
    world = World(make_configuration(vms, (make_model("m", 2, 0, 1),)))
    domains = list(world.index.domains)
    for domain in domains:
        looked = world.look(domain)
        own_view = replace(looked, plans={})
        step = plan_domain(own_view, world.policy, world.now)
        if domain == domains[0]:
            assert step.plan.groups
    model = make_model("m", 2, 0, 1)
    for domain in domains:
        alone = [vm for vm in vms if vm.fabric_domain == domain]
        single = World(make_configuration(tuple(alone), (model,)))
        single.epoch = world.epoch
        single.settle()
        world.plans[domain] = single.plans[domain]
        world.reports.update(single.reports)
    world.epoch = 100
    assert world.serving("m") == 2
    drained = [
        step.plan.fabric_domain
        for step in world.settle()
        if any(g.stage is GroupStage.DRAINING for g in step.plan.groups)
    ]
    assert len(set(drained)) == 1
    assert world.serving("m") == 1


def test_a_rollout_keeps_the_guarantee_and_pauses_when_a_group_fails() -> None:
    """A new version goes group by group; a version that fails goes no further.

    With as many groups as are guaranteed, a new group is formed first and
    an old one drained once it serves. A version that never gets ready stops
    at its first group, and the operators' change back ends it.
    """
    vms = make_vms("d0", "aaaaaa")
    model = make_model("m", 2, 2, 2)
    world = World(make_configuration(vms, (model,)))
    world.settle()

    def _roll(version: str) -> None:
        rolled = replace(model, version=ModelVersion(version))
        world.configuration = make_configuration(vms, (rolled,))
        for _ in range(40):
            world.step(FabricDomainId("d0"))
            assert world.serving("m") >= 2

    world.broken_versions = {"2"}
    _roll("2")
    assert sorted(g.version for g in world.groups()) == ["1", "1", "2"]
    _roll("1")
    assert [g.version for g in world.groups()] == ["1", "1"]
    _roll("3")
    assert [g.version for g in world.groups()] == ["3", "3"]


def test_a_straggler_is_drained_and_replaced_but_never_without_a_spare() -> None:
    vms = make_vms("d0", "aaa")
    world = World(make_configuration(vms, (make_model("m", 2, 0, 1),)))
    world.settle()
    world.conditions[VmId("d0-0")] = VmCondition.STRAGGLING
    first = world.step(FabricDomainId("d0")).plan.groups[0]
    assert (first.stage, first.cause) == (GroupStage.DRAINING, DrainCause.REPLACE)
    world.settle()
    assert world.groups()[0].vms == ("d0-1", "d0-2")
    world.conditions[VmId("d0-1")] = VmCondition.STRAGGLING
    before = world.groups()
    world.settle()
    assert world.groups() == before


def test_broken_groups_merge_and_a_short_pause_changes_nothing() -> None:
    """Two groups lack a VM each: one serves again with the other's VM.

    Right after the loss both wait, since most VMs come back at once and the
    weights take minutes to load.
    """
    vms = make_vms("d0", "aaaa")
    model = replace(make_model("m", 2, 1, 2), weights_gb=1000.0)
    world = World(make_configuration(vms, (model,)))
    world.settle()
    before = world.groups()
    world.lose(*(group.vms[0] for group in before))
    world.absent_s = 1.0
    world.settle()
    assert world.groups() == before
    world.absent_s = 7200.0
    world.settle()
    assert world.serving("m") == 1


def test_moves_wait_for_the_end_of_an_announced_peak() -> None:
    vms = make_vms("d0", "aaaa")
    model = make_model("m", 2, 0, 2)
    world = World(make_configuration(vms, (model,)))
    world.settle()
    rolled = replace(model, version=ModelVersion("2"))
    world.configuration = make_configuration(vms, (rolled,))
    looked = world.look(FabricDomainId("d0"))
    peak = replace(looked, peaks=frozenset({ModelName("m")}))
    policy = ExpectedCost(world.configuration.rules.repair)
    assert plan_domain(peak, policy, world.now).plan is peak.plan
    assert plan_domain(looked, policy, world.now).plan is not looked.plan
