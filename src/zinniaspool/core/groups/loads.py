"""Admission of weight loads, by urgency and within the weight store's rate."""

from collections.abc import Sequence
from dataclasses import dataclass

__all__ = ["WeightLoad", "WeightLoadQueue"]


@dataclass(frozen=True, slots=True, order=True)
class WeightLoad:
    """A load of a model's weights that a VM has to start.

    Attributes:
        urgency: Sort key; the load with the lowest key starts first.
        vm: ID of the VM; breaks ties.
        gb: Size of the weights in gigabytes.
    """

    urgency: tuple[float, ...]
    vm: str
    gb: float


class WeightLoadQueue:
    """Admits loads no faster than the weight store can serve them.

    After the return of a domain, all its VMs need their weights at once. If
    all loads started together, each would be slow and no group would serve
    until nearly all of them ended. Started one after the other, the first
    groups serve soon.

    Args:
        gb_per_s: The part of the store's rate that may be used.

    Attributes:
        gb_per_s: The part of the store's rate that may be used.
        admitted_gb: Size of all weights whose load was admitted so far.
    """

    def __init__(self, gb_per_s: float) -> None:
        self.gb_per_s = gb_per_s
        self.admitted_gb = 0.0
        self._free_at: float | None = None

    def admit(self, due: Sequence[WeightLoad], now: float) -> list[WeightLoad]:
        """Return the loads that may start now, the most urgent first."""
        free_at = now if self._free_at is None else max(now, self._free_at)
        admitted = []
        for load in sorted(due):
            if free_at > now:
                break
            free_at += load.gb / self.gb_per_s
            self.admitted_gb += load.gb
            admitted.append(load)
        self._free_at = free_at
        return admitted

    def backlog_gb(self, now: float) -> float:
        """Return the size of weights that are admitted but not yet loaded.

        The size is computed from the store's rate, not from reports.
        """
        if self._free_at is None:
            return 0.0
        return max(0.0, self._free_at - now) * self.gb_per_s
