"""Orders to engines, and what is known of an order's outcome."""

from dataclasses import dataclass
from enum import Enum

from zinniaspool.core.fleet import InstanceId
from zinniaspool.core.ids import Epoch, GroupId, ModelName

__all__ = ["GroupOrder", "OrderAction", "OrderOutcome"]


class OrderAction(Enum):
    """What an engine is told to do."""

    JOIN = "join"
    """Become a member of a group and hold its model."""

    OPEN = "open"
    """Take requests, as a group's first member."""

    CLOSE = "close"
    """Finish what runs and take nothing new."""

    LEAVE = "leave"
    """Be a member no more, at once."""

    STAGE = "stage"
    """Bring a model into the host's memory."""


class OrderOutcome(Enum):
    """What is known of an order."""

    HOLDS = "holds"
    """What it asks for is so already."""

    ACCEPTED = "accepted"
    UNFIT = "unfit"
    """It does not fit the engine's state now."""

    STALE = "stale"
    """The engine has seen a higher epoch."""

    GONE = "gone"
    """Another instance has the address."""

    REFUSED = "refused"
    UNANSWERED = "unanswered"
    """It may be carried out, also seconds later."""

    NOT_SENT = "not-sent"


@dataclass(frozen=True, slots=True)
class GroupOrder:
    """One order.

    Attributes:
        instance: Who is to carry it out.
        action: What to do.
        group: The group that it is about; None for staging.
        epoch: That group's epoch.
        model: What to join with or to stage.
        members: All members of the group, the first one taking its requests.
    """

    instance: InstanceId
    action: OrderAction
    group: GroupId | None = None
    epoch: Epoch = Epoch(0)
    model: ModelName | None = None
    members: tuple[InstanceId, ...] = ()
