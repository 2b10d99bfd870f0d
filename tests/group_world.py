"""A small simulated fleet for tests of planning.

Its engines follow each plan at once.
"""

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
    ExpectedCostPolicy,
    FleetIndex,
    PlanningResult,
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

__all__ = ["SimulatedFleet", "make_configuration", "make_model", "make_vms"]

WEIGHTS = RepairWeights(group_downtime=1.0, stranded_accelerators=0.05)


def make_vms(domain: str, owners: str, failure_domain: str = "") -> tuple[Vm, ...]:
    """Return a domain's VMs, one for each letter, which names its owner."""
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
    """Return a model; each letter of ``customers`` names one customer."""
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
class SimulatedFleet:
    """Plans of all domains, and VMs whose engines follow them at once.

    Attributes:
        configuration: The accepted configuration.
        policy: Decides what to do about broken groups.
        plans: The current plan of each domain.
        conditions: The conditions of VMs that are not present.
        broken_versions: Versions of models that never finish loading.
        reports: The newest report of each VM.
        absent_s: How long absent VMs have been absent.
        epoch: The epoch of the last planning pass.
        now: Seconds, on the simulation's clock.
    """

    configuration: Configuration
    policy: RepairPolicy = field(default_factory=lambda: ExpectedCostPolicy(WEIGHTS))
    plans: dict[FabricDomainId, DomainPlan] = field(default_factory=dict)
    conditions: dict[VmId, VmCondition] = field(default_factory=dict)
    broken_versions: set[str] = field(default_factory=set)
    reports: dict[VmId, EngineReport] = field(default_factory=dict)
    absent_s: float = 36000.0
    epoch: int = 0
    _previous_plans: dict[FabricDomainId, DomainPlan] = field(default_factory=dict)
    now: float = 1e6

    def plan_until_stable(self, max_rounds: int = 60) -> list[PlanningResult]:
        """Plan all domains in turn until nothing changes."""
        all_results = []
        for _ in range(max_rounds):
            results = [self.run_pass(domain) for domain in self.index.domains]
            all_results += results
            if all(
                result.plan is self._previous_plans[result.plan.fabric_domain]
                for result in results
            ):
                return all_results
        raise AssertionError("the plans do not become stable")

    @property
    def index(self) -> FleetIndex:
        """The indexed configuration."""
        return FleetIndex(self.configuration)

    def run_pass(self, domain: FabricDomainId) -> PlanningResult:
        """Plan one domain, and let its engines follow the plan."""
        self.epoch += 1
        inputs = self.make_input(domain)
        self._previous_plans = {**self._previous_plans, domain: inputs.plan}
        result = plan_domain(inputs, self.policy, self.now)
        self.plans[domain] = result.plan
        self.check_plans()
        self._follow(domain)
        return result

    def make_input(self, domain: FabricDomainId) -> DomainInput:
        """Return the current inputs of planning a domain."""
        plan = self.plans.setdefault(domain, DomainPlan(domain))
        self.plans[domain] = plan
        views = {vm.id: self._view(vm.id) for vm in self.index.domains[domain]}
        return DomainInput(
            self.index,
            dict(self.plans),
            domain,
            views,
            self.find_ready(),
            Epoch(self.epoch),
        )

    def find_ready(self) -> frozenset[GroupId]:
        """Return the groups whose VMs are all present and have loaded."""
        return frozenset(
            group.id
            for plan in self.plans.values()
            for group in plan.groups
            if group.stage is GroupStage.SERVING
            and all(self._is_ready(group, vm) for vm in group.vms)
        )

    def count_serving(self, model: str) -> int:
        """Return how many groups of a model serve."""
        ready = self.find_ready()
        return sum(
            group.model == model and group.id in ready
            for plan in self.plans.values()
            for group in plan.groups
        )

    def list_groups(self) -> list[GroupPlan]:
        """Return all planned groups."""
        return [group for plan in self.plans.values() for group in plan.groups]

    def make_absent(self, *vms: str) -> None:
        """Make VMs absent."""
        self.conditions.update({VmId(vm): VmCondition.ABSENT for vm in vms})

    def restore(self, *vms: str) -> None:
        """Bring VMs back, with nothing loaded."""
        for vm in vms:
            self.conditions.pop(VmId(vm), None)
            self.reports[VmId(vm)] = EngineReport(VmId(vm), "new", EngineState.EMPTY)

    def check_plans(self) -> None:
        """Assert the invariants of plans."""
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
                        assert index.vms[vm].owner in allowed, (
                            "a VM that is not permitted"
                        )

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
                self.reports[vm.id] = self._apply_plan(vm.id, member_of.get(vm.id))

    def _apply_plan(self, vm: VmId, group: GroupPlan | None) -> EngineReport:
        previous = self.reports.get(vm) or EngineReport(vm, "b", EngineState.EMPTY)
        if group is None or group.stage is GroupStage.RELEASING:
            return EngineReport(vm, previous.boot, EngineState.EMPTY)
        if group.stage is GroupStage.DRAINING:
            return replace(previous, state=EngineState.DRAINING)
        may_load = previous.state is EngineState.EMPTY or previous.group in (
            group.id,
            group.follows,
        )
        assert may_load, "joins without having been emptied"
        broken = group.version in self.broken_versions
        return EngineReport(
            vm,
            previous.boot,
            EngineState.LOADING if broken else EngineState.READY,
            group.id,
            group.epoch,
            group.model,
            group.version,
        )
