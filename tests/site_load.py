"""Load on an installation of real processes while its VMs stop one by one.

Run as ``python -m tests.site_load samples/load.toml``. The entry VMs and the
upstreams are processes; the store and the callers are in this one. Requests
come at the rates of the profile, whatever becomes of those before them. VMs
get their stop signal in turn, several at a time, with the holder among them if
that is wanted; each of their two programs starts again as soon as it has
ended. Upstreams may also fall silent, become slow or hang, and busy processes
share the machine. Or upstreams leave and come back (``--leaving``), while VMs
are cut off from them, frozen, killed and turned away by the store. Streams may
state the most that their route allows, whatever they will have, and load and
lengths may change halfway (``--set``).

Reported are requests that reached an upstream which had said that it leaves,
by the VM that they came from; all requests that ended without a whole answer
though the VM had read them and they had time left; those that began at more
upstreams than their route allows; those that ran though their callers were
told that they hadn't, or after their callers had left, or twice; and what the
logs have of them. Answers may be on their way for a while.
"""

import asyncio
import itertools
import math
import random
import shutil
import signal
import sys
import tempfile
import time
from base64 import b64decode
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from enum import Enum
from http import HTTPStatus
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer

from tests.delays import DelayMeter
from tests.installation import eventually
from tests.leaving_checks import ASKED_PAUSE_S, describe_pauses
from tests.piecemeal_callers import PiecemealCaller, PiecemealRequest
from tests.silent_processes import Caller, read_lines
from tests.site_figures import PlayFigures, describe_moves, describe_served
from tests.site_promises import EndedRequest, LostUpstream, RequestEnd, RunLog
from tests.soak_seeds import begin_overlapping
from zinniaspool.core.fleet import HOLDER_KEY, HolderRecord
from zinniaspool.http import Headers
from zinniaspool_standins.cuts import CutKind
from zinniaspool_standins.fleet import end_with_parent
from zinniaspool_standins.hosts import HostPlan, RunnerHost, make_hosted_runners
from zinniaspool_standins.installation import Installation, make_rules
from zinniaspool_standins.leaving import LeavingBounds
from zinniaspool_standins.nodes import EntryNode, end_nodes, make_nodes
from zinniaspool_standins.passes import PassTimes
from zinniaspool_standins.runners import RunnerFaults, RunnerTimes

__all__ = ["Trouble", "play"]

SETTLE_S = 40.0
PIECES, PIECE_BYTES, MAX_PIECE_PAUSE_S = (2, 5), 300, 0.08
"""Pieces of a body that comes in chunks, their size, and the longest pause
before each of them, in seconds."""

LEAVES_AFTER_S = (0.0, 1.0)
BOUNDS = LeavingBounds(drain_s=3.0, spread_s=1.0, start_s=3.0)
SERVES_S = (4.0, 7.0)
"""For how long an upstream serves after it has begun to leave, in seconds."""

RECORDED_PART = 0.4
"""Part of those that leave which reach the store; the records of the others
lapse late."""

LEAVING_HEARTBEAT_S = 2.0
CUT_S, FREEZE_S, TURN_AWAY_S = (1.0, 4.0), (0.3, 2.0), (0.5, 3.0)
LEAVING_GAP_S = (0.4, 1.6)
ALLOWANCE_PERIOD_S = 0.1
BUSY_PROGRAM = "while True: pass"

PAUSE_S = (0.3, 1.4)
PACES = (3.0, 5.0)
SLOW_S = (2.0, 6.0)
HANG_S = (2.0, 6.0)
TROUBLE_GAP_S = (1.0, 4.0)


SHOWN = (
    "stream-behind",
    "stream-moved",
    "answer-cut",
    "connection-cut",
    "target-silent",
)
"""Events of the logs that are counted."""


class Trouble(Enum):
    """What upstreams do wrong meanwhile.

    Attributes:
        NONE: Nothing.
        PAUSES: Single heads are silent for a moment.
        SLOW: Single heads are slow for some seconds, which they report.
        HANGING: A plain upstream answers nothing for some seconds.
        LOST: Single engines are lost, and their groups stand still.
        ALL: All of these.
    """

    NONE = "none"
    PAUSES = "pauses"
    SLOW = "slow"
    HANGING = "hanging"
    LOST = "lost"
    ALL = "all"


