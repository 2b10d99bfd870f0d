"""Tracks the position of a token stream, so that another upstream can go on.

A VM passes on thousands of tokens a second, so all work here is done once for
each read, however many tokens the read returned.
"""

from enum import Enum

from result import Err, Ok, Result

from zinniaspool.core.decoding import parse_count

__all__ = ["EventCursor", "StreamFault"]

MAX_EVENT_BYTES = 1024 * 1024
"""Largest event, in bytes. An upstream that never ends its event must not fill
the memory."""

_ID = b"id:"
_LINE_ID = b"\nid:"


class StreamFault(Enum):
    """Why a stream can't be passed on any further."""

    EVENT_TOO_LARGE = "event-too-large"
    NOT_RESUMED = "not-resumed"
    """The upstream didn't continue after the last event passed on."""


class EventCursor:
    """Follows server-sent events whose ids increase.

    Only whole events are passed on. If a part of an event were passed on
    before its upstream failed, the next upstream's bytes would complete it,
    and the caller would read a token made of two.

    Attributes:
        last_id: Id of the last event passed on; None before the first one.
        bytes_without_id: Bytes of whole events since that id.
    """

    __slots__ = ("_resumed", "_tail", "bytes_without_id", "last_id")

    def __init__(self) -> None:
        self.last_id: int | None = None
        self._tail = b""
        self.bytes_without_id = 0
        self._resumed = False

    @property
    def resumable(self) -> bool:
        """Whether another upstream can continue the stream."""
        return self.last_id is not None

    def resume(self) -> None:
        """Prepare to read another upstream's stream after the last id."""
        self._tail = b""
        self.bytes_without_id = 0
        self._resumed = self.last_id is not None

    def feed(self, data: bytes) -> Result[bytes, StreamFault]:
        """Process the bytes of a read; return the whole events to pass on."""
        if self._tail:
            data = self._tail + data
        end = _find_events_end(data)
        whole, self._tail = data[:end], data[end:]
        if len(self._tail) > MAX_EVENT_BYTES:
            return Err(StreamFault.EVENT_TOO_LARGE)
        if not whole:
            return Ok(whole)
        if self._resumed:
            first = _read_id(whole, _find_first_id(whole))
            if first is not None:
                # An upstream that doesn't support resuming starts from the
                # beginning, and the caller would read tokens twice. Another
                # upstream may put several tokens into an event, so the next id
                # is any higher one.
                if first <= (self.last_id or 0):
                    return Err(StreamFault.NOT_RESUMED)
                self._resumed = False
        last = _read_id(whole, _find_last_id(whole))
        if last is None:
            self.bytes_without_id += len(whole)
            return Ok(whole)
        self.last_id = last
        self.bytes_without_id = 0
        return Ok(whole)

    def finish(self) -> bytes:
        """Return the bytes that are left at the end of the stream."""
        tail, self._tail = self._tail, b""
        return tail


def _find_events_end(data: bytes) -> int:
    end = data.rfind(b"\n\n") + 2
    if b"\r" in data:
        end = max(end, data.rfind(b"\n\r\n") + 3)
    return end if end >= len(b"\n\n") + 1 else 0


def _find_first_id(events: bytes) -> int:
    if events.startswith(_ID):
        return len(_ID)
    found = events.find(_LINE_ID)
    return found + len(_LINE_ID) if found >= 0 else -1


def _find_last_id(events: bytes) -> int:
    found = events.rfind(_LINE_ID)
    if found >= 0:
        return found + len(_LINE_ID)
    return len(_ID) if events.startswith(_ID) else -1


def _read_id(events: bytes, start: int) -> int | None:
    if start < 0:
        return None
    text = events[start : events.find(b"\n", start)].strip()
    return parse_count(text.decode("latin-1"))
