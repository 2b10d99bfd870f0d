"""Infers from crashes and answers which traits of requests crash upstreams.

What is looked for is the narrowest trait that crashed upstreams had in common
and that answered requests lack. Several traits may be to blame at a time, and
upstreams also end for other reasons, while they have any requests.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Sequence
from itertools import pairwise

from zinniaspool.core.dispatch.evidence import MEMORY_S, Crash, CrashEvidence
from zinniaspool.core.dispatch.traits import (
    TraitKind,
    find_kind,
    find_rank,
    find_terms,
)
from zinniaspool.core.ids import TraitId

__all__ = ["RECENT_ANSWER_S", "CrashInference"]

SAME_MOMENT_S = 0.1
"""Time between two crashes up to which they may have one cause, in seconds."""

SERIES_CRASHES = 6
"""Crashes of a series that shows its cause without a trial."""

DOMINANT_CRASHES = 5
"""Crashes of a part after which a trial counts twice if it dominates them."""

SERIES_MOMENTS = 4
"""Different moments at which crashes of such a series happen."""

MAX_RIVAL_PART = 0.75
"""Largest part of the crashes of such a series that another trait of the same
kind may have."""

RECENT_ANSWER_S = 60.0
"""Time for which an answer counts as recent, in seconds."""


class CrashInference:
    """Weighs the evidence for and against traits.

    Args:
        evidence: The crashes and the answers.
        holds: The quarantined traits, which explain crashes.
    """

    def __init__(self, evidence: CrashEvidence, holds: Collection[TraitId]) -> None:
        self._evidence = evidence
        self._holds = holds

    def list_suspected(self, traits: Iterable[TraitId], now: float) -> list[TraitId]:
        """Return the suspected ones of some traits, the likeliest first.

        These are the narrowest ones, of these the ones with the fewest answers
        before, and of these the ones with the most crashes.
        """
        suspected = [trait for trait in traits if self.is_suspected(trait, now)]
        return sorted(suspected, key=self._rank)

    def _rank(self, trait: TraitId) -> tuple[int, int, int, TraitId]:
        answers = self._evidence.find_answers(trait)
        return (
            find_rank(trait),
            0 if answers is None else answers.count,
            -self._evidence.count_crashes(trait),
            trait,
        )

    def is_suspected(self, trait: TraitId, now: float) -> bool:
        """Return whether crashes speak against a trait, and no answer does."""
        crashes = self._evidence.list_crashes(trait)
        if not crashes or trait in self._holds:
            return False
        terms = find_terms(trait)
        if len(crashes) < terms.min_crashes:
            return False
        if now - crashes[-1].at > MEMORY_S:
            return False
        if self.was_answered(trait) and now - crashes[0].at < terms.quiet_s:
            return False
        if not self._holds:
            return True
        # A narrower trait that is quarantined explains all crashes or none: a
        # part of several quarantined contents is a better explanation.
        rank = find_rank(trait)
        narrower = [
            {hold for hold in self._list_holds(trait, crash) if find_rank(hold) < rank}
            for crash in crashes
        ]
        if set.intersection(*narrower):
            return False
        unexplained = sum(not self._is_explained(crash, trait) for crash in crashes)
        return unexplained >= terms.min_crashes

    def _list_holds(self, trait: TraitId, crash: Crash) -> set[TraitId]:
        """Return the other traits of a crash that are quarantined."""
        return {hold for hold in self._holds if hold in crash.traits and hold != trait}

    def was_answered(self, trait: TraitId) -> bool:
        """Return whether a trait had an answer shortly before its crashes."""
        answers = self._evidence.find_answers(trait)
        crashes = self._evidence.list_crashes(trait)
        if answers is None or not crashes:
            return False
        return crashes[0].at - answers.latest_at < RECENT_ANSWER_S

    def is_convicted(self, trait: TraitId) -> bool:
        """Return whether the evidence is enough to quarantine a trait."""
        return self.count_trials(trait) >= self.count_needed_trials(trait)

    def count_trials(self, trait: TraitId) -> int:
        """Return how many trials the evidence against a trait is worth."""
        if self._explains_series(trait):
            return find_terms(trait).min_trials + 1
        trials = self._count_valid_trials(trait)
        return trials + 1 if trials and self._dominates(trait) else trials

    def _dominates(self, trait: TraitId) -> bool:
        """Return whether a part is on far more crashes than any other part."""
        crashes = self._evidence.list_crashes(trait)
        if find_kind(trait) is not TraitKind.PART or len(crashes) < DOMINANT_CRASHES:
            return False
        return _count_moments(crashes) >= SERIES_MOMENTS and not _has_rival(
            trait, crashes
        )

    def _explains_series(self, trait: TraitId) -> bool:
        """Return whether a part alone is common to a series of crashes."""
        crashes = self._evidence.list_crashes(trait)
        if find_kind(trait) is not TraitKind.PART or len(crashes) < SERIES_CRASHES:
            return False
        series = [
            crash
            for crash in self._evidence
            if crash.at >= crashes[0].at and not self._is_explained(crash, trait)
        ]
        if any(trait not in crash.traits for crash in series):
            return False
        if len(series) < SERIES_CRASHES or _count_moments(series) < SERIES_MOMENTS:
            return False
        return not _has_rival(trait, series)

    def _is_explained(self, crash: Crash, trait: TraitId) -> bool:
        """Return whether something as wide as a trait explains a crash.

        What has as few crashes as the trait may just have been quarantined
        first.
        """
        rank, count = find_rank(trait), self._evidence.count_crashes(trait)
        return any(
            find_rank(hold) >= rank and self._evidence.count_crashes(hold) > count
            for hold in self._list_holds(trait, crash)
        )

    def count_needed_trials(self, trait: TraitId) -> int:
        """Return how many trials quarantine a trait."""
        return find_terms(trait).min_trials + self.was_answered(trait)

    def _count_valid_trials(self, trait: TraitId) -> int:
        return sum(
            trait in crash.trials and not self._has_other_cause(trait, crash)
            for crash in self._evidence.list_crashes(trait)
        )

    def _has_other_cause(self, trait: TraitId, crash: Crash) -> bool:
        """Return whether a crash in a trait's trial may have another cause."""
        if self._list_holds(trait, crash):
            return True
        if any(self._is_likelier(other, trait) for other in crash.traits):
            return True
        # Upstreams that lacked the trait crashed at the same moment, and
        # nothing explains that.
        return any(
            abs(other.at - crash.at) < SAME_MOMENT_S
            and trait not in other.traits
            and not self._list_holds(trait, other)
            for other in self._evidence
        )

    def _is_likelier(self, other: TraitId, trait: TraitId) -> bool:
        """Return whether another trait is a likelier cause of the crashes."""
        count = self._evidence.count_crashes(other)
        if other == trait or count < find_terms(other).min_crashes:
            return False
        if find_rank(other) != find_rank(trait):
            is_wide = find_kind(trait) is TraitKind.CUSTOMER
            return is_wide and find_rank(other) < find_rank(trait)
        if count > self._evidence.count_crashes(trait):
            return True
        return self.was_answered(trait) and not self.was_answered(other)

    def list_explained(self, trait: TraitId) -> list[TraitId]:
        """Return the quarantined traits whose crashes a trait explains."""
        crashes = set(self._evidence.list_crashes(trait))
        return [
            other
            for other in self._holds
            if find_rank(other) <= find_rank(trait)
            and (of_other := set(self._evidence.list_crashes(other)))
            and of_other < crashes
        ]


def _count_moments(crashes: Iterable[Crash]) -> int:
    """Return at how many different moments upstreams crashed."""
    times = sorted(crash.at for crash in crashes)
    return 1 + sum(
        later - earlier > SAME_MOMENT_S for earlier, later in pairwise(times)
    )


def _has_rival(trait: TraitId, crashes: Sequence[Crash]) -> bool:
    """Return whether another part is on nearly as many of some crashes."""
    shared = Counter(other for crash in crashes for other in crash.traits)
    return any(
        number > MAX_RIVAL_PART * len(crashes)
        for other, number in shared.items()
        if other != trait and find_kind(other) is TraitKind.PART
    )
