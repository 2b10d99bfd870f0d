"""Tests the choice of the entry VMs whose addresses callers receive."""

import random
from collections import Counter

from hypothesis import given, strategies as st

from zinniaspool.core.ids import Address, FailureDomainId, Incarnation, NodeId
from zinniaspool.core.membership import Member, MemberState, Role
from zinniaspool.core.requests.addresses import choose_entries

_PREFERRED = FailureDomainId("d0")

_members = st.lists(
    st.tuples(
        st.sampled_from(MemberState), st.sampled_from(Role), st.sampled_from("012")
    ),
    max_size=9,
).map(
    lambda values: [
        _member(n, state, role, f"d{domain}")
        for n, (state, role, domain) in enumerate(values)
    ]
)


def _member(
    n: int,
    state: MemberState = MemberState.READY,
    role: Role = Role.ENTRY,
    domain: str = "d0",
) -> Member:
    address = Address(f"10.0.0.{n}:80")
    return Member(
        NodeId(f"n{n}"),
        role,
        state,
        address,
        address,
        address,
        FailureDomainId(domain),
        Incarnation(1),
    )


@given(_members, st.integers(0, 99))
def test_only_ready_entry_vms_are_chosen_from_two_domains_if_possible(
    members: list[Member], seed: int
) -> None:
    chosen = choose_entries(members, {}, _PREFERRED, random.Random(seed))
    ready = [
        member
        for member in members
        if member.role is Role.ENTRY and member.state is MemberState.READY
    ]
    assert all(member in ready for member in chosen)
    assert len({member.node for member in chosen}) == len(chosen) == min(3, len(ready))
    if len({member.failure_domain for member in ready}) > 1:
        assert chosen[0].failure_domain != chosen[1].failure_domain


def test_callers_are_spread_by_load_and_failure_domain() -> None:
    members = [_member(0), _member(1), _member(2, domain="d1")]
    loads = {NodeId("n0"): 30.0, NodeId("n1"): 10.0, NodeId("n2"): 10.0}
    rng = random.Random(1)
    first = Counter(
        choose_entries(members, loads, _PREFERRED, rng)[0].node for _ in range(2000)
    )
    assert first[NodeId("n1")] > 2 * first[NodeId("n0")] > 0
    assert first[NodeId("n1")] > 2 * first[NodeId("n2")] > 0
