"""The holder of one fabric domain, as a state machine without I/O.

The process around it acquires the lease, polls the engines for reports, and
carries out the plans and orders that the state machine proposes. The state
machine decides at each moment what may be done.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from zinniaspool.core.deployment import FencingSupport
from zinniaspool.core.groups.accounting import RepairMeter
from zinniaspool.core.groups.index import FleetIndex
from zinniaspool.core.groups.inputs import DomainInput
from zinniaspool.core.groups.loads import WeightLoad, WeightLoadQueue
from zinniaspool.core.groups.orders import decide_orders
from zinniaspool.core.groups.planner import plan_domain
from zinniaspool.core.groups.repair import ExpectedCostPolicy, RepairPolicy
from zinniaspool.core.groups.serving import TimedReport, find_serving
from zinniaspool.core.groups.tenure import LeaseTenure, LeaseTenureLimits
from zinniaspool.core.groups.tracking import TrackingLimits, VmTracker
from zinniaspool.core.groups.views import (
    ChangeKind,
    IdleVm,
    PlanChange,
    PlanningResult,
    VmView,
)
from zinniaspool.core.ids import (
    Epoch,
    FabricDomainId,
    GroupId,
    ModelName,
    Revision,
    VmId,
)
from zinniaspool.core.plans import (
    DomainPlan,
    EngineReport,
    EngineState,
    Order,
    OrderKind,
)

__all__ = ["Holder", "HolderLimits", "OtherDomainsView", "PlanProposal"]


@dataclass(frozen=True, slots=True)
class HolderLimits:
    """Time limits of a holder.

    Attributes:
        tenure: How the lease is used.
        tracking: When the condition of a VM changes.
        report_stale_s: Age above which entry processes ignore a report.
        review_interval_s: Longest time between two planning passes over
            unchanged inputs.
        propagation_s: Time until all entry processes know that a group
            serves.
    """

    tenure: LeaseTenureLimits = LeaseTenureLimits()
    tracking: TrackingLimits = TrackingLimits()
    report_stale_s: float = 2.0
    review_interval_s: float = 2.0
    propagation_s: float = 0.0


@dataclass(frozen=True, slots=True)
class OtherDomainsView:
    """What is known of the other domains.

    Attributes:
        plans: The newest known plan of each.
        ready: Their groups that serve now.
        peaks: Models whose announced peak is in progress or near.
    """

    plans: Mapping[FabricDomainId, DomainPlan] = field(default_factory=dict)
    ready: frozenset[GroupId] = frozenset()
    peaks: frozenset[ModelName] = frozenset()


@dataclass(frozen=True, slots=True)
class PlanProposal:
    """A plan to write to the store by compare-and-swap.

    Attributes:
        plan: The next plan.
        expected_revision: The stored revision that it replaces.
        changes: The changes that it makes, with their reasons.
    """

    plan: DomainPlan
    expected_revision: Revision
    changes: tuple[PlanChange, ...]


@dataclass(frozen=True, slots=True)
class _InputKey:
    """The inputs of a planning pass, except for the time.

    While they are unchanged, a pass is repeated only after the review
    interval.
    """

    index: int
    plans: tuple[tuple[FabricDomainId, Epoch], ...]
    ready: frozenset[GroupId]
    relied_on: frozenset[GroupId]
    peaks: frozenset[ModelName]
    vms: tuple[tuple[VmId, str, str | None, str | None, int, bool], ...]


class Holder:
    """Plans one fabric domain and decides the orders to its engines.

    Plans and orders are returned only while the lease is valid and the
    stored plan is known.

    Args:
        domain: The fabric domain.
        limits: Time limits.
        policy: Decides what to do about broken groups; by default by
            expected cost under the deployment's weights.

    Attributes:
        domain: The fabric domain.
        plan: The newest known plan of the domain.
        idle_vms: VMs in no serving group, by the last planning pass.
        last_result: The result of the last planning pass.
        meter: Sums the measures of repair.
        candidates_checked: How many VMs, domains and groups all planning
            passes examined so far; a measure of their cost.
    """

    def __init__(
        self,
        domain: FabricDomainId,
        limits: HolderLimits,
        policy: RepairPolicy | None = None,
    ) -> None:
        self.domain = domain
        self.plan = DomainPlan(domain)
        self.idle_vms: tuple[IdleVm, ...] = ()
        self.last_result: PlanningResult | None = None
        self.meter = RepairMeter()
        self.candidates_checked = 0
        self._limits = limits
        self._fixed_policy = policy
        self._tracker = VmTracker(limits.tracking)
        self._tenure: LeaseTenure | None = None
        self._plan_revision = Revision(0)
        self._is_plan_known = False
        self._index: FleetIndex | None = None
        self._loads = WeightLoadQueue(1.0)
        self._admitted_loads: dict[VmId, tuple[Epoch, str]] = {}
        self._last_changes: dict[tuple[str, ...], ChangeKind] = {}
        self._last_key: _InputKey | None = None
        self._reviewed_at = 0.0
        self._ready_since: dict[GroupId, float] = {}

    # Configuration

    def configure(self, index: FleetIndex, now: float) -> None:
        """Apply a newer configuration."""
        self._index = index
        vms = index.domains.get(self.domain, ())
        self._tracker.track([vm.id for vm in vms], now)
        rate = index.configuration.rules.weight_store_gb_per_s
        # Each domain uses only its share of the weight store's rate, so that
        # the total never exceeds the rate, whichever process holds which
        # domain.
        part = len(vms) / max(1, len(index.vms))
        if not vms or rate * part == self._loads.gb_per_s:
            return
        self._loads = WeightLoadQueue(rate * part)

    @property
    def _policy(self) -> RepairPolicy:
        if self._fixed_policy is not None:
            return self._fixed_policy
        assert self._index is not None
        return ExpectedCostPolicy(self._index.configuration.rules.repair)

    # Lease

    def start_tenure(self, requested_at: float, granted_at: float) -> None:
        """Start a tenure; the plan has to be read before any change.

        Args:
            requested_at: When the lease was requested.
            granted_at: When the answer came.
        """
        fencing = FencingSupport.IGNORED
        if self._index is not None:
            fencing = self._index.configuration.rules.fencing
        self._tenure = LeaseTenure(
            self._limits.tenure, requested_at, granted_at, fencing
        )
        self._is_plan_known = False
        self._last_key = None
        self._admitted_loads.clear()
        self._tracker.require_reports_since(self._tenure.orders_from)

    def on_lease_renewed(self, requested_at: float) -> None:
        """Extend the tenure; the renewal was requested at that time."""
        if self._tenure is not None:
            self._tenure.renew(requested_at)

    def end_tenure(self) -> None:
        """End the tenure: the lease is lost or released."""
        if self._tenure is not None:
            self._tenure.end()
        self._tenure = None
        self._is_plan_known = False

    def holds_lease(self, now: float) -> bool:
        """Whether this process may act on the domain now."""
        return self._tenure is not None and self._tenure.is_valid(now)

    def may_change(self, now: float) -> bool:
        """Whether a plan may be written or an order sent now.

        The caller has to check this right before each of them: the process
        may have been stopped since it decided, and its lease granted to
        another process.
        """
        return (
            self._tenure is not None
            and self._tenure.may_order(now)
            and self._is_plan_known
            and self._tracker.has_checked_all()
        )

    def may_publish(self, now: float) -> bool:
        """Whether this holder's plan and reports may be published."""
        return self.holds_lease(now) and self._is_plan_known

    # Plan

    @property
    def needs_plan(self) -> bool:
        """Whether the stored plan has to be read before any change."""
        return not self._is_plan_known

    def apply_stored_plan(self, plan: DomainPlan, revision: Revision) -> None:
        """Apply the plan and its revision as read from the store."""
        self.plan, self._plan_revision = plan, revision
        self._is_plan_known = True
        self._last_key = None

    def invalidate_plan(self) -> None:
        """Require the plan to be read again.

        After a compare-and-swap that failed or has an unknown outcome, the
        stored plan is not known, and orders by either plan could be wrong.
        No order is sent until the plan is read again.
        """
        self._is_plan_known = False

    # Reports

    def on_report(self, report: EngineReport, requested_at: float) -> None:
        """Apply an engine's report that was requested at that time."""
        self._tracker.on_report(report, requested_at)

    def on_no_answer(self, vm: VmId, now: float) -> None:
        """Record that a VM did not answer a poll."""
        self._tracker.on_no_answer(vm, now)

    def set_leaving(self, leaving: Collection[VmId]) -> None:
        """Set the VMs that the platform lists as leaving."""
        self._tracker.set_leaving(leaving)

    def get_vm_views(self, now: float) -> dict[VmId, VmView]:
        """Return the current view of each of the domain's VMs."""
        return self._tracker.get_vm_views(now)

    def get_timed_reports(self) -> Mapping[VmId, TimedReport]:
        """Return the newest report of each VM with its time."""
        return self._tracker.get_timed_reports()

    def find_ready(self, now: float) -> frozenset[GroupId]:
        """Return the domain's groups that serve now."""
        serving = find_serving(
            self.plan.groups,
            self._tracker.get_timed_reports(),
            now,
            self._limits.report_stale_s,
        )
        return frozenset(group.id for group in serving)

    # Plans and orders to carry out

    def propose(self, now: float, others: OtherDomainsView) -> PlanProposal | None:
        """Return a plan to write, or None when no change is due or allowed.

        Args:
            now: Seconds, on this process's clock.
            others: What is known of the other domains.
        """
        if self._index is None or not self.may_change(now):
            return None
        self._tracker.update_stragglers(self.plan.groups, now)
        ready = self.find_ready(now)
        self._update_ready(ready, now)
        inputs = self._build_inputs(now, others)
        self.meter.observe(now, self.plan, ready, self.idle_vms, self._index.vms)
        key = _make_key(inputs)
        if (
            key == self._last_key
            and now < self._reviewed_at + self._limits.review_interval_s
        ):
            return None
        result = plan_domain(inputs, self._policy, now)
        self._last_key, self._reviewed_at = key, now
        self.last_result, self.idle_vms = result, result.idle_vms
        self.candidates_checked += result.candidates_checked
        if result.plan is self.plan:
            return None
        return PlanProposal(result.plan, self._plan_revision, result.changes)

    def on_plan_swapped(self, proposal: PlanProposal, revision: Revision) -> None:
        """Record that a proposed plan was written to the store."""
        self.apply_stored_plan(proposal.plan, revision)

    def pop_new_waits(self) -> tuple[PlanChange, ...]:
        """Return the waits of the last planning pass that are new.

        A wait is new when the previous change of the same subjects was not a
        wait.
        """
        if self.last_result is None:
            return ()
        new_waits = []
        for change in self.last_result.changes:
            waits = change.kind is ChangeKind.KEPT_WAITING
            if waits and self._last_changes.get(change.subjects) is not change.kind:
                new_waits.append(change)
            self._last_changes[change.subjects] = change.kind
        return tuple(new_waits)

    def collect_due_orders(self, now: float) -> list[Order]:
        """Return the orders to send now.

        Loads are admitted within the domain's share of the weight store's
        rate; the other loads are returned by a later call.
        """
        if self._index is None or not self.may_change(now):
            return []
        due = decide_orders(self.plan, self._tracker.get_reports())
        loads = {
            order.vm: order
            for order in due
            if order.kind is OrderKind.LOAD and self._needs_admission(order)
        }
        waiting = [self._make_load(order) for order in loads.values()]
        admitted = {load.vm for load in self._loads.admit(waiting, now)}
        for vm in admitted:
            order = loads[VmId(vm)]
            self._admitted_loads[order.vm] = self._identify_load(order)
        return [order for order in due if order.vm not in loads or order.vm in admitted]

    def _needs_admission(self, order: Order) -> bool:
        """Whether a load needs the weight store and is not admitted yet."""
        if self._admitted_loads.get(order.vm) == self._identify_load(order):
            return False
        report = self._tracker.get_reports()[order.vm]
        has_model = (report.model, report.version) == (order.model, order.version)
        return not has_model or report.state is EngineState.EMPTY

    def _identify_load(self, order: Order) -> tuple[Epoch, str]:
        return order.epoch, self._tracker.get_reports()[order.vm].boot

    def _make_load(self, order: Order) -> WeightLoad:
        assert self._index is not None
        model = self._index.models.get(order.model or ModelName(""))
        gb = model.weights_gb if model else 1.0
        reports = self._tracker.get_reports()
        missing = sum(
            vm not in reports or reports[vm].epoch != order.epoch
            for vm in order.members
        )
        priority = 0.0 if model and model.guaranteed_groups else 1.0
        # A group that needs the fewest loads can serve the soonest.
        return WeightLoad((priority, float(missing), float(order.epoch)), order.vm, gb)

    def _update_ready(self, ready: frozenset[GroupId], now: float) -> None:
        since = self._ready_since
        self._ready_since = {group: since.get(group, now) for group in ready}

    def _find_announced(self, now: float) -> frozenset[GroupId]:
        latest = now - self._limits.propagation_s
        return frozenset(
            group for group, since in self._ready_since.items() if since <= latest
        )

    def _build_inputs(self, now: float, others: OtherDomainsView) -> DomainInput:
        assert self._index is not None
        return DomainInput(
            self._index,
            {**others.plans, self.domain: self.plan},
            self.domain,
            self._tracker.get_vm_views(now),
            others.ready | self.find_ready(now),
            Epoch(self._plan_revision + 1),
            others.peaks,
            others.ready | self._find_announced(now),
            self._loads.backlog_gb(now),
            self._loads.gb_per_s,
        )


def _make_key(inputs: DomainInput) -> _InputKey:
    return _InputKey(
        id(inputs.index),
        tuple(sorted((name, plan.epoch) for name, plan in inputs.plans.items())),
        inputs.ready,
        inputs.announced_ready,
        inputs.peaks,
        tuple(_make_vm_key(name, view) for name, view in sorted(inputs.vms.items())),
    )


def _make_vm_key(
    name: VmId, view: VmView
) -> tuple[VmId, str, str | None, str | None, int, bool]:
    report = view.report
    if report is None:
        return name, view.condition.value, None, None, 0, False
    busy = bool(report.running or report.waiting)
    draining = report.state is EngineState.DRAINING
    return (
        name,
        view.condition.value,
        report.state.value,
        report.group,
        report.epoch,
        busy and draining,
    )
