"""How loaded an upstream is, told with a lag."""

from collections import deque
from dataclasses import dataclass

__all__ = ["LaggedLoad", "Load"]


@dataclass(frozen=True, slots=True)
class Load:
    """Requests running and waiting from a moment on."""

    at: float
    running: int
    waiting: int


class LaggedLoad:
    """Remembers the load and tells what it was a while ago.

    Args:
        lag_s: How long ago.
    """

    def __init__(self, lag_s: float) -> None:
        self._lag_s = lag_s
        self._past: deque[Load] = deque([Load(float("-inf"), 0, 0)])

    def record(self, running: int, waiting: int, now: float) -> None:
        """Note the load from now on."""
        self._past.append(Load(now, running, waiting))
        self._forget(now)

    def tell(self, now: float) -> Load:
        """Return the load of a while ago."""
        self._forget(now)
        return self._past[0]

    def _forget(self, now: float) -> None:
        while len(self._past) > 1 and self._past[1].at <= now - self._lag_s:
            self._past.popleft()
