"""Where requests go: targets, their load, silence, and repeats."""

from zinniaspool.core.dispatch.pools import (
    PlainPick,
    RequestSize,
    Target,
    TargetPool,
    TargetState,
)
from zinniaspool.core.dispatch.repeats import RepeatLimits, RepeatWindow
from zinniaspool.core.dispatch.silence import (
    SilenceLimits,
    find_silent,
    note_progress,
    rest_silent,
)

__all__ = [
    "PlainPick",
    "RepeatLimits",
    "RepeatWindow",
    "RequestSize",
    "SilenceLimits",
    "Target",
    "TargetPool",
    "TargetState",
    "find_silent",
    "note_progress",
    "rest_silent",
]
