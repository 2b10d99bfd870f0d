"""Tests guarantees, fair shares, admission, digests and brown-out."""

from hypothesis import given, settings, strategies as st

from zinniaspool.core.errors import ErrorKind, Fault
from zinniaspool.core.ids import CustomerId, NodeId
from zinniaspool.core.requests import (
    Admission,
    Brownout,
    CustomerShare,
    LocalShares,
    PeerCounts,
    Ticket,
    TicketState,
    compute_local_shares,
    divide_capacity,
)
from zinniaspool.core.requests.digests import Digest, DigestTable, ServiceDemand

_NAMES = [CustomerId(f"c{n}") for n in range(4)]
_A, _B = _NAMES[:2]

_shares = st.lists(
    st.tuples(st.integers(0, 20), st.integers(1, 5)), min_size=4, max_size=4
).map(
    lambda values: [
        CustomerShare(name, guaranteed, weight)
        for name, (guaranteed, weight) in zip(_NAMES, values, strict=True)
    ]
)
_demands = st.lists(st.integers(0, 100), min_size=4, max_size=4).map(
    lambda values: dict(zip(_NAMES, map(float, values), strict=True))
)


@given(st.integers(80, 200), _shares, _demands)
def test_guarantees_come_first_and_no_wanted_capacity_stays_idle(
    capacity: int, shares: list[CustomerShare], demands: dict[CustomerId, float]
) -> None:
    granted = divide_capacity(float(capacity), shares, demands)
    for share in shares:
        demand = demands[share.customer]
        assert granted[share.customer] >= min(demand, share.guaranteed) - 1e-6
        assert granted[share.customer] <= demand + 1e-6
    total = sum(granted.values())
    assert abs(total - min(capacity, sum(demands.values()))) < 1e-3


@given(_shares, st.lists(st.integers(0, 2), min_size=6, max_size=6))
@settings(max_examples=60)
def test_a_network_partition_breaks_no_guarantee(
    shares: list[CustomerShare], partition_of: list[int]
) -> None:
    """A network partition of the six processes keeps all guarantees.

    Each partition receives digests only from its own members, and each
    process has more requests of all customers than it can serve. What all
    processes together admit of the other customers leaves each customer its
    guarantee, except for rounding to whole requests.
    """
    capacity, count = 240.0, len(partition_of)
    admitted = dict.fromkeys(_NAMES, 0.0)
    spare = 0.0
    for rank in range(count):
        fresh = partition_of.count(partition_of[rank])
        here = dict.fromkeys(_NAMES, 100.0)
        others = dict.fromkeys(_NAMES, 100.0 * (fresh - 1))
        peers = PeerCounts(count, fresh, rank)
        local = compute_local_shares(capacity, shares, here, others, peers)
        spare += local.spare
        for name in _NAMES:
            admitted[name] += int(local.limits[name])
    rounding = count
    assert sum(admitted.values()) + spare <= capacity + rounding * len(_NAMES)
    for share in shares:
        assert admitted[share.customer] >= share.guaranteed - rounding


@given(_shares, st.integers(1, 9))
def test_limits_of_idle_processes_sum_to_the_guarantees(
    shares: list[CustomerShare], count: int
) -> None:
    """Even a small guarantee is divided exactly between the processes."""
    totals = dict.fromkeys(_NAMES, 0.0)
    for rank in range(count):
        local = compute_local_shares(
            1000.0, shares, {}, {}, PeerCounts(count, count, rank)
        )
        for name in _NAMES:
            totals[name] += local.limits[name]
    assert totals == {share.customer: share.guaranteed for share in shares}


def _admission(limits: dict[CustomerId, float], spare: float = 0.0) -> Admission:
    admission = Admission()
    shares = LocalShares(limits, limits, spare)
    admission.set_shares(shares, dict.fromkeys(limits, 1), 0.0)
    return admission


def _submit(admission: Admission, customer: CustomerId, urgency: int = 3) -> Ticket:
    result = admission.submit(customer, urgency, 100.0, 0.0)
    assert isinstance(result, Ticket)
    return result


def test_a_freed_slot_goes_to_the_customer_with_fewer_requests() -> None:
    """A greedy customer's request waits, although it was submitted first."""
    admission = _admission({_A: 2.0, _B: 2.0}, spare=2.0)
    greedy = [_submit(admission, _B) for _ in range(4)]
    assert {ticket.state for ticket in greedy} == {TicketState.ADMITTED}
    waiting = _submit(admission, _B)
    assert waiting.state is TicketState.WAITING
    assert _submit(admission, _A).state is TicketState.ADMITTED
    assert _submit(admission, _A).state is TicketState.ADMITTED
    late = _submit(admission, _A)
    assert late.state is TicketState.WAITING
    assert admission.end(greedy[0], 1.0, answered=True) == [late]


