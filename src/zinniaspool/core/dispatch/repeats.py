"""How many requests one process may send to a second upstream."""

from collections import deque
from dataclasses import dataclass

__all__ = ["RepeatLimits", "RepeatWindow"]

BUCKETS = 20
"""Parts of the window that are counted together."""

SAFE_PART = 0.8
"""Part of the allowance that is used: processes share it, and requests are
not spread over them evenly."""


@dataclass(frozen=True, slots=True)
class RepeatLimits:
    """What all processes together may repeat.

    Attributes:
        ratio: Repeats for each request.
        window_s: Over how long both are counted.
        slack: Repeats besides.
    """

    ratio: float
    window_s: float
    slack: float


class RepeatWindow:
    """Counts one service's requests and repeats over a sliding window.

    Repeats are what turns a failure into an overload: upstreams that fail
    under load are given every request twice, and the load stays after its
    cause.

    Args:
        limits: What all processes may repeat.
    """

    def __init__(self, limits: RepeatLimits) -> None:
        self.processes = 1
        self._limits = limits
        self._width = limits.window_s / BUCKETS
        self._requests: deque[tuple[int, int]] = deque()
        self._repeats: deque[tuple[int, int]] = deque()

    def add_request(self, now: float) -> None:
        """Count a request for the service."""
        self._count(self._requests, now)

    def take_repeat(self, now: float) -> bool:
        """Count a repeat; False when there is no room for it."""
        self._drop(self._requests, now)
        self._drop(self._repeats, now)
        requests = sum(count for _, count in self._requests)
        repeats = sum(count for _, count in self._repeats)
        limits = self._limits
        allowed = limits.ratio * requests + limits.slack / max(1, self.processes)
        if repeats + 1 > allowed * SAFE_PART:
            return False
        self._count(self._repeats, now)
        return True

    def _count(self, counts: deque[tuple[int, int]], now: float) -> None:
        self._drop(counts, now)
        bucket = int(now / self._width)
        if counts and counts[-1][0] == bucket:
            counts[-1] = (bucket, counts[-1][1] + 1)
        else:
            counts.append((bucket, 1))

    def _drop(self, counts: deque[tuple[int, int]], now: float) -> None:
        oldest = int(now / self._width) - BUCKETS
        while counts and counts[0][0] < oldest:
            counts.popleft()
