"""Composition root of ``zinniaspool-entry``."""

import asyncio
import random
import time
from pathlib import Path
from typing import Annotated

import structlog
import typer

from zinniaspool.core.deployment import Configuration
from zinniaspool.core.errors import ERROR_ANSWERS, ErrorKind
from zinniaspool.core.ids import (
    Address,
    CustomerId,
    FailureDomainId,
    RequestId,
    Revision,
)
from zinniaspool.core.journal import DecisionKind
from zinniaspool.core.membership import MemberState, Notice, Topic
from zinniaspool.core.messages import (
    ForwardedAnswer,
    ForwardedCall,
    Hello,
    Message,
)
from zinniaspool.core.requests.claims import SlotOwner
from zinniaspool.core.requests.keys import KeyLimits, KeyTable
from zinniaspool.core.requests.refusals import RefusalLimiter
from zinniaspool.entry.answers import refuse_request
from zinniaspool.entry.callers import CallerInterface
from zinniaspool.entry.calls import CallRunner
from zinniaspool.entry.claims import ClaimStore
from zinniaspool.entry.credentials import Credentials
from zinniaspool.entry.departures import DepartureDetector
from zinniaspool.entry.directory import EntryDirectory
from zinniaspool.entry.dump import dump_requests
from zinniaspool.entry.duties import EntryBackgroundTasks
from zinniaspool.entry.fleet import ServingUpstreamTable
from zinniaspool.entry.forwarding import CallForwarder
from zinniaspool.entry.gate import AdmissionQueues
from zinniaspool.entry.handover import AnswerHandover
from zinniaspool.entry.once import KeyedCallHandler, KeyedCallLimits
from zinniaspool.entry.relay import FailedAttempt, RequestRelay
from zinniaspool.entry.services import ServiceIndex
from zinniaspool.entry.sinks import CallOutcome
from zinniaspool.http import HttpServer
from zinniaspool.node import NodeRuntime, run_program
from zinniaspool.settings import EntrySettings

__all__ = ["EntryProcess", "main"]

_log = structlog.get_logger(__name__)
_LEAVE_ANNOUNCEMENT_S = 1.0
"""Seconds for the other processes to learn that this process is leaving."""


