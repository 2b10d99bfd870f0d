"""A domain's groups and VMs for operators."""

from dataclasses import dataclass, replace

from zinniaspool.core.groups.accounting import Measures
from zinniaspool.core.groups.holder import Holder
from zinniaspool.core.groups.index import FleetIndex
from zinniaspool.core.ids import (
    CustomerId,
    Epoch,
    FabricDomainId,
    GroupId,
    ModelName,
    ModelVersion,
    VmId,
)
from zinniaspool.core.plans import GroupPlan

__all__ = [
    "DomainDescription",
    "GroupDescription",
    "IdleDescription",
    "ShortfallDescription",
    "describe_groups",
    "restrict_domain",
]


@dataclass(frozen=True, slots=True)
class GroupDescription:
    """One group and whether it serves."""

    id: GroupId
    model: ModelName
    version: ModelVersion
    customers: tuple[CustomerId, ...]
    vms: tuple[VmId, ...]
    epoch: Epoch
    stage: str
    serves: bool
    absent: tuple[VmId, ...]


@dataclass(frozen=True, slots=True)
class IdleDescription:
    """A VM in no serving group and why."""

    vm: VmId
    owner: CustomerId
    reason: str


@dataclass(frozen=True, slots=True)
class ShortfallDescription:
    """What a model lacks."""

    model: ModelName
    customers: tuple[CustomerId, ...]
    kind: str
    reason: str


@dataclass(frozen=True, slots=True)
class DomainDescription:
    """One fabric domain as the describing process sees it.

    Attributes:
        domain: Which one.
        holds: Whether the process holds its lease.
        epoch: Of its plan.
        groups: Its groups.
        idle: Its VMs in no serving group.
        shortfalls: What the fleet has no room for.
        measures: Both measures since this process holds the domain.
    """

    domain: FabricDomainId
    holds: bool
    epoch: Epoch
    groups: tuple[GroupDescription, ...]
    idle: tuple[IdleDescription, ...]
    shortfalls: tuple[ShortfallDescription, ...]
    measures: Measures


def describe_groups(
    holder: Holder, index: FleetIndex | None, holds: bool, now: float
) -> DomainDescription:
    """Return what a holder or witness knows of its domain."""
    ready = holder.find_ready(now)
    views = holder.views(now)
    absent = {vm for vm, view in views.items() if not view.reports}
    shortfalls = holder.last_step.shortfalls if holder.last_step else ()
    return DomainDescription(
        holder.domain,
        holds,
        holder.plan.epoch,
        tuple(_describe(group, ready, absent) for group in holder.plan.groups),
        tuple(
            IdleDescription(
                found.vm,
                index.vms[found.vm].owner,
                found.reason.value,
            )
            for found in holder.idle
            if index is not None and found.vm in index.vms
        ),
        tuple(
            ShortfallDescription(
                shortfall.model,
                index.customers(index.models[shortfall.model]),
                shortfall.kind.value,
                shortfall.reason,
            )
            for shortfall in shortfalls
            if index is not None and shortfall.model in index.models
        ),
        holder.meter.measures,
    )


def restrict_domain(
    domain: DomainDescription, customer: CustomerId
) -> DomainDescription:
    """Return what one customer's operators may see of a domain.

    Groups of the customer stay, without the names of those that share them,
    and so do its own idle VMs and its models' shortfalls. The measures are
    of all customers together and go.
    """
    return replace(
        domain,
        groups=tuple(
            replace(group, customers=(customer,))
            for group in domain.groups
            if customer in group.customers
        ),
        idle=tuple(idle for idle in domain.idle if idle.owner == customer),
        shortfalls=tuple(
            replace(lack, customers=(customer,))
            for lack in domain.shortfalls
            if customer in lack.customers
        ),
        measures=Measures(),
    )


def _describe(
    group: GroupPlan, ready: frozenset[GroupId], absent: set[VmId]
) -> GroupDescription:
    return GroupDescription(
        group.id,
        group.model,
        group.version,
        group.customers,
        group.vms,
        group.epoch,
        group.stage.value,
        group.id in ready,
        tuple(vm for vm in group.vms if vm in absent),
    )
