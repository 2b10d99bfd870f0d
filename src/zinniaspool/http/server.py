"""HTTP/1.1 server: accepts and counts connections, and drains them.

:mod:`zinniaspool.http.connection` handles the single connection.
"""

import asyncio
import contextlib
import functools
import socket
import ssl
from collections.abc import Iterator

import structlog

from zinniaspool.core.ids import Address, split_address
from zinniaspool.http.backlog import Backlog
from zinniaspool.http.connection import Handler, ServerConnection
from zinniaspool.http.limits import RefusalMaker, ServerLimits, make_plain_refusal

__all__ = ["HttpServer"]

_log = structlog.get_logger(__name__)
_BACKLOG = 1024
"""Connections that may wait to be accepted: enough for a burst of callers."""

_READ_TURNS = 6
"""Turns of the event loop in which a connection that was accepted can be used,
its request is read, and a refusal of it is sent."""

_HANDSHAKE_S = 1.0
"""Time for which a server that stops waits for the TLS handshakes of the last
connections, in seconds. Their callers may be silent."""


class HttpServer:
    """Listens, and runs a handler for each request.

    Args:
        handler: Answers one request. It is cancelled when the caller's
            connection ends before the response does.
        limits: Limits on each connection and on all together.
        make_refusal: Makes the responses to refused requests.
        tls: If given, each connection uses TLS with this context.

    Attributes:
        draining: Whether the server is stopping. Connections then close
            once each request that they have read is answered. Only the last
            response announces it.
        retiring: Whether callers are asked to leave: responses announce that
            their connection closes after them. Connections whose response
            began before don't close without that announcement.
        backlog: Dates requests that arrived before the server began to accept.
    """

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits | None = None,
        make_refusal: RefusalMaker = make_plain_refusal,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.handler = handler
        self.limits = limits or ServerLimits()
        self.make_refusal = make_refusal
        self.draining = self.retiring = False
        self.backlog: Backlog | None = None
        self._tls = tls
        self._buffered = 0
        self._refusing = False
        self._connections: set[ServerConnection] = set()
        self._all_closed = asyncio.Event()
        self._all_closed.set()
        self._server: asyncio.Server | None = None

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    async def listen(
        self,
        address: Address,
        listener: socket.socket | None = None,
        opened_at: float | None = None,
    ) -> Address:
        """Start listening and return the address with its actual port.

        Args:
            address: Host and port; port 0 selects a free one.
            listener: A socket that already listens there.
            opened_at: Time since when it has, in seconds on the event loop's
                clock.

        Raises:
            OSError: The address cannot be used.
        """
        handshake_s = self.limits.receive_s if self._tls else None
        create = functools.partial(
            asyncio.get_running_loop().create_server,
            lambda: ServerConnection(self),
            ssl=self._tls,
            backlog=_BACKLOG,
            ssl_handshake_timeout=handshake_s,
        )
        if listener is not None:
            self._server = await create(sock=listener)
            if opened_at is not None:
                self.backlog = Backlog(opened_at)
        else:
            host, port = split_address(address)
            self._server = await create(host=host, port=port)
        bound = self._server.sockets[0].getsockname()
        return Address(f"{address.rpartition(':')[0]}:{bound[1]}")

    async def drain(self, timeout_s: float, first_request_s: float = 0.0) -> int:
        """Stop accepting, let requests in progress end, and close the rest.

        A request is in progress from its first byte on. What arrives until the
        caller's side sees its connection's end is read and answered.

        Args:
            timeout_s: Time after which requests that have not arrived as a
                whole are refused, and the others are cut, in seconds.
            first_request_s: Time for which connections without a request yet
                stay open, in seconds. Their callers are about to send one,
                and don't expect a new connection to close.

        Returns:
            The number of requests that were cut, also of those whose answers
            had not been sent as a whole.
        """
        self.draining = True
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        ends_at = began_at + timeout_s
        await self._stop_listening(ends_at)
        for connection in list(self._connections):
            if connection.was_used:
                connection.close_if_idle()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(min(ends_at, began_at + first_request_s)):
                await self._all_closed.wait()
        for connection in list(self._connections):
            connection.close_if_idle()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(ends_at):
                await self._all_closed.wait()
        # A late process has not read yet what came before the end.
        for _ in range(_READ_TURNS):
            if not self._connections:
                break
            for connection in list(self._connections):
                connection.close_if_idle()
            await asyncio.sleep(0)
        self.refuse_unreceived()
        cut = sum(connection.log_cut() for connection in self._connections)
        for connection in list(self._connections):
            connection.abort()
        return cut

    async def _stop_listening(self, ends_at: float) -> None:
        """Accept all connections that wait, and close the listening sockets.

        asyncio resets a connection that it accepted in the turn before its
        server is closed, and the kernel resets those that wait to be accepted
        when their socket is closed. So nothing may come between.
        """
        if self._server is None or not self._server.is_serving():
            return
        loop = asyncio.get_running_loop()
        listeners = [listener.dup() for listener in self._server.sockets]
        for listener in self._server.sockets:
            loop.remove_reader(listener)
        for _ in range(_READ_TURNS):
            await asyncio.sleep(0)
        accepted = [one for listener in listeners for one in _accept_all(listener)]
        self._server.close()
        for listener in listeners:
            listener.close()
        connecting = [
            asyncio.create_task(self._connect_accepted(one)) for one in accepted
        ]
        if connecting:
            wait_s = min(_HANDSHAKE_S, max(0.0, ends_at - loop.time()))
            await asyncio.wait(connecting, timeout=wait_s)

    async def _connect_accepted(self, accepted: socket.socket) -> None:
        with contextlib.suppress(OSError):
            await asyncio.get_running_loop().connect_accepted_socket(
                lambda: ServerConnection(self),
                accepted,
                ssl=self._tls,
                ssl_handshake_timeout=self.limits.receive_s if self._tls else None,
            )

    def refuse_unreceived(self) -> None:
        """Refuse the requests that have not arrived as a whole.

        Their callers would get no answer if the server ended now.
        """
        for connection in list(self._connections):
            connection.refuse_if_receiving()

    # Used by a connection.

    def admit(self, connection: ServerConnection) -> bool:
        """Count a new connection; return False if too many are open."""
        if len(self._connections) >= self.limits.connections:
            if not self._refusing:
                _log.warning("connection-refused", open=len(self._connections))
            self._refusing = True
            return False
        self._refusing = False
        self._connections.add(connection)
        self._all_closed.clear()
        return True

    def remove_connection(self, connection: ServerConnection) -> None:
        """Remove a closed connection from the count."""
        self._connections.discard(connection)
        if not self._connections:
            self._all_closed.set()

    def reserve(self, size: int) -> bool:
        """Reserve memory for a body's bytes; return False without room."""
        if self._buffered + size > self.limits.buffered_bytes:
            return False
        self._buffered += size
        return True

    def release(self, size: int) -> None:
        """Release reserved memory."""
        self._buffered -= size


def _accept_all(listener: socket.socket) -> Iterator[socket.socket]:
    """Accept the connections that wait at a non-blocking socket."""
    with contextlib.suppress(OSError):
        while True:
            yield listener.accept()[0]
