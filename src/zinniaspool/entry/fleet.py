"""What an entry process knows of the fleet's upstreams."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from zinniaspool.core.deployment import (
    Configuration,
    ModelRule,
    ServiceRule,
    Share,
    Vm,
)
from zinniaspool.core.groups import SeenReport, find_serving
from zinniaspool.core.ids import (
    CustomerId,
    FabricDomainId,
    ServiceName,
    UpstreamId,
    VmId,
)
from zinniaspool.core.messages import DomainState
from zinniaspool.core.plans import DomainPlan
from zinniaspool.core.requests import Upstream

__all__ = ["FleetView"]


@dataclass(slots=True)
class _DomainView:
    plan: DomainPlan
    reports: dict[VmId, SeenReport] = field(default_factory=dict)


class FleetView:
    """Configuration, plans and engine reports, as known here.

    Args:
        stale_after_s: Age from which an engine report is void.
    """

    def __init__(self, stale_after_s: float) -> None:
        self.configuration: Configuration | None = None
        self._stale_after_s = stale_after_s
        self._domains: dict[FabricDomainId, _DomainView] = {}
        self._vms: Mapping[VmId, Vm] = {}

    def configure(self, configuration: Configuration) -> None:
        """Take a newer configuration."""
        self.configuration = configuration
        self._vms = {vm.id: vm for vm in configuration.inventory.vms}

    def update_domain(self, state: DomainState, now: float) -> None:
        """Take a domain's plan and reports, unless an older plan's."""
        domain = state.plan.fabric_domain
        view = self._domains.get(domain)
        if view is None:
            view = self._domains[domain] = _DomainView(state.plan)
        if state.plan.epoch < view.plan.epoch:
            return
        view.plan = state.plan
        for aged in state.reports:
            seen = SeenReport(aged.report, now - aged.age_s)
            known = view.reports.get(aged.report.vm)
            if known is None or seen.made_at > known.made_at:
                view.reports[aged.report.vm] = seen

    def find_model(self, name: str, customer: CustomerId) -> ModelRule | None:
        """Return a model that the customer shares."""
        if self.configuration is None:
            return None
        for model in self.configuration.rules.models:
            if model.name == name and _shares(model.shares, customer):
                return model
        return None

    def find_service(self, name: str, customer: CustomerId) -> ServiceRule | None:
        """Return a plain service that the customer shares."""
        if self.configuration is None:
            return None
        for service in self.configuration.rules.services:
            if service.name == ServiceName(name) and _shares(service.shares, customer):
                return service
        return None

    def list_groups(
        self, model: ModelRule, customer: CustomerId, now: float
    ) -> list[Upstream]:
        """Return the serving groups that may run a customer's requests."""
        found = []
        for view in self._domains.values():
            groups = [
                group
                for group in view.plan.groups
                if group.model == model.name and customer in group.customers
            ]
            for group in find_serving(groups, view.reports, now, self._stale_after_s):
                first = self._vms.get(group.vms[0])
                if first is None:
                    continue
                found.append(
                    Upstream(
                        UpstreamId(group.id),
                        first.address,
                        first.failure_domain,
                        model.slots_per_group,
                        group.id,
                        group.epoch,
                    )
                )
        return found

    def list_service(self, service: ServiceRule) -> list[Upstream]:
        """Return a plain service's upstreams."""
        return [
            Upstream(
                UpstreamId(upstream.address),
                upstream.address,
                upstream.failure_domain,
                service.slots_per_upstream,
            )
            for upstream in service.upstreams
        ]


def _shares(shares: tuple[Share, ...], customer: CustomerId) -> bool:
    return any(share.customer == customer for share in shares)
