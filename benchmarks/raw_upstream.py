"""An upstream that costs next to nothing, for measuring what is before it.

It takes requests with a content-length and no more than it must look at.
The path says what comes back: ``/plain/BYTES`` answers at once,
``/stream/EVENTS/BYTES/MILLISECONDS`` answers events of so many bytes, one a
write, so long apart, each write holding as many events as a fifth part of
the path says (one without it).
"""

import asyncio
from typing import Annotated, cast

import typer

__all__ = ["main"]

_HEAD_END = b"\r\n\r\n"
_LAST_CHUNK = b"0\r\n\r\n"


class _Upstream(asyncio.Protocol):
    def __init__(self) -> None:
        self._received = b""
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None

    def data_received(self, data: bytes) -> None:
        self._received += data
        while (end := self._received.find(_HEAD_END)) >= 0:
            head = self._received[:end]
            fields = _read_fields(head)
            whole = end + len(_HEAD_END) + int(fields.get(b"content-length", b"0"))
            if len(self._received) < whole:
                return
            self._received = self._received[whole:]
            path = head.split(b" ", 2)[1].decode()
            self._answer(path, fields)

    def _answer(self, path: str, fields: dict[bytes, bytes]) -> None:
        assert self._transport is not None
        echo = b"".join(
            b"%s: %s\r\n" % (name, fields[name])
            for name in (b"x-request-id", b"x-attempt")
            if name in fields
        )
        parts = path.strip("/").split("/")
        numbers = [int(part) for part in parts if part.isdecimal()]
        if "plain" in parts:
            head = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n" + echo
            body = b"x" * numbers[0]
            length = b"content-length: %d\r\n\r\n" % len(body)
            self._transport.write(head + length + body)
            return
        self._transport.write(
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
            + echo
            + b"transfer-encoding: chunked\r\n\r\n"
        )
        events, size, pause_ms = numbers[:3]
        batch = numbers[3] if len(numbers) > 3 else 1
        self._send_events(1, events, size, pause_ms / 1000, batch)

    def _send_events(
        self, number: int, last: int, size: int, pause_s: float, batch: int
    ) -> None:
        if self._transport is None:
            return
        if number > last:
            done = b"event: done\ndata: {}\n\n"
            self._transport.write(b"%x\r\n%s\r\n" % (len(done), done) + _LAST_CHUNK)
            return
        following = min(number + batch, last + 1)
        chunks = []
        for k in range(number, following):
            start = b"id: %d\ndata: " % k
            event = start + b"x" * max(size - len(start) - 2, 1) + b"\n\n"
            chunks.append(b"%x\r\n%s\r\n" % (len(event), event))
        self._transport.write(b"".join(chunks))
        loop = asyncio.get_running_loop()
        arguments = (following, last, size, pause_s, batch)
        if pause_s:
            loop.call_later(pause_s, self._send_events, *arguments)
        else:
            loop.call_soon(self._send_events, *arguments)


def _read_fields(head: bytes) -> dict[bytes, bytes]:
    pairs = (line.partition(b":") for line in head.split(b"\r\n")[1:])
    return {name.lower(): value.strip() for name, _, value in pairs}


def _run(listen: Annotated[str, typer.Option()]) -> None:
    asyncio.run(_serve(listen))


async def _serve(listen: str) -> None:
    host, _, port = listen.rpartition(":")
    loop = asyncio.get_running_loop()
    server = await loop.create_server(_Upstream, host, int(port), backlog=1024)
    await server.serve_forever()


def main() -> None:
    """Run the program."""
    typer.run(_run)
