"""Chooses the upstream to which a request is sent.

Load reports of upstreams arrive late. An upstream's load is therefore
estimated as the requests that other processes had there according to its
reports, plus the requests that this process has there now. The least loaded
of a few random upstreams is chosen: the least loaded of all, by old reports,
would be chosen by every entry process at once. The work of a choice does not
grow with the number of upstreams.
"""

import random
from bisect import bisect_left
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b

from zinniaspool.core.ids import FailureDomainId, UpstreamId
from zinniaspool.core.requests.upstreams import (
    RandomSet,
    UpstreamReport,
    UpstreamState,
)

__all__ = ["AttemptOutcome", "RoutingLimits", "UpstreamPool", "hash_prefix"]

_POINTS_PER_UPSTREAM = 8
"""Points of one upstream on the ring of prefix hashes. With this number, the
upstreams' shares of the prefixes differ by about a third."""
_MAX_RING_STEPS = 8
"""Points of the ring tried for a prefix before the prefix is disregarded and
the least loaded candidate is chosen."""
_PREFIX_BYTES = 256
"""Bytes of a body that form its prefix. Shorter bodies are not cached."""
_HASH_BYTES = 8
"""Bytes of the hash that is a point on the ring."""
_CANDIDATE_COUNT = 4
"""Upstreams drawn at random for one choice; see docs/design/routing.md."""
_MAX_SLOWNESS = 8.0
"""Maximum factor by which slowness raises an upstream's cost."""
_SLOW_RATIO = 2.0
"""Ratio to the median latency from which an upstream counts as slow."""
_MIN_SLOW_S = 1.0
"""Latency in seconds below which no answer counts as slow."""
_SLOWNESS_DECAY = 0.8
"""Factor by which slowness fades per second without a measurement."""
_INITIAL_DURATION_S = 1.0
"""Request duration in seconds assumed before the first measurement."""
_DURATION_WEIGHT = 0.02
"""Weight of the newest request in the mean duration, which therefore depends
on about the last fifty requests."""
_SMOOTHED_DURATIONS = 30.0
"""Request durations over which the remote load is smoothed; see
docs/design/routing.md."""
_MAX_REPORT_INTERVAL_S = 5.0
"""Maximum seconds between two reports that count for the smoothing."""
_MAX_LOAD_PER_SLOT = 1.5
"""Load per slot up to which an upstream has room for further requests."""


class AttemptOutcome(Enum):
    """The outcome of an attempt, as it reflects on its upstream."""

    ANSWERED = "answered"
    REFUSED = "refused"
    """The upstream has no room, or is not the upstream that was expected."""

    FAILED = "failed"
    ABANDONED = "abandoned"
    """The attempt does not reflect on the upstream, or it did already: its
    caller left, another attempt answered, or its silence was recorded."""


@dataclass(frozen=True, slots=True)
class RoutingLimits:
    """Parameters of the choice of upstreams.

    Attributes:
        remote_domain_cost: Cost of an upstream in another failure domain, in
            addition to its load per slot.
        affinity_bound: Load, as a multiple of the mean, up to which the
            upstream of a prefix gets the prefix's requests.
        failures_to_eject: Successive failures that eject an upstream.
        ejection_s: Seconds of a first ejection; each successive ejection is
            twice as long.
        max_ejection_s: Maximum seconds of an ejection.
        max_ejected_part: Maximum share of the upstreams that are ejected at a
            time.
    """

    remote_domain_cost: float = 0.05
    affinity_bound: float = 1.25
    failures_to_eject: int = 3
    ejection_s: float = 1.0
    max_ejection_s: float = 30.0
    max_ejected_part: float = 0.34


