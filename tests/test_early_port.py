"""What the programs do while they load: the callers' port, signals."""

import asyncio
import signal
import socket
import struct
import time
from pathlib import Path

import pytest

from tests.installation import eventually
from zinniaspool.core.ids import Address
from zinniaspool.http import HttpServer, backlog
from zinniaspool.http.exchange import Exchange
from zinniaspool.http.messages import Headers
from zinniaspool.platform import control
from zinniaspool.platform.entry import listen_early
from zinniaspool.platform.signals import STOP_SIGNALS
from zinniaspool_standins.installation import Installation
from zinniaspool_standins.nodes import NodeProcess, end_nodes, make_nodes


def test_a_caller_that_connects_while_the_program_loads_is_answered() -> None:
    """A connection is not refused while no program reads from it yet.

    The program then takes over the listening socket and answers.
    """

    async def answer(exchange: Exchange) -> None:
        await exchange.respond(200, Headers(), b"here")

    async def test() -> None:
        listener = listen_early("127.0.0.1", 0)
        port = listener.getsockname()[1]
        early = socket.create_connection(("127.0.0.1", port), timeout=1.0)
        early.sendall(b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        server = HttpServer(answer)
        await server.listen(Address(f"127.0.0.1:{port}"), listener)
        read = await asyncio.to_thread(_read_all, early)
        await server.drain(0.0)
        assert read.startswith(b"HTTP/1.1 200")
        assert read.endswith(b"here")

    asyncio.run(test())


@pytest.mark.parametrize("is_recorded", [True, False])
def test_requests_are_dated_by_what_waited_while_the_program_loaded(
    is_recorded: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against requests of the first moment whose deadlines are early.

    Those that came while the program loaded must not end late either.
    """
    if not is_recorded:
        monkeypatch.setattr(backlog, "measure_unread", lambda _: None)
    received: dict[str, float] = {}

    async def record(exchange: Exchange) -> None:
        received[exchange.request.path] = exchange.received_at
        await exchange.respond(200, Headers(), b"")

    async def test() -> None:
        now = asyncio.get_running_loop().time
        listener = listen_early("127.0.0.1", 0)
        opened_at, sent = now(), {}
        callers = []

        def send(path: str, caller: socket.socket) -> None:
            caller.sendall(f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
            sent[path] = now()

        for path in ("/first", "/second"):
            await asyncio.sleep(0.3)
            callers.append(socket.create_connection(listener.getsockname()))
            send(path, callers[-1])
        callers.append(socket.create_connection(listener.getsockname()))
        await asyncio.sleep(0.3)
        ready_at, server = now(), HttpServer(record)
        await server.listen(Address("127.0.0.1:0"), listener, opened_at)
        await eventually(lambda: len(received) == 2)
        callers.append(socket.create_connection(listener.getsockname()))
        send("/new", callers[-1])
        if is_recorded:
            send("/late", callers[2])
        for caller in callers[:2]:
            await asyncio.to_thread(caller.recv, 4096)
        send("/again", callers[0])
        await eventually(lambda: received.keys() == sent.keys())
        await server.drain(0.0)
        for caller in callers:
            caller.close()
        assert list(received)[:2] == ["/first", "/second"]
        if not is_recorded:
            half = (opened_at + ready_at) / 2
            sent |= {"/first": half, "/second": half}
        assert received == pytest.approx(sent, abs=0.03)

    asyncio.run(test())


def test_a_record_without_received_bytes_dates_no_request() -> None:
    """Guards against late deadlines where the record isn't filled in."""

    class Unfilled:
        def getsockopt(self, level: int, option: int, size: int, /) -> bytes:
            return b"\x01".ljust(size, b"\0")

    assert backlog.measure_unread(Unfilled()) is None


@pytest.mark.parametrize(("recorded_ms", "unread_s"), [(4, 0.0), (10, 0.0), (50, 0.05)])
def test_a_tick_of_the_kernels_clock_is_no_time_unread(
    recorded_ms: int, unread_s: float
) -> None:
    """Guards against a request that is dated to before a stop it followed."""

    class Recorded:
        def getsockopt(self, level: int, option: int, size: int, /) -> bytes:
            return struct.pack("=B51xI72xQ", 1, recorded_ms, 100)

    assert backlog.measure_unread(Recorded()) == unread_s


def test_small_segments_are_sent_without_delay_on_the_early_port() -> None:
    """Otherwise each event of a stream waits 40 ms for an acknowledgement.

    asyncio turns the delay off only on sockets with an explicit protocol.
    """
    listener = listen_early("127.0.0.1", 0)
    caller = socket.create_connection(listener.getsockname(), timeout=1.0)
    listener.setblocking(True)
    accepted, _ = listener.accept()
    try:
        assert accepted.proto == socket.IPPROTO_TCP
    finally:
        for connection in (accepted, caller, listener):
            connection.close()


def test_a_port_in_use_is_an_error_and_leaves_no_socket_open() -> None:
    with (
        socket.create_server(("127.0.0.1", 0)) as other,
        pytest.raises(OSError, match="in use"),
    ):
        listen_early("127.0.0.1", other.getsockname()[1])


@pytest.mark.processes
def test_a_program_that_loads_survives_a_change_of_its_settings(
    tmp_path: Path,
) -> None:
    """Guards against a SIGHUP that ends a VM's programs while they load."""

    async def test() -> None:
        async with Installation.running(nodes=0, engines=0, plain=0) as made:
            nodes = await make_nodes(made, tmp_path, 1)
            try:
                await asyncio.gather(*map(_signal_early, nodes[0].processes))
            finally:
                await end_nodes(nodes)

    asyncio.run(test())


async def _signal_early(program: NodeProcess) -> None:
    await eventually(lambda: _has(program, "SigIgn", signal.SIGHUP))
    program.send(signal.SIGHUP)
    await eventually(lambda: "event=started" in program.log.read_text())


@pytest.mark.processes
def test_a_control_program_that_is_stopped_while_it_loads_ends_in_order(
    tmp_path: Path,
) -> None:
    """Guards against a SIGTERM that kills a control program that loads."""

    async def test() -> None:
        async with Installation.running(nodes=0, engines=0, plain=0) as made:
            nodes = await make_nodes(made, tmp_path, 1)
            _, control_program = nodes[0].processes
            process = control_program.process
            assert process is not None
            try:
                await eventually(
                    lambda: _has(control_program, "SigCgt", signal.SIGTERM)
                )
                control_program.send(signal.SIGTERM)
                assert await asyncio.wait_for(process.wait(), 10.0) == 0
                assert "event=stopped" in control_program.log.read_text()
            finally:
                await end_nodes(nodes)

    asyncio.run(test())


def _has(program: NodeProcess, field: str, number: signal.Signals) -> bool:
    """Tell whether a mask in the status of a process has a signal."""
    assert program.process is not None
    status = Path(f"/proc/{program.process.pid}/status").read_text()
    mask = status.partition(f"{field}:")[2].split()[0]
    return bool(int(mask, 16) >> (number - 1) & 1)


def _read_all(connection: socket.socket) -> bytes:
    found = b""
    with connection:
        while part := connection.recv(4096):
            found += part
    return found


def test_the_control_program_survives_signals_while_it_waits(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a control program that ends before it has loaded."""
    handlers: list[object] = []
    numbers = (signal.SIGHUP, *STOP_SIGNALS)

    def stop_waiting(_: float) -> None:
        handlers.extend(map(signal.getsignal, numbers))
        raise KeyboardInterrupt

    monkeypatch.setattr(time, "sleep", stop_waiting)
    before = {number: signal.getsignal(number) for number in numbers}
    try:
        with pytest.raises(KeyboardInterrupt):
            control.main()
    finally:
        for number, handler in before.items():
            signal.signal(number, handler)
    assert handlers[0] == signal.SIG_IGN
    assert all(map(callable, handlers[1:]))
    assert signal.default_int_handler not in handlers
