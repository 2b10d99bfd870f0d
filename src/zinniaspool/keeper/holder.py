"""Planning of replica groups by the control process that is the holder.

While this process is the holder, it reads the instances from its view of the
fleet, has ``FormationPlanner`` decide which groups there are, writes the plans
to the store and sends the resulting orders to the engines.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any

import structlog

from zinniaspool.core.fleet import EngineStatus, InstanceId, ModelDemandReport
from zinniaspool.core.formation import (
    DomainPlan,
    FormationPlanner,
    GroupOrder,
    GroupPhase,
    OrderAction,
    OrderOutcome,
    PlanWrite,
)
from zinniaspool.core.formation.lifecycle import GroupRun
from zinniaspool.core.formation.planner import PhaseTransition
from zinniaspool.core.formation.slowness import SLOW_VM, SlowVms
from zinniaspool.core.generations import MAX_EPOCH, find_generation, find_lowest_epoch
from zinniaspool.core.ids import Epoch, FabricDomainId, ModelName, NodeId, ServiceName
from zinniaspool.fleet import FleetView
from zinniaspool.keeper.election import HolderElection
from zinniaspool.keeper.engines import CHECK_TIMEOUTS_S, EngineControl
from zinniaspool.keeper.plans import PlanStore
from zinniaspool.keeper.queries import InstanceQueries, list_unresponsive
from zinniaspool.keeper.reach import UpstreamReach
from zinniaspool.keeper.relays import EntryRelay
from zinniaspool.keeper.retention import InstanceRetainer
from zinniaspool.keeper.suspicion import SuspectWatcher

__all__ = ["GroupHolder"]

_log = structlog.get_logger(__name__)

MAX_PASS_PAUSE_S = 0.25
"""Longest pause between two passes of the planner, in seconds. A change of the
instances or of the catalog, or the end of a task, starts the next one
sooner."""

MAX_CONCURRENT_QUERIES = 96
"""How many engines are queried at once. A VM with half a core reads about this
many answers within the timeout of one query."""

MIN_CHECK_PAUSE_S = 0.4
"""Shortest pause between two checks of one group, in seconds. Each check costs
a query to each of the group's VMs."""

RECHECK_PAUSE_S = 1.5
"""Pause between queries to instances that count as unreachable or as slow, in
seconds."""

OUTAGE_POLL_PAUSE_S = 0.12
"""Pause between queries to the engines of groups in a transitional phase while
the store is down, in seconds. Their records in the store lag by about as much
at other times."""

_TRANSITIONAL_PHASES = frozenset(
    {GroupPhase.FORMING, GroupPhase.CLOSING, GroupPhase.ENDING}
)

MAX_INCONCLUSIVE_QUERIES = 3
"""Queries to an engine whose silence may not be its fault."""

OFFLINE_PAUSE_S = 0.25
"""Pause between checks whether any upstream can be reached, in seconds."""

DEMAND_AVERAGING_S = 1.5
"""Time over which demand is averaged, in seconds. It is about as long as a
request takes, so that single requests do not cause VMs to be reassigned."""

NOT_ALLOWED_PAUSE_S = 0.05
"""Pause between checks while this process may not plan for a moment, since
neither the store nor the other processes have confirmed that it still may, in
seconds."""

PROGRESS_CHECK_S = 0.5
"""Pause between two checks whether planning makes progress, in seconds."""

MAX_IDLE_CHECKS = 8
"""Consecutive checks without progress after which the term ends. A process
that was suspended counts one check."""

MIRROR_CHECK_PAUSE_S = 0.01
"""Pause between checks whether the mirror is as new as the holder's key, in
seconds."""

SAVE_RETRY_PAUSE_S = 0.1
"""Pause after a failed write of a plan, in seconds."""

SAVED_CHECK_PAUSE_S = 0.02
"""Pause between checks whether all plans are in the store, in seconds."""

FORMATION_LEAD_S = 6.2
"""How long before loads of weights begin to be limited the first groups are
formed, in seconds. VMs that all start at once write their records over about
four seconds; a holder that forms groups of the first VMs finds too few left
for the other groups."""


class PlanningStalledError(Exception):
    """Planning has made no progress for seconds."""


