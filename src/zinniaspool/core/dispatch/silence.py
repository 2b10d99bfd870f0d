"""Heads that say nothing any more, long before the store knows.

A group that has lost a VM stands still: its head keeps every connection open
and takes new requests, for seconds. Its streams show it first. All of them
stop at one moment, while those of a sound group go on with each pass.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from math import inf

from zinniaspool.core.dispatch.pools import TargetPool
from zinniaspool.core.dispatch.targets import TargetState

__all__ = [
    "SilenceLimits",
    "doubt",
    "find_next_silence",
    "find_silent",
    "rest_silent",
]


@dataclass(frozen=True, slots=True)
class SilenceLimits:
    """How long a head may say nothing, in seconds.

    Attributes:
        writing_s: At most, while streams of ours are being written there:
            less where its passes are predicted to be shorter.
        waiting_s: While requests of ours only wait there for a first event,
            which may take as long as the prompts before them.
        resting_s: For how long a silent one is not used before it is tried
            again; doubled each time that it is silent again. It is used at
            once when it says something.
        most_resting_s: The longest such time.
        doubted_s: For how long one is not used that may be silent: the holder
            has asked its VMs by then, and its verdict is known to all.
    """

    writing_s: float = 0.25
    waiting_s: float = 0.6
    resting_s: float = 2.0
    most_resting_s: float = 16.0
    doubted_s: float = 0.8


def find_silent(
    pool: TargetPool, limits: SilenceLimits, now: float
) -> list[TargetState]:
    """Return the targets with requests of ours that have fallen silent."""
    return [
        state
        for state in _list_watched(pool)
        if now >= state.progress_at + _allow(pool, state, limits, now)
    ]


def find_next_silence(pool: TargetPool, limits: SilenceLimits, now: float) -> float:
    """Return when a target falls silent next if nothing comes from any.

    Returns:
        Seconds; infinite where no request of ours is at any.
    """
    return min(
        (
            state.progress_at + _allow(pool, state, limits, now)
            for state in _list_watched(pool)
        ),
        default=inf,
    )


def _list_watched(pool: TargetPool) -> Iterator[TargetState]:
    for state in pool.busy:
        if state.gone or state.target.group is None or state.held_up:
            continue
        yield state


def _allow(
    pool: TargetPool, state: TargetState, limits: SilenceLimits, now: float
) -> float:
    """Return how long a head may say nothing now."""
    if not state.writing:
        return limits.waiting_s
    return min(limits.writing_s, pool.gap_timeout.allow(pool.predict_gap(state, now)))


def rest_silent(state: TargetState, limits: SilenceLimits, now: float) -> None:
    """Leave a silent target alone for a while.

    A head may be silent towards some processes only, or take requests and
    answer none, while its VMs answer the holder well. Tried again at the same
    pace, it would swallow a few callers' requests every other second.
    """
    resting_s = limits.resting_s * 2.0**state.silences
    state.silent_until = now + min(limits.most_resting_s, resting_s)
    state.silences += 1


def doubt(state: TargetState, limits: SilenceLimits, now: float) -> bool:
    """Leave a target alone until more is known; False where that is no news.

    Another process found it silent by its streams, or a first event of ours
    is overdue there. Who has streams of its own at the target sees by itself
    whether it stands still, and at the same moment.
    """
    if state.writing or now < state.silent_until:
        return False
    state.silent_until = now + limits.doubted_s
    return True
