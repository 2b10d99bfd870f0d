"""Detects heads that have stalled, and reports them.

The requests at a stalled head are rerouted. The holder of the plans can check
the group's VMs, and the processes that share the head avoid it.
"""

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
from zinniaspool.gateway.moves import Rerouter
from zinniaspool.gateway.targets import TargetIndex

__all__ = ["StallDetector"]

_log = structlog.get_logger(__name__)

MIN_CHECK_INTERVAL_S = 0.02
"""Shortest time between two checks for stalled targets, in seconds: a small
part of the pause that a stream may have."""

MAX_CHECK_INTERVAL_S = 0.1
"""Longest time between two checks, in seconds. A request that was sent after a
check may be overdue before all requests that the check knew."""


class StallDetector:
    """Detects stalled targets and reroutes the requests there.

    Args:
        node: This process's VM.
        index: The targets.
        rerouter: Interrupts attempts whose requests must leave a target.
        send_to_holder: Sends a message to the holder.
        send_to_peers: Sends a message to the processes that share targets with
            this one.
    """

    def __init__(
        self,
        node: NodeId,
        index: TargetIndex,
        rerouter: Rerouter,
        send_to_holder: Callable[[StalledTarget], None],
        send_to_peers: Callable[[StalledTarget], None],
    ) -> None:
        self._node = node
        self._index = index
        self._rerouter = rerouter
        self._send_to_holder = send_to_holder
        self._send_to_peers = send_to_peers
        self._limits = StallLimits()

    async def run(self) -> None:
        """Check for stalled targets until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            now = loop.time()
            due = max(now + MIN_CHECK_INTERVAL_S, self._find_next_check(now))
            await asyncio.sleep(due - now)
            # The check runs as of the time at which it was due. If it is late,
            # this process was delayed, and events may lie unread.
            self._check(due)

    def _find_next_check(self, now: float) -> float:
        """Return when a target may next be stalled or overdue, in seconds."""
        return min(
            now + MAX_CHECK_INTERVAL_S,
            self._rerouter.find_next_overdue(),
            *(
                find_next_stall(pool, self._limits, now)
                for pool in self._index.list_pools()
            ),
        )

    def _check(self, now: float) -> None:
        for pool in self._index.list_pools():
            for state in find_stalled(pool, self._limits, now):
                self._handle_stall(state, now)
        for state in self._rerouter.reroute_overdue(now):
            if suspect(state, self._limits, now):
                self._report_stall(state, now)

    def _handle_stall(self, state: TargetState, now: float) -> None:
        if now >= state.backoff_until:
            back_off(state, self._limits, now)
            self._report_stall(state, now)
        # Without a stream, the requests there may just wait for the prompts of
        # others. If all targets are full, rerouting them would only have their
        # prompts read twice.
        self._rerouter.reroute_from(state, only_to_free_slot=not state.streaming)

    def handle_peer_report(self, report: StalledTarget) -> None:
        """Handle a report that another process found a target stalled."""
        now = asyncio.get_running_loop().time()
        state = self._index.find_state(report.instance)
        if state is None or not suspect(state, self._limits, now):
            return
        _log.info(
            "target-told-silent",
            instance=report.instance,
            told_by=report.node,
            own=state.local_requests,
        )
        self._rerouter.reroute_from(state, only_to_free_slot=True)

    def _report_stall(self, state: TargetState, now: float) -> None:
        """Report a stalled head to the holder and to peers.

        The holder can query the group's VMs. Peers that have only waiting
        requests at the target would send more requests there: only streams
        show a stall at once.
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
        report = StalledTarget(state.target.instance, self._node)
        self._send_to_holder(report)
        if state.streaming and self._has_other_active_stream(state, now):
            self._send_to_peers(report)

    def _has_other_active_stream(self, stalled: TargetState, now: float) -> bool:
        """Tell whether streams of other targets have recent events.

        A process that receives events from no target is most likely cut off
        itself, and its reports would make its peers avoid all targets.
        """
        return any(
            now - state.last_event_at < self._limits.streaming_s
            for state in self._index.list_busy_states()
            if state is not stalled and state.streaming
        )
