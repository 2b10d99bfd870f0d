"""Where requests go: load, failures, silence, and how many repeats."""

import random
from dataclasses import replace

import pytest

from zinniaspool.core.dispatch import (
    RepeatLimits,
    RepeatWindow,
    SilenceLimits,
    Target,
    TargetPool,
    TargetState,
    find_silent,
    rest_silent,
)
from zinniaspool.core.fleet import InstanceId
from zinniaspool.core.ids import (
    Address,
    FabricDomainId,
    FailureDomainId,
    GroupId,
    ModelName,
)


def make_target(
    name: str, domain: str = "a", group: str = "g", born: int | None = None
) -> Target:
    return Target(
        InstanceId(name),
        Address(f"10.0.0.1:{len(name)}"),
        FailureDomainId(domain),
        8,
        ModelName("m"),
        GroupId(group),
        born=born,
    )


def make_pool(*names: str) -> TargetPool:
    pool = TargetPool(FailureDomainId("a"), random.Random(1))
    pool.update([make_target(name) for name in names], 0.0)
    return pool


def find(pool: TargetPool, name: str) -> TargetState:
    return next(one for one in pool if one.target.instance == name)


def test_the_least_loaded_target_is_chosen() -> None:
    pool = make_pool("x", "y")
    find(pool, "x").own = 3
    chosen = pool.choose(0.0)
    assert chosen is not None and chosen.target.instance == "y"


def test_what_others_have_there_counts_and_fades() -> None:
    """All processes would crowd the target that told last of being empty."""
    pool = make_pool("x", "y")
    pool.note_load(find(pool, "x"), 6, 0.0)
    find(pool, "y").own = 2
    chosen = pool.choose(0.1)
    assert chosen is not None and chosen.target.instance == "y"
    later = pool.choose(3.0)
    assert later is not None and later.target.instance == "x"


def test_a_near_target_is_chosen_while_it_has_about_as_much_room() -> None:
    """What is carried to another failure domain is paid for by operators.

    A near target with one request more answers as soon. A full one does not,
    and its callers would wait to save a few bytes.
    """
    pool = TargetPool(FailureDomainId("a"), random.Random(1))
    pool.update([make_target("near"), make_target("far", "b")], 0.0)
    find(pool, "near").own = 1
    chosen = pool.choose(0.0)
    assert chosen is not None and chosen.target.instance == "near"
    find(pool, "near").own = 8
    find(pool, "far").own = 5
    chosen = pool.choose(0.0)
    assert chosen is not None and chosen.target.instance == "far"


def test_a_request_is_moved_out_of_the_domain_where_its_target_stands_still() -> None:
    """Its caller leaves: the one move that it has went to another dark head.

    A fabric domain loses its power. All its heads fall silent together, and
    the nearest and emptiest target of those left is one of them too.
    """
    pool = TargetPool(FailureDomainId("a"), random.Random(1))
    dark, sound = FabricDomainId("d0"), FabricDomainId("d1")
    pool.update(
        [
            replace(make_target("x"), fabric_domain=dark),
            replace(make_target("y"), fabric_domain=dark),
            replace(make_target("z", "b"), fabric_domain=sound),
        ],
        0.0,
    )
    find(pool, "z").own = 3
    near = pool.choose(0.0, [InstanceId("x")])
    assert near is not None and near.target.instance == "y"
    other = pool.choose(0.0, [InstanceId("x")], doubted={dark})
    assert other is not None and other.target.instance == "z"
    last = pool.choose(0.0, [InstanceId("x"), InstanceId("z")], doubted={dark})
    assert last is not None and last.target.instance == "y"


def test_a_target_that_fails_is_left_alone_but_not_the_last_one() -> None:
    pool = make_pool("x", "y")
    bad = find(pool, "x")
    for _ in range(3):
        pool.note_end(bad, True, 0.0)
    assert all(pool.choose(0.5) is not bad for _ in range(20))
    only = make_pool("z")
    for _ in range(3):
        only.note_end(find(only, "z"), True, 0.0)
    assert only.choose(0.5) is not None


