"""Callers, entry processes and batching engines on a virtual clock.

For tests of what is admitted under load. Engines work as the platform's do:
in passes of a few token steps, between which the prompts of newcomers are
read, with a fixed number of slots and the more urgent requests first. Entry
processes decide by the product's own core and know each other's requests as
late as notes make them.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial

from zinniaspool.core.dispatch import (
    Admission,
    Ask,
    EnginePace,
    LoadChanges,
    PatienceWatch,
    PeerLoads,
    Refusal,
    Target,
    TargetPool,
    TargetState,
    Ticket,
    TicketState,
    find_subset,
)
from zinniaspool.core.fleet import InstanceId, TargetLoad
from zinniaspool.core.ids import (
    Address,
    CustomerId,
    FailureDomainId,
    GroupId,
    ModelName,
    NodeId,
)

__all__ = ["Caller", "Kind", "LoadWorld", "Shape"]

NOTES_S = 0.05
LINK_S = 0.001
LATE_URGENCY = 5


@dataclass(frozen=True, slots=True)
class Shape:
    """The fleet: figures of the smaller model of the users' sheets, as played.

    Attributes:
        entries: Entry processes.
        engines: Replica groups of the model.
        slots: Requests that one runs at a time.
        stride: Token steps a pass; each brings one event.
        step_s: Seconds of a step.
        per_request_s: Seconds more a step for each request that writes.
        read_s: Seconds to read a prompt token.
        first_s: Seconds of each first event that no load explains.
    """

    entries: int = 8
    engines: int = 6
    slots: int = 13
    stride: int = 6
    step_s: float = 0.00387
    per_request_s: float = 0.000116
    read_s: float = 0.0000107
    first_s: float = 0.093


@dataclass(frozen=True, slots=True)
class Kind:
    """What callers ask for.

    Attributes:
        prompt: Mean prompt tokens; drawn from a half to twice that.
        events: Mean events of an answer; drawn likewise.
        objective_s: Until when a first event is on time.
        deadline_s: How long the most patient caller waits.
        silence_s: When callers leave that have heard nothing.
    """

    prompt: int = 674
    events: int = 31
    objective_s: float = 0.25
    deadline_s: float = 6.0
    silence_s: float = 2.0


@dataclass(eq=False, slots=True)
class Caller:
    """One caller's request, over both of its tries.

    Attributes:
        asked_at: When it asked first.
        deadline: When it stops waiting.
        prompt: Tokens of its prompt.
        events: Events of its answer.
        first_at: When its first event came; None for never.
        ended_at: When its last event came.
        tries: How often it asked.
        refused: How often it was refused.
        held_s: Longest time that it was kept before it was refused.
    """

    asked_at: float
    deadline: float
    prompt: int
    events: int
    first_at: float | None = None
    ended_at: float | None = None
    tries: int = 0
    refused: int = 0
    held_s: float = 0.0

    def is_on_time(self, objective_s: float) -> bool:
        """Whether its first event came within the objective."""
        done = self.ended_at is not None and self.first_at is not None
        return done and (self.first_at or 0.0) - self.asked_at <= objective_s


@dataclass(eq=False, slots=True)
class _Job:
    caller: Caller
    urgency: int
    came_at: float
    on_event: Callable[[bool], None]
    left: int = 0
    gone: bool = False


class _Engine:
    """One replica group's head."""

    def __init__(self, world: "LoadWorld", name: str) -> None:
        self.id = InstanceId(name)
        self._world = world
        self._line: list[tuple[int, int, _Job]] = []
        self._running: list[_Job] = []
        self._numbers = itertools.count()
        self._working = False

    def take(self, job: _Job) -> None:
        job.left = job.caller.events
        heapq.heappush(self._line, (job.urgency, next(self._numbers), job))
        self._world.after(self._world.shape.first_s, self._begin_pass)

    @property
    def load(self) -> int:
        """Requests that run or wait here."""
        return len(self._running) + len(self.waiting())

    def waiting(self) -> list[_Job]:
        """Return the requests that wait for a slot here."""
        return [job for _, _, job in self._line if not job.gone]

    def _begin_pass(self) -> None:
        if self._working:
            return
        shape = self._world.shape
        writers = len(self._running)
        new = self._admit()
        if not writers and not new:
            return
        self._working = True
        took_s = shape.stride * (shape.step_s + shape.per_request_s * writers)
        took_s += shape.read_s * sum(job.caller.prompt for job in new)
        self._world.after(took_s, self._end_pass)

    def _admit(self) -> list[_Job]:
        ready = self._world.now - self._world.shape.first_s + 1e-9
        free = self._world.shape.slots - len(self._running)
        new: list[tuple[int, int, _Job]] = []
        waiting: list[tuple[int, int, _Job]] = []
        while self._line and len(new) < free:
            entry = heapq.heappop(self._line)
            if entry[2].gone:
                continue
            (new if entry[2].came_at <= ready else waiting).append(entry)
        for entry in waiting:
            heapq.heappush(self._line, entry)
        jobs = [entry[2] for entry in new]
        self._running += jobs
        return jobs

    def _end_pass(self) -> None:
        self._working = False
        for job in list(self._running):
            job.left -= 1
            if job.gone or not job.left:
                self._running.remove(job)
            if not job.gone:
                job.on_event(not job.left)
        self._begin_pass()


