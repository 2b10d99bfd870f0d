"""Runners in processes of their own, which signals can stop and resume.

A process runs the members of whole groups, since they look at each other. It
writes its runners' entries, runs and faults as lines to its standard output;
the process that started it keeps the store and applies the lines to it.
"""

import asyncio
import contextlib
import signal
import sys
from base64 import b64decode
from collections import defaultdict
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec

from zinniaspool.core.ids import Address
from zinniaspool.http import Headers
from zinniaspool_standins.fleet import end_with_parent
from zinniaspool_standins.installation import SIZES, free_address
from zinniaspool_standins.leaving import LeavingLog
from zinniaspool_standins.pagestore import PageStore
from zinniaspool_standins.passes import PassingRunner, PassTimes
from zinniaspool_standins.runners import (
    HEARTBEATS,
    Runner,
    RunnerFaults,
    RunnerTimes,
    SeenRun,
)

__all__ = ["HostedRunner", "HostPlan", "RunnerHost", "make_hosted_runners"]

MAX_LINE_BYTES = 32 * 1024 * 1024
"""Longest line of a process, which may report all that came at a runner."""

HEARTBEAT_S = 0.8
"""Time between heartbeats, in seconds. A runner that is stopped for two
seconds keeps its entry."""


class HostedRunner(msgspec.Struct, frozen=True):
    """One runner of a process; the fields are those of a runner."""

    id: str
    service: str
    address: Address
    zone: str
    domain: str | None


class HostPlan(msgspec.Struct, frozen=True):
    """What the runners of a process are like.

    Attributes:
        sizes: Runners of a group, by model.
        times: How long things take.
        passes: How long the passes of each model take; empty for passes of the
            same time.
    """

    sizes: dict[str, int] = msgspec.field(default_factory=SIZES.copy)
    times: RunnerTimes = msgspec.field(
        default_factory=lambda: RunnerTimes(heartbeat_s=HEARTBEAT_S)
    )
    passes: dict[str, PassTimes] = {}


class _Line(msgspec.Struct, omit_defaults=True):
    """What a process reports; a line without any of it is a heartbeat.

    Attributes:
        put: Keys of the store that it writes, with their values.
        removed: Keys of the store that it removes.
        run: A request that began to run.
        begun: A stream of which a runner has made the first event, and the
            runner.
        left: What came at a runner that has left and is back, and the runner.
        broken: All rules that its runners saw broken so far.
    """

    put: dict[str, str] = {}
    removed: list[str] = []
    run: SeenRun | None = None
    begun: tuple[str, str] | None = None
    left: tuple[str, LeavingLog] | None = None
    broken: list[str] = []


def make_hosted_runners(
    name: str, service: str, domain: str | None, count: int
) -> list[HostedRunner]:
    """Return runners of one process, each with a free address."""
    return [
        HostedRunner(f"{name}-{number}", service, free_address(), "hall-a", domain)
        for number in range(count)
    ]


