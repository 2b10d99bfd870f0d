"""Limits how many loads from the weight store may start."""

from collections import deque

__all__ = ["LoadBudget"]

BACKGROUND_PART = 0.25
"""Part of the concurrent loads, and of the rate, that background loads may
use. The rest stays for groups that callers wait for."""

MAX_COUNTED_LOADS = 100_000
"""Most loads that are counted in a window, each by itself."""

_NO_LIMIT = 1 << 30
"""A number of loads greater than any fleet starts."""


class LoadBudget:
    """Counts loads over a sliding window.

    The weight store's owner stops it when the rate is exceeded. When too many
    loads run at once, each takes longer, so that all of them end late.

    Args:
        loads_per_s: Loads that may start in a second.
        loads_at_once: Loads that may run at once.
        window_s: Length of the window in which the rate is counted.
        unlimited_until: Time until which loads are not counted, in seconds.
    """

    def __init__(
        self,
        loads_per_s: float,
        loads_at_once: int,
        window_s: float,
        unlimited_until: float,
    ) -> None:
        self._unlimited_until = unlimited_until
        self._max_started = max(1, int(min(MAX_COUNTED_LOADS, loads_per_s * window_s)))
        self._loads_at_once = max(1, loads_at_once)
        self._window_s = window_s
        self._started_at: deque[float] = deque()
        self._running_until: dict[str, float] = {}

    def assume_exhausted(self, now: float) -> None:
        """Assume that the previous holder has used the whole rate until now.

        Its loads are not known here, and the loads of two holders could add
        up to more than the rate. Room comes back as the rate allows.
        """
        interval_s = self._window_s / self._max_started
        self._started_at.extend(
            now - self._window_s + interval_s * (number + 1)
            for number in range(self._max_started)
        )

    def count_room(self, now: float) -> int:
        """Return how many loads may start now."""
        if self.is_unlimited(now):
            return _NO_LIMIT
        while self._started_at and self._started_at[0] <= now - self._window_s:
            self._started_at.popleft()
        for name, until in list(self._running_until.items()):
            if until <= now:
                del self._running_until[name]
        by_rate = self._max_started - len(self._started_at)
        return max(0, min(by_rate, self._loads_at_once - len(self._running_until)))

    def has_room(self, count: int, now: float) -> bool:
        """Return whether this many loads may start together.

        A large group may need more loads at once than the limit. It may start
        them while no other load runs. They then take longer, but otherwise
        the group would never form.
        """
        room = self.count_room(now)
        by_rate = self._max_started - len(self._started_at)
        return count <= room or (not self._running_until and count <= by_rate)

    def has_background_room(self, now: float) -> bool:
        """Return whether a load that no caller waits for may start."""
        if self.is_unlimited(now):
            return True
        self.count_room(now)
        few_running = len(self._running_until) < self._loads_at_once * BACKGROUND_PART
        return (
            few_running and len(self._started_at) < self._max_started * BACKGROUND_PART
        )

    def is_unlimited(self, now: float) -> bool:
        """Return whether loads are not counted yet."""
        return now < self._unlimited_until

    def record_start(self, instance: str, now: float, load_s: float) -> None:
        """Count a load that is ordered now and assumed to last ``load_s``."""
        if self.is_unlimited(now):
            return
        self._started_at.append(now)
        self._running_until[instance] = now + load_s

    def record_end(self, instance: str) -> None:
        """Record that an instance's load has ended."""
        self._running_until.pop(instance, None)
