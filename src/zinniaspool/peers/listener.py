"""The server side of connections between peers.

The first message of a connection is a ``Hello`` with the fleet's secret. The
listener accepts or refuses the peer, and passes all later messages to a
handler.
"""

import asyncio
import ssl
from collections.abc import Awaitable, Callable

import structlog

from zinniaspool.core.ids import Address, NodeId, split_address
from zinniaspool.core.messages import (
    OLDEST_PROTOCOL_VERSION,
    PROTOCOL_VERSION,
    Accepted,
    Hello,
    Message,
    Refused,
)
from zinniaspool.core.messages.fleet import TunnelRequest
from zinniaspool.peers.frames import (
    FrameError,
    UnknownMessage,
    read_frame,
    write_frame,
)

__all__ = ["PeerHandler", "PeerListener", "TunnelHandler"]

_log = structlog.get_logger(__name__)
_HELLO_TIMEOUT_S = 2.0
"""Seconds within which a peer must send its first message."""
_MAX_HELLO_BYTES = 4096
"""Largest first message.

A peer that has not sent the secret yet must not make this process buffer
megabytes.
"""

PeerHandler = Callable[[Hello, Message], Awaitable[Message | None]]
"""Handles a message of an accepted peer; its result is the response."""

TunnelHandler = Callable[
    [TunnelRequest, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]
"""Serves a tunnel on the rest of an accepted peer's connection."""


class PeerListener:
    """Accepts connections of peers and passes their messages to a handler.

    Args:
        node: Name of this process.
        check_secret: Returns whether a peer's secret is the fleet's.
        handler: Handles each message.
        tls: TLS context of the connections; None for plain TCP.
        serve_tunnel: Serves tunnels; None if this process serves none.
    """

    def __init__(
        self,
        node: NodeId,
        check_secret: Callable[[str], bool],
        handler: PeerHandler,
        tls: ssl.SSLContext | None = None,
        serve_tunnel: TunnelHandler | None = None,
    ) -> None:
        self._serve_tunnel = serve_tunnel
        self._node = node
        self._check_secret = check_secret
        self._tls = tls
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, address: Address) -> Address:
        """Start listening; return the address with the port that is in use."""
        host, port = split_address(address)
        self._server = await asyncio.start_server(
            self._serve_connection, host, port, ssl=self._tls
        )
        bound = self._server.sockets[0].getsockname()
        return Address(f"{address.rpartition(':')[0]}:{bound[1]}")

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self._serve_messages(reader, writer)
        except (FrameError, ConnectionError, TimeoutError) as error:
            _log.warning("peer-dropped", error=str(error) or type(error).__name__)
        except asyncio.CancelledError:
            pass
        except Exception:
            # A message that the handler fails on must not affect the other
            # peers: only its connection is closed, and the fault is logged.
            _log.exception("peer-handler-failed")
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_messages(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        async with asyncio.timeout(_HELLO_TIMEOUT_S):
            hello = await read_frame(reader, _MAX_HELLO_BYTES)
        if hello is None:
            return
        if not isinstance(hello, Hello):
            _log.warning("peer-refused", reason="hello")
            return
        if not self._check_secret(hello.secret):
            _log.warning("peer-refused", node=hello.node, reason="secret")
            write_frame(writer, Refused("secret"))
            return
        if hello.protocol < OLDEST_PROTOCOL_VERSION:
            _log.warning("peer-refused", node=hello.node, reason="version")
            write_frame(writer, Refused("version"))
            return
        version = min(hello.protocol, PROTOCOL_VERSION)
        write_frame(writer, Accepted(version, self._node))
        while (message := await read_frame(reader)) is not None:
            if isinstance(message, UnknownMessage):
                _log.debug("message-unknown", node=hello.node, tag=message.tag)
                continue
            if isinstance(message, TunnelRequest):
                if self._serve_tunnel is not None:
                    await self._serve_tunnel(message, reader, writer)
                return
            response = await self._handler(hello, message)
            if response is not None:
                write_frame(writer, response)
                await writer.drain()
