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
    "is_reborn",
]

InstanceId = NewType("InstanceId", str)
"""One upstream process; one that starts again may keep it."""


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
        born: Unix milliseconds of its start; None where it does not tell.
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
    born: int | None = None


def is_reborn(before: int | None, now: int | None) -> bool:
    """Tell from two starts whether a process has started again between them.

    It then holds and knows nothing of before: no group, no requests, and
    nothing that was found out about it. One that has not told its start yet
    is taken to be the same.
    """
    return before is not None and now is not None and before != now
