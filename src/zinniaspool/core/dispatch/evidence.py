"""Collects the evidence for and against traits of requests.

A crash of an upstream speaks against all traits of the requests that it had.
An answer speaks for its request's traits: had one of them crashed upstreams by
then, there would be no answer.
"""

from bisect import insort
from collections import OrderedDict
from collections.abc import Collection, Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from operator import attrgetter

from zinniaspool.core.fleet import InstanceIncarnation
from zinniaspool.core.ids import TraitId

__all__ = ["Answers", "Crash", "CrashEvidence"]

MEMORY_S = 600.0
"""Time for which a crash is remembered, in seconds."""

MAX_CRASHES = 128
"""Crashes that are remembered."""

MAX_TRAITS_PER_CRASH = 1024
"""Traits that are remembered of one crash."""

MAX_ANSWERED_TRAITS = 8192
"""Traits whose answers are remembered."""


_find_time = attrgetter("at")


@dataclass(eq=False, slots=True)
class Crash:
    """The crash of one upstream.

    Attributes:
        incarnation: The upstream.
        at: Time at which this process learned of it, in seconds.
        traits: Traits of the requests that it had and that no later answer has
            cleared of this crash.
        trials: Those traits that were on trial there.
    """

    incarnation: InstanceIncarnation
    at: float
    traits: set[TraitId] = field(default_factory=set)
    trials: set[TraitId] = field(default_factory=set)


@dataclass(slots=True)
class Answers:
    """The complete answers to requests with a trait.

    Attributes:
        latest_at: Time at which the latest of them began, in seconds.
        count: Their number.
    """

    latest_at: float
    count: int = 0


class CrashEvidence:
    """The crashes of upstreams and the answers, by trait."""

    def __init__(self) -> None:
        self._crashes: OrderedDict[InstanceIncarnation, Crash] = OrderedDict()
        self._by_trait: dict[TraitId, list[Crash]] = {}
        self._answers: OrderedDict[TraitId, Answers] = OrderedDict()

    def __iter__(self) -> Iterator[Crash]:
        return iter(self._crashes.values())

    def add_crash(
        self,
        incarnation: InstanceIncarnation,
        traits: Iterable[TraitId],
        trials: Collection[TraitId],
        crashed_at: float,
    ) -> Crash:
        """Add traits to the crash of an upstream.

        Several processes report a crash, each with the requests that it had
        there.
        """
        crash = self._crashes.get(incarnation)
        if crash is None:
            crash = self._crashes[incarnation] = Crash(incarnation, crashed_at)
            self._drop_oldest(crashed_at)
        for trait in traits:
            answers = self._answers.get(trait)
            if answers is not None and answers.latest_at > crash.at:
                continue
            if trait not in crash.traits and len(crash.traits) < MAX_TRAITS_PER_CRASH:
                crash.traits.add(trait)
                # A history may bring crashes that are older than known ones.
                insort(self._by_trait.setdefault(trait, []), crash, key=_find_time)
            if trait in crash.traits and trait in trials:
                crash.trials.add(trait)
        return crash

    def add_answer(self, trait: TraitId, began_at: float) -> None:
        """Add an answer, and drop the crashes that it clears the trait of.

        Args:
            trait: The trait.
            began_at: Time at which the upstream began to write the answer, in
                seconds.
        """
        answers = self._answers.get(trait)
        if answers is None:
            answers = self._answers[trait] = Answers(began_at)
        answers.count += 1
        answers.latest_at = max(answers.latest_at, began_at)
        self._answers.move_to_end(trait)
        if len(self._answers) > MAX_ANSWERED_TRAITS:
            self._answers.popitem(last=False)
        if trait in self._by_trait:
            self._drop(trait, [c for c in self._by_trait[trait] if c.at < began_at])

    def list_crashes(self, trait: TraitId) -> Sequence[Crash]:
        """Return the crashes that speak against a trait, the oldest first."""
        return self._by_trait.get(trait, ())

    def count_crashes(self, trait: TraitId) -> int:
        """Return the number of crashes that speak against a trait."""
        return len(self._by_trait.get(trait, ()))

    def find_answers(self, trait: TraitId) -> Answers | None:
        """Return the answers to requests with a trait, or None."""
        return self._answers.get(trait)

    def forget_crashes(self, trait: TraitId) -> None:
        """Drop all crashes that speak against a trait."""
        self._drop(trait, list(self._by_trait.get(trait, ())))

    def _drop(self, trait: TraitId, crashes: Iterable[Crash]) -> None:
        for crash in crashes:
            crash.traits.discard(trait)
            crash.trials.discard(trait)
            self._by_trait[trait].remove(crash)
        if not self._by_trait.get(trait, True):
            del self._by_trait[trait]

    def _drop_oldest(self, now: float) -> None:
        while len(self._crashes) > 1:
            oldest = next(iter(self._crashes.values()))
            if len(self._crashes) <= MAX_CRASHES and now - oldest.at <= MEMORY_S:
                return
            for trait in list(oldest.traits):
                self._drop(trait, [oldest])
            del self._crashes[oldest.incarnation]
