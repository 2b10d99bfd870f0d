"""Queries instances itself, and through entry processes if that fails."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

import structlog
from result import Err, Ok, Result

from zinniaspool.core.fleet import EngineStatus, HealthAnswer, Instance, InstanceId
from zinniaspool.core.messages.fleet import InstanceAnswer, QueryKind
from zinniaspool.fleet import FleetView
from zinniaspool.http import TransportFailure
from zinniaspool.keeper.engines import (
    CHECK_TIMEOUTS_S,
    MAX_LOCAL_LAG_S,
    EngineControl,
)
from zinniaspool.keeper.reach import UpstreamReach
from zinniaspool.keeper.relays import EntryRelay

__all__ = ["InstanceQueries", "QueryOutcome", "list_unresponsive"]

_log = structlog.get_logger(__name__)
_T = TypeVar("_T")

HEALTH_TIMEOUTS_S = (0.2, 0.3)
"""Timeouts of two consecutive health queries, in seconds. A health answer
waits for a slot, so that the first query gets more time than one for the
status. Both together end well within the 0.8 s for which the other processes
keep an instance without a decision."""

MAX_CHECK_S = 0.57
"""Longest time for one check of an instance on both paths, in seconds: 0.15 s
more than two status queries without entry processes take."""

MAX_UNTRIED_S = 2.0
"""For how long after its last answer an instance that answers only through
entry processes isn't taken for silent because these are, in seconds. An entry
process that was too busy to answer is tried again after a second."""


@dataclass(frozen=True, slots=True)
class QueryOutcome(Generic[_T]):
    """The outcome of the queries to an instance.

    Attributes:
        answer: Its answer; None if none arrived on either path.
        is_inconclusive: Whether a missing answer shows nothing, because this
            process was too busy to read it in time, no VM that reaches
            upstreams has tried to reach the instance, or it answers only
            through entry processes and none of them has queried it.
        silent_s: For how long the instance certainly did not answer, in
            seconds; 0 if that is inconclusive.
    """

    answer: _T | None
    is_inconclusive: bool
    silent_s: float = 0.0


class InstanceQueries:
    """Queries instances for their status and health on two paths.

    If an instance does not answer this process's first query, an entry process
    queries it while this process tries again. The first answer counts.

    Args:
        fleet_view: What this process knows of the fleet.
        engines: Queries instances, and decodes their answers.
        relay: Has entry processes query instances; None for no second path.
        start: Starts a task.
        reach: Finds out whether a missing answer is the instance's fault.

    Attributes:
        health_counts: Number of health queries, by outcome.
    """

    def __init__(
        self,
        fleet_view: FleetView,
        engines: EngineControl,
        relay: EntryRelay | None,
        start: Callable[[Coroutine[Any, Any, object]], None],
        reach: UpstreamReach,
    ) -> None:
        self._fleet_view = fleet_view
        self._engines = engines
        self._relay = relay
        self._start = start
        self._reach = reach
        self._unconfirmed: set[InstanceId] = set()
        # When an entry process last had a status of each of them, in seconds.
        self._indirect: dict[InstanceId, float] = {}
        self.health_counts: Counter[str] = Counter()

    @property
    def indirect(self) -> frozenset[InstanceId]:
        """Instances that answer only through an entry process."""
        return frozenset(self._indirect)

    @property
    def not_orderable(self) -> frozenset[InstanceId]:
        """Instances that have not answered this process's last query.

        Those are among them that it is querying for the second time.
        """
        return self.indirect | self._unconfirmed

    def forget_all(self) -> None:
        """Forget what was found out in an earlier time as the holder."""
        self._indirect.clear()
        self._unconfirmed.clear()

    def forget_gone(self) -> None:
        """Forget instances that are not in the view any more."""
        for instance in self._indirect.keys() - self._fleet_view.instances.keys():
            self._record_direct(instance, "gone")

    async def query_own_status(
        self, known: Instance, timeout_s: float
    ) -> EngineStatus | None:
        """Query an instance's status once, without an entry process."""
        status = await self._engines.query_status(known.address, timeout_s)
        if not isinstance(status, Ok):
            return None
        self._record_direct(known.id, "answered")
        return status.ok_value

    async def query_status(
        self,
        known: Instance,
        timeouts_s: Sequence[float] = CHECK_TIMEOUTS_S,
        max_s: float | None = MAX_CHECK_S,
    ) -> QueryOutcome[EngineStatus]:
        """Query an instance's status on both paths.

        Args:
            known: The instance.
            timeouts_s: Timeouts of this process's own queries, in seconds.
                The second path begins with the last of them, which is the only
                one to an instance that is known to answer only there.
            max_s: Longest time for all queries, in seconds; None if the
                second path may wait for other queries.
        """

        async def query_own(timeout_s: float) -> EngineStatus | None:
            return await self.query_own_status(known, timeout_s)

        if known.id in self._indirect:
            timeouts_s = timeouts_s[-1:]
        since = asyncio.get_running_loop().time()
        relayed = self._make_relayed_query(known, QueryKind.STATUS, self._decode_status)
        race = _Race(timeouts_s, max_s, query_own, relayed)
        answer, own = await race.run()
        if own is not None:
            # The own query still runs. An order might reach the instance.
            self._unconfirmed.add(known.id)
            self._start(self._confirm_indirect(known.id, own))
        elif answer is not None and race.was_relayed:
            self._record_indirect(known.id)
        if answer is not None:
            return QueryOutcome(answer, is_inconclusive=False)
        silent_s = asyncio.get_running_loop().time() - since
        if (
            race.was_delayed
            or self._is_untried(known.id, relayed)
            or not await self._reach.can_judge(known.address, since)
        ):
            return QueryOutcome(answer, is_inconclusive=True)
        self._record_direct(known.id, "unreachable")
        return QueryOutcome(answer, is_inconclusive=False, silent_s=silent_s)

    async def query_health(
        self, known: Instance, path: str | None
    ) -> QueryOutcome[HealthAnswer]:
        """Query an instance's health on both paths.

        Args:
            known: The instance.
            path: Path of the query; None if the configuration names none.
        """
        if path is None:
            return QueryOutcome(None, is_inconclusive=False)

        async def query_own(timeout_s: float) -> HealthAnswer | None:
            return self._count_health(
                await self._engines.query_health(
                    known.address, known.id, path, timeout_s
                )
            )

        since = asyncio.get_running_loop().time()
        relayed = self._make_relayed_query(
            known,
            QueryKind.HEALTH,
            lambda answer: self._count_health(
                Err(TransportFailure.TIMED_OUT)
                if answer is None
                else self._engines.decode_health(answer)
            ),
        )
        race = _Race(
            HEALTH_TIMEOUTS_S[known.id in self._indirect :],
            MAX_CHECK_S,
            query_own,
            relayed,
        )
        answer, own = await race.run()
        if own is not None:
            own.cancel()
        is_inconclusive = race.was_delayed or self._is_untried(known.id, relayed)
        if answer is None and not is_inconclusive:
            is_inconclusive = not await self._reach.can_judge(known.address, since)
        return QueryOutcome(answer, is_inconclusive)

    def _decode_status(self, answer: InstanceAnswer | None) -> EngineStatus | None:
        return None if answer is None else self._engines.decode_status(answer).ok()

    def _count_health(
        self, answer: Result[HealthAnswer, TransportFailure]
    ) -> HealthAnswer | None:
        if not isinstance(answer, Ok):
            self.health_counts["missing"] += 1
            return None
        self.health_counts[answer.ok_value.health.value] += 1
        return answer.ok_value

    def _make_relayed_query(
        self,
        known: Instance,
        kind: QueryKind,
        decode: Callable[[InstanceAnswer | None], _T | None],
    ) -> "_RelayedQuery[_T] | None":
        if self._relay is None:
            return None
        return _RelayedQuery(self._relay, known, kind, decode)

    def _is_untried(
        self, instance: InstanceId, relayed: "_RelayedQuery[Any] | None"
    ) -> bool:
        """Return whether a missing answer is not the instance's own silence.

        The silence of entry processes shows nothing about an instance that
        answers only through them, unless it lasts.
        """
        answered_at = self._indirect.get(instance)
        if answered_at is None or relayed is None or relayed.was_tried:
            return False
        return asyncio.get_running_loop().time() - answered_at < MAX_UNTRIED_S

    async def _confirm_indirect(
        self, instance: InstanceId, own: "asyncio.Task[EngineStatus | None]"
    ) -> None:
        try:
            if await own is None:
                self._record_indirect(instance)
        finally:
            own.cancel()
            self._unconfirmed.discard(instance)

    def _record_indirect(self, instance: InstanceId) -> None:
        is_known = instance in self._indirect
        self._indirect[instance] = asyncio.get_running_loop().time()
        if is_known:
            return
        _log.warning("instance-indirect", instance=instance)

    def _record_direct(self, instance: InstanceId, reason: str) -> None:
        if instance not in self._indirect:
            return
        del self._indirect[instance]
        _log.info("instance-indirect-ended", instance=instance, reason=reason)


