"""Small fakes round one entry process's request path, in one loop."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from tests.delays import explain_by_delays
from zinniaspool.core.ids import Address
from zinniaspool.http import Exchange, Headers, HttpServer

__all__ = ["FakeUpstream", "run_in_loop"]

Behaviour = Callable[[Exchange, Headers], Awaitable[None]]


def run_in_loop(trial: Callable[[], Awaitable[None]], timeout_s: float = 30.0) -> None:
    """Run a test's coroutine in a loop of its own."""

    async def run() -> None:
        async with explain_by_delays(), asyncio.timeout(timeout_s):
            await trial()

    asyncio.run(run())


@dataclass(slots=True)
class FakeUpstream:
    """An upstream whose calls are answered by a list of behaviours in turn.

    Upstreams that are given the same list share it: whichever is called
    first takes the first one. The last one answers all further calls.
    """

    behaviours: list[Behaviour]
    calls: list[Exchange] = field(default_factory=list)
    called: asyncio.Event = field(default_factory=asyncio.Event)
    left: asyncio.Event = field(default_factory=asyncio.Event)
    address: Address = Address("")
    _server: HttpServer | None = None

    async def listen(self) -> "FakeUpstream":
        """Start listening."""
        self._server = HttpServer(self._handle)
        self.address = await self._server.listen(Address("127.0.0.1:0"))
        return self

    async def close(self) -> None:
        """Stop listening and cut what is open."""
        if self._server is not None:
            await self._server.drain(0.0)

    async def _handle(self, exchange: Exchange) -> None:
        several = len(self.behaviours) > 1
        act = self.behaviours.pop(0) if several else self.behaviours[0]
        self.calls.append(exchange)
        self.called.set()
        sent = exchange.request.headers
        echo = Headers.of(
            content_type="application/json",
            x_request_id=sent.get("x-request-id") or "",
            x_attempt=sent.get("x-attempt") or "",
        )
        try:
            await act(exchange, echo)
        except asyncio.CancelledError:
            self.left.set()
            raise


def answer(body: Any) -> Behaviour:
    """Answer whole."""

    async def act(exchange: Exchange, echo: Headers) -> None:
        await exchange.respond(200, echo, json.dumps(body).encode())

    return act


async def cut(exchange: Exchange, echo: Headers) -> None:
    """Run, then lose the connection."""
    exchange.abort()


async def refuse(exchange: Exchange, echo: Headers) -> None:
    """Refuse without running."""
    await exchange.respond(409, echo.add("x-not-run", "1"), b"null")


async def cross(exchange: Exchange, echo: Headers) -> None:
    """Answer somebody else's request."""
    foreign = Headers.of(x_request_id="other", x_attempt="1")
    await exchange.respond(200, foreign, b'"a rival\'s answer"')


async def hang(exchange: Exchange, echo: Headers) -> None:
    """Never answer."""
    await asyncio.Event().wait()


async def stall(exchange: Exchange, echo: Headers) -> None:
    """Stream one token, then nothing more."""
    await exchange.start(200, make_event_headers(echo))
    await exchange.write(b"id: 1\ndata: t1\n\n")
    await asyncio.Event().wait()


def stream(count: int, lose_after: int | None = None) -> Behaviour:
    """Stream tokens from where the request says, or lose the stream."""

    async def act(exchange: Exchange, echo: Headers) -> None:
        start = int(exchange.request.headers.get("last-event-id") or 0)
        await exchange.start(200, make_event_headers(echo))
        for k in range(start + 1, count + 1):
            if k - start - 1 == lose_after:
                await exchange.write(b"id: %d\nda" % k)
                await asyncio.sleep(0.02)
                exchange.abort()
                return
            await exchange.write(b"id: %d\ndata: t%d\n\n" % (k, k))
        await exchange.write(b"event: done\ndata: {}\n\n")
        await exchange.finish()

    return act


def make_event_headers(echo: Headers) -> Headers:
    """Return the headers of a stream of events."""
    return Headers.of(
        content_type="text/event-stream",
        x_request_id=echo.get("x-request-id") or "",
        x_attempt=echo.get("x-attempt") or "",
    )
