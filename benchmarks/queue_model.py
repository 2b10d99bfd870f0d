"""A small queue model of upstreams, on a virtual clock.

Upstreams have slots and an unbounded queue in front of them; their load is
reported late. Entry processes are the real admission and routing of the core,
or a plain policy to compare with. Callers do not ask again.
"""

import heapq
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from typing import Protocol

from zinniaspool.core.errors import Fault
from zinniaspool.core.ids import Address, CustomerId, FailureDomainId, UpstreamId
from zinniaspool.core.requests import (
    Admission,
    AttemptOutcome,
    CustomerShare,
    PeerCounts,
    Ticket,
    TicketState,
    Upstream,
    UpstreamPool,
    UpstreamReport,
    UpstreamState,
    compute_local_shares,
)

__all__ = [
    "CoreEntry",
    "Engine",
    "Entry",
    "FirstEntry",
    "Job",
    "MakeEntry",
    "Model",
    "RandomEntry",
    "RoundRobinEntry",
    "Shape",
    "run_model",
]

_CROWD = 0.02
_REPORT_EVERY_S = 0.5
_SHARE_EVERY_S = 0.2
_DIGEST_LAG_S = 0.5
_DOMAINS = 3


@dataclass(slots=True, eq=False)
class Job:
    """One request.

    Attributes:
        customer: Whose.
        arrived: When its caller sent it.
        work_s: What it takes on a normal, empty upstream.
        deadline: When its caller gives up.
        first_token_at: When its answer began.
        done_at: When its answer was whole, if in time.
        over: Whether its caller has given up.
        refused: Whether it was refused.
    """

    customer: CustomerId
    arrived: float
    work_s: float
    deadline: float
    first_token_at: float | None = None
    done_at: float | None = None
    over: bool = False
    refused: bool = False


@dataclass(slots=True, eq=False)
class Engine:
    """One upstream.

    Attributes:
        name: Its name.
        slots: Jobs that run at a time.
        slowness: Its time for a job as a multiple of the normal one.
    """

    name: UpstreamId
    slots: int
    slowness: float = 1.0
    running: int = 0
    queue: "deque[_Sent]" = field(default_factory=deque)

    @property
    def load(self) -> int:
        """Jobs here."""
        return self.running + len(self.queue)


@dataclass(slots=True, eq=False)
class _Sent:
    job: Job
    on_end: Callable[[bool], None]
    runs: bool = False
    ended: bool = False


class Model:
    """The clock, the events and the upstreams."""

    def __init__(self, engines: list[Engine], source: random.Random) -> None:
        self.now = 0.0
        self.engines = engines
        self.source = source
        self.entries = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()

    def at(self, when: float, act: Callable[[], None]) -> None:
        """Do something at a time."""
        heapq.heappush(self._events, (when, next(self._numbers), act))

    def run(self, until: float) -> None:
        """Let the time pass."""
        while self._events and self._events[0][0] <= until:
            self.now, _, act = heapq.heappop(self._events)
            act()

    def send(self, engine: Engine, job: Job, on_end: Callable[[bool], None]) -> None:
        """Send a job to an upstream; ``on_end`` is told if it was answered."""
        sent = _Sent(job, on_end)
        self.at(job.deadline, lambda: self._give_up(engine, sent))
        if engine.running < engine.slots:
            self._start(engine, sent)
        else:
            engine.queue.append(sent)

    def _start(self, engine: Engine, sent: _Sent) -> None:
        engine.running += 1
        sent.runs = True
        crowd = 1 + _CROWD * (engine.running - 1)
        took_s = sent.job.work_s * engine.slowness * crowd
        self.at(self.now + took_s * 0.1, lambda: self._note_first(sent))
        self.at(self.now + took_s, lambda: self._finish(engine, sent))

    def _note_first(self, sent: _Sent) -> None:
        if not sent.ended:
            sent.job.first_token_at = self.now

    def _finish(self, engine: Engine, sent: _Sent) -> None:
        if sent.ended:
            return
        sent.ended = True
        sent.job.done_at = self.now
        self._free(engine)
        sent.on_end(True)

    def _give_up(self, engine: Engine, sent: _Sent) -> None:
        if sent.ended:
            return
        sent.ended = sent.job.over = True
        if sent.runs:
            self._free(engine)
        else:
            engine.queue.remove(sent)
        sent.on_end(False)

    def _free(self, engine: Engine) -> None:
        engine.running -= 1
        if engine.queue:
            self._start(engine, engine.queue.popleft())


