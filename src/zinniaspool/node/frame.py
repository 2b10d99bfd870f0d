"""The frame of a process: store, peers, signals."""

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
from zinniaspool.node.access import Access
from zinniaspool.node.board import Board
from zinniaspool.node.follower import ConfigurationFollower
from zinniaspool.node.lag import MemberRevision, ask_revisions
from zinniaspool.node.operators import OperatorInterface
from zinniaspool.peers import PeerHandler, PeerLinks, PeerListener
from zinniaspool.settings import EntrySettings, NodeSettings
from zinniaspool.store import BudgetedStore, CallKind, HttpStore
from zinniaspool.telemetry.metrics import Metrics

__all__ = ["NodeFrame"]

_log = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True)
class ProcessState:
    """What a dump says of the process itself."""

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


class NodeFrame:
    """What a process has before it does anything of its own.

    Args:
        settings: Who the process is and whom it meets.
    """

    def __init__(self, settings: NodeSettings) -> None:
        self.node = NodeId(settings.node)
        self.incarnation = Incarnation(time.time_ns() // 1_000_000)
        self.http = HttpClient()
        addresses = tuple(Address(a) for a in settings.store_addresses)
        self.store = BudgetedStore(
            HttpStore(self.http, addresses), settings.store_calls_per_s
        )
        self.access = Access(settings)
        peer_tls = self.access.peer_tls
        self.links = PeerLinks(
            self._say_hello, tls=peer_tls.client if peer_tls else None
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
        self.board = Board(
            _describe(settings, self.incarnation),
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
        """Listen for peers and for the signals that stop the process."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stopping.set)
        loop.add_signal_handler(signal.SIGUSR1, self._write_dump)
        loop.add_signal_handler(signal.SIGHUP, self.access.files.look_now)
        self._handler = handler
        peer_tls, operator_tls = self.access.peer_tls, self.access.operator_tls
        self._listener = PeerListener(
            self.node,
            self.access.peers.accepts,
            self._handle,
            tls=peer_tls.server if peer_tls else None,
        )
        bound = await self._listener.listen(Address(self._settings.peer_address))
        _log.info("peers-listening", address=bound)
        if self._settings.operator_address:
            server = HttpServer(
                self.operators.handle, tls=operator_tls.server if operator_tls else None
            )
            bound = await server.listen(Address(self._settings.operator_address))
            _log.info("operators-listening", address=bound)
        self.operators.add_section("process", self._describe_process)
        self.operators.add_section("members", self.members)
        self.operators.add_question("/revisions", self._ask_revisions)
        self._show_gauges()
        self._tasks = [
            loop.create_task(self.access.files.run()),
            loop.create_task(self.board.run()),
            loop.create_task(self._stop_when_superseded()),
            loop.create_task(self._announce_leaving()),
        ]

    async def follow(
        self, on_change: Callable[[Configuration, Revision], None]
    ) -> None:
        """Keep the accepted configuration in force until cancelled.

        Args:
            on_change: Called with each newer configuration.
        """
        own = Address(self._settings.peer_address)
        seeds = [Address(s) for s in self._settings.seeds if s != own]

        def change(configuration: Configuration, revision: Revision) -> None:
            reason = "accepted and whole"
            subjects = (f"configuration:{revision}",)
            self.decide(DecisionKind.CONFIGURATION_IN_FORCE, subjects, reason)
            on_change(configuration, revision)

        self.follower = ConfigurationFollower(
            self.node, seeds, self.store, self.board, self.links, change
        )
        self.operators.add_section("configuration", self.follower.state)
        await self.follower.run()

    def members(self) -> list[Member]:
        """Return the fleet's processes as known here, by name."""
        return list(self.board.members())

    def decide(
        self, kind: DecisionKind, subjects: tuple[str, ...], reason: str, **fields: str
    ) -> None:
        """Record a decision, and log it as one event."""
        self.journal.record(time.time(), kind, subjects, reason, **fields)
        _log.info(kind.value, subjects=",".join(subjects), reason=reason, **fields)

    def close(self) -> None:
        """Close what is open."""
        for task in self._tasks:
            task.cancel()
        self.board.close()
        if self._listener is not None:
            self._listener.close()
        self.links.close()
        self.http.close()

    async def _handle(self, hello: Hello, message: Message) -> Message | None:
        if isinstance(message, GossipMessage):
            return await self.board.handle(hello, message)
        if isinstance(message, ConfigurationRequest):
            return self.follower.answer(message) if self.follower else None
        if self._handler is None:
            return None
        return await self._handler(hello, message)

    async def _announce_leaving(self) -> None:
        await self.stopping.wait()
        self.board.set_state(MemberState.LEAVING)

    async def _stop_when_superseded(self) -> None:
        await self.board.superseded.wait()
        self.stopping.set()

    async def _ask_revisions(self) -> list[MemberRevision]:
        return await ask_revisions(self.board, self.links)

    def _show_gauges(self) -> None:
        for name, description, read in (
            ("tasks", "Tasks on the loop.", lambda: len(asyncio.all_tasks())),
            ("members", "Processes known here.", lambda: len(self.members())),
            (
                "peer_sent_bytes",
                "Bytes sent to peers since the start.",
                lambda: self.links.sent_bytes,
            ),
        ):
            self.metrics.add_gauge(f"zinniaspool_{name}", description, read)

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

    def _say_hello(self) -> Hello:
        return Hello(
            PROTOCOL_VERSION,
            self.node,
            self.incarnation,
            FailureDomainId(self._settings.failure_domain),
            self.access.peers.shown,
        )


def _describe(settings: NodeSettings, incarnation: Incarnation) -> MemberRecord:
    is_entry = isinstance(settings, EntrySettings)
    callers = settings.caller_address if isinstance(settings, EntrySettings) else ""
    return MemberRecord(
        NodeId(settings.node),
        incarnation,
        Role.ENTRY if is_entry else Role.CONTROL,
        MemberState.STARTING,
        FailureDomainId(settings.failure_domain),
        Address(settings.peer_address),
        Address(callers),
        Address(settings.operator_address),
        PROTOCOL_VERSION,
    )
