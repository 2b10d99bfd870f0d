"""Continuous batching in outline: a fixed number of slots and a queue."""

import heapq
from itertools import count

__all__ = ["DEFAULT_URGENCY", "Batch", "read_urgency"]

DEFAULT_URGENCY = 3
_MOST_URGENCY = 7


class Batch:
    """Which requests run and which wait; the most urgent goes first.

    Args:
        slots: Requests that run at a time.
        queue: Requests that may wait.
    """

    def __init__(self, slots: int, queue: int) -> None:
        self.slots = slots
        self._queue = queue
        self._running: set[int] = set()
        self._waiting: list[tuple[int, int]] = []
        self._numbers = count()

    @property
    def running(self) -> int:
        """How many requests run."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """How many requests wait."""
        return len(self._waiting)

    def submit(self, urgency: int) -> int | None:
        """Take a request; its number, or None when the queue is full."""
        if self.running >= self.slots and self.waiting >= self._queue:
            return None
        number = next(self._numbers)
        heapq.heappush(self._waiting, (urgency, number))
        self._fill()
        return number

    def runs(self, number: int) -> bool:
        """Whether a request has a slot."""
        return number in self._running

    def end(self, number: int) -> None:
        """Forget a request, running or waiting."""
        self._running.discard(number)
        left = [entry for entry in self._waiting if entry[1] != number]
        if len(left) != len(self._waiting):
            self._waiting = left
            heapq.heapify(self._waiting)
        self._fill()

    def _fill(self) -> None:
        while self._waiting and len(self._running) < self.slots:
            self._running.add(heapq.heappop(self._waiting)[1])


def read_urgency(header: str | None) -> int:
    """Return the urgency in a Priority header, 0 for the most urgent."""
    for item in (header or "").split(","):
        name, _, value = item.strip().partition("=")
        if name == "u" and value.isdigit():
            return min(int(value), _MOST_URGENCY)
    return DEFAULT_URGENCY
