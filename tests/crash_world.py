"""A simulated fleet whose upstreams are crashed by parts of prompts.

Entry processes share their evidence by messages that take time and get lost.
Upstreams crash on the given parts, and for other reasons too.
"""

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

import msgspec

from zinniaspool.core.dispatch import Quarantine, TraitStatus, identify_traits
from zinniaspool.core.dispatch.traits import rank_for_trial
from zinniaspool.core.fleet import InstanceId, InstanceIncarnation
from zinniaspool.core.ids import ContentId, NodeId, PromptPartId, TraitId
from zinniaspool.core.messages.fleet import AnswerReport, CrashReport

__all__ = ["CrashWorld", "WorldTerms"]

SETTLE_S = 3.0
"""Time after the fifth crash of a part in which its requests may still reach
upstreams, in seconds."""

FREE_CRASHES = 5
MAX_ATTEMPTS = 2
MAX_WRITING_S = 0.5
FIRST_EVENT_S = (0.1, 0.2)
CRASH_S = (0.04, 0.12)
"""Time from a part's first token to the crash of its upstream, in seconds."""

BACK_S = 3.0


@dataclass(frozen=True, slots=True)
class WorldTerms:
    """What a world is like.

    Attributes:
        vms: Entry VMs.
        upstreams: Upstreams.
        per_s: Sound requests a second.
        parts: First parts that they share, some far more often than others.
        customers: Customers that send them.
        crashing: How many parts crash upstreams.
        crashing_per_s: Requests a second with each of them.
        was_sound: Whether these parts are answered until they crash upstreams.
        lost: Part of the messages that get lost.
        unrelated_at: Times at which upstreams crash for another reason.
        unrelated: Upstreams that crash then.
        restarts_at: Times at which a VM's process starts again.
        ends_at: End of the traffic, in seconds.
    """

    vms: int = 8
    upstreams: int = 10
    per_s: float = 60.0
    parts: int = 60
    customers: int = 10
    crashing: int = 1
    crashing_per_s: float = 1.0
    was_sound: bool = False
    lost: float = 0.0
    unrelated_at: tuple[float, ...] = ()
    unrelated: int = 3
    restarts_at: tuple[float, ...] = ()
    ends_at: float = 40.0


@dataclass(eq=False, slots=True)
class _Request:
    traits: tuple[TraitId, ...]
    crashing: int | None
    node: int
    attempts: int = 0
    trial: TraitId | None = None
    upstream: "_Upstream | None" = None
    writing_since: float | None = None


@dataclass(eq=False, slots=True)
class _Upstream:
    number: int
    born: int = 0
    up: bool = True
    running: dict[_Request, None] = field(default_factory=dict)

    @property
    def incarnation(self) -> InstanceIncarnation:
        return InstanceIncarnation(InstanceId(f"i-{self.number}"), self.born)


