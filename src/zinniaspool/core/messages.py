"""What processes of ours say to each other."""

import msgspec

from zinniaspool.core.ids import FailureDomainId, Incarnation, NodeId
from zinniaspool.core.membership.messages import (
    Compare,
    Compared,
    Join,
    JoinPage,
    Probe,
    Probed,
    Push,
)

__all__ = [
    "PROTOCOL_VERSION",
    "Accepted",
    "Gossip",
    "Hello",
    "Message",
    "Refused",
]

PROTOCOL_VERSION = 1


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """First message of a connection: who is calling.

    Attributes:
        protocol: The newest version that the caller speaks.
        node: Its name.
        incarnation: Which of its starts.
        failure_domain: Where it runs.
        secret: Shows that it belongs to the fleet.
    """

    protocol: int
    node: NodeId
    incarnation: Incarnation
    failure_domain: FailureDomainId
    secret: str


class Accepted(msgspec.Struct, frozen=True, tag="accepted"):
    """The answer to a hello that is accepted."""

    protocol: int
    node: NodeId


class Refused(msgspec.Struct, frozen=True, tag="refused"):
    """The answer to a message that is not accepted."""

    reason: str


Gossip = Push | Compare | Compared | Join | JoinPage | Probe | Probed

Message = Hello | Accepted | Refused | Gossip
