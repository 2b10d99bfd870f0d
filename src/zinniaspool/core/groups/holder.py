"""The holder of one fabric domain, as a machine without input or output.

Its shell takes the lease, asks engines for reports and carries out what this
machine proposes; the machine says at each moment what may be done.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from zinniaspool.core.deployment import FencingSupport
from zinniaspool.core.groups.accounting import RepairMeter
from zinniaspool.core.groups.index import FleetIndex
from zinniaspool.core.groups.inputs import DomainInput
from zinniaspool.core.groups.loads import Load, LoadQueue
from zinniaspool.core.groups.orders import decide_orders
from zinniaspool.core.groups.planner import plan_domain
from zinniaspool.core.groups.repair import ExpectedCost, RepairPolicy
from zinniaspool.core.groups.serving import SeenReport, find_serving
from zinniaspool.core.groups.tenure import Tenure, TenureLimits
from zinniaspool.core.groups.tracking import TrackingLimits, VmTracker
from zinniaspool.core.groups.views import (
    ChangeKind,
    IdleVm,
    PlanChange,
    PlanStep,
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

__all__ = ["FleetKnowledge", "Holder", "HolderLimits", "Proposal"]


@dataclass(frozen=True, slots=True)
class HolderLimits:
    """Times that a holder goes by.

    Attributes:
        tenure: How its lease is used.
        tracking: When a VM counts as what.
        evidence_s: Age from which entry processes take a report for void.
        review_s: Longest time between two looks at an unchanged state.
        tell_s: Time in which entry processes hear that a group serves.
    """

    tenure: TenureLimits = TenureLimits()
    tracking: TrackingLimits = TrackingLimits()
    evidence_s: float = 2.0
    review_s: float = 2.0
    tell_s: float = 0.0


@dataclass(frozen=True, slots=True)
class FleetKnowledge:
    """What is known of the other domains.

    Attributes:
        plans: Their newest plans.
        ready: Their groups that serve now.
        peaks: Models whose announced peak is on or near.
    """

    plans: Mapping[FabricDomainId, DomainPlan] = field(default_factory=dict)
    ready: frozenset[GroupId] = frozenset()
    peaks: frozenset[ModelName] = frozenset()


@dataclass(frozen=True, slots=True)
class Proposal:
    """A plan to swap in.

    Attributes:
        plan: The next plan.
        expected: The revision that it replaces.
        changes: What it changes and why.
    """

    plan: DomainPlan
    expected: Revision
    changes: tuple[PlanChange, ...]


@dataclass(frozen=True, slots=True)
class _Key:
    """What a step's outcome depends on, but for the passing of time."""

    index: int
    plans: tuple[tuple[FabricDomainId, Epoch], ...]
    ready: frozenset[GroupId]
    relied_on: frozenset[GroupId]
    peaks: frozenset[ModelName]
    vms: tuple[tuple[VmId, str, str | None, str | None, int, bool], ...]


