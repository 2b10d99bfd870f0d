"""The plans and evidence that a process has, and which groups they serve.

An entry process sends requests only to groups that its evidence shows to be
whole; a control process uses the same table for the other domains.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from zinniaspool.core.groups.beats import (
    NO_DIGEST,
    DomainHeartbeat,
    GroupHeartbeat,
    compute_expected_digest,
)
from zinniaspool.core.ids import FabricDomainId, GroupId
from zinniaspool.core.plans import DomainPlan, GroupPlan, GroupStage

__all__ = ["DomainEvidence", "EvidenceTable", "GroupEvidence", "ServingGroup"]

_CLOCK_WINDOW_S = 300.0
"""Seconds over which the clocks of two VMs are compared. They drift apart by
less than a millisecond in that time."""
_MS = 1000
"""Milliseconds in a second."""


@dataclass(frozen=True, slots=True)
class ServingGroup:
    """A group that may be sent requests.

    Attributes:
        group: The group as planned.
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
    """The evidence of one group, for operators.

    Attributes:
        group: The group.
        age_s: Age of its oldest member report, or None without evidence.
        matches: Whether all members reported exactly this group, epoch,
            model and version, ready to serve.
        serves: Whether it may be sent requests.
    """

    group: GroupId
    age_s: float | None
    matches: bool
    serves: bool


@dataclass(frozen=True, slots=True)
class DomainEvidence:
    """A domain's plan and the evidence of its groups, for operators."""

    plan: DomainPlan
    groups: tuple[GroupEvidence, ...]


@dataclass(slots=True)
class _SourceClock:
    """Estimate of the offset between another process's clock and this one's.

    The smallest recent difference between the times of receipt and of
    sending belongs to the fastest heartbeat. A heartbeat that took longer,
    because its sender or this process was stopped meanwhile, shows a larger
    difference and counts as older by the excess. The minimum is taken over
    the current and the previous window, since clocks drift.

    Attributes:
        window_started_at: When the current window started, on this
            process's clock.
        min_offset_s: Smallest difference in the current window.
        previous_min_offset_s: Smallest difference in the previous window.
    """

    window_started_at: float
    min_offset_s: float
    previous_min_offset_s: float

    def to_local_time(self, made_at: float, age_s: float, now: float) -> float:
        """Convert a time of the other process's clock to this process's.

        Args:
            made_at: When the heartbeat was made, on its source's clock.
            age_s: For how long the heartbeat has travelled at least.
            now: Seconds, on this process's clock.
        """
        offset_s = now - age_s - made_at
        if now >= self.window_started_at + _CLOCK_WINDOW_S:
            self.previous_min_offset_s, self.min_offset_s = self.min_offset_s, offset_s
            self.window_started_at = now
        self.min_offset_s = min(self.min_offset_s, offset_s)
        return made_at + min(self.min_offset_s, self.previous_min_offset_s)


@dataclass(frozen=True, slots=True)
class _Evidence:
    made_at: float
    heartbeat: GroupHeartbeat


@dataclass(slots=True)
class _DomainState:
    plan: DomainPlan
    expected: dict[GroupId, int] = field(default_factory=dict)
    evidence: dict[GroupId, _Evidence] = field(default_factory=dict)

    def apply_plan(self, plan: DomainPlan) -> None:
        self.plan = plan
        self.expected = {
            group.id: compute_expected_digest(group) for group in plan.groups
        }
        # Evidence of a group that the new plan leaves unchanged stays valid:
        # its digest is still the expected one. If it was dropped, each
        # change of one group would leave callers without any group of the
        # domain until the next heartbeat.
        self.evidence = {
            group: evidence
            for group, evidence in self.evidence.items()
            if group in self.expected
        }


