"""The messages about members and notices.

Structs that are encoded as arrays may get new fields at their end, and unknown
fields are skipped, so that versions can run side by side during an upgrade.
"""

import msgspec

from zinniaspool.core.ids import Address, NodeId

__all__ = [
    "CompareRequest",
    "CompareResponse",
    "JoinPage",
    "JoinRequest",
    "KnownVersion",
    "ProbeRequest",
    "ProbeResponse",
    "Push",
    "WireNotice",
]


class WireNotice(msgspec.Struct, frozen=True, array_like=True):
    """A notice as it is sent to a peer.

    Attributes:
        topic: Number of the notice's topic; a receiver may not know it.
        key: The key within the topic.
        version: Orders the values of one key.
        payload: The value.
        age_s: Seconds since the notice was published.
        lifetime_s: Age in seconds at which the notice expires.
    """

    topic: int
    key: str
    version: int
    payload: bytes
    age_s: float
    lifetime_s: float


class KnownVersion(msgspec.Struct, frozen=True, array_like=True):
    """The version of a key that the sender knows; -1 for none."""

    topic: int
    key: str
    version: int


class Push(msgspec.Struct, frozen=True, tag="push"):
    """Notices that the receiver may not know yet; there is no answer."""

    notices: tuple[WireNotice, ...]


class CompareRequest(msgspec.Struct, frozen=True, tag="compare"):
    """Checks that the peer is alive, and compares a few versions with it.

    Attributes:
        notices: Recent notices.
        known: Some of the versions that the sender knows.
    """

    notices: tuple[WireNotice, ...]
    known: tuple[KnownVersion, ...]


class CompareResponse(msgspec.Struct, frozen=True, tag="compared"):
    """The answer to a comparison.

    Attributes:
        notices: Recent notices, and those that are newer than the compared
            versions.
        wanted: Keys of which the requesting side has a newer version, which
            it is to push.
    """

    notices: tuple[WireNotice, ...]
    wanted: tuple[KnownVersion, ...]


class ProbeRequest(msgspec.Struct, frozen=True, tag="probe"):
    """Asks a third process to check whether a member answers."""

    node: NodeId
    address: Address


class ProbeResponse(msgspec.Struct, frozen=True, tag="probed"):
    """Reports whether the member answered the third process."""

    alive: bool


class JoinRequest(msgspec.Struct, frozen=True, tag="join"):
    """A new process's request for all notices, a page at a time.

    Attributes:
        notices: The new process's own notices.
        after: Where the page begins; empty for the first page.
    """

    notices: tuple[WireNotice, ...]
    after: str


class JoinPage(msgspec.Struct, frozen=True, tag="join-page"):
    """One page of all notices.

    Attributes:
        notices: The notices of this page.
        after: Where the next page begins; empty if this is the last one.
    """

    notices: tuple[WireNotice, ...]
    after: str