class Holder:
    """Plans one fabric domain and orders its engines, while it may.

    Args:
        domain: The fabric domain.
        limits: Times that it goes by.
        policy: Chooses what to do about broken groups; by default by
            expected cost under the deployment's weights.
    """

    def __init__(
        self,
        domain: FabricDomainId,
        limits: HolderLimits,
        policy: RepairPolicy | None = None,
    ) -> None:
        self.domain = domain
        self.plan = DomainPlan(domain)
        self.idle: tuple[IdleVm, ...] = ()
        self.last_step: PlanStep | None = None
        self.meter = RepairMeter()
        self.steps = 0
        self._limits = limits
        self._given_policy = policy
        self._tracker = VmTracker(limits.tracking)
        self._tenure: Tenure | None = None
        self._plan_revision = Revision(0)
        self._plan_known = False
        self._index: FleetIndex | None = None
        self._loads = LoadQueue(1.0)
        self._begun: dict[VmId, tuple[Epoch, str]] = {}
        self._noted: dict[tuple[str, ...], ChangeKind] = {}
        self._last_key: _Key | None = None
        self._reviewed_at = 0.0
        self._ready_since: dict[GroupId, float] = {}

    # Configuration

    def configure(self, index: FleetIndex, now: float) -> None:
        """Take a newer configuration."""
        self._index = index
        vms = index.domains.get(self.domain, ())
        self._tracker.begin([vm.id for vm in vms], now)
        rate = index.configuration.rules.weight_store_gb_per_s
        # Each domain keeps to its part of the store's rate, so that the
        # whole is never exceeded, whoever holds which domain.
        part = len(vms) / max(1, len(index.vms))
        if not vms or rate * part == self._loads.gb_per_s:
            return
        self._loads = LoadQueue(rate * part)

    @property
    def _policy(self) -> RepairPolicy:
        if self._given_policy is not None:
            return self._given_policy
        assert self._index is not None
        return ExpectedCost(self._index.configuration.rules.repair)

    # Lease

    def take(self, asked_at: float, taken_at: float) -> None:
        """Begin a tenure; the plan has to be read before anything is done."""
        fencing = FencingSupport.IGNORED
        if self._index is not None:
            fencing = self._index.configuration.rules.fencing
        self._tenure = Tenure(self._limits.tenure, asked_at, taken_at, fencing)
        self._plan_known = False
        self._last_key = None
        self._begun.clear()
        self._tracker.hear_again(self._tenure.orders_from)

    def renew(self, asked_at: float) -> None:
        """Note that the lease was renewed."""
        if self._tenure is not None:
            self._tenure.renew(asked_at)

    def lose(self) -> None:
        """Note that the lease is lost or given up."""
        if self._tenure is not None:
            self._tenure.end()
        self._tenure = None
        self._plan_known = False

    def holds(self, now: float) -> bool:
        """Whether this process may act on the domain now."""
        return self._tenure is not None and self._tenure.is_valid(now)

    def may_change(self, now: float) -> bool:
        """Whether a swap or an order may be sent now.

        To be asked right before each of them: the process may have been
        stopped since it decided, and its lease given to another one.
        """
        return (
            self._tenure is not None
            and self._tenure.may_order(now)
            and self._plan_known
            and self._tracker.all_heard()
        )

    def may_announce(self, now: float) -> bool:
        """Whether what this holder sees may be passed on."""
        return self.holds(now) and self._plan_known

    # Plan

    @property
    def needs_plan(self) -> bool:
        """Whether the plan has to be read before anything is changed."""
        return not self._plan_known

    def read_plan(self, plan: DomainPlan, revision: Revision) -> None:
        """Take the plan as the store has it."""
        self.plan, self._plan_revision = plan, revision
        self._plan_known = True
        self._last_key = None

    def doubt_plan(self) -> None:
        """Note that a swap failed or has an unknown outcome.

        What the store holds is then not known, and orders by either plan
        could be wrong; nothing goes out until the plan is read again.
        """
        self._plan_known = False

    # Reports

    def note_report(self, report: EngineReport, asked_at: float) -> None:
        """Take an engine's report; ``asked_at`` is when it was asked for."""
        self._tracker.note_report(report, asked_at)

    def note_silence(self, vm: VmId, now: float) -> None:
        """Note that a VM did not answer."""
        self._tracker.note_silence(vm, now)

    def note_leaving(self, leaving: Collection[VmId]) -> None:
        """Take the VMs that the platform lists as leaving."""
        self._tracker.note_leaving(leaving)

    def views(self, now: float) -> dict[VmId, VmView]:
        """Return the domain's VMs as they are seen now."""
        return self._tracker.views(now)

    def seen(self) -> Mapping[VmId, SeenReport]:
        """Return the newest reports with their times."""
        return self._tracker.seen()

    def find_ready(self, now: float) -> frozenset[GroupId]:
        """Return the domain's groups that serve now."""
        serving = find_serving(
            self.plan.groups, self._tracker.seen(), now, self._limits.evidence_s
        )
        return frozenset(group.id for group in serving)

    # What to do

    def propose(self, now: float, fleet: FleetKnowledge) -> Proposal | None:
        """Return a plan to swap in, or None when nothing is to be changed."""
        if self._index is None or not self.may_change(now):
            return None
        self._tracker.note_speeds(self.plan.groups, now)
        ready = self.find_ready(now)
        self._note_ready(ready, now)
        given = self._gather(now, fleet)
        self.meter.observe(now, self.plan, ready, self.idle, self._index.vms)
        key = _make_key(given)
        if key == self._last_key and now < self._reviewed_at + self._limits.review_s:
            return None
        step = plan_domain(given, self._policy, now)
        self._last_key, self._reviewed_at = key, now
        self.last_step, self.idle = step, step.idle
        self.steps += step.steps
        if step.plan is self.plan:
            return None
        return Proposal(step.plan, self._plan_revision, step.changes)

    def swapped(self, proposal: Proposal, revision: Revision) -> None:
        """Note that a proposed plan stands in the store."""
        self.read_plan(proposal.plan, revision)

    def take_news(self) -> tuple[PlanChange, ...]:
        """Return the last step's waits that were not returned before."""
        if self.last_step is None:
            return ()
        news = []
        for change in self.last_step.changes:
            waits = change.kind is ChangeKind.KEPT_WAITING
            if waits and self._noted.get(change.subjects) is not change.kind:
                news.append(change)
            self._noted[change.subjects] = change.kind
        return tuple(news)

    def due_orders(self, now: float) -> list[Order]:
        """Return the orders to send now, loads within the store's rate."""
        if self._index is None or not self.may_change(now):
            return []
        due = decide_orders(self.plan, self._tracker.reports())
        loads = {
            order.vm: order
            for order in due
            if order.kind is OrderKind.LOAD and self._needs_weights(order)
        }
        waiting = [self._describe_load(order) for order in loads.values()]
        admitted = {load.name for load in self._loads.admit(waiting, now)}
        for vm in admitted:
            order = loads[VmId(vm)]
            self._begun[order.vm] = self._mark_load(order)
        return [order for order in due if order.vm not in loads or order.vm in admitted]

    def _needs_weights(self, order: Order) -> bool:
        """Whether a load has yet to be let begin."""
        if self._begun.get(order.vm) == self._mark_load(order):
            return False
        report = self._tracker.reports()[order.vm]
        holds = (report.model, report.version) == (order.model, order.version)
        return not holds or report.state is EngineState.EMPTY

    def _mark_load(self, order: Order) -> tuple[Epoch, str]:
        return order.epoch, self._tracker.reports()[order.vm].boot

    def _describe_load(self, order: Order) -> Load:
        assert self._index is not None
        model = self._index.models.get(order.model or ModelName(""))
        gb = model.weights_gb if model else 1.0
        reports = self._tracker.reports()
        missing = sum(
            vm not in reports or reports[vm].epoch != order.epoch
            for vm in order.members
        )
        beyond = 0.0 if model and model.guaranteed_groups else 1.0
        # The group that needs the fewest loads serves the soonest.
        return Load((beyond, float(missing), float(order.epoch)), order.vm, gb)

    def _note_ready(self, ready: frozenset[GroupId], now: float) -> None:
        since = self._ready_since
        self._ready_since = {group: since.get(group, now) for group in ready}

    def _find_told(self, now: float) -> frozenset[GroupId]:
        latest = now - self._limits.tell_s
        return frozenset(
            group for group, since in self._ready_since.items() if since <= latest
        )

    def _gather(self, now: float, fleet: FleetKnowledge) -> DomainInput:
        assert self._index is not None
        return DomainInput(
            self._index,
            {**fleet.plans, self.domain: self.plan},
            self.domain,
            self._tracker.views(now),
            fleet.ready | self.find_ready(now),
            Epoch(self._plan_revision + 1),
            fleet.peaks,
            fleet.ready | self._find_told(now),
            self._loads.backlog_gb(now),
            self._loads.gb_per_s,
        )


def _make_key(given: DomainInput) -> _Key:
    return _Key(
        id(given.index),
        tuple(sorted((name, plan.epoch) for name, plan in given.plans.items())),
        given.ready,
        given.relied_on,
        given.peaks,
        tuple(_key_vm(name, view) for name, view in sorted(given.vms.items())),
    )


def _key_vm(
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
