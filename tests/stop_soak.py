"""A randomized soak of long answers around planned work.

Run as ``python -m tests.stop_soak --seeds 50``. Each seed runs four entry VMs
as processes, and the store, the upstreams and the callers in one loop. Stops
of VMs, new configurations, SIGHUP and replaced upstreams come in series that
overlap; on even seeds upstreams also fall silent, and the store loses answers
and writes late. From seed 1000 on heads also become slow, and from seed 2000
on what streams answer is also on its way for a while. Callers send
streams as long as their route allows, and use a VM's address and their open
connections to it while it stops. From seed 3000 on each stream states the most
that any may have, whatever it will have.
"""

import asyncio
import random
import shutil
import signal
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum
from http import HTTPStatus
from pathlib import Path
from typing import Any

from tests.delays import DelayMeter
from tests.installation import Answer, eventually
from tests.silent_processes import Caller, find_holder
from tests.site_promises import LIMIT_SLACK_S, LOSS_SLACK_S
from tests.soak_seeds import begin_overlapping, run_command_line
from zinniaspool_standins.installation import SIZES, Installation, make_rules
from zinniaspool_standins.nodes import EntryNode, end_nodes, make_nodes
from zinniaspool_standins.runners import Runner, RunnerTimes

__all__ = ["StopSoakError", "run_seed"]

VMS, ENGINES, PLAIN, CALLERS = 4, 20, 4, 40
GRACE_S = 8.0
WORK_S = 26.0
"""Time in which planned work begins, in seconds."""

DEADLINE_S = 8.0
TIMEOUTS_MS = (7600, 8000)
"""Timeouts of the routes, which configurations change."""

LIFETIMES_S = (2.0, 6.0, 6.0)
"""Times for which callers keep an address of a VM that stops, in seconds."""

EXCUSED_S = 3.0
"""Time after SIGTERM up to which the platform excuses some cuts, in seconds.
The soak doesn't."""

RETURN_PART = 1 / 3
"""Part of the time left up to which callers wait before they come back."""

MAX_REFUSAL_S = 0.3
"""Longest time until a VM refuses a request because it leaves, in seconds. The
longest delay of this process is added, which the VMs share a machine with."""

SHORT_S = 1.0
SHORT_SERVED_S = 5.0
"""Time after SIGTERM in which requests shorter than ``SHORT_S`` are served, in
seconds."""

DRAIN_S, MAX_DRAIN_S = 3.0, 10.0
"""How long an upstream that leaves serves at least and at most, in seconds."""

SILENCES_S = (1.0, 1.4)
SILENCE_PAUSE_S = 1.0
"""Shortest pause between two silences, in seconds."""

FIRST_SLOW_SEED, FIRST_LAGGED_SEED, FIRST_STATING_SEED = 1000, 2000, 3000
MOST_EVENTS = 110
"""Events that streams state from there on; they fit half of a stop."""

LAG_S = (0.1, 0.5)
MAX_UPSTREAMS = 2
"""Upstreams that may begin a stream, but for those that have ended."""

PACES = (3.0, 5.0)
SLOW_S = (2.0, 6.0)
"""Pace of a slow head, and for how long it is slow, in seconds."""

END_S = 20.0
"""Time in which everything must serve at the end, in seconds."""

NOT_RUN = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
LEAVING = "leaving"


class StopSoakError(AssertionError):
    """A promise was broken; the message names the seed and what was seen."""


class _Route(Enum):
    DRAFTS = "drafts"
    NOTES = "notes"
    RECEIPTS = "receipts"
    CARDS = "cards"

    @property
    def is_stream(self) -> bool:
        return self in (_Route.DRAFTS, _Route.NOTES)


class _End(Enum):
    WHOLE = "whole"
    LATE = "at its limit"
    CUT = "cut"
    FAILED = "failed"
    REFUSED = "refused"
    CROSSED = "crossed a close"
    UNSENT = "unsent"


