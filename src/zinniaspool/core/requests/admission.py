"""Admission: which requests begin, which wait, and which are refused.

Each entry process limits the requests that each customer has in progress at
a service. A request above its customer's limit waits for a short time, or is
refused at once if it would wait too long or miss its deadline.
"""

import heapq
from collections.abc import Mapping
from dataclasses import dataclass, field
from itertools import count
from math import ceil, floor

from zinniaspool.core.dispatch.shares import LocalShares
from zinniaspool.core.dispatch.tickets import Ticket, TicketState
from zinniaspool.core.errors import ErrorKind, Fault
from zinniaspool.core.ids import CustomerId

__all__ = ["Admission", "AdmissionLimits", "CustomerQueueState"]

_MEAN_WEIGHT = 0.05
"""Weight of the newest request in the mean duration, which therefore depends
on about the last twenty requests."""
_INITIAL_MEAN_S = 1.0
"""Mean duration in seconds that is assumed before the first measurement."""
_MIN_DURATION_GROWTH = 1.01
"""Factor by which the minimum duration grows with each request, so that an
old low value fades within about seventy requests."""
_TRIAL_INTERVAL = 8
"""Of the requests whose deadline seems too short, one in this many is
admitted all the same, so that the estimate can recover."""
_BEYOND_GUARANTEE_RANK = 1e9
"""Rank added to customers beyond their guarantee. It places them behind all
customers within their guarantee."""


@dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """Limits on the requests that wait in this process.

    Attributes:
        max_wait_s: Maximum seconds that a request waits.
        max_wait_part: Maximum wait as a share of the time until the
            deadline, so that after a refusal the caller has time to try
            another entry VM.
        max_waiting: Maximum number of waiting requests of one customer.
        max_retry_after_s: Maximum Retry-After of a refusal in seconds.
    """

    max_wait_s: float = 2.0
    max_wait_part: float = 0.25
    max_waiting: int = 256
    max_retry_after_s: int = 30


@dataclass(frozen=True, slots=True)
class CustomerQueueState:
    """One customer's requests in this process, for the state dump.

    Attributes:
        in_progress: Number of requests that have begun.
        waiting: Number of requests that wait.
        limit: Requests that may be in progress, without lent capacity.
        guaranteed: The part of the limit that is guaranteed to the customer.
        mean_s: Mean duration of answered requests in seconds.
        least_s: Minimum duration of the recent requests in seconds.
    """

    in_progress: int
    waiting: int
    limit: float
    guaranteed: float
    mean_s: float
    least_s: float


@dataclass(slots=True)
class _CustomerQueue:
    """One customer's requests in this process.

    Attributes:
        in_progress: Number of requests that have begun.
        waiting: Number of requests that wait.
        limit: Requests that may be in progress, without lent capacity.
        weight: The customer's weight in the order of admission.
        guaranteed: The part of the limit that is guaranteed to the customer.
        mean_s: Mean duration of answered requests in seconds.
        least_s: Minimum duration of the recent requests in seconds.
        too_short_count: Requests so far whose deadline seemed too short.
        tickets: Heap of waiting requests: urgency, sequence number, ticket.
    """

    in_progress: int = 0
    waiting: int = 0
    limit: float = 0.0
    weight: int = 1
    guaranteed: float = 0.0
    mean_s: float = 0.0
    least_s: float = 0.0
    too_short_count: int = 0
    tickets: list[tuple[int, int, Ticket]] = field(default_factory=list)

    @property
    def excess(self) -> float:
        """Requests in progress above the limit, on lent capacity."""
        return max(0.0, self.in_progress - self.limit)

    def record_duration(self, duration_s: float) -> None:
        """Update the durations with that of an answered request."""
        if not self.mean_s:
            self.mean_s = self.least_s = duration_s
        self.mean_s += _MEAN_WEIGHT * (duration_s - self.mean_s)
        self.least_s = min(duration_s, self.least_s * _MIN_DURATION_GROWTH)

    def is_too_short(self, left_s: float) -> bool:
        """Whether no recent request was answered in as short a time.

        One in ``_TRIAL_INTERVAL`` such requests counts as long enough all
        the same. Otherwise, short requests that follow many long ones would
        be refused for ever, since none of them would be measured.
        """
        if left_s >= self.least_s:
            return False
        self.too_short_count += 1
        return self.too_short_count % _TRIAL_INTERVAL != 0

    def estimate_wait(self, ahead: int) -> float:
        """Return the seconds until the requests ahead will have begun."""
        return ahead * (self.mean_s or _INITIAL_MEAN_S) / max(1, self.in_progress)


