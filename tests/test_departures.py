"""Plain services that leave and are replaced at their own address."""

import asyncio
import random
from types import SimpleNamespace
from typing import cast

from zinniaspool.core.ids import Address, FailureDomainId, UpstreamId
from zinniaspool.core.requests import Upstream, UpstreamPool, UpstreamReport
from zinniaspool.entry.departures import DepartureWatch
from zinniaspool.entry.services import ServiceIndex

_DOMAIN = FailureDomainId("d0")
_DOWN_S = 0.02
_LOOK_S = 0.01
_LOOKS = 200


class _Service:
    """Listens, and is there or gone at once like a killed process."""

    def __init__(self) -> None:
        self.address = Address("127.0.0.1:0")
        self.met = asyncio.Event()
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self) -> None:
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._meet, host, int(port))
        bound = self._server.sockets[0].getsockname()
        self.address = Address(f"{bound[0]}:{bound[1]}")

    async def _meet(
        self, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.append(writer)
        self.met.set()

    def end(self) -> None:
        self._server.close()
        for writer in self._writers:
            writer.close()


async def _watch_replaced(*, replaced: bool) -> bool:
    """Return whether a leaving service's address is used in the end."""
    service = _Service()
    await service.start()
    pool = UpstreamPool(random.Random(1), _DOMAIN)
    upstream = Upstream(UpstreamId("dispatch"), service.address, _DOMAIN, 4)
    pool.sync([UpstreamReport(upstream)], 0.0)
    (state,) = pool.list_states()
    pool.mark_leaving(state, 0.0)
    line = SimpleNamespace(pools={(): pool})
    index = cast(ServiceIndex, SimpleNamespace(lines=lambda: [line]))
    watching = asyncio.create_task(DepartureWatch(index).run())
    await service.met.wait()
    if replaced:
        service.end()
        await asyncio.sleep(_DOWN_S)
        await service.start()
    for _ in range(_LOOKS):
        if not state.leaving:
            break
        await asyncio.sleep(_LOOK_S)
    watching.cancel()
    service.end()
    return not state.leaving


def test_a_service_replaced_between_two_looks_is_used_again() -> None:
    """Callers are answered by what took a left service's place within 20 ms.

    A look now and then finds somebody listening each time, and the service's
    own word that it leaves would keep its successor out for ever.
    """
    assert asyncio.run(_watch_replaced(replaced=True))


def test_a_leaving_service_that_listens_on_stays_out() -> None:
    """Callers' requests do not go to what has said that it leaves."""
    assert not asyncio.run(_watch_replaced(replaced=False))
