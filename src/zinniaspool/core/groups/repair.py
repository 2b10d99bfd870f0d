"""What to do about a group that lacks a VM.

The choice is by expected cost: a group that is down costs its deployment's
weight of group downtime for each second, and each healthy VM that waits in
it costs the weight of stranded accelerators.
"""

from dataclasses import dataclass
from enum import Enum
from math import exp
from typing import Protocol

from zinniaspool.core.deployment import RepairWeights

__all__ = [
    "BrokenGroup",
    "ExpectedCost",
    "RepairChoice",
    "RepairDecision",
    "RepairMeans",
    "RepairPolicy",
    "ReturnModel",
]

_GUARANTEE_FACTOR = 4.0
"""How much more the downtime of a guaranteed group weighs."""

_PEAK_FACTOR = 4.0
"""How much more downtime weighs during an announced peak."""

_MARGIN = 1.25
"""A change has to be this much better than none, or the choice would swing
with every small change of its inputs."""


_LEAST = 1e-12
"""Keeps the chances' sum above nothing."""

_CAUTION = 2.0
"""A group that is given up loses more than its load: it uses up another
domain's spares, or has to load again when it comes back."""


class RepairChoice(Enum):
    """Ways to go on with a broken group."""

    WAIT = "wait"
    SPARE = "spare"
    """Put free VMs of the domain in the missing ones' places."""

    MERGE = "merge"
    """Dissolve another broken group and use its healthy VMs."""

    TAKE = "take"
    """Drain a group beyond its model's guarantee and use its VMs."""

    DISSOLVE = "dissolve"
    """Give the healthy VMs up, to be used by others or formed elsewhere."""


@dataclass(frozen=True, slots=True)
class ReturnModel:
    """How likely an absent VM is to come back, and when.

    Absences are of three kinds: pauses, after which the VM still holds its
    weights, restarts, after which it has to load them again, and failures,
    which are rare and long. The longer a VM has been away, the likelier it
    has failed.

    Attributes:
        pauses: How common pauses are, relative to the other kinds.
        restarts: How common restarts are.
        failures: How common failures are.
        pause_s: Mean length of a pause.
        restart_s: Mean length of a restart.
        failure_s: Mean time until a failed VM is back or replaced.
    """

    pauses: float = 170.0
    restarts: float = 170.0
    failures: float = 7.0
    pause_s: float = 20.0
    restart_s: float = 120.0
    failure_s: float = 4 * 3600.0

    def rate_with_weights(self, absent_s: float) -> float:
        """Return the chance a second of coming back with its weights."""
        pause, restart, failure = self._weigh(absent_s)
        return pause / (pause + restart + failure) / self.pause_s

    def rate(self, absent_s: float) -> float:
        """Return the chance a second of coming back at all."""
        pause, restart, failure = self._weigh(absent_s)
        ends = (
            pause / self.pause_s + restart / self.restart_s + failure / self.failure_s
        )
        return ends / (pause + restart + failure)

    def expected_s(self, absent_s: float) -> float:
        """Return the expected time until the VM is back."""
        pause, restart, failure = self._weigh(absent_s)
        left = (
            pause * self.pause_s + restart * self.restart_s + failure * self.failure_s
        )
        return left / (pause + restart + failure)

    def _weigh(self, absent_s: float) -> tuple[float, float, float]:
        """Return how likely each kind is after an absence of this length."""
        return (
            self.pauses * exp(-absent_s / self.pause_s),
            self.restarts * exp(-absent_s / self.restart_s),
            # Never nothing: a VM that is away for days has failed.
            self.failures * exp(-absent_s / self.failure_s) + _LEAST,
        )


@dataclass(frozen=True, slots=True)
class BrokenGroup:
    """A group that lacks VMs.

    Attributes:
        missing: How many VMs.
        absent_s: How long each missing VM has been absent.
        healthy_accelerators: Of the VMs that wait in it.
        accelerators: Of all its VMs.
        guaranteed: Whether it counts towards its model's guarantee.
        peak: Whether its model's announced peak is on or near.
    """

    missing: int
    absent_s: tuple[float, ...]
    healthy_accelerators: int
    accelerators: int
    guaranteed: bool
    peak: bool = False


@dataclass(frozen=True, slots=True)
class RepairMeans:
    """What could be used to repair a group.

    Attributes:
        spares: Free VMs of the domain that its customers may use.
        load_s: Time to load the missing VMs' weights, with the queue of the
            weight store.
        whole_load_s: Time to load a whole group's weights.
        donor: The broken group that would be dissolved, or None.
        victim: Whether a group beyond its model's guarantee could be
            drained.
        victim_accelerators: Of the victim.
        elsewhere: Whether another domain has room for the whole group.
        freed_groups: Groups that other models want and that its healthy VMs
            would form.
        freed_accelerators: Accelerators of those groups.
    """

    spares: int
    load_s: float
    whole_load_s: float
    donor: BrokenGroup | None = None
    victim: bool = False
    victim_accelerators: int = 0
    elsewhere: bool = False
    freed_groups: int = 0
    freed_accelerators: int = 0


@dataclass(frozen=True, slots=True)
class RepairDecision:
    """The choice, why, and what was rejected."""

    choice: RepairChoice
    reason: str
    rejected: str = ""


