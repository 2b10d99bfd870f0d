"""The holder's decisions: which groups there are, and the orders they need."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from zinniaspool.core.fleet import (
    EngineSpec,
    Instance,
    InstanceId,
    InstanceState,
    is_reborn,
)
from zinniaspool.core.formation.allocation import (
    Candidate,
    ModelNeed,
    Selection,
    select_groups,
)
from zinniaspool.core.formation.balance import (
    LEFT_OF_FEW,
    Conversion,
    DomainShape,
    ModelDemand,
    ServingGroup,
    find_conversions,
)
from zinniaspool.core.formation.lifecycle import RETRY_S, FleetSight, GroupRun
from zinniaspool.core.formation.loads import LoadBudget
from zinniaspool.core.formation.orders import GroupOrder, OrderAction, OrderOutcome
from zinniaspool.core.formation.records import DomainPlan, GroupPhase, GroupRecord
from zinniaspool.core.formation.releases import ReleaseBook
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

REST_LOOK_S = 0.25
"""Pause between looks at a domain where nothing has changed and nothing is
under way, in seconds. What its VMs are for may still change with demand, with
the groups of other domains and with the weight store's room. Looked at with
each change anywhere, 25 such domains cost 12 ms of each look."""

ARRIVAL_S = 0.6
"""For how long after a VM came in more are expected in its domain, in seconds:
VMs that start together are seen within less than this of each other."""

_AT_REST = frozenset({GroupPhase.SERVING, GroupPhase.STANDBY})
_SETTLED = frozenset({GroupPhase.SERVING, GroupPhase.FORMING, GroupPhase.STANDBY})


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


@dataclass(slots=True)
class _Domain:
    """One fabric domain under this holder's care.

    Attributes:
        id: Which.
        runs: Its groups under way.
        unsaved: Whether its plan has changed since it was last written.
        writing: Whether that is being written.
        reserved: The model that freed VMs are kept for.
        reserved_until: Until when, in seconds.
        promised: Groups of it that those VMs are to form.
        freed: Groups that were closed for it.
        changed: Whether anything in it has changed since the last look.
        looked_at: When that was, in seconds.
    """

    id: FabricDomainId
    runs: dict[GroupId, GroupRun] = field(default_factory=dict)
    unsaved: bool = False
    writing: bool = False
    reserved: ModelName | None = None
    reserved_until: float = 0.0
    promised: int = 0
    freed: set[GroupId] = field(default_factory=set)
    changed: bool = True
    looked_at: float = float("-inf")

    def is_due(self, now: float) -> bool:
        """Tell whether it is to be looked at."""
        if self.changed or now - self.looked_at >= REST_LOOK_S:
            return True
        return any(run.phase not in _AT_REST for run in self.runs.values())

    def reserves(self, now: float) -> bool:
        """Tell whether its VMs are kept for one model.

        As long as a group that gives its VMs still ends, since its callers
        may be served for seconds, and for a while after that.
        """
        awaited = not self.freed.isdisjoint(self.runs)
        return self.reserved is not None and (awaited or now < self.reserved_until)


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
        self._domains: dict[FabricDomainId, _Domain] = {}
        self._sight = FleetSight({})
        self._engines: dict[ServiceName, EngineSpec] = {}
        self._loads: dict[ServiceName, LoadBudget] = {}
        self._arrived_at: dict[FabricDomainId, float] = {}
        self._seen: dict[InstanceId, Instance] = {}
        self._by_domain: dict[FabricDomainId, list[Instance]] = {}
        self._counts: dict[ServiceName, Counter[ModelName]] = {}
        self._arrivals: set[InstanceId] = set()
        self._held: dict[InstanceId, ModelName] = {}
        self._births: dict[InstanceId, int] = {}
        self._releases = ReleaseBook()
        self._staging: dict[InstanceId, float] = {}
        self._demand: dict[tuple[ServiceName, ModelName], float] = {}
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
            domain = self._domains.setdefault(plan.domain, _Domain(plan.domain))
            domain.runs = {one.group: GroupRun(one) for one in plan.groups}
            domain.unsaved, domain.writing, domain.changed = False, False, True
        self._counts.clear()

    def see(self, instances: Mapping[InstanceId, Instance]) -> None:
        """Take the instances as the store has them now."""
        self._sight.instances = instances
        gone = [one for name, one in self._seen.items() if name not in instances]
        changed = [
            one for name, one in instances.items() if self._seen.get(name) is not one
        ]
        if not gone and not changed:
            return
        for one in gone:
            self._drop(one)
        for one in changed:
            self._take(one)
        self._sort_instances()

    def _drop(self, gone: Instance) -> None:
        del self._seen[gone.id]
        self._sight.lost.discard(gone.id)
        self._held.pop(gone.id, None)
        self._staging.pop(gone.id, None)
        self._births.pop(gone.id, None)
        self._touch(gone.fabric_domain)

    def _take(self, one: Instance) -> None:
        before = self._seen.get(one.id)
        self._seen[one.id] = one
        if before is None:
            self._arrivals.add(one.id)
        elif before.fabric_domain != one.fabric_domain:
            self._touch(before.fabric_domain)
        self._touch(one.fabric_domain)
        if is_reborn(self._births.get(one.id), one.born):
            self._forget(one.id)
        if one.born is not None:
            self._births[one.id] = one.born
        if one.membership is not None and one.model is not None:
            self._held[one.id] = one.model

    def _touch(self, domain: FabricDomainId | None) -> None:
        """Have a domain looked at next time."""
        kept = None if domain is None else self._domains.get(domain)
        if kept is not None:
            kept.changed = True

    def _touch_domain_of(self, instance: InstanceId) -> None:
        found = self._seen.get(instance)
        if found is not None:
            self._touch(found.fabric_domain)

    def _forget(self, instance: InstanceId) -> None:
        """Forget a VM's earlier life: it is in no group and holds no model."""
        self._held.pop(instance, None)
        self._staging.pop(instance, None)
        self._sight.lost.discard(instance)
        self._releases.forget(instance)
        for run in self.runs():
            if instance in run.record.members:
                run.reborn.add(instance)

    def set_demand(self, demand: Mapping[tuple[ServiceName, ModelName], float]) -> None:
        """Take how many requests of each model run or wait, on average."""
        self._demand = dict(demand)

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
                self._counts.clear()
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
        self._note_arrivals(now)
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
            self._allocate(domain, self._by_domain.get(domain.id, []), now)
            if domain.unsaved:
                domain.unsaved, domain.writing = False, True
                writes.append(PlanWrite(_describe(domain)))
            orders += self._stage(domain, now)
        return writes, orders

    def _balance(self, now: float) -> None:
        """Close a group whose VMs another model needs more."""
        if now - self._balanced_at < BALANCE_S:
            return
        if now - self._weighed_at < REST_LOOK_S:
            return
        self._weighed_at = now
        for service, engine in self._engines.items():
            demands = self._list_demands(service, engine)
            if sum(one.busy for one in demands) < engine.slots:
                continue
            shapes = [
                shape
                for domain in self._domains.values()
                if (shape := self._find_shape(domain, service)) is not None
            ]
            groups = self._count_groups(service, now - SOON_S)
            groups += self._count_promised(now)
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
                self._counts.clear()
                self._on_move(GroupMove(run.record, run.phase, run.reason))

    def _count_promised(self, now: float) -> Counter[ModelName]:
        """Count the groups that freed VMs are to form yet."""
        found: Counter[ModelName] = Counter()
        for domain in self._domains.values():
            if domain.reserved is not None and domain.reserves(now):
                found[domain.reserved] += domain.promised
        return found

    def _list_demands(
        self, service: ServiceName, engine: EngineSpec
    ) -> list[ModelDemand]:
        return [
            ModelDemand(
                model, engine.slots, self._demand.get((service, model.name), 0.0)
            )
            for model in engine.models
        ]

    def _find_shape(self, domain: _Domain, service: ServiceName) -> DomainShape | None:
        """Return a domain's shape, or None while anything happens there."""
        groups = []
        idle = 0
        ready: Counter[ModelName] = Counter()
        for run in domain.runs.values():
            if run.record.service != service:
                continue
            if run.record.standby and run.phase is not GroupPhase.STANDBY:
                # A VM that has come in loads for many seconds; the others
                # need not wait for it.
                continue
            if run.phase not in (GroupPhase.SERVING, GroupPhase.STANDBY):
                return None
            able = self._count_ready(run.record)
            if run.record.standby:
                idle += 1
                ready += able
            else:
                record = run.record
                groups.append(ServingGroup(record.group, record.model, able))
        return DomainShape(groups, idle, ready)

    def _count_ready(self, record: GroupRecord) -> Counter[ModelName]:
        """Count the members that could hold each model within seconds."""
        ready: Counter[ModelName] = Counter()
        for one in record.members:
            found = self._sight.find(one)
            if found is not None:
                ready.update({record.model, *found.staged})
        return ready

    def _list_open_needs(
        self, domain: _Domain, service: ServiceName, now: float
    ) -> list[ModelNeed]:
        """Return the models that a domain's idle VMs may serve now."""
        needs = self._list_needs(service, self._engines[service])
        if not domain.reserves(now):
            return needs
        return [need for need in needs if need.spec.name == domain.reserved]

    def _list_needs(self, service: ServiceName, engine: EngineSpec) -> list[ModelNeed]:
        """Return for each model how well it is provided for."""
        groups = self._counts.get(service)
        if groups is None:
            groups = self._counts[service] = self._count_groups(service)
        demands = self._list_demands(service, engine)
        measured = sum(one.busy for one in demands) >= engine.slots / 2
        needs = []
        for one in demands:
            count = groups[one.spec.name]
            # The share is one of the VMs' work, and a group has many of them.
            demand = one.busy if measured else one.spec.share / one.spec.size
            use = one.busy / (max(count, LEFT_OF_FEW) * one.slots)
            needs.append(ModelNeed(one.spec, count, demand, use if measured else None))
        return needs

    def _stage(self, domain: _Domain, now: float) -> list[GroupOrder]:
        """Return orders that bring a second model into hosts' memory.

        A VM that holds one model and has the other one at hand can take any
        lost member's place within seconds. One that has changed its model has
        not, and could not change back for as long as a load takes. Those that
        serve get theirs in the background: their loads would make those slower
        that callers wait for.
        """
        orders = []
        for run in domain.runs.values():
            budget = self._loads.get(run.record.service)
            settled = run.phase in (GroupPhase.STANDBY, GroupPhase.SERVING)
            if budget is None or not settled:
                continue
            for one in run.record.members:
                orders += self._stage_one(run.record, one, budget, now)
        return orders

    def _stage_one(
        self, record: GroupRecord, one: InstanceId, budget: LoadBudget, now: float
    ) -> list[GroupOrder]:
        engine = self._engines.get(record.service)
        found = self._sight.find(one)
        if engine is None or found is None or self._staging.get(one, 0.0) > now:
            return []
        other = next(
            (
                model
                for model in engine.models
                if model.name != record.model and model.name not in found.staged
            ),
            None,
        )
        has_another = any(name != record.model for name in found.staged)
        if other is None or has_another or not budget.room(now):
            return []
        if not record.standby and not budget.has_background_room(now):
            return []
        budget.start(one, now, other.load_s)
        self._staging[one] = now + other.load_s + RETRY_S
        return [GroupOrder(one, OrderAction.STAGE, model=other.name)]

    def _note_arrivals(self, now: float) -> None:
        for one in self._arrivals & self._seen.keys():
            domain = self._seen[one].fabric_domain
            if domain is not None:
                self._arrived_at[domain] = now
        self._arrivals.clear()

    def _order_domains(self) -> list[_Domain]:
        # The domain with the fewest groups first, so that loads are not all
        # spent on one.
        return sorted(self._domains.values(), key=lambda one: (len(one.runs), one.id))

    def _sort_instances(self) -> None:
        found: defaultdict[FabricDomainId, list[Instance]] = defaultdict(list)
        for one in self._seen.values():
            if one.fabric_domain is None or one.service not in self._engines:
                continue
            found[one.fabric_domain].append(one)
            if one.fabric_domain not in self._domains:
                self._domains[one.fabric_domain] = _Domain(one.fabric_domain)
        self._by_domain = dict(found)

    def _advance(self, domain: _Domain, orders: list[GroupOrder], now: float) -> None:
        if domain.writing:
            # What is ordered now may belong to a plan that is not there yet.
            return
        for group, run in list(domain.runs.items()):
            before = run.phase
            due = run.step(self._sight, now)
            if run.phase is not before:
                self._counts.clear()
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

    def _allocate(self, domain: _Domain, instances: list[Instance], now: float) -> None:
        by_service: defaultdict[ServiceName, list[Instance]] = defaultdict(list)
        for one in instances:
            by_service[one.service].append(one)
        for service, members in by_service.items():
            while self._allocate_one(domain, service, members, now):
                pass

    def _allocate_one(
        self,
        domain: _Domain,
        service: ServiceName,
        instances: list[Instance],
        now: float,
    ) -> bool:
        candidates = self._list_candidates(domain, instances)
        if not candidates:
            return False
        here = Counter(
            run.record.model
            for run in domain.runs.values()
            if not run.record.standby and run.phase in _SETTLED
        )
        standing = Counter(
            run.record.model
            for run in domain.runs.values()
            if run.record.standby and run.phase in _SETTLED
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

    def _expects_more(self, domain: _Domain, now: float) -> bool:
        """Tell whether VMs are about to become idle in a domain."""
        if domain.reserves(now):
            return True
        return now - self._arrived_at.get(domain.id, float("-inf")) < ARRIVAL_S

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
        self, domain: _Domain, service: ServiceName, chosen: Selection, now: float
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
        self._counts.clear()
        domain.unsaved = True
        self._on_move(GroupMove(record, GroupPhase.FORMING, "planned"))

    def _list_candidates(
        self, domain: _Domain, instances: list[Instance]
    ) -> list[Candidate]:
        planned: dict[InstanceId, GroupRun] = {}
        for run in domain.runs.values():
            for member in run.record.members:
                planned[member] = run
        found = []
        for one in instances:
            if one.state is InstanceState.LEAVING or one.id in self._sight.lost:
                continue
            holds = planned.get(one.id)
            if holds is None:
                if not self._releases.is_free(one):
                    continue
                found.append(Candidate(one, self._held.get(one.id), standby=False))
            elif self._stands_by(one, holds):
                held = self._held.get(one.id)
                ready = holds.phase is GroupPhase.STANDBY
                found.append(Candidate(one, held if ready else None, standby=True))
        return found

    def _stands_by(self, one: Instance, run: GroupRun) -> bool:
        """Tell whether a VM stands by and may be taken for a group.

        A plan may be older than what the VM does: while the store was down,
        it may have joined a group that the plan does not know.
        """
        if not run.record.standby or run.phase is GroupPhase.ENDING:
            return False
        held = one.membership
        own = held is not None and held.group == run.record.group
        return own or self._releases.is_free(one)

    def _count_groups(
        self, service: ServiceName, soon_by: float = float("-inf")
    ) -> Counter[ModelName]:
        """Count groups that serve, or form.

        Args:
            service: Whose.
            soon_by: Groups that began to form before then do not count: they
                load, and serve nobody for many seconds yet.
        """
        return Counter(
            run.record.model
            for run in self.runs()
            if run.record.service == service
            and not run.record.standby
            and run.phase in _SETTLED
            and (run.phase is not GroupPhase.FORMING or run.since >= soon_by)
        )

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


def _describe(domain: _Domain) -> DomainPlan:
    return DomainPlan(domain.id, tuple(run.record for run in domain.runs.values()))
