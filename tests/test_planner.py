"""Tests of planning: whole groups, permitted VMs, guarantees, stable plans."""

from dataclasses import replace

from hypothesis import given, settings, strategies as st

from tests.group_world import SimulatedFleet, make_configuration, make_model, make_vms
from zinniaspool.core.deployment import Configuration, ModelRule, Vm
from zinniaspool.core.groups import (
    ExpectedCostPolicy,
    ShortfallKind,
    VmCondition,
    counts_for_model,
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


def _check_guarantees(fleet: SimulatedFleet) -> None:
    """Assert that no guarantee is missed for which a domain has room."""
    index = fleet.index
    for model in fleet.configuration.rules.models:
        kept = sum(
            g.model == model.name and counts_for_model(g) for g in fleet.list_groups()
        )
        if kept >= model.guaranteed_groups:
            continue
        for domain, vms in index.domains.items():
            used = {vm for g in fleet.plans[domain].groups for vm in g.vms}
            free = [
                vm
                for vm in vms
                if vm.id not in used
                and vm.id not in fleet.conditions
                and vm.owner in index.get_owners(model.name)
            ]
            assert len(free) < model.vms_per_group, (domain, model.name)


@settings(max_examples=150, deadline=None)
@given(st.data(), _configurations())
def test_plans_stay_valid_through_failures_and_changes(
    data: st.DataObject, configuration: Configuration
) -> None:
    """Plans stay valid whatever VMs and operators do.

    VMs leave and return, and operators change models, in any order. After
    each pass no VM is in two groups, and no group spans domains or uses a VM
    that one of its customers may not use. Once plans are stable, planning
    again changes nothing, and no guarantee is missed for which there is
    room.
    """
    fleet = SimulatedFleet(configuration)
    fleet.plan_until_stable()
    _check_guarantees(fleet)
    for _ in range(data.draw(st.integers(1, 4))):
        vms = sorted(fleet.index.vms)
        match data.draw(st.sampled_from(["lose", "back", "leave", "slow", "models"])):
            case "lose":
                fleet.make_absent(
                    *data.draw(st.lists(st.sampled_from(vms), max_size=4))
                )
            case "back":
                fleet.restore(*sorted(fleet.conditions))
            case "leave":
                vm = data.draw(st.sampled_from(vms))
                fleet.conditions[vm] = VmCondition.LEAVING
            case "slow":
                vm = data.draw(st.sampled_from(vms))
                fleet.conditions[vm] = VmCondition.STRAGGLING
            case "models":
                rules = replace(fleet.configuration.rules, models=data.draw(_models()))
                fleet.configuration = replace(fleet.configuration, rules=rules)
        fleet.plan_until_stable()
        _check_guarantees(fleet)


@settings(max_examples=60, deadline=None)
@given(_configurations())
def test_the_same_input_gives_the_same_plan(configuration: Configuration) -> None:
    fleet = SimulatedFleet(configuration)
    for domain in fleet.index.domains:
        inputs = fleet.make_input(domain)
        results = [plan_domain(inputs, fleet.policy, fleet.now) for _ in range(2)]
        assert results[0] == results[1]


def test_guarantees_use_vms_of_groups_beyond_other_guarantees() -> None:
    """A model below its guarantee gets the VMs of another model's group.

    The domain is full, and one of its groups is beyond the guarantee. When a
    model with a guarantee is added, that group is drained and emptied, and
    its VMs are used.
    """
    vms = make_vms("d0", "aaaa")
    extra = make_model("extra", 2, 1, 2)
    fleet = SimulatedFleet(make_configuration(vms, (extra,)))
    fleet.plan_until_stable()
    assert fleet.count_serving("extra") == 2
    urgent = make_model("urgent", 2, 1, 1)
    fleet.configuration = make_configuration(vms, (extra, urgent))
    result = fleet.run_pass(FabricDomainId("d0"))
    assert [g.cause for g in result.plan.groups].count(DrainCause.REASSIGNED) == 1
    fleet.plan_until_stable()
    assert (fleet.count_serving("extra"), fleet.count_serving("urgent")) == (1, 1)


def test_tight_packing_is_found_where_spreading_leaves_holes() -> None:
    vms = (*make_vms("d0", "a" * 6), *make_vms("d1", "a" * 6))
    models = (make_model("big", 3, 2, 2), make_model("small", 2, 3, 3))
    fleet = SimulatedFleet(make_configuration(vms, models))
    results = fleet.plan_until_stable()
    assert (fleet.count_serving("big"), fleet.count_serving("small")) == (2, 3)
    kinds = {shortfall.kind for shortfall in results[-1].shortfalls}
    assert ShortfallKind.GUARANTEE not in kinds


def test_groups_spread_so_that_a_lost_domain_leaves_the_guarantee() -> None:
    """Three groups, two of them guaranteed, spread over three failure domains.

    The guarantee then survives the loss of any failure domain. Where there
    is no room for that, a shortfall is reported.
    """
    vms = tuple(vm for k in range(3) for vm in make_vms(f"d{k}", "aaaa"))
    fleet = SimulatedFleet(make_configuration(vms, (make_model("m", 2, 2, 3),)))
    assert not fleet.plan_until_stable()[-1].shortfalls
    assert {len(plan.groups) for plan in fleet.plans.values()} == {1}
    unspread = SimulatedFleet(make_configuration(vms[:4], (make_model("m", 2, 2, 2),)))
    kinds = [
        shortfall.kind for shortfall in unspread.plan_until_stable()[-1].shortfalls
    ]
    assert kinds == [ShortfallKind.SPREAD]


def test_groups_spread_again_after_a_failed_domain_returns() -> None:
    """After a failure domain failed and returned, groups spread again.

    While it is down, all groups are in the other domain. Once it is back, a
    group is formed there first, and only then is the surplus group drained:
    the number of serving groups never falls meanwhile.
    """
    vms = tuple(vm for k in range(2) for vm in make_vms(f"d{k}", "aaaa"))
    fleet = SimulatedFleet(make_configuration(vms, (make_model("m", 2, 1, 2),)))
    fleet.plan_until_stable()
    failed = [vm.id for vm in vms[:4]]
    fleet.make_absent(*failed)
    fleet.plan_until_stable()
    assert fleet.count_serving("m") == 2
    fleet.restore(*failed)
    for _ in range(12):
        for domain in fleet.index.domains:
            fleet.run_pass(domain)
            assert fleet.count_serving("m") >= 2
    fleet.plan_until_stable()
    assert [len(plan.groups) for plan in fleet.plans.values()] == [1, 1]


def test_a_group_formed_twice_is_drained_once() -> None:
    """Two holders with outdated plans of each other both form one group.

    Once they have both plans, they find the same surplus. One of them then
    drains one group, and it is not formed again.
    """
    vms = (*make_vms("d0", "aa"), *make_vms("d1", "aa"))
    fleet = SimulatedFleet(make_configuration(vms, (make_model("m", 2, 0, 1),)))
    domains = list(fleet.index.domains)
    for domain in domains:
        inputs = fleet.make_input(domain)
        isolated = replace(inputs, plans={})
        result = plan_domain(isolated, fleet.policy, fleet.now)
        if domain == domains[0]:
            assert result.plan.groups
    model = make_model("m", 2, 0, 1)
    for domain in domains:
        domain_vms = [vm for vm in vms if vm.fabric_domain == domain]
        isolated_fleet = SimulatedFleet(make_configuration(tuple(domain_vms), (model,)))
        isolated_fleet.epoch = fleet.epoch
        isolated_fleet.plan_until_stable()
        fleet.plans[domain] = isolated_fleet.plans[domain]
        fleet.reports.update(isolated_fleet.reports)
    fleet.epoch = 100
    assert fleet.count_serving("m") == 2
    drained = [
        result.plan.fabric_domain
        for result in fleet.plan_until_stable()
        if any(g.stage is GroupStage.DRAINING for g in result.plan.groups)
    ]
    assert len(set(drained)) == 1
    assert fleet.count_serving("m") == 1


def test_a_rollout_keeps_the_guarantee_and_pauses_when_a_group_fails() -> None:
    """A new version is loaded group by group, until it fails to load.

    With only the guaranteed groups, a new group is formed first and an old
    group is drained once the new one serves. The rollout of a version that
    never gets ready stops at its first group and ends when the operators
    change the version back.
    """
    vms = make_vms("d0", "aaaaaa")
    model = make_model("m", 2, 2, 2)
    fleet = SimulatedFleet(make_configuration(vms, (model,)))
    fleet.plan_until_stable()

    def _roll(version: str) -> None:
        rolled = replace(model, version=ModelVersion(version))
        fleet.configuration = make_configuration(vms, (rolled,))
        for _ in range(40):
            fleet.run_pass(FabricDomainId("d0"))
            assert fleet.count_serving("m") >= 2

    fleet.broken_versions = {"2"}
    _roll("2")
    assert sorted(g.version for g in fleet.list_groups()) == ["1", "1", "2"]
    _roll("1")
    assert [g.version for g in fleet.list_groups()] == ["1", "1"]
    _roll("3")
    assert [g.version for g in fleet.list_groups()] == ["3", "3"]


def test_a_straggler_is_drained_and_replaced_but_never_without_a_spare() -> None:
    vms = make_vms("d0", "aaa")
    fleet = SimulatedFleet(make_configuration(vms, (make_model("m", 2, 0, 1),)))
    fleet.plan_until_stable()
    fleet.conditions[VmId("d0-0")] = VmCondition.STRAGGLING
    first = fleet.run_pass(FabricDomainId("d0")).plan.groups[0]
    assert (first.stage, first.cause) == (GroupStage.DRAINING, DrainCause.REPLACE)
    fleet.plan_until_stable()
    assert fleet.list_groups()[0].vms == ("d0-1", "d0-2")
    fleet.conditions[VmId("d0-1")] = VmCondition.STRAGGLING
    before = fleet.list_groups()
    fleet.plan_until_stable()
    assert fleet.list_groups() == before


def test_broken_groups_merge_and_a_short_pause_changes_nothing() -> None:
    """Two groups lack a VM each; one serves again with the other's VM.

    Shortly after the loss both wait, since most VMs come back soon and the
    weights take minutes to load.
    """
    vms = make_vms("d0", "aaaa")
    model = replace(make_model("m", 2, 1, 2), weights_gb=1000.0)
    fleet = SimulatedFleet(make_configuration(vms, (model,)))
    fleet.plan_until_stable()
    before = fleet.list_groups()
    fleet.make_absent(*(group.vms[0] for group in before))
    fleet.absent_s = 1.0
    fleet.plan_until_stable()
    assert fleet.list_groups() == before
    fleet.absent_s = 7200.0
    fleet.plan_until_stable()
    assert fleet.count_serving("m") == 1


def test_planned_drains_wait_for_the_end_of_an_announced_peak() -> None:
    vms = make_vms("d0", "aaaa")
    model = make_model("m", 2, 0, 2)
    fleet = SimulatedFleet(make_configuration(vms, (model,)))
    fleet.plan_until_stable()
    rolled = replace(model, version=ModelVersion("2"))
    fleet.configuration = make_configuration(vms, (rolled,))
    inputs = fleet.make_input(FabricDomainId("d0"))
    peak = replace(inputs, peaks=frozenset({ModelName("m")}))
    policy = ExpectedCostPolicy(fleet.configuration.rules.repair)
    assert plan_domain(peak, policy, fleet.now).plan is peak.plan
    assert plan_domain(inputs, policy, fleet.now).plan is not inputs.plan
