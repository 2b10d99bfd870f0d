"""Bounds on the work of passing a response on, in calls and writes."""

import asyncio
import cProfile
import pstats
from collections import Counter
from typing import Any

import pytest

from tests.fakes import run_in_loop
from zinniaspool.core.ids import Address
from zinniaspool.http import Exchange, Headers, HttpClient, HttpServer, Request
from zinniaspool.http.connection import ServerConnection

pytestmark = pytest.mark.bounds

_REQUESTS = 100
_MAX_CALLS_OVER_H11 = 0.25
_EVENT = b"id: 1\ndata: token\n\n"


async def _listen(server: HttpServer) -> Address:
    return await server.listen(Address("127.0.0.1:0"))


def test_one_read_of_a_stream_is_passed_on_as_one_write() -> None:
    """Work grows with the number of reads, not of tokens.

    The upstream sends sixteen events in one write; they must reach the
    caller's connection as one write, not as sixteen.
    """
    writes: Counter[str] = Counter()
    reads = 8

    async def stream(exchange: Exchange) -> None:
        await exchange.start(200, Headers())
        for _ in range(reads):
            await exchange.write(_EVENT * 16)
            await asyncio.sleep(0.01)
        await exchange.finish()

    async def trial() -> None:
        upstream = HttpServer(stream)
        address = await _listen(upstream)
        client = HttpClient()

        async def relay(exchange: Exchange) -> None:
            response = await client.send(address, Request("GET", "/"), 5.0)
            await exchange.start(response.status, Headers())
            async for data in response.stream():
                writes["relay"] += 1
                await exchange.write(data)
            await exchange.finish()

        server = HttpServer(relay)
        front = await _listen(server)
        _, body = await client.fetch(front, Request("GET", "/"), 10.0)
        assert body == _EVENT * 16 * reads
        client.close()
        await server.drain(0.0)
        await upstream.drain(0.0)

    run_in_loop(trial)
    assert writes["relay"] <= reads


def test_calls_of_this_project_stay_few_beside_those_of_h11() -> None:
    """Counts calls of Python functions, which the machine's load can't alter.

    The calls of client and server together are counted, for this project
    and for h11; the bound is on the ratio of the two counts.
    """

    async def trial() -> None:
        async def answer(exchange: Exchange) -> None:
            kind = Headers.of(content_type="application/json")
            await exchange.respond(200, kind, b"x" * 1024)

        server, client = HttpServer(answer), HttpClient()
        address = await _listen(server)
        request = Request("POST", "/", Headers.of(x_attempt="1"), b"y" * 1024)
        for _ in range(_REQUESTS):
            await client.fetch(address, request, 5.0)
        client.close()
        await server.drain(0.0)

    profiler = cProfile.Profile()
    profiler.runcall(run_in_loop, trial)
    project_calls = h11_calls = 0
    for (file, _, _), row in pstats.Stats(profiler).stats.items():  # type: ignore[attr-defined]
        project_calls += row[1] if "zinniaspool" in file else 0
        h11_calls += row[1] if "h11" in file else 0
    assert project_calls / h11_calls < _MAX_CALLS_OVER_H11, (project_calls, h11_calls)


def test_a_connection_sets_no_timer_for_each_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A timer that is set for each request would fill the loop's heap."""
    checks: Counter[str] = Counter()
    set_timer = asyncio.BaseEventLoop.call_at

    def count(loop: Any, when: float, act: Any, *rest: Any, context: Any = None) -> Any:
        checks[act.__qualname__] += 1
        return set_timer(loop, when, act, *rest, context=context)

    monkeypatch.setattr(asyncio.BaseEventLoop, "call_at", count)

    async def trial() -> None:
        async def answer(exchange: Exchange) -> None:
            await exchange.respond(200, Headers(), b"")

        server, client = HttpServer(answer), HttpClient()
        address = await _listen(server)
        for _ in range(_REQUESTS):
            await client.fetch(address, Request("GET", "/"), 5.0)
        client.close()
        await server.drain(0.0)

    run_in_loop(trial)
    assert 1 <= checks[ServerConnection._check_timer.__qualname__] <= 4
