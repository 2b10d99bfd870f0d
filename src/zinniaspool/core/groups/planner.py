"""Computes the next plan of one fabric domain, with a reason for each change.

Planning is a pure function: the same inputs give the same plan, and inputs
that require no change give the current plan object itself. The steps run in
the order of their priority: VMs that are out, groups that end, groups that
the rules forbid, broken groups, planned drains, and last this domain's part
of the whole fleet's allocation.
"""

from dataclasses import replace

from zinniaspool.core.groups.allocation import (
    Allocation,
    Placement,
    Withdrawal,
    allocate_fleet,
    counts_for_model,
)
from zinniaspool.core.groups.idle import explain_idle
from zinniaspool.core.groups.inputs import DomainInput, count_serving
from zinniaspool.core.groups.means import RepairOptionsFinder
from zinniaspool.core.groups.moves import find_planned_drain
from zinniaspool.core.groups.repair import RepairChoice, RepairPolicy
from zinniaspool.core.groups.views import (
    ChangeKind,
    PlanChange,
    PlanningResult,
    VmCondition,
)
from zinniaspool.core.ids import FabricDomainId, GroupId, ModelName, VmId
from zinniaspool.core.plans import (
    DomainPlan,
    DrainCause,
    EngineState,
    ExcludedVm,
    ExclusionReason,
    GroupPlan,
    GroupStage,
)

__all__ = ["plan_domain"]


def plan_domain(
    inputs: DomainInput, policy: RepairPolicy, now: float
) -> PlanningResult:
    """Return a domain's next plan.

    Args:
        inputs: The inputs of planning the domain.
        policy: Decides what to do about broken groups.
        now: Seconds, on the clock of the VMs' views.
    """
    return _PlanningPass(inputs, policy, now).run()


