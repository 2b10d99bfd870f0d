"""Long streams beside planned work, with the programs as deployed."""

import asyncio
import signal
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from tests.delays import measure_pass
from tests.installation import eventually
from tests.test_failures_records import await_served
from zinniaspool.core.ids import Address
from zinniaspool.http import Headers, HttpClient, Request, TransportError
from zinniaspool_standins.installation import KEY, Installation, make_rules
from zinniaspool_standins.nodes import EntryNode, end_nodes, make_nodes

pytestmark = pytest.mark.processes

STREAM_S = 2.7
"""Time of a stream, in seconds: it lasts for most of its route's time."""

STREAMS = 8
"""Streams, as many as one group runs at a time."""


async def draft(
    client: HttpClient, front: Address, request: str, events: int
) -> tuple[str, list[int]]:
    """Return how a stream ended, and the ids of its events."""
    headers = Headers.of(
        host="care.example",
        authorization=f"Token {KEY}",
        x_zinniaspool_request_id=request,
        x_zinniaspool_deadline_ms="6000",
        x_zinniaspool_model="small",
        x_zinniaspool_token_count=f"100,{events}",
    )
    body, end = b"", "no answer"
    try:
        response = await client.send(front, Request("POST", "/drafts/1", headers), 7.0)
        end = f"status {response.status}"
        async for part in response.stream():
            body += part
    except TransportError as error:
        end += f", {error!r}"
    lines = body.split(b"\n")
    return end, [int(line[3:]) for line in lines if line.startswith(b"id:")]


def change_routes(made: Installation, number: int) -> None:
    """Write a configuration with other routes beside that of the streams."""
    drafts, cards, receipts = make_rules(made.version, made.keys)["routes"]
    added: dict[str, Any] = {
        **cards,
        "name": f"more-{number}",
        "path-prefix": f"/more-{number}/",
    }
    made.configure(routes=[drafts, added, cards if number % 2 else receipts])


async def change_all(made: Installation, nodes: list[EntryNode]) -> None:
    """Change the configuration, signal all processes and drain a head."""
    for number in range(5):
        await asyncio.sleep(0.4)
        change_routes(made, number)
        for node in nodes:
            for process in node.processes:
                process.send(signal.SIGHUP)
        if number == 1:
            made.heads("small")[0].faults.leaving = True


def test_planned_changes_cut_no_long_stream(tmp_path: Path) -> None:
    """Guards against streams cut by a configuration, a signal or a drain."""

    async def test() -> None:
        async with Installation.running(nodes=0, engines=10) as made:
            nodes = await make_nodes(made, tmp_path, 2)
            client = HttpClient()
            try:
                for node in nodes:
                    await await_served(node.front)
                await eventually(lambda: len(made.heads("small")) >= 2)
                measured = partial(draft, client, nodes[0].front, "measured")
                events = int(STREAM_S / await measure_pass(measured))
                changing = asyncio.create_task(change_all(made, nodes))
                streams = []
                for number in range(STREAMS):
                    front = nodes[number % 2].front
                    stream = draft(client, front, f"long-{number}", events)
                    streams.append(asyncio.create_task(stream))
                    await asyncio.sleep(0.3)
                await changing
                whole = ("status 200", list(range(1, events + 1)))
                received = [await stream for stream in streams]
                cut = {
                    number: (end, ids[-1:])
                    for number, (end, ids) in enumerate(received)
                    if (end, ids) != whole
                }
                assert not cut
                assert [one.broken for one in made.runners.values() if one.broken] == []
            finally:
                client.close()
                await end_nodes(nodes)

    asyncio.run(test())
