"""Simulates kinds of requests and customers that compete for one model."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial

from tests.load_world import Caller, FleetShape, SimulatedFleet, Workload
from zinniaspool.core.dispatch import Refusal
from zinniaspool.core.ids import CustomerId

__all__ = ["LARGE_ENGINES", "CompetingCaller", "CompetingFleet", "Kind", "measure_part"]

LARGE_ENGINES = FleetShape(
    engines=3,
    slots=24,
    stride=5,
    step_s=0.00645,
    per_request_s=0.00019,
    read_s=1 / 56_100,
)
"""Engines of the large model of the two new customers."""

RETRY_AT_ONCE_S = 0.02


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of requests.

    Attributes:
        name: Its name.
        urgency: 0 is the most urgent.
        rate: Returns the number of new callers a second at a time.
        prompt: Mean prompt tokens.
        events: Mean events of an answer.
        objective_s: Time until which a first event is on time, in seconds.
        deadline_s: How long a caller waits, in seconds.
        customers: Weights of the customers, which send so much of the kind.
        spread: Log-normal spread of the prompts; 0 for a uniform one.
    """

    name: str
    urgency: int
    rate: Callable[[float], float]
    prompt: int
    events: int
    objective_s: float
    deadline_s: float
    customers: Sequence[float] = (1.0,)
    spread: float = 0.0


@dataclass(eq=False, slots=True)
class CompetingCaller(Caller):
    """A caller of one kind.

    Attributes:
        kind: The name of its kind.
        retries_at_once: Whether it retries immediately, up to three times.
        told: When it was told to come back, for each refusal.
        kept_retry_time: Whether it came back at its retry time.
    """

    kind: str = ""
    retries_at_once: bool = False
    told: list[float] = field(default_factory=list)
    kept_retry_time: bool = False


class CompetingFleet(SimulatedFleet):
    """A fleet whose callers compete.

    Args:
        kinds: The kinds of requests.
        shape: The fleet.
        at_once_part: Part of the callers that retry immediately.
        seed: Seed of all random draws.

    Attributes:
        competing: All callers.
        lost_digest_part: Part of the digests that are lost.
        digest_delay_s: Delay of the others.
    """

    def __init__(
        self,
        kinds: Sequence[Kind],
        shape: FleetShape = LARGE_ENGINES,
        at_once_part: float = 0.0,
        seed: int = 1,
    ) -> None:
        self.competing: list[CompetingCaller] = []
        self.lost_digest_part = 0.0
        self.digest_delay_s = 0.001
        self._kinds = kinds
        self._at_once_part = at_once_part
        super().__init__(lambda _: 0.0, shape, Workload(), seed)

    def schedule_arrivals(self) -> None:
        """Schedule the next new caller of each kind."""
        for kind in self._kinds:
            self._schedule_kind(kind)

    def send_digest(self, deliver: Callable[[], None]) -> None:
        """Deliver a digest late, or lose it."""
        if self.random_source.random() >= self.lost_digest_part:
            self.after(self.digest_delay_s, deliver)

    def refuse(self, caller: Caller, refusal: Refusal, held_s: float) -> None:
        """Refuse a caller, which comes back at once, as told, or not."""
        assert isinstance(caller, CompetingCaller)
        caller.refusals += 1
        caller.max_wait_s = max(caller.max_wait_s, held_s)
        caller.told.append(self.now + refusal.retry_after_s)
        if caller.retries_at_once:
            if caller.attempts <= 3:
                self.after(RETRY_AT_ONCE_S, partial(self.send_request, caller))
        elif self.now + refusal.retry_after_s < caller.deadline:
            caller.kept_retry_time = True
            self.after(refusal.retry_after_s, partial(self.send_request, caller))

    def list_kind(self, kind: str, since: float, until: float) -> list[CompetingCaller]:
        """Return the callers of a kind that came first within a time."""
        return [
            caller
            for caller in self.competing
            if caller.kind == kind and since <= caller.requested_at < until
        ]

    def _schedule_kind(self, kind: Kind) -> None:
        def arrive() -> None:
            self._add_caller(kind)
            self._schedule_kind(kind)

        self.after(self.random_source.expovariate(kind.rate(self.now)), arrive)

    def _add_caller(self, kind: Kind) -> None:
        source = self.random_source
        number = source.choices(range(len(kind.customers)), kind.customers)[0]
        caller = CompetingCaller(
            self.now,
            self.now + kind.deadline_s * source.uniform(0.97, 1.0),
            int(kind.prompt * _draw_size(source, kind.spread)),
            max(1, int(kind.events * source.uniform(0.5, 1.5))),
            customer=CustomerId(f"{kind.name}-{number}"),
            urgency=kind.urgency,
            objective_s=kind.objective_s,
            draw=source.random(),
            kind=kind.name,
            retries_at_once=source.random() < self._at_once_part,
        )
        self.competing.append(caller)
        self.send_request(caller)


def _draw_size(source: random.Random, spread: float) -> float:
    if not spread:
        return source.uniform(0.5, 1.5)
    # The mean of a log-normal value is above its median by this factor.
    return source.lognormvariate(-(spread**2) / 2, spread)


def measure_part(callers: Sequence[Caller], *, on_time: bool = False) -> float:
    """Return the part of callers that were served, or served on time."""
    done = [
        caller.is_on_time(caller.objective_s)
        if on_time
        else caller.ended_at is not None
        for caller in callers
    ]
    return sum(done) / max(1, len(done))
