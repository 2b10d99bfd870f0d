"""Simulation of holders, engines and a store on one clock that a test sets.

Processes are coroutines that yield at every call, so that a test can freeze
them between any two steps, also between a decision and its execution.
"""

from collections.abc import Generator
from dataclasses import dataclass, field, replace
from random import Random

from result import Err, Ok, Result

from tests.group_world import make_configuration, make_model, make_vms
from zinniaspool.control.leases import DomainStore
from zinniaspool.core.deployment import Configuration, FencingSupport
from zinniaspool.core.groups import (
    EvidenceTable,
    FleetIndex,
    Holder,
    HolderLimits,
    OtherDomainsView,
)
from zinniaspool.core.groups.beats import DomainHeartbeat, make_heartbeat
from zinniaspool.core.groups.tenure import LeaseTenureLimits
from zinniaspool.core.groups.tracking import TrackingLimits
from zinniaspool.core.ids import FabricDomainId, NodeId, Revision, VmId
from zinniaspool.core.plans import (
    DomainPlan,
    EngineReport,
    EngineState,
    Order,
    OrderKind,
)
from zinniaspool.store.client import (
    LeaseId,
    StoreFault,
    StoreListing,
    StoreValue,
    WatchBatch,
)
from zinniaspool_standins.kvstore import KeyValueState

__all__ = ["DOMAIN", "FakeEngine", "FakeProcess", "HolderSimulation"]

DOMAIN = FabricDomainId("d0")
TICK_S = 0.1
STALE_S = 2.0
ORDER_S = 1.0
_LOAD_S = 0.5
_LEASE_S = 3.0
_STEPS_A_TICK = 12
_LIMITS = HolderLimits(
    LeaseTenureLimits(_LEASE_S, max_order_s=ORDER_S),
    TrackingLimits(absent_after_s=2.5, settle_s=0.5),
    STALE_S,
    review_interval_s=0.5,
)


class Pause:
    """Awaitable at which a process may be frozen."""

    def __await__(self) -> Generator[None, None, None]:
        """Yield control to the test."""
        yield


@dataclass
class FakeEngine:
    """An engine that follows orders, and may reject outdated ones.

    Attributes:
        vm: The engine's VM.
        checks_epochs: Whether it rejects orders of an older epoch.
        report: Its current report.
        alive: Whether its process runs.
        paused: Whether it neither answers polls nor receives orders.
        ready_at: When its current load ends.
        highest_epoch: The highest epoch of any order so far.
        faults: Violations of what an engine may be ordered to do.
        last_ready_at: When it was last ready in each group and epoch.
    """

    vm: VmId
    checks_epochs: bool
    report: EngineReport
    alive: bool = True
    paused: bool = False
    ready_at: float = 0.0
    highest_epoch: int = 0
    faults: list[str] = field(default_factory=list)
    last_ready_at: dict[tuple[str, int], float] = field(default_factory=dict)

    def follow(self, order: Order, now: float) -> None:
        """Follow an order that arrives, or reject it."""
        if not self.alive or (self.checks_epochs and order.epoch < self.highest_epoch):
            return
        self.highest_epoch = max(self.highest_epoch, order.epoch)
        before = self.report
        match order.kind:
            case OrderKind.UNLOAD:
                self.report = EngineReport(
                    self.vm, before.boot, EngineState.EMPTY, epoch=order.epoch
                )
            case OrderKind.DRAIN if before.group == order.group:
                self.report = replace(before, state=EngineState.DRAINING)
            case OrderKind.LOAD:
                self._load(order, now)

    def _load(self, order: Order, now: float) -> None:
        before = self.report
        if before.model not in (None, order.model):
            self.faults.append(f"{self.vm} loads {order.model} over {before.model}")
        same = (before.group, before.epoch) == (order.group, order.epoch)
        if same and before.state is EngineState.READY:
            return
        self.ready_at = now + _LOAD_S
        self.report = EngineReport(
            self.vm,
            before.boot,
            EngineState.LOADING,
            order.group,
            order.epoch,
            order.model,
            order.version,
        )

    def tick(self, now: float) -> None:
        """Advance to a time."""
        if self.report.state is EngineState.LOADING and now >= self.ready_at:
            self.report = replace(self.report, state=EngineState.READY)
        if self.alive and self.report.state is EngineState.READY:
            self.last_ready_at[str(self.report.group), self.report.epoch] = now

    def restart(self) -> None:
        """Restart the process, with nothing loaded."""
        self.alive = True
        boot = self.report.boot + "x"
        self.report = EngineReport(self.vm, boot, EngineState.EMPTY)
        self.highest_epoch = 0


