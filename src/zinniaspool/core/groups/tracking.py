"""What a holder makes of its VMs' reports over time."""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from statistics import median

from zinniaspool.core.groups.serving import SeenReport
from zinniaspool.core.groups.views import VmCondition, VmView
from zinniaspool.core.ids import VmId
from zinniaspool.core.plans import EngineReport, EngineState, GroupPlan

__all__ = ["TrackingLimits", "VmTracker"]

_FEWEST_MISSES = 2
"""Reports in a row that must be missed: one can be lost on the way."""


@dataclass(frozen=True, slots=True)
class TrackingLimits:
    """When a VM counts as what.

    Attributes:
        absent_s: Silence after which a VM is absent. No shorter than the
            age from which entry processes take a report for void, so that a
            VM counted out serves no request.
        settle_s: How long a VM that was absent reports before it may join.
        slow_part: A VM below this part of its group's median speed is slow.
        slow_s: How long it has to be slow to be replaced.
        slow_rest_s: How long a slow VM stays out.
    """

    absent_s: float = 2.5
    settle_s: float = 3.0
    slow_part: float = 0.6
    slow_s: float = 20.0
    slow_rest_s: float = 600.0


@dataclass(slots=True)
class _Tracked:
    report: EngineReport | None = None
    seen_at: float = 0.0
    misses: int = 0
    heard_at: float = float("-inf")
    absent_since: float | None = None
    settled_at: float = 0.0
    slow_since: float | None = None
    slow_until: float = 0.0


@dataclass(slots=True)
class VmTracker:
    """Follows the reports of a domain's VMs.

    Attributes:
        limits: When a VM counts as what.
    """

    limits: TrackingLimits
    _vms: dict[VmId, _Tracked] = field(default_factory=dict)
    _leaving: frozenset[VmId] = frozenset()
    _hear_from: float = float("-inf")

    def begin(self, vms: Iterable[VmId], now: float) -> None:
        """Follow these VMs, each as if it was heard of just now."""
        self._vms = {vm: self._vms.get(vm) or _Tracked(seen_at=now) for vm in vms}

    def hear_again(self, since: float) -> None:
        """Require each VM to be asked again from a time on.

        What is known stays: a report is true of its time. Decisions wait.
        """
        self._hear_from = since

    def note_report(self, report: EngineReport, asked_at: float) -> None:
        """Take a report; ``asked_at`` is when it was asked for."""
        vm = self._vms.get(report.vm)
        if vm is None or asked_at < vm.seen_at:
            return
        if vm.absent_since is not None:
            vm.settled_at = asked_at + self.limits.settle_s
        if vm.report is not None and vm.report.boot != report.boot:
            vm.slow_until = 0.0
        vm.report, vm.seen_at = report, asked_at
        vm.misses, vm.absent_since = 0, None
        vm.heard_at = asked_at

    def note_silence(self, name: VmId, now: float) -> None:
        """Note that a VM was asked and did not answer.

        Time alone is no evidence: after this process was stopped for a
        while, every report is old though every VM is well. A VM is absent
        only after questions that it left unanswered.
        """
        vm = self._vms.get(name)
        if vm is None:
            return
        vm.misses += 1
        vm.heard_at = now
        silent = now - vm.seen_at >= self.limits.absent_s
        if silent and vm.misses >= _FEWEST_MISSES and vm.absent_since is None:
            vm.absent_since = vm.seen_at

    def note_leaving(self, leaving: Collection[VmId]) -> None:
        """Take the VMs that the platform lists as leaving."""
        self._leaving = frozenset(leaving)

    def note_speeds(self, groups: Iterable[GroupPlan], now: float) -> None:
        """Compare the speeds within each group."""
        for group in groups:
            speeds = {
                vm: self._vms[vm].report
                for vm in group.vms
                if vm in self._vms and self._vms[vm].absent_since is None
            }
            known = {
                vm: report.tokens_per_s
                for vm, report in speeds.items()
                if report is not None
                and report.state is EngineState.READY
                and report.tokens_per_s > 0
            }
            if len(known) < len(group.vms):
                continue
            middle = median(known.values())
            for vm, speed in known.items():
                self._note_speed(self._vms[vm], speed < middle * self._slow, now)

    @property
    def _slow(self) -> float:
        return self.limits.slow_part

    def _note_speed(self, vm: _Tracked, slow: bool, now: float) -> None:
        if not slow:
            vm.slow_since = None
            return
        if vm.slow_since is None:
            vm.slow_since = now
        if now - vm.slow_since >= self.limits.slow_s:
            # Out of its group it has no speed to show; without a rest it
            # would join again at once, and be replaced again.
            vm.slow_until = now + self.limits.slow_rest_s

    def all_heard(self) -> bool:
        """Whether each VM has answered, or been asked long enough."""
        return all(self._is_heard(vm) for vm in self._vms.values())

    def _is_heard(self, vm: _Tracked) -> bool:
        if vm.heard_at < self._hear_from:
            return False
        answered = vm.report is not None and vm.seen_at >= self._hear_from
        return answered or vm.absent_since is not None

    def views(self, now: float) -> dict[VmId, VmView]:
        """Return every VM as it is seen now."""
        return {name: self._view(name, vm, now) for name, vm in self._vms.items()}

    def reports(self) -> Mapping[VmId, EngineReport]:
        """Return the newest report of each VM that is not absent."""
        return {
            name: vm.report
            for name, vm in self._vms.items()
            if vm.report is not None and vm.absent_since is None
        }

    def seen(self) -> Mapping[VmId, SeenReport]:
        """Return the newest report of each VM with its time."""
        return {
            name: SeenReport(vm.report, vm.seen_at)
            for name, vm in self._vms.items()
            if vm.report is not None
        }

    def _view(self, name: VmId, vm: _Tracked, now: float) -> VmView:
        if vm.absent_since is not None:
            return VmView(VmCondition.ABSENT, vm.absent_since, vm.report)
        if name in self._leaving:
            return VmView(VmCondition.LEAVING, vm.seen_at, vm.report)
        if now < vm.slow_until:
            return VmView(VmCondition.STRAGGLING, vm.seen_at, vm.report)
        if vm.report is None or now < vm.settled_at:
            return VmView(VmCondition.SETTLING, vm.seen_at, vm.report)
        return VmView(VmCondition.PRESENT, vm.seen_at, vm.report)
