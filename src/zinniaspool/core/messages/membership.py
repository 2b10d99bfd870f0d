"""What processes say to each other about members and notices.

Structs that travel as arrays may grow at their end, and fields that are not
known are skipped, so that versions can run side by side during an upgrade.
"""

import msgspec

from zinniaspool.core.ids import Address, NodeId

__all__ = [
    "Compare",
    "Compared",
    "Join",
    "JoinPage",
    "Known",
    "Probe",
    "Probed",
    "Push",
    "WireNotice",
]


class WireNotice(msgspec.Struct, frozen=True, array_like=True):
    """A notice on its way.

    Attributes:
        topic: Number of its topic; a receiver may not know it.
        key: Whose value it is.
        version: Orders the values of one key.
        payload: The value.
        age_s: Seconds since it was published.
        lifetime_s: Age at which it expires.
    """

    topic: int
    key: str
    version: int
    payload: bytes
    age_s: float
    lifetime_s: float


class Known(msgspec.Struct, frozen=True, array_like=True):
    """Which version of a key the sender knows; -1 for none."""

    topic: int
    key: str
    version: int


class Push(msgspec.Struct, frozen=True, tag="push"):
    """Notices for whoever does not know them yet; has no answer."""

    notices: tuple[WireNotice, ...]


class Compare(msgspec.Struct, frozen=True, tag="compare"):
    """Asks whether the peer is alive and compares a few versions.

    Attributes:
        notices: Recent notices.
        known: Some of the versions that the sender knows.
    """

    notices: tuple[WireNotice, ...]
    known: tuple[Known, ...]


class Compared(msgspec.Struct, frozen=True, tag="compared"):
    """The answer to a comparison.

    Attributes:
        notices: Recent notices, and those newer than what was compared.
        wanted: What the asking side knows better, to be pushed.
    """

    notices: tuple[WireNotice, ...]
    wanted: tuple[Known, ...]


class Probe(msgspec.Struct, frozen=True, tag="probe"):
    """Asks a third process to see whether a member answers."""

    node: NodeId
    address: Address


class Probed(msgspec.Struct, frozen=True, tag="probed"):
    """Whether the member answered the third process."""

    alive: bool


class Join(msgspec.Struct, frozen=True, tag="join"):
    """A new process asks for all notices, a page at a time.

    Attributes:
        notices: The new process's own.
        after: Where the page begins; empty for the first.
    """

    notices: tuple[WireNotice, ...]
    after: str


class JoinPage(msgspec.Struct, frozen=True, tag="join-page"):
    """One page of all notices.

    Attributes:
        notices: The page.
        after: What to ask for next; empty when this was the last.
    """

    notices: tuple[WireNotice, ...]
    after: str
