"""The entry process of the users' platform: its parts, its start and its stop.

The process accepts callers' requests, follows the state of the fleet, and
exchanges load reports, stalls, crashes and rate limits with its peers.
"""

import asyncio
import contextlib
import random
import socket
from collections.abc import Collection

import msgspec
import structlog

from zinniaspool.core.dispatch import (
    ColdBound,
    Quarantine,
    RetryLimits,
    assign_domains,
    find_subset,
)
from zinniaspool.core.fleet import (
    NODES_PREFIX,
    ModelDemandReport,
    NodeRecord,
    NodeState,
    ReachabilityTracker,
)
from zinniaspool.core.ids import Address, FailureDomainId, NodeId, TraitId
from zinniaspool.core.messages import Hello, Message
from zinniaspool.core.messages.fleet import (
    AnswerReport,
    CrashHistory,
    CrashHistoryRequest,
    CrashReport,
    CutAnswer,
    DemandDigest,
    InstanceQuery,
    LeavingInstance,
    LeavingNode,
    LoadReport,
    PausedInstance,
    StalledTarget,
    UnreachableNode,
    UpstreamLimit,
)
from zinniaspool.fleet import (
    FleetCodec,
    FleetFollower,
    FleetStore,
    FleetView,
    HolderHeartbeat,
    NodeSettings,
    OwnRecord,
    PeerExchange,
    RenewedLease,
    TunnelServer,
    UpstreamConnector,
    make_location,
    run_supervised,
)
from zinniaspool.gateway.backpressure import BackpressureTracker
from zinniaspool.gateway.calls import RerouteCause
from zinniaspool.gateway.carrier import RequestForwarder
from zinniaspool.gateway.clocks import StopClock
from zinniaspool.gateway.cold import ColdTracker
from zinniaspool.gateway.crashes import CrashDetector
from zinniaspool.gateway.cuts import CutAnswerReporter, log_peer_report
from zinniaspool.gateway.digests import DemandReporter
from zinniaspool.gateway.directory import DirectoryHandler
from zinniaspool.gateway.endings import StreamEndWatcher
from zinniaspool.gateway.evacuations import EvacuationMonitor
from zinniaspool.gateway.face import CallerHandler, refuse_request
from zinniaspool.gateway.gate import AdmissionQueues
from zinniaspool.gateway.lateness import LoopLateness
from zinniaspool.gateway.leaving import DeliveryGuard, LeavingReporter
from zinniaspool.gateway.loads import LOAD_REPORT_INTERVAL_S, LoadReporter
from zinniaspool.gateway.metrics import make_gateway_metrics
from zinniaspool.gateway.moves import Rerouter
from zinniaspool.gateway.probes import NodeProber
from zinniaspool.gateway.queries import InstanceFetcher, InstanceQueryHandler
from zinniaspool.gateway.records import QuarantineRecordStore
from zinniaspool.gateway.retries import RetryBudgets
from zinniaspool.gateway.sending import AttemptSender
from zinniaspool.gateway.silence import StallDetector, StallLinks
from zinniaspool.gateway.speed import SlowTargetWatcher
from zinniaspool.gateway.spelling import CallCodec
from zinniaspool.gateway.stops import StopGuard
from zinniaspool.gateway.targets import TargetIndex
from zinniaspool.http import HttpClient, HttpServer, ServerLimits
from zinniaspool.telemetry import RequestTally

__all__ = ["CONNECT_TIMEOUT_S", "MIN_STOP_S", "GatewayProcess"]

_log = structlog.get_logger(__name__)

CONNECT_TIMEOUT_S = 0.3
"""Longest wait for a connection, in seconds: hundreds of round trips within a
region. A VM without power never answers."""

TUNNEL_CONNECT_S = 0.15
"""Longest wait for a connection to an upstream for another VM, in seconds. Its
result must reach that VM before its own wait is over."""

NODE_LEASE_S = 12.0
"""Time for which the store keeps the record of a process that has ended, in
seconds. The other processes probe each other and leave it out of their address
answers within about a second. The renewals of the processes' leases are most
of the store's calls in an idle fleet."""

RESTORE_SPREAD_S = 0.02
"""Time for each VM of the fleet over which the processes replace their leases
after the store was restored, in seconds. All processes share the rate of calls
that the store allows."""

MIN_STOP_S = 6.4
"""Shortest time for which a stopping process goes on serving, in seconds, if
its stop time allows it. Callers keep an address answer for three lifetimes of
two seconds."""

