"""Which runs of instances have said that they leave.

An instance that is about to end says so in its answers, in its health and
status answers, and in its record in the store, whichever it can reach first.
All processes inform each other, since an answer reaches only one of them, and
a record may be late or missing. What a run has said in an answer is true until
it has ended, whatever becomes of its record. A record is replaced by the next
one.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum

from zinniaspool.core.fleet.instances import (
    Instance,
    InstanceId,
    InstanceIncarnation,
    InstanceState,
    has_restarted,
)
from zinniaspool.core.ids import NodeId

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
    PEER = "peer"
    """The report of the entry process that had the answer."""

    TUNNEL = "tunnel"
    """Another VM carried no request there."""

    UPDATE = "update"
    """The process from which this one gets the changes of the store."""


@dataclass(frozen=True, slots=True)
class LeavingRun:
    """A run of an instance that leaves.

    Attributes:
        incarnation: The run.
        source: How this process learned it.
        learned_at: When it did, in seconds.
        reported_by: VM that reported it; None if from the instance itself.
        serial: Serial of the copy of the store since when it is known.
    """

    incarnation: InstanceIncarnation
    source: LeavingSource
    learned_at: float
    reported_by: NodeId | None = None
    serial: int = 0


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

    def withdraw_record(self, incarnation: InstanceIncarnation) -> None:
        """Forget what a record showed, since a later one doesn't any more."""
        known = self.find(incarnation)
        if known is not None and known.source is LeavingSource.RECORD:
            del self._runs[incarnation.instance]

    def mark(self, instance: Instance) -> Instance:
        """Return an instance in the state that its run has."""
        incarnation = InstanceIncarnation(instance.id, instance.started_at_ms)
        if instance.state is InstanceState.LEAVING or not self.find(incarnation):
            return instance
        return replace(instance, state=InstanceState.LEAVING)

    def list_since(self, serial: int) -> list[LeavingRun]:
        """Return the runs that became known after a serial.

        Those are left out that the store's records show.
        """
        return [
            run
            for run in self._runs.values()
            if run.serial > serial and run.source is not LeavingSource.RECORD
        ]

    def record(self, run: LeavingRun) -> bool:
        """Record a run that leaves; return whether that was unknown.

        It replaces an earlier run of the same instance, and what only a record
        of this one shows.
        """
        known = self.find(run.incarnation)
        if known is not None and run.source is LeavingSource.RECORD:
            return False
        if known is not None and known.source is not LeavingSource.RECORD:
            return False
        instance = run.incarnation.instance
        self._runs.pop(instance, None)
        self._runs[instance] = run
        if len(self._runs) > MAX_RUNS:
            del self._runs[next(iter(self._runs))]
        return True
