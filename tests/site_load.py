"""Load on an installation of real processes while its VMs stop one by one.

Run as ``python -m tests.site_load samples/load.toml``. The entry VMs and the
upstreams are processes; the store and the callers are in this one. Requests
come at the rates of the profile, whatever becomes of those before them. VMs
get their stop signal in turn, several at a time, and are started again.
Upstreams may also fall silent, become slow or hang.

Reported are all requests that ended without a whole answer though the VM had
read them and they had time left, those that began at more upstreams than their
route allows, and what the logs have of them. Answers may be on their way for a
while.
"""

import asyncio
import itertools
import math
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
from typing import Annotated, Any

import msgspec
import typer

from tests.delays import DelayMeter
from tests.installation import Answer, eventually
from tests.silent_processes import Caller, read_lines
from tests.soak_seeds import begin_overlapping
from zinniaspool_standins.hosts import HostPlan, RunnerHost, make_hosted_runners
from zinniaspool_standins.installation import Installation, make_rules
from zinniaspool_standins.nodes import EntryNode, end_nodes, make_nodes
from zinniaspool_standins.passes import PassTimes
from zinniaspool_standins.runners import RunnerFaults, RunnerTimes

__all__ = ["Trouble", "play"]

SETTLE_S = 40.0
LIMIT_SLACK_S = 0.2
"""An answer that ends so long before its time limit or later isn't cut, in
seconds."""

LOSS_SLACK_S = 0.2
"""A connection that is closed so soon after a request was sent crossed it, in
seconds."""

PAUSE_S = (0.3, 1.4)
PACES = (3.0, 5.0)
SLOW_S = (2.0, 6.0)
HANG_S = (2.0, 6.0)
TROUBLE_GAP_S = (1.0, 4.0)


SHOWN = ("stream-behind", "answer-cut", "connection-cut", "target-silent")
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

    def draw(self, source: random.Random) -> int:
        sigma = self.spread
        value = source.lognormvariate(math.log(self.mean) - sigma**2 / 2, sigma)
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
    """What is played; see samples/load.toml."""

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
class _Loss:
    """An upstream that was lost, from one time to another, in seconds."""

    upstream: str
    began_at: float
    ended_at: float


@dataclass(eq=False)
class _Vm:
    """One entry VM; ``stopped_at`` is None while it serves."""

    node: EntryNode
    stopped_at: float | None = None


@dataclass(frozen=True, slots=True)
class _Ended:
    """How one request ended; ``wanted`` is how many events it asked for."""

    name: str
    route: str
    vm: str
    after_stop_s: float | None
    sent_at: float
    took_s: float
    answer: Answer
    wanted: int

    def describe(self) -> str:
        after = ""
        if self.after_stop_s is not None:
            after = f", {self.after_stop_s:.2f} s after SIGTERM"
        return (
            f"{self.name} {self.route} at {self.vm}{after}, took "
            f"{self.took_s:.2f} s: status {self.answer.status}, "
            f"{len(self.answer.events)} of {self.wanted} events"
        )


@dataclass
class _Consumer:
    """Sends requests of its own to a VM whose address it keeps for a while."""

    load: "_Load"
    source: random.Random
    vm: _Vm | None = None
    caller: Caller | None = None
    leaves_at: float = math.inf

    def choose_caller(self) -> tuple[_Vm, Caller]:
        """Return the VM for the next request, and connections to it."""
        now = _now()
        if self.vm is not None and self.vm.stopped_at is not None:
            lifetime_s = self.source.choice(self.load.profile.address_lifetimes_s)
            self.leaves_at = min(self.leaves_at, self.vm.stopped_at + lifetime_s)
        if self.vm is None or self.caller is None or now >= self.leaves_at:
            self.vm = self.source.choice(self.load.list_serving())
            self.caller = Caller(self.vm.node.front, "")
            self.leaves_at = math.inf
        return self.vm, self.caller


