"""How VMs are shared among models, and move from one to another."""

from tests.formation_world import (
    ENGINE,
    LARGE,
    SERVICE,
    SMALL,
    FormationWorld,
)
from zinniaspool.core.formation.balance import (
    Conversion,
    DomainShape,
    ModelDemand,
    ServingGroup,
    find_conversion,
    find_conversions,
)
from zinniaspool.core.ids import FabricDomainId, GroupId

SMALL_SIZE = 2


def test_before_anything_is_measured_groups_follow_the_work_of_their_vms() -> None:
    """Callers of the small model would be late for the first eight seconds.

    All that is known at the start is which part of the VMs' work each model
    has. A group of the large one has twice as many of them, so that the same
    part needs half as many groups.
    """
    world = FormationWorld(domains=4, size=9)
    world.advance(12.0)
    assert (world.serving(LARGE), world.serving(SMALL)) == (4, 8)
    assert not world.broken


def _make_shapes(large: int, small: int) -> list[DomainShape]:
    """Return one domain a group, all of whose VMs could hold either model."""
    groups = [(LARGE, 4)] * large + [(SMALL, 2)] * small
    return [
        DomainShape(
            [ServingGroup(GroupId(f"g{number}"), model, {LARGE: size, SMALL: size})],
            0,
            {},
        )
        for number, (model, size) in enumerate(groups)
    ]


def _convert(busy_large: float, busy_small: float) -> Conversion | None:
    specs = dict(zip((LARGE, SMALL), ENGINE.models, strict=True))
    demands = [
        ModelDemand(specs[LARGE], ENGINE.slots, busy_large),
        ModelDemand(specs[SMALL], ENGINE.slots, busy_small),
    ]
    groups = {LARGE: 3, SMALL: 3}
    return find_conversion(demands, groups, _make_shapes(3, 3))


def test_few_groups_are_not_taken_from_where_the_next_loss_would_fill_them() -> None:
    """Callers of the large model are refused after the next loss.

    A burst fills half of the small model's slots, and nobody waits; of the
    large model's it is a quarter. With a group given away and another one
    lost, the large model would have one for all of its callers.
    """
    assert _convert(9.0, 20.0) is None


def test_a_burst_takes_groups_of_two_domains_at_once() -> None:
    """Callers of the small model are late for two seconds, not for four."""
    specs = dict(zip((LARGE, SMALL), ENGINE.models, strict=True))
    demands = [
        ModelDemand(specs[LARGE], ENGINE.slots, 12.0),
        ModelDemand(specs[SMALL], ENGINE.slots, 110.0),
    ]
    found = find_conversions(demands, {LARGE: 6, SMALL: 6}, _make_shapes(6, 6))
    assert [one.model for one in found] == [SMALL, SMALL]
    assert len({group for one in found for group in one.groups}) == 2
    assert found[-1].after == {LARGE: 4, SMALL: 10}


def test_groups_are_taken_where_the_other_model_is_full() -> None:
    conversion = _convert(6.0, 36.0)
    assert conversion is not None
    assert conversion.model == SMALL


def test_vms_move_to_the_model_that_is_asked_for() -> None:
    world = FormationWorld(domains=3)
    world.advance(12.0)
    service = next(iter(world.planner.runs())).record.service
    before = world.serving(SMALL)
    world.planner.set_demand({(service, LARGE): 4.0, (service, SMALL): 36.0})
    world.advance(8.0)
    assert world.serving(SMALL) > before
    assert world.serving(LARGE) >= 1
    assert not world.broken


def test_vms_that_changed_their_model_can_change_back_soon() -> None:
    """Callers of the large model wait for a load of sixteen seconds.

    A burst has taken VMs to the small model, which replaced the large one in
    their accelerators. It is staged on their hosts again in the background,
    so that they are back within seconds once the burst is over.
    """
    world = FormationWorld(domains=3)
    world.advance(12.0)
    world.planner.set_demand({(SERVICE, LARGE): 4.0, (SERVICE, SMALL): 60.0})
    world.advance(40.0)
    changed = [one for one in world.engines.values() if one.model == SMALL]
    assert len(changed) > 3 * SMALL_SIZE
    assert all(LARGE in one.staged for one in changed)
    world.planner.set_demand({(SERVICE, LARGE): 36.0, (SERVICE, SMALL): 4.0})
    world.advance(4.0)
    assert world.serving(LARGE) == 3
    assert not world.broken


def test_vms_that_were_freed_and_still_load_count_for_their_model() -> None:
    """Callers of the small model would lose group after group.

    The large model is short, and VMs that are freed for it load its weights
    for sixteen seconds. It is as short meanwhile; each further group that is
    closed for it serves nobody either, for as long.
    """
    world = FormationWorld(domains=6, size=9)
    world.stages = False
    world.advance(12.0)
    world.load_part = 1.0
    before = world.serving(SMALL)
    world.planner.set_demand({(SERVICE, LARGE): 140.0, (SERVICE, SMALL): 30.0})
    closed = set()
    for _ in range(140):
        world.advance(0.1)
        closed |= {
            run.record.group
            for run in world.planner.runs()
            if run.reason.startswith("balance")
        }
    assert 0 < len(closed) <= 4
    assert world.serving(SMALL) >= before - 4
    assert not world.broken


def test_a_vm_that_still_loads_does_not_hold_up_a_move() -> None:
    """Callers of the large model wait while VMs of the small one idle.

    Losses have left the large model without a group. A VM has just come in
    and loads for many seconds; the groups of the small model must not wait
    for it before they give their VMs.
    """
    world = FormationWorld(domains=2, size=9)
    world.advance(12.0)
    for _ in range(2):
        for member in world.members_of(LARGE)[:2]:
            world.lose(member)
        world.advance(0.2)
    world.add(FabricDomainId("d0"))
    world.add(FabricDomainId("d1"))
    world.planner.set_demand({(SERVICE, LARGE): 30.0, (SERVICE, SMALL): 5.0})
    world.advance(6.0)
    assert world.serving(LARGE) >= 1
    assert not world.broken
