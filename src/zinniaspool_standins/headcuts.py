"""Answers that end within their head."""

import asyncio
import random
import socket
import struct
from enum import Enum

from zinniaspool.http import Headers

__all__ = ["HeadCut", "HeadEnd", "make_head"]

OPEN_S = 0.3
"""How long a connection is left open after part of a head, in seconds."""

_RESET_AT_CLOSE = struct.pack("ii", 1, 0)
"""Has closing a connection reset it."""


class HeadEnd(Enum):
    """What becomes of the connection after part of a head."""

    END = "end"
    """It ends in order; nothing more is sent."""

    RESET = "reset"
    OPEN = "open"
    """Nothing more comes for a moment, and then it ends."""


class HeadCut:
    """An answer of which only the first bytes of the head are sent.

    Args:
        head: The whole head.
        count: Bytes of it that are sent; negative for a random number.
        end: What becomes of the connection then.
    """

    def __init__(self, head: bytes, count: int, end: HeadEnd) -> None:
        if count < 0:
            count = random.randrange(len(head))
        self._sent = head[: min(count, len(head) - 1)]
        self._end = end

    async def send(self, transport: asyncio.Transport) -> None:
        """Send the bytes, and end the connection."""
        transport.write(self._sent)
        if self._end is HeadEnd.RESET:
            found: socket.socket = transport.get_extra_info("socket")
            found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_CLOSE)
            # What was written comes before the reset.
            await asyncio.sleep(0.01)
            transport.abort()
            return
        if self._end is HeadEnd.OPEN:
            await asyncio.sleep(OPEN_S)
        transport.close()


def make_head(status: int, headers: Headers) -> bytes:
    """Return the bytes of an answer's head."""
    lines = [f"HTTP/1.1 {status} Stand-in".encode()]
    lines += [name + b": " + value for name, value in headers.raw()]
    return b"\r\n".join([*lines, b"", b""])
