"""One fabric domain as a control process meets it: holder, witness or none."""

import asyncio
import time
from collections.abc import Collection
from dataclasses import dataclass

import structlog
from result import Err

from zinniaspool.control.engines import EngineCalls
from zinniaspool.control.fleet import FleetBook
from zinniaspool.control.leases import DomainStore
from zinniaspool.control.notes import DomainNotes
from zinniaspool.control.ranks import ControlRanks
from zinniaspool.core.groups import FleetIndex, Holder, HolderLimits, PlanProposal
from zinniaspool.core.groups.beats import (
    BEAT_PREFIX,
    PLAN_PREFIX,
    DomainHeartbeat,
    encode_heartbeat,
    encode_plan,
    make_heartbeat,
)
from zinniaspool.core.groups.succession import (
    DomainFailover,
    DomainRole,
    FailoverLimits,
)
from zinniaspool.core.groups.tenure import LeaseTenureLimits
from zinniaspool.core.groups.tracking import TrackingLimits
from zinniaspool.core.ids import Address, FabricDomainId, NodeId, VmId
from zinniaspool.core.membership import Topic
from zinniaspool.core.plans import EngineReport, Order
from zinniaspool.node import NodeFrame
from zinniaspool.settings import ControlSettings

__all__ = ["DomainKeeper"]

_log = structlog.get_logger(__name__)
_CALL_PART = 0.8
"""Part of an order's longest life that its call may take, so that the
answer is read before the order counts as void."""
_PLAN_KEPT_S = 3600.0
"""Seconds that a plan's notice is kept; far above the time between two."""
_PLAN_AGAIN_S = 600.0
"""Seconds until an unchanged plan is told again, for who missed it."""
_REFRESH_PLANS_S = 60.0
"""Seconds between readings of all plans; repair for lost notices."""
_RENEWALS = 3
"""Renewals within a lease's used part: two may be lost."""
_MS = 1000
"""Milliseconds in a second."""
_CLOCK_BITS = 32
"""Bits below the epoch for the clock: seconds for over a century."""
_WITNESS_PART = 0.2
"""Part of a report's staleness after which a witness speaks; chosen, so
that the holder's own beat comes first."""
_SPREAD_S = 1.0
"""Time that a notice needs at most, as a rule, to reach every process."""


@dataclass(slots=True)
class _Published:
    """When what was published last."""

    beat_at: float = float("-inf")
    plan_at: float = float("-inf")
    plan_epoch: int = -1
    version: int = 0


