"""The models and plain services that callers can name, indexed."""

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
from zinniaspool.entry.fleet import FleetView, ServingUpstream

__all__ = ["ServiceIndex", "ServiceKind", "ServiceLine"]

ServiceKind = str
MODELS: ServiceKind = "models"
SERVICES: ServiceKind = "services"


@dataclass(slots=True)
class ServiceLine:
    """One model or plain service: who may use it, and where it runs.

    Attributes:
        name: ``models/NAME`` or ``services/NAME``.
        shares: Its customers' parts.
        customers: Who may use it.
        admission: Admits its requests.
        non_idempotent: Path prefixes of calls that may run at most once.
        urgent: Whether its calls go on when this process is short of itself.
        pools: Its upstreams, by the customers that may use them.
        routes: The pools of each customer.
    """

    name: str
    shares: tuple[CustomerShare, ...] = ()
    customers: frozenset[CustomerId] = frozenset()
    admission: Admission = field(default_factory=Admission)
    non_idempotent: tuple[str, ...] = ()
    urgent: bool = False
    pools: dict[tuple[CustomerId, ...], UpstreamPool] = field(default_factory=dict)
    routes: dict[CustomerId, list[UpstreamPool]] = field(default_factory=dict)

    @property
    def capacity(self) -> int:
        """Requests that all its upstreams run at a time."""
        return sum(pool.slots for pool in self.pools.values())

    def find_pool(self, customer: CustomerId) -> UpstreamPool | None:
        """Return the pool for a customer's request, or None without one."""
        pools = self.routes.get(customer, ())
        if len(pools) == 1:
            return pools[0] if len(pools[0]) else None
        filled = [pool for pool in pools if len(pool)]
        return min(filled, key=lambda pool: pool.utilization) if filled else None

    def set_shares(self, shares: tuple[CustomerShare, ...]) -> None:
        """Take the customers' parts."""
        self.shares = shares
        self.customers = frozenset(share.customer for share in shares)

    def set_pools(
        self,
        upstreams: Mapping[tuple[CustomerId, ...], list[UpstreamReport]],
        make_pool: "_PoolMaker",
        now: float,
    ) -> None:
        """Take the upstreams that there are now."""
        for customers in upstreams:
            if customers not in self.pools:
                self.pools[customers] = make_pool.make()
        for customers, pool in self.pools.items():
            pool.sync(upstreams.get(customers, ()), now)
        self.routes = {}
        for customers, pool in self.pools.items():
            for customer in customers:
                self.routes.setdefault(customer, []).append(pool)


@dataclass(frozen=True, slots=True)
class _PoolMaker:
    source: random.Random
    own_domain: FailureDomainId

    def make(self) -> UpstreamPool:
        return UpstreamPool(self.source, self.own_domain)


class ServiceIndex:
    """All models and plain services, found by name in constant time.

    Args:
        fleet: What is known of the upstreams.
        source: The random source of the routing.
        own_domain: The failure domain of this process.
    """

    def __init__(
        self, fleet: FleetView, source: random.Random, own_domain: FailureDomainId
    ) -> None:
        self._fleet = fleet
        self._make_pool = _PoolMaker(source, own_domain)
        self._lines: dict[str, ServiceLine] = {}

    def configure(self, configuration: Configuration, now: float) -> None:
        """Take a newer configuration."""
        lines = {}
        for model in configuration.rules.models:
            line = self._get_line(f"{MODELS}/{model.name}")
            line.set_shares(_read_shares(model.shares))
            lines[line.name] = line
        for service in configuration.rules.services:
            line = self._get_line(f"{SERVICES}/{service.name}")
            line.set_shares(_read_shares(service.shares))
            line.non_idempotent = service.non_idempotent
            line.urgent = service.urgent
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
            line.set_pools({customers: upstreams}, self._make_pool, now)
            lines[line.name] = line
        self._lines = lines
        self.sync(now)

    def sync(self, now: float) -> None:
        """Take the groups that serve now."""
        found: dict[str, list[ServingUpstream]] = {}
        for serving in self._fleet.list_serving(now):
            found.setdefault(f"{MODELS}/{serving.model}", []).append(serving)
        for line in self._lines.values():
            if line.name.startswith(MODELS):
                upstreams = _group_by_customers(found.get(line.name, ()))
                line.set_pools(upstreams, self._make_pool, now)

    def find(
        self, kind: ServiceKind, name: ServiceName | str, customer: CustomerId
    ) -> ServiceLine | None:
        """Return a model or service, if the customer has a share of it."""
        line = self._lines.get(f"{kind}/{name}")
        return line if line is not None and customer in line.customers else None

    def lines(self) -> Iterable[ServiceLine]:
        """Return all models and services."""
        return self._lines.values()

    def step(self, now: float) -> None:
        """Compare the upstreams' speeds; about once a second."""
        for line in self._lines.values():
            for pool in line.pools.values():
                pool.update_slowness(now)

    def share(
        self,
        elsewhere: Mapping[str, Mapping[CustomerId, float]],
        peers: PeerCounts,
        now: float,
    ) -> list[Ticket]:
        """Work the shares out anew; return the requests they admit.

        Args:
            elsewhere: Demands of the other entry processes, by service.
            peers: Which entry processes there are.
            now: Seconds.
        """
        admitted = []
        for line in self._lines.values():
            shares = compute_local_shares(
                line.capacity,
                line.shares,
                line.admission.list_demands(),
                elsewhere.get(line.name, {}),
                peers,
            )
            weights = {share.customer: share.weight for share in line.shares}
            admitted += line.admission.set_shares(shares, weights, now)
        return admitted

    def _get_line(self, name: str) -> ServiceLine:
        return self._lines.get(name) or ServiceLine(name)


def _read_shares(shares: tuple[Share, ...]) -> tuple[CustomerShare, ...]:
    return tuple(
        CustomerShare(share.customer, share.guaranteed, share.weight)
        for share in sorted(shares, key=lambda share: share.customer)
    )


def _group_by_customers(
    serving: Iterable[ServingUpstream],
) -> dict[tuple[CustomerId, ...], list[UpstreamReport]]:
    found: dict[tuple[CustomerId, ...], list[UpstreamReport]] = {}
    for each in serving:
        found.setdefault(each.customers, []).append(each.fresh)
    return found
