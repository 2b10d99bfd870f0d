"""A control process: what it is made of, how it starts and leaves."""

import asyncio
import contextlib
import time

import structlog

from zinniaspool.core.ids import Address
from zinniaspool.core.messages import Hello, Message
from zinniaspool.core.messages.fleet import StalledTarget
from zinniaspool.fleet import (
    FleetCodec,
    FleetFollower,
    FleetStore,
    FleetView,
    HolderHeartbeat,
    NodeSettings,
    PeerExchange,
    make_location,
    run_supervised,
)
from zinniaspool.http import HttpServer
from zinniaspool.keeper.election import HolderElection, find_delay_s
from zinniaspool.keeper.engines import Engines
from zinniaspool.keeper.holder import GroupHolder
from zinniaspool.keeper.metrics import make_keeper_metrics
from zinniaspool.keeper.plans import PlanBook

__all__ = ["CONNECT_S", "KeeperProcess"]

_log = structlog.get_logger(__name__)

CONNECT_S = 0.2
"""Longest wait for a connection to an engine or the store, in seconds."""


LEAD_S = 10.0
"""For how long after the whole system's first start loads are not counted, in
seconds: callers come some twelve seconds after it."""


END_SPARE_S = 0.5
"""Part of the stop time, in seconds, that is left for closing."""

STAY_CHECK_S = 0.1
"""Pause between looks whether the store is back, in seconds."""


class KeeperProcess:
    """Stands for holder, and plans groups while it is.

    Args:
        node: What it is told when it starts.
        store: The store.
        fleet: Reads what stands there.
        engines: Gives orders.
        metrics_port: Where metrics are served; 0 for nowhere.
    """

    def __init__(
        self,
        node: NodeSettings,
        store: FleetStore,
        fleet: FleetCodec,
        engines: Engines,
        metrics_port: int = 0,
    ) -> None:
        self._node = node
        self._metrics_address = (
            Address(f"{node.ip}:{metrics_port}") if metrics_port else None
        )
        self._stop = asyncio.Event()
        self._servers: list[HttpServer] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._belief = FleetView(fleet, decodes_instances=False)
        self._store = store
        sight = HolderHeartbeat()
        self._mesh = PeerExchange(
            node.node,
            node.failure_domain,
            self._belief,
            self._take_message,
            sight,
            self._store.probe,
            lambda: self._election.lead,
        )
        self._address = node.control_address
        self._election = HolderElection(
            self._store,
            self._belief,
            self._mesh,
            sight,
            node.node,
            self._address,
            find_delay_s(node.cores, node.link_mbps),
        )
        self._follower = FleetFollower(
            self._store,
            self._belief,
            self._mesh,
            sight,
            lambda: self._election.claims,
            self._list_seeds,
            self._mesh.sum_demands,
            make_location(node),
        )
        self._holder = GroupHolder(
            self._belief,
            self._election,
            PlanBook(self._store),
            engines,
            self._mesh.sum_demands,
            node.load_window_s,
            time.monotonic() + LEAD_S if node.first_start else 0.0,
        )

    def stop(self) -> None:
        """Tell the process to stop in order."""
        self._stop.set()

    async def run(self) -> None:
        """Run until the process is told to stop."""
        _log.info("started", first_start=self._node.first_start)
        await self._mesh.listen(self._address)
        if self._metrics_address is not None:
            metrics = make_keeper_metrics(self._belief, self._store, self._holder)
            self._servers.append(await metrics.listen(self._metrics_address))
        self._tasks = [
            asyncio.create_task(run_supervised("follower", self._follower.run)),
            asyncio.create_task(run_supervised("election", self._election.run)),
            asyncio.create_task(run_supervised("holder", self._holder.run)),
        ]
        await self._stop.wait()
        await self._stay_through_outage()
        if not self._holder.owes:
            # With plans that are not written, its successor would know less
            # than this VM's next start, which takes over from here.
            await self._election.resign()
        await self.abort()
        _log.info("stopped")

    async def _stay_through_outage(self) -> None:
        """Plan on while nobody could take over, as long as there is time."""
        ends = asyncio.get_running_loop().time() + self._node.grace_s - END_SPARE_S
        while self._election.claims and not self._election.confirmed:
            if asyncio.get_running_loop().time() > ends:
                return
            await asyncio.sleep(STAY_CHECK_S)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(ends):
                await self._holder.settle()

    @property
    def holds(self) -> bool:
        """Whether this process plans groups now."""
        return self._election.holds

    async def abort(self) -> None:
        """Close everything at once."""
        for task in self._tasks:
            task.cancel()
        self._mesh.close()
        for server in self._servers:
            await server.drain(0.0)

    def _list_seeds(self) -> list[Address]:
        known = [one.peer_address for one in self._belief.nodes.values()]
        return [one for one in [*known, *self._node.seeds] if one != self._address]

    async def _take_message(self, hello: Hello, message: Message) -> Message | None:
        if isinstance(message, StalledTarget):
            self._holder.suspect(message.instance, message.node)
        return None
