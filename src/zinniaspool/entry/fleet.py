"""What an entry process knows of the fleet's upstreams."""

import asyncio
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from zinniaspool.core.deployment import Configuration, ModelRule, Vm
from zinniaspool.core.groups import SeenReport, find_serving
from zinniaspool.core.ids import (
    CustomerId,
    FabricDomainId,
    ModelName,
    UpstreamId,
    VmId,
)
from zinniaspool.core.messages import AgedReport, DomainState
from zinniaspool.core.plans import DomainPlan
from zinniaspool.core.requests import FreshUpstream, Upstream

__all__ = ["FleetView", "ServingUpstream"]


@dataclass(slots=True)
class _DomainView:
    plan: DomainPlan
    reports: dict[VmId, SeenReport] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ServingUpstream:
    """A group that may be sent requests now.

    Attributes:
        model: What it runs.
        customers: Whose requests it may run.
        fresh: The group as an upstream, and its newest report.
    """

    model: ModelName
    customers: tuple[CustomerId, ...]
    fresh: FreshUpstream


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
        self._models: Mapping[ModelName, ModelRule] = {}

    def configure(self, configuration: Configuration) -> None:
        """Take a newer configuration."""
        self.configuration = configuration
        self._vms = {vm.id: vm for vm in configuration.inventory.vms}
        self._models = {model.name: model for model in configuration.rules.models}

    def list_domains(self) -> list[DomainState]:
        """Return each fabric domain's plan, and reports as old as they are."""
        now = asyncio.get_running_loop().time()
        return [
            DomainState(
                view.plan,
                tuple(
                    AgedReport(seen.report, now - seen.made_at)
                    for seen in view.reports.values()
                ),
            )
            for view in self._domains.values()
        ]

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

    def list_serving(self, now: float) -> Iterator[ServingUpstream]:
        """Yield the groups whose every VM freshly reports this very group."""
        for view in self._domains.values():
            groups = view.plan.groups
            for group in find_serving(groups, view.reports, now, self._stale_after_s):
                rule = self._models.get(group.model)
                first = self._vms.get(group.vms[0])
                if rule is None or first is None:
                    continue
                oldest = min(view.reports[vm].made_at for vm in group.vms)
                seen = view.reports[group.vms[0]]
                upstream = Upstream(
                    UpstreamId(group.id),
                    first.address,
                    first.failure_domain,
                    rule.slots_per_group,
                    group.id,
                    group.epoch,
                    group.version,
                )
                fresh = FreshUpstream(
                    upstream,
                    oldest + self._stale_after_s,
                    seen.report.running + seen.report.waiting,
                    seen.made_at,
                )
                yield ServingUpstream(group.model, group.customers, fresh)
