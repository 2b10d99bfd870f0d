"""How much each model is asked for, and by how many groups it is served."""

from collections import Counter
from collections.abc import Iterator, Mapping

from zinniaspool.core.fleet import EngineSpec
from zinniaspool.core.formation.allocation import ModelNeed
from zinniaspool.core.formation.balance import LEFT_OF_FEW, ModelDemand
from zinniaspool.core.formation.domains import SETTLED, PlannedDomain
from zinniaspool.core.formation.lifecycle import GroupRun
from zinniaspool.core.formation.records import GroupPhase
from zinniaspool.core.ids import FabricDomainId, ModelName, ServiceName

__all__ = ["Provision"]


class Provision:
    """Demand and groups, over all fabric domains.

    Args:
        domains: Those that there are.
    """

    def __init__(self, domains: Mapping[FabricDomainId, PlannedDomain]) -> None:
        self._domains = domains
        self._demand: dict[tuple[ServiceName, ModelName], float] = {}
        self._counts: dict[ServiceName, Counter[ModelName]] = {}

    def set_demand(self, demand: Mapping[tuple[ServiceName, ModelName], float]) -> None:
        """Take how many requests of each model run or wait, on average."""
        self._demand = dict(demand)

    def note_moved(self) -> None:
        """Take that a group has come to another phase."""
        self._counts.clear()

    def list_demands(
        self, service: ServiceName, engine: EngineSpec
    ) -> list[ModelDemand]:
        """Return how much each model of a service is asked for."""
        return [
            ModelDemand(
                model, engine.slots, self._demand.get((service, model.name), 0.0)
            )
            for model in engine.models
        ]

    def list_needs(self, service: ServiceName, engine: EngineSpec) -> list[ModelNeed]:
        """Return for each model how well it is provided for."""
        groups = self._counts.get(service)
        if groups is None:
            groups = self._counts[service] = self.count_groups(service)
        demands = self.list_demands(service, engine)
        measured = sum(one.busy for one in demands) >= engine.slots / 2
        needs = []
        for one in demands:
            count = groups[one.spec.name]
            # The share is one of the VMs' work, and a group has many of them.
            demand = one.busy if measured else one.spec.share / one.spec.size
            use = one.busy / (max(count, LEFT_OF_FEW) * one.slots)
            needs.append(ModelNeed(one.spec, count, demand, use if measured else None))
        return needs

    def count_groups(
        self, service: ServiceName, soon_by: float = float("-inf")
    ) -> Counter[ModelName]:
        """Count groups that serve, or form.

        Args:
            service: Whose.
            soon_by: Groups that began to form before then do not count: they
                load, and serve nobody for many seconds yet.
        """
        return Counter(
            run.record.model
            for run in self._runs()
            if run.record.service == service
            and not run.record.standby
            and run.phase in SETTLED
            and (run.phase is not GroupPhase.FORMING or run.since >= soon_by)
        )

    def count_promised(self, now: float) -> Counter[ModelName]:
        """Count the groups that freed VMs are to form yet."""
        found: Counter[ModelName] = Counter()
        for domain in self._domains.values():
            if domain.reserved is not None and domain.reserves(now):
                found[domain.reserved] += domain.promised
        return found

    def _runs(self) -> Iterator[GroupRun]:
        for domain in self._domains.values():
            yield from domain.runs.values()
