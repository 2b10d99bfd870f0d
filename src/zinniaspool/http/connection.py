"""The server's side of one HTTP connection.

h11 parses and frames the messages. A connection receives one request at a
time, runs the server's handler for it, and enforces the server's limits on
sizes and times.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from enum import Enum, auto
from typing import Protocol, cast

import h11
import structlog

from zinniaspool.http.backlog import (
    Backlog,
    count_unread,
    has_other_side_ended,
    measure_unread,
)
from zinniaspool.http.exchange import Exchange
from zinniaspool.http.limits import (
    Refusal,
    RefusalKind,
    RefusalMaker,
    ServerLimits,
)
from zinniaspool.http.messages import Headers, Request, TransportError, TransportFailure

__all__ = ["ConnectionOwner", "Handler", "ServerConnection"]

_log = structlog.get_logger(__name__)

_STATUS_HEADERS_TOO_LARGE = 431
"""HTTP status that h11 suggests for too many bytes of headers."""
_HTTP_VERSION = b"1.1"
_FIELD_OVERHEAD_BYTES = 4
"""Bytes of a header field besides its name and value."""
_RESPONSE_ENDED = (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)
"""States of h11 after the whole response has been sent."""

Handler = Callable[[Exchange], Awaitable[None]]
"""Answers one request."""


class _Phase(Enum):
    IDLE = auto()
    RECEIVING = auto()
    HANDLING = auto()
    CLOSING = auto()


class ConnectionOwner(Protocol):
    """The server, as its connections use it.

    Attributes:
        handler: Answers each request.
        limits: Limits on each connection and on all together.
        make_refusal: Makes the server's own responses.
        draining: Whether connections close once what they read is answered.
        retiring: Whether responses announce that.
        backlog: Dates requests that arrived before the server began to accept.
    """

    handler: Handler
    limits: ServerLimits
    make_refusal: RefusalMaker
    draining: bool
    retiring: bool
    backlog: Backlog | None

    def admit(self, connection: "ServerConnection") -> bool:
        """Count a new connection; return False if too many are open."""
        ...

    def remove_connection(self, connection: "ServerConnection") -> None:
        """Remove a closed connection from the count."""
        ...

    def reserve(self, size: int) -> bool:
        """Reserve memory for a body's bytes; return False without room."""
        ...

    def release(self, size: int) -> None:
        """Release reserved memory."""
        ...


