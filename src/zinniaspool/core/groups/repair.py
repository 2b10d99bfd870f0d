"""Decides how to repair a group that lacks a VM.

The decision is by expected cost. For each second, a group that is down costs
the deployment's weight of group downtime, and each healthy accelerator that
is idle in it costs the weight of stranded accelerators.
"""

from dataclasses import dataclass
from enum import Enum
from math import exp
from typing import Protocol

from zinniaspool.core.deployment import RepairWeights

__all__ = [
    "BrokenGroup",
    "ExpectedCostPolicy",
    "RepairChoice",
    "RepairDecision",
    "RepairOptions",
    "RepairPolicy",
    "ReturnModel",
]

_GUARANTEE_FACTOR = 4.0
"""Factor for the cost of a guaranteed group's downtime."""

_PEAK_FACTOR = 4.0
"""Factor for the cost of downtime during an announced peak."""

_GAIN_MARGIN = 1.25
"""Factor by which a change has to be cheaper than waiting. Without it the
decision would alternate with every small change of its inputs."""

_MIN_FAILURE_WEIGHT = 1e-12
"""Keeps the sum of the weights of all kinds of absence above zero."""

_DISSOLVE_LOAD_FACTOR = 2.0
"""Factor for the load time of a group that is dissolved. Its cost is higher
than one load: the group uses up another domain's spares, or has to load again
when its VM comes back."""


class RepairChoice(Enum):
    """What can be done about a broken group."""

    WAIT = "wait"
    """Wait until the missing VMs are back."""

    SPARE = "spare"
    """Replace the missing VMs by free VMs of the domain."""

    MERGE = "merge"
    """Dissolve another broken group, the donor, and use its healthy VMs."""

    TAKE = "take"
    """Drain a whole group beyond its model's guarantee, the victim, and use
    its VMs."""

    DISSOLVE = "dissolve"
    """Dissolve the group: other groups use its healthy VMs, or it is formed
    anew in another domain."""


