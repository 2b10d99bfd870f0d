"""The two measures so far: group downtime and stranded accelerators."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from zinniaspool.core.deployment import Vm
from zinniaspool.core.groups.views import IdleReason, IdleVm
from zinniaspool.core.ids import GroupId, VmId
from zinniaspool.core.plans import DomainPlan, GroupStage

__all__ = ["STRANDED", "Measures", "RepairMeter"]

STRANDED = frozenset(
    {
        IdleReason.WAITING_FOR_MEMBER,
        IdleReason.TOO_FEW,
        IdleReason.EMPTYING,
        IdleReason.SETTLING,
    }
)
"""Reasons for which a healthy VM is idle because no group can form."""


@dataclass(frozen=True, slots=True)
class Measures:
    """Both measures at one moment and summed since the start.

    Attributes:
        groups_down: Planned groups that do not serve.
        accelerators_stranded: Healthy and idle for want of a whole group.
        downtime_s: Group seconds so far.
        stranded_s: Accelerator seconds so far.
    """

    groups_down: int = 0
    accelerators_stranded: int = 0
    downtime_s: float = 0.0
    stranded_s: float = 0.0


class RepairMeter:
    """Sums both measures over time."""

    def __init__(self) -> None:
        self.measures = Measures()
        self._at: float | None = None

    def observe(
        self,
        now: float,
        plan: DomainPlan,
        ready: frozenset[GroupId],
        idle: Iterable[IdleVm],
        vms: Mapping[VmId, Vm],
    ) -> Measures:
        """Take the state from now on, and return the sums until now."""
        elapsed = 0.0 if self._at is None else now - self._at
        self._at = now
        last = self.measures
        self.measures = Measures(
            sum(
                group.stage is GroupStage.SERVING and group.id not in ready
                for group in plan.groups
            ),
            sum(
                vms[found.vm].accelerators
                for found in idle
                if found.reason in STRANDED and found.vm in vms
            ),
            last.downtime_s + last.groups_down * elapsed,
            last.stranded_s + last.accelerators_stranded * elapsed,
        )
        return self.measures