class RunnerHost:
    """A process that runs runners, as the process with the store sees it.

    Args:
        name: Names its log.
        runners: What it runs.
        store: Gets the runners' entries.
        folder: Gets its log.
        plan: What they are like.

    Attributes:
        name: As above.
        runners: As above.
        runs: The requests that began to run, in order.
        ran_at: When that was reported of each request, in seconds of the
            loop's clock.
        begun: The runners that have made an event of each stream.
        left: The runners that have left and are back, with what came.
        broken: The rules that its runners saw broken.
    """

    def __init__(
        self,
        name: str,
        runners: Sequence[HostedRunner],
        store: PageStore,
        folder: Path,
        plan: HostPlan | None = None,
    ) -> None:
        self.name = name
        self._plan = plan or HostPlan()
        self.runners = tuple(runners)
        self.runs: list[SeenRun] = []
        self.ran_at: defaultdict[str, list[float]] = defaultdict(list)
        self.begun: defaultdict[str, set[str]] = defaultdict(set)
        self.left: list[tuple[str, LeavingLog]] = []
        self._returns: dict[str, asyncio.Event] = {}
        self.broken: list[str] = []
        self._store = store
        self._log = folder / f"{name}.log"
        self._entries: dict[str, str] = {}
        self._has_expired = False
        self._process: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the process and follow what it reports."""
        described = msgspec.json.encode(self.runners).decode()
        plan = msgspec.json.encode(self._plan).decode()
        with self._log.open("ab") as errors:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "zinniaspool_standins.hosts",
                described,
                plan,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=errors,
                limit=MAX_LINE_BYTES,
                preexec_fn=end_with_parent,
            )
        self._reading = asyncio.create_task(self._read_lines())

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it still runs."""
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)

    async def pause(self, seconds: float) -> None:
        """Stop the process for some seconds; its connections stay open."""
        self.send(signal.SIGSTOP)
        try:
            await asyncio.sleep(seconds)
        finally:
            self.send(signal.SIGCONT)

    async def set_faults(self, runner: str, faults: RunnerFaults) -> None:
        """Let one of its runners do something wrong from now on."""
        await self._ask(_Change(runner, faults))

    async def leave(
        self, runner: str, serves_s: float, *, has_store: bool = True
    ) -> None:
        """Have one of its runners leave, end and come back at its address.

        Args:
            runner: The runner.
            serves_s: For how long it serves on, in seconds.
            has_store: Whether its record says that it leaves, too.
        """
        is_back = self._returns[runner] = asyncio.Event()
        faults = RunnerFaults(cut=not has_store)
        await self._ask(_Change(runner, faults, leaves_after_s=serves_s))
        await is_back.wait()

    async def _ask(self, change: "_Change") -> None:
        assert self._process is not None and self._process.stdin is not None
        self._process.stdin.write(msgspec.json.encode(change) + b"\n")
        await self._process.stdin.drain()

    async def end(self) -> None:
        """Kill the process, also a stopped one, and wait until it is gone."""
        self.send(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()
        if self._reading is not None:
            self._reading.cancel()
            await asyncio.gather(self._reading, return_exceptions=True)

    def list_open_groups(self) -> dict[str, str]:
        """Return the model of each open group that the process runs."""
        return {
            entry["group"]["name"]: entry["models"][0]["name"]
            for entry in self._list_open().values()
        }

    def list_heads(self) -> list[str]:
        """Return the heads of those groups."""
        return list(self._list_open())

    def _list_open(self) -> dict[str, dict[str, Any]]:
        """Return the entries of the runners that lead an open group."""
        entries = {
            key.rpartition("/")[2]: msgspec.json.decode(b64decode(value))
            for key, value in self._entries.items()
        }
        return {
            one: entry
            for one, entry in entries.items()
            if (entry.get("group") or {}).get("state") == "open"
        }

    async def _read_lines(self) -> None:
        """Apply the process's lines; its entries expire without heartbeats."""
        assert self._process is not None and self._process.stdout is not None
        output = self._process.stdout
        while True:
            try:
                async with asyncio.timeout(HEARTBEATS * HEARTBEAT_S):
                    line = await output.readline()
            except TimeoutError:
                self._expire()
                line = await output.readline()
            if not line:
                await asyncio.sleep(HEARTBEATS * HEARTBEAT_S)
                self._expire()
                self._entries.clear()
                return
            self._apply(msgspec.json.decode(line, type=_Line))

    def _expire(self) -> None:
        self._has_expired = True
        for key in self._entries:
            self._store.remove(key)

    def _apply(self, line: _Line) -> None:
        self._entries.update(line.put)
        for key in line.removed:
            self._entries.pop(key, None)
            self._store.remove(key)
        written = self._entries if self._has_expired else line.put
        for key, value in written.items():
            self._store.put(key, value)
        self._has_expired = False
        if line.run is not None:
            self.runs.append(line.run)
            now = asyncio.get_running_loop().time()
            self.ran_at[line.run.request].append(now)
        if line.begun is not None:
            request, runner = line.begun
            self.begun[request].add(runner)
        if line.left is not None:
            self.left.append(line.left)
            self._returns.pop(line.left[0]).set()
        self.broken = line.broken or self.broken


class _Change(msgspec.Struct):
    """What the process that reads this one's output asks of a runner.

    Attributes:
        runner: The runner.
        faults: What it does wrong from now on.
        leaves_after_s: It leaves then, and serves on for so many seconds.
    """

    runner: str
    faults: RunnerFaults = msgspec.field(default_factory=RunnerFaults)
    leaves_after_s: float | None = None


class _LineStore:
    """The store of the process that reads this one's output."""

    def put(self, key: str, value: str) -> None:
        """Write a key without condition."""
        _report(_Line(put={key: value}))

    def remove(self, key: str) -> None:
        """Remove a key."""
        _report(_Line(removed=[key]))


class _ReportingRunner(Runner):
    """A runner that reports each request that it begins to run."""

    def _note_run(self, request: str, headers: Headers, path: str) -> None:
        super()._note_run(request, headers, path)
        _report(_Line(run=self.runs[-1]))

    def _note_begun(self, request: str) -> None:
        super()._note_begun(request)
        _report(_Line(begun=(request, self.id)))

    async def come_back(self) -> None:
        """Report what came while it left, and start again."""
        _report(_Line(left=(self.id, self.leaving)))
        await super().come_back()


class _ReportingPassingRunner(_ReportingRunner, PassingRunner):
    """Such a runner that works in passes."""


def _report(line: _Line) -> None:
    print(msgspec.json.encode(line).decode(), flush=True)


async def _run(described: Sequence[HostedRunner], plan: HostPlan) -> None:
    runners: dict[str, Runner] = {}
    kind: type[Runner] = _ReportingPassingRunner if plan.passes else _ReportingRunner
    for one in described:
        runners[one.id] = runner = kind(
            one.id,
            one.service,
            one.address,
            one.zone,
            one.domain,
            _LineStore(),
            runners,
            plan.sizes,
            plan.times,
        )
        if isinstance(runner, PassingRunner):
            runner.passes_by_model = plan.passes
    async with asyncio.TaskGroup() as tasks:
        for runner in runners.values():
            tasks.create_task(runner.run())
        tasks.create_task(_apply_changes(runners, tasks))
        while True:
            broken = [text for one in runners.values() for text in one.broken]
            _report(_Line(broken=broken))
            await asyncio.sleep(HEARTBEAT_S / 4)


async def _apply_changes(runners: dict[str, Runner], tasks: asyncio.TaskGroup) -> None:
    """Apply the lines of the standard input until it ends."""
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        change = msgspec.json.decode(line, type=_Change)
        runners[change.runner].faults = change.faults
        if change.leaves_after_s is not None:
            tasks.create_task(_leave(runners[change.runner], change.leaves_after_s))


async def _leave(runner: Runner, serves_s: float) -> None:
    await runner.leave(serves_s)
    await runner.come_back()


if __name__ == "__main__":
    asyncio.run(
        _run(
            msgspec.json.decode(sys.argv[1], type=list[HostedRunner]),
            msgspec.json.decode(sys.argv[2], type=HostPlan),
        )
    )
