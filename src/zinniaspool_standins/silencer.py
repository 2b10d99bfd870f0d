"""A proxy on loopback that delays, resets, silences or cuts one way."""

import asyncio
import contextlib

import msgspec

from zinniaspool.core.ids import Address, split_address

__all__ = ["LinkFaults", "LinkProxy"]

READ_BYTES = 64 * 1024


class LinkFaults(msgspec.Struct):
    """What the link does wrong.

    Attributes:
        delay_s: Each read is passed on so much later.
        silent: Nothing is passed on, either way; connections stay open.
        deaf: Answers are not passed on; what is sent still arrives.
    """

    delay_s: float = 0.0
    silent: bool = False
    deaf: bool = False


class LinkProxy:
    """Passes connections on to one address.

    Args:
        target: Where to.
    """

    def __init__(self, target: Address) -> None:
        self.faults = LinkFaults()
        self._target = target
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, address: Address) -> None:
        """Begin to pass connections on."""
        host, port = split_address(address)
        self._server = await asyncio.start_server(self._serve, host, port)

    def reset(self) -> None:
        """Reset all connections that are open."""
        for writer in list(self._writers):
            transport = writer.transport
            transport.abort()

    def close(self) -> None:
        """Stop listening and reset what is open."""
        if self._server is not None:
            self._server.close()
        self.reset()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        far: asyncio.StreamWriter | None = None
        try:
            back, far = await asyncio.open_connection(*split_address(self._target))
            self._writers.add(far)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, far, answers=False))
                group.create_task(self._pump(back, writer, answers=True))
        except* (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            for one in (writer, far):
                if one is not None:
                    self._writers.discard(one)
                    one.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        answers: bool,
    ) -> None:
        while data := await reader.read(READ_BYTES):
            faults = self.faults
            if faults.delay_s:
                await asyncio.sleep(faults.delay_s)
            if faults.silent or (faults.deaf and answers):
                continue
            writer.write(data)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.write_eof()
