"""Decides which requests begin now, which wait and which are refused at once.

A model may get more requests than its groups can run: in a burst, after groups
have failed, or when the entry VMs come back after an outage and all requests
of that time arrive at once. Upstreams that accept every request then answer
all of them late. At 2.2 times the usual traffic, one answer in eight was on
time where the slots were enough for five in eight, and this lasted for seconds
after the burst.

So a request begins at once if it can still be on time. A request that will be
late in any case is worth a quarter of one on time and uses as much of a slot.
It gets the capacity that on-time requests leave over, after a wait in a short
queue, or is refused. The queue is ordered by urgency, then by what each
customer uses.

Where the targets are nearly full, each class of urgency and each customer is
admitted the part that the division of the capacity grants it (see the
contention module), and the others are refused at once.

Where all targets are avoided because they are silent, a request waits for the
next event as long as it can be on time.
"""

import math
import random
from collections import deque
from dataclasses import dataclass

from zinniaspool.core.dispatch.contention import (
    NO_CONTENTION,
    CapacityDivision,
    Claim,
    Standing,
)
from zinniaspool.core.dispatch.pools import TargetPool
from zinniaspool.core.dispatch.targets import TargetState
from zinniaspool.core.dispatch.tickets import Ticket, TicketState
from zinniaspool.core.ids import CustomerId

__all__ = ["AdmissionController", "AdmissionLimits", "AdmissionRequest", "Refusal"]

ALWAYS_ADMIT_PART = 0.5
"""Part of a target's slots up to which it accepts each request that is not
late yet, however long its prompt. No request waits there, and a wrong
prediction must not refuse a request for which there is room."""

MIN_RATE_WINDOW_S = 0.5
"""Shortest time over which a rate is measured, in seconds. A few requests that
arrive together at the start are no rate yet."""

RATE_RESET_S = 10.0
"""Time without a request after which the rate measurement starts anew, in
seconds."""

MIN_LEFTOVER_PER_S = 0.01
"""Requests a second below which no capacity counts as left over."""

FIRST_EVENT_RESERVE_S = 0.4
"""Time reserved from the end of a wait to the first event, in seconds, a
little more than is needed."""

RETURN_S = 6.0
"""Time after a refusal in which its caller may come back, in seconds."""

RATE_WINDOW_S = 3.0
"""Time over which begun requests are counted, in seconds. The capacity left
over shows only after several of them. If callers were refused during the
first, fullest second after a return of the entry VMs, they would be sent away
for good although the next second has room for them."""


@dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """Limits for requests that will be late.

    Attributes:
        reserved_part: Part of each target's slots that late requests leave
            free. The requests in progress vary by about their square root: at
            usual load, two free slots of thirteen keep nearly all of the next
            requests from waiting.
        max_wait_s: Longest wait in the queue. Callers leave a stream that has
            no event after two seconds, and the first event needs a part of
            that time.
        retry_after_s: Longest retry time of a refused caller, used where no
            capacity is left over: about as long as callers wait in any case.
    """

    reserved_part: float = 0.15
    max_wait_s: float = 1.2
    retry_after_s: float = 2.0


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """The properties of a request that decide when it may begin.

    Attributes:
        customer: The customer that sent it.
        urgency: 0 is the most urgent.
        on_time_until: Time until which its first event is on time, in seconds.
        leaves_at: Time at which its caller leaves without a first event, in
            seconds.
        prompt: Prompt tokens.
        output_tokens: Expected tokens of the answer; 0 if unknown.
        objective_s: Time within which the first event of a new request of this
            kind is on time, in seconds.
        draw: Its place among the requests of its customer, 0 to 1; the same
            when the request is sent again.
        deadline: Time until which its caller can come back, in seconds.
        waited_min_s: How long its caller has waited at least, in seconds.
        waited_max_s: How long its caller has waited at most, in seconds.
    """

    customer: CustomerId
    urgency: int
    on_time_until: float
    leaves_at: float
    prompt: int = 0
    output_tokens: int = 0
    objective_s: float = math.inf
    draw: float = 0.0
    deadline: float = math.inf
    waited_min_s: float = 0.0
    waited_max_s: float = 0.0

    @property
    def claim(self) -> Claim:
        """What decides how much of the capacity it may use."""
        return Claim(
            self.customer,
            self.urgency,
            self.draw,
            self.objective_s,
            self.prompt,
            self.output_tokens,
        )


