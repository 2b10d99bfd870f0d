"""Revisions of a store that may come back from an older copy.

A store that is restored from a copy gives out the numbers of revisions again
that it had given out since the copy was made. The number alone then doesn't
show which of two writes is newer. So the store's generation, which increases
with each restore, is the upper part of each revision. Revisions of different
generations are in the right order, and no two writes have the same one.
"""

from zinniaspool.core.ids import Epoch, Revision

__all__ = [
    "MAX_EPOCH",
    "MAX_GENERATION",
    "MAX_NUMBER",
    "find_generation",
    "find_lowest_epoch",
    "find_number",
    "format_revision",
    "make_revision",
]

NUMBER_BITS = 40
"""Bits of the store's own number."""

MAX_NUMBER = (1 << NUMBER_BITS) - 1
"""Largest number of the store that a revision can hold."""

MAX_GENERATION = (1 << (63 - NUMBER_BITS)) - 1
"""Largest generation that a revision of 63 bits can hold."""

EPOCH_BITS = 52
"""Bits of a revision that are used in epochs. Engines read them as JSON
numbers, which are exact up to 53 bits."""

MAX_EPOCH = 1 << EPOCH_BITS
"""An epoch that no holder begins with; the ones after it remain exact."""


def make_revision(generation: int, number: int) -> Revision:
    """Return the revision that a generation of the store gave out."""
    return Revision(generation << NUMBER_BITS | number)


def find_generation(revision: Revision) -> int:
    """Return the generation of the store that gave out a revision."""
    return revision >> NUMBER_BITS


def find_number(revision: Revision) -> int:
    """Return the store's own number of a revision."""
    return revision & MAX_NUMBER


def find_lowest_epoch(revision: Revision) -> Epoch:
    """Return an epoch that no write before a revision can have used."""
    return Epoch(revision & ((1 << EPOCH_BITS) - 1))


def format_revision(revision: Revision) -> str:
    """Return a revision for log lines, as generation and number."""
    return f"{find_generation(revision)}.{find_number(revision)}"
