"""A request's place among those that ask to begin."""

from dataclasses import dataclass
from enum import Enum

from zinniaspool.core.ids import CustomerId

__all__ = ["Ticket", "TicketState"]


class TicketState(Enum):
    """What became of a request that asked to begin."""

    WAITING = "waiting"
    ADMITTED = "admitted"
    ENDED = "ended"


@dataclass(slots=True, eq=False)
class Ticket:
    """One request's place.

    Attributes:
        customer: Whose.
        urgency: 0 is the most urgent.
        state: What became of it.
        wait_until: When it is refused if it still waits.
        began: When it was admitted.
        late: Whether its answer will be late in any case.
    """

    customer: CustomerId
    urgency: int
    state: TicketState
    wait_until: float
    began: float = 0.0
    late: bool = False
