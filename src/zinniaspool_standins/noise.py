"""Bytes that never become a whole answer, sent until the other side closes."""

import asyncio
from enum import Enum
from typing import Protocol

__all__ = ["Noise", "NoiseKind"]

BLOCK_BYTES = 16 * 1024
MAX_WAITING_BYTES = 256 * 1024
PAUSE_S = 0.002

_OK = b"HTTP/1.1 200 OK\r\n"


class NoiseKind(Enum):
    """What the bytes look like."""

    NO_HEAD = "no-head"
    SLOW_NO_HEAD = "slow-no-head"
    """The same, a byte at a time."""

    HEAD_LINE = "head-line"
    """A header line that doesn't end."""

    HEAD_LINES = "head-lines"
    INFORMATIONAL = "informational"
    """Heads of informational responses."""

    DECLARED_BODY = "declared-body"
    """A body with a declared length that no answer has."""

    CHUNKS = "chunks"
    SMALL_CHUNKS = "small-chunks"
    CHUNK_LINE = "chunk-line"
    """The line with a chunk's size doesn't end."""

    TRAILERS = "trailers"
    """Header lines after the last chunk."""

    UNFRAMED_BODY = "unframed-body"
    REFUSAL = "refusal"
    """A refusal whose body doesn't end."""

    EVENTS = "events"
    """Events without ids."""

    EVENT = "event"
    """An event that doesn't end."""


_CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
_STREAM = b"content-type: text/event-stream\r\n" + _CHUNKED
_CHUNK = b"4000\r\n" + b"x" * BLOCK_BYTES + b"\r\n"
_EVENTS = b"data: x\n\n" * 1000

_NOISE = {
    NoiseKind.NO_HEAD: (b"", b"\x80\x05noise\n" * 1000),
    NoiseKind.SLOW_NO_HEAD: (b"", b"n"),
    NoiseKind.HEAD_LINE: (_OK + b"x-noise: ", b"n" * BLOCK_BYTES),
    NoiseKind.HEAD_LINES: (_OK, b"x-noise: n\r\n" * 1000),
    NoiseKind.INFORMATIONAL: (b"", b"HTTP/1.1 103 Early\r\n\r\n" * 100),
    NoiseKind.DECLARED_BODY: (
        _OK + b"content-length: 99999999999\r\n\r\n",
        b"x" * BLOCK_BYTES,
    ),
    NoiseKind.CHUNKS: (_OK + _CHUNKED, _CHUNK),
    NoiseKind.SMALL_CHUNKS: (_OK + _CHUNKED, b"4\r\nxxxx\r\n" * 1000),
    NoiseKind.CHUNK_LINE: (_OK + _CHUNKED, b"0" * BLOCK_BYTES),
    NoiseKind.TRAILERS: (_OK + _CHUNKED + b"0\r\n", b"x-noise: n\r\n" * 1000),
    NoiseKind.UNFRAMED_BODY: (_OK + b"connection: close\r\n\r\n", b"x" * BLOCK_BYTES),
    NoiseKind.REFUSAL: (
        b"HTTP/1.1 503 No\r\nx-zinniaspool-not-executed: 1\r\n" + _CHUNKED,
        _CHUNK,
    ),
    NoiseKind.EVENTS: (_OK + _STREAM, b"%x\r\n" % len(_EVENTS) + _EVENTS + b"\r\n"),
    NoiseKind.EVENT: (_OK + _STREAM, _CHUNK),
}


class NoiseChannel(Protocol):
    """The connection that the noise is written to."""

    def write(self, data: bytes) -> None:
        """Write bytes, which may wait in a buffer."""

    def get_write_buffer_size(self) -> int:
        """Return how many bytes wait."""

    def is_closing(self) -> bool:
        """Return whether the connection ends."""


class Noise:
    """Noise on one connection.

    Args:
        kind: What it looks like.

    Attributes:
        taken: Bytes that the other side's host has accepted.
    """

    def __init__(self, kind: NoiseKind) -> None:
        self.taken = 0
        self._head, self._block = _NOISE[kind]

    async def send(self, channel: NoiseChannel) -> None:
        """Send noise until the other side closes the connection."""
        channel.write(self._head)
        sent = len(self._head)
        while not channel.is_closing():
            if channel.get_write_buffer_size() < MAX_WAITING_BYTES:
                channel.write(self._block)
                sent += len(self._block)
            self.taken = sent - channel.get_write_buffer_size()
            await asyncio.sleep(PAUSE_S)
