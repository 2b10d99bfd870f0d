"""Derives the condition of a domain's VMs from their reports over time."""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from statistics import median

from zinniaspool.core.groups.serving import TimedReport
from zinniaspool.core.groups.views import VmCondition, VmView
from zinniaspool.core.ids import VmId
from zinniaspool.core.plans import EngineReport, EngineState, GroupPlan

__all__ = ["TrackingLimits", "VmTracker"]

_MIN_MISSES = 2
"""Consecutive polls that a VM must leave unanswered to be absent; a single
answer can be lost on the way."""


@dataclass(frozen=True, slots=True)
class TrackingLimits:
    """Limits at which the condition of a VM changes.

    Attributes:
        absent_after_s: Time without a report after which a VM is absent. It
            is no shorter than the age above which entry processes ignore a
            report, so that an absent VM serves no request.
        settle_s: How long a VM that was absent has to report before it may
            join a group.
        slow_part: A VM is slow while its speed is below this share of its
            group's median speed.
        slow_after_s: How long a VM has to be slow to be replaced.
        slow_backoff_s: How long a replaced slow VM may not join a group.
    """

    absent_after_s: float = 2.5
    settle_s: float = 3.0
    slow_part: float = 0.6
    slow_after_s: float = 20.0
    slow_backoff_s: float = 600.0


@dataclass(slots=True)
class _VmState:
    """What is known of one VM; times are in seconds of the holder's clock.

    Attributes:
        report: The newest report, or None.
        reported_at: When the newest report was requested.
        misses: Polls without an answer since the newest report.
        checked_at: When the VM last answered a poll or failed to.
        absent_since: Time of the last report before an absence, or None.
        settled_at: When a VM that was absent may join a group again.
        slow_since: When the VM became slow, or None.
        slow_until: Until when the slow VM may not join a group.
    """

    report: EngineReport | None = None
    reported_at: float = 0.0
    misses: int = 0
    checked_at: float = float("-inf")
    absent_since: float | None = None
    settled_at: float = 0.0
    slow_since: float | None = None
    slow_until: float = 0.0


@dataclass(slots=True)
class VmTracker:
    """Tracks the reports of a domain's VMs.

    Attributes:
        limits: Limits at which the condition of a VM changes.
    """

    limits: TrackingLimits
    _vms: dict[VmId, _VmState] = field(default_factory=dict)
    _leaving: frozenset[VmId] = frozenset()
    _reports_required_from: float = float("-inf")

    def track(self, vms: Iterable[VmId], now: float) -> None:
        """Track these VMs; a new one counts as having just reported."""
        self._vms = {vm: self._vms.get(vm) or _VmState(reported_at=now) for vm in vms}

    def require_reports_since(self, since: float) -> None:
        """Require each VM to be polled again from a time on.

        Older reports stay, since each is true for its own time, but
        ``has_checked_all`` is false until all VMs were polled again.
        """
        self._reports_required_from = since

    def on_report(self, report: EngineReport, requested_at: float) -> None:
        """Apply a report that was requested at that time."""
        vm = self._vms.get(report.vm)
        if vm is None or requested_at < vm.reported_at:
            return
        if vm.absent_since is not None:
            vm.settled_at = requested_at + self.limits.settle_s
        if vm.report is not None and vm.report.boot != report.boot:
            vm.slow_until = 0.0
        vm.report, vm.reported_at = report, requested_at
        vm.misses, vm.absent_since = 0, None
        vm.checked_at = requested_at

    def on_no_answer(self, name: VmId, now: float) -> None:
        """Record that a VM did not answer a poll.

        The age of a report alone is no evidence: after this process was
        stopped for a while, every report is old although every VM is
        healthy. A VM is absent only after polls that it did not answer.
        """
        vm = self._vms.get(name)
        if vm is None:
            return
        vm.misses += 1
        vm.checked_at = now
        overdue = now - vm.reported_at >= self.limits.absent_after_s
        if overdue and vm.misses >= _MIN_MISSES and vm.absent_since is None:
            vm.absent_since = vm.reported_at

    def set_leaving(self, leaving: Collection[VmId]) -> None:
        """Set the VMs that the platform lists as leaving."""
        self._leaving = frozenset(leaving)

    def update_stragglers(self, groups: Iterable[GroupPlan], now: float) -> None:
        """Find the VMs that are slow in comparison with their group.

        Groups are skipped in which a member shows no speed.
        """
        for group in groups:
            reports = {
                vm: self._vms[vm].report
                for vm in group.vms
                if vm in self._vms and self._vms[vm].absent_since is None
            }
            speeds = {
                vm: report.tokens_per_s
                for vm, report in reports.items()
                if report is not None
                and report.state is EngineState.READY
                and report.tokens_per_s > 0
            }
            if len(speeds) < len(group.vms):
                continue
            median_speed = median(speeds.values())
            for vm, speed in speeds.items():
                self._update_slowness(
                    self._vms[vm], speed < median_speed * self._slow_part, now
                )

    @property
    def _slow_part(self) -> float:
        return self.limits.slow_part

    def _update_slowness(self, vm: _VmState, slow: bool, now: float) -> None:
        if not slow:
            vm.slow_since = None
            return
        if vm.slow_since is None:
            vm.slow_since = now
        if now - vm.slow_since >= self.limits.slow_after_s:
            # Outside a group the VM shows no speed. Without a backoff it
            # would join a group again at once and be replaced again.
            vm.slow_until = now + self.limits.slow_backoff_s

    def has_checked_all(self) -> bool:
        """Whether every VM has answered a required poll or is absent."""
        return all(self._is_checked(vm) for vm in self._vms.values())

    def _is_checked(self, vm: _VmState) -> bool:
        if vm.checked_at < self._reports_required_from:
            return False
        answered = (
            vm.report is not None and vm.reported_at >= self._reports_required_from
        )
        return answered or vm.absent_since is not None

    def get_vm_views(self, now: float) -> dict[VmId, VmView]:
        """Return the current view of each VM."""
        return {name: self._make_view(name, vm, now) for name, vm in self._vms.items()}

    def get_reports(self) -> Mapping[VmId, EngineReport]:
        """Return the newest report of each VM that is not absent."""
        return {
            name: vm.report
            for name, vm in self._vms.items()
            if vm.report is not None and vm.absent_since is None
        }

    def get_timed_reports(self) -> Mapping[VmId, TimedReport]:
        """Return the newest report of each VM with its time."""
        return {
            name: TimedReport(vm.report, vm.reported_at)
            for name, vm in self._vms.items()
            if vm.report is not None
        }

    def _make_view(self, name: VmId, vm: _VmState, now: float) -> VmView:
        if vm.absent_since is not None:
            return VmView(VmCondition.ABSENT, vm.absent_since, vm.report)
        if name in self._leaving:
            return VmView(VmCondition.LEAVING, vm.reported_at, vm.report)
        if now < vm.slow_until:
            return VmView(VmCondition.STRAGGLING, vm.reported_at, vm.report)
        if vm.report is None or now < vm.settled_at:
            return VmView(VmCondition.SETTLING, vm.reported_at, vm.report)
        return VmView(VmCondition.PRESENT, vm.reported_at, vm.report)
