"""Plans replica groups over all fabric domains and lists the orders they need.

The planner runs in the holder. It receives the instances, the demand and the
outcomes of orders, and returns the plans to store and the orders to send. It
does no I/O itself and is driven with the current time.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass

from zinniaspool.core.fleet import (
    EngineSpec,
    Instance,
    InstanceId,
    Membership,
)
from zinniaspool.core.formation.adoption import find_serving_groups
from zinniaspool.core.formation.allocation import (
    Candidate,
    ModelNeed,
    Selection,
    select_group,
)
from zinniaspool.core.formation.balance import (
    Reassignment,
    find_reassignments,
)
from zinniaspool.core.formation.census import VmInventory
from zinniaspool.core.formation.domains import ACTIVE_PHASES, REST_LOOK_S, PlannedDomain
from zinniaspool.core.formation.evacuation import EvacuationFilter
from zinniaspool.core.formation.lifecycle import GroupRun
from zinniaspool.core.formation.loads import LoadBudget
from zinniaspool.core.formation.orders import GroupOrder, OrderAction, OrderOutcome
from zinniaspool.core.formation.provision import ModelProvisioning
from zinniaspool.core.formation.records import DomainPlan, GroupPhase, GroupRecord
from zinniaspool.core.formation.releases import ReleaseTracker
from zinniaspool.core.formation.slowness import SlowVms
from zinniaspool.core.formation.staging import StagingScheduler
from zinniaspool.core.ids import (
    Epoch,
    FabricDomainId,
    FailureDomainId,
    GroupId,
    ModelName,
    ServiceName,
)

__all__ = ["FormationPlanner", "PhaseTransition", "PlanWrite"]

REASSIGNMENT_INTERVAL_S = 2.0
"""Shortest time between two reassignments of VMs from one model to another,
in seconds. A reassignment takes about this long, and its effect must be seen
before the next one is decided."""

FORMING_WITHOUT_LOADS_S = 3.0
"""Time within which a group that forms without loads serves, in seconds."""

RESERVATION_S = 4.0
"""Time for which VMs stay reserved for the model that they were freed for, in
seconds. A closing group serves its callers for a second or two."""


_GROUP_ACTIONS = frozenset({OrderAction.JOIN, OrderAction.OPEN})
"""Actions that make a VM part of a group, or have the group serve."""


@dataclass(frozen=True, slots=True)
class PlanWrite:
    """A plan that must be in the store before its orders are sent."""

    plan: DomainPlan


@dataclass(frozen=True, slots=True)
class PhaseTransition:
    """A group's change to another phase, for the log.

    Attributes:
        record: The group.
        phase: The phase that it enters.
        reason: Why it enters the phase, for a person.
    """

    record: GroupRecord
    phase: GroupPhase
    reason: str


class FormationPlanner:
    """Forms and maintains the replica groups of all fabric domains.

    Orders about a group are sent only after the plan that names it is in the
    store, since the next holder reads there what may have been ordered.

    Args:
        next_epoch: Returns an epoch above all that were ever used.
        load_window_s: Length of the window in which loads from the weight
            store are counted, in seconds.
        loads_unlimited_until: Time until which loads are not counted, in
            seconds.
        on_transition: Called for each group that enters another phase.

    Attributes:
        slow_vms: The VMs that work much slower than usual.
        domains_scanned: Domains that all passes together went through.
    """

    def __init__(
        self,
        next_epoch: Callable[[], Epoch],
        load_window_s: float,
        loads_unlimited_until: float = float("-inf"),
        on_transition: Callable[[PhaseTransition], None] = lambda _: None,
    ) -> None:
        self._next_epoch = next_epoch
        self._load_window_s = load_window_s
        self._loads_unlimited_until = loads_unlimited_until
        self._on_transition = on_transition
        self._domains: dict[FabricDomainId, PlannedDomain] = {}
        self._inventory = VmInventory()
        self._view = self._inventory.view
        self._indirect: frozenset[InstanceId] = frozenset()
        self._engines: dict[ServiceName, EngineSpec] = {}
        self._longest_timeouts: dict[ServiceName, float] = {}
        self._loads: dict[ServiceName, LoadBudget] = {}
        self._evacuation = EvacuationFilter(self._view)
        self._provisioning = ModelProvisioning(self._domains, self._evacuation)
        self._releases = ReleaseTracker()
        self._staging = StagingScheduler(self._view, self._loads)
        self.slow_vms = SlowVms()
        self._reassigned_at = float("-inf")
        self._balance_checked_at = float("-inf")
        self._formation_deferred_until = float("-inf")
        self.domains_scanned = 0

    # Input.

    def configure(
        self,
        engines: Mapping[ServiceName, EngineSpec],
        longest_timeouts: Mapping[ServiceName, float],
        now: float = 0.0,
    ) -> None:
        """Set the services whose groups are formed.

        Args:
            engines: The engines of each service.
            longest_timeouts: The longest timeout of each service's routes, in
                seconds.
            now: Current time, in seconds.
        """
        # Requests that began under former rules run as long as they allow.
        for service, timeout_s in longest_timeouts.items():
            known_s = self._longest_timeouts.get(service, 0.0)
            self._longest_timeouts[service] = max(known_s, timeout_s)
        if engines != self._engines:
            self._engines = dict(engines)
            self._group_instances()
            for domain in self._domains.values():
                domain.changed = True
        for service, engine in engines.items():
            if service not in self._loads:
                self._loads[service] = LoadBudget(
                    engine.loads_per_s,
                    engine.full_speed_loads,
                    self._load_window_s,
                    self._loads_unlimited_until,
                )
                if self._domains:
                    self._loads[service].assume_exhausted(now)

    def restore(self, plans: Iterable[DomainPlan]) -> None:
        """Adopt the plans that the previous holder left in the store."""
        for plan in plans:
            domain = self._domains.setdefault(plan.domain, PlannedDomain(plan.domain))
            domain.runs = {record.group: GroupRun(record) for record in plan.groups}
            domain.unsaved, domain.writing, domain.changed = False, None, True
        self._provisioning.on_groups_changed()

    def update_instances(
        self,
        instances: Mapping[InstanceId, Instance],
        unrecorded: Collection[InstanceId] = (),
        not_orderable: frozenset[InstanceId] = frozenset(),
    ) -> None:
        """Replace the known instances by those now in the store.

        Args:
            instances: All instances.
            unrecorded: Those of them whose records were removed.
            not_orderable: Those of them that orders don't reach.
        """
        for instance in set(self._view.unrecorded) - set(unrecorded):
            self._mark_instance_changed(instance)
        self._view.unrecorded = unrecorded
        self._indirect = not_orderable
        change = self._inventory.update_instances(instances)
        self._update_not_orderable()
        if change is None:
            return
        for instance in change.removed:
            self._staging.forget(instance)
            self.slow_vms.forget(instance)
        for instance in change.restarted:
            self._on_restart(instance)
        for domain in change.domains:
            self._mark_domain_changed(domain)
        self._group_instances()

    def _update_not_orderable(self) -> None:
        not_orderable = self._indirect | self._view.suspected
        for instance in self._view.not_orderable ^ not_orderable:
            self._mark_instance_changed(instance)
        self._view.not_orderable = not_orderable

    def _group_instances(self) -> None:
        for domain in self._inventory.group_by_domain(self._engines):
            if domain not in self._domains:
                self._domains[domain] = PlannedDomain(domain)

    def _mark_domain_changed(self, domain: FabricDomainId | None) -> None:
        """Have the next pass scan a domain."""
        planned = None if domain is None else self._domains.get(domain)
        if planned is not None:
            planned.changed = True

    def _mark_instance_changed(self, instance: InstanceId) -> None:
        self._mark_domain_changed(self._inventory.find_domain(instance))

    def _on_restart(self, instance: InstanceId) -> None:
        """Forget a restarted VM: it is in no group and has no model loaded."""
        self._staging.forget(instance)
        self.slow_vms.forget(instance)
        self._releases.on_restart(instance)
        for run in self.list_runs():
            if instance in run.record.members:
                run.restarted.add(instance)

    def set_demand(self, demand: Mapping[tuple[ServiceName, ModelName], float]) -> None:
        """Set how many requests of each model run or wait, on average."""
        self._provisioning.set_demand(demand)

    def set_evacuated(self, evacuated: Collection[FailureDomainId]) -> None:
        """Set the failure domains whose groups must get no requests."""
        self._evacuation.set_evacuated(evacuated)

    def _apply_evacuations(self) -> None:
        if self._evacuation.refresh():
            self._provisioning.on_groups_changed()
            for domain in self._domains.values():
                domain.changed = True

    def mark_suspected(self, instance: InstanceId) -> None:
        """Record that an instance answers no query, and may still go on.

        It gets no orders and no new work. Its group goes on.
        """
        self._view.suspected.add(instance)
        self._update_not_orderable()

    def mark_unreachable(self, instance: InstanceId) -> None:
        """Record that an instance has ended, so that its group ends."""
        self._view.suspected.discard(instance)
        self._view.unreachable.add(instance)
        self._update_not_orderable()
        self._mark_instance_changed(instance)

    def mark_reachable(self, instance: InstanceId) -> None:
        """Record that a suspected or unreachable instance answers again."""
        self._view.suspected.discard(instance)
        self._view.unreachable.discard(instance)
        self._update_not_orderable()
        self._mark_instance_changed(instance)

    @property
    def suspected(self) -> frozenset[InstanceId]:
        """Instances that answer no query, and may still go on."""
        return frozenset(self._view.suspected)

    @property
    def unreachable(self) -> frozenset[InstanceId]:
        """Instances that do not answer though their records are there.

        The suspected ones are among them.
        """
        return frozenset(self._view.unreachable | self._view.suspected)

    def on_order_outcome(
        self, order: GroupOrder, outcome: OrderOutcome, now: float
    ) -> None:
        """Apply an order's outcome."""
        self._mark_instance_changed(order.instance)
        for domain in self._domains.values():
            run = None if order.group is None else domain.runs.get(order.group)
            if run is not None:
                run.on_order_outcome(order, outcome, now)
                domain.changed = True
                self._provisioning.on_groups_changed()
        self._releases.on_order_outcome(order, outcome, self._view)

    def on_plan_saved(self, plan: DomainPlan) -> None:
        """Record that a plan is in the store."""
        planned = self._domains[plan.domain]
        for record in plan.groups:
            if record.group in planned.runs:
                planned.runs[record.group].awaits_plan = False
        self._end_write(plan)

    def on_plan_not_saved(self, plan: DomainPlan) -> None:
        """Record that writing a plan failed and is due again."""
        self.request_save(plan.domain)
        self._end_write(plan)

    def _end_write(self, plan: DomainPlan) -> None:
        planned = self._domains[plan.domain]
        planned.changed = True
        if planned.writing is plan:
            planned.writing = None

    def request_save(self, domain: FabricDomainId) -> None:
        """Have a domain's plan written, also if it has not changed."""
        planned = self._domains[domain]
        planned.unsaved = planned.changed = True

    def save_all_plans(self) -> None:
        """Have the plans of all domains written again."""
        for domain in self._domains:
            self.request_save(domain)

    @property
    def has_unsaved_plans(self) -> bool:
        """Whether any domain's plan as it is now may not be in the store."""
        return any(
            domain.unsaved or domain.writing is not None
            for domain in self._domains.values()
        )

    def find_group(self, instance: InstanceId) -> GroupRecord | None:
        """Return the group whose plan names an instance, or None."""
        for run in self.list_runs():
            if instance in run.record.members:
                return run.record
        return None

    def list_runs(self) -> list[GroupRun]:
        """Return the groups of all domains."""
        return [
            run for domain in self._domains.values() for run in domain.runs.values()
        ]

    # Decisions.

    def defer_formation(self, until: float) -> None:
        """Form no group until a time, since VMs are still being reported."""
        self._formation_deferred_until = until

    def step(self, now: float) -> tuple[list[PlanWrite], list[GroupOrder]]:
        """Return the plans to write and the orders to send now."""
        self._inventory.record_arrivals(now)
        self._apply_evacuations()
        writes: list[PlanWrite] = []
        self._adopt_serving_groups(now)
        orders = self._list_orphan_releases(now)
        self._reassign_vms(now)
        self._replace_slow_members(now)
        due = [planned for planned in self._sort_domains() if planned.is_due(now)]
        self.domains_scanned += len(due)
        for domain in due:
            domain.changed, domain.scanned_at = False, now
            self._advance_groups(domain, orders, now)
        for domain in due:
            if domain.writing is not None:
                continue
            forms_groups = now >= self._formation_deferred_until
            if forms_groups:
                self._allocate(domain, self._inventory.list_instances(domain.id), now)
            if domain.unsaved:
                domain.unsaved, domain.writing = False, domain.make_plan()
                writes.append(PlanWrite(domain.writing))
            if not forms_groups:
                continue
            orders += self._staging.list_staging_orders(
                domain.runs.values(), self._engines, self._evacuation.allows_loads, now
            )
        # A standby VM that was to join its standby group may have been chosen
        # for another group since.
        planned = {group for domain in due for group in domain.runs}
        # An order that is left out is due again after its usual pause.
        return writes, [
            order
            for order in orders
            if order.instance not in self._view.not_orderable
            and (order.action not in _GROUP_ACTIONS or order.group in planned)
        ]

    def _list_candidates(
        self, domain: PlannedDomain, instances: Iterable[Instance], now: float
    ) -> list[Candidate]:
        return domain.list_candidates(
            filter(self._evacuation.allows_use, instances),
            self._inventory,
            self._releases,
            now,
            self.slow_vms.instances,
        )

    def _replace_slow_members(self, now: float) -> None:
        """Close groups that can be formed again without a slow member."""

        def list_candidates(domain: PlannedDomain) -> list[Candidate]:
            instances = self._inventory.list_instances(domain.id)
            return self._list_candidates(domain, instances, now)

        for chosen in self.slow_vms.choose_replacements(
            self._domains.values(), list_candidates, now, self._view.not_orderable
        ):
            self._close_group(chosen.run, f"member-slow:{chosen.member}", now)

    def _close_group(self, run: GroupRun, reason: str, now: float) -> None:
        run.enter_phase(GroupPhase.CLOSING, reason, now)
        self._provisioning.on_groups_changed()
        self._on_transition(PhaseTransition(run.record, run.phase, run.reason))

    def _reassign_vms(self, now: float) -> None:
        """Close groups whose VMs another model needs more."""
        if now - self._reassigned_at < REASSIGNMENT_INTERVAL_S:
            return
        if now - self._balance_checked_at < REST_LOOK_S:
            return
        self._balance_checked_at = now
        for service, engine in self._engines.items():
            demands = self._provisioning.list_demands(service, engine)
            if sum(demand.requests for demand in demands) < engine.slots:
                continue
            settled = [
                found
                for domain in self._domains.values()
                if not self._provisioning.is_evacuated(domain)
                and (found := domain.describe_if_settled(service, self._view))
                is not None
            ]
            groups = self._provisioning.count_groups(
                service, now - FORMING_WITHOUT_LOADS_S
            )
            groups += self._provisioning.count_reserved_groups(now)
            for chosen in find_reassignments(demands, groups, settled):
                self._reassigned_at = now
                self._start_reassignment(chosen, engine, now)

    def _start_reassignment(
        self, chosen: Reassignment, engine: EngineSpec, now: float
    ) -> None:
        model = engine.find_model(chosen.model)
        load_s = model.load_s if model is not None and chosen.needs_loads else 0.0
        for domain in self._domains.values():
            donors = domain.runs.keys() & set(chosen.groups)
            if not donors:
                continue
            # The closed groups end one after the other. Without the
            # reservation, the VMs of the first one would go back to the donor
            # model before there are enough VMs for a group of the recipient.
            # While they load, the recipient is as short of groups as before.
            # Unless the groups that they will form count, another group gives
            # up its VMs every other second and serves no caller either.
            domain.reserved_for, domain.reserved_groups = (
                chosen.model,
                chosen.groups_gained,
            )
            domain.reserved_until = now + RESERVATION_S + load_s
            domain.donor_groups |= donors
        for run in self.list_runs():
            if run.record.group in chosen.groups:
                self._close_group(run, f"balance:{chosen.model}", now)

    def _list_open_needs(
        self, domain: PlannedDomain, service: ServiceName, now: float
    ) -> list[ModelNeed]:
        """Return the needs of the models that its idle VMs may serve now."""
        needs = self._provisioning.list_needs(service, self._engines[service])
        if not domain.has_reservation(now):
            return needs
        return [need for need in needs if need.spec.name == domain.reserved_for]

    def _sort_domains(self) -> list[PlannedDomain]:
        # The domain with the fewest groups comes first, so that one domain
        # does not use up the load budget.
        return sorted(self._domains.values(), key=lambda it: (len(it.runs), it.id))

    def _advance_groups(
        self, domain: PlannedDomain, orders: list[GroupOrder], now: float
    ) -> None:
        for group, run in list(domain.runs.items()):
            before = run.phase
            longest_timeout_s = self._longest_timeouts.get(run.record.service, 0.0)
            due = run.step(self._view, longest_timeout_s, now)
            if run.phase is not before:
                self._provisioning.on_groups_changed()
                self._on_transition(PhaseTransition(run.record, run.phase, run.reason))
            if run.phase in (GroupPhase.SERVING, GroupPhase.STANDBY):
                self._record_loads_ended(run.record)
            if run.ended:
                # The plan without this group is written with the domain's
                # next group. A holder that takes over before then only orders
                # the head to leave once more.
                del domain.runs[group]
                domain.changed = True
                self._releases.record_group_end(run, self._view)
                self._record_loads_ended(run.record)
                continue
            orders += due

    def _record_loads_ended(self, record: GroupRecord) -> None:
        budget = self._loads.get(record.service)
        if budget is not None:
            for member in record.members:
                budget.record_end(member)

    def _allocate(
        self, domain: PlannedDomain, instances: list[Instance], now: float
    ) -> None:
        by_service: defaultdict[ServiceName, list[Instance]] = defaultdict(list)
        for instance in instances:
            by_service[instance.service].append(instance)
        for service, of_service in by_service.items():
            while self._allocate_next(domain, service, of_service, now):
                pass

    def _allocate_next(
        self,
        domain: PlannedDomain,
        service: ServiceName,
        instances: list[Instance],
        now: float,
    ) -> bool:
        candidates = self._list_candidates(domain, instances, now)
        if not candidates:
            return False
        groups_here = Counter(
            run.record.model
            for run in domain.runs.values()
            if not run.record.standby and run.phase in ACTIVE_PHASES
        )
        standby_vms = Counter(
            run.record.model
            for run in domain.runs.values()
            if run.record.standby and run.phase in ACTIVE_PHASES
        )
        chosen = select_group(
            candidates,
            self._list_open_needs(domain, service, now),
            standby_vms,
            groups_here,
            more_vms_expected=self._expects_idle_vms(domain, now),
        )
        if chosen is None or not self._start_loads(service, chosen, now):
            return False
        if not chosen.standby and chosen.model.name == domain.reserved_for:
            domain.reserved_groups -= 1
        if domain.reserved_groups <= 0:
            domain.reserved_for = None
            domain.donor_groups.clear()
        self._add_group(domain, service, chosen, now)
        return True

    def _expects_idle_vms(self, domain: PlannedDomain, now: float) -> bool:
        """Return whether more VMs are about to become idle in a domain."""
        return domain.has_reservation(now) or self._inventory.expects_more_vms(
            domain.id, now
        )

    def _start_loads(self, service: ServiceName, chosen: Selection, now: float) -> bool:
        if not chosen.loads:
            return True
        budget = self._loads[service]
        if not budget.has_room(len(chosen.loads), now):
            return False
        for instance in chosen.loads:
            budget.record_start(instance, now, chosen.model.load_s)
        return True

    def _add_group(
        self, domain: PlannedDomain, service: ServiceName, chosen: Selection, now: float
    ) -> None:
        for member in chosen.members:
            # A standby VM leaves its standby group by joining another group.
            for group, run in list(domain.runs.items()):
                if run.record.standby and member in run.record.members:
                    del domain.runs[group]
        epoch = self._next_epoch()
        group = GroupId(f"g{epoch}")
        record = GroupRecord(
            group, epoch, service, chosen.model.name, chosen.members, chosen.standby
        )
        domain.runs[group] = GroupRun(record, since=now, awaits_plan=True)
        self._provisioning.on_groups_changed()
        domain.unsaved = True
        self._on_transition(PhaseTransition(record, GroupPhase.FORMING, "planned"))

    def _adopt_serving_groups(self, now: float) -> None:
        """Take over whole groups that serve though no plan names them."""
        planned = {run.record.group for run in self.list_runs()}

        def may_adopt(instance: Instance, membership: Membership) -> bool:
            return (
                membership.group not in planned
                and self._view.find_reachable(instance.id) is not None
                and not self._releases.is_leaving(instance.id)
                and not self._releases.is_free(instance, self._view)
            )

        for domain, record in find_serving_groups(
            self._view.instances.values(), self._engines, may_adopt
        ):
            self._adopt_group(domain, record, now)

    def _adopt_group(
        self, domain: FabricDomainId, record: GroupRecord, now: float
    ) -> None:
        planned = self._domains.setdefault(domain, PlannedDomain(domain))
        replaced = [
            run.record
            for run in planned.runs.values()
            if not set(run.record.members).isdisjoint(record.members)
        ]
        if any(older.epoch >= record.epoch for older in replaced):
            return
        # The plan is from before the group was formed. Members of the older
        # groups that are still in them are released as those of no plan.
        for older in replaced:
            del planned.runs[older.group]
        planned.runs[record.group] = GroupRun(record, since=now, awaits_plan=True)
        planned.unsaved = planned.changed = True
        self._provisioning.on_groups_changed()
        self._on_transition(PhaseTransition(record, GroupPhase.FORMING, "taken-over"))

    def _list_orphan_releases(self, now: float) -> list[GroupOrder]:
        """Return orders that release instances from groups in no plan."""
        groups = {run.record.group for run in self.list_runs()}
        planned = {member for run in self.list_runs() for member in run.record.members}
        unplanned = [
            instance
            for instance in self._view.instances.values()
            if instance.id not in planned and instance.service in self._engines
        ]
        return self._releases.list_orphan_releases(unplanned, groups, self._view, now)
