"""The next plan of one fabric domain, with a reason for each change.

A pure function: the same input gives the same plan, and an input that asks
for nothing gives the current plan itself. The order of its steps is the
order of what matters: VMs that are out, groups on their way out, groups that
the rules forbid, broken groups, planned moves, and last what the whole
fleet's allocation asks of this domain.
"""

from dataclasses import replace

from zinniaspool.core.groups.allocation import (
    Allocation,
    Placement,
    Withdrawal,
    allocate_fleet,
    is_kept,
)
from zinniaspool.core.groups.idle import explain_idle
from zinniaspool.core.groups.inputs import DomainInput, count_serving
from zinniaspool.core.groups.means import MeansFinder
from zinniaspool.core.groups.moves import find_move
from zinniaspool.core.groups.repair import RepairChoice, RepairPolicy
from zinniaspool.core.groups.views import (
    ChangeKind,
    PlanChange,
    PlanStep,
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


def plan_domain(given: DomainInput, policy: RepairPolicy, now: float) -> PlanStep:
    """Return a domain's next plan.

    Args:
        given: What the plan depends on.
        policy: Chooses what to do about broken groups.
        now: Seconds, on the clock of the VMs' views.
    """
    return _Planning(given, policy, now).run()


class _Planning:
    """One run of the steps over a copy of the domain's groups."""

    def __init__(self, given: DomainInput, policy: RepairPolicy, now: float) -> None:
        self._given = given
        self._index = given.index
        self._policy = policy
        self._now = now
        self._groups = list(given.plan.groups)
        self._out = given.plan.out
        self._changes: list[PlanChange] = []
        self._formed = 0
        self._steps = 0

    def run(self) -> PlanStep:
        self._mark_out()
        self._finish_releases()
        self._finish_drains()
        self._end_forbidden()
        self._repair_broken()
        self._start_moves()
        allocation = self._allocate()
        self._withdraw(allocation.withdrawals)
        self._form(allocation.placements)
        current = self._given.plan
        plan = current
        groups = tuple(self._groups)
        if groups != current.groups or self._out != current.out:
            plan = DomainPlan(self._given.domain, groups, self._given.epoch, self._out)
        idle = explain_idle(self._index, plan, self._given.vms, allocation)
        return PlanStep(
            plan,
            tuple(self._changes),
            idle,
            allocation.shortfalls,
            self._steps + allocation.steps,
        )

    # VMs

    def _mark_out(self) -> None:
        before = {out.vm: out.reason for out in self._out}
        after: dict[VmId, ExclusionReason] = {}
        for vm in self._index.domains.get(self._given.domain, ()):
            self._steps += 1
            view = self._given.view(vm.id)
            reason = view.condition.out_reason()
            if view.condition is VmCondition.SETTLING:
                # Still out if it was: a VM that comes and goes must not
                # pull groups along.
                reason = before.get(vm.id)
            if reason is not None:
                after[vm.id] = reason
        for name in sorted(before.keys() | after.keys()):
            if before.get(name) == after.get(name):
                continue
            out = after.get(name)
            kind = ChangeKind.VM_OUT if out else ChangeKind.VM_BACK
            self._note(kind, (f"vm:{name}",), out.value if out else "reports again")
        self._out = tuple(
            ExcludedVm(vm, reason) for vm, reason in sorted(after.items())
        )

    def _is_absent(self, vm: VmId) -> bool:
        return self._given.view(vm).condition is VmCondition.ABSENT

    def _find_spares(self, model: ModelName) -> list[VmId]:
        """Return the VMs that may join a group of a model at once."""
        owners = self._index.owners(model)
        used = {vm for group in self._groups for vm in group.vms}
        return [
            vm.id
            for vm in self._index.domains.get(self._given.domain, ())
            if vm.id not in used and vm.owner in owners and self._is_usable(vm.id)
        ]

    def _is_usable(self, vm: VmId) -> bool:
        # Only a VM that itself reports EMPTY may join: weights, adapters or
        # KV cache of a former group could otherwise reach another customer.
        view = self._given.view(vm)
        return view.condition is VmCondition.PRESENT and view.empty

    # Groups on their way out

    def _finish_releases(self) -> None:
        for group in self._list(GroupStage.RELEASING):
            left = [
                vm
                for vm in group.vms
                if not self._is_absent(vm) and not self._given.view(vm).empty
            ]
            if left:
                continue
            self._groups.remove(group)
            self._note(ChangeKind.DISSOLVED, _about(group), "its VMs are empty")

    def _finish_drains(self) -> None:
        for group in self._list(GroupStage.DRAINING):
            if not self._is_drained(group):
                continue
            match group.cause:
                case DrainCause.ROLLOUT:
                    self._roll_out(group)
                case DrainCause.REPLACE:
                    self._replace_out(group)
                case _:
                    self._release(group, "drained")

    def _is_drained(self, group: GroupPlan) -> bool:
        if any(self._is_absent(vm) for vm in group.vms):
            # Without all its VMs the group ends no request any more.
            return True
        return all(self._is_member_drained(group, vm) for vm in group.vms)

    def _is_member_drained(self, group: GroupPlan, vm: VmId) -> bool:
        view = self._given.view(vm)
        if not view.follows(group):
            return view.report is not None
        report = view.report
        return (
            report is not None
            and report.state is EngineState.DRAINING
            and not report.running
            and not report.waiting
        )

    def _roll_out(self, group: GroupPlan) -> None:
        model = self._index.models.get(group.model)
        if model is None or not self._index.allows(group, self._given.domain):
            self._release(group, "the configuration changed")
            return
        self._succeed(
            group,
            group.vms,
            ChangeKind.REPAIRED,
            f"loads version {model.version} in place of {group.version}",
        )

    def _replace_out(self, group: GroupPlan) -> None:
        out = {out.vm for out in self._out}
        gone = [vm for vm in group.vms if vm in out]
        spares = self._find_spares(group.model)
        if len(spares) < len(gone) or not self._index.allows(group, self._given.domain):
            self._release(group, f"no spare for {','.join(gone)}")
            return
        self._swap_members(group, gone, spares, "takes a spare")

    def _swap_members(
        self, group: GroupPlan, gone: list[VmId], spares: list[VmId], why: str
    ) -> None:
        stay = [vm for vm in group.vms if vm not in gone]
        joined = spares[: len(gone)]
        # A VM that holds its weights already comes first: it is ready to
        # take requests before the spares are.
        self._succeed(
            group,
            (*stay, *joined),
            ChangeKind.REPAIRED,
            f"{why}: {','.join(joined)} for {','.join(gone)}",
        )

    def _succeed(
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
            self._given.epoch,
            follows=group.id,
        )
        self._replace(group, successor)
        subjects = (*_about(group), f"group:{successor.id}")
        self._note(kind, _with_vms(subjects, vms), reason)

    def _release(self, group: GroupPlan, reason: str, rejected: str = "") -> None:
        releasing = replace(
            group, stage=GroupStage.RELEASING, epoch=self._given.epoch, cause=None
        )
        self._replace(group, releasing)
        self._note(ChangeKind.RELEASING, _about(group), reason, rejected)

    def _drain(self, group: GroupPlan, cause: DrainCause, reason: str) -> None:
        if group not in self._groups or group.stage is not GroupStage.SERVING:
            return
        draining = replace(group, stage=GroupStage.DRAINING, cause=cause)
        self._replace(group, draining)
        self._note(ChangeKind.DRAINING, _about(group), f"{cause.value}: {reason}")

    def _end_forbidden(self) -> None:
        for group in self._list(GroupStage.SERVING):
            if not self._index.allows(group, self._given.domain):
                self._drain(group, DrainCause.SURPLUS, "the rules no longer allow it")

    # Broken groups

    def _repair_broken(self) -> None:
        finder = MeansFinder(self._given, self._out, self._now)
        broken = [
            group
            for group in self._list(GroupStage.SERVING)
            if any(self._is_absent(vm) for vm in group.vms)
        ]
        ranked = sorted(
            broken, key=lambda group: -self._policy.rank(finder.describe(group))
        )
        for group in ranked:
            if group in self._groups:
                self._repair(group, finder, [g for g in ranked if g in self._groups])

    def _repair(
        self, group: GroupPlan, finder: MeansFinder, broken: list[GroupPlan]
    ) -> None:
        self._steps += len(self._groups)
        gone = [vm for vm in group.vms if self._is_absent(vm)]
        spares = self._find_spares(group.model)
        if len(spares) < len(gone) <= len(spares) + self._count_coming(group.model):
            self._note(
                ChangeKind.KEPT_WAITING, _about(group), "VMs are being freed for it"
            )
            return
        found = finder.find(group, len(spares), tuple(self._groups), broken)
        decision = self._policy.choose(finder.describe(group), found.means)
        match decision.choice:
            case RepairChoice.SPARE:
                self._swap_members(group, gone, spares, decision.reason)
            case RepairChoice.MERGE if found.donor is not None:
                self._release(found.donor, f"its VMs repair another: {decision.reason}")
            case RepairChoice.TAKE if found.victim is not None:
                reason = f"its VMs repair another: {decision.reason}"
                self._drain(found.victim, DrainCause.REASSIGNED, reason)
            case RepairChoice.DISSOLVE:
                self._release(group, decision.reason, decision.rejected)
            case _:
                self._note(
                    ChangeKind.KEPT_WAITING,
                    _about(group),
                    decision.reason,
                    decision.rejected,
                )

    def _count_coming(self, model: ModelName) -> int:
        """Return how many usable VMs are being drained or emptied."""
        owners = self._index.owners(model)
        out = {out.vm for out in self._out}
        kept = {vm for group in self._groups if is_kept(group) for vm in group.vms}
        return sum(
            vm.id not in kept
            and vm.id not in out
            and vm.owner in owners
            and not self._is_usable(vm.id)
            for vm in self._index.domains.get(self._given.domain, ())
        )

    # Planned moves

    def _start_moves(self) -> None:
        plans = self._plans()
        move = find_move(self._given, plans)
        if move is None:
            return
        self._drain(move.group, move.cause, move.reason)

    # The domain's share of the fleet

    def _allocate(self) -> Allocation:
        return allocate_fleet(self._index, self._plans())

    def _plans(self) -> dict[FabricDomainId, DomainPlan]:
        own = DomainPlan(
            self._given.domain, tuple(self._groups), self._given.epoch, self._out
        )
        return {**self._given.plans, self._given.domain: own}

    def _withdraw(self, withdrawals: tuple[Withdrawal, ...]) -> None:
        serving = count_serving(self._plans(), self._given.relied_on)
        by_id = {group.id: group for group in self._groups}
        for withdrawal in withdrawals:
            group = by_id.get(withdrawal.group)
            if withdrawal.domain != self._given.domain or group is None:
                continue
            model = self._index.models[group.model]
            is_ready = group.id in self._given.ready
            surplus = withdrawal.cause is DrainCause.SURPLUS
            if surplus and is_ready and serving[model.name] <= model.wanted_groups:
                # The group that makes this one superfluous does not serve
                # yet.
                continue
            self._drain(group, withdrawal.cause, withdrawal.reason)

    def _form(self, placements: tuple[Placement, ...]) -> None:
        for placement in placements:
            if placement.domain != self._given.domain:
                continue
            members = self._choose_members(placement)
            if members is None:
                continue
            model = self._index.models[placement.model]
            group = GroupPlan(
                self._name_group(),
                model.name,
                model.version,
                self._index.customers(model),
                members,
                self._given.epoch,
            )
            self._groups.append(group)
            self._note(
                ChangeKind.FORMED,
                _with_vms((*_about(group), f"model:{model.name}"), members),
                placement.reason,
            )

    def _choose_members(self, placement: Placement) -> tuple[VmId, ...] | None:
        spares = self._find_spares(placement.model)
        members: list[VmId] = []
        for owner, count in placement.owners:
            owned = [vm for vm in spares if self._index.vms[vm].owner == owner]
            if len(owned) < count:
                return None
            members += owned[:count]
        return tuple(members)

    # Helpers

    def _list(self, stage: GroupStage) -> list[GroupPlan]:
        return [group for group in self._groups if group.stage is stage]

    def _replace(self, old: GroupPlan, new: GroupPlan) -> None:
        self._groups[self._groups.index(old)] = new

    def _name_group(self) -> GroupId:
        self._formed += 1
        return GroupId(f"{self._given.domain}-{self._given.epoch}-{self._formed}")

    def _note(
        self,
        kind: ChangeKind,
        subjects: tuple[str, ...],
        reason: str,
        rejected: str = "",
    ) -> None:
        self._changes.append(PlanChange(kind, subjects, reason, rejected))


def _about(group: GroupPlan) -> tuple[str, ...]:
    return (f"group:{group.id}",)


def _with_vms(subjects: tuple[str, ...], vms: tuple[VmId, ...]) -> tuple[str, ...]:
    return (*subjects, *(f"vm:{vm}" for vm in vms))
