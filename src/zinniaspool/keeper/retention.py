"""Queries instances whose records were removed, and retains those that serve.

The holder queries each of them at once for its health and its status, and
reports those whose answers agree to all processes with its heartbeat.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Collection, Coroutine
from typing import Any

import structlog

from zinniaspool.core.fleet import (
    EngineStatus,
    HealthAnswer,
    Instance,
    InstanceId,
    InstanceIncarnation,
    LeavingSource,
    RetentionEnd,
    RetentionTracker,
)
from zinniaspool.fleet import FleetView
from zinniaspool.keeper.queries import InstanceQueries

__all__ = ["InstanceRetainer"]

_log = structlog.get_logger(__name__)

MAX_CONCURRENT_CHECKS = 24
"""How many instances are queried at once, with two queries each. It is half of
the answers that a VM with half a core reads within the timeout of one query.
If a fifth of 162 upstreams lose the store at once, those that answer leave the
places to the rest within milliseconds."""


STEP_PAUSE_S = 0.05
"""Pause between two steps while a new holder does other work, in seconds."""


class InstanceRetainer:
    """Decides for the holder which instances without a record are retained.

    Args:
        fleet_view: What this process knows of the fleet.
        queries: Queries instances for their health and status.
        start: Starts a task, and has the holder's next pass follow its end.

    Attributes:
        end_counts: Number of instances that were not retained, or no longer,
            by reason.
    """

    def __init__(
        self,
        fleet_view: FleetView,
        queries: InstanceQueries,
        start: Callable[[Coroutine[Any, Any, object]], None],
    ) -> None:
        self._fleet_view = fleet_view
        self._queries = queries
        self._start = start
        self._tracker = RetentionTracker()
        self.end_counts: Counter[RetentionEnd] = Counter()

    def take_over(self) -> None:
        """Begin with the instances that the previous holder retained.

        They stay reported as retained until their answers have arrived.
        """
        self._tracker = RetentionTracker()
        self._track_kept(self._fleet_view.retention.retained.keys())
        self._report()

    def step(self) -> None:
        """Start the queries that are due, and report what is retained."""
        if not self._fleet_view.retention.is_enabled:
            return
        now = self._fleet_view.retention.clock()
        self._track_kept(())
        self._end_gone()
        for instance in self._tracker.list_expired(now):
            self._end(instance, RetentionEnd.TOO_LONG)
        for instance in self._list_evacuated():
            self._end(instance, RetentionEnd.EVACUATED)
        for instance in self._tracker.start_due_queries(now, MAX_CONCURRENT_CHECKS):
            self._start(self._check(self._fleet_view.instances[instance]))
        self._report()

    async def run_beside(self, work: Coroutine[Any, Any, None]) -> None:
        """Run long work of a new holder, and retain instances meanwhile.

        Its queries to all engines take seconds if many do not answer. Without
        reports, the other processes would drop what the previous holder
        retained.
        """
        task = asyncio.create_task(work)
        try:
            while not task.done():
                self.step()
                await asyncio.wait([task], timeout=STEP_PAUSE_S)
            await task
        finally:
            task.cancel()

    def list_unrecorded(self) -> Collection[InstanceId]:
        """Return the instances that are kept although they have no record."""
        return self._fleet_view.retention.list_kept().keys()

    def check_stalled(self, members: Collection[InstanceId]) -> set[InstanceId]:
        """Query the members of a stalled group that have no record.

        Returns:
            These members. The holder must not query them once more.
        """
        tracked = set(members) & set(self._tracker.list_tracked())
        now = self._fleet_view.retention.clock()
        for instance in self._tracker.apply_stall(tracked, now):
            self._end(instance, RetentionEnd.STALLED)
        if tracked:
            self.step()
        return tracked

    def _track_kept(self, inherited: Collection[InstanceId]) -> None:
        now = self._fleet_view.retention.clock()
        for instance, removed_at in self._fleet_view.retention.list_kept().items():
            self._tracker.track(
                instance, removed_at, now, inherited=instance in inherited
            )

    def _end_gone(self) -> None:
        """Stop tracking instances that have a record again, or are dropped."""
        for instance in self._tracker.list_gone(self._fleet_view.retention.list_kept()):
            has_record = instance in self._fleet_view.instances
            self._end(
                instance,
                RetentionEnd.RECORD_RETURNED if has_record else RetentionEnd.UNDECIDED,
            )

    def _list_evacuated(self) -> list[InstanceId]:
        """Return the tracked instances in evacuated failure domains."""
        instances, evacuated = self._fleet_view.instances, self._fleet_view.evacuated
        return [
            name
            for name in self._tracker.list_tracked()
            if name in instances and instances[name].failure_domain in evacuated
        ]

    def _report(self) -> None:
        instances = self._fleet_view.instances
        retained = {
            instance: membership.state
            for instance in self._tracker.list_retained()
            if (known := instances.get(instance)) is not None
            and (membership := known.membership) is not None
        }
        self._fleet_view.update_retained(retained, 0.0)

    async def _check(self, known: Instance) -> None:
        """Query an instance for its health and status, and decide on it."""
        catalog = self._fleet_view.catalog
        service = None if catalog is None else catalog.services.get(known.service)
        path = None if service is None else service.health_path
        status, health = await asyncio.gather(
            self._queries.query_status(known), self._queries.query_health(known, path)
        )
        self._decide(
            known.id,
            health.answer,
            status.answer,
            is_inconclusive=health.is_inconclusive or status.is_inconclusive,
        )

    def _decide(
        self,
        instance: InstanceId,
        health: HealthAnswer | None,
        status: EngineStatus | None,
        *,
        is_inconclusive: bool,
    ) -> None:
        view = self._fleet_view
        if not view.retention.is_kept(instance):
            # Its record has returned, or it was dropped meanwhile.
            self._end_gone()
            return
        # Another record may have come and gone since the queries began.
        known = view.instances[instance]
        if health is not None and health.is_leaving:
            view.record_leaving(
                InstanceIncarnation(instance, known.started_at_ms),
                LeavingSource.HEALTH,
            )
        now = view.retention.clock()
        was_retained = self._tracker.is_retained(instance)
        end = self._tracker.apply_answers(
            known, health, status, now, was_delayed=is_inconclusive
        )
        if end is not None:
            self._end(instance, end)
            return
        if status is not None:
            view.apply_status(instance, status)
        if not was_retained and self._tracker.is_retained(instance):
            _log.info(
                "instance-retained",
                instance=instance,
                group=known.membership.group if known.membership else "",
                after_ms=int(self._tracker.get_age_s(instance, now) * 1000),
            )

    def _end(self, instance: InstanceId, reason: RetentionEnd) -> None:
        """Stop retaining an instance, and drop it if it has no record."""
        now = self._fleet_view.retention.clock()
        self.end_counts[reason] += 1
        _log.info(
            "retention-ended",
            instance=instance,
            reason=reason.value,
            was_retained=self._tracker.is_retained(instance),
            after_ms=int(self._tracker.get_age_s(instance, now) * 1000),
        )
        self._tracker.end(instance)
        if reason is not RetentionEnd.RECORD_RETURNED:
            # This process's view follows the last report too, and would put
            # the instance back as long as that names it.
            self._report()
            self._fleet_view.drop_removed(instance)
