"""Composition root of the control program on the users' platform."""

import asyncio
import signal
import sys
import time

import structlog

from zinniaspool.core.fleet import HolderRecord
from zinniaspool.core.fleet.messages import DemandNote, SilentTarget
from zinniaspool.core.ids import Address
from zinniaspool.core.messages import Hello, Message
from zinniaspool.fleet import FleetBelief, FleetFollower, FleetMesh, run_duty
from zinniaspool.http import HttpClient
from zinniaspool.keeper.election import HolderElection
from zinniaspool.keeper.holder import GroupHolder
from zinniaspool.keeper.plans import PlanBook
from zinniaspool.platform.kvstore import KvStore
from zinniaspool.platform.nodefile import NodeFile, NodeFileError, read_node_file
from zinniaspool.platform.orders import EngineClient
from zinniaspool.telemetry import configure_logs

__all__ = ["KeeperProcess", "main"]

_log = structlog.get_logger(__name__)

CONNECT_S = 0.2
"""Longest wait for a connection to an engine or the store, in seconds."""


LEAD_S = 10.0
"""For how long after the whole system's first start loads are not counted, in
seconds: callers come some twelve seconds after it."""


class KeeperProcess:
    """Stands for holder, and plans groups while it is.

    Args:
        node: The platform's settings.
    """

    def __init__(self, node: NodeFile) -> None:
        self._node = node
        self._stop = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._belief = FleetBelief()
        self._store = KvStore(HttpClient(connect_s=CONNECT_S), node.store_address)
        self._mesh = FleetMesh(
            node.node, node.failure_domain, self._belief, self._take_message
        )
        self._address = node.control_address or Address(
            f"{node.ip}:{node.first_port + 1}"
        )
        self._election = HolderElection(
            self._store,
            self._belief,
            HolderRecord(node.node, self._address),
            node.least_lease_s,
        )
        self._follower = FleetFollower(
            self._store,
            self._belief,
            self._mesh,
            lambda: self._election.holds,
            self._list_seeds,
        )
        self._holder = GroupHolder(
            self._belief,
            self._election,
            PlanBook(self._store),
            EngineClient(HttpClient(connect_s=CONNECT_S)),
            node.load_window_s,
            time.monotonic() + LEAD_S if node.first_start else 0.0,
        )

    def stop(self) -> None:
        """Tell the process to stop in order."""
        self._stop.set()

    async def run(self) -> None:
        """Run until the process is told to stop."""
        _log.info("started", first_start=self._node.first_start)
        await self._mesh.listen(self._address)
        self._tasks = [
            asyncio.create_task(run_duty("follower", self._follower.run)),
            asyncio.create_task(run_duty("election", self._election.run)),
            asyncio.create_task(run_duty("holder", self._holder.run)),
        ]
        await self._stop.wait()
        await self._election.resign()
        await self.abort()
        _log.info("stopped")

    @property
    def holds(self) -> bool:
        """Whether this process plans groups now."""
        return self._election.holds

    async def abort(self) -> None:
        """Close everything at once."""
        for task in self._tasks:
            task.cancel()
        self._mesh.close()

    def _list_seeds(self) -> list[Address]:
        known = [one.peer_address for one in self._belief.nodes.values()]
        return [one for one in [*known, *self._node.seeds] if one != self._address]

    async def _take_message(self, hello: Hello, message: Message) -> Message | None:
        if isinstance(message, SilentTarget):
            self._holder.suspect(message.instance, message.node)
        elif isinstance(message, DemandNote):
            self._holder.note_demand(message)
        return None


def main() -> None:
    """Run the program."""
    try:
        node = read_node_file()
    except NodeFileError as error:
        print(error, file=sys.stderr)
        raise SystemExit(2) from error
    configure_logs("control", node.node)
    asyncio.run(_start(node))


async def _start(node: NodeFile) -> None:
    process = KeeperProcess(node)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, process.stop)
    # What may change in the file while a process runs is nothing that it
    # keeps; without a handler the signal would end it.
    loop.add_signal_handler(signal.SIGHUP, lambda: _log.info("settings-signal"))
    await process.run()


if __name__ == "__main__":
    main()
