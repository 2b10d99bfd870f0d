"""HTTP/1.1 client with a pool of connections.

A caller of the client gets either the whole response or a
:class:`TransportError`: a cut response never looks whole.
"""

import asyncio
import ssl
from collections import deque
from collections.abc import AsyncIterator, Callable
from typing import NoReturn, cast

import h11

from zinniaspool.core.decoding import parse_count
from zinniaspool.core.ids import Address, split_address
from zinniaspool.http.backlog import count_undelivered, measure_unread
from zinniaspool.http.connector import Connector, NotForwardedError
from zinniaspool.http.messages import (
    Headers,
    Request,
    TransportError,
    TransportFailure,
)

__all__ = ["ClientResponse", "HttpClient"]

_MAX_BUFFERED_BYTES = 256 * 1024
"""Bytes of a body that are read before their reader takes them.

A slow reader costs about this much memory. The size is that of one
upstream's socket buffers.
"""
_MAX_IDLE_PER_ADDRESS = 32
"""Idle connections that the pool keeps to one address."""
_MAX_BODY_BYTES = 16 * 1024 * 1024
"""Largest body that is read as a whole."""
_MAX_UNDECLARED_BYTES = 4 * 1024 * 1024
"""The same for a body whose length isn't declared; it may have no end."""
_MAX_UNDECLARED_TOTAL_BYTES = 32 * 1024 * 1024
"""The same for all such bodies that a client reads at a time. Beyond it the
larger ones are given up."""
_MAX_DISCARDED_BYTES = 64 * 1024
"""Largest body that is read only to keep its connection."""
_MAX_INFORMATIONAL = 8
"""Informational responses before a response."""
_MAX_TINY_CHUNKS = 1000
"""Chunks of a body that may be tiny on average. Each one costs as much time as
a large one."""
_TINY_BYTES = 16
"""Size below which a chunk is tiny. No event of a stream is as small."""
_VERSION_PREFIX = b"HTTP/1."
"""What each response begins with."""
_IDLE_S = 20.0
"""Longest idle time after which a connection is used again, in seconds.

It is shorter if the other side sends a short timeout in its ``keep-alive``
header.
"""
_BODILESS_STATUSES = (204, 304)
"""Responses with these statuses have no body."""
_BODILESS_METHODS = frozenset({"GET", "HEAD", "DELETE"})
"""Requests with these methods need no ``content-length`` if they are empty."""
_KEEP_ALIVE_PART = 0.6
"""Part of the other side's keep-alive timeout that the pool makes use of.

A request must arrive well before the other side closes the connection.
"""


class _UndeclaredBodies:
    """The bodies without a declared length that are being read.

    An upstream may send many of them at once that have no end.
    """

    def __init__(self) -> None:
        self._count = self._bytes = 0

    def begin(self) -> None:
        """Count one more body."""
        self._count += 1

    def add(self, size: int) -> None:
        """Count bytes of a body."""
        self._bytes += size

    def end(self, size: int) -> None:
        """Forget a body of some bytes."""
        self._count -= 1
        self._bytes -= size

    def is_too_large(self, size: int) -> bool:
        """Return whether a body is to be given up for the sake of others."""
        is_full = self._bytes > _MAX_UNDECLARED_TOTAL_BYTES
        return is_full and size * self._count >= self._bytes