@dataclass(frozen=True, slots=True)
class Refusal:
    """The answer to a request that is refused.

    Attributes:
        retry_after_s: Time after which the caller may come back, in seconds.
        first_event_s: Predicted time to a first event at the best target, in
            seconds; None if there is no target.
        queue_length: Late requests that wait in this process.
        leftover_per_s: Late requests that this process may begin a second.
        standing: The request's standing in the division of the capacity.
    """

    retry_after_s: float
    first_event_s: float | None
    queue_length: int
    leftover_per_s: float
    standing: Standing = NO_CONTENTION


@dataclass(frozen=True, slots=True)
class _QueuedRequest:
    """A late request that waits, and the time until which it may wait."""

    ticket: Ticket
    wait_until: float
    request: AdmissionRequest
    kept_retry_time: bool = False

    @property
    def has_left(self) -> bool:
        """Whether its caller has left."""
        return self.ticket.state is not TicketState.WAITING


class AdmissionController:
    """Admits the requests for one model in one entry process.

    Args:
        pool: The model's targets.
        random_source: Spreads the retry times of refused callers.
        limits: Limits for requests that will be late.
        division: Divides the capacity where it isn't enough.
    """

    def __init__(
        self,
        pool: TargetPool,
        random_source: random.Random,
        limits: AdmissionLimits | None = None,
        division: CapacityDivision | None = None,
    ) -> None:
        self.division = division or CapacityDivision(pool)
        self._pool = pool
        self._random_source = random_source
        self._limits = limits or AdmissionLimits()
        self._arrivals: deque[float] = deque()
        self._demand_since = float("-inf")
        self._on_time_begun: deque[float] = deque()
        self._queue: list[_QueuedRequest] = []
        self._allowance = 0.0
        self._refused_at = float("-inf")

    def submit(self, request: AdmissionRequest, now: float) -> Ticket | Refusal:
        """Admit a request, queue it, or refuse it at once."""
        ticket = Ticket(request.customer, request.urgency, TicketState.WAITING, now)
        if request.on_time_until > now:
            self._record_arrival(now)
        claim = request.claim
        standing = self.division.assess(claim, now)
        self.division.record_demand(claim, now)
        kept_retry_time = self._kept_retry_time(request, standing, now)
        decision: Ticket | Refusal | None = None
        if kept_retry_time and self._has_slot(standing, now):
            ticket.late = request.on_time_until <= now
            decision = _admit(ticket, now)
        elif not standing.is_admitted and not kept_retry_time:
            return self.refuse(request, now, standing)
        elif self._can_be_on_time(request, standing, now):
            self._on_time_begun.append(now)
            _drop_before(self._on_time_begun, now - RATE_WINDOW_S)
            decision = _admit(ticket, now)
        elif standing.is_minimum and self._has_slot(standing, now):
            ticket.late = True
            decision = _admit(ticket, now)
        elif awaited := self._pool.list_awaited(now):
            decision = self._queue_until_event(ticket, request, awaited, now)
        else:
            decision = self._submit_late(ticket, request, kept_retry_time, now)
        if decision is None:
            return self.refuse(request, now, standing)
        if decision.state is TicketState.ADMITTED:
            self.division.record_use(claim, now)
        return decision

    def estimate_demand(self, now: float) -> float:
        """Return the number of slots that all requests made here would use.

        A refused request counts like an admitted one, with the mean time that
        a request spends at its engine. A request that comes again counts once.
        """
        _drop_before(self._arrivals, now - RATE_WINDOW_S)
        seen_s = min(RATE_WINDOW_S, max(MIN_RATE_WINDOW_S, now - self._demand_since))
        return len(self._arrivals) / seen_s * self._pool.forecast.mean_request_s

    def admit_waiting(self, now: float) -> list[Ticket]:
        """Admit requests from the queue as far as there is room now.

        Returns:
            The requests that no longer wait: those admitted, and those that
            are ended because no target opens within their longest wait.
        """
        self.division.observe(now)
        room = self._count_local_room(now)
        self._allowance = room + self._allowance % 1.0
        if not self._queue:
            return []
        self._queue = [queued for queued in self._queue if not queued.has_left]
        done = []
        while self._queue and self._allowance >= 1.0:
            queued = min(self._queue, key=self._rank)
            self._queue.remove(queued)
            self._allowance -= 1.0
            self.division.record_use(queued.request.claim, now)
            done.append(_admit(queued.ticket, now))
        returned = [queued for queued in self._queue if queued.kept_retry_time]
        if returned:
            # One at a time: its target counts it only once it has been sent.
            queued = min(returned, key=self._rank)
            claim = queued.request.claim
            if self._has_slot(self.division.assess(claim, now), now):
                self._queue.remove(queued)
                self.division.record_use(claim, now)
                done.append(_admit(queued.ticket, now))
        next_start = self._find_next_start(now)
        for queued in list(self._queue):
            if queued.wait_until <= next_start:
                self._queue.remove(queued)
                queued.ticket.state = TicketState.ENDED
                done.append(queued.ticket)
        return done

    def _rank(self, queued: _QueuedRequest) -> tuple[int, float, bool, float]:
        """Return the key by which waiting requests are ordered.

        The most urgent come first, then those of the customer that uses least,
        of these callers that kept their retry time, then by arrival.
        """
        ticket = queued.ticket
        used = self.division.get_use(queued.request.claim)
        return ticket.urgency, used, not queued.kept_retry_time, ticket.wait_until

    def _find_next_start(self, now: float) -> float:
        """Return when a waiting request may begin at the earliest, in seconds.

        A group may form at any moment where the pool has no target at all.
        """
        if self._pool.is_evacuated:
            return math.inf
        opening = self._pool.find_opening()
        return max(now, opening) if opening < math.inf else now

    def expects_only_new_callers(self, now: float) -> bool:
        """Return whether no refused caller can come back now."""
        return now - self._refused_at > RETURN_S

    def refuse(
        self, request: AdmissionRequest, now: float, standing: Standing | None = None
    ) -> Refusal:
        """Return the answer to a request that can't be admitted.

        Args:
            request: The request.
            now: Seconds.
            standing: Its standing in the division of the capacity; None to
                find out.
        """
        self._refused_at = now
        if standing is None:
            standing = self.division.assess(request.claim, now)
        leftover_per_s = self._measure_leftover(now)
        if standing.is_contended:
            wait_s = self._book_return(request, standing, now)
        else:
            wait_s = min(
                self._limits.retry_after_s,
                self._predict_wait(leftover_per_s, len(self._queue), now),
            )
            # Callers with the same retry time would all come back at once.
            wait_s *= self._random_source.uniform(0.75, 1.25)
        wait_s = max(wait_s, self._pool.draw_retry_after(now) or 0.0)
        usable = self._pool.list_usable(now)
        first_event_s = min(
            (
                self._pool.predict_first_event(state, request.prompt, now)
                for state in usable
            ),
            default=None,
        )
        return Refusal(
            round(wait_s, 2), first_event_s, len(self._queue), leftover_per_s, standing
        )

    def _book_return(
        self, request: AdmissionRequest, standing: Standing, now: float
    ) -> float:
        claim = request.claim
        return self.division.returns.book(
            request.urgency,
            request.customer,
            self.division.estimate_cost(claim),
            request.draw,
            self.division.get_return_rates(claim, standing),
            request.deadline,
            now,
        )

    def _record_arrival(self, now: float) -> None:
        last = self._arrivals[-1] if self._arrivals else self._demand_since
        if now - last > RATE_RESET_S:
            self._demand_since = now
        self._arrivals.append(now)

    def _can_be_on_time(
        self, request: AdmissionRequest, standing: Standing, now: float
    ) -> bool:
        left_s = request.on_time_until - now
        if left_s <= 0:
            return False
        left_s -= self._pool.forecast.spread_s
        return any(
            self._admits(state, request, left_s, now)
            for state in self._pool.list_eligible(now)
            if self.division.spares(standing, state, now)
        )

    def _admits(
        self, state: TargetState, request: AdmissionRequest, left_s: float, now: float
    ) -> bool:
        if state.estimate_load(now) + 1 <= state.target.slots * ALWAYS_ADMIT_PART:
            return True
        if not self._pool.has_slot(state, now):
            return False
        return self._pool.predict_first_event(state, request.prompt, now) <= left_s

    def _kept_retry_time(
        self, request: AdmissionRequest, standing: Standing, now: float
    ) -> bool:
        returns, claim = self.division.returns, request.claim
        if request.waited_min_s <= 0.0 or not (
            standing.is_contended or returns.has_refused(request.urgency, now)
        ):
            return False
        return returns.accept(
            request.urgency,
            request.customer,
            self.division.estimate_cost(claim),
            request.draw,
            request.waited_min_s,
            request.waited_max_s,
            now,
            has_subsets=any(state.subset_part < 1.0 for state in self._pool),
        )

    def _has_slot(self, standing: Standing, now: float) -> bool:
        return any(
            self._pool.has_slot(state, now)
            and self.division.spares(standing, state, now)
            for state in self._pool.list_eligible(now)
        )

    def _queue_until_event(
        self,
        ticket: Ticket,
        request: AdmissionRequest,
        awaited: list[TargetState],
        now: float,
    ) -> Ticket | None:
        """Queue a request while no target can be used before its next event.

        A delay of this process or of the network ends within a fraction of a
        second, and a refused caller would come back much later.

        Returns:
            None if the request would be late, or if more of them wait than
            may run there.
        """
        first_event_s = min(
            self._pool.predict_first_event(state, request.prompt, now)
            for state in awaited
        )
        wait_until = request.on_time_until - first_event_s
        wait_until -= self._pool.forecast.spread_s
        slots = sum(state.effective_slots for state in awaited)
        room = slots * (1 - self._limits.reserved_part) / self._pool.peer_counts.count
        if wait_until <= now or len(self._queue) >= room:
            return None
        self._queue.append(_QueuedRequest(ticket, wait_until, request))
        return ticket

    # Requests that will be late.

    def _submit_late(
        self,
        ticket: Ticket,
        request: AdmissionRequest,
        kept_retry_time: bool,
        now: float,
    ) -> Ticket | None:
        """Admit or queue a late request; return None if there is no room."""
        ticket.late = True
        if not self._queue and self._allowance >= 1.0:
            self._allowance -= 1.0
            return _admit(ticket, now)
        wait_until = min(
            now + self._limits.max_wait_s, request.leaves_at - FIRST_EVENT_RESERVE_S
        )
        queued = _QueuedRequest(ticket, wait_until, request, kept_retry_time)
        rank = self._rank(queued)
        ahead = sum(self._rank(other) <= rank for other in self._queue)
        leftover_per_s = self._measure_leftover(now)
        wait_s = self._predict_wait(leftover_per_s, ahead, now)
        if now + wait_s > wait_until and not kept_retry_time:
            return None
        self._queue.append(queued)
        return ticket

    def _count_local_room(self, now: float) -> float:
        """Return how many late requests this process may begin now."""
        states, count = self._pool.list_capacity_targets(now)
        return sum(self._count_room_at(state, now) for state in states) / count

    def _count_room_at(self, state: TargetState, now: float) -> float:
        slots = state.effective_slots
        return max(
            0.0, slots * (1 - self._limits.reserved_part) - state.estimate_load(now)
        )

    def _measure_leftover(self, now: float) -> float:
        """Return how many late requests this process may begin a second."""
        _drop_before(self._on_time_begun, now - RATE_WINDOW_S)
        states, count = self._pool.list_capacity_targets(now)
        slots = sum(state.subset_slots or state.effective_slots for state in states)
        possible_per_s = (
            slots
            * (1 - self._limits.reserved_part)
            / self._pool.forecast.mean_request_s
        )
        return max(
            0.0, possible_per_s / count - len(self._on_time_begun) / RATE_WINDOW_S
        )

    def _predict_wait(self, leftover_per_s: float, ahead: int, now: float) -> float:
        """Return how long a request is queued behind others, in seconds."""
        room = self._count_local_room(now)
        return max(0.0, ahead + 1 - room) / max(leftover_per_s, MIN_LEFTOVER_PER_S)


def _admit(ticket: Ticket, now: float) -> Ticket:
    ticket.state, ticket.admitted_at = TicketState.ADMITTED, now
    return ticket


def _drop_before(times: deque[float], oldest: float) -> None:
    while times and times[0] < oldest:
        times.popleft()