class _Installation(Installation):
    """Routes that may take as long as callers wait, one without resuming."""

    timeout_ms = max(TIMEOUTS_MS)
    added: tuple[str, ...] = ()
    lag_s = (0.0, 0.0)

    def add_runner(
        self, service: str, domain: str | None, zone: str = "hall-a"
    ) -> Runner:
        """Start one more instance."""
        runner = super().add_runner(service, domain, zone)
        runner.times.lag_s = self.lag_s
        return runner

    def configure(self, **changes: Any) -> None:
        """Write the next version of the rules."""
        made = make_rules(self.version, self.keys)
        waiting = {"timeout-ms": self.timeout_ms}
        routes = {route["name"]: {**route, **waiting} for route in made["routes"]}
        once = {"stream-resume": False, "max-attempts": 1}
        routes["notes"] = _rename(routes["drafts"], "notes") | once
        for name in self.added:
            routes[name] = _rename(routes["receipts"], name)
        services = made["services"]
        services[0]["engine"]["step_ms"] = RunnerTimes().pass_s * 1000
        rules = {"routes": list(routes.values()), "services": services}
        super().configure(**{**rules, **changes})


def _rename(route: dict[str, Any], name: str) -> dict[str, Any]:
    return {**route, "name": name, "path-prefix": f"/{name}/"}


@dataclass(eq=False)
class _Vm:
    """One entry VM.

    Attributes:
        node: Its processes.
        stopped_at: Time of SIGTERM, in seconds of the loop's clock; None once
            it serves again.
        starting: Whether its processes were started and don't serve yet.
    """

    node: EntryNode
    stopped_at: float | None = None
    starting: bool = False


@dataclass(frozen=True, slots=True)
class _Order:
    """What a caller wants; a plain request has no events.

    Attributes:
        events: The events that a stream will have.
        stated: Those that its caller states.
    """

    route: _Route
    model: str
    events: int
    stated: int
    deadline_s: float
    read_pause_s: float

    @property
    def length_s(self) -> float:
        return self.events * RunnerTimes().pass_s

    @property
    def stated_s(self) -> float:
        return self.stated * RunnerTimes().pass_s


@dataclass(frozen=True, slots=True)
class _Ended:
    """How one request ended.

    Attributes:
        name: The request.
        order: What was wanted.
        vm: Where it was sent.
        after_s: When it was sent after SIGTERM to that VM, in seconds; None
            if the VM wasn't being stopped then or at the end.
        took_s: Time to its end, in seconds.
        end: How it ended.
        status: The answer's status, or 0.
        kind: Why the VM refused it.
        events: How many events came.
    """

    name: str
    order: _Order
    vm: str
    after_s: float | None
    took_s: float
    end: _End
    status: int
    kind: str
    events: int

    @property
    def left_s(self) -> float:
        """The rest of the stop time when it was sent, in seconds."""
        return GRACE_S - (self.after_s or 0.0)

    def describe(self) -> str:
        order = self.order
        sent = ""
        if self.after_s is not None:
            sent = f" sent {self.after_s:.2f} s after SIGTERM and ended "
            sent += f"{self.after_s + self.took_s:.2f} s after it"
        wanted = f"{self.events} of {order.events} events, " if order.events else ""
        return (
            f"{self.name} {order.route.value} at {self.vm}{sent}: {self.end.value} "
            f"{self.status} {self.kind} after {self.took_s:.2f} s, {wanted}"
            f"length {order.length_s:.2f} s, deadline {order.deadline_s:.2f} s"
        )


