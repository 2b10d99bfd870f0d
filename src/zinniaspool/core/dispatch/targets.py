"""Targets of requests, and what a process knows of each."""

from dataclasses import dataclass

from zinniaspool.core.dispatch.outside import OutsideUse
from zinniaspool.core.dispatch.rates import AnnouncedRate
from zinniaspool.core.fleet import NO_LOAD, InstanceId, TargetLoad, is_reborn
from zinniaspool.core.ids import (
    Address,
    Epoch,
    FabricDomainId,
    FailureDomainId,
    GroupId,
    ModelName,
)

__all__ = ["Target", "TargetState", "is_same"]

REPORT_HALF_LIFE_S = 0.7
"""Seconds after which half of what an answer told beyond all that processes
say of themselves is taken to be over: about half of a stream's time. Such are
requests of processes that were lost or are cut off."""


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
        ending: Whether it finishes what it has and is to get nothing new.
        fabric_domain: Whose VMs its group is made of; None for a plain
            service. They may all be lost at one moment.
    """

    instance: InstanceId
    address: Address
    failure_domain: FailureDomainId
    slots: int
    model: ModelName | None = None
    group: GroupId | None = None
    epoch: Epoch = Epoch(0)
    born: int | None = None
    ending: bool = False
    fabric_domain: FabricDomainId | None = None


@dataclass(eq=False, slots=True)
class TargetState:
    """One target as this process sees it.

    Attributes:
        target: Which.
        own: Requests that this process has there.
        unread: Prompt tokens of those that have had no event yet.
        unread_since: The most prompt tokens that were to be read there at a
            time since something last came from it, as far as known.
        writing: How many of them have had an event.
        held_up: How many of those wait for a caller that reads slowly, so
            that the target's events lie unread here.
        peers: What other processes say they have there.
        unnamed: Requests that nobody names, by the newest answer.
        unnamed_at: When that was.
        progress_at: When anything last came from it, in seconds.
        silent_until: Until when it is not used, since it says nothing.
        silences: How often in a row it fell silent.
        failures: Failures in a row.
        ejected_until: Until when it is left alone.
        error_part: Smoothed part of its answers that failed.
        part: The part of it that is shared by those that tell this process
            their loads; 0 where it is others' altogether.
        others: What those are taken to have there that do not tell.
        outside: How much the targets of its failure domain are used, where it
            is others' altogether.
        rate: How often it may be sent a request, where it has announced that.
        gone: Whether it is no longer among the targets.
    """

    target: Target
    own: int = 0
    unread: int = 0
    unread_since: int = 0
    writing: int = 0
    held_up: int = 0
    peers: TargetLoad = NO_LOAD
    unnamed: float = 0.0
    unnamed_at: float = 0.0
    progress_at: float = 0.0
    silent_until: float = 0.0
    silences: int = 0
    failures: int = 0
    ejected_until: float = 0.0
    error_part: float = 0.0
    part: float = 1.0
    others: float = 0.0
    outside: OutsideUse | None = None
    rate: AnnouncedRate | None = None
    gone: bool = False

    def load(self, now: float) -> float:
        """Return how many requests are thought to be there."""
        named = float(self.own + self.peers.requests)
        unnamed = 0.0
        if self.unnamed:
            age = max(0.0, now - self.unnamed_at)
            unnamed = self.unnamed * 0.5 ** (age / REPORT_HALF_LIFE_S)
        others = self.others
        if self.outside is not None:
            others = self.outside.estimate(now) * self.target.slots
        if 0.0 < self.part < 1.0:
            # Those that share the rest of it have about as much to do.
            others = max(others, named * (1.0 - self.part) / self.part)
        return named + max(unnamed, others)

    @property
    def shared(self) -> bool:
        """Whether any of it is this process's and its subset's."""
        return self.part > 0.0

    @property
    def slots(self) -> float:
        """How many of its slots are this process's subset's."""
        return self.part * self.target.slots

    @property
    def all_unread(self) -> int:
        """Prompt tokens there that are to be read, as far as known."""
        return self.unread + self.peers.unread

    def note_unread(self) -> None:
        """Count prompts that have come in for the pass under way."""
        self.unread_since = max(self.unread_since, self.all_unread)

    def is_within_rate(self, now: float) -> bool:
        """Whether one more request is within what it has announced to take."""
        return self.rate is None or self.rate.allows(self.part, now)

    def usable(self, now: float) -> bool:
        """Whether requests may be sent there."""
        if self.gone or self.target.ending:
            return False
        if self.rate is not None and not self.is_within_rate(now):
            return False
        return now >= self.silent_until and now >= self.ejected_until


def is_same(before: Target, now: Target) -> bool:
    """Tell whether what is known of a target still holds.

    A group that was formed anew, or an instance that started again, has none
    of the requests and nothing of the past of the one before.
    """
    same_group = (before.group, before.epoch) == (now.group, now.epoch)
    return same_group and not is_reborn(before.born, now.born)
