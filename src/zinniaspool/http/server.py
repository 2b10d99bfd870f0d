"""HTTP server: one protocol object a connection, one handler a request."""

import asyncio
import contextlib
import ssl
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol, cast

import h11
import structlog

from zinniaspool.core.ids import Address
from zinniaspool.http.messages import Headers, Request, TransportError, TransportFailure

__all__ = [
    "Exchange",
    "Handler",
    "HttpServer",
    "Refusal",
    "RefusalKind",
    "ServerLimits",
]

_log = structlog.get_logger(__name__)

_STATUS_HEADERS_TOO_LARGE = 431
_CHUNKED = (b"transfer-encoding", b"chunked")


class RefusalKind(Enum):
    """Why a request was refused before a handler saw it."""

    MALFORMED = "malformed"
    HEADERS_TOO_LARGE = "headers-too-large"
    BODY_TOO_LARGE = "body-too-large"
    SLOW = "slow"


@dataclass(frozen=True, slots=True)
class Refusal:
    """The answer to a request that no handler may see."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """What one connection may ask of the server.

    Attributes:
        header_bytes: Largest request line and headers together.
        body_bytes: Largest body.
        receive_s: Longest time from a request's first byte to its last.
        idle_s: Longest time between requests.
        connections: Most connections open at a time.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 1024 * 1024
    receive_s: float = 10.0
    idle_s: float = 60.0
    connections: int = 4096