class Entry(Protocol):
    """One entry process."""

    def offer(self, job: Job) -> None:
        """Take a caller's request."""
        ...


class RandomEntry:
    """Sends each job to a random upstream."""

    def __init__(self, model: Model) -> None:
        self._model = model

    def offer(self, job: Job) -> None:
        """See :class:`Entry`."""
        engine = self._model.source.choice(self._model.engines)
        self._model.send(engine, job, lambda _: None)


class RoundRobinEntry:
    """Sends jobs to the upstreams in turn."""

    def __init__(self, model: Model) -> None:
        self._model = model
        self._next = model.source.randrange(len(model.engines))

    def offer(self, job: Job) -> None:
        """See :class:`Entry`."""
        self._next = (self._next + 1) % len(self._model.engines)
        engine = self._model.engines[self._next]
        self._model.send(engine, job, lambda _: None)


class FirstEntry:
    """The first version: own counts, two choices, no admission."""

    def __init__(self, model: Model) -> None:
        self._model = model
        self._own = dict.fromkeys((engine.name for engine in model.engines), 0)

    def offer(self, job: Job) -> None:
        """See :class:`Entry`."""
        engines = self._model.engines
        free = [e for e in engines if self._own[e.name] < e.slots]
        if not free:
            job.refused = True
            return
        drawn = self._model.source.sample(free, min(2, len(free)))
        engine = min(drawn, key=lambda e: self._own[e.name])
        self._own[engine.name] += 1

        def end(answered: bool) -> None:
            self._own[engine.name] -= 1

        self._model.send(engine, job, end)


class CoreEntry:
    """The core's admission and routing."""

    def __init__(self, model: Model, shares: tuple[CustomerShare, ...]) -> None:
        self.admission = Admission()
        model.entries += 1
        domain = FailureDomainId(f"domain{model.entries % _DOMAINS}")
        self.pool = UpstreamPool(model.source, domain)
        self._model = model
        self._shares = shares
        self._engines = {engine.name: engine for engine in model.engines}
        self._waiting: dict[Ticket, Job] = {}
        self.pool.sync(map(_describe, range(len(model.engines)), model.engines), 0.0)

    def offer(self, job: Job) -> None:
        """See :class:`Entry`."""
        now = self._model.now
        asked = self.admission.submit(job.customer, 3, job.deadline, now)
        if isinstance(asked, Fault):
            job.refused = True
            return
        if asked.state is TicketState.ADMITTED:
            self._send(asked, job)
            return
        self._waiting[asked] = job
        self._model.at(asked.wait_until, lambda: self._give_up(asked))

    def share(self, elsewhere: dict[CustomerId, float], peers: PeerCounts) -> None:
        """Work the limits out anew."""
        shares = compute_local_shares(
            self.pool.slots,
            self._shares,
            self.admission.list_demands(),
            elsewhere,
            peers,
        )
        weights = {share.customer: share.weight for share in self._shares}
        self._admit(self.admission.set_shares(shares, weights, self._model.now))

    def _admit(self, tickets: list[Ticket]) -> None:
        for ticket in tickets:
            self._send(ticket, self._waiting.pop(ticket))

    def _give_up(self, ticket: Ticket) -> None:
        job = self._waiting.pop(ticket, None)
        if job is not None:
            self.admission.remove_waiting(ticket)
            job.refused = True

    def _send(self, ticket: Ticket, job: Job) -> None:
        now = self._model.now
        state = self.pool.choose(now)
        assert state is not None
        self.pool.begin(state, now)

        def end(answered: bool) -> None:
            self._end(ticket, state, job, answered)

        self._model.send(self._engines[state.upstream.id], job, end)

    def _end(
        self, ticket: Ticket, state: UpstreamState, job: Job, answered: bool
    ) -> None:
        now = self._model.now
        latency_s = None
        if job.first_token_at is not None:
            latency_s = job.first_token_at - ticket.admitted_at
        end = AttemptOutcome.ANSWERED if answered else AttemptOutcome.ABANDONED
        stay_s = now - ticket.admitted_at if answered else None
        self.pool.end(state, now, end, latency_s, stay_s)
        self._admit(self.admission.end(ticket, now, answered=answered))


