"""Detection of upstreams that send nothing for a time."""

import asyncio
from collections.abc import Callable

__all__ = ["StallWatchdog"]


class StallWatchdog:
    """Calls a function whenever no data has arrived within a timeout.

    A frozen upstream keeps its connection open, and nothing else would show
    its silence before the caller's deadline. One timer per attempt, which
    checks the time of the last data only when it fires, adds no cost per
    token.

    Args:
        timeout_s: Maximum seconds without data.
        on_stall: Called after each timeout without data.

    Attributes:
        awaiting_data: Whether the attempt waits for the upstream. While data
            is written to a slow caller, it is False and the timeout does not
            count.
    """

    __slots__ = (
        "_last_data_at",
        "_loop",
        "_on_stall",
        "_timeout_s",
        "_timer",
        "awaiting_data",
    )

    def __init__(self, timeout_s: float, on_stall: Callable[[], None]) -> None:
        self.awaiting_data = True
        self._loop = asyncio.get_running_loop()
        self._on_stall = on_stall
        self._timeout_s = timeout_s
        self._last_data_at = self._loop.time()
        self._timer = self._loop.call_later(timeout_s, self._check)

    def record_data(self) -> None:
        """Record that data has arrived and was passed on to the caller."""
        self._last_data_at = self._loop.time()
        self.awaiting_data = True

    def cancel(self) -> None:
        """Stop the timer."""
        self._timer.cancel()

    def _check(self) -> None:
        remaining_s = self._last_data_at + self._timeout_s - self._loop.time()
        delay_s = remaining_s if remaining_s > 0 else self._timeout_s
        self._timer = self._loop.call_later(delay_s, self._check)
        if remaining_s <= 0 and self.awaiting_data:
            self._on_stall()
