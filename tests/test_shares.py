"""Guarantees, fair shares, admission and brown-out."""

from hypothesis import given, settings, strategies as st

from zinniaspool.core.errors import ErrorKind, Fault
from zinniaspool.core.ids import CustomerId, NodeId
from zinniaspool.core.requests import (
    Admission,
    Brownout,
    CustomerShare,
    LocalShares,
    Peers,
    Ticket,
    TicketState,
    share_capacity,
    share_locally,
)
from zinniaspool.core.requests.digests import Digest, DigestBook, ServiceDemand

_NAMES = [CustomerId(f"c{n}") for n in range(4)]
_A, _B = _NAMES[:2]

_shares = st.lists(
    st.tuples(st.integers(0, 20), st.integers(1, 5)), min_size=4, max_size=4
).map(
    lambda found: [
        CustomerShare(name, guaranteed, weight)
        for name, (guaranteed, weight) in zip(_NAMES, found, strict=True)
    ]
)
_demands = st.lists(st.integers(0, 100), min_size=4, max_size=4).map(
    lambda found: dict(zip(_NAMES, map(float, found), strict=True))
)


@given(st.integers(80, 200), _shares, _demands)
def test_guarantees_come_first_and_nothing_is_left_idle(
    capacity: int, shares: list[CustomerShare], demands: dict[CustomerId, float]
) -> None:
    given_ = share_capacity(float(capacity), shares, demands)
    for share in shares:
        asked = demands[share.customer]
        assert given_[share.customer] >= min(asked, share.guaranteed) - 1e-6
        assert given_[share.customer] <= asked + 1e-6
    total = sum(given_.values())
    assert abs(total - min(capacity, sum(demands.values()))) < 1e-3


@given(_shares, st.lists(st.integers(0, 2), min_size=6, max_size=6))
@settings(max_examples=60)
def test_a_cut_between_processes_breaks_no_guarantee(
    shares: list[CustomerShare], island_of: list[int]
) -> None:
    """However the six processes are cut apart, there is room for everyone.

    Each island hears only its own members, and every process has more
    callers of all customers than it can serve. What all processes together
    admit of the other customers leaves each one its guarantee, but for
    whole-number parts.
    """
    capacity, count = 240.0, len(island_of)
    admitted = dict.fromkeys(_NAMES, 0.0)
    spare = 0.0
    for rank in range(count):
        heard = island_of.count(island_of[rank])
        here = dict.fromkeys(_NAMES, 100.0)
        others = dict.fromkeys(_NAMES, 100.0 * (heard - 1))
        peers = Peers(count, heard, rank)
        local = share_locally(capacity, shares, here, others, peers)
        spare += local.spare
        for name in _NAMES:
            admitted[name] += int(local.limits[name])
    rounding = count
    assert sum(admitted.values()) + spare <= capacity + rounding * len(_NAMES)
    for share in shares:
        assert admitted[share.customer] >= share.guaranteed - rounding


@given(_shares, st.integers(1, 9))
def test_idle_processes_hold_exactly_the_guarantees(
    shares: list[CustomerShare], count: int
) -> None:
    """A small guarantee is somewhere, and no guarantee is promised twice."""
    held = dict.fromkeys(_NAMES, 0.0)
    for rank in range(count):
        local = share_locally(1000.0, shares, {}, {}, Peers(count, count, rank))
        for name in _NAMES:
            held[name] += local.limits[name]
    assert held == {share.customer: share.guaranteed for share in shares}


def _admission(limits: dict[CustomerId, float], spare: float = 0.0) -> Admission:
    admission = Admission()
    shares = LocalShares(limits, limits, spare)
    admission.set_shares(shares, dict.fromkeys(limits, 1), 0.0)
    return admission


def _ask(admission: Admission, customer: CustomerId, urgency: int = 3) -> Ticket:
    asked = admission.ask(customer, urgency, 100.0, 0.0)
    assert isinstance(asked, Ticket)
    return asked


def test_a_freed_place_goes_to_the_customer_that_has_less() -> None:
    """A greedy customer waits, though it asked first."""
    admission = _admission({_A: 2.0, _B: 2.0}, spare=2.0)
    greedy = [_ask(admission, _B) for _ in range(4)]
    assert {ticket.state for ticket in greedy} == {TicketState.ADMITTED}
    waiting = _ask(admission, _B)
    assert waiting.state is TicketState.WAITING
    assert _ask(admission, _A).state is TicketState.ADMITTED
    assert _ask(admission, _A).state is TicketState.ADMITTED
    late = _ask(admission, _A)
    assert late.state is TicketState.WAITING
    assert admission.end(greedy[0], 1.0, answered=True) == [late]