def _describe(number: int, engine: Engine) -> UpstreamReport:
    domain = FailureDomainId(f"domain{number % _DOMAINS}")
    address = Address(engine.name)
    return UpstreamReport(Upstream(engine.name, address, domain, engine.slots))


@dataclass(frozen=True, slots=True)
class Shape:
    """What is run.

    Attributes:
        engines: Upstreams.
        slots: Of each.
        entries: Entry processes.
        work_s: Mean work of a job.
        deadline_s: Time that callers give.
        length_s: How long callers send.
        lag_s: Age of the load reports when they arrive.
        stragglers: Upstreams that are five times slower.
    """

    engines: int = 16
    slots: int = 8
    entries: int = 4
    work_s: float = 1.0
    deadline_s: float = 4.0
    length_s: float = 60.0
    lag_s: float = 0.5
    stragglers: int = 0

    @property
    def capacity_per_s(self) -> float:
        """Jobs a second that all upstreams together answer."""
        crowd = 1 + _CROWD * (self.slots - 1)
        return self.engines * self.slots / (self.work_s * crowd)


MakeEntry = Callable[[Model], Entry]


def run_model(
    shape: Shape, make_entry: MakeEntry, rates: dict[CustomerId, float], seed: int = 1
) -> list[Job]:
    """Return every job of a run.

    Args:
        shape: What is run.
        make_entry: Makes each entry process.
        rates: Jobs a second of each customer.
        seed: Of the random source.
    """
    engines = [
        Engine(UpstreamId(f"e{n}"), shape.slots, 5.0 if n < shape.stragglers else 1.0)
        for n in range(shape.engines)
    ]
    model = Model(engines, random.Random(seed))
    entries = [make_entry(model) for _ in range(shape.entries)]
    jobs: list[Job] = []
    for customer, rate in rates.items():
        _schedule_jobs(model, shape, entries, customer, rate, jobs)
    cores = [entry for entry in entries if isinstance(entry, CoreEntry)]
    if cores:
        _schedule_reports(model, shape, cores)
        _schedule_shares(model, shape, cores)
    model.run(shape.length_s + shape.deadline_s)
    return jobs


def _schedule_jobs(
    model: Model,
    shape: Shape,
    entries: list[Entry],
    customer: CustomerId,
    rate: float,
    jobs: list[Job],
) -> None:
    source = random.Random(f"{customer}/{rate}")

    def arrive() -> None:
        now = model.now
        work_s = shape.work_s * source.uniform(0.5, 1.5)
        job = Job(customer, now, work_s, now + shape.deadline_s)
        jobs.append(job)
        source.choice(entries).offer(job)
        follow = now + source.expovariate(rate)
        if follow < shape.length_s:
            model.at(follow, arrive)

    model.at(source.expovariate(rate), arrive)


def _schedule_reports(model: Model, shape: Shape, entries: list[CoreEntry]) -> None:
    def report() -> None:
        made_at = model.now
        loads = {engine.name: engine.load for engine in model.engines}
        model.at(made_at + shape.lag_s, lambda: tell(loads, made_at))
        model.at(made_at + _REPORT_EVERY_S, report)

    def tell(loads: dict[UpstreamId, int], made_at: float) -> None:
        for entry in entries:
            for name, load in loads.items():
                state = entry.pool.find(name)
                if state is not None:
                    entry.pool.record_load(state, load, made_at, model.now)
            entry.pool.update_slowness(model.now)

    model.at(0.0, report)


def _schedule_shares(model: Model, shape: Shape, entries: list[CoreEntry]) -> None:
    told: list[dict[CustomerId, float]] = [{} for _ in entries]

    def share() -> None:
        for rank, entry in enumerate(entries):
            elsewhere: dict[CustomerId, float] = {}
            for other, demands in enumerate(told):
                if other != rank:
                    for customer, demand in demands.items():
                        elsewhere[customer] = elsewhere.get(customer, 0.0) + demand
            entry.share(elsewhere, PeerCounts(len(entries), len(entries), rank))
        model.at(model.now + _SHARE_EVERY_S, share)

    def digest() -> None:
        found = [entry.admission.list_demands() for entry in entries]
        model.at(model.now + _DIGEST_LAG_S / 2, lambda: spread(found))
        model.at(model.now + _DIGEST_LAG_S, digest)

    def spread(found: list[dict[CustomerId, float]]) -> None:
        told[:] = found

    model.at(0.0, share)
    model.at(0.0, digest)
