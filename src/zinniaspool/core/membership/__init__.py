"""Membership: the processes of the fleet and the values that all should know.

Processes gossip small versioned values, called notices. One topic of notices
holds the record of each member, so the list of members spreads like any other
value. Members that do not respond are detected here as well.
"""

from zinniaspool.core.membership.gossip import (
    GossipAction,
    GossipStateMachine,
    SendMessage,
    SendRequest,
)
from zinniaspool.core.membership.limits import GossipLimits
from zinniaspool.core.membership.members import Member, MemberRecord, MemberState, Role
from zinniaspool.core.membership.notices import Notice, Topic

__all__ = [
    "GossipAction",
    "GossipLimits",
    "GossipStateMachine",
    "Member",
    "MemberRecord",
    "MemberState",
    "Notice",
    "Role",
    "SendMessage",
    "SendRequest",
    "Topic",
]
