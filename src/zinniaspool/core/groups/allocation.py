"""Allocation of replica groups to fabric domains over the whole fleet.

Every control process computes the allocation from the accepted configuration
and the stored plans of all domains, and changes only the plans of the domains
that it holds. The computation is deterministic, so processes that see the
same plans agree on each domain's part without a message between them.
Processes that see different plans for a moment may form one group too many;
the same computation then finds the same surplus group on every process, so
only the holder of that group's domain drains it.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from zinniaspool.core.deployment import ModelRule
from zinniaspool.core.groups.index import FleetIndex
from zinniaspool.core.ids import (
    CustomerId,
    FabricDomainId,
    FailureDomainId,
    GroupId,
    ModelName,
    VmId,
)
from zinniaspool.core.plans import DomainPlan, DrainCause, GroupPlan, GroupStage

__all__ = [
    "Allocation",
    "Placement",
    "Shortfall",
    "ShortfallKind",
    "Withdrawal",
    "allocate_fleet",
    "counts_for_model",
]

_COUNTING_CAUSES = (None, DrainCause.ROLLOUT, DrainCause.REPLACE)
"""A group that is drained for another cause no longer counts for its model."""
_MIN_IMBALANCE = 2
"""Difference in groups between two failure domains that justifies forming a
group in the emptier one."""


@dataclass(frozen=True, slots=True)
class Placement:
    """A group to form.

    Attributes:
        model: The model that the group runs.
        domain: The fabric domain that the group is formed in.
        vms_by_owner: How many VMs of each owner it uses.
        reason: Explanation for operators.
    """

    model: ModelName
    domain: FabricDomainId
    vms_by_owner: tuple[tuple[CustomerId, int], ...]
    reason: str


@dataclass(frozen=True, slots=True)
class Withdrawal:
    """A group to drain."""

    group: GroupId
    domain: FabricDomainId
    cause: DrainCause
    reason: str


class ShortfallKind(Enum):
    """The requirement of a model that the fleet can't meet."""

    GUARANTEE = "guarantee"
    """The model has fewer groups than it is guaranteed."""

    SPREAD = "spread"
    """The loss of one failure domain would leave the model fewer groups than
    it is guaranteed."""

    ROLLOUT = "rollout"
    """The model's new version cannot be loaded without breaking its
    guarantee."""

    WANTED = "wanted"
    """The model has its guaranteed groups, but fewer than it wants."""


@dataclass(frozen=True, slots=True)
class Shortfall:
    """A requirement of a model that the fleet has no room for."""

    model: ModelName
    kind: ShortfallKind
    reason: str


@dataclass(frozen=True, slots=True)
class Allocation:
    """The changes that the whole fleet needs.

    Attributes:
        placements: Groups to form, the most urgent first.
        withdrawals: Groups to drain.
        shortfalls: Requirements that the fleet has no room for.
        candidates_checked: How many VMs, domains and groups the computation
            examined; a measure of its cost.
    """

    placements: tuple[Placement, ...]
    withdrawals: tuple[Withdrawal, ...]
    shortfalls: tuple[Shortfall, ...]
    candidates_checked: int


def counts_for_model(group: GroupPlan) -> bool:
    """Whether a group counts for its model, now or after a planned change."""
    return group.stage is not GroupStage.RELEASING and group.cause in _COUNTING_CAUSES


def allocate_fleet(
    index: FleetIndex, plans: Mapping[FabricDomainId, DomainPlan]
) -> Allocation:
    """Return the groups to form and to drain, over all domains.

    Guaranteed groups are placed first, and may use VMs of groups beyond
    another model's guarantee. The remaining VMs are shared by the models'
    weights. Existing groups stay in their domains.

    Args:
        index: The indexed configuration.
        plans: The newest known plan of each domain; a domain without one
            has no groups.
    """
    spreading = _run_allocator(index, plans, spreading=True)
    if spreading.missing_groups == (0, 0):
        return spreading.build_allocation()
    # Spreading groups over the domains can leave remainders that are each
    # too small for a group; tight packing may find room for all groups.
    packing = _run_allocator(index, plans, spreading=False)
    best = min(spreading, packing, key=lambda allocator: allocator.missing_groups)
    return best.build_allocation()


