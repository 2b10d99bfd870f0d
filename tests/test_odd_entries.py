"""Entries of another writer among those of the upstreams, and processes."""

import asyncio
import contextlib
import json
import signal
from base64 import b64encode
from collections.abc import AsyncIterator, Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.installation import Installation, eventually, run
from tests.silent_processes import Caller, find_holder
from tests.test_unreadable_values import HOLDER, INSTANCE, NODE, PLAN, QUARANTINE
from zinniaspool.core.ids import Address
from zinniaspool.telemetry.traces import parse_line
from zinniaspool_standins.installation import SIZES, free_address
from zinniaspool_standins.nodes import EntryNode, end_nodes, make_nodes

pytestmark = pytest.mark.processes

CLOSED = "127.0.0.1:1"
"""An address that refuses connections."""

OWN_VALUES: dict[str, dict[str, Any]] = {
    "zinnia/nodes/": NODE,
    "zinnia/plans/": PLAN,
    "zinnia/held/": QUARANTINE,
}
OPTIONAL = frozenset({"born", "domain", "models", "staged", "group", "cold-left-ms"})
"""Fields of an instance that may be missing, or have any number."""

DEPTHS = (500, 2_000, 20_000, 200_000)
NUMBERS = ("-1", "1e400", "-1e308", "8" * 30, "8" * 400, "8" * 6000, "1.5", "true")
PORTS = ("0", "-1", "70000", "8" * 5000, "")
FAILURES = frozenset({"duty-failed", "handler-failed", "listener-failed"})


def _replace_addresses(value: dict[str, Any], address: str) -> dict[str, Any]:
    return {
        name: address if "address" in name else field for name, field in value.items()
    }


def list_texts(sound: dict[str, Any], address: str) -> Iterator[bytes]:
    """Yield values like a sound one that can't be read, or aren't in order.

    Args:
        sound: The value.
        address: An address that must not be used.
    """
    readable = json.dumps(_replace_addresses(sound, CLOSED))
    for depth in DEPTHS:
        nested = '{"x":' + "[" * depth + "]" * depth + ","
        yield b"[" * depth
        yield readable.replace("{", nested, 1).encode()
    for name, field in sound.items():
        sound = _replace_addresses(sound, CLOSED if name in OPTIONAL else address)
        odd = json.dumps({**sound, name: "@"})
        if isinstance(field, int | float):
            for number in NUMBERS:
                yield odd.replace('"@"', number).encode()
        if "address" in name:
            host, _, port = address.rpartition(":")
            wide = port.translate({ord("0") + n: 0xFF10 + n for n in range(10)})
            for other in (*PORTS, wide, f"+{port}", f" {port}", f"{port}\n"):
                yield json.dumps({**sound, name: f"{host}:{other}"}).encode()
            yield json.dumps({**sound, name: f"localhost:{port}"}).encode()
        yield odd.replace('"@"', "{}").encode()
        rest = {key: one for key, one in sound.items() if key != name}
        yield json.dumps(rest).encode()
        yield json.dumps(rest)[:-1].encode()
    text = json.dumps(_replace_addresses(sound, address))
    yield b"\xff" + text.encode()
    yield text.encode().replace(b'": ', b'\xc3": ', 1)
    yield b"x" * 500_000


def list_entries(address: str) -> Iterator[tuple[str, str]]:
    """Yield keys of the store with such values, as the store holds them."""
    sound = {"service": "cards", **INSTANCE, "state": "ready"}
    for number, value in enumerate(list_texts(sound, address)):
        yield f"servers/odd-{number}", b64encode(value).decode()
    unknown = {**sound, "address": address, "state": "resting"}
    yield "servers/odd-state", b64encode(json.dumps(unknown).encode()).decode()
    yield "servers/odd-text", "no base64"
    for prefix, own in OWN_VALUES.items():
        for number, odd in enumerate(list_texts(own, CLOSED)):
            yield f"{prefix}odd-{number}", b64encode(odd).decode()
        yield f"{prefix}odd-text", "no base64"


