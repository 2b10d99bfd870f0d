"""Tests how competing kinds and customers share a model that is short.

The loads are those of part E in docs/design/contended-load.md: the large model
of the new customers with 3 groups for 8 entry processes and 24 for 61, titles
(urgency 1) and tags (urgency 2) at 0.6 of the slots, bursts from second 8 to
14, three in ten callers retrying at once. Each result is summed over a few
seeds.
"""

import random
from collections.abc import Callable
from dataclasses import replace

import msgspec
import pytest

from tests.contention_world import (
    LARGE_ENGINES,
    CompetingCaller,
    CompetingFleet,
    Kind,
    measure_part,
)
from tests.load_world import make_target
from zinniaspool.core.dispatch import (
    CapacityDivision,
    Claim,
    PeerCounts,
    PeerDigests,
    TargetPool,
)
from zinniaspool.core.dispatch.demand import (
    abbreviate_customer,
    decode_amount,
    encode_amount,
    make_model_digest,
    sum_digests,
)
from zinniaspool.core.dispatch.shares import CustomerShare, divide_by_urgency
from zinniaspool.core.fleet import InstanceId, ModelDigest, TargetLoad
from zinniaspool.core.ids import CustomerId, FailureDomainId, NodeId
from zinniaspool.core.messages import Message
from zinniaspool.core.messages.fleet import DemandDigest
from zinniaspool.gateway.digests import fit_digest
from zinniaspool.peers.frames import encode_frame

FLEETS = [(8, (1, 2, 3, 4, 5, 6, 7, 8)), (61, (1, 2))]
BURST = (10.0, 14.0)
"""The burst without its first two seconds, in which digests are older."""


def make_kinds(processes: int, tags: float = 1.0, titles: float = 1.0) -> list[Kind]:
    """Return titles and tags; in the burst, at multiples of their load."""
    scale = 1.0 if processes == 8 else 8.0

    def vary(rate: float, factor: float) -> Callable[[float], float]:
        return lambda t: rate * scale * (factor if 8.0 <= t < 14.0 else 1.0)

    return [
        Kind("titles", 1, vary(18.0, titles), 1460, 30, 0.404, 8.0, [1.0] * 8),
        Kind("tags", 2, vary(9.2, tags), 2000, 5, 0.805, 6.0, [1.0] * 8),
    ]


def make_fleet(
    processes: int, kinds: list[Kind], seed: int = 1, at_once_part: float = 0.3
) -> CompetingFleet:
    engines = 3 if processes == 8 else 24
    shape = replace(LARGE_ENGINES, entries=processes, engines=engines)
    return CompetingFleet(kinds, shape, at_once_part, seed)


def collect(
    processes: int, seeds: tuple[int, ...], until: float = 24.0, **factors: float
) -> list[CompetingFleet]:
    """Return fleets of several seeds after a burst."""
    fleets = [
        make_fleet(processes, make_kinds(processes, **factors), seed) for seed in seeds
    ]
    for fleet in fleets:
        fleet.advance(until)
    return fleets


def list_kind(
    fleets: list[CompetingFleet], kind: str, times: tuple[float, float] = BURST
) -> list[CompetingCaller]:
    return [caller for fleet in fleets for caller in fleet.list_kind(kind, *times)]


@pytest.mark.parametrize(("processes", "seeds"), FLEETS)
def test_tags_at_four_times_their_load_leave_titles_their_capacity(
    processes: int, seeds: tuple[int, ...]
) -> None:
    """Without urgency, 0.67 of titles were on time, and 0.79 of tags."""
    fleets = collect(processes, seeds, tags=4.0)
    titles, tags = list_kind(fleets, "titles"), list_kind(fleets, "tags")
    assert measure_part(titles) >= 0.98
    assert measure_part(titles, on_time=True) >= 0.78
    assert measure_part(tags) <= measure_part(titles)
    assert measure_part(tags, on_time=True) <= measure_part(titles, on_time=True)
    assert measure_part(tags) >= 0.5 * measure_part(titles)
    after = list_kind(fleets, "titles", (15.0, 20.0))
    assert measure_part(after, on_time=True) >= 0.95


