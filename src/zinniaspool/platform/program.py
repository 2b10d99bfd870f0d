"""Start of a program on the users' platform: settings, logs and signals."""

import asyncio
import os
import signal
import sys
from collections.abc import Callable, Collection
from typing import NoReturn, Protocol

import structlog

from zinniaspool.fleet import NodeSettings
from zinniaspool.platform.nodefile import NodeFileError, read_node_file
from zinniaspool.platform.signals import STOP_SIGNALS, EarlySignals
from zinniaspool.telemetry import configure_logs

__all__ = ["PlatformProcess", "run_on_platform"]

_log = structlog.get_logger(__name__)

BAD_SETTINGS_STATUS = 2
"""Exit status when the settings can't be used."""


class PlatformProcess(Protocol):
    """A process that runs until it is stopped."""

    def stop(self, requested_at: float | None = None) -> None:
        """Begin a graceful stop.

        Args:
            requested_at: Time of the signal, in seconds on the event loop's
                clock; None for now.
        """
        ...

    async def run(self) -> None:
        """Run the process until it has stopped."""
        ...


def run_on_platform(
    program: str,
    make: Callable[[NodeSettings, int], PlatformProcess],
    options: Collection[str] = (),
    early_signals: EarlySignals | None = None,
) -> None:
    """Run a process with the settings that the platform wrote, and exit.

    The command's first argument is the port for metrics; options follow it.

    Args:
        program: The program's name in the log.
        make: Creates the process from its settings and the port for metrics.
        options: The options that the program knows.
        early_signals: Handles signals until the process does.

    Raises:
        SystemExit: The settings or an argument can't be used.
    """
    try:
        port = int(sys.argv[1]) if len(sys.argv) > 1 else 0
        unknown = set(sys.argv[2:]) - set(options)
        if unknown:
            raise ValueError(f"unknown options: {' '.join(sorted(unknown))}")
        node = read_node_file()
    except (NodeFileError, ValueError) as error:
        print(error, file=sys.stderr)
        raise SystemExit(BAD_SETTINGS_STATUS) from error
    configure_logs(program, node.node)
    asyncio.run(_run(lambda: make(node, port), early_signals))
    _exit_at_once()


def _exit_at_once() -> NoReturn:
    """End the process without freeing what it holds.

    The interpreter takes a tenth of a second to free it, and more on a busy
    VM, which would kill the process at the end of its stop time.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(0)


async def _run(
    make: Callable[[], PlatformProcess], early_signals: EarlySignals | None = None
) -> None:
    process = make()
    loop = asyncio.get_running_loop()

    def handle_stop(*_: object) -> None:
        # This runs between two instructions of whatever holds up the event
        # loop, so that the stop time begins with the signal.
        loop.call_soon_threadsafe(process.stop, loop.time())

    for number in STOP_SIGNALS:
        signal.signal(number, handle_stop)
    if early_signals is not None and early_signals.requested_at is not None:
        process.stop(early_signals.requested_at)
    # The settings of a running process don't change; without a handler SIGHUP
    # would end it.
    loop.add_signal_handler(signal.SIGHUP, lambda: _log.info("settings-signal"))
    try:
        await process.run()
    finally:
        for number in STOP_SIGNALS:
            signal.signal(number, signal.SIG_DFL)