class _PlanningPass:
    """One planning pass over a copy of the domain's groups.

    Args:
        inputs: The inputs of planning the domain.
        policy: Decides what to do about broken groups.
        now: Seconds, on the clock of the VMs' views.
    """

    def __init__(self, inputs: DomainInput, policy: RepairPolicy, now: float) -> None:
        self._inputs = inputs
        self._index = inputs.index
        self._policy = policy
        self._now = now
        self._groups = list(inputs.plan.groups)
        self._out_vms = inputs.plan.out
        self._changes: list[PlanChange] = []
        self._formed_count = 0
        self._candidates_checked = 0

    def run(self) -> PlanningResult:
        self._update_out_vms()
        self._finish_releases()
        self._finish_drains()
        self._drain_forbidden()
        self._repair_broken()
        self._start_planned_drain()
        allocation = self._allocate()
        self._withdraw(allocation.withdrawals)
        self._form(allocation.placements)
        current = self._inputs.plan
        plan = current
        groups = tuple(self._groups)
        if groups != current.groups or self._out_vms != current.out:
            plan = DomainPlan(
                self._inputs.domain, groups, self._inputs.epoch, self._out_vms
            )
        idle = explain_idle(self._index, plan, self._inputs.vms, allocation)
        return PlanningResult(
            plan,
            tuple(self._changes),
            idle,
            allocation.shortfalls,
            self._candidates_checked + allocation.candidates_checked,
        )

    # VMs

    def _update_out_vms(self) -> None:
        before = {out.vm: out.reason for out in self._out_vms}
        after: dict[VmId, ExclusionReason] = {}
        for vm in self._index.domains.get(self._inputs.domain, ()):
            self._candidates_checked += 1
            view = self._inputs.get_view(vm.id)
            reason = view.condition.out_reason()
            if view.condition is VmCondition.SETTLING:
                # The VM stays out if it was out: a VM that repeatedly comes
                # and goes must not cause a group change each time.
                reason = before.get(vm.id)
            if reason is not None:
                after[vm.id] = reason
        for name in sorted(before.keys() | after.keys()):
            if before.get(name) == after.get(name):
                continue
            out = after.get(name)
            kind = ChangeKind.VM_OUT if out else ChangeKind.VM_BACK
            self._record_change(
                kind, (f"vm:{name}",), out.value if out else "reports again"
            )
        self._out_vms = tuple(
            ExcludedVm(vm, reason) for vm, reason in sorted(after.items())
        )

    def _is_absent(self, vm: VmId) -> bool:
        return self._inputs.get_view(vm).condition is VmCondition.ABSENT

    def _find_spares(self, model: ModelName) -> list[VmId]:
        """Return the VMs that can join a group of a model at once."""
        owners = self._index.get_owners(model)
        used = {vm for group in self._groups for vm in group.vms}
        return [
            vm.id
            for vm in self._index.domains.get(self._inputs.domain, ())
            if vm.id not in used and vm.owner in owners and self._is_usable(vm.id)
        ]

    def _is_usable(self, vm: VmId) -> bool:
        # Only a VM that itself reports EMPTY may join: otherwise weights,
        # adapters or KV cache of its former group could reach another
        # customer.
        view = self._inputs.get_view(vm)
        return view.condition is VmCondition.PRESENT and view.is_empty

    # Groups that are released or drained

    def _finish_releases(self) -> None:
        for group in self._list_groups(GroupStage.RELEASING):
            occupied = [
                vm
                for vm in group.vms
                if not self._is_absent(vm) and not self._inputs.get_view(vm).is_empty
            ]
            if occupied:
                continue
            self._groups.remove(group)
            self._record_change(
                ChangeKind.DISSOLVED, _group_subject(group), "its VMs are empty"
            )

    def _finish_drains(self) -> None:
        for group in self._list_groups(GroupStage.DRAINING):
            if not self._is_drained(group):
                continue
            match group.cause:
                case DrainCause.ROLLOUT:
                    self._load_new_version(group)
                case DrainCause.REPLACE:
                    self._replace_out_members(group)
                case _:
                    self._release(group, "drained")

    def _is_drained(self, group: GroupPlan) -> bool:
        if any(self._is_absent(vm) for vm in group.vms):
            # A group that lacks a VM can't finish any request.
            return True
        return all(self._is_member_drained(group, vm) for vm in group.vms)

    def _is_member_drained(self, group: GroupPlan, vm: VmId) -> bool:
        view = self._inputs.get_view(vm)
        if not view.reports_group(group):
            return view.report is not None
        report = view.report
        return (
            report is not None
            and report.state is EngineState.DRAINING
            and not report.running
            and not report.waiting
        )

    def _load_new_version(self, group: GroupPlan) -> None:
        model = self._index.models.get(group.model)
        if model is None or not self._index.allows(group, self._inputs.domain):
            self._release(group, "the configuration changed")
            return
        self._form_successor(
            group,
            group.vms,
            ChangeKind.REPAIRED,
            f"loads version {model.version} in place of {group.version}",
        )

    def _replace_out_members(self, group: GroupPlan) -> None:
        out = {out.vm for out in self._out_vms}
        replaced = [vm for vm in group.vms if vm in out]
        spares = self._find_spares(group.model)
        if len(spares) < len(replaced) or not self._index.allows(
            group, self._inputs.domain
        ):
            self._release(group, f"no spare for {','.join(replaced)}")
            return
        self._swap_members(group, replaced, spares, "takes a spare")

    def _swap_members(
        self, group: GroupPlan, replaced: list[VmId], spares: list[VmId], why: str
    ) -> None:
        staying = [vm for vm in group.vms if vm not in replaced]
        joined = spares[: len(replaced)]
        # A VM that has the weights loaded already becomes the head: it is
        # ready for requests before the spares are.
        self._form_successor(
            group,
            (*staying, *joined),
            ChangeKind.REPAIRED,
            f"{why}: {','.join(joined)} for {','.join(replaced)}",
        )

    def _form_successor(
        self,
        group: GroupPlan,
        vms: tuple[VmId, ...],
        kind: ChangeKind,
        reason: str,
    ) -> None:
        model = self._index.models[group.model]
        successor = GroupPlan(
            self._name_group(),
            group.model,
            model.version,
            group.customers,
            vms,
            self._inputs.epoch,
            follows=group.id,
        )
        self._replace(group, successor)
        subjects = (*_group_subject(group), f"group:{successor.id}")
        self._record_change(kind, _add_vm_subjects(subjects, vms), reason)

    def _release(self, group: GroupPlan, reason: str, rejected: str = "") -> None:
        releasing = replace(
            group, stage=GroupStage.RELEASING, epoch=self._inputs.epoch, cause=None
        )
        self._replace(group, releasing)
        self._record_change(
            ChangeKind.RELEASING, _group_subject(group), reason, rejected
        )

    def _drain(self, group: GroupPlan, cause: DrainCause, reason: str) -> None:
        if group not in self._groups or group.stage is not GroupStage.SERVING:
            return
        draining = replace(group, stage=GroupStage.DRAINING, cause=cause)
        self._replace(group, draining)
        self._record_change(
            ChangeKind.DRAINING, _group_subject(group), f"{cause.value}: {reason}"
        )

    def _drain_forbidden(self) -> None:
        for group in self._list_groups(GroupStage.SERVING):
            if not self._index.allows(group, self._inputs.domain):
                self._drain(group, DrainCause.SURPLUS, "the rules no longer allow it")

    # Broken groups

    def _repair_broken(self) -> None:
        finder = RepairOptionsFinder(self._inputs, self._out_vms, self._now)
        broken = [
            group
            for group in self._list_groups(GroupStage.SERVING)
            if any(self._is_absent(vm) for vm in group.vms)
        ]
        ranked = sorted(
            broken, key=lambda group: -self._policy.cost_per_s(finder.describe(group))
        )
        for group in ranked:
            if group in self._groups:
                self._repair(group, finder, [g for g in ranked if g in self._groups])

    def _repair(
        self, group: GroupPlan, finder: RepairOptionsFinder, broken: list[GroupPlan]
    ) -> None:
        self._candidates_checked += len(self._groups)
        absent = [vm for vm in group.vms if self._is_absent(vm)]
        spares = self._find_spares(group.model)
        if (
            len(spares)
            < len(absent)
            <= len(spares) + self._count_being_freed(group.model)
        ):
            self._record_change(
                ChangeKind.KEPT_WAITING,
                _group_subject(group),
                "VMs are being freed for the group",
            )
            return
        found_options = finder.find(group, len(spares), tuple(self._groups), broken)
        decision = self._policy.choose(finder.describe(group), found_options.options)
        match decision.choice:
            case RepairChoice.SPARE:
                self._swap_members(group, absent, spares, decision.reason)
            case RepairChoice.MERGE if found_options.donor is not None:
                self._release(
                    found_options.donor,
                    f"its VMs repair another group: {decision.reason}",
                )
            case RepairChoice.TAKE if found_options.victim is not None:
                reason = f"its VMs repair another group: {decision.reason}"
                self._drain(found_options.victim, DrainCause.REASSIGNED, reason)
            case RepairChoice.DISSOLVE:
                self._release(group, decision.reason, decision.rejected)
            case _:
                self._record_change(
                    ChangeKind.KEPT_WAITING,
                    _group_subject(group),
                    decision.reason,
                    decision.rejected,
                )

    def _count_being_freed(self, model: ModelName) -> int:
        """Return how many suitable VMs are being drained or emptied."""
        owners = self._index.get_owners(model)
        out = {out.vm for out in self._out_vms}
        kept = {
            vm for group in self._groups if counts_for_model(group) for vm in group.vms
        }
        return sum(
            vm.id not in kept
            and vm.id not in out
            and vm.owner in owners
            and not self._is_usable(vm.id)
            for vm in self._index.domains.get(self._inputs.domain, ())
        )

    # Planned drains

    def _start_planned_drain(self) -> None:
        plans = self._build_plans()
        drain = find_planned_drain(self._inputs, plans)
        if drain is None:
            return
        self._drain(drain.group, drain.cause, drain.reason)

    # The domain's part of the fleet's allocation

    def _allocate(self) -> Allocation:
        return allocate_fleet(self._index, self._build_plans())

    def _build_plans(self) -> dict[FabricDomainId, DomainPlan]:
        own_plan = DomainPlan(
            self._inputs.domain, tuple(self._groups), self._inputs.epoch, self._out_vms
        )
        return {**self._inputs.plans, self._inputs.domain: own_plan}

    def _withdraw(self, withdrawals: tuple[Withdrawal, ...]) -> None:
        serving = count_serving(self._build_plans(), self._inputs.announced_ready)
        by_id = {group.id: group for group in self._groups}
        for withdrawal in withdrawals:
            group = by_id.get(withdrawal.group)
            if withdrawal.domain != self._inputs.domain or group is None:
                continue
            model = self._index.models[group.model]
            is_ready = group.id in self._inputs.ready
            surplus = withdrawal.cause is DrainCause.SURPLUS
            if surplus and is_ready and serving[model.name] <= model.wanted_groups:
                # The group that makes this group superfluous does not serve
                # yet.
                continue
            self._drain(group, withdrawal.cause, withdrawal.reason)

    def _form(self, placements: tuple[Placement, ...]) -> None:
        for placement in placements:
            if placement.domain != self._inputs.domain:
                continue
            members = self._choose_members(placement)
            if members is None:
                continue
            model = self._index.models[placement.model]
            group = GroupPlan(
                self._name_group(),
                model.name,
                model.version,
                self._index.get_customers(model),
                members,
                self._inputs.epoch,
            )
            self._groups.append(group)
            self._record_change(
                ChangeKind.FORMED,
                _add_vm_subjects(
                    (*_group_subject(group), f"model:{model.name}"), members
                ),
                placement.reason,
            )

    def _choose_members(self, placement: Placement) -> tuple[VmId, ...] | None:
        spares = self._find_spares(placement.model)
        members: list[VmId] = []
        for owner, count in placement.vms_by_owner:
            owned = [vm for vm in spares if self._index.vms[vm].owner == owner]
            if len(owned) < count:
                return None
            members += owned[:count]
        return tuple(members)

    # Helpers

    def _list_groups(self, stage: GroupStage) -> list[GroupPlan]:
        return [group for group in self._groups if group.stage is stage]

    def _replace(self, old: GroupPlan, new: GroupPlan) -> None:
        self._groups[self._groups.index(old)] = new

    def _name_group(self) -> GroupId:
        self._formed_count += 1
        return GroupId(
            f"{self._inputs.domain}-{self._inputs.epoch}-{self._formed_count}"
        )

    def _record_change(
        self,
        kind: ChangeKind,
        subjects: tuple[str, ...],
        reason: str,
        rejected: str = "",
    ) -> None:
        self._changes.append(PlanChange(kind, subjects, reason, rejected))


def _group_subject(group: GroupPlan) -> tuple[str, ...]:
    return (f"group:{group.id}",)


def _add_vm_subjects(
    subjects: tuple[str, ...], vms: tuple[VmId, ...]
) -> tuple[str, ...]:
    return (*subjects, *(f"vm:{vm}" for vm in vms))
