"""What opens the connections of an HTTP client."""

import asyncio
from collections.abc import Callable
from typing import Protocol, TypeVar

from zinniaspool.core.ids import Address

__all__ = ["Connector", "NotForwardedError"]

ProtocolT = TypeVar("ProtocolT", bound=asyncio.Protocol)


class NotForwardedError(ConnectionError):
    """A connection ended, and nothing of its last request was passed on."""


class Connector(Protocol):
    """Opens connections, on whatever path leads to an address.

    Attributes:
        on_idle_obsolete: Called when idle connections must not be used any
            more, since new ones take a better path.
    """

    on_idle_obsolete: list[Callable[[], None]]

    async def connect(
        self,
        make_protocol: Callable[[], ProtocolT],
        address: Address,
        timeout_s: float,
    ) -> ProtocolT:
        """Open a connection and return its protocol.

        Args:
            make_protocol: Returns the protocol of one connection.
            address: Where to connect.
            timeout_s: Longest wait, in seconds.

        Raises:
            ConnectionRefusedError: No process listens at the address.
            OSError: The connection failed for another reason.
            TimeoutError: No connection was open in time.
        """
        ...
