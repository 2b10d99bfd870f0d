"""Counts requests in plain numbers that are read when metrics are rendered."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import accumulate

__all__ = ["AdmissionTally", "RequestTally", "Sample"]

LATENCY_BOUNDARIES_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0)
"""Upper bounds of the latency buckets, in seconds. They are close together
between 0.2 and 0.4 s, where the latency objectives of today's routes lie."""

ERROR_BOUNDARIES_S = (-0.2, -0.1, -0.05, -0.02, 0.0, 0.02, 0.05, 0.1, 0.2, 0.5)
"""Upper bounds of the buckets of a first event's prediction error, in seconds.
The error is below 0 where the event came sooner than predicted."""

MAX_SERIES = 200
"""Combinations of labels that are counted separately; further ones count as
``other``. Names of services come from the operator's rules, which may grow by
hundreds."""


@dataclass(frozen=True, slots=True)
class Sample:
    """One number of a metric and its labels."""

    labels: dict[str, str]
    value: float


class RequestTally:
    """Counts ends and latencies of requests, by service, kind and end."""

    def __init__(self) -> None:
        self._ends: Counter[tuple[str, str, str]] = Counter()
        self._latencies: dict[tuple[str, str], list[int]] = {}

    def add(self, service: str, kind: str, end: str, took_s: float) -> None:
        """Count a request that ended.

        Args:
            service: The service that the request was sent to; empty for a
                request that was not admitted.
            kind: The kind of the request's route; empty for a request that was
                not admitted.
            end: ``answered``, ``caller-left`` or the kind of an error.
            took_s: Seconds from the request's arrival to its end.
        """
        key = (service, kind, end)
        if key not in self._ends and len(self._ends) >= MAX_SERIES:
            key = ("other", kind, end)
        self._ends[key] += 1
        name = (key[0], kind)
        buckets = self._latencies.setdefault(
            name, [0] * (len(LATENCY_BOUNDARIES_S) + 1)
        )
        buckets[bisect_left(LATENCY_BOUNDARIES_S, took_s)] += 1

    def list_ends(self) -> Iterator[Sample]:
        """Yield the number of requests by service, kind and end."""
        for (service, kind, end), count in self._ends.items():
            yield Sample({"service": service, "kind": kind, "end": end}, count)

    def list_latencies(self) -> Iterator[Sample]:
        """Yield the number of requests within each latency bound."""
        bounds = [*(f"{bound:g}" for bound in LATENCY_BOUNDARIES_S), "+Inf"]
        for (service, kind), buckets in self._latencies.items():
            for bound, within in zip(bounds, accumulate(buckets), strict=True):
                labels = {"service": service, "kind": kind, "le": bound}
                yield Sample(labels, within)


class AdmissionTally:
    """Counts admissions of requests for models and errors of predictions."""

    def __init__(self) -> None:
        self._admissions: Counter[tuple[str, int, str]] = Counter()
        self._errors: dict[str, list[int]] = {}

    def add(self, model: str, urgency: int, outcome: str) -> None:
        """Count a request.

        Args:
            model: The model that the request is for.
            urgency: Its urgency.
            outcome: ``on-time``, ``late``, ``refused``, or ``beyond-share``
                for a request that was refused so that others get their share.
        """
        key = (model, urgency, outcome)
        if key not in self._admissions and len(self._admissions) >= MAX_SERIES:
            key = ("other", urgency, outcome)
        self._admissions[key] += 1

    def add_error(self, model: str, error_s: float) -> None:
        """Count by how much a first event came later than predicted."""
        if model not in self._errors and len(self._errors) >= MAX_SERIES:
            model = "other"
        buckets = self._errors.setdefault(model, [0] * (len(ERROR_BOUNDARIES_S) + 1))
        buckets[bisect_left(ERROR_BOUNDARIES_S, error_s)] += 1

    def list_admissions(self) -> Iterator[Sample]:
        """Yield the number of requests by model, urgency and outcome."""
        for (model, urgency, outcome), count in self._admissions.items():
            labels = {"model": model, "urgency": str(urgency), "taken": outcome}
            yield Sample(labels, count)

    def list_errors(self) -> Iterator[Sample]:
        """Yield the number of first events within each bound of the error."""
        bounds = [*(f"{bound:g}" for bound in ERROR_BOUNDARIES_S), "+Inf"]
        for model, buckets in self._errors.items():
            for bound, within in zip(bounds, accumulate(buckets), strict=True):
                yield Sample({"model": model, "le": bound}, within)
