"""The frame of a process: store, peers, signals."""

import asyncio
import signal
import time
from pathlib import Path

import structlog

from zinniaspool.core.ids import Address, FailureDomainId, Incarnation, NodeId
from zinniaspool.core.journal import DecisionKind, Journal
from zinniaspool.core.membership import (
    Member,
    MemberRecord,
    MemberState,
    Role,
)
from zinniaspool.core.messages import PROTOCOL_VERSION, Gossip, Hello, Message
from zinniaspool.http import HttpClient, HttpServer
from zinniaspool.node.board import Board
from zinniaspool.node.operators import OperatorInterface
from zinniaspool.peers import PeerHandler, PeerLinks, PeerListener
from zinniaspool.platform import HttpStore
from zinniaspool.settings import EntrySettings, NodeSettings

__all__ = ["NodeFrame"]

_log = structlog.get_logger(__name__)


class NodeFrame:
    """What a process has before it does anything of its own.

    Args:
        settings: Who the process is and whom it meets.
    """

    def __init__(self, settings: NodeSettings) -> None:
        self.node = NodeId(settings.node)
        self.incarnation = Incarnation(time.time_ns() // 1_000_000)
        self.http = HttpClient()
        self.store = HttpStore(
            self.http, tuple(Address(a) for a in settings.store_addresses)
        )
        self.links = PeerLinks(self._say_hello)
        self.stopping = asyncio.Event()
        self.journal = Journal()
        self.operators = OperatorInterface(self.journal)
        self.board = Board(
            _describe(settings, self.incarnation),
            tuple(Address(seed) for seed in settings.seeds),
            self.links,
        )
        self._settings = settings
        self._tasks: list[asyncio.Task[None]] = []
        self._handler: PeerHandler | None = None
        self._secret = Path(settings.peer_secret_file).read_text().strip()
        self._listener: PeerListener | None = None

    async def start(self, handler: PeerHandler) -> None:
        """Listen for peers and for the signals that stop the process."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stopping.set)
        self._handler = handler
        self._listener = PeerListener(self.node, self._secret, self._handle)
        bound = await self._listener.listen(Address(self._settings.peer_address))
        _log.info("peers-listening", address=bound)
        if self._settings.operator_address:
            server = HttpServer(self.operators.handle)
            bound = await server.listen(Address(self._settings.operator_address))
            _log.info("operators-listening", address=bound)
        self.operators.add_section("members", self.members)
        self._tasks = [
            loop.create_task(self.board.run()),
            loop.create_task(self._stop_when_superseded()),
            loop.create_task(self._announce_leaving()),
        ]

    def members(self) -> list[Member]:
        """Return the fleet's processes as known here, by name."""
        return self.board.members()

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
        if isinstance(message, Gossip):
            return await self.board.handle(hello, message)
        if self._handler is None:
            return None
        return await self._handler(hello, message)

    async def _announce_leaving(self) -> None:
        await self.stopping.wait()
        self.board.set_state(MemberState.LEAVING)

    async def _stop_when_superseded(self) -> None:
        await self.board.superseded.wait()
        self.stopping.set()

    def _say_hello(self) -> Hello:
        return Hello(
            PROTOCOL_VERSION,
            self.node,
            self.incarnation,
            FailureDomainId(self._settings.failure_domain),
            self._secret,
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
