"""Descriptions of a domain's groups and VMs for operators."""

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
    """One group and whether it serves.

    Attributes:
        id: The group's ID.
        model: The model that it runs.
        version: The model's version.
        customers: The customers whose requests it runs.
        vms: Its members, the head first.
        epoch: Its epoch.
        stage: The planned stage.
        serves: Whether it serves now.
        absent: Its members that don't report.
    """

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
    """A VM in no serving group and the reason."""

    vm: VmId
    owner: CustomerId
    reason: str


@dataclass(frozen=True, slots=True)
class ShortfallDescription:
    """A requirement of a model that the fleet has no room for."""

    model: ModelName
    customers: tuple[CustomerId, ...]
    kind: str
    reason: str


@dataclass(frozen=True, slots=True)
class DomainDescription:
    """One fabric domain as the describing process sees it.

    Attributes:
        domain: The fabric domain.
        holds: Whether the process holds the domain's lease.
        epoch: The epoch of the domain's plan.
        groups: The domain's groups.
        idle: The domain's VMs in no serving group.
        shortfalls: Requirements of models that the fleet has no room for.
        measures: Both measures of repair since this process holds the
            domain.
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
    """Return the description of a domain by its holder or a witness.

    Args:
        holder: The state machine that plans the domain.
        index: The indexed configuration, or None while there is none.
        holds: Whether the process holds the domain's lease.
        now: Seconds, on the holder's clock.
    """
    ready = holder.find_ready(now)
    views = holder.get_vm_views(now)
    absent = {vm for vm, view in views.items() if not view.is_reporting}
    shortfalls = holder.last_result.shortfalls if holder.last_result else ()
    return DomainDescription(
        holder.domain,
        holds,
        holder.plan.epoch,
        tuple(_describe(group, ready, absent) for group in holder.plan.groups),
        tuple(
            IdleDescription(
                idle_vm.vm,
                index.vms[idle_vm.vm].owner,
                idle_vm.reason.value,
            )
            for idle_vm in holder.idle_vms
            if index is not None and idle_vm.vm in index.vms
        ),
        tuple(
            ShortfallDescription(
                shortfall.model,
                index.get_customers(index.models[shortfall.model]),
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
    """Return the part of a description that a customer's operators may see.

    It has the customer's groups without the names of the customers that
    share them, the customer's own idle VMs, and the shortfalls of its
    models. The measures are left out, since they cover all customers.
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
            replace(shortfall, customers=(customer,))
            for shortfall in domain.shortfalls
            if customer in shortfall.customers
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
