"""What reaches an upstream that leaves or pauses, by the VM it comes from."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from math import inf
from types import MappingProxyType

__all__ = ["Arrival", "LeavingBounds", "LeavingLog"]


@dataclass(frozen=True, slots=True)
class LeavingBounds:
    """Until when requests may reach an upstream that leaves.

    Attributes:
        drain_s: Time after it was said, to the VM of the request or to the
            store, in seconds.
        spread_s: Time after it was said to any VM, in seconds.
        start_s: Time in which a VM that was started again or frozen learns who
            leaves, in seconds.
    """

    drain_s: float
    spread_s: float
    start_s: float


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached an upstream.

    Attributes:
        request: Its id.
        vm: The VM that its connection came from; empty if it isn't known.
        at: When it arrived, in seconds of the loop's clock.
    """

    request: str
    vm: str
    at: float


@dataclass(eq=False)
class LeavingLog:
    """What one run of an upstream said of its leaving, and what came.

    Times are in seconds of the loop's clock.

    Attributes:
        said: When it said in an answer that it leaves, with the VMs that it
            answered.
        recorded_at: When the store accepted a record that says it; None
            before.
        arrivals: The requests that reached it.
        pauses: When it asked for pauses, with the VMs that it asked.
    """

    said: list[tuple[str, float]] = field(default_factory=list)
    recorded_at: float | None = None
    arrivals: list[Arrival] = field(default_factory=list)
    pauses: list[tuple[str, float]] = field(default_factory=list)

    def note_said(self, vm: str, now: float) -> None:
        """Note an answer that says that the upstream leaves."""
        self.said.append((vm, now))

    def note_arrival(self, request: str, vm: str, now: float) -> None:
        """Note a request that reached the upstream."""
        self.arrivals.append(Arrival(request, vm, now))

    def find_first_said(self) -> float:
        """Return when it first said it in an answer; infinite if never."""
        return min((at for _, at in self.said), default=inf)

    def list_late(
        self,
        bound_s: float,
        restarts: Mapping[str, Sequence[float]] = MappingProxyType({}),
    ) -> list[Arrival]:
        """Return what came from VMs that had passed such an answer on before.

        Args:
            bound_s: Time after such an answer to a VM in which requests may
                still come from it, in seconds.
            restarts: When VMs were started again, which then know nothing.
        """
        return [
            one
            for one in self.arrivals
            if any(
                vm == one.vm
                and one.at > at + bound_s
                and not any(at < again <= one.at for again in restarts.get(vm, ()))
                for vm, at in self.said
            )
        ]

    def list_late_in_fleet(
        self,
        bound_s: float,
        restarts: Mapping[str, Sequence[float]] = MappingProxyType({}),
    ) -> list[Arrival]:
        """Return what came from any VM after the first answer.

        Args:
            bound_s: Time since then, or since a VM was started again, in which
                requests may still come, in seconds.
            restarts: When VMs were started again.
        """
        known_at = self.find_first_said()
        return [
            one
            for one in self.arrivals
            if one.at > max([known_at, *restarts.get(one.vm, ())]) + bound_s
        ]

    def list_after_record(self, bound_s: float, until: float = inf) -> list[Arrival]:
        """Return what came after the store had accepted a record that says it.

        Args:
            bound_s: Time since then in which requests may still come, in
                seconds.
            until: When this no longer counts, in seconds.
        """
        if self.recorded_at is None:
            return []
        begins_at = self.recorded_at + bound_s
        return [one for one in self.arrivals if begins_at < one.at <= until]

    def describe_broken(
        self,
        upstream: str,
        bounds: LeavingBounds,
        restarts: Mapping[str, Sequence[float]],
        outages: Sequence[tuple[float, float]],
    ) -> list[str]:
        """Return a line for each request that came too late.

        Args:
            upstream: The upstream's name.
            bounds: Until when requests may come.
            restarts: When VMs were started again, or ran again after they had
                been frozen.
            outages: When the store couldn't be reached by all VMs, from and
                until.
        """
        learned = {
            vm: [at + bounds.start_s - bounds.spread_s for at in times]
            for vm, times in restarts.items()
        }
        late = [
            *self.list_late(bounds.drain_s, restarts),
            *self.list_late_in_fleet(bounds.spread_s, learned),
        ]
        found = [
            f"{upstream}: {one.request} from {one.vm} "
            f"{one.at - self.find_first_said():.2f} s after it had said that it leaves"
            for one in late
        ]
        if self.recorded_at is None:
            return found
        ends = [
            began
            for began, ended in outages
            if ended + bounds.drain_s > self.recorded_at
        ]
        ends += [at for times in restarts.values() for at in times]
        near = (at for at in ends if at > self.recorded_at - bounds.drain_s)
        late = self.list_after_record(bounds.drain_s, min(near, default=inf))
        found += [
            f"{upstream}: {one.request} from {one.vm} "
            f"{one.at - self.recorded_at:.2f} s after its record"
            for one in late
        ]
        return found

    def list_in_pauses(self, grace_s: float, pause_s: float) -> list[Arrival]:
        """Return what came from VMs that had been asked for a pause.

        Args:
            grace_s: Time after that in which requests may still come, in
                seconds.
            pause_s: Length of a pause, in seconds.
        """
        return [
            one
            for one in self.arrivals
            if any(
                one.vm == vm and grace_s < one.at - at <= pause_s
                for vm, at in self.pauses
            )
        ]
