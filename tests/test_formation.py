"""Groups of engines that join and open: whole, exclusive, soon repaired."""

from collections import Counter
from dataclasses import replace

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tests.formation_world import (
    ENGINE,
    LARGE,
    SERVICE,
    SMALL,
    FormationWorld,
    make_idle,
    make_settled,
)
from zinniaspool.core.fleet import InstanceId, InstanceState
from zinniaspool.core.formation import GroupPhase, OrderAction
from zinniaspool.core.formation.allocation import (
    Candidate,
    ModelNeed,
    select_groups,
)
from zinniaspool.core.ids import FabricDomainId

SMALL_SIZE = 2


def test_idle_vms_form_groups_of_each_model_and_stand_by() -> None:
    world = make_settled()
    assert (world.serving(LARGE), world.serving(SMALL)) == (1, 1)
    standing = [run for run in world.planner.runs() if run.record.standby]
    assert {run.phase for run in standing} == {GroupPhase.STANDBY}
    assert len(standing) == 1


def test_a_lost_member_is_replaced_within_a_second() -> None:
    """The caller's streams of the group stop; others wait for room.

    A VM goes dark, its group's head stands still. Once the holder knows, the
    head leaves, a VM that stood by with the model joins, and the group opens
    under a new name: a load would have taken sixteen seconds.
    """
    world = make_settled()
    world.lose(world.members_of(LARGE)[1])
    assert world.serving(LARGE) == 0
    world.advance(1.0)
    assert world.serving(LARGE) == 1
    assert not world.broken


def test_a_vm_that_starts_again_is_no_member_of_its_old_group() -> None:
    """Callers of the group would wait until its head breaks, after seconds.

    A VM crashes and starts again under its id before anybody misses it. Its
    entry still names the group, by an order carried out late. It holds
    nothing of the model; only its start tells.
    """
    world = make_settled()
    reborn = world.members_of(LARGE)[1]
    before, members = reborn.membership, reborn.members
    world.rebear(reborn)
    reborn.membership, reborn.members, reborn.model = before, members, LARGE
    assert before is not None
    world.advance(0.1)
    old = [run for run in world.planner.runs() if run.record.group == before.group]
    assert [run.phase for run in old] in ([GroupPhase.ENDING], [])
    world.advance(3.0)
    assert world.serving(LARGE) == 1
    assert world.members_of(LARGE)[0].membership != before
    assert not world.broken


def test_a_group_that_forms_is_given_up_when_a_member_starts_again() -> None:
    """A request would begin in a group that a member was never ready in.

    All members have joined and one starts again before the head is opened:
    its word that it is ready is from before.
    """
    world = make_settled()
    world.lose(world.members_of(LARGE)[1])
    world.advance(0.1)
    forming = next(
        run
        for run in world.planner.runs()
        if run.phase is GroupPhase.FORMING and not run.record.standby
    )
    member = world.engines[forming.record.members[2]]
    world.rebear(member)
    world.advance(0.1)
    assert forming.phase is GroupPhase.ENDING
    world.advance(4.0)
    assert not world.broken


def test_what_was_known_of_a_vm_ends_with_its_life() -> None:
    """A VM that starts again would stay out of use, or be taken for ready.

    It counted as lost, had a model in its memory and a group to leave. None
    of that holds in its next life.
    """
    world = make_settled()
    standing = next(run for run in world.planner.runs() if run.record.standby)
    engine = world.engines[standing.record.head]
    world.planner.lose(engine.id)
    world.advance(0.5)
    world.rebear(engine)
    world.advance(0.2)
    assert engine.id not in world.planner.lost
    world.advance(6.0)
    assert engine.membership is not None
    assert not world.broken


def test_a_lost_group_is_formed_again_of_its_own_model() -> None:
    """Callers of the large model wait for seconds, loss after loss.

    Its group loses a VM while the small model has somewhat more to do for
    each of its groups. Its other VMs hold the model; if a group of the small
    one took them, the large model would lose a group with every such loss.
    """
    world = FormationWorld(domains=3, size=7)
    world.advance(14.0)
    world.planner.set_demand({(SERVICE, LARGE): 8.0, (SERVICE, SMALL): 22.0})
    world.advance(10.0)
    before = (world.serving(LARGE), world.serving(SMALL))
    for _ in range(3):
        world.lose(world.members_of(LARGE)[1])
        world.advance(1.0)
        assert (world.serving(LARGE), world.serving(SMALL)) == before
        world.add(FabricDomainId("d0"))
        world.advance(20.0)
    assert not world.broken


