"""Planned drains: for rollouts, and for VMs that leave or are slow.

The groups of one model are drained one at a time over the whole fleet. Every
process finds the same next group from the stored plans, so that two holders
do not each drain a group of the same model at the same time.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from zinniaspool.core.deployment import ModelRule
from zinniaspool.core.groups.allocation import counts_for_model
from zinniaspool.core.groups.inputs import DomainInput, count_serving
from zinniaspool.core.ids import FabricDomainId
from zinniaspool.core.plans import (
    DomainPlan,
    DrainCause,
    ExclusionReason,
    GroupPlan,
    GroupStage,
)

__all__ = ["PlannedDrain", "find_planned_drain"]


@dataclass(frozen=True, slots=True)
class PlannedDrain:
    """A group to drain so that it can be changed.

    Attributes:
        group: The group.
        cause: The cause, which decides what follows the drain.
        reason: Explanation for operators.
    """

    group: GroupPlan
    cause: DrainCause
    reason: str


def find_planned_drain(
    inputs: DomainInput, plans: Mapping[FabricDomainId, DomainPlan]
) -> PlannedDrain | None:
    """Return the drain that this domain's holder has to start now, if any.

    Args:
        inputs: The inputs of planning the domain.
        plans: All domains' plans, including the changes of this planning
            pass so far.
    """
    leaving = _find_leaving(inputs, plans)
    if leaving is not None:
        return leaving
    for model in inputs.index.configuration.rules.models:
        if model.name in inputs.peaks:
            continue
        drain = _find_next_drain(inputs, plans, model)
        if drain is not None:
            return drain
    return None


def _find_leaving(
    inputs: DomainInput, plans: Mapping[FabricDomainId, DomainPlan]
) -> PlannedDrain | None:
    """Return a group with a leaving VM.

    It is drained out of turn, since the VM stops soon in any case.
    """
    plan = plans[inputs.domain]
    leaving = {out.vm for out in plan.out if out.reason is ExclusionReason.LEAVING}
    for group in plan.groups:
        affected = [vm for vm in group.vms if vm in leaving]
        if group.stage is GroupStage.SERVING and affected:
            return PlannedDrain(
                group, DrainCause.REPLACE, f"{','.join(affected)} leaves"
            )
    return None


def _find_next_drain(
    inputs: DomainInput,
    plans: Mapping[FabricDomainId, DomainPlan],
    model: ModelRule,
) -> PlannedDrain | None:
    groups = [
        (domain, group)
        for domain in sorted(plans)
        for group in plans[domain].groups
        if group.model == model.name and counts_for_model(group)
    ]
    if _has_failed_rollout(inputs, model, [group for _, group in groups]):
        return None
    serving = count_serving(plans, inputs.announced_ready)[model.name]
    for domain, group in groups:
        drain = _find_cause(inputs, plans[domain], domain, model, group)
        if drain is None:
            continue
        if domain != inputs.domain:
            return None
        remaining = serving - (group.id in inputs.announced_ready)
        return drain if remaining >= model.guaranteed_groups else None
    return None


def _has_failed_rollout(
    inputs: DomainInput, model: ModelRule, groups: list[GroupPlan]
) -> bool:
    """Whether a group of the new version does not serve yet.

    Without this check a version that fails to load would be rolled out to
    one group after the other. Serving groups of the old version stay until
    the operators change the configuration again.
    """
    if all(group.version == model.version for group in groups):
        return False
    return any(
        group.version == model.version and group.id not in inputs.ready
        for group in groups
    )


def _find_cause(
    inputs: DomainInput,
    plan: DomainPlan,
    domain: FabricDomainId,
    model: ModelRule,
    group: GroupPlan,
) -> PlannedDrain | None:
    # Where no serving group can be spared, allocation forms a group of the
    # new version first and drains the old one as surplus.
    can_spare = model.guaranteed_groups < model.wanted_groups
    if group.version != model.version and (can_spare or group.id not in inputs.ready):
        reason = f"version {group.version} becomes {model.version}"
        return PlannedDrain(group, DrainCause.ROLLOUT, reason)
    slow = {out.vm for out in plan.out if out.reason is ExclusionReason.STRAGGLING}
    affected = [vm for vm in group.vms if vm in slow]
    if not affected:
        return None
    used = frozenset(
        vm for other in plan.groups if counts_for_model(other) for vm in other.vms
    )
    free = inputs.index.count_free(domain, plan, used)
    usable = sum(free[owner] for owner in inputs.index.get_owners(model.name))
    if usable < len(affected):
        # Without a replacement, a slow group is better than none.
        return None
    return PlannedDrain(group, DrainCause.REPLACE, f"{','.join(affected)} is slow")
