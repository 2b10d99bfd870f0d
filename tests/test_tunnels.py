"""Connections to upstreams that lead through another VM."""

import asyncio
import contextlib
import socket
import struct
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TypeVar

import pytest

from tests.test_belief import ViewWriter
from zinniaspool.core.fleet import (
    InstanceId,
    InstanceIncarnation,
    NodeRecord,
    NodeState,
    PathMonitor,
    ProbeOutcome,
)
from zinniaspool.core.ids import Address, FailureDomainId, Incarnation, NodeId
from zinniaspool.core.messages import PROTOCOL_VERSION, Hello
from zinniaspool.core.messages.fleet import TunnelRequest
from zinniaspool.fleet import UpstreamConnector
from zinniaspool.fleet.tunnels import TunnelServer, UnreachedError, open_tunnel
from zinniaspool.http import (
    HttpClient,
    Request,
    TransportError,
    TransportFailure,
)
from zinniaspool.peers import PeerListener
from zinniaspool_standins.cuts import CURRENT_VM, CutKind, CuttableLoop
from zinniaspool_standins.installation import free_address

HELLO = Hello(PROTOCOL_VERSION, NodeId("n"), Incarnation(0), FailureDomainId("a"), "")
REQUEST = Request("GET", "/x")
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\nhalf of "

ProtocolT = TypeVar("ProtocolT", bound=asyncio.Protocol)
_Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@dataclass
class TunnelConnector:
    """Connects through one relay."""

    relay: Address
    on_idle_obsolete: list[Callable[[], None]] = field(default_factory=list)

    async def connect(
        self,
        make_protocol: Callable[[], ProtocolT],
        address: Address,
        timeout_s: float,
    ) -> ProtocolT:
        async with asyncio.timeout(timeout_s):
            request = TunnelRequest(address, instance=InstanceId("i"))
            _, protocol = await open_tunnel(make_protocol, self.relay, HELLO, request)
        return protocol


