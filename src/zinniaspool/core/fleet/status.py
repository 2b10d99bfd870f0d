"""What an engine says of itself when it is asked."""

import msgspec

from zinniaspool.core.fleet.instances import Membership
from zinniaspool.core.ids import ModelName

__all__ = ["EngineStatus"]


class EngineStatus(msgspec.Struct, frozen=True):
    """What an engine answers about itself when asked.

    Attributes:
        membership: Its replica group.
        model: The model in its accelerators' memory.
        staged: Models in its host's memory.
        running: Requests that it runs.
        waiting: Requests that wait there.
        slowness: How many times as long as usual it takes.
        born: Unix milliseconds of its start; None where it does not tell.
    """

    membership: Membership | None
    model: ModelName | None
    staged: tuple[ModelName, ...]
    running: int
    waiting: int
    slowness: float
    born: int | None = None
