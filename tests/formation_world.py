"""Engines that join, open, close, leave and stage, for tests of formation.

What they do is checked from outside: whoever opens a group that is not whole,
or takes a VM from a group whose head still serves, is noted in ``broken``.
"""

import random
from dataclasses import dataclass, field, replace

from zinniaspool.core.fleet import (
    EngineSpec,
    Instance,
    InstanceId,
    InstanceState,
    Membership,
    MembershipState,
    ModelSpec,
)
from zinniaspool.core.formation import (
    DomainPlan,
    FormationPlanner,
    GroupOrder,
    GroupPhase,
    OrderAction,
    OrderOutcome,
)
from zinniaspool.core.ids import (
    Address,
    Epoch,
    FabricDomainId,
    FailureDomainId,
    ModelName,
    ServiceName,
)

__all__ = [
    "ENGINE",
    "LARGE",
    "SERVICE",
    "SMALL",
    "FakeEngine",
    "FormationWorld",
    "make_idle",
    "make_settled",
]

SERVICE = ServiceName("drafting")
LARGE = ModelName("large")
SMALL = ModelName("small")
TICK_S = 0.05
HEARTBEATS_S = 3.6

ENGINE = EngineSpec(
    slots=13,
    models=(
        ModelSpec(LARGE, 4, 0.6, 1.0, 16.0, 1.6),
        ModelSpec(SMALL, 2, 0.4, 0.6, 12.0, 1.1),
    ),
    stride=6,
    step_s=0.00645,
    step_per_request_s=0.0002,
    prefill_tokens_per_s=56_000.0,
    chunk=2048,
    loads_per_s=5.5,
    loads_at_once=8,
    form_s=0.3,
    staged_kept=1,
)


@dataclass
class FakeEngine:
    """One instance: what it holds, and what it told the store of it.

    Attributes:
        entry: What the store has, or None.
        alive: Whether it runs and answers.
        in_touch: Whether it reaches the store.
        opens_at: When an open order takes effect.
    """

    id: InstanceId
    domain: FabricDomainId
    alive: bool = True
    in_touch: bool = True
    state: InstanceState = InstanceState.READY
    entry: Instance | None = None
    silent_since: float | None = None
    staged: tuple[ModelName, ...] = ()
    model: ModelName | None = None
    membership: Membership | None = None
    members: tuple[InstanceId, ...] = ()
    seen_epoch: int = 0
    ready_at: float = 0.0
    opens_at: float | None = None
    staging: tuple[float, ModelName] | None = None
    born: int = 1
    born_at: float = 0.0
    has_been_ready: set[tuple[str, int, tuple[InstanceId, ...]]] = field(
        default_factory=set
    )
    ready_this_life: set[tuple[str, int, tuple[InstanceId, ...]]] = field(
        default_factory=set
    )

    def describe(self) -> Instance:
        return Instance(
            self.id,
            SERVICE,
            Address(f"10.0.0.1:{self.id}"),
            FailureDomainId("f"),
            self.state,
            13,
            self.domain,
            self.model,
            self.staged,
            self.membership,
            self.born,
        )


