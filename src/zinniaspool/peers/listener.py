"""The side of a peer connection that accepts it."""

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
from zinniaspool.peers.frames import (
    FrameError,
    UnknownMessage,
    read_frame,
    write_frame,
)

__all__ = ["PeerHandler", "PeerListener"]

_log = structlog.get_logger(__name__)
_HELLO_S = 2.0
"""Seconds that a peer has for its first message."""
_MOST_HELLO_BYTES = 4096
"""Whoever has not shown the secret yet cannot have us keep megabytes."""

PeerHandler = Callable[[Hello, Message], Awaitable[Message | None]]
"""Takes a message of a known peer; a returned message is sent back."""


class PeerListener:
    """Accepts peers' connections and hands on what they say.

    Args:
        node: This process's name.
        accepts: Tells whether a secret that a peer shows is the fleet's.
        handler: Takes each message.
        tls: Wraps each connection where given.
    """

    def __init__(
        self,
        node: NodeId,
        accepts: Callable[[str], bool],
        handler: PeerHandler,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._node = node
        self._accepts = accepts
        self._tls = tls
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, address: Address) -> Address:
        """Start listening and return the address, its port filled in."""
        host, port = split_address(address)
        self._server = await asyncio.start_server(
            self._serve, host, port, ssl=self._tls
        )
        bound = self._server.sockets[0].getsockname()
        return Address(f"{address.rpartition(':')[0]}:{bound[1]}")

    def close(self) -> None:
        """Stop listening and close the connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()

    async def _serve(
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
            # One peer's message must not take the process from the others:
            # its connection alone ends, and the log names the fault.
            _log.exception("peer-handler-failed")
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_messages(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        async with asyncio.timeout(_HELLO_S):
            hello = await read_frame(reader, _MOST_HELLO_BYTES)
        if hello is None:
            return
        if not isinstance(hello, Hello):
            _log.warning("peer-refused", reason="hello")
            return
        if not self._accepts(hello.secret):
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
            answer = await self._handler(hello, message)
            if answer is not None:
                write_frame(writer, answer)
                await writer.drain()
