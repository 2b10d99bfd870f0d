"""Requests of which a stopping entry VM knows less than their length."""

import asyncio
import socket
from typing import Any

import pytest

from tests.installation import Answer, run
from tests.test_planned_stops import StoppedInstallation
from tests.test_stop_review import make_request
from zinniaspool.core.ids import split_address
from zinniaspool.http import Exchange, Headers
from zinniaspool_standins.installation import make_rules
from zinniaspool_standins.runners import Runner

pytestmark = pytest.mark.processes

SHORT, LONG = 10, 190
"""Events of a stream; they last about 0.3 and 6 s."""

ID_STEP = 5
EVENT_BYTES = 400_000
UNREAD_S = 2.6
"""A caller leaves events of this size unread for so long, in seconds, that the
buffers on the way are full for over two seconds."""


class TwoRouteInstallation(StoppedInstallation):
    """A second route for streams of the same service and model."""

    patient_routes = ("drafts", "notes")

    def configure(self, **changes: Any) -> None:
        """Write the next version of the rules."""
        routes = make_rules(self.version, self.keys)["routes"]
        notes = {**routes[0], "name": "notes", "path-prefix": "/notes/"}
        waiting = {"timeout-ms": int(self.deadline_s * 1000)}
        patient = [
            {**one, **waiting} if one["name"] in self.patient_routes else one
            for one in (*routes, notes)
        ]
        super().configure(**{"routes": patient, **changes})


async def _show_streams(made: StoppedInstallation) -> None:
    """Have a VM see some short streams."""
    made.configure()
    await made.settle()
    for _ in range(4):
        await asyncio.gather(*(made.draft("n0", "small", 20) for _ in range(6)))


async def _ask_without_count(
    made: StoppedInstallation, route: str, events: int
) -> Answer:
    """Ask for a stream and state no length, which the body has instead."""
    return await made.ask(
        "n0",
        f"/{route}/one",
        deadline_ms=8000,
        body=str(events).encode(),
        x_zinniaspool_model="small",
    )


@pytest.mark.parametrize("route", ["drafts", "notes"])
def test_a_stream_of_unknown_length_is_not_cut(
    route: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a stream accepted as if it were as short as most.

    Its own route had a long one before, or had none at all.
    """
    write_stream = Runner._stream

    async def stream(
        self: Runner, exchange: Exchange, answer: Headers, asked: Headers
    ) -> None:
        count = f"0,{exchange.request.body.decode() or SHORT}"
        stated = Headers.of(x_zinniaspool_token_count=count)
        await write_stream(self, exchange, answer, stated)

    monkeypatch.setattr(Runner, "_stream", stream)

    async def check() -> None:
        async with TwoRouteInstallation.running(nodes=2, engines=10) as made:
            made.configure()
            await made.settle()
            long = asyncio.create_task(_ask_without_count(made, "drafts", LONG))
            for _ in range(6):
                await asyncio.gather(
                    *(_ask_without_count(made, "drafts", SHORT) for _ in range(4))
                )
            assert len((await long).events) == LONG
            made.nodes["n0"].gateway.stop()
            await asyncio.sleep(3.0)
            answer = await _ask_without_count(made, route, LONG)
            assert answer.whole, len(answer.events)

    run(check)


def test_a_resumed_stream_whose_ids_rise_in_steps_is_not_cut(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against the last id taken for a count of events."""

    async def stream(
        self: Runner, exchange: Exchange, answer: Headers, asked: Headers
    ) -> None:
        last = int((asked.get("x-zinniaspool-token-count") or "").split(",")[1])
        had = int(asked.get("last-event-id") or 0) // ID_STEP
        answer.add("content-type", "text/event-stream")
        await exchange.start(200, answer)
        for number in range(had + 1, last + 1):
            if not await self._make_pass(exchange):
                return
            await exchange.write(f"id: {number * ID_STEP}\ndata: t\n\n".encode())
        await exchange.finish()

    monkeypatch.setattr(Runner, "_stream", stream)

    async def check() -> None:
        async with StoppedInstallation.running(nodes=2, engines=10) as made:
            await _show_streams(made)
            made.nodes["n0"].gateway.stop()
            await asyncio.sleep(4.0)
            answer = await made.ask(
                "n0",
                "/drafts/one",
                deadline_ms=8000,
                x_zinniaspool_model="small",
                x_zinniaspool_token_count=f"100,{LONG}",
                last_event_id=str(30 * ID_STEP),
            )
            assert answer.whole, len(answer.events)

    run(check)


async def _read_late(made: StoppedInstallation) -> None:
    """Take a long time to read the events of one stream."""
    address = made.nodes["n0"].file.caller_address
    assert address is not None
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    caller.setblocking(False)
    await asyncio.get_running_loop().sock_connect(caller, split_address(address))
    reader, writer = await asyncio.open_connection(sock=caller)
    request = make_request(
        "big",
        "/drafts/one",
        content_length="3",
        connection="close",
        x_zinniaspool_model="small",
        x_zinniaspool_token_count="100,30",
    )
    writer.write(request + b"big")
    await reader.readexactly(1)
    await asyncio.sleep(UNREAD_S)
    while await reader.read(EVENT_BYTES):
        pass
    writer.close()


def test_a_slow_reader_is_not_taken_for_a_silent_upstream(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against streams that are refused though a second is to spare."""
    write_stream = Runner._stream

    async def stream(
        self: Runner, exchange: Exchange, answer: Headers, asked: Headers
    ) -> None:
        if exchange.request.body != b"big":
            await write_stream(self, exchange, answer, asked)
            return
        answer.add("content-type", "text/event-stream")
        await exchange.start(200, answer)
        for number in range(1, 31):
            await self._make_pass(exchange)
            await exchange.write(b"id: %d\ndata: " % number)
            await exchange.write(b"x" * EVENT_BYTES + b"\n\n")
        await exchange.finish()

    monkeypatch.setattr(Runner, "_stream", stream)

    async def check() -> None:
        async with StoppedInstallation.running(nodes=2, engines=10) as made:
            await _show_streams(made)
            await _read_late(made)
            made.nodes["n0"].gateway.stop()
            await asyncio.sleep(3.0)
            answer = await made.draft("n0", "small", 100, deadline_ms=8000)
            assert answer.status == 200

    run(check)
