"""Targets by service and model, kept as the fleet changes."""

import random
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Iterator
from dataclasses import dataclass

import structlog

from zinniaspool.core.dispatch import (
    AnnouncedRate,
    EngineTiming,
    LoadChangeTracker,
    PeerLoads,
    Subset,
    Target,
    TargetPool,
    TargetState,
)
from zinniaspool.core.fleet import (
    Catalog,
    CompleteGroup,
    Instance,
    InstanceId,
    InstanceIncarnation,
    InstancePartition,
    InstanceState,
    ModelDemandReport,
    TargetLoad,
    find_complete_groups,
)
from zinniaspool.core.ids import FailureDomainId, ModelName, ServiceName
from zinniaspool.core.messages.fleet import LoadReport
from zinniaspool.fleet import FleetBelief

__all__ = ["TargetIndex"]

_log = structlog.get_logger(__name__)


_PoolKey = tuple[ServiceName, ModelName | None]


@dataclass(frozen=True, slots=True)
class _PartTargets:
    """The targets of one part of the fleet, as it was at one version."""

    version: int
    targets: dict[_PoolKey, list[Target]]


class TargetIndex:
    """All targets.

    Args:
        belief: What is known of the fleet.
        own_domain: This process's failure domain.

    Attributes:
        rates: What instances have announced to take.
    """

    def __init__(self, belief: FleetBelief, own_domain: FailureDomainId) -> None:
        self._belief = belief
        self._own_domain = own_domain
        self._source = random.Random()
        self.rates: dict[InstanceIncarnation, AnnouncedRate] = {}
        self._pools: dict[_PoolKey, TargetPool] = {}
        self._subset: Subset | None = None
        self._everybody = 1
        self._peers = PeerLoads()
        self._changes = LoadChangeTracker()
        self._catalog: Catalog | None = None
        self._parts: dict[InstancePartition, _PartTargets] = {}

    def find(self, service: ServiceName, model: ModelName | None) -> TargetPool:
        """Return the pool of a service's model, empty if unknown."""
        key = (service, model)
        pool = self._pools.get(key)
        if pool is None:
            pool = TargetPool(self._own_domain, self._source, self.rates)
            if self._subset is not None:
                pool.set_subset(self._subset, self._everybody)
            self._pools[key] = pool
        return pool

    def set_subset(self, subset: Subset, everybody: int) -> None:
        """Take which entry processes share which targets.

        Args:
            subset: Those that share some with this one.
            everybody: How many there are.
        """
        self._subset, self._everybody = subset, everybody
        for pool in self._pools.values():
            pool.set_subset(subset, everybody)

    def __iter__(self) -> Iterator[TargetState]:
        for pool in self._pools.values():
            yield from pool

    def list_pools(self) -> list[TargetPool]:
        """Return the pools of all services and models."""
        return list(self._pools.values())

    def find_state(self, instance: InstanceId) -> TargetState | None:
        """Return the target at an instance, or None."""
        for pool in self._pools.values():
            state = pool.get(instance)
            if state is not None:
                return state
        return None

    def list_busy(self) -> list[TargetState]:
        """Return the targets at which this process has requests."""
        return [
            state
            for pool in self._pools.values()
            for state in pool.busy
            if not state.removed
        ]

    def list_demands(
        self, measure: Callable[[TargetPool], float]
    ) -> list[ModelDemandReport]:
        """Return how many slots would take what is asked of each model."""
        return [
            ModelDemandReport(service, model, round(measure(pool), 2))
            for (service, model), pool in self._pools.items()
            if model is not None
        ]

    # What processes tell each other of their loads.

    def list_load_changes(self) -> dict[InstanceId, TargetLoad]:
        """Return what of this process's loads is to be told to the others."""
        return self._changes.collect_changes(self.list_loads())

    def list_loads(self) -> dict[InstanceId, TargetLoad]:
        """Return this process's requests by target."""
        return {
            state.target.instance: TargetLoad(
                state.local_requests, state.local_unread_tokens
            )
            for state in self.list_busy()
        }

    def take_loads(self, note: LoadReport, now: float) -> None:
        """Take what another process has at targets."""
        self._set_peers(
            self._peers.apply_report(note.node, note.loads, now, complete=note.whole)
        )

    def expire_loads(self, now: float) -> None:
        """Forget what processes had that fell silent."""
        self._set_peers(self._peers.expire(now))

    def measure_age(self, now: float) -> float:
        """Return how old the oldest word on others' loads is, in seconds."""
        return self._peers.measure_oldest_age(now)

    def _set_peers(self, changed: Collection[InstanceId]) -> None:
        if not changed:
            return
        for pool in self._pools.values():
            for instance in changed:
                state = pool.get(instance)
                if state is not None:
                    state.peer_load = self._peers.get(instance)
                    state.update_peak_unread()

    def refresh(self, now: float) -> list[TargetState]:
        """Take the fleet as it is now; return the targets that are no more."""
        catalog = self._belief.catalog
        if catalog is None:
            return []
        if catalog is not self._catalog:
            self._catalog = catalog
            self._parts.clear()
            self._set_paces(catalog)
        touched = self._refresh_parts(catalog)
        gone = []
        for key in touched:
            wanted = [
                target
                for part in self._parts.values()
                for target in part.targets.get(key, ())
            ]
            gone += self.find(*key).update(wanted, now)
            self._set_peers([one.instance for one in wanted])
        for state in gone:
            _log.info(
                "target-gone",
                instance=state.target.instance,
                group=state.target.group or "",
                own=state.local_requests,
            )
        return gone

    def _set_paces(self, catalog: Catalog) -> None:
        for service, spec in catalog.services.items():
            if spec.engine is None:
                continue
            for model in spec.engine.models:
                pace = EngineTiming.from_specs(spec.engine, model)
                self.find(service, model.name).forecast.timing = pace

    def _refresh_parts(self, catalog: Catalog) -> set[_PoolKey]:
        """Work out the targets of changed parts; return the pools touched."""
        book = self._belief.book
        fresh = not self._parts
        touched: set[_PoolKey] = set(self._pools) if fresh else set()
        for part in book.list_partitions():
            version = book.get_version(part)
            known = self._parts.get(part)
            if known is not None and known.version == version:
                continue
            before = {} if known is None else known.targets
            targets = _find_targets(part, book.list_reachable(part), catalog)
            self._parts[part] = _PartTargets(version, targets)
            touched |= {
                key
                for key in before.keys() | targets.keys()
                if before.get(key) != targets.get(key)
            }
        return touched


def _find_targets(
    part: InstancePartition, instances: Iterable[Instance], catalog: Catalog
) -> dict[_PoolKey, list[Target]]:
    """Return the targets of one part by the pools that they are for."""
    spec = catalog.services.get(part.service)
    if spec is None:
        # No route leads there: the operator names no such service.
        return {}
    if spec.engine is None:
        return {(part.service, None): [_make_plain(one) for one in instances]}
    sizes = {model.name: model.size for model in spec.engine.models}
    found: defaultdict[_PoolKey, list[Target]] = defaultdict(list)
    for group in find_complete_groups(instances, sizes):
        found[part.service, group.model].append(_make_group(group, spec.engine.slots))
    return dict(found)


def _make_plain(one: Instance) -> Target:
    return Target(
        one.id,
        one.address,
        one.failure_domain,
        max(1, one.slots),
        started_at_ms=one.started_at_ms,
        draining=one.state is InstanceState.LEAVING,
    )


def _make_group(group: CompleteGroup, slots: int) -> Target:
    head = group.head
    return Target(
        head.id,
        head.address,
        head.failure_domain,
        max(1, slots),
        group.model,
        group.group,
        group.epoch,
        head.started_at_ms,
        group.is_draining,
        head.fabric_domain,
    )
