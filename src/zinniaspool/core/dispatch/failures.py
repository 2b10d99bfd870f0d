"""Records the failures of targets, and how recovering ones ramp up.

A target that fails or refuses each request at once has no load, and would
attract all requests. So its failures and refusals raise its cost, and failures
in a row eject it. The cost falls again with time, since a target that gets no
requests could never show that it has recovered.
"""

from zinniaspool.core.dispatch.targets import TargetState

__all__ = ["compute_ramp_cost", "estimate_error_part", "record_outcome"]

ERROR_WEIGHT = 0.15
"""Weight of one answer in the part of a target's answers that failed. About
ten answers count, few enough to notice a fault within a second of usual
traffic."""

ERROR_HALF_LIFE_S = 2.0
"""Time after which half of that part is forgotten, in seconds. A restart takes
a second or two."""

EJECT_FAILURES = 3
"""Consecutive failures after which a target is ejected. After an ejection, the
first failure ejects it again."""

EJECT_S = 1.0
MAX_EJECT_S = 8.0
"""Time for which a target is ejected, in seconds, and the longest such time. A
restart takes about as long as the first. It doubles with each ejection until a
request is answered."""

RAMP_S = 1.5
RAMP_COST = 0.5
"""Time in which a target that is new or recovers comes to its full part of
the requests, in seconds, and its cost at first, in full targets. All processes
would otherwise send their next requests there at once."""


def record_outcome(
    state: TargetState, now: float, *, failed: bool, refused: bool = False
) -> None:
    """Record how a request ended; eject a target that often fails.

    A target that refuses requests is not ejected: it may be full, and its
    refusals cost no work. If it has asked for a pause, it gets no requests
    meanwhile, and its cost stays as it is.

    Args:
        state: The target.
        now: Seconds.
        failed: Whether the request failed because of the target.
        refused: Whether the target refused it.
    """
    if refused and not state.is_open(now):
        return
    before = estimate_error_part(state, now)
    state.error_part = before + ERROR_WEIGHT * (float(failed or refused) - before)
    state.errors_at = now
    if refused:
        return
    if not failed:
        state.consecutive_failures = state.ejections = 0
        return
    state.consecutive_failures += 1
    if state.consecutive_failures >= EJECT_FAILURES:
        eject_s = min(MAX_EJECT_S, EJECT_S * 2.0**state.ejections)
        state.ejections += 1
        state.consecutive_failures = EJECT_FAILURES - 1
        state.ejected_until = state.ramps_from = now + eject_s


def estimate_error_part(state: TargetState, now: float) -> float:
    """Return the part of a target's recent answers that failed."""
    if not state.error_part:
        return 0.0
    age_s = max(0.0, now - state.errors_at)
    weight: float = 0.5 ** (age_s / ERROR_HALF_LIFE_S)
    return state.error_part * weight


def compute_ramp_cost(state: TargetState, now: float) -> float:
    """Return the cost of a target that is new or recovers, in full targets."""
    left_part = 1.0 - (now - state.ramps_from) / RAMP_S
    return RAMP_COST * max(0.0, min(1.0, left_part))