class RepairPolicy(Protocol):
    """Chooses what to do about a broken group."""

    def choose(self, group: BrokenGroup, means: RepairMeans) -> RepairDecision:
        """Return the choice for one broken group."""
        ...

    def rank(self, group: BrokenGroup) -> float:
        """Return the cost of a second's wait, to repair the dearest first."""
        ...


class ExpectedCost:
    """Chooses the way of least expected cost.

    Args:
        weights: How the deployment weighs the two costs.
        returns: How absent VMs come back.
    """

    def __init__(
        self, weights: RepairWeights, returns: ReturnModel = ReturnModel()
    ) -> None:
        self._weights = weights
        self._returns = returns

    def rank(self, group: BrokenGroup) -> float:
        """Return the cost of one second of this group being down."""
        downtime = self._weights.group_downtime
        downtime *= _GUARANTEE_FACTOR if group.guaranteed else 1.0
        downtime *= _PEAK_FACTOR if group.peak else 1.0
        stranded = self._weights.stranded_accelerators * group.healthy_accelerators
        return downtime + stranded

    def choose(self, group: BrokenGroup, means: RepairMeans) -> RepairDecision:
        """Return the choice for one broken group."""
        wait_s = self._expect_wait(group)
        if means.spares >= group.missing:
            return self._weigh_spare(group, means, wait_s)
        lacking = f"{means.spares} spares for {group.missing} missing VMs"
        if self._merge_pays(group, means, wait_s):
            return RepairDecision(
                RepairChoice.MERGE,
                f"{lacking}; expected wait {wait_s:.0f} s; another broken group"
                " waits longer or costs less",
            )
        if self._take_pays(group, means, wait_s):
            return RepairDecision(
                RepairChoice.TAKE,
                f"{lacking}; expected wait {wait_s:.0f} s; a group beyond its"
                " guarantee costs less",
            )
        if self._dissolve_pays(group, means, wait_s):
            return RepairDecision(
                RepairChoice.DISSOLVE,
                f"{lacking}; expected wait {wait_s:.0f} s;"
                + (
                    " another fabric domain has room"
                    if means.elsewhere
                    else " its VMs form groups that others want"
                ),
            )
        return RepairDecision(
            RepairChoice.WAIT,
            f"{lacking}; expected wait {wait_s:.0f} s",
            "merging, taking and dissolving cost more than waiting",
        )

    def _weigh_spare(
        self, group: BrokenGroup, means: RepairMeans, wait_s: float
    ) -> RepairDecision:
        if self._waits_for_weights(group, means.load_s):
            return RepairDecision(
                RepairChoice.WAIT,
                f"the VM is likely back before a spare has loaded in"
                f" {means.load_s:.0f} s",
                f"a spare: expected wait {wait_s:.0f} s",
            )
        return RepairDecision(
            RepairChoice.SPARE,
            f"a spare loads in {means.load_s:.0f} s",
            f"waiting: expected {wait_s:.0f} s",
        )

    def _waits_on(self, group: BrokenGroup, load_s: float) -> bool:
        """Whether the VM's return is likelier than worth acting before.

        Waiting on for a moment saves the whole load with the chance that the
        VM comes back in that moment, so it pays while that chance times the
        load time is more than the moment.
        """
        rate = min(self._returns.rate(absent) for absent in group.absent_s)
        return rate * load_s > 1

    def _waits_for_weights(self, group: BrokenGroup, load_s: float) -> bool:
        """The same, against a load that a VM without weights needs as well."""
        rate = min(self._returns.rate_with_weights(absent) for absent in group.absent_s)
        return rate * load_s > 1

    def _merge_pays(
        self, group: BrokenGroup, means: RepairMeans, wait_s: float
    ) -> bool:
        if means.donor is None or self._waits_on(group, means.load_s):
            return False
        donor_wait_s = self._expect_wait(means.donor)
        gain = self.rank(group) * (wait_s - means.load_s)
        # The donor's group then waits for this group's VM instead of its own.
        later_s = max(0.0, wait_s + means.whole_load_s - donor_wait_s)
        return gain > _MARGIN * self.rank(means.donor) * later_s

    def _take_pays(self, group: BrokenGroup, means: RepairMeans, wait_s: float) -> bool:
        if not means.victim or not group.guaranteed:
            return False
        if self._waits_on(group, means.load_s):
            return False
        gain = self.rank(group) * (wait_s - means.load_s)
        idle = self._weights.stranded_accelerators * means.victim_accelerators
        loss = (self._weights.group_downtime + idle) * (wait_s + means.whole_load_s)
        return gain > _MARGIN * loss

    def _dissolve_pays(
        self, group: BrokenGroup, means: RepairMeans, wait_s: float
    ) -> bool:
        if self._waits_on(group, _CAUTION * means.whole_load_s):
            return False
        if means.elsewhere:
            return wait_s > _MARGIN * means.whole_load_s
        if not means.freed_groups:
            return False
        # The freed VMs have to load twice: now, and when this group forms
        # again.
        return wait_s > 2 * _MARGIN * means.whole_load_s

    def _expect_wait(self, group: BrokenGroup) -> float:
        return max(self._returns.expected_s(absent) for absent in group.absent_s)
