"""Membership: which processes there are, and what all of them should know."""

from zinniaspool.core.membership.gossip import (
    Action,
    Ask,
    GossipMachine,
    Tell,
)
from zinniaspool.core.membership.limits import GossipLimits
from zinniaspool.core.membership.members import Member, MemberRecord, MemberState, Role
from zinniaspool.core.membership.notices import Notice, Topic

__all__ = [
    "Action",
    "Ask",
    "GossipLimits",
    "GossipMachine",
    "Member",
    "MemberRecord",
    "MemberState",
    "Notice",
    "Role",
    "Tell",
    "Topic",
]
