"""Which entry VMs callers can reach, as seen from one of these VMs.

The record of a VM that loses its power stays in the store until its lease
expires, and in each process's copy for as long as the store is down. A caller
that is sent to such a VM loses a second. So each process regularly probes the
other VMs and stops announcing those that it cannot reach.
"""

import random
from collections.abc import Collection
from enum import Enum

from zinniaspool.core.ids import NodeId

__all__ = ["ProbeOutcome", "ReachabilityTracker"]

SAMPLE_SIZE = 4
"""Number of healthy VMs that are probed in each round. In a fleet of eight VMs
each one is probed about once a second."""

FAILURES_UNTIL_UNREACHABLE = 2
"""Probes in a row without an answer after which a VM counts as unreachable: a
link that loses packets seldom loses two in a row."""

MAX_UNREACHABLE_PART = 0.5
"""Part of the other VMs that may be unreachable. With more, this VM may be
the one that is cut off, and callers may well reach the VMs that it cannot
reach."""

FAILURES_UNTIL_GONE = 8
"""Probes in a row without an answer after which a VM counts as gone, however
many others can't be reached either: about four seconds. Its record may stay
three times as long."""


class ProbeOutcome(Enum):
    """The result of an attempt to connect to a VM."""

    REACHED = "reached"
    REFUSED = "refused"
    """The VM is up, but its process is not running."""

    NO_ANSWER = "silent"


class ReachabilityTracker:
    """Decides which VMs to probe and which of them callers may be sent to.

    The VMs that its methods take and return never include this one.

    Args:
        random_source: Used to draw the VMs to probe.
    """

    def __init__(self, random_source: random.Random) -> None:
        self._random_source = random_source
        self._failures: dict[NodeId, int] = {}
        self._unreachable: set[NodeId] = set()
        self._suspected: set[NodeId] = set()

    def choose_probes(self, vms: Collection[NodeId]) -> list[NodeId]:
        """Return the VMs to probe now: all suspects, and a sample of the rest.

        Suspects are the VMs whose last probe failed and those that another
        process has reported since the last call.
        """
        for name in self._failures.keys() - set(vms):
            del self._failures[name]
        self._unreachable &= set(vms)
        suspects = (self._suspected | self._failures.keys()) & set(vms)
        self._suspected.clear()
        healthy = sorted(set(vms) - suspects)
        sample = self._random_source.sample(healthy, min(SAMPLE_SIZE, len(healthy)))
        return [*sorted(suspects), *sample]

    def suspect(self, node: NodeId) -> None:
        """Have a VM probed next because another process did not reach it."""
        self._suspected.add(node)

    def record_outcome(self, node: NodeId, outcome: ProbeOutcome) -> bool:
        """Record a probe's outcome.

        Returns:
            Whether the VM has just become unreachable.
        """
        if outcome is ProbeOutcome.REACHED:
            self._failures.pop(node, None)
            self._unreachable.discard(node)
            return False
        self._failures[node] = self._failures.get(node, 0) + 1
        unreachable = (
            outcome is ProbeOutcome.REFUSED
            or self._failures[node] >= FAILURES_UNTIL_UNREACHABLE
        )
        if not unreachable or node in self._unreachable:
            return False
        self._unreachable.add(node)
        return True

    def list_usable(self, vms: Collection[NodeId], *, has_path: bool) -> set[NodeId]:
        """Return the other VMs that callers may be sent to.

        If this VM cannot reach most of them, it may be cut off itself, and
        leaves out only those that it has not reached for long. If it reaches
        none of them and no upstream either, all are returned.

        Args:
            vms: The other VMs.
            has_path: Whether this VM has a path of its own to the upstreams.
        """
        unreachable = self._unreachable & set(vms)
        if len(unreachable) <= MAX_UNREACHABLE_PART * len(vms):
            return set(vms) - unreachable
        if len(unreachable) == len(vms) and not has_path:
            return set(vms)
        return {
            name for name in vms if self._failures.get(name, 0) < FAILURES_UNTIL_GONE
        }
