"""Index of the models and plain services that callers can name."""

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from zinniaspool.core.deployment import Configuration, Share
from zinniaspool.core.ids import CustomerId, FailureDomainId, ServiceName, UpstreamId
from zinniaspool.core.requests import (
    Admission,
    CustomerShare,
    PeerCounts,
    Ticket,
    Upstream,
    UpstreamPool,
    UpstreamReport,
    compute_local_shares,
)
from zinniaspool.entry.fleet import ServingUpstream, ServingUpstreamTable

__all__ = ["ServiceIndex", "ServiceKind", "ServiceState"]

ServiceKind = str
MODELS: ServiceKind = "models"
SERVICES: ServiceKind = "services"


@dataclass(slots=True)
class ServiceState:
    """The state of one model or plain service in this process.

    Attributes:
        name: ``models/NAME`` or ``services/NAME``.
        shares: Customers' shares of the service.
        customers: Customers that may use the service.
        admission: Admits the requests for the service.
        non_idempotent: Path prefixes of calls that may run at most once.
        urgent: Whether calls of the service are still admitted while this
            process is overloaded and sheds requests.
        pools: Pools of upstreams, by the customers that may use them.
        pools_by_customer: Pools that each customer may use.
    """

    name: str
    shares: tuple[CustomerShare, ...] = ()
    customers: frozenset[CustomerId] = frozenset()
    admission: Admission = field(default_factory=Admission)
    non_idempotent: tuple[str, ...] = ()
    urgent: bool = False
    pools: dict[tuple[CustomerId, ...], UpstreamPool] = field(default_factory=dict)
    pools_by_customer: dict[CustomerId, list[UpstreamPool]] = field(
        default_factory=dict
    )

    @property
    def capacity(self) -> int:
        """Number of requests that all upstreams together run at a time."""
        return sum(pool.slots for pool in self.pools.values())

    def find_pool(self, customer: CustomerId) -> UpstreamPool | None:
        """Return the customer's least utilized non-empty pool, or None."""
        pools = self.pools_by_customer.get(customer, ())
        if len(pools) == 1:
            return pools[0] if len(pools[0]) else None
        non_empty = [pool for pool in pools if len(pool)]
        return min(non_empty, key=lambda pool: pool.utilization) if non_empty else None

    def set_shares(self, shares: tuple[CustomerShare, ...]) -> None:
        """Replace the customers' shares."""
        self.shares = shares
        self.customers = frozenset(share.customer for share in shares)

    def sync_pools(
        self,
        upstreams: Mapping[tuple[CustomerId, ...], list[UpstreamReport]],
        pool_factory: "_PoolFactory",
        now: float,
    ) -> None:
        """Replace the upstreams of all pools by the current ones.

        Args:
            upstreams: Current upstreams, by the customers that may use them.
            pool_factory: Makes the pools of customers that have none yet.
            now: Current time in seconds.
        """
        for customers in upstreams:
            if customers not in self.pools:
                self.pools[customers] = pool_factory.make()
        for customers, pool in self.pools.items():
            pool.sync(upstreams.get(customers, ()), now)
        self.pools_by_customer = {}
        for customers, pool in self.pools.items():
            for customer in customers:
                self.pools_by_customer.setdefault(customer, []).append(pool)


@dataclass(frozen=True, slots=True)
class _PoolFactory:
    """Makes pools that share a random number generator."""

    rng: random.Random
    local_domain: FailureDomainId

    def make(self) -> UpstreamPool:
        return UpstreamPool(self.rng, self.local_domain)


class ServiceIndex:
    """All models and plain services, found by name in constant time.

    Args:
        upstreams: Groups that serve the models.
        rng: Random number generator for the choice of upstreams.
        local_domain: Failure domain of this process.
    """

    def __init__(
        self,
        upstreams: ServingUpstreamTable,
        rng: random.Random,
        local_domain: FailureDomainId,
    ) -> None:
        self._upstreams = upstreams
        self._pool_factory = _PoolFactory(rng, local_domain)
        self._services: dict[str, ServiceState] = {}

    def configure(self, configuration: Configuration, now: float) -> None:
        """Apply a newer configuration."""
        services = {}
        for model in configuration.rules.models:
            state = self._get_or_make_service(f"{MODELS}/{model.name}")
            state.set_shares(_make_customer_shares(model.shares))
            services[state.name] = state
        for service in configuration.rules.services:
            state = self._get_or_make_service(f"{SERVICES}/{service.name}")
            state.set_shares(_make_customer_shares(service.shares))
            state.non_idempotent = service.non_idempotent
            state.urgent = service.urgent
            customers = tuple(sorted(share.customer for share in service.shares))
            upstreams = [
                UpstreamReport(
                    Upstream(
                        UpstreamId(upstream.address),
                        upstream.address,
                        upstream.failure_domain,
                        service.slots_per_upstream,
                    )
                )
                for upstream in service.upstreams
            ]
            state.sync_pools({customers: upstreams}, self._pool_factory, now)
            services[state.name] = state
        self._services = services
        self.sync_groups(now)

    def sync_groups(self, now: float) -> None:
        """Replace the upstreams of all models by the groups that serve now."""
        groups: dict[str, list[ServingUpstream]] = {}
        for serving in self._upstreams.list_serving(now):
            groups.setdefault(f"{MODELS}/{serving.model}", []).append(serving)
        for state in self._services.values():
            if state.name.startswith(MODELS):
                upstreams = _group_by_customers(groups.get(state.name, ()))
                state.sync_pools(upstreams, self._pool_factory, now)

    def find(
        self, kind: ServiceKind, name: ServiceName | str, customer: CustomerId
    ) -> ServiceState | None:
        """Return a model or service if the customer has a share of it."""
        state = self._services.get(f"{kind}/{name}")
        return state if state is not None and customer in state.customers else None

    def list_services(self) -> Iterable[ServiceState]:
        """Return all models and services."""
        return self._services.values()

    def update_slowness(self, now: float) -> None:
        """Update the slowness of the upstreams; called about once a second."""
        for state in self._services.values():
            for pool in state.pools.values():
                pool.update_slowness(now)

    def update_shares(
        self,
        remote_demands: Mapping[str, Mapping[CustomerId, float]],
        peers: PeerCounts,
        now: float,
    ) -> list[Ticket]:
        """Recompute the local shares; return the requests that they admit.

        Args:
            remote_demands: Demands of the other entry processes, by service.
            peers: Entry processes between which the shares are divided.
            now: Current time in seconds.
        """
        admitted = []
        for state in self._services.values():
            shares = compute_local_shares(
                state.capacity,
                state.shares,
                state.admission.list_demands(),
                remote_demands.get(state.name, {}),
                peers,
            )
            weights = {share.customer: share.weight for share in state.shares}
            admitted += state.admission.set_shares(shares, weights, now)
        return admitted

    def _get_or_make_service(self, name: str) -> ServiceState:
        return self._services.get(name) or ServiceState(name)


def _make_customer_shares(shares: tuple[Share, ...]) -> tuple[CustomerShare, ...]:
    return tuple(
        CustomerShare(share.customer, share.guaranteed, share.weight)
        for share in sorted(shares, key=lambda share: share.customer)
    )


def _group_by_customers(
    serving: Iterable[ServingUpstream],
) -> dict[tuple[CustomerId, ...], list[UpstreamReport]]:
    reports: dict[tuple[CustomerId, ...], list[UpstreamReport]] = {}
    for upstream in serving:
        reports.setdefault(upstream.customers, []).append(upstream.report)
    return reports
