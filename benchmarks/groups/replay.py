"""Replays a failure history against the planner, with stand-in timings.

No cluster is simulated: between two events nothing happens but that time
passes. An event makes a VM absent or back, ends a load, or is due for
another look; the planner and the orders decide what follows.
"""

import heapq
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from itertools import count
from time import process_time

from benchmarks.groups.histories import Absence
from zinniaspool.core.deployment import Configuration, RepairWeights
from zinniaspool.core.groups import (
    ChangeKind,
    DomainInput,
    FleetIndex,
    RepairPolicy,
    VmCondition,
    VmView,
    WeightLoad,
    WeightLoadQueue,
    decide_orders,
    plan_domain,
)
from zinniaspool.core.ids import Epoch, FabricDomainId, GroupId, VmId
from zinniaspool.core.plans import (
    DomainPlan,
    EngineReport,
    EngineState,
    GroupPlan,
    GroupStage,
    Order,
    OrderKind,
)

__all__ = ["Outcome", "Replay", "Sample"]

_DETECT_S = 2.5
_SETTLE_S = 3.0
_ORDER_S = 0.5
_REGROUP_S = 2.0
_DRAIN_S = 10.0
_REVIEW_S = 15.0
_START_S = 3600.0
_MOVES = (ChangeKind.FORMED, ChangeKind.REPAIRED, ChangeKind.RELEASING)


@dataclass(frozen=True, slots=True)
class Sample:
    """Both measures from one moment on."""

    at: float
    groups_down: int
    accelerators_stranded: int


@dataclass(slots=True)
class Outcome:
    """What a replay came to.

    Attributes:
        downtime_s: Wanted groups that did not serve, in group seconds.
        bound_s: Downtime that knowing the whole history cannot avoid for
            these placements: the groups that the VMs present are too few
            for, at no time and no cost of forming; and for each group hit
            while there are enough, what proved quickest, the VM's own return
            or a spare at hand, loaded alone.
        stranded_s: Healthy accelerators in no serving group beyond those
            that no group has a use for, in accelerator seconds.
        moves: Groups formed, changed or given up.
        loaded_gb: Weights that the store sent.
        steps: Candidates that the planner looked at.
        plans: Planning runs.
        cpu_s: Processor time of planning.
        samples: Both measures over time.
    """

    downtime_s: float = 0.0
    bound_s: float = 0.0
    stranded_s: float = 0.0
    moves: int = 0
    loaded_gb: float = 0.0
    steps: int = 0
    plans: int = 0
    cpu_s: float = 0.0
    samples: list[Sample] = field(default_factory=list)

    def cost(self, weights: RepairWeights) -> float:
        """Return the cost under a deployment's weights."""
        return (
            weights.group_downtime * self.downtime_s
            + weights.stranded_accelerators * self.stranded_s
        )


@dataclass(slots=True)
class _Domain:
    """One domain's share of the measures, worked out when it changes."""

    plan: DomainPlan
    loads: WeightLoadQueue
    ready: frozenset[GroupId] = frozenset()
    serving_vms: int = 0
    present: int = 0
    look_at: float = float("inf")


