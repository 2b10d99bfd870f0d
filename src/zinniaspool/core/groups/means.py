"""Finds the options of repairing a broken group."""

from dataclasses import dataclass

from zinniaspool.core.groups.allocation import counts_for_model
from zinniaspool.core.groups.inputs import DomainInput, count_serving
from zinniaspool.core.groups.repair import BrokenGroup, RepairOptions
from zinniaspool.core.groups.views import VmCondition
from zinniaspool.core.ids import FabricDomainId, ModelName, VmId
from zinniaspool.core.plans import DomainPlan, ExcludedVm, GroupPlan, GroupStage

__all__ = ["FoundOptions", "RepairOptionsFinder"]


@dataclass(frozen=True, slots=True)
class FoundOptions:
    """The repair options of a group, with the groups that they refer to.

    Attributes:
        options: The options, as the repair policy weighs them.
        donor: The broken group that could be dissolved.
        victim: The whole group that could be drained.
    """

    options: RepairOptions
    donor: GroupPlan | None = None
    victim: GroupPlan | None = None


class RepairOptionsFinder:
    """Finds the repair options of each broken group of a domain.

    Args:
        inputs: The inputs of planning the domain.
        out: The domain's VMs that may not join a group.
        now: Seconds, on the clock of the VMs' views.
    """

    def __init__(
        self, inputs: DomainInput, out: tuple[ExcludedVm, ...], now: float
    ) -> None:
        self._inputs = inputs
        self._index = inputs.index
        self._out_vms = {vm.vm for vm in out}
        self._now = now
        self._serving = count_serving(inputs.plans, inputs.ready)

    def describe(self, group: GroupPlan) -> BrokenGroup:
        """Return a broken group as the repair policy weighs it."""
        missing = [vm for vm in group.vms if self._is_absent(vm)]
        return BrokenGroup(
            len(missing),
            tuple(self._now - self._inputs.get_view(vm).since for vm in missing),
            sum(self._count_accelerators(vm) for vm in group.vms if vm not in missing),
            sum(self._count_accelerators(vm) for vm in group.vms),
            self._is_below_guarantee(group.model),
            group.model in self._inputs.peaks,
        )

    def find(
        self,
        group: GroupPlan,
        spares: int,
        groups: tuple[GroupPlan, ...],
        broken: list[GroupPlan],
    ) -> FoundOptions:
        """Return the repair options of one broken group.

        Args:
            group: The broken group.
            spares: Number of free VMs that can join it at once.
            groups: The domain's groups, including the changes of this
                planning pass so far.
            broken: The domain's broken groups, the costliest first.
        """
        missing = sum(self._is_absent(vm) for vm in group.vms)
        model = self._index.models[group.model]
        queued_s = self._inputs.queued_gb / self._inputs.load_gb_per_s
        vm_load_s = model.weights_gb / self._inputs.load_gb_per_s
        load_s = queued_s + missing * vm_load_s
        group_load_s = queued_s + len(group.vms) * vm_load_s
        if spares >= missing:
            return FoundOptions(RepairOptions(spares, load_s, group_load_s))
        donor = self._find_donor(group, missing - spares, broken)
        victim = self._find_victim(group, missing - spares, groups)
        freed = self._count_freed(group)
        options = RepairOptions(
            spares,
            load_s,
            group_load_s,
            donor=self.describe(donor) if donor else None,
            has_victim=victim is not None,
            victim_fits_elsewhere=victim is not None
            and self._has_room_elsewhere(victim),
            victim_leftover_accelerators=self._count_leftover_accelerators(
                victim, missing - spares
            ),
            fits_elsewhere=self._has_room_elsewhere(group),
            freed_groups=freed[0],
            freed_accelerators=freed[1],
        )
        return FoundOptions(options, donor, victim)

    def _count_leftover_accelerators(self, victim: GroupPlan | None, used: int) -> int:
        if victim is None:
            return 0
        return sum(sorted(map(self._count_accelerators, victim.vms))[used:])

    def _find_donor(
        self, group: GroupPlan, shortage: int, broken: list[GroupPlan]
    ) -> GroupPlan | None:
        """Return the least costly broken group with enough usable VMs.

        It has to cost less than the group that is repaired.
        """
        for other in reversed(broken):
            if other.id == group.id:
                return None
            if self._count_usable(group, other) >= shortage:
                return other
        return None

    def _find_victim(
        self, group: GroupPlan, shortage: int, groups: tuple[GroupPlan, ...]
    ) -> GroupPlan | None:
        """Return a group beyond its model's guarantee with enough VMs."""
        candidates = [
            other
            for other in groups
            if other.stage is GroupStage.SERVING
            and other.model != group.model
            and other.model in self._index.models
            and self._serving[other.model]
            > self._index.models[other.model].guaranteed_groups
            and self._count_usable(group, other) >= shortage
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
        owners = self._index.get_owners(group.model)
        return sum(
            vm not in self._out_vms
            and not self._is_absent(vm)
            and self._index.vms[vm].owner in owners
            for vm in other.vms
        )

    def _has_room_elsewhere(self, group: GroupPlan) -> bool:
        model = self._index.models[group.model]
        if self._count_kept().get(model.name, 0) < model.wanted_groups:
            # Another group of the model is missing already and will use the
            # room.
            return False
        return any(
            self._count_room(domain, plan, group) >= len(group.vms)
            for domain, plan in self._inputs.plans.items()
            if domain != self._inputs.domain and domain in self._index.domains
        )

    def _count_room(
        self, domain: FabricDomainId, plan: DomainPlan, group: GroupPlan
    ) -> int:
        """Return how many VMs a domain has for the group's successor.

        While the group's model is below its guarantee, VMs of groups beyond
        other models' guarantees count as well.
        """
        guaranteed = self._is_below_guarantee(group.model)
        staying = [
            other
            for other in plan.groups
            if counts_for_model(other)
            and not (guaranteed and self._is_beyond_guarantee(other))
        ]
        used = frozenset(vm for other in staying for vm in other.vms)
        free = self._index.count_free(domain, plan, used)
        return sum(free[owner] for owner in self._index.get_owners(group.model))

    def _is_below_guarantee(self, model: ModelName) -> bool:
        return self._serving[model] < self._index.models[model].guaranteed_groups

    def _is_beyond_guarantee(self, group: GroupPlan) -> bool:
        model = self._index.models.get(group.model)
        return model is None or self._serving[model.name] > model.guaranteed_groups

    def _count_freed(self, group: GroupPlan) -> tuple[int, int]:
        """Count the groups that other models could form of the healthy VMs.

        Returns:
            The largest number of groups of one model, and the number of
            accelerators that they use.
        """
        if self._is_below_guarantee(group.model):
            return 0, 0
        kept_counts = self._count_kept()
        best = (0, 0)
        for model in self._index.configuration.rules.models:
            shortage = model.wanted_groups - kept_counts.get(model.name, 0)
            if model.name == group.model or shortage <= 0:
                continue
            owners = self._index.get_owners(model.name)
            usable = [
                vm
                for vm in group.vms
                if not self._is_absent(vm)
                and vm not in self._out_vms
                and self._index.vms[vm].owner in owners
            ]
            count = min(shortage, len(usable) // model.vms_per_group)
            used = usable[: count * model.vms_per_group]
            best = max(best, (count, sum(map(self._count_accelerators, used))))
        return best

    def _count_kept(self) -> dict[ModelName, int]:
        kept_counts: dict[ModelName, int] = {}
        for plan in self._inputs.plans.values():
            for group in plan.groups:
                if counts_for_model(group):
                    kept_counts[group.model] = kept_counts.get(group.model, 0) + 1
        return kept_counts

    def _count_accelerators(self, vm: VmId) -> int:
        known_vm = self._index.vms.get(vm)
        return known_vm.accelerators if known_vm else 0

    def _is_absent(self, vm: VmId) -> bool:
        return self._inputs.get_view(vm).condition is VmCondition.ABSENT
