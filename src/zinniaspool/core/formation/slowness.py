"""Decides which groups are formed anew without a slow member.

A slow VM slows its whole group. While idle or standby VMs of its domain can
take its place at once, the group is closed, and its other VMs form it again
with one of them.
"""

from collections import defaultdict
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from zinniaspool.core.fleet import InstanceId
from zinniaspool.core.formation.allocation import Candidate, Readiness
from zinniaspool.core.formation.domains import PlannedDomain
from zinniaspool.core.formation.lifecycle import GroupRun
from zinniaspool.core.formation.records import GroupPhase
from zinniaspool.core.ids import GroupId, ModelName, ServiceName

__all__ = ["SLOW_VM", "Replacement", "SlowVms"]

SLOW_VM = 2.5
"""Factor by which a VM works slower than usual from which it counts as slow.
Entry processes avoid a head of this pace, so that closing its group costs no
capacity."""

KNOWN_S = 5.0
"""Time for which a reported slowness counts, in seconds. Slow VMs are queried
again more often than that."""

REPLACEMENT_S = 4.0
"""Time after the end of a replaced group in which no other group of its model
is replaced, in seconds. By then it has formed again from VMs that have the
model in memory."""

MIN_GROUPS = 2
"""Groups of a model that must serve for one of them to be replaced."""


@dataclass(frozen=True, slots=True)
class Replacement:
    """A group to close, and the slow member because of which it is closed."""

    run: GroupRun
    member: InstanceId


@dataclass(slots=True)
class _LastReplacement:
    group: GroupId
    seen_at: float


class SlowVms:
    """The VMs that report to be slow, and the groups replaced because of it.

    Attributes:
        replaced_count: Groups that were closed because of a slow member.
    """

    def __init__(self) -> None:
        self.replaced_count = 0
        self._known: dict[InstanceId, tuple[float, float]] = {}
        self._last: dict[tuple[ServiceName, ModelName], _LastReplacement] = {}

    def record(self, instance: InstanceId, slowness: float, now: float) -> bool:
        """Record what a VM reports; return whether it became slow or usual.

        Args:
            instance: The VM's instance.
            slowness: Factor by which it works slower than usual.
            now: Seconds.
        """
        was_slow = instance in self._known
        if slowness < SLOW_VM:
            self._known.pop(instance, None)
            return was_slow
        self._known[instance] = slowness, now
        return not was_slow

    def forget(self, instance: InstanceId) -> None:
        """Forget a VM that was removed or has restarted."""
        self._known.pop(instance, None)

    @property
    def instances(self) -> Collection[InstanceId]:
        """The VMs that count as slow."""
        return self._known.keys()

    def choose_replacements(
        self,
        domains: Collection[PlannedDomain],
        list_candidates: Callable[[PlannedDomain], Iterable[Candidate]],
        now: float,
        not_orderable: frozenset[InstanceId] = frozenset(),
    ) -> list[Replacement]:
        """Return the groups to close now, at most one of each model.

        Args:
            domains: All planned fabric domains.
            list_candidates: Returns a domain's idle and standby VMs.
            now: Seconds.
            not_orderable: VMs that orders don't reach. A group with one of
                them can't be ordered to close, or its VMs to join another.
        """
        for instance, (_, reported_at) in list(self._known.items()):
            if now - reported_at > KNOWN_S:
                del self._known[instance]
        if not self._known:
            return []
        found = []
        serving = _group_serving(domains)
        for key, runs in serving.items():
            if len(runs) < MIN_GROUPS or self._is_replacing(key, domains, now):
                continue
            closable = [
                (domain, run)
                for domain, run in runs
                if not_orderable.isdisjoint(run.record.members)
            ]
            chosen = self._choose_worst(closable, list_candidates, now)
            if chosen is not None:
                self._last[key] = _LastReplacement(chosen.run.record.group, now)
                self.replaced_count += 1
                found.append(chosen)
        return found

    def _is_replacing(
        self,
        key: tuple[ServiceName, ModelName],
        domains: Collection[PlannedDomain],
        now: float,
    ) -> bool:
        last = self._last.get(key)
        if last is None:
            return False
        if any(last.group in domain.runs for domain in domains):
            last.seen_at = now
        return now - last.seen_at < REPLACEMENT_S

    def _choose_worst(
        self,
        runs: Iterable[tuple[PlannedDomain, GroupRun]],
        list_candidates: Callable[[PlannedDomain], Iterable[Candidate]],
        now: float,
    ) -> Replacement | None:
        """Return the replaceable group with the slowest member, or None."""
        worst, worst_slowness = None, 0.0
        for domain, run in runs:
            slow = [member for member in run.record.members if member in self._known]
            if not slow or domain.has_reservation(now):
                continue
            member = max(slow, key=lambda it: self._known[it][0])
            slowness, _ = self._known[member]
            if slowness <= worst_slowness:
                continue
            able = [
                candidate
                for candidate in list_candidates(domain)
                if not candidate.is_slow
                and candidate.get_readiness(run.record.model) < Readiness.ABSENT
            ]
            if len(able) >= len(slow):
                worst, worst_slowness = Replacement(run, member), slowness
        return worst


def _group_serving(
    domains: Iterable[PlannedDomain],
) -> dict[tuple[ServiceName, ModelName], list[tuple[PlannedDomain, GroupRun]]]:
    found: defaultdict[
        tuple[ServiceName, ModelName], list[tuple[PlannedDomain, GroupRun]]
    ] = defaultdict(list)
    for domain in domains:
        for run in domain.runs.values():
            if run.phase is GroupPhase.SERVING and not run.record.standby:
                found[run.record.service, run.record.model].append((domain, run))
    return found
