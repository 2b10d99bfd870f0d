"""Which upstream takes a request.

An upstream's load is known late, so it is taken as what others had there at
the time of its report, plus what this process has there now. The least loaded
of a few random ones is chosen: the very least loaded by old reports would be
chosen by every entry process at once. The work of a choice does not grow with
the number of upstreams.
"""

import random
from bisect import bisect_left
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b

from zinniaspool.core.ids import FailureDomainId, UpstreamId
from zinniaspool.core.requests.upstreams import (
    DrawSet,
    FreshUpstream,
    UpstreamState,
)

__all__ = ["AttemptEnd", "RoutingLimits", "UpstreamPool", "hash_prefix"]

_RING_POINTS = 8
"""Points of one upstream on the ring; chosen, shares differ by a third."""
_RING_STEPS = 8
"""Points tried for a prefix before the least loaded is taken."""
_PREFIX_BYTES = 256
"""Bytes of a body that make its prefix; shorter ones are not cached."""
_HASH_BYTES = 8
"""Bytes of a hash on the ring."""
_DRAWS = 4
"""Upstreams drawn for one choice; see docs/design/routing.md."""
_MOST_SLOWNESS = 8.0
"""Largest factor that slowness counts for."""
_SLOW = 2.0
"""Factor above the median from which an upstream counts as slow."""
_LEAST_SLOW_S = 1.0
"""Seconds below which no answer counts as slow."""
_SLOWNESS_DECAY = 0.8
"""Factor a second by which slowness fades without a measurement."""
_FIRST_STAY_S = 1.0
"""Seconds taken for a request's stay before any was measured."""
_STAY_WEIGHT = 0.02
"""Weight of the newest request in the mean stay: some fifty count."""
_SMOOTHED_STAYS = 30.0
"""Stays over which others' load is smoothed; docs/design/routing.md."""
_MOST_PASSED_S = 5.0
"""Seconds between two reports that count at most."""
_ROOM = 1.5
"""Slots in use, as a factor, up to which an upstream still has room."""


class AttemptEnd(Enum):
    """What an attempt's end says about its upstream."""

    ANSWERED = "answered"
    REFUSED = "refused"
    """It has no room, or is not what it was taken for."""

    FAILED = "failed"
    ABANDONED = "abandoned"
    """The caller went; it says nothing."""


@dataclass(frozen=True, slots=True)
class RoutingLimits:
    """How requests are spread.

    Attributes:
        far_cost: Added to the load, as a part of an upstream's slots, when
            it is in another failure domain.
        affinity_bound: Load, as a multiple of the mean, up to which a
            prefix's own upstream takes its requests.
        failures: Failures in a row that eject an upstream.
        eject_s: Time of a first ejection; each further one is twice as long.
        most_eject_s: Longest time of an ejection.
        most_ejected: Part of the upstreams that may be ejected at a time.
    """

    far_cost: float = 0.05
    affinity_bound: float = 1.25
    failures: int = 3
    eject_s: float = 1.0
    most_eject_s: float = 30.0
    most_ejected: float = 0.34