@dataclass(frozen=True, slots=True)
class _Held:
    caller: Caller
    ask: Ask
    since: float


class _Entry:
    """One entry process."""

    def __init__(self, world: "LoadWorld", number: int) -> None:
        self.node = NodeId(f"n{number}")
        self.pool = TargetPool(FailureDomainId("a"), world.source)
        self.admission = Admission(self.pool, world.source)
        self.peers = PeerLoads()
        self._patience = PatienceWatch()
        self._changes = LoadChanges()
        self._world = world
        self._waiting: dict[Ticket, _Held] = {}
        shape = world.shape
        domain = FailureDomainId("a")
        names = {NodeId(f"n{n}"): domain for n in range(shape.entries)}
        subset = find_subset(self.node, domain, names)
        self._others = set(subset.others)
        self.pool.set_subset(subset, shape.entries)
        self.pool.forecast.pace = EnginePace(
            shape.stride * shape.step_s,
            shape.stride * shape.per_request_s,
            shape.read_s,
        )
        self.pool.update([_make_target(one.id, shape) for one in world.engines], 0.0)

    def ask(self, caller: Caller) -> None:
        """Take a caller's request, as the entry program does."""
        now, kind = self._world.now, self._world.kind
        patience_s = caller.deadline - now
        waited_s = self._patience.measure_waited(patience_s)
        self._patience.note(patience_s, calm=self.admission.is_calm(now))
        ask = Ask(
            CustomerId("c"),
            1,
            now + kind.objective_s - waited_s - 0.02,
            now + kind.silence_s,
            caller.prompt,
        )
        asked = self.admission.ask(ask, now)
        if isinstance(asked, Refusal):
            self._world.refuse(caller, asked, 0.0)
        elif asked.state is TicketState.ADMITTED:
            self._send(caller, asked)
        else:
            self._waiting[asked] = _Held(caller, ask, now)

    def step(self) -> None:
        """Tell the others what is here, and let those that wait begin."""
        loads = {
            one.target.instance: TargetLoad(one.own, one.unread)
            for one in self.pool
            if one.own
        }
        now = self._world.now
        self._tell(self._changes.list_changes(loads))
        for ticket in self.admission.step(now):
            held = self._waiting.pop(ticket)
            if ticket.state is TicketState.ADMITTED:
                self._send(held.caller, ticket)
            else:
                refusal = self.admission.refuse(held.ask, now)
                self._world.refuse(held.caller, refusal, now - held.since)

    def _tell(self, changes: dict[InstanceId, TargetLoad]) -> None:
        if not changes:
            return
        for other in self._world.entries:
            if other.node in self._others:
                self._world.notes += 1
                other.hear(self.node, changes)

    def hear(self, node: NodeId, changes: dict[InstanceId, TargetLoad]) -> None:
        """Take another process's word a link's time later."""
        self._world.after(LINK_S, lambda: self._hear(node, changes))

    def _hear(self, node: NodeId, changes: dict[InstanceId, TargetLoad]) -> None:
        changed = self.peers.take(node, changes, self._world.now, whole=False)
        for state in self.pool:
            if state.target.instance in changed:
                state.peers = self.peers.at(state.target.instance)

    def _send(self, caller: Caller, ticket: Ticket) -> None:
        now, kind = self._world.now, self._world.kind
        within_s = None if ticket.late else kind.objective_s
        state = self.pool.choose(now, (), caller.prompt, within_s)
        assert state is not None
        predicted_s = self.pool.predict_first(state, caller.prompt, now)
        unheard = self.pool.begin(state, caller.prompt)
        urgency = ticket.urgency + (LATE_URGENCY if ticket.late else 0)
        job = _Job(caller, urgency, now, lambda last: None)
        engine = self._world.find_engine(state.target.instance)
        first = True

        def take_event(last: bool) -> None:
            nonlocal first, unheard
            if first:
                first = False
                if unheard:
                    late_s = self._world.now - now - predicted_s
                    self.pool.note_first_outside(late_s, self._world.now)
                if state.part < 1.0:
                    self.pool.note_load(state, engine.load, self._world.now)
                    unheard = False
                state.unread -= caller.prompt
                caller.first_at = self._world.now
                self.pool.forecast.note_first(predicted_s, self._world.now - now)
            if last:
                caller.ended_at = self._world.now
                self._end(state, now)

        def leave() -> None:
            if first:
                job.gone = True
                state.unread -= caller.prompt
                self.pool.end(state, self._world.now, unheard=unheard)

        job.on_event = take_event
        self._world.after(LINK_S, lambda: engine.take(job))
        self._world.after(kind.silence_s, leave)

    def _end(self, state: TargetState, sent_at: float) -> None:
        self.pool.end(state, self._world.now)
        self.pool.forecast.note_stay(self._world.now - sent_at)


