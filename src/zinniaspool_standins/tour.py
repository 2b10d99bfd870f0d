"""The deployed programs on loopback, broken under traffic.

Run by ``./demo``. The store and the runners are stand-ins in this process; the
entry and control processes are those that the deploy file names. The last line
counts what callers and runners saw.
"""

import asyncio
import contextlib
import random
import shutil
import signal
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus
from pathlib import Path
from typing import Annotated

import typer

from zinniaspool.http import (
    Headers,
    HttpClient,
    Request,
    TransportError,
    TransportFailure,
)
from zinniaspool.telemetry.traces import parse_line
from zinniaspool_standins.installation import KEY, Installation
from zinniaspool_standins.nodes import EntryNode, end_nodes, make_nodes
from zinniaspool_standins.runners import Runner

__all__ = ["Tour"]

FOLDER = Path(".demo")
NODES, ENGINES = 3, 9
START_S, REPAIR_S = 20.0, 12.0
QUIET_S, AFTER_LOSS_S = 1.5, 4.0
LOOK_S = 0.1
PAUSE_S = 0.03
"""Mean pause between two callers' requests, in seconds."""

MODELS = ("large", "large", "large", "small")
"""Models to draw from. With equal demands both two groups of the large model
and one are a sound plan for the VMs that are left after a loss."""

MOST_ASKS = 4
"""How often a caller asks at most, each time at another entry VM. A caller
that is refused comes back when it is told to."""

DEADLINE_MS = 3000
NOT_RUN = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
EXPLAINED = ("group-phase", "instance-lost", "group-suspected")
"""Log events that tell what became of a group."""


class Ending(Enum):
    """How a caller's request ended, over all of its asks."""

    ANSWERED = "answered"
    REFUSED = "refused"
    """It was told that the request did not run."""

    UNKNOWN = "outcome unknown"
    """It may have run, and may not be repeated."""

    LOST = "lost"
    """It may be repeated, and nobody answered it."""

    FOREIGN = "foreign"
    """It was given another's answer, or one that is not whole."""


@dataclass(frozen=True, slots=True)
class Wanted:
    """One caller's request.

    Attributes:
        name: Its id, the same for all asks but for a number.
        kind: The route: drafts are streamed, cards run once only.
        events: Events that its answer has.
    """

    name: str
    kind: str
    events: int

    @property
    def repeatable(self) -> bool:
        """Whether it may run more than once."""
        return self.kind != "cards"