class UpstreamPool:
    """Upstreams of which any can take a request.

    Args:
        source: The random source.
        own_domain: The failure domain of this process.
        limits: How requests are spread.
    """

    def __init__(
        self,
        source: random.Random,
        own_domain: FailureDomainId,
        limits: RoutingLimits | None = None,
    ) -> None:
        self.slots = 0
        self._source = source
        self._own_domain = own_domain
        self._limits = limits or RoutingLimits()
        self._states: dict[UpstreamId, UpstreamState] = {}
        self._usable: DrawSet[UpstreamState] = DrawSet()
        self._free: DrawSet[UpstreamState] = DrawSet()
        self._near: DrawSet[UpstreamState] = DrawSet()
        self._ejected: list[UpstreamState] = []
        self._ring: list[int] = []
        self._ring_states: list[UpstreamState] = []
        self._median_s = 0.0
        self._load = 0.0
        self._reported = 0
        self._stay_s = _FIRST_STAY_S

    def __len__(self) -> int:
        return len(self._states)

    @property
    def use(self) -> float:
        """Requests there as a part of what the upstreams run at a time."""
        return self._load / self.slots if self.slots else float("inf")

    # What is known of the upstreams.

    def sync(self, upstreams: Iterable[FreshUpstream], now: float) -> None:
        """Take the upstreams that there are now, and their reports."""
        wanted = {fresh.upstream.id: fresh for fresh in upstreams}
        changed = False
        for name in [name for name in self._states if name not in wanted]:
            self._drop(self._states.pop(name))
            changed = True
        for name, fresh in wanted.items():
            state = self._states.get(name)
            if state is not None and state.upstream != fresh.upstream:
                self._drop(state)
                state = None
            if state is None:
                state = self._states[name] = UpstreamState(fresh.upstream)
                changed = True
            state.fresh_until = fresh.fresh_until
            if fresh.load is not None:
                self._note_load(state, fresh.load, fresh.load_at, now)
            self._place(state, now)
        if changed:
            self.slots = sum(s.upstream.slots for s in self._states.values())
            self._build_ring()

    def find(self, upstream: UpstreamId) -> UpstreamState | None:
        """Return what is known of an upstream."""
        return self._states.get(upstream)

    def note_load(
        self, state: UpstreamState, load: int, made_at: float, now: float
    ) -> None:
        """Take a report of an upstream's load.

        Args:
            state: The upstream.
            load: Requests there, running and waiting, from everyone.
            made_at: When the upstream counted them.
            now: Seconds.
        """
        if not state.gone:
            self._note_load(state, load, made_at, now)
            self._place(state, now)

    def note_leaving(self, state: UpstreamState, now: float) -> None:
        """Send an upstream nothing more until it is another one."""
        state.leaving = True
        if not state.gone:
            self._place(state, now)

    def list_leaving(self) -> list[UpstreamState]:
        """Return the plain services' upstreams that say that they leave."""
        return [
            state
            for state in self._states.values()
            if state.leaving and state.upstream.group is None
        ]

    def note_ended(self, state: UpstreamState, now: float) -> None:
        """Take what is at a leaving upstream's address for another one."""
        state.leaving = False
        if not state.gone:
            self._place(state, now)

    def step(self, now: float) -> None:
        """Compare the upstreams' speeds; about once a second."""
        measured = sorted(
            state.latency_s for state in self._states.values() if state.measured
        )
        self._median_s = measured[len(measured) // 2] if measured else 0.0
        for state in self._states.values():
            self._judge_speed(state, now)
            self._place(state, now)

    def is_slow(self, latency_s: float) -> bool:
        """Whether a wait without an answer speaks against an upstream.

        A caller's own short deadline must not: by asking for what cannot be
        done, one customer could have upstreams ejected for all others.
        """
        return latency_s >= max(_LEAST_SLOW_S, _MOST_SLOWNESS * self._median_s)

    def list_states(self) -> list[UpstreamState]:
        """Return what is known of each upstream, for the state dump."""
        return list(self._states.values())

    # Choosing.

    def choose(
        self,
        now: float,
        affinity: int | None = None,
        tried: Collection[UpstreamId] = (),
        *,
        probe: bool = True,
    ) -> UpstreamState | None:
        """Return the upstream for a request, or None when there is none.

        Args:
            now: Seconds.
            affinity: Hash of the request's prefix, or None.
            tried: Upstreams that this request has been at.
            probe: Whether the request may be the one that tries an ejected
                upstream.
        """
        if self._ejected and probe:
            probed = self._choose_probe(now, tried)
            if probed is not None:
                return probed
        if affinity is not None and self._ring:
            held = self._choose_by_prefix(affinity, now, tried)
            if held is not None:
                return held
        drawn = self._draw(self._free, _DRAWS, now, tried)
        drawn += self._draw(self._near, 1, now, tried)
        if not drawn:
            # All are full by what is known. The upstreams' own queues take
            # what little more the other entry processes' haste makes.
            drawn = self._draw(self._usable, _DRAWS + 1, now, tried)
        if not drawn:
            return None
        return min(drawn, key=self._cost)

    def begin(self, state: UpstreamState, now: float) -> None:
        """Count a request that is sent."""
        state.count(1, now)
        if state.gone:
            return
        self._load += 1
        if state.load >= state.upstream.slots * _ROOM:
            self._place(state, now)

    def end(
        self,
        state: UpstreamState,
        now: float,
        end: AttemptEnd,
        latency_s: float | None = None,
        stay_s: float | None = None,
    ) -> None:
        """Count a request that has ended.

        Args:
            state: Where it was.
            now: Seconds.
            end: How it ended.
            latency_s: Time to the first byte of the answer.
            stay_s: Time from its begin, where it was answered.
        """
        if stay_s is not None:
            self._stay_s += _STAY_WEIGHT * (stay_s - self._stay_s)
        state.count(-1, now)
        if state.gone:
            # Its requests end after it is no longer one of the pool's.
            # Counting them here would put it among those that get requests.
            return
        self._load -= 1
        if latency_s is not None:
            state.measure(latency_s, now)
        match end:
            case AttemptEnd.ANSWERED:
                state.failures = state.ejections = 0
            case AttemptEnd.FAILED:
                state.failures += 1
                if state.failures >= self._limits.failures or state.probing:
                    self._eject(state, now)
            case AttemptEnd.REFUSED:
                # Its report does not show yet that it is full.
                full = state.upstream.slots * _ROOM - state.own
                self._set_others(state, max(state.others, full))
            case AttemptEnd.ABANDONED:
                pass
        state.probing = False
        self._place(state, now)

    # Inside.

    def _draw(
        self,
        states: DrawSet[UpstreamState],
        count: int,
        now: float,
        tried: Collection[UpstreamId],
    ) -> list[UpstreamState]:
        drawn = []
        for _ in range(min(count, len(states))):
            state = states.draw(self._source)
            if state.fresh_until < now:
                # Its group's reports have stopped: a VM may be missing, and
                # a group with a VM missing must get nothing.
                self._drop_from_sets(state)
                if not states:
                    break
                state = states.draw(self._source)
            if state.fresh_until >= now and state.upstream.id not in tried:
                drawn.append(state)
        if not drawn and tried:
            return [
                state
                for state in states
                if state.upstream.id not in tried and state.fresh_until >= now
            ]
        return drawn

    def _choose_by_prefix(
        self, affinity: int, now: float, tried: Collection[UpstreamId]
    ) -> UpstreamState | None:
        mean = (self._load + 1) / max(1, self.slots)
        bound = self._limits.affinity_bound * mean
        start = bisect_left(self._ring, affinity)
        for step in range(min(_RING_STEPS, len(self._ring))):
            state = self._ring_states[(start + step) % len(self._ring)]
            slots = state.upstream.slots
            # The bound keeps a popular prefix from overloading one upstream
            # while the others idle.
            light = state.load < max(1.0, bound * slots)
            if (
                light
                and state in self._free
                and state.fresh_until >= now
                and state.slowness < _SLOW
                and state.upstream.id not in tried
            ):
                return state
        return None

    def _choose_probe(
        self, now: float, tried: Collection[UpstreamId]
    ) -> UpstreamState | None:
        for state in self._ejected:
            due = state.ejected_until <= now and not state.probing
            usable = state.fresh_until >= now and not state.leaving
            if due and usable and state.upstream.id not in tried:
                state.probing = True
                return state
        return None

    def _cost(self, state: UpstreamState) -> float:
        cost = (state.load + 1) / state.upstream.slots * state.slowness
        if state.upstream.failure_domain != self._own_domain:
            cost += self._limits.far_cost
        return cost

    def _note_load(
        self, state: UpstreamState, load: int, made_at: float, now: float
    ) -> None:
        if made_at <= state.reported_at:
            return
        passed_s = min(made_at - state.reported_at, _MOST_PASSED_S)
        state.reported_at = made_at
        reported = max(0, load - state.own_at(made_at))
        self._reported += reported - state.reported
        state.reported = reported
        # By the time a report is here, what others had there has ended and
        # they have sent more. Taken at its word, every process would leave
        # the upstream that was full and crowd the one that was empty, back
        # and forth. What stays over many requests' times is what counts: an
        # upstream that is slow, small, or nearer to the others.
        mean = self._reported / len(self._states)
        stay_s = self._stay_s
        weight = passed_s / (passed_s + _SMOOTHED_STAYS * stay_s)
        weight *= stay_s / (stay_s + max(0.0, now - made_at))
        state.surplus += weight * (reported - mean - state.surplus)
        self._set_others(state, max(0.0, mean + state.surplus))

    def _set_others(self, state: UpstreamState, others: float) -> None:
        self._load += others - state.others
        state.others = others

    def _judge_speed(self, state: UpstreamState, now: float) -> None:
        if not state.measured or not self._median_s:
            return
        ratio = state.latency_s / self._median_s
        # Small differences are queues that come and go: the load shows them.
        measured = min(_MOST_SLOWNESS, ratio) if ratio >= _SLOW else 1.0
        if state.measured_at < now - 1.0:
            # A straggler that gets nothing is never measured: it must come
            # back into the draw to show that it has recovered.
            measured = max(1.0, state.slowness * _SLOWNESS_DECAY)
        state.slowness = measured

    def _eject(self, state: UpstreamState, now: float) -> None:
        most = max(1, int(self._limits.most_ejected * len(self._states)))
        if state not in self._ejected:
            # Were all that fail ejected, a fault of the network would leave
            # no upstream, and the last ones would get everything.
            if len(self._ejected) >= most or len(self._states) == 1:
                return
            self._ejected.append(state)
        wait_s = self._limits.eject_s * 2**state.ejections
        state.ejected_until = now + min(self._limits.most_eject_s, wait_s)
        state.ejections += 1
        state.failures = 0

    def _place(self, state: UpstreamState, now: float) -> None:
        if state in self._ejected and not state.ejections:
            self._ejected.remove(state)
        out = state.leaving or state in self._ejected or state.fresh_until < now
        self._usable.set(state, not out)
        free = not out and state.load < state.upstream.slots * _ROOM
        self._free.set(state, free)
        near = state.upstream.failure_domain == self._own_domain
        self._near.set(state, free and near)

    def _drop(self, state: UpstreamState) -> None:
        state.gone = True
        self._drop_from_sets(state)
        self._load -= state.load
        self._reported -= state.reported
        if state in self._ejected:
            self._ejected.remove(state)

    def _drop_from_sets(self, state: UpstreamState) -> None:
        for states in (self._usable, self._free, self._near):
            states.set(state, False)

    def _build_ring(self) -> None:
        points = [
            (_hash(f"{name}/{k}".encode()), name)
            for name in self._states
            for k in range(_RING_POINTS)
        ]
        points.sort()
        self._ring = [point for point, _ in points]
        self._ring_states = [self._states[name] for _, name in points]


def hash_prefix(salt: bytes, body: bytes) -> int | None:
    """Return what requests with the same beginning have in common.

    Args:
        salt: The customer's own: without it a customer could tell from its
            first-token times which prefixes a rival uses.
        body: The request's body; short ones have no prefix worth keeping.
    """
    if len(body) < _PREFIX_BYTES:
        return None
    return _hash(salt + body[:_PREFIX_BYTES])


def _hash(data: bytes) -> int:
    return int.from_bytes(blake2b(data, digest_size=_HASH_BYTES).digest(), "big")
