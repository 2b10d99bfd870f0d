"""Control of one fabric domain by a control process.

At any time the process is the domain's holder, which plans its groups under
a lease, or a witness, which only passes on what the engines report, or a
standby, which only polls the engines, or it has no role in the domain.
"""

import asyncio
import time
from collections.abc import Collection
from dataclasses import dataclass

import structlog
from result import Err

from zinniaspool.control.engines import EngineCalls
from zinniaspool.control.fleet import FleetTable
from zinniaspool.control.leases import DomainStore
from zinniaspool.control.notes import DecisionRecorder
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
from zinniaspool.node import NodeRuntime
from zinniaspool.settings import ControlSettings

__all__ = ["DomainController"]

_log = structlog.get_logger(__name__)
_CALL_TIMEOUT_SHARE = 0.8
"""Share of an order's longest lifetime that its call may take, so that the
answer is read before the order counts as expired."""
_PLAN_LIFETIME_S = 3600.0
"""Seconds that the notice of a plan is kept. It is far longer than the time
between two notices of the plan."""
_PLAN_REPEAT_S = 600.0
"""Seconds until an unchanged plan is published again, for processes that
missed it."""
_REFRESH_PLANS_S = 60.0
"""Seconds between two readings of all plans, which make up for lost
notices."""
_RENEWALS_PER_LEASE = 3
"""Renewals within the used part of a lease, so that two may be lost."""
_MS_PER_S = 1000
"""Milliseconds in a second."""
_CLOCK_BITS = 32
"""Bits below the epoch in a notice's version, which hold the time in seconds.
They suffice for more than a century."""
_WITNESS_SHARE = 0.2
"""Share of the age at which a report is stale. A witness publishes a heartbeat
if none has arrived for this time beyond the interval of the holder's
heartbeats, so that the holder's own heartbeat comes first."""
_MAX_SPREAD_S = 1.0
"""Longest time in seconds that a notice usually takes to reach all
processes."""


@dataclass(slots=True)
class _LastPublished:
    """Times and versions of the heartbeat and the plan last published."""

    heartbeat_at: float = float("-inf")
    plan_at: float = float("-inf")
    plan_epoch: int = -1
    version: int = 0


