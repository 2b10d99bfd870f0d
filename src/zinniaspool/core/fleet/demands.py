"""The demand for each model, summed on its way to the holder."""

from collections import defaultdict

import msgspec

from zinniaspool.core.ids import ModelName, NodeId, ServiceName

__all__ = ["ClassDigest", "DemandTotals", "ModelDemandReport", "ModelDigest"]

REPORT_LIFETIME_S = 1.0
"""Seconds for which a follower's last report counts. Followers report several
times as often, and a follower that has changed to another process is counted
there by then."""


class ModelDemandReport(msgspec.Struct, frozen=True):
    """The number of slots that the demand for one model would occupy.

    Attributes:
        service: The model's service.
        model: The model.
        busy: Number of slots, derived from the rate of requests and from how
            long each request stays.
    """

    service: ServiceName
    model: ModelName
    busy: float


class ClassDigest(msgspec.Struct, frozen=True, array_like=True):
    """One process's demand for a model in one class of urgency.

    Amounts are in the coarse units of ``zinniaspool.core.dispatch.digests``.

    Attributes:
        urgency: 0 is the most urgent.
        demand: Slots that all requests of the class would use.
        used: Slots that the admitted ones use.
        backlog: Time until the last refused caller comes back, in seconds.
        customers: The largest customers, five bytes each: three of the name's
            hash, the demand and the use.
        rest: Number of the other customers.
    """

    urgency: int
    demand: int
    used: int
    backlog: int
    customers: bytes = b""
    rest: int = 0


class ModelDigest(msgspec.Struct, frozen=True, array_like=True):
    """One process's demand for a model, for its peers of the subset.

    Attributes:
        model: Hash of the names of the service and the model.
        classes: The demand by urgency.
    """

    model: int
    classes: list[ClassDigest]


class DemandTotals:
    """The demand that a process's followers report, by model.

    Each follower's report includes the demand of its own followers, and is
    part of the follower's request for updates. So the holder learns the whole
    fleet's demand from the few processes that follow it directly, without any
    extra messages.
    """

    def __init__(self) -> None:
        self._reports: dict[NodeId, tuple[float, list[ModelDemandReport]]] = {}

    def update(
        self, follower: NodeId, demands: list[ModelDemandReport], now: float
    ) -> None:
        """Replace a follower's last report."""
        self._reports[follower] = (now, demands)

    def sum_by_model(self, now: float) -> list[ModelDemandReport]:
        """Return the sums over the reports that count at this time."""
        sums: defaultdict[tuple[ServiceName, ModelName], float] = defaultdict(float)
        for follower, (received_at, demands) in list(self._reports.items()):
            if now - received_at > REPORT_LIFETIME_S:
                del self._reports[follower]
                continue
            for demand in demands:
                sums[demand.service, demand.model] += demand.busy
        return [
            ModelDemandReport(service, model, round(busy, 2))
            for (service, model), busy in sums.items()
        ]
