"""The process's part in the fleet's gossip: sockets and timers round it."""

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

__all__ = ["Board"]

_log = structlog.get_logger(__name__)
_STEP_S = 0.1
"""Seconds between rounds of gossip."""

NoticeTaker = Callable[[Notice], None]


class Board:
    """Publishes notices to the fleet and hands on those of others.

    Args:
        own: What this process says of itself.
        seeds: Peer addresses to ask at the start.
        links: Connections to peers.
        limits: Rates and times.
    """

    def __init__(
        self,
        own: MemberRecord,
        seeds: tuple[Address, ...],
        links: PeerLinks,
        limits: GossipLimits | None = None,
    ) -> None:
        self._links = links
        self._machine = GossipStateMachine(
            own, seeds, random.Random(), time.monotonic(), limits
        )
        self._takers: dict[Topic, list[NoticeTaker]] = defaultdict(list)
        self._sending: set[asyncio.Task[None]] = set()
        self.superseded = asyncio.Event()

    @property
    def joined(self) -> bool:
        """Whether a peer has told this process all it knows."""
        return self._machine.joined

    def publish(
        self, topic: Topic, key: str, version: int, payload: bytes, expires_s: float
    ) -> None:
        """Make a value known to every process, this one's takers included.

        Args:
            topic: What it is about.
            key: Whose value it is, within the topic.
            version: Must grow with each value of one key, also over
                restarts and changes of the publisher; older ones are
                dropped everywhere.
            payload: The value; at most 64 KiB, and better a few hundred
                bytes, since every process sends it to several others.
            expires_s: Age in seconds at which it is forgotten.
        """
        now = time.monotonic()
        self._machine.publish(topic, key, version, payload, expires_s, now)
        self._hand_on()

    def subscribe(self, topic: Topic, take: NoticeTaker) -> None:
        """Have each newer notice of a topic handed on, from now on.

        Those already known are handed on at once. ``take`` must not block;
        a notice's ``age_s`` is its age at the call.
        """
        self._takers[topic].append(take)
        for notice in self._machine.list_notices(topic, time.monotonic()):
            take(notice)

    def members(self) -> tuple[Member, ...]:
        """Return the processes known, this one among them, by name."""
        return self._machine.list_members()

    def set_state(self, state: MemberState) -> None:
        """Tell the fleet what this process does now."""
        self._machine.set_state(state, time.monotonic())
        self._hand_on()

    async def run(self) -> None:
        """Take part until cancelled."""
        while True:
            for action in self._machine.step(time.monotonic()):
                self._start(action)
            self._hand_on()
            await asyncio.sleep(_STEP_S)

    async def handle(self, hello: Hello, message: Message) -> Message | None:
        """Take a peer's message and return the answer, if it has one."""
        match message:
            case ProbeRequest():
                asked = CompareRequest((), ())
                answer = await self._links.request(message.address, asked, message.node)
                return ProbeResponse(isinstance(answer, CompareResponse))
            case Push() | CompareRequest() | JoinRequest():
                now = time.monotonic()
                reply = self._machine.receive(hello.node, message, now)
                self._hand_on()
                return reply
            case _:
                return None

    def close(self) -> None:
        """Give up what is on its way."""
        for task in self._sending:
            task.cancel()

    def _start(self, action: GossipAction) -> None:
        task = asyncio.create_task(self._carry_out(action))
        self._sending.add(task)
        task.add_done_callback(self._sending.discard)

    async def _carry_out(self, action: GossipAction) -> None:
        if not isinstance(action, SendRequest):
            await self._links.send(action.address, action.message, action.node)
            return
        reply = await self._links.request(action.address, action.message, action.node)
        answer = (
            reply
            if isinstance(reply, CompareResponse | JoinPage | ProbeResponse)
            else None
        )
        for following in self._machine.handle_response(
            action, answer, time.monotonic()
        ):
            self._start(following)
        self._hand_on()

    def _hand_on(self) -> None:
        for notice in self._machine.drain_new_notices():
            for take in self._takers[notice.topic]:
                self._call(take, notice)
        if self._machine.roster.superseded_by and not self.superseded.is_set():
            _log.error("superseded", incarnation=self._machine.roster.superseded_by)
            self.superseded.set()

    def _call(self, take: NoticeTaker, notice: Notice) -> None:
        # A payload comes from another process, perhaps of another version:
        # a taker that fails on it must not end the gossip of all topics.
        try:
            take(notice)
        except Exception as error:
            _log.error(
                "notice-unreadable",
                topic=notice.topic.name,
                key=notice.key,
                error=str(error),
            )
