"""Starts a small deployment for a case: store, runners, entry VMs, callers.

The store, the runners and the rules are the project's stand-ins. The entry and
control programs run as processes of their own, with the commands of the deploy
file. Whatever was sent, answered and run is written to the case's record.
"""

import asyncio
import contextlib
import json
import os
import re
import shutil
import signal
import tempfile
import traceback
from collections.abc import AsyncIterator, Callable, Coroutine, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from weakref import WeakKeyDictionary

from zinniaspool.core.ids import Address, split_address
from zinniaspool.http import Exchange, Headers
from zinniaspool_standins.fleet import end_with_parent
from zinniaspool_standins.installation import KEY, Installation, free_address
from zinniaspool_standins.pagestore import PageStore
from zinniaspool_standins.runners import Runner

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit statuses of a script."""
OK_STATUS = 200
HOST = "care.example"
GRACE_S = 8
SMALL_CONTRACTS = (
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "engine",
    "stream",
    "tenants",
    "platform",
    "gangs",
)
"""The contracts of the small deployments."""


def read_commands() -> dict[str, list[str]]:
    """Return the deploy file's commands, without their metrics ports."""
    text = (ROOT / "deploy/system.toml").read_text()
    lines = re.findall(r'^run = "(.*)"$', text, re.MULTILINE)
    return {line.split()[-2].rpartition(".")[2]: line.split()[:-1] for line in lines}


@dataclass
class Vm:
    """An entry VM: its addresses and its two processes."""

    name: str
    number: int
    front: Address
    ready: Address
    directory: Address
    control: Address
    store: Address
    port: int
    settings: Path
    logs: Path
    processes: dict[str, asyncio.subprocess.Process] = field(default_factory=dict)

    async def start(self, role: str) -> None:
        """Start one of the two programs."""
        command = read_commands()[role]
        metrics = free_address().rpartition(":")[2]
        kept = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["ZINNIASPOOL_NODE_FILE"] = str(self.settings)
        with (self.logs / f"{self.name}-{role}.log").open("ab") as out:
            self.processes[role] = await asyncio.create_subprocess_exec(
                *command,
                metrics,
                stdout=out,
                stderr=out,
                env=env,
                cwd=ROOT,
                preexec_fn=end_with_parent,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to both processes."""
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(number)

    async def wait(self) -> None:
        """Wait until both processes have ended."""
        for process in self.processes.values():
            await process.wait()

    async def kill(self) -> None:
        """End both processes at once."""
        self.send(signal.SIGKILL)
        await self.wait()


class Record:
    """The case's record, and when each line was written."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = asyncio.get_running_loop().time()

    def now(self) -> float:
        """Return the seconds since the case began."""
        return asyncio.get_running_loop().time() - self._began

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


class Store(PageStore):
    """The stand-in of the store, with the headers of the platform's page."""

    async def _answer(self, exchange: Exchange, status: int, body: object) -> None:
        headers = Headers.of(content_type="application/json")
        await exchange.respond(status, headers, json.dumps(body).encode())


class GroupRunner(Runner):
    """A runner whose streams end at once when it is ordered to leave."""

    async def _make_pass(self, exchange: Exchange) -> bool:
        name = "" if self.group is None else self.group["name"]
        began_in = self.__dict__.setdefault("began_in", WeakKeyDictionary())
        if began_in.setdefault(exchange, name) != name and not self.faults.dark:
            exchange.abort()
            return False
        return await super()._make_pass(exchange)


class Deployment(Installation):
    """The stand-ins, and entry VMs beside them."""

    def __init__(self, contracts: Sequence[str] = SMALL_CONTRACTS) -> None:
        super().__init__()
        self.store = Store()
        self.contracts = contracts
        self.vms: list[Vm] = []
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._temporary.name)

    async def add_vms(self, count: int, *, first: bool = True) -> None:
        """Write the settings of entry VMs and start their programs."""
        controls = [free_address() for _ in range(count)]
        for number in range(count):
            store = free_address()
            await self.store.listen(store)
            vm = Vm(
                f"n{number}",
                number,
                free_address(),
                free_address(),
                free_address(),
                controls[number],
                store,
                int(free_address().rpartition(":")[2]),
                self.folder / f"n{number}.toml",
                self.folder,
            )
            self.vms.append(vm)
        for vm in self.vms:
            self.write_settings(vm, first=first)
        await asyncio.gather(
            *(vm.start(role) for vm in self.vms for role in ("entry", "control"))
        )

    def add_runner(
        self, service: str, domain: str | None, zone: str = "hall-a"
    ) -> Runner:
        """Start one more runner."""
        runner = super().add_runner(service, domain, zone)
        runner.__class__ = GroupRunner
        return runner

    def write_settings(self, vm: Vm, *, first: bool) -> None:
        """Write a VM's settings file, as the platform's page shows it."""
        seeds = ", ".join(f'"{one.control}"' for one in self.vms[:3])
        vm.settings.write_text(
            f'node-name = "{vm.name}"\nip = "127.0.0.1"\nzone = "hall-a"\n'
            f'region = "north"\ninternal-ports = [{vm.port}, {vm.port}]\n'
            f"seeds = [{seeds}]\nbootstrap = {str(first).lower()}\n"
            'discovery = "platform"\nheartbeat-ms = 1200\n'
            f"contracts = {json.dumps(self.contracts)}\n"
            f'[listen-addrs]\nfront = "{vm.front}"\nready = "{vm.ready}"\n'
            f'directory = "{vm.directory}"\ncontrol = "{vm.control}"\n'
            "[limits]\ncpu-share = 0.537\ncores = 2\nmemory-mb = 300\n"
            "max-fds = 4100\nlink-mbps = 1000.0\n"
            f"[bounds]\ngrace-s = {GRACE_S}\nbudget-ratio = 0.2\n"
            "budget-window-s = 10\nbudget-slack = 134\nstall-ms = 6000\n"
            "ceiling-window-s = 5\nttl_max_s = 5\n"
            f'[platform]\naddress = "{vm.store}"\nwrites-per-s = 400\n'
            "reads-per-s = 2000\nttl-min-ms = 1000\n"
        )

    def clean_up(self) -> None:
        """Remove the settings and the logs, unless they are wanted."""
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        self._temporary.cleanup()

    async def end_nodes(self) -> None:
        """End all processes of the entry VMs."""
        for vm in self.vms:
            vm.send(signal.SIGCONT)
            await vm.kill()