@dataclass(frozen=True, slots=True)
class ReturnModel:
    """Probability that an absent VM comes back, by the length of its absence.

    There are three kinds of absence, each of an exponentially distributed
    length: a pause, after which the VM still has its weights loaded, a
    restart, after which it has to load them again, and a failure, which is
    rare and long. The longer a VM has been absent, the likelier it has
    failed.

    Attributes:
        pauses: Relative frequency of pauses.
        restarts: Relative frequency of restarts.
        failures: Relative frequency of failures.
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

    def return_rate_with_weights(self, absent_s: float) -> float:
        """Return the rate of returns with loaded weights, per second."""
        pause, restart, failure = self._weigh_kinds(absent_s)
        return pause / (pause + restart + failure) / self.pause_s

    def return_rate(self, absent_s: float) -> float:
        """Return the rate of returns of any kind, per second."""
        pause, restart, failure = self._weigh_kinds(absent_s)
        weighted_rate = (
            pause / self.pause_s + restart / self.restart_s + failure / self.failure_s
        )
        return weighted_rate / (pause + restart + failure)

    def expected_wait_s(self, absent_s: float) -> float:
        """Return the expected time in seconds until the VM is back."""
        pause, restart, failure = self._weigh_kinds(absent_s)
        weighted_s = (
            pause * self.pause_s + restart * self.restart_s + failure * self.failure_s
        )
        return weighted_s / (pause + restart + failure)

    def _weigh_kinds(self, absent_s: float) -> tuple[float, float, float]:
        """Return the weights of the three kinds after such an absence."""
        return (
            self.pauses * exp(-absent_s / self.pause_s),
            self.restarts * exp(-absent_s / self.restart_s),
            # Never zero: a VM that is absent for days has failed.
            self.failures * exp(-absent_s / self.failure_s) + _MIN_FAILURE_WEIGHT,
        )


@dataclass(frozen=True, slots=True)
class BrokenGroup:
    """A group that lacks VMs.

    Attributes:
        missing: Number of missing VMs.
        absent_s: How long each missing VM has been absent.
        healthy_accelerators: Number of accelerators of its healthy VMs.
        accelerators: Number of accelerators of all its VMs.
        guaranteed: Whether its model has fewer serving groups than it is
            guaranteed.
        peak: Whether its model's announced peak is in progress or near.
    """

    missing: int
    absent_s: tuple[float, ...]
    healthy_accelerators: int
    accelerators: int
    guaranteed: bool
    peak: bool = False


@dataclass(frozen=True, slots=True)
class RepairOptions:
    """The means by which a group could be repaired.

    Attributes:
        spares: Number of free VMs of the domain that can join the group.
        load_s: Time to load the weights on the missing VMs' replacements,
            including the queue of the weight store.
        group_load_s: The same for the whole group.
        donor: The broken group that would be dissolved, or None.
        has_victim: Whether a group beyond its model's guarantee could be
            drained.
        victim_leftover_accelerators: Number of accelerators on the victim's
            VMs that would be left over.
        victim_fits_elsewhere: Whether another domain has room for the
            victim.
        fits_elsewhere: Whether another domain has room for the whole group.
        freed_groups: Number of groups that other models want and that its
            healthy VMs could form.
        freed_accelerators: Number of accelerators of those groups.
    """

    spares: int
    load_s: float
    group_load_s: float
    donor: BrokenGroup | None = None
    has_victim: bool = False
    victim_leftover_accelerators: int = 0
    victim_fits_elsewhere: bool = False
    fits_elsewhere: bool = False
    freed_groups: int = 0
    freed_accelerators: int = 0


@dataclass(frozen=True, slots=True)
class RepairDecision:
    """A decision on a broken group, for operators too.

    Attributes:
        choice: What is done.
        reason: Explanation for operators.
        rejected: The rejected choices and why.
    """

    choice: RepairChoice
    reason: str
    rejected: str = ""


class RepairPolicy(Protocol):
    """Decides what to do about a broken group."""

    def choose(self, group: BrokenGroup, options: RepairOptions) -> RepairDecision:
        """Return the decision on one broken group."""
        ...

    def cost_per_s(self, group: BrokenGroup) -> float:
        """Return the cost of one second of waiting.

        The groups with the highest cost are repaired first.
        """
        ...


class ExpectedCostPolicy:
    """Chooses the option of least expected cost.

    Args:
        weights: The deployment's weights of the two costs.
        returns: Model of the return of absent VMs.
    """

    def __init__(
        self, weights: RepairWeights, returns: ReturnModel = ReturnModel()
    ) -> None:
        self._weights = weights
        self._returns = returns

    def cost_per_s(self, group: BrokenGroup) -> float:
        """Return the cost of one second of the group's downtime."""
        downtime = self._weights.group_downtime
        downtime *= _GUARANTEE_FACTOR if group.guaranteed else 1.0
        downtime *= _PEAK_FACTOR if group.peak else 1.0
        stranded = self._weights.stranded_accelerators * group.healthy_accelerators
        return downtime + stranded

    def choose(self, group: BrokenGroup, options: RepairOptions) -> RepairDecision:
        """Return the decision on one broken group."""
        wait_s = self._expect_wait(group)
        if options.spares >= group.missing:
            return self._decide_spare(group, options, wait_s)
        shortage = f"{options.spares} spares for {group.missing} missing VMs"
        if self._is_merge_cheaper(group, options, wait_s):
            return RepairDecision(
                RepairChoice.MERGE,
                f"{shortage}; expected wait {wait_s:.0f} s; another broken group"
                " waits longer or costs less",
            )
        if self._is_take_cheaper(group, options, wait_s):
            return RepairDecision(
                RepairChoice.TAKE,
                f"{shortage}; expected wait {wait_s:.0f} s; a group beyond its"
                " guarantee costs less",
            )
        if self._is_dissolve_cheaper(group, options, wait_s):
            return RepairDecision(
                RepairChoice.DISSOLVE,
                f"{shortage}; expected wait {wait_s:.0f} s;"
                + (
                    " another fabric domain has room"
                    if options.fits_elsewhere
                    else " its VMs can form groups that other models want"
                ),
            )
        return RepairDecision(
            RepairChoice.WAIT,
            f"{shortage}; expected wait {wait_s:.0f} s",
            "merging, taking and dissolving cost more than waiting",
        )

    def _decide_spare(
        self, group: BrokenGroup, options: RepairOptions, wait_s: float
    ) -> RepairDecision:
        if self._should_await_weights(group, options.load_s):
            return RepairDecision(
                RepairChoice.WAIT,
                f"the VM is likely back before a spare has loaded in"
                f" {options.load_s:.0f} s",
                f"a spare: expected wait {wait_s:.0f} s",
            )
        return RepairDecision(
            RepairChoice.SPARE,
            f"a spare loads in {options.load_s:.0f} s",
            f"waiting: expected {wait_s:.0f} s",
        )

    def _should_await_return(self, group: BrokenGroup, load_s: float) -> bool:
        """Whether to wait on, since the missing VMs are likely back soon.

        Waiting for one more moment costs that moment, and saves the whole
        load if the VM comes back in it. It therefore pays while the rate of
        returns times the load time is above one.
        """
        rate = min(self._returns.return_rate(absent) for absent in group.absent_s)
        return rate * load_s > 1

    def _should_await_weights(self, group: BrokenGroup, load_s: float) -> bool:
        """Whether to wait on, since the VMs are likely back with weights.

        Only returns with loaded weights count: a VM that comes back without
        them needs the same load as a spare.
        """
        rate = min(
            self._returns.return_rate_with_weights(absent) for absent in group.absent_s
        )
        return rate * load_s > 1

    def _is_merge_cheaper(
        self, group: BrokenGroup, options: RepairOptions, wait_s: float
    ) -> bool:
        if options.donor is None or not group.guaranteed:
            # The donor then waits for two VMs of one domain at once. In
            # replays of failure histories this lost more than the merge
            # gained.
            return False
        if self._should_await_return(group, options.load_s):
            return False
        donor_wait_s = self._expect_wait(options.donor)
        gain = self.cost_per_s(group) * (wait_s - options.load_s)
        # The donor's model then waits for this group's VM instead of its own.
        delay_s = max(0.0, wait_s + options.group_load_s - donor_wait_s)
        return gain > _GAIN_MARGIN * self.cost_per_s(options.donor) * delay_s

    def _is_take_cheaper(
        self, group: BrokenGroup, options: RepairOptions, wait_s: float
    ) -> bool:
        if not options.has_victim or not (
            options.victim_fits_elsewhere or group.guaranteed
        ):
            # That one group is down instead of another gains too little for
            # loading both anew.
            return False
        # One cost lasts for as long as the VM is missing, the other arises
        # once.
        lasting_cost_per_s = (
            self._weights.stranded_accelerators * options.victim_leftover_accelerators
        )
        if not options.victim_fits_elsewhere:
            lasting_cost_per_s += self._weights.group_downtime
        load_cost = self._weights.group_downtime * options.group_load_s
        saving_per_s = self.cost_per_s(group) - _GAIN_MARGIN * lasting_cost_per_s
        if saving_per_s <= 0:
            return False
        break_even_s = (
            options.load_s
            + (load_cost + lasting_cost_per_s * options.load_s) / saving_per_s
        )
        return wait_s > _GAIN_MARGIN * break_even_s and not self._should_await_return(
            group, break_even_s
        )

    def _is_dissolve_cheaper(
        self, group: BrokenGroup, options: RepairOptions, wait_s: float
    ) -> bool:
        if self._should_await_return(
            group, _DISSOLVE_LOAD_FACTOR * options.group_load_s
        ):
            return False
        if options.fits_elsewhere:
            return wait_s > _GAIN_MARGIN * options.group_load_s
        if not options.freed_groups:
            return False
        # The freed VMs have to load twice: now, and when this group is
        # formed again.
        return wait_s > 2 * _GAIN_MARGIN * options.group_load_s

    def _expect_wait(self, group: BrokenGroup) -> float:
        return max(self._returns.expected_wait_s(absent) for absent in group.absent_s)
