"""A small fleet for tests of planning: engines that follow at once."""

from dataclasses import dataclass, field, replace
from itertools import product

from zinniaspool.core.deployment import (
    Configuration,
    CustomerRule,
    Inventory,
    ModelRule,
    RepairWeights,
    Rules,
    Share,
    Vm,
)
from zinniaspool.core.groups import (
    DomainInput,
    ExpectedCost,
    FleetIndex,
    PlanStep,
    RepairPolicy,
    VmCondition,
    VmView,
    plan_domain,
)
from zinniaspool.core.ids import (
    Address,
    CustomerId,
    Epoch,
    FabricDomainId,
    FailureDomainId,
    GroupId,
    ModelName,
    ModelVersion,
    VmId,
)
from zinniaspool.core.plans import (
    DomainPlan,
    EngineReport,
    EngineState,
    GroupPlan,
    GroupStage,
)

__all__ = ["World", "make_configuration", "make_model", "make_vms"]

WEIGHTS = RepairWeights(group_downtime=1.0, stranded_accelerators=0.05)


def make_vms(domain: str, owners: str, failure_domain: str = "") -> tuple[Vm, ...]:
    """Return a domain's VMs, one for each letter: its owner."""
    return tuple(
        Vm(
            VmId(f"{domain}-{k}"),
            Address(f"127.0.0.1:{k}"),
            FailureDomainId(failure_domain or f"f-{domain}"),
            FabricDomainId(domain),
            8,
            CustomerId(owner),
        )
        for k, owner in enumerate(owners)
    )


def make_model(
    name: str, size: int, guaranteed: int, wanted: int, customers: str = "a"
) -> ModelRule:
    """Return a model of some customers, one letter each."""
    return ModelRule(
        ModelName(name),
        ModelVersion("1"),
        size,
        guaranteed,
        wanted,
        8,
        tuple(Share(CustomerId(customer), 1) for customer in customers),
    )


def make_configuration(
    vms: tuple[Vm, ...],
    models: tuple[ModelRule, ...],
    may_use: dict[str, str] | None = None,
) -> Configuration:
    """Return a configuration; by default each customer uses its own VMs."""
    owners = may_use or {vm.owner: vm.owner for vm in vms}
    customers = tuple(
        CustomerRule(CustomerId(name), tuple(CustomerId(owner) for owner in allowed))
        for name, allowed in sorted(owners.items())
    )
    return Configuration(Inventory(vms), Rules(customers, models, (), WEIGHTS))