class UpstreamPool:
    """A pool of upstreams, each of which can run any of the pool's requests.

    Args:
        rng: The random number generator.
        local_domain: The failure domain of this process.
        limits: Parameters of the choice of upstreams.

    Attributes:
        slots: Number of requests that all upstreams run concurrently.
    """

    def __init__(
        self,
        rng: random.Random,
        local_domain: FailureDomainId,
        limits: RoutingLimits | None = None,
    ) -> None:
        self.slots = 0
        self._rng = rng
        self._local_domain = local_domain
        self._limits = limits or RoutingLimits()
        self._states: dict[UpstreamId, UpstreamState] = {}
        self._usable: RandomSet[UpstreamState] = RandomSet()
        self._with_room: RandomSet[UpstreamState] = RandomSet()
        self._nearby: RandomSet[UpstreamState] = RandomSet()
        self._ejected: list[UpstreamState] = []
        self._ring: list[int] = []
        self._ring_states: list[UpstreamState] = []
        self._median_s = 0.0
        self._load = 0.0
        self._reported_remote_load = 0
        self._duration_s = _INITIAL_DURATION_S

    def __len__(self) -> int:
        return len(self._states)

    @property
    def utilization(self) -> float:
        """Requests at the upstreams per slot, infinite without a slot."""
        return self._load / self.slots if self.slots else float("inf")

    # Reports about the upstreams.

    def sync(self, reports: Iterable[UpstreamReport], now: float) -> None:
        """Replace the pool's upstreams and apply their reports."""
        by_id = {report.upstream.id: report for report in reports}
        changed = False
        for name in [name for name in self._states if name not in by_id]:
            self._remove(self._states.pop(name))
            changed = True
        for name, report in by_id.items():
            state = self._states.get(name)
            if state is not None and state.upstream != report.upstream:
                self._remove(state)
                state = None
            if state is None:
                state = self._states[name] = UpstreamState(report.upstream)
                changed = True
            state.fresh_until = report.fresh_until
            if report.load is not None:
                self._update_load(state, report.load, report.load_counted_at, now)
            self._update_sets(state, now)
        if changed:
            self.slots = sum(s.upstream.slots for s in self._states.values())
            self._build_ring()

    def find(self, upstream: UpstreamId) -> UpstreamState | None:
        """Return the state of an upstream, or None if not in the pool."""
        return self._states.get(upstream)

    def record_load(
        self, state: UpstreamState, load: int, counted_at: float, now: float
    ) -> None:
        """Record a report of an upstream's load.

        Args:
            state: The upstream.
            load: Requests of all processes at the upstream, running and
                waiting.
            counted_at: Time at which the upstream counted the requests.
            now: Current time in seconds.
        """
        if not state.removed:
            self._update_load(state, load, counted_at, now)
            self._update_sets(state, now)

    def mark_leaving(self, state: UpstreamState, now: float) -> None:
        """Send no more requests to an upstream until it is replaced."""
        state.leaving = True
        if not state.removed:
            self._update_sets(state, now)

    def list_leaving(self) -> list[UpstreamState]:
        """Return the upstreams of plain services that report leaving."""
        return [
            state
            for state in self._states.values()
            if state.leaving and state.upstream.group is None
        ]

    def mark_ended(self, state: UpstreamState, now: float) -> None:
        """Record that a leaving upstream has ended.

        From now on, what listens at its address is its replacement and may
        get requests.
        """
        state.leaving = False
        if not state.removed:
            self._update_sets(state, now)

    def update_slowness(self, now: float) -> None:
        """Compare the upstreams' latencies, about once a second."""
        measured = sorted(
            state.latency_s for state in self._states.values() if state.is_measured
        )
        self._median_s = measured[len(measured) // 2] if measured else 0.0
        for state in self._states.values():
            self._update_upstream_slowness(state, now)
            self._update_sets(state, now)

    def is_slow(self, latency_s: float) -> bool:
        """Whether a wait without an answer counts as an upstream's failure.

        A wait that ends by the caller's own short deadline must not count.
        Otherwise one customer, with deadlines that cannot be met, could cause
        upstreams to be ejected for all other customers.
        """
        return latency_s >= max(_MIN_SLOW_S, _MAX_SLOWNESS * self._median_s)

    def list_states(self) -> list[UpstreamState]:
        """Return the state of each upstream, for the state dump."""
        return list(self._states.values())

    # Choice of an upstream.

    def choose(
        self,
        now: float,
        affinity: int | None = None,
        tried: Collection[UpstreamId] = (),
        *,
        allow_probe: bool = True,
    ) -> UpstreamState | None:
        """Return the upstream for a request, or None if there is none.

        Args:
            now: Current time in seconds.
            affinity: Hash of the request's prefix, or None.
            tried: Upstreams to which the request has been sent already.
            allow_probe: Whether the request may probe an ejected upstream.
        """
        if self._ejected and allow_probe:
            probed = self._choose_probe(now, tried)
            if probed is not None:
                return probed
        if affinity is not None and self._ring:
            preferred = self._choose_by_prefix(affinity, now, tried)
            if preferred is not None:
                return preferred
        candidates = self._draw(self._with_room, _CANDIDATE_COUNT, now, tried)
        candidates += self._draw(self._nearby, 1, now, tried)
        if not candidates:
            # As far as is known, all upstreams are full. Their own queues
            # take the few excess requests that several entry processes send
            # at the same time.
            candidates = self._draw(self._usable, _CANDIDATE_COUNT + 1, now, tried)
        if not candidates:
            return None
        return min(candidates, key=self._cost)

    def begin(self, state: UpstreamState, now: float) -> None:
        """Count a request that is sent to an upstream."""
        state.add_local_load(1, now)
        if state.removed:
            return
        self._load += 1
        if state.load >= state.upstream.slots * _MAX_LOAD_PER_SLOT:
            self._update_sets(state, now)

    def end(
        self,
        state: UpstreamState,
        now: float,
        outcome: AttemptOutcome,
        latency_s: float | None = None,
        duration_s: float | None = None,
    ) -> None:
        """Record the end of a request's attempt.

        Args:
            state: The upstream of the attempt.
            now: Current time in seconds.
            outcome: The outcome of the attempt.
            latency_s: Seconds to the first byte of the answer.
            duration_s: Seconds since the attempt began, if it was answered.
        """
        if duration_s is not None:
            self._duration_s += _DURATION_WEIGHT * (duration_s - self._duration_s)
        state.add_local_load(-1, now)
        if state.removed:
            # Requests end after their upstream was removed from the pool.
            # Counting them would add the upstream to the sets from which
            # upstreams are drawn.
            return
        self._load -= 1
        if latency_s is not None:
            state.record_latency(latency_s, now)
        match outcome:
            case AttemptOutcome.ANSWERED:
                state.failures = state.ejections = 0
            case AttemptOutcome.FAILED:
                self._count_failure(state, now)
            case AttemptOutcome.REFUSED:
                # The upstream's reports do not show yet that it is full.
                full = state.upstream.slots * _MAX_LOAD_PER_SLOT - state.local_load
                self._set_remote_load(state, max(state.remote_load, full))
            case AttemptOutcome.ABANDONED:
                pass
        state.probing = False
        self._update_sets(state, now)

    def record_silence(self, state: UpstreamState, now: float) -> None:
        """Count the silence of an upstream whose attempt goes on as a failure.

        After several failures, the upstream gets no new requests until it
        has answered.
        """
        if not state.removed:
            self._count_failure(state, now)
            self._update_sets(state, now)

    # Internals.

    def _count_failure(self, state: UpstreamState, now: float) -> None:
        state.failures += 1
        if state.failures >= self._limits.failures_to_eject or state.probing:
            self._eject(state, now)

    def _draw(
        self,
        states: RandomSet[UpstreamState],
        count: int,
        now: float,
        tried: Collection[UpstreamId],
    ) -> list[UpstreamState]:
        candidates = []
        for _ in range(min(count, len(states))):
            state = states.draw(self._rng)
            if state.fresh_until < now:
                # The group's reports have stopped, so a VM of the group may
                # be missing. A group with a missing VM must get no request.
                self._remove_from_sets(state)
                if not states:
                    break
                state = states.draw(self._rng)
            if state.fresh_until >= now and state.upstream.id not in tried:
                candidates.append(state)
        if not candidates and tried:
            return [
                state
                for state in states
                if state.upstream.id not in tried and state.fresh_until >= now
            ]
        return candidates

    def _choose_by_prefix(
        self, affinity: int, now: float, tried: Collection[UpstreamId]
    ) -> UpstreamState | None:
        mean = (self._load + 1) / max(1, self.slots)
        bound = self._limits.affinity_bound * mean
        start = bisect_left(self._ring, affinity)
        for step in range(min(_MAX_RING_STEPS, len(self._ring))):
            state = self._ring_states[(start + step) % len(self._ring)]
            slots = state.upstream.slots
            # The bound prevents a popular prefix from overloading one
            # upstream while the other upstreams are idle.
            within_bound = state.load < max(1.0, bound * slots)
            if (
                within_bound
                and state in self._with_room
                and state.fresh_until >= now
                and state.slowness < _SLOW_RATIO
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
        if state.upstream.failure_domain != self._local_domain:
            cost += self._limits.remote_domain_cost
        return cost

    def _update_load(
        self, state: UpstreamState, load: int, counted_at: float, now: float
    ) -> None:
        if counted_at <= state.reported_at:
            return
        passed_s = min(counted_at - state.reported_at, _MAX_REPORT_INTERVAL_S)
        state.reported_at = counted_at
        reported = max(0, load - state.local_load_at(counted_at))
        self._reported_remote_load += reported - state.reported_remote_load
        state.reported_remote_load = reported
        # By the time a report arrives, the other processes' requests in it
        # have ended and new ones have been sent. If reports were used as they
        # are, every process would turn from the upstream that was full to the
        # one that was empty, and back again. Only a surplus that persists
        # over the durations of many requests counts: that of an upstream
        # which is slow, small, or nearer to the other processes.
        mean = self._reported_remote_load / len(self._states)
        duration_s = self._duration_s
        weight = passed_s / (passed_s + _SMOOTHED_DURATIONS * duration_s)
        weight *= duration_s / (duration_s + max(0.0, now - counted_at))
        state.remote_surplus += weight * (reported - mean - state.remote_surplus)
        self._set_remote_load(state, max(0.0, mean + state.remote_surplus))

    def _set_remote_load(self, state: UpstreamState, remote_load: float) -> None:
        self._load += remote_load - state.remote_load
        state.remote_load = remote_load

    def _update_upstream_slowness(self, state: UpstreamState, now: float) -> None:
        if not state.is_measured or not self._median_s:
            return
        ratio = state.latency_s / self._median_s
        # Small differences come from temporary queues, which the load shows.
        measured = min(_MAX_SLOWNESS, ratio) if ratio >= _SLOW_RATIO else 1.0
        if state.measured_at < now - 1.0:
            # A straggler that gets no requests is never measured. Its
            # slowness must fade, so that it gets requests again and can show
            # that it has recovered.
            measured = max(1.0, state.slowness * _SLOWNESS_DECAY)
        state.slowness = measured

    def _eject(self, state: UpstreamState, now: float) -> None:
        max_ejected = max(1, int(self._limits.max_ejected_part * len(self._states)))
        if state not in self._ejected:
            # If every failing upstream were ejected, a fault of the network
            # would leave no upstream, and the last upstreams before that
            # would get all requests.
            if len(self._ejected) >= max_ejected or len(self._states) == 1:
                return
            self._ejected.append(state)
        wait_s = self._limits.ejection_s * 2**state.ejections
        state.ejected_until = now + min(self._limits.max_ejection_s, wait_s)
        state.ejections += 1
        state.failures = 0

    def _update_sets(self, state: UpstreamState, now: float) -> None:
        if state in self._ejected and not state.ejections:
            self._ejected.remove(state)
        excluded = state.leaving or state in self._ejected or state.fresh_until < now
        self._usable.set_member(state, not excluded)
        has_room = (
            not excluded and state.load < state.upstream.slots * _MAX_LOAD_PER_SLOT
        )
        self._with_room.set_member(state, has_room)
        is_near = state.upstream.failure_domain == self._local_domain
        self._nearby.set_member(state, has_room and is_near)

    def _remove(self, state: UpstreamState) -> None:
        state.removed = True
        self._remove_from_sets(state)
        self._load -= state.load
        self._reported_remote_load -= state.reported_remote_load
        if state in self._ejected:
            self._ejected.remove(state)

    def _remove_from_sets(self, state: UpstreamState) -> None:
        for states in (self._usable, self._with_room, self._nearby):
            states.set_member(state, False)

    def _build_ring(self) -> None:
        points = [
            (_hash(f"{name}/{k}".encode()), name)
            for name in self._states
            for k in range(_POINTS_PER_UPSTREAM)
        ]
        points.sort()
        self._ring = [point for point, _ in points]
        self._ring_states = [self._states[name] for _, name in points]


def hash_prefix(salt: bytes, body: bytes) -> int | None:
    """Return the hash of a request's prefix, or None for a short body.

    Args:
        salt: The customer's salt. Without it, a customer could infer from its
            first-token times which prefixes another customer uses.
        body: The request's body. A short body has no prefix that is worth
            caching.
    """
    if len(body) < _PREFIX_BYTES:
        return None
    return _hash(salt + body[:_PREFIX_BYTES])


def _hash(data: bytes) -> int:
    return int.from_bytes(blake2b(data, digest_size=_HASH_BYTES).digest(), "big")
