"""Records the failures of a target, and ejects one that often fails."""

from zinniaspool.core.dispatch.targets import TargetState

__all__ = ["record_outcome"]

ERROR_WEIGHT = 0.15
"""Weight of one answer in the part of a target's answers that failed. About
ten answers count, few enough to notice a fault within a second of usual
traffic."""

EJECT_FAILURES = 3
"""Consecutive failures after which a target is ejected."""

EJECT_S = 1.0
"""Time for which a target is ejected, in seconds. A restart takes about as
long."""


def record_outcome(state: TargetState, now: float, *, failed: bool) -> None:
    """Record whether a request failed; eject a target that often fails.

    Args:
        state: The target.
        now: Seconds.
        failed: Whether the request failed because of the target.
    """
    state.error_part += ERROR_WEIGHT * (float(failed) - state.error_part)
    if not failed:
        state.consecutive_failures = 0
        return
    state.consecutive_failures += 1
    if state.consecutive_failures >= EJECT_FAILURES:
        state.consecutive_failures = 0
        state.ejected_until = now + EJECT_S