class _Consumer:
    """Sends requests one after the other, most of them for long streams.

    Args:
        soak: The soak.
        source: Chooses what to send, and where.
    """

    def __init__(self, soak: "_Soak", source: random.Random) -> None:
        self._soak = soak
        self._source = source
        self._lifetime_s = source.choice(LIFETIMES_S)
        self._keeps_connection = source.random() < 1 / 2
        self._vm: _Vm | None = None
        self._caller: Caller | None = None

    async def send_traffic(self, until: float) -> None:
        """Send requests until a time."""
        while _now() < until:
            await self._order(self._draw())
            await asyncio.sleep(self._source.uniform(0.0, 0.5))
        self._leave_vm()

    def _draw(self) -> _Order:
        source = self._source
        route = source.choices(list(_Route), (5, 3, 2, 1))[0]
        events = 0
        if route.is_stream:
            lengths = ((5, 30), (20, 217), (217, 235))
            events = source.randint(*source.choices(lengths, (2, 6, 2))[0])
        stated = events
        if route.is_stream and self._soak.seed >= FIRST_STATING_SEED:
            events, stated = min(events, MOST_EVENTS), MOST_EVENTS
        deadline_s = DEADLINE_S
        if source.random() < 1 / 4:
            length_s = events * RunnerTimes().pass_s
            deadline_s = min(DEADLINE_S, 1.15 * length_s + source.uniform(1.0, 2.0))
        read_pause_s = source.choice((0.0, 0.0, 0.0, 0.0, 0.1, 0.4))
        return _Order(
            route, source.choice(list(SIZES)), events, stated, deadline_s, read_pause_s
        )

    async def _order(self, order: _Order) -> None:
        """Send a request, and come back as often as refusals allow it."""
        ends = _now() + order.deadline_s
        refused_by = None
        while True:
            if refused_by is None:
                vm, caller = self._choose_kept(order)
            else:
                vm = self._soak.choose_vm(self._source, refused_by)
                caller = Caller(vm.node.front, order.model)
            ended, retry_after_s = await self._soak.send(
                vm, caller, order, ends - _now()
            )
            if refused_by is not None:
                caller.close()
            elif self._is_left_after(ended.end):
                self._leave_vm()
            if retry_after_s is None or retry_after_s > RETURN_PART * (ends - _now()):
                return
            await asyncio.sleep(retry_after_s)
            refused_by = vm

    def _is_left_after(self, end: _End) -> bool:
        if end is _End.REFUSED:
            return not self._keeps_connection
        return end in (_End.UNSENT, _End.CROSSED, _End.CUT)

    def _choose_kept(self, order: _Order) -> tuple[_Vm, Caller]:
        if self._vm is not None and self._is_obsolete(self._vm):
            self._leave_vm()
        vm, caller = self._vm, self._caller
        if vm is None or caller is None:
            vm = self._soak.choose_vm(self._source)
            caller = Caller(vm.node.front, order.model)
            self._vm, self._caller = vm, caller
        caller.model = order.model
        return vm, caller

    def _is_obsolete(self, vm: _Vm) -> bool:
        if vm.stopped_at is None or self._keeps_connection:
            return False
        return _now() - vm.stopped_at > self._lifetime_s

    def _leave_vm(self) -> None:
        if self._caller is not None:
            self._caller.close()
        self._vm = self._caller = None


