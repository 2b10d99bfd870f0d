"""What the holder requires of engines, whatever protocol they speak."""

from typing import Protocol

from result import Result

from zinniaspool.core.fleet import EngineStatus, HealthAnswer, InstanceId
from zinniaspool.core.formation import GroupOrder, OrderOutcome
from zinniaspool.core.ids import Address
from zinniaspool.core.messages.fleet import InstanceAnswer
from zinniaspool.http import TransportFailure

__all__ = ["CHECK_TIMEOUTS_S", "MAX_LOCAL_LAG_S", "EngineControl"]

CHECK_TIMEOUTS_S = (0.12, 0.3)
"""Timeouts of two consecutive status queries, in seconds. An engine that
answers neither is suspected. The first query can be lost on the way;
the second allows for a link or a processor of this VM that is busy for a
moment."""

MAX_LOCAL_LAG_S = 0.06
"""How late a query's timeout may fire before its outcome is ignored, in
seconds. If it fires later, this process itself was delayed, and the answer may
have arrived without being read."""


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

    async def query_health(
        self, address: Address, instance: InstanceId, path: str, timeout_s: float
    ) -> Result[HealthAnswer, TransportFailure]:
        """Query whether an instance is healthy and isn't leaving."""
        ...

    def decode_status(
        self, answer: InstanceAnswer
    ) -> Result[EngineStatus, TransportFailure]:
        """Decode a status answer that an entry process received."""
        ...

    def decode_health(
        self, answer: InstanceAnswer
    ) -> Result[HealthAnswer, TransportFailure]:
        """Decode a health answer that an entry process received."""
        ...
