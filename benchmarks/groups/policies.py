"""Baselines, and the policy that knows when each VM comes back."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from zinniaspool.core.groups import (
    BrokenGroup,
    RepairChoice,
    RepairDecision,
    RepairOptions,
    ReturnModel,
)

__all__ = ["FirstFitSpare", "KnownReturns", "WaitOnly"]


class WaitOnly:
    """Waits for every VM."""

    def choose(self, group: BrokenGroup, options: RepairOptions) -> RepairDecision:
        """See the protocol."""
        return RepairDecision(RepairChoice.WAIT, "waits")

    def cost_per_s(self, group: BrokenGroup) -> float:
        """See the protocol."""
        return 0.0


class FirstFitSpare:
    """Takes a spare at once where there is one, and else waits."""

    def choose(self, group: BrokenGroup, options: RepairOptions) -> RepairDecision:
        """See the protocol."""
        if options.spares >= group.missing:
            return RepairDecision(RepairChoice.SPARE, "a spare is there")
        return RepairDecision(RepairChoice.WAIT, "no spare")

    def cost_per_s(self, group: BrokenGroup) -> float:
        """See the protocol."""
        return 0.0


@dataclass(frozen=True, slots=True)
class KnownReturns(ReturnModel):
    """Knows from the whole history when each absent VM comes back.

    Attributes:
        clock: Returns the time of the replay.
        returns: When the VM that was lost at a time comes back.
    """

    clock: Callable[[], float] = float
    returns: Mapping[float, float] | None = None

    def return_rate_with_weights(self, absent_s: float) -> float:
        """See the base class."""
        return self.return_rate(absent_s)

    def return_rate(self, absent_s: float) -> float:
        """See the base class: waits exactly when the wait is shorter."""
        return 1 / max(0.001, self.expected_wait_s(absent_s))

    def expected_wait_s(self, absent_s: float) -> float:
        """See the base class."""
        assert self.returns is not None
        lost = self.clock() - absent_s
        nearest = min(self.returns, key=lambda at: abs(at - lost))
        return max(0.0, self.returns[nearest] - self.clock())
