"""Stand-in of a network link between processes, which can be cut.

Run as ``python -m zinniaspool_standins.link --control ADDRESS --carry
LISTEN=TO``, with ``--carry`` as often as there are addresses to reach
through it. ``POST /faults`` at the control address sets the state.
"""

import asyncio
from dataclasses import dataclass
from enum import Enum
from typing import Annotated

import msgspec
import typer

from zinniaspool.core.ids import Address
from zinniaspool.http import Exchange, HttpServer
from zinniaspool_standins.serving import answer_json, run_until_stopped

__all__ = ["Link", "LinkState"]

_READ_BYTES = 64 * 1024


class LinkState(Enum):
    """What the link does with bytes."""

    OPEN = "open"
    SILENT = "silent"
    """Bytes stay in the link; nobody is told."""

    ONE_WAY = "one-way"
    """Requests go through; what answers them stays in the link."""

    CLOSED = "closed"
    """Connections are reset, and new ones too."""


class _Faults(msgspec.Struct, forbid_unknown_fields=True):
    state: LinkState


@dataclass(frozen=True, slots=True)
class Route:
    """One address that the link listens on and where its bytes go."""

    listen: Address
    to: Address


class Link:
    """Carries bytes while it is open."""

    def __init__(self) -> None:
        self.state = LinkState.OPEN
        self._opened = asyncio.Event()
        self._opened.set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._servers: list[asyncio.Server] = []

    async def serve(self, control: Address, routes: list[Route]) -> None:
        """Serve until the process is stopped."""
        for route in routes:
            await self.open_route(route)
        server = HttpServer(self.handle)
        bound = await server.listen(control)
        await run_until_stopped("link", bound)
        self._reset()
        await server.drain(0.0)

    async def open_route(self, route: Route) -> None:
        """Listen on one address."""

        async def carry(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._carry(route.to, reader, writer)

        host, _, port = route.listen.rpartition(":")
        self._servers.append(await asyncio.start_server(carry, host, int(port)))

    async def handle(self, exchange: Exchange) -> None:
        """Answer one call."""
        body = msgspec.json.decode(exchange.request.body, type=_Faults)
        self.switch(body.state)
        await answer_json(exchange, 200, None)

    def switch(self, state: LinkState) -> None:
        """Change what the link does."""
        self.state = state
        if state is LinkState.CLOSED:
            self._reset()
        if state in (LinkState.SILENT, LinkState.ONE_WAY):
            self._opened.clear()
        else:
            self._opened.set()

    def _reset(self) -> None:
        for writer in self._writers:
            writer.transport.abort()

    async def _carry(
        self, to: Address, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            if self.state is LinkState.CLOSED:
                return
            host, _, port = to.rpartition(":")
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
            self._writers.add(far_writer)
            try:
                async with asyncio.TaskGroup() as tasks:
                    tasks.create_task(self._pump(reader, far_writer, answers=False))
                    tasks.create_task(self._pump(far_reader, writer, answers=True))
            finally:
                self._writers.discard(far_writer)
                far_writer.transport.abort()
        except* OSError:
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        answers: bool,
    ) -> None:
        while data := await reader.read(_READ_BYTES):
            while self._holds_back(answers):
                await self._opened.wait()
            writer.write(data)
            await writer.drain()
        # The other direction ends too: a half-closed connection is none.
        raise ConnectionResetError

    def _holds_back(self, answers: bool) -> bool:
        if self.state is LinkState.ONE_WAY:
            return answers
        return self.state is LinkState.SILENT


def _main(
    control: Annotated[str, typer.Option()],
    carry: Annotated[list[str], typer.Option(help="LISTEN=TO")],
) -> None:
    pairs = [one.partition("=") for one in carry]
    routes = [Route(Address(listen), Address(to)) for listen, _, to in pairs]

    async def serve() -> None:
        await Link().serve(Address(control), routes)

    asyncio.run(serve())


if __name__ == "__main__":
    typer.run(_main)
