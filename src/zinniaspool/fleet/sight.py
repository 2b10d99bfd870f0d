"""Age of the holder's last heartbeat, on a clock that counts suspensions."""

import time

from zinniaspool.core.fleet import HolderRecord

__all__ = ["HolderHeartbeat", "read_boot_clock"]


def read_boot_clock() -> float:
    """Return seconds on a clock that goes on while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class HolderHeartbeat:
    """When the holder last confirmed that it plans groups.

    Its heartbeat reaches other processes with the fleet updates of their
    peers, which state how old it is.

    Attributes:
        provisional: Whether the holder then reported that no process reaches
            the store.
    """

    def __init__(self) -> None:
        self.provisional = False
        self._holder: HolderRecord | None = None
        self._at = float("-inf")
        self._unresponsive: HolderRecord | None = None

    def record(self, holder: HolderRecord, age_s: float, *, provisional: bool) -> None:
        """Record a heartbeat, unless a later one of this holder is known.

        Args:
            holder: The holder that sent it.
            age_s: How long ago it was sent, in seconds.
            provisional: Whether the holder reported that no process reaches
                the store.
        """
        self._unresponsive = None
        at = read_boot_clock() - age_s
        if self._holder != holder or at > self._at:
            self._holder, self._at = holder, at
            self.provisional = provisional

    def mark_unresponsive(self, holder: HolderRecord) -> None:
        """Record that the holder did not answer a query of this process."""
        self._unresponsive = holder

    def is_unresponsive(self, holder: HolderRecord) -> bool:
        """Return whether no heartbeat came since the holder did not answer."""
        return self._unresponsive == holder

    @property
    def last_holder(self) -> HolderRecord | None:
        """The holder of the last heartbeat, or the one learned of since."""
        return self._holder

    def compute_age_s(self, holder: HolderRecord) -> float:
        """Return the seconds since a holder's last heartbeat.

        For a holder that this process has just learned of, they count from
        this call: it had no time to send a heartbeat.
        """
        if self._holder != holder:
            self._holder, self._at = holder, read_boot_clock()
            self.provisional = False
        return read_boot_clock() - self._at