class ServerConnection(asyncio.Protocol):
    """One caller's connection.

    Args:
        owner: The server.

    Attributes:
        response_started: Whether any part of the response to the current
            request has been sent.
        received_at: When the current request was received, in seconds on the
            event loop's clock.
        unread_s: How long its last bytes lay unread, in seconds.
        peer: The caller's address; empty if it is unknown.
        was_used: Whether any part of a request has arrived.
    """

    def __init__(self, owner: ConnectionOwner) -> None:
        self.response_started = False
        self.received_at = self.unread_s = 0.0
        self.peer = ""
        self.was_used = False
        self._owner = owner
        backlog = owner.backlog
        self._backlog = backlog if backlog and backlog.is_accepting else None
        self._header_bytes = owner.limits.header_bytes
        self._h11 = _make_parser(self._header_bytes)
        self._phase = _Phase.IDLE
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due = 0.0
        self._idle_since = 0.0
        self._on_timer: Callable[[], None] | None = None
        self._head: h11.Request | None = None
        self._fields = Headers()
        self._body_parts: list[bytes | bytearray] = []
        self._reserved = 0
        self._read_ahead = 0
        self._writable = asyncio.Event()
        self._writable.set()

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the idle timer; abort if too many connections are open."""
        self._transport = cast(asyncio.Transport, transport)
        name = self._transport.get_extra_info("peername")
        self.peer = f"{name[0]}:{name[1]}" if name else ""
        if not self._owner.admit(self):
            self._transport.abort()
            return
        self._start_idle_timer()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, or buffer them while a handler runs."""
        if self._phase is _Phase.CLOSING:
            return
        if self._phase is _Phase.IDLE:
            self._begin_receiving()
        self._h11.receive_data(data)
        if self._phase is _Phase.HANDLING:
            self._limit_read_ahead(len(data))
            return
        self._read_events()

    def eof_received(self) -> bool:
        """Close: a caller that has closed its side is taken to have left."""
        # The handler is cancelled, so that no upstream works on a response
        # that no caller reads.
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the handler and release the connection's memory."""
        if self._timer is not None:
            self._timer.cancel()
        self._on_timer = None
        self._writable.set()
        self._transport = None
        self._phase = _Phase.CLOSING
        self._release_body()
        self._owner.remove_connection(self)
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Make writers wait: the caller reads more slowly than they write."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let writers go on: the transport's buffer has room again."""
        self._writable.set()

    # Used by an exchange.

    @property
    def closes_after_response(self) -> bool:
        """Whether it closes after this response: no more has been read."""
        is_ending = self._owner.draining or self._owner.retiring
        return is_ending and not self._h11.trailing_data[0]

    @property
    def has_caller_left(self) -> bool:
        """Whether the caller has closed its connection or its side of it."""
        if self._transport is None or self._transport.is_closing():
            return True
        return has_other_side_ended(self._transport.get_extra_info("socket"))

    def send_events(self, *events: h11.Event | None) -> None:
        """Send events as one write."""
        if self._transport is None or self._transport.is_closing():
            raise TransportError(TransportFailure.CUT, "the caller is gone")
        self.response_started = True
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
            # A caller that never reads would occupy its upstream's slot and
            # this process's memory without limit.
            self.abort()
            raise TransportError(
                TransportFailure.TIMED_OUT, "the caller does not read"
            ) from None

    def abort(self) -> None:
        """Cut the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    # Used by the server.

    @property
    def busy(self) -> bool:
        """Whether a request is being received or answered."""
        return self._phase in (_Phase.RECEIVING, _Phase.HANDLING)

    def log_cut(self) -> bool:
        """Log what is lost if it is cut now; return whether anything is."""
        unsent = 0
        if self._transport is not None:
            unsent = self._transport.get_write_buffer_size()
        if not self.busy and not unsent:
            return False
        _log.warning(
            "connection-cut",
            peer=self.peer,
            phase=self._phase.name.lower(),
            has_head=self._head is not None,
            received=self._reserved,
            unsent=unsent,
        )
        return True

    def refuse_if_receiving(self) -> None:
        """Refuse a request that has not arrived as a whole."""
        if self._phase is _Phase.RECEIVING:
            self._refuse(RefusalKind.LEAVING, "")

    def close_if_idle(self) -> None:
        """Close, unless a request has begun to arrive.

        The caller's side sees the end of the connection at once. If it came a
        turn of the event loop later, what a caller sends meanwhile would be
        reset unread.
        """
        if self._phase is not _Phase.IDLE or self._transport is None:
            return
        if count_unread(self._transport):
            return
        if self._transport.can_write_eof():
            with contextlib.suppress(OSError):
                self._transport.write_eof()
        self._close()

    # Receiving.

    def _begin_receiving(self) -> None:
        # One timer covers the request from its first byte to its last. If
        # each read restarted it, a caller could occupy a connection for ever
        # by sending a byte now and then.
        self._phase = _Phase.RECEIVING
        self.was_used = True
        self._start_timer(self._owner.limits.receive_s, self._refuse_slow)
        self._apply_header_limit()

    def _apply_header_limit(self) -> None:
        """Apply the present limit on headers to the request that begins."""
        header_bytes = self._owner.limits.header_bytes
        if header_bytes == self._header_bytes:
            return
        # h11 takes its limit only at its creation. Nothing of the request has
        # been parsed yet.
        received, _ = self._h11.trailing_data
        self._header_bytes = header_bytes
        self._h11 = _make_parser(header_bytes)
        if received:
            self._h11.receive_data(received)

    def _limit_read_ahead(self, size: int) -> None:
        """Pause reading once enough bytes of further requests are buffered.

        Up to that limit reading goes on, because only a read shows that the
        caller has left and that the upstream may stop.
        """
        self._read_ahead += size
        if (
            self._read_ahead > self._owner.limits.header_bytes
            and self._transport is not None
        ):
            self._transport.pause_reading()

    def _read_events(self) -> None:
        try:
            while self._phase is _Phase.RECEIVING:
                event = self._h11.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                self._on_event(event)
        except h11.RemoteProtocolError as error:
            too_large = error.error_status_hint == _STATUS_HEADERS_TOO_LARGE
            kind = RefusalKind.HEADERS_TOO_LARGE if too_large else RefusalKind.MALFORMED
            self._refuse(kind, str(error))

    def _on_event(self, event: object) -> None:
        if isinstance(event, h11.Request):
            self._on_head(event)
        elif isinstance(event, h11.Data):
            self._on_data(event.data)
        elif isinstance(event, h11.EndOfMessage):
            self._start_handler()
        elif isinstance(event, h11.ConnectionClosed):
            self._close()

    def _on_head(self, head: h11.Request) -> None:
        self._head = head
        self._fields = Headers.from_raw(head.headers.raw_items())
        refusal = _check_head(head, self._fields, self._owner.limits)
        if refusal is not None:
            self._refuse(*refusal)
            return
        if self._h11.they_are_waiting_for_100_continue:
            self.send_events(h11.InformationalResponse(status_code=100, headers=[]))
            self.response_started = False

    def _on_data(self, data: bytes | bytearray) -> None:
        if self._reserved + len(data) > self._owner.limits.body_bytes:
            self._refuse(RefusalKind.BODY_TOO_LARGE, "")
            return
        if not self._owner.reserve(len(data)):
            self._refuse(RefusalKind.BUSY, "")
            return
        self._reserved += len(data)
        self._body_parts.append(data)

    # Running the handler.

    def _start_handler(self) -> None:
        head = self._head
        assert head is not None
        self._stop_timer()
        self._phase = _Phase.HANDLING
        self.received_at = self._estimate_arrival()
        self.unread_s = self._loop.time() - self.received_at
        self.response_started = False
        self._read_ahead = 0
        self._limit_read_ahead(len(self._h11.trailing_data[0]))
        request = Request(
            head.method.decode("ascii"),
            head.target.decode("latin-1"),
            self._fields,
            b"".join(self._body_parts),
        )
        self._body_parts.clear()
        self._task = self._loop.create_task(self._run_handler(Exchange(request, self)))

    def _estimate_arrival(self) -> float:
        """Return when the request arrived that was just read, in seconds.

        A late process reads it late, and its caller's time counts from then.
        """
        now = self._loop.time()
        backlog, self._backlog = self._backlog, None
        if self._transport is None:
            return now
        connection = self._transport.get_extra_info("socket")
        if backlog is not None:
            return backlog.estimate_arrival(connection)
        return now - (measure_unread(connection) or 0.0)

    async def _run_handler(self, exchange: Exchange) -> None:
        try:
            await self._owner.handler(exchange)
            # Responses that the caller doesn't read must not accumulate: the
            # next request of this connection waits until the transport's
            # buffer has room again.
            await self.wait_writable()
        except TransportError:
            pass
        except Exception:
            # A fault in one request must not end the process, which also
            # serves the other callers' requests.
            _log.exception("handler-failed")
            self._send_failure()
        finally:
            self._end_exchange()

    def _send_failure(self) -> None:
        if not self.response_started:
            self._send_refusal(self._owner.make_refusal(RefusalKind.FAILED, ""))

    def _end_exchange(self) -> None:
        self._task = None
        self._head = None
        self._release_body()
        if self._transport is None or self._transport.is_closing():
            return
        if self._h11.our_state not in _RESPONSE_ENDED:
            # The response is cut: a clean end would make it look whole.
            self._transport.abort()
            return
        states = (self._h11.our_state, self._h11.their_state)
        if states != (h11.DONE, h11.DONE):
            self._close()
            return
        self._begin_next()
        if self._owner.draining:
            self.close_if_idle()

    def _begin_next(self) -> None:
        self._h11.start_next_cycle()
        if self._transport is not None:
            self._transport.resume_reading()
        if not self._h11.trailing_data[0]:
            self._phase = _Phase.IDLE
            self._start_idle_timer()
            return
        self._begin_receiving()
        self._read_events()

    def _release_body(self) -> None:
        self._owner.release(self._reserved)
        self._reserved = 0
        self._body_parts.clear()

    # Refusing and closing.

    def _refuse_slow(self) -> None:
        self._refuse(RefusalKind.SLOW, "")

    def _refuse(self, kind: RefusalKind, detail: str) -> None:
        _log.info("request-refused", kind=kind.value, peer=self.peer)
        self._send_refusal(self._owner.make_refusal(kind, detail))
        self._release_body()
        self._linger()

    def _send_refusal(self, refusal: Refusal) -> None:
        fields = [
            *refusal.headers.raw(),
            (b"content-length", str(len(refusal.body)).encode()),
            (b"connection", b"close"),
        ]
        bodiless = self._head is not None and self._head.method == b"HEAD"
        with contextlib.suppress(h11.LocalProtocolError, TransportError):
            self.send_events(
                h11.Response(status_code=refusal.status, headers=fields),
                None if bodiless else h11.Data(data=refusal.body),
                h11.EndOfMessage(),
            )

    def _linger(self) -> None:
        """Discard the rest of a refused request, then close.

        If a connection is closed with unread bytes, it is reset, and the
        reset can overtake the response: the caller would not learn why its
        request was refused.
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

    def _start_idle_timer(self) -> None:
        self._idle_since = self._loop.time()
        self._start_timer(self._owner.limits.idle_s, self._close_if_unused)

    def _close_if_unused(self) -> None:
        """Close, unless the limit on idle time was raised meanwhile."""
        left_s = self._idle_since + self._owner.limits.idle_s - self._loop.time()
        if left_s > 0:
            self._start_timer(left_s, self._close_if_unused)
            return
        self.close_if_idle()

    def _start_timer(self, seconds: float, on_timer: Callable[[], None]) -> None:
        self._timer_due = self._loop.time() + seconds
        self._on_timer = on_timer
        if self._timer is None:
            self._timer = self._loop.call_at(self._timer_due, self._check_timer)
        elif self._timer.when() > self._timer_due:
            self._timer.cancel()
            self._timer = self._loop.call_at(self._timer_due, self._check_timer)

    def _stop_timer(self) -> None:
        # The loop's timer stays set: to set and cancel one for each request
        # costs more than a timer that expires with nothing to do.
        self._on_timer = None

    def _check_timer(self) -> None:
        self._timer = None
        if self._on_timer is None:
            return
        if self._loop.time() < self._timer_due:
            self._timer = self._loop.call_at(self._timer_due, self._check_timer)
            return
        self._on_timer()


def _make_parser(header_bytes: int) -> h11.Connection:
    return h11.Connection(h11.SERVER, max_incomplete_event_size=header_bytes)


def _check_head(
    head: h11.Request, fields: Headers, limits: ServerLimits
) -> tuple[RefusalKind, str] | None:
    """Return why a request is refused by its head, or None."""
    if head.http_version != _HTTP_VERSION:
        # Callers with an older version can't tell a cut stream from a whole
        # one.
        return RefusalKind.MALFORMED, "HTTP/1.1 is needed"
    size = len(head.method) + len(head.target)
    for name, value in fields.raw():
        size += len(name) + len(value) + _FIELD_OVERHEAD_BYTES
    if size > limits.header_bytes:
        return RefusalKind.HEADERS_TOO_LARGE, ""
    length = fields.get("content-length")
    if length is None:
        return None
    if fields.get("transfer-encoding") is not None:
        # The two headers may disagree on the request's end. Another HTTP
        # process on the way may have used the other header, and would take
        # part of this request for the next one.
        return RefusalKind.MALFORMED, "content-length beside transfer-encoding"
    if int(length) > limits.body_bytes:
        return RefusalKind.BODY_TOO_LARGE, ""
    return None
