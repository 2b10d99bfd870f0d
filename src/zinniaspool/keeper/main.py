"""Composition, start and shutdown of a control process on the platform."""

import asyncio
import contextlib
import time
from collections.abc import Callable

import structlog

from zinniaspool.core.fleet import LeavingSource
from zinniaspool.core.ids import Address
from zinniaspool.core.messages import Hello, Message
from zinniaspool.core.messages.fleet import LeavingInstance, SlowTarget, StalledTarget
from zinniaspool.fleet import (
    FleetCodec,
    FleetFollower,
    FleetStore,
    FleetView,
    HolderHeartbeat,
    NodeSettings,
    PeerExchange,
    QueryConnections,
    UpstreamConnector,
    make_location,
    run_supervised,
)
from zinniaspool.http import Connector, HttpServer
from zinniaspool.keeper.election import HolderElection, compute_candidacy_delay_s
from zinniaspool.keeper.engines import EngineControl
from zinniaspool.keeper.holder import GroupHolder
from zinniaspool.keeper.metrics import make_controller_metrics
from zinniaspool.keeper.plans import PlanStore
from zinniaspool.keeper.relays import EntryRelay

__all__ = ["CONNECT_S", "ControllerProcess"]

_log = structlog.get_logger(__name__)

CONNECT_S = 0.2
"""Longest wait for a connection to an engine or the store, in seconds."""


UNLIMITED_LOADS_S = 10.0
"""How long after the first start of the whole system loads of weights are not
limited, in seconds. Callers begin to send requests about twelve seconds after
that start."""


CLOSE_RESERVE_S = 0.5
"""Part of the grace period of a shutdown that is kept for closing, in
seconds."""

SLOW_CHECK_PAUSE_S = 1.5
"""Shortest pause between two checks of a group whose head is slow, in seconds.
All processes that share the head report it every second, and each check costs
a query to each of the group's VMs."""

OUTAGE_CHECK_PAUSE_S = 0.1
"""Pause between checks whether the store answers again, in seconds."""


class ControllerProcess:
    """Takes part in the election, and plans groups while it is the holder.

    Args:
        node: Settings of this process and its VM.
        store: The store.
        codec: Decodes the values in the store.
        make_engines: Returns what sends orders to engines and queries their
            status, on the connections of a connector.
        metrics_port: Port at which metrics are served; 0 to serve none.
    """

    def __init__(
        self,
        node: NodeSettings,
        store: FleetStore,
        codec: FleetCodec,
        make_engines: Callable[[Connector], EngineControl],
        metrics_port: int = 0,
    ) -> None:
        self._node = node
        self._metrics_address = (
            Address(f"{node.ip}:{metrics_port}") if metrics_port else None
        )
        self._stop = asyncio.Event()
        self._servers: list[HttpServer] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._fleet_view = FleetView(
            codec,
            decodes_instances=False,
            retains_instances=node.retains_instances,
        )
        self._store = store
        heartbeat = HolderHeartbeat()
        self._peers = PeerExchange(
            node.node,
            node.failure_domain,
            self._fleet_view,
            self._on_message,
            heartbeat,
            self._store.probe,
            lambda: self._election.term,
        )
        self._address = node.control_address
        self._election = HolderElection(
            self._store,
            self._fleet_view,
            self._peers,
            heartbeat,
            node.node,
            self._address,
            compute_candidacy_delay_s(node.cores, node.link_mbps),
        )
        self._follower = FleetFollower(
            self._store,
            self._fleet_view,
            self._peers,
            heartbeat,
            lambda: self._election.holds_key,
            self._list_seeds,
            self._peers.sum_demands,
            make_location(node),
        )
        self._query_connections = QueryConnections(self._peers)
        self._connector = UpstreamConnector(
            node.node, node.failure_domain, self._fleet_view
        )
        self._holder = GroupHolder(
            self._fleet_view,
            self._election,
            PlanStore(self._store, self._fleet_view.unreadable),
            make_engines(self._connector),
            EntryRelay(
                self._fleet_view,
                make_location(node),
                self._query_connections.request,
            ),
            self._peers.sum_demands,
            node.load_window_s,
            time.monotonic() + UNLIMITED_LOADS_S if node.first_start else 0.0,
            self._connector,
        )

    def stop(self, requested_at: float | None = None) -> None:
        """Request an orderly shutdown of the process.

        Args:
            requested_at: Time of the signal, which doesn't matter here.
        """
        self._stop.set()

    async def run(self) -> None:
        """Run until a shutdown is requested."""
        _log.info("started", first_start=self._node.first_start)
        await self._peers.listen(self._address)
        if self._metrics_address is not None:
            metrics = make_controller_metrics(
                self._fleet_view, self._store, self._holder, self._connector
            )
            self._servers.append(await metrics.listen(self._metrics_address))
        self._tasks = [
            asyncio.create_task(run_supervised("follower", self._follower.run)),
            asyncio.create_task(run_supervised("election", self._election.run)),
            asyncio.create_task(run_supervised("holder", self._holder.run)),
        ]
        await self._stop.wait()
        await self._plan_through_outage()
        if not self._holder.has_unsaved_plans:
            # If plans are not in the store, another holder would know less
            # than the next start on this VM, which continues as the holder.
            await self._election.withdraw()
        await self.abort()
        _log.info("stopped")

    async def _plan_through_outage(self) -> None:
        """Go on planning while no process can take over.

        This ends with the grace period of the shutdown. Once the store
        answers again, the plans that it lacks are saved.
        """
        ends_at = (
            asyncio.get_running_loop().time() + self._node.grace_s - CLOSE_RESERVE_S
        )
        while self._election.holds_key and not self._election.store_answers:
            if asyncio.get_running_loop().time() > ends_at:
                return
            await asyncio.sleep(OUTAGE_CHECK_PAUSE_S)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(ends_at):
                await self._holder.wait_until_saved()

    @property
    def may_plan(self) -> bool:
        """Whether this process plans groups now."""
        return self._election.may_plan

    async def abort(self) -> None:
        """Cancel all tasks and close all connections at once."""
        for task in self._tasks:
            task.cancel()
        self._connector.close()
        self._peers.close()
        self._query_connections.close()
        for server in self._servers:
            await server.drain(0.0)

    def _list_seeds(self) -> list[Address]:
        known = [record.peer_address for record in self._fleet_view.nodes.values()]
        return [
            address
            for address in [*known, *self._node.seeds]
            if address != self._address
        ]

    async def _on_message(self, hello: Hello, message: Message) -> Message | None:
        if isinstance(message, StalledTarget):
            self._holder.check_group(message.instance, message.node)
        elif isinstance(message, SlowTarget):
            self._holder.check_group(message.instance, message.node, SLOW_CHECK_PAUSE_S)
        elif isinstance(message, LeavingInstance):
            self._fleet_view.apply_leaving_report(message, LeavingSource.PEER)
        return None
