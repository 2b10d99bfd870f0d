"""Index of a configuration, for planning."""

from collections import Counter
from collections.abc import Mapping
from functools import cached_property

from zinniaspool.core.deployment import Configuration, ModelRule, Vm
from zinniaspool.core.ids import (
    CustomerId,
    FabricDomainId,
    FailureDomainId,
    ModelName,
    VmId,
)
from zinniaspool.core.plans import DomainPlan, GroupPlan

__all__ = ["FleetIndex"]


class FleetIndex:
    """Lookups that planning needs of a configuration, computed once.

    Args:
        configuration: The accepted configuration.

    Attributes:
        configuration: The accepted configuration.
        models: The rule of each model.
        vms: All VMs of the inventory.
    """

    def __init__(self, configuration: Configuration) -> None:
        rules = configuration.rules
        self.configuration = configuration
        self.models: Mapping[ModelName, ModelRule] = {m.name: m for m in rules.models}
        self.vms: Mapping[VmId, Vm] = {vm.id: vm for vm in configuration.inventory.vms}
        self._may_use = {rule.id: frozenset(rule.may_use) for rule in rules.customers}
        self._owners = {m.name: self._find_owners(m) for m in rules.models}

    @cached_property
    def domains(self) -> Mapping[FabricDomainId, tuple[Vm, ...]]:
        """The VMs of each fabric domain, both in order of their names."""
        domains: dict[FabricDomainId, list[Vm]] = {}
        for vm in sorted(self.vms.values(), key=lambda vm: vm.id):
            domains.setdefault(vm.fabric_domain, []).append(vm)
        return {name: tuple(domains[name]) for name in sorted(domains)}

    @cached_property
    def failure_domains(self) -> Mapping[FabricDomainId, FailureDomainId]:
        """The failure domain that each fabric domain lies in."""
        return {name: vms[0].failure_domain for name, vms in self.domains.items()}

    @cached_property
    def model_counts_by_owner(self) -> Counter[CustomerId]:
        """How many models may run on each owner's VMs."""
        return Counter(owner for owners in self._owners.values() for owner in owners)

    def get_owners(self, model: ModelName) -> frozenset[CustomerId]:
        """Return the owners whose VMs every customer of a model may use."""
        return self._owners[model]

    def get_customers(self, model: ModelRule) -> tuple[CustomerId, ...]:
        """Return the customers of a model, sorted."""
        return tuple(sorted({share.customer for share in model.shares}))

    def allows(self, group: GroupPlan, domain: FabricDomainId) -> bool:
        """Whether the configuration still permits a group in a domain.

        A group whose customers, size or VMs' owners no longer agree with the
        rules could run a customer's requests on a competitor's VM, so it has
        to be drained.
        """
        model = self.models.get(group.model)
        if model is None or len(group.vms) != model.vms_per_group:
            return False
        if group.customers != self.get_customers(model):
            return False
        owners = self._owners[group.model]
        return all(
            vm in self.vms
            and self.vms[vm].fabric_domain == domain
            and self.vms[vm].owner in owners
            for vm in group.vms
        )

    def count_free(
        self, domain: FabricDomainId, plan: DomainPlan, used: frozenset[VmId]
    ) -> Counter[CustomerId]:
        """Return how many VMs of each owner can join groups of a domain.

        Args:
            domain: The fabric domain.
            plan: The domain's plan; VMs that it lists as out don't count.
            used: VMs of groups that stay; they don't count either.
        """
        out = {vm.vm for vm in plan.out}
        return Counter(
            vm.owner
            for vm in self.domains[domain]
            if vm.id not in used and vm.id not in out
        )

    def _find_owners(self, model: ModelRule) -> frozenset[CustomerId]:
        allowed = [
            self._may_use.get(share.customer, frozenset()) for share in model.shares
        ]
        return frozenset.intersection(*allowed) if allowed else frozenset()
