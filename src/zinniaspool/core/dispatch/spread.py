"""Keeps the paces that streams in progress of one model have shown lately.

The time of a token differs from target to target and from moment to moment. A
stream to come may have any of the times that were shown, so that its longest
time follows from a high quantile of them, not from what is usual.
"""

import math
from collections import deque
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from statistics import median

from zinniaspool.core.dispatch.targets import TargetState

__all__ = ["PaceSpread", "find_high_quantile"]

RECENT_S = 8.0
"""Time for which a shown pace counts for the longest one, in seconds: in the
last ones of a stop few streams are in progress that show it."""

USUAL_S = 3.0
"""Time for which it counts for the usual one and that of a target, in
seconds: about that of a long stream."""

LAST_S = 0.2
"""Time before the last pace that a target has shown in which others count with
it, in seconds: a single record of the streams in progress there."""

SUMMARY_S = 0.25
"""Time for which a summary of them is used, in seconds."""

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


@dataclass(frozen=True, slots=True)
class _Summary:
    """What the samples show at a time; times of a token in seconds.

    Those that are usual at some targets are found when asked for.
    """

    at: float
    longest_s: float
    by_target: Mapping[TargetState, Sequence[_Sample]]
    usual_s: dict[tuple[TargetState, ...], float] = field(default_factory=dict)


class PaceSpread:
    """The times of a token that streams of one model have shown lately.

    Targets that are known to be slow don't count for the others.
    """

    def __init__(self) -> None:
        self._samples: deque[_Sample] = deque()
        self._summary: _Summary | None = None

    def __len__(self) -> int:
        return len(self._samples)

    def record(self, state: TargetState, token_s: float, now: float) -> None:
        """Record what a stream shows.

        Args:
            state: Its target.
            token_s: Time of a token, in seconds.
            now: Seconds.
        """
        self._forget(now)
        self._samples.append(_Sample(state, token_s, now))
        self._summary = None

    def find_usual_elsewhere(self, state: TargetState, now: float) -> float:
        """Return the median time of a token at other targets, in seconds.

        Returns:
            0 if unknown.
        """
        summary = self._sum_up(now)
        others = tuple(
            one
            for one in summary.by_target
            if one is not state and not one.speed.is_slow
        )
        usual_s = summary.usual_s.get(others)
        if usual_s is None:
            samples = [s for one in others for s in summary.by_target[one]]
            usual_s = median([one.token_s for one in samples] or [0.0])
            summary.usual_s[others] = usual_s
        return usual_s

    def find_longest(self, now: float, without: Collection[TargetState] = ()) -> float:
        """Return the longest time of a token, in seconds; 0 if unknown.

        Args:
            now: Seconds.
            without: Targets that don't count.
        """
        if not without:
            return self._sum_up(now).longest_s
        self._forget(now)
        return _find_longest(
            [one for one in self._samples if one.state not in without], now
        )

    def find_at(
        self, state: TargetState, now: float, since: float = -math.inf
    ) -> float | None:
        """Return the last time of a token that a target has shown, in seconds.

        It is the median of the streams that were in progress there. What they
        showed before would hide that the target has become slow or fast.

        Args:
            state: The target.
            now: Seconds.
            since: Time from which on it was shown, in seconds.

        Returns:
            None if no stream has shown it.
        """
        shown = self._sum_up(now).by_target.get(state, ())
        if not shown or shown[-1].at < since:
            return None
        since = max(since, shown[-1].at - LAST_S)
        return median(one.token_s for one in shown if one.at >= since)

    def _sum_up(self, now: float) -> _Summary:
        self._forget(now)
        if self._summary is None or now - self._summary.at > SUMMARY_S:
            by_target: dict[TargetState, list[_Sample]] = {}
            for one in _list_late(self._samples, now):
                by_target.setdefault(one.state, []).append(one)
            longest_s = _find_longest(self._samples, now)
            self._summary = _Summary(now, longest_s, by_target)
        return self._summary

    def _forget(self, now: float) -> None:
        while self._samples and now - self._samples[0].at > RECENT_S:
            self._samples.popleft()
            self._summary = None


def _list_times(samples: Iterable[_Sample]) -> list[float]:
    return [one.token_s for one in samples if not one.state.speed.is_slow]


def _list_late(samples: Iterable[_Sample], now: float) -> list[_Sample]:
    return [one for one in samples if now - one.at <= USUAL_S]


def _find_longest(samples: Collection[_Sample], now: float) -> float:
    """Return the longest time of a token by some samples, in seconds."""
    late = _list_late(samples, now)
    return max(_limit_longest(_list_times(one)) for one in (samples, late))


def _limit_longest(times: list[float]) -> float:
    """Return the high quantile of some times, limited by their median."""
    return min(find_high_quantile(times) or 0.0, MAX_SPREAD * median(times or [0.0]))