class EvidenceTable:
    """Plans and evidence of all domains, as known to this process.

    Args:
        stale_after_s: Age above which a report no longer counts.
    """

    def __init__(self, stale_after_s: float) -> None:
        self._stale_after_s = stale_after_s
        self._domains: dict[FabricDomainId, _DomainState] = {}
        self._clocks: dict[str, _SourceClock] = {}

    @property
    def plans(self) -> dict[FabricDomainId, DomainPlan]:
        """The newest known plan of each domain."""
        return {name: domain.plan for name, domain in self._domains.items()}

    def apply_plan(self, plan: DomainPlan) -> bool:
        """Apply a plan unless it is outdated.

        Returns:
            Whether the plan is newer than the one known before.
        """
        domain = self._domains.get(plan.fabric_domain)
        if domain is None:
            domain = self._domains[plan.fabric_domain] = _DomainState(plan)
        elif plan.epoch <= domain.plan.epoch:
            return False
        domain.apply_plan(plan)
        return True

    def apply_heartbeat(
        self, heartbeat: DomainHeartbeat, age_s: float, now: float
    ) -> None:
        """Apply the evidence of a heartbeat.

        Args:
            heartbeat: The heartbeat.
            age_s: For how long it has travelled at least.
            now: Seconds, on this process's clock.
        """
        made_at = self._to_local_time(heartbeat, age_s, now)
        domain = self._domains.get(heartbeat.domain)
        if domain is None or heartbeat.epoch != domain.plan.epoch:
            # It belongs to another plan, whose groups may be different.
            return
        for group, group_heartbeat in zip(
            domain.plan.groups, heartbeat.groups, strict=False
        ):
            if group_heartbeat.digest == NO_DIGEST:
                # A source that has not received every member's report yet
                # does not refute the evidence of another source.
                continue
            evidence = _Evidence(
                made_at - group_heartbeat.age_ms / _MS, group_heartbeat
            )
            known = domain.evidence.get(group.id)
            if known is None or evidence.made_at >= known.made_at:
                domain.evidence[group.id] = evidence

    def _to_local_time(
        self, heartbeat: DomainHeartbeat, age_s: float, now: float
    ) -> float:
        clock = self._clocks.get(heartbeat.source)
        if clock is None:
            self._remove_old_clocks(now)
            offset_s = now - age_s - heartbeat.made_at
            clock = _SourceClock(now, offset_s, offset_s)
            self._clocks[heartbeat.source] = clock
        return clock.to_local_time(heartbeat.made_at, age_s, now)

    def _remove_old_clocks(self, now: float) -> None:
        for source, clock in list(self._clocks.items()):
            if now >= clock.window_started_at + 2 * _CLOCK_WINDOW_S:
                del self._clocks[source]

    def describe(self, now: float) -> list[DomainEvidence]:
        """Return all plans and evidence, sorted by domain."""
        return [
            DomainEvidence(
                domain.plan,
                tuple(self._describe(domain, g, now) for g in domain.plan.groups),
            )
            for _, domain in sorted(self._domains.items())
        ]

    def _describe(
        self, domain: _DomainState, group: GroupPlan, now: float
    ) -> GroupEvidence:
        evidence = domain.evidence.get(group.id)
        serves = self._find_serving_group(domain, group, now) is not None
        if evidence is None:
            return GroupEvidence(group.id, None, False, serves)
        matches = evidence.heartbeat.digest == domain.expected[group.id]
        return GroupEvidence(group.id, now - evidence.made_at, matches, serves)

    def find_serving(self, now: float) -> Iterator[ServingGroup]:
        """Yield the groups whose VMs have all recently reported this group."""
        for domain in self._domains.values():
            for group in domain.plan.groups:
                serving = self._find_serving_group(domain, group, now)
                if serving is not None:
                    yield serving

    def _find_serving_group(
        self, domain: _DomainState, group: GroupPlan, now: float
    ) -> ServingGroup | None:
        evidence = domain.evidence.get(group.id)
        if evidence is None or group.stage is not GroupStage.SERVING:
            return None
        if evidence.made_at < now - self._stale_after_s:
            return None
        if evidence.heartbeat.digest != domain.expected[group.id]:
            return None
        heartbeat = evidence.heartbeat
        return ServingGroup(
            group, evidence.made_at, heartbeat.running, heartbeat.waiting
        )
