"""Finds the traits of requests that crash upstreams, and quarantines them.

A crash ends all requests of its upstream, so that a single one shows little.
Once several show what they have in common, requests with that trait are sent
to no upstream, so that requests which differ in all else can't end one
upstream after another.

A trait that other requests share is quarantined only after a trial: while it
is suspected, all its requests go to one upstream. Either that one crashes too,
or an answer clears the trait.
"""

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from math import inf

from zinniaspool.core.dispatch.evidence import Crash, CrashEvidence
from zinniaspool.core.dispatch.inference import RECENT_ANSWER_S, CrashInference
from zinniaspool.core.dispatch.traits import find_terms
from zinniaspool.core.fleet import InstanceId, InstanceIncarnation
from zinniaspool.core.ids import TraitId

__all__ = ["CrashFindings", "Quarantine", "TraitStatus", "Verdict"]

ANSWERED_TRIAL_PAUSE_S = 20.0
UNANSWERED_TRIAL_PAUSE_S = 120.0
"""Time after which a quarantined trait that others share has another trial, in
seconds, depending on whether it was answered shortly before its crashes."""

TRIAL_PAUSE_FACTOR = 6.0
"""Factor by which each further pause is longer."""

MIN_SHARED_CRASHES = 2
"""Crashes that speak against a trait before other processes need to know."""

REVIEW_S = 1.0
"""Time after which no report of a crash at the same moment is expected any
more, in seconds."""


class TraitStatus(Enum):
    """What is known of the traits of a request."""

    CLEAR = "clear"
    SUSPECTED = "suspected"
    """Requests with the trait are sent to one upstream, without a repeat."""

    QUARANTINED = "quarantined"


@dataclass(frozen=True, slots=True)
class Verdict:
    """What is known of a request.

    Attributes:
        status: The worst status of its traits.
        trait: The trait that has it; None for a clear request.
    """

    status: TraitStatus = TraitStatus.CLEAR
    trait: TraitId | None = None


CLEAR = Verdict()


@dataclass(frozen=True, slots=True)
class CrashFindings:
    """What a crash has shown.

    Attributes:
        quarantined: Traits that are quarantined from now on.
        explained: Traits that no longer are, since one of ``quarantined``
            explains their crashes.
        doubtful: Traits that no longer are, since their trials may have ended
            for another reason.
    """

    quarantined: list[TraitId] = field(default_factory=list)
    explained: list[TraitId] = field(default_factory=list)
    doubtful: list[TraitId] = field(default_factory=list)


@dataclass(slots=True)
class _Hold:
    """The quarantine of a trait.

    Attributes:
        until: Time at which it ends, in seconds.
        trials: Upstreams that crashed in a trial.
        decided_at: Time at which this process decided on it, in seconds; None
            if another one did.
        next_trial_at: Time from which this process may send one more request
            to an upstream, in seconds.
        trial_pause_s: Time until the trial after that, in seconds.
        has_trial: Whether a request was sent as a trial that may still run.
    """

    until: float
    trials: int
    decided_at: float | None = None
    next_trial_at: float = inf
    trial_pause_s: float = inf
    has_trial: bool = False