LEAVING_WRITE_S = 0.8
"""Time after which a stopping process writes its record anew if the store
hasn't answered, in seconds."""

FIRST_REQUEST_S = 1.0
"""Longest time for which a process that closes waits for the first request of
a caller that has connected, in seconds. Busy callers send it late."""

HISTORY_PEERS = 2
"""Processes that a process asks for their crash histories when it starts."""

HISTORY_INTERVAL_S = 0.5
"""Pause before a process looks again for others to ask, in seconds."""

CUT_ANSWER_LOGS = 3
"""VMs that log an answer that another one cut. They are the same for all VMs,
so that the log of one of them has the cut answers of the fleet."""

UNREACHABLE_FANOUT = 6
"""VMs that a process informs of a VM that it can't reach. Each of them informs
as many others when it can't reach that VM either, so that among hundreds of
VMs hardly any is uninformed after four rounds."""


class GatewayProcess:
    """Serves callers until its stop signal, then drains.

    Args:
        settings: The settings of this VM.
        store: The store.
        fleet_codec: Decodes the contents of the store.
        call_codec: Parses and makes the headers of callers and upstreams.
        fetcher: Queries instances when the holder requests it.
        metrics_port: Port on which metrics are served; 0 for none.
        listener: Socket that already listens on the callers' address.
        opened_at: Time since when it has listened, in seconds on the event
            loop's clock.
        divides_capacity: Whether capacity that isn't enough is divided by
            urgency and customer.
    """

    def __init__(
        self,
        settings: NodeSettings,
        store: FleetStore,
        fleet_codec: FleetCodec,
        call_codec: CallCodec,
        fetcher: InstanceFetcher,
        metrics_port: int = 0,
        listener: socket.socket | None = None,
        opened_at: float | None = None,
        *,
        divides_capacity: bool = False,
    ) -> None:
        self._settings = settings
        self._listener = listener
        self._opened_at = opened_at
        self._metrics_address = (
            Address(f"{settings.ip}:{metrics_port}") if metrics_port else None
        )
        self._fleet_view = FleetView(
            fleet_codec, retains_instances=settings.retains_instances
        )
        self._query_handler = InstanceQueryHandler(self._fleet_view, fetcher)
        self._stop_clock = StopClock(settings.grace_s)
        self._lateness = LoopLateness()
        self._stop_requested = asyncio.Event()
        self._stop_requested_at = 0.0
        self._configured = asyncio.Event()
        self._store = store
        holder_heartbeat = HolderHeartbeat()
        self._connector = UpstreamConnector(
            settings.node,
            settings.failure_domain,
            self._fleet_view,
            carries_requests=True,
        )
        self._tunnel_server = TunnelServer(
            self._is_upstream_address,
            TUNNEL_CONNECT_S,
            self._connector.confirm_path,
            lambda: self._stop_clock.began_at is not None,
            self._fleet_view.measure_leaving,
            lambda incarnation: self._backpressure.is_paused(incarnation),
        )
        self._peer_exchange = PeerExchange(
            settings.node,
            settings.failure_domain,
            self._fleet_view,
            self._handle_message,
            holder_heartbeat,
            self._store.probe,
            serve_tunnel=self._tunnel_server.serve,
        )
        self._address = Address(f"{settings.ip}:{settings.first_port}")
        self._follower = FleetFollower(
            self._store,
            self._fleet_view,
            self._peer_exchange,
            holder_heartbeat,
            lambda: False,
            self._list_seeds,
            self._list_demands,
            make_location(settings),
            settings.control_address,
        )
        self._index = TargetIndex(self._fleet_view, settings.failure_domain)
        self._stop_guard = StopGuard(self._stop_clock, self._index)
        self._subset = find_subset(settings.node, settings.failure_domain, {})
        self._http = HttpClient(
            connect_s=CONNECT_TIMEOUT_S,
            connector=self._connector,
            allow_unframed=True,
        )
        self._admission_queues = AdmissionQueues(
            self._index.measure_peer_load_age, divides_capacity=divides_capacity
        )
        self._divides_capacity = divides_capacity
        self._demand_reporter = DemandReporter(
            self._admission_queues, lambda: self._subset.other_members, self._send
        )
        self._rerouter = Rerouter(self._index)
        quarantine = Quarantine()
        self._quarantine_records = QuarantineRecordStore(
            settings.node,
            self._fleet_view,
            self._store,
            quarantine,
        )
        self._crash_detector = CrashDetector(
            settings.node,
            quarantine,
            self._quarantine_records,
            self._index,
            self._rerouter,
            self._send_to_all,
            self._send_to_holder,
            lambda address: self._connector.probe(address, CONNECT_TIMEOUT_S),
        )
        self._cold = ColdTracker(
            settings.node,
            self._fleet_view,
            self._index,
            ColdBound(settings.cold_over, settings.cold_slack),
        )
        self._backpressure = BackpressureTracker(
            settings.node,
            self._index,
            self._cold,
            lambda report: self._send(self._subset.other_members, report),
            lambda node, report: self._send([node], report),
        )
        self._leaving = LeavingReporter(
            settings.node, self._fleet_view, self._send_to_all, self._send_to_holder
        )
        sender = AttemptSender(
            self._http,
            call_codec,
            self._index,
            self._admission_queues,
            self._rerouter,
            self._crash_detector,
            self._backpressure,
            self._leaving,
            self._stop_guard,
            self._connector.find_relay,
        )
        self._forwarder = RequestForwarder(
            sender,
            self._index,
            self._admission_queues,
            self._crash_detector,
            self._stop_guard,
        )
        self._rerouter.starter = self._forwarder
        self._stall_detector = StallDetector(
            settings.node,
            self._index,
            self._rerouter,
            StallLinks(
                self._send_to_holder,
                lambda report: self._send(self._subset.other_members, report),
                lambda node, report: self._send([node], report),
                self._crash_detector.check_target,
            ),
        )
        self._crash_detector.on_refused.append(self._stall_detector.handle_refusal)
        self._connector.on_path_change.append(self._stall_detector.handle_path_change)
        self._slow_target_watcher = SlowTargetWatcher(
            settings.node, self._index, self._rerouter, self._send_to_holder
        )
        self._stream_end_watcher = StreamEndWatcher(
            self._stop_guard, self._index, self._rerouter
        )
        self._lease = RenewedLease(self._store, NODE_LEASE_S)
        self._record = OwnRecord(
            NODES_PREFIX + settings.node, self._store, self._fleet_view.mirror
        )
        self._retry_budgets = RetryBudgets(
            RetryLimits(
                settings.repeat_ratio, settings.repeat_window_s, settings.repeat_slack
            ),
            settings.node,
            lambda: self._lease.trusted,
        )
        tally = RequestTally()
        self._caller_handler = CallerHandler(
            call_codec,
            self._fleet_view,
            self._forwarder,
            self._retry_budgets,
            self._stop_clock,
            self._stop_guard,
            tally,
            CutAnswerReporter(settings.node, self._lateness, self._report_cut_answer),
        )
        self._metrics = make_gateway_metrics(
            tally,
            self._fleet_view,
            self._store,
            self._index,
            self._http,
            self._admission_queues,
            self._retry_budgets,
            self._crash_detector,
            self._cold,
            self._leaving,
            self._backpressure,
            self._stall_detector.tally,
            self._stop_clock.tally,
            self._connector,
            self._tunnel_server,
        )
        self._reachability = ReachabilityTracker(random.Random())
        self._directory_handler = DirectoryHandler(
            self._fleet_view,
            self._find_own_record,
            settings.address_lifetime_s,
            self._reachability,
        )
        self._prober = NodeProber(
            self._fleet_view,
            settings.node,
            self._reachability,
            self._report_unreachable,
        )
        self._load_reporter = LoadReporter(
            settings.node,
            self._index,
            lambda report: self._send(self._subset.other_members, report),
        )
        self._evacuation_monitor = EvacuationMonitor(
            self._fleet_view, settings.evacuation_s
        )
        self._connector.on_path_change.append(self._lease.request_check)
        self._server = HttpServer(
            self._caller_handler.handle, make_refusal=refuse_request
        )
        self._servers = [self._server]
        self._tasks: list[asyncio.Task[None]] = []
        self._fleet_view.on_catalog.append(self._apply_catalog)
        self._fleet_view.on_evacuation.append(self._apply_evacuations)
        self._fleet_view.on_instances.append(self._refresh_targets)
        self._delivery_guard = DeliveryGuard(
            self._fleet_view,
            self._http.abort_undelivered,
            self._tunnel_server.abort_undelivered,
        )
        self._fleet_view.on_nodes.append(self._update_subset)
        self._fleet_view.on_quarantine.append(self._crash_detector.apply_records)
        self._fleet_view.on_restored.append(self._write_records_again)

    def stop(self, requested_at: float | None = None) -> None:
        """Make the process stop gracefully.

        Args:
            requested_at: Time of the signal, in seconds on the event loop's
                clock; None for now.
        """
        if self._stop_requested.is_set():
            return
        now = asyncio.get_running_loop().time()
        self._stop_requested_at = now if requested_at is None else requested_at
        self._stop_requested.set()

    async def run(self) -> None:
        """Run until the stop signal, and drain."""
        _log.info("started", first_start=self._settings.first_start)
        self._tasks = [
            asyncio.create_task(run_supervised("follower", self._follower.run)),
            asyncio.create_task(run_supervised("register", self._register)),
            asyncio.create_task(
                run_supervised("watch_silence", self._stall_detector.run)
            ),
            asyncio.create_task(
                run_supervised("watch_speed", self._slow_target_watcher.run)
            ),
            asyncio.create_task(
                run_supervised("watch_endings", self._stream_end_watcher.run)
            ),
            asyncio.create_task(run_supervised("checks", self._run_checks)),
            asyncio.create_task(run_supervised("prober", self._prober.run)),
            asyncio.create_task(
                run_supervised("records", self._quarantine_records.run)
            ),
            asyncio.create_task(
                run_supervised("crash_history", self._request_crash_history)
            ),
        ]
        if self._divides_capacity:
            reporting = run_supervised("demand", self._demand_reporter.run)
            self._tasks.append(asyncio.create_task(reporting))
        await self._listen()
        await self._peer_exchange.listen(self._address)
        await self._stop_requested.wait()
        await self._leave()
        connections_cut = await self._close_callers()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(self._stop_clock.exits_at):
                await self._lease.release()
        await self.abort()
        tally, now = self._stop_clock.tally, asyncio.get_running_loop().time()
        late_s = self._lateness.measure_longest(self._stop_requested_at)
        _log.info(
            "stopped",
            cut=tally.cut,
            connections_cut=connections_cut,
            took_ms=int((now - self._stop_requested_at) * 1000),
            loop_late_ms=int(late_s * 1000),
            tunnels=self._tunnel_server.open_count,
            accepted=tally.count(is_refused=False),
            refused=tally.count(is_refused=True),
        )

    @property
    def running(self) -> int:
        """Number of callers' requests in progress."""
        return self._caller_handler.running

    def list_addresses(self) -> list[str]:
        """Return the addresses that callers are given."""
        return self._directory_handler.list_addresses()

    async def abort(self) -> None:
        """Close all connections and end all tasks at once."""
        for task in self._tasks:
            task.cancel()
        self._connector.close()
        self._peer_exchange.close()
        for server in self._servers:
            await server.drain(0.0)

    async def _listen(self) -> None:
        settings = self._settings
        assert settings.caller_address is not None
        await self._server.listen(
            settings.caller_address, self._listener, self._opened_at
        )
        for address in {settings.ready_address, settings.directory_address} - {None}:
            assert address is not None
            server = HttpServer(self._directory_handler.handle)
            self._servers.append(server)
            await server.listen(address)
        if self._metrics_address is not None:
            self._servers.append(await self._metrics.listen(self._metrics_address))
        _log.info("callers-listening", address=settings.caller_address)

    def _list_seeds(self) -> list[Address]:
        known = [record.peer_address for record in self._fleet_view.nodes.values()]
        return [
            address
            for address in [*known, *self._settings.seeds]
            if address != self._address
        ]

    async def _handle_message(self, hello: Hello, message: Message) -> Message | None:
        if isinstance(message, InstanceQuery):
            return await self._query_handler.handle(message)
        if isinstance(message, CrashHistoryRequest):
            return self._crash_detector.make_history()
        if isinstance(message, UnreachableNode):
            self._reachability.suspect(message.node)
        elif isinstance(message, LeavingNode):
            self._connector.handle_leaving(message.node, message.left_s)
            self._directory_handler.handle_leaving(message.node, message.left_s)
        elif isinstance(message, LeavingInstance):
            self._leaving.handle_peer_report(message)
        elif isinstance(message, PausedInstance):
            self._backpressure.handle_pause_report(message)
        elif isinstance(message, StalledTarget):
            self._stall_detector.handle_peer_report(message)
        elif isinstance(message, CutAnswer):
            log_peer_report(message)
        elif isinstance(message, CrashReport):
            self._crash_detector.handle_crash_report(message)
        elif isinstance(message, AnswerReport):
            self._crash_detector.handle_answer_report(message)
        elif isinstance(message, UpstreamLimit):
            self._backpressure.handle_peer_report(message)
        elif isinstance(message, LoadReport):
            self._index.apply_load_report(message, asyncio.get_running_loop().time())
        elif isinstance(message, DemandDigest):
            self._admission_queues.apply_digest(hello.node, message)
        return None

    async def _request_crash_history(self) -> None:
        """Learn of the crashes of before this process started.

        Several peers are asked, since one that started just before doesn't
        know more.
        """
        await self._configured.wait()
        asked: set[NodeId] = set()
        while len(asked) < HISTORY_PEERS:
            others = self._fleet_view.nodes.keys() - asked - {self._settings.node}
            if not others:
                await asyncio.sleep(HISTORY_INTERVAL_S)
                continue
            node = random.choice(sorted(others))
            asked.add(node)
            address = self._fleet_view.nodes[node].peer_address
            answer = await self._peer_exchange.request(address, CrashHistoryRequest())
            if isinstance(answer, CrashHistory):
                self._crash_detector.apply_history(answer)

    def _report_unreachable(self, node: NodeId) -> None:
        """Have a few other processes probe a VM that this one can't reach.

        Each of them that can't reach it either informs a few others in turn,
        so that all processes know within about a second, and no process has to
        inform all of them.
        """
        others = [
            other
            for other in self._fleet_view.nodes
            if other not in (node, self._settings.node)
        ]
        receivers = random.sample(others, min(UNREACHABLE_FANOUT, len(others)))
        self._send(receivers, UnreachableNode(node))

    def _report_cut_answer(self, report: CutAnswer) -> None:
        """Have the VMs whose names are first log an answer that was cut."""
        others = sorted(self._fleet_view.nodes.keys() - {self._settings.node})
        self._send(others[:CUT_ANSWER_LOGS], report)

    def _send_to_all(self, message: Message) -> None:
        self._send(
            [node for node in self._fleet_view.nodes if node != self._settings.node],
            message,
        )

    def _send(self, nodes: Collection[NodeId], message: Message) -> None:
        records = [self._fleet_view.nodes.get(node) for node in nodes]
        self._peer_exchange.send(
            [record.peer_address for record in records if record], message
        )

    def _send_to_holder(self, message: Message) -> None:
        holder = self._fleet_view.holder
        if holder is not None:
            self._peer_exchange.send([holder.peer_address], message)

    def _list_demands(self) -> list[ModelDemandReport]:
        return self._index.list_demands(self._admission_queues.estimate_demand)

    async def _run_checks(self) -> None:
        """Report loads, and do what else is due at short intervals."""
        loop = asyncio.get_running_loop()
        while True:
            await self._lateness.sleep(LOAD_REPORT_INTERVAL_S)
            now = loop.time()
            self._index.expire_loads(now)
            self._cold.expire(now)
            self._evacuation_monitor.check(now)
            self._admission_queues.admit_waiting()
            self._load_reporter.report(now)
            self._retry_budgets.refill(now)
            self._retry_budgets.log_changes(now)

    def _find_own_record(self) -> NodeRecord | None:
        if self._stop_clock.began_at is not None or self._fleet_view.catalog is None:
            return None
        return self._make_record(NodeState.READY)

    def _make_record(self, state: NodeState) -> NodeRecord:
        settings = self._settings
        assert settings.caller_address is not None
        return NodeRecord(
            settings.node,
            settings.caller_address,
            self._address,
            settings.failure_domain,
            settings.region,
            state,
            settings.control_address,
            has_upstream_path=not self._connector.is_path_lost,
        )

    def _is_upstream_address(self, address: Address) -> bool:
        instances = self._fleet_view.instances.values()
        return any(instance.address == address for instance in instances)

    def _apply_catalog(self) -> None:
        catalog = self._fleet_view.catalog
        assert catalog is not None
        self._configured.set()
        limits = catalog.limits
        self._server.limits = ServerLimits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            receive_s=limits.header_timeout_s,
            idle_s=limits.idle_timeout_s * 1.25,
        )
        self._stop_guard.apply_catalog(catalog)
        self._refresh_targets()

    def _refresh_targets(self) -> None:
        now = asyncio.get_running_loop().time()
        for state in self._index.refresh(now):
            if self._fleet_view.has_ended(
                state.target.instance, state.target.started_at_ms
            ):
                self._http.close_idle_connections(state.target.address)
            is_reachable = (
                state.target.instance in self._fleet_view.instances
                and state.target.instance not in self._fleet_view.unreachable
            )
            self._rerouter.reroute_waiting_from(
                state,
                RerouteCause.GROUP_ENDED
                if is_reachable
                else RerouteCause.INSTANCE_LOST,
            )
        self._admission_queues.keep_pools(self._index.list_pools())

    def _apply_evacuations(self, *_: frozenset[FailureDomainId]) -> None:
        self._index.apply_evacuations()
        self._update_subset()

    def _update_subset(self) -> None:
        settings, nodes = self._settings, self._fleet_view.nodes
        domains = {record.node: record.failure_domain for record in nodes.values()}
        domains.setdefault(settings.node, settings.failure_domain)
        shared = assign_domains(domains, self._fleet_view.evacuated)
        subset = find_subset(settings.node, shared[settings.node], shared)
        process_count = len(nodes.keys() | {settings.node})
        now = asyncio.get_running_loop().time()
        self._retry_budgets.update_sharers(nodes.keys(), now)
        if subset != self._subset:
            _log.info(
                "targets-shared",
                peers=",".join(subset.other_members),
                number=subset.index,
            )
        self._subset = subset
        self._index.set_subset(subset, process_count)
        self._admission_queues.set_peers(subset.other_members)

    async def _register(self) -> None:
        """Keep this process's record in the store up to date."""
        await self._configured.wait()
        while True:
            is_written = True
            if await self._lease.renew_or_replace():
                is_written = await self._write_record()
            await self._lease.wait_until_due(retries=not is_written)

    def _write_records_again(self, lost_traits: frozenset[TraitId]) -> None:
        """Write what the store may have lost when it was restored."""
        for trait in lost_traits:
            self._quarantine_records.add(trait, found_here=False)
        spread_s = RESTORE_SPREAD_S * len(self._fleet_view.nodes)
        asyncio.get_running_loop().call_later(
            random.uniform(0.0, spread_s), self._lease.request_check
        )

    async def _write_record(self) -> bool:
        """Write this process's record, unless the store has it already."""
        lease = self._lease.lease_number
        assert lease is not None
        if self._record.is_current(self._encode_record(), lease):
            return True
        return await self._record.write(self._encode_record, lease)

    def _encode_record(self) -> bytes:
        state = (
            NodeState.READY if self._stop_clock.began_at is None else NodeState.LEAVING
        )
        return msgspec.json.encode(self._make_record(state))

    async def _leave(self) -> None:
        """Serve callers that still have this address, then drain."""
        now, requested_at = asyncio.get_running_loop().time(), self._stop_requested_at
        self._stop_guard.begin_stop(requested_at)
        self._server.retiring = True
        left_s = self._stop_clock.ends_at - now
        _log.info(
            "stopping",
            running=self._caller_handler.running,
            tunnels=self._tunnel_server.open_count,
            left_ms=int(left_s * 1000),
            late_ms=int((now - requested_at) * 1000),
        )
        self._send_to_all(LeavingNode(self._settings.node, left_s))
        # The store may not answer, and the time that is left goes on.
        self._tasks.append(asyncio.create_task(self._write_leaving_record()))
        serves_until = requested_at + min(MIN_STOP_S, self._settings.grace_s - 1.0)
        await asyncio.sleep(max(0.0, serves_until - now))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(self._stop_clock.ends_at):
                await self._caller_handler.idle.wait()
                await self._tunnel_server.idle.wait()

    async def _close_callers(self) -> int:
        """Close callers' connections once their answers are delivered.

        Returns:
            The number of those that were cut in the middle of a request.
        """
        loop = asyncio.get_running_loop()
        loop.call_at(self._stop_clock.ends_at, self._server.refuse_unreceived)
        now = loop.time()
        return await self._server.drain(
            max(0.0, self._stop_clock.exits_at - now),
            max(0.0, min(FIRST_REQUEST_S, self._stop_clock.ends_at - now)),
        )

    async def _write_leaving_record(self) -> None:
        if self._lease.lease_number is None:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LEAVING_WRITE_S):
                if await self._write_record():
                    return
        self._lease.request_check()
