"""Which entry processes share which targets, in fleets of any size."""

from collections import Counter

import pytest
from hypothesis import given, strategies as st

from tests.load_world import LoadWorld, Shape
from zinniaspool.core.dispatch import Subset, find_subset
from zinniaspool.core.fleet import InstanceId
from zinniaspool.core.ids import FailureDomainId, NodeId

USUAL_PER_ENGINE = 7.5
"""Requests a second for each engine: half of its slots, as on the sheets."""

LARGE = {
    NodeId(f"vm-{domain}-{number}"): FailureDomainId(domain)
    for domain in "abcde"
    for number in range(39)
}


def find_all(nodes: dict[NodeId, FailureDomainId]) -> dict[NodeId, Subset]:
    return {name: find_subset(name, domain, nodes) for name, domain in nodes.items()}


def make_targets(count: int, domain: str) -> list[tuple[InstanceId, FailureDomainId]]:
    return [
        (InstanceId(f"i-{domain}-{n}"), FailureDomainId(domain)) for n in range(count)
    ]


def test_a_small_fleet_is_one_subset_of_everybody_and_all_targets() -> None:
    nodes = {NodeId(f"vm-{n}"): FailureDomainId("abc"[n % 3]) for n in range(8)}
    targets = make_targets(3, "a") + make_targets(3, "b")
    for name, subset in find_all(nodes).items():
        assert set(subset.members) == set(nodes)
        assert subset.members[subset.rank] == name
        assert subset.divide(targets) == {one: 1.0 for one, _ in targets}


@pytest.mark.parametrize("size", [13, 30, 67, 195, 380])
def test_what_a_process_tells_does_not_grow_with_the_fleet(size: int) -> None:
    nodes = {NodeId(f"vm-{n}"): FailureDomainId("abcde"[n % 5]) for n in range(size)}
    for subset in find_all(nodes).values():
        assert len(subset.others) <= 12


def test_all_of_a_subset_name_the_same_members_and_differ_in_rank() -> None:
    subsets = find_all(LARGE)
    for subset in subsets.values():
        theirs = [subsets[name] for name in subset.members]
        assert {one.members for one in theirs} == {subset.members}
        assert sorted(one.rank for one in theirs) == list(range(len(theirs)))


@given(count=st.integers(1, 60))
def test_the_parts_of_each_target_add_up_and_are_even(count: int) -> None:
    """A target that nobody shares would idle while the others are full.

    Subsets whose parts differ would refuse callers for whom others have room.
    """
    targets = make_targets(count, "a") + make_targets(4, "b")
    near = {
        subset.number: subset.divide(targets)
        for name, subset in find_all(LARGE).items()
        if LARGE[name] == "a"
    }
    parts: Counter[InstanceId] = Counter()
    for divided in near.values():
        parts.update(divided)
        even = count / len(near)
        assert 0.7 * even <= sum(divided.values()) <= even + 1e-9
    assert set(parts) == {one for one, domain in targets if domain == "a"}
    assert all(0.69 <= part <= 1.0 + 1e-9 for part in parts.values())


def test_a_domain_without_targets_shares_none() -> None:
    subset = find_subset(NodeId("vm-a-0"), FailureDomainId("a"), LARGE)
    assert subset.divide(make_targets(4, "b")) == {}


def test_a_lost_vm_changes_who_shares_with_whom_for_few() -> None:
    before = find_all(LARGE)
    left = {name: domain for name, domain in LARGE.items() if name != "vm-a-7"}
    after = find_all(left)
    moved = [
        name
        for name in left
        if LARGE[name] == "a" and before[name].number != after[name].number
    ]
    assert len(moved) <= 5
    assert all(before[name] == after[name] for name in left if LARGE[name] != "a")


def test_a_large_fleet_knows_its_targets_as_well_as_a_small_one() -> None:
    """Pattern: usual load on 40 entry VMs and 22 engines of one domain.

    Told of everybody's requests, each process would send and hear five times
    as many words as in a fleet of eight; told of nobody's, all would crowd
    targets that are full, and their requests would come too late.
    """
    small = LoadWorld(lambda _: 6 * USUAL_PER_ENGINE, seed=4)
    large = LoadWorld(
        lambda _: 22 * USUAL_PER_ENGINE, Shape(entries=40, engines=22), seed=4
    )
    for world in (small, large):
        world.advance(20.0)
    assert large.measure_on_time(4.0, 18.0) >= small.measure_on_time(4.0, 18.0) - 0.03
    assert large.notes / 40 <= small.notes / 8 * 1.1


def test_requests_go_outside_when_the_own_targets_are_lost() -> None:
    """Callers of a subset whose engines all fail are served by others'.

    The engines of one subset are lost at second 6. Its processes cannot know
    the load elsewhere, and take it for what answers show typically.
    """
    world = LoadWorld(
        lambda _: 22 * USUAL_PER_ENGINE * 0.8, Shape(entries=40, engines=22), seed=2
    )
    world.advance(6.0)
    lost = {state.target.instance for state in world.entries[0].pool if state.shared}
    world.lose_engines(lost)
    world.advance(18.0)
    assert world.measure_on_time(8.0, 16.0) >= 0.9
