"""Targets of requests, and the choice among them."""

import random
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from zinniaspool.core.fleet import InstanceId, is_reborn
from zinniaspool.core.ids import Address, Epoch, FailureDomainId, GroupId, ModelName

__all__ = ["PlainPick", "RequestSize", "Target", "TargetPool", "TargetState"]

REPORT_HALF_LIFE_S = 0.7
"""Seconds after which half of what an answer told of others' requests is taken
to be over: about half of the time that a stream takes."""

ERROR_WEIGHT = 0.15
"""Weight of one answer in the part of a target's answers that failed: some ten
answers tell, few enough to notice within a second of usual traffic."""

ERROR_COST = 3.0
"""What a target that always fails counts as, in full targets."""

FAR_COST = 0.25
"""What another failure domain costs, in full targets. What is carried between
them is paid for, and a target that is a quarter fuller answers about as soon
as long as it has free slots; a full one never wins by being near."""

EJECT_FAILURES = 3
"""Failures in a row after which a target is left alone for a while."""

EJECT_S = 1.0
"""For how long, in seconds: a restart takes about as long."""


@dataclass(frozen=True, slots=True)
class Target:
    """Where a request can be sent: a whole group's head or a plain instance.

    Attributes:
        instance: Which run of an upstream process.
        address: Where it listens.
        failure_domain: Where it is.
        slots: Requests that it runs at a time.
        model: What it serves; None for a plain service.
        group: Its replica group.
        epoch: That group's epoch.
        born: Unix milliseconds of the instance's start, where it tells.
    """

    instance: InstanceId
    address: Address
    failure_domain: FailureDomainId
    slots: int
    model: ModelName | None = None
    group: GroupId | None = None
    epoch: Epoch = Epoch(0)
    born: int | None = None


class RequestSize(NamedTuple):
    """What a request costs an engine."""

    prompt_tokens: int
    output_tokens: int


@dataclass(eq=False, slots=True)
class TargetState:
    """One target as this process sees it.

    Attributes:
        target: Which.
        own: Requests that this process has there.
        prefill: Prompt tokens of those that have had no event yet.
        writing: How many of them have had an event.
        others: Requests that others had there by the newest answer.
        others_at: When that was.
        progress_at: When anything last came from it, in seconds.
        silent_until: Until when it is not used, since it says nothing.
        silences: How often in a row it fell silent.
        failures: Failures in a row.
        ejected_until: Until when it is left alone.
        error_part: Smoothed part of its answers that failed.
        gone: Whether it is no longer among the targets.
    """

    target: Target
    own: int = 0
    prefill: int = 0
    writing: int = 0
    others: float = 0.0
    others_at: float = 0.0
    progress_at: float = 0.0
    silent_until: float = 0.0
    silences: int = 0
    failures: int = 0
    ejected_until: float = 0.0
    error_part: float = 0.0
    gone: bool = False

    def load(self, now: float) -> float:
        """Return how many requests are thought to be there."""
        age = max(0.0, now - self.others_at)
        left: float = 0.5 ** (age / REPORT_HALF_LIFE_S)
        return self.own + self.others * left

    def usable(self, now: float) -> bool:
        """Whether requests may be sent there."""
        return not self.gone and now >= self.silent_until and now >= self.ejected_until


class PlainPick(NamedTuple):
    """A choice, and how many others there were."""

    state: TargetState
    others: int


class TargetPool:
    """The targets of one service or of one of its models.

    Args:
        own_domain: This process's failure domain.
        source: Breaks ties, so that processes do not all choose the same.
    """

    def __init__(self, own_domain: FailureDomainId, source: random.Random) -> None:
        self._own_domain = own_domain
        self._source = source
        self._states: dict[InstanceId, TargetState] = {}

    def __iter__(self) -> Iterator[TargetState]:
        return iter(list(self._states.values()))

    def __len__(self) -> int:
        return len(self._states)

    def update(self, targets: Iterable[Target], now: float) -> list[TargetState]:
        """Take the targets that there are; return those that are no more."""
        wanted = {one.instance: one for one in targets}
        gone = []
        for name, state in list(self._states.items()):
            new = wanted.get(name)
            if new is None or not _is_same(state.target, new):
                state.gone = True
                gone.append(self._states.pop(name))
            else:
                state.target = new
        for name, target in wanted.items():
            if name not in self._states:
                self._states[name] = TargetState(target, progress_at=now)
        return gone

    def choose(
        self, now: float, tried: Collection[InstanceId] = ()
    ) -> TargetState | None:
        """Return the target that will answer soonest, or None."""
        usable = [
            state
            for name, state in self._states.items()
            if name not in tried and state.usable(now)
        ]
        if not usable:
            usable = self._last_resort(now, tried)
        if not usable:
            return None
        return min(usable, key=lambda one: (self._cost(one, now), self._draw()))

    def room(self, now: float) -> float:
        """Return how many requests can begin at once, over all targets."""
        return sum(
            max(0.0, state.target.slots - state.load(now))
            for state in self._states.values()
            if state.usable(now)
        )

    def note_load(self, state: TargetState, total: int, now: float) -> None:
        """Take what an answer tells of all requests there."""
        state.others = max(0.0, total - state.own)
        state.others_at = now

    def note_end(self, state: TargetState, failed: bool, now: float) -> None:
        """Take whether a request there was answered."""
        state.error_part += ERROR_WEIGHT * (float(failed) - state.error_part)
        if not failed:
            state.failures = 0
            return
        state.failures += 1
        if state.failures >= EJECT_FAILURES:
            state.failures = 0
            state.ejected_until = now + EJECT_S

    def _last_resort(
        self, now: float, tried: Collection[InstanceId]
    ) -> list[TargetState]:
        # Were all left alone that have failed, a fault of the network would
        # leave no target. One that is silent is no better than none.
        return [
            state
            for name, state in self._states.items()
            if name not in tried and now >= state.silent_until
        ]

    def _cost(self, state: TargetState, now: float) -> float:
        target = state.target
        cost = (state.load(now) + 1) / target.slots
        cost += ERROR_COST * state.error_part
        if target.failure_domain != self._own_domain:
            cost += FAR_COST
        return cost

    def _draw(self) -> float:
        return self._source.random()


def _is_same(before: Target, now: Target) -> bool:
    """Tell whether what is known of a target still holds.

    A group that was formed anew, or an instance that started again, has none
    of the requests and nothing of the past of the one before.
    """
    same_group = (before.group, before.epoch) == (now.group, now.epoch)
    return same_group and not is_reborn(before.born, now.born)
