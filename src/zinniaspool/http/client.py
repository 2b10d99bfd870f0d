"""HTTP client: pooled connections, whole or visibly cut answers."""

import asyncio
import ssl
from collections import deque
from collections.abc import AsyncIterator
from typing import cast

import h11

from zinniaspool.core.ids import Address, split_address
from zinniaspool.http.messages import (
    Headers,
    Request,
    TransportError,
    TransportFailure,
)

__all__ = ["ClientResponse", "HttpClient"]

_MOST_BUFFERED_BYTES = 256 * 1024
"""Bytes read ahead of a slow caller: one upstream's socket buffers."""
_MOST_IDLE_PER_ADDRESS = 32
"""Idle connections kept to one address; chosen."""
_IDLE_S = 20.0
"""Seconds that an idle connection is kept where the other side names no
time."""
_BODILESS = (204, 304)
_BODILESS_METHODS = frozenset({"GET", "HEAD", "DELETE"})
_IDLE_PART = 0.6
"""Part of the time that the other side keeps an idle connection in which it is
used again: a request must arrive well before the other side closes."""


class ClientResponse:
    """An answer whose head has come and whose body is read as it comes."""

    def __init__(
        self, status: int, headers: Headers, connection: "_ClientConnection"
    ) -> None:
        self.status = status
        self.headers = headers
        self._connection = connection

    async def read(self, most_bytes: int = 16 * 1024 * 1024) -> bytes:
        """Return the whole body.

        Raises:
            TransportError: The body was cut, or larger than ``most_bytes``.
        """
        parts: list[bytes] = []
        size = 0
        while (data := await self.next_part()) is not None:
            parts.append(data)
            size += len(data)
            if size > most_bytes:
                self.abort()
                raise TransportError(TransportFailure.MALFORMED, "body too large")
        return parts[0] if len(parts) == 1 else b"".join(parts)

    async def stream(self) -> AsyncIterator[bytes]:
        """Yield what each read brought, ending only at the body's real end.

        Raises:
            TransportError: The body was cut.
        """
        while (data := await self.next_part()) is not None:
            yield data

    async def next_part(self) -> bytes | None:
        """Return what has come, waiting if nothing has; None at the end.

        Raises:
            TransportError: The body was cut.
        """
        return await self._connection.next_part()

    async def skip(self) -> "ClientResponse":
        """Throw this answer away and wait for the next one.

        An upstream may send one answer too many. It comes where the next
        request's answer is due, and that one comes after it.

        Raises:
            TransportError: No further answer came.
        """
        return await self._connection.skip_answer()

    def abort(self) -> None:
        """Give the answer up and close its connection."""
        self._connection.abort()


class HttpClient:
    """Sends requests over connections that it keeps.

    A connection goes back to the pool only after a whole answer; anything
    else closes it, so that a late or crossed answer has nobody to reach.

    Args:
        connect_s: Longest wait for a connection.
        tls: Wraps each connection where given.
        unframed: Take answers without a length. Such an answer is whole where
            the other side closes its connection in order; a reset cuts it.
    """

    def __init__(
        self,
        connect_s: float = 1.0,
        tls: ssl.SSLContext | None = None,
        *,
        unframed: bool = False,
    ) -> None:
        self.opened = 0
        self.unframed = unframed
        self._connect_s = connect_s
        self._tls = tls
        self._idle: dict[Address, deque[_ClientConnection]] = {}

    async def send(
        self,
        address: Address,
        request: Request,
        timeout_s: float,
        *,
        fresh: bool = False,
        most_idle_s: float = _IDLE_S,
    ) -> ClientResponse:
        """Send a request and wait for the answer's head.

        Args:
            address: Where to.
            request: What.
            timeout_s: Longest wait for the head.
            fresh: Use a new connection. A kept one may be closed by the
                other side as the request leaves, and then nobody can tell
                whether it ran.
            most_idle_s: Longest time that a kept connection may have been
                idle, to make that unlikely.

        Raises:
            TransportError: No head came; its failure says whether any byte
                had left.
        """
        connection = None if fresh else self._take(address, most_idle_s)
        if connection is None:
            connection = await self._connect(address)
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
        """Return an answer's status and whole body.

        Raises:
            TransportError: The answer did not come whole in time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                response = await self.send(address, request, timeout_s)
                try:
                    return response.status, await response.read()
                except asyncio.CancelledError:
                    response.abort()
                    raise
        except TimeoutError:
            raise TransportError(TransportFailure.TIMED_OUT) from None

    def close(self) -> None:
        """Close the idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.abort()
        self._idle.clear()

    def forget(self, address: Address) -> None:
        """Close the idle connections to an address: another process has it.

        One that is kept from before looks open until it is used, and what is
        sent on it may then have run or not, for all that anybody can tell.
        """
        for connection in self._idle.pop(address, ()):
            connection.abort()

    def keep(self, connection: "_ClientConnection") -> None:
        """Take back a connection whose answer came whole."""
        idle = self._idle.setdefault(connection.address, deque())
        if len(idle) >= _MOST_IDLE_PER_ADDRESS:
            connection.abort()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        idle.append(connection)

    def drop(self, connection: "_ClientConnection") -> None:
        """Forget a connection that has closed."""
        idle = self._idle.get(connection.address)
        if idle is not None and connection in idle:
            idle.remove(connection)

    def _take(self, address: Address, most_idle_s: float) -> "_ClientConnection | None":
        idle = self._idle.get(address)
        now = asyncio.get_running_loop().time()
        while idle:
            connection = idle.pop()
            idle_s = now - connection.idle_since
            if connection.open and idle_s < min(most_idle_s, connection.most_idle_s):
                return connection
            connection.abort()
        return None

    async def _connect(self, address: Address) -> "_ClientConnection":
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        self.opened += 1
        try:
            async with asyncio.timeout(self._connect_s):
                _, protocol = await loop.create_connection(
                    lambda: _ClientConnection(self, address),
                    host,
                    port,
                    ssl=self._tls,
                    server_hostname=host if self._tls else None,
                )
        except (OSError, TimeoutError) as error:
            raise TransportError(TransportFailure.NOT_SENT, str(error)) from error
        return protocol