class LoadWorld:
    """The whole of it.

    Args:
        rate: Returns how many callers ask a second, by the time.
        shape: The fleet.
        kind: What they ask for.
        seed: Of all that is drawn.
    """

    def __init__(
        self,
        rate: Callable[[float], float],
        shape: Shape | None = None,
        kind: Kind | None = None,
        seed: int = 1,
    ) -> None:
        self.now = 0.0
        self.shape = shape or Shape()
        self.kind = kind or Kind()
        self.source = random.Random(seed)
        self.callers: list[Caller] = []
        self.notes = 0
        self._rate = rate
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.engines = [_Engine(self, f"e{n}") for n in range(self.shape.engines)]
        self.entries = [_Entry(self, n) for n in range(self.shape.entries)]
        for entry in self.entries:
            self._step_later(entry, self.source.uniform(0.0, NOTES_S))
        self._arrive_later()

    def after(self, seconds: float, act: Callable[[], None]) -> None:
        """Do something later."""
        heapq.heappush(self._events, (self.now + seconds, next(self._numbers), act))

    def advance(self, until: float) -> None:
        """Let time pass."""
        while self._events and self._events[0][0] <= until:
            self.now, _, act = heapq.heappop(self._events)
            act()
        self.now = until

    def find_engine(self, instance: InstanceId) -> _Engine:
        """Return an engine by its id."""
        return next(one for one in self.engines if one.id == instance)

    def lose_engines(self, names: set[InstanceId]) -> None:
        """Take engines away; what runs there still ends."""
        left = [
            _make_target(one.id, self.shape)
            for one in self.engines
            if one.id not in names
        ]
        for entry in self.entries:
            entry.pool.update(left, self.now)

    def list_asked(self, since: float, until: float) -> list[Caller]:
        """Return the callers that asked first within a time."""
        return [one for one in self.callers if since <= one.asked_at < until]

    def measure_on_time(self, since: float, until: float) -> float:
        """Return the part of a time's callers that were answered on time."""
        return share_on_time(self.list_asked(since, until), self.kind)

    def refuse(self, caller: Caller, refusal: Refusal, held_s: float) -> None:
        """Send a caller away; it comes again once, if there is time."""
        caller.refused += 1
        caller.held_s = max(caller.held_s, held_s)
        left_s = caller.deadline - self.now
        wait_s = min(refusal.retry_after_s, left_s / 3)
        if caller.tries < 2:
            self.after(wait_s, partial(self._ask, caller))

    def add_returning(self, count: int, asked_at: float) -> None:
        """Let callers come now that asked earlier and reached nobody."""
        for _ in range(count):
            caller = self._make_caller(asked_at)
            self.after(self.source.uniform(0.0, 0.3), partial(self._ask, caller))

    def _arrive_later(self) -> None:
        rate = self._rate(self.now)
        self.after(self.source.expovariate(rate), self._arrive)

    def _arrive(self) -> None:
        self._ask(self._make_caller(self.now))
        self._arrive_later()

    def _make_caller(self, asked_at: float) -> Caller:
        draw = self.source.uniform
        patience_s = self.kind.deadline_s * draw(0.85, 1.0)
        caller = Caller(
            asked_at,
            asked_at + patience_s,
            int(self.kind.prompt * draw(0.5, 1.5)),
            max(1, int(self.kind.events * draw(0.5, 1.5))),
        )
        self.callers.append(caller)
        return caller

    def _ask(self, caller: Caller) -> None:
        caller.tries += 1
        self.source.choice(self.entries).ask(caller)

    def _step_later(self, entry: _Entry, seconds: float) -> None:
        def act() -> None:
            entry.step()
            self._step_later(entry, NOTES_S)

        self.after(seconds, act)


def share_on_time(callers: Sequence[Caller], kind: Kind) -> float:
    """Return the part of some callers that were answered on time."""
    done = sum(one.is_on_time(kind.objective_s) for one in callers)
    return done / max(1, len(callers))


def _make_target(instance: InstanceId, shape: Shape) -> Target:
    return Target(
        instance,
        Address(f"10.0.0.1:{instance}"),
        FailureDomainId("a"),
        shape.slots,
        ModelName("m"),
        GroupId(f"g-{instance}"),
    )