def test_a_lost_head_is_replaced_once_its_members_have_left() -> None:
    """A head that answers nobody cannot be told to leave.

    It may be cut off and still open. The other members leave one by one and
    only then join again, so that no VM is in two groups.
    """
    world = make_settled()
    head = world.members_of(LARGE)[0]
    head.in_touch = False
    world.planner.lose(head.id)
    world.advance(1.5)
    assert not world.broken
    assert world.serving(LARGE) == 1


def test_members_cut_from_the_store_are_freed_before_they_join_again() -> None:
    """A caller would have been answered by a group that lacks a VM.

    All members are cut from the store while their group serves on. Their
    entries vanish and the group is given up with nobody left to ask. Back
    again, each still holds the group, whose head is open: they must leave
    before any of them joins another one.
    """
    world = make_settled()
    cut = world.members_of(LARGE)
    for one in cut:
        one.in_touch = False
    world.advance(6.0)
    for one in reversed(cut):
        one.in_touch = True
        world.advance(0.1)
    world.advance(6.0)
    assert not world.broken
    assert world.serving(LARGE) >= 1


def test_a_leaving_member_ends_its_group_only_after_what_runs() -> None:
    world = make_settled()
    member = world.members_of(LARGE)[2]
    before = len(world.orders)
    member.state = InstanceState.LEAVING
    world.advance(2.0)
    actions = [order.action for order in world.orders[before:]]
    assert actions.index(OrderAction.CLOSE) < actions.index(OrderAction.LEAVE)
    assert world.serving(LARGE) == 1
    assert not world.broken


def test_a_new_holder_goes_on_with_the_stored_plans() -> None:
    """Callers notice nothing: a holder is lost while all groups serve."""
    world = make_settled()
    before = len(world.orders)
    world.take_over()
    world.advance(2.0)
    assert (world.serving(LARGE), world.serving(SMALL)) == (1, 1)
    joins = [one for one in world.orders[before:] if one.action is OrderAction.JOIN]
    assert not joins


def test_a_new_holder_with_old_plans_frees_vms_before_it_uses_them() -> None:
    """A group would lose its VMs while its head still answers callers.

    The store was down while a holder formed new groups; its successor finds
    the old plans. Engines that are asked to leave the old groups say that
    this is so already: they are in the new ones, and must leave those.
    """
    world = make_settled()
    old = dict(world.plans)
    for _ in range(2):
        world.lose(world.members_of(LARGE)[1])
        world.add(FabricDomainId("d0"))
        world.advance(20.0)
    world.plans = old
    world.take_over()
    world.advance(20.0)
    assert not world.broken
    assert world.serving(LARGE) == 1


def test_ready_vms_do_not_wait_in_a_group_for_one_that_loads() -> None:
    """Callers of the large model wait for seconds, not for a load of sixteen.

    Its group has lost a VM, and the only other idle one holds nothing yet.
    VMs of the small model could take the place in two seconds; in a group
    that waits for the load, the others would be bound until it is over.
    """
    ready = [
        Candidate(make_idle(f"i{number}"), LARGE, standby=False) for number in range(3)
    ]
    fresh = Candidate(make_idle("i9"), None, standby=False)
    needs = [ModelNeed(spec, 1, 10.0, 0.6) for spec in ENGINE.models]
    chosen = select_groups([*ready, fresh], needs, Counter(), Counter())
    assert chosen is not None
    assert chosen.standby
    assert chosen.model.name == LARGE


