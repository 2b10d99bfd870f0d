"""Frames: four bytes of length, then one msgpack message."""

import asyncio
from dataclasses import dataclass
from typing import get_args

import msgspec

from zinniaspool.core.messages import Message

__all__ = [
    "MOST_FRAME_BYTES",
    "FrameError",
    "UnknownMessage",
    "encode_frame",
    "read_frame",
    "write_frame",
]

MOST_FRAME_BYTES = 4 * 1024 * 1024
"""Bytes of one frame, above the largest message."""
_LENGTH_BYTES = 4
"""Bytes of a frame's length."""

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


class _Tagged(msgspec.Struct):
    type: str


_tag_decoder = msgspec.msgpack.Decoder(_Tagged)
_KNOWN_TAGS = frozenset(kind.__struct_config__.tag for kind in get_args(Message))


@dataclass(frozen=True, slots=True)
class UnknownMessage:
    """A whole message of a kind that only a newer version knows."""

    tag: str


class FrameError(Exception):
    """The other side sent what is not a message; the connection must end."""


def encode_frame(message: Message) -> bytes:
    """Return a message as it goes over the wire."""
    body = _encoder.encode(message)
    return len(body).to_bytes(_LENGTH_BYTES, "big") + body


async def read_frame(
    reader: asyncio.StreamReader, most_bytes: int = MOST_FRAME_BYTES
) -> Message | UnknownMessage | None:
    """Return the next message, or None at the stream's end.

    While a fleet is upgraded, its processes run versions side by side. A
    kind of message that came with the newer one must not end the connection
    on which all others travel.

    Raises:
        FrameError: The bytes are not a message of this protocol.
    """
    try:
        head = await reader.readexactly(_LENGTH_BYTES)
        length = int.from_bytes(head, "big")
        if length > most_bytes:
            raise FrameError(f"a frame of {length} bytes")
        body = await reader.readexactly(length)
    except asyncio.IncompleteReadError:
        return None
    try:
        return _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        tag = _find_tag(body)
        if tag is None or tag in _KNOWN_TAGS:
            raise FrameError(str(error)) from error
        return UnknownMessage(tag)


def _find_tag(body: bytes) -> str | None:
    try:
        return _tag_decoder.decode(body).type
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None


def write_frame(writer: asyncio.StreamWriter, message: Message) -> int:
    """Queue a message for sending and return its size in bytes."""
    frame = encode_frame(message)
    writer.write(frame)
    return len(frame)
