"""What a broken group could be repaired with."""

from dataclasses import dataclass

from zinniaspool.core.groups.allocation import is_kept
from zinniaspool.core.groups.inputs import DomainInput, count_serving
from zinniaspool.core.groups.repair import BrokenGroup, RepairMeans
from zinniaspool.core.groups.views import VmCondition
from zinniaspool.core.ids import FabricDomainId, ModelName, VmId
from zinniaspool.core.plans import DomainPlan, ExcludedVm, GroupPlan, GroupStage

__all__ = ["FoundMeans", "MeansFinder"]


@dataclass(frozen=True, slots=True)
class FoundMeans:
    """The means, and which groups they stand for."""

    means: RepairMeans
    donor: GroupPlan | None = None
    victim: GroupPlan | None = None


class MeansFinder:
    """Finds what each broken group of a domain could be repaired with.

    Args:
        given: What the domain's plan depends on.
        out: Its VMs that may not join a group.
        now: Seconds, on the clock of the VMs' views.
    """

    def __init__(
        self, given: DomainInput, out: tuple[ExcludedVm, ...], now: float
    ) -> None:
        self._given = given
        self._index = given.index
        self._out = {vm.vm for vm in out}
        self._now = now
        self._serving = count_serving(given.plans, given.ready)

    def describe(self, group: GroupPlan) -> BrokenGroup:
        """Return what the policy weighs of a broken group."""
        missing = [vm for vm in group.vms if self._is_absent(vm)]
        return BrokenGroup(
            len(missing),
            tuple(self._now - self._given.view(vm).since for vm in missing),
            sum(self._accelerators(vm) for vm in group.vms if vm not in missing),
            sum(self._accelerators(vm) for vm in group.vms),
            self._is_guaranteed(group.model),
            group.model in self._given.peaks,
        )

    def find(
        self,
        group: GroupPlan,
        spares: int,
        groups: tuple[GroupPlan, ...],
        broken: list[GroupPlan],
    ) -> FoundMeans:
        """Return the means for one broken group.

        Args:
            group: The broken group.
            spares: Free VMs that can join it at once.
            groups: The domain's groups, with the changes made so far.
            broken: The broken ones, the dearest first.
        """
        missing = sum(self._is_absent(vm) for vm in group.vms)
        model = self._index.models[group.model]
        queued_s = self._given.queued_gb / self._given.load_gb_per_s
        part_s = model.weights_gb / self._given.load_gb_per_s
        load_s = queued_s + missing * part_s
        whole_s = queued_s + len(group.vms) * part_s
        if spares >= missing:
            return FoundMeans(RepairMeans(spares, load_s, whole_s))
        donor = self._find_donor(group, missing - spares, broken)
        victim = self._find_victim(group, missing - spares, groups)
        freed = self._find_freed(group)
        means = RepairMeans(
            spares,
            load_s,
            whole_s,
            donor=self.describe(donor) if donor else None,
            victim=victim is not None,
            victim_moves=victim is not None and self._has_room_elsewhere(victim),
            victim_accelerators=self._count_left_over(victim, missing - spares),
            elsewhere=self._has_room_elsewhere(group),
            freed_groups=freed[0],
            freed_accelerators=freed[1],
        )
        return FoundMeans(means, donor, victim)

    def _count_left_over(self, victim: GroupPlan | None, used: int) -> int:
        if victim is None:
            return 0
        return sum(sorted(map(self._accelerators, victim.vms))[used:])

    def _find_donor(
        self, group: GroupPlan, lacking: int, broken: list[GroupPlan]
    ) -> GroupPlan | None:
        """Return the cheapest broken group with enough healthy VMs."""
        for other in reversed(broken):
            if other.id == group.id:
                return None
            if self._count_usable(group, other) >= lacking:
                return other
        return None

    def _find_victim(
        self, group: GroupPlan, lacking: int, groups: tuple[GroupPlan, ...]
    ) -> GroupPlan | None:
        """Return a whole group that its model is not guaranteed."""
        candidates = [
            other
            for other in groups
            if other.stage is GroupStage.SERVING
            and other.model != group.model
            and other.model in self._index.models
            and self._serving[other.model]
            > self._index.models[other.model].guaranteed_groups
            and self._count_usable(group, other) >= lacking
        ]
        return min(
            candidates,
            key=lambda other: (
                self._index.models[other.model].weight,
                len(other.vms),
                other.id,
            ),
            default=None,
        )

    def _count_usable(self, group: GroupPlan, other: GroupPlan) -> int:
        owners = self._index.owners(group.model)
        return sum(
            vm not in self._out
            and not self._is_absent(vm)
            and self._index.vms[vm].owner in owners
            for vm in other.vms
        )

    def _has_room_elsewhere(self, group: GroupPlan) -> bool:
        model = self._index.models[group.model]
        if self._count_kept().get(model.name, 0) < model.wanted_groups:
            # What room there is, is for a group that is lacking already.
            return False
        return any(
            self._count_room(domain, plan, group) >= len(group.vms)
            for domain, plan in self._given.plans.items()
            if domain != self._given.domain and domain in self._index.domains
        )

    def _count_room(
        self, domain: FabricDomainId, plan: DomainPlan, group: GroupPlan
    ) -> int:
        """Return the VMs that a domain could give the group's successor.

        For a guaranteed group these include the VMs of groups that their
        models are not guaranteed.
        """
        guaranteed = self._is_guaranteed(group.model)
        stay = [
            other
            for other in plan.groups
            if is_kept(other) and not (guaranteed and self._is_beyond(other))
        ]
        taken = frozenset(vm for other in stay for vm in other.vms)
        free = self._index.count_free(domain, plan, taken)
        return sum(free[owner] for owner in self._index.owners(group.model))

    def _is_guaranteed(self, model: ModelName) -> bool:
        return self._serving[model] < self._index.models[model].guaranteed_groups

    def _is_beyond(self, group: GroupPlan) -> bool:
        model = self._index.models.get(group.model)
        return model is None or self._serving[model.name] > model.guaranteed_groups

    def _find_freed(self, group: GroupPlan) -> tuple[int, int]:
        """Return groups and accelerators that the healthy VMs would make."""
        if self._is_guaranteed(group.model):
            return 0, 0
        have = self._count_kept()
        best = (0, 0)
        for model in self._index.configuration.rules.models:
            lacking = model.wanted_groups - have.get(model.name, 0)
            if model.name == group.model or lacking <= 0:
                continue
            owners = self._index.owners(model.name)
            usable = [
                vm
                for vm in group.vms
                if not self._is_absent(vm)
                and vm not in self._out
                and self._index.vms[vm].owner in owners
            ]
            count = min(lacking, len(usable) // model.vms_per_group)
            used = usable[: count * model.vms_per_group]
            best = max(best, (count, sum(map(self._accelerators, used))))
        return best

    def _count_kept(self) -> dict[ModelName, int]:
        have: dict[ModelName, int] = {}
        for plan in self._given.plans.values():
            for group in plan.groups:
                if is_kept(group):
                    have[group.model] = have.get(group.model, 0) + 1
        return have

    def _accelerators(self, vm: VmId) -> int:
        found = self._index.vms.get(vm)
        return found.accelerators if found else 0

    def _is_absent(self, vm: VmId) -> bool:
        return self._given.view(vm).condition is VmCondition.ABSENT
