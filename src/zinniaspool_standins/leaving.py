"""What reaches an upstream that leaves or pauses, by the VM it comes from."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from math import inf
from types import MappingProxyType

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
        self,
        vms: Mapping[int, str],
        bound_s: float,
        restarts: Mapping[str, Sequence[float]] = MappingProxyType({}),
    ) -> list[tuple[str, Arrival]]:
        """Return what came from VMs that had passed such an answer on before.

        Args:
            vms: VMs by the ports of their connections.
            bound_s: Time after such an answer to a VM in which requests may
                still come from it, in seconds.
            restarts: When VMs were started again, which then know nothing.

        Returns:
            The requests, each with its VM.
        """
        told = [(vms.get(port, ""), at) for port, at in self.said.items()]
        return [
            (vm, one)
            for vm, one in _name_vms(self.arrivals, vms)
            if any(
                vm == knowing
                and one.at > at + bound_s
                and not any(at < again <= one.at for again in restarts.get(vm, ()))
                for knowing, at in told
            )
        ]

    def list_late_in_fleet(
        self,
        vms: Mapping[int, str],
        bound_s: float,
        restarts: Mapping[str, Sequence[float]] = MappingProxyType({}),
    ) -> list[tuple[str, Arrival]]:
        """Return what came from any VM after the first answer.

        Args:
            vms: VMs by the ports of their connections.
            bound_s: Time since then, or since a VM was started again, in which
                requests may still come, in seconds.
            restarts: When VMs were started again.

        Returns:
            The requests, each with its VM.
        """
        known_at = self.find_first_said()
        return [
            (vm, one)
            for vm, one in _name_vms(self.arrivals, vms)
            if one.at > max([known_at, *restarts.get(vm, ())]) + bound_s
        ]

    def list_after_record(self, bound_s: float, until: float = inf) -> list[Arrival]:
        """Return what came after the store had accepted a record that says it.

        Args:
            bound_s: Time since then in which requests may still come, in
                seconds.
            until: When this no longer counts, in seconds.
        """
        return [
            one for one in self.arrivals if self.recorded_at + bound_s < one.at <= until
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
