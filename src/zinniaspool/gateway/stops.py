"""The time that a process has left once it was told to stop."""

import math

__all__ = ["StopClock"]

CLOSE_RESERVE_S = 0.25
"""Part of the stop time that is reserved for closing, in seconds."""


class StopClock:
    """Tells how long a stopping process goes on.

    Times are in seconds on the event loop's clock.

    Args:
        grace_s: Time from the stop signal until the process is killed.

    Attributes:
        began_at: Time of the stop signal; None before it.
        ends_at: Time until which requests may be in progress.
        is_over: Whether the requests still in progress are being cut.
        accepted: Requests that were accepted after the stop signal.
        refused: Requests that were refused because of it.
    """

    def __init__(self, grace_s: float) -> None:
        self.began_at: float | None = None
        self.ends_at = math.inf
        self.is_over = False
        self.accepted = 0
        self.refused = 0
        self._grace_s = grace_s

    def begin(self, now: float) -> None:
        """Start the clock: the process was told to stop."""
        self.began_at = now
        self.ends_at = now + max(0.0, self._grace_s - CLOSE_RESERVE_S)

    def measure_since(self, at: float) -> float | None:
        """Return how long after the stop signal a time is, in seconds.

        Returns:
            None without a signal, or if the time is before it.
        """
        if self.began_at is None or at < self.began_at:
            return None
        return at - self.began_at
