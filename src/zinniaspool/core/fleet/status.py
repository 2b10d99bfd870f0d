"""The status that an engine reports of itself."""

import msgspec

from zinniaspool.core.fleet.instances import Membership
from zinniaspool.core.ids import ModelName

__all__ = ["EngineStatus"]


class EngineStatus(msgspec.Struct, frozen=True):
    """What an engine answers when it is queried.

    Attributes:
        membership: Its replica group.
        model: The model in its accelerators' memory.
        staged: Models in its host's memory.
        running: Number of requests that it runs.
        waiting: Number of requests that wait at the engine.
        slowness: Factor by which it takes longer than usual.
        born: Unix milliseconds of its start; None if it does not report that.
        is_leaving: Whether it reports that it is leaving.
    """

    membership: Membership | None
    model: ModelName | None
    staged: tuple[ModelName, ...]
    running: int
    waiting: int
    slowness: float
    born: int | None = None
    is_leaving: bool = False
