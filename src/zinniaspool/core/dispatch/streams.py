"""Where a token stream stands, so that another upstream can go on with it.

A node passes on thousands of tokens a second, so all work here is done once
for each read, however many tokens the read brought.
"""

from enum import Enum

from result import Err, Ok, Result

__all__ = ["EventCursor", "StreamFault"]

MOST_EVENT_BYTES = 1024 * 1024
"""Bytes of one event; an upstream without an event's end must not fill
the memory."""
_ID = b"id:"
_LINE_ID = b"\nid:"


class StreamFault(Enum):
    """Why a stream cannot be passed on any further."""

    EVENT_TOO_LARGE = "event-too-large"
    NOT_RESUMED = "not-resumed"
    """The upstream did not go on after the last token passed on."""


class EventCursor:
    """Follows server-sent events whose ids count up by one a token.

    Only whole events are passed on. A part of one would have to be
    completed by bytes of another upstream after a loss, and the caller would
    read a token made of two.
    """

    __slots__ = ("_resumed", "_tail", "last_id")

    def __init__(self) -> None:
        self.last_id: int | None = None
        self._tail = b""
        self._resumed = False

    @property
    def resumable(self) -> bool:
        """Whether another upstream can be asked to go on."""
        return self.last_id is not None

    def resume(self) -> None:
        """Begin reading another upstream's stream after the last id."""
        self._tail = b""
        self._resumed = self.last_id is not None

    def take(self, data: bytes) -> Result[bytes, StreamFault]:
        """Take what a read brought; return the whole events to pass on."""
        if self._tail:
            data = self._tail + data
        end = _find_events_end(data)
        whole, self._tail = data[:end], data[end:]
        if len(self._tail) > MOST_EVENT_BYTES:
            return Err(StreamFault.EVENT_TOO_LARGE)
        if not whole:
            return Ok(whole)
        if self._resumed:
            first = _read_id(whole, _find_first_id(whole))
            if first is not None:
                # An upstream that knows nothing of resuming starts anew, and
                # the caller would read the same tokens twice.
                if first != (self.last_id or 0) + 1:
                    return Err(StreamFault.NOT_RESUMED)
                self._resumed = False
        last = _read_id(whole, _find_last_id(whole))
        if last is not None:
            self.last_id = last
        return Ok(whole)

    def end(self) -> bytes:
        """Return what is left at the stream's real end."""
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
    return int(text) if text.isdigit() else None
