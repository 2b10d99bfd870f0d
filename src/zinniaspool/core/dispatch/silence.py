"""Heads that say nothing any more, long before the store knows.

A group that has lost a VM stands still: its head keeps every connection open
and takes new requests, for seconds. Its streams show it first. All of them
stop at one moment, while those of a sound group go on with each pass.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from zinniaspool.core.dispatch.pools import TargetState

__all__ = ["SilenceLimits", "find_silent"]


@dataclass(frozen=True, slots=True)
class SilenceLimits:
    """How long a head may say nothing, in seconds.

    Attributes:
        writing_s: While streams of ours are being written there. A pass takes
            some 60 ms, and up to twice that with prompts to read.
        waiting_s: While requests of ours only wait there for a first event,
            which may take as long as the prompts before them.
        resting_s: For how long a silent one is not used before it is tried
            again; it is used at once when it says something.
    """

    writing_s: float = 0.25
    waiting_s: float = 0.6
    resting_s: float = 2.0


def find_silent(
    states: Iterable[TargetState], limits: SilenceLimits, now: float
) -> list[TargetState]:
    """Return the targets with requests of ours that have fallen silent."""
    found = []
    for state in states:
        if not state.own or state.target.group is None:
            continue
        allowed = limits.writing_s if state.writing else limits.waiting_s
        if now - state.progress_at > allowed:
            found.append(state)
    return found