class EntryProcess:
    """Serves callers until it is requested to stop, then drains."""

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._frame = NodeRuntime(settings)
        self._upstreams = ServingUpstreamTable(settings.report_stale_s)
        self._caller_tls = self._frame.access.load_tls(
            "caller_tls", settings.caller_tls
        )
        local_domain = FailureDomainId(settings.failure_domain)
        self._index = ServiceIndex(self._upstreams, random.Random(), local_domain)
        self._queues = AdmissionQueues()
        self._refusals = RefusalLimiter()
        self._background_tasks = EntryBackgroundTasks(
            self._frame, self._index, self._queues
        )
        relay = RequestRelay(self._frame.http, self._record_failed_attempt)
        runner = CallRunner(self._index, self._queues, relay)
        self._forwarder = CallForwarder(
            self._frame.links, Address(settings.peer_address), self._frame.list_members
        )
        self._once = self._make_once(runner)
        self._directory = EntryDirectory(
            self._frame.list_members,
            self._background_tasks.list_loads,
            self._once.issue_session,
            local_domain,
            settings.address_lifetime_s,
        )
        self._callers = CallerInterface(
            self._directory,
            runner,
            self._once,
            self._load_credentials(),
            settings.default_deadline_s,
            self._frame.metrics.observe_request,
            self._record_refusal,
        )
        self._frame.operators.add_section("fleet", self._describe_fleet)

        self._frame.operators.add_section(
            "requests", lambda: dump_requests(self._index, self._queues, self._once)
        )

    async def run(self) -> None:
        """Run until the process is requested to stop."""
        await self._frame.start(self._handle_message)
        self._background_tasks.start()
        for topic in (Topic.PLANS, Topic.GROUPS):
            self._frame.gossip.subscribe(topic, self._on_notice)
        tls = self._caller_tls
        server = HttpServer(
            self._callers.handle,
            make_refusal=refuse_request,
            tls=tls.server if tls else None,
        )
        self._frame.metrics.add_gauge(
            "zinniaspool_caller_connections",
            "Connections of callers that are open.",
            lambda: server.connections,
        )
        bound = await server.listen(Address(self._settings.caller_address))
        _log.info("callers-listening", address=bound)
        async with asyncio.TaskGroup() as tasks:
            running = [
                tasks.create_task(self._frame.follow_configuration(self._configure)),
                tasks.create_task(self._once.run()),
                tasks.create_task(self._background_tasks.run()),
                tasks.create_task(DepartureDetector(self._index).run()),
            ]
            await self._frame.stopping.wait()
            cut = await self._leave(server)
            for task in running:
                task.cancel()
        self._claim_store.close()
        _log.info("drained", cut=cut)
        self._frame.close()

    def _describe_fleet(self) -> object:
        return self._upstreams.evidence.describe(asyncio.get_running_loop().time())

    async def _leave(self, server: HttpServer) -> int:
        """Serve while callers may connect, then until all requests have ended.

        Callers cache the addresses of entry VMs for their lifetime. Closing
        the port before that would refuse their connections, though another
        entry VM would have accepted their requests. A request that may outlast
        this process is refused; one with an idempotency key runs on without
        its caller.

        Returns:
            The number of requests that were cut.
        """
        announced_s = self._settings.address_lifetime_s + _LEAVE_ANNOUNCEMENT_S
        drained_at = asyncio.get_running_loop().time() + announced_s
        self._callers.ends_at = drained_at + self._settings.drain_s
        self._directory.mark_leaving()
        await asyncio.sleep(announced_s)
        await self._once.hand_over()
        cut = await server.drain(self._settings.drain_s)
        await self._once.drain()
        return cut

    def _make_once(self, runner: CallRunner) -> KeyedCallHandler:
        settings, frame = self._settings, self._frame
        owner = SlotOwner(frame.node, frame.incarnation, Address(settings.peer_address))
        table = KeyTable[CallOutcome](KeyLimits(retention_s=settings.answer_kept_s))
        self._claim_store = ClaimStore(
            frame.store, owner, settings.claim_writes_per_s, table
        )
        limits = KeyedCallLimits(session_s=settings.session_s)
        handover = AnswerHandover(frame.store, f"{frame.node}:{frame.incarnation}")
        return KeyedCallHandler(
            owner,
            runner,
            self._claim_store,
            self._forwarder,
            frame.links,
            table,
            handover,
            limits,
        )

    def _load_credentials(self) -> Credentials:
        path = Path(self._settings.credentials_file)
        return self._frame.access.load_watched(
            "credentials_file", str(path), lambda: Credentials(path)
        )

    def _configure(self, configuration: Configuration, revision: Revision) -> None:
        self._upstreams.configure(configuration)
        now = asyncio.get_running_loop().time()
        self._index.configure(configuration, now)
        self._background_tasks.update_shares(now)
        self._callers.ready = True
        self._frame.gossip.set_state(MemberState.READY)

    def _record_failed_attempt(self, failed: FailedAttempt) -> None:
        self._frame.record_decision(
            DecisionKind.ATTEMPT_FAILED,
            (
                f"request:{failed.request}",
                f"upstream:{failed.upstream}",
                f"customer:{failed.customer}",
            ),
            failed.failure.value,
            attempt=str(failed.attempt),
            again=str(failed.retried).lower(),
        )

    def _record_refusal(
        self, request: RequestId, customer: CustomerId, kind: ErrorKind
    ) -> None:
        omitted = self._refusals.admit(customer, asyncio.get_running_loop().time())
        if omitted is None:
            return
        self._frame.journal.record(
            time.time(),
            DecisionKind.REQUEST_REFUSED,
            (f"request:{request}", f"customer:{customer}"),
            ERROR_ANSWERS[kind].message,
            error=kind.value,
            left_out_before=str(omitted),
        )

    def _on_notice(self, notice: Notice) -> None:
        self._upstreams.apply_notice(notice, asyncio.get_running_loop().time())
        self._background_tasks.mark_fleet_changed()

    async def _handle_message(self, hello: Hello, message: Message) -> Message | None:
        if isinstance(message, ForwardedCall):
            self._once.handle_forwarded(message)
        if isinstance(message, ForwardedAnswer):
            self._forwarder.handle_answer(message)
        return None


def _run(settings: Annotated[Path, typer.Option(help="Settings file.")]) -> None:
    run_program("entry", settings, EntrySettings, _start)


async def _start(settings: EntrySettings) -> None:
    await EntryProcess(settings).run()


def main() -> None:
    """Run the program."""
    typer.run(_run)
