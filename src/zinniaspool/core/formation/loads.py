"""How many loads from the weight store may start."""

from collections import deque

__all__ = ["LoadBudget"]

BACKGROUND_PART = 0.25
"""Part of the loads that run well together, and of the rate, that loads in
the background may take. The rest stays for groups that callers wait for."""

_NO_LIMIT = 1 << 30
"""More loads than any fleet starts."""


class LoadBudget:
    """Counts loads over a sliding window.

    Beyond its rate the weight store is stopped by its owner, and beyond a
    number at once each load takes longer, so that all come late.

    Args:
        per_s: Loads that may start a second.
        at_once: Loads that may run together.
        window_s: Over how long the rate is counted.
        free_until: Until when loads are not counted, in seconds.
    """

    def __init__(
        self, per_s: float, at_once: int, window_s: float, free_until: float
    ) -> None:
        self._free_until = free_until
        self._most = max(1, int(per_s * window_s))
        self._at_once = max(1, at_once)
        self._window_s = window_s
        self._started: deque[float] = deque()
        self._running: dict[str, float] = {}

    def assume_used(self, now: float) -> None:
        """Take the whole rate for used up to now, by a former holder.

        What it has loaded is not known here; two holders' loads would add up
        to more than the rate. Room comes back as fast as the rate gives it.
        """
        step = self._window_s / self._most
        self._started.extend(
            now - self._window_s + step * (number + 1) for number in range(self._most)
        )

    def room(self, now: float) -> int:
        """Return how many loads may start now."""
        if self.is_free(now):
            return _NO_LIMIT
        while self._started and self._started[0] <= now - self._window_s:
            self._started.popleft()
        for name, until in list(self._running.items()):
            if until <= now:
                del self._running[name]
        by_rate = self._most - len(self._started)
        return max(0, min(by_rate, self._at_once - len(self._running)))

    def has_room(self, count: int, now: float) -> bool:
        """Tell whether so many loads may start together.

        A large group needs more at once than run well together; they then
        take longer, which is better than never.
        """
        room = self.room(now)
        by_rate = self._most - len(self._started)
        return count <= room or (not self._running and count <= by_rate)

    def has_background_room(self, now: float) -> bool:
        """Tell whether a load that nobody waits for may start."""
        if self.is_free(now):
            return True
        self.room(now)
        few = len(self._running) < self._at_once * BACKGROUND_PART
        return few and len(self._started) < self._most * BACKGROUND_PART

    def is_free(self, now: float) -> bool:
        """Tell whether loads are not counted yet."""
        return now < self._free_until

    def start(self, instance: str, now: float, load_s: float) -> None:
        """Count a load that is ordered; it is taken to last ``load_s``."""
        if self.is_free(now):
            return
        self._started.append(now)
        self._running[instance] = now + load_s

    def end(self, instance: str) -> None:
        """Note that an instance holds its model."""
        self._running.pop(instance, None)
