"""Coldness of a stand-in runner, and the requests that it gets meanwhile."""

import asyncio
from dataclasses import dataclass, field

__all__ = ["Coldness"]

_WINDOW_S = 1.0


@dataclass(eq=False)
class Coldness:
    """How long a runner is cold, and how many requests came meanwhile.

    Attributes:
        spells: How often it became cold.
        most_requests: The most requests that came within a second while it
            was cold.
    """

    spells: int = 0
    most_requests: int = 0
    _until: float = 0.0
    _arrivals: list[float] = field(default_factory=list)

    def begin(self, seconds: float) -> None:
        """Be cold from now on for some seconds."""
        self._until = asyncio.get_running_loop().time() + seconds
        self.spells += 1

    def count_left_ms(self) -> int:
        """Return for how many more milliseconds it is cold."""
        left_s = self._until - asyncio.get_running_loop().time()
        return max(0, int(left_s * 1000))

    def record_request(self) -> int:
        """Count a request; return those of a second, 0 while it is warm."""
        if not self.count_left_ms():
            return 0
        now = asyncio.get_running_loop().time()
        recent = [one for one in self._arrivals if one > now - _WINDOW_S]
        self._arrivals = [*recent, now]
        self.most_requests = max(self.most_requests, len(self._arrivals))
        return len(self._arrivals)

    def reset_counts(self) -> None:
        """Forget the requests that came so far."""
        self.most_requests, self._arrivals = 0, []
