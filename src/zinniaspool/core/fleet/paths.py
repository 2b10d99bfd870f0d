"""Whether a VM has lost its own path to the upstreams.

A connection that fails shows little: the upstream may have ended. If another
VM can connect to the same upstream at that moment, the fault is on the path
of this VM. Several such upstreams, and no connection that succeeds meanwhile,
mean that this VM reaches no upstream directly.
"""

from math import inf

from zinniaspool.core.ids import Address

__all__ = ["PathMonitor"]

WINDOW_S = 2.0
"""Time within which connections that only other VMs could open count, in
seconds. An idle VM opens a few connections a second."""

MIN_UPSTREAMS = 3
"""Upstreams that only other VMs reach from which on the path counts as lost.
A lossy link loses the first packets of single connections."""

REGAINED_AFTER = 2
"""Direct connections in a row after which the path counts as regained."""


class PathMonitor:
    """Decides from the outcome of connections whether the path is lost.

    Attributes:
        is_lost: Whether this VM reaches upstreams only through other VMs.
        last_direct_at: When a direct connection was last opened, in seconds.
    """

    def __init__(self) -> None:
        self.is_lost = False
        self.last_direct_at = -inf
        self._indirect: dict[Address, float] = {}
        self._direct_in_a_row = 0

    def record_direct(self, now: float) -> bool:
        """Record that a direct connection was opened.

        Returns:
            Whether the path is regained by this.
        """
        self.last_direct_at = now
        self._indirect.clear()
        if not self.is_lost:
            return False
        self._direct_in_a_row += 1
        if self._direct_in_a_row < REGAINED_AFTER:
            return False
        self.is_lost = False
        return True

    def record_failed_retry(self) -> None:
        """Record that a direct connection failed while the path is lost."""
        self._direct_in_a_row = 0

    def record_indirect(self, address: Address, now: float, known: int) -> bool:
        """Record that only another VM could connect to an upstream.

        Args:
            address: The upstream's address.
            now: Seconds.
            known: Number of upstreams that this process knows.

        Returns:
            Whether the path is lost by this.
        """
        if self.is_lost:
            return False
        self._indirect[address] = now
        self._indirect = {
            other: at for other, at in self._indirect.items() if now - at <= WINDOW_S
        }
        if len(self._indirect) < min(MIN_UPSTREAMS, known):
            return False
        self.is_lost = True
        self._indirect.clear()
        self._direct_in_a_row = 0
        return True
