"""Follows the accepted configuration: store, peers and timers round it."""

import asyncio
import random
from collections.abc import Callable, Sequence

import msgspec
import structlog
from result import Err, Ok

from zinniaspool.core.configuration import (
    PART_PREFIX,
    ROOT_KEY,
    ActivateConfiguration,
    Announce,
    FollowAction,
    FollowStateMachine,
    PartHash,
    ReadPart,
    ReadRoot,
    Root,
    SendPeerRequest,
    WatchRoot,
    decode_root,
)
from zinniaspool.core.deployment import Configuration
from zinniaspool.core.ids import Address, NodeId, Revision
from zinniaspool.core.membership import Notice, Topic
from zinniaspool.core.messages.configuration import (
    ConfigurationRequest,
    ConfigurationResponse,
    decode_announcement,
    encode_announcement,
)
from zinniaspool.node.board import Board
from zinniaspool.peers import PeerLinks
from zinniaspool.store import Store, StoreFault

__all__ = ["ConfigurationFollower", "FollowerState"]

_log = structlog.get_logger(__name__)
_STEP_S = 0.1
"""Seconds between looks at what is due."""
_WATCH_S = 20.0
"""Seconds of one watch."""
_ROOT_NOTICE = "root"
_KEPT_S = 1e9
"""Seconds; longer than any process lives."""


class FollowerState(msgspec.Struct):
    """What the state dump says of the configuration.

    Attributes:
        revision: In force; 0 for none.
        known_revision: The newest that is known of.
        missing_parts: Parts that the newest still lacks here.
        watches: Whether this process watches the store for others.
        unreadable: A newer revision that this version can't read.
    """

    revision: Revision
    known_revision: Revision
    missing_parts: int
    watches: bool
    unreadable: Revision | None


class ConfigurationFollower:
    """Keeps the newest accepted configuration in force in this process.

    Args:
        node: This process.
        seeds: Peer addresses that the process is told at the start.
        store: The platform's store.
        board: For notices and members.
        links: Connections to peers.
        on_change: Called with each newer configuration.
    """

    def __init__(
        self,
        node: NodeId,
        seeds: Sequence[Address],
        store: Store,
        board: Board,
        links: PeerLinks,
        on_change: Callable[[Configuration, Revision], None],
    ) -> None:
        self._store = store
        self._board = board
        self._links = links
        self._on_change = on_change
        self._calls: set[asyncio.Task[None]] = set()
        now = asyncio.get_running_loop().time()
        self._machine = FollowStateMachine(node, seeds, random.Random(), now)

    @property
    def revision(self) -> Revision:
        """The revision in force; 0 for none."""
        return self._machine.revision

    def state(self) -> FollowerState:
        """Return what the state dump shows."""
        holding = self._machine.local
        return FollowerState(
            holding.revision,
            holding.known_revision,
            len(holding.list_missing_parts()),
            self._machine.watches,
            holding.unreadable,
        )

    async def run(self) -> None:
        """Follow until cancelled."""
        self._board.subscribe(Topic.CONFIGURATION, self._take_notice)
        try:
            while True:
                members = self._board.members()
                joined = self._board.joined
                self._start(self._machine.step(self._now, members, joined=joined))
                await asyncio.sleep(_STEP_S)
        finally:
            for call in self._calls:
                call.cancel()

    def answer(self, ask: ConfigurationRequest) -> ConfigurationResponse:
        """Return what a peer asks for, as far as it is held here."""
        return self._machine.local.make_response(ask)

    @property
    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _take_notice(self, notice: Notice) -> None:
        if notice.key != _ROOT_NOTICE:
            return
        announcement = decode_announcement(notice.payload)
        self._start(self._machine.handle_announcement(announcement, self._now))

    def _start(self, actions: Sequence[FollowAction]) -> None:
        for action in actions:
            match action:
                case Announce():
                    self._announce(action)
                case ActivateConfiguration():
                    self._on_change(action.configuration, action.revision)
                case _:
                    call = asyncio.create_task(self._call(action))
                    self._calls.add(call)
                    call.add_done_callback(self._calls.discard)

    def _announce(self, action: Announce) -> None:
        payload = encode_announcement(action.announcement)
        revision = action.announcement.revision
        self._board.publish(
            Topic.CONFIGURATION, _ROOT_NOTICE, revision, payload, _KEPT_S
        )

    async def _call(self, action: FollowAction) -> None:
        match action:
            case ReadRoot():
                await self._read_root()
            case WatchRoot():
                await self._watch_root(action.after)
            case ReadPart():
                await self._read_part(action.part)
            case SendPeerRequest():
                await self._ask_peer(action)

    async def _read_root(self) -> None:
        found = await self._store.get(ROOT_KEY)
        if isinstance(found, Err):
            self._fail(found.err_value)
            return
        value = found.ok_value
        if value is None:
            self._start(self._machine.handle_root(Revision(0), None, self._now))
            return
        self._take_root(value.revision, value.value)

    async def _watch_root(self, after: Revision) -> None:
        watched = await self._store.watch(ROOT_KEY, after, _WATCH_S)
        if isinstance(watched, Err):
            self._fail(watched.err_value)
            return
        written = [c for c in watched.ok_value.changes if c.value is not None]
        if not written or written[-1].value is None:
            self._start(self._machine.handle_root(after, None, self._now))
            return
        self._take_root(written[-1].revision, written[-1].value)

    def _take_root(self, revision: Revision, value: str) -> None:
        root = _read(value)
        if root is None:
            _log.error("configuration-unreadable", revision=revision)
            self._machine.handle_store_failure(self._now)
            return
        self._start(self._machine.handle_root(revision, root, self._now))

    async def _read_part(self, part: PartHash) -> None:
        found = await self._store.get(PART_PREFIX + part)
        value = found.ok_value if isinstance(found, Ok) else None
        content = value.value if value is not None else None
        self._start(self._machine.handle_part(part, content, self._now))

    async def _ask_peer(self, action: SendPeerRequest) -> None:
        reply = await self._links.request(action.address, action.message, action.node)
        answer = reply if isinstance(reply, ConfigurationResponse) else None
        self._start(self._machine.handle_peer_response(action, answer, self._now))

    def _fail(self, fault: StoreFault) -> None:
        _log.warning("store-unreachable", fault=fault.value)
        self._machine.handle_store_failure(self._now)


def _read(value: str) -> Root | None:
    try:
        return decode_root(value)
    except msgspec.MsgspecError:
        return None
