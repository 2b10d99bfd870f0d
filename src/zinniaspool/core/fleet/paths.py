"""Whether a VM has lost its own path to the upstreams.

A connection that fails shows little: the upstream may have ended. If another
VM can connect to the same upstream at that moment, or no VM finds the
upstream at fault, the fault may be on the path of this VM. Several such
upstreams, and no connection that succeeds meanwhile, mean that this VM reaches
no upstream directly.
"""

from math import inf

from zinniaspool.core.ids import Address

__all__ = ["PathMonitor"]

WINDOW_S = 2.0
"""Time within which failed connections count, in seconds. An idle VM opens a
few connections a second."""

MIN_UPSTREAMS = 3
"""Upstreams to which connections must fail for the path to count as lost. A
lossy link loses the first packets of single connections."""

REGAINED_AFTER = 2
"""Direct connections in a row after which the path counts as regained."""


class PathMonitor:
    """Decides from the outcome of connections whether the path is lost.

    Attributes:
        is_lost: Whether this VM reaches no upstream directly.
        last_direct_at: When a direct connection was last opened, in seconds.
    """

    def __init__(self) -> None:
        self.is_lost = False
        self.last_direct_at = -inf
        self._failures: dict[Address, float] = {}
        self._direct_in_a_row = 0

    def record_direct(self, now: float) -> bool:
        """Record that a direct connection was opened.

        Returns:
            Whether the path is regained by this.
        """
        self.last_direct_at = now
        self._failures.clear()
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

    def record_failure(self, address: Address, now: float, known: int) -> bool:
        """Record that no direct connection to an upstream could be opened.

        It must not be known that the upstream itself is at fault.

        Args:
            address: The upstream's address.
            now: Seconds.
            known: Number of upstreams that this process knows.

        Returns:
            Whether the path is lost by this.
        """
        if self.is_lost or not known:
            return False
        self._failures[address] = now
        self._failures = {
            other: at for other, at in self._failures.items() if now - at <= WINDOW_S
        }
        if len(self._failures) < min(MIN_UPSTREAMS, known):
            return False
        self.is_lost = True
        self._failures.clear()
        self._direct_in_a_row = 0
        return True