class Admission:
    """Admits the requests for one service in one entry process.

    A refusal depends only on the customer's own requests: its queue, its
    durations and its limit. Retry-After is computed from nothing else, so
    that no refusal reveals how much of the fleet another customer uses.

    Args:
        limits: Limits on waiting requests.
    """

    def __init__(self, limits: AdmissionLimits | None = None) -> None:
        self.in_progress = 0
        self._limits = limits or AdmissionLimits()
        self._queues: dict[CustomerId, _CustomerQueue] = {}
        self._sequence = count()
        self._spare = 0.0
        self._excess = 0.0
        self._waiting_customers: set[CustomerId] = set()

    def set_shares(
        self, shares: LocalShares, weights: Mapping[CustomerId, int], now: float
    ) -> list[Ticket]:
        """Set the customers' limits; return the waiting requests admitted."""
        # Limits are whole numbers of requests. What rounding down takes from
        # each customer is lent to all customers; otherwise it would be idle
        # in every process.
        self._spare = shares.spare
        for customer, limit in shares.limits.items():
            queue = self._get_queue(customer)
            queue.limit = floor(limit)
            self._spare += limit - queue.limit
            queue.guaranteed = shares.guaranteed.get(customer, 0.0)
            queue.weight = weights.get(customer, 1)
        self._excess = sum(queue.excess for queue in self._queues.values())
        return self._admit_waiting(now)

    def list_demands(self) -> dict[CustomerId, float]:
        """Return each customer's requests in progress and waiting."""
        return {
            customer: float(queue.in_progress + queue.waiting)
            for customer, queue in self._queues.items()
            if queue.in_progress or queue.waiting
        }

    def describe(self) -> dict[CustomerId, CustomerQueueState]:
        """Return the state of each customer's requests."""
        return {
            customer: CustomerQueueState(
                queue.in_progress,
                queue.waiting,
                queue.limit,
                queue.guaranteed,
                round(queue.mean_s, 3),
                round(queue.least_s, 3),
            )
            for customer, queue in self._queues.items()
        }

    def submit(
        self, customer: CustomerId, urgency: int, deadline: float, now: float
    ) -> Ticket | Fault:
        """Admit a request, queue it, or refuse it at once."""
        queue = self._get_queue(customer)
        left_s = deadline - now
        if queue.is_too_short(left_s):
            return Fault(ErrorKind.DEADLINE_TOO_SHORT, retry_after=1)
        max_wait_s = min(self._limits.max_wait_s, self._limits.max_wait_part * left_s)
        ticket = Ticket(customer, urgency, TicketState.WAITING, now + max_wait_s)
        if not queue.tickets and self._has_room(queue):
            self._begin(queue, ticket, now)
            return ticket
        wait_s = self._estimate_wait(queue, urgency)
        if queue.waiting >= self._limits.max_waiting or wait_s > max_wait_s:
            return self._refuse(queue)
        if wait_s + queue.least_s > left_s:
            return Fault(ErrorKind.DEADLINE_TOO_SHORT, retry_after=1)
        heapq.heappush(queue.tickets, (urgency, next(self._sequence), ticket))
        queue.waiting += 1
        self._waiting_customers.add(customer)
        return ticket

    def remove_waiting(self, ticket: Ticket) -> Fault:
        """Remove a waiting request and return the fault for its caller."""
        queue = self._queues[ticket.customer]
        queue.waiting -= 1
        ticket.state = TicketState.ENDED
        return self._refuse(queue)

    def end(self, ticket: Ticket, now: float, *, answered: bool) -> list[Ticket]:
        """Release an ended request; return the requests admitted instead.

        Args:
            ticket: The request's ticket.
            now: Current time in seconds.
            answered: Whether the request ended with an answer, so that its
                duration is representative.
        """
        queue = self._queues[ticket.customer]
        ticket.state = TicketState.ENDED
        before = queue.excess
        queue.in_progress -= 1
        self.in_progress -= 1
        self._excess += queue.excess - before
        if answered:
            queue.record_duration(now - ticket.admitted_at)
        return self._admit_waiting(now) if self._waiting_customers else []

    def _get_queue(self, customer: CustomerId) -> _CustomerQueue:
        queue = self._queues.get(customer)
        if queue is None:
            queue = self._queues[customer] = _CustomerQueue()
        return queue

    def _has_room(self, queue: _CustomerQueue) -> bool:
        return queue.in_progress + 1 <= queue.limit or self._excess + 1 <= self._spare

    def _begin(self, queue: _CustomerQueue, ticket: Ticket, now: float) -> None:
        before = queue.excess
        queue.in_progress += 1
        self.in_progress += 1
        self._excess += queue.excess - before
        ticket.state = TicketState.ADMITTED
        ticket.admitted_at = now

    def _admit_waiting(self, now: float) -> list[Ticket]:
        admitted = []
        while self._waiting_customers:
            queue = self._choose_queue()
            if queue is None:
                break
            ticket = heapq.heappop(queue.tickets)[2]
            if ticket.state is not TicketState.WAITING:
                continue
            queue.waiting -= 1
            self._begin(queue, ticket, now)
            admitted.append(ticket)
        return admitted

    def _choose_queue(self) -> _CustomerQueue | None:
        """Return the queue whose first request may begin.

        Customers within their guarantee come first, then the customers with
        the fewest requests in progress for their weight.
        """
        chosen, min_rank = None, 0.0
        for customer in list(self._waiting_customers):
            queue = self._queues[customer]
            if not queue.tickets:
                self._waiting_customers.discard(customer)
                continue
            if not self._has_room(queue):
                continue
            within_guarantee = queue.in_progress < queue.guaranteed
            rank = queue.in_progress / queue.weight + (
                0.0 if within_guarantee else _BEYOND_GUARANTEE_RANK
            )
            if chosen is None or rank < min_rank:
                chosen, min_rank = queue, rank
        return chosen

    def _estimate_wait(self, queue: _CustomerQueue, urgency: int) -> float:
        ahead = sum(1 for queued in queue.tickets if queued[0] <= urgency)
        return queue.estimate_wait(ahead)

    def _refuse(self, queue: _CustomerQueue) -> Fault:
        wait_s = queue.estimate_wait(queue.waiting + 1)
        retry_after = min(self._limits.max_retry_after_s, max(1, ceil(wait_s)))
        within_guarantee = queue.in_progress < queue.guaranteed
        kind = ErrorKind.OVERLOADED if within_guarantee else ErrorKind.LIMIT_REACHED
        return Fault(kind, retry_after=retry_after)
