"""Entry VMs whose programs run as processes of their own, as deployed."""

import asyncio
import contextlib
import os
import signal
import sys
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from zinniaspool.core.ids import Address
from zinniaspool_standins.cuts import CutKind
from zinniaspool_standins.fleet import end_with_parent
from zinniaspool_standins.installation import Installation, free_address
from zinniaspool_standins.placed import Placement
from zinniaspool_standins.silencer import LinkProxy

__all__ = ["EntryNode", "NodeProcess", "end_nodes", "make_nodes"]

GATEWAY, KEEPER = "zinniaspool.platform.entry", "zinniaspool.platform.control"
"""The programs that the deploy file names."""


@dataclass
class NodeProcess:
    """One program on one entry VM.

    Attributes:
        module: Which program.
        settings: Its settings file.
        log: What it prints.
        placement: The file with its placement, if it has one.
        process: The running one, if it was started.
        started: When it was started, each time, in seconds of the loop's
            clock.
    """

    module: str
    settings: Path
    log: Path
    placement: Path | None = None
    process: asyncio.subprocess.Process | None = None
    started: list[float] = field(default_factory=list)

    async def start(self) -> None:
        """Start it; its output is added to its log."""
        env = {**os.environ, "ZINNIASPOOL_NODE_FILE": str(self.settings)}
        placed = (
            []
            if self.placement is None
            else ["zinniaspool_standins.placed", str(self.placement)]
        )
        self.started.append(asyncio.get_running_loop().time())
        with self.log.open("ab") as out:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *placed,
                self.module,
                stdout=out,
                stderr=out,
                env=env,
                preexec_fn=end_with_parent,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to this process alone, if it still runs."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def restart(self, grace_s: float, pause_s: float) -> bool:
        """Wait until it has ended after its stop signal, and start it again.

        Args:
            grace_s: Time after which it is killed, in seconds.
            pause_s: Pause before the start, in seconds.

        Returns:
            Whether it was killed.
        """
        is_killed = False
        if self.process is not None:
            try:
                async with asyncio.timeout(grace_s):
                    await self.process.wait()
            except TimeoutError:
                is_killed = True
                await self.end()
        await asyncio.sleep(pause_s)
        await self.start()
        return is_killed

    async def end(self) -> None:
        """Kill it and wait until it is gone."""
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


@dataclass
class EntryNode:
    """One entry VM.

    Attributes:
        name: The VM.
        front: Where callers connect.
        directory: Where they ask which addresses to use.
        link: Its way to the store.
        processes: Its entry process and its control process.
        host: Where its connections to upstreams come from.
    """

    name: str
    front: Address
    directory: Address
    link: LinkProxy
    processes: list[NodeProcess]
    host: str = "127.0.0.1"

    async def start(self) -> None:
        """Start its processes."""
        for one in self.processes:
            await one.start()

    def send(self, number: signal.Signals) -> None:
        """Send a signal to its processes that still run."""
        for one in self.processes:
            one.send(number)

    def cut(self, kind: CutKind | None) -> None:
        """Cut it off from the upstreams; None ends that. It must be placed."""
        path = self.processes[0].placement
        assert path is not None
        msgspec.structs.replace(Placement.read(path), cut=kind).write(path)
        self.send(signal.SIGUSR2)

    async def stop(self, grace_s: float | None = None) -> list[NodeProcess]:
        """Stop its processes in order, and wait until they are gone.

        Args:
            grace_s: Time after which those that still run are killed, in
                seconds; None to wait for all of them.

        Returns:
            Those that were killed.
        """
        self.send(signal.SIGTERM)
        ending = {
            asyncio.create_task(one.process.wait()): one
            for one in self.processes
            if one.process is not None
        }
        await asyncio.wait(ending, timeout=grace_s)
        killed = [one for task, one in ending.items() if not task.done()]
        for one in killed:
            await one.end()
        return killed

    async def restart(self, grace_s: float, pause_s: float) -> list[NodeProcess]:
        """Stop its processes, and start each one again once it has ended.

        One of them loads while another one still serves, as on the platform.

        Args:
            grace_s: Time after which those that still run are killed, in
                seconds.
            pause_s: Pause before a start, in seconds.

        Returns:
            Those that were killed.
        """
        self.send(signal.SIGTERM)
        are_killed = await asyncio.gather(
            *(one.restart(grace_s, pause_s) for one in self.processes)
        )
        return [
            one
            for one, is_killed in zip(self.processes, are_killed, strict=True)
            if is_killed
        ]


async def make_nodes(
    made: Installation,
    folder: Path,
    count: int,
    contracts: Sequence[str] = (),
    grace_s: float = 4,
    upstreams: Collection[Address] = (),
) -> list[EntryNode]:
    """Write the settings of some entry VMs, and start their processes.

    Args:
        made: The store and the runners.
        folder: Gets settings and logs.
        count: How many VMs.
        contracts: The platform's contracts that are in force.
        grace_s: Time for which a process may go on after the stop signal, in
            seconds.
        upstreams: The upstreams that the VMs can be cut off from, which then
            see an address of its own for each VM; none for VMs that aren't
            placed.
    """
    controls = [free_address() for _ in range(count)]
    nodes = [
        await _make_node(made, folder, n, controls, contracts, grace_s)
        for n in range(count)
    ]
    if upstreams:
        for number, node in enumerate(nodes):
            _place(node, folder, f"127.0.0.{number + 2}", upstreams)
    for node in nodes:
        await node.start()
    return nodes


async def end_nodes(nodes: list[EntryNode]) -> None:
    """End all their processes, frozen ones too."""
    for node in nodes:
        for one in node.processes:
            one.send(signal.SIGCONT)
            await one.end()
        node.link.close()


async def _make_node(
    made: Installation,
    folder: Path,
    number: int,
    controls: list[Address],
    contracts: Sequence[str],
    grace_s: float,
) -> EntryNode:
    store, link_address = free_address(), free_address()
    front, directory = free_address(), free_address()
    await made.store.listen(store)
    link = LinkProxy(store)
    await link.listen(link_address)
    settings = folder / f"n{number}.toml"
    port = int(free_address().rpartition(":")[2])
    seeds = ", ".join(f'"{one}"' for one in controls)
    settings.write_text(
        f'node-name = "n{number}"\nip = "127.0.0.1"\nzone = "hall-a"\n'
        f'region = "north"\ninternal-ports = [{port}, {port}]\nseeds = [{seeds}]\n'
        f"contracts = {list(contracts)!r}\n"
        f'[listen-addrs]\nfront = "{front}"\nready = "{free_address()}"\n'
        f'directory = "{directory}"\ncontrol = "{controls[number]}"\n'
        f"[bounds]\ngrace-s = {grace_s:g}\nbudget-slack = 200\n"
        f'[platform]\naddress = "{link_address}"\n'
    )
    processes = [
        NodeProcess(module, settings, folder / f"n{number}-{module.split('.')[2]}.log")
        for module in (GATEWAY, KEEPER)
    ]
    return EntryNode(f"n{number}", front, directory, link, processes)


def _place(
    node: EntryNode, folder: Path, host: str, upstreams: Collection[Address]
) -> None:
    path = folder / f"{node.name}-placement.json"
    Placement(node.name, host, sorted(upstreams)).write(path)
    node.host = host
    for one in node.processes:
        one.placement = path
