"""Composition root of ``zinniaspool-control``."""

import asyncio
from pathlib import Path
from typing import Annotated

import structlog
import typer
from result import Err

from zinniaspool.control.domain import DomainKeeper
from zinniaspool.control.fleet import FleetBook
from zinniaspool.control.ranks import ControlRanks
from zinniaspool.core.deployment import Configuration
from zinniaspool.core.groups import FleetIndex
from zinniaspool.core.groups.descriptions import describe_groups
from zinniaspool.core.ids import Address, FabricDomainId, Revision
from zinniaspool.core.membership import MemberState, Notice, Topic
from zinniaspool.core.messages import Hello, Message
from zinniaspool.core.plans import VmListState
from zinniaspool.node import NodeFrame, run_program
from zinniaspool.settings import ControlSettings
from zinniaspool.store import fetch_vm_list

__all__ = ["ControlProcess", "main"]

_log = structlog.get_logger(__name__)
_VM_LIST_S = 2.0
"""Seconds between readings of the VM list, which lags by as much."""
_LAST_WORDS_S = 0.2
"""Seconds in which the last notices of a stopping process leave; chosen."""


class ControlProcess:
    """Keeps every fabric domain, as its holder, its witness or neither."""

    def __init__(self, settings: ControlSettings) -> None:
        self._settings = settings
        self._frame = NodeFrame(settings)
        self._ranks = ControlRanks(self._frame)
        self._fleet = FleetBook(settings.report_stale_s)
        self._keepers: dict[FabricDomainId, DomainKeeper] = {}
        self._running: dict[FabricDomainId, asyncio.Task[None]] = {}
        self._index: FleetIndex | None = None

    async def run(self) -> None:
        """Run until the process is told to stop."""
        await self._frame.start(self._handle_message)
        self._frame.operators.add_section("groups", self._describe)
        for topic in (Topic.PLANS, Topic.GROUPS):
            self._frame.board.subscribe(topic, self._take_notice)
        async with asyncio.TaskGroup() as tasks:
            running = [
                tasks.create_task(self._frame.follow(self._configure)),
                tasks.create_task(self._follow_vm_list()),
            ]
            await self._frame.stopping.wait()
            for task in [*running, *self._running.values()]:
                task.cancel()
        async with asyncio.TaskGroup() as tasks:
            for keeper in self._keepers.values():
                tasks.create_task(keeper.release())
        await asyncio.sleep(_LAST_WORDS_S)
        self._frame.close()

    async def _handle_message(self, hello: Hello, message: Message) -> Message | None:
        return None

    def _take_notice(self, notice: Notice) -> None:
        beat = self._fleet.take_notice(notice)
        if beat is not None and beat.domain in self._keepers:
            self._keepers[beat.domain].hear(beat)

    def _configure(self, configuration: Configuration, revision: Revision) -> None:
        self._frame.board.set_state(MemberState.READY)
        self._index = FleetIndex(configuration)
        self._fleet.configure(configuration)
        for domain in self._index.domains:
            if domain not in self._keepers:
                self._keep(domain)
        for keeper in self._keepers.values():
            keeper.configure(self._index)

    def _keep(self, domain: FabricDomainId) -> None:
        keeper = DomainKeeper(
            domain, self._frame, self._settings, self._fleet, self._ranks
        )
        self._keepers[domain] = keeper
        self._running[domain] = asyncio.create_task(self._run_keeper(keeper))

    async def _run_keeper(self, keeper: DomainKeeper) -> None:
        try:
            await keeper.run()
        except Exception:
            # One domain's fault must not end the others' care; the process
            # stops, and another one takes over.
            _log.exception("keeper-failed", domain=keeper.domain)
            self._frame.stopping.set()

    async def _follow_vm_list(self) -> None:
        address = Address(self._settings.vm_list_address)
        while True:
            await asyncio.sleep(_VM_LIST_S)
            active = [keeper for keeper in self._keepers.values() if keeper.is_active]
            if not active:
                continue
            found = await fetch_vm_list(self._frame.http, address)
            if isinstance(found, Err):
                continue
            leaving = {
                listing.vm
                for listing in found.ok_value
                if listing.state is VmListState.LEAVING
            }
            for keeper in active:
                keeper.note_leaving(leaving)

    def _describe(self) -> object:
        now = asyncio.get_running_loop().time()
        return [
            describe_groups(keeper.holder, self._index, keeper.holds, now)
            for keeper in self._keepers.values()
            if keeper.is_active
        ]


def _run(settings: Annotated[Path, typer.Option(help="Settings file.")]) -> None:
    run_program("control", settings, ControlSettings, _start)


async def _start(settings: ControlSettings) -> None:
    await ControlProcess(settings).run()


def main() -> None:
    """Run the program."""
    typer.run(_run)
