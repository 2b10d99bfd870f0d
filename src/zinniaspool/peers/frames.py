"""Frames: four bytes of length, then one msgpack message."""

import asyncio

import msgspec

from zinniaspool.core.messages import Message

__all__ = ["MOST_FRAME_BYTES", "FrameError", "read_frame", "write_frame"]

MOST_FRAME_BYTES = 4 * 1024 * 1024
_LENGTH_BYTES = 4

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


class FrameError(Exception):
    """The other side sent what is not a message; the connection must end."""


def encode_frame(message: Message) -> bytes:
    """Return a message as it goes over the wire."""
    body = _encoder.encode(message)
    return len(body).to_bytes(_LENGTH_BYTES, "big") + body


async def read_frame(
    reader: asyncio.StreamReader, most_bytes: int = MOST_FRAME_BYTES
) -> Message | None:
    """Return the next message, or None at the stream's end.

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
        raise FrameError(str(error)) from error


def write_frame(writer: asyncio.StreamWriter, message: Message) -> int:
    """Queue a message for sending and return its size in bytes."""
    frame = encode_frame(message)
    writer.write(frame)
    return len(frame)
