"""Signals that come while a program loads.

Until the loaded program has its own handlers, a stop signal would end the
process and reset the connections that wait at its port. A handler, unlike a
blocked signal, keeps the signal's time, and child processes don't inherit it.
"""

import signal
import time

__all__ = ["STOP_SIGNALS", "EarlySignals"]

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class EarlySignals:
    """Notes the first stop signal, and ignores the settings signal.

    Attributes:
        requested_at: When the first stop signal came, in seconds of the
            monotonic clock, which is that of the event loop; else None.
    """

    def __init__(self) -> None:
        self.requested_at: float | None = None

    def install(self) -> None:
        """Handle the signals from now on."""
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        for number in STOP_SIGNALS:
            signal.signal(number, self._note)

    def _note(self, *_: object) -> None:
        if self.requested_at is None:
            self.requested_at = time.monotonic()