class _Lengths(msgspec.Struct, frozen=True):
    """A bounded log-normal distribution."""

    mean: float
    spread: float
    most: float

    def draw(self, source: random.Random, factor: float = 1.0) -> int:
        sigma, mean = self.spread, self.mean * factor
        value = source.lognormvariate(math.log(mean) - sigma**2 / 2, sigma)
        return max(1, int(min(self.most, value)))


class _Route(msgspec.Struct, frozen=True):
    name: str
    per_s: float
    timeout_s: float
    objective_s: float
    model: str = ""
    max_pause_s: float = 0.0
    events: _Lengths = _Lengths(1, 0, 1)
    prompt: _Lengths = _Lengths(1, 0, 1)


class _Model(msgspec.Struct, frozen=True):
    size: int
    share: float
    passes: PassTimes


class _Profile(msgspec.Struct, frozen=True):
    """What is played; see samples/load.toml.

    Attributes:
        restart_pause_s: Pause before a program that has ended starts again.
        pieces_part: Part of the streams whose requests come in chunks.
        leaving_part: Part of those whose callers leave early.
        stating_part: Part of the streams that state the most events that their
            route allows, in place of those that they will have.
        longest_part: Part of the streams sent to stopping VMs that have so
            many events.
        surge_rate: By how much the rate of requests rises halfway.
        surge_length: By how much the mean length of streams does.
    """

    vms: int
    grace_s: float
    callers: int
    address_lifetimes_s: list[float]
    stop_gap_s: tuple[float, float]
    stops_at_once: int
    engines: list[int]
    plain: int
    slots: int
    models: dict[str, _Model]
    routes: list[_Route]
    restart_pause_s: float = 0.3
    pieces_part: float = 0.0
    leaving_part: float = 0.0
    stating_part: float = 0.0
    longest_part: float = 0.0
    surge_rate: float = 1.0
    surge_length: float = 1.0


class _Installation(Installation):
    """The store and the operator, who has the rules of a profile."""

    profile: _Profile
    max_attempts: dict[str, int]

    def configure(self, **changes: Any) -> None:
        """Write the next version of the rules."""
        base = make_rules(self.version, self.keys)
        common = {r["name"]: r for r in base["routes"]}
        routes = []
        for route in self.profile.routes:
            like = common["drafts" if route.model else route.name]
            routes.append(
                {
                    **like,
                    "name": route.name,
                    "path-prefix": f"/{route.name}/",
                    "timeout-ms": route.timeout_s * 1000,
                    "target-latency-ms": route.objective_s * 1000,
                    "gap-aim-ms": route.max_pause_s * 1000,
                }
            )
        self.max_attempts = {one["name"]: one["max-attempts"] for one in routes}
        first = next(iter(self.profile.models.values())).passes
        engine = {
            **base["services"][0]["engine"],
            "slots": self.profile.slots,
            "stride": first.stride,
            "step_ms": first.step_s * 1000,
            "per_seq_ms": first.request_s * 1000,
            "read_per_s": first.read_per_s,
            "chunk": first.chunk,
            "models": [
                {
                    "name": name,
                    "size": model.size,
                    "share": model.share,
                    "pace": model.passes.step_s / first.step_s,
                    "load-s": 1.0,
                    "warm-s": 0.2,
                }
                for name, model in self.profile.models.items()
            ],
        }
        services = [{**base["services"][0], "engine": engine}, base["services"][1]]
        super().configure(**{"routes": routes, "services": services, **changes})


@dataclass(frozen=True, slots=True)
class _Shares:
    """The part of the time in which the processes of VMs and upstreams run."""

    vms: float = 1.0
    upstreams: float = 1.0


@dataclass(eq=False)
class _Vm:
    """One entry VM.

    Attributes:
        node: Its programs.
        stopped_at: When it was stopped or began to fail; None while it serves.
        thawed: When it ran again after it had been frozen, each time.
    """

    node: EntryNode
    stopped_at: float | None = None
    thawed: list[float] = field(default_factory=list)

    async def await_serving(self) -> None:
        """Wait until a VM that was started again answers, for up to 20 s."""
        caller = Caller(self.node.front, "")
        for _ in range(200):
            answer = await caller.ask("start", "GET", "/receipts/1")
            if answer.status == HTTPStatus.OK:
                break
            await asyncio.sleep(0.1)
        caller.close()


