"""Detects crashed upstreams and quarantines the contents that crash them.

All entry processes learn of each crash, so that a request that its caller
sends again and again can't crash one upstream after another.
"""

import asyncio
from collections import defaultdict
from collections.abc import Awaitable, Callable, Iterable

import structlog

from zinniaspool.core.dispatch import Quarantine, QuarantineStatus, TargetState
from zinniaspool.core.fleet import InstanceIncarnation, ProbeOutcome
from zinniaspool.core.ids import Address, ContentId, NodeId
from zinniaspool.core.messages import Message
from zinniaspool.core.messages.fleet import ClearedContents, CrashReport, StalledTarget
from zinniaspool.gateway.calls import GatewayCall
from zinniaspool.gateway.moves import Rerouter
from zinniaspool.gateway.records import QuarantineRecordStore
from zinniaspool.gateway.targets import TargetIndex

__all__ = ["CrashDetector"]

_log = structlog.get_logger(__name__)

MAX_PROBES = 2
"""Connections that are tried to find out whether an upstream has ended. The
first packet of a connection may be lost."""

ENDED_BACKOFF_S = 4.0
"""Backoff of an upstream that has ended, in seconds. By its end the instance
record has expired, or names another incarnation."""

MAX_ENDED_INCARNATIONS = 1024
"""Ended incarnations of instances that are remembered."""


