"""Tests pools of upstreams, with random orders of reports and requests."""

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
    AttemptOutcome,
    Upstream,
    UpstreamPool,
    UpstreamReport,
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
    pool.sync((UpstreamReport(_upstream(f"u{n}", slots)) for n in range(count)), 0.0)
    return pool


class PoolMachine(RuleBasedStateMachine):
    """Checks that a chosen upstream can serve requests, as far as is known."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.pool = UpstreamPool(random.Random(1), _DOMAIN)
        self.running: list[UpstreamState] = []
        self.leaving: set[UpstreamState] = set()

    @rule(
        known=st.dictionaries(st.sampled_from(_NAMES), st.floats(0, 4), max_size=9),
        load=st.none() | st.integers(0, 9),
    )
    def sync(self, known: dict[str, float], load: int | None) -> None:
        reports = [
            UpstreamReport(_upstream(name), self.now + fresh_s, load, self.now - 0.1)
            for name, fresh_s in known.items()
        ]
        self.pool.sync(reports, self.now)

    @rule(passed=st.floats(0, 2))
    def wait(self, passed: float) -> None:
        self.now += passed

    @rule(affinity=st.none() | st.integers(0, 2**64 - 1), probe=st.booleans())
    def send(self, affinity: int | None, probe: bool) -> None:
        tried = {UpstreamId(_NAMES[0])}
        state = self.pool.choose(self.now, affinity, tried, allow_probe=probe)
        if state is None:
            return
        assert state.upstream.id not in tried
        assert state.fresh_until >= self.now
        assert self.pool.find(state.upstream.id) is state
        assert state not in self.leaving
        if not probe:
            assert not state.ejections or state.ejected_until <= self.now
            assert not state.probing
        self.pool.begin(state, self.now)
        self.running.append(state)

    @precondition(lambda self: self.running)
    @rule(end=st.sampled_from(AttemptOutcome), latency=st.none() | st.floats(0.01, 9))
    def end(self, end: AttemptOutcome, latency: float | None) -> None:
        state = self.running.pop(0)
        self.pool.end(state, self.now, end, latency, latency)

    @precondition(lambda self: self.running)
    @rule(load=st.integers(0, 9), age=st.floats(0, 3))
    def report(self, load: int, age: float) -> None:
        self.pool.record_load(self.running[0], load, self.now - age, self.now)

    @precondition(lambda self: self.running)
    @rule()
    def leave(self) -> None:
        self.pool.mark_leaving(self.running[0], self.now)
        self.leaving.add(self.running[0])

    @rule()
    def update_slowness(self) -> None:
        self.pool.update_slowness(self.now)

    @invariant()
    def counts_are_consistent(self) -> None:
        counts = Counter(id(state) for state in self.running)
        states = self.pool.list_states()
        assert all(state.local_load == counts[id(state)] for state in states)
        ejected = [state for state in states if state.ejections]
        assert len(ejected) <= max(1, int(0.34 * len(_NAMES)))
        if states:
            assert (
                abs(
                    self.pool.utilization * self.pool.slots
                    - sum(s.load for s in states)
                )
                < 1e-6
            )


TestPool = PoolMachine.TestCase
TestPool.settings = settings(
    max_examples=200, stateful_step_count=40, deadline=None, derandomize=True
)


def test_failing_upstreams_are_ejected_up_to_a_bound_and_probed() -> None:
    """After a fault of the network, all upstreams get requests again.

    All nine upstreams fail continuously, and at most three are ejected. When
    they work again, single requests probe the ejected ones, and in the end
    every upstream gets requests.
    """
    pool = _pool(9)
    for n in range(300):
        now = n * 0.01
        state = pool.choose(now)
        assert state is not None
        pool.begin(state, now)
        pool.end(state, now, AttemptOutcome.FAILED)
        assert sum(bool(s.ejections) for s in pool.list_states()) <= 3
    used: set[UpstreamId] = set()
    for n in range(2000):
        now = 40.0 + n * 0.01
        state = pool.choose(now)
        assert state is not None
        pool.begin(state, now)
        pool.end(state, now, AttemptOutcome.ANSWERED, 0.1, 0.1)
        if n > 1000:
            used.add(state.upstream.id)
    assert len(used) == 9


def test_a_non_idempotent_request_never_probes_an_ejected_upstream() -> None:
    pool = _pool(2)
    first = pool.list_states()[0]
    for _ in range(3):
        pool.begin(first, 0.0)
        pool.end(first, 0.0, AttemptOutcome.FAILED)
    chosen = {pool.choose(100.0, allow_probe=False) for _ in range(50)}
    assert chosen == {pool.list_states()[1]}
    assert pool.choose(100.0, allow_probe=True) is first


def test_a_short_deadline_does_not_count_as_an_upstreams_failure() -> None:
    pool = _pool(3)
    assert not pool.is_slow(0.05)
    assert pool.is_slow(1.5)


def test_a_popular_prefix_keeps_to_few_upstreams_without_overload() -> None:
    """Requests of a prefix share an upstream while it is not overloaded.

    Successive requests all go to one upstream. If concurrent requests of the
    prefix are the whole traffic, no upstream gets much more than its share.
    """
    body = b"{" + b"p" * 400
    affinity = hash_prefix(b"salt", body)
    assert affinity is not None
    assert hash_prefix(b"other customer", body) != affinity
    assert hash_prefix(b"salt", b"short") is None
    idle = _pool(16)
    used = set()
    for _ in range(20):
        state = idle.choose(0.0, affinity)
        assert state is not None
        idle.begin(state, 0.0)
        idle.end(state, 0.1, AttemptOutcome.ANSWERED, 0.1, 0.1)
        used.add(state.upstream.id)
    assert len(used) == 1
    busy = _pool(16)
    for _ in range(64):
        state = busy.choose(0.0, affinity)
        assert state is not None
        busy.begin(state, 0.0)
    assert max(state.local_load for state in busy.list_states()) <= 6


def test_a_straggler_gets_fewer_requests_until_it_recovers() -> None:
    pool = _pool(5)
    states = pool.list_states()
    for _ in range(6):
        for n, state in enumerate(states):
            pool.begin(state, 0.0)
            pool.end(state, 0.0, AttemptOutcome.ANSWERED, 0.5 if n == 0 else 0.1, 0.5)
    pool.update_slowness(0.5)
    assert states[0].slowness > 3
    assert all(state.slowness == 1.0 for state in states[1:])
    for second in range(2, 12):
        pool.update_slowness(float(second))
    assert states[0].slowness < 2


def test_a_silent_upstream_gets_no_new_requests_until_it_answers() -> None:
    """Guards against new requests at an upstream whose attempts only wait."""
    pool = _pool(3)
    silent = pool.find(UpstreamId("u0"))
    assert silent is not None
    for _ in range(3):
        pool.begin(silent, 0.0)
        pool.record_silence(silent, 0.0)

    def choose_all() -> set[UpstreamState | None]:
        return {pool.choose(0.0, allow_probe=False) for _ in range(50)}

    assert silent not in choose_all()
    assert silent.local_load == 3
    for _ in range(3):
        pool.end(silent, 0.0, AttemptOutcome.ANSWERED)
    assert silent in choose_all()
