"""What callers get when more is asked of a model than its groups can do.

The figures of the fleet and of the traffic are those of the users' smaller
model as played: 8 entry processes, 6 groups of 13 slots, 43 requests a second
at usual load, some 70 at most. Bounds leave room for other draws: each was
measured over six seeds.
"""

import random

import pytest

from tests.load_world import Caller, Kind, LoadWorld, Shape
from zinniaspool.core.dispatch import (
    Admission,
    Ask,
    EnginePace,
    FirstEventForecast,
    LoadChanges,
    PatienceWatch,
    PeerLoads,
    Peers,
    Refusal,
    Target,
    TargetPool,
    TicketState,
)
from zinniaspool.core.fleet import NO_LOAD, InstanceId, TargetLoad
from zinniaspool.core.ids import Address, CustomerId, FailureDomainId, NodeId

USUAL = 43.0
LARGE_SHAPE = Shape(step_s=0.00645, per_request_s=0.000193, read_s=0.0000178)
LARGE_KIND = Kind(prompt=1660, events=17, objective_s=0.4, deadline_s=6.5)


def burst(times: float, usual: float = USUAL, since: float = 8.0) -> LoadWorld:
    world = LoadWorld(lambda t: usual * (times if since <= t < 22.0 else 1.0))
    world.advance(34.0)
    return world


def find_best_row(world: LoadWorld) -> float:
    """Return the most callers that were answered on time in two seconds."""
    kind = world.kind
    return max(
        sum(one.is_on_time(kind.objective_s) for one in world.list_asked(t, t + 2))
        for t in range(0, 32, 2)
    )


@pytest.mark.parametrize("times", [1.7, 2.2, 3.5])
def test_a_burst_is_answered_on_time_as_far_as_there_are_slots(times: float) -> None:
    """Callers of a model that takes everything are all answered late.

    For fourteen seconds several times the usual number ask. As many as there
    are slots for get their first event in time; the others are told at once
    when to come back, and two seconds after the burst all is as usual.
    """
    world = burst(times)
    best = find_best_row(world)
    on_time = [
        sum(one.is_on_time(0.25) for one in world.list_asked(t, t + 2))
        for t in range(10, 22, 2)
    ]
    assert sum(on_time) / len(on_time) >= 0.85 * best
    assert world.measure_on_time(24.0, 30.0) >= 0.98


def test_nobody_is_refused_at_usual_load() -> None:
    """A refusal where there is room costs a caller its answer for nothing."""
    for seed in range(4):
        world = LoadWorld(lambda _: USUAL, seed=seed)
        world.advance(20.0)
        assert sum(one.refused for one in world.callers) == 0
        assert world.measure_on_time(0.0, 18.0) >= 0.98


def test_callers_that_come_back_after_an_outage_do_not_delay_new_ones() -> None:
    """New callers are answered as usual, those from before a little later.

    All entry VMs were away for two seconds, and whoever asked meanwhile comes
    at once when they are back: late in any case. Upstreams that took them in
    turn made everybody late for two seconds more.
    """
    world = LoadWorld(lambda _: USUAL, seed=3)
    world.advance(10.0)
    world.add_returning(90, asked_at=8.0)
    returning = [one for one in world.callers if one.asked_at == 8.0]
    world.advance(20.0)
    assert world.measure_on_time(10.0, 13.0) >= 0.9
    served = sum(one.ended_at is not None for one in returning)
    assert served >= 0.85 * len(returning)


