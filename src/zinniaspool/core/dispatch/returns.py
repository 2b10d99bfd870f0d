"""Tells refused callers when to come back, and knows those that do.

A part of the capacity that a class of urgency and each of its customers get is
set aside for callers that come back. Each refusal books some of it, so that
the retry times of a burst follow one another instead of all being the same,
and a caller that comes back when told finds its capacity. A customer that has
booked its own part is told a later time, and takes nothing from the others.
"""

import random
from collections import deque
from dataclasses import dataclass

from zinniaspool.core.ids import CustomerId

__all__ = ["ReturnRates", "ReturnSchedule"]

MIN_RETRY_AFTER_S = 1.0
"""Shortest retry time under contention, in seconds: about the time of one
request, after which capacity that was lent is back."""

MAX_RETRY_AFTER_S = 10.0
"""Longest retry time, in seconds, longer than callers wait for one answer.
What demand will be later is unknown."""

MEMORY_S = 8.0
"""Time for which the retry times are kept, in seconds; the longest deadline
of today's routes."""

EARLY_TOLERANCE_S = 0.05
"""Time by which a caller may come back early, in seconds. Retry times are
rounded, and callers measure them from when the answer arrived."""

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
    """

    of_class: float
    of_customer: float


@dataclass(frozen=True, slots=True)
class _Booking:
    """What one refused caller was told, and when it is due."""

    urgency: int
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
        self._customer_ends: dict[tuple[int, CustomerId], float] = {}
        self._bookings: deque[_Booking] = deque()
        self._accepted: deque[tuple[float, int, float]] = deque()

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
        class_end = max(earliest, self._class_ends.get(urgency, 0.0) + class_step_s)
        key = (urgency, customer)
        customer_start = max(earliest, self._customer_ends.get(key, 0.0))
        back_at = max(class_end, customer_start)
        if back_at < latest:
            self._class_ends[urgency] = class_end
            self._customer_ends[key] = customer_start + slot_s / max(
                MIN_RATE, rates.of_customer
            )
            self._bookings.append(_Booking(urgency, now, back_at, slot_s))
        self._forget_before(now - MEMORY_S)
        return min(MAX_RETRY_AFTER_S, back_at - now)

    def accept(
        self,
        urgency: int,
        slot_s: float,
        waited_min_s: float,
        waited_max_s: float,
        now: float,
    ) -> bool:
        """Tell whether a caller comes back as told, and use its booking.

        Callers come back to any process. This one compares with what it told
        at that time itself, since all processes of a subset compute their
        retry times from the same digests.

        Args:
            urgency: The request's urgency.
            slot_s: How long it uses a slot, in seconds.
            waited_min_s: How long the caller has waited at least, in seconds.
            waited_max_s: How long it has waited at most, in seconds.
            now: Seconds.
        """
        if waited_min_s <= 0.0:
            return False
        booked = [
            booking
            for booking in self._bookings
            if booking.urgency == urgency
            and booking.due_at <= now + EARLY_TOLERANCE_S
            and waited_min_s <= now - booking.told_at <= waited_max_s
        ]
        if not booked:
            return False
        due_s = sum(
            booking.slot_s
            for booking in self._bookings
            if booking.urgency == urgency and booking.due_at <= now + EARLY_TOLERANCE_S
        )
        used_s = sum(used for at, kind, used in self._accepted if kind == urgency)
        if used_s > due_s + MAX_FOREIGN_RETURNS * slot_s:
            return False
        self._accepted.append((now, urgency, slot_s))
        return True

    def _forget_before(self, oldest: float) -> None:
        while self._bookings and self._bookings[0].told_at < oldest:
            self._bookings.popleft()
        while self._accepted and self._accepted[0][0] < oldest:
            self._accepted.popleft()
        for key, end in list(self._customer_ends.items()):
            if end < oldest:
                del self._customer_ends[key]
