"""Which runs of instances have said that they leave.

An instance that is about to end says so in its answers, in its health and
status answers, and in its record in the store, whichever it can reach first.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from zinniaspool.core.fleet.instances import (
    InstanceId,
    InstanceIncarnation,
    has_restarted,
)

__all__ = ["LeavingRun", "LeavingRuns", "LeavingSource"]

MAX_RUNS = 4096
"""Instances whose leaving run is remembered: several times those of the
largest fleet that is planned for."""


class LeavingSource(Enum):
    """How a process learned that a run leaves."""

    ANSWER = "answer"
    """The answer to a request."""

    HEALTH = "health"
    STATUS = "status"
    RECORD = "record"


@dataclass(frozen=True, slots=True)
class LeavingRun:
    """A run of an instance that leaves.

    Attributes:
        incarnation: The run.
        source: How this process learned it.
        learned_at: When it did, in seconds.
    """

    incarnation: InstanceIncarnation
    source: LeavingSource
    learned_at: float


class LeavingRuns:
    """The runs that leave, one for each instance id."""

    def __init__(self) -> None:
        self._runs: dict[InstanceId, LeavingRun] = {}

    def __iter__(self) -> Iterator[LeavingRun]:
        return iter(list(self._runs.values()))

    def find(self, incarnation: InstanceIncarnation) -> LeavingRun | None:
        """Return what is known of a run that leaves; None for any other."""
        known = self._runs.get(incarnation.instance)
        if known is None:
            return None
        started_at_ms = known.incarnation.started_at_ms
        if has_restarted(started_at_ms, incarnation.started_at_ms):
            return None
        return known

    def record(self, run: LeavingRun) -> bool:
        """Record a run that leaves; return whether that was unknown.

        It replaces an earlier run of the same instance.
        """
        if self.find(run.incarnation) is not None:
            return False
        instance = run.incarnation.instance
        self._runs.pop(instance, None)
        self._runs[instance] = run
        if len(self._runs) > MAX_RUNS:
            del self._runs[next(iter(self._runs))]
        return True
