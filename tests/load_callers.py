"""What the simulated fleet is like, and what its callers ask for."""

from dataclasses import dataclass, field

from zinniaspool.core.fleet import InstanceId
from zinniaspool.core.ids import CustomerId

__all__ = ["Caller", "FleetShape", "Workload"]


@dataclass(frozen=True, slots=True)
class FleetShape:
    """The simulated fleet.

    The defaults are the figures of the smaller model in the users' sheets, as
    replayed.

    Attributes:
        entries: Entry processes.
        engines: Replica groups of the model.
        slots: Requests that an engine runs at a time.
        stride: Token steps in a pass; each pass brings one event.
        step_s: Time of a step, in seconds.
        per_request_s: Additional time of a step for each running request, in
            seconds.
        read_s: Time to read a prompt token, in seconds.
        first_event_s: Time of each first event that load doesn't explain, in
            seconds.
        report_s: Time between two load reports of a process, in seconds.
        link_s: Time that a load report takes, in seconds.
    """

    entries: int = 8
    engines: int = 6
    slots: int = 13
    stride: int = 6
    step_s: float = 0.00387
    per_request_s: float = 0.000116
    read_s: float = 0.0000107
    first_event_s: float = 0.093
    report_s: float = 0.05
    link_s: float = 0.001


@dataclass(frozen=True, slots=True)
class Workload:
    """What callers ask for.

    Attributes:
        prompt: Mean prompt tokens; the simulation draws from a half to one and
            a half times that.
        prompt_spread: Logarithmic standard deviation of the prompt tokens; 0
            for the uniform distribution above.
        events: Mean events of an answer; drawn likewise.
        max_gap_s: Longest gap between two events that is on time, in seconds.
        objective_s: Time until which a first event is on time, in seconds.
        deadline_s: How long the most patient caller waits, in seconds.
        first_event_timeout_s: Time after which a caller without an event
            leaves, in seconds.
    """

    prompt: int = 674
    prompt_spread: float = 0.0
    events: int = 31
    objective_s: float = 0.25
    max_gap_s: float = 0.2
    deadline_s: float = 6.0
    first_event_timeout_s: float = 2.0


@dataclass(eq=False, slots=True)
class Caller:
    """One caller's request, over both of its attempts.

    Attributes:
        requested_at: Time of its first attempt.
        deadline: Time at which it stops waiting.
        prompt: Prompt tokens.
        events: Events of its answer.
        first_event_at: Time of its first event, or None if there is none.
        ended_at: Time of its last event.
        attempts: How often it sent its request.
        refusals: How often it was refused.
        engines: Engines that it was sent to.
        received: Events that it has received.
        failures: How often an engine failed it.
        last_event_at: Time of its newest event.
        max_gap_s: Longest gap between two events, in seconds.
        max_wait_s: Longest time that it waited before it was refused, in
            seconds.
        customer: Its customer.
        urgency: 0 is the most urgent.
        objective_s: Time until which its first event is on time, in seconds.
        draw: Hash of its content, 0 to 1.
    """

    requested_at: float
    deadline: float
    prompt: int
    events: int
    first_event_at: float | None = None
    ended_at: float | None = None
    attempts: int = 0
    refusals: int = 0
    engines: list[InstanceId] = field(default_factory=list)
    received: int = 0
    failures: int = 0
    last_event_at: float = 0.0
    max_gap_s: float = 0.0
    max_wait_s: float = 0.0
    customer: CustomerId = CustomerId("c")
    urgency: int = 1
    objective_s: float = 0.25
    draw: float = 0.0

    def record_event(self, now: float, *, last: bool) -> None:
        """Record an event of its answer."""
        if self.first_event_at is None:
            self.first_event_at = now
        else:
            self.max_gap_s = max(self.max_gap_s, now - self.last_event_at)
        self.last_event_at = now
        self.received += 1
        if last:
            self.ended_at = now

    def is_on_time(self, objective_s: float) -> bool:
        """Whether the first event came within the objective."""
        done = self.ended_at is not None and self.first_event_at is not None
        return done and (self.first_event_at or 0.0) - self.requested_at <= objective_s
