"""A relay that does nothing but h11 on both sides, to compare with.

It has the shape of an entry process without what makes it one: no
credentials, limits, routing, retries, checks of answers, deadlines or logs.
It passes the caller's header fields on, as relays do.
"""

import asyncio
from typing import Annotated, cast

import h11
import typer

__all__ = ["main"]

_idle: list["_UpstreamSide"] = []


class _UpstreamSide(asyncio.Protocol):
    def __init__(self) -> None:
        self._h11 = h11.Connection(h11.CLIENT)
        self._transport: asyncio.Transport | None = None
        self._caller: _CallerSide | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def send(self, caller: "_CallerSide", asked: h11.Request, body: bytes) -> None:
        assert self._transport is not None
        self._caller = caller
        head = h11.Request(
            method=asked.method, target=asked.target, headers=list(asked.headers)
        )
        parts = [self._h11.send(head)]
        if body:
            parts.append(self._h11.send(h11.Data(data=body)))
        parts.append(self._h11.send(h11.EndOfMessage()))
        self._transport.write(b"".join(part for part in parts if part))

    def data_received(self, data: bytes) -> None:
        self._h11.receive_data(data)
        out: list[bytes | None] = []
        caller = self._caller
        assert caller is not None
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                break
            if isinstance(event, h11.Response):
                head = h11.Response(
                    status_code=event.status_code, headers=event.headers
                )
                out.append(caller.h11.send(head))
            elif isinstance(event, h11.Data):
                out.append(caller.h11.send(h11.Data(data=bytes(event.data))))
            elif isinstance(event, h11.EndOfMessage):
                out.append(caller.h11.send(h11.EndOfMessage()))
                self._h11.start_next_cycle()
                _idle.append(self)
                caller.write(out)
                caller.begin_next()
                return
        caller.write(out)


class _CallerSide(asyncio.Protocol):
    def __init__(self, upstream: tuple[str, int]) -> None:
        self.h11 = h11.Connection(h11.SERVER)
        self._upstream = upstream
        self._transport: asyncio.Transport | None = None
        self._request: h11.Request | None = None
        self._body = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None

    def write(self, parts: list[bytes | None]) -> None:
        if self._transport is not None:
            self._transport.write(b"".join(part for part in parts if part))

    def begin_next(self) -> None:
        self.h11.start_next_cycle()
        self._read_events()

    def data_received(self, data: bytes) -> None:
        self.h11.receive_data(data)
        self._read_events()

    def _read_events(self) -> None:
        while True:
            event = self.h11.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Request):
                self._request, self._body = event, b""
            elif isinstance(event, h11.Data):
                self._body += event.data
            elif isinstance(event, h11.EndOfMessage):
                asyncio.get_running_loop().create_task(self._relay())
                return
            else:
                return

    async def _relay(self) -> None:
        if _idle:
            upstream = _idle.pop()
        else:
            loop = asyncio.get_running_loop()
            _, upstream = await loop.create_connection(_UpstreamSide, *self._upstream)
        assert self._request is not None
        upstream.send(self, self._request, self._body)


def _run(
    listen: Annotated[str, typer.Option()], upstream: Annotated[str, typer.Option()]
) -> None:
    asyncio.run(_serve(listen, upstream))


async def _serve(listen: str, upstream: str) -> None:
    host, _, port = listen.rpartition(":")
    up_host, _, up_port = upstream.rpartition(":")
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: _CallerSide((up_host, int(up_port))), host, int(port), backlog=1024
    )
    await server.serve_forever()


def main() -> None:
    """Run the program."""
    typer.run(_run)
