"""The state of a request in admission."""

from dataclasses import dataclass
from enum import Enum

from zinniaspool.core.ids import CustomerId

__all__ = ["Ticket", "TicketState"]


class TicketState(Enum):
    """Whether a request waits, was admitted or has ended."""

    WAITING = "waiting"
    ADMITTED = "admitted"
    ENDED = "ended"


@dataclass(slots=True, eq=False)
class Ticket:
    """One request in admission.

    Attributes:
        customer: The customer that sent it.
        urgency: 0 is the most urgent.
        state: Whether it waits, was admitted or has ended.
        wait_until: Time at which it is refused if it still waits, in seconds.
        admitted_at: Time at which it was admitted, in seconds.
        late: Whether its answer will be late in any case.
    """

    customer: CustomerId
    urgency: int
    state: TicketState
    wait_until: float
    admitted_at: float = 0.0
    late: bool = False
