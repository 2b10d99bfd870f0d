"""Measures how slow the machine is that a test runs on."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

from zinniaspool_standins.runners import RunnerTimes

__all__ = ["DelayMeter", "explain_by_delays", "measure_pass", "measure_slowness"]

MEASURED_EVENTS = 30

CHECK_S = 0.05
"""Time between two checks, in seconds."""

NOTED_S = 0.1
"""Delay from which it is noted, in seconds."""


class DelayMeter:
    """Measures delays of the running event loop.

    The product, the stand-ins and the callers of a test share its loop. While
    it stands still, upstreams are silent and callers wait, for which nothing
    of the product is the cause.

    Attributes:
        longest_s: The longest delay, in seconds.
        total_s: The sum of the noted ones, in seconds.
    """

    def __init__(self) -> None:
        self.longest_s = self.total_s = 0.0

    async def run(self) -> None:
        """Measure until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + CHECK_S
            await asyncio.sleep(CHECK_S)
            delay_s = loop.time() - due
            self.longest_s = max(self.longest_s, delay_s)
            self.total_s += delay_s if delay_s >= NOTED_S else 0.0

    def __str__(self) -> str:
        return (
            f"the test's own loop was late by {self.longest_s:.2f} s at most, "
            f"{self.total_s:.2f} s in all"
        )


@contextlib.asynccontextmanager
async def explain_by_delays() -> AsyncIterator[DelayMeter]:
    """Measure delays within a block, and note them at what it raises."""
    meter = DelayMeter()
    measuring = asyncio.create_task(meter.run())
    try:
        yield meter
    except BaseException as error:
        error.add_note(str(meter))
        raise
    finally:
        measuring.cancel()


async def measure_pass(draft: Callable[[int], Awaitable[object]]) -> float:
    """Return the time from one event of a stream to the next, in seconds.

    Beside other work the stand-ins write more slowly than they should. A test
    that needs streams of some seconds has to ask for fewer events then.

    Args:
        draft: Asks for a stream of that many events, and reads it.
    """
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    await draft(MEASURED_EVENTS)
    return (loop.time() - began_at) / MEASURED_EVENTS


async def measure_slowness(draft: Callable[[int], Awaitable[object]]) -> float:
    """Return how many times as long as on an idle machine a stream takes.

    It is at least 1. Limits of time that hold on an idle machine are
    multiplied by it.

    Args:
        draft: Asks for a stream of that many events, and reads it.
    """
    return max(1.0, await measure_pass(draft) / RunnerTimes().pass_s)
