"""How a call to a key-value service fails, whichever client made it."""

from enum import Enum

__all__ = ["StoreFault"]


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
