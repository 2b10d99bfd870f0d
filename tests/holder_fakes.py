"""Holders, engines and a store on one clock that a test moves.

Processes are coroutines that stop at every call, so that a test can freeze
them between any two steps, also between a decision and what follows from it.
"""

from collections.abc import Generator
from dataclasses import dataclass, field, replace
from random import Random

from result import Err, Ok, Result

from tests.group_world import make_configuration, make_model, make_vms
from zinniaspool.control.leases import DomainStore
from zinniaspool.core.deployment import Configuration, FencingSupport
from zinniaspool.core.groups import (
    EvidenceBook,
    FleetIndex,
    FleetKnowledge,
    Holder,
    HolderLimits,
)
from zinniaspool.core.groups.beats import DomainBeat, make_beat
from zinniaspool.core.groups.tenure import TenureLimits
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

__all__ = ["DOMAIN", "Bench", "FakeEngine", "FakeProcess"]

DOMAIN = FabricDomainId("d0")
TICK_S = 0.1
STALE_S = 2.0
ORDER_S = 1.0
_LOAD_S = 0.5
_LEASE_S = 3.0
_STEPS_A_TICK = 12
_LIMITS = HolderLimits(
    TenureLimits(_LEASE_S, order_s=ORDER_S),
    TrackingLimits(absent_s=2.5, settle_s=0.5),
    STALE_S,
    review_s=0.5,
)


class Pause:
    """Awaited where a process may be frozen."""

    def __await__(self) -> Generator[None, None, None]:
        """Give the test its turn."""
        yield


@dataclass
class FakeEngine:
    """An engine: follows orders, or refuses old ones.

    Attributes:
        faults: What must never happen and did.
        left_at: When an order took it out of each group.
    """

    vm: VmId
    checks: bool
    report: EngineReport
    alive: bool = True
    paused: bool = False
    ready_at: float = 0.0
    highest: int = 0
    faults: list[str] = field(default_factory=list)
    held: dict[tuple[str, int], float] = field(default_factory=dict)

    def follow(self, order: Order, now: float) -> None:
        """Take an order that arrives."""
        if not self.alive or (self.checks and order.epoch < self.highest):
            return
        self.highest = max(self.highest, order.epoch)
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
        """Let time pass."""
        if self.report.state is EngineState.LOADING and now >= self.ready_at:
            self.report = replace(self.report, state=EngineState.READY)
        if self.alive and self.report.state is EngineState.READY:
            self.held[str(self.report.group), self.report.epoch] = now

    def restart(self) -> None:
        """Come back with nothing."""
        self.alive = True
        boot = self.report.boot + "x"
        self.report = EngineReport(self.vm, boot, EngineState.EMPTY)
        self.highest = 0


class FakeStore:
    """The store's state behind calls that can be frozen, refused or lost."""

    def __init__(self, bench: "Bench") -> None:
        self._bench = bench

    async def get(self, key: str) -> Result[StoreValue | None, StoreFault]:
        """See the protocol."""
        if await self._is_out():
            return Err(StoreFault.UNAVAILABLE)
        return Ok(self._bench.state.get(key))

    async def list(self, prefix: str) -> Result[StoreListing, StoreFault]:
        """See the protocol."""
        if await self._is_out():
            return Err(StoreFault.UNAVAILABLE)
        return Ok(self._bench.state.list(prefix))

    async def swap(
        self, key: str, value: str, expected: Revision, lease: LeaseId | None = None
    ) -> Result[Revision, StoreFault]:
        """See the protocol."""
        if await self._is_out():
            return Err(StoreFault.UNAVAILABLE)
        written = self._bench.state.swap(key, value, expected, lease)
        await Pause()
        if self._bench.lose_answers:
            self._bench.lose_answers -= 1
            return Err(StoreFault.UNKNOWN)
        return Err(written) if isinstance(written, StoreFault) else Ok(written)

    async def delete(self, key: str, expected: Revision) -> Result[None, StoreFault]:
        """See the protocol."""
        raise NotImplementedError

    async def grant(self, ttl_s: float) -> Result[LeaseId, StoreFault]:
        """See the protocol."""
        if await self._is_out():
            return Err(StoreFault.UNAVAILABLE)
        return Ok(self._bench.state.grant(ttl_s, self._bench.now))

    async def renew(self, lease: LeaseId) -> Result[None, StoreFault]:
        """See the protocol."""
        if await self._is_out():
            return Err(StoreFault.UNAVAILABLE)
        held = self._bench.state.renew(lease, self._bench.now)
        await Pause()
        return Ok(None) if held else Err(StoreFault.NO_LEASE)

    async def revoke(self, lease: LeaseId) -> Result[None, StoreFault]:
        """See the protocol."""
        if await self._is_out():
            return Err(StoreFault.UNAVAILABLE)
        self._bench.state.revoke(lease)
        return Ok(None)

    async def watch(
        self, prefix: str, after: Revision, timeout_s: float
    ) -> Result[WatchBatch, StoreFault]:
        """See the protocol."""
        raise NotImplementedError

    async def _is_out(self) -> bool:
        await Pause()
        return self._bench.store_out


