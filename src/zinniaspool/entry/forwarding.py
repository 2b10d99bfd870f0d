"""Calls that another entry process must run, and those it is asked to."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from zinniaspool.core.ids import Address, IdempotencyKey, Incarnation, NodeId
from zinniaspool.core.membership import Member, MemberState
from zinniaspool.core.messages import ForwardedAnswer, ForwardedCall
from zinniaspool.entry.calls import WantedCall
from zinniaspool.peers import PeerLinks

__all__ = ["CallForwarder", "Owner"]

_REPEAT_S = 1.0
"""Seconds until a forwarded call without an answer is sent again."""
_MOST_UNSENT = 2
"""Sendings that could not leave before a call counts as not run."""
_UNSENT_S = 0.1
"""Seconds until one that could not leave is sent again."""
_ANSWER_WAY_S = 0.1
"""Seconds of a caller's deadline that its call's owner does not get; chosen,
some round trips between regions. An owner that gives up at the deadline says
"not run" too late, and the caller reads that the outcome is unknown."""
_MOST_WAY_PART = 0.25
"""Largest part of the time left that is kept back; chosen, so that a call with
little time left keeps most of it."""


@dataclass(frozen=True, slots=True)
class Owner:
    """The one start of a process that may run a call."""

    node: NodeId
    incarnation: Incarnation
    address: Address


class CallForwarder:
    """Has calls run by other entry processes.

    A message may be lost, also after it has arrived. It is sent again until
    its answer comes: the owner knows the call by its key, so that a message
    which comes twice runs nothing twice.

    Args:
        links: Connections to peers.
        own_address: Where the answers are to be sent.
        list_members: The processes known.
    """

    def __init__(
        self,
        links: PeerLinks,
        own_address: Address,
        list_members: Callable[[], list[Member]],
    ) -> None:
        self._links = links
        self._own_address = own_address
        self._list_members = list_members
        self._waiting: dict[str, asyncio.Future[ForwardedAnswer]] = {}

    def find(self, node: NodeId, incarnation: Incarnation) -> Owner | None:
        """Return a start of a process unless it is known to be over."""
        for member in self._list_members():
            if member.node == node:
                same = member.incarnation == incarnation
                alive = member.state is not MemberState.UNRESPONSIVE
                address = member.peer_address
                return Owner(node, incarnation, address) if same and alive else None
        return None

    def is_over(self, owner: Owner) -> bool:
        """Whether a start of a process is known to be over."""
        for member in self._list_members():
            if member.node == owner.node:
                gone = member.state is MemberState.UNRESPONSIVE
                return gone or member.incarnation != owner.incarnation
        return False

    def is_leaving(self, owner: Owner) -> bool:
        """Whether a process is known to be leaving."""
        return any(
            member.node == owner.node and member.state is MemberState.LEAVING
            for member in self._list_members()
        )

    async def ask(
        self, owner: Owner, wanted: WantedCall, key: IdempotencyKey
    ) -> ForwardedAnswer | None:
        """Return the owner's answer; None when it cannot be had.

        The call may have run where None is returned.
        """
        loop = asyncio.get_running_loop()
        answered: asyncio.Future[ForwardedAnswer] = loop.create_future()
        self._waiting[wanted.id] = answered
        unsent = 0
        try:
            while (left_s := wanted.deadline - loop.time()) > 0:
                message = self._make_message(owner, wanted, key, left_s)
                if not await self._links.send(owner.address, message, owner.node):
                    unsent += 1
                    if unsent >= _MOST_UNSENT:
                        return None
                wait_s = min(_UNSENT_S if unsent else _REPEAT_S, left_s)
                done, _ = await asyncio.wait([answered], timeout=wait_s)
                if done:
                    return answered.result()
                if self.find(owner.node, owner.incarnation) is None:
                    return None
            return None
        finally:
            del self._waiting[wanted.id]

    def take_answer(self, message: ForwardedAnswer) -> None:
        """Take the answer to a call, unless nobody waits for it."""
        waiting = self._waiting.get(message.id)
        if waiting is not None and not waiting.done():
            waiting.set_result(message)

    def _make_message(
        self, owner: Owner, wanted: WantedCall, key: IdempotencyKey, left_s: float
    ) -> ForwardedCall:
        return ForwardedCall(
            wanted.id,
            self._own_address,
            owner.incarnation,
            wanted.customer,
            wanted.path,
            wanted.body,
            left_s - min(_ANSWER_WAY_S, left_s * _MOST_WAY_PART),
            wanted.urgency,
            key,
        )
