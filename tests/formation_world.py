"""Simulated engines that join, open, close, leave and stage, for tests.

The simulation checks each order from outside. It records a violation when a
group opens that is not complete, or when a VM joins a group while the head of
its last group still serves.
"""

import random
from collections import Counter
from dataclasses import dataclass, field, replace

from zinniaspool.core.fleet import (
    EngineSpec,
    EngineStatus,
    Health,
    HealthAnswer,
    Instance,
    InstanceId,
    InstanceState,
    Membership,
    MembershipState,
    ModelSpec,
    may_retain,
)
from zinniaspool.core.fleet.retention import find_objection
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
    "SimulatedFleet",
    "make_idle_instance",
    "make_settled_fleet",
]

SERVICE = ServiceName("drafting")
LARGE = ModelName("large")
SMALL = ModelName("small")
TICK_S = 0.05
"""Simulated time between two steps of the planner, in seconds."""

WRITE_TIMEOUT_S = 0.8
"""Time after which a write that is not answered counts as lost, in seconds."""

HEARTBEAT_TIMEOUT_S = 3.6
"""Time without a heartbeat after which a record expires, in seconds."""

ENGINE = EngineSpec(
    slots=13,
    models=(
        ModelSpec(LARGE, 4, 0.6, 1.0, 16.0, 1.6),
        ModelSpec(SMALL, 2, 0.4, 0.6, 12.0, 1.1),
    ),
    steps_per_pass=6,
    step_s=0.00645,
    step_per_request_s=0.0002,
    prefill_tokens_per_s=56_000.0,
    prefill_chunk_tokens=2048,
    loads_per_s=5.5,
    full_speed_loads=8,
    form_s=0.3,
    max_staged_models=1,
)


@dataclass
class FakeEngine:
    """One simulated instance, and its record in the store.

    Attributes:
        alive: Whether it runs and answers.
        connected: Whether it reaches the store.
        busy: Whether it runs requests, so that its group doesn't close.
        failure_domain: The failure domain that its record names.
        record: Its record in the store, or None.
        unreported_since: Time since which it does not reach the store.
        retained_until: Time of the holder's next decision on the engine,
            which has no record; None if it has one.
        opens_at: Time at which an open order takes effect.
        order_count: Orders accepted since its last start.
        ready_ever: Groups in which it has ever been ready.
        ready_since_start: Groups in which it has been ready since its last
            start.
    """

    id: InstanceId
    domain: FabricDomainId
    alive: bool = True
    connected: bool = True
    busy: bool = False
    failure_domain: FailureDomainId = FailureDomainId("f")
    state: InstanceState = InstanceState.READY
    record: Instance | None = None
    unreported_since: float | None = None
    retained_until: float | None = None
    staged: tuple[ModelName, ...] = ()
    model: ModelName | None = None
    membership: Membership | None = None
    members: tuple[InstanceId, ...] = ()
    highest_epoch: int = 0
    ready_at: float = 0.0
    opens_at: float | None = None
    order_count: int = 0
    staging: tuple[float, ModelName] | None = None
    incarnation: int = 1
    started_at: float = 0.0
    ready_ever: set[tuple[str, int, tuple[InstanceId, ...]]] = field(
        default_factory=set
    )
    ready_since_start: set[tuple[str, int, tuple[InstanceId, ...]]] = field(
        default_factory=set
    )

    def describe(self) -> Instance:
        return Instance(
            self.id,
            SERVICE,
            Address(f"10.0.0.1:{self.id}"),
            self.failure_domain,
            self.state,
            13,
            self.domain,
            self.model,
            self.staged,
            self.membership,
            self.incarnation,
            self.order_count,
        )