class FormationWorld:
    """A fleet, its store and one planner at a time."""

    def __init__(self, domains: int = 1, size: int = 7, seed: int = 1) -> None:
        self.now = 0.0
        self.broken: list[str] = []
        self.plans: dict[FabricDomainId, DomainPlan] = {}
        self.engines: dict[InstanceId, FakeEngine] = {}
        self.late_part = 0.0
        self.stages = True
        self.load_part = 0.1
        self.orders: list[GroupOrder] = []
        self.epoch = 0
        self._late: list[tuple[float, GroupOrder]] = []
        self._source = random.Random(seed)
        self._count = 0
        for number in range(domains):
            for _ in range(size):
                self.add(FabricDomainId(f"d{number}"))
        self.take_over()

    def add(self, domain: FabricDomainId) -> FakeEngine:
        self._count += 1
        engine = FakeEngine(InstanceId(f"i{self._count:03}"), domain)
        self.engines[engine.id] = engine
        return engine

    def take_over(self) -> None:
        """Let a new holder begin with what is in the store."""
        self.planner = FormationPlanner(self._next_epoch, 5.0, free_until=2.0)
        self.planner.configure({SERVICE: ENGINE})
        self.planner.restore(self.plans.values())

    def advance(self, seconds: float) -> None:
        for _ in range(int(seconds / TICK_S)):
            self._tick()

    def serving(self, model: ModelName) -> int:
        """Count the groups of a model that truly can serve."""
        return sum(
            self._is_whole(engine)
            for engine in self.engines.values()
            if engine.alive and engine.model == model
        )

    def lose(self, engine: FakeEngine) -> None:
        """Let an engine go dark, and tell the planner as questions would."""
        engine.alive = False
        self.planner.lose(engine.id)

    def members_of(self, model: ModelName) -> list[FakeEngine]:
        """Return the members of the first serving group of a model."""
        for run in self.planner.runs():
            if run.record.model == model and run.phase is GroupPhase.SERVING:
                return [self.engines[one] for one in run.record.members]
        return []

    def restart(self, engine: FakeEngine) -> FakeEngine:
        """Let an engine come back as another instance on the same host."""
        del self.engines[engine.id]
        fresh = self.add(engine.domain)
        fresh.staged = engine.staged
        return fresh

    def rebear(self, engine: FakeEngine) -> None:
        """Let an engine start again under its id with nothing of before."""
        engine.born += 1
        engine.born_at = self.now
        engine.alive, engine.state = True, InstanceState.READY
        engine.model, engine.membership, engine.members = None, None, ()
        engine.seen_epoch, engine.opens_at, engine.staging = 0, None, None
        engine.ready_this_life.clear()

    def _next_epoch(self) -> Epoch:
        self.epoch += 1
        return Epoch(self.epoch)

    def _tick(self) -> None:
        self.now += TICK_S
        for engine in self.engines.values():
            self._run_engine(engine)
        for due, order in list(self._late):
            if due <= self.now:
                self._late.remove((due, order))
                self._carry_out(order)
        self.planner.see(
            {one.id: one.entry for one in self.engines.values() if one.entry}
        )
        writes, orders = self.planner.step(self.now)
        for write in writes:
            self.plans[write.plan.domain] = write.plan
            self.planner.note_saved(write.plan.domain)
        for order in orders:
            self.orders.append(order)
            self.planner.note(order, self._give(order), self.now)

    def _run_engine(self, engine: FakeEngine) -> None:
        held = engine.membership
        if engine.staging is not None and engine.staging[0] <= self.now:
            engine.staged = (engine.staging[1],)
            engine.staging = None
        joining = held is not None and held.state is MembershipState.JOINING
        if held is not None and joining and engine.ready_at <= self.now:
            engine.membership = replace(held, state=MembershipState.READY)
            engine.staged = () if engine.model is None else (engine.model,)
            key = (held.group, held.epoch, engine.members)
            engine.has_been_ready.add(key)
            engine.ready_this_life.add(key)
        if engine.opens_at is not None and engine.opens_at <= self.now:
            engine.opens_at = None
            if engine.membership is not None:
                engine.membership = replace(
                    engine.membership, state=MembershipState.OPEN
                )
                self._check_whole(engine)
        elif held is not None and held.state is MembershipState.CLOSING:
            engine.membership = replace(held, state=MembershipState.READY)
        if engine.alive and engine.in_touch:
            engine.silent_since = None
            told = engine.describe()
            if told != engine.entry:
                engine.entry = told
            return
        if engine.silent_since is None:
            engine.silent_since = self.now
        if self.now - engine.silent_since > HEARTBEATS_S:
            engine.entry = None

    def _give(self, order: GroupOrder) -> OrderOutcome:
        engine = self.engines.get(order.instance)
        if engine is None or not engine.alive:
            return OrderOutcome.UNANSWERED
        if order.action is OrderAction.OPEN:
            self._check_lives(engine)
        if self._source.random() < self.late_part:
            self._late.append((self.now + self._source.uniform(2.0, 12.0), order))
            return OrderOutcome.UNANSWERED
        return self._carry_out(order)

    def _carry_out(self, order: GroupOrder) -> OrderOutcome:
        engine = self.engines.get(order.instance)
        if engine is None or not engine.alive:
            return OrderOutcome.GONE
        held = engine.membership
        mine = held is not None and (held.group, held.epoch) == (
            order.group,
            order.epoch,
        )
        match order.action:
            case OrderAction.JOIN:
                return self._join(engine, order)
            case OrderAction.STAGE:
                assert order.model is not None
                if self.stages:
                    engine.staging = (self.now + 1.0, order.model)
                return OrderOutcome.ACCEPTED
            case OrderAction.LEAVE if not mine:
                return OrderOutcome.HOLDS
            case _ if not mine:
                return OrderOutcome.UNFIT
            case OrderAction.OPEN:
                assert held is not None
                if held.state is MembershipState.OPEN:
                    return OrderOutcome.HOLDS
                if held.state is not MembershipState.READY or held.rank:
                    return OrderOutcome.UNFIT
                engine.opens_at = self.now + ENGINE.form_s
            case OrderAction.CLOSE:
                assert held is not None
                engine.membership = replace(held, state=MembershipState.CLOSING)
            case OrderAction.LEAVE:
                engine.membership, engine.opens_at = None, None
        return OrderOutcome.ACCEPTED

    def _join(self, engine: FakeEngine, order: GroupOrder) -> OrderOutcome:
        assert order.group is not None and order.model is not None
        held = engine.membership
        if order.epoch < engine.seen_epoch:
            return OrderOutcome.STALE
        if held is not None and (held.group, held.epoch) == (order.group, order.epoch):
            return OrderOutcome.HOLDS
        self._check_free(engine, order)
        engine.seen_epoch = order.epoch
        model = next(one for one in ENGINE.models if one.name == order.model)
        took = model.load_s * self.load_part
        if engine.model == order.model:
            took = 0.2
        elif order.model in engine.staged:
            took = model.warm_s
        if order.model not in engine.staged:
            # What the host held is gone, what comes is not there yet.
            engine.staged = ()
        engine.model, engine.members = order.model, order.members
        engine.ready_at = self.now + took
        engine.opens_at = None
        rank = order.members.index(engine.id)
        engine.membership = Membership(
            order.group, order.epoch, rank, MembershipState.JOINING
        )
        return OrderOutcome.ACCEPTED

    def _check_free(self, engine: FakeEngine, order: GroupOrder) -> None:
        """Note a join of a VM whose last group may still serve."""
        held = engine.membership
        if held is None or not engine.members:
            return
        head = self.engines.get(engine.members[0])
        if head is None or not head.alive or head.membership is None:
            return
        same = (head.membership.group, head.membership.epoch) == (
            held.group,
            held.epoch,
        )
        serving = (MembershipState.OPEN, MembershipState.CLOSING)
        if same and head.membership.state in serving:
            self.broken.append(f"{engine.id} joins {order.group} from {held.group}")

    def _check_whole(self, head: FakeEngine) -> None:
        """Note a group that opens though a member has never been ready."""
        held = head.membership
        assert held is not None
        key = (held.group, held.epoch, head.members)
        for one in head.members:
            member = self.engines.get(one)
            if member is not None and key not in member.has_been_ready:
                self.broken.append(f"{held.group} opens without {one}")

    def _check_lives(self, head: FakeEngine) -> None:
        """Note an order to open though a member is known to be reborn.

        Only where its entry could tell: it reaches the store, and started
        before the entries that the order was decided on.
        """
        held = head.membership
        if held is None:
            return
        key = (held.group, held.epoch, head.members)
        for one in head.members:
            member = self.engines.get(one)
            if member is None or not member.in_touch or not member.alive:
                continue
            told = member.born_at < self.now - TICK_S
            if told and key in member.has_been_ready - member.ready_this_life:
                self.broken.append(f"{held.group} is opened with {one} reborn")

    def _is_whole(self, head: FakeEngine) -> bool:
        held = head.membership
        if held is None or held.state is not MembershipState.OPEN:
            return False
        for one in head.members:
            member = self.engines.get(one)
            if member is None or not member.alive or member.membership is None:
                return False
            theirs = (member.membership.group, member.membership.epoch)
            if theirs != (held.group, held.epoch):
                return False
        return True


def make_idle(name: str) -> Instance:
    """Return a VM in no group."""
    return FakeEngine(InstanceId(name), FabricDomainId("d0")).describe()


def make_settled(size: int = 7) -> FormationWorld:
    world = FormationWorld(size=size)
    world.advance(12.0)
    assert not world.broken
    return world