def test_refused_callers_are_told_at_once_and_when_to_come_back() -> None:
    """A caller that is kept until it gives up could have asked elsewhere."""
    world = burst(3.5)
    held = sorted(one.held_s for one in world.callers if one.refused)
    assert held[len(held) * 9 // 10] < 0.1
    assert held[-1] <= 1.3


def served_part(callers: list[Caller]) -> float:
    return sum(one.ended_at is not None for one in callers) / len(callers)


def test_long_and_short_prompts_are_both_served_in_a_burst() -> None:
    """Callers with long prompts would be the first to have no place.

    A long prompt takes longer to read, so that fewer targets have time for
    it. The tenth with the longest ones is served at least half as often as
    all, and the tenth with the shortest ones too.
    """
    rate = 30.0
    world = LoadWorld(
        lambda t: rate * (2.2 if 8.0 <= t < 22.0 else 1.0), LARGE_SHAPE, LARGE_KIND
    )
    world.advance(34.0)
    callers = sorted(world.list_asked(10.0, 22.0), key=lambda one: one.prompt)
    tenth = len(callers) // 10
    assert served_part(callers[-tenth:]) >= 0.5 * served_part(callers)
    assert served_part(callers[:tenth]) >= 0.5 * served_part(callers)


def test_engines_are_not_filled_beyond_their_slots() -> None:
    """What waits at an engine is late, and so is all that comes after it.

    Eight processes hear of each other's requests 50 ms late. A place of its
    own at each target keeps them from taking the last free slot together.
    """
    world = LoadWorld(lambda _: USUAL * 2.2, seed=2)
    waiting = []
    for tenth in range(50, 200):
        world.advance(tenth / 10)
        waiting += [len(one.waiting()) for one in world.engines]
    # One or two are always on their way: each takes 93 ms before its slot.
    assert sum(waiting) / len(waiting) < 1.6


def test_processes_that_each_see_a_part_use_all_slots() -> None:
    """One process alone has all places; of sixty, each has a few."""
    for entries in (1, 30):
        shape = Shape(entries=entries)
        world = LoadWorld(lambda _: USUAL * 2.2, shape, seed=1)
        world.advance(12.0)
        on_time = sum(one.is_on_time(0.25) for one in world.list_asked(4.0, 10.0))
        assert on_time / 6.0 >= 50.0


# The parts by themselves.


def make_pool(*loads: int, slots: int = 4, processes: int = 1) -> TargetPool:
    """Return a pool of targets that others have requests at."""
    pool = TargetPool(FailureDomainId("a"), random.Random(1))
    pool.processes = Peers(processes, processes, 0)
    targets = [
        Target(InstanceId(f"i{n}"), Address("10.0.0.1:1"), FailureDomainId("a"), slots)
        for n, _ in enumerate(loads)
    ]
    pool.update(targets, 0.0)
    for state, load in zip(pool, loads, strict=True):
        state.peers = TargetLoad(load)
    return pool


def make_ask(on_time_until: float = 0.5, leaves_at: float = 2.0) -> Ask:
    return Ask(CustomerId("c"), 1, on_time_until, leaves_at)


def make_admission(pool: TargetPool) -> Admission:
    return Admission(pool, random.Random(1))


def test_a_late_request_leaves_slots_to_those_that_can_be_on_time() -> None:
    """Its slot would make another caller late too, for a quarter as much."""
    admission = make_admission(make_pool(3))
    admission.step(0.0)
    fresh, late = make_ask(), make_ask(on_time_until=-1.0)
    taken = admission.ask(fresh, 0.0)
    assert not isinstance(taken, Refusal) and taken.state is TicketState.ADMITTED
    waits = admission.ask(late, 0.0)
    assert isinstance(waits, Refusal) or waits.state is TicketState.WAITING


def test_a_late_request_begins_where_there_is_room() -> None:
    pool = make_pool(0)
    admission = make_admission(pool)
    admission.step(0.0)
    taken = admission.ask(make_ask(on_time_until=-1.0), 0.0)
    assert not isinstance(taken, Refusal)
    assert (taken.state, taken.late) == (TicketState.ADMITTED, True)


def test_one_that_waits_begins_as_soon_as_there_is_room() -> None:
    pool = make_pool(4)
    admission = make_admission(pool)
    admission.step(0.0)
    waits = admission.ask(make_ask(on_time_until=-1.0), 0.0)
    assert not isinstance(waits, Refusal)
    next(iter(pool)).peers = NO_LOAD
    assert admission.step(0.1) == [waits]
    assert waits.state is TicketState.ADMITTED


def test_one_that_waits_in_vain_is_refused_while_there_is_time() -> None:
    """The caller would leave without a word after two seconds."""
    admission = make_admission(make_pool(4))
    admission.step(0.0)
    waits = admission.ask(make_ask(on_time_until=-1.0), 0.0)
    assert not isinstance(waits, Refusal)
    assert admission.step(1.0) == []
    assert admission.step(1.3) == [waits]
    assert waits.state is TicketState.ENDED
    assert 0.0 < admission.refuse(make_ask(), 1.3).retry_after_s <= 2.5


def test_a_caller_that_leaves_the_line_gives_its_place_away() -> None:
    pool = make_pool(4)
    admission = make_admission(pool)
    admission.step(0.0)
    first = admission.ask(make_ask(on_time_until=-1.0), 0.0)
    second = admission.ask(make_ask(on_time_until=-1.0), 0.0)
    assert not isinstance(first, Refusal) and not isinstance(second, Refusal)
    first.state = TicketState.ENDED
    next(iter(pool)).peers = TargetLoad(2)
    assert admission.step(0.1) == [second]


def test_demand_counts_what_is_refused_like_what_is_taken() -> None:
    """VMs would follow the model that is short only by how much it is used.

    Twenty a second ask for half a second's work each; there is room for a few.
    """
    pool = make_pool(0, slots=4)
    pool.forecast.stay_s = 0.5
    admission, state = make_admission(pool), next(iter(pool))
    refused = 0
    for number in range(100):
        now = number / 20.0
        asked = admission.ask(make_ask(now + 0.25, now + 2.0), now)
        refused += isinstance(asked, Refusal)
        state.own = min(4, state.own + 1)
    assert refused > 50
    assert admission.measure_demand(5.0) == pytest.approx(10.0, rel=0.1)
    assert admission.measure_demand(9.0) == 0.0


def test_demand_at_the_start_is_not_counted_over_time_before_it() -> None:
    """After a return all processes would say that little is asked for."""
    pool = make_pool(0, slots=400)
    pool.forecast.stay_s = 1.0
    admission = make_admission(pool)
    for number in range(20):
        now = 100.0 + number / 20.0
        admission.ask(make_ask(now + 0.25, now + 2.0), now)
    assert admission.measure_demand(101.0) == pytest.approx(20.0, rel=0.15)


def test_a_long_prompt_goes_where_it_is_read_in_time() -> None:
    """Its first event would come after all prompts that are there already."""
    pool = make_pool(3, 5, slots=16)
    pool.forecast.pace = EnginePace(0.03, 0.001, 0.00002)
    full, idle = pool
    full.peers = TargetLoad(3, 12_000)
    chosen = pool.choose(0.0, (), 4000, 0.4)
    assert chosen is idle


def test_own_places_of_all_processes_are_all_slots() -> None:
    """A slot that is nobody's would idle in a burst; one of two makes late."""
    for processes in (1, 3, 8, 40):
        places = 0
        for rank in range(processes):
            pool = make_pool(99, slots=13, processes=processes)
            pool.processes = Peers(processes, processes, rank)
            state = next(iter(pool))
            while pool.has_place(state, 0.0):
                state.own += 1
            places += state.own
        assert places == 13


def test_a_first_event_is_predicted_by_prompts_and_slots() -> None:
    forecast = FirstEventForecast()
    forecast.pace = EnginePace(0.039, 0.0012, 0.0000178)
    idle = forecast.predict(0, 13, 0, 1400)
    assert idle < forecast.predict(0, 13, 6000, 1400)
    assert idle < forecast.predict(12, 13, 0, 1400)
    assert forecast.predict(16, 13, 0, 1400) > forecast.predict(12, 13, 0, 1400) + 0.1


def test_what_no_load_explains_is_learned() -> None:
    """Predictions that are wrong in one direction would refuse for nothing.

    An engine that stands still for seconds must not spoil what is learned.
    """
    forecast = FirstEventForecast()
    source = random.Random(2)
    for number in range(2000):
        predicted_s = forecast.predict(0, 13, 0, 0)
        took_s = 0.15 + source.gauss(0.0, 0.02)
        forecast.note_first(predicted_s, 5.0 if number % 20 == 0 else took_s)
    assert forecast.predict(0, 13, 0, 0) == pytest.approx(0.15, abs=0.02)
    assert 0.0 < forecast.spread_s < 0.08


def test_callers_that_come_again_show_by_their_patience() -> None:
    """They are late in any case, and would take slots of those that are not.

    New callers wait for 5.1 to 6 seconds. One that was sent away for two of
    them says that it will wait for four.
    """
    watch, source = PatienceWatch(), random.Random(1)
    for _ in range(300):
        watch.note(source.uniform(5.1, 6.0), calm=True)
    assert watch.measure_waited(5.2) == 0.0
    assert watch.measure_waited(4.0) > 0.6


def test_callers_of_all_kinds_of_patience_count_as_new() -> None:
    watch, source = PatienceWatch(), random.Random(1)
    for _ in range(3000):
        watch.note(source.uniform(1.0, 6.0), calm=True)
    waited = [watch.measure_waited(source.uniform(1.0, 6.0)) for _ in range(1000)]
    assert sum(one > 0.0 for one in waited) < 100


def test_what_others_say_they_have_is_added_up_and_forgotten() -> None:
    """A process that died would keep its places for good."""
    peers, one = PeerLoads(), InstanceId("i")
    peers.take(NodeId("a"), {one: TargetLoad(3, 100)}, 0.0, whole=False)
    peers.take(NodeId("b"), {one: TargetLoad(2, 50)}, 0.5, whole=False)
    assert peers.at(one) == TargetLoad(5, 150)
    peers.take(NodeId("a"), {one: TargetLoad(1, 0)}, 0.6, whole=False)
    assert peers.at(one) == TargetLoad(3, 50)
    assert peers.take(NodeId("a"), {}, 0.7, whole=True) == {one}
    assert peers.at(one) == TargetLoad(2, 50)
    assert peers.expire(1.6) == {one}
    assert peers.at(one) == NO_LOAD


def test_only_what_has_changed_is_told() -> None:
    changes = LoadChanges()
    one, two = InstanceId("i"), InstanceId("j")
    assert changes.list_changes({one: TargetLoad(1)}) == {one: TargetLoad(1)}
    assert changes.list_changes({one: TargetLoad(1)}) == {}
    told = changes.list_changes({two: TargetLoad(2)})
    assert told == {one: NO_LOAD, two: TargetLoad(2)}
