"""Brown-out: what an entry process stops taking when it is itself short."""

from dataclasses import dataclass

__all__ = ["Brownout", "BrownoutLimits"]

_LEVELS = (7, 5, 3, 1)
"""Least urgent requests taken at each level; urgent services always are."""


@dataclass(frozen=True, slots=True)
class BrownoutLimits:
    """When a process is short of itself.

    Attributes:
        lag_s: How late the loop's timers may be.
        in_progress: Requests in progress.
        recover: Part of the pressure below which a level is left again.
    """

    lag_s: float = 0.1
    in_progress: int = 2000
    recover: float = 0.7


class Brownout:
    """Sheds the less urgent requests first, in steps.

    A process that is late with everything makes its urgent requests late as
    well. Steps are taken one at a time, and left later than they were taken,
    so that the load does not swing.

    Args:
        limits: When the process is short of itself.
    """

    def __init__(self, limits: BrownoutLimits | None = None) -> None:
        self.level = 0
        self._limits = limits or BrownoutLimits()

    def step(self, lag_s: float, in_progress: int) -> None:
        """Take a measurement; a few times a second."""
        limits = self._limits
        pressure = max(lag_s / limits.lag_s, in_progress / limits.in_progress)
        if pressure > 1.0:
            self.level = min(self.level + 1, len(_LEVELS) - 1)
        elif pressure < limits.recover:
            self.level = max(self.level - 1, 0)

    def takes(self, urgency: int, *, urgent_service: bool) -> bool:
        """Whether a request is taken now."""
        return urgent_service or urgency <= _LEVELS[self.level]