def _run_allocator(
    index: FleetIndex, plans: Mapping[FabricDomainId, DomainPlan], *, spreading: bool
) -> "_Allocator":
    allocator = _Allocator(index, plans, spreading)
    allocator.fill_guarantees()
    allocator.fill_wanted()
    allocator.make_room_for_rollout()
    allocator.rebalance()
    allocator.drain_surplus()
    return allocator


class _Allocator:
    """One computation over the fleet; counts VMs by owner, not singly.

    Args:
        index: The indexed configuration.
        plans: The newest known plan of each domain.
        spreading: Whether groups are spread over the failure domains
            instead of packed tightly.
    """

    def __init__(
        self,
        index: FleetIndex,
        plans: Mapping[FabricDomainId, DomainPlan],
        spreading: bool,
    ) -> None:
        self._index = index
        self._spreading = spreading
        self._free_vms: dict[FabricDomainId, Counter[CustomerId]] = {}
        self._kept_groups: dict[FabricDomainId, list[GroupPlan]] = {}
        self._out_vms: set[VmId] = set()
        self._group_counts: Counter[ModelName] = Counter()
        self._spread_counts: Counter[tuple[ModelName, FailureDomainId]] = Counter()
        self._placements: list[Placement] = []
        self._withdrawals: list[Withdrawal] = []
        self._shortfalls: list[Shortfall] = []
        self._candidates_checked = 0
        for domain in index.domains:
            self._add_domain(domain, plans.get(domain, DomainPlan(domain)))

    def _add_domain(self, domain: FabricDomainId, plan: DomainPlan) -> None:
        kept = [
            group
            for group in plan.groups
            if counts_for_model(group) and self._index.allows(group, domain)
        ]
        used = frozenset(vm for group in kept for vm in group.vms)
        self._kept_groups[domain] = kept
        self._out_vms.update(out.vm for out in plan.out)
        self._free_vms[domain] = self._index.count_free(domain, plan, used)
        self._candidates_checked += len(self._index.domains[domain])
        for group in kept:
            self._change_count(group.model, domain, 1)

    @property
    def missing_groups(self) -> tuple[int, int]:
        """How many guaranteed and how many wanted groups are not placed."""
        counts = [
            (model, self._group_counts[model.name]) for model in self._list_models()
        ]
        return (
            sum(max(0, model.guaranteed_groups - count) for model, count in counts),
            sum(max(0, model.wanted_groups - count) for model, count in counts),
        )

    def build_allocation(self) -> Allocation:
        """Return the placements, withdrawals and shortfalls found so far."""
        self._find_spread_shortfalls()
        return Allocation(
            tuple(self._placements),
            tuple(self._withdrawals),
            tuple(self._shortfalls),
            self._candidates_checked,
        )

    def fill_guarantees(self) -> None:
        """Place the guaranteed groups, those of the most VMs first."""
        for model in sorted(self._list_models(), key=self._rank_by_difficulty):
            while self._group_counts[model.name] < model.guaranteed_groups:
                reason = (
                    f"guaranteed {model.guaranteed_groups} groups,"
                    f" has {self._group_counts[model.name]}"
                )
                if self._place(model, reason):
                    continue
                if not self._drain_for(model):
                    self._shortfalls.append(
                        Shortfall(
                            model.name,
                            ShortfallKind.GUARANTEE,
                            f"{reason}; no fabric domain has"
                            f" {model.vms_per_group} usable VMs",
                        )
                    )
                    break

    def fill_wanted(self) -> None:
        """Share the remaining VMs between the models by weight."""
        open_models = [
            model
            for model in self._list_models()
            if model.guaranteed_groups
            <= self._group_counts[model.name]
            < model.wanted_groups
        ]
        while open_models:
            model = min(open_models, key=self._rank_share)
            reason = (
                f"wants {model.wanted_groups} groups,"
                f" has {self._group_counts[model.name]}"
            )
            if not self._place(model, reason):
                self._shortfalls.append(
                    Shortfall(model.name, ShortfallKind.WANTED, reason)
                )
                open_models.remove(model)
            elif self._group_counts[model.name] >= model.wanted_groups:
                open_models.remove(model)

    def rebalance(self) -> None:
        """Spread the groups of models that depend on one failure domain.

        Where the loss of the fullest failure domain would break a guarantee,
        a group is formed in an emptier failure domain first. The group that
        this makes superfluous is drained as surplus once the new one serves,
        so the number of serving groups never falls. Rebalancing requires a
        difference of two groups and leaves at most one, so it terminates.
        """
        for model in self._list_models():
            if not model.guaranteed_groups:
                continue
            if self._group_counts[model.name] != model.wanted_groups:
                continue
            fullest, largest = self._find_fullest(model)
            if self._group_counts[model.name] - largest >= model.guaranteed_groups:
                continue
            self._place(
                model,
                f"{largest} of {self._group_counts[model.name]} groups are in failure"
                f" domain {fullest}",
                largest - _MIN_IMBALANCE,
            )

    def make_room_for_rollout(self) -> None:
        """Form a group of the new version where no group can be spared.

        A model with only its guaranteed groups would fall below its
        guarantee while one of them loads the new version. A group of the new
        version is therefore formed first, and the old group that it replaces
        is drained as surplus once the new one serves.
        """
        for model in self._list_models():
            if model.wanted_groups > model.guaranteed_groups:
                continue
            if self._group_counts[model.name] != model.wanted_groups:
                continue
            outdated = self._count_outdated(model)
            if not outdated:
                continue
            reason = f"{outdated} groups are to load version {model.version}"
            if not self._place(model, reason):
                self._shortfalls.append(
                    Shortfall(
                        model.name,
                        ShortfallKind.ROLLOUT,
                        f"{reason}; without room for one more group that would"
                        " break the guarantee",
                    )
                )

    def _count_outdated(self, model: ModelRule) -> int:
        return sum(
            group.model == model.name and group.version != model.version
            for groups in self._kept_groups.values()
            for group in groups
        )

    def drain_surplus(self) -> None:
        """Drain groups beyond the wanted number.

        Groups of an outdated version are drained first, then those in the
        fullest failure domain, then the newest.
        """
        for model in self._list_models():
            existing_groups = self._group_counts[model.name] - sum(
                placement.model == model.name for placement in self._placements
            )
            for _ in range(existing_groups - model.wanted_groups):
                domain, group = self._find_most_superfluous(model)
                self._withdraw(
                    domain,
                    group,
                    DrainCause.SURPLUS,
                    f"{model.wanted_groups} groups wanted,"
                    f" {self._group_counts[model.name]} exist",
                )

    def _find_most_superfluous(
        self, model: ModelRule
    ) -> tuple[FabricDomainId, GroupPlan]:
        existing_groups = [
            (domain, group)
            for domain, groups in self._kept_groups.items()
            for group in groups
            if group.model == model.name
        ]
        return max(
            existing_groups,
            key=lambda pair: (
                pair[1].version != model.version,
                self._spread_counts[model.name, self._index.failure_domains[pair[0]]],
                pair[1].epoch,
                pair[1].id,
            ),
        )

    def _place(
        self, model: ModelRule, reason: str, max_in_failure_domain: int | None = None
    ) -> bool:
        """Place a group of a model; return whether a domain has room for it.

        Args:
            model: The model.
            reason: Explanation for operators.
            max_in_failure_domain: Largest number of the model's groups that
                the failure domain may have already, or None for any number.
        """
        owners = self._index.get_owners(model.name)
        best: tuple[int, int, FabricDomainId] | None = None
        for domain, free in self._free_vms.items():
            self._candidates_checked += 1
            usable = sum(free[owner] for owner in owners)
            in_failure_domain = self._spread_counts[
                model.name, self._index.failure_domains[domain]
            ]
            if usable < model.vms_per_group:
                continue
            if (
                max_in_failure_domain is not None
                and in_failure_domain > max_in_failure_domain
            ):
                continue
            # Of domains that are equal for the spread, a guaranteed group
            # uses the one with the fewest free VMs, which keeps large
            # remainders for other guarantees; any other group uses the one
            # with the most, which leaves each domain spares.
            tight = self._group_counts[model.name] < model.guaranteed_groups
            fit = usable if tight or not self._spreading else -usable
            key = (in_failure_domain if self._spreading else 0, fit, domain)
            if best is None or key < best:
                best = key
        if best is None:
            return False
        domain = best[2]
        claimed = self._claim_vms(domain, owners, model.vms_per_group)
        self._placements.append(Placement(model.name, domain, claimed, reason))
        self._change_count(model.name, domain, 1)
        return True

    def _claim_vms(
        self, domain: FabricDomainId, owners: frozenset[CustomerId], size: int
    ) -> tuple[tuple[CustomerId, int], ...]:
        """Claim the VMs that the fewest other models could use."""
        free = self._free_vms[domain]
        claimed = []
        for owner in sorted(
            owners, key=lambda name: (self._index.model_counts_by_owner[name], name)
        ):
            count = min(size, free[owner])
            if not count:
                continue
            free[owner] -= count
            size -= count
            claimed.append((owner, count))
        return tuple(claimed)

    def _drain_for(self, model: ModelRule) -> bool:
        """Drain the fewest groups beyond other models' guarantees.

        Returns:
            Whether a domain has enough such groups to make room.
        """
        best: list[GroupPlan] | None = None
        best_domain = FabricDomainId("")
        for domain in self._free_vms:
            victims = self._find_victims(model, domain)
            if victims and (best is None or len(victims) < len(best)):
                best, best_domain = victims, domain
        if best is None:
            return False
        for group in best:
            self._withdraw(
                best_domain,
                group,
                DrainCause.REASSIGNED,
                "another model lacks a guaranteed group",
            )
        return True

    def _find_victims(
        self, model: ModelRule, domain: FabricDomainId
    ) -> list[GroupPlan]:
        owners = self._index.get_owners(model.name)
        usable = sum(self._free_vms[domain][owner] for owner in owners)
        above_guarantee = Counter(
            {
                other.name: self._group_counts[other.name] - other.guaranteed_groups
                for other in self._list_models()
            }
        )
        victims = []
        for group in sorted(self._kept_groups[domain], key=self._rank_victim):
            self._candidates_checked += 1
            gained_vms = sum(
                vm not in self._out_vms and self._index.vms[vm].owner in owners
                for vm in group.vms
            )
            if (
                above_guarantee[group.model] <= 0
                or not gained_vms
                or group.model == model.name
            ):
                continue
            above_guarantee[group.model] -= 1
            victims.append(group)
            usable += gained_vms
            if usable >= model.vms_per_group:
                return victims
        return []

    def _withdraw(
        self, domain: FabricDomainId, group: GroupPlan, cause: DrainCause, reason: str
    ) -> None:
        self._withdrawals.append(Withdrawal(group.id, domain, cause, reason))
        self._kept_groups[domain].remove(group)
        self._change_count(group.model, domain, -1)
        self._free_vms[domain].update(
            self._index.vms[vm].owner for vm in group.vms if vm not in self._out_vms
        )

    def _find_spread_shortfalls(self) -> None:
        for model in self._list_models():
            count = self._group_counts[model.name]
            if not model.guaranteed_groups or count < model.guaranteed_groups:
                continue
            fullest, largest = self._find_fullest(model)
            if count - largest < model.guaranteed_groups:
                self._shortfalls.append(
                    Shortfall(
                        model.name,
                        ShortfallKind.SPREAD,
                        f"the loss of failure domain {fullest} leaves"
                        f" {count - largest} of {model.guaranteed_groups}"
                        " guaranteed groups",
                    )
                )

    def _find_fullest(self, model: ModelRule) -> tuple[FailureDomainId, int]:
        domains = sorted(set(self._index.failure_domains.values()))
        fullest = max(
            domains, key=lambda name: (self._spread_counts[model.name, name], name)
        )
        return fullest, self._spread_counts[model.name, fullest]

    def _change_count(
        self, model: ModelName, domain: FabricDomainId, change: int
    ) -> None:
        self._group_counts[model] += change
        self._spread_counts[model, self._index.failure_domains[domain]] += change

    def _list_models(self) -> tuple[ModelRule, ...]:
        return self._index.configuration.rules.models

    def _rank_by_difficulty(self, model: ModelRule) -> tuple[int, int, ModelName]:
        return (-model.vms_per_group, -model.weight, model.name)

    def _rank_share(self, model: ModelRule) -> tuple[float, ModelName]:
        above_guarantee = self._group_counts[model.name] - model.guaranteed_groups
        return ((above_guarantee + 1) / model.weight, model.name)

    def _rank_victim(self, group: GroupPlan) -> tuple[int, int, GroupId]:
        return (self._index.models[group.model].weight, -group.epoch, group.id)