class Tour:
    """One run of the demo.

    Args:
        made: The store and the runners.
        nodes: The entry VMs.
        seed: Decides which requests are sent, and what is broken.
    """

    def __init__(
        self, made: Installation, nodes: list[EntryNode], seed: int | None = None
    ) -> None:
        self._made = made
        self._nodes = nodes
        self._seed = random.randrange(10**6) if seed is None else seed
        self._source = random.Random(self._seed)
        self._began = time.monotonic()
        self._stopped = False
        self._sent = 0
        self._endings: Counter[Ending] = Counter()

    async def run(self) -> bool:
        """Start, break and judge; whether every promise was kept."""
        self.tell(f"seed {self._seed}")
        await self._wait_for_service()
        self._show_groups()
        self.tell("sending streamed, idempotent and non-idempotent requests")
        traffic = asyncio.create_task(self._send_traffic())
        await asyncio.sleep(QUIET_S)
        await self._break_group()
        await self._break_entry()
        self._stopped = True
        await traffic
        self._show_groups()
        return self._judge()

    def tell(self, text: str) -> None:
        """Print one line with the time since the start."""
        print(f"{time.monotonic() - self._began:5.1f} s  {text}", flush=True)

    async def _wait_for_service(self) -> None:
        self.tell("waiting until every entry VM serves every model")
        async with asyncio.timeout(START_S):
            for node in self._nodes:
                for kind in ("drafts", "cards"):
                    await self._wait_until_served(node, kind)

    async def _wait_until_served(self, node: EntryNode, kind: str) -> None:
        ending = Ending.REFUSED
        while ending is not Ending.ANSWERED:
            ending, _ = await self._ask(node, self._make_wanted(kind), 0)
            await asyncio.sleep(LOOK_S)

    # Callers.

    async def _send_traffic(self) -> None:
        calls: set[asyncio.Task[None]] = set()
        while not self._stopped:
            kind = self._source.choice(("drafts", "drafts", "cards", "receipts"))
            task = asyncio.create_task(self._call(self._make_wanted(kind)))
            calls.add(task)
            task.add_done_callback(calls.discard)
            await asyncio.sleep(PAUSE_S * self._source.uniform(0.5, 1.5))
        await asyncio.gather(*calls)

    def _make_wanted(self, kind: str) -> Wanted:
        self._sent += 1
        return Wanted(f"r{self._sent}", kind, self._source.randint(2, 25))

    async def _call(self, wanted: Wanted) -> None:
        """Ask as a caller does: elsewhere again, if that may be done."""
        nodes = self._source.sample(self._nodes, len(self._nodes))
        ending, asks = Ending.LOST, list[str]()
        for number in range(MOST_ASKS):
            node, began = nodes[number % len(nodes)], time.monotonic()
            ending, pause_s = await self._ask(node, wanted, number)
            took_s = time.monotonic() - began
            asks.append(f"{node.name} {ending.value} after {took_s:.2f} s")
            if ending not in (Ending.REFUSED, Ending.LOST):
                break
            await asyncio.sleep(pause_s)
        self._endings[ending] += 1
        if ending in (Ending.LOST, Ending.FOREIGN):
            self.tell(f"  {wanted.name} ({wanted.kind}): {', '.join(asks)}")

    async def _ask(
        self, node: EntryNode, wanted: Wanted, number: int
    ) -> tuple[Ending, float]:
        """Return how one ask ended, and when the next may come, in seconds."""
        name = f"{wanted.name}-{number}"
        headers = Headers.of(
            host="care.example",
            authorization=f"Token {KEY}",
            x_zinniaspool_request_id=name,
            x_zinniaspool_deadline_ms=str(DEADLINE_MS),
        )
        if wanted.kind == "drafts":
            headers.add("x-zinniaspool-model", self._source.choice(MODELS))
            headers.add("x-zinniaspool-token-count", f"100,{wanted.events}")
        method = "GET" if wanted.kind == "receipts" else "POST"
        client = HttpClient(connect_s=0.5)
        try:
            response = await client.send(
                node.front, Request(method, f"/{wanted.kind}/1", headers), 5.0
            )
            body = await response.read()
        except TransportError as error:
            if error.failure is TransportFailure.NOT_SENT:
                return Ending.REFUSED, LOOK_S
            return Ending.LOST if wanted.repeatable else Ending.UNKNOWN, LOOK_S
        finally:
            client.close()
        pause_s = float(response.headers.get("retry-after") or LOOK_S)
        return _judge_answer(wanted, name, response.status, body), pause_s

    # What is broken.

    async def _break_group(self) -> None:
        heads = self._made.heads("large")
        head = self._source.choice(heads)
        group = head.group
        assert group is not None
        name, victim = group["name"], self._made.runners[head.members[1]]
        victim.faults.dark = True
        self.tell(f"killed {victim.id}, a VM of group {name}")
        repaired = await _wait_for(
            lambda: (
                len(self._made.heads("large")) == len(heads)
                and name not in self._made.groups("large")
            ),
            REPAIR_S,
        )
        self.tell("as many whole groups as before" if repaired else "not repaired yet")
        self._explain(name, victim)

    def _explain(self, group: str, victim: Runner) -> None:
        """Show what the control processes' logs say of a lost group."""
        for node in self._nodes:
            log = node.processes[1].log
            for text in log.read_text(errors="replace").splitlines():
                line = parse_line(text)
                if line is None or line.event not in EXPLAINED:
                    continue
                told = " ".join(f"{key}={value}" for key, value in line.fields.items())
                if group in told or victim.id in told:
                    self.tell(f"  {node.name}: {line.event} {told}")

    async def _break_entry(self) -> None:
        node = self._nodes[-1]
        await node.processes[0].end()
        self.tell(f"killed the entry process of {node.name}")
        await asyncio.sleep(AFTER_LOSS_S)

    # What was seen.

    def _show_groups(self) -> None:
        used: set[str] = set()
        for model in ("large", "small"):
            for head in self._made.heads(model):
                assert head.group is not None
                used |= set(head.members)
                members = ", ".join(head.members)
                self.tell(f"  {model:6} {head.group['name']:6} whole: {members}")
        idle = [
            name
            for name, one in self._made.runners.items()
            if one.domain is not None and name not in used
        ]
        self.tell(f"  in no group that serves: {', '.join(idle) or 'none'}")

    def _judge(self) -> bool:
        runners = [*self._made.runners.values(), *self._made.gone]
        runs = Counter(
            run.request.rpartition("-")[0]
            for one in runners
            for run in one.runs
            if run.once
        )
        doubled = sum(count > 1 for count in runs.values())
        broken = [text for one in runners for text in one.broken]
        for text in broken:
            self.tell(text)
        counts = self._endings
        self.tell(f"outcome unknown {counts[Ending.UNKNOWN]}")
        print(
            f"answered {counts[Ending.ANSWERED]}, refused {counts[Ending.REFUSED]}, "
            f"lost {counts[Ending.LOST]}, doubled {doubled}, "
            f"foreign {counts[Ending.FOREIGN]}",
            flush=True,
        )
        bad = counts[Ending.LOST] + doubled + counts[Ending.FOREIGN] + len(broken)
        return not bad