@asynccontextmanager
async def serve_behind_relay(
    serve: _Serve,
    *,
    is_known: bool = True,
    reaches_others: bool = True,
    is_leaving: Callable[[], bool] = lambda: False,
    measure_leaving: Callable[[InstanceIncarnation], float | None] = lambda _: None,
) -> AsyncIterator[tuple[HttpClient, Address, TunnelServer]]:
    """Run an upstream, a relay, and a client that connects through it."""
    upstream, relay = free_address(), free_address()
    host, port = upstream.split(":")
    writers: list[asyncio.StreamWriter] = []

    async def serve_tracked(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writers.append(writer)
        await serve(reader, writer)

    server = await asyncio.start_server(serve_tracked, host, int(port))

    async def confirm_path(_since: float, _unreached: Address) -> bool:
        return reaches_others

    async def handle(*_: object) -> None:
        return None

    tunnels = TunnelServer(
        lambda _: is_known, 0.2, confirm_path, is_leaving, measure_leaving
    )
    listener = PeerListener(
        NodeId("r"), lambda _: True, handle, serve_tunnel=tunnels.serve
    )
    await listener.listen(relay)
    client = HttpClient(1.0, connector=TunnelConnector(relay), allow_unframed=True)
    try:
        yield client, upstream, tunnels
    finally:
        client.close()
        listener.close()
        server.close()
        for writer in writers:
            writer.transport.abort()


async def _await(check: Callable[[], bool]) -> None:
    async with asyncio.timeout(0.5):
        while not check():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("is_reset", [False, True])
def test_an_answer_without_a_length_is_whole_only_if_its_end_came(
    is_reset: bool,
) -> None:
    """Guards against cut answers that look whole behind a tunnel."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(UNFRAMED)
        await writer.drain()
        await asyncio.sleep(0.05)
        if is_reset:
            writer.transport.set_write_buffer_limits(0)
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger
            )
        else:
            writer.write(b"two")
        writer.close()

    async def test() -> None:
        async with serve_behind_relay(serve) as (client, upstream, _):
            fetching = client.fetch(upstream, REQUEST, 1.0)
            if not is_reset:
                assert await fetching == (200, b"half of two")
                return
            with pytest.raises(TransportError) as caught:
                await fetching
            assert caught.value.failure is TransportFailure.CUT

    asyncio.run(test())


def test_a_kept_tunnel_carries_no_request_once_its_upstream_leaves() -> None:
    """Guards against requests on tunnels that were open before.

    The request was not passed on, so that another upstream may run it.
    """
    requests: list[bytes] = []
    leaving: set[InstanceIncarnation] = set()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError):
            while True:
                requests.append(await reader.readuntil(b"\r\n\r\n"))
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")

    async def test() -> None:
        async with serve_behind_relay(
            serve, measure_leaving=lambda run: 0.0 if run in leaving else None
        ) as (client, upstream, tunnels):
            for _ in range(2):
                assert await client.fetch(upstream, REQUEST, 1.0) == (200, b"ok")
            assert client.opened_connections == 1
            leaving.add(InstanceIncarnation(InstanceId("i"), None))
            with pytest.raises(TransportError) as caught:
                await client.fetch(upstream, REQUEST, 1.0)
            assert caught.value.failure is TransportFailure.NOT_SENT
            with pytest.raises(TransportError) as caught:
                await client.fetch(upstream, REQUEST, 1.0)
            assert caught.value.failure is TransportFailure.NOT_SENT
            assert len(requests) == 2
            assert tunnels.leaving_count == 2

    asyncio.run(test())


def test_an_answer_goes_on_through_a_tunnel_when_its_upstream_leaves() -> None:
    """Guards against streams that are cut since their upstream leaves."""
    leaving: list[float] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\none,")
        leaving.append(5.0)
        await asyncio.sleep(0.05)
        writer.write(b"two")

    async def test() -> None:
        async with serve_behind_relay(
            serve, measure_leaving=lambda _: leaving[0] if leaving else None
        ) as (client, upstream, _):
            assert await client.fetch(upstream, REQUEST, 1.0) == (200, b"one,two")

    asyncio.run(test())


def test_an_upstream_learns_at_once_that_its_caller_has_left() -> None:
    """Guards against work for callers that have gone."""
    closed: list[float] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        await reader.read()
        closed.append(asyncio.get_running_loop().time())
        writer.close()

    async def test() -> None:
        async with serve_behind_relay(serve) as (client, upstream, tunnels):
            with pytest.raises(TransportError):
                await client.fetch(upstream, REQUEST, 0.1)
            await _await(lambda: bool(closed))
            await _await(lambda: tunnels.open_count == 0)

    asyncio.run(test())


def test_a_relay_passes_on_no_request_that_was_given_up() -> None:
    """Guards against requests that are sent on after their callers left."""
    read: list[bytes] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(1000):
            read.append(data)
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")

    async def test() -> None:
        async with serve_behind_relay(serve) as (client, upstream, tunnels):
            await client.fetch(upstream, REQUEST, 1.0)
            sending = asyncio.create_task(client.send(upstream, REQUEST, 1.0))
            # It is written in one turn and given up in the next, before the
            # relay reads.
            await asyncio.sleep(0)
            sending.cancel()
            await _await(lambda: tunnels.open_count == 0)
            assert len(read) == 1

    asyncio.run(test())


def test_a_slow_reader_makes_the_relay_read_slowly_too() -> None:
    """Guards against relays that keep a whole long answer in memory."""
    sent: list[int] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 64000000\r\n\r\n")
        for _ in range(64):
            writer.write(bytes(1_000_000))
            await writer.drain()
            sent.append(1)

    async def test() -> None:
        async with serve_behind_relay(serve) as (client, upstream, _):
            response = await client.send(upstream, REQUEST, 1.0)
            await asyncio.sleep(0.3)
            assert len(sent) < 48
            size = 0
            async for part in response.stream():
                size += len(part)
            assert size == 64_000_000

    asyncio.run(test())


@pytest.mark.parametrize("reaches_others", [False, True])
def test_a_relay_says_whether_its_own_path_is_sound(reaches_others: bool) -> None:
    """Guards against upstreams that count as ended for a relay that is cut."""

    async def serve(*_: object) -> None: ...

    async def test() -> None:
        async with serve_behind_relay(serve, reaches_others=reaches_others) as (
            client,
            _,
            _,
        ):
            connector = client._connector
            assert isinstance(connector, TunnelConnector)
            with pytest.raises(UnreachedError) as caught:
                await connector.connect(asyncio.Protocol, free_address(), 1.0)
            assert caught.value.outcome is ProbeOutcome.REFUSED
            assert caught.value.is_conclusive is reaches_others

    asyncio.run(test())


@pytest.mark.parametrize("is_slow", [False, True])
def test_a_relay_that_was_slow_gives_no_verdict(
    is_slow: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against engines that count as lost since a relay is slow."""
    open_connection, attempts = asyncio.open_connection, list[int]()

    async def serve(*_: object) -> None: ...

    async def open_late(
        host: str, port: int
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        attempts.append(port)
        if len(attempts) == 1 or not is_slow:
            raise TimeoutError
        return await open_connection(host, port)

    async def test() -> None:
        async with serve_behind_relay(serve) as (client, upstream, _):
            connector = client._connector
            assert isinstance(connector, TunnelConnector)
            monkeypatch.setattr(asyncio, "open_connection", open_late)
            with pytest.raises(UnreachedError) as caught:
                await connector.connect(asyncio.Protocol, upstream, 1.0)
            assert caught.value.is_conclusive is not is_slow

    asyncio.run(test())


def test_a_relay_connects_to_known_upstreams_only() -> None:
    """Guards against a relay that opens any address for whoever asks."""
    connected: list[int] = []

    async def serve(*_: object) -> None:
        connected.append(1)

    async def test() -> None:
        async with serve_behind_relay(serve, is_known=False) as (client, upstream, _):
            with pytest.raises(TransportError) as caught:
                await client.fetch(upstream, REQUEST, 1.0)
            assert caught.value.failure is TransportFailure.NOT_SENT
            assert not connected

    asyncio.run(test())


def test_a_leaving_relay_opens_no_tunnels_and_goes_on_with_open_ones() -> None:
    """Guards against requests of other VMs that are cut when a relay ends.

    Other VMs may learn late that it leaves, as while the store is down.
    """
    leaving = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        await leaving.wait()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
        writer.close()

    async def test() -> None:
        async with serve_behind_relay(serve, is_leaving=leaving.is_set) as made:
            client, upstream, tunnels = made
            begun = asyncio.create_task(client.fetch(upstream, REQUEST, 1.0))
            await _await(lambda: tunnels.open_count == 1)
            leaving.set()
            with pytest.raises(TransportError) as caught:
                await client.fetch(upstream, REQUEST, 1.0)
            assert caught.value.failure is TransportFailure.NOT_SENT
            assert await begun == (200, b"late")
            await _await(lambda: tunnels.open_count == 0)

    asyncio.run(test())


def test_a_kept_tunnel_through_a_leaving_vm_is_not_used_again() -> None:
    """Guards against requests of a cut-off VM that end with another VM.

    The record of the leaving VM may come late, as while the store is down.
    """

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while await reader.readuntil(b"\r\n\r\n"):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nkept")

    async def test() -> None:
        async with (
            serve_behind_relay(serve) as (leaving, upstream, tunnels),
            serve_behind_relay(serve) as (other, _, other_tunnels),
        ):
            assert isinstance(leaving._connector, TunnelConnector)
            assert isinstance(other._connector, TunnelConnector)
            writer = ViewWriter()
            writer.put(InstanceId("i-0"), address=upstream)
            add_relay(writer, leaving._connector.relay)
            cut_off(writer)
            paths = UpstreamConnector(NodeId("n"), FailureDomainId("a"), writer.view)
            client = HttpClient(1.0, connector=paths)
            assert await client.fetch(upstream, REQUEST, 1.0) == (200, b"kept")
            add_relay(writer, other._connector.relay, node="r-2")
            assert tunnels.open_count == 1
            paths.handle_leaving(NodeId("r"), 8.0)
            for _ in range(10):
                assert await client.fetch(upstream, REQUEST, 1.0) == (200, b"kept")
                assert (tunnels.open_count, other_tunnels.open_count) == (0, 1)
                client.close()
                await _await(lambda: other_tunnels.open_count == 0)
            paths.close()

    with asyncio.Runner(loop_factory=CuttableLoop) as runner:
        runner.run(test())


def add_relay(
    writer: ViewWriter,
    relay: Address,
    *,
    node: str = "r",
    has_upstream_path: bool = True,
) -> None:
    """Add another entry VM to a view."""
    record = NodeRecord(
        NodeId(node),
        relay,
        relay,
        FailureDomainId("b"),
        "north",
        NodeState.READY,
        has_upstream_path=has_upstream_path,
    )
    writer.view.nodes[record.node] = record


def cut_off(writer: ViewWriter) -> None:
    """Let this VM's connections to all known upstreams hang from now on."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, CuttableLoop)
    loop.upstreams = {instance.address for instance in writer.view.instances.values()}
    loop.cut("n", CutKind.HANG)
    CURRENT_VM.set("n")


def test_a_vm_that_takes_its_path_for_lost_is_still_tried() -> None:
    """Guards against refusals if a sound VM that lacks processor time errs."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()
        writer.close()

    async def test() -> None:
        async with serve_behind_relay(serve) as (client, upstream, _):
            connector = client._connector
            assert isinstance(connector, TunnelConnector)
            writer = ViewWriter()
            writer.put(InstanceId("i-0"), address=upstream)
            add_relay(writer, connector.relay, has_upstream_path=False)
            cut_off(writer)
            paths = UpstreamConnector(NodeId("n"), FailureDomainId("a"), writer.view)
            for _ in range(3):
                assert await paths.probe(upstream, 0.3) is ProbeOutcome.REACHED
            assert paths.is_path_lost
            paths.close()

    with asyncio.Runner(loop_factory=CuttableLoop) as runner:
        runner.run(test())


@pytest.mark.parametrize("reaches_others", [False, True])
def test_silence_shows_nothing_while_only_cut_vms_were_tried(
    reaches_others: bool,
) -> None:
    """Guards against engines that count as lost since most VMs are cut off.

    The holder's VM is cut off itself, and so is the one that it asks, or not.
    """

    async def serve(*_: object) -> None: ...

    async def test() -> None:
        async with serve_behind_relay(serve, reaches_others=reaches_others) as (
            client,
            _,
            _,
        ):
            connector = client._connector
            assert isinstance(connector, TunnelConnector)
            writer, gone = ViewWriter(), free_address()
            for name, address in (("i-0", gone), ("i-1", free_address())):
                writer.put(InstanceId(name), address=address)
            add_relay(writer, connector.relay)
            cut_off(writer)
            loop = asyncio.get_running_loop()
            paths = UpstreamConnector(NodeId("n"), FailureDomainId("a"), writer.view)
            assert await paths.can_judge(gone, loop.time()) is reaches_others
            paths.close()

    with asyncio.Runner(loop_factory=CuttableLoop) as runner:
        runner.run(test())


def test_a_connection_that_opens_while_the_loop_stands_still_is_used() -> None:
    """Guards against refusing requests whose only upstream is sound."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(asyncio.Protocol, "127.0.0.1", 0)
        upstream = Address(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        paths = UpstreamConnector(NodeId("n"), FailureDomainId("a"), ViewWriter().view)
        probing = asyncio.create_task(paths.probe(upstream, 0.1))
        for _ in range(4):
            await asyncio.sleep(0)
        loop.call_soon(time.sleep, 0.2)
        assert await probing is ProbeOutcome.REACHED
        paths.close()
        server.close()

    asyncio.run(test())


def test_a_path_is_lost_only_if_connections_to_several_upstreams_fail() -> None:
    """Guards against VMs that leave their path after a few lost packets."""
    one, other, third = (Address(f"10.0.0.{n}:1") for n in range(3))
    monitor = PathMonitor()
    for now in range(10):
        assert not monitor.record_failure(one, float(now), 20)
    assert not monitor.record_failure(other, 9.1, 20)
    monitor.record_direct(9.2)
    assert not monitor.record_failure(third, 9.3, 20)
    assert not monitor.record_failure(one, 9.4, 20)
    assert monitor.record_failure(other, 9.5, 20)
    assert monitor.is_lost
    assert not monitor.record_direct(10.0)
    monitor.record_failed_retry()
    assert not monitor.record_direct(10.5)
    assert monitor.record_direct(10.6)
    assert not monitor.is_lost