@contextlib.asynccontextmanager
async def watch_address() -> AsyncIterator[tuple[Address, list[str]]]:
    """Yield an address and the connections that are opened to it."""
    opened: list[str] = []

    async def note(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        opened.append(str(writer.get_extra_info("peername")))
        writer.close()

    address = free_address()
    host, _, port = address.rpartition(":")
    server = await asyncio.start_server(note, host, int(port))
    try:
        yield address, opened
    finally:
        server.close()


async def assert_served(nodes: list[EntryNode], seconds: float = 15.0) -> None:
    """Wait until all VMs serve each kind of request."""

    async def is_served(node: EntryNode) -> bool:
        for model in SIZES:
            caller = Caller(node.front, model)
            answers = [
                await caller.draft("odd", 3),
                await caller.ask("odd", "GET", "/receipts/1"),
                await caller.ask("odd", "POST", "/cards/1"),
            ]
            caller.close()
            if any(answer.status != 200 or not answer.whole for answer in answers):
                return False
        return True

    loop = asyncio.get_running_loop()
    for node in nodes:
        ends = loop.time() + seconds
        while not await is_served(node):
            assert loop.time() < ends, f"{node.name} does not serve"
            await asyncio.sleep(0.1)


def list_ended(nodes: list[EntryNode]) -> list[str]:
    """Return the programs of VMs that have ended."""
    return [
        f"{node.name} {one.module}"
        for node in nodes
        for one in node.processes
        if one.process is None or one.process.returncode is not None
    ]


def list_failures(folder: Path) -> list[str]:
    """Return the lines of all logs that tell of an internal error."""
    lines = [
        line
        for log in folder.glob("n*.log")
        for line in log.read_text(errors="replace").splitlines()
    ]
    return [
        line[:300]
        for line in lines
        if line.startswith("Traceback")
        or ((parsed := parse_line(line)) is not None and parsed.event in FAILURES)
    ]


def test_odd_entries_end_no_process_and_hide_no_change(tmp_path: Path) -> None:
    """Guards against processes that end by an entry, or follow no other one.

    The entries come at once. Then upstreams change, the holder stops, and all
    processes end and start again among the entries.
    """

    async def check() -> None:
        async with (
            watch_address() as (address, opened),
            Installation.running(nodes=0, engines=8, plain=2) as made,
        ):
            nodes = await make_nodes(made, tmp_path, 3)
            try:
                await assert_served(nodes)
                for key, value in list_entries(address):
                    made.store.put(key, value)
                await assert_served(nodes)
                await change_upstreams(made, nodes)
                assert list_ended(nodes) == []
                stopped = find_holder(nodes)
                await stopped.stop()
                running = [node for node in nodes if node is not stopped]
                await change_upstreams(made, running)
                assert list_ended(running) == []
                for node in nodes:
                    node.send(signal.SIGKILL)
                for node in nodes:
                    await node.stop()
                    await node.start()
                await assert_served(nodes)
                await change_upstreams(made, nodes)
                assert list_ended(nodes) == []
            finally:
                await end_nodes(nodes)
            made.assert_sound()
            assert opened == []
            assert list_failures(tmp_path) == []

    run(check)


async def change_upstreams(made: Installation, nodes: list[EntryNode]) -> None:
    """Lose a member of a group and a plain upstream, and add two others."""
    head = made.heads("small")[0]
    lost = made.runners[head.members[1]]
    lost.faults.dark = True
    plain = [one for one in made.runners.values() if one.domain is None]
    plain[0].faults.leaving = True
    made.add_runner("drafting", "d0")
    added = made.add_runner("cards", None)
    await eventually(
        lambda: any(lost.id not in one.members for one in made.heads("small")), 15.0
    )
    for _ in range(100):
        await assert_served(nodes)
        if added.runs:
            return
    raise AssertionError("a new upstream gets no request")


def test_an_odd_holder_is_replaced(tmp_path: Path) -> None:
    """Guards against a holder's key that no process can read or take over."""

    async def check() -> None:
        async with Installation.running(nodes=0, engines=5, plain=1) as made:
            nodes = await make_nodes(made, tmp_path, 2)
            try:
                await assert_served(nodes)
                for value in list_texts(HOLDER, CLOSED):
                    made.store.put("zinnia/holder", b64encode(value).decode())
                    await asyncio.sleep(0.02)
                await assert_served(nodes)
                assert list_ended(nodes) == []
            finally:
                await end_nodes(nodes)
            assert list_failures(tmp_path) == []

    run(check)
