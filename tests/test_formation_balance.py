"""How VMs are shared among models, and reassigned between them."""

from tests.formation_world import (
    ENGINE,
    LARGE,
    SERVICE,
    SMALL,
    SimulatedFleet,
    make_settled_fleet,
)
from zinniaspool.core.formation.balance import (
    ModelDemand,
    Reassignment,
    ServingGroup,
    SettledDomain,
    find_reassignment,
    find_reassignments,
)
from zinniaspool.core.ids import FabricDomainId, GroupId

SMALL_SIZE = 2


def test_groups_follow_the_configured_shares_before_demand_is_known() -> None:
    """Callers of the small model would wait for the first eight seconds.

    At the start only each model's part of the VMs' work is known. A group of
    the large model has twice as many VMs, so the same part of the work needs
    half as many groups.
    """
    fleet = SimulatedFleet(domains=4, size=9)
    fleet.advance(12.0)
    assert (fleet.count_serving(LARGE), fleet.count_serving(SMALL)) == (4, 8)
    assert not fleet.violations


def test_no_group_is_closed_for_balance_while_no_order_reaches_a_member() -> None:
    """It would stop serving, and its VMs could join no other group.

    A VM that stands by is left out, and the other groups are still described.
    """
    fleet = make_settled_fleet()
    (domain,) = fleet.planner._domains.values()
    view = fleet.planner._view
    settled = domain.describe_if_settled(SERVICE, view)
    assert settled is not None
    assert settled.idle_vms == 1
    (standby,) = [
        run.record.head for run in fleet.planner.list_runs() if run.record.standby
    ]
    fleet.not_orderable = {standby}
    fleet.advance(0.2)
    settled = domain.describe_if_settled(SERVICE, view)
    assert settled is not None
    assert settled.idle_vms == 0
    fleet.not_orderable = {fleet.find_members(LARGE)[1].id}
    fleet.advance(0.2)
    assert domain.describe_if_settled(SERVICE, view) is None


def _make_domains(large: int, small: int) -> list[SettledDomain]:
    """Return a domain for each group; its VMs could load either model."""
    groups = [(LARGE, 4)] * large + [(SMALL, 2)] * small
    return [
        SettledDomain(
            [ServingGroup(GroupId(f"g{number}"), model, {LARGE: size, SMALL: size})],
            0,
            {},
        )
        for number, (model, size) in enumerate(groups)
    ]


def _find_reassignment(busy_large: float, busy_small: float) -> Reassignment | None:
    specs = dict(zip((LARGE, SMALL), ENGINE.models, strict=True))
    demands = [
        ModelDemand(specs[LARGE], ENGINE.slots, busy_large),
        ModelDemand(specs[SMALL], ENGINE.slots, busy_small),
    ]
    groups = {LARGE: 3, SMALL: 3}
    return find_reassignment(demands, groups, _make_domains(3, 3))


def test_a_model_that_the_next_loss_would_fill_is_no_donor() -> None:
    """Callers of the large model would be refused after the next loss.

    A burst fills half of the small model's slots, and no caller waits. A
    quarter of the large model's slots are in use. With one group reassigned
    and another one lost, the large model would have one group for all of its
    callers.
    """
    assert _find_reassignment(9.0, 20.0) is None


def test_a_burst_closes_groups_of_two_domains_at_once() -> None:
    """Callers of the small model would wait for four seconds, not for two."""
    specs = dict(zip((LARGE, SMALL), ENGINE.models, strict=True))
    demands = [
        ModelDemand(specs[LARGE], ENGINE.slots, 12.0),
        ModelDemand(specs[SMALL], ENGINE.slots, 110.0),
    ]
    found = find_reassignments(demands, {LARGE: 6, SMALL: 6}, _make_domains(6, 6))
    assert [it.model for it in found] == [SMALL, SMALL]
    assert len({group for it in found for group in it.groups}) == 2
    assert found[-1].groups_after == {LARGE: 4, SMALL: 10}


def test_groups_are_reassigned_to_a_model_that_is_full() -> None:
    reassignment = _find_reassignment(6.0, 36.0)
    assert reassignment is not None
    assert reassignment.model == SMALL


def test_vms_are_reassigned_to_the_model_in_demand() -> None:
    fleet = SimulatedFleet(domains=3)
    fleet.advance(12.0)
    service = next(iter(fleet.planner.list_runs())).record.service
    before = fleet.count_serving(SMALL)
    fleet.planner.set_demand({(service, LARGE): 4.0, (service, SMALL): 36.0})
    fleet.advance(8.0)
    assert fleet.count_serving(SMALL) > before
    assert fleet.count_serving(LARGE) >= 1
    assert not fleet.violations


def test_vms_that_changed_their_model_can_change_back_soon() -> None:
    """Callers of the large model would wait for a load of sixteen seconds.

    In a burst, VMs are reassigned to the small model, which replaces the
    large model in their accelerators' memory. The large model is staged on
    their hosts again in the background, so that they can serve it within
    seconds after the burst.
    """
    fleet = SimulatedFleet(domains=3)
    fleet.advance(12.0)
    fleet.planner.set_demand({(SERVICE, LARGE): 4.0, (SERVICE, SMALL): 60.0})
    fleet.advance(40.0)
    changed = [engine for engine in fleet.engines.values() if engine.model == SMALL]
    assert len(changed) > 3 * SMALL_SIZE
    assert all(LARGE in engine.staged for engine in changed)
    fleet.planner.set_demand({(SERVICE, LARGE): 36.0, (SERVICE, SMALL): 4.0})
    fleet.advance(4.0)
    assert fleet.count_serving(LARGE) == 3
    assert not fleet.violations


def test_reserved_vms_that_still_load_count_for_their_model() -> None:
    """The small model would lose one group after another.

    The large model is short of groups, and VMs that are freed for it load its
    weights for sixteen seconds. It is as short of groups meanwhile. Each
    further group that is closed for it serves no caller for as long.
    """
    fleet = SimulatedFleet(domains=6, size=9)
    fleet.staging_enabled = False
    fleet.advance(12.0)
    fleet.load_time_part = 1.0
    before = fleet.count_serving(SMALL)
    fleet.planner.set_demand({(SERVICE, LARGE): 140.0, (SERVICE, SMALL): 30.0})
    closed = set()
    for _ in range(140):
        fleet.advance(0.1)
        closed |= {
            run.record.group
            for run in fleet.planner.list_runs()
            if run.reason.startswith("balance")
        }
    assert 0 < len(closed) <= 4
    assert fleet.count_serving(SMALL) >= before - 4
    assert not fleet.violations


def test_a_loading_vm_does_not_delay_a_reassignment() -> None:
    """Callers of the large model would wait while VMs of the small one idle.

    Losses have left the large model without a group. A VM has just arrived
    and loads for many seconds. The reassignment of the small model's groups
    must not wait for it.
    """
    fleet = SimulatedFleet(domains=2, size=9)
    fleet.advance(12.0)
    for _ in range(2):
        for member in fleet.find_members(LARGE)[:2]:
            fleet.fail_engine(member)
        fleet.advance(0.2)
    fleet.add_vm(FabricDomainId("d0"))
    fleet.add_vm(FabricDomainId("d1"))
    fleet.planner.set_demand({(SERVICE, LARGE): 30.0, (SERVICE, SMALL): 5.0})
    fleet.advance(6.0)
    assert fleet.count_serving(LARGE) >= 1
    assert not fleet.violations