class Quarantine:
    """Decides which traits are suspected and which are quarantined.

    All entry processes decide alike from the crashes that they report to each
    other.
    """

    def __init__(self) -> None:
        self._evidence = CrashEvidence()
        self._holds: dict[TraitId, _Hold] = {}
        self._inference = CrashInference(self._evidence, self._holds)

    @property
    def quarantined_count(self) -> int:
        """Number of quarantined traits."""
        return len(self._holds)

    def judge(self, traits: Sequence[TraitId], now: float) -> Verdict:
        """Return what is known of a request with some traits.

        Args:
            traits: The traits.
            now: Seconds.
        """
        held = [trait for trait in traits if self.is_quarantined(trait, now)]
        if held:
            if len(held) == 1 and self._holds[held[0]].next_trial_at <= now:
                return Verdict(TraitStatus.SUSPECTED, held[0])
            return Verdict(TraitStatus.QUARANTINED, held[0])
        suspected = self._inference.list_suspected(traits, now)
        if not suspected:
            return CLEAR
        return Verdict(TraitStatus.SUSPECTED, suspected[0])

    def is_quarantined(self, trait: TraitId, now: float) -> bool:
        """Return whether a trait is quarantined."""
        hold = self._holds.get(trait)
        if hold is None:
            return False
        if hold.until > now:
            return True
        self.release(trait)
        return False

    def schedule_retrials(self, trait: TraitId, now: float) -> None:
        """Let this process alone try a quarantined trait again at times.

        Nothing else could clear a trait that was quarantined wrongly.
        """
        hold = self._holds.get(trait)
        if hold is None or not find_terms(trait).min_trials:
            return
        hold.trial_pause_s = (
            ANSWERED_TRIAL_PAUSE_S
            if self._inference.was_answered(trait)
            else UNANSWERED_TRIAL_PAUSE_S
        )
        hold.next_trial_at = now + hold.trial_pause_s

    def record_trial(self, trait: TraitId, now: float) -> None:
        """Record that a request is sent to an upstream as a trait's trial."""
        hold = self._holds.get(trait)
        if hold is not None:
            hold.trial_pause_s *= TRIAL_PAUSE_FACTOR
            hold.next_trial_at = now + hold.trial_pause_s
            hold.has_trial = True

    def cancel_trial(self, trait: TraitId, now: float) -> None:
        """Record that a trait's trial has not run, so that another one may."""
        hold = self._holds.get(trait)
        if hold is not None and hold.has_trial:
            hold.trial_pause_s /= TRIAL_PAUSE_FACTOR
            hold.next_trial_at = now
            hold.has_trial = False

    def count_trials(self, trait: TraitId) -> int:
        """Return how many trials led to a trait's quarantine."""
        hold = self._holds.get(trait)
        return 0 if hold is None else hold.trials

    def is_near_suspicion(self, traits: Iterable[TraitId]) -> bool:
        """Return whether one more crash may suspect any of some traits."""
        return any(
            self._evidence.count_crashes(trait) + 1 >= find_terms(trait).min_crashes
            for trait in traits
        )

    def list_crashed_instances(self, trait: TraitId) -> list[InstanceId]:
        """Return the instances that crashed while they had a trait."""
        crashes = self._evidence.list_crashes(trait)
        return sorted(crash.incarnation.instance for crash in crashes)

    def list_shared_crashes(self) -> list[Crash]:
        """Return the crashes that a process needs which has just started.

        They have only the traits that more than one crash speaks against.
        """
        shared = []
        for crash in self._evidence:
            traits = {
                trait
                for trait in crash.traits
                if self._evidence.count_crashes(trait) >= MIN_SHARED_CRASHES
            }
            if traits:
                trials = crash.trials & traits
                shared.append(Crash(crash.incarnation, crash.at, traits, trials))
        return shared

    def record_crash(
        self,
        incarnation: InstanceIncarnation,
        traits: Iterable[TraitId],
        trials: Collection[TraitId],
        now: float,
        crashed_at: float | None = None,
    ) -> CrashFindings:
        """Record that an upstream crashed while it had requests.

        Args:
            incarnation: The upstream, whose crash counts once however many
                processes report it.
            traits: Traits of the requests.
            trials: Those of them that were on trial there.
            now: Seconds.
            crashed_at: Time of the crash; None for now.
        """
        at = now if crashed_at is None else crashed_at
        crash = self._evidence.add_crash(incarnation, traits, trials, at)
        findings = CrashFindings(doubtful=self._review(now))
        for trait in self._inference.list_suspected(crash.traits, now):
            # One that was just quarantined may explain this one's crashes.
            if not self._inference.is_suspected(
                trait, now
            ) or not self._inference.is_convicted(trait):
                continue
            self._holds[trait] = _Hold(
                now + find_terms(trait).hold_s,
                self._inference.count_trials(trait),
                now,
            )
            findings.quarantined.append(trait)
            for explained in self._inference.list_explained(trait):
                self.release(explained)
                findings.explained.append(explained)
        return findings

    def _review(self, now: float) -> list[TraitId]:
        """End the quarantines that a newly reported crash puts in doubt."""
        doubtful = [
            trait
            for trait, hold in self._holds.items()
            if hold.decided_at is not None
            and now - hold.decided_at < REVIEW_S
            and not self._inference.is_convicted(trait)
        ]
        for trait in doubtful:
            del self._holds[trait]
        return doubtful

    def record_answer(
        self, traits: Iterable[TraitId], began_at: float, now: float
    ) -> list[TraitId]:
        """Record that an upstream answered a request completely.

        Args:
            traits: The request's traits.
            began_at: Time at which the upstream began to write the answer, in
                seconds.
            now: Seconds.

        Returns:
            The traits that other processes may suspect, or have quarantined,
            and that this answer clears.
        """
        return [t for t in traits if self._record_answer(t, began_at, now)]

    def apply_record(
        self, trait: TraitId, crashed: Collection[InstanceId], trials: int, now: float
    ) -> bool:
        """Quarantine a trait that another process has recorded.

        Args:
            trait: The trait.
            crashed: The instances that crashed while they had it.
            trials: How many of them crashed in a trial.
            now: Seconds.

        Returns:
            Whether it is quarantined now. It isn't if this process has had an
            answer that speaks against the record.
        """
        answers = self._evidence.find_answers(trait)
        if answers is not None and now - answers.latest_at < RECENT_ANSWER_S:
            terms = find_terms(trait)
            refuted = sum(
                crash.incarnation.instance in crashed and crash.at < answers.latest_at
                for crash in self._evidence
            )
            is_refuted = refuted and len(crashed) - refuted < terms.min_crashes
            if is_refuted or trials <= terms.min_trials:
                self._holds.pop(trait, None)
                return False
        if trait not in self._holds:
            self._holds[trait] = _Hold(inf, trials)
        return True

    def find_answer_time(self, trait: TraitId) -> float | None:
        """Return when the latest answer to a trait began; None for never."""
        answers = self._evidence.find_answers(trait)
        return None if answers is None else answers.latest_at

    def release(self, trait: TraitId) -> None:
        """Forget the quarantine and the crashes of a trait."""
        self._holds.pop(trait, None)
        self._evidence.forget_crashes(trait)

    def _record_answer(self, trait: TraitId, began_at: float, now: float) -> bool:
        if trait not in self._holds and not self._evidence.count_crashes(trait):
            self._evidence.add_answer(trait, began_at)
            return False
        min_crashes = find_terms(trait).min_crashes
        was_known = self._evidence.count_crashes(trait) >= min_crashes
        self._evidence.add_answer(trait, began_at)
        is_known = self._evidence.count_crashes(trait) >= min_crashes
        if not self.is_quarantined(trait, now):
            return was_known and not is_known
        if is_known and self.count_trials(trait) >= self._inference.count_needed_trials(
            trait
        ):
            # The answer began before the trait crashed its first upstream.
            return False
        del self._holds[trait]
        return True
