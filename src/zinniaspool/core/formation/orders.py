"""Orders to engines, and their outcomes."""

from dataclasses import dataclass
from enum import Enum

from zinniaspool.core.fleet import InstanceId
from zinniaspool.core.ids import Epoch, GroupId, ModelName

__all__ = ["GroupOrder", "OrderAction", "OrderOutcome"]


class OrderAction(Enum):
    """What an engine is ordered to do."""

    JOIN = "join"
    """Become a member of a group and load its model."""

    OPEN = "open"
    """Accept requests, as the head of a group."""

    CLOSE = "close"
    """Finish the running requests and accept no new ones."""

    LEAVE = "leave"
    """Leave the group at once."""

    STAGE = "stage"
    """Load a model into the host's memory."""


class OrderOutcome(Enum):
    """What is known of an order's effect."""

    HOLDS = "holds"
    """The engine is already in the state that the order requests."""

    ACCEPTED = "accepted"
    """The engine carries the order out."""

    UNFIT = "unfit"
    """The order does not fit the engine's present state."""

    STALE = "stale"
    """The engine has seen a higher epoch than the order's."""

    GONE = "gone"
    """Another instance listens at the address."""

    REFUSED = "refused"
    UNANSWERED = "unanswered"
    """The engine may carry the order out, also seconds later."""

    NOT_SENT = "not-sent"


@dataclass(frozen=True, slots=True)
class GroupOrder:
    """One order to an engine.

    Attributes:
        instance: The instance that is to carry the order out.
        action: What to do.
        group: The group that the order is about; None for staging.
        epoch: That group's epoch.
        model: The model to join with or to stage; None for other actions.
        members: All members of the group to join, the head first.
    """

    instance: InstanceId
    action: OrderAction
    group: GroupId | None = None
    epoch: Epoch = Epoch(0)
    model: ModelName | None = None
    members: tuple[InstanceId, ...] = ()