class _ClientConnection(asyncio.Protocol):
    """One connection to another side: h11's state, one request at a time."""

    def __init__(self, client: HttpClient, address: Address) -> None:
        self.address = address
        self.idle_since = 0.0
        self.most_idle_s = _IDLE_S
        self._request: Request | None = None
        self._client = client
        self._h11 = h11.Connection(h11.CLIENT)
        self._transport: asyncio.Transport | None = None
        self._head: asyncio.Future[h11.Response] | None = None
        self._parts: list[bytes | bytearray] = []
        self._buffered = 0
        self._ended = False
        self._failure: TransportError | None = None
        self._arrived: asyncio.Future[None] | None = None
        self._in_exchange = False
        self._bodiless = False

    @property
    def open(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        if not self._in_exchange:
            # Bytes that nobody asked for: a late or crossed answer.
            self.abort()
            return
        try:
            self._h11.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as error:
            self._fail(TransportError(TransportFailure.MALFORMED, str(error)))
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
        self._client.drop(self)
        if self._in_exchange and not self._ended:
            self._fail(TransportError(TransportFailure.CUT, str(exc or "closed")))
        self._wake()

    # What the client and the response call.

    async def exchange(self, request: Request) -> ClientResponse:
        if self._transport is None:
            raise TransportError(TransportFailure.NOT_SENT, "closed")
        self._in_exchange = True
        self._ended = False
        self._request = request
        self._bodiless = request.method == "HEAD"
        self._head = asyncio.get_running_loop().create_future()
        self._transport.write(self._frame(request))
        return await self._wait_for_head()

    async def skip_answer(self) -> ClientResponse:
        while await self._next_data() is not None:
            pass
        if self._transport is None or self._request is None:
            raise TransportError(TransportFailure.CUT, "closed after an extra answer")
        rest = self._h11.trailing_data[0]
        # h11 takes one answer a request: to it, the request is sent anew.
        self._h11 = h11.Connection(h11.CLIENT)
        self._frame(self._request)
        self._ended = False
        self._head = asyncio.get_running_loop().create_future()
        self.data_received(rest)
        return await self._wait_for_head()

    async def _wait_for_head(self) -> ClientResponse:
        assert self._head is not None
        head = await self._head
        headers = Headers.received(head.headers.raw_items())
        self.most_idle_s = _read_keep_alive(headers)
        return ClientResponse(head.status_code, headers, self)

    async def next_part(self) -> bytes | None:
        data = await self._next_data()
        if data is None:
            self._release()
        return data

    async def _next_data(self) -> bytes | None:
        while not self._parts:
            if self._failure is not None:
                raise self._failure
            if self._ended:
                return None
            self._arrived = asyncio.get_running_loop().create_future()
            await self._arrived
        data = b"".join(self._parts)
        self._parts.clear()
        if self._buffered > _MOST_BUFFERED_BYTES and self._transport is not None:
            self._transport.resume_reading()
        self._buffered = 0
        return data

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def time_out(self) -> None:
        self._fail(TransportError(TransportFailure.TIMED_OUT))

    # Sending and reading.

    def _frame(self, request: Request) -> bytes:
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

    def _read_events(self) -> None:
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                self._take_head(event)
            elif isinstance(event, h11.Data):
                self._add_part(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._ended = True
                return
            elif isinstance(event, h11.ConnectionClosed):
                return

    def _take_head(self, head: h11.Response) -> None:
        assert self._head is not None
        framed = self._client.unframed or _has_length(head)
        if not self._bodiless and not framed:
            # Such an answer ends with its connection, so that a cut one
            # looks whole.
            self._fail(TransportError(TransportFailure.MALFORMED, "no length"))
        if not self._head.done():
            self._head.set_result(head)

    def _add_part(self, data: bytes | bytearray) -> None:
        self._parts.append(data)
        self._buffered += len(data)
        if self._buffered > _MOST_BUFFERED_BYTES and self._transport is not None:
            # Bounds the memory that a slow caller costs: the upstream is
            # not read further until the caller has taken what is here.
            self._transport.pause_reading()

    def _release(self) -> None:
        self._in_exchange = False
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            self.abort()
            return
        if self._h11.trailing_data[0]:
            # More bytes than the answer's length: not a clean end.
            self.abort()
            return
        self._h11.start_next_cycle()
        if self.open:
            self._client.keep(self)

    def _fail(self, error: TransportError) -> None:
        self._failure = self._failure or error
        if self._head is not None and not self._head.done():
            self._head.set_exception(error)
        self.abort()

    def _wake(self) -> None:
        if self._arrived is not None and not self._arrived.done():
            self._arrived.set_result(None)


def _has_length(head: h11.Response) -> bool:
    """Tell whether an answer's end can be told from a cut."""
    if head.status_code in _BODILESS:
        return True
    names = {name for name, _ in head.headers}
    return len(names & {b"content-length", b"transfer-encoding"}) == 1


def _read_keep_alive(headers: Headers) -> float:
    """Return how long a connection may be idle before it is used again."""
    told = headers.get("keep-alive")
    if told is None:
        return _IDLE_S
    for part in told.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdecimal():
            return min(_IDLE_S, int(value) * _IDLE_PART)
    return _IDLE_S
