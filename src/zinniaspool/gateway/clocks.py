"""Measures the time that a stopping process has left."""

import math

from zinniaspool.telemetry import StopTally

__all__ = ["CLOSE_RESERVE_S", "EXIT_RESERVE_S", "StopClock"]

CLOSE_RESERVE_S = 0.25
"""Part of the stop time that is reserved for closing, in seconds."""

EXIT_RESERVE_S = 0.1
"""Part of it that is reserved for the end of the process itself."""


class StopClock:
    """Measures how long a stopping process goes on.

    Times are in seconds on the event loop's clock.

    Args:
        grace_s: Time from the stop signal until the process is killed.

    Attributes:
        began_at: Time of the stop signal; None before it.
        ends_at: Time until which requests may be in progress.
        exits_at: Time at which the last connections are closed.
        tally: Counts the requests that came after the stop signal.
    """

    def __init__(self, grace_s: float) -> None:
        self.began_at: float | None = None
        self.ends_at = self.exits_at = math.inf
        self.tally = StopTally()
        self._grace_s = grace_s

    def begin(self, now: float) -> None:
        """Start the clock at the stop signal."""
        self.began_at = now
        self.ends_at = now + max(0.0, self._grace_s - CLOSE_RESERVE_S)
        self.exits_at = now + max(0.0, self._grace_s - EXIT_RESERVE_S)

    def measure_since(self, at: float) -> float | None:
        """Return how long after the stop signal a time is, in seconds.

        Returns:
            None without a signal, or if the time is before it.
        """
        if self.began_at is None or at < self.began_at:
            return None
        return at - self.began_at
