"""Detection of response streams that no longer deliver data."""

import asyncio

from zinniaspool.http import ClientResponse

__all__ = ["StallWatchdog"]


class StallWatchdog:
    """Aborts a stream that delivers no data within a timeout.

    A frozen upstream keeps its connection open. Its stream could be resumed at
    another upstream, but nothing else would end the stream before the caller's
    deadline. One timer per stream, which checks the time of the last data only
    when it fires, adds no cost per token.

    Args:
        response: Response whose stream is watched.
        timeout_s: Maximum seconds without data.

    Attributes:
        awaiting_data: Whether the stream waits for the upstream. While data is
            written to a slow caller, it is False and the timeout does not
            count.
    """

    __slots__ = (
        "_last_data_at",
        "_loop",
        "_response",
        "_timeout_s",
        "_timer",
        "awaiting_data",
    )

    def __init__(self, response: ClientResponse, timeout_s: float) -> None:
        self.awaiting_data = True
        self._loop = asyncio.get_running_loop()
        self._response = response
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
        if remaining_s <= 0 and self.awaiting_data:
            self._response.abort()
            return
        delay_s = remaining_s if remaining_s > 0 else self._timeout_s
        self._timer = self._loop.call_later(delay_s, self._check)
