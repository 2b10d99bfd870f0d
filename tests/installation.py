"""The product on the platform's protocols, with stand-ins, in one loop."""

import asyncio
import contextvars
from collections.abc import Awaitable, Callable, Collection, Sequence
from dataclasses import dataclass, field
from typing import Any

from tests.delays import explain_by_delays
from zinniaspool.core.dispatch import TargetPool
from zinniaspool.core.ids import (
    Address,
    FailureDomainId,
    ModelName,
    NodeId,
    ServiceName,
)
from zinniaspool.fleet import NodeSettings
from zinniaspool.gateway.main import GatewayProcess
from zinniaspool.http import (
    Headers,
    HttpClient,
    Request,
    TransportError,
    TransportFailure,
)
from zinniaspool.keeper.main import ControllerProcess
from zinniaspool.platform.gateway import make_gateway
from zinniaspool.platform.keeper import make_controller
from zinniaspool.platform.orders import EngineClient
from zinniaspool_standins import installation as standins
from zinniaspool_standins.cuts import CURRENT_VM, CutKind, CuttableLoop
from zinniaspool_standins.installation import KEY, SIZES, free_address, make_rules
from zinniaspool_standins.runners import Runner

__all__ = [
    "KEY",
    "Answer",
    "Installation",
    "PatientInstallation",
    "eventually",
    "free_address",
    "run",
    "run_with_cuts",
]


async def eventually(check: Callable[[], object], timeout_s: float = 10.0) -> None:
    """Wait until a check holds."""
    ends = asyncio.get_running_loop().time() + timeout_s
    while not check():
        if asyncio.get_running_loop().time() > ends:
            raise AssertionError("did not come true in time")
        await asyncio.sleep(0.02)


@dataclass(frozen=True, slots=True)
class Answer:
    """What a caller got; ``status`` is 0 where its connection was cut.

    ``first_at`` is when the first part of the body came, in seconds of the
    loop's clock, from callers that note it.
    """

    status: int
    headers: Headers = field(default_factory=Headers)
    body: bytes = b""
    whole: bool = True
    sent: bool = True
    first_at: float | None = None

    @property
    def events(self) -> list[int]:
        """The ids of the events in the body, in order."""
        return [
            int(line[3:]) for line in self.body.split(b"\n") if line.startswith(b"id:")
        ]


@dataclass
class Node:
    """One entry VM with its two processes."""

    file: NodeSettings
    gateway: GatewayProcess
    keeper: ControllerProcess
    tasks: list["asyncio.Task[None]"]


class CutClient(HttpClient):
    """A client of a process that gets no answers from some addresses.

    Args:
        cut: These addresses; they may change.
    """

    def __init__(self, cut: set[Address]) -> None:
        super().__init__()
        self._cut = cut

    async def fetch_with_headers(
        self,
        address: Address,
        request: Request,
        timeout_s: float,
        max_bytes: int = 1024 * 1024,
    ) -> tuple[int, Headers, bytes]:
        if address in self._cut:
            await asyncio.sleep(timeout_s)
            raise TransportError(TransportFailure.TIMED_OUT)
        return await super().fetch_with_headers(address, request, timeout_s, max_bytes)


