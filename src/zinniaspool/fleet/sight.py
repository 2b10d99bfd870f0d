"""When the holder was last heard, and clocks that count standstills."""

import time

from zinniaspool.core.fleet import HolderRecord

__all__ = ["HolderSight", "boot_time"]


def boot_time() -> float:
    """Return seconds on a clock that goes on while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class HolderSight:
    """When this process last heard the holder say that it plans.

    Attributes:
        provisional: Whether the holder then said that the store is down for
            all.
    """

    def __init__(self) -> None:
        self.provisional = False
        self._record: HolderRecord | None = None
        self._at = float("-inf")
        self._unanswered: HolderRecord | None = None

    def hear(self, record: HolderRecord, age_s: float, *, provisional: bool) -> None:
        """Note that the holder said so, some seconds ago.

        Args:
            record: Who.
            age_s: How long ago.
            provisional: Whether it said that the store is down for all.
        """
        self._unanswered = None
        at = boot_time() - age_s
        if self._record != record or at > self._at:
            self._record, self._at = record, at
            self.provisional = provisional

    def note_unanswered(self, record: HolderRecord) -> None:
        """Note that the holder did not answer a question of this process."""
        self._unanswered = record

    def is_unanswered(self, record: HolderRecord) -> bool:
        """Tell whether it has not been heard since it did not answer."""
        return self._unanswered == record

    @property
    def heard(self) -> HolderRecord | None:
        """The holder that was last heard, or learned of."""
        return self._record

    def unheard_s(self, record: HolderRecord) -> float:
        """Return for how many seconds a holder has not been heard.

        One that this process has just learned of had no time to be heard.
        """
        if self._record != record:
            self._record, self._at = record, boot_time()
            self.provisional = False
        return boot_time() - self._at
