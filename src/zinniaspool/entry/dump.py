"""The section of the state dump about requests."""

import asyncio
from dataclasses import dataclass

from zinniaspool.core.ids import CustomerId, UpstreamId
from zinniaspool.core.requests import CustomerQueueState, UpstreamState
from zinniaspool.entry.gate import AdmissionQueues
from zinniaspool.entry.once import KeyedCallHandler, KeyedCallState
from zinniaspool.entry.services import ServiceIndex, ServiceState

__all__ = ["RequestsState", "dump_requests"]


@dataclass(frozen=True, slots=True)
class UpstreamDump:
    """One upstream as known to this process.

    Attributes:
        id: Identifier of the upstream.
        own: Requests of this process at the upstream.
        others: Estimated requests of other processes at the upstream.
        slots: Number of requests that the upstream runs at a time.
        slowness: Latency of the upstream as a multiple of the median latency.
        leaving: Whether the upstream is leaving and gets no more requests.
        ejected_for_s: Seconds until a request may probe the upstream; 0 if
            the upstream is not ejected.
        fresh_for_s: Seconds until the reports about the group are too old;
            None for a plain service.
    """

    id: UpstreamId
    own: int
    others: float
    slots: int
    slowness: float
    leaving: bool
    ejected_for_s: float
    fresh_for_s: float | None


@dataclass(frozen=True, slots=True)
class ServiceDump:
    """One model or plain service.

    Attributes:
        name: ``models/NAME`` or ``services/NAME``.
        capacity: Number of requests that all upstreams together run at a time.
        customers: State of each customer's requests.
        upstreams: Upstreams of the model or plain service.
    """

    name: str
    capacity: int
    customers: dict[CustomerId, CustomerQueueState]
    upstreams: list[UpstreamDump]


@dataclass(frozen=True, slots=True)
class RequestsState:
    """All state by which this process decides about requests.

    Attributes:
        in_progress: Number of admitted requests that have not ended.
        brownout: Number of steps of less urgent requests that are shed.
        services: Models and plain services.
        keys: State of the calls with an idempotency key.
    """

    in_progress: int
    brownout: int
    services: list[ServiceDump]
    keys: KeyedCallState


def dump_requests(
    index: ServiceIndex, queues: AdmissionQueues, once: KeyedCallHandler
) -> RequestsState:
    """Return the current state of the requests."""
    now = asyncio.get_running_loop().time()
    return RequestsState(
        queues.in_progress,
        queues.brownout.level,
        [_dump_service(service, now) for service in index.list_services()],
        once.describe(),
    )


def _dump_service(service: ServiceState, now: float) -> ServiceDump:
    upstreams = [
        _dump_upstream(state, now)
        for pool in service.pools.values()
        for state in pool.list_states()
    ]
    return ServiceDump(
        service.name, service.capacity, service.admission.describe(), upstreams
    )


def _dump_upstream(state: UpstreamState, now: float) -> UpstreamDump:
    fresh_for_s = state.fresh_until - now
    return UpstreamDump(
        state.upstream.id,
        state.local_load,
        round(state.remote_load, 2),
        state.upstream.slots,
        round(state.slowness, 2),
        state.leaving,
        max(0.0, state.ejected_until - now) if state.ejections else 0.0,
        None if fresh_for_s == float("inf") else round(fresh_for_s, 3),
    )