class FakeProcess:
    """A control process: the keeper's steps, one after the other."""

    def __init__(self, name: str, bench: "Bench") -> None:
        self.name = NodeId(name)
        self.frozen = False
        self._bench = bench
        self.holder = Holder(DOMAIN, _LIMITS)
        self.holder.configure(FleetIndex(bench.configuration), bench.now)
        self.store = DomainStore(FakeStore(bench), DOMAIN, self.name, _LEASE_S)
        self._beats = 0
        self._life = self._run().__await__()

    def step(self) -> None:
        """Go on to the next place where the process may be frozen."""
        next(self._life)

    async def _run(self) -> None:
        while True:
            await self._keep_lease()
            await self._ask_engines()
            if self.store.has_lease:
                await self._hold()
            await Pause()
            self._bench.publish(self._beat())
            await Pause()

    async def _keep_lease(self) -> None:
        asked_at = self._bench.now
        if self.store.has_lease:
            renewed = await self.store.renew()
            if isinstance(renewed, Ok):
                self.holder.renew(asked_at)
            elif not self.store.has_lease:
                self.holder.lose()
        elif await self.store.take():
            self.holder.take(asked_at, self._bench.now)

    async def _ask_engines(self) -> None:
        asked_at = self._bench.now
        answers = [
            (engine.vm, engine.report if engine.alive and not engine.paused else None)
            for engine in self._bench.engines.values()
        ]
        await Pause()
        for vm, report in answers:
            if report is None:
                self.holder.note_silence(vm, self._bench.now)
            else:
                self.holder.note_report(report, asked_at)

    async def _hold(self) -> None:
        if self.holder.needs_plan:
            found = await self.store.read_plan()
            if isinstance(found, Err):
                return
            self.holder.read_plan(*found.ok_value)
            self._bench.publish(self.holder.plan)
        await Pause()
        proposal = self.holder.propose(self._bench.now, FleetKnowledge())
        await Pause()
        if proposal is not None and self.holder.may_change(self._bench.now):
            swapped = await self.store.swap_plan(proposal.plan, proposal.expected)
            if isinstance(swapped, Err):
                self.holder.doubt_plan()
            else:
                self.holder.swapped(proposal, swapped.ok_value)
                self._bench.publish(self.holder.plan)
        orders = self.holder.due_orders(self._bench.now)
        for order in orders:
            await Pause()
            if self.holder.may_change(self._bench.now):
                self._bench.send(order)

    def _beat(self) -> DomainBeat:
        return make_beat(
            self.holder.plan, self.holder.seen(), str(self.name), self._bench.now
        )