class _RelayedQuery(Generic[_T]):
    """A query to an instance through entry processes.

    Args:
        relay: Chooses the entry processes.
        known: The instance.
        kind: What to query it for.
        decode: Decodes its answer; gets None if it gave none.

    Attributes:
        was_tried: Whether an entry process has queried it.
    """

    def __init__(
        self,
        relay: EntryRelay,
        known: Instance,
        kind: QueryKind,
        decode: Callable[[InstanceAnswer | None], _T | None],
    ) -> None:
        self._relay = relay
        self._known = known
        self._kind = kind
        self._decode = decode
        self.was_tried = False

    async def __call__(self, timeout_s: float | None) -> _T | None:
        """Return the instance's answer, or None.

        Args:
            timeout_s: Longest time for all of it, in seconds; None for no
                limit.
        """
        answer = await self._relay.query(self._known, self._kind, timeout_s)
        self.was_tried = answer is not None
        has_answer = answer is not None and answer.status is not None
        return self._decode(answer if has_answer else None)


class _Race(Generic[_T]):
    """Queries on both paths, of which the first answer counts.

    Args:
        timeouts_s: Timeouts of the own queries, in seconds.
        max_s: Longest time for all queries, in seconds; None for no limit.
        query_own: Queries the instance with a timeout.
        query_relayed: Queries it through an entry process, with a timeout;
            None for no second path.

    Attributes:
        was_delayed: Whether any wait ended later than it should have.
        was_relayed: Whether the answer came through an entry process.
    """

    def __init__(
        self,
        timeouts_s: Sequence[float],
        max_s: float | None,
        query_own: Callable[[float], Awaitable[_T | None]],
        query_relayed: Callable[[float | None], Awaitable[_T | None]] | None,
    ) -> None:
        self._timeouts_s = timeouts_s
        self._max_s = max_s
        self._query_own = query_own
        self._query_relayed = query_relayed
        self.was_delayed = False
        self.was_relayed = False

    async def run(self) -> "tuple[_T | None, asyncio.Task[_T | None] | None]":
        """Return the first answer, and the own query if it still runs."""
        started_at = asyncio.get_running_loop().time()
        for timeout_s in self._timeouts_s[:-1]:
            answer = await self._run_in(self._query_own, timeout_s)
            if answer is not None:
                return answer, None
        last = self._run_in(self._query_own, self._timeouts_s[-1])
        if self._query_relayed is None:
            return await last, None
        passed_s = asyncio.get_running_loop().time() - started_at
        left_s = None if self._max_s is None else max(0.0, self._max_s - passed_s)
        own = asyncio.create_task(last)
        relayed = asyncio.create_task(self._run_in(self._query_relayed, left_s))
        keeps_own = False
        try:
            await asyncio.wait([own, relayed], return_when=asyncio.FIRST_COMPLETED)
            if own.done() and (answer := own.result()) is not None:
                return answer, None
            answer = await relayed
            if answer is None:
                return await own, None
            if own.done() and (direct := own.result()) is not None:
                return direct, None
            self.was_relayed = True
            keeps_own = not own.done()
            return answer, own if keeps_own else None
        finally:
            relayed.cancel()
            if not keeps_own:
                own.cancel()

    async def _run_in(
        self, query: Callable[[Any], Awaitable[_T | None]], timeout_s: float | None
    ) -> _T | None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        answer = await query(timeout_s)
        if timeout_s is not None and (
            loop.time() - started_at > timeout_s + MAX_LOCAL_LAG_S
        ):
            self.was_delayed = True
        return answer


async def list_unresponsive(
    instances: Sequence[InstanceId],
    refresh: Callable[[InstanceId], Awaitable[bool]],
    batch_size: int,
) -> list[InstanceId]:
    """Refresh the status of instances; return those that do not answer.

    Args:
        instances: The instances.
        refresh: Queries one of them, and returns whether it answered.
        batch_size: How many are queried at once.
    """
    unresponsive = []
    for first in range(0, len(instances), batch_size):
        batch = instances[first : first + batch_size]
        answered = await asyncio.gather(*map(refresh, batch))
        unresponsive += [
            instance
            for instance, answer in zip(batch, answered, strict=True)
            if not answer
        ]
    return unresponsive
