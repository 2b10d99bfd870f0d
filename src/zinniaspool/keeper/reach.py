"""What the holder requires of its paths to upstreams."""

from typing import Protocol

from zinniaspool.core.ids import Address

__all__ = ["UpstreamReach"]


class UpstreamReach(Protocol):
    """Finds out whether the silence of upstreams is their own fault."""

    async def is_online(self) -> bool:
        """Return whether this VM reaches any upstream now, on any path."""
        ...

    async def can_judge(self, address: Address, since: float) -> bool:
        """Return whether the silence of an upstream is its own fault.

        Args:
            address: The upstream's address.
            since: When it was queried, in seconds.
        """
        ...

    async def is_refused(self, address: Address) -> bool:
        """Return whether no process listens at an upstream's address.

        Its VM must have answered so itself, while this VM reaches others.
        """
        ...