class FakeStore:
    """The store's state behind calls that can be frozen, fail or get lost."""

    def __init__(self, simulation: "HolderSimulation") -> None:
        self._simulation = simulation

    async def get(self, key: str) -> Result[StoreValue | None, StoreFault]:
        """See the protocol."""
        if await self._is_out():
            return Err(StoreFault.UNAVAILABLE)
        return Ok(self._simulation.state.get(key))

    async def list(self, prefix: str) -> Result[StoreListing, StoreFault]:
        """See the protocol."""
        if await self._is_out():
            return Err(StoreFault.UNAVAILABLE)
        return Ok(self._simulation.state.list(prefix))

    async def swap(
        self, key: str, value: str, expected: Revision, lease: LeaseId | None = None
    ) -> Result[Revision, StoreFault]:
        """See the protocol."""
        if await self._is_out():
            return Err(StoreFault.UNAVAILABLE)
        written = self._simulation.state.swap(key, value, expected, lease)
        await Pause()
        if self._simulation.lose_answers:
            self._simulation.lose_answers -= 1
            return Err(StoreFault.UNKNOWN)
        return Err(written) if isinstance(written, StoreFault) else Ok(written)

    async def delete(self, key: str, expected: Revision) -> Result[None, StoreFault]:
        """See the protocol."""
        raise NotImplementedError

    async def grant(self, ttl_s: float) -> Result[LeaseId, StoreFault]:
        """See the protocol."""
        if await self._is_out():
            return Err(StoreFault.UNAVAILABLE)
        return Ok(self._simulation.state.grant(ttl_s, self._simulation.now))

    async def renew(self, lease: LeaseId) -> Result[None, StoreFault]:
        """See the protocol."""
        if await self._is_out():
            return Err(StoreFault.UNAVAILABLE)
        renewed = self._simulation.state.renew(lease, self._simulation.now)
        await Pause()
        return Ok(None) if renewed else Err(StoreFault.NO_LEASE)

    async def revoke(self, lease: LeaseId) -> Result[None, StoreFault]:
        """See the protocol."""
        if await self._is_out():
            return Err(StoreFault.UNAVAILABLE)
        self._simulation.state.revoke(lease)
        return Ok(None)

    async def watch(
        self, prefix: str, after: Revision, timeout_s: float
    ) -> Result[WatchBatch, StoreFault]:
        """See the protocol."""
        raise NotImplementedError

    async def _is_out(self) -> bool:
        await Pause()
        return self._simulation.store_out


class FakeProcess:
    """A control process that runs the steps of a domain in sequence."""

    def __init__(self, name: str, simulation: "HolderSimulation") -> None:
        self.name = NodeId(name)
        self.frozen = False
        self._simulation = simulation
        self.holder = Holder(DOMAIN, _LIMITS)
        self.holder.configure(FleetIndex(simulation.configuration), simulation.now)
        self.store = DomainStore(FakeStore(simulation), DOMAIN, self.name, _LEASE_S)
        self._heartbeats = 0
        self._coroutine = self._run().__await__()

    def step(self) -> None:
        """Run until the next point at which the process may be frozen."""
        next(self._coroutine)

    async def _run(self) -> None:
        while True:
            await self._keep_lease()
            await self._poll_engines()
            if self.store.has_lease:
                await self._plan_domain()
            await Pause()
            self._simulation.publish(self._make_heartbeat())
            await Pause()

    async def _keep_lease(self) -> None:
        requested_at = self._simulation.now
        if self.store.has_lease:
            renewed = await self.store.renew_lease()
            if isinstance(renewed, Ok):
                self.holder.on_lease_renewed(requested_at)
            elif not self.store.has_lease:
                self.holder.end_tenure()
        elif await self.store.acquire_lease():
            self.holder.start_tenure(requested_at, self._simulation.now)

    async def _poll_engines(self) -> None:
        requested_at = self._simulation.now
        answers = [
            (engine.vm, engine.report if engine.alive and not engine.paused else None)
            for engine in self._simulation.engines.values()
        ]
        await Pause()
        for vm, report in answers:
            if report is None:
                self.holder.on_no_answer(vm, self._simulation.now)
            else:
                self.holder.on_report(report, requested_at)

    async def _plan_domain(self) -> None:
        if self.holder.needs_plan:
            stored = await self.store.read_plan()
            if isinstance(stored, Err):
                return
            self.holder.apply_stored_plan(*stored.ok_value)
            self._simulation.publish(self.holder.plan)
        await Pause()
        proposal = self.holder.propose(self._simulation.now, OtherDomainsView())
        await Pause()
        if proposal is not None and self.holder.may_change(self._simulation.now):
            swapped = await self.store.swap_plan(
                proposal.plan, proposal.expected_revision
            )
            if isinstance(swapped, Err):
                self.holder.invalidate_plan()
            else:
                self.holder.on_plan_swapped(proposal, swapped.ok_value)
                self._simulation.publish(self.holder.plan)
        orders = self.holder.collect_due_orders(self._simulation.now)
        for order in orders:
            await Pause()
            if self.holder.may_change(self._simulation.now):
                self._simulation.send(order)

    def _make_heartbeat(self) -> DomainHeartbeat:
        return make_heartbeat(
            self.holder.plan,
            self.holder.get_timed_reports(),
            str(self.name),
            self._simulation.now,
        )