class Installation(standins.Installation):
    """The stand-ins, and entry VMs of ours in the same loop."""

    retains_instances = False
    grace_s = 3.0
    retry_window_s = 10.0
    retry_slack = 100.0
    divides_capacity = False

    def __init__(self) -> None:
        super().__init__()
        self.nodes: dict[str, Node] = {}
        self.requests = 0

    async def start_node(self, name: str) -> None:
        await self.add_node(name)

    async def end_nodes(self) -> None:
        for name in list(self.nodes):
            await self.kill(name)

    async def add_node(self, name: str, zone: str = "hall-a") -> Node:
        """Start one more entry VM, with a way to the store of its own."""
        store = free_address()
        await self.store.listen(store)
        front, control = free_address(), free_address()
        port = int(free_address().rpartition(":")[2])
        seeds = [node.file.control_address for node in self.nodes.values()]
        file = NodeSettings(
            NodeId(name),
            "127.0.0.1",
            FailureDomainId(zone),
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
            self.grace_s,
            2.0,
            2.0,
            0.2,
            self.retry_window_s,
            self.retry_slack,
            5.0,
            retains_instances=self.retains_instances,
        )
        gateway = make_gateway(file, divides_capacity=self.divides_capacity)
        keeper = make_controller(file)
        context = contextvars.copy_context()
        context.run(CURRENT_VM.set, name)
        tasks = [
            asyncio.create_task(process.run(), context=context.copy())
            for process in (gateway, keeper)
        ]
        self.nodes[name] = node = Node(file, gateway, keeper, tasks)
        return node

    async def stop(self, name: str) -> None:
        """Stop a VM's processes in order, and wait until they are gone."""
        node = self.nodes.pop(name)
        node.gateway.stop()
        node.keeper.stop()
        await asyncio.gather(*node.tasks)

    async def kill(self, name: str) -> None:
        """End a VM's processes without a word."""
        node = self.nodes.pop(name)
        for process in (node.gateway, node.keeper):
            await process.abort()
        for task in node.tasks:
            task.cancel()
        await asyncio.gather(*node.tasks, return_exceptions=True)

    def add_runner(
        self, service: str, domain: str | None, zone: str = "hall-a"
    ) -> Runner:
        """Start one more instance."""
        runner = super().add_runner(service, domain, zone)
        loop = asyncio.get_running_loop()
        if isinstance(loop, CuttableLoop):
            loop.upstreams.add(runner.address)
        return runner

    def cut_upstreams(self, name: str, kind: CutKind) -> None:
        """Cut a VM off from all upstreams; the loop must be a cuttable one."""
        loop = asyncio.get_running_loop()
        assert isinstance(loop, CuttableLoop)
        loop.cut(name, kind)

    def heal_upstreams(self, name: str) -> None:
        """End the cut of a VM."""
        loop = asyncio.get_running_loop()
        assert isinstance(loop, CuttableLoop)
        loop.heal(name)

    def find_holder(self) -> str | None:
        """Return the VM whose control process plans groups, or None."""
        planning = [n for n, node in self.nodes.items() if node.keeper.may_plan]
        return planning[0] if len(planning) == 1 else None

    def cut_controls(self, cut: set[Address]) -> None:
        """Let all control processes get no answers from some upstreams."""
        for node in self.nodes.values():
            engines = node.keeper._holder._engines
            assert isinstance(engines, EngineClient)
            engines._client = CutClient(cut)

    def freeze_control(self, name: str) -> None:
        """Let a VM's control process keep its connections and do nothing."""

        async def say_nothing(*_: object) -> None:
            await asyncio.sleep(60.0)

        keeper = self.nodes[name].keeper
        for task in keeper._tasks:
            task.cancel()
        keeper._peers._listener._handler = say_nothing

    def find_pool(self, node: str, model: str) -> TargetPool:
        """Return the targets of a model as a VM's entry process has them."""
        index = self.nodes[node].gateway._index
        return index.find_pool(ServiceName("drafting"), ModelName(model))

    def assert_sound(self) -> None:
        """Check what the runners saw: whole groups, no VM in two."""
        assert [text for one in self.runners.values() for text in one.broken] == []

    async def ask(
        self,
        node: str,
        path: str,
        method: str = "POST",
        key: str | None = KEY,
        deadline_ms: int = 4000,
        body: bytes = b"",
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
                address, Request(method, path, sent, body), deadline_ms / 1000 + 1.0
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

    async def draft(
        self,
        node: str,
        model: str = "large",
        events: int = 10,
        request_id: str | None = None,
        body: bytes = b"",
        deadline_ms: int = 4000,
        parts: Sequence[str] = (),
    ) -> Answer:
        """Ask for a stream."""
        named = {} if request_id is None else {"request_id": request_id}
        if parts:
            prompt = ",".join(f"{part}:{100 // len(parts)}" for part in parts)
            named["x_zinniaspool_prefix_hash"] = prompt
        return await self.ask(
            node,
            "/drafts/one",
            "POST",
            KEY,
            deadline_ms,
            body,
            **named,
            x_zinniaspool_model=model,
            x_zinniaspool_token_count=f"100,{events}",
        )

    async def settle(self) -> None:
        """Wait until all nodes serve each model."""
        await eventually(lambda: self.heads("large") and self.heads("small"))
        for name in self.nodes:
            for model in SIZES:
                await self.await_served(name, model)

    async def await_served(self, node: str, model: str) -> None:
        """Wait until a VM answers for a model."""
        for _ in range(600):
            if (await self.draft(node, model, 1)).status == 200:
                return
            await asyncio.sleep(0.03)
        raise AssertionError(f"{node} does not serve {model}")


class PatientInstallation(Installation):
    """Routes that wait for long, and VMs that stop as late.

    For tests of long streams, which a slow machine would end at the usual
    deadline.
    """

    deadline_s = 20.0
    grace_s = deadline_s + 2.0
    patient_routes: Collection[str] = ("drafts",)

    def configure(self, **changes: Any) -> None:
        """Write the next version of the rules."""
        routes = make_rules(self.version, self.keys)["routes"]
        waiting = {"timeout-ms": int(self.deadline_s * 1000)}
        patient = [
            {**one, **waiting} if one["name"] in self.patient_routes else one
            for one in routes
        ]
        super().configure(**{"routes": patient, **changes})


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test's coroutine on a loop of its own."""
    asyncio.run(_bounded(test))


def run_with_cuts(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test's coroutine on a loop in which VMs can be cut off."""
    with asyncio.Runner(loop_factory=CuttableLoop) as runner:
        runner.run(_bounded(test))


async def _bounded(test: Callable[[], Awaitable[None]]) -> None:
    async with explain_by_delays(), asyncio.timeout(60):
        await test()
