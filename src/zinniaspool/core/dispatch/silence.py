"""Detects heads that have stalled, seconds before the store shows it.

A group with a failed VM makes no progress: for seconds its head keeps every
connection open and accepts new requests. Its streams show it first. All of
them stop at one moment, while those of a healthy group get events with each
pass.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from math import inf

from zinniaspool.core.dispatch.pools import TargetPool
from zinniaspool.core.dispatch.targets import TargetState

__all__ = [
    "StallLimits",
    "back_off",
    "find_next_stall",
    "find_stalled",
    "suspect",
]


@dataclass(frozen=True, slots=True)
class StallLimits:
    """Timeouts for events from a head and backoff times, in seconds.

    Attributes:
        streaming_s: Longest time without an event while streams of this
            process run there. The timeout is shorter if the head's passes are
            predicted to be shorter.
        first_event_s: Longest time without an event while all requests of this
            process there wait for a first event, which may take as long as the
            prompts before them.
        backoff_s: Backoff after a stall, before the head is tried again. It
            doubles with each stall in a row, and ends at once with an event
            from the head.
        max_backoff_s: Longest backoff.
        suspected_backoff_s: Backoff of a head that is only suspected. The
            holder has asked the group's VMs by its end, and all processes know
            the result.
    """

    streaming_s: float = 0.25
    first_event_s: float = 0.6
    backoff_s: float = 2.0
    max_backoff_s: float = 16.0
    suspected_backoff_s: float = 0.8


def find_stalled(
    pool: TargetPool, limits: StallLimits, now: float
) -> list[TargetState]:
    """Return the targets that have stalled with requests of this process."""
    return [
        state
        for state in _list_watched(pool)
        if now >= state.last_event_at + _compute_timeout(pool, state, limits, now)
    ]


def find_next_stall(pool: TargetPool, limits: StallLimits, now: float) -> float:
    """Return when the next target stalls if no target sends an event.

    Returns:
        Seconds; infinite if no watched target has a request of this process.
    """
    return min(
        (
            state.last_event_at + _compute_timeout(pool, state, limits, now)
            for state in _list_watched(pool)
        ),
        default=inf,
    )


def _list_watched(pool: TargetPool) -> Iterator[TargetState]:
    """Yield the heads whose events show whether they have stalled."""
    for state in pool.busy:
        if state.removed or state.target.group is None or state.blocked_streams:
            continue
        yield state


def _compute_timeout(
    pool: TargetPool, state: TargetState, limits: StallLimits, now: float
) -> float:
    """Return how long a head may send no event now, in seconds."""
    if not state.streaming:
        return limits.first_event_s
    return min(
        limits.streaming_s,
        pool.gap_timeout.compute_timeout(pool.predict_gap(state, now)),
    )


def back_off(state: TargetState, limits: StallLimits, now: float) -> None:
    """Avoid a stalled target for a while, longer with each stall in a row.

    A head may have stalled towards some processes only, or accept requests and
    answer none while its VMs still answer the holder. Tried again at a
    constant interval, it would swallow a few callers' requests every other
    second.
    """
    backoff_s = limits.backoff_s * 2.0**state.consecutive_stalls
    state.backoff_until = now + min(limits.max_backoff_s, backoff_s)
    state.consecutive_stalls += 1


def suspect(state: TargetState, limits: StallLimits, now: float) -> bool:
    """Avoid a suspected target until more is known.

    Another process has found it stalled by its streams, or a first event for
    this process is overdue there. A process that has streams of its own at the
    target sees at the same moment whether it has stalled, and ignores the
    suspicion.

    Returns:
        Whether the target is avoided from now on because of this suspicion;
        False if it changes nothing.
    """
    if state.streaming or now < state.backoff_until:
        return False
    state.backoff_until = now + limits.suspected_backoff_s
    return True
