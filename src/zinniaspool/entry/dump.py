"""The requests' part of the state dump."""

import asyncio
from dataclasses import dataclass

from zinniaspool.core.ids import CustomerId, UpstreamId
from zinniaspool.core.requests import CustomerQueueState, UpstreamState
from zinniaspool.entry.gate import Gate
from zinniaspool.entry.once import KeyedCallHandler, KeyedCallState
from zinniaspool.entry.services import ServiceIndex, ServiceLine

__all__ = ["RequestsState", "dump_requests"]


@dataclass(frozen=True, slots=True)
class UpstreamDump:
    """One upstream as this process sees it.

    Attributes:
        id: Which.
        own: This process's requests there.
        others: Others' requests that are thought to be there.
        slots: Requests that it runs at a time.
        slowness: Its latency as a multiple of the median one.
        leaving: Whether it gets nothing more.
        ejected_for_s: Time until it is tried again; 0 when not ejected.
        fresh_for_s: Time until its group's reports are too old; None for a
            plain service.
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
    """One model or plain service."""

    name: str
    capacity: int
    customers: dict[CustomerId, CustomerQueueState]
    upstreams: list[UpstreamDump]


@dataclass(frozen=True, slots=True)
class RequestsState:
    """All that decides about requests here.

    Attributes:
        in_progress: Requests that have begun.
        brownout: How many steps of less urgent requests are shed.
        services: Models and plain services.
        keys: Keyed calls.
    """

    in_progress: int
    brownout: int
    services: list[ServiceDump]
    keys: KeyedCallState


def dump_requests(
    index: ServiceIndex, gate: Gate, once: KeyedCallHandler
) -> RequestsState:
    """Return the state of the requests now."""
    now = asyncio.get_running_loop().time()
    return RequestsState(
        gate.in_progress,
        gate.brownout.level,
        [_dump_service(line, now) for line in index.lines()],
        once.describe(),
    )


def _dump_service(line: ServiceLine, now: float) -> ServiceDump:
    upstreams = [
        _dump_upstream(state, now)
        for pool in line.pools.values()
        for state in pool.list_states()
    ]
    return ServiceDump(line.name, line.capacity, line.admission.describe(), upstreams)


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