def _judge_answer(wanted: Wanted, name: str, status: int, body: bytes) -> Ending:
    if status in NOT_RUN:
        return Ending.REFUSED
    if status != HTTPStatus.OK:
        return Ending.LOST if wanted.repeatable else Ending.UNKNOWN
    if wanted.kind != "drafts":
        whole = body == f"answer to {name}".encode()
        return Ending.ANSWERED if whole else Ending.FOREIGN
    ids = [int(x[3:]) for x in body.split(b"\n") if x.startswith(b"id:")]
    whole = ids == list(range(1, wanted.events + 1))
    return Ending.ANSWERED if whole else Ending.FOREIGN


async def _wait_for(check: Callable[[], bool], seconds: float) -> bool:
    ends = time.monotonic() + seconds
    while time.monotonic() < ends:
        if check():
            return True
        await asyncio.sleep(LOOK_S)
    return False


def _show_commands(nodes: list[EntryNode], folder: Path) -> None:
    node = nodes[0]
    headers = " ".join(
        f"-H '{name}: {value}'"
        for name, value in (
            ("Host", "care.example"),
            ("Authorization", f"Token {KEY}"),
            ("X-Zinniaspool-Request-Id", "mine"),
            ("X-Zinniaspool-Deadline-Ms", DEADLINE_MS),
            ("X-Zinniaspool-Model", "large"),
            ("X-Zinniaspool-Token-Count", "100,8"),
        )
    )
    query = "name=care.example&region=north&zone=hall-a"
    print("Still running; end it with Ctrl-C. To try, from this folder:")
    print(f"  curl 'http://{node.directory}/v1/resolve?{query}'")
    print(f"  curl -N -X POST {headers} http://{node.front}/drafts/1")
    print(f"  .venv/bin/zinniaspool trace mine {folder}/*.log", flush=True)


async def _run(folder: Path, keep: bool, seed: int | None) -> bool:
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    async with Installation.running(nodes=0, engines=ENGINES) as made:
        nodes = await make_nodes(made, folder, NODES)
        try:
            kept = await Tour(made, nodes, seed).run()
            if keep:
                _show_commands(nodes, folder)
                with contextlib.suppress(asyncio.CancelledError):
                    await asyncio.Event().wait()
            return kept
        finally:
            await end_nodes(nodes)


def _main(
    keep: Annotated[bool, typer.Option(help="Leave the fleet running.")] = False,
    folder: Annotated[Path, typer.Option(help="Gets settings and logs.")] = FOLDER,
    seed: Annotated[int | None, typer.Option(help="Repeats its choices.")] = None,
) -> None:
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    try:
        kept = asyncio.run(_run(folder.absolute(), keep, seed))
    except asyncio.CancelledError:
        kept = False
    raise typer.Exit(0 if kept else 1)


if __name__ == "__main__":
    typer.run(_main)
