"""Measures by how much a process is late.

A process that doesn't get its processor in time reads late what has arrived
and decides late by its timers.
"""

import asyncio
from collections import deque
from dataclasses import dataclass

__all__ = ["LoopLateness"]

MIN_LATE_S = 0.01
"""Delay from which on a check counts as late, in seconds."""

RECENT_S = 20.0
"""Time for which a delay is kept, in seconds: longer than most requests."""


@dataclass(frozen=True, slots=True)
class _Delay:
    """A check that was late; times in seconds on the event loop's clock."""

    ended_at: float
    late_s: float


class LoopLateness:
    """Keeps by how much the event loop was late recently."""

    def __init__(self) -> None:
        self._delays: deque[_Delay] = deque()

    async def sleep(self, seconds: float) -> None:
        """Sleep, and record by how much longer that took."""
        loop = asyncio.get_running_loop()
        due = loop.time() + seconds
        await asyncio.sleep(seconds)
        self.record(loop.time(), loop.time() - due)

    def record(self, now: float, late_s: float) -> None:
        """Record by how much a timer was late, in seconds."""
        while self._delays and now - self._delays[0].ended_at > RECENT_S:
            self._delays.popleft()
        if late_s >= MIN_LATE_S:
            self._delays.append(_Delay(now, late_s))

    def measure_longest(self, since: float) -> float:
        """Return the longest delay that ended since a time, in seconds."""
        return max(
            (one.late_s for one in self._delays if one.ended_at >= since), default=0.0
        )
