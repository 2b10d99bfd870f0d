"""What an entry process knows of the groups, and which of them serve."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from zinniaspool.core.groups.beats import (
    NO_DIGEST,
    DomainBeat,
    GroupBeat,
    expected_digest,
)
from zinniaspool.core.ids import FabricDomainId, GroupId
from zinniaspool.core.plans import DomainPlan, GroupPlan, GroupStage

__all__ = ["DomainEvidence", "EvidenceBook", "GroupEvidence", "ServingGroup"]

_WINDOW_S = 300.0
"""Seconds over which clocks of two VMs are compared; drift stays below a
millisecond in that time."""
_MS = 1000
"""Milliseconds in a second."""


@dataclass(frozen=True, slots=True)
class ServingGroup:
    """A group that may be sent requests.

    Attributes:
        group: Its plan.
        made_at: When its oldest member report was made, on this process's
            clock.
        running: Requests in progress, as reported.
        waiting: Requests queued, as reported.
    """

    group: GroupPlan
    made_at: float
    running: int
    waiting: int


@dataclass(frozen=True, slots=True)
class GroupEvidence:
    """What is known of one group, for operators.

    Attributes:
        group: Which.
        age_s: Of its oldest member report; None when nothing was heard.
        matches: Whether the members reported just this group.
        serves: Whether it may be sent requests.
    """

    group: GroupId
    age_s: float | None
    matches: bool
    serves: bool


@dataclass(frozen=True, slots=True)
class DomainEvidence:
    """A domain's plan and what is known of its groups."""

    plan: DomainPlan
    groups: tuple[GroupEvidence, ...]


@dataclass(slots=True)
class _SourceClock:
    """How far another process's clock is from this one's.

    The smallest difference between receipt and sending seen lately is that
    of the quickest beat. A beat that took longer, since its sender or this
    process was stopped on the way, shows a larger one, and counts as older
    by just that. The smallest is sought over a window, since clocks drift.
    """

    window_began: float
    least: float
    least_before: float

    def place(self, made_at: float, age_s: float, now: float) -> float:
        """Return when ``made_at`` was, on this process's clock."""
        difference = now - age_s - made_at
        if now >= self.window_began + _WINDOW_S:
            self.least_before, self.least = self.least, difference
            self.window_began = now
        self.least = min(self.least, difference)
        return made_at + min(self.least, self.least_before)


@dataclass(frozen=True, slots=True)
class _Evidence:
    made_at: float
    beat: GroupBeat


@dataclass(slots=True)
class _Domain:
    plan: DomainPlan
    expected: dict[GroupId, int] = field(default_factory=dict)
    evidence: dict[GroupId, _Evidence] = field(default_factory=dict)

    def take_plan(self, plan: DomainPlan) -> None:
        self.plan = plan
        self.expected = {group.id: expected_digest(group) for group in plan.groups}
        # Evidence of a group that the new plan leaves as it is stays true:
        # its digest is still the expected one. Were it dropped, each change
        # of one group would leave callers without any group of the domain
        # until the next beat.
        self.evidence = {
            group: found
            for group, found in self.evidence.items()
            if group in self.expected
        }


class EvidenceBook:
    """Plans and evidence of all domains, as known here.

    Args:
        stale_after_s: Age from which a report counts as absent.
    """

    def __init__(self, stale_after_s: float) -> None:
        self._stale_after_s = stale_after_s
        self._domains: dict[FabricDomainId, _Domain] = {}
        self._clocks: dict[str, _SourceClock] = {}

    @property
    def plans(self) -> dict[FabricDomainId, DomainPlan]:
        """The newest plan known of each domain."""
        return {name: domain.plan for name, domain in self._domains.items()}

    def take_plan(self, plan: DomainPlan) -> bool:
        """Take a plan, unless a newer one is known; return whether taken."""
        domain = self._domains.get(plan.fabric_domain)
        if domain is None:
            domain = self._domains[plan.fabric_domain] = _Domain(plan)
        elif plan.epoch <= domain.plan.epoch:
            return False
        domain.take_plan(plan)
        return True

    def take_beat(self, beat: DomainBeat, age_s: float, now: float) -> None:
        """Take evidence.

        Args:
            beat: The evidence.
            age_s: How long it has travelled at least.
            now: Seconds, on this process's clock.
        """
        made_at = self._place(beat, age_s, now)
        domain = self._domains.get(beat.domain)
        if domain is None or beat.epoch != domain.plan.epoch:
            # Of another plan: the groups meant may not be the ones known.
            return
        for group, evidence in zip(domain.plan.groups, beat.groups, strict=False):
            if evidence.digest == NO_DIGEST:
                # A source that has not heard every member yet knows nothing
                # that takes back what another one heard.
                continue
            found = _Evidence(made_at - evidence.age_ms / _MS, evidence)
            known = domain.evidence.get(group.id)
            if known is None or found.made_at >= known.made_at:
                domain.evidence[group.id] = found

    def _place(self, beat: DomainBeat, age_s: float, now: float) -> float:
        clock = self._clocks.get(beat.source)
        if clock is None:
            self._forget_clocks(now)
            difference = now - age_s - beat.made_at
            clock = _SourceClock(now, difference, difference)
            self._clocks[beat.source] = clock
        return clock.place(beat.made_at, age_s, now)

    def _forget_clocks(self, now: float) -> None:
        for source, clock in list(self._clocks.items()):
            if now >= clock.window_began + 2 * _WINDOW_S:
                del self._clocks[source]

    def describe(self, now: float) -> list[DomainEvidence]:
        """Return all that is known, by domain."""
        return [
            DomainEvidence(
                domain.plan,
                tuple(self._describe(domain, g, now) for g in domain.plan.groups),
            )
            for _, domain in sorted(self._domains.items())
        ]

    def _describe(self, domain: _Domain, group: GroupPlan, now: float) -> GroupEvidence:
        found = domain.evidence.get(group.id)
        serves = self._judge(domain, group, now) is not None
        if found is None:
            return GroupEvidence(group.id, None, False, serves)
        matches = found.beat.digest == domain.expected[group.id]
        return GroupEvidence(group.id, now - found.made_at, matches, serves)

    def find_serving(self, now: float) -> Iterator[ServingGroup]:
        """Yield the groups whose every VM freshly reports this very group."""
        for domain in self._domains.values():
            for group in domain.plan.groups:
                found = self._judge(domain, group, now)
                if found is not None:
                    yield found

    def _judge(
        self, domain: _Domain, group: GroupPlan, now: float
    ) -> ServingGroup | None:
        evidence = domain.evidence.get(group.id)
        if evidence is None or group.stage is not GroupStage.SERVING:
            return None
        if evidence.made_at < now - self._stale_after_s:
            return None
        if evidence.beat.digest != domain.expected[group.id]:
            return None
        beat = evidence.beat
        return ServingGroup(group, evidence.made_at, beat.running, beat.waiting)
