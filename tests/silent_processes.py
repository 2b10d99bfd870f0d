"""Entry VMs and upstreams as processes, of which signals stop some."""

import asyncio
import contextlib
import random
import signal
from collections import Counter
from collections.abc import AsyncIterator, Iterable
from dataclasses import dataclass, field
from http import HTTPStatus
from pathlib import Path

from tests.installation import KEY, Answer, eventually
from zinniaspool.core.ids import Address
from zinniaspool.http import (
    Headers,
    HttpClient,
    Request,
    TransportError,
    TransportFailure,
)
from zinniaspool.telemetry.traces import LogLine, parse_line
from zinniaspool_standins.hosts import RunnerHost, make_hosted_runners
from zinniaspool_standins.installation import SIZES, Installation
from zinniaspool_standins.nodes import EntryNode, end_nodes, make_nodes

__all__ = ["Caller", "ProcessFleet", "find_holder", "pause_all", "read_lines"]

VMS = 3
ENGINES = (5, 5, 3, 3, 2)
"""Engines of each process, which are those of one fabric domain."""

LEAST_SERVING = 4
"""Processes of engines that must serve at the start; one may be a reserve."""

PLAIN = 3
SETTLE_S = 15.0
LOG_EVENTS = ("attempt-failed", "request-ended")
LOG_KEYS = (
    *("failure", "end", "by", "cause", "stop", "last_event", "instance"),
    *("first_ms", "pause_ms", "took_ms"),
)


class Caller:
    """Sends requests to one entry VM over connections that it keeps.

    Args:
        front: Address of the VM for callers.
        model: Model of its streams.
    """

    def __init__(self, front: Address, model: str) -> None:
        self.model = model
        self._front = front
        self._client = HttpClient(connect_s=0.5)

    async def draft(
        self,
        request_id: str,
        events: int,
        path: str = "/drafts/1",
        deadline_s: float = 4.0,
        read_pause_s: float = 0.0,
    ) -> Answer:
        """Ask for a stream."""
        return await self.ask(
            request_id,
            "POST",
            path,
            deadline_s,
            read_pause_s,
            x_zinniaspool_model=self.model,
            x_zinniaspool_token_count=f"100,{events}",
        )

    async def ask(
        self,
        request_id: str,
        method: str,
        path: str,
        deadline_s: float = 4.0,
        read_pause_s: float = 0.0,
        **headers: str,
    ) -> Answer:
        """Send one request and read its whole answer.

        Args:
            request_id: Names it.
            method: HTTP method.
            path: What it is for.
            deadline_s: How long the caller waits, in seconds.
            read_pause_s: Pause after each part of a success, in seconds.
            headers: Further headers.
        """
        sent = Headers.of(
            host="care.example",
            authorization=f"Token {KEY}",
            x_zinniaspool_request_id=request_id,
            x_zinniaspool_deadline_ms=str(int(deadline_s * 1000)),
            **headers,
        )
        try:
            response = await self._client.send(
                self._front, Request(method, path, sent), deadline_s + 1.0
            )
        except TransportError as error:
            is_sent = error.failure is not TransportFailure.NOT_SENT
            return Answer(0, whole=False, sent=is_sent)
        parts: list[bytes] = []
        first_at, is_whole = None, True
        try:
            async for part in response.stream():
                if not parts:
                    first_at = asyncio.get_running_loop().time()
                parts.append(part)
                if response.status == HTTPStatus.OK:
                    await asyncio.sleep(read_pause_s)
        except TransportError:
            is_whole = False
        body = b"".join(parts)
        return Answer(
            response.status, response.headers, body, is_whole, first_at=first_at
        )

    def close(self) -> None:
        """Close the connections."""
        self._client.close()


