"""What is asked of a key-value service, whichever client asks it."""

from enum import Enum
from typing import NewType

import msgspec

from zinniaspool.core.fleet import MirrorEvent, StoredItem
from zinniaspool.core.ids import Revision

__all__ = [
    "KeyWrite",
    "LeaseNumber",
    "Reading",
    "StoreCall",
    "StoreFault",
    "WatchResult",
]

LeaseNumber = NewType("LeaseNumber", int)


class StoreFault(Enum):
    """Why a call to the store gave no answer of its own."""

    CONFLICT = "conflict"
    """The key was at another revision: nothing was written."""

    LIMITED = "limited"
    """The call limit is reached: nothing was done."""

    UNAVAILABLE = "unavailable"
    """The store refused or was not reached: nothing was done."""

    UNKNOWN = "unknown"
    """No answer came: a write may have taken effect."""

    NO_LEASE = "no-lease"
    """The lease has lapsed."""


class StoreCall(Enum):
    """The kinds of calls that are counted."""

    GET = "get"
    RANGE = "range"
    WATCH = "watch"
    COMMIT = "commit"
    GRANT = "grant"
    RENEW = "renew"
    END_LEASE = "end-lease"


class KeyWrite(msgspec.Struct, frozen=True):
    """One key of a commit.

    Attributes:
        key: Which.
        value: What to write.
        lease: The lease that the key goes with; 0 for none.
    """

    key: str
    value: bytes
    lease: LeaseNumber = LeaseNumber(0)


class Reading(msgspec.Struct, frozen=True):
    """All items below a prefix, none older than ``as_of``."""

    items: list[StoredItem]
    as_of: Revision


class WatchResult(msgspec.Struct, frozen=True):
    """What a watch saw; ``complete`` is False where history was dropped."""

    events: list[MirrorEvent]
    as_of: Revision
    complete: bool = True
