"""What the kernel has of connections that was not read or delivered yet.

A listener that is opened before the program has loaded accepts connections,
and the kernel keeps what callers send. So it does while a program is late.
Each request is dated by the kernel's record of when its last bytes came.
"""

import asyncio
import fcntl
import socket
import struct
import termios
from typing import Protocol

__all__ = [
    "Backlog",
    "count_undelivered",
    "count_unread",
    "has_other_side_ended",
    "measure_unread",
]

READ_S = 0.05
"""Time after the start within which requests are read that arrived before it,
in seconds."""

_TCP_INFO = struct.Struct("=B51xI72xQ")
"""The state, the milliseconds since data was last received, and the bytes
received, in Linux's ``struct tcp_info``."""

_INT = struct.Struct("=i")

_OPEN_STATES = (1, 8)
"""TCP states in which a request can be answered: established, close-wait."""

_ENDED_STATES = (7, 8)
"""TCP states after the other side's end: closed by a reset, close-wait."""

_MS_PER_S = 1000

_TICK_MS = 10
"""Longest tick of the kernel's clock, in milliseconds. The record may be off
by as much, so that a shorter time is none."""


class _Connection(Protocol):
    def getsockopt(self, level: int, option: int, size: int, /) -> bytes: ...


class Backlog:
    """Dates the requests that arrived before a server began to accept.

    Create it in the turn of the event loop in which the server begins.

    Args:
        opened_at: Time since when callers could connect, in seconds on the
            event loop's clock.

    Attributes:
        is_accepting: Whether connections that are made now were waiting.
    """

    def __init__(self, opened_at: float) -> None:
        self.is_accepting = True
        self._loop = asyncio.get_running_loop()
        self._opened_at = opened_at
        self._ready_at = self._loop.time()
        # asyncio accepts all waiting connections in one turn of its loop, and
        # makes their protocols in the next one.
        self._loop.call_soon(self._loop.call_soon, self._end_accepting)

    def estimate_arrival(self, connection: _Connection) -> float:
        """Return when the request arrived that was just read, in seconds.

        Without the kernel's record, half of the time before the start is the
        average for what was read at once.

        Args:
            connection: A connection that was waiting; its first request.
        """
        now = self._loop.time()
        unread_s = measure_unread(connection)
        if unread_s is not None:
            return max(min(self._opened_at, now), now - unread_s)
        if now - self._ready_at > READ_S:
            return now
        return now - (self._ready_at - self._opened_at) / 2

    def _end_accepting(self) -> None:
        self.is_accepting = False


def measure_unread(connection: _Connection) -> float | None:
    """Return how long ago a connection last received data, in seconds.

    None if the platform doesn't record it; 0 for up to a tick of its clock.
    """
    state, unread_ms, received_bytes = _read_tcp_info(connection)
    # A substitute for the kernel may leave all that it doesn't record at zero.
    is_recorded = state in _OPEN_STATES and received_bytes > 0
    if not is_recorded:
        return None
    return unread_ms / _MS_PER_S if unread_ms > _TICK_MS else 0.0


def count_undelivered(transport: asyncio.WriteTransport) -> int:
    """Return how many bytes the other side has not acknowledged yet.

    Those that the kernel has sent count only if it records them.
    """
    return transport.get_write_buffer_size() + _count_queued(
        transport, termios.TIOCOUTQ
    )


def count_unread(transport: asyncio.BaseTransport) -> int:
    """Return how many received bytes the event loop has not read yet.

    0 if the platform doesn't record them.
    """
    return _count_queued(transport, termios.FIONREAD)


def _count_queued(transport: asyncio.BaseTransport, queue: int) -> int:
    connection = transport.get_extra_info("socket")
    if connection is None:
        return 0
    try:
        count = fcntl.ioctl(connection.fileno(), queue, bytes(_INT.size))
    except (AttributeError, OSError, ValueError):
        # A substitute for the kernel has no such call.
        return 0
    return int(_INT.unpack(count)[0])


def has_other_side_ended(connection: _Connection) -> bool:
    """Return whether the other side has closed, reset or ended its sending.

    The event loop learns of that only in the turn after the one in which it
    reads what was sent before. False if the platform doesn't record it.
    """
    state, _, _ = _read_tcp_info(connection)
    return state in _ENDED_STATES


def _read_tcp_info(connection: _Connection) -> tuple[int, int, int]:
    """Return the fields of ``_TCP_INFO``; zeros if they aren't recorded."""
    try:
        info = connection.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size
        )
    except (AttributeError, OSError):
        return 0, 0, 0
    if len(info) < _TCP_INFO.size:
        return 0, 0, 0
    state, unread_ms, received_bytes = _TCP_INFO.unpack(info)
    return state, unread_ms, received_bytes