@pytest.mark.parametrize(("processes", "seeds"), FLEETS)
def test_a_burst_of_titles_does_not_starve_the_tags(
    processes: int, seeds: tuple[int, ...]
) -> None:
    """The more urgent would otherwise take all slots as long as it lasts."""
    fleets = collect(processes, seeds, titles=2.5)
    titles, tags = list_kind(fleets, "titles"), list_kind(fleets, "tags")
    assert measure_part(tags) <= measure_part(titles)
    assert measure_part(tags, on_time=True) <= measure_part(titles, on_time=True)
    assert measure_part(tags) >= 0.5 * measure_part(titles)


@pytest.mark.parametrize(("processes", "seeds"), FLEETS)
def test_callers_gain_nothing_by_retrying_at_once(
    processes: int, seeds: tuple[int, ...]
) -> None:
    """Each further attempt would be one more draw for the same slots."""
    tags = list_kind(collect(processes, seeds, tags=4.0), "tags")
    at_once = [caller for caller in tags if caller.retries_at_once]
    waiting = [caller for caller in tags if not caller.retries_at_once]
    assert measure_part(at_once) <= measure_part(waiting) + 0.03


@pytest.mark.parametrize(("processes", "seeds"), FLEETS)
def test_callers_that_come_back_as_told_are_served(
    processes: int, seeds: tuple[int, ...]
) -> None:
    """A retry time that isn't kept makes callers retry when they like."""
    fleets = collect(processes, seeds, tags=4.0)
    callers = [caller for fleet in fleets for caller in fleet.competing]
    told = [caller for caller in callers if caller.kept_retry_time]
    assert len(told) > 50
    assert measure_part(told) >= 0.9


def test_nothing_changes_while_the_capacity_is_enough() -> None:
    for seed in range(3):
        fleet = make_fleet(8, make_kinds(8), seed)
        fleet.advance(20.0)
        assert sum(caller.refusals for caller in fleet.competing) == 0
        done = [one for one in fleet.competing if one.requested_at < 17.0]
        assert measure_part(done, on_time=True) >= 0.98


def make_greedy(processes: int, spread: float = 0.0) -> list[Kind]:
    """Return one kind of 24 customers; one sends 20 times its share."""
    per_s = 18.0 * (1.0 if processes == 8 else 8.0)
    weights = [20.0 if number == 3 else 1.0 for number in range(24)]
    prompt, events, objective_s, deadline_s = 714, 30, 0.253, 6.0
    return [
        Kind(
            "alt",
            0,
            lambda t: per_s if t < 4.0 else per_s * 43 / 24,
            prompt,
            events,
            objective_s,
            deadline_s,
            weights,
            spread,
        )
    ]


@pytest.mark.parametrize(("processes", "spread"), [(8, 0.0), (8, 1.2), (61, 0.0)])
def test_a_customer_at_twenty_times_its_share_does_not_displace_the_others(
    processes: int, spread: float
) -> None:
    """Served in order of arrival, all customers were served equally rarely.

    The tenth of the other customers that is served least is served at least
    0.8 of the mean, and no size of requests less than half as often as all.
    """
    engines = 2 if processes == 8 else 16
    shape = replace(
        LARGE_ENGINES,
        entries=processes,
        engines=engines,
        slots=12,
        step_s=0.00387,
        per_request_s=0.000228,
        read_s=0.6 / 56_100,
    )
    fleet = CompetingFleet(make_greedy(processes, spread), shape, 0.3)
    until = 60.0 if processes == 8 else 24.0
    fleet.advance(until + 6.0)
    callers = fleet.list_kind("alt", 7.0, until)
    by_customer: dict[CustomerId, list[CompetingCaller]] = {}
    for caller in callers:
        by_customer.setdefault(caller.customer, []).append(caller)
    greedy = measure_part(by_customer.pop(CustomerId("alt-3")))
    parts = sorted(measure_part(served) for served in by_customer.values())
    mean = sum(parts) / len(parts)
    assert sum(parts[:2]) / 2 >= 0.8 * mean
    assert mean >= 0.8 and greedy <= 0.7 * mean
    sizes = sorted(callers, key=lambda caller: caller.prompt)
    tenth = len(sizes) // 10
    for group in (sizes[-tenth:], sizes[-3 * tenth : -tenth]):
        assert measure_part(group) >= 0.5 * measure_part(callers)


