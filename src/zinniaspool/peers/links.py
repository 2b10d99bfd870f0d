"""The side of a peer connection that opens it."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from zinniaspool.core.ids import Address
from zinniaspool.core.messages import Accepted, Hello, Message
from zinniaspool.peers.frames import FrameError, read_frame, write_frame

__all__ = ["PeerLinks"]

_log = structlog.get_logger(__name__)


@dataclass(slots=True)
class _Link:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    lock: asyncio.Lock


class PeerLinks:
    """Connections to peers, opened when first used.

    Args:
        say_hello: Makes the first message of a connection.
        timeout_s: Longest wait for a connection or an answer.
    """

    def __init__(self, say_hello: Callable[[], Hello], timeout_s: float = 1.0) -> None:
        self._say_hello = say_hello
        self._timeout_s = timeout_s
        self._links: dict[Address, _Link] = {}

    async def send(self, address: Address, message: Message) -> bool:
        """Send a message that has no answer; False when it could not leave."""
        try:
            async with asyncio.timeout(self._timeout_s):
                link = await self._get(address)
                write_frame(link.writer, message)
                await link.writer.drain()
        except (OSError, TimeoutError, FrameError) as error:
            self._drop(address, error)
            return False
        return True

    async def ask(self, address: Address, message: Message) -> Message | None:
        """Send a message and return its answer; None when none came."""
        try:
            async with asyncio.timeout(self._timeout_s):
                link = await self._get(address)
                async with link.lock:
                    write_frame(link.writer, message)
                    return await read_frame(link.reader)
        except (OSError, TimeoutError, FrameError) as error:
            # The answer may still come: on a kept connection the next
            # question would get it as its own.
            self._drop(address, error)
            return None

    def close(self) -> None:
        """Close all connections."""
        for link in self._links.values():
            link.writer.close()
        self._links.clear()

    async def _get(self, address: Address) -> _Link:
        link = self._links.get(address)
        if link is not None and not link.writer.is_closing():
            return link
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        write_frame(writer, self._say_hello())
        accepted = await read_frame(reader)
        if not isinstance(accepted, Accepted):
            writer.close()
            raise FrameError(f"not accepted: {accepted}")
        link = self._links[address] = _Link(reader, writer, asyncio.Lock())
        return link

    def _drop(self, address: Address, error: Exception) -> None:
        link = self._links.pop(address, None)
        if link is not None:
            link.writer.close()
        _log.debug("peer-unreachable", address=address, error=str(error))