@dataclass
class _Soak:
    made: _Installation
    vms: list[_Vm]
    seed: int
    source: random.Random
    works: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    ended: list[_Ended] = field(default_factory=list)
    sent: int = 0
    silent_until: float = 0.0
    delays: DelayMeter = field(default_factory=DelayMeter)
    began_at: float = field(default_factory=lambda: _now())

    # Requests.

    def choose_vm(self, source: random.Random, refused_by: _Vm | None = None) -> _Vm:
        known = [
            vm for vm in self.vms if vm.stopped_at is None and vm is not refused_by
        ]
        return source.choice(known or self.vms)

    async def send(
        self, vm: _Vm, caller: Caller, order: _Order, left_s: float
    ) -> tuple[_Ended, float | None]:
        """Send one request; return its end and when to come back, if ever."""
        self.sent += 1
        name, sent_at, stopped_at = f"soak-{self.sent}", _now(), vm.stopped_at
        path = f"/{order.route.value}/1"
        if order.route.is_stream:
            path += f"?events={order.events}"
            answer = await caller.draft(
                name, order.stated, path, left_s, order.read_pause_s
            )
        else:
            method = "GET" if order.route is _Route.RECEIPTS else "POST"
            answer = await caller.ask(name, method, path, left_s, order.read_pause_s)
        took_s = _now() - sent_at
        stopped_at = vm.stopped_at if stopped_at is None else stopped_at
        ended = _Ended(
            name,
            order,
            vm.node.name,
            None if stopped_at is None else sent_at - stopped_at,
            took_s,
            self._judge(name, answer, took_s, left_s - order.read_pause_s),
            answer.status,
            answer.headers.get("x-error-kind") or "",
            len(answer.events),
        )
        self.ended.append(ended)
        self._check(ended, answer)
        retry_after = answer.headers.get("retry-after")
        is_asked_back = ended.end is _End.REFUSED and retry_after is not None
        return ended, float(retry_after or 0.0) if is_asked_back else None

    def _judge(self, name: str, answer: Answer, took_s: float, left_s: float) -> _End:
        if not answer.sent:
            return _End.UNSENT
        if answer.whole and answer.status in NOT_RUN:
            return _End.REFUSED
        if answer.whole and answer.status == HTTPStatus.OK:
            return _End.WHOLE
        if took_s >= min(left_s, min(TIMEOUTS_MS) / 1000) - LIMIT_SLACK_S:
            return _End.LATE
        if answer.whole:
            return _End.FAILED
        if answer.status or took_s > LOSS_SLACK_S or self._has_arrived(name):
            return _End.CUT
        return _End.CROSSED

    def _has_arrived(self, name: str) -> bool:
        return any(name in one.arrivals for one in self.made.runners.values())

    def _check(self, ended: _Ended, answer: Answer) -> None:
        order = ended.order
        if ended.end in (_End.CUT, _End.FAILED):
            self.faults.append(ended.describe())
        if ended.end is _End.WHOLE:
            expected = list(range(1, order.events + 1))
            is_right = answer.events == expected
            if not order.route.is_stream:
                is_right = answer.body == f"answer to {ended.name}".encode()
            sealed = answer.headers.get("x-zinniaspool-server-seal") is not None
            if not (is_right and sealed):
                self.faults.append(f"not its own whole answer: {ended.describe()}")
        if ended.end is not _End.REFUSED:
            return
        if ended.kind != LEAVING:
            return
        if ended.took_s > MAX_REFUSAL_S + self.delays.longest_s:
            self.faults.append(f"refused late: {ended.describe()}")
        is_early = ended.after_s is None or ended.after_s < SHORT_SERVED_S
        if is_early and order.stated_s < SHORT_S:
            self.faults.append(f"refused though short: {ended.describe()}")

    # Planned work.

    async def do_planned_work(self, until: float) -> None:
        choices: list[Callable[[], Awaitable[None]]] = [
            self.stop_vm,
            self.stop_vm,
            self.stop_two,
            self.stop_in_turn,
            self.stop_holder,
            self.hang_up,
            self.change_configuration,
            self.replace_upstream,
        ]
        if self.seed % 2 == 0:
            choices += [self.silence_engines, self.silence_plain, self.disturb_store]
        if self.seed >= FIRST_SLOW_SEED:
            choices += [self.slow_head, self.slow_head]
        await begin_overlapping(choices, self.source, until, (0.3, 2.5))

    def _note(self, work: str) -> None:
        self.works.append(f"{_now() - self.began_at:.1f} {work}")

    def _list_running(self) -> list[_Vm]:
        return [vm for vm in self.vms if vm.stopped_at is None]

    async def _restart(self, vm: _Vm) -> None:
        """Stop a VM and start it again; it is known again once it serves."""
        self._note(f"stop {vm.node.name}")
        vm.stopped_at = _now()
        killed = await vm.node.stop(GRACE_S)
        for one in killed:
            self._note(f"{one.log.stem} killed")
        await asyncio.sleep(self.source.uniform(0.0, 1.0))
        vm.starting = True
        await vm.node.start()
        await self.await_served(vm)
        vm.starting, vm.stopped_at = False, None

    async def await_served(self, vm: _Vm) -> None:
        """Wait until a VM serves each model; a fault if it takes too long."""
        ends = _now() + END_S
        for model in SIZES:
            caller, answer = Caller(vm.node.front, model), Answer(0)
            while answer.status != HTTPStatus.OK and _now() < ends:
                self.sent += 1
                answer = await caller.draft(f"soak-{self.sent}", 1)
                await asyncio.sleep(0.1)
            caller.close()
            if answer.status != HTTPStatus.OK:
                reason = answer.headers.get("x-error-kind")
                self.faults.append(
                    f"{_now() - self.began_at:.1f} {vm.node.name} doesn't serve "
                    f"{model} in {END_S} s: {answer.status} {reason}"
                )

    async def _restart_some(self, count: int) -> None:
        """Stop VMs at once, as long as two others go on."""
        running = self._list_running()
        if len(running) < count + 2:
            return
        chosen = self.source.sample(running, count)
        await asyncio.gather(*map(self._restart, chosen))

    async def stop_vm(self) -> None:
        await self._restart_some(1)

    async def stop_two(self) -> None:
        await self._restart_some(2)

    async def stop_in_turn(self) -> None:
        for _ in range(2):
            await self._restart_some(1)
            await asyncio.sleep(self.source.uniform(0.0, 1.3))

    async def stop_holder(self) -> None:
        holder = find_holder(vm.node for vm in self.vms)
        running = self._list_running()
        vm = next(vm for vm in self.vms if vm.node is holder)
        if vm in running and len(running) > 2:
            await self._restart(vm)

    async def hang_up(self) -> None:
        self._note("SIGHUP")
        for _ in range(self.source.randint(1, 3)):
            # No program can survive it before its first line runs.
            started = [vm for vm in self.vms if not vm.starting]
            if started:
                self.source.choice(started).node.send(signal.SIGHUP)
            await asyncio.sleep(self.source.uniform(0.0, 0.5))

    async def change_configuration(self) -> None:
        self._note("configurations")
        for _ in range(self.source.randint(1, 3)):
            self.made.timeout_ms = self.source.choice(TIMEOUTS_MS)
            self.made.added = tuple(
                f"added-{number}" for number in range(self.source.randint(0, 2))
            )
            self.made.configure()
            await asyncio.sleep(self.source.uniform(0.1, 0.5))

    async def replace_upstream(self) -> None:
        """Let an upstream announce that it leaves, and end once it is idle."""
        runners = self.made.runners.values()
        one = self.source.choice([one for one in runners if not _is_leaving(one)])
        self._note(f"replace {one.id}")
        one.faults.leaving = True
        head = self.made.runners[one.members[0]] if one.members else one
        self.made.replace_runner(one)
        ends = _now() + MAX_DRAIN_S
        await asyncio.sleep(DRAIN_S)
        while head.streams:
            await asyncio.sleep(0.1)
            if _now() > ends:
                break
        one.faults.dark = True

    # Silences, and what the store loses.

    async def _silence(self, upstreams: list[Runner]) -> None:
        if _now() < self.silent_until + SILENCE_PAUSE_S:
            return
        seconds = self.source.uniform(*SILENCES_S)
        self._note(f"silence of {len(upstreams)} for {seconds:.2f} s")
        self.silent_until = _now() + seconds
        for one in upstreams:
            one.faults.silent = True
        await asyncio.sleep(seconds)
        for one in upstreams:
            one.faults.silent = False

    async def slow_head(self) -> None:
        """Let a head be slow for some seconds, which it reports."""
        heads = [one for model in SIZES for one in self.made.heads(model)]
        if not heads:
            return
        head, pace = self.source.choice(heads), self.source.uniform(*PACES)
        seconds = self.source.uniform(*SLOW_S)
        self._note(f"{head.id} slow by {pace:.1f} for {seconds:.2f} s")
        head.faults.pace = pace
        await asyncio.sleep(seconds)
        head.faults.pace = 1.0

    async def silence_engines(self) -> None:
        runners = self.made.runners.values()
        engines = [one for one in runners if one.domain is not None]
        count = self.source.randint(1, len(engines))
        await self._silence(self.source.sample(engines, count))

    async def silence_plain(self) -> None:
        runners = self.made.runners.values()
        await self._silence([one for one in runners if one.domain is None])

    async def disturb_store(self) -> None:
        self._note("lost and late writes")
        faults = self.made.store.faults
        faults.lose_answers += self.source.randint(0, 2)
        faults.late_writes += self.source.randint(0, 2)

    # The end.

    async def check_end(self) -> None:
        """Check what must hold once no work is going on any more."""
        runners = self.made.runners.values()
        self.faults += [text for one in runners for text in one.broken]
        runs = Counter(run.request for one in runners for run in one.runs)
        for ended in self.ended:
            count = runs[ended.name]
            if count and ended.end is _End.REFUSED:
                self.faults.append(f"ran: {ended.describe()}")
            began = {
                one.id
                for one in runners
                if ended.name in one.begun and not one.faults.dark
            }
            if len(began) > MAX_UPSTREAMS:
                self.faults.append(f"begun by {sorted(began)}: {ended.describe()}")
            if count > 1 and ended.order.route in (_Route.CARDS, _Route.NOTES):
                self.faults.append(f"ran {count} times: {ended.describe()}")
        for vm in self.vms:
            await self.await_served(vm)

    def summarize(self) -> str:
        """Return counts, the work, and each refusal at a stopping VM."""
        counts = Counter(ended.end for ended in self.ended)
        accepted = len(self.ended) - counts[_End.REFUSED] - counts[_End.UNSENT]
        shown = ", ".join(f"{counts[end]} {end.value}" for end in _End)
        cut = [ended for ended in self.ended if ended.end is _End.CUT]
        stopping = [ended for ended in self.ended if ended.after_s is not None]
        refused = [ended for ended in stopping if ended.end is _End.REFUSED]
        refused.sort(key=lambda ended: ended.left_s, reverse=True)
        early = sum((ended.after_s or 0.0) <= EXCUSED_S for ended in cut)
        lines = [
            f"{accepted} accepted ({shown}; {early} of the cut ones sent up to "
            f"{EXCUSED_S} s after SIGTERM), {len(stopping)} at stopping VMs, loop "
            f"late by {self.delays.longest_s:.2f} s at most",
            f"work: {', '.join(self.works)}",
            *(f"{ended.left_s:.2f} s left: {ended.describe()}" for ended in refused),
        ]
        return "\n  ".join(lines)


