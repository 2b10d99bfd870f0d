"""The operations of a key-value store and their results, for all clients."""

from enum import Enum
from typing import NewType

import msgspec

from zinniaspool.core.fleet import MirrorEvent, StoredItem
from zinniaspool.core.ids import Revision

__all__ = [
    "KeyWrite",
    "LeaseNumber",
    "RangeResult",
    "StoreCall",
    "StoreFault",
    "WatchResult",
]

LeaseNumber = NewType("LeaseNumber", int)


class StoreFault(Enum):
    """Why a call to the store failed."""

    CONFLICT = "conflict"
    """The key was at another revision; nothing was written."""

    LIMITED = "limited"
    """The limit of calls is reached; nothing was done."""

    UNAVAILABLE = "unavailable"
    """The store refused the call or was not reached; nothing was done."""

    UNKNOWN = "unknown"
    """No answer arrived; a write may have taken effect."""

    NO_LEASE = "no-lease"
    """The lease has expired."""


class StoreCall(Enum):
    """The kinds of calls, as they are counted."""

    GET = "get"
    RANGE = "range"
    WATCH = "watch"
    COMMIT = "commit"
    GRANT = "grant"
    RENEW = "renew"
    END_LEASE = "end-lease"


class KeyWrite(msgspec.Struct, frozen=True):
    """One key to write in a commit.

    Attributes:
        key: The key.
        value: The value to write.
        lease: The lease with which the key expires; 0 for none.
    """

    key: str
    value: bytes
    lease: LeaseNumber = LeaseNumber(0)


class RangeResult(msgspec.Struct, frozen=True):
    """All items whose keys start with a prefix.

    Attributes:
        items: The items.
        as_of: The store's revision that the items are at least as new as.
    """

    items: list[StoredItem]
    as_of: Revision


class WatchResult(msgspec.Struct, frozen=True):
    """The changes that a watch reports.

    Attributes:
        events: The changes.
        as_of: The store's revision up to which they are reported.
        complete: Whether all changes are included; False if the store has
            dropped that part of its history.
    """

    events: list[MirrorEvent]
    as_of: Revision
    complete: bool = True
