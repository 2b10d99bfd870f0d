"""Tracks the position of a token stream, so that another upstream can go on.

A VM passes on thousands of tokens a second, so all work here is done once for
each read, however many tokens the read returned.
"""

import math
from enum import Enum

from result import Err, Ok, Result

from zinniaspool.core.decoding import parse_count

__all__ = ["EventCursor", "StreamFault"]

MAX_EVENT_BYTES = 1024 * 1024
"""Largest event, in bytes. An upstream that never ends its event must not fill
the memory."""

SINGLE_PASS_PART = 0.1
"""Part of the reads that are taken to be of one pass each: those with the
fewest events. A pass that reaches the process in two reads is rarer."""

_ID = b"id:"
_LINE_ID = b"\nid:"


class StreamFault(Enum):
    """Why a stream can't be passed on any further."""

    EVENT_TOO_LARGE = "event-too-large"
    NOT_RESUMED = "not-resumed"
    """The upstream didn't continue after the last event passed on."""


class PassCounter:
    """Counts an upstream's passes by the events that were read.

    All passes of an upstream yield about the same number of events. Reads
    aren't passes: a process that is late reads the events of several passes
    at once. So the smaller reads show how many events a pass yields.
    """

    __slots__ = ("_events", "_reads", "_sizes")

    def __init__(self) -> None:
        self._events = self._reads = 0
        self._sizes: dict[int, int] = {}

    def record(self, events: int) -> None:
        """Record a read of whole events."""
        self._events += events
        self._reads += 1
        self._sizes[events] = self._sizes.get(events, 0) + 1

    @property
    def count(self) -> int:
        """How many passes there were."""
        if not self._reads:
            return 0
        smaller_reads, events_per_pass = 0, 1
        for events in sorted(self._sizes):
            smaller_reads += self._sizes[events]
            events_per_pass = events
            if smaller_reads >= SINGLE_PASS_PART * self._reads:
                break
        return math.ceil(self._events / events_per_pass)


class EventCursor:
    """Follows server-sent events whose ids increase.

    Only whole events are passed on. If a part of an event were passed on
    before its upstream failed, the next upstream's bytes would complete it,
    and the caller would read a token made of two.

    Attributes:
        last_id: Id of the last event passed on; None before the first one.
        bytes_without_id: Bytes of whole events since that id.
        passes: Counts the passes that yielded the events.
    """

    __slots__ = ("_resumed", "_tail", "bytes_without_id", "last_id", "passes")

    def __init__(self) -> None:
        self.last_id: int | None = None
        self._tail = b""
        self.bytes_without_id = 0
        self.passes = PassCounter()
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
        self.passes.record(_count_events(whole))
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


def _count_events(events: bytes) -> int:
    count = events.count(b"\n\n")
    return count + events.count(b"\n\r\n") if b"\r" in events else count


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
