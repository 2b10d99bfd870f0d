"""Instances: one run each of an upstream process on a VM."""

from dataclasses import dataclass
from enum import Enum
from typing import NewType

from zinniaspool.core.ids import (
    Address,
    Epoch,
    FabricDomainId,
    FailureDomainId,
    GroupId,
    ModelName,
    ServiceName,
)

__all__ = [
    "Instance",
    "InstanceId",
    "InstanceState",
    "Membership",
    "MembershipState",
]

InstanceId = NewType("InstanceId", str)
"""One run of an upstream process; a restart has another one."""


class InstanceState(Enum):
    """Whether an instance takes new work."""

    READY = "ready"
    LEAVING = "leaving"


class MembershipState(Enum):
    """How far an instance has come in its replica group."""

    JOINING = "joining"
    READY = "ready"
    """It holds the model; its group may be opened once all members do."""

    OPEN = "open"
    """It is the first member and takes requests."""

    CLOSING = "closing"
    """It finishes what runs and takes nothing new."""

    BROKEN = "broken"
    """A member is missing; it refuses everything."""


@dataclass(frozen=True, slots=True)
class Membership:
    """The replica group that an instance says it belongs to."""

    group: GroupId
    epoch: Epoch
    rank: int
    state: MembershipState


@dataclass(frozen=True, slots=True)
class Instance:
    """What an instance last said of itself.

    Attributes:
        id: Which run.
        service: What it answers for.
        address: Where it listens.
        failure_domain: Where its VM is.
        state: Whether it takes new work.
        slots: Requests that it runs at a time.
        fabric_domain: VMs of one domain can form a group; None for a plain
            service.
        model: The model in its accelerators' memory.
        staged: Models in its host's memory.
        membership: Its replica group.
    """

    id: InstanceId
    service: ServiceName
    address: Address
    failure_domain: FailureDomainId
    state: InstanceState
    slots: int
    fabric_domain: FabricDomainId | None = None
    model: ModelName | None = None
    staged: tuple[ModelName, ...] = ()
    membership: Membership | None = None
