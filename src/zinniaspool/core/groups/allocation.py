"""Which groups each fabric domain should have, over the whole fleet.

Every control process works this out for itself from the accepted
configuration and the plans of all domains as the store has them, and changes
only the plans of the domains that it holds. The steps are deterministic, so
processes that see the same plans agree on each domain's share without asking
each other. Processes that see different plans for a moment may form one group
too many; the surplus is found by the same steps on every process, names one
group, and so is taken back by one holder alone.
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
    "is_kept",
]

_KEPT_CAUSES = (None, DrainCause.ROLLOUT, DrainCause.REPLACE)
_UNEVEN = 2
"""A difference in groups between failure domains that is worth a move."""


@dataclass(frozen=True, slots=True)
class Placement:
    """A group to form.

    Attributes:
        model: What it runs.
        domain: Where.
        owners: How many VMs of each owner it takes.
        reason: For a person.
    """

    model: ModelName
    domain: FabricDomainId
    owners: tuple[tuple[CustomerId, int], ...]
    reason: str


@dataclass(frozen=True, slots=True)
class Withdrawal:
    """A group to drain."""

    group: GroupId
    domain: FabricDomainId
    cause: DrainCause
    reason: str


class ShortfallKind(Enum):
    """What a model lacks."""

    GUARANTEE = "guarantee"
    """It has fewer groups than it is guaranteed."""

    SPREAD = "spread"
    """The loss of one failure domain would take it below its guarantee."""

    ROLLOUT = "rollout"
    """Its new version cannot be loaded without breaking its guarantee."""

    WANTED = "wanted"
    """It has its guarantee and fewer groups than it could use."""


@dataclass(frozen=True, slots=True)
class Shortfall:
    """Something that the fleet has no room for."""

    model: ModelName
    kind: ShortfallKind
    reason: str


@dataclass(frozen=True, slots=True)
class Allocation:
    """What has to change over the fleet.

    Attributes:
        placements: Groups to form, the most urgent first.
        withdrawals: Groups to drain.
        shortfalls: What there is no room for.
        steps: Candidates looked at, to keep the cost honest.
    """

    placements: tuple[Placement, ...]
    withdrawals: tuple[Withdrawal, ...]
    shortfalls: tuple[Shortfall, ...]
    steps: int


def is_kept(group: GroupPlan) -> bool:
    """Whether a group counts as its model's, now or after its change."""
    return group.stage is not GroupStage.RELEASING and group.cause in _KEPT_CAUSES


def allocate_fleet(
    index: FleetIndex, plans: Mapping[FabricDomainId, DomainPlan]
) -> Allocation:
    """Return the groups to form and to drain, over all domains.

    Guarantees come first, and may take VMs from groups that their models
    are not guaranteed; the rest goes by weight. Groups that stand stay where
    they are.

    Args:
        index: The configuration.
        plans: The newest plan known of each domain; absent ones are empty.
    """
    spread = _fill(index, plans, spreading=True)
    if spread.lacking == (0, 0):
        return spread.result()
    # Spreading can leave holes that are each too small for a group; packing
    # tightly may find the room.
    packed = _fill(index, plans, spreading=False)
    best = min(spread, packed, key=lambda work: work.lacking)
    return best.result()


def _fill(
    index: FleetIndex, plans: Mapping[FabricDomainId, DomainPlan], *, spreading: bool
) -> "_Work":
    work = _Work(index, plans, spreading)
    work.fill_guarantees()
    work.fill_wanted()
    work.make_room_for_rollout()
    work.even_out()
    work.find_surplus()
    return work


