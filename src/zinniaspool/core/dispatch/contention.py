"""Divides a model's capacity between competing requests.

While the targets of the subset have room, this module changes nothing. Once
they are nearly full, each class of urgency and each customer is admitted a
part of its requests: what the division of the capacity grants it, of what it
asks for. All processes of the subset compute the division from the same
digests.

Digests are about a second old. So the part also follows how full the targets
are now: it grows while they have room, and shrinks as they fill up, first for
the less urgent. What a class is admitted beyond its grant is lent, and the
loan ends within the time of one request, since no new ones are admitted.

Which requests of a customer are admitted depends on a hash of their content.
A caller that retries at once draws the same number as before, at any process,
and gains nothing.
"""

import math
from dataclasses import dataclass

from zinniaspool.core.dispatch.demand import (
    REST,
    DemandMeter,
    DemandSums,
    PeerDigests,
    abbreviate_customer,
    make_model_digest,
    sum_digests,
)
from zinniaspool.core.dispatch.pools import TargetPool
from zinniaspool.core.dispatch.returns import ReturnRates, ReturnSchedule
from zinniaspool.core.dispatch.shares import (
    ClassGrant,
    CustomerShare,
    divide_by_urgency,
)
from zinniaspool.core.dispatch.targets import TargetState
from zinniaspool.core.fleet import ModelDigest
from zinniaspool.core.ids import CustomerId

__all__ = ["NO_CONTENTION", "CapacityDivision", "Claim", "Standing"]

FULL_PART = 1.05
"""Part of the slots in use above which the targets count as full. A request
counts from when it is sent, and needs a slot about 93 ms later; with 0.95, a
quarter of the on-time answers in a burst of 1.7 times the usual traffic were
lost."""

RAMP_PART = 0.15
"""Part of the slots over which admission goes from all requests to those that
are granted, and from these to none."""

MAX_RESERVED_PART = 0.25
"""Largest part of the slots that is kept free for more urgent requests. Their
number varies by about its square root, which is more than that only where very
few slots are left."""

MAX_UNUSED_PART = FULL_PART - RAMP_PART - MAX_RESERVED_PART
"""Part of the slots in use up to which no class can be restricted."""

DIVISION_S = 0.25
"""Time for which a division is used while nothing else changes, in seconds."""

SMOOTHING_S = 0.3
"""Time over which the load of the targets is averaged, in seconds. If
admission followed each request, a caller that retries at once several times
would find a moment or a process at which there is room, and gain by it."""

USED = -1.0
"""Stands for the slots in use among the averaged values; the others are kept
by the objective of the requests that they protect."""

ACTIVE_S = 2.0
"""Time after the last division in which customers above their share are still
recognized, in seconds."""

FULLY_GRANTED_PART = 0.999
"""Part of a demand from which it counts as fully granted."""

OBJECTIVE_LIFETIME_S = 20.0
"""Time for which the objective of a class without new requests counts, in
seconds. One of sixty processes may get a request of a kind every four
seconds."""

PROMPT_WEIGHT = 0.1
"""Weight of one request in the usual prompt of its class."""

FULL_PRESSURE = 0.75
"""Predicted time to a first event, relative to what the more urgent requests
allow, above which the targets count as full for the less urgent. Some targets
are above the mean, and several processes send prompts there at once: with
0.85, 0.78 of the more urgent were on time beside four times the less urgent,
with 0.75 0.9."""

RETURN_PART = 0.15
"""Part of a grant that is set aside for callers that keep their retry time.
They are late in any case. With 0.5, the on-time answers in a burst of 2.2
times the usual traffic fell to 0.72 of what the slots allow, with 0.15 to
0.84."""

LESS_URGENT_RETURN_PART = 0.5
"""The same for a class below more urgent ones. Most of its requests are
refused in a burst; with 0.15, callers that kept their retry time were served
less often than those that retried at once."""

LISTED_CUSTOMERS = 12
"""Customers of this process that the division tells apart."""

IDLE_OUTSIDE_PART = 0.5
"""Part of the slots of a target out of the subset up to which it has room."""


@dataclass(frozen=True, slots=True)
class Claim:
    """What decides how much of the capacity a request may use.

    Attributes:
        customer: Its customer.
        urgency: 0 is the most urgent.
        draw: Its place among the requests of its customer, 0 to 1; the same
            when the request is sent again.
        objective_s: Time within which its first event is on time, in seconds.
        prompt: Prompt tokens.
        output_tokens: Expected tokens of the answer; 0 if unknown.
    """

    customer: CustomerId
    urgency: int
    draw: float
    objective_s: float
    prompt: int
    output_tokens: int