def test_callers_refused_in_the_same_moment_do_not_come_back_together() -> None:
    """They would be refused again, and again come back together."""
    fleet = make_fleet(8, make_kinds(8, tags=6.0), at_once_part=0.0)
    fleet.advance(14.0)
    told = [at for caller in fleet.competing for at in caller.told if at < 20.0]
    tenths = [sum(int(at * 10) == tenth for at in told) for tenth in range(90, 200)]
    assert len(told) > 60
    assert max(tenths) <= 0.1 * len(told)


# The rows of the failure table.


def test_digests_that_are_late_or_lost_only_make_the_division_older() -> None:
    fleets = []
    for seed in (1, 2, 3):
        fleet = make_fleet(8, make_kinds(8, tags=4.0), seed)
        fleet.lost_digest_part, fleet.digest_delay_s = 0.5, 1.0
        fleet.advance(24.0)
        fleets.append(fleet)
    titles, tags = list_kind(fleets, "titles"), list_kind(fleets, "tags")
    assert measure_part(titles) >= 0.98
    assert measure_part(titles, on_time=True) >= measure_part(tags, on_time=True)


def test_a_third_of_the_targets_that_disappears_counts_at_once() -> None:
    """Titles at 0.8 of what is left are served, tags get the rest."""
    fleets = []
    for seed in (1, 2, 3):
        fleet = make_fleet(8, make_kinds(8, tags=2.0), seed)
        fleet.advance(9.0)
        fleet.remove_engines({fleet.engines[0].id})
        fleet.advance(24.0)
        fleets.append(fleet)
    titles = list_kind(fleets, "titles", (9.0, 14.0))
    tags = list_kind(fleets, "tags", (9.0, 14.0))
    assert measure_part(titles) >= 0.95
    assert measure_part(tags) <= measure_part(titles)
    assert measure_part(tags, on_time=True) <= measure_part(titles, on_time=True)


def make_division(
    peers: PeerDigests, members: int = 8, load: int = 22
) -> CapacityDivision:
    """Return a division of 3 targets of 24 slots, which are nearly full."""
    pool = TargetPool(FailureDomainId("a"), random.Random(1))
    pool.peer_counts = PeerCounts(members, members, 0)
    pool.update([make_target(InstanceId(f"i{n}"), LARGE_ENGINES) for n in range(3)], 0)
    for state in pool:
        state.peer_load = TargetLoad(load)
    return CapacityDivision(pool, peers)


def make_claim(customer: str, urgency: int = 1, draw: float = 0.5) -> Claim:
    return Claim(CustomerId(customer), urgency, draw, 0.4, 0, 0)


def make_peer_digest(demands: dict[str, float]) -> ModelDigest:
    slots = {
        abbreviate_customer(CustomerId(name)): demand
        for name, demand in demands.items()
    }
    return make_model_digest(0, {1: slots}, {1: slots}, {}, 12)


def test_a_process_that_has_just_started_uses_its_peers_digests() -> None:
    """It would admit a greedy customer until it had seen enough of it."""
    peers = PeerDigests()
    peers.record(NodeId("n1"), [make_peer_digest({"big": 300.0, "small": 5.0})], 0.0)
    division = make_division(peers, load=24)
    assert division.assess(make_claim("big"), 0.1).part < 0.5
    assert division.assess(make_claim("small"), 0.1).part == 1.0


