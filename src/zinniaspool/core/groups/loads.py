"""Weight loads, by urgency and within the weight store's rate."""

from collections.abc import Sequence
from dataclasses import dataclass

__all__ = ["Load", "LoadQueue"]


@dataclass(frozen=True, slots=True, order=True)
class Load:
    """A load that is due.

    Attributes:
        urgency: The lowest goes first.
        name: Of the VM; settles ties.
        gb: Size of the weights.
    """

    urgency: tuple[float, ...]
    name: str
    gb: float


class LoadQueue:
    """Lets loads begin no faster than the weight store can answer them.

    After a domain returns, all its VMs want their weights at once. Begun
    together, every load would be slow and none of the groups would serve for
    the whole of the time; in turn, the first groups serve soon.

    Args:
        gb_per_s: The part of the store's rate that may be used.
    """

    def __init__(self, gb_per_s: float) -> None:
        self.gb_per_s = gb_per_s
        self.begun_gb = 0.0
        self._free_at: float | None = None

    def admit(self, due: Sequence[Load], now: float) -> list[Load]:
        """Return the loads that may begin now, the most urgent first."""
        free_at = now if self._free_at is None else max(now, self._free_at)
        admitted = []
        for load in sorted(due):
            if free_at > now:
                break
            free_at += load.gb / self.gb_per_s
            self.begun_gb += load.gb
            admitted.append(load)
        self._free_at = free_at
        return admitted

    def backlog_gb(self, now: float) -> float:
        """Return what has begun and cannot have arrived yet."""
        if self._free_at is None:
            return 0.0
        return max(0.0, self._free_at - now) * self.gb_per_s
