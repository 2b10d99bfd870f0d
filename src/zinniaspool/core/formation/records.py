"""Plans of replica groups, as they last in the store."""

from enum import Enum

import msgspec

from zinniaspool.core.fleet import InstanceId
from zinniaspool.core.ids import Epoch, FabricDomainId, GroupId, ModelName, ServiceName

__all__ = ["DomainPlan", "GroupPhase", "GroupRecord"]


class GroupPhase(Enum):
    """How far a group has come, as its holder sees it."""

    FORMING = "forming"
    """Members join; it is opened once all of them report ready."""

    SERVING = "serving"
    STANDBY = "standby"
    """A single VM that holds the model, so that it can replace a lost member
    within a fraction of a second. It is never opened."""

    CLOSING = "closing"
    """It finishes what runs, since a member leaves or moves."""

    ENDING = "ending"
    """A member is lost: the others are released from it."""


class GroupRecord(msgspec.Struct, frozen=True):
    """One group of a plan.

    Attributes:
        group: Its name, never used again.
        epoch: Its fencing number.
        service: What it answers for.
        model: What it serves.
        members: Its VMs' instances, the one that takes requests first.
        standby: Whether it only holds the model.
    """

    group: GroupId
    epoch: Epoch
    service: ServiceName
    model: ModelName
    members: tuple[InstanceId, ...]
    standby: bool = False

    @property
    def head(self) -> InstanceId:
        """The member that takes requests."""
        return self.members[0]


class DomainPlan(msgspec.Struct, frozen=True):
    """All groups of one fabric domain; written and replaced as one value."""

    domain: FabricDomainId
    groups: tuple[GroupRecord, ...] = ()