class Formation(RuleBasedStateMachine):
    """No order of events opens a group that is not whole, or shares a VM.

    VMs die, restart, are cut from the store, leave and come; orders get lost
    and are carried out seconds later; the holder is replaced at any moment.
    """

    @initialize(seed=st.integers(0, 2**16), late=st.sampled_from([0.0, 0.3]))
    def begin(self, seed: int, late: float) -> None:
        self.world = FormationWorld(domains=2, size=7, seed=seed)
        self.world.late_part = late
        self.world.advance(8.0)

    def _pick(self, number: int) -> InstanceId:
        names = sorted(self.world.engines)
        return names[number % len(names)]

    @rule(seconds=st.sampled_from([0.1, 0.4, 1.5, 5.0]))
    def wait(self, seconds: float) -> None:
        self.world.advance(seconds)

    @rule(number=st.integers(0, 20), told=st.booleans())
    def kill(self, number: int, told: bool) -> None:
        engine = self.world.engines[self._pick(number)]
        engine.alive = False
        if told:
            self.world.planner.lose(engine.id)

    @rule(number=st.integers(0, 20))
    def restart(self, number: int) -> None:
        self.world.restart(self.world.engines[self._pick(number)])

    @rule(number=st.integers(0, 20))
    def rebear(self, number: int) -> None:
        self.world.rebear(self.world.engines[self._pick(number)])

    @rule(number=st.integers(0, 20), in_touch=st.booleans())
    def cut(self, number: int, in_touch: bool) -> None:
        self.world.engines[self._pick(number)].in_touch = in_touch

    @rule(number=st.integers(0, 20))
    def suspect_falsely(self, number: int) -> None:
        self.world.planner.lose(self._pick(number))

    @rule(number=st.integers(0, 20))
    def regain(self, number: int) -> None:
        self.world.planner.regain(self._pick(number))

    @rule(number=st.integers(0, 20))
    def leave(self, number: int) -> None:
        self.world.engines[self._pick(number)].state = InstanceState.LEAVING

    @rule()
    def add(self) -> None:
        self.world.add(FabricDomainId("d0"))

    @rule()
    def take_over(self) -> None:
        self.world.take_over()

    @invariant()
    def whole_and_exclusive(self) -> None:
        if hasattr(self, "world"):
            assert not self.world.broken


TestFormation = Formation.TestCase
TestFormation.settings = settings(
    max_examples=40, stateful_step_count=25, deadline=None, derandomize=True
)


def test_an_entry_that_is_behind_does_not_free_a_vm() -> None:
    """A group would lose its VMs while its head still answers callers.

    A new holder finds VMs in a group that no plan names. Before they have
    answered that they left it, entries from before they joined come in, as
    they do after an outage. Only their own answer to the order counts.
    """
    world = make_settled()
    world.plans = {}
    world.take_over()
    world.late_part = 1.0
    world.advance(0.1)
    for engine in world.engines.values():
        engine.in_touch = False
        if engine.entry is not None:
            engine.entry = replace(engine.entry, membership=None)
    world.advance(1.0)
    world.late_part = 0.0
    world.advance(0.3)
    assert not world.broken


def test_a_vm_that_an_old_plan_lets_stand_by_is_not_taken_from_its_group() -> None:
    """A group would lose its VMs while its head still answers callers.

    Two VMs that stood by formed a group while the store was down. Whoever
    plans next finds the plan from before, in which they stand by. They are in
    a group that it does not know, and must leave that first.
    """
    world = make_settled()
    world.planner.set_demand({(SERVICE, LARGE): 8.0, (SERVICE, SMALL): 1.0})
    for _ in range(2):
        world.add(FabricDomainId("d0"))
    world.advance(30.0)
    assert sum(run.record.standby for run in world.planner.runs()) == 3
    old = dict(world.plans)
    busy = {(SERVICE, LARGE): 8.0, (SERVICE, SMALL): 13.0}
    world.planner.set_demand(busy)
    world.advance(5.0)
    assert world.serving(SMALL) >= 2
    world.plans = old
    world.take_over()
    world.planner.set_demand(busy)
    world.advance(5.0)
    assert not world.broken
    assert world.serving(SMALL) >= 2


def test_a_change_costs_as_much_in_a_large_fleet_as_in_a_small_one() -> None:
    """Pattern: 25 fabric domains, of which something changes in one.

    A planner that goes through all of them at each change spends a whole
    processor at eighty changes a second, and its orders come late for all.
    Domains at rest are gone through a few times a second, whatever changes.
    """
    world = FormationWorld(domains=25, size=7)
    world.advance(30.0)
    before, losses = world.planner.domains_looked_at, 10
    for number in range(losses):
        lost = world.members_of(SMALL)[number % 2]
        world.lose(lost)
        world.advance(0.5)
    looked = world.planner.domains_looked_at - before
    looks, at_rest_s = int(losses * 0.5 / 0.05), losses * 0.5
    assert looked <= 25 * at_rest_s / 0.25 + 3 * looks
    assert looked <= 0.4 * 25 * looks
