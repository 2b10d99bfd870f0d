"""One fabric domain that the holder plans: its groups and its idle VMs."""

from collections import Counter
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from zinniaspool.core.fleet import Instance, InstanceId, InstanceState
from zinniaspool.core.formation.allocation import Candidate
from zinniaspool.core.formation.balance import ServingGroup, SettledDomain
from zinniaspool.core.formation.census import VmInventory
from zinniaspool.core.formation.lifecycle import GroupRun, InstanceView
from zinniaspool.core.formation.records import DomainPlan, GroupPhase, GroupRecord
from zinniaspool.core.formation.releases import ReleaseTracker
from zinniaspool.core.ids import FabricDomainId, GroupId, ModelName, ServiceName

__all__ = ["ACTIVE_PHASES", "REST_LOOK_S", "PlannedDomain"]

REST_LOOK_S = 0.25
"""Pause between scans of a domain where nothing has changed and no group forms
or ends, in seconds. Which model its VMs should serve may still change with
demand, with the groups of other domains and with the room for loads from the
weight store. Scanning 25 such domains at each change anywhere takes 12 ms of
each pass."""

ACTIVE_PHASES = frozenset({GroupPhase.SERVING, GroupPhase.FORMING, GroupPhase.STANDBY})
"""Phases of groups that serve, stand by or are about to."""

_STABLE_PHASES = frozenset({GroupPhase.SERVING, GroupPhase.STANDBY})
"""Phases in which a group waits for no order to take effect."""


@dataclass(slots=True)
class PlannedDomain:
    """One fabric domain that this holder plans.

    Attributes:
        id: The fabric domain.
        runs: Its groups.
        unsaved: Whether its plan has changed since it was last written.
        writing: The plan that is being written, or None.
        reserved_for: The model that freed VMs are reserved for, or None.
        reserved_until: Time until which they are reserved, in seconds.
        reserved_groups: Groups of that model that those VMs are to form.
        donor_groups: Groups that were closed to free those VMs.
        changed: Whether anything in it has changed since the last scan.
        scanned_at: Time of the last scan, in seconds.
    """

    id: FabricDomainId
    runs: dict[GroupId, GroupRun] = field(default_factory=dict)
    unsaved: bool = False
    writing: DomainPlan | None = None
    reserved_for: ModelName | None = None
    reserved_until: float = 0.0
    reserved_groups: int = 0
    donor_groups: set[GroupId] = field(default_factory=set)
    changed: bool = True
    scanned_at: float = float("-inf")

    def is_due(self, now: float) -> bool:
        """Return whether the domain is due for a scan."""
        if self.changed or now - self.scanned_at >= REST_LOOK_S:
            return True
        return any(run.phase not in _STABLE_PHASES for run in self.runs.values())

    def has_reservation(self, now: float) -> bool:
        """Return whether the domain's idle VMs are reserved for one model.

        They are reserved until ``reserved_until``, and longer while a donor
        group still ends, since it may serve its callers for seconds.
        """
        donors_end = not self.donor_groups.isdisjoint(self.runs)
        return self.reserved_for is not None and (
            donors_end or now < self.reserved_until
        )

    def make_plan(self) -> DomainPlan:
        """Return the domain's groups as they are written to the store."""
        return DomainPlan(self.id, tuple(run.record for run in self.runs.values()))

    def describe_if_settled(
        self, service: ServiceName, view: InstanceView
    ) -> SettledDomain | None:
        """Return its groups and idle VMs, or None while a group changes.

        Args:
            service: The service whose groups are described.
            view: The known instances.
        """
        groups = []
        idle_vms = 0
        ready: Counter[ModelName] = Counter()
        for run in self.runs.values():
            if run.record.service != service:
                continue
            if run.record.standby and run.phase is not GroupPhase.STANDBY:
                # A newly arrived VM loads for many seconds. The other VMs
                # need not wait for it.
                continue
            if run.phase not in (GroupPhase.SERVING, GroupPhase.STANDBY):
                return None
            if not view.not_orderable.isdisjoint(run.record.members):
                if run.record.standby:
                    continue
                # It could not be ordered to close.
                return None
            able = _count_ready(run.record, view)
            if run.record.standby:
                idle_vms += 1
                ready += able
            else:
                record = run.record
                groups.append(ServingGroup(record.group, record.model, able))
        return SettledDomain(groups, idle_vms, ready)

    def list_candidates(
        self,
        instances: Iterable[Instance],
        inventory: VmInventory,
        releases: ReleaseTracker,
        now: float,
        slow: Collection[InstanceId] = (),
    ) -> list[Candidate]:
        """Return the idle and standby VMs that may join a group.

        Args:
            instances: The instances of this domain.
            inventory: Which instances are unreachable, and their models.
            releases: Knows which VMs have left their groups.
            now: Current time, in seconds.
            slow: The VMs that work much slower than usual.
        """
        planned: dict[InstanceId, GroupRun] = {}
        for run in self.runs.values():
            for member in run.record.members:
                planned[member] = run
        found = []
        for instance in instances:
            if (
                instance.state is InstanceState.LEAVING
                or instance.id in inventory.view.unreachable
                or instance.id in inventory.view.unrecorded
                or instance.id in inventory.view.not_orderable
            ):
                continue
            own_run = planned.get(instance.id)
            cold = inventory.is_cold(instance.id, now)
            if own_run is None:
                if not releases.is_free(instance, inventory.view):
                    continue
                found.append(
                    Candidate(
                        instance,
                        inventory.loaded_models.get(instance.id),
                        standby=False,
                        cold=cold,
                        is_slow=instance.id in slow,
                    )
                )
            elif _is_available_standby(instance, own_run, releases, inventory.view):
                model = inventory.loaded_models.get(instance.id)
                ready = own_run.phase is GroupPhase.STANDBY
                found.append(
                    Candidate(
                        instance,
                        model if ready else None,
                        standby=True,
                        cold=cold,
                        is_slow=instance.id in slow,
                    )
                )
        return found


def _count_ready(record: GroupRecord, view: InstanceView) -> Counter[ModelName]:
    """Count the members that could load each model within seconds."""
    ready: Counter[ModelName] = Counter()
    for member in record.members:
        found = view.find_reachable(member)
        if found is not None:
            ready.update({record.model, *found.staged})
    return ready


def _is_available_standby(
    instance: Instance, run: GroupRun, releases: ReleaseTracker, view: InstanceView
) -> bool:
    """Return whether a planned VM stands by and may join another group.

    The plan may be older than the VM's state. While the store was down, the
    VM may have joined a group that the plan does not name.
    """
    if not run.record.standby or run.phase is GroupPhase.ENDING:
        return False
    membership = instance.membership
    stands_by = membership is not None and membership.group == run.record.group
    return stands_by or releases.is_free(instance, view)
