"""Keeps the targets of each service and model up to date with the fleet.

The targets of a service without models are its instances. The targets of a
model are the heads of its whole replica groups. The load of a target is known
from this process's own requests and from the load reports of its peers.
"""

import random
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Iterator
from dataclasses import dataclass

import structlog

from zinniaspool.core.dispatch import (
    Backpressure,
    EngineTiming,
    LoadChangeTracker,
    PeerLoads,
    Subset,
    Target,
    TargetPool,
    TargetState,
    weigh_own_load,
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
from zinniaspool.fleet import FleetView

__all__ = ["TargetIndex"]

_log = structlog.get_logger(__name__)


MAX_INCARNATIONS = 1024
"""Incarnations of upstreams that are remembered: those whose backpressure is
known, and ended ones."""

_PoolKey = tuple[ServiceName, ModelName | None]


@dataclass(frozen=True, slots=True)
class _InstancePartTargets:
    """The targets of one part of the fleet, at one version of that part."""

    version: int
    targets: dict[_PoolKey, list[Target]]


class TargetIndex:
    """All targets, in one pool for each service or model.

    Args:
        fleet_view: The known state of the fleet.
        local_domain: This process's failure domain.

    Attributes:
        backpressure: What instances have asked of this process.
        ended_at: When incarnations were found to have ended, in seconds.
        report_interval_s: Time between this process's last two load reports,
            in seconds; 0 if they are about as frequent as they should be.
    """

    def __init__(self, fleet_view: FleetView, local_domain: FailureDomainId) -> None:
        self._fleet_view = fleet_view
        self._local_domain = local_domain
        self._rng = random.Random()
        self.backpressure: dict[InstanceIncarnation, Backpressure] = {}
        self.ended_at: dict[InstanceIncarnation, float] = {}
        self._pools: dict[_PoolKey, TargetPool] = {}
        self._subset: Subset | None = None
        self._process_count = 1
        self._peer_loads = PeerLoads()
        self._load_changes = LoadChangeTracker()
        self.report_interval_s = 0.0
        self._loads_expired_at: float | None = None
        self._catalog: Catalog | None = None
        self._parts: dict[InstancePartition, _InstancePartTargets] = {}

    def find_pool(self, service: ServiceName, model: ModelName | None) -> TargetPool:
        """Return the pool of a service or of one of its models.

        A service or model that the catalog doesn't name gets an empty pool,
        which isn't kept.
        """
        key = (service, model)
        pool = self._pools.get(key)
        if pool is None:
            pool = TargetPool(self._local_domain, self._rng, self.backpressure)
            if self._subset is not None:
                pool.set_subset(self._subset, self._process_count)
            pool.set_evacuated(self._fleet_view.evacuated)
            if self.is_named(service, model):
                self._pools[key] = pool
        return pool

    def is_named(self, service: ServiceName, model: ModelName | None) -> bool:
        """Return whether the catalog names a service, and its model if given.

        Anything may be named until a catalog is known.
        """
        catalog = self._fleet_view.catalog
        if catalog is None:
            return True
        spec = catalog.services.get(service)
        if spec is None or model is None:
            return spec is not None
        return spec.engine is not None and spec.engine.find_model(model) is not None

    def record_ended(self, incarnation: InstanceIncarnation, now: float) -> None:
        """Record that an incarnation was found to have ended."""
        self.ended_at.setdefault(incarnation, now)
        if len(self.ended_at) > MAX_INCARNATIONS:
            del self.ended_at[next(iter(self.ended_at))]

    def has_ended(self, incarnation: InstanceIncarnation) -> bool:
        """Return whether an incarnation is known to have ended.

        It refuses connections, or its record was removed or replaced.
        """
        if incarnation in self.ended_at:
            return True
        return self._fleet_view.has_ended(*incarnation)

    def remember_backpressure(self, incarnation: InstanceIncarnation) -> Backpressure:
        """Return what is kept of an upstream, from now on if it is new."""
        known = self.backpressure.get(incarnation)
        if known is not None:
            return known
        if len(self.backpressure) >= MAX_INCARNATIONS:
            del self.backpressure[next(iter(self.backpressure))]
        known = self.backpressure[incarnation] = Backpressure()
        state = self.find_state(incarnation.instance)
        if state is not None and state.target.incarnation == incarnation:
            state.backpressure = known
        return known

    def set_subset(self, subset: Subset, process_count: int) -> None:
        """Set which entry processes share which targets.

        Args:
            subset: The processes that share targets with this one.
            process_count: Number of entry processes in the fleet.
        """
        self._subset, self._process_count = subset, process_count
        for pool in self._pools.values():
            pool.set_subset(subset, process_count)

    def apply_evacuations(self) -> None:
        """Close the targets in evacuated failure domains, open all others."""
        for pool in self._pools.values():
            pool.set_evacuated(self._fleet_view.evacuated)

    def __iter__(self) -> Iterator[TargetState]:
        for pool in self._pools.values():
            yield from pool

    def list_pools(self) -> list[TargetPool]:
        """Return the pools of all services and models."""
        return list(self._pools.values())

    def list_paces(self) -> dict[ModelName, list[float]]:
        """Return the paces of the targets of each model that has any."""
        return {
            model: [state.pace for state in pool]
            for (_, model), pool in self._pools.items()
            if model is not None and len(pool)
        }

    def find_state(self, instance: InstanceId) -> TargetState | None:
        """Return the state of the target at an instance, or None."""
        for pool in self._pools.values():
            state = pool.get(instance)
            if state is not None:
                return state
        return None

    def list_busy_states(self) -> list[TargetState]:
        """Return the states of targets at which this process has requests."""
        return [
            state
            for pool in self._pools.values()
            for state in pool.busy
            if not state.removed
        ]

    def list_demands(
        self, estimate_demand: Callable[[TargetPool], float]
    ) -> list[ModelDemandReport]:
        """Return how many slots all requests for each model would use.

        Args:
            estimate_demand: Returns this number for the pool of a model.
        """
        return [
            ModelDemandReport(service, model, round(estimate_demand(pool), 2))
            for (service, model), pool in self._pools.items()
            if model is not None
        ]

    # Load reports between processes.

    def collect_load_changes(self) -> dict[InstanceId, TargetLoad]:
        """Return the local loads that peers don't know yet.

        They count as reported from then on.
        """
        return self._load_changes.collect_changes(self.list_local_loads())

    def list_local_loads(self) -> dict[InstanceId, TargetLoad]:
        """Return this process's requests, and known paces, by target."""
        return {
            state.target.instance: TargetLoad(
                state.local_requests, state.local_unread_tokens, state.speed.reported
            )
            for pool in self._pools.values()
            for state in pool.slow.list_reported(pool.busy)
        }

    def apply_load_report(self, report: LoadReport, now: float) -> None:
        """Apply another process's load report."""
        self._update_peer_loads(
            self._peer_loads.apply_report(
                report.node,
                report.loads,
                now,
                complete=report.whole,
                interval_s=report.interval_s,
            ),
            now,
        )

    def expire_loads(self, now: float) -> None:
        """Remove the loads of processes that no longer report them.

        Paces that are no longer measured decay.
        """
        self._update_peer_loads(self._peer_loads.expire(now), now)
        if self._loads_expired_at is not None:
            interval_s = now - self._loads_expired_at
            self.report_interval_s = interval_s if weigh_own_load(interval_s) else 0.0
        self._loads_expired_at = now
        own_load_weight = weigh_own_load(
            max(self.report_interval_s, self._peer_loads.measure_interval())
        )
        for pool in self._pools.values():
            pool.own_load_weight = own_load_weight
            pool.slow.update(pool.busy, now)

    def measure_peer_load_age(self, now: float) -> float:
        """Return the age of the oldest load report in use, in seconds."""
        return self._peer_loads.measure_oldest_age(now)

    def _update_peer_loads(self, changed: Collection[InstanceId], now: float) -> None:
        if not changed:
            return
        for pool in self._pools.values():
            for instance in changed:
                pool.apply_peer_load(
                    instance,
                    self._peer_loads.get(instance),
                    self._peer_loads.get_paces(instance),
                    now,
                )

    def refresh(self, now: float) -> list[TargetState]:
        """Update the targets from the fleet; return the removed ones.

        Targets that are another group or another incarnation now are among the
        removed ones.
        """
        catalog = self._fleet_view.catalog
        if catalog is None:
            return []
        if catalog is not self._catalog:
            self._catalog = catalog
            self._parts.clear()
            self._set_engine_timings(catalog)
        changed = self._refresh_parts(catalog)
        removed = []
        for key in changed:
            wanted = [
                target
                for part in self._parts.values()
                for target in part.targets.get(key, ())
            ]
            pool = self.find_pool(*key)
            was_draining = {state for state in pool if state.target.draining}
            removed += pool.update(wanted, now)
            _log_drained([one for one in pool if one not in was_draining])
            self._update_peer_loads([target.instance for target in wanted], now)
        for state in removed:
            _log.info(
                "target-gone",
                instance=state.target.instance,
                group=state.target.group or "",
                own=state.local_requests,
            )
        self._drop_unnamed_pools()
        return removed

    def _drop_unnamed_pools(self) -> None:
        """Drop the pools that the catalog no longer names, once unused."""
        for key, pool in list(self._pools.items()):
            if not pool.busy and not self.is_named(*key):
                del self._pools[key]

    def _set_engine_timings(self, catalog: Catalog) -> None:
        for service, spec in catalog.services.items():
            if spec.engine is None:
                continue
            for model in spec.engine.models:
                timing = EngineTiming.from_specs(spec.engine, model)
                self.find_pool(service, model.name).forecast.timing = timing

    def _refresh_parts(self, catalog: Catalog) -> set[_PoolKey]:
        """Find the targets of changed parts; return the changed pools."""
        instances = self._fleet_view.instance_table
        has_no_parts = not self._parts
        changed: set[_PoolKey] = set(self._pools) if has_no_parts else set()
        for part in instances.list_partitions():
            version = instances.get_version(part)
            known = self._parts.get(part)
            if known is not None and known.version == version:
                continue
            before = {} if known is None else known.targets
            targets = _find_targets(part, instances.list_reachable(part), catalog)
            self._parts[part] = _InstancePartTargets(version, targets)
            changed |= {
                key
                for key in before.keys() | targets.keys()
                if before.get(key) != targets.get(key)
            }
        return changed


def _log_drained(states: Iterable[TargetState]) -> None:
    """Log those of some targets that get no new requests from now on."""
    for state in states:
        if state.target.draining:
            _log.info(
                "target-closed",
                instance=state.target.instance,
                born=state.target.started_at_ms or 0,
                group=state.target.group or "",
                own=state.local_requests,
            )


def _find_targets(
    part: InstancePartition, instances: Iterable[Instance], catalog: Catalog
) -> dict[_PoolKey, list[Target]]:
    """Return the targets of one part of the fleet by pool."""
    spec = catalog.services.get(part.service)
    if spec is None:
        # The operator's configuration has no such service, so that no route
        # leads to it.
        return {}
    if spec.engine is None:
        return {
            (part.service, None): [
                _make_plain_target(instance) for instance in instances
            ]
        }
    sizes = {model.name: model.size for model in spec.engine.models}
    found: defaultdict[_PoolKey, list[Target]] = defaultdict(list)
    for group in find_complete_groups(instances, sizes):
        found[part.service, group.model].append(
            _make_group_target(group, spec.engine.slots)
        )
    return dict(found)


def _make_plain_target(instance: Instance) -> Target:
    return Target(
        instance.id,
        instance.address,
        instance.failure_domain,
        max(1, instance.slots),
        started_at_ms=instance.started_at_ms,
        draining=instance.state is InstanceState.LEAVING,
    )


def _make_group_target(group: CompleteGroup, slots: int) -> Target:
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
