"""Long-running work of a process that a fault must not end."""

import asyncio
from collections.abc import Awaitable, Callable

import structlog

__all__ = ["run_duty"]

_log = structlog.get_logger(__name__)

AGAIN_S = 0.5
"""Pause before work that failed begins again, in seconds: a fault that comes
back at once then costs two log lines a second."""


async def run_duty(name: str, work: Callable[[], Awaitable[None]]) -> None:
    """Run work again whenever it fails, until cancelled.

    A fault in one kind of work must not take the process with it: streams
    would be cut although they had nothing to do with it. What the work keeps
    in memory stays, so that it goes on where it was.
    """
    while True:
        try:
            await work()
            return
        except Exception:
            _log.exception("duty-failed", duty=name)
        await asyncio.sleep(AGAIN_S)