@dataclass
class World:
    """Plans of all domains, and VMs whose engines follow them at once.

    Attributes:
        configuration: What the operators want.
        conditions: VMs that are not simply present.
        broken_versions: Versions that never get ready.
    """

    configuration: Configuration
    policy: RepairPolicy = field(default_factory=lambda: ExpectedCost(WEIGHTS))
    plans: dict[FabricDomainId, DomainPlan] = field(default_factory=dict)
    conditions: dict[VmId, VmCondition] = field(default_factory=dict)
    broken_versions: set[str] = field(default_factory=set)
    reports: dict[VmId, EngineReport] = field(default_factory=dict)
    absent_s: float = 36000.0
    epoch: int = 0
    _before: dict[FabricDomainId, DomainPlan] = field(default_factory=dict)
    now: float = 1e6

    def settle(self, most: int = 60) -> list[PlanStep]:
        """Plan all domains in turn until nothing changes."""
        done = []
        for _ in range(most):
            steps = [self.step(domain) for domain in self.index.domains]
            done += steps
            if all(
                step.plan is self._before[step.plan.fabric_domain] for step in steps
            ):
                return done
        raise AssertionError("does not come to rest")

    @property
    def index(self) -> FleetIndex:
        """The configuration, arranged for planning."""
        return FleetIndex(self.configuration)

    def step(self, domain: FabricDomainId) -> PlanStep:
        """Plan one domain and let its engines follow."""
        self.epoch += 1
        given = self.look(domain)
        self._before = {**self._before, domain: given.plan}
        step = plan_domain(given, self.policy, self.now)
        self.plans[domain] = step.plan
        self.check()
        self._follow(domain)
        return step

    def look(self, domain: FabricDomainId) -> DomainInput:
        """Return what the domain's plan depends on now."""
        plan = self.plans.setdefault(domain, DomainPlan(domain))
        self.plans[domain] = plan
        views = {vm.id: self._view(vm.id) for vm in self.index.domains[domain]}
        return DomainInput(
            self.index, dict(self.plans), domain, views, self.ready(), Epoch(self.epoch)
        )

    def ready(self) -> frozenset[GroupId]:
        """Return the groups whose every VM is there and has loaded."""
        return frozenset(
            group.id
            for plan in self.plans.values()
            for group in plan.groups
            if group.stage is GroupStage.SERVING
            and all(self._is_ready(group, vm) for vm in group.vms)
        )

    def serving(self, model: str) -> int:
        """Return how many groups of a model serve."""
        ready = self.ready()
        return sum(
            group.model == model and group.id in ready
            for plan in self.plans.values()
            for group in plan.groups
        )

    def groups(self) -> list[GroupPlan]:
        """Return all planned groups."""
        return [group for plan in self.plans.values() for group in plan.groups]

    def lose(self, *vms: str) -> None:
        """Make VMs absent."""
        self.conditions.update({VmId(vm): VmCondition.ABSENT for vm in vms})

    def restore(self, *vms: str) -> None:
        """Have VMs back, empty."""
        for vm in vms:
            self.conditions.pop(VmId(vm), None)
            self.reports[VmId(vm)] = EngineReport(VmId(vm), "new", EngineState.EMPTY)

    def check(self) -> None:
        """Assert what always holds of plans."""
        index = self.index
        for domain, plan in self.plans.items():
            members = [vm for group in plan.groups for vm in group.vms]
            assert len(members) == len(set(members)), "a VM in two groups"
            for vm in members:
                if vm in index.vms:
                    assert index.vms[vm].fabric_domain == domain
            rules = {rule.id: rule for rule in self.configuration.rules.customers}
            for group in plan.groups:
                new = group.epoch == plan.epoch == self.epoch
                if new and group.stage is GroupStage.SERVING:
                    for vm, customer in product(group.vms, group.customers):
                        allowed = rules[customer].may_use
                        assert index.vms[vm].owner in allowed, "a rival's VM"

    def _view(self, vm: VmId) -> VmView:
        condition = self.conditions.get(vm, VmCondition.PRESENT)
        report = self.reports.setdefault(vm, EngineReport(vm, "b", EngineState.EMPTY))
        return VmView(condition, self.now - self.absent_s, report)

    def _is_ready(self, group: GroupPlan, vm: VmId) -> bool:
        if self.conditions.get(vm) is VmCondition.ABSENT:
            return False
        report = self.reports.get(vm)
        return (
            report is not None
            and report.state is EngineState.READY
            and (report.group, report.epoch) == (group.id, group.epoch)
        )

    def _follow(self, domain: FabricDomainId) -> None:
        member_of = {vm: g for g in self.plans[domain].groups for vm in g.vms}
        for vm in self.index.domains[domain]:
            if self.conditions.get(vm.id) is not VmCondition.ABSENT:
                self.reports[vm.id] = self._obey(vm.id, member_of.get(vm.id))

    def _obey(self, vm: VmId, group: GroupPlan | None) -> EngineReport:
        before = self.reports.get(vm) or EngineReport(vm, "b", EngineState.EMPTY)
        if group is None or group.stage is GroupStage.RELEASING:
            return EngineReport(vm, before.boot, EngineState.EMPTY)
        if group.stage is GroupStage.DRAINING:
            return replace(before, state=EngineState.DRAINING)
        kept = before.state is EngineState.EMPTY or before.group in (
            group.id,
            group.follows,
        )
        assert kept, "joins without having been emptied"
        broken = group.version in self.broken_versions
        return EngineReport(
            vm,
            before.boot,
            EngineState.LOADING if broken else EngineState.READY,
            group.id,
            group.epoch,
            group.model,
            group.version,
        )
