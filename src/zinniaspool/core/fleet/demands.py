"""How much the models are asked for, summed on the way to the holder."""

from collections import defaultdict

import msgspec

from zinniaspool.core.ids import ModelName, NodeId, ServiceName

__all__ = ["DemandSums", "ModelDemandNote"]

FRESH_S = 1.0
"""For how long a follower's last word counts, in seconds: it asks several
times as often, and one that follows another process now counts there."""


class ModelDemandNote(msgspec.Struct, frozen=True):
    """How many slots of one model would take what is asked for somewhere.

    Attributes:
        service: Which service's.
        model: Which model.
        busy: Slots, by the rate of requests and how long each stays.
    """

    service: ServiceName
    model: ModelName
    busy: float


class DemandSums:
    """What the followers of a process say, each with its own followers' part.

    Each question for news carries a sum. So the holder learns the whole
    fleet's demand from the few that ask it, and nobody sends a word for it.
    """

    def __init__(self) -> None:
        self._told: dict[NodeId, tuple[float, list[ModelDemandNote]]] = {}

    def take(
        self, follower: NodeId, demands: list[ModelDemandNote], now: float
    ) -> None:
        """Take a follower's last word."""
        self._told[follower] = (now, demands)

    def add_up(self, now: float) -> list[ModelDemandNote]:
        """Return the sum by model of what counts now."""
        sums: defaultdict[tuple[ServiceName, ModelName], float] = defaultdict(float)
        for follower, (at, demands) in list(self._told.items()):
            if now - at > FRESH_S:
                del self._told[follower]
                continue
            for one in demands:
                sums[one.service, one.model] += one.busy
        return [
            ModelDemandNote(service, model, round(busy, 2))
            for (service, model), busy in sums.items()
        ]
