"""The client side of connections between peers.

A connection is opened when it is first used and then stays open. Responses
arrive in the order of the requests and carry no identifier, so a request
whose response does not arrive in time closes its connection.
"""

import asyncio
import ssl
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from zinniaspool.core.ids import Address, NodeId, split_address
from zinniaspool.core.messages import Accepted, Hello, Message
from zinniaspool.peers.frames import (
    FrameError,
    UnknownMessage,
    read_frame,
    write_frame,
)
from zinniaspool.peers.timeouts import limit_running_time

__all__ = ["PeerLinks"]

_log = structlog.get_logger(__name__)


@dataclass(slots=True)
class _Link:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    lock: asyncio.Lock
    node: NodeId


class PeerLinks:
    """Sends messages to peers over connections that open on first use.

    Attributes:
        sent_bytes: Bytes of all frames written so far.

    Args:
        make_hello: Returns the first message of a connection.
        timeout_s: Longest time in seconds for one call, from opening the
            connection to sending the message or receiving the response. Time
            for which the event loop stands still counts in part only.
        tls: TLS context of the connections; None for plain TCP.
    """

    def __init__(
        self,
        make_hello: Callable[[], Hello],
        timeout_s: float = 1.0,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._tls = tls
        self._make_hello = make_hello
        self._timeout_s = timeout_s
        self.sent_bytes = 0
        self._links: dict[Address, _Link] = {}
        self._open_locks: dict[Address, asyncio.Lock] = {}

    async def send(
        self, address: Address, message: Message, node: NodeId | None = None
    ) -> bool:
        """Send a message that has no response.

        Args:
            address: Address at which the peer listens.
            message: Message to send.
            node: Process that must be listening there; None for any.

        Returns:
            Whether the message was sent; it may still get lost.
        """
        try:
            async with limit_running_time(self._timeout_s):
                link = await self._get_link(address, node)
                self.sent_bytes += write_frame(link.writer, message)
                await link.writer.drain()
        except (OSError, TimeoutError, FrameError) as error:
            self._drop_link(address, error)
            return False
        return True

    def send_nowait(self, address: Address, frame: bytes) -> bool:
        """Write a frame without waiting, if the connection is ready for it.

        Args:
            address: Address at which the peer listens.
            frame: Encoded message.

        Returns:
            Whether the frame was written. False means that nothing of it
            was written, because no connection is open or the connection
            still has data to send.
        """
        link = self._links.get(address)
        if link is None or link.writer.is_closing():
            return False
        if link.writer.transport.get_write_buffer_size():
            return False
        link.writer.write(frame)
        self.sent_bytes += len(frame)
        return True

    async def request(
        self, address: Address, message: Message, node: NodeId | None = None
    ) -> Message | None:
        """Send a message and return the response.

        Args:
            address: Address at which the peer listens.
            message: Message to send.
            node: Process that must be listening there; None for any.

        Returns:
            The response; None if the peer could not be reached, did not
            respond in time, or sent a kind of message that this version
            does not know.
        """
        try:
            async with limit_running_time(self._timeout_s):
                link = await self._get_link(address, node)
                response = await self._exchange(link, message)
        except (OSError, TimeoutError, FrameError) as error:
            _log.debug("peer-unreachable", address=address, error=str(error))
            return None
        return None if isinstance(response, UnknownMessage) else response

    def close(self) -> None:
        """Close all connections."""
        for link in self._links.values():
            link.writer.close()
        self._links.clear()

    async def _exchange(
        self, link: _Link, message: Message
    ) -> Message | UnknownMessage | None:
        async with link.lock:
            if link.writer.is_closing():
                raise FrameError("connection closed while the request was queued")
            response = None
            try:
                self.sent_bytes += write_frame(link.writer, message)
                response = await read_frame(link.reader)
            finally:
                # A response that was not read, also because the calling task
                # was cancelled, may still arrive. On an open connection the
                # next request would take it for its own response.
                if response is None:
                    link.writer.close()
            return response

    async def _get_link(self, address: Address, node: NodeId | None) -> _Link:
        # Two concurrent messages to a new peer must not open two connections:
        # only one connection would be stored and later closed.
        open_lock = self._open_locks.setdefault(address, asyncio.Lock())
        async with open_lock:
            link = self._links.get(address)
            if link is None or link.writer.is_closing():
                link = await self._open_link(address)
        if node is not None and link.node != node:
            # Another VM now has the address of the intended VM, and must not
            # process a message that is meant for the intended VM.
            raise FrameError(f"peer is {link.node}, not {node}")
        return link

    async def _open_link(self, address: Address) -> _Link:
        host, port = split_address(address)
        reader, writer = await asyncio.open_connection(host, port, ssl=self._tls)
        try:
            self.sent_bytes += write_frame(writer, self._make_hello())
            accepted = await read_frame(reader)
            if not isinstance(accepted, Accepted):
                raise FrameError(f"peer did not accept the connection: {accepted}")
        except BaseException:
            writer.close()
            raise
        link = _Link(reader, writer, asyncio.Lock(), accepted.node)
        self._links[address] = link
        return link

    def _drop_link(self, address: Address, error: Exception) -> None:
        link = self._links.pop(address, None)
        if link is not None:
            link.writer.close()
        _log.debug("peer-unreachable", address=address, error=str(error))
