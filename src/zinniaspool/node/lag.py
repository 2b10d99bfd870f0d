"""Which revision of the configuration each member has in force."""

import asyncio

import msgspec

from zinniaspool.core.ids import NodeId, Revision
from zinniaspool.core.membership import Member, MemberState
from zinniaspool.core.messages.configuration import (
    ConfigurationRequest,
    ConfigurationResponse,
)
from zinniaspool.node.board import Board
from zinniaspool.peers import PeerLinks

__all__ = ["MemberRevision", "ask_revisions"]

_AT_ONCE = 32
"""Members asked at a time."""


class MemberRevision(msgspec.Struct, frozen=True):
    """What one member has in force.

    Attributes:
        node: The member.
        state: Its state, as known by the asked process.
        revision: In force there, 0 for none; None when it did not answer.
    """

    node: NodeId
    state: MemberState
    revision: Revision | None


async def ask_revisions(board: Board, links: PeerLinks) -> list[MemberRevision]:
    """Ask every member that is not silent, and return all, by name."""
    gate = asyncio.Semaphore(_AT_ONCE)

    async def ask(member: Member) -> MemberRevision:
        if member.state is MemberState.UNRESPONSIVE:
            return MemberRevision(member.node, member.state, None)
        async with gate:
            reply = await links.request(
                member.peer_address, ConfigurationRequest(), member.node
            )
        held = reply.in_force if isinstance(reply, ConfigurationResponse) else None
        return MemberRevision(member.node, member.state, held)

    return list(await asyncio.gather(*map(ask, board.members())))
