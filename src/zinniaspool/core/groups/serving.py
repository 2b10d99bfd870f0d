"""Decides which groups of a plan may be sent requests."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from zinniaspool.core.ids import VmId
from zinniaspool.core.plans import (
    EngineReport,
    EngineState,
    GroupPlan,
    GroupStage,
)

__all__ = ["TimedReport", "find_serving"]


@dataclass(frozen=True, slots=True)
class TimedReport:
    """An engine's report and its time, on this process's clock.

    Attributes:
        report: The report.
        made_at: When the report was requested, in seconds; the reported
            state is no older.
    """

    report: EngineReport
    made_at: float


def find_serving(
    groups: Iterable[GroupPlan],
    reports: Mapping[VmId, TimedReport],
    now: float,
    stale_after_s: float,
) -> list[GroupPlan]:
    """Return the groups whose VMs have all recently reported this group.

    A replica with a missing VM gives no answers or wrong ones, and a plan
    alone does not show that the VMs are available: they may be down, still
    loading, or following an older plan. Each member must therefore itself
    have reported this group, epoch, model and version, not longer than
    ``stale_after_s`` ago. A VM without such a report counts as absent.

    Args:
        groups: The groups of the newest known plan.
        reports: The newest report of each VM.
        now: Seconds, on the clock of ``made_at``.
        stale_after_s: Age above which a report no longer counts.
    """
    return [
        group
        for group in groups
        if group.stage is GroupStage.SERVING
        and all(
            _is_ready(group, reports.get(vm), now - stale_after_s) for vm in group.vms
        )
    ]


def _is_ready(group: GroupPlan, timed: TimedReport | None, oldest: float) -> bool:
    if timed is None or timed.made_at < oldest:
        return False
    report = timed.report
    return report.state is EngineState.READY and (
        report.group,
        report.epoch,
        report.model,
        report.version,
    ) == (group.id, group.epoch, group.model, group.version)
