"""Measures of repair: group downtime and stranded accelerators over time."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from zinniaspool.core.deployment import Vm
from zinniaspool.core.groups.views import IdleReason, IdleVm
from zinniaspool.core.ids import GroupId, VmId
from zinniaspool.core.plans import DomainPlan, GroupStage

__all__ = ["STRANDED_REASONS", "Measures", "RepairMeter"]

STRANDED_REASONS = frozenset(
    {
        IdleReason.WAITING_FOR_MEMBER,
        IdleReason.TOO_FEW,
        IdleReason.EMPTYING,
        IdleReason.SETTLING,
    }
)
"""Reasons why a healthy VM is idle because no whole group can use it."""


@dataclass(frozen=True, slots=True)
class Measures:
    """Both measures at one moment and summed since the start.

    Attributes:
        groups_down: Number of planned groups that do not serve now.
        accelerators_stranded: Number of accelerators on healthy VMs that are
            idle because no whole group can use them now.
        downtime_s: Seconds of downtime so far, summed over the groups.
        stranded_s: Seconds of stranding so far, summed over the accelerators.
    """

    groups_down: int = 0
    accelerators_stranded: int = 0
    downtime_s: float = 0.0
    stranded_s: float = 0.0


class RepairMeter:
    """Sums both measures over time."""

    def __init__(self) -> None:
        self.measures = Measures()
        self._observed_at: float | None = None

    def observe(
        self,
        now: float,
        plan: DomainPlan,
        ready: frozenset[GroupId],
        idle: Iterable[IdleVm],
        vms: Mapping[VmId, Vm],
    ) -> Measures:
        """Record the current state, and return the sums until now.

        The state that was recorded last is taken to have lasted until now.

        Args:
            now: Time in seconds, on any monotonic clock.
            plan: The domain's plan.
            ready: The groups that serve.
            idle: The domain's idle VMs.
            vms: All VMs of the configuration.
        """
        elapsed = 0.0 if self._observed_at is None else now - self._observed_at
        self._observed_at = now
        last = self.measures
        self.measures = Measures(
            sum(
                group.stage is GroupStage.SERVING and group.id not in ready
                for group in plan.groups
            ),
            sum(
                vms[idle_vm.vm].accelerators
                for idle_vm in idle
                if idle_vm.reason in STRANDED_REASONS and idle_vm.vm in vms
            ),
            last.downtime_s + last.groups_down * elapsed,
            last.stranded_s + last.accelerators_stranded * elapsed,
        )
        return self.measures