class SimulatedFleet:
    """A simulated fleet, its store and one planner at a time.

    Attributes:
        violations: The violations found so far.
        late_order_part: Part of the orders that are carried out late.
        lost_write_part: Part of the writes of plans that are not answered.
        late_write_part: Part of those that are done late.
        staging_enabled: Whether engines stage models.
        load_time_part: Part of the model's load time that a load takes.
        retains_instances: Whether engines without a record are retained.
        longest_timeout_s: Longest timeout of the service's routes, as the next
            planner is configured.
        not_orderable: Engines that answer only through entry processes. An
            order to one of them is a violation.
    """

    def __init__(self, domains: int = 1, size: int = 7, seed: int = 1) -> None:
        self.now = 0.0
        self.violations: list[str] = []
        self.plans: dict[FabricDomainId, DomainPlan] = {}
        self.engines: dict[InstanceId, FakeEngine] = {}
        self.late_order_part = 0.0
        self.lost_write_part = 0.0
        self.late_write_part = 0.5
        self.staging_enabled = True
        self.load_time_part = 0.1
        self.retains_instances = False
        self.longest_timeout_s = 8.0
        self.not_orderable: set[InstanceId] = set()
        self.orders: list[GroupOrder] = []
        self.epoch = 0
        self._late_orders: list[tuple[float, GroupOrder]] = []
        self._plan_revisions: Counter[FabricDomainId] = Counter()
        self._late_writes: list[tuple[float, int, DomainPlan]] = []
        self._unanswered: list[tuple[float, DomainPlan]] = []
        self._random = random.Random(seed)
        self._vm_count = 0
        for number in range(domains):
            for _ in range(size):
                self.add_vm(FabricDomainId(f"d{number}"))
        self.take_over()

    def add_vm(self, domain: FabricDomainId) -> FakeEngine:
        self._vm_count += 1
        engine = FakeEngine(InstanceId(f"i{self._vm_count:03}"), domain)
        self.engines[engine.id] = engine
        return engine

    def take_over(self) -> None:
        """Replace the planner by one that starts from the stored plans."""
        # A write expects the key of its holder, also one that is done late.
        self._late_writes.clear()
        self._unanswered.clear()
        self.planner = FormationPlanner(
            self._next_epoch, 5.0, loads_unlimited_until=2.0
        )
        self.planner.configure({SERVICE: ENGINE}, {SERVICE: self.longest_timeout_s})
        self.planner.restore(self.plans.values())

    def advance(self, seconds: float) -> None:
        for _ in range(int(seconds / TICK_S)):
            self._tick()

    def count_serving(self, model: ModelName) -> int:
        """Count the complete groups of a model."""
        return sum(
            self._is_complete(engine)
            for engine in self.engines.values()
            if engine.alive and engine.model == model
        )

    def fail_engine(self, engine: FakeEngine) -> None:
        """Stop an engine, and report it to the planner as unreachable."""
        engine.alive = False
        self.planner.mark_unreachable(engine.id)

    def find_members(self, model: ModelName) -> list[FakeEngine]:
        """Return the members of the first serving group of a model."""
        for run in self.planner.list_runs():
            if run.record.model == model and run.phase is GroupPhase.SERVING:
                return [self.engines[member] for member in run.record.members]
        return []

    def restart_as_new_instance(self, engine: FakeEngine) -> FakeEngine:
        """Replace an engine by another instance on the same host."""
        del self.engines[engine.id]
        fresh = self.add_vm(engine.domain)
        fresh.staged = engine.staged
        return fresh

    def restart_in_place(self, engine: FakeEngine) -> None:
        """Restart an engine under its id, in no group and without a model."""
        engine.incarnation += 1
        engine.started_at = self.now
        engine.alive, engine.state = True, InstanceState.READY
        engine.model, engine.membership, engine.members = None, None, ()
        engine.highest_epoch, engine.opens_at, engine.staging = 0, None, None
        engine.order_count = 0
        engine.ready_since_start.clear()

    def deliver_late(self, order: GroupOrder) -> OrderOutcome:
        """Have an engine carry out an order that was sent before."""
        return self._execute(order)

    def _next_epoch(self) -> Epoch:
        self.epoch += 1
        return Epoch(self.epoch)

    def _tick(self) -> None:
        self.now += TICK_S
        for engine in self.engines.values():
            self._run_engine(engine)
        for due, order in list(self._late_orders):
            if due <= self.now:
                self._late_orders.remove((due, order))
                self._execute(order)
        self.planner.update_instances(
            {it.id: it.record for it in self.engines.values() if it.record},
            {it.id for it in self.engines.values() if it.retained_until is not None},
            frozenset(self.not_orderable),
        )
        self._run_writes()
        writes, orders = self.planner.step(self.now)
        for write in writes:
            self._write_plan(write.plan)
        for order in orders:
            self.orders.append(order)
            self.planner.on_order_outcome(order, self._send_order(order), self.now)

    def _write_plan(self, plan: DomainPlan) -> None:
        if self._random.random() >= self.lost_write_part:
            self._store_plan(plan)
            self.planner.on_plan_saved(plan)
            return
        self._unanswered.append((self.now + WRITE_TIMEOUT_S, plan))
        if self._random.random() < self.late_write_part:
            due = self.now + self._random.uniform(1.0, 6.0)
            revision = self._plan_revisions[plan.domain]
            self._late_writes.append((due, revision, plan))

    def _store_plan(self, plan: DomainPlan) -> None:
        self.plans[plan.domain] = plan
        self._plan_revisions[plan.domain] += 1

    def _run_writes(self) -> None:
        for late in [it for it in self._late_writes if it[0] <= self.now]:
            self._late_writes.remove(late)
            if self._plan_revisions[late[2].domain] == late[1]:
                self._store_plan(late[2])
        for unanswered in [it for it in self._unanswered if it[0] <= self.now]:
            self._unanswered.remove(unanswered)
            plan = unanswered[1]
            if self.plans.get(plan.domain) == plan:
                self.planner.on_plan_saved(plan)
            else:
                self.planner.on_plan_not_saved(plan)

    def _run_engine(self, engine: FakeEngine) -> None:
        membership = engine.membership
        if engine.staging is not None and engine.staging[0] <= self.now:
            engine.staged = (engine.staging[1],)
            engine.staging = None
        joining = membership is not None and membership.state is MembershipState.JOINING
        if membership is not None and joining and engine.ready_at <= self.now:
            engine.membership = replace(membership, state=MembershipState.READY)
            engine.staged = () if engine.model is None else (engine.model,)
            key = (membership.group, membership.epoch, engine.members)
            engine.ready_ever.add(key)
            engine.ready_since_start.add(key)
        if engine.opens_at is not None and engine.opens_at <= self.now:
            engine.opens_at = None
            if engine.membership is not None:
                engine.membership = replace(
                    engine.membership, state=MembershipState.OPEN
                )
                self._check_complete(engine)
        elif (
            membership is not None
            and membership.state is MembershipState.CLOSING
            and not engine.busy
        ):
            engine.membership = replace(membership, state=MembershipState.READY)
        if engine.alive and engine.connected:
            engine.unreported_since = engine.retained_until = None
            reported = engine.describe()
            if reported != engine.record:
                engine.record = reported
            return
        if engine.unreported_since is None:
            engine.unreported_since = self.now
        if self.now - engine.unreported_since > HEARTBEAT_TIMEOUT_S:
            self._expire_record(engine)

    def _expire_record(self, engine: FakeEngine) -> None:
        """Remove a record, or keep it as a holder does that retains it.

        The holder decides 0.5 s later, and then once a second.
        """
        known = engine.record
        if known is None:
            return
        if engine.retained_until is None:
            engine.retained_until = self.now + 0.5
        elif engine.retained_until <= self.now:
            engine.retained_until = self.now + 1.0
            status = EngineStatus(
                engine.membership, engine.model, (), 0, 0, 1.0, engine.incarnation
            )
            is_leaving = engine.state is InstanceState.LEAVING
            health = HealthAnswer(Health.HEALTHY, engine.id, is_leaving)
            answers = (health, status) if engine.alive else (None, None)
            if find_objection(known, *answers) is None:
                engine.record = replace(known, membership=engine.membership)
            else:
                engine.record = None
        if not self.retains_instances or not may_retain(known):
            engine.record = None
        if engine.record is None:
            engine.retained_until = None

    def _send_order(self, order: GroupOrder) -> OrderOutcome:
        if order.instance in self.not_orderable | self.planner.suspected:
            self.violations.append(f"{order.action.value} to {order.instance}")
        named = {record.group for plan in self.plans.values() for record in plan.groups}
        follows_plan = order.action in (OrderAction.JOIN, OrderAction.OPEN)
        if follows_plan and order.group not in named:
            self.violations.append(f"{order.action.value} of unwritten {order.group}")
        engine = self.engines.get(order.instance)
        if engine is None or not engine.alive:
            return OrderOutcome.UNANSWERED
        if order.action is OrderAction.OPEN:
            self._check_incarnations(engine)
        if self._random.random() < self.late_order_part:
            self._late_orders.append(
                (self.now + self._random.uniform(2.0, 12.0), order)
            )
            return OrderOutcome.UNANSWERED
        return self._execute(order)

    def _execute(self, order: GroupOrder) -> OrderOutcome:
        engine = self.engines.get(order.instance)
        if engine is None or not engine.alive:
            return OrderOutcome.GONE
        outcome = self._carry_out(engine, order)
        engine.order_count += outcome is OrderOutcome.ACCEPTED
        return outcome

    def _carry_out(self, engine: FakeEngine, order: GroupOrder) -> OrderOutcome:
        membership = engine.membership
        is_own_group = membership is not None and (
            membership.group,
            membership.epoch,
        ) == (
            order.group,
            order.epoch,
        )
        match order.action:
            case OrderAction.JOIN:
                return self._join(engine, order)
            case OrderAction.STAGE:
                assert order.model is not None
                if self.staging_enabled:
                    engine.staging = (self.now + 1.0, order.model)
                return OrderOutcome.ACCEPTED
            case OrderAction.LEAVE if not is_own_group:
                return OrderOutcome.HOLDS
            case _ if not is_own_group:
                return OrderOutcome.UNFIT
            case OrderAction.OPEN:
                assert membership is not None
                if membership.state is MembershipState.OPEN:
                    return OrderOutcome.HOLDS
                if membership.state is not MembershipState.READY or membership.rank:
                    return OrderOutcome.UNFIT
                engine.opens_at = self.now + ENGINE.form_s
            case OrderAction.CLOSE:
                assert membership is not None
                engine.membership = replace(membership, state=MembershipState.CLOSING)
            case OrderAction.LEAVE:
                engine.membership, engine.opens_at = None, None
        return OrderOutcome.ACCEPTED

    def _join(self, engine: FakeEngine, order: GroupOrder) -> OrderOutcome:
        assert order.group is not None and order.model is not None
        membership = engine.membership
        if order.epoch < engine.highest_epoch:
            return OrderOutcome.STALE
        if membership is not None and (membership.group, membership.epoch) == (
            order.group,
            order.epoch,
        ):
            return OrderOutcome.HOLDS
        self._check_vm_is_free(engine, order)
        engine.highest_epoch = order.epoch
        model = next(spec for spec in ENGINE.models if spec.name == order.model)
        ready_after_s = model.load_s * self.load_time_part
        if engine.model == order.model:
            ready_after_s = 0.2
        elif order.model in engine.staged:
            ready_after_s = model.warm_load_s
        if order.model not in engine.staged:
            # The host drops its staged models before it has the new one.
            engine.staged = ()
        engine.model, engine.members = order.model, order.members
        engine.ready_at = self.now + ready_after_s
        engine.opens_at = None
        rank = order.members.index(engine.id)
        engine.membership = Membership(
            order.group, order.epoch, rank, MembershipState.JOINING
        )
        return OrderOutcome.ACCEPTED

    def _check_vm_is_free(self, engine: FakeEngine, order: GroupOrder) -> None:
        """Record a violation if the VM's last group may still serve."""
        membership = engine.membership
        if membership is None or not engine.members:
            return
        head = self.engines.get(engine.members[0])
        if head is None or not head.alive or head.membership is None:
            return
        same_group = (head.membership.group, head.membership.epoch) == (
            membership.group,
            membership.epoch,
        )
        serving = (MembershipState.OPEN, MembershipState.CLOSING)
        if same_group and head.membership.state in serving:
            self.violations.append(
                f"{engine.id} joins {order.group} from {membership.group}"
            )

    def _check_complete(self, head: FakeEngine) -> None:
        """Record a violation if a member was never ready in the group."""
        membership = head.membership
        assert membership is not None
        key = (membership.group, membership.epoch, head.members)
        for name in head.members:
            member = self.engines.get(name)
            if member is not None and key not in member.ready_ever:
                self.violations.append(f"{membership.group} opens without {name}")

    def _check_incarnations(self, head: FakeEngine) -> None:
        """Record a violation if a member is known to have restarted.

        It is known only if its record shows it: the member reaches the store,
        and restarted before the records on which the order is based.
        """
        membership = head.membership
        if membership is None:
            return
        key = (membership.group, membership.epoch, head.members)
        for name in head.members:
            member = self.engines.get(name)
            if member is None or not member.connected or not member.alive:
                continue
            reported = member.started_at < self.now - TICK_S
            if reported and key in member.ready_ever - member.ready_since_start:
                self.violations.append(
                    f"{membership.group} is opened with {name} restarted"
                )

    def _is_complete(self, head: FakeEngine) -> bool:
        membership = head.membership
        if membership is None or membership.state is not MembershipState.OPEN:
            return False
        for name in head.members:
            member = self.engines.get(name)
            if member is None or not member.alive or member.membership is None:
                return False
            reported = (member.membership.group, member.membership.epoch)
            if reported != (membership.group, membership.epoch):
                return False
        return True


def make_idle_instance(name: str) -> Instance:
    """Return the record of a VM in no group."""
    return FakeEngine(InstanceId(name), FabricDomainId("d0")).describe()


def make_settled_fleet(size: int = 7) -> SimulatedFleet:
    """Return a fleet of one domain whose groups have formed."""
    fleet = SimulatedFleet(size=size)
    fleet.advance(12.0)
    assert not fleet.violations
    return fleet
