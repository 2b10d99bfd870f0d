"""Encoding of messages as frames.

A frame is four bytes of length, big-endian, followed by one msgpack message.
"""

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass
from typing import get_args

import msgspec

from zinniaspool.core.decoding import DECODE_ERRORS
from zinniaspool.core.messages import Message

__all__ = [
    "MAX_FRAME_BYTES",
    "FrameDecoder",
    "FrameError",
    "UnknownMessage",
    "encode_frame",
    "read_frame",
    "write_frame",
]

MAX_FRAME_BYTES = 4 * 1024 * 1024
"""Largest body of a frame; larger than the largest message."""
_LENGTH_PREFIX_BYTES = 4
"""Size of the length that precedes each message."""

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


class _Tagged(msgspec.Struct):
    type: str


_tag_decoder = msgspec.msgpack.Decoder(_Tagged)
_KNOWN_TAGS = frozenset(kind.__struct_config__.tag for kind in get_args(Message))


@dataclass(frozen=True, slots=True)
class UnknownMessage:
    """A complete message of a kind that this version does not know."""

    tag: str


class FrameError(Exception):
    """The peer broke the protocol; the connection must be closed."""


def encode_frame(message: Message) -> bytes:
    """Encode a message as a frame."""
    body = _encoder.encode(message)
    return len(body).to_bytes(_LENGTH_PREFIX_BYTES, "big") + body


async def read_frame(
    reader: asyncio.StreamReader, max_bytes: int = MAX_FRAME_BYTES
) -> Message | UnknownMessage | None:
    """Read the next message; return None at the end of the stream.

    While a fleet is upgraded, its processes run different versions. A kind
    of message that only the newer version knows must not close the
    connection that carries all other messages, so it is returned as an
    :class:`UnknownMessage`.

    Args:
        reader: Stream to read from.
        max_bytes: Largest body that is accepted.

    Raises:
        FrameError: The bytes are not a message of this protocol.
    """
    try:
        prefix = await reader.readexactly(_LENGTH_PREFIX_BYTES)
        length = int.from_bytes(prefix, "big")
        if length > max_bytes:
            raise FrameError(f"frame of {length} bytes is too large")
        body = await reader.readexactly(length)
    except asyncio.IncompleteReadError:
        return None
    return _decode(body)


class FrameDecoder:
    """Decodes messages from bytes as they arrive."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[Message | UnknownMessage]:
        """Yield the messages that are complete with these bytes.

        Raises:
            FrameError: The bytes are not messages of this protocol.
        """
        self._buffer += data
        while len(self._buffer) >= _LENGTH_PREFIX_BYTES:
            length = int.from_bytes(self._buffer[:_LENGTH_PREFIX_BYTES], "big")
            if length > MAX_FRAME_BYTES:
                raise FrameError(f"frame of {length} bytes is too large")
            end = _LENGTH_PREFIX_BYTES + length
            if len(self._buffer) < end:
                return
            body = bytes(self._buffer[_LENGTH_PREFIX_BYTES:end])
            del self._buffer[:end]
            yield _decode(body)


def _decode(body: bytes) -> Message | UnknownMessage:
    try:
        return _decoder.decode(body)
    except DECODE_ERRORS as error:
        tag = _decode_tag(body)
        if tag is None or tag in _KNOWN_TAGS:
            raise FrameError(str(error)) from error
        return UnknownMessage(tag)


def _decode_tag(body: bytes) -> str | None:
    try:
        return _tag_decoder.decode(body).type
    except DECODE_ERRORS:
        return None


def write_frame(writer: asyncio.StreamWriter, message: Message) -> int:
    """Queue a message for sending and return the frame's size in bytes."""
    frame = encode_frame(message)
    writer.write(frame)
    return len(frame)
