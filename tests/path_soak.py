"""A randomized soak of VMs that are cut off from all upstreams.

Run as ``python -m tests.path_soak --seeds 50``. Each seed runs four entry VMs
and all upstreams in one loop, sends traffic to all VMs, and cuts VMs off,
kills them, loses and silences upstreams in series that overlap. Callers keep
their connections' answers until the process at the other end is gone.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus

from tests.installation import Answer, Installation, eventually
from tests.soak_seeds import begin_overlapping, run_command_line
from zinniaspool_standins.cuts import CutKind, CuttableLoop

__all__ = ["PathSoak", "PathSoakError", "play_seed", "run_seed"]

ZONES = {"n0": "hall-a", "n1": "hall-a", "n2": "hall-b", "n3": "hall-b"}

TRAFFIC_S = 8.0
"""Time for which things break, in seconds."""

CALM_S = 5.0
"""Time after the last fault in which everything must serve again, in
seconds."""

END_CALLS, LEAST_SERVED = 8, 7
"""Requests of each kind to each VM at the end, and how many must be served."""

MAX_PAUSE_S = 0.04
"""Longest pause between two requests, in seconds."""

NOT_RUN = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
KINDS = ("large", "small", "cards", "receipts")


class PathSoakError(AssertionError):
    """A promise was broken; the message names the seed and what was seen."""


@dataclass
class PathSoak:
    """Traffic of one seed, and what breaks meanwhile.

    Attributes:
        made: The installation.
        source: Chooses what happens.
        faults: What was broken.
        seen: The promises that were broken.
        sent: Number of requests.
        ends: Statuses of their answers; 0 for no whole answer.
    """

    made: Installation
    source: random.Random
    faults: list[str] = field(default_factory=list)
    seen: list[str] = field(default_factory=list)
    sent: int = 0
    ends: Counter[int] = field(default_factory=Counter)

    async def call(self, node: str, kind: str) -> bool:
        """Send one request and check its answer; True if it was served."""
        if node not in self.made.nodes:
            # It was killed since it was chosen.
            return False
        self.sent += 1
        name, events = f"soak-{self.sent}", self.source.randint(1, 30)
        if kind in ("large", "small"):
            answer = await self.made.draft(node, kind, events, request_id=name)
            expected = list(range(1, events + 1))
            is_right = answer.events == expected
        else:
            method = "POST" if kind == "cards" else "GET"
            answer = await self.made.ask(node, f"/{kind}/1", method, request_id=name)
            is_right = answer.body == f"answer to {name}".encode()
        self._check(name, kind, answer, is_right=is_right)
        return answer.whole and answer.status == HTTPStatus.OK

    def _check(self, name: str, kind: str, answer: Answer, *, is_right: bool) -> None:
        self.ends[answer.status if answer.whole else 0] += 1
        if answer.whole and answer.status == HTTPStatus.OK and not is_right:
            self.seen.append(f"{name}: not its own whole answer")
        runs = self.made.runs_of(name)
        if answer.whole and answer.status in NOT_RUN and runs:
            self.seen.append(f"{name}: refused as not run, but ran at {runs}")
        if kind == "cards" and len(runs) > 1:
            self.seen.append(f"{name}: ran {len(runs)} times")

    def list_faults(self) -> list[Callable[[], Awaitable[None]]]:
        """Return what may break; each returns when that has ended."""
        return [
            self.cut_some,
            self.cut_some,
            self.cut_domain,
            self.replace_vm,
            self.lose_runner,
            self.silence_runner,
        ]

    async def send_traffic(self, until: float) -> None:
        calls = set()
        while asyncio.get_running_loop().time() < until:
            node = self.source.choice(list(self.made.nodes))
            calls.add(asyncio.create_task(self.call(node, self.source.choice(KINDS))))
            await asyncio.sleep(self.source.uniform(0.0, MAX_PAUSE_S))
        await asyncio.gather(*calls)

    async def break_things(self, until: float) -> None:
        await begin_overlapping(
            self.list_faults(), self.source, until, (0.2, 1.5), self.faults.append
        )

    async def cut(self, names: list[str]) -> None:
        kind = self.source.choice(list(CutKind))
        self.faults.append(f"{kind.value} {','.join(names)}")
        for name in names:
            self.made.cut_upstreams(name, kind)
        await asyncio.sleep(self.source.uniform(0.3, 4.0))
        for name in names:
            self.made.heal_upstreams(name)

    async def cut_some(self) -> None:
        await self.cut(self.source.sample(list(ZONES), self.source.randint(1, 3)))

    async def cut_domain(self) -> None:
        zone = self.source.choice(list(ZONES.values()))
        await self.cut([name for name in ZONES if ZONES[name] == zone])

    async def replace_vm(self) -> None:
        if len(self.made.nodes) < len(ZONES):
            return
        name = self.source.choice(list(self.made.nodes))
        await self.made.kill(name)
        await asyncio.sleep(self.source.uniform(0.1, 1.0))
        await self.made.add_node(name, ZONES[name])

    async def lose_runner(self) -> None:
        one = self.source.choice(list(self.made.runners.values()))
        one.faults.dark = True
        await asyncio.sleep(self.source.uniform(0.5, 3.0))
        self.made.replace_runner(one)

    async def silence_runner(self) -> None:
        one = self.source.choice(list(self.made.runners.values()))
        one.faults.silent = True
        await asyncio.sleep(self.source.uniform(0.5, 1.5))
        one.faults.silent = False

    async def check_end(self) -> None:
        """Check what must hold once nothing is broken any more."""
        self.seen += [text for one in self.made.runners.values() for text in one.broken]
        for node in self.made.nodes:
            for kind in KINDS:
                calls = [self.call(node, kind) for _ in range(END_CALLS)]
                served = sum(await asyncio.gather(*calls))
                if served < LEAST_SERVED:
                    self.seen.append(f"{node} served {served} {kind} at the end")
            if self.made.nodes[node].gateway._connector.is_path_lost:
                self.seen.append(f"{node} still takes its path for lost")


async def _play(
    seed: int, make_soak: Callable[[Installation, random.Random], PathSoak]
) -> PathSoak:
    async with Installation.running(nodes=0, engines=12, plain=4) as made:
        for name, zone in ZONES.items():
            await made.add_node(name, zone)
        await made.settle()
        await eventually(lambda: made.find_holder() is not None)
        soak = make_soak(made, random.Random(seed))
        until = asyncio.get_running_loop().time() + TRAFFIC_S
        await asyncio.gather(
            soak.break_things(until), soak.send_traffic(until + CALM_S / 2)
        )
        await asyncio.sleep(CALM_S)
        await soak.check_end()
        return soak


def run_seed(seed: int) -> str:
    """Play one seed and return what was counted.

    Raises:
        PathSoakError: A promise was broken.
    """
    return play_seed(seed, PathSoak)


def play_seed(
    seed: int, make_soak: Callable[[Installation, random.Random], PathSoak]
) -> str:
    """Play one seed of a soak and return what was counted.

    Raises:
        PathSoakError: A promise was broken.
    """
    with asyncio.Runner(loop_factory=CuttableLoop) as runner:
        soak = runner.run(_play(seed, make_soak))
    if soak.seen:
        raise PathSoakError(f"seed {seed}: {soak.seen[:5]} after {soak.faults}")
    ends = ", ".join(f"{count} of {end}" for end, count in sorted(soak.ends.items()))
    return f"{soak.sent} sent ({ends}), {len(soak.faults)} faults"


if __name__ == "__main__":
    run_command_line(run_seed)
