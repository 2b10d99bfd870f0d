"""Keeps the paces that streams in progress of one model have shown lately.

The time of a token differs from target to target and from moment to moment. A
stream to come may have any of the times that were shown, so that its longest
time follows from a high quantile of them, not from what is usual.
"""

import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from statistics import median

from zinniaspool.core.dispatch.targets import TargetState

__all__ = ["PaceSpread", "find_high_quantile"]

RECENT_S = 3.0
"""Time for which a shown pace counts, in seconds: about that of a long
stream."""

HIGH_QUANTILE = 0.95
"""Quantile that counts as the longest. A few longer times, of callers that
read slowly, would have all long streams refused."""

MAX_SPREAD = 2.0
"""Longest over usual time of a token at most. A target that is slower still
is found to be slow, and its streams go on elsewhere."""


def find_high_quantile(values: Sequence[float]) -> float | None:
    """Return the value that counts as the longest one; None without any."""
    if not values:
        return None
    return sorted(values)[math.ceil(len(values) * HIGH_QUANTILE) - 1]


@dataclass(frozen=True, slots=True)
class _Sample:
    """The time of a token that a stream showed; times in seconds."""

    state: TargetState
    token_s: float
    at: float


class PaceSpread:
    """The times of a token that streams of one model have shown lately.

    Targets that are known to be slow don't count for the others.
    """

    def __init__(self) -> None:
        self._samples: deque[_Sample] = deque()
        self._longest_s: float | None = None

    def record(self, state: TargetState, token_s: float, now: float) -> None:
        """Record what a stream shows.

        Args:
            state: Its target.
            token_s: Time of a token, in seconds.
            now: Seconds.
        """
        self._samples.append(_Sample(state, token_s, now))
        self._longest_s = None

    def find_usual(self, now: float) -> float:
        """Return the median time of a token, in seconds; 0 if unknown."""
        return median(self._list_times(now) or [0.0])

    def find_longest(self, now: float) -> float:
        """Return the longest time of a token, in seconds; 0 if unknown."""
        self._forget(now)
        if self._longest_s is None:
            times = self._list_times(now)
            longest_s = find_high_quantile(times) or 0.0
            self._longest_s = min(longest_s, MAX_SPREAD * median(times or [0.0]))
        return self._longest_s

    def find_at(
        self, state: TargetState, now: float, since: float = -math.inf
    ) -> float | None:
        """Return the median time of a token at one target, in seconds.

        Args:
            state: The target.
            now: Seconds.
            since: Time from which on it was shown, in seconds.

        Returns:
            None if no stream has shown it.
        """
        self._forget(now)
        times = [
            one.token_s
            for one in self._samples
            if one.state is state and one.at >= since
        ]
        return median(times) if times else None

    def _list_times(self, now: float) -> list[float]:
        self._forget(now)
        return [one.token_s for one in self._samples if not one.state.speed.is_slow]

    def _forget(self, now: float) -> None:
        while self._samples and now - self._samples[0].at > RECENT_S:
            self._samples.popleft()
            self._longest_s = None