@dataclass
class _Load:
    profile: _Profile
    made: _Installation
    hosts: list[RunnerHost]
    vms: list[_Vm]
    source: random.Random
    ends: Counter[str] = field(default_factory=Counter)
    lost: list[_Ended] = field(default_factory=list)
    ended: list[_Ended] = field(default_factory=list)
    losses: list[_Loss] = field(default_factory=list)
    works: list[str] = field(default_factory=list)
    delays: DelayMeter = field(default_factory=DelayMeter)
    sent: int = 0
    began_at: float = field(default_factory=lambda: _now())

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
            due += self.source.expovariate(route.per_s)
            await asyncio.sleep(due - _now())
            consumer = self.source.choice(consumers)
            sending.append(asyncio.create_task(self._send(route, consumer)))
        await asyncio.gather(*sending)

    async def _send(self, route: _Route, consumer: _Consumer) -> None:
        vm, caller = consumer.choose_caller()
        self.sent += 1
        name, sent_at = f"load-{self.sent}", _now()
        stopped_at, wanted = vm.stopped_at, 0
        path, left_s = f"/{route.name}/1", route.timeout_s
        if route.model:
            wanted = route.events.draw(self.source)
            tokens = wanted * self.profile.models[route.model].passes.stride
            prompt = route.prompt.draw(self.source)
            answer = await caller.ask(
                name,
                "POST",
                path,
                left_s,
                x_zinniaspool_model=route.model,
                x_zinniaspool_token_count=f"{prompt},{tokens}",
            )
        else:
            method = "GET" if route.name == "receipts" else "POST"
            answer = await caller.ask(name, method, path, left_s)
        took_s = _now() - sent_at
        stopped_at = vm.stopped_at if stopped_at is None else stopped_at
        after_s = None if stopped_at is None else sent_at - stopped_at
        ended = _Ended(
            name, route.name, vm.node.name, after_s, sent_at, took_s, answer, wanted
        )
        self.ended.append(ended)
        end = self._judge(ended, left_s)
        self.ends[end] += 1
        if end == "lost":
            self.lost.append(ended)

    @staticmethod
    def _judge(one: _Ended, left_s: float) -> str:
        answer = one.answer
        if not answer.sent:
            return "unsent"
        if answer.whole:
            if answer.status != HTTPStatus.OK:
                return f"status {answer.status}"
            is_whole = answer.events == list(range(1, one.wanted + 1))
            return "whole" if is_whole else "lost"
        if one.took_s >= left_s - LIMIT_SLACK_S:
            return "at its limit"
        if answer.status or one.took_s > LOSS_SLACK_S:
            return "lost"
        return "crossed"

    # Planned work.

    async def stop_in_turn(self, until: float) -> None:
        """Stop the next VM every now and then, and start it again."""
        stopping: set[asyncio.Task[None]] = set()
        free = asyncio.Semaphore(self.profile.stops_at_once)
        for vm in itertools.cycle(self.vms):
            await asyncio.sleep(self.source.uniform(*self.profile.stop_gap_s))
            await free.acquire()
            if _now() > until:
                break
            stopping.add(asyncio.create_task(self._restart(vm, free)))
        await asyncio.gather(*stopping)

    async def _restart(self, vm: _Vm, free: asyncio.Semaphore) -> None:
        vm.stopped_at = _now()
        killed = await vm.node.stop(self.profile.grace_s)
        self.works += [f"{one.log.stem} was killed" for one in killed]
        await vm.node.start()
        caller = Caller(vm.node.front, "")
        for _ in range(200):
            if (
                await caller.ask("start", "GET", "/receipts/1")
            ).status == HTTPStatus.OK:
                break
            await asyncio.sleep(0.1)
        caller.close()
        vm.stopped_at = None
        free.release()

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
            self.losses.append(_Loss(name, _now(), _now() + seconds))
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

    def list_beyond_limits(self) -> list[_Ended]:
        """Return what began at more upstreams than its route allows.

        Upstreams that were lost meanwhile don't count.
        """
        return [
            one
            for one in self.ended
            if len(self._list_began(one)) > self.made.max_attempts[one.route]
        ]

    def _list_began(self, one: _Ended) -> set[str]:
        began = {name for host in self.hosts for name in host.begun.get(one.name, ())}
        return began - {
            loss.upstream
            for loss in self.losses
            if loss.began_at <= one.sent_at + one.took_s
            and loss.ended_at >= one.sent_at
        }

    def describe(self) -> str:
        """Return what was counted, and what the logs have of what was lost."""
        beyond = self.list_beyond_limits()
        lines = read_lines(vm.node for vm in self.vms)
        ends = {
            line.fields["request"]: line
            for event in ("request-ended", "answer-cut")
            for line in lines
            if line.event == event
        }
        found = [
            f"{self.sent} sent: {dict(self.ends)}, own loop late by "
            f"{self.delays.longest_s:.2f} s at most",
            f"events: {Counter(line.event for line in lines if line.event in SHOWN)}",
        ]
        found.append(f"work: {', '.join(self.works)}")
        found.append(f"{len(beyond)} began at more upstreams than allowed")
        for one in [*self.lost, *beyond]:
            line = ends.get(one.name)
            shown = "" if line is None else f"\n    {line.event} {line.fields}"
            began = ", ".join(sorted(self._list_began(one)))
            found.append(f"{one.describe()}, begun by {began or 'nobody'}{shown}")
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
) -> _Load:
    _Installation.profile = profile
    async with _Installation.running(nodes=0, engines=0, plain=0) as made:
        plan = HostPlan(
            {name: model.size for name, model in profile.models.items()},
            RunnerTimes(heartbeat_s=0.8, stall_s=6.0, lag_s=lag_s),
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
        hosts.append(RunnerHost("plain", plain, made.store, folder))
        nodes: list[EntryNode] = []
        try:
            await asyncio.gather(*(host.start() for host in hosts))
            nodes = await make_nodes(made, folder, profile.vms, grace_s=profile.grace_s)
            load = _Load(
                profile, made, hosts, [_Vm(node) for node in nodes], random.Random(seed)
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
            measuring = asyncio.create_task(load.delays.run())
            await asyncio.gather(
                load.stop_in_turn(until),
                load.trouble(trouble, until),
                *(load.send_requests(route, until) for route in profile.routes),
            )
            measuring.cancel()
            return load
        finally:
            for host in hosts:
                host.send(signal.SIGCONT)
            await end_nodes(nodes)
            await asyncio.gather(*(host.end() for host in hosts))


def play(
    path: Path,
    seed: int,
    seconds: float,
    trouble: Trouble,
    lag_s: tuple[float, float] = (0.0, 0.0),
) -> tuple[bool, str]:
    """Play a profile once; its logs are kept if a request was lost.

    Returns:
        Whether no request was lost or began at more upstreams than allowed,
        and what was counted.
    """
    profile = msgspec.toml.decode(path.read_bytes(), type=_Profile)
    folder = Path(tempfile.mkdtemp(prefix="site-load-"))
    load = asyncio.run(_play(profile, folder, seed, seconds, trouble, lag_s))
    text = load.describe()
    if load.lost or load.list_beyond_limits():
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
) -> None:
    """Play a profile and print what became of its requests.

    Raises:
        typer.Exit: Status 1 if a request was lost, or began at more upstreams
            than allowed.
    """
    is_sound, text = play(profile, seed, seconds, trouble, lag_s)
    print(f"seed {seed}, {trouble.value}, lag {lag_s}: {text}")
    raise typer.Exit(0 if is_sound else 1)


if __name__ == "__main__":
    typer.run(main)
