"""The demand for each model, and the number of groups that serve it."""

from collections import Counter
from collections.abc import Iterator, Mapping

from zinniaspool.core.fleet import EngineSpec
from zinniaspool.core.formation.allocation import ModelNeed
from zinniaspool.core.formation.balance import MIN_REMAINING_GROUPS, ModelDemand
from zinniaspool.core.formation.domains import ACTIVE_PHASES, PlannedDomain
from zinniaspool.core.formation.evacuation import EvacuationFilter
from zinniaspool.core.formation.lifecycle import GroupRun
from zinniaspool.core.formation.records import GroupPhase
from zinniaspool.core.ids import FabricDomainId, ModelName, ServiceName

__all__ = ["ModelProvisioning"]


class ModelProvisioning:
    """Compares the models' demand with their groups, over all fabric domains.

    Args:
        domains: All planned fabric domains, as the planner keeps them.
        evacuation: Excludes the groups of evacuated failure domains.
    """

    def __init__(
        self,
        domains: Mapping[FabricDomainId, PlannedDomain],
        evacuation: EvacuationFilter,
    ) -> None:
        self._domains = domains
        self._evacuation = evacuation
        self._demand: dict[tuple[ServiceName, ModelName], float] = {}
        self._group_counts: dict[ServiceName, Counter[ModelName]] = {}

    def set_demand(self, demand: Mapping[tuple[ServiceName, ModelName], float]) -> None:
        """Set how many requests of each model run or wait, on average."""
        self._demand = dict(demand)

    def on_groups_changed(self) -> None:
        """Record that there are other groups, or groups in other phases."""
        self._group_counts.clear()

    def list_demands(
        self, service: ServiceName, engine: EngineSpec
    ) -> list[ModelDemand]:
        """Return the demand for each model of a service."""
        return [
            ModelDemand(
                model, engine.slots, self._demand.get((service, model.name), 0.0)
            )
            for model in engine.models
        ]

    def list_needs(self, service: ServiceName, engine: EngineSpec) -> list[ModelNeed]:
        """Return the demand and the groups of each model of a service.

        Until enough requests run to fill half of a group's slots, the demand
        follows from the models' configured shares.
        """
        groups = self._group_counts.get(service)
        if groups is None:
            groups = self._group_counts[service] = self.count_groups(service)
        demands = self.list_demands(service, engine)
        measured = sum(it.requests for it in demands) >= engine.slots / 2
        needs = []
        for model in demands:
            count = groups[model.spec.name]
            # The share is a part of the VMs' work, and a group has many VMs.
            demand = (
                model.requests
                if measured
                else model.spec.initial_share / model.spec.size
            )
            utilization = model.requests / (
                max(count, MIN_REMAINING_GROUPS) * model.slots
            )
            needs.append(
                ModelNeed(model.spec, count, demand, utilization if measured else None)
            )
        return needs

    def count_groups(
        self, service: ServiceName, forming_since: float = float("-inf")
    ) -> Counter[ModelName]:
        """Count the groups of each model that serve or form.

        Groups in evacuated failure domains do not count.

        Args:
            service: The service of the groups.
            forming_since: Groups that began to form before this time do not
                count. They load their model from the weight store and will
                not serve for many seconds.
        """
        return Counter(
            run.record.model
            for run in self._runs()
            if run.record.service == service
            and not run.record.standby
            and self._evacuation.serves(run)
            and run.phase in ACTIVE_PHASES
            and (run.phase is not GroupPhase.FORMING or run.since >= forming_since)
        )

    def count_reserved_groups(self, now: float) -> Counter[ModelName]:
        """Count the groups that reserved VMs are still to form.

        None is formed in an evacuated domain.
        """
        found: Counter[ModelName] = Counter()
        for domain in self._domains.values():
            if self.is_evacuated(domain):
                continue
            if domain.reserved_for is not None and domain.has_reservation(now):
                found[domain.reserved_for] += domain.reserved_groups
        return found

    def is_evacuated(self, domain: PlannedDomain) -> bool:
        """Return whether groups of a fabric domain don't count as serving."""
        return not all(self._evacuation.serves(run) for run in domain.runs.values())

    def _runs(self) -> Iterator[GroupRun]:
        for domain in self._domains.values():
            yield from domain.runs.values()
