"""Tests which entry processes share which targets, in fleets of any size."""

from collections import Counter

import pytest
from hypothesis import given, strategies as st

from tests.load_world import FleetShape, SimulatedFleet
from zinniaspool.core.dispatch import Subset, find_subset
from zinniaspool.core.fleet import InstanceId
from zinniaspool.core.ids import FailureDomainId, NodeId

USUAL_PER_ENGINE_PER_S = 7.5
"""Requests a second for each engine: half of its slots, as in the users'
sheets."""

LARGE_FLEET = {
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


def test_a_small_fleet_is_one_subset_of_all_processes_and_targets() -> None:
    nodes = {NodeId(f"vm-{n}"): FailureDomainId("abc"[n % 3]) for n in range(8)}
    targets = make_targets(3, "a") + make_targets(3, "b")
    for name, subset in find_all(nodes).items():
        assert set(subset.members) == set(nodes)
        assert subset.members[subset.rank] == name
        assert subset.divide(targets) == {target: 1.0 for target, _ in targets}


@pytest.mark.parametrize("size", [13, 30, 67, 195, 380])
def test_load_reports_of_a_process_do_not_grow_with_the_fleet(size: int) -> None:
    nodes = {NodeId(f"vm-{n}"): FailureDomainId("abcde"[n % 5]) for n in range(size)}
    for subset in find_all(nodes).values():
        assert len(subset.other_members) <= 12


def test_the_members_of_a_subset_agree_on_it_and_differ_in_rank() -> None:
    subsets = find_all(LARGE_FLEET)
    for subset in subsets.values():
        member_subsets = [subsets[name] for name in subset.members]
        assert {member.members for member in member_subsets} == {subset.members}
        assert sorted(member.rank for member in member_subsets) == list(
            range(len(member_subsets))
        )


@given(count=st.integers(1, 60))
def test_the_parts_of_each_target_add_up_and_are_even(count: int) -> None:
    """A target in no subset would idle while the others are full.

    Subsets whose parts differ would refuse callers for whom others have room.
    """
    targets = make_targets(count, "a") + make_targets(4, "b")
    domain_parts = {
        subset.index: subset.divide(targets)
        for name, subset in find_all(LARGE_FLEET).items()
        if LARGE_FLEET[name] == "a"
    }
    parts: Counter[InstanceId] = Counter()
    for divided in domain_parts.values():
        parts.update(divided)
        even = count / len(domain_parts)
        assert 0.7 * even <= sum(divided.values()) <= even + 1e-9
    assert set(parts) == {target for target, domain in targets if domain == "a"}
    assert all(0.69 <= part <= 1.0 + 1e-9 for part in parts.values())


def test_a_domain_without_targets_shares_none() -> None:
    subset = find_subset(NodeId("vm-a-0"), FailureDomainId("a"), LARGE_FLEET)
    assert subset.divide(make_targets(4, "b")) == {}


def test_a_removed_vm_changes_the_subsets_of_few_processes() -> None:
    before = find_all(LARGE_FLEET)
    remaining = {
        name: domain for name, domain in LARGE_FLEET.items() if name != "vm-a-7"
    }
    after = find_all(remaining)
    changed = [
        name
        for name in remaining
        if LARGE_FLEET[name] == "a" and before[name].index != after[name].index
    ]
    assert len(changed) <= 5
    assert all(
        before[name] == after[name] for name in remaining if LARGE_FLEET[name] != "a"
    )


def test_a_large_fleet_knows_its_targets_as_well_as_a_small_one() -> None:
    """Usual load on 40 entry VMs and 22 engines of one domain.

    If all processes reported to each other, each would send and receive five
    times as many messages as in a fleet of eight. If none did, all would crowd
    full targets, and their requests would be late.
    """
    small = SimulatedFleet(lambda _: 6 * USUAL_PER_ENGINE_PER_S, seed=4)
    large = SimulatedFleet(
        lambda _: 22 * USUAL_PER_ENGINE_PER_S,
        FleetShape(entries=40, engines=22),
        seed=4,
    )
    for fleet in (small, large):
        fleet.advance(20.0)
    assert large.measure_on_time(4.0, 18.0) >= small.measure_on_time(4.0, 18.0) - 0.03
    assert large.load_messages / 40 <= small.load_messages / 8 * 1.1


def test_requests_go_out_of_the_subset_when_its_targets_are_removed() -> None:
    """Callers of a subset whose engines all fail are served by others'.

    The engines of one subset are lost at second 6. Its processes can't know
    the load elsewhere, and estimate it by what answers typically show.
    """
    fleet = SimulatedFleet(
        lambda _: 22 * USUAL_PER_ENGINE_PER_S * 0.8,
        FleetShape(entries=40, engines=22),
        seed=2,
    )
    fleet.advance(6.0)
    removed = {
        state.target.instance for state in fleet.entries[0].pool if state.in_subset
    }
    fleet.remove_engines(removed)
    fleet.advance(18.0)
    assert fleet.measure_on_time(8.0, 16.0) >= 0.9
