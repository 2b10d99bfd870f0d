"""Composition root of ``zinniaspool-control``."""

import asyncio
from pathlib import Path
from typing import Annotated

import structlog
import typer
from result import Err

from zinniaspool.control.domain import DomainController
from zinniaspool.control.fleet import FleetTable
from zinniaspool.control.ranks import ControlRanks
from zinniaspool.core.deployment import Configuration
from zinniaspool.core.groups import FleetIndex
from zinniaspool.core.groups.descriptions import describe_groups
from zinniaspool.core.ids import Address, FabricDomainId, Revision
from zinniaspool.core.membership import MemberState, Notice, Topic
from zinniaspool.core.messages import Hello, Message
from zinniaspool.core.plans import VmListState
from zinniaspool.node import NodeRuntime, run_program
from zinniaspool.settings import ControlSettings
from zinniaspool.store import fetch_vm_list

__all__ = ["ControlProcess", "main"]

_log = structlog.get_logger(__name__)
_VM_LIST_S = 2.0
"""Seconds between two readings of the VM list, which lags by as much."""
_LAST_NOTICES_S = 0.2
"""Seconds that a stopping process waits for its last notices to be sent."""


class ControlProcess:
    """Runs a controller for each fabric domain.

    For each domain this process is the holder, a witness, a standby or
    neither.

    Args:
        settings: The process's settings.
    """

    def __init__(self, settings: ControlSettings) -> None:
        self._settings = settings
        self._frame = NodeRuntime(settings)
        self._ranks = ControlRanks(self._frame)
        self._fleet = FleetTable(settings.report_stale_s)
        self._controllers: dict[FabricDomainId, DomainController] = {}
        self._running: dict[FabricDomainId, asyncio.Task[None]] = {}
        self._index: FleetIndex | None = None

    async def run(self) -> None:
        """Run until a shutdown is requested."""
        await self._frame.start(self._handle_message)
        self._frame.operators.add_section("groups", self._describe)
        for topic in (Topic.PLANS, Topic.GROUPS):
            self._frame.gossip.subscribe(topic, self._on_notice)
        async with asyncio.TaskGroup() as tasks:
            running = [
                tasks.create_task(self._frame.follow_configuration(self._configure)),
                tasks.create_task(self._follow_vm_list()),
            ]
            await self._frame.stopping.wait()
            for task in [*running, *self._running.values()]:
                task.cancel()
        async with asyncio.TaskGroup() as tasks:
            for controller in self._controllers.values():
                tasks.create_task(controller.release())
        await asyncio.sleep(_LAST_NOTICES_S)
        self._frame.close()

    async def _handle_message(self, hello: Hello, message: Message) -> Message | None:
        return None

    def _on_notice(self, notice: Notice) -> None:
        heartbeat = self._fleet.on_notice(notice)
        if heartbeat is not None and heartbeat.domain in self._controllers:
            self._controllers[heartbeat.domain].on_heartbeat(heartbeat)

    def _configure(self, configuration: Configuration, revision: Revision) -> None:
        self._frame.gossip.set_state(MemberState.READY)
        self._index = FleetIndex(configuration)
        self._fleet.configure(configuration)
        for domain in self._index.domains:
            if domain not in self._controllers:
                self._add_controller(domain)
        for controller in self._controllers.values():
            controller.configure(self._index)

    def _add_controller(self, domain: FabricDomainId) -> None:
        controller = DomainController(
            domain, self._frame, self._settings, self._fleet, self._ranks
        )
        self._controllers[domain] = controller
        self._running[domain] = asyncio.create_task(self._run_controller(controller))

    async def _run_controller(self, controller: DomainController) -> None:
        try:
            await controller.run()
        except Exception:
            # A fault in one domain must not leave the other domains without
            # a holder: the process stops, and another process takes over.
            _log.exception("keeper-failed", domain=controller.domain)
            self._frame.stopping.set()

    async def _follow_vm_list(self) -> None:
        address = Address(self._settings.vm_list_address)
        while True:
            await asyncio.sleep(_VM_LIST_S)
            active = [
                controller
                for controller in self._controllers.values()
                if controller.is_active
            ]
            if not active:
                continue
            listed = await fetch_vm_list(self._frame.http, address)
            if isinstance(listed, Err):
                continue
            leaving = {
                listing.vm
                for listing in listed.ok_value
                if listing.state is VmListState.LEAVING
            }
            for controller in active:
                controller.update_leaving(leaving)

    def _describe(self) -> object:
        now = asyncio.get_running_loop().time()
        return [
            describe_groups(controller.holder, self._index, controller.holds_lease, now)
            for controller in self._controllers.values()
            if controller.is_active
        ]


def _run(settings: Annotated[Path, typer.Option(help="Settings file.")]) -> None:
    run_program("control", settings, ControlSettings, _start)


async def _start(settings: ControlSettings) -> None:
    await ControlProcess(settings).run()


def main() -> None:
    """Run the program."""
    typer.run(_run)
