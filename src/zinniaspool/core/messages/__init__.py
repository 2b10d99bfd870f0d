"""What processes of ours say to each other."""

import msgspec

from zinniaspool.core.errors import ErrorKind
from zinniaspool.core.ids import (
    Address,
    CustomerId,
    FailureDomainId,
    IdempotencyKey,
    Incarnation,
    NodeId,
    RequestId,
)
from zinniaspool.core.messages.configuration import (
    ConfigurationAnswer,
    ConfigurationAsk,
)
from zinniaspool.core.messages.fleet import (
    ClearedContents,
    CrashNote,
    FleetNews,
    FleetWatch,
    LoadNote,
    SilentTarget,
    StoreAsk,
    StoreWord,
    UnreachableNode,
    UpstreamLimit,
)
from zinniaspool.core.messages.membership import (
    Compare,
    Compared,
    Join,
    JoinPage,
    Probe,
    Probed,
    Push,
)

__all__ = [
    "OLDEST_PROTOCOL_VERSION",
    "PROTOCOL_VERSION",
    "Accepted",
    "Forwarded",
    "ForwardedAnswer",
    "ForwardedCall",
    "Gossip",
    "Hello",
    "Message",
    "Refused",
]

PROTOCOL_VERSION = 1
"""Newest version that this program speaks."""
OLDEST_PROTOCOL_VERSION = 1
"""Processes of two neighbouring versions run side by side in an upgrade."""


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


class ForwardedCall(msgspec.Struct, frozen=True, tag="forwarded-call"):
    """A caller's call that only the receiver may run.

    Attributes:
        id: The request's name; the same when it is sent again.
        reply_to: Where the answer is to be sent.
        incarnation: The start of the receiver that may run it.
        customer: Whose call it is, by the sender's check.
        path: As the caller wrote it.
        body: As the caller sent it.
        timeout_s: What is left until the deadline.
        urgency: 0 is the most urgent.
        key: The idempotency key.
    """

    id: RequestId
    reply_to: Address
    incarnation: Incarnation
    customer: CustomerId
    path: str
    body: bytes
    timeout_s: float
    urgency: int
    key: IdempotencyKey


class ForwardedAnswer(msgspec.Struct, frozen=True, tag="forwarded-answer"):
    """How a forwarded call ended.

    Attributes:
        id: The request's name.
        owned: Whether the receiver may run it; if not, it has run nothing.
        status: HTTP status of the answer; 0 for an error.
        content_type: Of the answer.
        body: Of the answer.
        error: The error's kind; None for an answer.
        retry_after: The error's seconds, where they differ from the table's.
    """

    id: RequestId
    owned: bool
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    error: ErrorKind | None = None
    retry_after: float | None = None


Gossip = Push | Compare | Compared | Join | JoinPage | Probe | Probed

Forwarded = ForwardedCall | ForwardedAnswer

Configured = ConfigurationAsk | ConfigurationAnswer

Fleet = (
    FleetWatch
    | FleetNews
    | SilentTarget
    | CrashNote
    | ClearedContents
    | UnreachableNode
    | UpstreamLimit
    | LoadNote
    | StoreAsk
    | StoreWord
)

Message = Hello | Accepted | Refused | Gossip | Configured | Forwarded | Fleet