@dataclass(frozen=True, slots=True)
class UrgentKind:
    """The usual request of a class, for the sake of which others are limited.

    Attributes:
        objective_s: Time within which its first event is on time, in seconds.
        prompt: Its prompt tokens.
        seen_at: Time at which one has arrived last, in seconds.
    """

    objective_s: float
    prompt: float
    seen_at: float


@dataclass(frozen=True, slots=True)
class Standing:
    """The standing of a request in the division.

    Attributes:
        part: Part of such requests that is admitted now.
        is_admitted: Whether this one is among them.
        is_minimum: Whether it is part of the minimum of its class, which more
            urgent requests don't displace.
        protected: More urgent requests for which there must be room at its
            target, so that they can still be on time there; None if there are
            none.
        is_above_share: Whether its customer asks for more than its share while
            others of its class don't.
        share: Slots that its customer is granted in the subset.
        used: Slots that its customer uses there.
    """

    part: float = 1.0
    is_admitted: bool = True
    is_minimum: bool = False
    protected: UrgentKind | None = None
    is_above_share: bool = False
    share: float = math.inf
    used: float = 0.0

    @property
    def is_contended(self) -> bool:
        """Whether not all such requests are admitted."""
        return self.part < 1.0


NO_CONTENTION = Standing()


@dataclass(frozen=True, slots=True)
class _Capacity:
    """Capacity of the subset's targets.

    Attributes:
        slots: Slots of the processes that report, in total.
        used_part: Part of them in use.
        states: The targets.
    """

    slots: float
    used_part: float
    states: list[TargetState]