def test_the_urgent_requests_of_a_customer_go_first() -> None:
    admission = _admission({_A: 1.0})
    running = _ask(admission, _A)
    _ask(admission, _A, urgency=5)
    urgent = _ask(admission, _A, urgency=0)
    assert admission.end(running, 1.0, answered=True) == [urgent]


def test_what_cannot_be_done_in_time_is_refused_at_once() -> None:
    admission = _admission({_A: 1.0})
    for second in range(20):
        ticket = admission.ask(_A, 3, 1000.0, float(second))
        assert isinstance(ticket, Ticket)
        admission.end(ticket, second + 0.9, answered=True)
    asked = admission.ask(_A, 3, 20.5, 20.0)
    assert isinstance(asked, Fault)
    assert asked.kind is ErrorKind.DEADLINE_TOO_SHORT


def test_short_requests_after_many_long_ones_are_taken_again() -> None:
    """Callers with short deadlines are served though long work came before.

    Hundreds of requests took ten seconds; now come some that take half a
    second and have one. Nothing that is refused is ever measured.
    """
    admission = _admission({_A: 4.0})
    now, taken = 0.0, 0
    for _ in range(500):
        ticket = admission.ask(_A, 3, now + 60.0, now)
        assert isinstance(ticket, Ticket)
        now += 10.0
        admission.end(ticket, now, answered=True)
    for _ in range(200):
        ticket = admission.ask(_A, 3, now + 1.0, now)
        if isinstance(ticket, Ticket):
            taken += 1
            now += 0.5
            admission.end(ticket, now, answered=True)
    assert taken > 150


def test_a_refusal_says_nothing_of_other_customers() -> None:
    """One customer reads the same answers, whatever another one does."""
    answers = []
    for crowd in (0, 50):
        admission = _admission({_A: 1.0, _B: 5.0})
        for _ in range(crowd):
            admission.ask(_B, 3, 100.0, 0.0)
        answers.append([admission.ask(_A, 3, 100.0, 0.0) for _ in range(40)])
    quiet, crowded = (
        [found for found in asked if isinstance(found, Fault)] for asked in answers
    )
    assert quiet == crowded
    assert quiet and all(fault.retry_after for fault in quiet)


@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 1)), max_size=80))
def test_every_place_is_given_back(steps: list[tuple[int, int]]) -> None:
    """Counts return to nothing in any order of asking, ending, giving up."""
    admission = _admission({_A: 2.0, _B: 1.0}, spare=1.0)
    open_: list[Ticket] = []
    for act, who in steps:
        if act < 2:
            asked = admission.ask(_NAMES[who], 3, 100.0, 0.0)
            if isinstance(asked, Ticket):
                open_.append(asked)
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
        admission.give_up(ticket)


def test_processes_that_are_not_heard_keep_their_part_for_a_while() -> None:
    book = DigestBook(NodeId("b"), fresh_s=3.0, cut_off_s=60.0)
    demand = ServiceDemand("models/m", {_A: 4.0})
    book.take(Digest(NodeId("a"), (demand,)), 10.0)
    alive = [NodeId("a"), NodeId("b")]
    assert book.describe_peers(alive, {}, 11.0) == Peers(2, 2, 1)
    assert book.sum_demands(11.0) == {"models/m": {_A: 4.0}}
    assert book.describe_peers(alive, {}, 14.0) == Peers(2, 1, 1)
    assert book.sum_demands(14.0) == {}
    lost = {NodeId("a"): 12.0}
    assert book.describe_peers([NodeId("b")], lost, 70.0) == Peers(2, 1, 1)
    assert book.describe_peers([NodeId("b")], lost, 73.0) == Peers(1, 1, 0)


def test_a_brownout_keeps_urgent_work() -> None:
    brownout = Brownout()
    for _ in range(10):
        brownout.step(1.0, 10)
    assert not brownout.takes(3, urgent_service=False)
    assert brownout.takes(1, urgent_service=False)
    assert brownout.takes(7, urgent_service=True)
    for _ in range(10):
        brownout.step(0.0, 10)
    assert brownout.takes(7, urgent_service=False)
