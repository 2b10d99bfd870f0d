"""The server's side of one connection: h11's state, a request at a time."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from enum import Enum, auto
from typing import Protocol, cast

import h11
import structlog

from zinniaspool.http.exchange import Exchange
from zinniaspool.http.limits import (
    Refusal,
    RefusalKind,
    RefuseRequest,
    ServerLimits,
)
from zinniaspool.http.messages import Headers, Request, TransportError, TransportFailure

__all__ = ["ConnectionOwner", "Handler", "ServerConnection"]

_log = structlog.get_logger(__name__)

_STATUS_HEADERS_TOO_LARGE = 431
"""HTTP status."""
_VERSION = b"1.1"
_FIELD_OVERHEAD = 4
"""Bytes of a header field beside name and value."""
_ENDED = (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)

Handler = Callable[[Exchange], Awaitable[None]]


class _Phase(Enum):
    IDLE = auto()
    RECEIVING = auto()
    HANDLING = auto()
    CLOSING = auto()


class ConnectionOwner(Protocol):
    """What a connection asks of its server."""

    handler: Handler
    limits: ServerLimits
    refuse: RefuseRequest
    draining: bool

    def admit(self, connection: "ServerConnection") -> bool:
        """Count a new connection; False when there are too many."""
        ...

    def forget(self, connection: "ServerConnection") -> None:
        """Take a closed connection out of the count."""
        ...

    def reserve(self, size: int) -> bool:
        """Count bytes of a body; False when there is no room for them."""
        ...

    def release(self, size: int) -> None:
        """Give room back."""
        ...


class ServerConnection(asyncio.Protocol):
    """One caller's connection.

    Args:
        owner: The server.
    """

    def __init__(self, owner: ConnectionOwner) -> None:
        self.answering = False
        self.peer = ""
        self._owner = owner
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=owner.limits.header_bytes
        )
        self._phase = _Phase.IDLE
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._due = 0.0
        self._act: Callable[[], None] | None = None
        self._head: h11.Request | None = None
        self._fields = Headers()
        self._body: list[bytes | bytearray] = []
        self._reserved = 0
        self._ahead = 0
        self._writable = asyncio.Event()
        self._writable.set()

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin, unless the server has too many connections."""
        self._transport = cast(asyncio.Transport, transport)
        name = self._transport.get_extra_info("peername")
        self.peer = f"{name[0]}:{name[1]}" if name else ""
        if not self._owner.admit(self):
            self._transport.abort()
            return
        self._start_timer(self._owner.limits.idle_s, self._close)

    def data_received(self, data: bytes) -> None:
        """Take what a read brought."""
        if self._phase is _Phase.CLOSING:
            return
        self._h11.receive_data(data)
        if self._phase is _Phase.HANDLING:
            self._bound_ahead(len(data))
            return
        if self._phase is _Phase.IDLE:
            self._begin_receiving()
        self._read_events()

    def eof_received(self) -> bool:
        """Close: a caller that has closed its side is taken to be gone."""
        # The handler is cancelled, so that no upstream works for nobody.
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the handler and give back all that was held."""
        if self._timer is not None:
            self._timer.cancel()
        self._act = None
        self._writable.set()
        self._transport = None
        self._phase = _Phase.CLOSING
        self._release()
        self._owner.forget(self)
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Note that the caller reads more slowly than we write."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Note that there is room again."""
        self._writable.set()

    # What an exchange calls.

    @property
    def leaving(self) -> bool:
        """Whether the connection closes after this answer."""
        return self._owner.draining

    def send_all(self, *events: h11.Event | None) -> None:
        """Send events as one write."""
        if self._transport is None or self._transport.is_closing():
            raise TransportError(TransportFailure.CUT, "the caller is gone")
        self.answering = True
        parts: list[bytes] = []
        for event in events:
            if event is not None:
                parts += self._h11.send_with_data_passthrough(event) or ()
        self._transport.write(b"".join(parts))

    async def wait_writable(self) -> None:
        """Wait while the caller reads slowly."""
        if not self._writable.is_set():
            await self._wait_for_reader()
        if self._transport is None:
            raise TransportError(TransportFailure.CUT, "the caller is gone")

    async def _wait_for_reader(self) -> None:
        try:
            async with asyncio.timeout(self._owner.limits.send_s):
                await self._writable.wait()
        except TimeoutError:
            # A caller that never reads would hold its upstream's slot and
            # this process's memory for as long as it likes.
            self.abort()
            raise TransportError(
                TransportFailure.TIMED_OUT, "the caller does not read"
            ) from None

    def abort(self) -> None:
        """Cut the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    # What the server calls.

    @property
    def busy(self) -> bool:
        """Whether a request is being received or answered."""
        return self._phase in (_Phase.RECEIVING, _Phase.HANDLING)

    def close_if_idle(self) -> None:
        """Close, unless a request has begun to arrive."""
        if self._phase is _Phase.IDLE:
            self._close()

    # Receiving.

    def _begin_receiving(self) -> None:
        # One timer from the first byte to the last: were it started anew by
        # each read, a caller could hold a connection for ever with a byte
        # now and then.
        self._phase = _Phase.RECEIVING
        self._start_timer(self._owner.limits.receive_s, self._refuse_slow)

    def _bound_ahead(self, size: int) -> None:
        """Stop reading once enough of the next requests is here.

        Reading goes on up to there, because only a read tells that the
        caller has left and that the upstream may stop.
        """
        self._ahead += size
        if (
            self._ahead > self._owner.limits.header_bytes
            and self._transport is not None
        ):
            self._transport.pause_reading()

    def _read_events(self) -> None:
        try:
            while self._phase is _Phase.RECEIVING:
                event = self._h11.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                self._take_event(event)
        except h11.RemoteProtocolError as error:
            too_large = error.error_status_hint == _STATUS_HEADERS_TOO_LARGE
            kind = RefusalKind.HEADERS_TOO_LARGE if too_large else RefusalKind.MALFORMED
            self._refuse(kind, str(error))

    def _take_event(self, event: object) -> None:
        if isinstance(event, h11.Request):
            self._take_head(event)
        elif isinstance(event, h11.Data):
            self._take_data(event.data)
        elif isinstance(event, h11.EndOfMessage):
            self._start_handler()
        elif isinstance(event, h11.ConnectionClosed):
            self._close()

    def _take_head(self, head: h11.Request) -> None:
        self._head = head
        self._fields = Headers.received(head.headers.raw_items())
        refused = _find_fault(head, self._fields, self._owner.limits)
        if refused is not None:
            self._refuse(*refused)
            return
        if self._h11.they_are_waiting_for_100_continue:
            self.send_all(h11.InformationalResponse(status_code=100, headers=[]))
            self.answering = False

    def _take_data(self, data: bytes | bytearray) -> None:
        if self._reserved + len(data) > self._owner.limits.body_bytes:
            self._refuse(RefusalKind.BODY_TOO_LARGE, "")
            return
        if not self._owner.reserve(len(data)):
            self._refuse(RefusalKind.BUSY, "")
            return
        self._reserved += len(data)
        self._body.append(data)

    # Answering.

    def _start_handler(self) -> None:
        head = self._head
        assert head is not None
        self._stop_timer()
        self._phase = _Phase.HANDLING
        self.answering = False
        self._ahead = 0
        self._bound_ahead(len(self._h11.trailing_data[0]))
        request = Request(
            head.method.decode("ascii"),
            head.target.decode("latin-1"),
            self._fields,
            b"".join(self._body),
        )
        self._body.clear()
        self._task = self._loop.create_task(self._run_handler(Exchange(request, self)))

    async def _run_handler(self, exchange: Exchange) -> None:
        try:
            await self._owner.handler(exchange)
            # Answers that nobody reads must not pile up: the next request
            # of this connection waits until this answer has left.
            await self.wait_writable()
        except TransportError:
            pass
        except Exception:
            # A fault in one request must not end the process, which holds
            # the other callers' requests.
            _log.exception("handler-failed")
            self._answer_failure()
        finally:
            self._end_exchange()

    def _answer_failure(self) -> None:
        if not self.answering:
            self._send_refusal(self._owner.refuse(RefusalKind.FAILED, ""))

    def _end_exchange(self) -> None:
        self._task = None
        self._head = None
        self._release()
        if self._transport is None or self._transport.is_closing():
            return
        if self._h11.our_state not in _ENDED:
            # The answer is cut: a clean end would make it look whole.
            self._transport.abort()
            return
        if self._h11.our_state is not h11.DONE or self._owner.draining:
            self._close()
            return
        if self._h11.their_state is not h11.DONE:
            self._close()
            return
        self._begin_next()

    def _begin_next(self) -> None:
        self._h11.start_next_cycle()
        if self._transport is not None:
            self._transport.resume_reading()
        if not self._h11.trailing_data[0]:
            self._phase = _Phase.IDLE
            self._start_timer(self._owner.limits.idle_s, self._close)
            return
        self._begin_receiving()
        self._read_events()

    def _release(self) -> None:
        self._owner.release(self._reserved)
        self._reserved = 0
        self._body.clear()

    # Refusing and closing.

    def _refuse_slow(self) -> None:
        self._refuse(RefusalKind.SLOW, "")

    def _refuse(self, kind: RefusalKind, detail: str) -> None:
        _log.info("request-refused", kind=kind.value, peer=self.peer)
        self._send_refusal(self._owner.refuse(kind, detail))
        self._release()
        self._linger()

    def _send_refusal(self, refusal: Refusal) -> None:
        fields = [
            *refusal.headers.raw(),
            (b"content-length", str(len(refusal.body)).encode()),
            (b"connection", b"close"),
        ]
        bodiless = self._head is not None and self._head.method == b"HEAD"
        with contextlib.suppress(h11.LocalProtocolError, TransportError):
            self.send_all(
                h11.Response(status_code=refusal.status, headers=fields),
                None if bodiless else h11.Data(data=refusal.body),
                h11.EndOfMessage(),
            )

    def _linger(self) -> None:
        """Throw away the rest of a refused request, then close.

        A connection that is closed with unread bytes is reset, and a reset
        can overtake the answer: the caller would not learn why.
        """
        if self._transport is None:
            return
        self._phase = _Phase.CLOSING
        if not self._transport.can_write_eof():
            self._close()
            return
        self._transport.write_eof()
        self._start_timer(self._owner.limits.linger_s, self.abort)

    def _close(self) -> None:
        self._phase = _Phase.CLOSING
        if self._transport is not None:
            self._transport.close()
            self._start_timer(self._owner.limits.send_s, self.abort)

    def _start_timer(self, seconds: float, act: Callable[[], None]) -> None:
        self._due = self._loop.time() + seconds
        self._act = act
        if self._timer is None:
            self._timer = self._loop.call_at(self._due, self._check_timer)
        elif self._timer.when() > self._due:
            self._timer.cancel()
            self._timer = self._loop.call_at(self._due, self._check_timer)

    def _stop_timer(self) -> None:
        # The loop's timer stays as it is: one that is set and cancelled for
        # each request costs more than one that finds nothing due.
        self._act = None

    def _check_timer(self) -> None:
        self._timer = None
        if self._act is None:
            return
        if self._loop.time() < self._due:
            self._timer = self._loop.call_at(self._due, self._check_timer)
            return
        self._act()


def _find_fault(
    head: h11.Request, fields: Headers, limits: ServerLimits
) -> tuple[RefusalKind, str] | None:
    """Return why a head is refused, or None."""
    if head.http_version != _VERSION:
        # Older callers could not tell a cut stream from a whole one.
        return RefusalKind.MALFORMED, "HTTP/1.1 is needed"
    size = len(head.method) + len(head.target)
    for name, value in fields.raw():
        size += len(name) + len(value) + _FIELD_OVERHEAD
    if size > limits.header_bytes:
        return RefusalKind.HEADERS_TOO_LARGE, ""
    length = fields.get("content-length")
    if length is None:
        return None
    if fields.get("transfer-encoding") is not None:
        # Two framings: another HTTP process on the way may have believed
        # the other one, and taken part of this request for the next.
        return RefusalKind.MALFORMED, "content-length beside transfer-encoding"
    if int(length) > limits.body_bytes:
        return RefusalKind.BODY_TOO_LARGE, ""
    return None
