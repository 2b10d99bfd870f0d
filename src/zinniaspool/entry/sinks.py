"""Destinations of an answer: a caller, or a record for repeats."""

import contextlib
from dataclasses import dataclass
from typing import Protocol

from zinniaspool.core.errors import Fault
from zinniaspool.core.ids import RequestId
from zinniaspool.http import Exchange, Headers, TransportError

__all__ = ["AnswerSink", "CallOutcome", "RecordingSink", "StoredAnswer"]

MAX_STORED_BYTES = 256 * 1024
"""Maximum bytes of an answer's body that is stored for repeats."""
MAX_FORWARDED_BYTES = 3 * 1024 * 1024
"""Maximum bytes of a forwarded answer's body, below the largest frame."""
_OVERHEAD_BYTES = 200
"""Approximate bytes that storing an outcome takes besides its body."""


class AnswerSink(Protocol):
    """Receives one answer, as an exchange with a caller does."""

    @property
    def started(self) -> bool:
        """Whether any part of the answer has been sent."""
        ...

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Receive a whole answer."""
        ...

    async def start(self, status: int, headers: Headers) -> None:
        """Receive the head of an answer whose body follows in parts."""
        ...

    async def write(self, data: bytes) -> None:
        """Receive one part of the body."""
        ...

    async def finish(self) -> None:
        """Receive the end of an answer whose body came in parts."""
        ...


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """A whole answer, with which repeats of its request are answered.

    Attributes:
        status: The HTTP status.
        content_type: The content type; empty if the answer has none.
        body: The whole body; None if it was too large to store.
    """

    status: int
    content_type: str
    body: bytes | None

    async def send(self, sink: AnswerSink, request_id: RequestId) -> None:
        """Send the answer, whose body must have been stored, to a caller."""
        headers = Headers.of(x_request_id=request_id)
        if self.content_type:
            headers.add("content-type", self.content_type)
        assert self.body is not None
        await sink.respond(self.status, headers, self.body)


@dataclass(frozen=True, slots=True)
class CallOutcome:
    """The outcome of a request: its answer or a fault."""

    answer: StoredAnswer | None
    fault: Fault | None = None

    @property
    def size(self) -> int:
        """Number of bytes that storing the outcome takes."""
        body = self.answer.body if self.answer is not None else None
        return _OVERHEAD_BYTES + len(body or b"")


class RecordingSink:
    """Passes an answer on to its caller and records it for repeats.

    The caller may leave while the answer arrives. The request must not run
    again, so the answer is still received to its end and recorded: nothing
    else can be sent to a caller that comes back with the same key.

    Args:
        caller: The exchange with the caller, or None.
        max_bytes: Maximum bytes of a body that is recorded.

    Attributes:
        answer: The answer, once it is whole.
        delivery_started: Whether any part of the answer has been passed on to
            the caller.
    """

    def __init__(
        self, caller: Exchange | None, max_bytes: int = MAX_STORED_BYTES
    ) -> None:
        self.answer: StoredAnswer | None = None
        self.delivery_started = False
        self._caller = caller
        self._most_bytes = max_bytes
        self._status = 0
        self._content_type = ""
        self._body: bytearray | None = bytearray()

    @property
    def started(self) -> bool:
        """Whether any part of the answer has been recorded."""
        return self._status != 0

    def detach_caller(self) -> None:
        """Pass nothing on any more, because the caller has left."""
        self._caller = None

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Record a whole answer and pass it on."""
        self._record_head(status, headers)
        self._record_body(body)
        self.answer = self._make_answer()
        if self._caller is not None:
            self.delivery_started = True
            with contextlib.suppress(TransportError):
                await self._caller.respond(status, headers, body)

    async def start(self, status: int, headers: Headers) -> None:
        """Record the head of an answer and pass it on."""
        self._record_head(status, headers)
        if self._caller is not None:
            self.delivery_started = True
            try:
                await self._caller.start(status, headers)
            except TransportError:
                self._caller = None

    async def write(self, data: bytes) -> None:
        """Record one part of the body and pass it on."""
        self._record_body(data)
        if self._caller is not None:
            try:
                await self._caller.write(data)
            except TransportError:
                self._caller = None

    async def finish(self) -> None:
        """Record that the answer is whole, and end it for the caller."""
        self.answer = self._make_answer()
        if self._caller is not None:
            try:
                await self._caller.finish()
            except TransportError:
                self._caller = None

    def _record_head(self, status: int, headers: Headers) -> None:
        self._status = status
        self._content_type = headers.get("content-type") or ""

    def _record_body(self, data: bytes) -> None:
        if self._body is None:
            return
        if len(self._body) + len(data) > self._most_bytes:
            self._body = None
            return
        self._body += data

    def _make_answer(self) -> StoredAnswer:
        body = None if self._body is None else bytes(self._body)
        return StoredAnswer(self._status, self._content_type, body)
