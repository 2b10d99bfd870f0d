"""A holder's view of its domain's VMs, and the result of planning."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from zinniaspool.core.groups.allocation import Shortfall
from zinniaspool.core.ids import VmId
from zinniaspool.core.plans import (
    DomainPlan,
    EngineReport,
    EngineState,
    ExclusionReason,
    GroupPlan,
)

__all__ = [
    "ChangeKind",
    "IdleReason",
    "IdleVm",
    "PlanChange",
    "PlanningResult",
    "VmCondition",
    "VmView",
]


class VmCondition(Enum):
    """Whether a VM can be used for groups."""

    PRESENT = "present"
    SETTLING = "settling"
    """The VM reports again, but not yet long enough to join a group."""

    ABSENT = "absent"
    LEAVING = "leaving"
    """The platform is about to remove the VM."""

    STRAGGLING = "straggling"
    """The VM was much slower than the other members of its group."""

    def out_reason(self) -> ExclusionReason | None:
        """Return why a VM in this condition may not join a group, if so."""
        return _OUT_REASONS.get(self)


_OUT_REASONS: Mapping[VmCondition, ExclusionReason] = {
    VmCondition.ABSENT: ExclusionReason.ABSENT,
    VmCondition.LEAVING: ExclusionReason.LEAVING,
    VmCondition.STRAGGLING: ExclusionReason.STRAGGLING,
}


@dataclass(frozen=True, slots=True)
class VmView:
    """One VM as its domain's holder sees it.

    Attributes:
        condition: Whether the VM can be used for groups.
        since: Time of the newest report, or of the start of tracking, in
            seconds of the holder's clock.
        report: The newest report, or None.
    """

    condition: VmCondition
    since: float
    report: EngineReport | None = None

    @property
    def is_reporting(self) -> bool:
        """Whether the newest report still shows the engine's state."""
        return self.condition is not VmCondition.ABSENT and self.report is not None

    @property
    def is_empty(self) -> bool:
        """Whether the VM reports that it has no customer's data loaded."""
        return (
            self.is_reporting
            and self.report is not None
            and self.report.state is EngineState.EMPTY
        )

    def reports_group(self, group: GroupPlan) -> bool:
        """Whether the VM reports this group at the group's current epoch."""
        return (
            self.is_reporting
            and self.report is not None
            and (self.report.group, self.report.epoch) == (group.id, group.epoch)
        )


class ChangeKind(Enum):
    """The kind of a change of a plan."""

    FORMED = "formed"
    REPAIRED = "repaired"
    DRAINING = "draining"
    RELEASING = "releasing"
    DISSOLVED = "dissolved"
    VM_OUT = "vm-out"
    VM_BACK = "vm-back"
    KEPT_WAITING = "kept-waiting"
    """The plan does not change yet: the group waits for a VM."""


@dataclass(frozen=True, slots=True)
class PlanChange:
    """One change of a plan and its reason.

    Attributes:
        kind: The kind of change.
        subjects: The groups, VMs and models concerned, as ``group:ID``,
            ``vm:ID`` and ``model:NAME``.
        reason: Explanation for operators.
        rejected: The alternatives and why they were rejected.
    """

    kind: ChangeKind
    subjects: tuple[str, ...]
    reason: str
    rejected: str = ""


class IdleReason(Enum):
    """Why a VM is in no serving group."""

    ABSENT = "absent"
    LEAVING = "leaving"
    STRAGGLING = "straggling"
    SETTLING = "settling"
    EMPTYING = "emptying"
    WAITING_FOR_MEMBER = "waiting-for-member"
    """Another member of the VM's group is absent."""

    NO_CUSTOMER = "no-customer"
    """No model may run on the VMs of this VM's owner."""

    TOO_FEW = "too-few"
    """The domain's free VMs are too few for a group of a model that lacks
    groups and could use them."""

    NOT_WANTED = "not-wanted"
    """Every model that could use the VM has all the groups that it wants."""


@dataclass(frozen=True, slots=True)
class IdleVm:
    """A VM that serves in no group, and the reason."""

    vm: VmId
    reason: IdleReason


@dataclass(frozen=True, slots=True)
class PlanningResult:
    """The result of a planning pass over one domain.

    Attributes:
        plan: The next plan, or the current object itself when nothing
            changes.
        changes: The changes, each with its reason.
        idle_vms: The domain's VMs in no serving group.
        shortfalls: Requirements of models that the fleet has no room for.
        candidates_checked: How many VMs, domains and groups were examined; a
            measure of the cost.
    """

    plan: DomainPlan
    changes: tuple[PlanChange, ...]
    idle_vms: tuple[IdleVm, ...]
    shortfalls: tuple[Shortfall, ...]
    candidates_checked: int