class CapacityDivision:
    """Divides one model's capacity, in one process.

    Args:
        pool: The model's targets.
        peers: Digests of the other processes.
        model: The model's number in digests.
        is_enabled: Whether the capacity is divided. If not, every request may
            use it.

    Attributes:
        pool: The model's targets.
        returns: The retry times of refused callers.
    """

    def __init__(
        self,
        pool: TargetPool,
        peers: PeerDigests | None = None,
        model: int = 0,
        *,
        is_enabled: bool = True,
    ) -> None:
        self.returns = ReturnSchedule()
        self._is_enabled = is_enabled
        self.pool = pool
        self._peers = peers or PeerDigests()
        self._model = model
        self._demand = DemandMeter()
        self._use = DemandMeter()
        self._kinds: dict[int, UrgentKind] = {}
        self._mean_slots = 1.0
        self._key: tuple[float, int] = (0.0, -1)
        self._divided_at = -math.inf
        self._slots = 0.0
        self._satisfied: dict[int, float] = {}
        self._smoothed: dict[float, tuple[float, float]] = {}
        self._grants: dict[int, ClassGrant] = {}
        self._sums: dict[int, DemandSums] = {}

    def record_demand(self, claim: Claim, now: float) -> None:
        """Count a request that has arrived."""
        if not self._is_enabled:
            return
        known = self._kinds.get(claim.urgency)
        prompt = float(claim.prompt)
        if known is not None:
            prompt = known.prompt + PROMPT_WEIGHT * (prompt - known.prompt)
        self._kinds[claim.urgency] = UrgentKind(claim.objective_s, prompt, now)
        self._add(self._demand, claim, now)

    def record_use(self, claim: Claim, now: float) -> None:
        """Count a request that was admitted."""
        if not self._is_enabled:
            return
        self._add(self._use, claim, now)

    def make_digest(self, max_customers: int, now: float) -> ModelDigest:
        """Return this process's digest of the model."""
        demand, use = self._demand.measure(now), self._use.measure(now)
        backlogs_s = self.returns.list_backlogs(now)
        return make_model_digest(self._model, demand, use, backlogs_s, max_customers)

    def estimate_cost(self, claim: Claim) -> float:
        """Return the engine time of a request, in seconds of one slot.

        Reading a prompt stops all requests of the engine, so it costs as much
        as that time of all slots.
        """
        forecast, slots = self.pool.forecast, self._mean_slots
        timing = forecast.timing
        if not claim.output_tokens or not timing.pass_s:
            return forecast.mean_request_s + slots * timing.read_s * claim.prompt
        passes = claim.output_tokens / timing.tokens_per_pass
        return passes * timing.predict_pass(slots, 0.0) + (
            slots * timing.read_s * claim.prompt
        )

    def assess(self, claim: Claim, now: float) -> Standing:
        """Return whether a request may use capacity now."""
        if not self._is_enabled:
            return NO_CONTENTION
        capacity = self._measure_capacity(now)
        if capacity.slots <= 0.0:
            return NO_CONTENTION
        used_part = self._smooth(USED, capacity.used_part, now)
        protected = self._find_protected(claim.urgency, now)
        room = self._measure_time_room(capacity, protected, now)
        is_full = used_part > MAX_UNUSED_PART or room < RAMP_PART
        if not is_full and now - self._divided_at > ACTIVE_S:
            return NO_CONTENTION
        if is_full or now - self._divided_at > DIVISION_S:
            self._refresh(capacity.slots, now)
        grant = self._grants.get(claim.urgency)
        key = self._find_key(claim)
        granted_part, minimum_part = self._find_parts(claim.urgency, key)
        reserved = more_urgent = self._sum_grants(claim.urgency)
        satisfied = self._satisfied.get(claim.urgency, 0.0)
        is_above_share = granted_part < 1.0 and satisfied > 0.0
        if is_above_share:
            # It must leave room for the customers that aren't above their
            # shares, as for more urgent requests.
            reserved += satisfied
            protected = self._find_protected(claim.urgency + 1, now)
            room = self._measure_time_room(capacity, protected, now)
        reserved_part = min(MAX_RESERVED_PART, math.sqrt(reserved) / capacity.slots)
        room = min(room, FULL_PART - used_part - reserved_part)
        if room >= RAMP_PART:
            return NO_CONTENTION
        part = min(1.0, max(minimum_part, granted_part + room / RAMP_PART))
        if part >= 1.0 and protected is None or self._has_room_outside(now):
            return NO_CONTENTION
        is_minimum = claim.draw < minimum_part and more_urgent > 0.0
        return Standing(
            part,
            claim.draw < part,
            is_minimum,
            None if is_minimum else protected,
            is_above_share,
            0.0 if grant is None else grant.customers.get(key, 0.0),
            self.get_use(claim),
        )

    def observe(self, now: float) -> None:
        """Follow how full the targets are, while they are nearly full."""
        if now - self._divided_at > ACTIVE_S:
            return
        capacity = self._measure_capacity(now)
        if capacity.slots <= 0.0:
            return
        self._smooth(USED, capacity.used_part, now)
        for urgency in list(self._kinds):
            protected = self._find_protected(urgency + 1, now)
            self._measure_time_room(capacity, protected, now)

    def spares(self, standing: Standing, state: TargetState, now: float) -> bool:
        """Return whether more urgent requests can be on time at a target."""
        protected = standing.protected
        return protected is None or self._measure_pressure(protected, state, now) <= 1.0

    def get_return_rates(self, claim: Claim, standing: Standing) -> ReturnRates:
        """Return this process's capacity for callers that come back."""
        for_class = self._slots - self._sum_grants(claim.urgency)
        grant = self._grants.get(claim.urgency)
        if grant is not None:
            for_class = max(for_class, grant.total)
        for_customer = standing.share if standing.is_above_share else for_class
        members = self.pool.peer_counts.count
        part = RETURN_PART
        if self._sum_grants(claim.urgency) > 0.0:
            part = LESS_URGENT_RETURN_PART
        part /= members
        sums = self._sums.get(claim.urgency)
        backlog_s = 0.0 if sums is None else sums.backlog_s
        return ReturnRates(
            for_class * part, for_customer * part, backlog_s / members, members
        )

    def get_use(self, claim: Claim) -> float:
        """Return the slots that a request's customer uses in the subset.

        It is 0 as long as the model's capacity has always been enough.
        """
        sums = self._sums.get(claim.urgency)
        return 0.0 if sums is None else sums.used.get(self._find_key(claim), 0.0)

    def describe(self, now: float) -> tuple[float, dict[int, float]]:
        """Return the subset's slots, and its demand by urgency."""
        digests = [*self._peers.list_fresh(self._model, now), self.make_digest(0, now)]
        return self._measure_capacity(now).slots, {
            urgency: sum(sums.demand.values())
            for urgency, sums in sum_digests(digests).items()
        }

    def _add(self, meter: DemandMeter, claim: Claim, now: float) -> None:
        customer = abbreviate_customer(claim.customer)
        meter.add(claim.urgency, customer, self.estimate_cost(claim), now)

    def _measure_capacity(self, now: float) -> _Capacity:
        states, count = self.pool.list_capacity_targets(now)
        if not states:
            return _Capacity(0.0, 0.0, states)
        all_slots = sum(state.target.slots for state in states)
        self._mean_slots = all_slots / len(states)
        members = self.pool.peer_counts.count
        slots = sum(state.subset_slots or state.target.slots for state in states)
        slots *= members / count
        used_part = sum(state.estimate_load(now) for state in states) / all_slots
        silent = min(self._peers.count_silent(now), members - 1)
        if not silent:
            return _Capacity(slots, used_part, states)
        # Silent processes may go on using their parts of the targets, where
        # this one can't see it. Their parts are left to them.
        slots *= (members - silent) / members
        used = sum(state.local_requests for state in states) + sum(
            sum(sums.used.values())
            for sums in sum_digests(self._peers.list_fresh(self._model, now)).values()
        )
        return _Capacity(slots, max(used_part, used / slots), states)

    def _refresh(self, slots: float, now: float) -> None:
        key = (slots, self._peers.version)
        if key == self._key and now - self._divided_at < DIVISION_S:
            return
        self._key, self._divided_at, self._slots = key, now, slots
        digests = self._peers.list_fresh(self._model, now)
        self._sums = sum_digests([*digests, self.make_digest(LISTED_CUSTOMERS, now)])
        self.returns.mark_reported(now)
        shares = {
            urgency: [
                CustomerShare(name, 0, max(1, sums.rest) if name == REST else 1)
                for name in sorted(sums.demand)
            ]
            for urgency, sums in self._sums.items()
        }
        demands = {urgency: sums.demand for urgency, sums in self._sums.items()}
        self._grants = divide_by_urgency(slots, shares, demands)
        self._satisfied = {
            urgency: sum(
                slots
                for name, slots in grant.customers.items()
                if slots >= FULLY_GRANTED_PART * demands[urgency][name]
            )
            for urgency, grant in self._grants.items()
        }

    def _find_key(self, claim: Claim) -> CustomerId:
        customer = abbreviate_customer(claim.customer)
        sums = self._sums.get(claim.urgency)
        return customer if sums is None or customer in sums.demand else REST

    def _find_parts(self, urgency: int, key: CustomerId) -> tuple[float, float]:
        """Return the granted and the minimum part of a customer's requests."""
        grant = self._grants.get(urgency)
        if grant is None or grant.demand <= 0.0:
            return 1.0, 0.0
        demands = self._sums[urgency].demand
        names = [key] if demands.get(key) else list(demands)
        # A customer without any demand so far is below its share.
        granted_part = max(
            grant.customers[name] / demands[name] for name in names if demands[name]
        )
        if granted_part >= FULLY_GRANTED_PART:
            granted_part = 1.0
        return granted_part, grant.minimum / grant.demand

    def _sum_grants(self, urgency: int) -> float:
        """Return the slots that are granted to more urgent classes."""
        return sum(
            grant.total for other, grant in self._grants.items() if other < urgency
        )

    def _find_protected(self, below: int, now: float) -> UrgentKind | None:
        """Return the requests of urgency below a value with least objective.

        A request with a later objective would be admitted to fuller targets,
        and take the capacity in which a more urgent one could be on time.
        """
        return min(
            (
                kind
                for urgency, kind in self._kinds.items()
                if urgency < below
                and now - kind.seen_at < OBJECTIVE_LIFETIME_S
                and kind.objective_s < math.inf
            ),
            key=lambda kind: kind.objective_s,
            default=None,
        )

    def _measure_time_room(
        self, capacity: _Capacity, protected: UrgentKind | None, now: float
    ) -> float:
        """Return how far the targets are from being too slow for the urgent.

        Long prompts delay all first events before they fill the slots.
        """
        if protected is None:
            return math.inf
        total = sum(
            self._measure_pressure(protected, state, now) for state in capacity.states
        )
        pressure = total / len(capacity.states)
        return FULL_PRESSURE - self._smooth(protected.objective_s, pressure, now)

    def _smooth(self, what: float, value: float, now: float) -> float:
        """Return the mean of a value over the last moments."""
        before, at = self._smoothed.get(what, (value, now))
        mean = value + (before - value) * math.exp((at - now) / SMOOTHING_S)
        self._smoothed[what] = (mean, now)
        return mean

    def _measure_pressure(
        self, protected: UrgentKind, state: TargetState, now: float
    ) -> float:
        predicted_s = self.pool.predict_first_event(state, int(protected.prompt), now)
        left_s = protected.objective_s - self.pool.forecast.spread_s
        return predicted_s / max(left_s, 0.01)

    def _has_room_outside(self, now: float) -> bool:
        """Return whether targets out of the subset have room for a request."""
        return any(
            state.estimate_load(now) + 1 <= IDLE_OUTSIDE_PART * state.target.slots
            for state in self.pool.list_eligible(now)
            if not state.in_subset
        )
