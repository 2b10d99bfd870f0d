"""An entry process: what it is made of, how it starts and leaves."""

import asyncio
import contextlib
import random
import socket
from collections.abc import Collection

import msgspec
import structlog
from result import Err

from zinniaspool.core.dispatch import (
    Quarantine,
    RetryLimits,
    find_subset,
)
from zinniaspool.core.fleet import (
    NODES_PREFIX,
    ModelDemandReport,
    NodeRecord,
    NodeState,
    ReachabilityTracker,
)
from zinniaspool.core.ids import Address, NodeId
from zinniaspool.core.messages import Hello, Message
from zinniaspool.core.messages.fleet import (
    ClearedContents,
    CrashReport,
    LoadReport,
    StalledTarget,
    UnreachableNode,
    UpstreamLimit,
)
from zinniaspool.core.storage import KeyWrite
from zinniaspool.fleet import (
    FleetBelief,
    FleetFollower,
    FleetMesh,
    FleetSpelling,
    FleetStore,
    HolderSight,
    KeptLease,
    NodeSettings,
    make_place,
    run_duty,
)
from zinniaspool.gateway.carrier import Carrier
from zinniaspool.gateway.crashes import CrashWatch
from zinniaspool.gateway.directory import DirectoryFace
from zinniaspool.gateway.face import CallerFace, refuse_request
from zinniaspool.gateway.gate import Gate
from zinniaspool.gateway.limits import AnnouncedLimits
from zinniaspool.gateway.metrics import make_gateway_metrics
from zinniaspool.gateway.moves import Moves
from zinniaspool.gateway.probes import NodeProber
from zinniaspool.gateway.records import HeldRecords
from zinniaspool.gateway.silence import SilenceWatch
from zinniaspool.gateway.spelling import CallSpelling
from zinniaspool.gateway.targets import TargetIndex
from zinniaspool.http import HttpClient, HttpServer, ServerLimits
from zinniaspool.telemetry import RequestTally

__all__ = ["CONNECT_S", "GatewayProcess"]

_log = structlog.get_logger(__name__)

CONNECT_S = 0.3
"""Longest wait for a connection, in seconds: hundreds of round trips within a
region, while a VM that is dark never answers."""

NODE_LEASE_S = 12.0
"""How long the store keeps a process that is gone, in seconds. The others try
each other and leave it out of address answers within about a second; renewing
each process's lease is most of what the store is asked at rest."""

LAST_BEGIN_S = 4.8
"""Seconds after the stop signal until which new requests are taken: longer
ones than the rest of the stop time would be cut."""

LEAST_STAY_S = 6.4
"""Seconds that a stopping process stays in any case: callers keep an address
answer for three lifetimes of two seconds."""

END_SPARE_S = 0.25
"""Part of the stop time, in seconds, that is left for closing."""


LOADS_S = 0.05
"""Pause between words to the processes that share targets with this one, in
seconds. A target of 13 slots takes and ends a request in about twice that:
with a pause of 0.1 s what is believed of it was wrong by 2.4 requests, with
this by 1.1, over a burst."""

TOLD_UNREACHABLE = 6
"""VMs that are told of one that cannot be reached: each tells as many again
that have not tried it yet, so that of hundreds hardly any is left out after
four rounds."""

WHOLE_LOADS_S = 1.0
"""Pause between words that name all of it, in seconds: one that was lost on
the way is made good by then."""


