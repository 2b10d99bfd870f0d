"""The holder's work: sees the fleet, plans, gives orders."""

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

import structlog
from result import Ok

from zinniaspool.core.fleet import InstanceId, ModelDemandReport
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
from zinniaspool.core.ids import Epoch, FabricDomainId, ModelName, NodeId, ServiceName
from zinniaspool.fleet import FleetView
from zinniaspool.keeper.election import HolderElection
from zinniaspool.keeper.engines import Engines
from zinniaspool.keeper.plans import PlanBook

__all__ = ["GroupHolder"]

_log = structlog.get_logger(__name__)

IDLE_S = 0.25
"""Longest pause between two looks, in seconds; what is seen ends it sooner."""

ASK_S = 0.12
"""Longest wait for an engine's answer about itself, in seconds: an engine
answers at once or is not there."""

CHECK_WAITS_S = (0.12, 0.3)
"""Waits for the answers to two questions, in seconds, after which an engine
counts as lost. The first can be lost on the way; the second allows for a link
or a processor of ours that is busy for a moment."""

ASKED_AT_ONCE = 96
"""Engines that are asked together: about as many answers as a VM of half a
core reads in the time that one may take."""

OWN_LAG_S = 0.06
"""By how much a wait may end too late before its outcome counts for nothing,
in seconds: this process itself was held up, and answers may lie unread."""

CHECK_PAUSE_S = 0.4
"""Shortest pause between two checks of one group, in seconds: each costs a
question to each of its VMs."""

REGAIN_S = 1.5
"""Pause between questions to one that counts as lost, in seconds."""


OUTAGE_ASK_S = 0.12
"""Pause between questions to the engines of groups under way while the store
is down, in seconds: about as late as their entries are otherwise."""

_UNDER_WAY = frozenset({GroupPhase.FORMING, GroupPhase.CLOSING, GroupPhase.ENDING})

SMOOTH_S = 1.5
"""Time over which demand is averaged, in seconds: about as long as a request
takes, so that single ones do not move VMs."""

HELD_UP_S = 0.05
"""Pause between looks while this process may not plan for a moment, since
neither the store nor the others have told it that it still may, in seconds."""

SETTLE_CHECK_S = 0.02
"""Pause between looks whether owed plans are written, in seconds."""

SETTLE_S = 6.2
"""For how long before loads begin to count nothing is formed, in seconds: VMs
that all start at once write their entries over some four seconds, and whoever
forms groups of the first ones finds too few left for the others."""


