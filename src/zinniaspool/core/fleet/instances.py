"""Instances: the runs of upstream processes on VMs."""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, NewType

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
    "LOADED_STATES",
    "Instance",
    "InstanceId",
    "InstanceIncarnation",
    "InstanceState",
    "Membership",
    "MembershipState",
    "has_restarted",
]

InstanceId = NewType("InstanceId", str)
"""An upstream process; a process that restarts may keep its id."""


class InstanceIncarnation(NamedTuple):
    """One run of an instance, which may restart under the same id.

    Attributes:
        instance: The instance's id.
        started_at_ms: Unix milliseconds of its start; None if it does not
            report that.
    """

    instance: InstanceId
    started_at_ms: int | None


class InstanceState(Enum):
    """Whether an instance accepts new work."""

    READY = "ready"
    LEAVING = "leaving"


class MembershipState(Enum):
    """How far an instance has come in its replica group."""

    JOINING = "joining"
    READY = "ready"
    """It has the model loaded; its group may open once all members have."""

    OPEN = "open"
    """It is the group's head and accepts requests."""

    CLOSING = "closing"
    """It finishes its running requests and accepts no new ones."""

    BROKEN = "broken"
    """A member is missing; it refuses all requests."""


LOADED_STATES = frozenset(
    {MembershipState.READY, MembershipState.OPEN, MembershipState.CLOSING}
)
"""States of a member that has its group's model loaded."""


@dataclass(frozen=True, slots=True)
class Membership:
    """The replica group that an instance reports to belong to.

    Attributes:
        group: The group.
        epoch: The group's fencing token.
        rank: The instance's position in the group; the head has rank 0.
        state: How far the instance has come in the group.
    """

    group: GroupId
    epoch: Epoch
    rank: int
    state: MembershipState


@dataclass(frozen=True, slots=True)
class Instance:
    """What an instance last reported of itself.

    Attributes:
        id: Its id.
        service: The service whose requests it answers.
        address: Where it listens.
        failure_domain: The failure domain of its VM.
        state: Whether it accepts new work.
        slots: Number of requests that it runs at a time.
        fabric_domain: VMs of one fabric domain can form a group; None for an
            instance of a plain service.
        model: The model in its accelerators' memory.
        staged: Models in its host's memory.
        membership: Its replica group.
        started_at_ms: Unix milliseconds of its start; None if it does not
            report that.
        order_count: Orders that it has accepted since its start.
        cold_left_s: How long it was still cold when it wrote this, in seconds.
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
    started_at_ms: int | None = None
    order_count: int = 0
    cold_left_s: float = 0.0

    def is_overtaken_by(self, other: "Instance") -> bool:
        """Tell whether another record of this instance is certainly later."""
        if has_restarted(self.started_at_ms, other.started_at_ms):
            return False
        if self.order_count != other.order_count:
            return self.order_count < other.order_count
        leaves = other.state is InstanceState.LEAVING
        return leaves and self.state is not InstanceState.LEAVING


def has_restarted(earlier_start_ms: int | None, later_start_ms: int | None) -> bool:
    """Return whether two start times show that a process has restarted.

    A restarted process has lost its earlier state: its group, its requests
    and everything that others have found out about it no longer apply. A
    process that has not reported its start yet counts as the same run.

    Args:
        earlier_start_ms: Start in the earlier report, in Unix milliseconds.
        later_start_ms: Start in the later report, in Unix milliseconds.
    """
    return (
        earlier_start_ms is not None
        and later_start_ms is not None
        and earlier_start_ms != later_start_ms
    )


class InstancePartition(NamedTuple):
    """A part of the fleet that can be evaluated on its own.

    Attributes:
        service: The service of its instances.
        fabric_domain: Where their VMs are; a group never spans two.
    """

    service: ServiceName
    fabric_domain: FabricDomainId | None


class InstanceTable:
    """All instances, by id and by partition, with a version per partition.

    Code that derives something from all instances keeps its results by
    partition and recomputes those whose version has changed. So a change of
    one instance costs as much in a large fleet as in a small one.
    """

    def __init__(self) -> None:
        self._by_id: dict[InstanceId, Instance] = {}
        self._partitions: dict[InstancePartition, dict[InstanceId, Instance]] = {}
        self._versions: Counter[InstancePartition] = Counter()
        self._unreachable: frozenset[InstanceId] = frozenset()

    @property
    def by_id(self) -> Mapping[InstanceId, Instance]:
        """All instances by their ids."""
        return self._by_id

    def put(self, instance: Instance) -> None:
        """Add an instance, or replace what is known of it."""
        partition = _find_partition(instance)
        before = self._by_id.get(instance.id)
        if before is not None and _find_partition(before) != partition:
            self.remove(instance.id)
        self._by_id[instance.id] = instance
        self._partitions.setdefault(partition, {})[instance.id] = instance
        self._versions[partition] += 1

    def remove(self, instance: InstanceId) -> Instance | None:
        """Remove an instance; return what was known of it, or None."""
        before = self._by_id.pop(instance, None)
        if before is None:
            return None
        partition = _find_partition(before)
        del self._partitions[partition][instance]
        self._versions[partition] += 1
        return before

    def set_unreachable(self, unreachable: Collection[InstanceId]) -> None:
        """Set which instances are unreachable although their records exist."""
        changed = self._unreachable.symmetric_difference(unreachable)
        self._unreachable = frozenset(unreachable)
        for instance in changed:
            known = self._by_id.get(instance)
            if known is not None:
                self._versions[_find_partition(known)] += 1

    def list_partitions(self) -> Iterable[InstancePartition]:
        """Return all partitions, including those that are empty by now."""
        return self._partitions.keys()

    def list_reachable(self, partition: InstancePartition) -> Iterable[Instance]:
        """Return the instances of a partition that are not unreachable."""
        known = self._partitions.get(partition, {})
        return [
            instance
            for name, instance in known.items()
            if name not in self._unreachable
        ]

    def get_version(self, partition: InstancePartition) -> int:
        """Return a number that changes with each change of a partition."""
        return self._versions[partition]


def _find_partition(instance: Instance) -> InstancePartition:
    return InstancePartition(instance.service, instance.fabric_domain)
