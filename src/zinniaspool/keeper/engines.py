"""What the holder needs of engines, however they are addressed."""

from typing import Protocol

from result import Result

from zinniaspool.core.fleet import EngineStatus
from zinniaspool.core.formation import GroupOrder, OrderOutcome
from zinniaspool.core.ids import Address
from zinniaspool.http import TransportFailure

__all__ = ["Engines"]


class Engines(Protocol):
    """Gives orders to engines and asks for their state."""

    async def send(self, address: Address, order: GroupOrder) -> OrderOutcome:
        """Give an order; tell what is known of its outcome."""
        ...

    async def ask(
        self, address: Address, timeout_s: float
    ) -> Result[EngineStatus, TransportFailure]:
        """Ask an engine for its state."""
        ...
