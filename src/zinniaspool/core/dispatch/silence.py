"""Heads that say nothing any more, long before the store knows.

A group that has lost a VM stands still: its head keeps every connection open
and takes new requests, for seconds. Its streams show it first. All of them
stop at one moment, while those of a sound group go on with each pass.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from zinniaspool.core.dispatch.pools import TargetState

__all__ = ["SilenceLimits", "find_silent", "note_progress", "rest_silent"]


@dataclass(frozen=True, slots=True)
class SilenceLimits:
    """How long a head may say nothing, in seconds.

    Attributes:
        writing_s: While streams of ours are being written there. A pass takes
            some 60 ms, and up to twice that with prompts to read.
        waiting_s: While requests of ours only wait there for a first event,
            which may take as long as the prompts before them.
        moving_s: After how long also requests that only wait are moved, where
            another target has room for them.
        resting_s: For how long a silent one is not used before it is tried
            again; doubled each time that it is silent again. It is used at
            once when it says something.
        most_resting_s: The longest such time.
    """

    writing_s: float = 0.25
    waiting_s: float = 0.6
    moving_s: float = 0.9
    resting_s: float = 2.0
    most_resting_s: float = 16.0


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


def rest_silent(state: TargetState, limits: SilenceLimits, now: float) -> None:
    """Leave a silent target alone for a while.

    A head may be silent towards some processes only, or take requests and
    answer none, while its VMs answer the holder well. Tried again at the same
    pace, it would swallow a few callers' requests every other second.
    """
    resting_s = limits.resting_s * 2.0**state.silences
    state.silent_until = now + min(limits.most_resting_s, resting_s)
    state.silences += 1


def note_progress(state: TargetState, now: float) -> None:
    """Take that something came from a target."""
    state.progress_at, state.silent_until, state.silences = now, 0.0, 0