class GroupHolder:
    """Plans while this process is the holder.

    Args:
        belief: What is known of the fleet.
        election: Tells whether this process is the holder.
        plans: Plans in the store.
        engines: Gives orders.
        list_demands: Returns how much the models are asked for.
        load_window_s: Over how long loads of weights are counted.
        free_until: Until when they are not, in seconds.
    """

    def __init__(
        self,
        belief: FleetView,
        election: HolderElection,
        plans: PlanBook,
        engines: Engines,
        list_demands: Callable[[], list[ModelDemandReport]],
        load_window_s: float,
        free_until: float,
    ) -> None:
        self._belief = belief
        self._election = election
        self._plans = plans
        self._engines = engines
        self._list_demands = list_demands
        self._load_window_s = load_window_s
        self._free_until = free_until
        self._changed = asyncio.Event()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._planner: FormationPlanner | None = None
        self._epoch = 0
        self._saving = 0
        self._owed: set[FabricDomainId] = set()
        self._asked_at = float("-inf")
        self._checked: dict[str, float] = {}
        self._regain_at = 0.0
        self.orders: Counter[tuple[OrderAction, OrderOutcome]] = Counter()
        self._smooth: dict[tuple[ServiceName, ModelName], float] = {}
        self._smoothed_at = 0.0
        belief.on_instances.append(self._changed.set)
        belief.on_catalog.append(self._changed.set)

    async def run(self) -> None:
        """Plan whenever this process holds the key, until cancelled."""
        while True:
            await self._election.taken.wait()
            self._election.taken.clear()
            while self._election.claims:
                if self._election.holds and self._belief.catalog is not None:
                    await self._hold()
                else:
                    await asyncio.sleep(HELD_UP_S)

    def suspect(self, instance: InstanceId, told_by: NodeId) -> None:
        """Check the group of an instance that has fallen silent."""
        if self._planner is None or not self._election.holds:
            return
        record = self._planner.find_group(instance)
        if record is None:
            return
        now = asyncio.get_running_loop().time()
        if now - self._checked.get(record.group, float("-inf")) < CHECK_PAUSE_S:
            return
        self._checked[record.group] = now
        _log.info("group-suspected", group=record.group, head=instance, told_by=told_by)
        for one in record.members:
            self._start(self._check(one))

    def _smooth_demand(self, now: float) -> None:
        passed_s = now - self._smoothed_at
        self._smoothed_at = now
        weight = min(1.0, passed_s / SMOOTH_S)
        fresh = {(one.service, one.model): one.busy for one in self._list_demands()}
        for key in fresh.keys() | self._smooth.keys():
            before = self._smooth.get(key, 0.0)
            self._smooth[key] = before + weight * (fresh.get(key, 0.0) - before)

    @property
    def holds(self) -> bool:
        """Whether this process plans groups now."""
        return self._planner is not None

    @property
    def domains_looked_at(self) -> int:
        """Fabric domains that this holder's looks went through, in all."""
        return 0 if self._planner is None else self._planner.domains_scanned

    def list_runs(self) -> list[GroupRun]:
        """Return the groups under this process's care."""
        return [] if self._planner is None else self._planner.list_runs()

    async def _hold(self) -> None:
        loop = asyncio.get_running_loop()
        self._belief.start_decoding_instances()
        planner = FormationPlanner(
            self._next_epoch, self._load_window_s, self._free_until, self._note_move
        )
        self._planner = planner
        self._restore(planner)
        await self._verify(planner)
        planner.defer_formation(self._free_until - SETTLE_S)
        # Until another process takes over, the plans in memory are the newest:
        # those in the store are from before an outage.
        while self._election.claims:
            self._changed.clear()
            if not self._election.holds:
                await asyncio.sleep(HELD_UP_S)
                continue
            catalog = self._belief.catalog
            assert catalog is not None
            planner.configure(
                {
                    name: spec.engine
                    for name, spec in catalog.services.items()
                    if spec.engine is not None and spec.engine.models
                },
                loop.time(),
            )
            planner.update_instances(self._belief.instances)
            # A group whose VMs are all dark changes no entry by its end: the
            # others learn of it by this word alone, seconds before the store.
            self._belief.update_unreachable(planner.unreachable, loop.time())
            self._smooth_demand(loop.time())
            planner.set_demand(self._smooth)
            writes, orders = planner.step(loop.time())
            for write in writes:
                self._start(self._save(planner, write))
            for order in orders:
                self._start(self._give(planner, order))
            self._ask_lost(planner, loop.time())
            self._bridge_outage(planner, loop.time())
            try:
                async with asyncio.timeout(IDLE_S):
                    await self._changed.wait()
            except TimeoutError:
                pass
        self._planner = None
        self._belief.stop_decoding_instances()
        for task in list(self._tasks):
            task.cancel()

    async def _verify(self, planner: FormationPlanner) -> None:
        """Ask every engine what it holds, before anything is ordered.

        Entries may be behind: while the store was down, another holder may
        have formed groups that no entry shows yet. A VM that does not answer
        is used only once it has.
        """
        catalog = self._belief.catalog
        engines = [
            one.id
            for one in self._belief.instances.values()
            if catalog is not None
            and (spec := catalog.services.get(one.service)) is not None
            and spec.engine is not None
        ]
        silent = await self._list_silent(engines, ASK_S)
        # Many answers at once keep this process busy, so that some come too
        # late through its own fault; a sound group would be taken for lost.
        for one in await self._list_silent(silent, CHECK_WAITS_S[1]):
            planner.mark_unreachable(one)

    async def _list_silent(
        self, engines: Sequence[InstanceId], wait_s: float
    ) -> list[InstanceId]:
        """Ask engines what they hold; return those that do not answer."""
        silent = []
        for first in range(0, len(engines), ASKED_AT_ONCE):
            asked = engines[first : first + ASKED_AT_ONCE]
            answered = await asyncio.gather(
                *(self._read_status(one, wait_s) for one in asked)
            )
            silent += [
                one for one, answer in zip(asked, answered, strict=True) if not answer
            ]
        return silent

    @property
    def owes(self) -> bool:
        """Whether any plan in force is not in the store."""
        return bool(self._owed or self._saving)

    async def settle(self) -> None:
        """Wait until the plans that are owed to the store are written."""
        owing = True
        while owing:
            await asyncio.sleep(SETTLE_CHECK_S)
            owing = self.owes

    def _bridge_outage(self, planner: FormationPlanner, now: float) -> None:
        """Do by other ways what the store does while it is there."""
        if not self._election.provisional:
            for domain in self._owed:
                planner.on_plan_not_saved(domain)
            self._owed.clear()
            return
        if now - self._asked_at < OUTAGE_ASK_S:
            return
        self._asked_at = now
        for run in planner.list_runs():
            if run.phase in _UNDER_WAY:
                for one in run.record.members:
                    self._start(self._read_status(one))

    async def _read_status(self, instance: InstanceId, wait_s: float = ASK_S) -> bool:
        """Learn from an engine itself what it holds; False if it is silent."""
        known = self._belief.instances.get(instance)
        if known is None:
            return False
        found = await self._engines.ask(known.address, wait_s)
        if not isinstance(found, Ok):
            return False
        self._belief.apply_status(instance, found.ok_value)
        return True

    def _restore(self, planner: FormationPlanner) -> None:
        plans = self._plans.load(self._belief.mirror)
        for plan in plans:
            for record in plan.groups:
                self._epoch = max(self._epoch, record.epoch)
        planner.restore(plans)

    def _next_epoch(self) -> Epoch:
        highest = max(
            (
                one.membership.epoch
                for one in self._belief.instances.values()
                if one.membership is not None
            ),
            default=0,
        )
        self._epoch = max(self._epoch, highest, self._belief.mirror.as_of) + 1
        return Epoch(self._epoch)

    def _start(self, work: Coroutine[Any, Any, object]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finish)

    def _finish(self, task: "asyncio.Task[Any]") -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error("duty-failed", duty="order", error=repr(task.exception()))
        self._changed.set()

    async def _save(self, planner: FormationPlanner, write: PlanWrite) -> None:
        plan: DomainPlan = write.plan
        if self._election.provisional:
            # Nobody else can plan now. A successor that does not find this
            # plan frees its VMs before it uses them.
            self._owed.add(plan.domain)
            planner.on_plan_saved(plan.domain)
            return
        self._saving += 1
        try:
            fault = await self._plans.save(plan, self._election.revision)
        finally:
            self._saving -= 1
        if fault is None:
            planner.on_plan_saved(plan.domain)
            return
        _log.warning("plan-unsaved", domain=plan.domain, fault=fault.value)
        await asyncio.sleep(0.1)
        planner.on_plan_not_saved(plan.domain)

    async def _give(self, planner: FormationPlanner, order: GroupOrder) -> None:
        instance = self._belief.instances.get(order.instance)
        if instance is None or not self._election.holds:
            return
        loop = asyncio.get_running_loop()
        began = loop.time()
        outcome = await self._engines.send(instance.address, order)
        self.orders[order.action, outcome] += 1
        _log.info(
            "order-given",
            instance=order.instance,
            action=order.action.value,
            group=order.group or "",
            model=order.model or "",
            outcome=outcome.value,
            took_ms=int((loop.time() - began) * 1000),
        )
        planner.on_order_outcome(order, outcome, loop.time())
        if self._election.provisional:
            # No entry will tell the entry processes what has changed.
            await self._read_status(order.instance)

    async def _check(self, instance: InstanceId) -> None:
        loop = asyncio.get_running_loop()
        for wait_s in CHECK_WAITS_S:
            began = loop.time()
            known = self._belief.instances.get(instance)
            if known is None or await self._read_status(instance, wait_s):
                return
            if loop.time() - began > wait_s + OWN_LAG_S:
                return
        if self._planner is not None:
            _log.warning("instance-lost", instance=instance)
            self._planner.mark_unreachable(instance)

    def _ask_lost(self, planner: FormationPlanner, now: float) -> None:
        if not planner.unreachable or now < self._regain_at:
            return
        self._regain_at = now + REGAIN_S
        for one in planner.unreachable:
            if one in self._belief.instances:
                self._start(self._ask_again(planner, one))

    async def _ask_again(self, planner: FormationPlanner, one: InstanceId) -> None:
        if await self._read_status(one):
            _log.info("instance-regained", instance=one)
            planner.mark_reachable(one)

    def _note_move(self, move: PhaseTransition) -> None:
        record = move.record
        _log.info(
            "group-phase",
            group=record.group,
            model=record.model,
            phase=move.phase.value,
            reason=move.reason,
            standby=record.standby,
            members=",".join(record.members),
        )
