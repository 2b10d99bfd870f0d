"""Decides which requests at a slow target go on at another one."""

from dataclasses import dataclass

from zinniaspool.core.dispatch.pools import TargetPool
from zinniaspool.core.dispatch.targets import TargetState

__all__ = ["RunningAttempt", "would_be_on_time_elsewhere"]

PROBE_S = 1.0
"""Time for which a probing request stays at a slow target, in seconds. It
shows the pace by its first event and the passes after it, for which a target
at a quarter of its speed needs about half a second."""


@dataclass(frozen=True, slots=True)
class RunningAttempt:
    """An attempt of a streamed request.

    Attributes:
        prompt_tokens: Length of its prompt.
        sent_at: Time at which it was sent, in seconds.
        on_time_until: Time until which its first event is on time, in seconds.
        max_gap_s: Longest gap between two events that is on time, in seconds.
        last_event_at: Time of its newest event, in seconds; None before the
            first one.
    """

    prompt_tokens: int
    sent_at: float
    on_time_until: float
    max_gap_s: float
    last_event_at: float | None = None


def would_be_on_time_elsewhere(
    pool: TargetPool,
    attempt: RunningAttempt,
    state: TargetState,
    other: TargetState,
    now: float,
) -> bool:
    """Return whether a request will be late where it is and not elsewhere.

    A request that is late in both places stays: its prompt would be read once
    more, and its second attempt be used, for nothing.

    Args:
        pool: The targets.
        attempt: The request's current attempt.
        state: The slow target, at which it is.
        other: The target that it would go to.
        now: Seconds.
    """
    is_probe = attempt.sent_at >= state.speed.slow_since
    if is_probe and now < attempt.sent_at + PROBE_S:
        return False
    if other.speed.is_slow or not pool.has_slot(other, now):
        return False
    arrives_at = now + pool.predict_first_event(other, attempt.prompt_tokens, now)
    if attempt.last_event_at is not None:
        gap_s = arrives_at - attempt.last_event_at
        return pool.predict_gap(state, now) > attempt.max_gap_s >= gap_s
    expected_s = pool.forecast.predict(
        max(0.0, state.estimate_load(now) - 1),
        state.target.slots,
        max(0, state.known_unread_tokens - attempt.prompt_tokens),
        attempt.prompt_tokens,
        state.pace,
    )
    return attempt.sent_at + expected_s > attempt.on_time_until >= arrives_at
