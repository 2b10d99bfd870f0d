"""Tasks that fail once and are started again: their work goes on."""

import ast
import asyncio
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import pytest

import zinniaspool
from tests.installation import Installation, eventually
from zinniaspool.core.fleet import HELD_PREFIX, HOLDER_KEY, NODES_PREFIX
from zinniaspool.keeper import holder


class FailingOnce:
    """Replaces a method that raises at its first call.

    Args:
        owner: Object whose method it is.
        name: The method's name.

    Attributes:
        calls: Number of calls so far.
    """

    def __init__(self, owner: Any, name: str) -> None:
        self.calls = 0
        self._method = getattr(owner, name)
        setattr(owner, name, self)

    def __call__(self, *arguments: Any, **named: Any) -> Any:
        self.calls += 1
        if self.calls == 1:
            raise RuntimeError("fails once")
        return self._method(*arguments, **named)


class SmallInstallation(Installation):
    """An installation whose VMs are changed before their tasks start."""

    prepare: Callable[[Any], None] = staticmethod(lambda _: None)

    async def add_node(self, name: str, zone: str = "hall-a") -> Any:
        node = await super().add_node(name, zone)
        # The tasks begin with the next pass of the loop.
        type(self).prepare(node)
        return node


ENTRY_TASKS: dict[str, tuple[Callable[[Any], Any], str]] = {
    "follower": (lambda gateway: gateway._follower, "_follow_peers"),
    "register": (lambda gateway: gateway._lease, "renew_or_replace"),
    "watch_silence": (lambda gateway: gateway._stall_detector, "_check"),
    "watch_speed": (lambda gateway: gateway._slow_target_watcher, "_check"),
    "watch_endings": (lambda gateway: gateway._stream_end_watcher, "_check"),
    "checks": (lambda gateway: gateway._load_reporter, "report"),
    "prober": (lambda gateway: gateway._reachability, "choose_probes"),
    "records": (lambda gateway: gateway._quarantine_records, "_write"),
    "crash_history": (lambda gateway: gateway._peer_exchange, "request"),
    "demand": (lambda gateway: gateway._admission_queues, "make_digest"),
}
CONTROL_TASKS: list[tuple[str, Callable[[Any], Any], str]] = [
    ("follower", lambda keeper: keeper._follower, "_follow_peers"),
    ("election", lambda keeper: keeper._election, "_is_vacant"),
    ("holder", lambda keeper: keeper._holder, "_restore"),
    ("holder", lambda keeper: keeper._holder.retainer, "take_over"),
    ("holder", lambda keeper: keeper._fleet_view, "start_decoding_instances"),
]


@pytest.mark.parametrize("task", ENTRY_TASKS)
def test_an_entry_process_s_task_goes_on_after_a_failure(task: str) -> None:
    """Guards against a process that runs without one of its tasks.

    It is in the store and serves requests afterwards.
    """

    async def test() -> None:
        failing: list[FailingOnce] = []

        def prepare(node: Any) -> None:
            find, method = ENTRY_TASKS[task]
            failing.append(FailingOnce(find(node.gateway), method))
            if task == "records":
                node.gateway._quarantine_records.add("c:1", found_here=True)

        class Made(SmallInstallation):
            divides_capacity = task == "demand"

        Made.prepare = staticmethod(prepare)
        async with Made.running(nodes=2, engines=5) as made:
            if task == "records":
                # One of the processes writes the record for both.
                await eventually(partial(made.store.get, HELD_PREFIX + "c:1"))
            else:
                await eventually(lambda: all(one.calls > 1 for one in failing))
            assert all(one.calls for one in failing)
            for name in made.nodes:
                await eventually(partial(made.store.get, NODES_PREFIX + name))
            await eventually(lambda: made.heads("small") and made.heads("large"))
            for name in made.nodes:
                answer = await made.ask(name, "/cards/a")
                assert answer.status == 200

    asyncio.run(test())


@pytest.mark.parametrize(("task", "find", "method"), CONTROL_TASKS)
def test_a_control_process_s_task_goes_on_after_a_failure(
    task: str, find: Callable[[Any], Any], method: str
) -> None:
    """Guards against a process that keeps the key and doesn't plan."""

    async def test() -> None:
        failing: list[FailingOnce] = []

        def prepare(node: Any) -> None:
            failing.append(FailingOnce(find(node.keeper), method))

        SmallInstallation.prepare = staticmethod(prepare)
        async with SmallInstallation.running(nodes=1, engines=5) as made:
            await eventually(lambda: made.heads("small") and made.heads("large"))
            assert all(one.calls > 1 for one in failing)
            assert made.store.get(HOLDER_KEY)

    asyncio.run(test())


def list_supervised(program: str) -> set[str]:
    """Return the names of the tasks that a program's modules supervise."""
    folder = Path(zinniaspool.__path__[0]) / program
    calls = [
        node
        for path in folder.rglob("*.py")
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8")))
        if isinstance(node, ast.Call) and "run_supervised" in ast.unparse(node.func)
    ]
    return {ast.literal_eval(call.args[0]) for call in calls}


def test_each_supervised_task_has_a_test_of_its_failure() -> None:
    """Guards against a new task that nobody has seen failing."""
    assert list_supervised("gateway") == set(ENTRY_TASKS)
    assert list_supervised("keeper") == {task for task, _, _ in CONTROL_TASKS}
    everywhere = set(ENTRY_TASKS) | {task for task, _, _ in CONTROL_TASKS}
    assert list_supervised("") == everywhere


class FirstHolder:
    """Replaces a method at the process that plans first, and at no other.

    Args:
        replacement: Called there at each call.
    """

    def __init__(self, replacement: Callable[..., Any]) -> None:
        self.node: str | None = None
        self._replacement = replacement

    def replace(self, node: Any, name: str) -> None:
        planner = node.keeper._holder
        method = getattr(planner, name)

        def call(*arguments: Any) -> Any:
            self.node = self.node or node.file.node
            if self.node == node.file.node:
                return self._replacement()
            return method(*arguments)

        setattr(planner, name, call)


def fail() -> None:
    raise RuntimeError("fails always")


async def stand_still() -> None:
    await asyncio.Event().wait()


@pytest.mark.parametrize(
    ("method", "replacement"),
    [
        ("_restore", fail),
        ("_query_all_engines", stand_still),
        ("_await_upstreams", stand_still),
    ],
)
def test_a_holder_that_does_not_plan_is_replaced(
    method: str, replacement: Callable[[], Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against groups that nobody plans while the key is held.

    The holder fails at each start, or waits for something for good.
    """
    monkeypatch.setattr(holder, "PROGRESS_CHECK_S", 0.05, raising=False)

    async def test() -> None:
        first = FirstHolder(replacement)
        SmallInstallation.prepare = staticmethod(
            lambda node: first.replace(node, method)
        )
        async with SmallInstallation.running(nodes=2, engines=5) as made:
            await eventually(lambda: made.heads("small") and made.heads("large"))
            assert first.node is not None
            planning = [
                name
                for name, node in made.nodes.items()
                if node.keeper._holder.is_planning
            ]
            assert planning and first.node not in planning

    asyncio.run(test())
