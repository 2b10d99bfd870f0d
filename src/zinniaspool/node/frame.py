"""Runtime of a process: store, peers, gossip, operators and signals.

Entry and control processes share this runtime and add their own tasks.
"""

import asyncio
import signal
import time
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from zinniaspool import __version__
from zinniaspool.core.deployment import Configuration
from zinniaspool.core.ids import (
    Address,
    FailureDomainId,
    Incarnation,
    NodeId,
    Revision,
)
from zinniaspool.core.journal import DecisionKind, Journal
from zinniaspool.core.membership import (
    GossipLimits,
    Member,
    MemberRecord,
    MemberState,
    Role,
)
from zinniaspool.core.messages import PROTOCOL_VERSION, GossipMessage, Hello, Message
from zinniaspool.core.messages.configuration import ConfigurationRequest
from zinniaspool.http import HttpClient, HttpServer
from zinniaspool.node.access import AccessControl
from zinniaspool.node.board import GossipService
from zinniaspool.node.follower import ConfigurationFollower
from zinniaspool.node.lag import MemberRevision, query_revisions
from zinniaspool.node.operators import OperatorInterface
from zinniaspool.peers import PeerHandler, PeerLinks, PeerListener
from zinniaspool.settings import EntrySettings, NodeSettings
from zinniaspool.store import BudgetedStore, CallKind, HttpStore
from zinniaspool.telemetry.metrics import Metrics

__all__ = ["NodeRuntime"]

_log = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True)
class ProcessState:
    """State of the process itself in its state dump.

    Attributes:
        node: Name of the process.
        incarnation: The start of the process, in milliseconds since 1970.
        failure_domain: Failure domain of its VM.
        version: Version of the software.
        protocol: Version of the protocol between peers.
        stopping: Whether the process is shutting down.
        tasks: Number of asyncio tasks.
        decisions: Number of recorded decisions by kind.
        store_calls: Number of store calls by kind.
        store_calls_refused: Number of store calls refused by the budget.
    """

    node: NodeId
    incarnation: Incarnation
    failure_domain: FailureDomainId
    version: str
    protocol: int
    stopping: bool
    tasks: int
    decisions: dict[DecisionKind, int]
    store_calls: dict[CallKind, int]
    store_calls_refused: int


