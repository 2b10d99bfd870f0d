"""Where an answer goes to."""

import contextlib
from dataclasses import dataclass
from typing import Protocol

from zinniaspool.core.errors import Fault
from zinniaspool.core.ids import RequestId
from zinniaspool.http import Exchange, Headers, TransportError

__all__ = ["AnswerSink", "EndedCall", "KeepingSink", "KeptAnswer"]

MOST_KEPT_BYTES = 256 * 1024
"""Bytes of an answer that is kept for a repeat."""
MOST_FORWARDED_BYTES = 3 * 1024 * 1024
"""Bytes of a forwarded answer, below the largest frame."""
_OVERHEAD_BYTES = 200
"""Bytes counted for what is kept beside a body; estimated."""


class AnswerSink(Protocol):
    """Takes one answer; an exchange with a caller is one."""

    @property
    def started(self) -> bool:
        """Whether any part of the answer has left."""
        ...

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Take a whole answer."""
        ...

    async def start(self, status: int, headers: Headers) -> None:
        """Take the head of an answer that comes in parts."""
        ...

    async def write(self, data: bytes) -> None:
        """Take one part."""
        ...

    async def finish(self) -> None:
        """Take the end of an answer that came in parts."""
        ...


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """A whole answer that repeats of its request are given.

    Attributes:
        status: HTTP status.
        content_type: Empty where the answer names none.
        body: All of it, or None where it was too large to keep.
    """

    status: int
    content_type: str
    body: bytes | None

    async def send(self, sink: AnswerSink, request_id: RequestId) -> None:
        """Give the answer, which must have been kept, to a caller."""
        headers = Headers.of(x_request_id=request_id)
        if self.content_type:
            headers.add("content-type", self.content_type)
        assert self.body is not None
        await sink.respond(self.status, headers, self.body)


@dataclass(frozen=True, slots=True)
class EndedCall:
    """How a request ended: with its answer, or with a fault."""

    answer: KeptAnswer | None
    fault: Fault | None = None

    @property
    def size(self) -> int:
        """Bytes that keeping it takes."""
        body = self.answer.body if self.answer is not None else None
        return _OVERHEAD_BYTES + len(body or b"")


class KeepingSink:
    """Passes an answer on to its caller and keeps it for repeats.

    The caller may go while the answer comes. The request may not be run
    again, so its answer is still taken to the end and kept: it is all that a
    caller who comes back with the same key can be given.

    Args:
        caller: The caller that waits, or None.
        most_bytes: Largest body that is kept.

    Attributes:
        answer: The answer, once it is whole.
        passed_on: Whether the caller has been given any of it.
    """

    def __init__(
        self, caller: Exchange | None, most_bytes: int = MOST_KEPT_BYTES
    ) -> None:
        self.answer: KeptAnswer | None = None
        self.passed_on = False
        self._caller = caller
        self._most_bytes = most_bytes
        self._status = 0
        self._content_type = ""
        self._body: bytearray | None = bytearray()

    @property
    def started(self) -> bool:
        """Whether any part of the answer has left."""
        return self._status != 0

    def leave(self) -> None:
        """Note that the caller is gone."""
        self._caller = None

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Keep a whole answer and pass it on."""
        self._note_head(status, headers)
        self._add(body)
        self.answer = self._make_answer()
        if self._caller is not None:
            self.passed_on = True
            with contextlib.suppress(TransportError):
                await self._caller.respond(status, headers, body)

    async def start(self, status: int, headers: Headers) -> None:
        """Begin to keep an answer that comes in parts, and pass it on."""
        self._note_head(status, headers)
        if self._caller is not None:
            self.passed_on = True
            try:
                await self._caller.start(status, headers)
            except TransportError:
                self._caller = None

    async def write(self, data: bytes) -> None:
        """Keep one part and pass it on."""
        self._add(data)
        if self._caller is not None:
            try:
                await self._caller.write(data)
            except TransportError:
                self._caller = None

    async def finish(self) -> None:
        """Note that the answer is whole."""
        self.answer = self._make_answer()
        if self._caller is not None:
            try:
                await self._caller.finish()
            except TransportError:
                self._caller = None

    def _note_head(self, status: int, headers: Headers) -> None:
        self._status = status
        self._content_type = headers.get("content-type") or ""

    def _add(self, data: bytes) -> None:
        if self._body is None:
            return
        if len(self._body) + len(data) > self._most_bytes:
            self._body = None
            return
        self._body += data

    def _make_answer(self) -> KeptAnswer:
        body = None if self._body is None else bytes(self._body)
        return KeptAnswer(self._status, self._content_type, body)
