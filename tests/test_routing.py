"""Pools of upstreams under random orders of everything that happens."""

import random
from collections import Counter

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from zinniaspool.core.ids import Address, FailureDomainId, UpstreamId
from zinniaspool.core.requests import (
    AttemptEnd,
    FreshUpstream,
    Upstream,
    UpstreamPool,
    UpstreamState,
    hash_prefix,
)

_DOMAIN = FailureDomainId("d0")
_NAMES = [f"u{n}" for n in range(9)]


def _upstream(name: str, slots: int = 4, domain: str = "d0") -> Upstream:
    failure_domain = FailureDomainId(domain)
    return Upstream(UpstreamId(name), Address(name), failure_domain, slots)


def _pool(count: int, slots: int = 8) -> UpstreamPool:
    pool = UpstreamPool(random.Random(1), _DOMAIN)
    pool.sync((FreshUpstream(_upstream(f"u{n}", slots)) for n in range(count)), 0.0)
    return pool


class PoolMachine(RuleBasedStateMachine):
    """What gets a request could serve it, by all that is known."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.pool = UpstreamPool(random.Random(1), _DOMAIN)
        self.running: list[UpstreamState] = []
        self.left: set[UpstreamState] = set()

    @rule(
        known=st.dictionaries(st.sampled_from(_NAMES), st.floats(0, 4), max_size=9),
        load=st.none() | st.integers(0, 9),
    )
    def sync(self, known: dict[str, float], load: int | None) -> None:
        fresh = [
            FreshUpstream(_upstream(name), self.now + lasts, load, self.now - 0.1)
            for name, lasts in known.items()
        ]
        self.pool.sync(fresh, self.now)

    @rule(passed=st.floats(0, 2))
    def wait(self, passed: float) -> None:
        self.now += passed

    @rule(affinity=st.none() | st.integers(0, 2**64 - 1), probe=st.booleans())
    def send(self, affinity: int | None, probe: bool) -> None:
        tried = {UpstreamId(_NAMES[0])}
        state = self.pool.choose(self.now, affinity, tried, probe=probe)
        if state is None:
            return
        assert state.upstream.id not in tried
        assert state.fresh_until >= self.now
        assert self.pool.find(state.upstream.id) is state
        assert state not in self.left
        if not probe:
            assert not state.ejections or state.ejected_until <= self.now
            assert not state.probing
        self.pool.begin(state, self.now)
        self.running.append(state)

    @precondition(lambda self: self.running)
    @rule(end=st.sampled_from(AttemptEnd), latency=st.none() | st.floats(0.01, 9))
    def end(self, end: AttemptEnd, latency: float | None) -> None:
        state = self.running.pop(0)
        self.pool.end(state, self.now, end, latency, latency)

    @precondition(lambda self: self.running)
    @rule(load=st.integers(0, 9), age=st.floats(0, 3))
    def report(self, load: int, age: float) -> None:
        self.pool.note_load(self.running[0], load, self.now - age, self.now)

    @precondition(lambda self: self.running)
    @rule()
    def leave(self) -> None:
        self.pool.note_leaving(self.running[0], self.now)
        self.left.add(self.running[0])

    @rule()
    def step(self) -> None:
        self.pool.step(self.now)

    @invariant()
    def counts_hold(self) -> None:
        counts = Counter(id(state) for state in self.running)
        states = self.pool.list_states()
        assert all(state.own == counts[id(state)] for state in states)
        ejected = [state for state in states if state.ejections]
        assert len(ejected) <= max(1, int(0.34 * len(_NAMES)))
        if states:
            assert (
                abs(self.pool.use * self.pool.slots - sum(s.load for s in states))
                < 1e-6
            )


TestPool = PoolMachine.TestCase
TestPool.settings = settings(
    max_examples=200, stateful_step_count=40, deadline=None, derandomize=True
)


def test_failing_upstreams_are_ejected_up_to_a_bound_and_tried_again() -> None:
    """A fault of the network leaves most upstreams in use.

    All nine fail all the time; three at most are ejected. Then they work
    again: single requests try them, and all take their part.
    """
    pool = _pool(9)
    for n in range(300):
        now = n * 0.01
        state = pool.choose(now)
        assert state is not None
        pool.begin(state, now)
        pool.end(state, now, AttemptEnd.FAILED)
        assert sum(bool(s.ejections) for s in pool.list_states()) <= 3
    used: set[UpstreamId] = set()
    for n in range(2000):
        now = 40.0 + n * 0.01
        state = pool.choose(now)
        assert state is not None
        pool.begin(state, now)
        pool.end(state, now, AttemptEnd.ANSWERED, 0.1, 0.1)
        if n > 1000:
            used.add(state.upstream.id)
    assert len(used) == 9


def test_a_non_idempotent_request_never_tries_an_ejected_upstream() -> None:
    pool = _pool(2)
    first = pool.list_states()[0]
    for _ in range(3):
        pool.begin(first, 0.0)
        pool.end(first, 0.0, AttemptEnd.FAILED)
    chosen = {pool.choose(100.0, probe=False) for _ in range(50)}
    assert chosen == {pool.list_states()[1]}
    assert pool.choose(100.0, probe=True) is first


def test_a_short_deadline_is_no_upstreams_fault() -> None:
    pool = _pool(3)
    assert not pool.is_slow(0.05)
    assert pool.is_slow(1.5)


def test_a_popular_prefix_stays_together_without_overloading() -> None:
    """One prefix's requests share upstreams while these are not crowded.

    Few of them go to one upstream; when they are all the traffic, no
    upstream gets much more than its part.
    """
    body = b"{" + b"p" * 400
    affinity = hash_prefix(b"salt", body)
    assert affinity is not None
    assert hash_prefix(b"other customer", body) != affinity
    assert hash_prefix(b"salt", b"short") is None
    quiet = _pool(16)
    at = set()
    for _ in range(20):
        state = quiet.choose(0.0, affinity)
        assert state is not None
        quiet.begin(state, 0.0)
        quiet.end(state, 0.1, AttemptEnd.ANSWERED, 0.1, 0.1)
        at.add(state.upstream.id)
    assert len(at) == 1
    busy = _pool(16)
    for _ in range(64):
        state = busy.choose(0.0, affinity)
        assert state is not None
        busy.begin(state, 0.0)
    assert max(state.own for state in busy.list_states()) <= 6


def test_a_straggler_gets_less_and_comes_back() -> None:
    pool = _pool(5)
    states = pool.list_states()
    for _ in range(6):
        for n, state in enumerate(states):
            pool.begin(state, 0.0)
            pool.end(state, 0.0, AttemptEnd.ANSWERED, 0.5 if n == 0 else 0.1, 0.5)
    pool.step(0.5)
    assert states[0].slowness > 3
    assert all(state.slowness == 1.0 for state in states[1:])
    for second in range(2, 12):
        pool.step(float(second))
    assert states[0].slowness < 2