class DomainKeeper:
    """Does this process's duty for one domain, whatever it is at the time.

    Args:
        domain: The fabric domain.
        frame: The process's frame.
        settings: The process's settings.
        fleet: What is known of all domains.
        ranks: The order of control processes.
    """

    def __init__(
        self,
        domain: FabricDomainId,
        frame: NodeFrame,
        settings: ControlSettings,
        fleet: FleetBook,
        ranks: ControlRanks,
    ) -> None:
        self.domain = domain
        self._frame = frame
        self._settings = settings
        self._fleet = fleet
        self._ranks = ranks
        limits = _make_limits(settings)
        self.holder = Holder(domain, limits)
        self._store = DomainStore(frame.store, domain, frame.node, settings.lease_s)
        self._engines = EngineCalls(frame.http, settings.order_s * _CALL_PART)
        self._renew_s = limits.tenure.lease_s * limits.tenure.used_part / _RENEWALS
        self._succession = DomainFailover(_make_succession(settings), self._now)
        self._notes = DomainNotes(frame, domain)
        self._addresses: dict[VmId, Address] = {}
        self._published = _Published()
        self._source = f"{frame.node}@{frame.incarnation}"
        self._plans_read_at = float("-inf")
        self._trying: asyncio.Task[None] | None = None
        self._duty = DomainRole.NONE

    @property
    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def configure(self, index: FleetIndex) -> None:
        """Take a newer configuration."""
        self.holder.configure(index, self._now)
        vms = index.domains.get(self.domain, ())
        self._addresses = {vm.id: vm.address for vm in vms}
        self._notes.configure(index)

    def hear(self, beat: DomainHeartbeat) -> None:
        """Take another process's beat."""
        if beat.source == self._source:
            return
        sender = NodeId(beat.source.rpartition("@")[0])
        rank = self._ranks.rank(sender, self.domain)
        self._succession.on_heartbeat(beat.holds, beat.ends, rank, self._now)

    def note_leaving(self, leaving: Collection[VmId]) -> None:
        """Take the VMs that the platform lists as leaving."""
        self.holder.set_leaving(leaving)

    @property
    def is_active(self) -> bool:
        """Whether this process holds the domain or witnesses for it."""
        return self._store.has_lease or self._duty in (
            DomainRole.WITNESS,
            DomainRole.CANDIDATE,
        )

    @property
    def holds(self) -> bool:
        """Whether this process holds the domain's lease."""
        return self._store.has_lease

    async def run(self) -> None:
        """Do what is due until cancelled."""
        renewing = asyncio.create_task(self._keep_lease())
        try:
            while True:
                await self._step()
                await asyncio.sleep(self._settings.poll_s)
        finally:
            renewing.cancel()
            if self._trying is not None:
                self._trying.cancel()

    async def release(self) -> None:
        """End: say so, so that another process goes on at once."""
        active = self.is_active
        self.holder.end_tenure()
        # An order that left before the lease is given up must not arrive
        # after another process has taken it.
        await self._engines.settle()
        await self._store.release()
        self._engines.close()
        if active:
            self._publish_beat(ends=True)
            self._notes.note_released("the process stops")

    async def _step(self) -> None:
        if not self._store.has_lease:
            self._choose_duty()
            if self._duty is DomainRole.NONE:
                return
        self._engines.ask(self._addresses, self._take_report, self._miss_report)
        if not self.is_active:
            return
        if self._store.has_lease:
            await self._hold()
        now = self._now
        self._notes.note_ready(self.holder.plan, self.holder.find_ready(now))
        if now >= self._published.beat_at + self._settings.beat_s:
            self._publish_beat()

    def _choose_duty(self) -> None:
        rank = self._ranks.rank(self._frame.node, self.domain)
        duty = self._succession.decide_role(rank, self._now)
        if duty is DomainRole.CANDIDATE and self._trying is None:
            self._succession.on_acquire_attempt(self._now)
            self._trying = asyncio.create_task(self._try_take())
        self._duty = duty
        if duty is not DomainRole.NONE:
            self._follow_plan()

    def _follow_plan(self) -> None:
        plan = self._fleet.plans.get(self.domain)
        if plan is not None and plan.epoch > self.holder.plan.epoch:
            self.holder.plan = plan

    async def _try_take(self) -> None:
        asked_at = self._now
        try:
            if await self._store.take():
                self.holder.start_tenure(asked_at, self._now)
                self._notes.note_held()
        finally:
            self._trying = None

    async def _keep_lease(self) -> None:
        while True:
            await asyncio.sleep(self._renew_s)
            if not self._store.has_lease:
                continue
            asked_at = self._now
            renewed = await self._store.renew()
            if isinstance(renewed, Err):
                if not self._store.has_lease:
                    self.holder.end_tenure()
                    self._notes.note_released("the lease lapsed")
                continue
            self.holder.on_lease_renewed(asked_at)

    async def _hold(self) -> None:
        self._repeat_plan()
        if self.holder.needs_plan and not await self._read_plan():
            return
        await self._refresh_plans()
        proposal = self.holder.propose(self._now, self._fleet.knowledge(self.domain))
        self._notes.note_step(self.holder)
        if proposal is not None:
            await self._swap(proposal)
        self._send_orders()

    async def _read_plan(self) -> bool:
        found = await self._store.read_plan()
        if isinstance(found, Err):
            return False
        plan, revision = found.ok_value
        self.holder.apply_stored_plan(plan, revision)
        self._publish_plan()
        return True

    async def _refresh_plans(self) -> None:
        """Read the other domains' plans, in case a notice was missed."""
        if self._now < self._plans_read_at + _REFRESH_PLANS_S:
            return
        found = await self._store.list_plans()
        if isinstance(found, Err):
            return
        self._plans_read_at = self._now
        for plan in found.ok_value:
            self._fleet.take_plan(plan)

    async def _swap(self, proposal: PlanProposal) -> None:
        if not self.holder.may_change(self._now):
            return
        written = await self._store.swap_plan(proposal.plan, proposal.expected_revision)
        if isinstance(written, Err):
            _log.warning(
                "plan-not-swapped", domain=self.domain, fault=written.err_value.value
            )
            self.holder.invalidate_plan()
            return
        self.holder.on_plan_swapped(proposal, written.ok_value)
        self._notes.note_changes(proposal.plan, proposal.changes)
        self._publish_plan()

    def _send_orders(self) -> None:
        for order in self.holder.collect_due_orders(self._now):
            address = self._addresses.get(order.vm)
            if address is not None:
                self._engines.order(order, address, self._may_send, self._note_sent)

    def _may_send(self) -> bool:
        return self.holder.may_change(self._now)

    def _note_sent(self, order: Order, status: int) -> None:
        self._notes.note_order(order, status)

    def _take_report(self, report: EngineReport, asked_at: float) -> None:
        self.holder.on_report(report, asked_at)

    def _miss_report(self, vm: VmId) -> None:
        self.holder.on_no_answer(vm, self._now)

    def _repeat_plan(self) -> None:
        if self._now >= self._published.plan_at + _PLAN_AGAIN_S:
            self._publish_plan()

    def _publish_plan(self) -> None:
        plan, last = self.holder.plan, self._published
        last.plan_epoch, last.plan_at = plan.epoch, self._now
        self._fleet.take_plan(plan)
        self._frame.board.publish(
            Topic.PLANS,
            PLAN_PREFIX + self.domain,
            # Told again, the same plan needs a greater version to live on.
            (plan.epoch << _CLOCK_BITS) | int(time.time()),
            encode_plan(plan),
            _PLAN_KEPT_S,
        )

    def _publish_beat(self, *, ends: bool = False) -> None:
        now = self._now
        self._published.beat_at = now
        beat = make_heartbeat(
            self.holder.plan,
            self.holder.get_timed_reports(),
            self._source,
            now,
            holds=self._store.has_lease,
            ends=ends,
        )
        self._published.version += 1
        self._frame.board.publish(
            Topic.GROUPS,
            f"{BEAT_PREFIX}{self.domain}/{self._frame.node}",
            self._frame.incarnation * _MS + self._published.version,
            encode_heartbeat(beat),
            self._settings.report_stale_s * 2,
        )


def _make_limits(settings: ControlSettings) -> HolderLimits:
    return HolderLimits(
        LeaseTenureLimits(settings.lease_s, max_order_s=settings.order_s),
        TrackingLimits(settings.vm_absent_s, settings.vm_settle_s),
        settings.report_stale_s,
        propagation_s=settings.beat_s + _SPREAD_S,
    )


def _make_succession(settings: ControlSettings) -> FailoverLimits:
    return FailoverLimits(
        witness_after_s=settings.beat_s + settings.report_stale_s * _WITNESS_PART,
        acquire_after_s=settings.lease_s,
    )
