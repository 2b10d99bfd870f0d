"""Instances: one run each of an upstream process on a VM."""

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
    "Instance",
    "InstanceId",
    "InstanceLife",
    "InstanceState",
    "Membership",
    "MembershipState",
    "is_reborn",
]

InstanceId = NewType("InstanceId", str)
"""One upstream process; one that starts again may keep it."""


class InstanceLife(NamedTuple):
    """One life of an instance, which may start again under its id.

    Attributes:
        instance: Which.
        born: Unix milliseconds of its start, where it tells.
    """

    instance: InstanceId
    born: int | None


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


class InstancePart(NamedTuple):
    """A part of the fleet that can be looked at by itself.

    Attributes:
        service: The service of its instances.
        fabric_domain: Where their VMs are; groups never span two.
    """

    service: ServiceName
    fabric_domain: FabricDomainId | None


class InstanceBook:
    """All instances, by id and by part, and which parts have changed.

    Whoever works something out of all instances keeps it by part, and works
    it out anew only for those whose version has changed: a change of one
    instance then costs as much in a large fleet as in a small one.
    """

    def __init__(self) -> None:
        self._by_id: dict[InstanceId, Instance] = {}
        self._parts: dict[InstancePart, dict[InstanceId, Instance]] = {}
        self._versions: Counter[InstancePart] = Counter()
        self._lost: frozenset[InstanceId] = frozenset()

    @property
    def by_id(self) -> Mapping[InstanceId, Instance]:
        """All instances."""
        return self._by_id

    def put(self, instance: Instance) -> None:
        """Take an instance in place of what was known of it."""
        part = _find_part(instance)
        before = self._by_id.get(instance.id)
        if before is not None and _find_part(before) != part:
            self.drop(instance.id)
        self._by_id[instance.id] = instance
        self._parts.setdefault(part, {})[instance.id] = instance
        self._versions[part] += 1

    def drop(self, instance: InstanceId) -> Instance | None:
        """Forget an instance; return what was known of it."""
        before = self._by_id.pop(instance, None)
        if before is None:
            return None
        part = _find_part(before)
        del self._parts[part][instance]
        self._versions[part] += 1
        return before

    def set_lost(self, lost: Collection[InstanceId]) -> None:
        """Take which instances answer nobody, though they are known."""
        changed = self._lost.symmetric_difference(lost)
        self._lost = frozenset(lost)
        for one in changed:
            known = self._by_id.get(one)
            if known is not None:
                self._versions[_find_part(known)] += 1

    def list_parts(self) -> Iterable[InstancePart]:
        """Return the parts that there are or have been."""
        return self._parts.keys()

    def list_part(self, part: InstancePart) -> Iterable[Instance]:
        """Return a part's instances that are not lost."""
        known = self._parts.get(part, {})
        return [one for name, one in known.items() if name not in self._lost]

    def get_version(self, part: InstancePart) -> int:
        """Return a number that is another one after each change of a part."""
        return self._versions[part]


def _find_part(instance: Instance) -> InstancePart:
    return InstancePart(instance.service, instance.fabric_domain)
