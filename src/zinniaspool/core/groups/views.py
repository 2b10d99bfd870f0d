"""What a holder sees of its domain's VMs, and what planning answers."""

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
    "PlanStep",
    "VmCondition",
    "VmView",
]


class VmCondition(Enum):
    """Whether a VM may be counted on."""

    PRESENT = "present"
    SETTLING = "settling"
    """It reports again, and not for long enough to join a group."""

    ABSENT = "absent"
    LEAVING = "leaving"
    STRAGGLING = "straggling"

    def out_reason(self) -> ExclusionReason | None:
        """Return why a VM of this condition may not join a group."""
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
        condition: Whether it may be counted on.
        since: Since when, in seconds of the holder's clock.
        report: Its newest report, or None.
    """

    condition: VmCondition
    since: float
    report: EngineReport | None = None

    @property
    def reports(self) -> bool:
        """Whether its newest report still says what its engine does."""
        return self.condition is not VmCondition.ABSENT and self.report is not None

    @property
    def empty(self) -> bool:
        """Whether it reports that it holds nothing of any customer."""
        return (
            self.reports
            and self.report is not None
            and self.report.state is EngineState.EMPTY
        )

    def follows(self, group: GroupPlan) -> bool:
        """Whether it reports this group at its present epoch."""
        return (
            self.reports
            and self.report is not None
            and (self.report.group, self.report.epoch) == (group.id, group.epoch)
        )


class ChangeKind(Enum):
    """What a plan changes."""

    FORMED = "formed"
    REPAIRED = "repaired"
    DRAINING = "draining"
    RELEASING = "releasing"
    DISSOLVED = "dissolved"
    VM_OUT = "vm-out"
    VM_BACK = "vm-back"
    KEPT_WAITING = "kept-waiting"
    """Nothing is changed yet: the group waits for a VM."""


@dataclass(frozen=True, slots=True)
class PlanChange:
    """One change of a plan and why.

    Attributes:
        kind: What changes.
        subjects: ``group:ID``, ``vm:ID``, ``model:NAME``.
        reason: For a person.
        rejected: What else was weighed and why not.
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
    """Its group lacks another VM."""

    NO_CUSTOMER = "no-customer"
    """No model may run on its owner's VMs."""

    TOO_FEW = "too-few"
    """The domain's free VMs are fewer than any model's group."""

    NOT_WANTED = "not-wanted"
    """Every model that could use it has the groups it wants."""


@dataclass(frozen=True, slots=True)
class IdleVm:
    """A VM that serves in no group, and why."""

    vm: VmId
    reason: IdleReason


@dataclass(frozen=True, slots=True)
class PlanStep:
    """What planning a domain came to.

    Attributes:
        plan: The next plan; the current one itself when nothing changes.
        changes: What changes, each with its reason.
        idle: VMs in no serving group.
        shortfalls: What the fleet has no room for.
        steps: Candidates looked at.
    """

    plan: DomainPlan
    changes: tuple[PlanChange, ...]
    idle: tuple[IdleVm, ...]
    shortfalls: tuple[Shortfall, ...]
    steps: int
