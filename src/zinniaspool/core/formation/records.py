"""Plans of replica groups, as the store keeps them."""

from enum import Enum
from typing import Annotated

import msgspec

from zinniaspool.core.decoding import MAX_COUNT
from zinniaspool.core.fleet import InstanceId
from zinniaspool.core.ids import Epoch, FabricDomainId, GroupId, ModelName, ServiceName

__all__ = ["DomainPlan", "GroupPhase", "GroupRecord"]


class GroupPhase(Enum):
    """The phase of a group, as the holder knows it."""

    FORMING = "forming"
    """The members join; the group is opened once all of them report ready."""

    SERVING = "serving"
    """The head is open and accepts requests."""

    STANDBY = "standby"
    """A single VM has the model loaded, so that it can replace an unreachable
    member within a fraction of a second. It is never opened."""

    CLOSING = "closing"
    """The group finishes its running requests, since a member leaves or the
    VMs are reassigned."""

    ENDING = "ending"
    """The group is given up, and its members are released from it."""


class GroupRecord(msgspec.Struct, frozen=True):
    """One group of a plan.

    Attributes:
        group: The group's id, which is never used again.
        epoch: The group's fencing token.
        service: The service that it belongs to.
        model: The model that it serves.
        members: The instances of its VMs, the head first.
        standby: Whether it is a standby VM, which only has the model loaded.
    """

    group: GroupId
    epoch: Annotated[Epoch, msgspec.Meta(ge=0, le=MAX_COUNT)]
    service: ServiceName
    model: ModelName
    members: Annotated[tuple[InstanceId, ...], msgspec.Meta(min_length=1)]
    standby: bool = False

    @property
    def head(self) -> InstanceId:
        """The member that receives the group's requests."""
        return self.members[0]


class DomainPlan(msgspec.Struct, frozen=True):
    """All groups of one fabric domain, written and replaced as one value.

    Attributes:
        domain: The fabric domain.
        groups: Its groups.
    """

    domain: FabricDomainId
    groups: tuple[GroupRecord, ...] = ()
