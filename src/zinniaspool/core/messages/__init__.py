"""The messages that zinniaspool processes exchange."""

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
    ConfigurationRequest,
    ConfigurationResponse,
)
from zinniaspool.core.messages.fleet import (
    AnswerReport,
    CrashHistory,
    CrashHistoryRequest,
    CrashReport,
    CutAnswer,
    DemandDigest,
    FleetUpdate,
    FleetWatch,
    InstanceAnswer,
    InstanceQuery,
    LeavingInstance,
    LeavingNode,
    LoadReport,
    PausedInstance,
    SlowTarget,
    StalledTarget,
    StoreStatus,
    StoreStatusRequest,
    TunnelData,
    TunnelEnd,
    TunnelOutcome,
    TunnelRequest,
    UnreachableNode,
    UpstreamLimit,
)
from zinniaspool.core.messages.membership import (
    CompareRequest,
    CompareResponse,
    JoinPage,
    JoinRequest,
    ProbeRequest,
    ProbeResponse,
    Push,
)

__all__ = [
    "OLDEST_PROTOCOL_VERSION",
    "PROTOCOL_VERSION",
    "Accepted",
    "ForwardedAnswer",
    "ForwardedCall",
    "ForwardingMessage",
    "GossipMessage",
    "Hello",
    "Message",
    "Refused",
]

PROTOCOL_VERSION = 1
"""Newest protocol version that this program supports."""
OLDEST_PROTOCOL_VERSION = 1
"""Oldest protocol version that this program supports: during an upgrade,
processes of two adjacent versions run side by side."""


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """First message of a connection: identifies the process that connects.

    Attributes:
        protocol: The newest protocol version that the process supports.
        node: Its name.
        incarnation: Its incarnation.
        failure_domain: Its failure domain.
        secret: Proves that it belongs to the fleet.
    """

    protocol: int
    node: NodeId
    incarnation: Incarnation
    failure_domain: FailureDomainId
    secret: str


class Accepted(msgspec.Struct, frozen=True, tag="accepted"):
    """The answer to a hello that is accepted.

    Attributes:
        protocol: The protocol version that both sides use.
        node: The name of the accepting process.
    """

    protocol: int
    node: NodeId


class Refused(msgspec.Struct, frozen=True, tag="refused"):
    """The answer to a message that is not accepted.

    Attributes:
        reason: A keyword for the cause, such as ``secret`` or ``version``.
    """

    reason: str


class ForwardedCall(msgspec.Struct, frozen=True, tag="forwarded-call"):
    """A caller's call that only the receiving process may run.

    Attributes:
        id: The request's id; the same when the call is sent again.
        reply_to: Where the answer is to be sent.
        incarnation: The incarnation of the receiver that may run the call.
        customer: The customer, as authenticated by the sender.
        path: The path as the caller sent it.
        body: The body as the caller sent it.
        timeout_s: Seconds left until the deadline.
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
        id: The request's id.
        owned: Whether the receiver may run the call; if not, it has run
            nothing.
        status: HTTP status of the answer; 0 for an error.
        content_type: Content type of the answer.
        body: Body of the answer.
        error: Kind of the error; None for an answer.
        retry_after: Seconds to wait before a retry, if they differ from those
            in the table of errors.
    """

    id: RequestId
    owned: bool
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    error: ErrorKind | None = None
    retry_after: float | None = None


GossipMessage = (
    Push
    | CompareRequest
    | CompareResponse
    | JoinRequest
    | JoinPage
    | ProbeRequest
    | ProbeResponse
)

ForwardingMessage = ForwardedCall | ForwardedAnswer

ConfigurationMessage = ConfigurationRequest | ConfigurationResponse

FleetMessage = (
    FleetWatch
    | FleetUpdate
    | StalledTarget
    | CrashReport
    | AnswerReport
    | CrashHistoryRequest
    | CrashHistory
    | UnreachableNode
    | LeavingInstance
    | LeavingNode
    | PausedInstance
    | CutAnswer
    | UpstreamLimit
    | DemandDigest
    | LoadReport
    | SlowTarget
    | StoreStatusRequest
    | StoreStatus
    | InstanceQuery
    | InstanceAnswer
    | TunnelRequest
    | TunnelOutcome
    | TunnelData
    | TunnelEnd
)

Message = (
    Hello
    | Accepted
    | Refused
    | GossipMessage
    | ConfigurationMessage
    | ForwardingMessage
    | FleetMessage
)