@contextlib.asynccontextmanager
async def deploy(
    made: Deployment, *, vms: int, engines: int, plain: int
) -> AsyncIterator[Deployment]:
    """Run a deployment until the block ends."""
    made.tasks.append(asyncio.create_task(made.store.run()))
    made.configure()
    for _ in range(engines):
        made.add_runner("drafting", "d0")
    for _ in range(plain):
        made.add_runner("cards", None)
    try:
        await made.add_vms(vms)
        yield made
    finally:
        await made.end_nodes()
        for task in made.tasks:
            task.cancel()
        await asyncio.gather(*made.tasks, return_exceptions=True)
        made.clean_up()


@dataclass
class Answer:
    """What a caller got for one request."""

    request: str
    sent_at: float
    front: Address
    is_kept: bool
    """Whether an earlier request was answered on its channel."""
    status: int = 0
    body: bytes = b""
    complete: bool = False
    error: str = ""
    ended_at: float = 0.0


class Caller:
    """A caller with one channel, which is kept while the VM keeps it."""

    def __init__(self, record: Record, front: Address, name: str) -> None:
        self.front = front
        self._record = record
        self._name = name
        self._number = 0
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    def close(self) -> None:
        """Close the channel."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None

    async def call(
        self, method: str, path: str, fields: dict[str, str], body: bytes = b""
    ) -> Answer:
        """Send one request and return its answer."""
        self._number += 1
        request = f"{self._name}-{self._number}"
        is_kept = self._writer is not None
        answer = Answer(request, self._record.now(), self.front, is_kept)
        self._record.write(f"sent {request} to {self.front} {method} {path}")
        try:
            await self._exchange(answer, method, path, fields, body)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            answer.error = type(error).__name__
            self.close()
        answer.ended_at = self._record.now()
        self._record.write(
            f"answered {request} status {answer.status} complete {answer.complete} "
            f"bytes {len(answer.body)} {answer.error}"
        )
        return answer

    async def _exchange(
        self,
        answer: Answer,
        method: str,
        path: str,
        fields: dict[str, str],
        body: bytes,
    ) -> None:
        if self._writer is None:
            async with asyncio.timeout(1.0):
                self._reader, self._writer = await asyncio.open_connection(
                    *split_address(self.front)
                )
        reader, writer = self._reader, self._writer
        assert reader is not None and writer is not None
        fields = {
            "host": HOST,
            "x-zinniaspool-request-id": answer.request,
            "authorization": f"Token {KEY}",
            "content-length": str(len(body)),
            **fields,
        }
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
        async with asyncio.timeout(12.0):
            status, *lines = (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")
            answer.status = int(status.split()[1])
            got = {
                name.strip().lower(): value.strip()
                for name, _, value in (line.partition(b":") for line in lines)
            }
            if b"content-length" in got:
                answer.body = await reader.readexactly(int(got[b"content-length"]))
            else:
                while size := int(await reader.readuntil(b"\r\n"), 16):
                    answer.body += (await reader.readexactly(size + 2))[:-2]
                await reader.readexactly(2)
            answer.complete = True
        if got.get(b"connection") == b"close":
            self.close()


def run_case(main: Callable[[], Coroutine[Any, Any, int]]) -> int:
    """Run a case; return its exit status, which is 2 if it can't run."""
    try:
        return asyncio.run(main())
    except Exception:
        traceback.print_exc()
        return NOT_RUN


def describe_draft(model: str, tokens: int, deadline_ms: int) -> dict[str, str]:
    """Return the headers of a request for a draft of so many events."""
    return {
        "x-zinniaspool-model": model,
        "x-zinniaspool-token-count": f"100,{tokens}",
        "x-zinniaspool-prefix-hash": "5c1e07a2:100",
        "x-zinniaspool-deadline-ms": str(deadline_ms),
    }


def list_events(body: bytes) -> list[int]:
    """Return the ids of a stream's events."""
    return [int(found) for found in re.findall(rb"^id: (\d+)$", body, re.MULTILINE)]