@dataclass
class ProcessFleet:
    """Entry VMs and upstreams as processes, and the callers' answers.

    Attributes:
        made: The store and the operator.
        nodes: The entry VMs.
        engines: The processes with engines.
        plain: The process with plain upstreams.
        folder: Has the logs.
        answers: What callers got, by request.
        wanted: How many events each stream has, by request.
    """

    made: Installation
    nodes: list[EntryNode]
    engines: list[RunnerHost]
    plain: RunnerHost
    folder: Path
    answers: dict[str, Answer] = field(default_factory=dict)
    wanted: dict[str, int] = field(default_factory=dict)

    @classmethod
    @contextlib.asynccontextmanager
    async def running(cls, folder: Path) -> AsyncIterator["ProcessFleet"]:
        """Run everything until the block ends."""
        async with Installation.running(nodes=0, engines=0, plain=0) as made:
            engines = [
                RunnerHost(
                    f"engines-{number}",
                    make_hosted_runners(f"e{number}", "drafting", f"d{number}", count),
                    made.store,
                    folder,
                )
                for number, count in enumerate(ENGINES)
            ]
            cards = make_hosted_runners("c", "cards", None, PLAIN)
            plain = RunnerHost("plain", cards, made.store, folder)
            nodes: list[EntryNode] = []
            try:
                for host in (*engines, plain):
                    await host.start()
                nodes = await make_nodes(made, folder, VMS)
                yield cls(made, nodes, engines, plain, folder)
            finally:
                await end_nodes(nodes)
                for host in (*engines, plain):
                    await host.end()

    def make_callers(self, count: int) -> list[Caller]:
        """Return callers of both models at all VMs."""
        models = tuple(SIZES)
        return [
            Caller(self.nodes[number % VMS].front, models[number // VMS % len(models)])
            for number in range(count)
        ]

    async def settle(self, callers: Iterable[Caller]) -> None:
        """Wait until all callers are served.

        Each model has two groups or more then, and each caller a connection to
        its VM.
        """

        async def await_served(caller: Caller, number: int) -> None:
            ends = asyncio.get_running_loop().time() + SETTLE_S
            while asyncio.get_running_loop().time() < ends:
                answer = await caller.draft(f"settle-{number}", 1)
                card = await caller.ask(f"settle-r{number}", "GET", "/receipts/1")
                if answer.status == card.status == HTTPStatus.OK:
                    return
                await asyncio.sleep(0.1)
            raise AssertionError("a caller isn't served in time")

        await eventually(
            lambda: (
                self.count_serving() >= LEAST_SERVING
                and min(self.count_groups()[model] for model in SIZES) >= 2
            ),
            SETTLE_S,
        )
        await asyncio.gather(
            *(await_served(one, number) for number, one in enumerate(callers))
        )

    def count_serving(self) -> int:
        """Return the number of processes that run an open group."""
        return sum(bool(host.list_open_groups()) for host in self.engines)

    def count_groups(self) -> Counter[str]:
        """Return the number of open groups of each model."""
        return Counter(
            model for host in self.engines for model in host.list_open_groups().values()
        )

    async def draft(self, caller: Caller, request_id: str, events: int) -> None:
        """Let a caller ask for a stream, and keep its answer."""
        self.wanted[request_id] = events
        self.answers[request_id] = await caller.draft(request_id, events)

    async def stop_vm(self, node: EntryNode) -> None:
        """Stop the processes of a VM in order, and wait for their end."""
        await node.stop()

    async def freeze_holder(self, seconds: float) -> None:
        """Stop the holder's control process, and let it go on."""
        control = find_holder(self.nodes).processes[1]
        control.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        control.send(signal.SIGCONT)

    def list_started(self) -> list[str]:
        """Return the streams that began with status 200."""
        return [
            request
            for request in self.wanted
            if self.answers[request].status == HTTPStatus.OK
        ]

    def list_lost(self) -> list[str]:
        """Return the streams that began and aren't whole and in order."""
        return [
            request
            for request in self.list_started()
            if self.answers[request].events != list(range(1, self.wanted[request] + 1))
        ]

    def assert_sound(self) -> None:
        """Check streams, requests that may run once, and groups."""
        lost = self.list_lost()
        started = len(self.list_started())
        assert not lost, f"{len(lost)} of {started} lost\n{self.explain(lost[:2])}"
        hosts = (*self.engines, self.plain)
        runs = Counter(run.request for host in hosts for run in host.runs if run.once)
        assert [request for request, count in runs.items() if count > 1] == []
        assert [text for host in hosts for text in host.broken] == []

    def explain(self, requests: Iterable[str]) -> str:
        """Return what callers and entry processes saw of some streams."""
        lines = read_lines(self.nodes)
        found = []
        for request in requests:
            answer = self.answers[request]
            events = f"{len(answer.events)} of {self.wanted[request]}"
            found.append(f"{request}: {events} events, whole={answer.whole}")
            for line in lines:
                if line.event in LOG_EVENTS and line.fields["request"] == request:
                    shown = [
                        f"{k}={line.fields[k]}" for k in LOG_KEYS if k in line.fields
                    ]
                    found.append(f"  {line.node} {line.event} {' '.join(shown)}")
        return "\n".join(found)


def read_lines(nodes: Iterable[EntryNode]) -> list[LogLine]:
    """Return the lines that the processes of some VMs have logged."""
    texts = [
        one.log.read_text(errors="replace") for node in nodes for one in node.processes
    ]
    lines = [parse_line(line) for text in texts for line in text.splitlines()]
    return [line for line in lines if line is not None]


def find_holder(nodes: Iterable[EntryNode]) -> EntryNode:
    """Return the VM whose control process last began to plan groups."""
    known = {node.name: node for node in nodes}
    lines = read_lines(known.values())
    taken = [line for line in lines if line.event == "holder-taken"]
    return known[max(taken, key=lambda line: line.logged_at).node]


async def pause_all(
    hosts: Iterable[RunnerHost], source: random.Random, most_s: float = 1.4
) -> None:
    """Stop processes, each for its own time of a second or more."""
    pauses = [(host, source.uniform(1.0, most_s)) for host in hosts]
    await asyncio.gather(*(host.pause(seconds) for host, seconds in pauses))
