"""Counts in plain numbers, read when metrics are asked for."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import accumulate

__all__ = ["AdmissionTally", "RequestTally", "Sample"]

BOUNDARIES_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0)
"""Upper bounds of the latency buckets, in seconds: close together where the
objectives of today's routes lie, some 0.2 to 0.4 s."""

ERRORS_S = (-0.2, -0.1, -0.05, -0.02, 0.0, 0.02, 0.05, 0.1, 0.2, 0.5)
"""Upper bounds of the buckets of a first event's error, in seconds: below 0 it
came sooner than predicted."""

MOST_SERIES = 200
"""Combinations of labels that are kept apart; the rest count as other. Names
of services come from the operator's rules, which may grow by hundreds."""


@dataclass(frozen=True, slots=True)
class Sample:
    """One number of a metric and its labels."""

    labels: dict[str, str]
    value: float


class RequestTally:
    """Ends and latencies of requests, by service, kind and reason."""

    def __init__(self) -> None:
        self._ends: Counter[tuple[str, str, str]] = Counter()
        self._latencies: dict[tuple[str, str], list[int]] = {}

    def add(self, service: str, kind: str, end: str, took_s: float) -> None:
        """Count a request that ended.

        Args:
            service: Where it went; empty for one that was not admitted.
            kind: Its route's kind; empty likewise.
            end: ``answered``, ``caller-left`` or an error's kind.
            took_s: Seconds from its arrival to its end.
        """
        key = (service, kind, end)
        if key not in self._ends and len(self._ends) >= MOST_SERIES:
            key = ("other", kind, end)
        self._ends[key] += 1
        name = (key[0], kind)
        buckets = self._latencies.setdefault(name, [0] * (len(BOUNDARIES_S) + 1))
        buckets[bisect_left(BOUNDARIES_S, took_s)] += 1

    def list_ends(self) -> Iterator[Sample]:
        """Yield the number of requests by service, kind and end."""
        for (service, kind, end), count in self._ends.items():
            yield Sample({"service": service, "kind": kind, "end": end}, count)

    def list_latencies(self) -> Iterator[Sample]:
        """Yield the number of requests within each latency bound."""
        bounds = [*(f"{bound:g}" for bound in BOUNDARIES_S), "+Inf"]
        for (service, kind), buckets in self._latencies.items():
            for bound, within in zip(bounds, accumulate(buckets), strict=True):
                labels = {"service": service, "kind": kind, "le": bound}
                yield Sample(labels, within)


class AdmissionTally:
    """How requests for models were taken, and how right predictions were."""

    def __init__(self) -> None:
        self._taken: Counter[tuple[str, str]] = Counter()
        self._errors: dict[str, list[int]] = {}

    def add(self, model: str, taken: str) -> None:
        """Count a request: ``on-time``, ``late`` or ``refused``."""
        key = (model, taken)
        if key not in self._taken and len(self._taken) >= MOST_SERIES:
            key = ("other", taken)
        self._taken[key] += 1

    def add_error(self, model: str, error_s: float) -> None:
        """Count by how much a first event came later than predicted."""
        if model not in self._errors and len(self._errors) >= MOST_SERIES:
            model = "other"
        buckets = self._errors.setdefault(model, [0] * (len(ERRORS_S) + 1))
        buckets[bisect_left(ERRORS_S, error_s)] += 1

    def list_taken(self) -> Iterator[Sample]:
        """Yield the number of requests by model and how they were taken."""
        for (model, taken), count in self._taken.items():
            yield Sample({"model": model, "taken": taken}, count)

    def list_errors(self) -> Iterator[Sample]:
        """Yield the number of first events within each bound of error."""
        bounds = [*(f"{bound:g}" for bound in ERRORS_S), "+Inf"]
        for model, buckets in self._errors.items():
            for bound, within in zip(bounds, accumulate(buckets), strict=True):
                yield Sample({"model": model, "le": bound}, within)
