"""The side of a peer connection that opens it.

A connection is opened when it is first used and then kept. Answers come in
the order of the questions, so that a question whose answer did not come in
time ends the connection.
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

__all__ = ["PeerLinks"]

_log = structlog.get_logger(__name__)


@dataclass(slots=True)
class _Link:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    lock: asyncio.Lock
    node: NodeId


class PeerLinks:
    """Connections to peers, opened when first used.

    Args:
        say_hello: Makes the first message of a connection.
        timeout_s: Longest wait for a connection or an answer.
        tls: Wraps each connection where given.
    """

    def __init__(
        self,
        say_hello: Callable[[], Hello],
        timeout_s: float = 1.0,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._tls = tls
        self._say_hello = say_hello
        self._timeout_s = timeout_s
        self.sent_bytes = 0
        self._links: dict[Address, _Link] = {}
        self._opening: dict[Address, asyncio.Lock] = {}

    async def send(
        self, address: Address, message: Message, node: NodeId | None = None
    ) -> bool:
        """Send a message that has no answer; False when it could not leave.

        Args:
            address: Where the peer listens.
            message: What to send.
            node: Who must be listening there; None for whoever does.
        """
        try:
            async with asyncio.timeout(self._timeout_s):
                link = await self._get(address, node)
                self.sent_bytes += write_frame(link.writer, message)
                await link.writer.drain()
        except (OSError, TimeoutError, FrameError) as error:
            self._drop(address, error)
            return False
        return True

    def post(self, address: Address, frame: bytes) -> bool:
        """Write a message at once; False where nothing of it was written.

        Args:
            address: Where the peer listens.
            frame: The message as it goes over the wire.

        Returns:
            Whether a connection was open and had nothing left to write.
        """
        link = self._links.get(address)
        if link is None or link.writer.is_closing():
            return False
        if link.writer.transport.get_write_buffer_size():
            return False
        link.writer.write(frame)
        self.sent_bytes += len(frame)
        return True

    async def ask(
        self, address: Address, message: Message, node: NodeId | None = None
    ) -> Message | None:
        """Send a message and return its answer; None when none came.

        Args:
            address: Where the peer listens.
            message: What to send.
            node: Who must be listening there; None for whoever does.
        """
        try:
            async with asyncio.timeout(self._timeout_s):
                link = await self._get(address, node)
                answer = await self._exchange(link, message)
        except (OSError, TimeoutError, FrameError) as error:
            _log.debug("peer-unreachable", address=address, error=str(error))
            return None
        return None if isinstance(answer, UnknownMessage) else answer

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
                raise FrameError("closed while waiting for its turn")
            answer = None
            try:
                self.sent_bytes += write_frame(link.writer, message)
                answer = await read_frame(link.reader)
            finally:
                # Without an answer, also when the asking task was cancelled,
                # it may still come: on a kept connection the next question
                # would get it as its own.
                if answer is None:
                    link.writer.close()
            return answer

    async def _get(self, address: Address, node: NodeId | None) -> _Link:
        # Two messages to a new peer at once must not open two connections,
        # of which only one would be known and closed.
        opening = self._opening.setdefault(address, asyncio.Lock())
        async with opening:
            link = self._links.get(address)
            if link is None or link.writer.is_closing():
                link = await self._open(address)
        if node is not None and link.node != node:
            # Another VM has taken over the address of the one that is
            # meant: what is meant for that one must not be taken by this.
            raise FrameError(f"{link.node} listens there, not {node}")
        return link

    async def _open(self, address: Address) -> _Link:
        host, port = split_address(address)
        reader, writer = await asyncio.open_connection(host, port, ssl=self._tls)
        try:
            self.sent_bytes += write_frame(writer, self._say_hello())
            accepted = await read_frame(reader)
            if not isinstance(accepted, Accepted):
                raise FrameError(f"not accepted: {accepted}")
        except BaseException:
            writer.close()
            raise
        link = _Link(reader, writer, asyncio.Lock(), accepted.node)
        self._links[address] = link
        return link

    def _drop(self, address: Address, error: Exception) -> None:
        link = self._links.pop(address, None)
        if link is not None:
            link.writer.close()
        _log.debug("peer-unreachable", address=address, error=str(error))
