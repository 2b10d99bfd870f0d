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
from zinniaspool.core.plans import DomainPlan, EngineReport

__all__ = [
    "OLDEST_PROTOCOL_VERSION",
    "PROTOCOL_VERSION",
    "Accepted",
    "AgedReport",
    "DomainState",
    "Gossip",
    "Hello",
    "Message",
    "Refused",
]

PROTOCOL_VERSION = 1
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


class AgedReport(msgspec.Struct, frozen=True):
    """An engine report and how old it was, in seconds, when this was sent.

    An age, unlike a time of day, needs no common clock.
    """

    report: EngineReport
    age_s: float


class DomainState(msgspec.Struct, frozen=True, tag="domain-state"):
    """The plan of a fabric domain and what its engines reported."""

    plan: DomainPlan
    reports: tuple[AgedReport, ...]


Gossip = Push | Compare | Compared | Join | JoinPage | Probe | Probed

Message = Hello | Accepted | Refused | DomainState | Gossip
