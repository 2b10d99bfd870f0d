"""The holder's decisions: which groups there are, and the orders they need."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from zinniaspool.core.fleet import (
    EngineSpec,
    Instance,
    InstanceId,
)
from zinniaspool.core.formation.allocation import (
    ModelNeed,
    Selection,
    select_groups,
)
from zinniaspool.core.formation.balance import (
    Conversion,
    find_conversions,
)
from zinniaspool.core.formation.census import Census
from zinniaspool.core.formation.domains import REST_LOOK_S, SETTLED, PlannedDomain
from zinniaspool.core.formation.lifecycle import GroupRun
from zinniaspool.core.formation.loads import LoadBudget
from zinniaspool.core.formation.orders import GroupOrder, OrderOutcome
from zinniaspool.core.formation.provision import Provision
from zinniaspool.core.formation.records import DomainPlan, GroupPhase, GroupRecord
from zinniaspool.core.formation.releases import ReleaseBook
from zinniaspool.core.formation.staging import Staging
from zinniaspool.core.ids import (
    Epoch,
    FabricDomainId,
    GroupId,
    ModelName,
    ServiceName,
)

__all__ = ["FormationPlanner", "GroupMove", "PlanWrite"]

BALANCE_S = 2.0
"""Shortest time between two moves of VMs from one model to another, in
seconds: a move takes about this long, and its effect must be seen first."""

SOON_S = 3.0
"""Within how many seconds a group that forms without loads serves."""

RESERVED_S = 4.0
"""For how long VMs are kept for the model that they were freed for, in
seconds: callers of a closing group are served for a second or two."""


@dataclass(frozen=True, slots=True)
class PlanWrite:
    """A plan that must be in the store before its orders are given."""

    plan: DomainPlan


@dataclass(frozen=True, slots=True)
class GroupMove:
    """A group that came to another phase, for the log."""

    record: GroupRecord
    phase: GroupPhase
    reason: str


class FormationPlanner:
    """Forms groups and keeps them, over all fabric domains.

    Orders about a group leave only after the plan that names it is in the
    store: whoever takes over reads there what may have been ordered.

    Args:
        next_epoch: Returns an epoch above all that were ever used.
        load_window_s: Over how long loads of weights are counted.
        free_until: Until when loads are not counted, in seconds.
        on_move: Told of each group that comes to another phase.

    Attributes:
        domains_looked_at: How many domains all looks together went through.
    """

    def __init__(
        self,
        next_epoch: Callable[[], Epoch],
        load_window_s: float,
        free_until: float = float("-inf"),
        on_move: Callable[[GroupMove], None] = lambda _: None,
    ) -> None:
        self._next_epoch = next_epoch
        self._load_window_s = load_window_s
        self._free_until = free_until
        self._on_move = on_move
        self._domains: dict[FabricDomainId, PlannedDomain] = {}
        self._census = Census()
        self._sight = self._census.sight
        self._engines: dict[ServiceName, EngineSpec] = {}
        self._loads: dict[ServiceName, LoadBudget] = {}
        self._provision = Provision(self._domains)
        self._releases = ReleaseBook()
        self._staging = Staging(self._sight, self._loads)
        self._balanced_at = float("-inf")
        self._weighed_at = float("-inf")
        self._held_back_until = float("-inf")
        self.domains_looked_at = 0

    # What the shell tells.

    def configure(
        self, engines: Mapping[ServiceName, EngineSpec], now: float = 0.0
    ) -> None:
        """Take the services whose groups are to be formed."""
        if engines != self._engines:
            self._engines = dict(engines)
            self._sort_instances()
            for domain in self._domains.values():
                domain.changed = True
        for service, engine in engines.items():
            if service not in self._loads:
                self._loads[service] = LoadBudget(
                    engine.loads_per_s,
                    engine.loads_at_once,
                    self._load_window_s,
                    self._free_until,
                )
                if self._domains:
                    self._loads[service].assume_used(now)

    def restore(self, plans: Iterable[DomainPlan]) -> None:
        """Take the plans that a former holder left."""
        for plan in plans:
            domain = self._domains.setdefault(plan.domain, PlannedDomain(plan.domain))
            domain.runs = {one.group: GroupRun(one) for one in plan.groups}
            domain.unsaved, domain.writing, domain.changed = False, False, True
        self._provision.note_moved()

    def see(self, instances: Mapping[InstanceId, Instance]) -> None:
        """Take the instances as the store has them now."""
        change = self._census.see(instances)
        if change is None:
            return
        for one in change.gone:
            self._staging.forget(one)
        for one in change.reborn:
            self._forget(one)
        for domain in change.domains:
            self._touch(domain)
        self._sort_instances()

    def _sort_instances(self) -> None:
        for domain in self._census.sort(self._engines):
            if domain not in self._domains:
                self._domains[domain] = PlannedDomain(domain)

    def _touch(self, domain: FabricDomainId | None) -> None:
        """Have a domain looked at next time."""
        kept = None if domain is None else self._domains.get(domain)
        if kept is not None:
            kept.changed = True

    def _touch_domain_of(self, instance: InstanceId) -> None:
        self._touch(self._census.find_domain(instance))

    def _forget(self, instance: InstanceId) -> None:
        """Forget a VM's earlier life: it is in no group and holds no model."""
        self._staging.forget(instance)
        self._releases.forget(instance)
        for run in self.runs():
            if instance in run.record.members:
                run.reborn.add(instance)

    def set_demand(self, demand: Mapping[tuple[ServiceName, ModelName], float]) -> None:
        """Take how many requests of each model run or wait, on average."""
        self._provision.set_demand(demand)

    def lose(self, instance: InstanceId) -> None:
        """Take an instance for lost that answers nobody."""
        self._sight.lost.add(instance)
        self._touch_domain_of(instance)

    def regain(self, instance: InstanceId) -> None:
        """Take back an instance that answers again."""
        self._sight.lost.discard(instance)
        self._touch_domain_of(instance)

    @property
    def lost(self) -> frozenset[InstanceId]:
        """Instances that answer nobody though their entries are there."""
        return frozenset(self._sight.lost)

    def note(self, order: GroupOrder, outcome: OrderOutcome, now: float) -> None:
        """Take an order's outcome."""
        self._touch_domain_of(order.instance)
        for domain in self._domains.values():
            run = None if order.group is None else domain.runs.get(order.group)
            if run is not None:
                run.note(order, outcome, now)
                domain.changed = True
                self._provision.note_moved()
        self._releases.note(order, outcome)

    def note_saved(self, domain: FabricDomainId) -> None:
        """Take that a domain's plan is in the store."""
        self._domains[domain].writing = False
        self._domains[domain].changed = True

    def note_unsaved(self, domain: FabricDomainId) -> None:
        """Take that a domain's plan could not be written yet."""
        kept = self._domains[domain]
        kept.writing, kept.unsaved, kept.changed = False, True, True

    def find_group(self, instance: InstanceId) -> GroupRecord | None:
        """Return the group that an instance is planned in, or None."""
        for run in self.runs():
            if instance in run.record.members:
                return run.record
        return None

    def runs(self) -> list[GroupRun]:
        """Return all groups under way."""
        return [
            run for domain in self._domains.values() for run in domain.runs.values()
        ]

    # Deciding.

    def hold_back(self, until: float) -> None:
        """Form nothing until then: the VMs that there are still come in."""
        self._held_back_until = until

    def step(self, now: float) -> tuple[list[PlanWrite], list[GroupOrder]]:
        """Return the plans to write and the orders to give now."""
        self._census.note_arrivals(now)
        writes: list[PlanWrite] = []
        orders = self._release_strays(now)
        self._balance(now)
        due = [one for one in self._order_domains() if one.is_due(now)]
        self.domains_looked_at += len(due)
        for domain in due:
            domain.changed, domain.looked_at = False, now
            self._advance(domain, orders, now)
        for domain in due:
            if domain.writing or now < self._held_back_until:
                continue
            self._allocate(domain, self._census.list_domain(domain.id), now)
            if domain.unsaved:
                domain.unsaved, domain.writing = False, True
                writes.append(PlanWrite(domain.make_plan()))
            orders += self._staging.stage(domain.runs.values(), self._engines, now)
        return writes, orders

    def _balance(self, now: float) -> None:
        """Close a group whose VMs another model needs more."""
        if now - self._balanced_at < BALANCE_S:
            return
        if now - self._weighed_at < REST_LOOK_S:
            return
        self._weighed_at = now
        for service, engine in self._engines.items():
            demands = self._provision.list_demands(service, engine)
            if sum(one.busy for one in demands) < engine.slots:
                continue
            shapes = [
                shape
                for domain in self._domains.values()
                if (shape := domain.find_shape(service, self._sight)) is not None
            ]
            groups = self._provision.count_groups(service, now - SOON_S)
            groups += self._provision.count_promised(now)
            for chosen in find_conversions(demands, groups, shapes):
                self._balanced_at = now
                self._convert(chosen, engine, now)

    def _convert(self, chosen: Conversion, engine: EngineSpec, now: float) -> None:
        spec = engine.find_model(chosen.model)
        load_s = spec.load_s if spec is not None and chosen.loads else 0.0
        for domain in self._domains.values():
            freed = domain.runs.keys() & set(chosen.groups)
            if not freed:
                continue
            # The closed groups end one after the other; the VMs of the first
            # would go back to the model that gave them before there are
            # enough. And while they load, their model is as short as before:
            # unless the groups they are to form count, another one gives its
            # VMs every other second, and serves nobody either.
            domain.reserved, domain.promised = chosen.model, chosen.won
            domain.reserved_until = now + RESERVED_S + load_s
            domain.freed |= freed
        for run in self.runs():
            if run.record.group in chosen.groups:
                run.move(GroupPhase.CLOSING, f"balance:{chosen.model}", now)
                self._provision.note_moved()
                self._on_move(GroupMove(run.record, run.phase, run.reason))

    def _list_open_needs(
        self, domain: PlannedDomain, service: ServiceName, now: float
    ) -> list[ModelNeed]:
        """Return the models that a domain's idle VMs may serve now."""
        needs = self._provision.list_needs(service, self._engines[service])
        if not domain.reserves(now):
            return needs
        return [need for need in needs if need.spec.name == domain.reserved]

    def _order_domains(self) -> list[PlannedDomain]:
        # The domain with the fewest groups first, so that loads are not all
        # spent on one.
        return sorted(self._domains.values(), key=lambda one: (len(one.runs), one.id))

    def _advance(
        self, domain: PlannedDomain, orders: list[GroupOrder], now: float
    ) -> None:
        if domain.writing:
            # What is ordered now may belong to a plan that is not there yet.
            return
        for group, run in list(domain.runs.items()):
            before = run.phase
            due = run.step(self._sight, now)
            if run.phase is not before:
                self._provision.note_moved()
                self._on_move(GroupMove(run.record, run.phase, run.reason))
            if run.phase in (GroupPhase.SERVING, GroupPhase.STANDBY):
                self._end_loads(run.record)
            if run.ended:
                # The plan is written anew with the next group; until then a
                # successor only asks the head once more to leave.
                del domain.runs[group]
                domain.changed = True
                self._releases.remember_end(run)
                self._end_loads(run.record)
                continue
            orders += due

    def _end_loads(self, record: GroupRecord) -> None:
        budget = self._loads.get(record.service)
        if budget is not None:
            for one in record.members:
                budget.end(one)

    def _allocate(
        self, domain: PlannedDomain, instances: list[Instance], now: float
    ) -> None:
        by_service: defaultdict[ServiceName, list[Instance]] = defaultdict(list)
        for one in instances:
            by_service[one.service].append(one)
        for service, members in by_service.items():
            while self._allocate_one(domain, service, members, now):
                pass

    def _allocate_one(
        self,
        domain: PlannedDomain,
        service: ServiceName,
        instances: list[Instance],
        now: float,
    ) -> bool:
        candidates = domain.list_candidates(instances, self._census, self._releases)
        if not candidates:
            return False
        here = Counter(
            run.record.model
            for run in domain.runs.values()
            if not run.record.standby and run.phase in SETTLED
        )
        standing = Counter(
            run.record.model
            for run in domain.runs.values()
            if run.record.standby and run.phase in SETTLED
        )
        chosen = select_groups(
            candidates,
            self._list_open_needs(domain, service, now),
            standing,
            here,
            more_expected=self._expects_more(domain, now),
        )
        if chosen is None or not self._take_loads(service, chosen, now):
            return False
        if not chosen.standby and chosen.model.name == domain.reserved:
            domain.promised -= 1
        if domain.promised <= 0:
            domain.reserved = None
            domain.freed.clear()
        self._add(domain, service, chosen, now)
        return True

    def _expects_more(self, domain: PlannedDomain, now: float) -> bool:
        """Tell whether VMs are about to become idle in a domain."""
        return domain.reserves(now) or self._census.expects_more(domain.id, now)

    def _take_loads(self, service: ServiceName, chosen: Selection, now: float) -> bool:
        if not chosen.loads:
            return True
        budget = self._loads[service]
        if not budget.has_room(len(chosen.loads), now):
            return False
        for one in chosen.loads:
            budget.start(one, now, chosen.model.load_s)
        return True

    def _add(
        self, domain: PlannedDomain, service: ServiceName, chosen: Selection, now: float
    ) -> None:
        for one in chosen.members:
            # A VM that stood by leaves its own group by joining another.
            for group, run in list(domain.runs.items()):
                if run.record.standby and one in run.record.members:
                    del domain.runs[group]
        epoch = self._next_epoch()
        group = GroupId(f"g{epoch}")
        record = GroupRecord(
            group, epoch, service, chosen.model.name, chosen.members, chosen.standby
        )
        domain.runs[group] = GroupRun(record, since=now)
        self._provision.note_moved()
        domain.unsaved = True
        self._on_move(GroupMove(record, GroupPhase.FORMING, "planned"))

    def _release_strays(self, now: float) -> list[GroupOrder]:
        """Return orders that free instances of groups that no plan names."""
        groups = {run.record.group for run in self.runs()}
        planned = {one for run in self.runs() for one in run.record.members}
        unplanned = [
            one
            for one in self._sight.instances.values()
            if one.id not in planned and one.service in self._engines
        ]
        return self._releases.find_strays(unplanned, groups, self._sight, now)
