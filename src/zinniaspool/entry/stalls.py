"""Streams of which nothing comes any more."""

import asyncio

from zinniaspool.http import ClientResponse

__all__ = ["StallWatch"]


class StallWatch:
    """Ends a stream of which nothing comes any more.

    A frozen upstream keeps its connection open. Its stream could go on
    elsewhere, but nothing else would end it before the caller's deadline.
    One timer a stream, looked at now and then, costs nothing a token.

    Args:
        response: The stream.
        stall_s: Longest silence.

    Attributes:
        waiting: Whether it is the upstream's turn; while a slow caller is
            written to, its silence means nothing.
    """

    __slots__ = ("_last", "_loop", "_response", "_stall_s", "_timer", "waiting")

    def __init__(self, response: ClientResponse, stall_s: float) -> None:
        self.waiting = True
        self._loop = asyncio.get_running_loop()
        self._response = response
        self._stall_s = stall_s
        self._last = self._loop.time()
        self._timer = self._loop.call_later(stall_s, self._look)

    def touch(self) -> None:
        """Note that something came and was passed on."""
        self._last = self._loop.time()
        self.waiting = True

    def cancel(self) -> None:
        """Stop watching."""
        self._timer.cancel()

    def _look(self) -> None:
        left_s = self._last + self._stall_s - self._loop.time()
        if left_s <= 0 and self.waiting:
            self._response.abort()
            return
        wait_s = left_s if left_s > 0 else self._stall_s
        self._timer = self._loop.call_later(wait_s, self._look)
