"""Tells refused callers when to come back, and knows those that do.

A part of the capacity that a class of urgency and each of its customers get is
set aside for callers that come back. Each refusal books some of it, so that
the retry times of a burst follow one another instead of all being the same,
and a caller that keeps its retry time finds its capacity. A customer that has
booked its own part is given a later time, and takes nothing from the others.
"""

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

SPREAD_S = 0.75
SPREAD_FACTOR = 997.0
"""Largest difference of the retry times of callers that are refused in the
same moment, in seconds, and the factor that makes it independent of whether
they are refused."""

MEMORY_S = MAX_RETRY_AFTER_S + 2.0
"""Time for which retry times are kept, in seconds: until the last caller has
come back."""

SIMILAR_S = 1.0
SIMILAR_PART = 0.75
SIMILAR_PART_OF_SUBSETS = 0.5
"""Time within which the processes of a subset tell similar retry times, in
seconds, and how similar they are; then, the same for processes of different
subsets, whose capacity differs. Each of sixty processes refuses less than one
request of a kind a second."""

MAX_FOREIGN_RETURNS = 3.0
"""Callers beyond this process's own bookings that it takes for callers that
other processes gave retry times to. The number that comes to each process
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
class _RetryTime:
    """The retry time that one refused caller was given.

    Attributes:
        customer: Its customer.
        given_at: Time of the refusal, in seconds.
        due_at: Time from which it may come back, without its own part of the
            spread, in seconds.
        slot_s: How long its request uses a slot, in seconds; 0 if it can't
            come back so late.
    """

    customer: CustomerId
    given_at: float
    due_at: float
    slot_s: float


class ReturnSchedule:
    """The retry times that one process has given to callers of one model."""

    def __init__(self) -> None:
        self._class_ends: dict[int, float] = {}
        self._reported_s: defaultdict[int, float] = defaultdict(float)
        self._customer_ends: dict[tuple[int, CustomerId], float] = {}
        self._given: defaultdict[int, deque[_RetryTime]] = defaultdict(deque)
        self._accepted: defaultdict[int, deque[tuple[float, float]]] = defaultdict(
            deque
        )

    def book(
        self,
        urgency: int,
        customer: CustomerId,
        slot_s: float,
        draw: float,
        rates: ReturnRates,
        latest: float,
        now: float,
    ) -> float:
        """Book capacity for a refused caller.

        Args:
            urgency: The request's urgency.
            customer: Its customer.
            slot_s: How long it uses a slot, in seconds.
            draw: Hash of its content, 0 to 1.
            rates: The capacity that is set aside.
            latest: Time until which the caller can come back, in seconds.
                A caller that can't is given the time but books nothing.
            now: Seconds.

        Returns:
            Its retry time, in seconds.
        """
        earliest = now + MIN_RETRY_AFTER_S
        class_step_s = slot_s / max(MIN_RATE, rates.of_class)
        class_end = max(now, self._class_ends.get(urgency, 0.0)) + class_step_s
        # The processes of a subset give about the same times: this process's
        # own bookings count in full only in its next digest.
        since_digest_s = max(0.0, class_end - now - self._reported_s[urgency])
        mean_s = rates.backlog_s + since_digest_s / rates.members
        key = (urgency, customer)
        customer_start = max(earliest, self._customer_ends.get(key, 0.0))
        due_at = max(earliest, now + mean_s, customer_start)
        back_at = due_at + _find_spread(draw)
        if back_at < latest:
            self._class_ends[urgency] = class_end
            self._customer_ends[key] = customer_start + slot_s / max(
                MIN_RATE, rates.of_customer
            )
        booked_s = slot_s if back_at < latest else 0.0
        self._given[urgency].append(_RetryTime(customer, now, due_at, booked_s))
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

    def has_refused(self, urgency: int, now: float) -> bool:
        """Return whether callers of a class were given retry times lately."""
        self._forget_before(now - MEMORY_S)
        return bool(self._given.get(urgency))

    def accept(
        self,
        urgency: int,
        customer: CustomerId,
        slot_s: float,
        draw: float,
        waited_min_s: float,
        waited_max_s: float,
        now: float,
        *,
        has_subsets: bool = False,
    ) -> bool:
        """Return whether a caller kept its retry time, and use its booking.

        Callers come back to any process. This one compares with the retry
        time that it gave another caller at about that moment, since all
        processes of a subset compute their retry times from the same digests.

        Args:
            urgency: The request's urgency.
            customer: Its customer.
            slot_s: How long it uses a slot, in seconds.
            draw: Hash of its content, 0 to 1.
            waited_min_s: How long the caller has waited at least, in seconds.
            waited_max_s: How long it has waited at most, in seconds.
            now: Seconds.
            has_subsets: Whether processes of other subsets refuse callers.
        """
        given = self._given[urgency]
        refused_at = now - (waited_min_s + waited_max_s) / 2
        similar = [
            retry_time
            for retry_time in given
            if abs(retry_time.given_at - refused_at) <= SIMILAR_S
        ]
        similar = [one for one in similar if one.customer == customer] or similar
        # The times grow by seconds within a second when a burst begins.
        retry_after_s = min(
            (one.due_at - one.given_at for one in similar), default=MIN_RETRY_AFTER_S
        )
        retry_after_s += _find_spread(draw)
        similar_part = SIMILAR_PART_OF_SUBSETS if has_subsets else SIMILAR_PART
        if waited_max_s < max(
            similar_part * retry_after_s, SIMILAR_PART * MIN_RETRY_AFTER_S
        ):
            return False
        due_s = sum(one.slot_s for one in given if one.due_at <= now)
        used_s = sum(used for _, used in self._accepted[urgency])
        if used_s > due_s + MAX_FOREIGN_RETURNS * slot_s:
            return False
        self._accepted[urgency].append((now, slot_s))
        return True

    def _forget_before(self, oldest: float) -> None:
        for given in self._given.values():
            while given and given[0].given_at < oldest:
                given.popleft()
        for accepted in self._accepted.values():
            while accepted and accepted[0][0] < oldest:
                accepted.popleft()
        for key, end in list(self._customer_ends.items()):
            if end < oldest:
                del self._customer_ends[key]


def _find_spread(draw: float) -> float:
    """Return how much later than others a caller comes back, in seconds.

    Callers that were refused in the same moment must not come back together.
    Any process finds the same value for the same request.
    """
    return SPREAD_S * (draw * SPREAD_FACTOR % 1.0)
