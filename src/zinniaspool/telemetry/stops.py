"""Counts what a stopping process does, read when metrics are rendered."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterator
from enum import Enum
from itertools import accumulate

from zinniaspool.telemetry.tallies import Sample

__all__ = ["StopReason", "StopTally"]

BOUNDARIES_S = (0.5, 1.0, 1.5, 2.0, 3.0, 4.0, 5.0, 6.0, 7.0, 8.0, 10.0, 20.0)
"""Upper bounds of the buckets of times, in seconds."""


class StopReason(Enum):
    """Why a stopping process accepted or refused a request.

    Attributes:
        DEADLINE: Its own deadline is before the end of the process.
        FORECAST: The longest time that was predicted for it.
        UNKNOWN: Nothing could be predicted.
    """

    DEADLINE = "deadline"
    FORECAST = "forecast"
    UNKNOWN = "unknown"


class StopTally:
    """Counts requests after the stop signal, and those that were cut.

    Attributes:
        cut: Requests of which a part was answered and the rest was cut, also
            those from before the signal.
    """

    def __init__(self) -> None:
        self.cut = 0
        self._requests: Counter[tuple[str, StopReason]] = Counter()
        self._allowed = _Buckets()
        self._needed = _Buckets()

    def add(
        self,
        reason: StopReason,
        allowed_s: float,
        needed_s: float | None,
        *,
        is_refused: bool,
    ) -> None:
        """Count a request that came after the stop signal.

        Args:
            reason: Why it was accepted or refused.
            allowed_s: Time that it had, in seconds.
            needed_s: Longest time that was predicted for it, in seconds; None
                if nothing was.
            is_refused: Whether it was refused because of the stop.
        """
        outcome = "refused" if is_refused else "accepted"
        self._requests[outcome, reason] += 1
        self._allowed.add(outcome, allowed_s)
        if needed_s is not None:
            self._needed.add(outcome, needed_s)

    def count(self, *, is_refused: bool) -> int:
        """Return how many requests were refused, or how many were accepted."""
        outcome = "refused" if is_refused else "accepted"
        return sum(self._requests[outcome, reason] for reason in StopReason)

    def list_requests(self) -> Iterator[Sample]:
        """Yield the number of requests by outcome and reason."""
        for (outcome, reason), count in self._requests.items():
            yield Sample({"outcome": outcome, "reason": reason.value}, count)

    def list_cut(self) -> Iterator[Sample]:
        """Yield the number of requests that were cut."""
        yield Sample({}, self.cut)

    def list_allowed(self) -> Iterator[Sample]:
        """Yield the number of requests within each bound of their time."""
        return self._allowed.list_samples()

    def list_needed(self) -> Iterator[Sample]:
        """Yield the number of requests within each bound of the prediction."""
        return self._needed.list_samples()


class _Buckets:
    """Counts times by outcome and upper bound."""

    def __init__(self) -> None:
        self._counts: dict[str, list[int]] = {}

    def add(self, outcome: str, time_s: float) -> None:
        counts = self._counts.setdefault(outcome, [0] * (len(BOUNDARIES_S) + 1))
        counts[bisect_left(BOUNDARIES_S, time_s)] += 1

    def list_samples(self) -> Iterator[Sample]:
        bounds = [*(f"{bound:g}" for bound in BOUNDARIES_S), "+Inf"]
        for outcome, counts in self._counts.items():
            for bound, within in zip(bounds, accumulate(counts), strict=True):
                yield Sample({"outcome": outcome, "le": bound}, within)
