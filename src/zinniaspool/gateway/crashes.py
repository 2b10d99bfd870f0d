"""Learns which requests crash upstreams, and has all processes know them."""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Iterable

import structlog

from zinniaspool.core.dispatch import Quarantine, QuarantineStatus, TargetState
from zinniaspool.core.fleet import InstanceIncarnation, ProbeOutcome
from zinniaspool.core.ids import Address, ContentId, NodeId
from zinniaspool.core.messages import Message
from zinniaspool.core.messages.fleet import ClearedContents, CrashReport, StalledTarget
from zinniaspool.gateway.calls import GatewayCall
from zinniaspool.gateway.moves import Moves
from zinniaspool.gateway.probes import try_address
from zinniaspool.gateway.records import HeldRecords
from zinniaspool.gateway.targets import TargetIndex

__all__ = ["CrashWatch"]

_log = structlog.get_logger(__name__)

MOST_TRIES = 2
"""Connections that are tried to learn whether an upstream has ended: the first
packet of one may be lost."""

ENDED_REST_S = 4.0
"""For how long an upstream that has ended is left alone, in seconds: its entry
lapses by then, or it is there as another one."""

MOST_ENDED = 1024
"""Ended lives of instances that are remembered."""


class CrashWatch:
    """Finds out what upstreams crash under.

    An attempt that is lost in mid-answer says little: a connection may break
    by itself. Where nobody listens any more the upstream has ended, and all
    that it had is suspected.

    Args:
        node: This process's VM.
        quarantine: Counts crashes.
        records: Keeps what is held back.
        index: The targets.
        moves: Ends attempts.
        tell_all: Sends a note to all other entry processes.
        tell_holder: Sends one to the holder.

    Attributes:
        crashes: How often this process found that an upstream had ended.
    """

    def __init__(
        self,
        node: NodeId,
        quarantine: Quarantine,
        records: HeldRecords,
        index: TargetIndex,
        moves: Moves,
        tell_all: Callable[[Message], None],
        tell_holder: Callable[[Message], None],
    ) -> None:
        self.crashes = 0
        self.quarantine = quarantine
        self._node = node
        self._records = records
        self._moves = moves
        self._index = index
        self._tell_all = tell_all
        self._tell_holder = tell_holder
        self._suspects: defaultdict[InstanceIncarnation, set[ContentId]] = defaultdict(
            set
        )
        self._checks: dict[InstanceIncarnation, asyncio.Task[None]] = {}
        self._ended: dict[InstanceIncarnation, float] = {}

    def is_held(self, call: GatewayCall) -> bool:
        """Tell whether a request is to be sent to no upstream."""
        return self.quarantine.is_quarantined(call.content, self._now())

    async def take_lost(self, call: GatewayCall, state: TargetState) -> None:
        """Take that an attempt was lost; wait where that may decide."""
        life = InstanceIncarnation(state.target.instance, state.target.started_at_ms)
        if call.sent_at > self._ended.get(life, float("inf")):
            # It was sent where nobody was any more.
            return
        self._suspects[life].add(call.content)
        check = self._start_check(life, state)
        if self.quarantine.is_near_quarantine(call.content):
            await asyncio.shield(check)

    def take_unsent(self, state: TargetState) -> None:
        """Take that no connection to an upstream came about."""
        life = InstanceIncarnation(state.target.instance, state.target.started_at_ms)
        if life not in self._ended:
            self._start_check(life, state)

    def note_answer(self, call: GatewayCall) -> None:
        """Take that a request was answered whole."""
        if self.quarantine.record_answer(call.content, self._now()):
            self._clear([call.content])

    def hear_crash(self, note: CrashReport) -> None:
        """Take that another process saw an upstream crash."""
        life = InstanceIncarnation(note.instance, note.born)
        self._note_ended(life)
        self._count(life, note.contents, seen_here=False)

    def hear_cleared(self, note: ClearedContents) -> None:
        """Take that another process answered contents."""
        self._records.drop(note.contents)
        for content in note.contents:
            self.quarantine.release(content)

    def take_records(
        self, added: frozenset[ContentId], removed: frozenset[ContentId]
    ) -> None:
        """Take which contents the store has from now on, and has no more."""
        for content in removed:
            self.quarantine.release(content)
        for content in added:
            known = self.quarantine.is_quarantined(content, self._now())
            verdict = self.quarantine.quarantine(content, self._now())
            if verdict is QuarantineStatus.CLEARED:
                self._clear([content])
            elif not known:
                self._note_held(content)

    def _start_check(
        self, life: InstanceIncarnation, state: TargetState
    ) -> "asyncio.Task[None]":
        check = self._checks.get(life)
        if check is None:
            check = asyncio.create_task(self._check(life, state.target.address))
            self._checks[life] = check
        return check

    async def _check(self, life: InstanceIncarnation, address: Address) -> None:
        outcome = ProbeOutcome.NO_ANSWER
        for _ in range(MOST_TRIES):
            if outcome is ProbeOutcome.NO_ANSWER:
                outcome = await try_address(address)
        del self._checks[life]
        contents = sorted(self._suspects.pop(life, ()))
        if outcome is not ProbeOutcome.REFUSED:
            return
        self.crashes += 1
        self._note_ended(life)
        # The holder would learn of it seconds later, when its entry lapses.
        self._tell_holder(StalledTarget(life.instance, self._node))
        _log.warning(
            "upstream-crashed",
            instance=life.instance,
            contents=",".join(contents),
        )
        if not contents:
            return
        self._tell_all(
            CrashReport(life.instance, life.started_at_ms, contents, self._node)
        )
        self._count(life, contents, seen_here=True)

    def _note_ended(self, life: InstanceIncarnation) -> None:
        """Send nothing to an upstream that has ended."""
        now = self._now()
        self._ended.setdefault(life, now)
        if len(self._ended) > MOST_ENDED:
            del self._ended[next(iter(self._ended))]
        state = self._index.find_state(life.instance)
        if state is not None and state.target.started_at_ms == life.started_at_ms:
            state.backoff_until = max(state.backoff_until, now + ENDED_REST_S)

    def _count(
        self,
        life: InstanceIncarnation,
        contents: Iterable[ContentId],
        *,
        seen_here: bool,
    ) -> None:
        now = self._now()
        for content in contents:
            verdict = self.quarantine.record_crash(content, life, now)
            if verdict is QuarantineStatus.QUARANTINED:
                self._records.add(content, found_here=seen_here)
                self._note_held(content)
            elif verdict is QuarantineStatus.CLEARED:
                self._clear([content])

    def _note_held(self, content: ContentId) -> None:
        _log.warning(
            "content-held",
            content=content,
            crashed=",".join(self.quarantine.list_crashed_instances(content)),
        )
        self._moves.withdraw(content)

    def _clear(self, contents: list[ContentId]) -> None:
        """Have all forget crashes that were not these contents' fault."""
        _log.info("contents-cleared", contents=",".join(contents))
        self._records.remove(contents)
        self._tell_all(ClearedContents(contents, self._node))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
