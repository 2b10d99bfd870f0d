"""Writes log lines without blocking on the process that reads them.

A pipe that no process reads fills up, and a blocking write to it would stop
the process and all its callers. Lines therefore wait in a buffer of bounded
size. Lines that do not fit are dropped and counted. Lines about single
requests are dropped first, since an engineer most needs the process's view of
the fleet and which instances and VMs it found unreachable.
"""

import asyncio
import contextlib
import os
from collections import Counter, deque
from enum import Enum

__all__ = ["LineClass", "LineWriter"]

MAX_BUFFERED_BYTES = 256 * 1024
"""Bytes of lines that the buffer holds, about a thousand lines."""

RESERVED_BYTES = 64 * 1024
"""Bytes of the buffer that lines about single requests may not use."""

REQUEST_LINES_PER_S = 250.0
"""Average limit of lines about single requests a second. A VM of half a core
gets about 30 requests a second, and a line takes about 40 us, so that a flood
of requests costs at most a hundredth of a core."""

BURST_S = 2.0
"""Length of a burst: this many seconds' worth of lines about single requests
may be written at once."""

MAX_WRITE_BYTES = 64 * 1024
"""Bytes from which no further line is added to one write call."""


class LineClass(Enum):
    """What a line is about; it decides which lines are dropped first."""

    PROCESS = "belief"
    """The process and its view of the fleet: any line that is not about a
    single request."""

    REQUEST = "request"
    """A single request."""


class LineWriter:
    """A bounded buffer of lines in front of a file descriptor.

    Args:
        descriptor: File descriptor to write to; it is set to non-blocking.
        request_lines_per_s: Limit of lines about single requests a second.

    Attributes:
        written: Number of lines accepted into the buffer.
        dropped: Number of lines dropped, by class.
    """

    def __init__(
        self, descriptor: int, request_lines_per_s: float = REQUEST_LINES_PER_S
    ) -> None:
        self.written = 0
        self.dropped: Counter[LineClass] = Counter()
        self._descriptor = descriptor
        self._request_lines_per_s = request_lines_per_s
        self._tokens = request_lines_per_s * BURST_S
        self._refilled_at: float | None = None
        self._lines: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._reported_dropped = 0
        self._is_waiting = False
        self._flush_scheduled = False
        os.set_blocking(descriptor, False)

    def write(self, line: str, line_class: LineClass, now: float) -> None:
        """Add one line to the buffer, or drop and count it.

        Args:
            line: Text without its line end.
            line_class: What the line is about.
            now: Monotonic time in seconds.
        """
        data = line.encode("utf-8", "backslashreplace") + b"\n"
        room = MAX_BUFFERED_BYTES - self._buffered_bytes
        if line_class is LineClass.REQUEST:
            room -= RESERVED_BYTES
            if not self._consume_token(now):
                room = 0
        if len(data) > room:
            self.dropped[line_class] += 1
            return
        self._append(data)

    def flush(self) -> None:
        """Write as many lines as the descriptor accepts now."""
        self._flush_scheduled = False
        while self._lines:
            part = self._join_lines()
            try:
                sent = os.write(self._descriptor, part)
            except BlockingIOError:
                sent = 0
            except OSError:
                # The reader has closed its end; no line can be written.
                self._lines.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= sent
            if sent < len(part):
                self._lines.appendleft(part[sent:])
                self._wait_until_writable()
                return
        self._report_dropped()

    def _append(self, data: bytes) -> None:
        self._lines.append(data)
        self._buffered_bytes += len(data)
        self.written += 1
        if self._is_waiting or self._flush_scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # No event loop runs yet, or it has ended.
            self.flush()
            return
        self._flush_scheduled = True
        loop.call_soon(self.flush)

    def _join_lines(self) -> bytes:
        parts = []
        size = 0
        while self._lines and size < MAX_WRITE_BYTES:
            part = self._lines.popleft()
            parts.append(part)
            size += len(part)
        return b"".join(parts)

    def _wait_until_writable(self) -> None:
        """Continue writing as soon as the descriptor accepts data again."""
        if self._is_waiting:
            return
        with contextlib.suppress(RuntimeError, OSError, ValueError):
            loop = asyncio.get_running_loop()
            loop.add_writer(self._descriptor, self._on_writable)
            self._is_waiting = True

    def _on_writable(self) -> None:
        asyncio.get_running_loop().remove_writer(self._descriptor)
        self._is_waiting = False
        self.flush()

    def _report_dropped(self) -> None:
        total = self.dropped.total()
        if total == self._reported_dropped:
            return
        self._reported_dropped = total
        counts = " ".join(
            f"{line_class.value}={n}" for line_class, n in self.dropped.items()
        )
        self._append(f"level=warning event=log-lines-dropped {counts}\n".encode())

    def _consume_token(self, now: float) -> bool:
        """Use a token for a line about a request; return False without one."""
        elapsed_s = 0.0 if self._refilled_at is None else now - self._refilled_at
        self._refilled_at = now
        max_tokens = self._request_lines_per_s * BURST_S
        self._tokens = min(
            max_tokens, self._tokens + max(0.0, elapsed_s) * self._request_lines_per_s
        )
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