class ClientResponse:
    """A response whose head has arrived; its body is read as it arrives.

    Attributes:
        status: HTTP status.
        headers: Header fields.
    """

    def __init__(
        self, status: int, headers: Headers, connection: "_ClientConnection"
    ) -> None:
        self.status = status
        self.headers = headers
        self._connection = connection

    async def read(self, max_bytes: int = _MAX_BODY_BYTES) -> bytes:
        """Return the whole body.

        Raises:
            TransportError: The body was cut, or larger than ``max_bytes``.
        """
        declared = self.headers.get("content-length")
        if declared is None:
            return await self._read_undeclared(min(max_bytes, _MAX_UNDECLARED_BYTES))
        if int(declared) > max_bytes:
            self._reject_size()
        parts: list[bytes] = []
        while (data := await self.next_part()) is not None:
            parts.append(data)
        return parts[0] if len(parts) == 1 else b"".join(parts)

    async def _read_undeclared(self, max_bytes: int) -> bytes:
        bodies = self._connection.undeclared_bodies
        parts: list[bytes] = []
        size = 0
        bodies.begin()
        try:
            while (data := await self.next_part()) is not None:
                parts.append(data)
                size += len(data)
                bodies.add(len(data))
                if size > max_bytes or bodies.is_too_large(size):
                    self._reject_size()
        finally:
            bodies.end(size)
        return parts[0] if len(parts) == 1 else b"".join(parts)

    async def discard(self) -> None:
        """Read the rest of the body, or close the connection if it is large.

        Raises:
            TransportError: The body was cut.
        """
        size = 0
        while (data := await self.next_part()) is not None:
            size += len(data)
            if size > _MAX_DISCARDED_BYTES:
                self.abort()
                return

    def _reject_size(self) -> NoReturn:
        self.abort()
        raise TransportError(TransportFailure.MALFORMED, "body too large")

    async def stream(self) -> AsyncIterator[bytes]:
        """Yield the body's parts as they arrive, up to its real end.

        Raises:
            TransportError: The body was cut.
        """
        while (data := await self.next_part()) is not None:
            yield data

    async def next_part(self) -> bytes | None:
        """Return the bytes received so far; None at the body's end.

        Waits if no bytes have been received since the last call.

        Raises:
            TransportError: The body was cut.
        """
        return await self._connection.next_part()

    def measure_unread(self) -> float:
        """Return how long ago the last bytes of it arrived, in seconds.

        A process that is late reads them late. 0 if that isn't known.
        """
        return self._connection.measure_unread()

    @property
    def peer_name(self) -> tuple[str, int] | None:
        """Host and port at the other end of its connection, if known.

        They are another process's than the address that was asked for where
        a connector has found another path.
        """
        return self._connection.peer_name

    async def skip_to_next(self) -> "ClientResponse":
        """Discard this response and wait for the next on the connection.

        An upstream may send one response too many. It arrives where the
        response to the next request is due, and that response follows it.

        Raises:
            TransportError: No further response arrived.
        """
        return await self._connection.skip_response()

    def abort(self) -> None:
        """Close the connection without reading the rest of the response."""
        self._connection.abort()