@dataclass
class _Consumer:
    """Sends requests of its own to a VM whose address it keeps for a while."""

    load: "_Load"
    source: random.Random
    vm: _Vm | None = None
    caller: Caller | None = None
    piecemeal: PiecemealCaller | None = None
    leaves_at: float = math.inf

    def choose_vm(self) -> _Vm:
        """Return the VM for the next request."""
        now = _now()
        if self.vm is not None and self.vm.stopped_at is not None:
            lifetime_s = self.source.choice(self.load.profile.address_lifetimes_s)
            self.leaves_at = min(self.leaves_at, self.vm.stopped_at + lifetime_s)
        if self.vm is None or now >= self.leaves_at:
            self.vm = self.source.choice(self.load.list_serving())
            self.caller = Caller(self.vm.node.front, "")
            self.piecemeal = PiecemealCaller(self.vm.node.front)
            self.leaves_at = math.inf
        return self.vm


@dataclass
class _Load:
    profile: _Profile
    made: _Installation
    hosts: list[RunnerHost]
    vms: list[_Vm]
    source: random.Random
    stops_holders: bool = False
    ended: list[EndedRequest] = field(default_factory=list)
    losses: list[LostUpstream] = field(default_factory=list)
    works: list[str] = field(default_factory=list)
    killed: list[str] = field(default_factory=list)
    outages: list[tuple[float, float]] = field(default_factory=list)
    failures: list[tuple[str, float, float]] = field(default_factory=list)
    leaving: set[str] = field(default_factory=set)
    delays: DelayMeter = field(default_factory=DelayMeter)
    sent: int = 0
    began_at: float = field(default_factory=lambda: _now())
    surges_at: float = math.inf

    def list_serving(self) -> list[_Vm]:
        return [vm for vm in self.vms if vm.stopped_at is None] or self.vms

    # Requests.

    async def send_requests(self, route: _Route, until: float) -> None:
        """Send a route's requests at its rate, and wait for their ends."""
        consumers = [
            _Consumer(self, random.Random(f"{route.name}-{number}"))
            for number in range(
                max(1, self.profile.callers // len(self.profile.routes))
            )
        ]
        sending = []
        due = _now()
        while due < until:
            has_surge = due >= self.surges_at
            factor = self.profile.surge_rate if has_surge else 1.0
            due += self.source.expovariate(route.per_s * factor)
            await asyncio.sleep(due - _now())
            consumer = self.source.choice(consumers)
            sending.append(asyncio.create_task(self._send(route, consumer)))
        await asyncio.gather(*sending)

    async def _send(self, route: _Route, consumer: _Consumer) -> None:
        vm = consumer.choose_vm()
        assert consumer.caller is not None and consumer.piecemeal is not None
        self.sent += 1
        name, path, began_at = f"load-{self.sent}", f"/{route.name}/1", _now()
        stopped_at = vm.stopped_at
        wanted, sent_at, left_at = 0, began_at, math.inf
        in_pieces = False
        if route.model:
            wanted = self._draw_length(route, vm)
            path += f"?events={wanted}"
            stated = wanted
            if self.source.random() < self.profile.stating_part:
                stated = int(route.events.most)
            tokens = stated * self.profile.models[route.model].passes.stride
            prompt = route.prompt.draw(self.source)
            headers = {
                "x_zinniaspool_model": route.model,
                "x_zinniaspool_token_count": f"{prompt},{tokens}",
            }
            in_pieces = self.source.random() < self.profile.pieces_part
        if in_pieces:
            request = self._cut_in_pieces(name, path, route, Headers.of(**headers))
            got = await consumer.piecemeal.ask(request)
            answer, sent_at, left_at = got.answer, got.sent_at, got.left_at
        elif route.model:
            answer = await consumer.caller.ask(
                name, "POST", path, route.timeout_s, 0.0, **headers
            )
        else:
            method = "GET" if route.name == "receipts" else "POST"
            answer = await consumer.caller.ask(name, method, path, route.timeout_s)
        stopped_at = vm.stopped_at if stopped_at is None else stopped_at
        self.ended.append(
            EndedRequest(
                name,
                route.name,
                vm.node.name,
                None if stopped_at is None else sent_at - stopped_at,
                sent_at,
                _now() - sent_at,
                route.timeout_s,
                answer,
                wanted,
                left_at,
                in_pieces,
            )
        )

    def _draw_length(self, route: _Route, vm: _Vm) -> int:
        is_longest = self.source.random() < self.profile.longest_part
        if vm.stopped_at is not None and is_longest:
            return int(route.events.most)
        has_surge = _now() >= self.surges_at
        factor = self.profile.surge_length if has_surge else 1.0
        return route.events.draw(self.source, factor)

    def _cut_in_pieces(
        self, name: str, path: str, route: _Route, headers: Headers
    ) -> PiecemealRequest:
        leaves_after_s = math.inf
        if self.source.random() < self.profile.leaving_part:
            leaves_after_s = self.source.uniform(*LEAVES_AFTER_S)
        return PiecemealRequest(
            name,
            path,
            route.timeout_s,
            headers,
            [b"x" * PIECE_BYTES] * self.source.randint(*PIECES),
            self.source.uniform(0.0, MAX_PIECE_PAUSE_S),
            leaves_after_s,
        )

    # Planned work.

    async def stop_in_turn(self, until: float) -> None:
        """Stop the next VM every now and then, and start it again."""
        stopping: set[asyncio.Task[None]] = set()
        free = asyncio.Semaphore(self.profile.stops_at_once)
        for number, vm in enumerate(itertools.cycle(self.vms)):
            await asyncio.sleep(self.source.uniform(*self.profile.stop_gap_s))
            await free.acquire()
            if _now() > until:
                break
            chosen = self._find_holder() if self.stops_holders and number % 2 else vm
            if chosen is None or chosen.stopped_at is not None:
                free.release()
                continue
            stopping.add(asyncio.create_task(self._restart(chosen, free)))
        await asyncio.gather(*stopping)

    def _find_holder(self) -> _Vm | None:
        """Return the VM whose control process plans groups."""
        value = self.made.store.get(HOLDER_KEY)
        if value is None:
            return None
        holder = msgspec.json.decode(b64decode(value), type=HolderRecord)
        return next((vm for vm in self.vms if vm.node.name == holder.node), None)

    async def _restart(self, vm: _Vm, free: asyncio.Semaphore) -> None:
        vm.stopped_at = _now()
        is_holder = self._find_holder() is vm
        self.works.append(
            f"{vm.stopped_at - self.began_at:.1f} {vm.node.name} stops"
            f"{', the holder' if is_holder else ''}"
        )
        killed = await vm.node.restart(
            self.profile.grace_s, self.profile.restart_pause_s
        )
        self.killed += [one.log.stem for one in killed]
        await vm.await_serving()
        vm.stopped_at = None
        free.release()

    async def limit_processors(self, shares: _Shares) -> None:
        """Have processes run in a part of each period only."""

        async def limit(process: EntryNode | RunnerHost, share: float) -> None:
            await asyncio.sleep(self.source.uniform(0.0, ALLOWANCE_PERIOD_S))
            while True:
                process.send(signal.SIGSTOP)
                await asyncio.sleep((1 - share) * ALLOWANCE_PERIOD_S)
                process.send(signal.SIGCONT)
                await asyncio.sleep(share * ALLOWANCE_PERIOD_S)

        async with asyncio.TaskGroup() as tasks:
            for vm in self.vms if shares.vms < 1.0 else ():
                tasks.create_task(limit(vm.node, shares.vms))
            for host in self.hosts if shares.upstreams < 1.0 else ():
                tasks.create_task(limit(host, shares.upstreams))

    # Trouble.

    async def trouble(self, kind: Trouble, until: float) -> None:
        """Let upstreams do something wrong now and then."""
        choices: dict[Trouble, Callable[[], Awaitable[None]]] = {
            Trouble.PAUSES: self._pause_head,
            Trouble.SLOW: self._slow_head,
            Trouble.HANGING: self._hang_plain,
            Trouble.LOST: self._lose_engine,
        }
        if kind is Trouble.NONE:
            return
        chosen = list(choices.values()) if kind is Trouble.ALL else [choices[kind]]
        await begin_overlapping(chosen, self.source, until, TROUBLE_GAP_S)

    async def _disturb(
        self, host: RunnerHost, name: str, faults: RunnerFaults, seconds: float
    ) -> None:
        self.works.append(f"{_now() - self.began_at:.1f} {name} for {seconds:.2f} s")
        if faults.dark:
            self.losses.append(LostUpstream(name, _now(), _now() + seconds))
        await host.set_faults(name, faults)
        await asyncio.sleep(seconds)
        await host.set_faults(name, RunnerFaults())

    def _choose_head(self) -> tuple[RunnerHost, str]:
        host = self.source.choice([one for one in self.hosts if one.list_heads()])
        return host, self.source.choice(host.list_heads())

    async def _pause_head(self) -> None:
        seconds = self.source.uniform(*PAUSE_S)
        await self._disturb(*self._choose_head(), RunnerFaults(silent=True), seconds)

    async def _slow_head(self) -> None:
        faults = RunnerFaults(pace=self.source.uniform(*PACES))
        await self._disturb(*self._choose_head(), faults, self.source.uniform(*SLOW_S))

    async def _hang_plain(self) -> None:
        host = self.hosts[-1]
        name = self.source.choice(host.runners).id
        seconds = self.source.uniform(*HANG_S)
        await self._disturb(host, name, RunnerFaults(mute=True), seconds)

    async def _lose_engine(self) -> None:
        host = self.source.choice(self.hosts[:-1])
        name = self.source.choice(host.runners).id
        await self._disturb(host, name, RunnerFaults(dark=True), 6.0)

    # Upstreams that leave.

    async def let_leave(self, until: float) -> None:
        """Let upstreams leave while VMs and the store fail."""
        chosen = [
            self._leave_plain,
            self._leave_plain,
            self._leave_engine,
            self._pause_plain,
            self._cut_vm,
            self._cut_vm,
            self._freeze_vm,
            self._kill_holder,
            self._turn_away,
            self._drop_history,
        ]
        await begin_overlapping(chosen, self.source, until, LEAVING_GAP_S)

    async def _leave(
        self, host: RunnerHost, left: int, *, pauses: bool = False
    ) -> None:
        """Have an upstream leave and come back, if more than some are left."""
        names = [one.id for one in host.runners if one.id not in self.leaving]
        if len(names) <= left:
            return
        name = self.source.choice(names)
        self.leaving.add(name)
        if pauses:
            await self._disturb(
                host,
                name,
                RunnerFaults(pause_s=ASKED_PAUSE_S),
                self.source.uniform(*PAUSE_S),
            )
            await asyncio.sleep(ASKED_PAUSE_S)
        has_store = self.source.random() < RECORDED_PART
        self.works.append(
            f"{_now() - self.began_at:.1f} {name} leaves"
            f"{'' if has_store else ' without the store'}"
        )
        await host.leave(name, self.source.uniform(*SERVES_S), has_store=has_store)
        self.leaving.discard(name)

    async def _leave_plain(self) -> None:
        await self._leave(self.hosts[-1], 1)

    async def _pause_plain(self) -> None:
        await self._leave(self.hosts[-1], 1, pauses=True)

    async def _leave_engine(self) -> None:
        host = self.source.choice(self.hosts[:-1])
        await self._leave(host, len(host.runners) - 1)

    @asynccontextmanager
    async def _disturb_vm(self, what: str, vm: _Vm | None = None) -> AsyncIterator[_Vm]:
        """Have a VM fail within a block; callers are sent to others."""
        serving = [one for one in self.vms if one.stopped_at is None]
        chosen = self.source.choice(serving) if vm is None else vm
        chosen.stopped_at = _now()
        self.works.append(f"{_now() - self.began_at:.1f} {chosen.node.name} {what}")
        try:
            yield chosen
        finally:
            self.failures.append((chosen.node.name, chosen.stopped_at, _now()))
            chosen.stopped_at = None

    def _has_failed(self, one: EndedRequest) -> bool:
        """Return whether a request's VM was cut off or failed meanwhile."""
        ends_at = one.sent_at + one.took_s
        return any(
            vm == one.vm and one.sent_at < ended and began < ends_at
            for vm, began, ended in self.failures
        )

    def _may_disturb(self) -> bool:
        """Return whether more than half of the VMs serve."""
        return sum(vm.stopped_at is None for vm in self.vms) > len(self.vms) / 2

    async def _cut_vm(self) -> None:
        serving = [vm for vm in self.vms if vm.stopped_at is None]
        if not serving:
            return
        vm = self.source.choice(serving)
        kind = self.source.choice(list(CutKind))
        self.works.append(
            f"{_now() - self.began_at:.1f} {vm.node.name} cut, {kind.value}"
        )
        began_at = _now()
        vm.node.cut(kind)
        await asyncio.sleep(self.source.uniform(*CUT_S))
        while vm.stopped_at is not None:  # noqa: ASYNC110
            # The signal would end a program that has just been started.
            await asyncio.sleep(0.1)
        vm.node.cut(None)
        self.failures.append((vm.node.name, began_at, _now()))

    async def _freeze_vm(self) -> None:
        if not self._may_disturb():
            return
        async with self._disturb_vm("frozen") as vm:
            vm.node.send(signal.SIGSTOP)
            await asyncio.sleep(self.source.uniform(*FREEZE_S))
            vm.node.send(signal.SIGCONT)
            vm.thawed.append(_now())

    async def _kill_holder(self) -> None:
        holder = self._find_holder()
        if holder is None or holder.stopped_at is not None or not self._may_disturb():
            return
        async with self._disturb_vm("killed", holder) as vm:
            vm.node.send(signal.SIGKILL)
            await vm.node.restart(0.0, self.source.uniform(0.1, 1.0))
            await vm.await_serving()

    async def _turn_away(self) -> None:
        vm, began_at = self.source.choice(self.vms), _now()
        vm.node.link.faults.silent = True
        await asyncio.sleep(self.source.uniform(*TURN_AWAY_S))
        vm.node.link.faults.silent = False
        vm.node.link.reset()
        self.outages.append((began_at, _now()))

    async def _drop_history(self) -> None:
        self.made.store.drop_history()

    def _describe_leaving(self) -> str:
        """Return how many answers said to each VM that an upstream leaves."""
        names = {vm.node.host: vm.node.name for vm in self.vms}
        left = [log for host in self.hosts for _, log in host.left]
        said = Counter(names[host] for log in left for host, _ in log.said)
        recorded = sum(log.recorded_at is not None for log in left)
        pauses = sum(len(log.pauses) for log in left)
        return (
            f"{len(left)} left, {recorded} with a record, {pauses} pauses asked, "
            f"answers by VM {dict(said)}"
        )

    def list_late(self) -> list[str]:
        """Return the requests that came too late, and in pauses."""
        restarts = {
            vm.node.host: [*vm.node.processes[0].started[1:], *vm.thawed]
            for vm in self.vms
        }
        return [
            line
            for host in self.hosts
            for name, log in host.left
            for line in (
                *log.describe_broken(name, BOUNDS, restarts, self.outages),
                *describe_pauses(name, log, restarts),
            )
        ]

    def make_run_log(self) -> RunLog:
        """Return what upstreams saw of all requests."""
        return RunLog(
            [host.ran_at for host in self.hosts],
            [host.begun for host in self.hosts],
            self.losses,
        )

    def list_broken(self) -> dict[str, list[EndedRequest]]:
        """Return the requests for which a promise was broken, by promise."""
        runs = self.make_run_log()
        late_s = self.delays.longest_s
        once = set(runs.list_run_twice(self.ended, "cards"))
        return {
            "lost": [
                one
                for one in self.ended
                if runs.judge(one) is RequestEnd.LOST and not self._has_failed(one)
            ],
            "began at more upstreams than allowed": runs.list_beyond_limits(
                self.ended, self.made.max_attempts
            ),
            "ran though refused": runs.list_run_though_refused(self.ended),
            "ran after its caller had left": runs.list_run_after_leaving(
                [one for one in self.ended if not self._has_failed(one)], late_s
            ),
            "ran twice": [one for one in self.ended if one.name in once],
        }

    def count(self) -> PlayFigures:
        """Return the figures of this play."""
        figures = PlayFigures.count(self.ended, self.make_run_log(), self.list_broken())
        lines = read_lines(vm.node for vm in self.vms)
        figures.too_late = len(self.list_late())
        figures.events = Counter(line.event for line in lines if line.event in SHOWN)
        figures.killed = self.killed
        figures.late_s = self.delays.longest_s
        return figures

    def describe(self) -> str:
        """Return what was counted, and the log of what was broken."""
        runs = self.make_run_log()
        broken = self.list_broken()
        lines = read_lines(vm.node for vm in self.vms)
        logged = {
            line.fields["request"]: line
            for event in ("request-ended", "answer-cut")
            for line in lines
            if line.event == event
        }
        ends = Counter(runs.judge(one).value for one in self.ended)
        served = describe_served(PlayFigures.count(self.ended, runs, broken).served)
        found = [
            f"{self.sent} sent: {dict(ends)}, own loop late by "
            f"{self.delays.longest_s:.2f} s at most",
            f"events: {Counter(line.event for line in lines if line.event in SHOWN)}",
            f"work: {', '.join(self.works)}",
            f"groups: {[text for host in self.hosts for text in host.broken]}",
            ", ".join(f"{len(found)} {text}" for text, found in broken.items()),
            f"upstreams: {self._describe_leaving()}, too late: {self.list_late()}",
            f"killed at the end of their time: {', '.join(self.killed) or 'none'}",
            f"moved as behind: {describe_moves(self.ended, runs, lines)}",
            f"served by second after a stop or failure: {served}",
        ]
        for text, requests in broken.items():
            for one in requests:
                line = logged.get(one.name)
                shown = "" if line is None else f"\n    {line.event} {line.fields}"
                began = ", ".join(sorted(runs.list_began(one)))
                found.append(
                    f"{text}: {one.describe()}, begun by {began or 'nobody'}{shown}"
                )
        return "\n  ".join(found)


def _now() -> float:
    return asyncio.get_running_loop().time()


async def _play(
    profile: _Profile,
    folder: Path,
    seed: int,
    seconds: float,
    trouble: Trouble,
    lag_s: tuple[float, float],
    stops_holders: bool,
    leaving: bool,
    shares: _Shares,
) -> _Load:
    _Installation.profile = profile
    async with _Installation.running(nodes=0, engines=0, plain=0) as made:
        plan = HostPlan(
            {name: model.size for name, model in profile.models.items()},
            RunnerTimes(
                heartbeat_s=LEAVING_HEARTBEAT_S if leaving else 0.8,
                stall_s=6.0,
                lag_s=lag_s,
            ),
            {name: model.passes for name, model in profile.models.items()},
        )
        hosts = [
            RunnerHost(
                f"d{number}",
                make_hosted_runners(f"e{number}", "drafting", f"d{number}", count),
                made.store,
                folder,
                plan,
            )
            for number, count in enumerate(profile.engines)
        ]
        plain = make_hosted_runners("c", "cards", None, profile.plain)
        plain_plan = HostPlan(times=plan.times) if leaving else None
        hosts.append(RunnerHost("plain", plain, made.store, folder, plain_plan))
        nodes: list[EntryNode] = []
        try:
            await asyncio.gather(*(host.start() for host in hosts))
            addresses = [one.address for host in hosts for one in host.runners]
            nodes = await make_nodes(
                made,
                folder,
                profile.vms,
                grace_s=profile.grace_s,
                upstreams=addresses if leaving else (),
            )
            load = _Load(
                profile,
                made,
                hosts,
                [_Vm(node) for node in nodes],
                random.Random(seed),
                stops_holders,
            )
            await eventually(
                lambda: (
                    {m for host in hosts for m in host.list_open_groups().values()}
                    == set(profile.models)
                ),
                SETTLE_S,
            )
            await asyncio.sleep(4.0)
            until = _now() + seconds
            load.surges_at = until - seconds / 2
            measuring = asyncio.create_task(load.delays.run())
            limiting = asyncio.create_task(load.limit_processors(shares))
            breaking = load.let_leave(until) if leaving else load.stop_in_turn(until)
            await asyncio.gather(
                breaking,
                load.trouble(trouble, until),
                *(load.send_requests(route, until) for route in profile.routes),
            )
            measuring.cancel()
            limiting.cancel()
            return load
        finally:
            for host in hosts:
                host.send(signal.SIGCONT)
            await end_nodes(nodes)
            await asyncio.gather(*(host.end() for host in hosts))


@asynccontextmanager
async def _run_busy_processes(count: int, period_s: float) -> AsyncIterator[None]:
    """Have some processes use the machine's processors within a block.

    Args:
        count: How many.
        period_s: Period in seconds, in whose first half they run; 0 if they
            always run. All plays at a time have the same periods.
    """
    processes = [
        await asyncio.create_subprocess_exec(
            sys.executable, "-c", BUSY_PROGRAM, preexec_fn=end_with_parent
        )
        for _ in range(count)
    ]

    async def alternate() -> None:
        for sent in itertools.cycle([signal.SIGSTOP, signal.SIGCONT]):
            half_s = period_s / 2
            await asyncio.sleep(half_s - time.time() % half_s)
            for process in processes:
                process.send_signal(sent)

    alternating = asyncio.create_task(alternate()) if period_s else None
    try:
        yield
    finally:
        if alternating is not None:
            alternating.cancel()
        for process in processes:
            process.kill()
            await process.wait()


async def _play_beside(
    busy: int, busy_period_s: float, playing: Awaitable[_Load]
) -> _Load:
    async with _run_busy_processes(busy, busy_period_s):
        return await playing


def _read_profile(path: Path, changes: Sequence[str]) -> _Profile:
    """Read a profile, and replace some of its values.

    A profile may name another one as ``base``, whose values it changes.
    """
    values = msgspec.toml.decode(path.read_bytes())
    if base := values.pop("base", ""):
        values = msgspec.toml.decode((path.parent / base).read_bytes()) | values
    values |= msgspec.toml.decode("\n".join(changes))
    return msgspec.convert(values, _Profile)


def play(
    path: Path,
    seed: int,
    seconds: float,
    trouble: Trouble,
    lag_s: tuple[float, float] = (0.0, 0.0),
    *,
    stops_holders: bool = False,
    leaving: bool = False,
    busy: int = 0,
    busy_period_s: float = 0.0,
    share: float = 1.0,
    share_upstreams: float = 1.0,
    changes: Sequence[str] = (),
    figures: Path | None = None,
) -> tuple[bool, str]:
    """Play a profile once; its logs are kept if a promise was broken.

    What was counted is also written to ``figures``, as JSON.

    Returns:
        Whether no promise was broken, and what was counted.
    """
    profile = _read_profile(path, changes)
    folder = Path(tempfile.mkdtemp(prefix="site-load-"))
    playing = _play(
        profile,
        folder,
        seed,
        seconds,
        trouble,
        lag_s,
        stops_holders,
        leaving,
        _Shares(share, share_upstreams),
    )
    load = asyncio.run(_play_beside(busy, busy_period_s, playing))
    text, counted = load.describe(), load.count()
    if figures is not None:
        figures.write_bytes(msgspec.json.encode(counted))
    if not counted.is_sound():
        return False, f"{text}\n  logs in {folder}"
    shutil.rmtree(folder)
    return True, text


def main(
    profile: Annotated[Path, typer.Argument(help="What is played.")],
    seed: Annotated[int, typer.Option(help="Chooses moments and lengths.")] = 1,
    seconds: Annotated[float, typer.Option(help="For how long.")] = 60.0,
    trouble: Annotated[Trouble, typer.Option(help="What upstreams do wrong.")] = (
        Trouble.NONE
    ),
    lag_s: Annotated[
        tuple[float, float],
        typer.Option(help="How long answers are on their way, at least and at most."),
    ] = (0.0, 0.0),
    holders: Annotated[
        bool, typer.Option(help="Whether every other stop is that of the holder.")
    ] = False,
    leaving: Annotated[
        bool, typer.Option(help="Whether upstreams leave, in place of planned stops.")
    ] = False,
    busy: Annotated[
        int, typer.Option(help="Busy processes that share the machine.")
    ] = 0,
    busy_period_s: Annotated[
        float, typer.Option(help="Period in whose first half they run; 0 for all.")
    ] = 0.0,
    share: Annotated[
        float, typer.Option(help="Part of the time in which a VM's programs run.")
    ] = 1.0,
    share_upstreams: Annotated[
        float, typer.Option(help="The same for the processes of upstreams.")
    ] = 1.0,
    changes: Annotated[
        list[str],
        typer.Option("--set", help="Values of the profile, as lines of TOML."),
    ] = [],  # noqa: B006
    figures: Annotated[
        Path | None, typer.Option(help="Gets what was counted, as JSON.")
    ] = None,
) -> None:
    """Play a profile and print what became of its requests.

    Raises:
        typer.Exit: Status 1 if a promise was broken.
    """
    is_sound, text = play(
        profile,
        seed,
        seconds,
        trouble,
        lag_s,
        stops_holders=holders,
        leaving=leaving,
        busy=busy,
        busy_period_s=busy_period_s,
        share=share,
        share_upstreams=share_upstreams,
        changes=changes,
        figures=figures,
    )
    print(
        f"seed {seed}, {trouble.value}, lag {lag_s}, holders {holders}, "
        f"leaving {leaving}, busy {busy} each {busy_period_s} s, share {share}, "
        f"share of upstreams {share_upstreams}, {changes}: {text}"
    )
    raise typer.Exit(0 if is_sound else 1)


if __name__ == "__main__":
    typer.run(main)