class CrashWorld:
    """Runs a fleet in simulated time and counts what matters.

    Args:
        terms: What the world is like.
        seed: Seed of all draws.

    Attributes:
        crashed_at: Times of the crashes of each crashing part.
        arrivals: Times at which requests with each of them reached upstreams.
        held: Quarantined traits, each with the VMs that quarantined it.
        sound: Sound requests, and those of them that were turned away.
        sent_bytes: Bytes of all messages between processes.
    """

    def __init__(self, terms: WorldTerms, seed: int) -> None:
        self.terms = terms
        self.crashed_at: list[list[float]] = [[] for _ in range(terms.crashing)]
        self.arrivals: list[list[float]] = [[] for _ in range(terms.crashing)]
        self.held: dict[TraitId, set[int]] = {}
        self.sound: Counter[str] = Counter()
        self.sent_bytes = 0
        self._random = random.Random(seed)
        self._now = 0.0
        self._number = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._processes = [Quarantine() for _ in range(terms.vms)]
        self._upstreams = [_Upstream(number) for number in range(terms.upstreams)]
        self._recorded: dict[TraitId, float] = {}
        self._crashing_from = 8.0

    def run(self) -> None:
        """Run to the end of the traffic."""
        terms = self.terms
        self._arrive(terms.per_s, self._send_sound, 0.0)
        for number in range(terms.crashing):
            begin = 0.0 if terms.was_sound else self._crashing_from
            self._arrive(
                terms.crashing_per_s, partial(self._send_crashing, number), begin
            )
        for at in terms.unrelated_at:
            self._at(at, self._crash_unrelated)
        for at in terms.restarts_at:
            self._at(at, self._restart_one)
        while self._events:
            self._now, _, act = heapq.heappop(self._events)
            act()

    def count_later_arrivals(self, number: int) -> int:
        """Return a part's arrivals after the time to find it."""
        crashed = sorted(self.crashed_at[number])
        if len(crashed) < FREE_CRASHES:
            return 0
        known_at = crashed[FREE_CRASHES - 1] + SETTLE_S
        return sum(at > known_at for at in self.arrivals[number])

    def list_wrongly_held(self) -> list[TraitId]:
        """Return the quarantined parts and customers that crash nothing."""
        crashing = {f"part-{self._name(n)}" for n in range(self.terms.crashing)}
        return [t for t in self.held if "-" in t and t not in crashing]

    def _name(self, number: int) -> str:
        return f"dead{number}"

    def _at(self, at: float, act: Callable[[], None]) -> None:
        self._number += 1
        heapq.heappush(self._events, (at, self._number, act))

    def _after(self, seconds: float, act: Callable[[], None]) -> None:
        self._at(self._now + seconds, act)

    def _arrive(self, per_s: float, send: Callable[[], None], begin: float) -> None:
        def arrive() -> None:
            if self._now < self.terms.ends_at:
                send()
                self._after(self._random.expovariate(per_s), arrive)

        self._at(begin, arrive)

    # Requests.

    def _make(self, parts: list[str], crashing: int | None) -> _Request:
        self._number += 1
        customer = f"c{self._random.randrange(self.terms.customers)}"
        own = f"{self._number:08x}"
        names = [PromptPartId(part) for part in (*parts, own)]
        traits = identify_traits(ContentId(own), names, customer)
        return _Request(traits, crashing, self._random.randrange(self.terms.vms))

    def _draw_part(self) -> str:
        return f"{int(self.terms.parts * self._random.random() ** 2):04x}"

    def _send_sound(self) -> None:
        request = self._make([self._draw_part()], None)
        self.sound["all"] += 1
        self._send(request)

    def _send_crashing(self, number: int) -> None:
        parts = [self._draw_part(), self._name(number)]
        self._random.shuffle(parts)
        request = self._make(parts, number)
        # Its caller sends it once more.
        self._send(request)
        again = _Request(request.traits, number, self._random.randrange(self.terms.vms))
        self._after(0.4, lambda: self._send(again))

    def _send(self, request: _Request) -> None:
        verdict = self._processes[request.node].judge(request.traits, self._now)
        up = [one for one in self._upstreams if one.up]
        if verdict.status is TraitStatus.QUARANTINED or not up:
            if request.crashing is None and up:
                self.sound["held"] += 1
            return
        request.trial = verdict.trait
        if verdict.trait is None:
            chosen = self._random.choice(up)
        elif request.attempts:
            return
        else:
            trait = verdict.trait
            self._processes[request.node].record_trial(trait, self._now)
            chosen = max(up, key=lambda one: rank_for_trial(trait, one.incarnation))
        request.attempts += 1
        request.upstream, request.writing_since = chosen, None
        chosen.running[request] = None
        if request.crashing is not None:
            self.arrivals[request.crashing].append(self._now)
        first_s = self._random.uniform(*FIRST_EVENT_S)
        self._after(first_s, lambda: self._write(request, chosen, chosen.born))

    def _write(self, request: _Request, upstream: _Upstream, born: int) -> None:
        if upstream.born != born or request not in upstream.running:
            return
        request.writing_since = self._now
        if request.crashing is not None and self._now >= self._crashing_from:
            number = request.crashing

            def crash() -> None:
                if upstream.born == born and upstream.up:
                    self.crashed_at[number].append(self._now)
                    self._crash(upstream)

            self._after(self._random.uniform(*CRASH_S), crash)
            return
        self._after(MAX_WRITING_S, lambda: self._answer_begun(request, upstream, born))
        ends_s = self._random.uniform(0.1, 2.0)
        self._after(ends_s, lambda: self._answer(request, upstream, born))

    def _answer(self, request: _Request, upstream: _Upstream, born: int) -> None:
        if upstream.born == born and request in upstream.running:
            self._answer_begun(request, upstream, born)
            del upstream.running[request]

    def _answer_begun(self, request: _Request, upstream: _Upstream, born: int) -> None:
        if upstream.born != born or request not in upstream.running:
            return
        assert request.writing_since is not None
        process = self._processes[request.node]
        began_at = request.writing_since
        cleared = process.record_answer(request.traits, began_at, self._now)
        if cleared:
            self._report_answers(request.node, cleared)

    # Crashes.

    def _crash_unrelated(self) -> None:
        up = [one for one in self._upstreams if one.up]
        for one in self._random.sample(up, min(len(up), self.terms.unrelated)):
            self._crash(one)

    def _crash(self, upstream: _Upstream) -> None:
        lost, incarnation = list(upstream.running), upstream.incarnation
        upstream.running.clear()
        upstream.up = False
        self._after(BACK_S, lambda: self._return(upstream))
        by_node: dict[int, list[_Request]] = {}
        for request in lost:
            by_node.setdefault(request.node, []).append(request)
        for node, requests in by_node.items():
            delay_s = self._random.uniform(0.002, 0.02)
            self._after(
                delay_s,
                partial(self._find, node, requests, incarnation, self._now),
            )

    def _return(self, upstream: _Upstream) -> None:
        upstream.born += 1
        upstream.up = True

    def _find(
        self,
        node: int,
        lost: list[_Request],
        incarnation: InstanceIncarnation,
        lost_at: float,
    ) -> None:
        traits: set[TraitId] = set()
        trials: set[TraitId] = set()
        for request in lost:
            since = request.writing_since
            if since is None or lost_at - since < MAX_WRITING_S:
                traits.update(request.traits)
                if request.trial is not None:
                    trials.add(request.trial)
        contents = sorted(trait for trait in traits if "-" not in trait)
        wider = sorted(trait for trait in traits if "-" in trait)
        report = CrashReport(
            incarnation.instance,
            incarnation.started_at_ms,
            contents,
            NodeId(f"n{node}"),
            wider,
            sorted(trials),
        )
        self._spread(node, report, lambda n: self._record(n, report, incarnation))
        self._record(node, report, incarnation)
        for request in lost:
            if request.attempts < MAX_ATTEMPTS:
                self._send(request)

    def _record(
        self, node: int, report: CrashReport, incarnation: InstanceIncarnation
    ) -> None:
        findings = self._processes[node].record_crash(
            incarnation,
            [*report.contents, *report.traits],
            report.trials,
            self._now,
        )
        for trait in findings.quarantined:
            self.held.setdefault(trait, set()).add(node)
            # One process writes the record.
            if self._recorded.get(trait, -SETTLE_S) + SETTLE_S <= self._now:
                self._recorded[trait] = self._now
                self._apply_records(trait, node)

    def _apply_records(self, trait: TraitId, finder: int) -> None:
        """Let the record of a quarantine reach all processes by the store."""
        process = self._processes[finder]
        crashed = process.list_crashed_instances(trait)
        trials = process.count_trials(trait)

        def apply(node: int) -> None:
            if not process.is_quarantined(trait, self._now):
                return
            if node == finder:
                process.schedule_retrials(trait, self._now)
                return
            if not self._processes[node].apply_record(
                trait, crashed, trials, self._now
            ):
                self._report_answers(node, [trait])

        for node in range(self.terms.vms):
            self._after(self._random.uniform(0.1, 0.5), partial(apply, node))

    def _report_answers(self, node: int, traits: list[TraitId]) -> None:
        began_at = {
            trait: self._processes[node].find_answer_time(trait) for trait in traits
        }
        ages_ms = [
            0 if at is None else int((self._now - at) * 1000)
            for at in began_at.values()
        ]

        def apply(other: int) -> None:
            for trait, at in began_at.items():
                answered_at = self._now if at is None else at
                self._processes[other].record_answer([trait], answered_at, self._now)

        report = AnswerReport(traits, NodeId(f"n{node}"), ages_ms)
        self._spread(node, report, apply)

    def _spread(
        self,
        node: int,
        message: CrashReport | AnswerReport,
        apply: Callable[[int], None],
    ) -> None:
        size = len(msgspec.msgpack.encode(message))
        for other in range(self.terms.vms):
            if other == node:
                continue
            self.sent_bytes += size
            if self._random.random() >= self.terms.lost:
                delay_s = self._random.uniform(0.001, 0.03)
                self._after(delay_s, partial(apply, other))

    def _restart_one(self) -> None:
        """Start a process again, which learns of the crashes from another."""
        node = self._random.randrange(self.terms.vms)
        fresh = self._processes[node] = Quarantine()
        source = self._processes[node - 1]
        for crash in source.list_shared_crashes():
            fresh.record_crash(
                crash.incarnation, crash.traits, crash.trials, self._now, crash.at
            )
        for trait in self.held:
            if source.is_quarantined(trait, self._now):
                crashed = source.list_crashed_instances(trait)
                trials = source.count_trials(trait)
                fresh.apply_record(trait, crashed, trials, self._now)