class HttpClient:
    """Sends requests over pooled connections.

    A connection goes back to the pool only after a whole response. In all
    other cases it is closed, so that a response that comes late, or belongs
    to another request, reaches no caller.

    Args:
        connect_s: Longest wait for a connection.
        tls: If given, each connection uses TLS with this context.
        connector: Opens the connections; None to open each one directly.
        allow_unframed: Accept responses without a length. Such a response is
            whole if the other side closes its connection in order; if the
            connection is reset, the response is cut.

    Attributes:
        opened_connections: Number of attempts to open a connection so far.
        allow_unframed: As above.
        undeclared_bodies: The bodies without a declared length that are being
            read.
    """

    def __init__(
        self,
        connect_s: float = 1.0,
        tls: ssl.SSLContext | None = None,
        connector: Connector | None = None,
        *,
        allow_unframed: bool = False,
    ) -> None:
        self.opened_connections = 0
        self.allow_unframed = allow_unframed
        self._connect_s = connect_s
        self._tls = tls
        self._connector = connector
        if connector is not None:
            connector.on_idle_obsolete.append(self._end_reuse)
        self._reuse_from = 0
        self._idle: dict[Address, deque[_ClientConnection]] = {}
        self._open: set[_ClientConnection] = set()
        self.undeclared_bodies = _UndeclaredBodies()

    async def send(
        self,
        address: Address,
        request: Request,
        timeout_s: float,
        *,
        fresh: bool = False,
        max_idle_s: float = _IDLE_S,
        may_send: Callable[[], bool] | None = None,
    ) -> ClientResponse:
        """Send a request and wait for the response's head.

        Args:
            address: Address of the other side.
            request: The request.
            timeout_s: Longest wait for the head.
            fresh: Use a new connection. The other side may close a pooled
                connection while the request is sent, and then the client
                can't tell whether the request ran.
            max_idle_s: Longest time that a pooled connection may have been
                idle, to make such a close unlikely.
            may_send: Asked once a connection is open, which may take a while.
                If it returns False, nothing is sent.

        Raises:
            TransportError: No head arrived; its failure tells whether any
                byte of the request was sent.
        """
        connection = None if fresh else self._take_idle(address, max_idle_s)
        if connection is None:
            connection = await self._connect(address)
        if may_send is not None and not may_send():
            connection.abort()
            raise TransportError(TransportFailure.NOT_SENT, "withheld")
        loop = asyncio.get_running_loop()
        timer = loop.call_later(timeout_s, connection.time_out)
        try:
            return await connection.exchange(request)
        except BaseException:
            connection.abort()
            raise
        finally:
            timer.cancel()

    async def fetch(
        self, address: Address, request: Request, timeout_s: float
    ) -> tuple[int, bytes]:
        """Send a request and return the response's status and whole body.

        Raises:
            TransportError: The whole response did not arrive in time.
        """
        status, _, body = await self.fetch_with_headers(address, request, timeout_s)
        return status, body

    async def fetch_with_headers(
        self,
        address: Address,
        request: Request,
        timeout_s: float,
        max_bytes: int = _MAX_BODY_BYTES,
    ) -> tuple[int, Headers, bytes]:
        """Send a request; return its response's status, headers and body.

        Args:
            address: Address of the other side.
            request: The request.
            timeout_s: Longest wait for the whole response.
            max_bytes: Largest body.

        Raises:
            TransportError: The whole response did not arrive in time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                response = await self.send(address, request, timeout_s)
                try:
                    body = await response.read(max_bytes)
                    return response.status, response.headers, body
                except asyncio.CancelledError:
                    response.abort()
                    raise
        except TimeoutError:
            raise TransportError(TransportFailure.TIMED_OUT) from None

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.abort()
        self._idle.clear()

    def _end_reuse(self) -> None:
        """Use no connection again that is open now, also busy ones."""
        self._reuse_from = self.opened_connections
        self.close()

    def close_idle_connections(self, address: Address) -> None:
        """Close the idle connections to an address.

        Needed when another process has taken over the address: a connection
        to the former process looks open until it is used, and the client
        then can't tell whether the request that it sent there ran.
        """
        for connection in self._idle.pop(address, ()):
            connection.abort()

    def abort_undelivered(self, address: Address) -> int:
        """Give up the requests to an address that have not arrived there.

        The network may hold them back and deliver them much later.

        Returns:
            The number of these requests. Each fails as one that may have run.
        """
        undelivered = [
            connection
            for connection in self._open
            if connection.address == address and connection.is_undelivered
        ]
        for connection in undelivered:
            connection.give_up()
        return len(undelivered)

    def return_connection(self, connection: "_ClientConnection") -> None:
        """Put a connection back into the pool after a whole response."""
        idle = self._idle.setdefault(connection.address, deque())
        is_obsolete = connection.number <= self._reuse_from
        if is_obsolete or len(idle) >= _MAX_IDLE_PER_ADDRESS:
            connection.abort()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        idle.append(connection)

    def add_connection(self, connection: "_ClientConnection") -> None:
        """Track a connection that is open."""
        self._open.add(connection)

    def remove_connection(self, connection: "_ClientConnection") -> None:
        """Remove a closed connection from the pool."""
        self._open.discard(connection)
        idle = self._idle.get(connection.address)
        if idle is not None and connection in idle:
            idle.remove(connection)

    def _take_idle(
        self, address: Address, max_idle_s: float
    ) -> "_ClientConnection | None":
        idle = self._idle.get(address)
        now = asyncio.get_running_loop().time()
        while idle:
            connection = idle.pop()
            idle_s = now - connection.idle_since
            if connection.open and idle_s < min(max_idle_s, connection.max_idle_s):
                return connection
            connection.abort()
        return None

    async def _connect(self, address: Address) -> "_ClientConnection":
        self.opened_connections += 1
        try:
            if self._connector is None:
                return await self._connect_directly(address)
            return await self._connector.connect(
                lambda: _ClientConnection(self, address), address, self._connect_s
            )
        except (OSError, TimeoutError) as error:
            raise TransportError(TransportFailure.NOT_SENT, str(error)) from error

    async def _connect_directly(self, address: Address) -> "_ClientConnection":
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(self._connect_s):
            _, protocol = await loop.create_connection(
                lambda: _ClientConnection(self, address),
                host,
                port,
                ssl=self._tls,
                server_hostname=host if self._tls else None,
            )
        return protocol


class _ClientConnection(asyncio.Protocol):
    """One connection to an address, with one request at a time.

    h11 parses and frames the messages; this class reads, writes and
    buffers.

    Attributes:
        address: Address of the other side.
        number: Number of connections that the client had begun to open.
        idle_since: When the last whole response ended, by the loop's clock.
        max_idle_s: Longest idle time after which the connection is used
            again; the last response's ``keep-alive`` header may shorten it.
        peer_name: Host and port at its other end; None before it is open.
    """

    def __init__(self, client: HttpClient, address: Address) -> None:
        self.address = address
        self.number = client.opened_connections
        self.idle_since = 0.0
        self.max_idle_s = _IDLE_S
        self.peer_name: tuple[str, int] | None = None
        self._request: Request | None = None
        self._client = client
        self._h11 = h11.Connection(h11.CLIENT)
        self._transport: asyncio.Transport | None = None
        self._head: asyncio.Future[h11.Response] | None = None
        self._body_parts: list[bytes | bytearray] = []
        self._buffered = 0
        self._ended = False
        self._failure: TransportError | None = None
        self._wakeup: asyncio.Future[None] | None = None
        self._in_exchange = False
        self._bodiless = False
        self._prefix = b""
        self._informational = 0
        self._chunks = self._chunk_bytes = 0

    @property
    def open(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    @property
    def undeclared_bodies(self) -> _UndeclaredBodies:
        return self._client.undeclared_bodies

    def measure_unread(self) -> float:
        if self._transport is None:
            return 0.0
        connection = self._transport.get_extra_info("socket")
        return 0.0 if connection is None else measure_unread(connection) or 0.0

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        name = transport.get_extra_info("peername")
        self.peer_name = None if name is None else (name[0], name[1])
        self._client.add_connection(self)

    def data_received(self, data: bytes) -> None:
        if not self._in_exchange:
            # No request is in progress, so this response comes late or
            # belongs to another request.
            self.abort()
            return
        try:
            self._check_prefix(data)
            self._h11.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as error:
            self._fail(TransportError(TransportFailure.MALFORMED, str(error)))
        self._limit_surplus()
        self._wake()

    def eof_received(self) -> bool:
        if not self._in_exchange:
            return False
        try:
            self._h11.receive_data(b"")
            self._read_events()
        except h11.RemoteProtocolError as error:
            self._fail(TransportError(TransportFailure.CUT, str(error)))
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._client.remove_connection(self)
        if self._in_exchange and not self._ended:
            was_sent = self._prefix or not isinstance(exc, NotForwardedError)
            failure = TransportFailure.CUT if was_sent else TransportFailure.NOT_SENT
            self._fail(TransportError(failure, str(exc or "closed")))
        self._wake()

    # Used by the client and by the response.

    async def exchange(self, request: Request) -> ClientResponse:
        if self._transport is None:
            raise TransportError(TransportFailure.NOT_SENT, "closed")
        self._in_exchange = True
        self._ended = False
        self._prefix = b""
        self._informational = 0
        self._chunks = self._chunk_bytes = 0
        self._request = request
        self._bodiless = request.method == "HEAD"
        self._head = asyncio.get_running_loop().create_future()
        self._transport.write(self._encode_request(request))
        return await self._wait_for_head()

    async def skip_response(self) -> ClientResponse:
        size = 0
        while (data := await self._next_data()) is not None:
            size += len(data)
            if size > _MAX_UNDECLARED_BYTES:
                self.abort()
                raise TransportError(TransportFailure.MALFORMED, "body too large")
        if self._transport is None or self._request is None:
            raise TransportError(TransportFailure.CUT, "closed after an extra answer")
        rest = self._h11.trailing_data[0]
        # h11 accepts one response for each request, so a new h11 connection
        # is given the request again; it isn't sent a second time.
        self._h11 = h11.Connection(h11.CLIENT)
        self._encode_request(self._request)
        self._ended = False
        self._prefix = b""
        self._transport.resume_reading()
        self._head = asyncio.get_running_loop().create_future()
        self.data_received(rest)
        return await self._wait_for_head()

    async def _wait_for_head(self) -> ClientResponse:
        assert self._head is not None
        head = await self._head
        headers = Headers.from_raw(head.headers.raw_items())
        self.max_idle_s = _read_keep_alive(headers)
        return ClientResponse(head.status_code, headers, self)

    async def next_part(self) -> bytes | None:
        data = await self._next_data()
        if data is None:
            self._end_exchange()
        return data

    async def _next_data(self) -> bytes | None:
        while not self._body_parts:
            if self._failure is not None:
                raise self._failure
            if self._ended:
                return None
            self._wakeup = asyncio.get_running_loop().create_future()
            await self._wakeup
        data = b"".join(self._body_parts)
        self._body_parts.clear()
        if self._buffered > _MAX_BUFFERED_BYTES and self._transport is not None:
            self._transport.resume_reading()
        self._buffered = 0
        return data

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def time_out(self) -> None:
        self._fail(TransportError(TransportFailure.TIMED_OUT))

    @property
    def is_undelivered(self) -> bool:
        if self._transport is None or self._head is None or self._head.done():
            return False
        return count_undelivered(self._transport) > 0

    def give_up(self) -> None:
        self._fail(TransportError(TransportFailure.CUT, "not delivered"))

    # Sending and reading.

    def _encode_request(self, request: Request) -> bytes:
        fields = list(request.headers.raw())
        if request.headers.get("host") is None:
            fields.insert(0, (b"host", self.address.encode()))
        if request.body or request.method not in _BODILESS_METHODS:
            fields.append((b"content-length", str(len(request.body)).encode()))
        head = h11.Request(method=request.method, target=request.target, headers=fields)
        send = self._h11.send_with_data_passthrough
        parts = list(send(head) or ())
        if request.body:
            parts += send(h11.Data(data=request.body)) or ()
        parts += send(h11.EndOfMessage()) or ()
        return b"".join(parts)

    def _check_prefix(self, data: bytes) -> None:
        """Reject bytes that begin no response.

        h11 parses a head only once all of its lines have arrived.

        Raises:
            h11.RemoteProtocolError: These bytes can't become a response.
        """
        missing = len(_VERSION_PREFIX) - len(self._prefix)
        if missing <= 0:
            return
        self._prefix += data[:missing]
        if not _VERSION_PREFIX.startswith(self._prefix):
            raise h11.RemoteProtocolError("no HTTP/1 response")

    def _limit_surplus(self) -> None:
        """Read no more of what follows a whole response.

        Whoever reads the response finds it there, and ends the connection.
        """
        if not self._ended or self._transport is None:
            return
        if len(self._h11.trailing_data[0]) > _MAX_BUFFERED_BYTES:
            self._transport.pause_reading()

    def _read_events(self) -> None:
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                self._on_head(event)
            elif isinstance(event, h11.InformationalResponse):
                self._informational += 1
                if self._informational > _MAX_INFORMATIONAL:
                    raise h11.RemoteProtocolError("no response follows")
            elif isinstance(event, h11.Data):
                self._add_part(event.data)
                self._check_chunks(len(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._ended = True
                return
            elif isinstance(event, h11.ConnectionClosed):
                return

    def _check_chunks(self, size: int) -> None:
        """Count a chunk.

        Raises:
            h11.RemoteProtocolError: Too many chunks were tiny.
        """
        self._chunks += 1
        self._chunk_bytes += size
        is_tiny = self._chunk_bytes < self._chunks * _TINY_BYTES
        if is_tiny and self._chunks > _MAX_TINY_CHUNKS:
            raise h11.RemoteProtocolError("tiny chunks")

    def _on_head(self, head: h11.Response) -> None:
        assert self._head is not None
        framed = self._client.allow_unframed or _has_length(head)
        if not self._bodiless and not framed:
            # Such a response ends where its connection ends, so that a cut
            # one would look whole.
            self._fail(TransportError(TransportFailure.MALFORMED, "no length"))
        if not self._head.done():
            self._head.set_result(head)

    def _add_part(self, data: bytes | bytearray) -> None:
        self._body_parts.append(data)
        self._buffered += len(data)
        if self._buffered > _MAX_BUFFERED_BYTES and self._transport is not None:
            # Bounds the memory for a slow reader: nothing more is read from
            # the upstream until the reader has taken the buffered bytes.
            self._transport.pause_reading()

    def _end_exchange(self) -> None:
        self._in_exchange = False
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            self.abort()
            return
        if self._h11.trailing_data[0]:
            # More bytes arrived than the response holds: no clean end.
            self.abort()
            return
        self._h11.start_next_cycle()
        if self.open:
            self._client.return_connection(self)

    def _fail(self, error: TransportError) -> None:
        self._failure = self._failure or error
        if self._head is not None and not self._head.done():
            self._head.set_exception(error)
        self.abort()

    def _wake(self) -> None:
        if self._wakeup is not None and not self._wakeup.done():
            self._wakeup.set_result(None)


def _has_length(head: h11.Response) -> bool:
    """Return whether a cut of this response could be told from its end."""
    if head.status_code in _BODILESS_STATUSES:
        return True
    names = {name for name, _ in head.headers}
    return len(names & {b"content-length", b"transfer-encoding"}) == 1


def _read_keep_alive(headers: Headers) -> float:
    """Return how long a connection may be idle before it is used again."""
    keep_alive = headers.get("keep-alive")
    if keep_alive is None:
        return _IDLE_S
    for part in keep_alive.split(","):
        name, _, value = part.strip().partition("=")
        timeout_s = parse_count(value)
        if name.lower() == "timeout" and timeout_s is not None:
            return min(_IDLE_S, timeout_s * _KEEP_ALIVE_PART)
    return _IDLE_S
