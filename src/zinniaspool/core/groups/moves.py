"""Planned moves: rollouts, and VMs that leave or fall behind.

Moves of one model take turns over the whole fleet. Every process finds the
same next one from the stored plans, so that two holders do not each take a
group of the same model out at once.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from zinniaspool.core.deployment import ModelRule
from zinniaspool.core.groups.allocation import is_kept
from zinniaspool.core.groups.inputs import DomainInput, count_serving
from zinniaspool.core.ids import FabricDomainId
from zinniaspool.core.plans import (
    DomainPlan,
    DrainCause,
    ExclusionReason,
    GroupPlan,
    GroupStage,
)

__all__ = ["PlannedMove", "find_move"]


@dataclass(frozen=True, slots=True)
class PlannedMove:
    """A group to drain so that it can be changed."""

    group: GroupPlan
    cause: DrainCause
    reason: str


def find_move(
    given: DomainInput, plans: Mapping[FabricDomainId, DomainPlan]
) -> PlannedMove | None:
    """Return the move that is this domain's to make now.

    Args:
        given: What the domain's plan depends on.
        plans: All domains' plans, with this step's changes.
    """
    leaving = _find_leaving(given, plans)
    if leaving is not None:
        return leaving
    for model in given.index.configuration.rules.models:
        if model.name in given.peaks:
            continue
        move = _find_turn(given, plans, model)
        if move is not None:
            return move
    return None


def _find_leaving(
    given: DomainInput, plans: Mapping[FabricDomainId, DomainPlan]
) -> PlannedMove | None:
    """Return a group whose VM leaves: it stops soon, out of turn or not."""
    plan = plans[given.domain]
    leaving = {out.vm for out in plan.out if out.reason is ExclusionReason.LEAVING}
    for group in plan.groups:
        gone = [vm for vm in group.vms if vm in leaving]
        if group.stage is GroupStage.SERVING and gone:
            return PlannedMove(group, DrainCause.REPLACE, f"{','.join(gone)} leaves")
    return None


def _find_turn(
    given: DomainInput,
    plans: Mapping[FabricDomainId, DomainPlan],
    model: ModelRule,
) -> PlannedMove | None:
    groups = [
        (domain, group)
        for domain in sorted(plans)
        for group in plans[domain].groups
        if group.model == model.name and is_kept(group)
    ]
    if _has_failed_rollout(given, model, [group for _, group in groups]):
        return None
    serving = count_serving(plans, given.relied_on)[model.name]
    for domain, group in groups:
        move = _find_cause(given, plans[domain], domain, model, group)
        if move is None:
            continue
        if domain != given.domain:
            return None
        left = serving - (group.id in given.relied_on)
        return move if left >= model.guaranteed_groups else None
    return None


def _has_failed_rollout(
    given: DomainInput, model: ModelRule, groups: list[GroupPlan]
) -> bool:
    """Whether a group of the new version does not serve.

    A version that fails to load would otherwise be rolled out to every group
    in turn. Serving groups of the old version stay until the operators
    accept another change.
    """
    if all(group.version == model.version for group in groups):
        return False
    return any(
        group.version == model.version and group.id not in given.ready
        for group in groups
    )


def _find_cause(
    given: DomainInput,
    plan: DomainPlan,
    domain: FabricDomainId,
    model: ModelRule,
    group: GroupPlan,
) -> PlannedMove | None:
    # Where no group can be spared, a new one is formed first and the old one
    # drained as surplus.
    spared = model.guaranteed_groups < model.wanted_groups
    if group.version != model.version and (spared or group.id not in given.ready):
        reason = f"version {group.version} becomes {model.version}"
        return PlannedMove(group, DrainCause.ROLLOUT, reason)
    slow = {out.vm for out in plan.out if out.reason is ExclusionReason.STRAGGLING}
    gone = [vm for vm in group.vms if vm in slow]
    if not gone:
        return None
    taken = frozenset(vm for other in plan.groups if is_kept(other) for vm in other.vms)
    free = given.index.count_free(domain, plan, taken)
    usable = sum(free[owner] for owner in given.index.owners(model.name))
    if usable < len(gone):
        # A slow group is better than none.
        return None
    return PlannedMove(group, DrainCause.REPLACE, f"{','.join(gone)} is slow")
