"""What the holder requires of engines, whatever protocol they speak."""

from typing import Protocol

from result import Result

from zinniaspool.core.fleet import EngineStatus
from zinniaspool.core.formation import GroupOrder, OrderOutcome
from zinniaspool.core.ids import Address
from zinniaspool.http import TransportFailure

__all__ = ["EngineControl"]


class EngineControl(Protocol):
    """Sends orders to engines and queries their status."""

    async def send_order(self, address: Address, order: GroupOrder) -> OrderOutcome:
        """Send an order; return what is known of its outcome."""
        ...

    async def query_status(
        self, address: Address, timeout_s: float
    ) -> Result[EngineStatus, TransportFailure]:
        """Query the status of an engine."""
        ...