class GatewayProcess:
    """Serves callers until it is told to stop, then drains.

    Args:
        node: What it is told when it starts.
        store: The store.
        fleet: Reads what stands there.
        calls: Reads and writes what callers and upstreams say.
        metrics_port: Where metrics are served; 0 for nowhere.
        listener: Listens where callers connect already.
        opened: Since when, in seconds.
    """

    def __init__(
        self,
        node: NodeSettings,
        store: FleetStore,
        fleet: FleetSpelling,
        calls: CallSpelling,
        metrics_port: int = 0,
        listener: socket.socket | None = None,
        opened: float | None = None,
    ) -> None:
        self._node = node
        self._listener = listener
        self._opened = opened
        self._metrics_address = (
            Address(f"{node.ip}:{metrics_port}") if metrics_port else None
        )
        self._belief = FleetBelief(fleet)
        self._stopping: float | None = None
        self._stop = asyncio.Event()
        self._configured = asyncio.Event()
        self._store = store
        sight = HolderSight()
        self._mesh = FleetMesh(
            node.node,
            node.failure_domain,
            self._belief,
            self._take_message,
            sight,
            self._store.probe,
        )
        self._address = Address(f"{node.ip}:{node.first_port}")
        self._follower = FleetFollower(
            self._store,
            self._belief,
            self._mesh,
            sight,
            lambda: False,
            self._list_seeds,
            self._list_demands,
            make_place(node),
            node.control_address,
        )
        self._index = TargetIndex(self._belief, node.failure_domain)
        self._subset = find_subset(node.node, node.failure_domain, {})
        self._http = HttpClient(connect_s=CONNECT_S, unframed=True)
        self._gate = Gate(self._index.measure_age)
        self._moves = Moves(self._index)
        quarantine = Quarantine()
        self._records = HeldRecords(
            node.node, self._belief, self._store, quarantine.list_crashed_instances
        )
        self._crashes = CrashWatch(
            node.node,
            quarantine,
            self._records,
            self._index,
            self._moves,
            self._tell_all,
            self._tell_holder,
        )
        self._limits = AnnouncedLimits(
            node.node,
            self._index,
            lambda note: self._tell(self._subset.other_members, note),
        )
        self._carrier = Carrier(
            self._http,
            calls,
            self._index,
            self._gate,
            self._moves,
            self._crashes,
            self._limits,
        )
        self._silence = SilenceWatch(
            node.node,
            self._index,
            self._moves,
            self._tell_holder,
            lambda note: self._tell(self._subset.other_members, note),
        )
        repeats = RetryLimits(
            node.repeat_ratio, node.repeat_window_s, node.repeat_slack
        )
        tally = RequestTally()
        self._face = CallerFace(
            calls, self._belief, self._carrier, repeats, lambda: self._may_begin, tally
        )
        self._metrics = make_gateway_metrics(
            tally,
            self._belief,
            self._store,
            self._index,
            self._http,
            self._gate.tally,
            self._crashes,
        )
        self._reachability = ReachabilityTracker(random.Random())
        self._directory = DirectoryFace(
            self._belief, self._find_own, node.address_lifetime_s, self._reachability
        )
        self._prober = NodeProber(
            self._belief, node.node, self._reachability, self._tell_unreachable
        )
        self._lease = KeptLease(self._store, NODE_LEASE_S)
        self._server = HttpServer(self._face.handle, refuse=refuse_request)
        self._servers = [self._server]
        self._tasks: list[asyncio.Task[None]] = []
        self._belief.on_catalog.append(self._take_catalog)
        self._belief.on_instances.append(self._refresh)
        self._belief.on_nodes.append(self._count_processes)
        self._belief.on_held.append(self._crashes.take_records)

    def stop(self) -> None:
        """Tell the process to stop in order."""
        self._stop.set()

    async def run(self) -> None:
        """Run until the process is told to stop."""
        _log.info("started", first_start=self._node.first_start)
        self._tasks = [
            asyncio.create_task(run_duty("follower", self._follower.run)),
            asyncio.create_task(run_duty("register", self._register)),
            asyncio.create_task(run_duty("watch_silence", self._silence.run)),
            asyncio.create_task(run_duty("tell_loads", self._tell_loads)),
            asyncio.create_task(run_duty("prober", self._prober.run)),
            asyncio.create_task(run_duty("records", self._records.run)),
        ]
        await self._listen()
        await self._mesh.listen(self._address)
        await self._stop.wait()
        await self._leave()
        await self._lease.end()
        await self.abort()
        _log.info("stopped", running=self._face.running)

    @property
    def running(self) -> int:
        """How many callers' requests run."""
        return self._face.running

    def list_addresses(self) -> list[str]:
        """Return where callers are told to connect."""
        return self._directory.list_addresses()

    async def abort(self) -> None:
        """Close everything at once."""
        for task in self._tasks:
            task.cancel()
        self._mesh.close()
        for server in self._servers:
            await server.drain(0.0)

    async def _listen(self) -> None:
        node = self._node
        assert node.caller_address is not None
        await self._server.listen(node.caller_address, self._listener)
        if self._opened is not None:
            self._face.note_opened(self._opened)
        for address in {node.ready_address, node.directory_address} - {None}:
            assert address is not None
            server = HttpServer(self._directory.handle)
            self._servers.append(server)
            await server.listen(address)
        if self._metrics_address is not None:
            self._servers.append(await self._metrics.listen(self._metrics_address))
        _log.info("callers-listening", address=node.caller_address)

    def _list_seeds(self) -> list[Address]:
        known = [one.peer_address for one in self._belief.nodes.values()]
        return [one for one in [*known, *self._node.seeds] if one != self._address]

    async def _take_message(self, hello: Hello, message: Message) -> Message | None:
        if isinstance(message, UnreachableNode):
            self._reachability.suspect(message.node)
        elif isinstance(message, StalledTarget):
            self._silence.hear(message)
        elif isinstance(message, CrashReport):
            self._crashes.hear_crash(message)
        elif isinstance(message, ClearedContents):
            self._crashes.hear_cleared(message)
        elif isinstance(message, UpstreamLimit):
            self._limits.hear(message)
        elif isinstance(message, LoadReport):
            self._index.take_loads(message, asyncio.get_running_loop().time())
        return None

    def _tell_unreachable(self, node: NodeId) -> None:
        """Have some others try a VM that this one does not reach.

        Whoever does not reach it either tells some others in turn, so that
        all hear of it within about a second, and nobody has to tell all.
        """
        others = [x for x in self._belief.nodes if x not in (node, self._node.node)]
        told = random.sample(others, min(TOLD_UNREACHABLE, len(others)))
        self._tell(told, UnreachableNode(node))

    def _tell_all(self, note: Message) -> None:
        self._tell([x for x in self._belief.nodes if x != self._node.node], note)

    def _tell(self, nodes: Collection[NodeId], note: Message) -> None:
        records = [self._belief.nodes.get(node) for node in nodes]
        self._mesh.tell([one.peer_address for one in records if one], note)

    def _tell_holder(self, note: Message) -> None:
        holder = self._belief.holder
        if holder is not None:
            self._mesh.tell([holder.peer_address], note)

    def _list_demands(self) -> list[ModelDemandReport]:
        return self._index.list_demands(self._gate.measure_demand)

    async def _tell_loads(self) -> None:
        """Tell the other entry processes what this one has at each target."""
        loop = asyncio.get_running_loop()
        whole_at = loop.time()
        while True:
            await asyncio.sleep(LOADS_S)
            now = loop.time()
            self._index.expire_loads(now)
            self._gate.step()
            changes, whole = self._index.list_load_changes(), now >= whole_at
            if whole:
                changes, whole_at = self._index.list_loads(), now + WHOLE_LOADS_S
            if not changes and not whole:
                continue
            note = LoadReport(self._node.node, changes, whole)
            self._tell(self._subset.other_members, note)

    @property
    def _may_begin(self) -> bool:
        if self._stopping is None:
            return True
        return asyncio.get_running_loop().time() - self._stopping < LAST_BEGIN_S

    def _find_own(self) -> NodeRecord | None:
        if self._stopping is not None or self._belief.catalog is None:
            return None
        return self._make_record(NodeState.READY)

    def _make_record(self, state: NodeState) -> NodeRecord:
        node = self._node
        assert node.caller_address is not None
        return NodeRecord(
            node.node,
            node.caller_address,
            self._address,
            node.failure_domain,
            node.region,
            state,
            node.control_address,
        )

    def _take_catalog(self) -> None:
        catalog = self._belief.catalog
        assert catalog is not None
        self._configured.set()
        limits = catalog.limits
        self._server.limits = ServerLimits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            receive_s=limits.header_timeout_s,
            idle_s=limits.idle_timeout_s * 1.25,
        )
        self._refresh()

    def _refresh(self) -> None:
        now = asyncio.get_running_loop().time()
        for state in self._index.refresh(now):
            if self._belief.is_over(state.target.instance, state.target.started_at_ms):
                self._http.forget(state.target.address)
            self._moves.move_from(state)

    def _count_processes(self) -> None:
        node, nodes = self._node, self._belief.nodes
        domains = {one.node: one.failure_domain for one in nodes.values()}
        subset = find_subset(node.node, node.failure_domain, domains)
        everybody = len(nodes.keys() | {node.node})
        self._face.processes = everybody
        if subset != self._subset:
            _log.info(
                "targets-shared",
                peers=",".join(subset.other_members),
                number=subset.index,
            )
        self._subset = subset
        self._index.set_subset(subset, everybody)

    async def _register(self) -> None:
        """Keep this process's record in the store."""
        written = None
        await self._configured.wait()
        while True:
            if await self._lease.keep():
                state = NodeState.READY if self._stopping is None else NodeState.LEAVING
                wanted = (self._lease.number, state)
                if written != wanted and await self._write_record(state):
                    written = wanted
            await self._lease.pause()

    async def _write_record(self, state: NodeState) -> bool:
        assert self._lease.number is not None
        key = NODES_PREFIX + self._node.node
        value = msgspec.json.encode(self._make_record(state))
        write = KeyWrite(key, value, self._lease.number)
        done = await self._store.commit([], [write])
        return not isinstance(done, Err)

    async def _leave(self) -> None:
        """Serve while callers may come, then until the last request ends."""
        loop = asyncio.get_running_loop()
        self._stopping = loop.time()
        _log.info("stopping", running=self._face.running)
        await self._write_leaving()
        end = self._stopping + self._node.grace_s - END_SPARE_S
        await asyncio.sleep(max(0.0, min(LEAST_STAY_S, self._node.grace_s - 1.0)))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(end):
                await self._face.idle.wait()

    async def _write_leaving(self) -> None:
        if self._lease.number is not None:
            await self._write_record(NodeState.LEAVING)