class _Work:
    """One run over the fleet; counts by owner instead of single VMs."""

    def __init__(
        self,
        index: FleetIndex,
        plans: Mapping[FabricDomainId, DomainPlan],
        spreading: bool,
    ) -> None:
        self._index = index
        self._spreading = spreading
        self._free: dict[FabricDomainId, Counter[CustomerId]] = {}
        self._kept: dict[FabricDomainId, list[GroupPlan]] = {}
        self._out: set[VmId] = set()
        self._have: Counter[ModelName] = Counter()
        self._spread: Counter[tuple[ModelName, FailureDomainId]] = Counter()
        self._placements: list[Placement] = []
        self._withdrawals: list[Withdrawal] = []
        self._shortfalls: list[Shortfall] = []
        self._steps = 0
        for domain in index.domains:
            self._read_domain(domain, plans.get(domain, DomainPlan(domain)))

    def _read_domain(self, domain: FabricDomainId, plan: DomainPlan) -> None:
        kept = [
            group
            for group in plan.groups
            if is_kept(group) and self._index.allows(group, domain)
        ]
        taken = frozenset(vm for group in kept for vm in group.vms)
        self._kept[domain] = kept
        self._out.update(out.vm for out in plan.out)
        self._free[domain] = self._index.count_free(domain, plan, taken)
        self._steps += len(self._index.domains[domain])
        for group in kept:
            self._count(group.model, domain, 1)

    @property
    def lacking(self) -> tuple[int, int]:
        """How many guaranteed and wanted groups there is no room for."""
        have = [(model, self._have[model.name]) for model in self._models()]
        return (
            sum(max(0, model.guaranteed_groups - count) for model, count in have),
            sum(max(0, model.wanted_groups - count) for model, count in have),
        )

    def result(self) -> Allocation:
        """Return what was found."""
        self._find_spread_shortfalls()
        return Allocation(
            tuple(self._placements),
            tuple(self._withdrawals),
            tuple(self._shortfalls),
            self._steps,
        )

    def fill_guarantees(self) -> None:
        """Place guaranteed groups, the hardest to place first."""
        for model in sorted(self._models(), key=self._rank_hardest):
            while self._have[model.name] < model.guaranteed_groups:
                reason = (
                    f"guaranteed {model.guaranteed_groups} groups,"
                    f" has {self._have[model.name]}"
                )
                if self._place(model, reason):
                    continue
                if not self._take_for(model):
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
        """Share what is left by weight."""
        open_models = [
            model
            for model in self._models()
            if model.guaranteed_groups <= self._have[model.name] < model.wanted_groups
        ]
        while open_models:
            model = min(open_models, key=self._rank_share)
            reason = f"wants {model.wanted_groups} groups, has {self._have[model.name]}"
            if not self._place(model, reason):
                self._shortfalls.append(
                    Shortfall(model.name, ShortfallKind.WANTED, reason)
                )
                open_models.remove(model)
            elif self._have[model.name] >= model.wanted_groups:
                open_models.remove(model)

    def even_out(self) -> None:
        """Form a group elsewhere first where a model leans on one domain.

        The group that it makes superfluous is drained as surplus once the
        new one serves, so the move costs no group. A difference of two makes
        it worthwhile and leaves at most one, so it ends.
        """
        for model in self._models():
            if not model.guaranteed_groups:
                continue
            if self._have[model.name] != model.wanted_groups:
                continue
            most, largest = self._find_fullest(model)
            if self._have[model.name] - largest >= model.guaranteed_groups:
                continue
            self._place(
                model,
                f"{largest} of {self._have[model.name]} groups are in failure"
                f" domain {most}",
                largest - _UNEVEN,
            )

    def make_room_for_rollout(self) -> None:
        """Form a group of the new version first where none can be spared.

        A model that has no more groups than its guarantee would fall below
        it while one of them loads the new version. The old group that the
        new one replaces is drained as surplus once the new one serves.
        """
        for model in self._models():
            if model.wanted_groups > model.guaranteed_groups:
                continue
            if self._have[model.name] != model.wanted_groups:
                continue
            old = self._count_old(model)
            if not old:
                continue
            reason = f"{old} groups are to load version {model.version}"
            if not self._place(model, reason):
                self._shortfalls.append(
                    Shortfall(
                        model.name,
                        ShortfallKind.ROLLOUT,
                        f"{reason}; without room for one more group that would"
                        " break the guarantee",
                    )
                )

    def _count_old(self, model: ModelRule) -> int:
        return sum(
            group.model == model.name and group.version != model.version
            for groups in self._kept.values()
            for group in groups
        )

    def find_surplus(self) -> None:
        """Drain groups beyond what is wanted: the fullest domain's newest."""
        for model in self._models():
            standing = self._have[model.name] - sum(
                placement.model == model.name for placement in self._placements
            )
            for _ in range(standing - model.wanted_groups):
                domain, group = self._find_newest(model)
                self._withdraw(
                    domain,
                    group,
                    DrainCause.SURPLUS,
                    f"{model.wanted_groups} groups wanted,"
                    f" {self._have[model.name]} there",
                )

    def _find_newest(self, model: ModelRule) -> tuple[FabricDomainId, GroupPlan]:
        standing = [
            (domain, group)
            for domain, groups in self._kept.items()
            for group in groups
            if group.model == model.name
        ]
        return max(
            standing,
            key=lambda pair: (
                pair[1].version != model.version,
                self._spread[model.name, self._index.failure_domains[pair[0]]],
                pair[1].epoch,
                pair[1].id,
            ),
        )

    def _place(
        self, model: ModelRule, reason: str, most_near: int | None = None
    ) -> bool:
        """Place a group, in a failure domain with at most ``most_near``."""
        owners = self._index.owners(model.name)
        best: tuple[int, int, FabricDomainId] | None = None
        for domain, free in self._free.items():
            self._steps += 1
            usable = sum(free[owner] for owner in owners)
            near = self._spread[model.name, self._index.failure_domains[domain]]
            if usable < model.vms_per_group:
                continue
            if most_near is not None and near > most_near:
                continue
            # Of domains that are equally good for the spread, a guaranteed
            # group takes the fullest, which leaves large holes for other
            # guarantees; any other takes the emptiest, which leaves each
            # domain some spares.
            tight = self._have[model.name] < model.guaranteed_groups
            fit = usable if tight or not self._spreading else -usable
            key = (near if self._spreading else 0, fit, domain)
            if best is None or key < best:
                best = key
        if best is None:
            return False
        domain = best[2]
        taken = self._take_owners(domain, owners, model.vms_per_group)
        self._placements.append(Placement(model.name, domain, taken, reason))
        self._count(model.name, domain, 1)
        return True

    def _take_owners(
        self, domain: FabricDomainId, owners: frozenset[CustomerId], size: int
    ) -> tuple[tuple[CustomerId, int], ...]:
        """Take VMs that the fewest models could use instead."""
        free = self._free[domain]
        taken = []
        for owner in sorted(owners, key=lambda name: (self._index.demand[name], name)):
            count = min(size, free[owner])
            if not count:
                continue
            free[owner] -= count
            size -= count
            taken.append((owner, count))
        return tuple(taken)

    def _take_for(self, model: ModelRule) -> bool:
        """Drain the fewest groups that are nobody's guarantee."""
        best: list[GroupPlan] | None = None
        where = FabricDomainId("")
        for domain in self._free:
            victims = self._find_victims(model, domain)
            if victims and (best is None or len(victims) < len(best)):
                best, where = victims, domain
        if best is None:
            return False
        for group in best:
            self._withdraw(
                where,
                group,
                DrainCause.REASSIGNED,
                "another model lacks a guaranteed group",
            )
        return True

    def _find_victims(
        self, model: ModelRule, domain: FabricDomainId
    ) -> list[GroupPlan]:
        owners = self._index.owners(model.name)
        usable = sum(self._free[domain][owner] for owner in owners)
        beyond = Counter(
            {
                other.name: self._have[other.name] - other.guaranteed_groups
                for other in self._models()
            }
        )
        victims = []
        for group in sorted(self._kept[domain], key=self._rank_victim):
            self._steps += 1
            gained = sum(
                vm not in self._out and self._index.vms[vm].owner in owners
                for vm in group.vms
            )
            if beyond[group.model] <= 0 or not gained or group.model == model.name:
                continue
            beyond[group.model] -= 1
            victims.append(group)
            usable += gained
            if usable >= model.vms_per_group:
                return victims
        return []

    def _withdraw(
        self, domain: FabricDomainId, group: GroupPlan, cause: DrainCause, reason: str
    ) -> None:
        self._withdrawals.append(Withdrawal(group.id, domain, cause, reason))
        self._kept[domain].remove(group)
        self._count(group.model, domain, -1)
        self._free[domain].update(
            self._index.vms[vm].owner for vm in group.vms if vm not in self._out
        )

    def _find_spread_shortfalls(self) -> None:
        for model in self._models():
            have = self._have[model.name]
            if not model.guaranteed_groups or have < model.guaranteed_groups:
                continue
            most, largest = self._find_fullest(model)
            if have - largest < model.guaranteed_groups:
                self._shortfalls.append(
                    Shortfall(
                        model.name,
                        ShortfallKind.SPREAD,
                        f"the loss of failure domain {most} leaves"
                        f" {have - largest} of {model.guaranteed_groups}"
                        " guaranteed groups",
                    )
                )

    def _find_fullest(self, model: ModelRule) -> tuple[FailureDomainId, int]:
        domains = sorted(set(self._index.failure_domains.values()))
        fullest = max(domains, key=lambda name: (self._spread[model.name, name], name))
        return fullest, self._spread[model.name, fullest]

    def _count(self, model: ModelName, domain: FabricDomainId, change: int) -> None:
        self._have[model] += change
        self._spread[model, self._index.failure_domains[domain]] += change

    def _models(self) -> tuple[ModelRule, ...]:
        return self._index.configuration.rules.models

    def _rank_hardest(self, model: ModelRule) -> tuple[int, int, ModelName]:
        return (-model.vms_per_group, -model.weight, model.name)

    def _rank_share(self, model: ModelRule) -> tuple[float, ModelName]:
        beyond = self._have[model.name] - model.guaranteed_groups
        return ((beyond + 1) / model.weight, model.name)

    def _rank_victim(self, group: GroupPlan) -> tuple[int, int, GroupId]:
        return (self._index.models[group.model].weight, -group.epoch, group.id)