class GroupHolder:
    """Plans replica groups while this process is the holder.

    Args:
        fleet_view: What this process knows of the fleet.
        election: Decides whether this process is the holder.
        plans: The plans in the store.
        engines: Sends orders to engines and queries their status.
        relay: Has entry processes query engines; None for no second path.
        list_demands: Returns the current demand for each model.
        load_window_s: Length of the window in which loads of weights are
            counted against their limit, in seconds.
        loads_unlimited_until: Time until which loads are not counted, in
            seconds on the loop's clock.
        reach: Finds out whether the silence of upstreams is their own fault.

    Attributes:
        plans: The plans in the store.
        order_counts: Number of orders sent, by action and outcome.
        queries: Queries engines, also through entry processes.
        retainer: Decides which instances without a record are retained.
    """

    def __init__(
        self,
        fleet_view: FleetView,
        election: HolderElection,
        plans: PlanStore,
        engines: EngineControl,
        relay: EntryRelay | None,
        list_demands: Callable[[], list[ModelDemandReport]],
        load_window_s: float,
        loads_unlimited_until: float,
        reach: UpstreamReach,
    ) -> None:
        self._fleet_view = fleet_view
        self._election = election
        self.plans = plans
        self._engines = engines
        self._list_demands = list_demands
        self._load_window_s = load_window_s
        self._loads_unlimited_until = loads_unlimited_until
        self._changed = asyncio.Event()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._planner: FormationPlanner | None = None
        self._progress = 0
        self._epoch = 0
        self._unsaved: set[FabricDomainId] = set()
        self._outage_polled_at = float("-inf")
        self._checked_at: dict[str, float] = {}
        self._recheck_at = 0.0
        self.order_counts: Counter[tuple[OrderAction, OrderOutcome]] = Counter()
        self._reach = reach
        self.queries = InstanceQueries(fleet_view, engines, relay, self._start, reach)
        self.retainer = InstanceRetainer(fleet_view, self.queries, self._start)
        self._suspects = SuspectWatcher(
            fleet_view, self.queries, reach, self._start, self._apply_status
        )
        self._average_demand: dict[tuple[ServiceName, ModelName], float] = {}
        self._averaged_at = 0.0
        fleet_view.on_instances.append(self._changed.set)
        fleet_view.on_catalog.append(self._changed.set)
        fleet_view.on_evacuation.append(lambda *_: self._changed.set())

    async def run(self) -> None:
        """Plan whenever this process has the holder's key, until cancelled.

        Raises:
            PlanningStalledError: Planning made no progress for seconds.
        """
        while True:
            if not self._election.holds_key:
                await self._election.acquired.wait()
            self._election.acquired.clear()
            if self._election.may_plan and self._fleet_view.catalog is not None:
                await self._run_term()
            else:
                await asyncio.sleep(NOT_ALLOWED_PAUSE_S)

    async def _run_term(self) -> None:
        """Plan until the key is lost; give it up if planning fails.

        A process that keeps the key and doesn't plan would keep all others
        from planning.
        """
        planning = asyncio.create_task(self._plan_groups())
        try:
            await self._await_end(planning)
        except Exception:
            self._end_term()
            await self._election.give_up()
            raise
        finally:
            planning.cancel()
        self._end_term()

    async def _await_end(self, planning: asyncio.Task[None]) -> None:
        """Wait until planning ends, as long as it makes progress.

        Raises:
            PlanningStalledError: It made no progress for seconds.
        """
        seen, idle_checks = self._progress, 0
        while not planning.done():
            await asyncio.wait([planning], timeout=PROGRESS_CHECK_S)
            idle_checks = 0 if self._progress != seen else idle_checks + 1
            seen = self._progress
            if idle_checks > MAX_IDLE_CHECKS and not planning.done():
                raise PlanningStalledError(f"no progress in {idle_checks} checks")
        await planning

    def _end_term(self) -> None:
        self._planner = None
        self._fleet_view.stop_decoding_instances()
        for task in list(self._tasks):
            task.cancel()

    def check_group(
        self, instance: InstanceId, reported_by: NodeId, pause_s: float = 0.0
    ) -> None:
        """Query all members of the group of a head that stalled or is slow.

        Args:
            instance: The head whose requests get no events, or late ones.
            reported_by: The VM whose process reported it.
            pause_s: Shortest time since the last check, in seconds.
        """
        if self._planner is None or not self._election.may_plan:
            return
        record = self._planner.find_group(instance)
        if record is None:
            return
        now = asyncio.get_running_loop().time()
        passed_s = now - self._checked_at.get(record.group, float("-inf"))
        if passed_s < max(pause_s, MIN_CHECK_PAUSE_S):
            return
        self._checked_at[record.group] = now
        _log.info(
            "group-suspected", group=record.group, head=instance, told_by=reported_by
        )
        checked = self.retainer.check_stalled(record.members)
        for member in record.members:
            if member not in checked and member not in self._planner.suspected:
                self._start(self._check_instance(member))

    def _update_average_demand(self, now: float) -> None:
        passed_s = now - self._averaged_at
        self._averaged_at = now
        weight = min(1.0, passed_s / DEMAND_AVERAGING_S)
        current = {
            (demand.service, demand.model): demand.busy
            for demand in self._list_demands()
        }
        for key in current.keys() | self._average_demand.keys():
            before = self._average_demand.get(key, 0.0)
            self._average_demand[key] = before + weight * (
                current.get(key, 0.0) - before
            )

    @property
    def is_planning(self) -> bool:
        """Whether this process plans groups now."""
        return self._planner is not None

    @property
    def domains_scanned(self) -> int:
        """How many fabric domains the planner's passes scanned in total."""
        return 0 if self._planner is None else self._planner.domains_scanned

    @property
    def slow_vms(self) -> SlowVms:
        """The VMs that report to be slow."""
        return SlowVms() if self._planner is None else self._planner.slow_vms

    def find_suspects(self) -> frozenset[InstanceId]:
        """Return the instances that answer no query, and may still go on."""
        return frozenset() if self._planner is None else self._planner.suspected

    def list_runs(self) -> list[GroupRun]:
        """Return the groups that this process manages."""
        return [] if self._planner is None else self._planner.list_runs()

    async def _plan_groups(self) -> None:
        loop = asyncio.get_running_loop()
        self._fleet_view.start_decoding_instances()
        self.queries.forget_all()
        self.retainer.take_over()
        planner = FormationPlanner(
            self._next_epoch,
            self._load_window_s,
            self._loads_unlimited_until,
            self._log_transition,
        )
        self._planner = planner
        self._unsaved.clear()
        revision = self._election.revision
        await self._await_mirror()
        self._restore(planner)
        await self.retainer.run_beside(self._await_upstreams())
        await self.retainer.run_beside(self._query_all_engines(planner))
        planner.defer_formation(self._loads_unlimited_until - FORMATION_LEAD_S)
        # Until another process takes over, the plans in memory are the newest;
        # those in the store may be from before an outage.
        while self._election.holds_key:
            self._progress += 1
            self._changed.clear()
            if not self._election.may_plan:
                await asyncio.sleep(NOT_ALLOWED_PAUSE_S)
                continue
            if self._election.revision != revision:
                former, revision = revision, self._election.revision
                if find_generation(former) == find_generation(revision):
                    # The key was lost meanwhile, and the plans in memory may
                    # have been replaced.
                    return
                self._handle_restored_store(planner)
            catalog = self._fleet_view.catalog
            assert catalog is not None
            planner.configure(
                {
                    name: spec.engine
                    for name, spec in catalog.services.items()
                    if spec.engine is not None and spec.engine.models
                },
                catalog.find_longest_timeouts(),
                loop.time(),
            )
            planner.set_evacuated(self._fleet_view.evacuated)
            self.retainer.step()
            self.queries.forget_gone()
            planner.update_instances(
                self._fleet_view.instances,
                self.retainer.list_unrecorded(),
                self.queries.not_orderable,
            )
            # If all VMs of a group are unreachable, none of them updates its
            # record when the group ends. Other processes learn of that only
            # from this set, seconds before the records expire in the store.
            self._fleet_view.update_unreachable(planner.unreachable, loop.time())
            self._update_average_demand(loop.time())
            planner.set_demand(self._average_demand)
            writes, orders = planner.step(loop.time())
            for write in writes:
                self._start(self._save_plan(planner, write))
            for order in orders:
                self._start(self._send_order(planner, order))
            self._recheck_instances(planner, loop.time())
            self._handle_store_outage(planner, loop.time())
            try:
                async with asyncio.timeout(MAX_PASS_PAUSE_S):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _handle_restored_store(self, planner: FormationPlanner) -> None:
        """Write all plans again, and query all engines.

        Plans and instance records in the store are those of the older copy
        from which it came back.
        """
        self.plans.update_revisions(self._fleet_view.mirror)
        planner.save_all_plans()
        self._start(self._query_all_engines(planner))

    async def _await_mirror(self) -> None:
        """Wait until the mirror shows what was written before the key.

        The holder before may have written a plan just before this process
        wrote the key. None of its writes can be done after that.
        """
        is_behind = True
        while is_behind and self._election.store_answers:
            await asyncio.sleep(MIRROR_CHECK_PAUSE_S)
            is_behind = self._fleet_view.mirror.as_of < self._election.revision

    async def _await_upstreams(self) -> None:
        """Wait until any upstream can be reached.

        Otherwise the silence of the engines would show nothing, and groups
        that serve would be ended.
        """
        while self._election.holds_key and not await self._reach.is_online():
            _log.warning("upstreams-unreachable")
            self._progress += 1
            await asyncio.sleep(OFFLINE_PAUSE_S)

    async def _query_all_engines(self, planner: FormationPlanner) -> None:
        """Query the status of every engine before any order is sent.

        The instance records in the store may be out of date: while the store
        was down, another holder may have formed groups that no record shows
        yet. A VM that does not answer is used only once it has answered.
        """
        catalog = self._fleet_view.catalog
        engines = [
            instance.id
            for instance in self._fleet_view.instances.values()
            if catalog is not None
            and (spec := catalog.services.get(instance.service)) is not None
            and spec.engine is not None
        ]
        # Many answers at once keep this process busy, so that it reads some of
        # them too late. Without a second query a sound VM would be suspected.
        unresponsive = engines
        for refresh in (self._refresh_status, self._refresh_on_both_paths):
            unresponsive = await list_unresponsive(
                unresponsive, refresh, MAX_CONCURRENT_QUERIES
            )

    @property
    def has_unsaved_plans(self) -> bool:
        """Whether any plan in effect is not in the store."""
        planner = self._planner
        return planner is not None and (
            bool(self._unsaved) or planner.has_unsaved_plans
        )

    async def wait_until_saved(self) -> None:
        """Wait until all plans in effect are written to the store."""
        unsaved = True
        while unsaved:
            await asyncio.sleep(SAVED_CHECK_PAUSE_S)
            unsaved = self.has_unsaved_plans

    def _handle_store_outage(self, planner: FormationPlanner, now: float) -> None:
        """Replace the store's updates during an outage, and catch up after it.

        During an outage, engines in a transitional phase are polled, since no
        instance record reports their progress. After it, plans that could not
        be written are handed back to the planner to be saved.
        """
        if not self._election.provisional:
            for domain in self._unsaved:
                planner.request_save(domain)
            self._unsaved.clear()
            return
        if now - self._outage_polled_at < OUTAGE_POLL_PAUSE_S:
            return
        self._outage_polled_at = now
        for run in planner.list_runs():
            if run.phase in _TRANSITIONAL_PHASES:
                for member in run.record.members:
                    self._start(self._refresh_status(member))

    async def _refresh_on_both_paths(self, instance: InstanceId) -> bool:
        """Query an engine for the second time, on both paths."""
        self._progress += 1
        known = self._fleet_view.instances.get(instance)
        if known is None:
            return False
        for _ in range(MAX_INCONCLUSIVE_QUERIES):
            outcome = await self.queries.query_status(known, CHECK_TIMEOUTS_S[1:], None)
            if outcome.answer is not None or not outcome.is_inconclusive:
                break
        if self._apply_status(instance, outcome.answer):
            return True
        if self._planner is not None:
            self._suspects.suspect(self._planner, instance, outcome.silent_s)
        return False

    async def _refresh_status(self, instance: InstanceId) -> bool:
        """Query an engine and apply its status; return whether it answered."""
        self._progress += 1
        known = self._fleet_view.instances.get(instance)
        if known is None:
            return False
        status = await self.queries.query_own_status(known, CHECK_TIMEOUTS_S[0])
        return self._apply_status(instance, status)

    def _apply_status(self, instance: InstanceId, status: EngineStatus | None) -> bool:
        """Apply an engine's status; return whether there is one."""
        if status is None:
            return False
        self._fleet_view.apply_status(instance, status)
        self._record_slowness(instance, status.slowness)
        return True

    def _record_slowness(self, instance: InstanceId, slowness: float) -> None:
        if self._planner is None:
            return
        now = asyncio.get_running_loop().time()
        if self._planner.slow_vms.record(instance, slowness, now):
            event = "instance-slow" if slowness >= SLOW_VM else "instance-recovered"
            _log.info(event, instance=instance, pace=slowness)
            self._changed.set()

    def _restore(self, planner: FormationPlanner) -> None:
        plans = self.plans.load(self._fleet_view.mirror)
        for plan in plans:
            for record in plan.groups:
                self._epoch = max(self._epoch, record.epoch)
        planner.restore(plans)

    def _next_epoch(self) -> Epoch:
        highest = max(
            (
                instance.membership.epoch
                for instance in self._fleet_view.instances.values()
                if instance.membership is not None
                # Records with any later epoch would be invalid.
                and instance.membership.epoch < MAX_EPOCH
            ),
            default=0,
        )
        lowest = find_lowest_epoch(self._fleet_view.mirror.as_of)
        self._epoch = max(self._epoch, highest, lowest) + 1
        return Epoch(self._epoch)

    def _start(self, work: Coroutine[Any, Any, object]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: "asyncio.Task[Any]") -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error("duty-failed", duty="order", error=repr(task.exception()))
        self._changed.set()

    async def _save_plan(self, planner: FormationPlanner, write: PlanWrite) -> None:
        plan: DomainPlan = write.plan
        if self._election.provisional:
            # No other process can plan now. A later holder that does not find
            # this plan in the store frees the plan's VMs before it uses them.
            self._unsaved.add(plan.domain)
            planner.on_plan_saved(plan)
            return
        try:
            fault = await self.plans.save(plan, self._election.revision)
        except Exception:
            # The planner makes no other change of the domain before that.
            planner.on_plan_not_saved(plan)
            raise
        if fault is None:
            planner.on_plan_saved(plan)
            return
        await asyncio.sleep(SAVE_RETRY_PAUSE_S)
        planner.on_plan_not_saved(plan)

    async def _send_order(self, planner: FormationPlanner, order: GroupOrder) -> None:
        instance = self._fleet_view.instances.get(order.instance)
        if instance is None or not self._election.may_plan:
            return
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        outcome = await self._engines.send_order(instance.address, order)
        self.order_counts[order.action, outcome] += 1
        _log.info(
            "order-given",
            instance=order.instance,
            action=order.action.value,
            group=order.group or "",
            model=order.model or "",
            outcome=outcome.value,
            took_ms=int((loop.time() - started_at) * 1000),
        )
        planner.on_order_outcome(order, outcome, loop.time())
        if self._election.provisional:
            # While the store is down, no instance record reports the change to
            # the entry processes.
            await self._refresh_status(order.instance)

    async def _check_instance(self, instance: InstanceId) -> None:
        known = self._fleet_view.instances.get(instance)
        if known is None:
            return
        # The report is not repeated unless a stream waits there for longer.
        for _ in range(MAX_INCONCLUSIVE_QUERIES):
            outcome = await self.queries.query_status(known)
            if outcome.answer is not None or not outcome.is_inconclusive:
                break
        if self._apply_status(instance, outcome.answer) or outcome.is_inconclusive:
            return
        if instance not in self._fleet_view.instances:
            return
        if self._planner is not None:
            self._suspects.suspect(self._planner, instance, outcome.silent_s)

    def _recheck_instances(self, planner: FormationPlanner, now: float) -> None:
        due = planner.unreachable.union(
            planner.slow_vms.instances, self.queries.indirect
        ).difference(planner.suspected)
        if not due or now < self._recheck_at:
            return
        self._recheck_at = now + RECHECK_PAUSE_S
        for instance in due:
            if instance in self._fleet_view.instances:
                self._start(self._recheck_instance(planner, instance))

    async def _recheck_instance(
        self, planner: FormationPlanner, instance: InstanceId
    ) -> None:
        if not await self._refresh_status(instance):
            return
        if instance in planner.unreachable - planner.suspected:
            _log.info("instance-regained", instance=instance)
            planner.mark_reachable(instance)

    def _log_transition(self, transition: PhaseTransition) -> None:
        record = transition.record
        _log.info(
            "group-phase",
            group=record.group,
            model=record.model,
            phase=transition.phase.value,
            reason=transition.reason,
            standby=record.standby,
            members=",".join(record.members),
        )
