"""Forwarding of calls to the entry process that may run them."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from zinniaspool.core.ids import Address, IdempotencyKey, Incarnation, NodeId
from zinniaspool.core.membership import Member, MemberState
from zinniaspool.core.messages import ForwardedAnswer, ForwardedCall
from zinniaspool.entry.calls import CallerRequest
from zinniaspool.peers import PeerLinks

__all__ = ["CallForwarder", "Owner"]

_RESEND_S = 1.0
"""Seconds until a forwarded call that has no answer is sent again."""
_MAX_SEND_FAILURES = 2
"""Failed attempts to send after which a call is given up."""
_SEND_RETRY_S = 0.1
"""Seconds until a call whose sending failed is sent again."""
_ANSWER_TRANSIT_S = 0.1
"""Seconds of the time left that the owner does not get, for its answer to
arrive in: several round trips between regions. Without them an owner that
gives up at the deadline reports "not run" too late, and the caller reads that
the outcome is unknown."""
_MAX_TRANSIT_PART = 0.25
"""Maximum part of the time left that the owner does not get, so that a call
with little time left keeps most of it."""


@dataclass(frozen=True, slots=True)
class Owner:
    """The incarnation of a process that alone may run a call."""

    node: NodeId
    incarnation: Incarnation
    address: Address


class CallForwarder:
    """Forwards calls to other entry processes and receives the answers.

    A message may be lost, also after it has arrived. It is sent again until
    its answer is received. The owner recognizes the call by its key, so a
    message that arrives twice does not run the call twice.

    Args:
        links: Connections to peers.
        local_address: Address of this process, to which answers are sent.
        list_members: Returns the known processes.
    """

    def __init__(
        self,
        links: PeerLinks,
        local_address: Address,
        list_members: Callable[[], list[Member]],
    ) -> None:
        self._links = links
        self._local_address = local_address
        self._list_members = list_members
        self._awaited_answers: dict[str, asyncio.Future[ForwardedAnswer]] = {}

    def find_owner(self, node: NodeId, incarnation: Incarnation) -> Owner | None:
        """Return an incarnation of a process as an owner.

        None is returned if it is not among the known members, or if its
        process is known to be unresponsive.
        """
        for member in self._list_members():
            if member.node == node:
                same = member.incarnation == incarnation
                alive = member.state is not MemberState.UNRESPONSIVE
                address = member.peer_address
                return Owner(node, incarnation, address) if same and alive else None
        return None

    def has_ended(self, owner: Owner) -> bool:
        """Whether the owner's incarnation is known to have ended.

        A process that is known to be unresponsive counts as ended. A process
        that is not known at all does not.
        """
        for member in self._list_members():
            if member.node == owner.node:
                silent = member.state is MemberState.UNRESPONSIVE
                return silent or member.incarnation != owner.incarnation
        return False

    def is_leaving(self, owner: Owner) -> bool:
        """Whether the owner's process is known to be leaving."""
        return any(
            member.node == owner.node and member.state is MemberState.LEAVING
            for member in self._list_members()
        )

    async def forward(
        self, owner: Owner, request: CallerRequest, key: IdempotencyKey
    ) -> ForwardedAnswer | None:
        """Forward a call to its owner and return the answer.

        None is returned if the deadline passes, the message cannot be sent,
        or the owner is not found among the members any more. The call may
        have run even then.

        Args:
            owner: The incarnation of a process that may run the call.
            request: The call.
            key: The call's idempotency key.
        """
        loop = asyncio.get_running_loop()
        answer: asyncio.Future[ForwardedAnswer] = loop.create_future()
        self._awaited_answers[request.id] = answer
        send_failures = 0
        try:
            while (left_s := request.deadline - loop.time()) > 0:
                message = self._make_message(owner, request, key, left_s)
                if not await self._links.send(owner.address, message, owner.node):
                    send_failures += 1
                    if send_failures >= _MAX_SEND_FAILURES:
                        return None
                wait_s = min(_SEND_RETRY_S if send_failures else _RESEND_S, left_s)
                done, _ = await asyncio.wait([answer], timeout=wait_s)
                if done:
                    return answer.result()
                if self.find_owner(owner.node, owner.incarnation) is None:
                    return None
            return None
        finally:
            del self._awaited_answers[request.id]

    def handle_answer(self, message: ForwardedAnswer) -> None:
        """Handle the answer to a call, unless it is no longer awaited."""
        awaited = self._awaited_answers.get(message.id)
        if awaited is not None and not awaited.done():
            awaited.set_result(message)

    def _make_message(
        self, owner: Owner, request: CallerRequest, key: IdempotencyKey, left_s: float
    ) -> ForwardedCall:
        return ForwardedCall(
            request.id,
            self._local_address,
            owner.incarnation,
            request.customer,
            request.path,
            request.body,
            left_s - min(_ANSWER_TRANSIT_S, left_s * _MAX_TRANSIT_PART),
            request.urgency,
            key,
        )