class NodeRuntime:
    """The store, connections and interfaces that every process has.

    Args:
        settings: Settings of the process.

    Attributes:
        node: Name of this process.
        incarnation: Start of this process, in milliseconds since 1970.
        http: HTTP client of the store and of the tasks of this process.
        store: The store, limited to this process's budget of calls.
        access: Credentials, peer secrets and TLS of this process.
        links: Connections to peers.
        stopping: Set when this process is to shut down.
        journal: Decisions of this process.
        metrics: Metrics of this process.
        operators: Interface for operators.
        gossip: Gossip among the processes of the fleet.
        follower: Follows the accepted configuration; None until
            ``follow_configuration`` is called.
    """

    def __init__(self, settings: NodeSettings) -> None:
        self.node = NodeId(settings.node)
        self.incarnation = Incarnation(time.time_ns() // 1_000_000)
        self.http = HttpClient()
        addresses = tuple(Address(a) for a in settings.store_addresses)
        self.store = BudgetedStore(
            HttpStore(self.http, addresses), settings.store_calls_per_s
        )
        self.access = AccessControl(settings)
        peer_tls = self.access.peer_tls
        self.links = PeerLinks(
            self._make_hello, tls=peer_tls.client if peer_tls else None
        )
        self.stopping = asyncio.Event()
        self.journal = Journal()
        self.metrics = Metrics(self.journal)
        self.operators = OperatorInterface(
            self.journal,
            self.access.operators,
            self.metrics.render,
            self.stopping.set,
        )
        self.gossip = GossipService(
            _make_member_record(settings, self.incarnation),
            tuple(Address(seed) for seed in settings.seeds),
            self.links,
            GossipLimits(bytes_per_s=settings.gossip_bytes_per_s),
        )
        self._settings = settings
        self._tasks: list[asyncio.Task[None]] = []
        self._handler: PeerHandler | None = None
        self.follower: ConfigurationFollower | None = None
        self._listener: PeerListener | None = None

    async def start(self, handler: PeerHandler) -> None:
        """Start the gossip and listen for peers, operators and signals.

        SIGTERM and SIGINT stop the process, SIGUSR1 writes a state dump and
        SIGHUP reloads changed credential and TLS files.

        Args:
            handler: Handles the messages of peers that concern neither
                gossip nor the configuration.
        """
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.stopping.set)
        loop.add_signal_handler(signal.SIGUSR1, self._write_dump)
        loop.add_signal_handler(signal.SIGHUP, self.access.reloader.request_reload)
        self._handler = handler
        peer_tls, operator_tls = self.access.peer_tls, self.access.operator_tls
        self._listener = PeerListener(
            self.node,
            self.access.peer_secrets.accepts,
            self._handle_message,
            tls=peer_tls.server if peer_tls else None,
        )
        bound_address = await self._listener.listen(
            Address(self._settings.peer_address)
        )
        _log.info("peers-listening", address=bound_address)
        if self._settings.operator_address:
            server = HttpServer(
                self.operators.handle, tls=operator_tls.server if operator_tls else None
            )
            bound_address = await server.listen(
                Address(self._settings.operator_address)
            )
            _log.info("operators-listening", address=bound_address)
        self.operators.add_section("process", self._describe_process)
        self.operators.add_section("members", self.list_members)
        self.operators.add_fleet_query("/revisions", self._query_revisions)
        self._add_gauges()
        self._tasks = [
            loop.create_task(self.access.reloader.run()),
            loop.create_task(self.gossip.run()),
            loop.create_task(self._stop_once_superseded()),
            loop.create_task(self._announce_leaving()),
        ]

    async def follow_configuration(
        self, on_change: Callable[[Configuration, Revision], None]
    ) -> None:
        """Keep the accepted configuration active until cancelled.

        Args:
            on_change: Called with each configuration that becomes active.
        """
        local_address = Address(self._settings.peer_address)
        seeds = [
            Address(seed) for seed in self._settings.seeds if seed != local_address
        ]

        def record_and_pass_on(
            configuration: Configuration, revision: Revision
        ) -> None:
            reason = "accepted and whole"
            subjects = (f"configuration:{revision}",)
            self.record_decision(DecisionKind.CONFIGURATION_IN_FORCE, subjects, reason)
            on_change(configuration, revision)

        self.follower = ConfigurationFollower(
            self.node, seeds, self.store, self.gossip, self.links, record_and_pass_on
        )
        self.operators.add_section("configuration", self.follower.describe_state)
        await self.follower.run()

    def list_members(self) -> list[Member]:
        """Return the fleet's processes that this process knows, by name."""
        return list(self.gossip.list_members())

    def record_decision(
        self, kind: DecisionKind, subjects: tuple[str, ...], reason: str, **fields: str
    ) -> None:
        """Record a decision in the journal and log it as one event."""
        self.journal.record(time.time(), kind, subjects, reason, **fields)
        _log.info(kind.value, subjects=",".join(subjects), reason=reason, **fields)

    def close(self) -> None:
        """Cancel the tasks and close the listener and all connections."""
        for task in self._tasks:
            task.cancel()
        self.gossip.close()
        if self._listener is not None:
            self._listener.close()
        self.links.close()
        self.http.close()

    async def _handle_message(self, hello: Hello, message: Message) -> Message | None:
        if isinstance(message, GossipMessage):
            return await self.gossip.handle(hello, message)
        if isinstance(message, ConfigurationRequest):
            return self.follower.make_response(message) if self.follower else None
        if self._handler is None:
            return None
        return await self._handler(hello, message)

    async def _announce_leaving(self) -> None:
        await self.stopping.wait()
        self.gossip.set_state(MemberState.LEAVING)

    async def _stop_once_superseded(self) -> None:
        await self.gossip.superseded.wait()
        self.stopping.set()

    async def _query_revisions(self) -> list[MemberRevision]:
        return await query_revisions(self.gossip, self.links)

    def _add_gauges(self) -> None:
        for name, description, read_value in (
            ("tasks", "Tasks on the loop.", lambda: len(asyncio.all_tasks())),
            ("members", "Processes known here.", lambda: len(self.list_members())),
            (
                "peer_sent_bytes",
                "Bytes sent to peers since the start.",
                lambda: self.links.sent_bytes,
            ),
        ):
            self.metrics.add_gauge(f"zinniaspool_{name}", description, read_value)

    def _describe_process(self) -> ProcessState:
        return ProcessState(
            self.node,
            self.incarnation,
            FailureDomainId(self._settings.failure_domain),
            __version__,
            PROTOCOL_VERSION,
            self.stopping.is_set(),
            len(asyncio.all_tasks()),
            dict(self.journal.counts),
            dict(self.store.calls),
            self.store.refused_calls,
        )

    def _write_dump(self) -> None:
        try:
            path = self.operators.write_dump(self._settings.dump_folder, self.node)
        except OSError as error:
            _log.error("dump-unwritten", error=str(error))
            return
        _log.info("dump-written", path=str(path))

    def _make_hello(self) -> Hello:
        return Hello(
            PROTOCOL_VERSION,
            self.node,
            self.incarnation,
            FailureDomainId(self._settings.failure_domain),
            self.access.peer_secrets.presented,
        )


def _make_member_record(
    settings: NodeSettings, incarnation: Incarnation
) -> MemberRecord:
    is_entry = isinstance(settings, EntrySettings)
    caller_address = (
        settings.caller_address if isinstance(settings, EntrySettings) else ""
    )
    return MemberRecord(
        NodeId(settings.node),
        incarnation,
        Role.ENTRY if is_entry else Role.CONTROL,
        MemberState.STARTING,
        FailureDomainId(settings.failure_domain),
        Address(settings.peer_address),
        Address(caller_address),
        Address(settings.operator_address),
        PROTOCOL_VERSION,
    )