class Exchange:
    """One request and the means to answer it.

    A handler answers either with :meth:`respond`, or with :meth:`start`,
    any number of :meth:`write` and :meth:`finish`. A handler that returns
    without finishing has its connection cut, so that the other side can
    tell a cut answer from a whole one.
    """

    def __init__(self, request: Request, connection: "_Connection") -> None:
        self.request = request
        self._connection = connection
        self._chunked = False

    @property
    def started(self) -> bool:
        """Whether any part of the answer has left."""
        return self._connection.answering

    @property
    def peer(self) -> str:
        """The other side's address."""
        return self._connection.peer

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        fields = [*headers.raw(), (b"content-length", str(len(body)).encode())]
        self._connection.send_all(
            h11.Response(status_code=status, headers=fields),
            h11.Data(data=body) if body else None,
            h11.EndOfMessage(),
        )

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of a chunked answer."""
        fields = [*headers.raw(), _CHUNKED]
        self._connection.send_all(h11.Response(status_code=status, headers=fields))

    async def write(self, data: bytes) -> None:
        """Send part of the body, waiting while the caller reads slowly.

        Raises:
            TransportError: The connection ended.
        """
        if not data:
            return
        self._connection.send_all(h11.Data(data=data))
        await self._connection.wait_writable()

    async def finish(self) -> None:
        """End a chunked answer."""
        self._connection.send_all(h11.EndOfMessage())

    def abort(self) -> None:
        """Cut the connection at once."""
        self._connection.abort()


Handler = Callable[[Exchange], Awaitable[None]]


class RefuseRequest(Protocol):
    """Makes the answer to a request that no handler may see."""

    def __call__(self, kind: RefusalKind, detail: str) -> Refusal:
        """Return the answer."""
        ...


def _refuse_plainly(kind: RefusalKind, detail: str) -> Refusal:
    status = {
        RefusalKind.MALFORMED: 400,
        RefusalKind.HEADERS_TOO_LARGE: 431,
        RefusalKind.BODY_TOO_LARGE: 413,
        RefusalKind.SLOW: 408,
    }[kind]
    return Refusal(status, Headers.of(content_type="text/plain"), kind.value.encode())


class HttpServer:
    """Listens, and runs a handler for each request.

    Args:
        handler: Answers one request. It is cancelled when the caller's
            connection ends before the answer does.
        limits: What a connection may ask.
        refuse: Makes the answers to requests that break the limits.
        tls: Wraps each connection where given.
    """

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits | None = None,
        refuse: RefuseRequest = _refuse_plainly,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.handler = handler
        self.limits = limits or ServerLimits()
        self.refuse = refuse
        self.draining = False
        self._tls = tls
        self._connections: set[_Connection] = set()
        self._all_closed = asyncio.Event()
        self._all_closed.set()
        self._server: asyncio.Server | None = None

    async def listen(self, address: Address) -> Address:
        """Start listening and return the address, its port filled in.

        Raises:
            OSError: The address cannot be used.
        """
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), host, int(port), ssl=self._tls, backlog=1024
        )
        bound = self._server.sockets[0].getsockname()
        return Address(f"{host}:{bound[1]}")

    async def drain(self, timeout_s: float) -> int:
        """Stop accepting, let requests in progress end, close the rest.

        Returns:
            The number of requests that were cut because they outlasted
            ``timeout_s``.
        """
        self.draining = True
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close_if_idle()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._all_closed.wait()
        cut = sum(connection.busy for connection in self._connections)
        for connection in list(self._connections):
            connection.abort()
        return cut

    def admit(self, connection: "_Connection") -> bool:
        """Count a new connection; False when there are too many."""
        if len(self._connections) >= self.limits.connections:
            return False
        self._connections.add(connection)
        self._all_closed.clear()
        return True

    def forget(self, connection: "_Connection") -> None:
        """Take a closed connection out of the count."""
        self._connections.discard(connection)
        if not self._connections:
            self._all_closed.set()


class _Connection(asyncio.Protocol):
    """One caller's connection: h11's state, one request at a time."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._limits = server.limits
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits.header_bytes
        )
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._head: h11.Request | None = None
        self._body = bytearray()
        self._writable = asyncio.Event()
        self._writable.set()
        self.answering = False
        self.peer = ""

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self.peer = "{}:{}".format(*self._transport.get_extra_info("peername")[:2])
        if not self._server.admit(self):
            self._transport.abort()
            return
        self._start_timer(self._limits.idle_s, self._close_idle)

    def data_received(self, data: bytes) -> None:
        if self._head is None and self._task is None:
            self._start_timer(self._limits.receive_s, self._refuse_slow)
        try:
            self._h11.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as error:
            self._refuse_malformed(error)

    def eof_received(self) -> bool:
        # A caller that has closed its side is taken to be gone: the handler
        # is cancelled so that the upstream stops working for nobody.
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._cancel_timer()
        self._writable.set()
        self._transport = None
        self._server.forget(self)
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    # What an exchange calls.

    @property
    def busy(self) -> bool:
        return self._task is not None

    def send_all(self, *events: h11.Event | None) -> None:
        if self._transport is None or self._transport.is_closing():
            raise TransportError(TransportFailure.CUT, "the caller is gone")
        self.answering = True
        parts = [self._h11.send(event) for event in events if event is not None]
        self._transport.write(b"".join(part for part in parts if part))

    async def wait_writable(self) -> None:
        if not self._writable.is_set():
            await self._writable.wait()
        if self._transport is None:
            raise TransportError(TransportFailure.CUT, "the caller is gone")

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def close_if_idle(self) -> None:
        if self._task is None and self._head is None:
            self._close()

    # Reading.

    def _read_events(self) -> None:
        while self._task is None:
            event = self._h11.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Request):
                self._head = event
            elif isinstance(event, h11.Data):
                self._body += event.data
                if len(self._body) > self._limits.body_bytes:
                    self._refuse(RefusalKind.BODY_TOO_LARGE, "")
                    return
            elif isinstance(event, h11.EndOfMessage):
                self._start_handler()
            elif isinstance(event, h11.ConnectionClosed):
                self._close()
                return

    def _start_handler(self) -> None:
        head = self._head
        assert head is not None
        self._cancel_timer()
        request = Request(
            head.method.decode("ascii"),
            head.target.decode("latin-1"),
            Headers(head.headers),
            bytes(self._body),
        )
        self.answering = False
        self._task = asyncio.get_running_loop().create_task(
            self._run_handler(Exchange(request, self))
        )

    async def _run_handler(self, exchange: Exchange) -> None:
        try:
            await self._server.handler(exchange)
        except TransportError:
            pass
        except Exception:
            # A fault in one request must not end the process, which holds
            # the other callers' requests: it is logged and this connection
            # alone is cut.
            _log.exception("handler-failed", target=exchange.request.path)
        finally:
            self._end_exchange()

    def _end_exchange(self) -> None:
        self._task = None
        self._head = None
        self._body.clear()
        if self._transport is None:
            return
        if self._h11.our_state is not h11.DONE:
            self._transport.abort()
            return
        if self._h11.their_state is not h11.DONE or self._server.draining:
            self._close()
            return
        self._h11.start_next_cycle()
        self._start_timer(self._limits.idle_s, self._close_idle)
        try:
            self._read_events()
        except h11.RemoteProtocolError as error:
            self._refuse_malformed(error)

    # Refusing and closing.

    def _refuse_malformed(self, error: h11.RemoteProtocolError) -> None:
        if self._task is not None:
            # The answer in progress belongs to an earlier, sound request.
            return
        too_large = error.error_status_hint == _STATUS_HEADERS_TOO_LARGE
        kind = RefusalKind.HEADERS_TOO_LARGE if too_large else RefusalKind.MALFORMED
        self._refuse(kind, str(error))

    def _refuse_slow(self) -> None:
        self._refuse(RefusalKind.SLOW, "")

    def _refuse(self, kind: RefusalKind, detail: str) -> None:
        self._cancel_timer()
        _log.info("request-refused", kind=kind.value, peer=self.peer)
        refusal = self._server.refuse(kind, detail)
        fields = [
            *refusal.headers.raw(),
            (b"content-length", str(len(refusal.body)).encode()),
            (b"connection", b"close"),
        ]
        with contextlib.suppress(h11.LocalProtocolError, TransportError):
            self.send_all(
                h11.Response(status_code=refusal.status, headers=fields),
                h11.Data(data=refusal.body),
                h11.EndOfMessage(),
            )
        self._close()

    def _close_idle(self) -> None:
        self._close()

    def _close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def _start_timer(self, seconds: float, act: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = asyncio.get_running_loop().call_later(seconds, act)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