class DomainController:
    """Acts for one domain in the role that this process has at the time.

    Args:
        domain: The fabric domain.
        frame: The parts that all programs of the system share.
        settings: The process's settings.
        fleet: What is known of all domains.
        ranks: Ranks of the control processes for each domain.

    Attributes:
        domain: The fabric domain.
        holder: The state machine that plans the domain's groups.
    """

    def __init__(
        self,
        domain: FabricDomainId,
        frame: NodeRuntime,
        settings: ControlSettings,
        fleet: FleetTable,
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
        self._engines = EngineCalls(frame.http, settings.order_s * _CALL_TIMEOUT_SHARE)
        self._renew_s = (
            limits.tenure.lease_s * limits.tenure.used_part / _RENEWALS_PER_LEASE
        )
        self._failover = DomainFailover(_make_failover_limits(settings), self._now)
        self._decisions = DecisionRecorder(frame, domain)
        self._addresses: dict[VmId, Address] = {}
        self._published = _LastPublished()
        self._source = f"{frame.node}@{frame.incarnation}"
        self._plans_read_at = float("-inf")
        self._acquiring: asyncio.Task[None] | None = None
        self._role = DomainRole.NONE

    @property
    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def configure(self, index: FleetIndex) -> None:
        """Apply a newer configuration."""
        self.holder.configure(index, self._now)
        vms = index.domains.get(self.domain, ())
        self._addresses = {vm.id: vm.address for vm in vms}
        self._decisions.configure(index)

    def on_heartbeat(self, heartbeat: DomainHeartbeat) -> None:
        """Handle the heartbeat of another process for this domain."""
        if heartbeat.source == self._source:
            return
        sender = NodeId(heartbeat.source.rpartition("@")[0])
        rank = self._ranks.rank(sender, self.domain)
        self._failover.on_heartbeat(heartbeat.holds, heartbeat.ends, rank, self._now)

    def update_leaving(self, leaving: Collection[VmId]) -> None:
        """Update which VMs the platform lists as leaving."""
        self.holder.set_leaving(leaving)

    @property
    def is_active(self) -> bool:
        """Whether this process is the domain's holder or a witness."""
        return self._store.has_lease or self._role in (
            DomainRole.WITNESS,
            DomainRole.CANDIDATE,
        )

    @property
    def holds_lease(self) -> bool:
        """Whether this process holds the domain's lease."""
        return self._store.has_lease

    async def run(self) -> None:
        """Act in the current role until cancelled."""
        renewing = asyncio.create_task(self._keep_lease())
        try:
            while True:
                await self._run_pass()
                await asyncio.sleep(self._settings.poll_s)
        finally:
            renewing.cancel()
            if self._acquiring is not None:
                self._acquiring.cancel()

    async def release(self) -> None:
        """Give up the domain, so that another process takes over at once.

        A process that is active publishes a last heartbeat, which says that
        it ends.
        """
        active = self.is_active
        self.holder.end_tenure()
        # An order that left before the lease was given up must not arrive
        # after another process has acquired the lease.
        await self._engines.wait_for_orders()
        await self._store.release_lease()
        self._engines.close()
        if active:
            self._publish_heartbeat(ends=True)
            self._decisions.record_domain_released("the process stops")

    async def _run_pass(self) -> None:
        if not self._store.has_lease:
            self._choose_role()
            if self._role is DomainRole.NONE:
                return
        self._engines.poll_reports(self._addresses, self._on_report, self._on_no_report)
        if not self.is_active:
            return
        if self._store.has_lease:
            await self._act_as_holder()
        now = self._now
        self._decisions.record_ready(self.holder.plan, self.holder.find_ready(now))
        if now >= self._published.heartbeat_at + self._settings.beat_s:
            self._publish_heartbeat()

    def _choose_role(self) -> None:
        rank = self._ranks.rank(self._frame.node, self.domain)
        role = self._failover.decide_role(rank, self._now)
        if role is DomainRole.CANDIDATE and self._acquiring is None:
            self._failover.on_acquire_attempt(self._now)
            self._acquiring = asyncio.create_task(self._try_acquire())
        self._role = role
        if role is not DomainRole.NONE:
            self._follow_plan()

    def _follow_plan(self) -> None:
        plan = self._fleet.plans.get(self.domain)
        if plan is not None and plan.epoch > self.holder.plan.epoch:
            self.holder.plan = plan

    async def _try_acquire(self) -> None:
        requested_at = self._now
        try:
            if await self._store.acquire_lease():
                self.holder.start_tenure(requested_at, self._now)
                self._decisions.record_lease_acquired()
        finally:
            self._acquiring = None

    async def _keep_lease(self) -> None:
        while True:
            await asyncio.sleep(self._renew_s)
            if not self._store.has_lease:
                continue
            requested_at = self._now
            renewed = await self._store.renew_lease()
            if isinstance(renewed, Err):
                if not self._store.has_lease:
                    self.holder.end_tenure()
                    self._decisions.record_domain_released("the lease lapsed")
                continue
            self.holder.on_lease_renewed(requested_at)

    async def _act_as_holder(self) -> None:
        self._repeat_plan()
        if self.holder.needs_plan and not await self._read_plan():
            return
        await self._refresh_plans()
        proposal = self.holder.propose(
            self._now, self._fleet.make_knowledge(self.domain)
        )
        self._decisions.record_step(self.holder)
        if proposal is not None:
            await self._swap_plan(proposal)
        self._send_orders()

    async def _read_plan(self) -> bool:
        read = await self._store.read_plan()
        if isinstance(read, Err):
            return False
        plan, revision = read.ok_value
        self.holder.apply_stored_plan(plan, revision)
        self._publish_plan()
        return True

    async def _refresh_plans(self) -> None:
        """Read the plans of the other domains, in case a notice was lost."""
        if self._now < self._plans_read_at + _REFRESH_PLANS_S:
            return
        read = await self._store.list_plans()
        if isinstance(read, Err):
            return
        self._plans_read_at = self._now
        for plan in read.ok_value:
            self._fleet.update_plan(plan)

    async def _swap_plan(self, proposal: PlanProposal) -> None:
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
        self._decisions.record_changes(proposal.plan, proposal.changes)
        self._publish_plan()

    def _send_orders(self) -> None:
        for order in self.holder.collect_due_orders(self._now):
            address = self._addresses.get(order.vm)
            if address is not None:
                self._engines.send_order(
                    order, address, self._may_send, self._on_order_answered
                )

    def _may_send(self) -> bool:
        return self.holder.may_change(self._now)

    def _on_order_answered(self, order: Order, status: int) -> None:
        self._decisions.record_order(order, status)

    def _on_report(self, report: EngineReport, requested_at: float) -> None:
        self.holder.on_report(report, requested_at)

    def _on_no_report(self, vm: VmId) -> None:
        self.holder.on_no_answer(vm, self._now)

    def _repeat_plan(self) -> None:
        if self._now >= self._published.plan_at + _PLAN_REPEAT_S:
            self._publish_plan()

    def _publish_plan(self) -> None:
        plan, last = self.holder.plan, self._published
        last.plan_epoch, last.plan_at = plan.epoch, self._now
        self._fleet.update_plan(plan)
        self._frame.gossip.publish(
            Topic.PLANS,
            PLAN_PREFIX + self.domain,
            # Published again, the same plan needs a greater version, so that
            # its lifetime begins anew.
            (plan.epoch << _CLOCK_BITS) | int(time.time()),
            encode_plan(plan),
            _PLAN_LIFETIME_S,
        )

    def _publish_heartbeat(self, *, ends: bool = False) -> None:
        now = self._now
        self._published.heartbeat_at = now
        heartbeat = make_heartbeat(
            self.holder.plan,
            self.holder.get_timed_reports(),
            self._source,
            now,
            holds=self._store.has_lease,
            ends=ends,
        )
        self._published.version += 1
        self._frame.gossip.publish(
            Topic.GROUPS,
            f"{BEAT_PREFIX}{self.domain}/{self._frame.node}",
            self._frame.incarnation * _MS_PER_S + self._published.version,
            encode_heartbeat(heartbeat),
            self._settings.report_stale_s * 2,
        )


def _make_limits(settings: ControlSettings) -> HolderLimits:
    return HolderLimits(
        LeaseTenureLimits(settings.lease_s, max_order_s=settings.order_s),
        TrackingLimits(settings.vm_absent_s, settings.vm_settle_s),
        settings.report_stale_s,
        propagation_s=settings.beat_s + _MAX_SPREAD_S,
    )


def _make_failover_limits(settings: ControlSettings) -> FailoverLimits:
    return FailoverLimits(
        witness_after_s=settings.beat_s + settings.report_stale_s * _WITNESS_SHARE,
        acquire_after_s=settings.lease_s,
    )
