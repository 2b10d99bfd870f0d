"""The product on the platform's protocols, with stand-ins, in one loop."""

import asyncio
import contextlib
import socket
from base64 import b64encode
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from zinniaspool.core.ids import Address, FailureDomainId, NodeId
from zinniaspool.gateway.main import GatewayProcess
from zinniaspool.http import Headers, HttpClient, Request, TransportError
from zinniaspool.keeper.main import KeeperProcess
from zinniaspool.platform.nodefile import NodeFile
from zinniaspool_standins.pagestore import PageStore
from zinniaspool_standins.runners import Runner, RunnerTimes

__all__ = ["Answer", "Installation", "eventually", "free_address"]

KEY = "key-of-care"
SIZES = {"large": 3, "small": 2}


def free_address() -> Address:
    """Return an address on loopback that nobody listens at."""
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        return Address(f"127.0.0.1:{bound.getsockname()[1]}")


async def eventually(check: Callable[[], object], timeout_s: float = 10.0) -> None:
    """Wait until a check holds."""
    ends = asyncio.get_running_loop().time() + timeout_s
    while not check():
        if asyncio.get_running_loop().time() > ends:
            raise AssertionError("did not come true in time")
        await asyncio.sleep(0.02)


@dataclass(frozen=True, slots=True)
class Answer:
    """What a caller got; ``status`` is 0 where its connection was cut."""

    status: int
    headers: Headers = field(default_factory=Headers)
    body: bytes = b""
    whole: bool = True

    @property
    def events(self) -> list[int]:
        """The ids of the events in the body, in order."""
        return [
            int(line[3:]) for line in self.body.split(b"\n") if line.startswith(b"id:")
        ]


@dataclass
class Node:
    """One entry VM with its two processes."""

    file: NodeFile
    gateway: GatewayProcess
    keeper: KeeperProcess
    tasks: list["asyncio.Task[None]"]


class Installation:
    """A store, instances, and entry VMs of ours."""

    def __init__(self) -> None:
        self.store = PageStore()
        self.runners: dict[str, Runner] = {}
        self.nodes: dict[str, Node] = {}
        self.version = 1
        self.keys = [KEY]
        self.tasks: list[asyncio.Task[None]] = []
        self.requests = 0

    @classmethod
    @contextlib.asynccontextmanager
    async def running(
        cls, nodes: int = 2, engines: int = 8, plain: int = 2
    ) -> AsyncIterator["Installation"]:
        """Run everything until the block ends."""
        made = cls()
        made.tasks.append(asyncio.create_task(made.store.run()))
        made.configure()
        for _ in range(engines):
            made.add_runner("drafting", "d0")
        for _ in range(plain):
            made.add_runner("cards", None)
        for number in range(nodes):
            await made.add_node(f"n{number}")
        try:
            yield made
        finally:
            for name in list(made.nodes):
                await made.kill(name)
            for task in made.tasks:
                task.cancel()
            await asyncio.gather(*made.tasks, return_exceptions=True)

    def configure(self, **changes: Any) -> None:
        """Write the next version of the rules."""
        self.version += 3
        rules = {**make_rules(self.version, self.keys), **changes}
        value = b64encode(msgspec.json.encode(rules)).decode()
        self.store.put("op/config", value)

    def add_runner(self, service: str, domain: str | None) -> Runner:
        """Start one more instance."""
        name = f"i-{len(self.runners):02}"
        runner = Runner(
            name,
            service,
            free_address(),
            "hall-a",
            domain,
            self.store,
            self.runners,
            SIZES,
            RunnerTimes(),
        )
        self.runners[name] = runner
        self.tasks.append(asyncio.create_task(runner.run()))
        return runner

    async def add_node(self, name: str) -> Node:
        """Start one more entry VM, with a way to the store of its own."""
        store = free_address()
        await self.store.listen(store)
        front, control = free_address(), free_address()
        port = int(free_address().rpartition(":")[2])
        seeds = [node.file.control_address for node in self.nodes.values()]
        file = NodeFile(
            NodeId(name),
            "127.0.0.1",
            FailureDomainId("hall-a"),
            "north",
            front,
            free_address(),
            free_address(),
            control,
            port,
            tuple(one for one in seeds[:3] if one is not None),
            store,
            1.0,
            0.4,
            False,
            3.0,
            2.0,
            2.0,
            0.2,
            10.0,
            100.0,
            5.0,
        )
        gateway, keeper = GatewayProcess(file), KeeperProcess(file)
        tasks = [
            asyncio.create_task(gateway.run()),
            asyncio.create_task(keeper.run()),
        ]
        self.nodes[name] = node = Node(file, gateway, keeper, tasks)
        return node

    async def kill(self, name: str) -> None:
        """End a VM's processes without a word."""
        node = self.nodes.pop(name)
        for process in (node.gateway, node.keeper):
            await process.abort()
        for task in node.tasks:
            task.cancel()
        await asyncio.gather(*node.tasks, return_exceptions=True)

    def freeze_control(self, name: str) -> None:
        """Let a VM's control process keep its connections and do nothing."""

        async def say_nothing(*_: object) -> None:
            await asyncio.sleep(60.0)

        keeper = self.nodes[name].keeper
        for task in keeper._tasks:
            task.cancel()
        keeper._mesh._listener._handler = say_nothing

    def heads(self, model: str) -> list[Runner]:
        """Return the open heads of a model's groups."""
        return [
            one
            for one in self.runners.values()
            if one.model == model
            and one.group is not None
            and one.group["state"] == "open"
            and not one.faults.dark
        ]

    def groups(self, model: str) -> set[str]:
        """Return the names of a model's open groups."""
        return {one.group["name"] for one in self.heads(model) if one.group}

    def assert_sound(self) -> None:
        """Check what the runners saw: whole groups, no VM in two."""
        assert [text for one in self.runners.values() for text in one.broken] == []

    def runs_of(self, request: str) -> list[str]:
        """Return the runners that ran a request, in order."""
        return [
            run.runner
            for one in self.runners.values()
            for run in one.runs
            if run.request == request
        ]

    async def ask(
        self,
        node: str,
        path: str,
        method: str = "POST",
        key: str | None = KEY,
        deadline_ms: int = 4000,
        **headers: str,
    ) -> Answer:
        """Send one request as a caller would, on a connection of its own."""
        self.requests += 1
        request_id = headers.pop("request_id", f"r-{self.requests}")
        sent = Headers.of(
            host="care.example",
            x_zinniaspool_request_id=request_id,
            x_zinniaspool_deadline_ms=str(deadline_ms),
            **headers,
        )
        if key is not None:
            sent.add("authorization", f"Token {key}")
        client = HttpClient()
        address = self.nodes[node].file.caller_address
        assert address is not None
        parts = []
        try:
            response = await client.send(
                address, Request(method, path, sent), deadline_ms / 1000 + 1.0
            )
        except TransportError:
            return Answer(0, whole=False)
        try:
            async for part in response.stream():
                parts.append(part)
        except TransportError:
            return Answer(response.status, response.headers, b"".join(parts), False)
        except asyncio.CancelledError:
            response.abort()
            raise
        client.close()
        return Answer(response.status, response.headers, b"".join(parts))

    async def draft(self, node: str, model: str = "large", events: int = 10) -> Answer:
        """Ask for a stream."""
        return await self.ask(
            node,
            "/drafts/one",
            x_zinniaspool_model=model,
            x_zinniaspool_token_count=f"100,{events}",
        )

    async def settle(self) -> None:
        """Wait until all nodes serve each model."""
        await eventually(lambda: self.heads("large") and self.heads("small"))
        for name in self.nodes:
            for model in SIZES:
                await self._await_served(name, model)

    async def _await_served(self, node: str, model: str) -> None:
        for _ in range(200):
            if (await self.draft(node, model, 1)).status == 200:
                return
            await asyncio.sleep(0.03)
        raise AssertionError(f"{node} does not serve {model}")


