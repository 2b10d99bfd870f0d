"""Which groups of a plan may be sent requests."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from zinniaspool.core.ids import VmId
from zinniaspool.core.plans import (
    EngineReport,
    EngineState,
    GroupPlan,
    GroupStage,
)

__all__ = ["SeenReport", "find_serving"]


@dataclass(frozen=True, slots=True)
class SeenReport:
    """A report and when its engine made it, on this process's clock.

    Attributes:
        report: What the engine said.
        made_at: Seconds; the time of receipt less the report's age.
    """

    report: EngineReport
    made_at: float


def find_serving(
    groups: Iterable[GroupPlan],
    reports: Mapping[VmId, SeenReport],
    now: float,
    stale_after_s: float,
) -> list[GroupPlan]:
    """Return the groups whose every VM freshly reports this very group.

    A replica with a missing VM gives no answers or wrong ones, and a plan
    alone does not show that its VMs are there: they may be down, still
    loading, or following an older plan. So each member must itself have said
    this group, epoch, model and version, and not longer ago than
    ``stale_after_s``; a VM that says nothing counts as absent.

    Args:
        groups: The groups of the newest plan known.
        reports: The newest report of each VM.
        now: Seconds, on the clock of ``made_at``.
        stale_after_s: Age from which a report counts as absent.
    """
    return [
        group
        for group in groups
        if group.stage is GroupStage.SERVING
        and all(
            _is_ready(group, reports.get(vm), now - stale_after_s) for vm in group.vms
        )
    ]


def _is_ready(group: GroupPlan, seen: SeenReport | None, oldest: float) -> bool:
    if seen is None or seen.made_at < oldest:
        return False
    report = seen.report
    return report.state is EngineState.READY and (
        report.group,
        report.epoch,
        report.model,
        report.version,
    ) == (group.id, group.epoch, group.model, group.version)