class Bench:
    """Everything on one clock, with faults to switch on.

    Args:
        fencing: What engines do with an old order.
        seed: Of the delays.
    """

    def __init__(self, fencing: FencingSupport, seed: int) -> None:
        self.now = 1000.0
        self.state = KeyValueState()
        self.store_out = False
        self.lose_answers = 0
        self._source = Random(seed)
        self.configuration = _configure(fencing)
        checks = fencing is FencingSupport.CHECKED
        self.engines = {
            vm.id: FakeEngine(
                vm.id, checks, EngineReport(vm.id, "b", EngineState.EMPTY)
            )
            for vm in self.configuration.inventory.vms
        }
        self.entries = [EvidenceBook(STALE_S), EvidenceBook(STALE_S)]
        self._orders: list[tuple[float, Order]] = []
        self._news: list[tuple[float, float, int, DomainPlan | DomainBeat]] = []
        self.processes = [FakeProcess(f"c{k}", self) for k in range(2)]

    def send(self, order: Order) -> None:
        """Let an order arrive within its longest time, maybe twice."""
        for _ in range(self._source.choice((1, 1, 1, 2))):
            delay = self._source.uniform(0, ORDER_S * 0.9)
            self._orders.append((self.now + delay, order))

    def publish(self, news: DomainPlan | DomainBeat) -> None:
        """Let news arrive at each entry process at its own time."""
        for k in range(len(self.entries)):
            delay = self._source.choice((0.0, 0.1, 0.4))
            self._news.append((self.now + delay, delay, k, news))

    def advance(self, ticks: int) -> None:
        """Let time pass, and check after each tick."""
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
            self.check()

    def serving(self, entry: int) -> list[str]:
        """Return the groups that an entry process would send to."""
        return [found.group.id for found in self.entries[entry].find_serving(self.now)]

    def check(self) -> None:
        """Assert that no group serves wrongly anywhere."""
        for engine in self.engines.values():
            assert not engine.faults, engine.faults
        taken: dict[VmId, str] = {}
        for entry in self.entries:
            for found in entry.find_serving(self.now):
                group = found.group
                first = self.engines[group.vms[0]]
                if not self._accepts(first, group.id, group.epoch):
                    # The engine refuses the request as not run.
                    continue
                for vm in group.vms:
                    owner = taken.setdefault(vm, group.id)
                    assert owner == group.id, f"{vm} serves {owner} and {group.id}"
                    held = self.engines[vm].held.get((group.id, group.epoch), 0.0)
                    assert held >= self.now - STALE_S - 2 * TICK_S, f"{vm} is missing"
                    if self.engines[vm].alive and self.engines[vm].report.boot == "b":
                        kept = self.engines[vm].report.group == group.id
                        assert kept, f"{vm} was ordered out of serving {group.id}"

    def _accepts(self, engine: FakeEngine, group: str, epoch: int) -> bool:
        report = engine.report
        ready = engine.alive and report.state is EngineState.READY
        return ready and (report.group, report.epoch) == (group, epoch)

    def _deliver(self) -> None:
        due = [order for at, order in self._orders if at <= self.now]
        self._orders = [(at, order) for at, order in self._orders if at > self.now]
        for order in due:
            if not self.engines[order.vm].paused:
                self.engines[order.vm].follow(order, self.now)
        arrived = [found for found in self._news if found[0] <= self.now]
        self._news = [found for found in self._news if found[0] > self.now]
        for _, delay, k, news in arrived:
            if isinstance(news, DomainPlan):
                self.entries[k].take_plan(news)
            else:
                self.entries[k].take_beat(news, delay, self.now)


def _configure(fencing: FencingSupport) -> Configuration:
    """Two rivals' models on one owner's five VMs."""
    models = (make_model("x", 2, 1, 2, "a"), make_model("y", 1, 1, 1, "b"))
    made = make_configuration(make_vms("d0", "sssss"), models, {"a": "s", "b": "s"})
    rules = replace(made.rules, fencing=fencing, weight_store_gb_per_s=1000.0)
    return replace(made, rules=rules)
