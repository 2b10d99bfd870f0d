"""What reaches an upstream that leaves or pauses, by the VM it comes from."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import inf

__all__ = ["Arrival", "LeavingLog"]


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached an upstream.

    Attributes:
        request: Its id.
        port: Port at the other end of its connection.
        at: When it arrived, in seconds of the loop's clock.
    """

    request: str
    port: int
    at: float


@dataclass(eq=False)
class LeavingLog:
    """What one run of an upstream said of its leaving, and what came.

    Times are in seconds of the loop's clock.

    Attributes:
        said: When it first said in an answer that it leaves, by the port at
            the other end of the connection.
        recorded_at: When the store accepted a record that says it; infinite
            before.
        arrivals: The requests that reached it.
        pauses: When it asked for pauses, with the ports that it asked.
    """

    said: dict[int, float] = field(default_factory=dict)
    recorded_at: float = inf
    arrivals: list[Arrival] = field(default_factory=list)
    pauses: list[tuple[int, float]] = field(default_factory=list)

    def note_said(self, port: int, now: float) -> None:
        """Note an answer that says that the upstream leaves."""
        self.said.setdefault(port, now)

    def note_arrival(self, request: str, port: int, now: float) -> None:
        """Note a request that reached the upstream."""
        self.arrivals.append(Arrival(request, port, now))

    def find_first_said(self) -> float:
        """Return when it first said it in an answer; infinite if never."""
        return min(self.said.values(), default=inf)

    def list_late(
        self, vms: Mapping[int, str], bound_s: float
    ) -> list[tuple[str, Arrival]]:
        """Return what came from VMs that had passed such an answer on before.

        Args:
            vms: VMs by the ports of their connections.
            bound_s: Time after the first such answer to a VM in which requests
                may still come from it, in seconds.

        Returns:
            The requests, each with its VM.
        """
        told: dict[str, float] = {}
        for port, at in self.said.items():
            vm = vms.get(port, "")
            told[vm] = min(at, told.get(vm, inf))
        return [
            (vm, one)
            for vm, one in _name_vms(self.arrivals, vms)
            if one.at > told.get(vm, inf) + bound_s
        ]

    def list_late_in_fleet(
        self, vms: Mapping[int, str], bound_s: float
    ) -> list[tuple[str, Arrival]]:
        """Return what came from any VM after the first answer, or the record.

        Args:
            vms: VMs by the ports of their connections.
            bound_s: Time since then in which requests may still come, in
                seconds.

        Returns:
            The requests, each with its VM.
        """
        known_at = min(self.find_first_said(), self.recorded_at)
        return [
            (vm, one)
            for vm, one in _name_vms(self.arrivals, vms)
            if one.at > known_at + bound_s
        ]

    def list_in_pauses(
        self, vms: Mapping[int, str], grace_s: float, pause_s: float
    ) -> list[tuple[str, Arrival]]:
        """Return what came from VMs that had been asked for a pause.

        Args:
            vms: VMs by the ports of their connections.
            grace_s: Time after that in which requests may still come, in
                seconds.
            pause_s: Length of a pause, in seconds.

        Returns:
            The requests, each with its VM.
        """
        asked = [(vms.get(port, ""), at) for port, at in self.pauses]
        return [
            (vm, one)
            for vm, one in _name_vms(self.arrivals, vms)
            if any(
                vm == paused and grace_s < one.at - at <= pause_s
                for paused, at in asked
            )
        ]


def _name_vms(
    arrivals: Iterable[Arrival], vms: Mapping[int, str]
) -> list[tuple[str, Arrival]]:
    return [(vms.get(one.port, ""), one) for one in arrivals]
