"""Writes log lines without ever waiting for whoever reads them.

A pipe that nobody reads fills up, and a process that writes on stands still
with all its callers. So lines wait in a buffer of bounded size; what does not
fit is dropped and counted, lines of single requests first: what a process
believes, and whom it has lost, is what an engineer needs most.
"""

import asyncio
import contextlib
import os
from collections import Counter, deque
from enum import Enum

__all__ = ["LineClass", "LineWriter"]

BUFFERED_BYTES = 256 * 1024
"""Bytes of lines that may wait, some thousand lines."""

RESERVED_BYTES = 64 * 1024
"""Part of them that lines of single requests may not take."""

REQUEST_LINES_PER_S = 250.0
"""Lines about single requests that are written a second, on average. A VM of
half a core gets some 30 requests a second; a line takes about 40 us, so that a
flood costs at most a hundredth of a core."""

BURST_S = 2.0
"""Seconds' worth of lines that may come at once."""

WRITE_BYTES = 64 * 1024
"""Bytes given to the system at a time."""


class LineClass(Enum):
    """What a line is about."""

    BELIEF = "belief"
    """What the process believes, and whom it has lost or found."""

    REQUEST = "request"
    """One request."""


class LineWriter:
    """A bounded buffer of lines before a file descriptor.

    Args:
        descriptor: Where lines go; it is set not to block.
        per_s: Lines of single requests a second.

    Attributes:
        written: Lines given to the system.
        dropped: Lines dropped, by class.
    """

    def __init__(self, descriptor: int, per_s: float = REQUEST_LINES_PER_S) -> None:
        self.written = 0
        self.dropped: Counter[LineClass] = Counter()
        self._descriptor = descriptor
        self._per_s = per_s
        self._left = per_s * BURST_S
        self._filled_at: float | None = None
        self._lines: deque[bytes] = deque()
        self._size = 0
        self._told = 0
        self._waiting = False
        self._scheduled = False
        os.set_blocking(descriptor, False)

    def write(self, line: str, kind: LineClass, now: float) -> None:
        """Take one line, or drop it."""
        data = line.encode("utf-8", "backslashreplace") + b"\n"
        room = BUFFERED_BYTES - self._size
        if kind is LineClass.REQUEST:
            room -= RESERVED_BYTES
            if not self._take_turn(now):
                room = 0
        if len(data) > room:
            self.dropped[kind] += 1
            return
        self._add(data)

    def flush(self) -> None:
        """Give the system what it takes now."""
        self._scheduled = False
        while self._lines:
            part = self._join()
            try:
                sent = os.write(self._descriptor, part)
            except BlockingIOError:
                sent = 0
            except OSError:
                # Nobody will ever read: the lines have nowhere to go.
                self._lines.clear()
                self._size = 0
                return
            self._size -= sent
            if sent < len(part):
                self._lines.appendleft(part[sent:])
                self._wait()
                return
        self._tell_dropped()

    def _add(self, data: bytes) -> None:
        self._lines.append(data)
        self._size += len(data)
        self.written += 1
        if self._waiting or self._scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # Before the loop runs, and after.
            self.flush()
            return
        self._scheduled = True
        loop.call_soon(self.flush)

    def _join(self) -> bytes:
        parts = []
        size = 0
        while self._lines and size < WRITE_BYTES:
            part = self._lines.popleft()
            parts.append(part)
            size += len(part)
        return b"".join(parts)

    def _wait(self) -> None:
        """Go on when the reader has made room."""
        if self._waiting:
            return
        with contextlib.suppress(RuntimeError, OSError, ValueError):
            loop = asyncio.get_running_loop()
            loop.add_writer(self._descriptor, self._go_on)
            self._waiting = True

    def _go_on(self) -> None:
        asyncio.get_running_loop().remove_writer(self._descriptor)
        self._waiting = False
        self.flush()

    def _tell_dropped(self) -> None:
        total = self.dropped.total()
        if total == self._told:
            return
        self._told = total
        counts = " ".join(f"{kind.value}={n}" for kind, n in self.dropped.items())
        self._add(f"level=warning event=log-lines-dropped {counts}\n".encode())

    def _take_turn(self, now: float) -> bool:
        earned = 0.0 if self._filled_at is None else now - self._filled_at
        self._filled_at = now
        most = self._per_s * BURST_S
        self._left = min(most, self._left + max(0.0, earned) * self._per_s)
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True