def make_rules(version: int, keys: list[str]) -> dict[str, Any]:
    """Return the operator's rules, in the platform's spelling."""
    common = {
        "host": "care.example",
        "priority": 1,
        "allow-anonymous": False,
        "sticky-sessions": False,
        "target-latency-ms": 400,
    }
    stream = {
        "name": "drafts",
        "path-prefix": "/drafts/",
        "kind": "stream",
        "timeout-ms": 4000,
        "service": "drafting",
        "max-attempts": 2,
        "stream-resume": True,
        "gap-aim-ms": 250,
    }
    once = {
        "name": "cards",
        "path-prefix": "/cards/",
        "kind": "non_idempotent",
        "timeout-ms": 1500,
        "service": "cards",
        "max-attempts": 1,
    }
    receipts = {
        "name": "receipts",
        "path-prefix": "/receipts/",
        "kind": "idempotent",
        "timeout-ms": 2000,
        "service": "cards",
        "max-attempts": 2,
    }
    engine = {
        "slots": 8,
        "models": [
            {"name": "large", "size": 3, "share": 0.6, "load-s": 1.0, "warm-s": 0.2},
            {"name": "small", "size": 2, "share": 0.4, "load-s": 1.0, "warm-s": 0.2},
        ],
        "loads-per-s": 20.0,
        "loads_at_once": 20,
        "form-ms": 50.0,
    }
    return {
        "version": version,
        "routes": [{**common, **one} for one in (stream, once, receipts)],
        "services": [
            {"name": "drafting", "health-path": "/healthz", "engine": engine},
            {"name": "cards", "health-path": "/healthz"},
        ],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 100000},
        "tenants": [{"name": "care", "api-keys": keys}],
    }


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test's coroutine on a loop of its own."""
    asyncio.run(_bounded(test))


async def _bounded(test: Callable[[], Awaitable[None]]) -> None:
    async with asyncio.timeout(60):
        await test()
