"""Composition root of ``zinniaspool-control``."""

import asyncio
from pathlib import Path
from typing import Annotated

import structlog
import typer

from zinniaspool.control.domain import DomainHolder
from zinniaspool.core.deployment import Configuration
from zinniaspool.core.ids import Address, FabricDomainId, Revision
from zinniaspool.core.membership import MemberState
from zinniaspool.core.messages import Hello, Message
from zinniaspool.node import NodeFrame, run_program
from zinniaspool.settings import ControlSettings

__all__ = ["ControlProcess", "main"]

_log = structlog.get_logger(__name__)


class ControlProcess:
    """Steps the fabric domains that this process holds."""

    def __init__(self, settings: ControlSettings) -> None:
        self._settings = settings
        self._frame = NodeFrame(settings)
        self._configuration: Configuration | None = None
        self._holders: dict[FabricDomainId, DomainHolder] = {}

    async def run(self) -> None:
        """Run until the process is told to stop."""
        await self._frame.start(self._handle_message)
        async with asyncio.TaskGroup() as tasks:
            running = [
                tasks.create_task(self._frame.follow(self._configure)),
                tasks.create_task(self._step_domains()),
            ]
            await self._frame.stopping.wait()
            for task in running:
                task.cancel()
        for holder in self._holders.values():
            await holder.release()
        self._frame.close()

    async def _handle_message(self, hello: Hello, message: Message) -> Message | None:
        return None

    def _configure(self, configuration: Configuration, revision: Revision) -> None:
        self._frame.board.set_state(MemberState.READY)
        self._configuration = configuration
        domains = sorted({vm.fabric_domain for vm in configuration.inventory.vms})
        for domain in domains:
            if domain not in self._holders:
                self._holders[domain] = DomainHolder(
                    domain,
                    self._frame.node,
                    self._frame.store,
                    self._frame.http,
                    self._settings.lease_s,
                    self._settings.vm_absent_s,
                )

    async def _step_domains(self) -> None:
        while True:
            if self._configuration is not None:
                for holder in self._holders.values():
                    if await holder.step(self._configuration):
                        await self._tell_entries(holder)
            await asyncio.sleep(self._settings.poll_s)

    async def _tell_entries(self, holder: DomainHolder) -> None:
        state = holder.state()
        async with asyncio.TaskGroup() as tasks:
            for seed in self._settings.seeds:
                tasks.create_task(self._frame.links.send(Address(seed), state))


def _run(settings: Annotated[Path, typer.Option(help="Settings file.")]) -> None:
    run_program("control", settings, ControlSettings, _start)


async def _start(settings: ControlSettings) -> None:
    await ControlProcess(settings).run()


def main() -> None:
    """Run the program."""
    typer.run(_run)
