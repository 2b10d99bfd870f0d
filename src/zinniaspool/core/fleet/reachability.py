"""Which entry VMs callers can get through to, as one of them sees it.

A VM that loses its power stays in the store until its lease lapses, and for as
long as the store is away in whatever copy a process has. Callers that are sent
there lose a second each. So each process tries the others now and then, and
leaves those out that it cannot reach.
"""

import random
from collections.abc import Collection
from enum import Enum

from zinniaspool.core.ids import NodeId

__all__ = ["Reachability", "TryOutcome"]

SAMPLE = 4
"""Others that are tried each time: of eight VMs, each about once a second."""

FAILURES = 2
"""Tries without an answer after which a VM counts as unreachable: a link that
loses packets loses two in a row seldom."""

MOST_PART = 0.5
"""Part of the others from which on it is this VM that is cut off; callers may
well reach those that it cannot."""


class TryOutcome(Enum):
    """What came of trying to connect to a VM."""

    REACHED = "reached"
    REFUSED = "refused"
    """The VM is there and its process is not."""

    SILENT = "silent"


class Reachability:
    """What the tries of one process have shown.

    Args:
        source: Chooses whom to try.
    """

    def __init__(self, source: random.Random) -> None:
        self._source = source
        self._failures: dict[NodeId, int] = {}
        self._unreachable: set[NodeId] = set()
        self._suspected: set[NodeId] = set()

    def choose(self, others: Collection[NodeId]) -> list[NodeId]:
        """Return whom to try now: the doubtful ones, and some others."""
        for name in self._failures.keys() - set(others):
            del self._failures[name]
        self._unreachable &= set(others)
        doubtful = (self._suspected | self._failures.keys()) & set(others)
        self._suspected.clear()
        sound = sorted(set(others) - doubtful)
        sample = self._source.sample(sound, min(SAMPLE, len(sound)))
        return [*sorted(doubtful), *sample]

    def suspect(self, node: NodeId) -> None:
        """Have a VM tried next that another process did not reach."""
        self._suspected.add(node)

    def note(self, node: NodeId, outcome: TryOutcome) -> bool:
        """Take a try's outcome; tell whether a VM has become unreachable."""
        if outcome is TryOutcome.REACHED:
            self._failures.pop(node, None)
            self._unreachable.discard(node)
            return False
        self._failures[node] = self._failures.get(node, 0) + 1
        lost = outcome is TryOutcome.REFUSED or self._failures[node] >= FAILURES
        if not lost or node in self._unreachable:
            return False
        self._unreachable.add(node)
        return True

    def list_usable(self, others: Collection[NodeId]) -> set[NodeId]:
        """Return those of the other VMs that callers may be sent to."""
        if len(self._unreachable & set(others)) > MOST_PART * len(others):
            return set(others)
        return set(others) - self._unreachable
