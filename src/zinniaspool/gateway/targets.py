"""Targets by service and model, kept as the fleet changes."""

import random
from collections import Counter, defaultdict
from collections.abc import Iterator

import structlog

from zinniaspool.core.dispatch import Target, TargetPool, TargetState
from zinniaspool.core.fleet import Instance, InstanceState
from zinniaspool.core.fleet.messages import ModelDemandNote
from zinniaspool.core.formation import WholeGroup, find_whole_groups
from zinniaspool.core.ids import FailureDomainId, ModelName, ServiceName
from zinniaspool.fleet import FleetBelief

__all__ = ["TargetIndex"]

_log = structlog.get_logger(__name__)


class TargetIndex:
    """All targets.

    Args:
        belief: What is known of the fleet.
        own_domain: This process's failure domain.
    """

    def __init__(self, belief: FleetBelief, own_domain: FailureDomainId) -> None:
        self._belief = belief
        self._own_domain = own_domain
        self._source = random.Random()
        self._pools: dict[tuple[ServiceName, ModelName | None], TargetPool] = {}
        self._refused: Counter[tuple[ServiceName, ModelName]] = Counter()

    def find(self, service: ServiceName, model: ModelName | None) -> TargetPool:
        """Return the pool of a service's model, empty if unknown."""
        key = (service, model)
        pool = self._pools.get(key)
        if pool is None:
            pool = TargetPool(self._own_domain, self._source)
            self._pools[key] = pool
        return pool

    def __iter__(self) -> Iterator[TargetState]:
        for pool in self._pools.values():
            yield from pool

    def list_demands(self) -> list[ModelDemandNote]:
        """Return what is asked of each model here, and forget refusals."""
        found = []
        for (service, model), pool in self._pools.items():
            if model is None:
                continue
            busy = sum(state.own for state in pool)
            refused = self._refused.pop((service, model), 0)
            found.append(ModelDemandNote(service, model, float(busy + refused)))
        return found

    def note_refused(self, service: ServiceName, model: ModelName | None) -> None:
        """Count a request that no target could take."""
        if model is not None:
            self._refused[service, model] += 1

    def refresh(self, now: float) -> list[TargetState]:
        """Take the fleet as it is now; return the targets that are no more."""
        wanted: defaultdict[tuple[ServiceName, ModelName | None], list[Target]]
        wanted = defaultdict(list)
        catalog = self._belief.catalog
        if catalog is None:
            return []
        by_service: defaultdict[ServiceName, list[Instance]] = defaultdict(list)
        for one in self._belief.instances.values():
            by_service[one.service].append(one)
        for service, instances in by_service.items():
            spec = catalog.services.get(service)
            if spec is None:
                # No route leads there: the operator names no such service.
                continue
            if spec.engine is None:
                for one in instances:
                    if one.state is InstanceState.READY:
                        wanted[service, None].append(_make_plain(one))
                continue
            sizes = {model.name: model.size for model in spec.engine.models}
            for group in find_whole_groups(instances, sizes):
                target = _make_group(group, spec.engine.slots)
                wanted[service, group.model].append(target)
        gone = []
        for key in wanted.keys() | self._pools.keys():
            gone += self.find(*key).update(wanted[key], now)
        for state in gone:
            _log.info(
                "target-gone",
                instance=state.target.instance,
                group=state.target.group or "",
                own=state.own,
            )
        return gone


def _make_plain(one: Instance) -> Target:
    return Target(
        one.id, one.address, one.failure_domain, max(1, one.slots), born=one.born
    )


def _make_group(group: WholeGroup, slots: int) -> Target:
    head = group.head
    return Target(
        head.id,
        head.address,
        head.failure_domain,
        max(1, slots),
        group.model,
        group.group,
        group.epoch,
        head.born,
    )