def _now() -> float:
    return asyncio.get_running_loop().time()


def _is_leaving(runner: Runner) -> bool:
    return runner.faults.leaving or runner.faults.dark


class _LaggedInstallation(_Installation):
    lag_s = LAG_S


async def _play(seed: int, folder: Path) -> _Soak:
    kind = _LaggedInstallation if seed >= FIRST_LAGGED_SEED else _Installation
    async with kind.running(nodes=0, engines=ENGINES, plain=PLAIN) as made:
        nodes = await make_nodes(made, folder, VMS, grace_s=GRACE_S)
        try:
            source = random.Random(f"work-{seed}")
            soak = _Soak(made, [_Vm(node) for node in nodes], seed, source)
            await eventually(
                lambda: min(len(made.heads(model)) for model in SIZES) >= 2, END_S
            )
            for vm in soak.vms:
                await soak.await_served(vm)
            until = _now() + WORK_S
            consumers = [
                _Consumer(soak, random.Random(f"consumer-{number}-{seed}"))
                for number in range(CALLERS)
            ]
            measuring = asyncio.create_task(soak.delays.run())
            await asyncio.gather(
                soak.do_planned_work(until),
                *(consumer.send_traffic(until + GRACE_S) for consumer in consumers),
            )
            await soak.check_end()
            measuring.cancel()
            return soak
        finally:
            await end_nodes(nodes)


def run_seed(seed: int) -> str:
    """Play one seed and return what was counted.

    Raises:
        StopSoakError: A promise was broken.
    """
    logs = Path(tempfile.mkdtemp(prefix="stop-soak-"))
    soak = asyncio.run(_play(seed, logs))
    if soak.faults:
        faults = "\n  ".join(
            [f"{len(soak.faults)} faults, logs in {logs}", *soak.faults]
        )
        raise StopSoakError(f"seed {seed}: {soak.summarize()}\n  {faults}")
    shutil.rmtree(logs)
    return soak.summarize()


if __name__ == "__main__":
    run_command_line(run_seed)
