"""Queries the members for their active revision of the configuration."""

import asyncio

import msgspec

from zinniaspool.core.ids import NodeId, Revision
from zinniaspool.core.membership import Member, MemberState
from zinniaspool.core.messages.configuration import (
    ConfigurationRequest,
    ConfigurationResponse,
)
from zinniaspool.node.board import GossipService
from zinniaspool.peers import PeerLinks

__all__ = ["MemberRevision", "query_revisions"]

_MAX_CONCURRENT_QUERIES = 32
"""Members that are queried at the same time."""


class MemberRevision(msgspec.Struct, frozen=True):
    """The active revision of one member.

    Attributes:
        node: Name of the member.
        state: State of the member as known by the querying process.
        revision: Active revision of the member, 0 for none; None if the
            member did not respond or was not queried.
    """

    node: NodeId
    state: MemberState
    revision: Revision | None


async def query_revisions(
    gossip: GossipService, links: PeerLinks
) -> list[MemberRevision]:
    """Query all members but the unresponsive ones for their revision.

    Returns:
        One result for every member, by name.
    """
    limiter = asyncio.Semaphore(_MAX_CONCURRENT_QUERIES)

    async def query(member: Member) -> MemberRevision:
        if member.state is MemberState.UNRESPONSIVE:
            return MemberRevision(member.node, member.state, None)
        async with limiter:
            reply = await links.request(
                member.peer_address, ConfigurationRequest(), member.node
            )
        revision = reply.in_force if isinstance(reply, ConfigurationResponse) else None
        return MemberRevision(member.node, member.state, revision)

    return list(await asyncio.gather(*map(query, gossip.list_members())))