class Replay:
    """One run of a history.

    Args:
        configuration: The fleet.
        policy: Chooses what to do about broken groups.
    """

    def __init__(self, configuration: Configuration, policy: RepairPolicy) -> None:
        self.outcome = Outcome()
        self.now = 0.0
        self.returns: dict[float, float] = {}
        self._index = FleetIndex(configuration)
        self._policy = policy
        self._events: list[tuple[float, int, str, str]] = []
        self._numbers = count()
        self._epochs = count(1)
        self._absent: dict[VmId, float] = {}
        self._settling: dict[VmId, float] = {}
        self._keeps: dict[VmId, bool] = {}
        rate = configuration.rules.weight_store_gb_per_s
        total = len(self._index.vms)
        self._reports = {
            vm: EngineReport(vm, "b", EngineState.EMPTY) for vm in self._index.vms
        }
        self._loading: dict[VmId, float] = {}
        self._domains = {
            name: _Domain(
                DomainPlan(name),
                WeightLoadQueue(rate * len(vms) / total),
                present=len(vms),
            )
            for name, vms in self._index.domains.items()
        }
        self._wanted = sum(m.wanted_groups for m in configuration.rules.models)
        self._smallest_first = sorted(
            configuration.rules.models, key=lambda model: model.vms_per_group
        )
        self._used = sum(
            m.wanted_groups * m.vms_per_group for m in configuration.rules.models
        )
        self._accelerators = configuration.inventory.vms[0].accelerators

    @property
    def plans(self) -> list[DomainPlan]:
        """The domains' plans."""
        return [domain.plan for domain in self._domains.values()]

    @property
    def reports(self) -> dict[VmId, EngineReport]:
        """What each VM's engine reports."""
        return self._reports

    def use(self, policy: RepairPolicy) -> None:
        """Choose by another policy, from the start."""
        self._policy = policy

    def run(self, history: Sequence[Absence], days: float) -> Outcome:
        """Replay a history and return what it came to."""
        for name in self._domains:
            self._look(name, 0.0)
        for absence in history:
            self._push(absence.begins, "lost", absence.vm)
            self._push(absence.begins + absence.lasts, "back", absence.vm)
            self.returns[absence.begins] = absence.begins + absence.lasts
        keeps = {(a.begins, a.vm): a.keeps for a in history}
        ends = days * 86400.0
        while self._events and self._events[0][0] < ends:
            at, _, kind, subject = heapq.heappop(self._events)
            self._account(at)
            if kind == "lost":
                self._keeps[VmId(subject)] = keeps[at, VmId(subject)]
            self._handle(kind, subject)
        self._account(ends)
        return self.outcome

    def _handle(self, kind: str, subject: str) -> None:
        match kind:
            case "lost":
                self._lose(VmId(subject))
            case "back":
                self._restore(VmId(subject))
            case "loaded":
                self._finish_load(VmId(subject))
            case "drained":
                vm = VmId(subject)
                report = self._reports[vm]
                self._reports[vm] = replace(report, state=EngineState.DRAINING)
                self._look(self._index.vms[vm].fabric_domain, _ORDER_S)
            case "look":
                domain = self._domains[FabricDomainId(subject)]
                if domain.look_at <= self.now:
                    domain.look_at = float("inf")
                    self._plan(FabricDomainId(subject))

    def _lose(self, vm: VmId) -> None:
        self._absent[vm] = self.now
        self._add_bound(vm)
        self._loading.pop(vm, None)
        name = self._index.vms[vm].fabric_domain
        self._measure(name)
        self._look(name, _DETECT_S)

    def _add_bound(self, vm: VmId) -> None:
        domain = self._domains[self._index.vms[vm].fabric_domain]
        hit = [g for g in domain.plan.groups if vm in g.vms and g.id in domain.ready]
        if not hit or self.now < _START_S or self._count_lacking():
            return
        gb = self._index.models[hit[0].model].weights_gb
        load_s = gb / domain.loads.gb_per_s
        back_s = self.returns[self.now] - self.now
        back_s += 0.0 if self._keeps[vm] else load_s
        self.outcome.bound_s += min(back_s, _DETECT_S + load_s)

    def _count_lacking(self) -> int:
        """Return the groups that the VMs present cannot make.

        They are taken as one domain and the smallest groups as formed first:
        no placement has more.
        """
        present = sum(domain.present for domain in self._domains.values())
        lacking = 0
        for model in self._smallest_first:
            count = min(model.wanted_groups, present // model.vms_per_group)
            present -= count * model.vms_per_group
            lacking += model.wanted_groups - count
        return lacking

    def _restore(self, vm: VmId) -> None:
        if self.now - self._absent.pop(vm) >= _DETECT_S:
            self._settling[vm] = self.now + _SETTLE_S
        if not self._keeps[vm]:
            self._reports[vm] = EngineReport(vm, "b", EngineState.EMPTY)
        name = self._index.vms[vm].fabric_domain
        self._measure(name)
        self._look(name, _ORDER_S)
        self._look(name, _SETTLE_S + _ORDER_S)

    def _finish_load(self, vm: VmId) -> None:
        if self._loading.get(vm) != self.now:
            return
        del self._loading[vm]
        self._reports[vm] = replace(self._reports[vm], state=EngineState.READY)
        name = self._index.vms[vm].fabric_domain
        before = self._domains[name].ready
        self._measure(name)
        if self._domains[name].ready != before:
            self._look_everywhere()

    def _plan(self, name: FabricDomainId) -> None:
        domain = self._domains[name]
        given = DomainInput(
            self._index,
            {other: found.plan for other, found in self._domains.items()},
            name,
            {vm.id: self._view(vm.id) for vm in self._index.domains[name]},
            frozenset(g for found in self._domains.values() for g in found.ready),
            Epoch(next(self._epochs)),
            queued_gb=domain.loads.backlog_gb(self.now),
            load_gb_per_s=domain.loads.gb_per_s,
        )
        began = process_time()
        step = plan_domain(given, self._policy, self.now)
        self.outcome.cpu_s += process_time() - began
        self.outcome.steps += step.candidates_checked
        self.outcome.plans += 1
        if step.plan is not domain.plan:
            domain.plan = step.plan
            self.outcome.moves += sum(c.kind in _MOVES for c in step.changes)
            self._look_everywhere()
        self._order(name)
        self._measure(name)
        if any(self._is_broken(group) for group in domain.plan.groups):
            self._look(name, _REVIEW_S)

    def _order(self, name: FabricDomainId) -> None:
        domain = self._domains[name]
        vms = self._index.domains[name]
        reports = {vm.id: self._reports[vm.id] for vm in vms if self._is_heard(vm.id)}
        loads: dict[str, Order] = {}
        for order in decide_orders(domain.plan, reports):
            match order.kind:
                case OrderKind.UNLOAD:
                    self._loading.pop(order.vm, None)
                    empty = EngineReport(order.vm, "b", EngineState.EMPTY)
                    self._reports[order.vm] = empty
                    self._look(name, _ORDER_S)
                case OrderKind.DRAIN:
                    self._push(self.now + _DRAIN_S, "drained", order.vm)
                case OrderKind.LOAD if self._holds(order):
                    self._begin(order, _REGROUP_S)
                case OrderKind.LOAD:
                    loads[order.vm] = order
        self._load(name, loads)

    def _load(self, name: FabricDomainId, loads: dict[str, Order]) -> None:
        domain = self._domains[name]
        due = []
        for vm, order in loads.items():
            assert order.model is not None
            gb = self._index.models[order.model].weights_gb
            absent = sum(member in self._absent for member in order.members)
            due.append(WeightLoad((float(absent), float(order.epoch)), vm, gb))
        for load in domain.loads.admit(due, self.now):
            self.outcome.loaded_gb += load.gb
            self._begin(loads[load.vm], load.gb / domain.loads.gb_per_s)
        if loads:
            free_s = domain.loads.backlog_gb(self.now) / domain.loads.gb_per_s
            self._look(name, max(_ORDER_S, free_s))

    def _holds(self, order: Order) -> bool:
        report = self._reports[order.vm]
        held = (report.model, report.version) == (order.model, order.version)
        return held and report.state in (EngineState.READY, EngineState.DRAINING)

    def _begin(self, order: Order, lasts: float) -> None:
        self._reports[order.vm] = EngineReport(
            order.vm,
            "b",
            EngineState.LOADING,
            order.group,
            order.epoch,
            order.model,
            order.version,
        )
        self._loading[order.vm] = self.now + lasts
        self._push(self.now + lasts, "loaded", order.vm)

    def _view(self, vm: VmId) -> VmView:
        if vm in self._absent and self.now - self._absent[vm] >= _DETECT_S:
            return VmView(VmCondition.ABSENT, self._absent[vm], self._reports[vm])
        if self.now < self._settling.get(vm, 0.0):
            return VmView(VmCondition.SETTLING, self.now, self._reports[vm])
        return VmView(VmCondition.PRESENT, 0.0, self._reports[vm])

    def _is_heard(self, vm: VmId) -> bool:
        return vm not in self._absent

    def _is_broken(self, group: GroupPlan) -> bool:
        return any(vm in self._absent for vm in group.vms)

    def _measure(self, name: FabricDomainId) -> None:
        domain = self._domains[name]
        serving = [g for g in domain.plan.groups if self._serves(g)]
        domain.ready = frozenset(group.id for group in serving)
        domain.serving_vms = sum(len(group.vms) for group in serving)
        domain.present = sum(
            vm.id not in self._absent for vm in self._index.domains[name]
        )

    def _serves(self, group: GroupPlan) -> bool:
        return group.stage is GroupStage.SERVING and all(
            vm not in self._absent
            and self._reports[vm].state is EngineState.READY
            and (self._reports[vm].group, self._reports[vm].epoch)
            == (group.id, group.epoch)
            for vm in group.vms
        )

    def _account(self, at: float) -> None:
        began = max(self.now, _START_S)
        if at > began:
            domains = self._domains.values()
            self.outcome.bound_s += self._count_lacking() * (at - began)
            down = max(0, self._wanted - sum(len(d.ready) for d in domains))
            present = sum(domain.present for domain in domains)
            serving = sum(domain.serving_vms for domain in domains)
            useful = min(present, self._used)
            stranded = max(0, useful - serving) * self._accelerators
            self.outcome.downtime_s += down * (at - began)
            self.outcome.stranded_s += stranded * (at - began)
            last = self.outcome.samples[-1] if self.outcome.samples else None
            if last is None or (last.groups_down, last.accelerators_stranded) != (
                down,
                stranded,
            ):
                self.outcome.samples.append(Sample(began, down, stranded))
        self.now = at

    def _look(self, name: FabricDomainId, delay_s: float) -> None:
        domain = self._domains[name]
        at = self.now + delay_s
        if at < domain.look_at or domain.look_at <= self.now:
            domain.look_at = at
        self._push(at, "look", name)

    def _look_everywhere(self) -> None:
        for name in self._domains:
            self._look(name, _ORDER_S)

    def _push(self, at: float, kind: str, subject: str) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), kind, subject))
