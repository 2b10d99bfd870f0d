"""Plain services that leave and are replaced at the same address."""

import asyncio
import random
from types import SimpleNamespace
from typing import cast

from zinniaspool.core.ids import Address, FailureDomainId, UpstreamId
from zinniaspool.core.requests import Upstream, UpstreamPool, UpstreamReport
from zinniaspool.entry.departures import DepartureDetector
from zinniaspool.entry.services import ServiceIndex

_DOMAIN = FailureDomainId("d0")
_DOWN_S = 0.02
_POLL_S = 0.01
_POLLS = 200


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


async def _is_readmitted(*, replaced: bool) -> bool:
    """Return whether a leaving service's address is used again."""
    service = _Service()
    await service.start()
    pool = UpstreamPool(random.Random(1), _DOMAIN)
    upstream = Upstream(UpstreamId("dispatch"), service.address, _DOMAIN, 4)
    pool.sync([UpstreamReport(upstream)], 0.0)
    (state,) = pool.list_states()
    pool.mark_leaving(state, 0.0)
    service_state = SimpleNamespace(pools={(): pool})
    index = cast(ServiceIndex, SimpleNamespace(list_services=lambda: [service_state]))
    detecting = asyncio.create_task(DepartureDetector(index).run())
    await service.connected.wait()
    if replaced:
        service.end()
        await asyncio.sleep(_DOWN_S)
        await service.start()
    for _ in range(_POLLS):
        if not state.leaving:
            break
        await asyncio.sleep(_POLL_S)
    detecting.cancel()
    service.end()
    return not state.leaving


def test_a_service_replaced_between_two_checks_is_used_again() -> None:
    """A service that replaces a leaving service within 20 ms gets requests.

    Periodic checks alone find a listening process each time, and the leaving
    service's announcement would keep its successor excluded forever.
    """
    assert asyncio.run(_is_readmitted(replaced=True))


def test_a_leaving_service_that_still_listens_stays_excluded() -> None:
    """Callers' requests do not go to a service that announced its leaving."""
    assert not asyncio.run(_is_readmitted(replaced=False))
