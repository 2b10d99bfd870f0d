"""Targets by service and model, kept as the fleet changes."""

import random
from collections import defaultdict
from collections.abc import Callable, Collection, Iterator

import structlog

from zinniaspool.core.dispatch import (
    EnginePace,
    LoadChanges,
    PeerLoads,
    Peers,
    Target,
    TargetPool,
    TargetState,
)
from zinniaspool.core.fleet import (
    Instance,
    InstanceId,
    InstanceState,
    TargetLoad,
    WholeGroup,
    find_whole_groups,
)
from zinniaspool.core.ids import FailureDomainId, ModelName, ServiceName
from zinniaspool.core.messages.fleet import LoadNote, ModelDemandNote
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
        self._processes = Peers(1, 1, 0)
        self._peers = PeerLoads()
        self._changes = LoadChanges()

    def find(self, service: ServiceName, model: ModelName | None) -> TargetPool:
        """Return the pool of a service's model, empty if unknown."""
        key = (service, model)
        pool = self._pools.get(key)
        if pool is None:
            pool = TargetPool(self._own_domain, self._source)
            pool.processes = self._processes
            self._pools[key] = pool
        return pool

    def set_processes(self, processes: Peers) -> None:
        """Take which entry processes share the targets."""
        self._processes = processes
        for pool in self._pools.values():
            pool.processes = processes

    def __iter__(self) -> Iterator[TargetState]:
        for pool in self._pools.values():
            yield from pool

    def list_demands(
        self, measure: Callable[[TargetPool], float]
    ) -> list[ModelDemandNote]:
        """Return how many slots would take what is asked of each model."""
        return [
            ModelDemandNote(service, model, round(measure(pool), 2))
            for (service, model), pool in self._pools.items()
            if model is not None
        ]

    # What processes tell each other of their loads.

    def list_load_changes(self) -> dict[InstanceId, TargetLoad]:
        """Return what of this process's loads is to be told to the others."""
        return self._changes.list_changes(self.list_loads())

    def list_loads(self) -> dict[InstanceId, TargetLoad]:
        """Return this process's requests by target."""
        return {
            state.target.instance: TargetLoad(state.own, state.unread)
            for state in self
            if state.own
        }

    def take_loads(self, note: LoadNote, now: float) -> None:
        """Take what another process has at targets."""
        self._set_peers(self._peers.take(note.node, note.loads, now, whole=note.whole))

    def expire_loads(self, now: float) -> None:
        """Forget what processes had that fell silent."""
        self._set_peers(self._peers.expire(now))

    def measure_age(self, now: float) -> float:
        """Return how old the oldest word on others' loads is, in seconds."""
        return self._peers.measure_age(now)

    def _set_peers(self, changed: Collection[InstanceId]) -> None:
        if not changed:
            return
        for state in self:
            if state.target.instance in changed:
                state.peers = self._peers.at(state.target.instance)

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
                wanted[service, None] += map(_make_plain, instances)
                continue
            sizes = {model.name: model.size for model in spec.engine.models}
            for group in find_whole_groups(instances, sizes):
                target = _make_group(group, spec.engine.slots)
                wanted[service, group.model].append(target)
            for model in spec.engine.models:
                pace = EnginePace.of(spec.engine, model)
                self.find(service, model.name).forecast.pace = pace
        gone = []
        for key in wanted.keys() | self._pools.keys():
            gone += self.find(*key).update(wanted[key], now)
        self._set_peers([one.instance for found in wanted.values() for one in found])
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
        one.id,
        one.address,
        one.failure_domain,
        max(1, one.slots),
        born=one.born,
        ending=one.state is InstanceState.LEAVING,
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
        group.ending,
    )