def test_the_last_digest_of_a_lost_process_counts_for_three_seconds() -> None:
    """Afterwards its part of the targets is left to it, and no more."""
    peers = PeerDigests()
    peers.record(NodeId("n1"), [make_peer_digest({"big": 300.0})], 0.0)
    assert peers.list_fresh(0, 2.9) and not peers.count_silent(2.9)
    assert not peers.list_fresh(0, 3.1) and peers.count_silent(3.1) == 1
    division = make_division(peers)
    assert division.describe(1.0)[0] == 72.0
    assert division.describe(4.0)[0] == 63.0
    peers.keep_members([])
    assert division.describe(4.0)[0] == 72.0


def test_a_process_cut_off_from_all_peers_keeps_to_its_own_part() -> None:
    """Each of eight processes would use all slots that it sees free."""
    peers = PeerDigests()
    for number in range(1, 8):
        peers.record(NodeId(f"n{number}"), [], 0.0)
    division = make_division(peers, load=0)
    state = next(iter(division.pool))
    for _ in range(9):
        state.local_requests += 1
        division.record_demand(make_claim("c"), 4.0)
    assert division.assess(make_claim("c", draw=0.99), 4.0).is_contended
    assert division.describe(4.0)[0] == 9.0


@pytest.mark.parametrize("customers", [24, 200])
@pytest.mark.parametrize("peers", [7, 11])
@pytest.mark.parametrize("models", [1, 2, 4])
def test_digests_stay_below_a_kilobyte_a_second(
    customers: int, peers: int, models: int
) -> None:
    """All peers together get at most that, and at least one in two seconds."""
    demands = {
        urgency: {
            abbreviate_customer(CustomerId(f"customer-{number}")): 0.05 + number / 50
            for number in range(customers)
        }
        for urgency in (0, 1, 2)
    }
    backlogs_s = {0: 3.0, 1: 2.0, 2: 5.0}

    def make(listed: int) -> DemandDigest:
        return DemandDigest(
            [
                make_model_digest(2**32 - n, demands, demands, backlogs_s, listed)
                for n in range(1, models + 1)
            ]
        )

    digest, pause_s = fit_digest(make, peers)
    frame = encode_frame(digest)
    assert len(frame) * peers / pause_s <= 1001
    assert msgspec.msgpack.decode(frame[4:], type=Message) == digest
    assert 1.0 <= pause_s <= 2.1
    sums = sum_digests([digest.models[0]])
    for urgency, customer_demands in demands.items():
        total = sum(sums[urgency].demand.values())
        assert total == pytest.approx(sum(customer_demands.values()), rel=0.04)


def test_amounts_in_digests_are_close_to_the_measured_ones() -> None:
    for slots in (0.01, 0.3, 1.0, 7.7, 72.0, 1900.0):
        assert decode_amount(encode_amount(slots)) == pytest.approx(
            slots, rel=0.04, abs=0.01
        )


def test_a_less_urgent_class_gets_what_is_left_and_never_more_often() -> None:
    shares = {urgency: [CustomerShare(CustomerId("c"), 0, 1)] for urgency in (0, 1, 2)}
    for demand in (0.0, 1.0, 10.0, 60.0, 500.0):
        demands = {
            urgency: {CustomerId("c"): demand if urgency == 0 else 20.0}
            for urgency in shares
        }
        grants = divide_by_urgency(72.0, shares, demands)
        parts = [
            grant.total / grant.demand for grant in grants.values() if grant.demand
        ]
        assert parts == sorted(parts, reverse=True)
        assert min(parts) > 0.0
        assert sum(grant.total for grant in grants.values()) <= 72.0 + 1e-6
