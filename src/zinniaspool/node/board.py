"""Runs the gossip state machine of a process with its sockets and timers.

Gossip spreads small values, called notices, to all processes of the fleet
and keeps the list of its members.
"""

import asyncio
import random
import time
from collections import defaultdict
from collections.abc import Callable

import structlog

from zinniaspool.core.ids import Address
from zinniaspool.core.membership import (
    GossipAction,
    GossipLimits,
    GossipStateMachine,
    Member,
    MemberRecord,
    MemberState,
    Notice,
    SendRequest,
    Topic,
)
from zinniaspool.core.messages import Hello, Message
from zinniaspool.core.messages.membership import (
    CompareRequest,
    CompareResponse,
    JoinPage,
    JoinRequest,
    ProbeRequest,
    ProbeResponse,
    Push,
)
from zinniaspool.peers import PeerLinks

__all__ = ["GossipService"]

_log = structlog.get_logger(__name__)
_STEP_S = 0.1
"""Seconds between two steps of the gossip state machine."""

NoticeHandler = Callable[[Notice], None]
"""Receives a notice; must not block."""


class GossipService:
    """Publishes notices to the fleet and delivers those of other processes.

    Args:
        local_record: Member record of this process.
        seeds: Peer addresses from which this process joins at the start.
        links: Connections to peers.
        limits: Rates, sizes and intervals of the gossip; None for the
            defaults.

    Attributes:
        superseded: Set once a later process with the same name has joined
            the fleet.
    """

    def __init__(
        self,
        local_record: MemberRecord,
        seeds: tuple[Address, ...],
        links: PeerLinks,
        limits: GossipLimits | None = None,
    ) -> None:
        self._links = links
        self._state_machine = GossipStateMachine(
            local_record, seeds, random.Random(), time.monotonic(), limits
        )
        self._handlers: dict[Topic, list[NoticeHandler]] = defaultdict(list)
        self._send_tasks: set[asyncio.Task[None]] = set()
        self.superseded = asyncio.Event()

    @property
    def joined(self) -> bool:
        """Whether this process has received all notices of a peer."""
        return self._state_machine.joined

    def publish(
        self, topic: Topic, key: str, version: int, payload: bytes, expires_s: float
    ) -> None:
        """Send a value to every process and to the handlers of this process.

        Args:
            topic: Topic of the value.
            key: Subject of the value, unique within the topic.
            version: Must increase with each value of a key, also across
                restarts and changes of the publisher; every process drops
                a notice with an older version.
            payload: The value; at most 64 KiB and preferably a few hundred
                bytes, since every process sends it to several others.
            expires_s: Age in seconds at which the processes drop the value.
        """
        now = time.monotonic()
        self._state_machine.publish(topic, key, version, payload, expires_s, now)
        self._deliver_new_notices()

    def subscribe(self, topic: Topic, handler: NoticeHandler) -> None:
        """Call a handler with each notice of a topic.

        The notices already known are passed to the handler at once, and
        from then on each newer one. The handler must not block. A notice's
        ``age_s`` is its age at the call.
        """
        self._handlers[topic].append(handler)
        for notice in self._state_machine.list_notices(topic, time.monotonic()):
            handler(notice)

    def list_members(self) -> tuple[Member, ...]:
        """Return the known processes by name, including this process."""
        return self._state_machine.list_members()

    def set_state(self, state: MemberState) -> None:
        """Announce the state of this process to the fleet."""
        self._state_machine.set_state(state, time.monotonic())
        self._deliver_new_notices()

    async def run(self) -> None:
        """Take part in the gossip until cancelled."""
        while True:
            for action in self._state_machine.step(time.monotonic()):
                self._start(action)
            self._deliver_new_notices()
            await asyncio.sleep(_STEP_S)

    async def handle(self, hello: Hello, message: Message) -> Message | None:
        """Handle a peer's message and return the response, if it has one."""
        match message:
            case ProbeRequest():
                request = CompareRequest((), ())
                response = await self._links.request(
                    message.address, request, message.node
                )
                return ProbeResponse(isinstance(response, CompareResponse))
            case Push() | CompareRequest() | JoinRequest():
                now = time.monotonic()
                reply = self._state_machine.receive(hello.node, message, now)
                self._deliver_new_notices()
                return reply
            case _:
                return None

    def close(self) -> None:
        """Cancel the messages that are being sent."""
        for task in self._send_tasks:
            task.cancel()

    def _start(self, action: GossipAction) -> None:
        task = asyncio.create_task(self._perform(action))
        self._send_tasks.add(task)
        task.add_done_callback(self._send_tasks.discard)

    async def _perform(self, action: GossipAction) -> None:
        if not isinstance(action, SendRequest):
            await self._links.send(action.address, action.message, action.node)
            return
        reply = await self._links.request(action.address, action.message, action.node)
        response = (
            reply
            if isinstance(reply, CompareResponse | JoinPage | ProbeResponse)
            else None
        )
        for next_action in self._state_machine.handle_response(
            action, response, time.monotonic()
        ):
            self._start(next_action)
        self._deliver_new_notices()

    def _deliver_new_notices(self) -> None:
        for notice in self._state_machine.drain_new_notices():
            for handler in self._handlers[notice.topic]:
                self._call_handler(handler, notice)
        if self._state_machine.roster.superseded_by and not self.superseded.is_set():
            _log.error(
                "superseded", incarnation=self._state_machine.roster.superseded_by
            )
            self.superseded.set()

    def _call_handler(self, handler: NoticeHandler, notice: Notice) -> None:
        # The payload comes from another process, which may run another
        # version. A handler that fails on it must not end the gossip of all
        # topics.
        try:
            handler(notice)
        except Exception as error:
            _log.error(
                "notice-unreadable",
                topic=notice.topic.name,
                key=notice.key,
                error=str(error),
            )
