"""Looks for heads that say nothing any more, and tells of them."""

import asyncio
from collections.abc import Callable

import structlog

from zinniaspool.core.dispatch import (
    StallLimits,
    TargetState,
    back_off,
    find_next_stall,
    find_stalled,
    suspect,
)
from zinniaspool.core.ids import NodeId
from zinniaspool.core.messages.fleet import StalledTarget
from zinniaspool.gateway.moves import Moves
from zinniaspool.gateway.targets import TargetIndex

__all__ = ["SilenceWatch"]

_log = structlog.get_logger(__name__)

LEAST_PAUSE_S = 0.02
"""Least time between looks for silent targets, in seconds: a small part of
what a stream may pause."""

MOST_PAUSE_S = 0.1
"""Most time between looks, in seconds: what was sent after one may be overdue
before all that was there then."""


class SilenceWatch:
    """Notices targets that stand still, and lets requests leave them.

    Args:
        node: This process's VM.
        index: The targets.
        moves: Ends attempts that are to go on elsewhere.
        tell_holder: Sends a note to the holder.
        tell_peers: Sends one to those that share targets with this process.
    """

    def __init__(
        self,
        node: NodeId,
        index: TargetIndex,
        moves: Moves,
        tell_holder: Callable[[StalledTarget], None],
        tell_peers: Callable[[StalledTarget], None],
    ) -> None:
        self._node = node
        self._index = index
        self._moves = moves
        self._tell_holder = tell_holder
        self._tell_peers = tell_peers
        self._limits = StallLimits()

    async def run(self) -> None:
        """Look for silent targets until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            now = loop.time()
            due = max(now + LEAST_PAUSE_S, self._find_due(now))
            await asyncio.sleep(due - now)
            # By how much this look is late counts for no silence: the process
            # was held up itself, and events may lie unread.
            self._look(due)

    def _find_due(self, now: float) -> float:
        """Return when anything may be silent or overdue next, in seconds."""
        return min(
            now + MOST_PAUSE_S,
            self._moves.find_next_overdue(),
            *(
                find_next_stall(pool, self._limits, now)
                for pool in self._index.list_pools()
            ),
        )

    def _look(self, now: float) -> None:
        for pool in self._index.list_pools():
            for state in find_stalled(pool, self._limits, now):
                self._take_silent(state, now)
        for state in self._moves.move_overdue(now):
            if suspect(state, self._limits, now):
                self._note_silent(state, now)

    def _take_silent(self, state: TargetState, now: float) -> None:
        if now >= state.backoff_until:
            back_off(state, self._limits, now)
            self._note_silent(state, now)
        # Where requests only wait, others' prompts may be what they wait for:
        # where all targets are full, they would be read twice for nothing.
        self._moves.move_from(state, only_to_room=not state.streaming)

    def hear(self, note: StalledTarget) -> None:
        """Take that another process found a target silent."""
        now = asyncio.get_running_loop().time()
        state = self._index.find_state(note.instance)
        if state is None or not suspect(state, self._limits, now):
            return
        _log.info(
            "target-told-silent",
            instance=note.instance,
            told_by=note.node,
            own=state.local_requests,
        )
        self._moves.move_from(state, only_to_room=True)

    def _note_silent(self, state: TargetState, now: float) -> None:
        """Tell of a silent head those who can do something about it.

        The holder can ask the group's VMs. Those that share the target have
        requests that only wait there, and would send more: streams alone show
        at once that it stands still.
        """
        _log.warning(
            "target-silent",
            instance=state.target.instance,
            group=state.target.group or "",
            own=state.local_requests,
            writing=state.streaming,
            quiet_ms=int((now - state.last_event_at) * 1000),
        )
        if state.target.group is None:
            return
        note = StalledTarget(state.target.instance, self._node)
        self._tell_holder(note)
        if state.streaming and self._hears_others(state, now):
            self._tell_peers(note)

    def _hears_others(self, silent: TargetState, now: float) -> bool:
        """Tell whether anything comes from other targets.

        A process that hears from none is most likely cut off itself, and
        would have its peers leave all targets alone.
        """
        return any(
            now - state.last_event_at < self._limits.streaming_s
            for state in self._index.list_busy()
            if state is not silent and state.streaming
        )
