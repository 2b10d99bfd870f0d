"""A randomized soak: the real programs as processes, faults from outside.

Run as ``python -m zinniaspool_standins.soak --seeds 50``. Each seed starts the
stand-ins of the store and the runners here, and entry and control processes
of their own behind proxies. It sends traffic, breaks things in series that
overlap, and checks what callers and runners saw: whole answers, at most one
run, a true "not run", whole groups, no VM in two, and recovery.
"""

import asyncio
import contextlib
import random
import signal
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from http import HTTPStatus
from pathlib import Path
from typing import Annotated

import typer

from zinniaspool.http import Headers, HttpClient, Request, TransportError
from zinniaspool_standins.installation import KEY, Installation
from zinniaspool_standins.nodes import EntryNode, NodeProcess, end_nodes, make_nodes
from zinniaspool_standins.silencer import LinkFaults

__all__ = ["SoakError", "run_seed"]

NODES = 3
TRAFFIC_S = 14.0
CALM_S = 6.0
"""Time after the last fault in which everything must serve again, in seconds:
a VM that froze, a lost holder and a group that loads take a few each."""

PAUSE_S = 0.02
"""Mean pause between two requests, in seconds."""

IN_FORCE_S = 2.0
"""Time in which an accepted configuration is in force everywhere, in
seconds."""

END_CALLS, LEAST_SERVED = 8, 6
"""Requests to each VM at the end, and how many of them must be served."""

FOREIGN = ("", "AAAA", "e30=", "/w==", "eyJzZXJ2aWNlIjozfQ==")
"""Entries that no runner writes, as the store keeps them."""

NOT_RUN = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)


class SoakError(AssertionError):
    """A promise was broken; the message names the seed and what was seen."""


