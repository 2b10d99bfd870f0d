"""Composition root of ``zinniaspool-entry``."""

import asyncio
import random
from pathlib import Path
from typing import Annotated

import structlog
import typer

from zinniaspool.core.deployment import Configuration
from zinniaspool.core.ids import Address, Revision
from zinniaspool.core.membership import MemberState
from zinniaspool.core.messages import (
    DomainState,
    ForwardedAnswer,
    ForwardedCall,
    Hello,
    Message,
)
from zinniaspool.core.requests.claims import SlotOwner
from zinniaspool.core.requests.keys import KeyLimits, KeyTable
from zinniaspool.entry.answers import refuse_request
from zinniaspool.entry.callers import CallerInterface, EntryAddress
from zinniaspool.entry.calls import CallRunner
from zinniaspool.entry.claims import ClaimKeeper
from zinniaspool.entry.credentials import Credentials
from zinniaspool.entry.fleet import FleetView
from zinniaspool.entry.forwarding import CallForwarder
from zinniaspool.entry.once import OnceCalls, OnceLimits
from zinniaspool.entry.relay import Relay
from zinniaspool.entry.sinks import EndedCall
from zinniaspool.http import HttpServer
from zinniaspool.node import ConfigurationFollower, NodeFrame, run_program
from zinniaspool.settings import EntrySettings

__all__ = ["EntryProcess", "main"]

_log = structlog.get_logger(__name__)
_DRAIN_S = 30.0


class EntryProcess:
    """Serves callers until it is told to stop, then drains."""

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._frame = NodeFrame(settings)
        self._fleet = FleetView(settings.report_stale_s)
        self._caller_tls = self._frame.access.load_tls(
            "caller_tls", settings.caller_tls
        )
        relay = Relay(self._frame.http, random.Random())
        runner = CallRunner(self._fleet, relay)
        self._forwarder = CallForwarder(
            self._frame.links, Address(settings.peer_address), self._frame.members
        )
        self._once = self._make_once(runner)
        own = EntryAddress(Address(settings.caller_address), settings.failure_domain)
        self._callers = CallerInterface(
            self._fleet,
            runner,
            self._once,
            self._load_credentials(),
            [own],
            settings.default_deadline_s,
        )

    async def run(self) -> None:
        """Run until the process is told to stop."""
        await self._frame.start(self._handle_message)
        tls = self._caller_tls
        server = HttpServer(
            self._callers.handle,
            refuse=refuse_request,
            tls=tls.server if tls else None,
        )
        bound = await server.listen(Address(self._settings.caller_address))
        _log.info("callers-listening", address=bound)
        follower = ConfigurationFollower(self._frame.store, self._configure)
        async with asyncio.TaskGroup() as tasks:
            following = tasks.create_task(follower.run())
            forgetting = tasks.create_task(self._once.run())
            await self._frame.stopping.wait()
            following.cancel()
            forgetting.cancel()
        cut = await server.drain(_DRAIN_S)
        await self._once.drain()
        self._keeper.close()
        _log.info("drained", cut=cut)
        self._frame.close()

    def _make_once(self, runner: CallRunner) -> OnceCalls:
        settings, frame = self._settings, self._frame
        own = SlotOwner(frame.node, frame.incarnation, Address(settings.peer_address))
        table = KeyTable[EndedCall](KeyLimits(retention_s=settings.answer_kept_s))
        self._keeper = ClaimKeeper(frame.store, own, settings.claim_writes_per_s, table)
        limits = OnceLimits(session_s=settings.session_s)
        return OnceCalls(
            own, runner, self._keeper, self._forwarder, frame.links, table, limits
        )

    def _load_credentials(self) -> Credentials:
        path = Path(self._settings.credentials_file)
        return self._frame.access.load(
            "credentials_file", str(path), lambda: Credentials(path)
        )

    def _configure(self, configuration: Configuration, revision: Revision) -> None:
        self._fleet.configure(configuration)
        self._frame.board.set_state(MemberState.READY)

    async def _handle_message(self, hello: Hello, message: Message) -> Message | None:
        if isinstance(message, DomainState):
            self._fleet.update_domain(message, asyncio.get_running_loop().time())
        if isinstance(message, ForwardedCall):
            self._once.take_forwarded(message)
        if isinstance(message, ForwardedAnswer):
            self._forwarder.take_answer(message)
        return None


def _run(settings: Annotated[Path, typer.Option(help="Settings file.")]) -> None:
    run_program("entry", settings, EntrySettings, _start)


async def _start(settings: EntrySettings) -> None:
    await EntryProcess(settings).run()


def main() -> None:
    """Run the program."""
    typer.run(_run)