class HolderSimulation:
    """Processes, engines and a store on one clock, with switchable faults.

    Args:
        fencing: Whether engines check or ignore the epoch of an order.
        seed: Seed of the random delays.
    """

    def __init__(self, fencing: FencingSupport, seed: int) -> None:
        self.now = 1000.0
        self.state = KeyValueState()
        self.store_out = False
        self.lose_answers = 0
        self._random = Random(seed)
        self.configuration = _configure(fencing)
        checks = fencing is FencingSupport.CHECKED
        self.engines = {
            vm.id: FakeEngine(
                vm.id, checks, EngineReport(vm.id, "b", EngineState.EMPTY)
            )
            for vm in self.configuration.inventory.vms
        }
        self.entries = [EvidenceTable(STALE_S), EvidenceTable(STALE_S)]
        self._orders: list[tuple[float, Order]] = []
        self._messages: list[
            tuple[float, float, int, DomainPlan | DomainHeartbeat]
        ] = []
        self.processes = [FakeProcess(f"c{k}", self) for k in range(2)]

    def send(self, order: Order) -> None:
        """Deliver an order after a random delay, and sometimes twice."""
        for _ in range(self._random.choice((1, 1, 1, 2))):
            delay = self._random.uniform(0, ORDER_S * 0.9)
            self._orders.append((self.now + delay, order))

    def publish(self, message: DomainPlan | DomainHeartbeat) -> None:
        """Deliver a message to each entry process after a random delay."""
        for k in range(len(self.entries)):
            delay = self._random.choice((0.0, 0.1, 0.4))
            self._messages.append((self.now + delay, delay, k, message))

    def advance(self, ticks: int) -> None:
        """Advance the clock, and check the invariants after each tick."""
        for _ in range(ticks):
            self.now += TICK_S
            self.state.lapse(self.now)
            self._deliver()
            for engine in self.engines.values():
                engine.tick(self.now)
            for process in self.processes:
                for _ in range(_STEPS_A_TICK):
                    if not process.frozen:
                        process.step()
            self.check_serving()

    def list_serving(self, entry: int) -> list[str]:
        """Return the groups that an entry process would send requests to."""
        return [
            serving.group.id for serving in self.entries[entry].find_serving(self.now)
        ]

    def check_serving(self) -> None:
        """Assert that groups share no VM and serve with all their members."""
        for engine in self.engines.values():
            assert not engine.faults, engine.faults
        claimed: dict[VmId, str] = {}
        for entry in self.entries:
            for serving in entry.find_serving(self.now):
                group = serving.group
                first = self.engines[group.vms[0]]
                if not self._accepts(first, group.id, group.epoch):
                    # The engine rejects the request without running it.
                    continue
                for vm in group.vms:
                    owner = claimed.setdefault(vm, group.id)
                    assert owner == group.id, f"{vm} serves {owner} and {group.id}"
                    ready_at = self.engines[vm].last_ready_at.get(
                        (group.id, group.epoch), 0.0
                    )
                    assert ready_at >= self.now - STALE_S - 2 * TICK_S, (
                        f"{vm} is missing"
                    )
                    if self.engines[vm].alive and self.engines[vm].report.boot == "b":
                        in_group = self.engines[vm].report.group == group.id
                        assert in_group, f"{vm} was ordered out of serving {group.id}"

    def _accepts(self, engine: FakeEngine, group: str, epoch: int) -> bool:
        report = engine.report
        ready = engine.alive and report.state is EngineState.READY
        return ready and (report.group, report.epoch) == (group, epoch)

    def _deliver(self) -> None:
        due = [order for arrives_at, order in self._orders if arrives_at <= self.now]
        self._orders = [
            (arrives_at, order)
            for arrives_at, order in self._orders
            if arrives_at > self.now
        ]
        for order in due:
            if not self.engines[order.vm].paused:
                self.engines[order.vm].follow(order, self.now)
        arrived = [delivery for delivery in self._messages if delivery[0] <= self.now]
        self._messages = [
            delivery for delivery in self._messages if delivery[0] > self.now
        ]
        for _, delay, k, message in arrived:
            if isinstance(message, DomainPlan):
                self.entries[k].apply_plan(message)
            else:
                self.entries[k].apply_heartbeat(message, delay, self.now)


def _configure(fencing: FencingSupport) -> Configuration:
    """Return a configuration of two models on one owner's five VMs.

    The models belong to different customers.
    """
    models = (make_model("x", 2, 1, 2, "a"), make_model("y", 1, 1, 1, "b"))
    made = make_configuration(make_vms("d0", "sssss"), models, {"a": "s", "b": "s"})
    rules = replace(made.rules, fencing=fencing, weight_store_gb_per_s=1000.0)
    return replace(made, rules=rules)
