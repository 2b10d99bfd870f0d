"""Counts stalled heads in plain numbers, read when metrics are rendered."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterator
from itertools import accumulate

from zinniaspool.telemetry.tallies import MAX_SERIES, Sample

__all__ = ["StallTally"]

DETECTION_BOUNDARIES_S = (0.04, 0.06, 0.08, 0.1, 0.12, 0.15, 0.2, 0.25, 0.3, 0.4)
"""Upper bounds of the buckets of a stall's detection time, in seconds. Two
passes take 0.05 to 0.1 s, and callers accept gaps of 0.2 or 0.3 s."""


class StallTally:
    """Counts stalls found, false alarms and detection times, by model."""

    def __init__(self) -> None:
        self._found: Counter[tuple[str, str]] = Counter()
        self._false_alarms: Counter[str] = Counter()
        self._detections: dict[str, list[int]] = {}

    def add_found(self, model: str, evidence: str, quiet_s: float | None) -> None:
        """Count a target that was found stalled.

        Args:
            model: The model that it serves.
            evidence: What showed it.
            quiet_s: Seconds from its last event until then; None if this
                process had no stream there.
        """
        model = self._find_label(model)
        self._found[model, evidence] += 1
        if quiet_s is None:
            return
        buckets = self._detections.setdefault(
            model, [0] * (len(DETECTION_BOUNDARIES_S) + 1)
        )
        buckets[bisect_left(DETECTION_BOUNDARIES_S, quiet_s)] += 1

    def add_false_alarm(self, model: str) -> None:
        """Count a stalled target that turned out to be alive."""
        self._false_alarms[self._find_label(model)] += 1

    def list_found(self) -> Iterator[Sample]:
        """Yield the number of stalls found by model and evidence."""
        for (model, evidence), count in self._found.items():
            yield Sample({"model": model, "evidence": evidence}, count)

    def list_false_alarms(self) -> Iterator[Sample]:
        """Yield the number of false alarms by model."""
        for model, count in self._false_alarms.items():
            yield Sample({"model": model}, count)

    def list_detections(self) -> Iterator[Sample]:
        """Yield the number of stalls found within each bound of the time."""
        bounds = [*(f"{bound:g}" for bound in DETECTION_BOUNDARIES_S), "+Inf"]
        for model, buckets in self._detections.items():
            for bound, within in zip(bounds, accumulate(buckets), strict=True):
                yield Sample({"model": model, "le": bound}, within)

    def _find_label(self, model: str) -> str:
        known = any(model == other for other, _ in self._found)
        return model if known or len(self._found) < MAX_SERIES else "other"
