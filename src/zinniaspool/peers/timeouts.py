"""Timeouts that don't count the time for which the event loop stands still."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

__all__ = ["limit_running_time"]

TIMEOUT_STEPS = 3
"""Steps in which the time passes."""


@asynccontextmanager
async def limit_running_time(timeout_s: float) -> AsyncIterator[None]:
    """Time out once the event loop has run for some time.

    While the loop stands still, it notices neither a connection that has
    opened nor a response that has arrived. So that doesn't count for more than
    one step.

    Args:
        timeout_s: The time, in seconds.

    Raises:
        TimeoutError: The time is over.
    """
    loop = asyncio.get_running_loop()
    step_s = timeout_s / TIMEOUT_STEPS
    timer: asyncio.TimerHandle
    async with asyncio.timeout(None) as limit:

        def begin_step(left: int) -> None:
            nonlocal timer
            if left:
                timer = loop.call_later(step_s, begin_step, left - 1)
            else:
                limit.reschedule(loop.time())

        begin_step(TIMEOUT_STEPS)
        try:
            yield
        finally:
            timer.cancel()
