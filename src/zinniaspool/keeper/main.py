"""Composition root of the control program on the users' platform."""

import asyncio
import signal
import sys

import structlog

from zinniaspool.core.fleet import HolderRecord
from zinniaspool.core.ids import Address
from zinniaspool.fleet import FleetBelief, StoreFollower
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


class KeeperProcess:
    """Stands for holder, and plans groups while it is.

    Args:
        node: The platform's settings.
    """

    def __init__(self, node: NodeFile) -> None:
        self._node = node
        self._stop = asyncio.Event()
        self._belief = FleetBelief()
        self._store = KvStore(HttpClient(connect_s=CONNECT_S), node.store_address)
        self._follower = StoreFollower(self._store, self._belief)
        address = node.control_address or Address(f"{node.ip}:{node.first_port + 1}")
        self._election = HolderElection(
            self._store,
            self._belief,
            HolderRecord(node.node, address),
            node.least_lease_s,
        )
        self._holder = GroupHolder(
            self._belief,
            self._election,
            PlanBook(self._store),
            EngineClient(HttpClient(connect_s=CONNECT_S)),
            node.load_window_s,
        )

    async def run(self) -> None:
        """Run until the process is told to stop."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, lambda: _log.info("settings-signal"))
        _log.info("started", first_start=self._node.first_start)
        tasks = [
            asyncio.create_task(self._follower.run()),
            asyncio.create_task(self._election.run()),
            asyncio.create_task(self._holder.run()),
        ]
        for task in tasks:
            task.add_done_callback(self._note_failure)
        await self._stop.wait()
        await self._election.resign()
        for task in tasks:
            task.cancel()
        _log.info("stopped")

    def _note_failure(self, task: "asyncio.Task[None]") -> None:
        if task.cancelled() or task.exception() is None:
            return
        _log.error("task-failed", error=repr(task.exception()))
        self._stop.set()


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
    await KeeperProcess(node).run()


if __name__ == "__main__":
    main()