def test_a_group_that_is_formed_anew_is_another_target() -> None:
    pool = make_pool("x")
    old = find(pool, "x")
    gone = pool.update([make_target("x", group="h")], 1.0)
    assert gone == [old] and old.gone
    assert find(pool, "x") is not old


@pytest.mark.parametrize(("before", "now", "same"), [(1, 2, False), (None, 1, True)])
def test_nothing_is_known_of_a_target_that_started_again(
    before: int | None, now: int, same: bool
) -> None:
    """Callers would be sent past a sound upstream, or into one by its past.

    A process that starts again under its id has none of the requests, the
    failures and the silence of the one before. One that only now tells when
    it started is the same.
    """
    pool = TargetPool(FailureDomainId("a"), random.Random(1))
    pool.update([make_target("x", born=before)], 0.0)
    old = find(pool, "x")
    old.own, old.unnamed, old.silent_until, old.error_part = 3, 5.0, 9.0, 1.0
    gone = pool.update([make_target("x", born=now)], 1.0)
    assert (gone == [], find(pool, "x") is old) == (same, same)
    assert find(pool, "x").usable(1.0) is not same


def test_a_target_that_ends_in_order_keeps_what_it_has_and_gets_nothing() -> None:
    pool = make_pool("x", "y")
    ending = find(pool, "x")
    assert pool.update([replace(ending.target, ending=True), make_target("y")], 1) == []
    assert find(pool, "x") is ending
    chosen = [pool.choose(1.0) for _ in range(10)]
    assert all(one is not ending for one in chosen)
    assert pool.choose(1.0, [InstanceId("y")]) is None


def test_streams_that_all_stop_show_a_silent_head() -> None:
    """The store tells of a lost VM after seconds; its streams at once."""
    pool = make_pool("x", "y", "idle")
    limits = SilenceLimits()
    for name in ("x", "y"):
        state = find(pool, name)
        for _ in range(2):
            pool.begin(state, 0)
        state.writing = 2
    find(pool, "x").progress_at = 10.0
    find(pool, "y").progress_at = 10.3
    silent = find_silent(pool, limits, 10.0 + limits.writing_s + 0.01)
    assert [one.target.instance for one in silent] == ["x"]


def test_requests_that_only_wait_are_given_longer() -> None:
    pool = make_pool("x")
    state = find(pool, "x")
    pool.begin(state, 0)
    limits = SilenceLimits()
    assert not find_silent(pool, limits, limits.writing_s + 0.1)
    assert find_silent(pool, limits, limits.waiting_s + 0.1)


@pytest.mark.parametrize("processes", [1, 8])
def test_repeats_stay_below_what_all_processes_may(processes: int) -> None:
    """A failing service would be given every request twice.

    Each process counts its own; together they stay below the limit in any
    window, however the failures come.
    """
    limits = RepeatLimits(0.2, 10.0, 134.0)
    source = random.Random(3)
    taken: list[float] = []
    requests: list[float] = []
    windows = [RepeatWindow(limits) for _ in range(processes)]
    for window in windows:
        window.processes = processes
    now = 0.0
    while now < 40.0:
        now += 0.01
        window = source.choice(windows)
        window.add_request(now)
        requests.append(now)
        if window.take_repeat(now):
            taken.append(now)
    for start in range(0, 30):
        inside = sum(start <= at < start + 10 for at in taken)
        asked = sum(start <= at < start + 10 for at in requests)
        assert inside <= limits.ratio * asked + limits.slack
    assert taken


def test_a_head_that_stays_silent_is_tried_ever_more_seldom() -> None:
    """Callers' requests would be swallowed by it every other second.

    A head takes requests and answers none, while its VMs answer the holder.
    Each try that finds it silent doubles the time until the next; one event
    brings it back.
    """
    pool = make_pool("x")
    state, limits = find(pool, "x"), SilenceLimits()
    rests = []
    for _ in range(6):
        rest_silent(state, limits, 0.0)
        rests.append(state.silent_until)
    first_s = limits.resting_s
    assert rests[:3] == [first_s, 2 * first_s, 4 * first_s]
    assert rests[-1] == limits.most_resting_s
    pool.note_progress(state, 1.0)
    assert state.usable(1.0)
    rest_silent(state, limits, 0.0)
    assert state.silent_until == limits.resting_s