def test_urgent_requests_of_a_customer_are_admitted_first() -> None:
    admission = _admission({_A: 1.0})
    running = _submit(admission, _A)
    _submit(admission, _A, urgency=5)
    urgent = _submit(admission, _A, urgency=0)
    assert admission.end(running, 1.0, answered=True) == [urgent]


def test_a_request_that_would_miss_its_deadline_is_refused_at_once() -> None:
    admission = _admission({_A: 1.0})
    for second in range(20):
        ticket = admission.submit(_A, 3, 1000.0, float(second))
        assert isinstance(ticket, Ticket)
        admission.end(ticket, second + 0.9, answered=True)
    result = admission.submit(_A, 3, 20.5, 20.0)
    assert isinstance(result, Fault)
    assert result.kind is ErrorKind.DEADLINE_TOO_SHORT


def test_short_requests_after_many_long_ones_are_admitted_again() -> None:
    """Requests with short deadlines are admitted after many long requests.

    Hundreds of requests took ten seconds each. The following requests take
    half a second each and have a deadline of one second. A refused request
    is never measured, so refusing all of them would never end.
    """
    admission = _admission({_A: 4.0})
    now, admitted = 0.0, 0
    for _ in range(500):
        ticket = admission.submit(_A, 3, now + 60.0, now)
        assert isinstance(ticket, Ticket)
        now += 10.0
        admission.end(ticket, now, answered=True)
    for _ in range(200):
        ticket = admission.submit(_A, 3, now + 1.0, now)
        if isinstance(ticket, Ticket):
            admitted += 1
            now += 0.5
            admission.end(ticket, now, answered=True)
    assert admitted > 150


def test_a_refusal_reveals_nothing_of_other_customers() -> None:
    """A customer gets the same refusals, whatever another customer does."""
    answers = []
    for crowd in (0, 50):
        admission = _admission({_A: 1.0, _B: 5.0})
        for _ in range(crowd):
            admission.submit(_B, 3, 100.0, 0.0)
        answers.append([admission.submit(_A, 3, 100.0, 0.0) for _ in range(40)])
    alone, crowded = (
        [item for item in results if isinstance(item, Fault)] for results in answers
    )
    assert alone == crowded
    assert alone and all(fault.retry_after for fault in alone)


@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 1)), max_size=80))
def test_every_admitted_request_is_released(steps: list[tuple[int, int]]) -> None:
    """Counts return to zero after any order of submissions and ends."""
    admission = _admission({_A: 2.0, _B: 1.0}, spare=1.0)
    open_: list[Ticket] = []
    for action, number in steps:
        if action < 2:
            result = admission.submit(_NAMES[number], 3, 100.0, 0.0)
            if isinstance(result, Ticket):
                open_.append(result)
        elif open_:
            _close(admission, open_.pop(0))
        assert admission.in_progress <= 4
        demands = sum(admission.list_demands().values())
        assert demands == len([t for t in open_ if t.state is not TicketState.ENDED])
    while open_:
        _close(admission, open_.pop(0))
    assert admission.in_progress == 0 and not admission.list_demands()


def _close(admission: Admission, ticket: Ticket) -> None:
    if ticket.state is TicketState.ADMITTED:
        admission.end(ticket, 1.0, answered=True)
    elif ticket.state is TicketState.WAITING:
        admission.remove_waiting(ticket)


def test_an_unresponsive_process_keeps_its_share_for_a_while() -> None:
    table = DigestTable(NodeId("b"), fresh_s=3.0, presumed_ended_s=60.0)
    demand = ServiceDemand("models/m", {_A: 4.0})
    table.record(Digest(NodeId("a"), (demand,)), 10.0)
    alive = [NodeId("a"), NodeId("b")]
    assert table.describe_peers(alive, {}, 11.0) == PeerCounts(2, 2, 1)
    assert table.sum_demands(11.0) == {"models/m": {_A: 4.0}}
    assert table.describe_peers(alive, {}, 14.0) == PeerCounts(2, 1, 1)
    assert table.sum_demands(14.0) == {}
    unresponsive_since = {NodeId("a"): 12.0}
    assert table.describe_peers([NodeId("b")], unresponsive_since, 70.0) == PeerCounts(
        2, 1, 1
    )
    assert table.describe_peers([NodeId("b")], unresponsive_since, 73.0) == PeerCounts(
        1, 1, 0
    )


def test_a_brownout_admits_urgent_requests() -> None:
    brownout = Brownout()
    for _ in range(10):
        brownout.update(1.0, 10)
    assert not brownout.admits(3, urgent_service=False)
    assert brownout.admits(1, urgent_service=False)
    assert brownout.admits(7, urgent_service=True)
    for _ in range(10):
        brownout.update(0.0, 10)
    assert brownout.admits(7, urgent_service=False)
