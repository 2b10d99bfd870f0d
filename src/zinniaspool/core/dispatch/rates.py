"""Limits requests to an upstream that has announced a rate limit."""

import math

__all__ = ["AnnouncedRate"]

MIN_PER_S = 0.25
"""Smallest rate in use, in requests a second. Only an answer shows that a
limit is over, also a limit of zero."""

BURST_REQUESTS = 2.0
"""Requests that may follow each other at once."""


class AnnouncedRate:
    """Spaces the requests that several processes send to one upstream.

    This is the generic cell rate algorithm: each request delays the time at
    which the next one is due by the interval of the rate. The processes report
    every request to each other, so that together they send what the upstream
    accepts, however their requests are spread.

    Args:
        per_s: Requests a second, from all processes.
        now: Seconds.
    """

    def __init__(self, per_s: float, now: float) -> None:
        self.per_s = per_s
        self._next_due = now

    def allows(self, subset_part: float, now: float) -> bool:
        """Tell whether one more request may be sent.

        Args:
            subset_part: The part of the upstream that belongs to the processes
                that report their requests to each other.
            now: Seconds.
        """
        return self.find_opening(subset_part) <= now

    def find_opening(self, subset_part: float) -> float:
        """Return when the next request may be sent, in seconds.

        Args:
            subset_part: As for ``allows``.

        Returns:
            Infinite if the processes that report their requests to each other
            have no part of the upstream.
        """
        if not subset_part:
            return math.inf
        return self._next_due - (BURST_REQUESTS - 1.0) * self._compute_spacing(
            subset_part
        )

    def record_request(self, subset_part: float, now: float) -> None:
        """Count a request that one of those processes has sent."""
        if subset_part:
            self._next_due = max(self._next_due, now) + self._compute_spacing(
                subset_part
            )

    def _compute_spacing(self, subset_part: float) -> float:
        return 1.0 / (max(self.per_s, MIN_PER_S) * subset_part)
