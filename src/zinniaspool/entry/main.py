"""Composition root of ``zinniaspool-entry``."""

import asyncio
import random
from pathlib import Path
from typing import Annotated

import structlog
import typer

from zinniaspool.core.deployment import Configuration
from zinniaspool.core.ids import Address, Revision
from zinniaspool.core.membership import MemberState, Notice, Topic
from zinniaspool.core.messages import Hello, Message
from zinniaspool.entry.answers import refuse_request
from zinniaspool.entry.callers import CallerInterface, EntryAddress
from zinniaspool.entry.credentials import Credentials
from zinniaspool.entry.fleet import FleetView
from zinniaspool.entry.relay import Relay
from zinniaspool.http import HttpServer
from zinniaspool.node import ConfigurationFollower, NodeFrame
from zinniaspool.settings import EntrySettings, SettingsError, load_settings
from zinniaspool.telemetry import configure_logs

__all__ = ["EntryProcess", "main"]

_log = structlog.get_logger(__name__)
_DRAIN_S = 30.0


class EntryProcess:
    """Serves callers until it is told to stop, then drains."""

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._frame = NodeFrame(settings)
        self._fleet = FleetView(settings.report_stale_s)
        relay = Relay(self._frame.http, random.Random())
        own = EntryAddress(Address(settings.caller_address), settings.failure_domain)
        self._callers = CallerInterface(
            self._fleet,
            relay,
            Credentials(Path(settings.credentials_file)),
            [own],
            settings.default_deadline_s,
        )

    async def run(self) -> None:
        """Run until the process is told to stop."""
        await self._frame.start(self._handle_message)
        self._frame.board.subscribe(Topic.GROUPS, self._take_notice)
        server = HttpServer(self._callers.handle, refuse=refuse_request)
        bound = await server.listen(Address(self._settings.caller_address))
        _log.info("callers-listening", address=bound)
        follower = ConfigurationFollower(self._frame.store, self._configure)
        async with asyncio.TaskGroup() as tasks:
            following = tasks.create_task(follower.run())
            await self._frame.stopping.wait()
            following.cancel()
        cut = await server.drain(_DRAIN_S)
        _log.info("drained", cut=cut)
        self._frame.close()

    def _configure(self, configuration: Configuration, revision: Revision) -> None:
        self._fleet.configure(configuration)
        self._frame.board.set_state(MemberState.READY)

    async def _handle_message(self, hello: Hello, message: Message) -> Message | None:
        return None

    def _take_notice(self, notice: Notice) -> None:
        self._fleet.take_notice(notice, asyncio.get_running_loop().time())


def _run(settings: Annotated[Path, typer.Option(help="Settings file.")]) -> None:
    try:
        loaded = load_settings(settings, EntrySettings)
    except SettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(2) from error
    configure_logs("entry", loaded.node)
    asyncio.run(_start(loaded))


async def _start(settings: EntrySettings) -> None:
    await EntryProcess(settings).run()


def main() -> None:
    """Run the program."""
    typer.run(_run)
