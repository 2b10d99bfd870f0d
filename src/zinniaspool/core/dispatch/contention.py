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
from zinniaspool.core.dispatch.returns import ReturnRates
from zinniaspool.core.dispatch.shares import (
    ClassGrant,
    CustomerShare,
    divide_by_urgency,
)
from zinniaspool.core.fleet import ModelDigest
from zinniaspool.core.ids import CustomerId

__all__ = ["NO_CONTENTION", "CapacityDivision", "Claim", "Standing"]

FULL_PART = 1.05
"""Part of the slots in use above which the targets count as full. A request
counts from when it is sent, and needs a slot about 93 ms later; with 0.95, a
tenth of the slots stayed unused in a burst of 1.7 times the usual traffic."""

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

OBJECTIVE_LIFETIME_S = 10.0
"""Time for which the objective of a class without new requests counts, in
seconds."""

RETURN_PART = 0.15
"""Part of a grant that is set aside for callers that come back as told. They
are late in any case. In a long burst, as many callers would come back as there
is capacity, so that no new one could be on time."""

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
class Standing:
    """What the division says about a request.

    Attributes:
        part: Part of such requests that is admitted now.
        is_admitted: Whether this one is among them.
        first_event_within_s: Time within which its first event must be
            predicted at a target, in seconds, so that more urgent requests
            can still be on time there.
        share: Slots that its customer is granted in the subset.
        used: Slots that its customer uses there.
    """

    part: float = 1.0
    is_admitted: bool = True
    first_event_within_s: float = math.inf
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
    """

    slots: float
    used_part: float


class CapacityDivision:
    """Divides one model's capacity, in one process.

    Args:
        pool: The model's targets.
        peers: Digests of the other processes.
        model: The model's number in digests.
    """

    def __init__(
        self, pool: TargetPool, peers: PeerDigests | None = None, model: int = 0
    ) -> None:
        self._pool = pool
        self._peers = peers or PeerDigests()
        self._model = model
        self._demand = DemandMeter()
        self._use = DemandMeter()
        self._objectives: dict[int, tuple[float, float]] = {}
        self._mean_slots = 1.0
        self._key: tuple[float, int] = (0.0, -1)
        self._divided_at = -math.inf
        self._slots = 0.0
        self._grants: dict[int, ClassGrant] = {}
        self._sums: dict[int, DemandSums] = {}

    def record_demand(self, claim: Claim, now: float) -> None:
        """Count a request that has arrived."""
        self._objectives[claim.urgency] = (claim.objective_s, now)
        self._add(self._demand, claim, now)

    def record_use(self, claim: Claim, now: float) -> None:
        """Count a request that was admitted."""
        self._add(self._use, claim, now)

    def make_digest(self, max_customers: int, now: float) -> ModelDigest:
        """Return this process's digest of the model."""
        demand, use = self._demand.measure(now), self._use.measure(now)
        return make_model_digest(self._model, demand, use, max_customers)

    def estimate_cost(self, claim: Claim) -> float:
        """Return the engine time of a request, in seconds of one slot.

        Reading a prompt stops all requests of the engine, so it costs as much
        as that time of all slots.
        """
        forecast, slots = self._pool.forecast, self._mean_slots
        timing = forecast.timing
        if not claim.output_tokens or not timing.pass_s:
            return forecast.mean_request_s + slots * timing.read_s * claim.prompt
        passes = claim.output_tokens / timing.tokens_per_pass
        return passes * timing.predict_pass(slots, 0.0) + (
            slots * timing.read_s * claim.prompt
        )

    def assess(self, claim: Claim, now: float) -> Standing:
        """Return whether a request may use capacity now."""
        capacity = self._measure_capacity(now)
        if capacity.slots <= 0.0 or capacity.used_part <= MAX_UNUSED_PART:
            return NO_CONTENTION
        self._refresh(capacity.slots, now)
        room = FULL_PART - capacity.used_part - self._find_reserve(claim, capacity)
        if room >= RAMP_PART:
            return NO_CONTENTION
        grant = self._grants.get(claim.urgency)
        key = self._find_key(claim)
        granted_part, minimum_part = self._find_parts(claim.urgency, key)
        part = min(1.0, max(minimum_part, granted_part + room / RAMP_PART))
        if part >= 1.0 or self._has_room_outside(now):
            return NO_CONTENTION
        return Standing(
            part,
            claim.draw < part,
            self._find_limit(claim, now),
            0.0 if grant is None else grant.customers.get(key, 0.0),
            self.get_use(claim),
        )

    def get_return_rates(self, claim: Claim, standing: Standing) -> ReturnRates:
        """Return this process's capacity for callers that come back."""
        for_class = self._slots - sum(
            grant.total
            for urgency, grant in self._grants.items()
            if urgency < claim.urgency
        )
        grant = self._grants.get(claim.urgency)
        for_customer = for_class
        if grant is not None:
            for_class = max(for_class, grant.total)
            if grant.total < grant.demand:
                for_customer = standing.share
        part = RETURN_PART / self._pool.peer_counts.count
        return ReturnRates(for_class * part, for_customer * part)

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
        states, count = self._pool.list_capacity_targets(now)
        if not states:
            return _Capacity(0.0, 0.0)
        all_slots = sum(state.target.slots for state in states)
        self._mean_slots = all_slots / len(states)
        members = self._pool.peer_counts.count
        slots = sum(state.subset_slots or state.target.slots for state in states)
        slots *= members / count
        used_part = sum(state.estimate_load(now) for state in states) / all_slots
        silent = min(self._peers.count_silent(now), members - 1)
        if not silent:
            return _Capacity(slots, used_part)
        # Silent processes may go on using their parts of the targets, where
        # this one can't see it. Their parts are left to them.
        slots *= (members - silent) / members
        used = sum(state.local_requests for state in states) + sum(
            sum(sums.used.values())
            for sums in sum_digests(self._peers.list_fresh(self._model, now)).values()
        )
        return _Capacity(slots, max(used_part, used / slots))

    def _refresh(self, slots: float, now: float) -> None:
        key = (slots, self._peers.version)
        if key == self._key and now - self._divided_at < DIVISION_S:
            return
        self._key, self._divided_at, self._slots = key, now, slots
        digests = self._peers.list_fresh(self._model, now)
        self._sums = sum_digests([*digests, self.make_digest(LISTED_CUSTOMERS, now)])
        shares = {
            urgency: [
                CustomerShare(name, 0, max(1, sums.rest) if name == REST else 1)
                for name in sorted(sums.demand)
            ]
            for urgency, sums in self._sums.items()
        }
        demands = {urgency: sums.demand for urgency, sums in self._sums.items()}
        self._grants = divide_by_urgency(slots, shares, demands)

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
        return granted_part, grant.minimum / grant.demand

    def _find_reserve(self, claim: Claim, capacity: _Capacity) -> float:
        """Return the part of the slots that is kept for the more urgent."""
        running = sum(
            grant.total
            for urgency, grant in self._grants.items()
            if urgency < claim.urgency
        )
        return min(MAX_RESERVED_PART, math.sqrt(running) / capacity.slots)

    def _find_limit(self, claim: Claim, now: float) -> float:
        """Return when a first event must come, for the more urgent ones' sake.

        A request with a later objective would be admitted to fuller targets,
        and take the capacity in which a more urgent one could be on time.
        """
        objective_s = min(
            (
                objective_s
                for urgency, (objective_s, seen_at) in self._objectives.items()
                if urgency < claim.urgency and now - seen_at < OBJECTIVE_LIFETIME_S
            ),
            default=math.inf,
        )
        # The next urgent request waits for this one's prompt.
        return objective_s - self._pool.forecast.timing.read_s * claim.prompt

    def _has_room_outside(self, now: float) -> bool:
        """Tell whether targets out of the subset have room for a request."""
        return any(
            state.estimate_load(now) + 1 <= IDLE_OUTSIDE_PART * state.target.slots
            for state in self._pool.list_eligible(now)
            if not state.in_subset
        )
