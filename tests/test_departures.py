"""Plain services that leave and are replaced at the same address."""

import asyncio
import random
import socket
import time
from types import SimpleNamespace
from typing import cast

import pytest

from zinniaspool.core.ids import Address, FailureDomainId, UpstreamId
from zinniaspool.core.requests import (
    Upstream,
    UpstreamPool,
    UpstreamReport,
    UpstreamState,
)
from zinniaspool.entry.departures import DepartureDetector
from zinniaspool.entry.services import ServiceIndex

_DOMAIN = FailureDomainId("d0")
_DOWN_S = 0.02
_POLL_S = 0.01
_POLLS = 200
_HELD_S = 0.1
_IDLE_S = 0.02
_CLOSED_COUNT = 3
_WATCHED_S = 1.0
_TICK_S = 0.005
_IN_TIME_S = 0.05
_TRIALS = 20


class _Service:
    """A listening service that can be ended at once, like a killed process."""

    def __init__(self) -> None:
        self.address = Address("127.0.0.1:0")
        self.connected = asyncio.Event()
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self) -> None:
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._on_connect, host, int(port))
        bound = self._server.sockets[0].getsockname()
        self.address = Address(f"{bound[0]}:{bound[1]}")

    async def _on_connect(
        self, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.append(writer)
        self.connected.set()

    def end(self) -> None:
        self._server.close()
        for writer in self._writers:
            writer.close()


def _make_leaving(address: Address) -> tuple[UpstreamState, DepartureDetector]:
    """Return a leaving service's state, and the detector that checks it."""
    pool = UpstreamPool(random.Random(1), _DOMAIN)
    upstream = Upstream(UpstreamId("dispatch"), address, _DOMAIN, 4)
    pool.sync([UpstreamReport(upstream)], 0.0)
    (state,) = pool.list_states()
    pool.mark_leaving(state, 0.0)
    service_state = SimpleNamespace(pools={(): pool})
    index = cast(ServiceIndex, SimpleNamespace(list_services=lambda: [service_state]))
    return state, DepartureDetector(index)


async def _is_used(state: UpstreamState) -> bool:
    """Return whether a service that left is used again within some time."""
    for _ in range(_POLLS):
        if not state.leaving:
            return True
        await asyncio.sleep(_POLL_S)
    return False


async def _is_readmitted(*, replaced: bool) -> bool:
    """Return whether a leaving service's address is used again."""
    service = _Service()
    await service.start()
    state, detector = _make_leaving(service.address)
    detecting = asyncio.create_task(detector.run())
    await service.connected.wait()
    if replaced:
        service.end()
        await asyncio.sleep(_DOWN_S)
        await service.start()
    used = await _is_used(state)
    detecting.cancel()
    service.end()
    return used


def _hold_loop(hold_s: float) -> None:
    """Have the loop stand still, as that of a frozen process does."""
    time.sleep(hold_s)


async def _is_readmitted_after(hold_s: float, *, replaced: bool) -> bool:
    """Return whether a service is used again after the loop was held.

    Sockets without the loop play the service, which is another process.
    """
    loop = asyncio.get_running_loop()
    listener = socket.create_server(("127.0.0.1", 0))
    listener.setblocking(False)
    host, port = listener.getsockname()
    state, detector = _make_leaving(Address(f"{host}:{port}"))
    detecting = asyncio.create_task(detector.run())
    connection, _ = await loop.sock_accept(listener)
    await asyncio.sleep(_HELD_S)
    if replaced:
        connection.close()
        listener.close()
        listener = socket.create_server((host, port))
    _hold_loop(hold_s)
    used = await _is_used(state)
    detecting.cancel()
    connection.close()
    listener.close()
    return used


async def _watch_idle_closing() -> tuple[bool, float]:
    """Have a service that closes idle connections checked for some time.

    Returns:
        Whether it is used again, and by how many seconds the loop was late.
    """
    loop = asyncio.get_running_loop()
    closed = 0

    async def close_idle(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal closed
        try:
            await asyncio.sleep(_IDLE_S)
            closed += 1
        finally:
            writer.close()

    server = await asyncio.start_server(close_idle, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    state, detector = _make_leaving(Address(f"{host}:{port}"))
    detecting = asyncio.create_task(detector.run())
    late_s, at = 0.0, loop.time()
    ends_at = at + _WATCHED_S
    while at < ends_at:
        await asyncio.sleep(_TICK_S)
        late_s, at = max(late_s, loop.time() - at - _TICK_S), loop.time()
    detecting.cancel()
    server.close()
    assert closed >= _CLOSED_COUNT or late_s > _IN_TIME_S
    return not state.leaving, late_s


def test_a_service_replaced_between_two_checks_is_used_again() -> None:
    """A service that replaces a leaving service within 20 ms gets requests.

    Periodic checks alone find a listening process each time, and the leaving
    service's announcement would keep its successor excluded forever.
    """
    assert asyncio.run(_is_readmitted(replaced=True))


def test_a_leaving_service_that_still_listens_stays_excluded() -> None:
    """Callers' requests do not go to a service that announced its leaving."""
    assert not asyncio.run(_is_readmitted(replaced=False))


@pytest.mark.parametrize("hold_s", [0.12, 0.4, 1.0])
def test_a_service_replaced_while_the_loop_is_held_is_used_again(
    hold_s: float,
) -> None:
    """A service that is replaced while the entry process stands still is used.

    Each check finds a listening process then: the old one before, the new one
    afterwards. Without more, the new one would stay excluded forever.
    """
    assert asyncio.run(_is_readmitted_after(hold_s, replaced=True))


@pytest.mark.parametrize("hold_s", [0.12, 0.4, 1.0])
def test_a_leaving_service_stays_excluded_while_the_loop_is_held(
    hold_s: float,
) -> None:
    """An entry process that stands still sends nothing to the same process."""
    assert not asyncio.run(_is_readmitted_after(hold_s, replaced=False))


def test_a_leaving_service_that_closes_idle_connections_stays_excluded() -> None:
    """A connection that ends while it is watched is not taken for an end.

    A trial counts only if the loop was in time.
    """
    for _ in range(_TRIALS):
        used, late_s = asyncio.run(_watch_idle_closing())
        if late_s <= _IN_TIME_S:
            break
    assert late_s <= _IN_TIME_S
    assert not used
