"""Background tasks of a process, which are restarted when they fail."""

import asyncio
from collections.abc import Awaitable, Callable

import structlog

__all__ = ["run_supervised"]

_log = structlog.get_logger(__name__)

RESTART_DELAY_S = 0.5
"""Pause before a failed task is started again, in seconds. A failure that
recurs at once then costs two log lines a second."""


async def run_supervised(name: str, work: Callable[[], Awaitable[None]]) -> None:
    """Run a background task again whenever it fails, until cancelled.

    A failure of one task must not end the process, since that would cut
    streams that have nothing to do with the task. State that the task keeps in
    memory is not reset, so that it continues where it was.

    Args:
        name: The task's name in the log.
        work: Runs the task.
    """
    while True:
        try:
            await work()
            return
        except Exception:
            _log.exception("duty-failed", duty=name)
        await asyncio.sleep(RESTART_DELAY_S)
