"""One fabric domain under the holder's care: its groups and its VMs."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from zinniaspool.core.fleet import Instance, InstanceId, InstanceState
from zinniaspool.core.formation.allocation import Candidate
from zinniaspool.core.formation.balance import DomainShape, ServingGroup
from zinniaspool.core.formation.census import Census
from zinniaspool.core.formation.lifecycle import FleetSight, GroupRun
from zinniaspool.core.formation.records import DomainPlan, GroupPhase, GroupRecord
from zinniaspool.core.formation.releases import ReleaseBook
from zinniaspool.core.ids import FabricDomainId, GroupId, ModelName, ServiceName

__all__ = ["REST_LOOK_S", "SETTLED", "PlannedDomain"]

REST_LOOK_S = 0.25
"""Pause between looks at a domain where nothing has changed and nothing is
under way, in seconds. What its VMs are for may still change with demand, with
the groups of other domains and with the weight store's room. Looked at with
each change anywhere, 25 such domains cost 12 ms of each look."""

SETTLED = frozenset({GroupPhase.SERVING, GroupPhase.FORMING, GroupPhase.STANDBY})
"""Phases of groups that serve or are about to."""

_AT_REST = frozenset({GroupPhase.SERVING, GroupPhase.STANDBY})


@dataclass(slots=True)
class PlannedDomain:
    """One fabric domain under this holder's care.

    Attributes:
        id: Which.
        runs: Its groups under way.
        unsaved: Whether its plan has changed since it was last written.
        writing: Whether that is being written.
        reserved: The model that freed VMs are kept for.
        reserved_until: Until when, in seconds.
        promised: Groups of it that those VMs are to form.
        freed: Groups that were closed for it.
        changed: Whether anything in it has changed since the last look.
        looked_at: When that was, in seconds.
    """

    id: FabricDomainId
    runs: dict[GroupId, GroupRun] = field(default_factory=dict)
    unsaved: bool = False
    writing: bool = False
    reserved: ModelName | None = None
    reserved_until: float = 0.0
    promised: int = 0
    freed: set[GroupId] = field(default_factory=set)
    changed: bool = True
    looked_at: float = float("-inf")

    def is_due(self, now: float) -> bool:
        """Tell whether it is to be looked at."""
        if self.changed or now - self.looked_at >= REST_LOOK_S:
            return True
        return any(run.phase not in _AT_REST for run in self.runs.values())

    def reserves(self, now: float) -> bool:
        """Tell whether its VMs are kept for one model.

        As long as a group that gives its VMs still ends, since its callers
        may be served for seconds, and for a while after that.
        """
        awaited = not self.freed.isdisjoint(self.runs)
        return self.reserved is not None and (awaited or now < self.reserved_until)

    def make_plan(self) -> DomainPlan:
        """Return its groups as they are written in the store."""
        return DomainPlan(self.id, tuple(run.record for run in self.runs.values()))

    def find_shape(self, service: ServiceName, sight: FleetSight) -> DomainShape | None:
        """Return its shape, or None while anything happens there."""
        groups = []
        idle = 0
        ready: Counter[ModelName] = Counter()
        for run in self.runs.values():
            if run.record.service != service:
                continue
            if run.record.standby and run.phase is not GroupPhase.STANDBY:
                # A VM that has come in loads for many seconds; the others
                # need not wait for it.
                continue
            if run.phase not in (GroupPhase.SERVING, GroupPhase.STANDBY):
                return None
            able = _count_ready(run.record, sight)
            if run.record.standby:
                idle += 1
                ready += able
            else:
                record = run.record
                groups.append(ServingGroup(record.group, record.model, able))
        return DomainShape(groups, idle, ready)

    def list_candidates(
        self, instances: Iterable[Instance], census: Census, releases: ReleaseBook
    ) -> list[Candidate]:
        """Return the VMs that may be taken for a group.

        Args:
            instances: Of this domain.
            census: What is known of them.
            releases: Tells which are in no group.
        """
        planned: dict[InstanceId, GroupRun] = {}
        for run in self.runs.values():
            for member in run.record.members:
                planned[member] = run
        found = []
        for one in instances:
            if one.state is InstanceState.LEAVING or one.id in census.sight.lost:
                continue
            holds = planned.get(one.id)
            if holds is None:
                if not releases.is_free(one):
                    continue
                found.append(Candidate(one, census.held.get(one.id), standby=False))
            elif _stands_by(one, holds, releases):
                held = census.held.get(one.id)
                ready = holds.phase is GroupPhase.STANDBY
                found.append(Candidate(one, held if ready else None, standby=True))
        return found


def _count_ready(record: GroupRecord, sight: FleetSight) -> Counter[ModelName]:
    """Count the members that could hold each model within seconds."""
    ready: Counter[ModelName] = Counter()
    for one in record.members:
        found = sight.find(one)
        if found is not None:
            ready.update({record.model, *found.staged})
    return ready


def _stands_by(one: Instance, run: GroupRun, releases: ReleaseBook) -> bool:
    """Tell whether a VM stands by and may be taken for a group.

    A plan may be older than what the VM does: while the store was down,
    it may have joined a group that the plan does not know.
    """
    if not run.record.standby or run.phase is GroupPhase.ENDING:
        return False
    held = one.membership
    own = held is not None and held.group == run.record.group
    return own or releases.is_free(one)
