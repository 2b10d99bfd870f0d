"""Revisions and leases of a store that may come back from an older copy.

A store that is restored from a copy gives out the numbers of revisions and
leases again that it had given out since the copy was made. The number alone
then shows neither which of two writes is newer nor whose lease it is. So the
store's generation, which increases with each restore, is the upper part of
each revision and of each lease number. Revisions of different generations are
in the right order, and no two writes have the same one.
"""

from zinniaspool.core.ids import Revision

__all__ = [
    "add_generation",
    "find_generation",
    "find_number",
    "format_revision",
    "make_revision",
]

NUMBER_BITS = 40
"""Bits of the store's own number. With thirteen more bits for the generation,
a revision is an integer that every JSON codec preserves."""


def add_generation(generation: int, number: int) -> int:
    """Return a number of the store with its generation in front."""
    return generation << NUMBER_BITS | number


def make_revision(generation: int, number: int) -> Revision:
    """Return the revision that a generation of the store gave out."""
    return Revision(add_generation(generation, number))


def find_generation(token: int) -> int:
    """Return the generation of a revision or of a lease number."""
    return token >> NUMBER_BITS


def find_number(token: int) -> int:
    """Return the store's own number of a revision or of a lease."""
    return token & ((1 << NUMBER_BITS) - 1)


def format_revision(revision: Revision) -> str:
    """Return a revision for log lines, as generation and number."""
    return f"{find_generation(revision)}.{find_number(revision)}"