class CrashDetector:
    """Finds out which contents upstreams have when they crash.

    A lost attempt alone shows little, since a connection may break by itself.
    If no process listens at the upstream's address any more, the upstream has
    ended, and the contents of all attempts lost there are suspected.

    Args:
        node: This process's VM.
        quarantine: Counts crashes.
        records: Keeps quarantined contents in the store.
        index: The targets.
        rerouter: Interrupts attempts.
        send_to_all: Sends a message to all other entry processes.
        send_to_holder: Sends a message to the holder.
        probe: Finds out whether an upstream can be connected to, from this VM
            or another one. That this VM alone is refused shows no crash.

    Attributes:
        on_refused: Called with each target that refuses connections.
        crash_count: How often this process found that an upstream had ended.
        quarantine: Counts crashes by content.
    """

    def __init__(
        self,
        node: NodeId,
        quarantine: Quarantine,
        records: QuarantineRecordStore,
        index: TargetIndex,
        rerouter: Rerouter,
        send_to_all: Callable[[Message], None],
        send_to_holder: Callable[[Message], None],
        probe: Callable[[Address], Awaitable[ProbeOutcome]],
    ) -> None:
        self.on_refused: list[Callable[[TargetState], None]] = []
        self.crash_count = 0
        self.quarantine = quarantine
        self._node = node
        self._records = records
        self._rerouter = rerouter
        self._index = index
        self._send_to_all = send_to_all
        self._send_to_holder = send_to_holder
        self._probe = probe
        self._suspected_contents: defaultdict[InstanceIncarnation, set[ContentId]] = (
            defaultdict(set)
        )
        self._checks: dict[InstanceIncarnation, asyncio.Task[None]] = {}
        self._ended_at: dict[InstanceIncarnation, float] = {}

    def is_quarantined(self, call: GatewayCall) -> bool:
        """Return whether the content of a request is quarantined."""
        return self.quarantine.is_quarantined(call.content, self._now())

    async def handle_lost_attempt(self, call: GatewayCall, state: TargetState) -> None:
        """Find out whether the upstream of a lost attempt has crashed.

        Waits for the result if one more crash would quarantine the content, so
        that the request isn't sent to another upstream before that is known.
        """
        incarnation = InstanceIncarnation(
            state.target.instance, state.target.started_at_ms
        )
        if call.sent_at > self._ended_at.get(incarnation, float("inf")):
            # It was sent after the upstream had ended.
            return
        self._suspected_contents[incarnation].add(call.content)
        check = self._start_check(incarnation, state)
        if self.quarantine.is_near_quarantine(call.content):
            await asyncio.shield(check)

    def check_target(self, state: TargetState) -> None:
        """Find out whether an upstream that doesn't answer has ended."""
        incarnation = InstanceIncarnation(
            state.target.instance, state.target.started_at_ms
        )
        if incarnation not in self._ended_at:
            self._start_check(incarnation, state)

    def record_answer(self, call: GatewayCall) -> None:
        """Record that a request was answered completely."""
        if self.quarantine.record_answer(call.content, self._now()):
            self._clear([call.content])

    def handle_crash_report(self, report: CrashReport) -> None:
        """Handle another process's report that an upstream crashed."""
        incarnation = InstanceIncarnation(report.instance, report.born)
        self._record_ended(incarnation)
        self._record_crash(incarnation, report.contents, found_here=False)

    def handle_cleared_contents(self, message: ClearedContents) -> None:
        """Handle another process's message that contents crash no upstream."""
        self._records.cancel_writes(message.contents)
        for content in message.contents:
            self.quarantine.release(content)

    def apply_records(
        self, added: frozenset[ContentId], removed: frozenset[ContentId]
    ) -> None:
        """Apply changes of the quarantine records in the store.

        Args:
            added: Contents that have a record from now on.
            removed: Contents that no longer have one.
        """
        for content in removed:
            self.quarantine.release(content)
        for content in added:
            known = self.quarantine.is_quarantined(content, self._now())
            status = self.quarantine.quarantine(content, self._now())
            if status is QuarantineStatus.CLEARED:
                self._clear([content])
            elif not known:
                self._enforce_quarantine(content)

    def _start_check(
        self, incarnation: InstanceIncarnation, state: TargetState
    ) -> "asyncio.Task[None]":
        check = self._checks.get(incarnation)
        if check is None:
            check = asyncio.create_task(self._check(incarnation, state))
            self._checks[incarnation] = check
        return check

    async def _check(
        self, incarnation: InstanceIncarnation, state: TargetState
    ) -> None:
        outcome = ProbeOutcome.NO_ANSWER
        for _ in range(MAX_PROBES):
            if outcome is ProbeOutcome.NO_ANSWER:
                outcome = await self._probe(state.target.address)
        del self._checks[incarnation]
        contents = sorted(self._suspected_contents.pop(incarnation, ()))
        if outcome is not ProbeOutcome.REFUSED:
            return
        self.crash_count += 1
        self._record_ended(incarnation)
        for notify in self.on_refused:
            notify(state)
        # Otherwise the holder would learn of the crash seconds later, when the
        # instance record expires.
        self._send_to_holder(StalledTarget(incarnation.instance, self._node))
        _log.warning(
            "upstream-crashed",
            instance=incarnation.instance,
            contents=",".join(contents),
        )
        if not contents:
            return
        self._send_to_all(
            CrashReport(
                incarnation.instance, incarnation.started_at_ms, contents, self._node
            )
        )
        self._record_crash(incarnation, contents, found_here=True)

    def _record_ended(self, incarnation: InstanceIncarnation) -> None:
        """Record that an upstream has ended, and avoid it for a while."""
        now = self._now()
        self._ended_at.setdefault(incarnation, now)
        if len(self._ended_at) > MAX_ENDED_INCARNATIONS:
            del self._ended_at[next(iter(self._ended_at))]
        state = self._index.find_state(incarnation.instance)
        if (
            state is not None
            and state.target.started_at_ms == incarnation.started_at_ms
        ):
            state.backoff_until = max(state.backoff_until, now + ENDED_BACKOFF_S)

    def _record_crash(
        self,
        incarnation: InstanceIncarnation,
        contents: Iterable[ContentId],
        *,
        found_here: bool,
    ) -> None:
        now = self._now()
        for content in contents:
            status = self.quarantine.record_crash(content, incarnation, now)
            if status is QuarantineStatus.QUARANTINED:
                self._records.add(content, found_here=found_here)
                self._enforce_quarantine(content)
            elif status is QuarantineStatus.CLEARED:
                self._clear([content])

    def _enforce_quarantine(self, content: ContentId) -> None:
        _log.warning(
            "content-held",
            content=content,
            crashed=",".join(self.quarantine.list_crashed_instances(content)),
        )
        self._rerouter.interrupt_content(content)

    def _clear(self, contents: list[ContentId]) -> None:
        """Make all processes forget the crashes counted for contents.

        An upstream has answered the contents, so that the crashes have another
        cause.
        """
        _log.info("contents-cleared", contents=",".join(contents))
        self._records.remove(contents)
        self._send_to_all(ClearedContents(contents, self._node))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
