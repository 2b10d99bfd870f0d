"""Planned stops of an entry VM: orders of events that a review found."""

import asyncio
import contextlib
import signal
from pathlib import Path

import pytest

from tests.installation import eventually, run
from tests.test_planned_stops import StoppedInstallation
from zinniaspool.core.ids import Address, split_address
from zinniaspool_standins.installation import KEY, Installation
from zinniaspool_standins.nodes import end_nodes, make_nodes

__all__ = ["make_request"]

pytestmark = pytest.mark.processes

KNOWN_AFTER_S = 0.5


def make_request(name: str, path: str, **headers: str) -> bytes:
    """Return the bytes of a caller's request."""
    fields = {
        "host": "care.example",
        "authorization": f"Token {KEY}",
        "x-zinniaspool-request-id": name,
        "x-zinniaspool-deadline-ms": "8000",
        "content-length": "0",
        **{key.replace("_", "-"): value for key, value in headers.items()},
    }
    lines = [f"POST {path} HTTP/1.1", *(f"{key}: {fields[key]}" for key in fields)]
    return "\r\n".join([*lines, "", ""]).encode()


def test_a_stopping_vm_answers_requests_that_it_has_read_already() -> None:
    """Guards against a request behind another one that gets no answer."""

    async def check() -> None:
        async with StoppedInstallation.running(nodes=2, engines=10) as made:
            made.configure()
            await made.settle()
            address = made.nodes["n0"].file.caller_address
            assert address is not None
            reader, writer = await asyncio.open_connection(*split_address(address))
            for runner in made.runners.values():
                runner.faults.silent = runner.service == "cards"
            writer.write(make_request("first", "/receipts/a"))
            writer.write(make_request("second", "/receipts/b"))
            await asyncio.sleep(0.5)
            made.nodes["n0"].gateway.stop()
            await asyncio.sleep(0.5)
            for runner in made.runners.values():
                runner.faults.silent = False
            received = await reader.read()
            writer.close()
            assert received.count(b"HTTP/1.1 ") == 2, received

    run(check)


async def _send_early(
    front: Address,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Send a request as soon as a VM's port is open."""
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(*split_address(front))
            writer.write(make_request("early", "/receipts/a"))
            return reader, writer
        await asyncio.sleep(0.005)


@pytest.mark.parametrize("after_s", [0.05, 0.2])
def test_a_program_that_is_stopped_while_it_loads_answers(
    tmp_path: Path, after_s: float
) -> None:
    """Guards against a SIGTERM that resets what waits at the callers' port."""

    async def test() -> None:
        async with Installation.running(nodes=0, engines=0, plain=2) as made:
            nodes = await make_nodes(made, tmp_path, 1, grace_s=8)
            program = nodes[0].processes[0]
            try:
                reader, writer = await _send_early(nodes[0].front)
                await asyncio.sleep(after_s)
                program.send(signal.SIGTERM)
                received = b""
                with contextlib.suppress(ConnectionError):
                    received = await reader.read()
                writer.close()
                assert received.startswith(b"HTTP/1.1 "), received
            finally:
                await end_nodes(nodes)

    asyncio.run(test())


def test_a_stopping_vm_is_in_no_address_answers_while_the_store_is_down() -> None:
    """Guards against callers that are sent to a VM until it has ended."""

    async def check() -> None:
        async with StoppedInstallation.running(nodes=3, engines=5) as made:
            made.configure()
            await made.settle()
            made.store.faults.down = "silent"
            await asyncio.sleep(0.3)
            stopped = made.nodes["n0"]
            stopped.gateway.stop()
            await asyncio.sleep(KNOWN_AFTER_S)
            for name in ("n1", "n2"):
                listed = made.nodes[name].gateway.list_addresses()
                assert stopped.file.caller_address not in listed

    run(check)


def test_a_holder_that_resigns_does_not_take_the_key_again() -> None:
    """Guards against a stopping holder that plans anew and ends with the key.

    The answer to its resignation is lost.
    """

    async def check() -> None:
        async with StoppedInstallation.running(nodes=4, engines=5) as made:
            made.configure()
            await made.settle()
            holder = made.find_holder()
            assert holder is not None
            keeper, ending = made.nodes[holder].keeper, made.nodes[holder].tasks[1]
            made.store.faults.lose_answers = 1
            keeper.stop()
            await eventually(lambda: not keeper.may_plan)
            while not ending.done():
                assert not keeper.may_plan
                await asyncio.sleep(0.01)

    run(check)
