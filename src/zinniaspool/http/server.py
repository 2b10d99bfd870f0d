"""HTTP server: listens, counts connections, drains."""

import asyncio
import contextlib
import functools
import socket
import ssl

import structlog

from zinniaspool.core.ids import Address, split_address
from zinniaspool.http.connection import Handler, ServerConnection
from zinniaspool.http.limits import RefuseRequest, ServerLimits, refuse_plainly

__all__ = ["HttpServer"]

_log = structlog.get_logger(__name__)
_BACKLOG = 1024
"""Connections that wait to be accepted: a burst of callers."""


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
        refuse: RefuseRequest = refuse_plainly,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.handler = handler
        self.limits = limits or ServerLimits()
        self.refuse = refuse
        self.draining = False
        self._tls = tls
        self._buffered = 0
        self._full = False
        self._connections: set[ServerConnection] = set()
        self._all_closed = asyncio.Event()
        self._all_closed.set()
        self._server: asyncio.Server | None = None

    @property
    def connections(self) -> int:
        """How many connections are open."""
        return len(self._connections)

    async def listen(
        self, address: Address, listener: socket.socket | None = None
    ) -> Address:
        """Start listening and return the address, its port filled in.

        Args:
            address: Where.
            listener: A socket that listens there already.

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
        else:
            host, port = split_address(address)
            self._server = await create(host=host, port=port)
        bound = self._server.sockets[0].getsockname()
        return Address(f"{address.rpartition(':')[0]}:{bound[1]}")

    async def drain(self, timeout_s: float) -> int:
        """Stop accepting, let requests in progress end, close the rest.

        A request counts as in progress from its first byte on.

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

    # What a connection calls.

    def admit(self, connection: ServerConnection) -> bool:
        """Count a new connection; False when there are too many."""
        if len(self._connections) >= self.limits.connections:
            if not self._full:
                _log.warning("connection-refused", open=len(self._connections))
            self._full = True
            return False
        self._full = False
        self._connections.add(connection)
        self._all_closed.clear()
        return True

    def forget(self, connection: ServerConnection) -> None:
        """Take a closed connection out of the count."""
        self._connections.discard(connection)
        if not self._connections:
            self._all_closed.set()

    def reserve(self, size: int) -> bool:
        """Count bytes of a body; False when there is no room for them."""
        if self._buffered + size > self.limits.buffered_bytes:
            return False
        self._buffered += size
        return True

    def release(self, size: int) -> None:
        """Give room back."""
        self._buffered -= size
