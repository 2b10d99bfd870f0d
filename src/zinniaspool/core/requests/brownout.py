"""Brown-out: which requests an overloaded entry process sheds."""

from dataclasses import dataclass

__all__ = ["Brownout", "BrownoutLimits"]

_MAX_URGENCY_BY_LEVEL = (7, 5, 3, 1)
"""For each level, the highest urgency number (the least urgent requests) that
is admitted. Requests for urgent services are admitted at every level."""


@dataclass(frozen=True, slots=True)
class BrownoutLimits:
    """Limits beyond which a process counts as overloaded.

    Attributes:
        max_lag_s: Maximum seconds by which the event loop's timers are late.
        max_in_progress: Maximum number of requests in progress.
        recovery_part: Share of the limits below which the level falls again.
    """

    max_lag_s: float = 0.1
    max_in_progress: int = 2000
    recovery_part: float = 0.7


class Brownout:
    """Sheds requests by urgency, the least urgent requests first.

    In an overloaded process, urgent requests would be late as well. The level
    changes by one at a time, and falls at a lower load than it rises, so that
    the load does not oscillate.

    Args:
        limits: Limits beyond which the process counts as overloaded.

    Attributes:
        level: Number of steps of less urgent requests that are shed.
    """

    def __init__(self, limits: BrownoutLimits | None = None) -> None:
        self.level = 0
        self._limits = limits or BrownoutLimits()

    def update(self, lag_s: float, in_progress: int) -> None:
        """Adapt the level to a measurement, a few times a second."""
        limits = self._limits
        pressure = max(lag_s / limits.max_lag_s, in_progress / limits.max_in_progress)
        if pressure > 1.0:
            self.level = min(self.level + 1, len(_MAX_URGENCY_BY_LEVEL) - 1)
        elif pressure < limits.recovery_part:
            self.level = max(self.level - 1, 0)

    def admits(self, urgency: int, *, urgent_service: bool) -> bool:
        """Whether a request is admitted at the current level."""
        return urgent_service or urgency <= _MAX_URGENCY_BY_LEVEL[self.level]
