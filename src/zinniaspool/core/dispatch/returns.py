"""Tells refused callers when to come back, and knows those that do.

A part of the capacity that a class of urgency and each of its customers get is
set aside for callers that come back. Each refusal books some of it, so that
the retry times of a burst follow one another instead of all being the same,
and a caller that comes back when told finds its capacity. A customer that has
booked its own part is told a later time, and takes nothing from the others.
"""

import random
from collections import defaultdict, deque
from dataclasses import dataclass

from zinniaspool.core.ids import CustomerId

__all__ = ["ReturnRates", "ReturnSchedule"]

MIN_RETRY_AFTER_S = 1.0
"""Shortest retry time under contention, in seconds: about the time of one
request, after which capacity that was lent is back."""

MAX_RETRY_AFTER_S = 10.0
"""Longest retry time, in seconds, longer than callers wait for one answer.
What demand will be later is unknown."""

MEMORY_S = MAX_RETRY_AFTER_S + 2.0
"""Time for which retry times are kept, in seconds: until the last caller has
come back."""

SIMILAR_S = 1.5
SIMILAR_PART = 0.85
"""Time within which the processes of a fleet tell similar retry times, in
seconds, and how similar they are. Each of sixty processes refuses less than
one request of a kind a second."""

MAX_FOREIGN_RETURNS = 3.0
"""Callers beyond this process's own bookings that it takes for callers that
other processes told to come back. The number that comes to each process
varies; without a limit, callers that come back too early would be taken for
them."""

MIN_RATE = 1e-3
"""Slots below which no capacity counts as set aside."""


@dataclass(frozen=True, slots=True)
class ReturnRates:
    """Capacity of this process for callers that come back, in slots.

    Attributes:
        of_class: For the class of urgency.
        of_customer: For the customer.
        backlog_s: Mean time over the processes of the subset until the last
            refused caller comes back, by their digests, in seconds.
        members: Processes of the subset.
    """

    of_class: float
    of_customer: float
    backlog_s: float = 0.0
    members: int = 1


@dataclass(frozen=True, slots=True)
class _Telling:
    """What one refused caller was told.

    Attributes:
        customer: Its customer.
        told_at: Time of the refusal, in seconds.
        due_at: Time at which it may come back, in seconds.
        slot_s: How long its request uses a slot, in seconds; 0 if it can't
            come back so late.
    """

    customer: CustomerId
    told_at: float
    due_at: float
    slot_s: float


class ReturnSchedule:
    """The retry times that one process has told callers of one model.

    Args:
        random_source: Spreads the retry times.
    """

    def __init__(self, random_source: random.Random) -> None:
        self._random_source = random_source
        self._class_ends: dict[int, float] = {}
        self._reported_s: defaultdict[int, float] = defaultdict(float)
        self._customer_ends: dict[tuple[int, CustomerId], float] = {}
        self._told: defaultdict[int, deque[_Telling]] = defaultdict(deque)
        self._accepted: defaultdict[int, deque[tuple[float, float]]] = defaultdict(
            deque
        )

    def book(
        self,
        urgency: int,
        customer: CustomerId,
        slot_s: float,
        rates: ReturnRates,
        latest: float,
        now: float,
    ) -> float:
        """Book capacity for a refused caller.

        Args:
            urgency: The request's urgency.
            customer: Its customer.
            slot_s: How long it uses a slot, in seconds.
            rates: The capacity that is set aside.
            latest: Time until which the caller can come back, in seconds.
                A caller that can't is told the time but books nothing.
            now: Seconds.

        Returns:
            Its retry time, in seconds.
        """
        spread = self._random_source.uniform
        earliest = now + MIN_RETRY_AFTER_S * spread(1.0, 1.25)
        class_step_s = slot_s / max(MIN_RATE, rates.of_class) * spread(0.75, 1.25)
        class_end = max(now, self._class_ends.get(urgency, 0.0)) + class_step_s
        # The subset tells about the same times: this process's own bookings
        # count in full only in its next digest.
        since_digest_s = max(0.0, class_end - now - self._reported_s[urgency])
        mean_s = rates.backlog_s + since_digest_s / rates.members
        key = (urgency, customer)
        customer_start = max(earliest, self._customer_ends.get(key, 0.0))
        back_at = max(earliest, now + mean_s, customer_start)
        if back_at < latest:
            self._class_ends[urgency] = class_end
            self._customer_ends[key] = customer_start + slot_s / max(
                MIN_RATE, rates.of_customer
            )
        booked_s = slot_s if back_at < latest else 0.0
        self._told[urgency].append(_Telling(customer, now, back_at, booked_s))
        self._forget_before(now - MEMORY_S)
        return min(MAX_RETRY_AFTER_S, back_at - now)

    def list_backlogs(self, now: float) -> dict[int, float]:
        """Return the time until the last refused caller is back, by class."""
        return {
            urgency: end - now for urgency, end in self._class_ends.items() if end > now
        }

    def mark_reported(self, now: float) -> None:
        """Count the backlogs as part of the digests that are in use now."""
        self._reported_s = defaultdict(float, self.list_backlogs(now))

    def has_told(self, urgency: int, now: float) -> bool:
        """Tell whether callers of a class were told to come back of late."""
        self._forget_before(now - MEMORY_S)
        return bool(self._told.get(urgency))

    def accept(
        self,
        urgency: int,
        customer: CustomerId,
        slot_s: float,
        waited_min_s: float,
        waited_max_s: float,
        now: float,
    ) -> bool:
        """Tell whether a caller comes back as told, and use its booking.

        Callers come back to any process. This one compares with what it told
        another caller at about that time, since all processes of a subset
        compute their retry times from the same digests.

        Args:
            urgency: The request's urgency.
            customer: Its customer.
            slot_s: How long it uses a slot, in seconds.
            waited_min_s: How long the caller has waited at least, in seconds.
            waited_max_s: How long it has waited at most, in seconds.
            now: Seconds.
        """
        if waited_min_s <= 0.0:
            return False
        told = self._told[urgency]
        refused_at = now - (waited_min_s + waited_max_s) / 2
        similar = [
            telling
            for telling in told
            if abs(telling.told_at - refused_at) <= SIMILAR_S
        ]
        similar = [one for one in similar if one.customer == customer] or similar
        retry_after_s = MIN_RETRY_AFTER_S
        if similar:
            nearest = min(similar, key=lambda one: abs(one.told_at - refused_at))
            retry_after_s = nearest.due_at - nearest.told_at
        if waited_max_s < SIMILAR_PART * retry_after_s:
            return False
        due_s = sum(telling.slot_s for telling in told if telling.due_at <= now)
        used_s = sum(used for _, used in self._accepted[urgency])
        if used_s > due_s + MAX_FOREIGN_RETURNS * slot_s:
            return False
        self._accepted[urgency].append((now, slot_s))
        return True

    def _forget_before(self, oldest: float) -> None:
        for told in self._told.values():
            while told and told[0].told_at < oldest:
                told.popleft()
        for accepted in self._accepted.values():
            while accepted and accepted[0][0] < oldest:
                accepted.popleft()
        for key, end in list(self._customer_ends.items()):
            if end < oldest:
                del self._customer_ends[key]