@dataclass
class _Soak:
    seed: int
    source: random.Random
    made: Installation
    nodes: list[EntryNode]
    faults: list[str] = field(default_factory=list)
    seen: list[str] = field(default_factory=list)
    sent: int = 0
    answered: int = 0

    def note(self, fault: str) -> None:
        self.seen.append(fault)

    # Traffic.

    async def call(self, kind: str, node: EntryNode) -> bool:
        """Send one request and check its answer; True where it was served."""
        self.sent += 1
        name = f"s{self.seed}-{self.sent}"
        headers = Headers.of(
            host="care.example",
            authorization=f"Token {self.made.keys[0]}",
            x_zinniaspool_request_id=name,
            x_zinniaspool_deadline_ms="3000",
        )
        events = self.source.randint(2, 25)
        if kind == "drafts":
            model = self.source.choice(("large", "small"))
            headers.add("x-zinniaspool-model", model)
            headers.add("x-zinniaspool-token-count", f"100,{events}")
        method = "GET" if kind == "receipts" else "POST"
        client = HttpClient(connect_s=0.5)
        try:
            response = await client.send(
                node.front, Request(method, f"/{kind}/1", headers), 5.0
            )
            body = await response.read()
        except TransportError:
            return False
        finally:
            client.close()
        self._check(name, kind, response.status, body, events)
        return response.status == HTTPStatus.OK

    def _check(
        self, name: str, kind: str, status: int, body: bytes, events: int
    ) -> None:
        if status == HTTPStatus.OK and kind == "drafts":
            ids = [int(x[3:]) for x in body.split(b"\n") if x.startswith(b"id:")]
            if ids != list(range(1, events + 1)):
                self.note(f"{name}: events {ids} of {events}")
        elif status == HTTPStatus.OK and body != f"answer to {name}".encode():
            self.note(f"{name}: another's answer {body!r}")
        if status in NOT_RUN and self.made.runs_of(name):
            self.note(f"{name}: refused as not run, but ran")

    async def send_traffic(self, until: float) -> None:
        """Send requests of all kinds until a time."""
        calls: set[asyncio.Task[bool]] = set()
        while asyncio.get_running_loop().time() < until:
            kind = self.source.choice(("drafts", "drafts", "cards", "receipts"))
            task = asyncio.create_task(self.call(kind, self.source.choice(self.nodes)))
            calls.add(task)
            task.add_done_callback(calls.discard)
            await asyncio.sleep(PAUSE_S * self.source.uniform(0.5, 2.0))
        await asyncio.gather(*calls)

    # Faults.

    async def break_things(self, until: float) -> None:
        """Begin faults one after the other; they last and overlap."""
        running: list[asyncio.Task[None]] = []
        loop = asyncio.get_running_loop()
        choices: list[Callable[[], Awaitable[None]]] = [
            self.kill,
            self.freeze,
            self.stop_in_order,
            self.spoil_link,
            self.spoil_store,
            self.lose_runner,
            self.cut_runner,
            self.let_runner_leave,
            self.spoil_orders,
            self.change_rules,
        ]
        while loop.time() < until:
            chosen = self.source.choice(choices)
            self.faults.append(chosen.__name__)
            running.append(asyncio.ensure_future(chosen()))
            await asyncio.sleep(self.source.uniform(0.1, 1.6))
        await asyncio.gather(*running)

    async def break_instances(self, until: float) -> None:
        """Restart runners under their ids and write foreign entries.

        Drawn from a source of its own: the other faults of a seed stay what
        they were when it first failed.
        """
        source = random.Random(f"instances-{self.seed}")
        while asyncio.get_running_loop().time() < until:
            await asyncio.sleep(source.uniform(0.5, 2.5))
            one = source.choice(list(self.made.runners.values()))
            if source.choice((True, True, False)):
                self.faults.append(f"restart {one.id}")
                one.restart()
            else:
                self.made.store.put("servers/foreign", source.choice(FOREIGN))

    async def restore_store(self, until: float) -> None:
        """Let the store come back from copies, again and again."""
        source = random.Random(f"store-{self.seed}")
        while asyncio.get_running_loop().time() < until:
            kept = self.made.store.make_copy()
            await asyncio.sleep(source.uniform(0.5, 3.0))
            self.faults.append("restore_store")
            await self.made.restore_store(kept, source.uniform(0.0, 1.5))

    async def announce(self, until: float) -> None:
        """Let runners ask for pauses, or say that they leave and restart."""
        source = random.Random(f"announcements-{self.seed}")
        while asyncio.get_running_loop().time() < until:
            one = source.choice(list(self.made.runners.values()))
            self.faults.append(f"announce {one.id}")
            if source.choice((True, True, False)):
                one.faults.pause_s = source.uniform(0.5, 2.0)
                await asyncio.sleep(source.uniform(0.5, 2.0))
                one.faults.pause_s = 0.0
            else:
                one.faults.says_leaving = True
                await asyncio.sleep(source.uniform(0.5, 2.0))
                one.faults.says_leaving = False
                one.restart()

    async def lose_store(self, until: float) -> None:
        """Let many runners lose the store, or leave without announcing it."""
        source = random.Random(f"records-{self.seed}")
        while asyncio.get_running_loop().time() < until:
            runners = list(self.made.runners.values())
            lost = source.sample(runners, len(runners) // 3)
            self.faults.append(f"lose_store {','.join(one.id for one in lost)}")
            for one in lost:
                one.faults.cut = True
            parting = source.choice(runners)
            parting.faults.parts = True
            await asyncio.sleep(source.uniform(1.5, 3.0))
            for one in lost:
                one.faults.cut = False
            parting.restart()
            parting.faults.parts = False
            await asyncio.sleep(source.uniform(0.5, 1.5))

    def pick(self) -> NodeProcess:
        return self.source.choice(self.source.choice(self.nodes).processes)

    async def last(self, most_s: float = 3.0) -> None:
        await asyncio.sleep(self.source.uniform(0.2, most_s))

    async def kill(self) -> None:
        one = self.pick()
        await one.end()
        await self.last(1.0)
        await one.start()

    async def freeze(self) -> None:
        one = self.pick()
        one.send(signal.SIGSTOP)
        await self.last()
        one.send(signal.SIGCONT)

    async def stop_in_order(self) -> None:
        one = self.pick()
        one.send(signal.SIGTERM)
        if one.process is not None:
            await one.process.wait()
        await one.start()

    async def spoil_link(self) -> None:
        link = self.source.choice(self.nodes).link
        link.faults = self.source.choice(
            [LinkFaults(silent=True), LinkFaults(deaf=True), LinkFaults(delay_s=0.1)]
        )
        if self.source.choice((True, False)):
            link.reset()
        await self.last()
        link.faults = LinkFaults()
        link.reset()

    async def spoil_store(self) -> None:
        store = self.made.store
        store.faults.down = self.source.choice(["busy", "many", "reset", "silent"])
        store.faults.lose_answers = self.source.choice([0, 0, 2])
        store.faults.late_writes = self.source.choice([0, 0, 1])
        await self.last()
        store.faults.down = ""
        if self.source.choice((True, False, False)):
            store.drop_history()

    async def lose_runner(self) -> None:
        one = self.source.choice(list(self.made.runners.values()))
        one.faults.dark = True
        await self.last(4.0)
        self.made.replace_runner(one)

    async def cut_runner(self) -> None:
        one = self.source.choice(list(self.made.runners.values()))
        one.faults.cut = True
        await self.last(4.0)
        one.faults.cut = False

    async def let_runner_leave(self) -> None:
        one = self.source.choice(list(self.made.runners.values()))
        one.faults.announced = True
        await self.last(4.0)
        one.faults.announced = False
        one.restart()

    async def spoil_orders(self) -> None:
        for one in self.made.runners.values():
            one.faults.unanswered_orders = self.source.choice([0, 1, 2])
        await self.last()

    async def change_rules(self) -> None:
        self.made.configure()
        await self.last(0.5)

    # Promises.

    async def check_end(self) -> None:
        """Check what must hold once nothing is broken any more."""
        for text in (one for r in self.made.runners.values() for one in r.broken):
            self.note(text)
        counts: dict[str, int] = {}
        for runner in self.made.runners.values():
            for run in runner.runs:
                counts[run.request] = counts.get(run.request, 0) + run.once
        for request, runs in counts.items():
            if runs > 1:
                self.note(f"{request}: ran {runs} times")
        for node in self.nodes:
            for kind in ("drafts", "cards"):
                served = sum([await self.call(kind, node) for _ in range(END_CALLS)])
                if served < LEAST_SERVED:
                    self.note(f"{node.name} served {served} {kind} at the end")
        await self.check_configuration()

    async def check_configuration(self) -> None:
        """Check that a new version is in force at all VMs in time."""
        self.made.keys = [f"{KEY}-new"]
        self.made.configure()
        await asyncio.sleep(IN_FORCE_S)
        for node in self.nodes:
            if not await self.call("receipts", node):
                self.note(f"{node.name} refuses a key of the newest version")


async def run_seed(
    seed: int, folder: Path, *, with_restores: bool = False, with_health: bool = False
) -> _Soak:
    """Play one seed.

    Args:
        seed: Decides which faults come when.
        folder: Gets the logs of the processes.
        with_restores: Whether the store comes back from copies and runners
            announce pauses and that they leave, beside the other faults.
        with_health: Whether runners are queried for their health, and many
            lose the store or leave without announcing it.

    Raises:
        SoakError: A promise was broken.
    """
    contracts = ("health",) if with_health else ()
    async with _start(seed, folder, contracts) as soak:
        loop = asyncio.get_running_loop()
        ends = loop.time() + TRAFFIC_S
        added = [soak.restore_store, soak.announce] if with_restores else []
        added += [soak.lose_store] if with_health else []
        await asyncio.gather(
            soak.break_things(ends - CALM_S),
            soak.break_instances(ends - CALM_S),
            soak.send_traffic(ends + 1.0),
            *(fault(ends - CALM_S) for fault in added),
        )
        await asyncio.sleep(CALM_S)
        await soak.check_end()
        if soak.seen:
            raise SoakError(f"seed {seed}: {soak.seen[:5]} after {soak.faults}")
        return soak


@contextlib.asynccontextmanager
async def _start(
    seed: int, folder: Path, contracts: Sequence[str]
) -> AsyncIterator[_Soak]:
    async with Installation.running(nodes=0, engines=9) as made:
        nodes = await make_nodes(made, folder, NODES, contracts)
        try:
            soak = _Soak(seed, random.Random(seed), made, nodes)
            await _await_served(soak)
            yield soak
        finally:
            await end_nodes(nodes)


async def _await_served(soak: _Soak) -> None:
    for _ in range(300):
        served = [await soak.call("drafts", node) for node in soak.nodes]
        if all(served):
            return
        await asyncio.sleep(0.1)
    raise SoakError(f"seed {soak.seed}: never served at the start")


def _main(
    seeds: Annotated[int, typer.Option(help="How many seeds.")] = 10,
    first: Annotated[int, typer.Option(help="The first one.")] = 1,
    with_restores: Annotated[
        bool, typer.Option(help="Restore the store, announce pauses.")
    ] = False,
    with_health: Annotated[
        bool, typer.Option(help="Query health, let many runners lose the store.")
    ] = False,
) -> None:
    failed = []
    for seed in range(first, first + seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        try:
            played = run_seed(
                seed, folder, with_restores=with_restores, with_health=with_health
            )
            soak = asyncio.run(played)
            print(f"seed {seed}: sound, {soak.sent} sent, {len(soak.faults)} faults")
        except SoakError as fault:
            failed.append(seed)
            print(f"FAILED {fault}; logs in {folder}", flush=True)
    print(f"{seeds - len(failed)} sound, failed: {failed}")
    raise typer.Exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(_main)
