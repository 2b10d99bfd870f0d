"""Watches instances that answer no query until they answer or have ended.

Silence alone doesn't show that an instance has ended: its VM may stand still
for a second, and its streams then go on. So its group goes on too, until the
silence has lasted longer than callers wait for a stream.
"""

import asyncio
from collections.abc import Callable, Coroutine
from enum import Enum
from typing import Any

import structlog

from zinniaspool.core.fleet import EngineStatus, Instance, InstanceId, InstanceState
from zinniaspool.core.formation import FormationPlanner
from zinniaspool.fleet import FleetView
from zinniaspool.keeper.queries import InstanceQueries
from zinniaspool.keeper.reach import UpstreamReach

__all__ = ["MAX_SILENCE_S", "LossReason", "SuspectWatcher"]

_log = structlog.get_logger(__name__)

MAX_SILENCE_S = 2.0
"""Silence after which an instance is lost, in seconds. Callers give a stream
up after a gap of two seconds, so that no work is left that could go on."""

QUERY_INTERVAL_S = 0.4
"""Usual time between the beginnings of two queries to a suspected instance, in
seconds. Each query waits for its answer all that time, so that the answer of
an instance that goes on is read at once."""


MAX_CONCURRENT_QUERIES = 96
"""How many suspected instances are queried at once. A VM with half a core
reads about this many answers in time. If more are silent, each is queried less
often, and its loss is found later."""


class LossReason(Enum):
    """What shows that an instance has ended."""

    SILENT = "silent"
    """It has answered no query for as long as callers wait."""

    REFUSED = "refused"
    """No process listens at its address."""


class SuspectWatcher:
    """Queries suspected instances until they answer or are lost.

    The silence of an instance is the sum of its unanswered queries. A query
    without an answer that this process could not judge adds nothing to it,
    and neither does time in which this process stood still.

    Args:
        fleet_view: What this process knows of the fleet.
        queries: Queries instances.
        reach: Finds out whether instances refuse connections.
        start: Starts a task.
        apply_status: Applies an instance's status, and returns whether there
            is one.
    """

    def __init__(
        self,
        fleet_view: FleetView,
        queries: InstanceQueries,
        reach: UpstreamReach,
        start: Callable[[Coroutine[Any, Any, object]], None],
        apply_status: Callable[[InstanceId, EngineStatus | None], bool],
    ) -> None:
        self._fleet_view = fleet_view
        self._queries = queries
        self._reach = reach
        self._start = start
        self._apply_status = apply_status
        self._slots = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)

    def suspect(
        self, planner: FormationPlanner, instance: InstanceId, silent_s: float
    ) -> None:
        """Suspect an instance that has answered no query, and watch it.

        Args:
            planner: Plans the groups; it gives the instance no new work.
            instance: The instance.
            silent_s: For how long it certainly did not answer, in seconds.
        """
        if instance in planner.unreachable:
            return
        if instance not in self._fleet_view.instances:
            return
        planner.mark_suspected(instance)
        _log.warning(
            "instance-suspected", instance=instance, silent_ms=int(silent_s * 1000)
        )
        self._start(self._watch(planner, instance, silent_s))

    async def _watch(
        self, planner: FormationPlanner, instance: InstanceId, silent_s: float
    ) -> None:
        """Query an instance until it answers, is lost or needs no watching."""
        left_s = max(0.0, MAX_SILENCE_S - silent_s)
        queries_left = max(1, round(left_s / QUERY_INTERVAL_S))
        interval_s = max(QUERY_INTERVAL_S / 2, left_s / queries_left)
        while (known := self._find_suspect(planner, instance)) is not None:
            async with self._slots:
                is_refused, is_silent = await self._query(planner, known, interval_s)
            if is_silent:
                queries_left -= 1
                silent_s += interval_s
            if self._find_suspect(planner, instance) is None:
                break
            if is_refused or not queries_left:
                reason = LossReason.REFUSED if is_refused else LossReason.SILENT
                self._record_loss(planner, instance, reason, silent_s)
        if instance in planner.suspected:
            # Its record was removed. Another one counts as that of any VM.
            planner.mark_reachable(instance)

    def _find_suspect(
        self, planner: FormationPlanner, instance: InstanceId
    ) -> Instance | None:
        """Return a suspected instance; None if it needs no watching."""
        if instance not in planner.suspected:
            return None
        return self._fleet_view.instances.get(instance)

    async def _query(
        self, planner: FormationPlanner, known: Instance, interval_s: float
    ) -> tuple[bool, bool]:
        """Query an instance; return whether it refuses, and is silent."""
        query = asyncio.create_task(self._query_status(planner, known, interval_s))
        try:
            if not await self._reach.is_refused(known.address):
                return False, await query
            if known.state is not InstanceState.LEAVING:
                return True, False
            # It may close its port, and finish its group's streams.
            await query
            return False, False
        finally:
            query.cancel()

    async def _query_status(
        self, planner: FormationPlanner, known: Instance, interval_s: float
    ) -> bool:
        """Query an instance for an interval; return whether it was silent."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + interval_s
        outcome = await self._queries.query_status(known, (interval_s,), interval_s)
        if self._apply_status(known.id, outcome.answer):
            if known.id in planner.suspected:
                _log.info("instance-regained", instance=known.id)
                planner.mark_reachable(known.id)
            return False
        # Connections that are refused fail long before the interval ends.
        await asyncio.sleep(max(0.0, ends_at - loop.time()))
        return not outcome.is_inconclusive

    def _record_loss(
        self,
        planner: FormationPlanner,
        instance: InstanceId,
        reason: LossReason,
        silent_s: float,
    ) -> None:
        _log.warning(
            "instance-lost",
            instance=instance,
            reason=reason.value,
            silent_ms=int(silent_s * 1000),
        )
        planner.mark_unreachable(instance)
