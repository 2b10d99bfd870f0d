"""Estimates how long callers have already waited, from their timeouts.

A caller that was refused, or whose connection failed, retries within its first
deadline and states how long it waits from now on. Its answer is late in any
case. If it were treated as a new request, it would use a slot in which another
request could be on time. In a burst of 2.2 times the usual traffic, one slot
in seven was used by such retries.
"""

from collections import deque

__all__ = ["CallerTimeoutEstimator"]

DECAY_FACTOR = 0.999
"""Factor by which the longest timeout decays with each request, so that one
unusual caller is forgotten within a thousand requests."""

INITIAL_NEW_CALLER_PART = 0.8
"""Part of the longest timeout from which a caller is considered new, before
anything was learned."""

IMPATIENT_PART = 0.05
"""Part of the new callers, those with the shortest timeouts, that are below
the learned threshold."""

LEARNING_STEP_PART = 0.002
"""Change of the learned threshold by one request."""

MARGIN_PART = 0.03
"""Part of the longest timeout by which a timeout must be below the threshold,
so that a new caller with a slightly shorter timeout isn't taken for a
retry."""


NEW_CALLERS = 40
MIN_NEW_CALLERS = 8
MAX_IMPATIENT = 1
"""New callers whose timeouts are kept, how many of them are needed, and how
many of these may be less patient than the rest."""


class CallerTimeoutEstimator:
    """Learns the usual timeout of the callers of one route."""

    def __init__(self) -> None:
        self._longest_s = 0.0
        self._new_timeouts_s: deque[float] = deque(maxlen=NEW_CALLERS)
        self._new_caller_part = INITIAL_NEW_CALLER_PART

    def estimate_waited(self, timeout_s: float) -> float:
        """Return how long a caller has waited at least, in seconds."""
        usual_timeout_s = self._longest_s * (self._new_caller_part - MARGIN_PART)
        return max(0.0, usual_timeout_s - timeout_s)

    def estimate_wait_range(self, timeout_s: float) -> tuple[float, float]:
        """Return how long a caller has waited at least and at most.

        Unlike ``estimate_waited``, the least time follows from the newest new
        callers alone, so that it is known soon after the start. It serves
        only to recognize callers that were given a retry time.

        Returns:
            Seconds; 0 at least for a caller that may be new.
        """
        if len(self._new_timeouts_s) < MIN_NEW_CALLERS:
            shortest_s = 0.0
        else:
            shortest_s = sorted(self._new_timeouts_s)[MAX_IMPATIENT]
        shortest_s -= MARGIN_PART * self._longest_s
        return (
            max(0.0, shortest_s - timeout_s),
            max(0.0, self._longest_s - timeout_s),
        )

    def record(self, timeout_s: float, *, only_new_callers: bool) -> None:
        """Record how long a caller states that it will wait.

        Args:
            timeout_s: Seconds from now on.
            only_new_callers: Whether no caller was refused of late, so that
                all callers are new.
        """
        self._longest_s = max(timeout_s, self._longest_s * DECAY_FACTOR)
        if not only_new_callers:
            return
        self._new_timeouts_s.append(timeout_s)
        is_below = timeout_s < self._longest_s * self._new_caller_part
        change = LEARNING_STEP_PART * (
            IMPATIENT_PART - 1 if is_below else IMPATIENT_PART
        )
        self._new_caller_part = min(1.0, max(0.0, self._new_caller_part + change))
