"""Follows the accepted configuration, so that every process activates it.

The decisions are those of the state machine in ``core.configuration``; this
module performs its actions with the store, peers and timers.
"""

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
from zinniaspool.core.decoding import DECODE_ERRORS
from zinniaspool.core.deployment import Configuration
from zinniaspool.core.ids import Address, NodeId, Revision
from zinniaspool.core.membership import Notice, Topic
from zinniaspool.core.messages.configuration import (
    ConfigurationRequest,
    ConfigurationResponse,
    decode_announcement,
    encode_announcement,
)
from zinniaspool.node.board import GossipService
from zinniaspool.peers import PeerLinks
from zinniaspool.store import Store, StoreFault

__all__ = ["ConfigurationFollower", "FollowerState"]

_log = structlog.get_logger(__name__)
_STEP_S = 0.1
"""Seconds between two steps of the state machine."""
_WATCH_S = 20.0
"""Longest time in seconds that one watch of the store waits."""
_ROOT_NOTICE = "root"
"""Key of the notice that announces the newest accepted configuration."""
_NOTICE_EXPIRY_S = 1e9
"""Expiry of an announcement in seconds; longer than any process runs."""


class FollowerState(msgspec.Struct):
    """State of the configuration in the state dump of a process.

    Attributes:
        revision: The active revision; 0 for none.
        known_revision: The newest revision that this process knows of.
        missing_parts: Number of parts of the newest revision that this
            process has yet to fetch.
        watches: Whether this process watches the store for its failure
            domain.
        unreadable: A newer revision that this version can't read; None if
            there is none.
    """

    revision: Revision
    known_revision: Revision
    missing_parts: int
    watches: bool
    unreadable: Revision | None


class ConfigurationFollower:
    """Keeps the newest accepted configuration active in this process.

    Args:
        node: Name of this process.
        seeds: Peer addresses from the settings of this process.
        store: The store that holds the accepted configuration.
        gossip: Carries the announcements and knows the members.
        links: Connections to peers.
        on_change: Called with each configuration that becomes active.
    """

    def __init__(
        self,
        node: NodeId,
        seeds: Sequence[Address],
        store: Store,
        gossip: GossipService,
        links: PeerLinks,
        on_change: Callable[[Configuration, Revision], None],
    ) -> None:
        self._store = store
        self._gossip = gossip
        self._links = links
        self._on_change = on_change
        self._calls: set[asyncio.Task[None]] = set()
        now = asyncio.get_running_loop().time()
        self._state_machine = FollowStateMachine(node, seeds, random.Random(), now)

    @property
    def revision(self) -> Revision:
        """The active revision; 0 for none."""
        return self._state_machine.revision

    def describe_state(self) -> FollowerState:
        """Return the state for the state dump."""
        local = self._state_machine.local
        return FollowerState(
            local.revision,
            local.known_revision,
            len(local.list_missing_parts()),
            self._state_machine.watches,
            local.unreadable,
        )

    async def run(self) -> None:
        """Follow the accepted configuration until cancelled."""
        self._gossip.subscribe(Topic.CONFIGURATION, self._handle_notice)
        try:
            while True:
                members = self._gossip.list_members()
                joined = self._gossip.joined
                self._perform(
                    self._state_machine.step(self._now, members, joined=joined)
                )
                await asyncio.sleep(_STEP_S)
        finally:
            for call in self._calls:
                call.cancel()

    def make_response(self, request: ConfigurationRequest) -> ConfigurationResponse:
        """Return what a peer requests, as far as this process has it."""
        return self._state_machine.local.make_response(request)

    @property
    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _handle_notice(self, notice: Notice) -> None:
        if notice.key != _ROOT_NOTICE:
            return
        announcement = decode_announcement(notice.payload)
        self._perform(self._state_machine.handle_announcement(announcement, self._now))

    def _perform(self, actions: Sequence[FollowAction]) -> None:
        for action in actions:
            match action:
                case Announce():
                    self._announce(action)
                case ActivateConfiguration():
                    self._on_change(action.configuration, action.revision)
                case _:
                    call = asyncio.create_task(self._perform_call(action))
                    self._calls.add(call)
                    call.add_done_callback(self._calls.discard)

    def _announce(self, action: Announce) -> None:
        payload = encode_announcement(action.announcement)
        revision = action.announcement.revision
        self._gossip.publish(
            Topic.CONFIGURATION, _ROOT_NOTICE, revision, payload, _NOTICE_EXPIRY_S
        )

    async def _perform_call(self, action: FollowAction) -> None:
        match action:
            case ReadRoot():
                await self._read_root()
            case WatchRoot():
                await self._watch_root(action.after)
            case ReadPart():
                await self._read_part(action.part)
            case SendPeerRequest():
                await self._request_from_peer(action)

    async def _read_root(self) -> None:
        read = await self._store.get(ROOT_KEY)
        if isinstance(read, Err):
            self._handle_store_fault(read.err_value)
            return
        value = read.ok_value
        if value is None:
            self._perform(self._state_machine.handle_root(Revision(0), None, self._now))
            return
        self._handle_root(value.revision, value.value)

    async def _watch_root(self, after: Revision) -> None:
        watched = await self._store.watch(ROOT_KEY, after, _WATCH_S)
        if isinstance(watched, Err):
            self._handle_store_fault(watched.err_value)
            return
        written = [
            change for change in watched.ok_value.changes if change.value is not None
        ]
        if not written or written[-1].value is None:
            self._perform(self._state_machine.handle_root(after, None, self._now))
            return
        self._handle_root(written[-1].revision, written[-1].value)

    def _handle_root(self, revision: Revision, value: str) -> None:
        root = _decode_root_or_none(value)
        if root is None:
            _log.error("configuration-unreadable", revision=revision)
            self._state_machine.handle_store_failure(self._now)
            return
        self._perform(self._state_machine.handle_root(revision, root, self._now))

    async def _read_part(self, part: PartHash) -> None:
        read = await self._store.get(PART_PREFIX + part)
        value = read.ok_value if isinstance(read, Ok) else None
        content = value.value if value is not None else None
        self._perform(self._state_machine.handle_part(part, content, self._now))

    async def _request_from_peer(self, action: SendPeerRequest) -> None:
        reply = await self._links.request(action.address, action.message, action.node)
        response = reply if isinstance(reply, ConfigurationResponse) else None
        self._perform(
            self._state_machine.handle_peer_response(action, response, self._now)
        )

    def _handle_store_fault(self, fault: StoreFault) -> None:
        _log.warning("store-unreachable", fault=fault.value)
        self._state_machine.handle_store_failure(self._now)


def _decode_root_or_none(value: str) -> Root | None:
    try:
        return decode_root(value)
    except DECODE_ERRORS:
        return None
