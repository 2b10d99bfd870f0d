"""Detects heads that have stalled, seconds before the store shows it.

A group with a failed VM makes no progress: for seconds its head keeps every
connection open and accepts new requests. Its streams show it first. All of
them stop at one moment, while those of a healthy group get events with each
pass.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from zinniaspool.core.dispatch.pools import TargetPool
from zinniaspool.core.dispatch.targets import TargetState

__all__ = [
    "StallLimits",
    "back_off",
    "clear_disproved_stall",
    "compute_stall_timeout",
    "find_stall_times",
    "is_lost",
    "suspect",
]


@dataclass(frozen=True, slots=True)
class StallLimits:
    """Timeouts for events from a head and backoff times, in seconds.

    Attributes:
        streaming_s: Longest time without an event while streams of this
            process run there. The timeout is shorter if the head's passes are
            predicted to be shorter. A pass of the slowest model that reads as
            many prompts as it can takes 0.24 s, and 0.36 s at an engine that
            is slower by half.
        first_event_s: Longest time without an event while all requests of this
            process there wait for a first event, which may take as long as the
            prompts before them.
        lost_s: Time without an event after which a stalled head is lost rather
            than slow. Its streams are rerouted even if they will be late.
        backoff_s: Backoff after a stall, before the head is tried again. It
            doubles with each stall in a row, and ends at once with an event
            from the head.
        max_backoff_s: Longest backoff.
        suspected_backoff_s: Backoff of a head that is only suspected. The
            holder has asked the group's VMs by its end, and all processes know
            the result. For as long, a head that has stalled once may still
            show that it was only delayed.
    """

    streaming_s: float = 0.4
    first_event_s: float = 0.6
    lost_s: float = 0.25
    backoff_s: float = 2.0
    max_backoff_s: float = 16.0
    suspected_backoff_s: float = 0.8


def find_stall_times(
    pool: TargetPool, limits: StallLimits, now: float
) -> Iterator[tuple[TargetState, float]]:
    """Yield the heads with requests of this process, and when they stall.

    A head has stalled if this time has come. It is later after an event, and
    also if more prompts arrive there. Removed heads are among them, since
    their streams may still go on.
    """
    for state in pool.busy:
        if state.target.group is None or state.blocked_streams:
            continue
        timeout_s = compute_stall_timeout(pool, state, limits, now)
        yield state, state.last_event_at + timeout_s


def compute_stall_timeout(
    pool: TargetPool, state: TargetState, limits: StallLimits, now: float
) -> float:
    """Return how long a head may send no event now, in seconds."""
    if not state.streaming:
        return limits.first_event_s
    return min(
        limits.streaming_s,
        pool.gap_timeout.compute_timeout(pool.predict_longest_gap(state, now)),
    )


def is_lost(state: TargetState, limits: StallLimits, now: float) -> bool:
    """Return whether a stalled head is lost, and not just slow."""
    return bool(state.streaming) and now - state.last_event_at >= limits.lost_s


def back_off(state: TargetState, limits: StallLimits, now: float) -> None:
    """Avoid a stalled target for a while, longer with each stall in a row.

    A head may have stalled towards some processes only, or accept requests and
    answer none while its VMs still answer the holder. Tried again at a
    constant interval, it would swallow a few callers' requests every other
    second.
    """
    backoff_s = limits.backoff_s * 2.0**state.consecutive_stalls
    if not state.consecutive_stalls:
        state.awaited_until = now + limits.suspected_backoff_s
    state.backoff_until = now + min(limits.max_backoff_s, backoff_s)
    state.consecutive_stalls += 1


def clear_disproved_stall(state: TargetState, now: float) -> bool:
    """End the backoff of a target whose streams at a peer have had events.

    This holds for the first stall since the target's last event here. If it
    stalls again without one, it is unreachable for this process alone.

    Returns:
        Whether the target is used again from now on because of this.
    """
    if state.consecutive_stalls != 1 or now >= state.backoff_until:
        return False
    state.backoff_until = now
    return True


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
    state.backoff_until = state.awaited_until = now + limits.suspected_backoff_s
    return True
