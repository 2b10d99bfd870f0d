"""A store, runners and the operator's rules, for tests and the soak."""

import asyncio
import contextlib
import random
import socket
from base64 import b64encode
from collections.abc import AsyncIterator, Iterator
from typing import Any, Self

import msgspec

from zinniaspool.core.ids import Address
from zinniaspool_standins.pagestore import PageStore, StoreCopy
from zinniaspool_standins.runners import Runner, RunnerTimes

__all__ = ["KEY", "SIZES", "Installation", "free_address", "make_rules"]

KEY = "key-of-care"
SIZES = {"large": 3, "small": 2}
FIRST_PORT, LAST_PORT = 10_000, 30_000
"""Ports to choose from. They are below those that the system gives to
connections that are opened: one of them may take a free port before its
listener is started."""

BLOCK_PORTS = 250
"""Ports that a process reserves at a time."""

MAX_BLOCKS = 4
"""Blocks of a process, after which it chooses its ports again."""

_reservations: list[socket.socket] = []


def _reserve_block() -> range:
    """Return ports that no other process chooses until this one ends.

    A process that looks for a peer at the port of one that has ended would
    otherwise find a process of another test there, with the same names.
    """
    starts = list(range(FIRST_PORT, LAST_PORT, BLOCK_PORTS))
    random.SystemRandom().shuffle(starts)
    for start in starts:
        reservation = socket.socket()
        # Connections of before don't count, a listener does.
        reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            reservation.bind(("127.0.0.1", start))
            reservation.listen(1)
        except OSError:
            reservation.close()
            continue
        _reservations.append(reservation)
        return range(start + 1, start + BLOCK_PORTS)
    raise RuntimeError("all blocks of ports are reserved")


def _choose_ports() -> Iterator[int]:
    blocks: list[range] = []
    while len(blocks) < MAX_BLOCKS:
        blocks.append(_reserve_block())
        yield from blocks[-1]
    while True:
        for block in blocks:
            yield from block


_ports = _choose_ports()


def free_address() -> Address:
    """Return an address on loopback that nobody listens at."""
    for port in _ports:
        with socket.socket() as bound, contextlib.suppress(OSError):
            bound.bind(("127.0.0.1", port))
            return Address(f"127.0.0.1:{port}")
    raise AssertionError("ports are chosen without end")


class Installation:
    """What stands round the product: a store, runners, rules."""

    def __init__(self) -> None:
        self.store = PageStore()
        self.runners: dict[str, Runner] = {}
        self.gone: list[Runner] = []
        self.version = 1
        self.keys = [KEY]
        self.tasks: list[asyncio.Task[None]] = []
        self._named = 0

    @classmethod
    @contextlib.asynccontextmanager
    async def running(
        cls, nodes: int = 2, engines: int = 8, plain: int = 2
    ) -> AsyncIterator[Self]:
        """Run everything until the block ends."""
        made = cls()
        made.tasks.append(asyncio.create_task(made.store.run()))
        made.configure()
        for _ in range(engines):
            made.add_runner("drafting", "d0")
        for _ in range(plain):
            made.add_runner("cards", None)
        try:
            for number in range(nodes):
                await made.start_node(f"n{number}")
            yield made
        finally:
            await made.end_nodes()
            for task in made.tasks:
                task.cancel()
            await asyncio.gather(*made.tasks, return_exceptions=True)

    async def start_node(self, name: str) -> None:
        """Start an entry VM; whoever runs them here overrides this."""

    async def end_nodes(self) -> None:
        """End all entry VMs that were started."""

    def configure(self, **changes: Any) -> None:
        """Write the next version of the rules."""
        self.version += 3
        rules = {**make_rules(self.version, self.keys), **changes}
        value = b64encode(msgspec.json.encode(rules)).decode()
        self.store.put("op/config", value)

    async def restore_store(self, kept: StoreCopy, away_s: float = 0.2) -> None:
        """Let the store be away for a moment and come back from a copy.

        The operator and the runners then write what they had written.
        """
        value = self.store.get("op/config")
        assert value is not None
        self.store.faults.down = "reset"
        await asyncio.sleep(away_s)
        self.store.restore(kept)
        self.store.faults.down = ""
        if self.store.get("op/config") != value:
            self.store.put("op/config", value)
        for runner in self.runners.values():
            runner.write_again()

    def evacuate(self, zone: str) -> None:
        """Order that no request reaches upstreams of a failure domain."""
        self.store.put(f"op/evacuate/{zone}", b64encode(b"{}").decode())

    def end_evacuation(self, zone: str) -> None:
        """Return a failure domain to service."""
        self.store.remove(f"op/evacuate/{zone}")

    def add_runner(
        self, service: str, domain: str | None, zone: str = "hall-a"
    ) -> Runner:
        """Start one more instance."""
        name = f"i-{self._named:02}"
        self._named += 1
        runner = Runner(
            name,
            service,
            free_address(),
            zone,
            domain,
            self.store,
            self.runners,
            SIZES,
            RunnerTimes(),
        )
        self.runners[name] = runner
        self.tasks.append(asyncio.create_task(runner.run()))
        return runner

    def replace_runner(self, lost: Runner) -> Runner:
        """Let a lost instance come back as another one on the same host."""
        self.gone.append(lost)
        fresh = self.add_runner(lost.service, lost.domain, lost.zone)
        fresh.staged = list(lost.staged)
        return fresh

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

    def runs_of(self, request: str) -> list[str]:
        """Return the runners that ran a request, in order."""
        return [
            run.runner
            for one in self.runners.values()
            for run in one.runs
            if run.request == request
        ]


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
            {"name": "large", "size": 3, "share": 0.7, "load-s": 1.0, "warm-s": 0.2},
            {"name": "small", "size": 2, "share": 0.3, "load-s": 1.0, "warm-s": 0.2},
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
