"""Follows which heads are slow, and reroutes requests that are late there."""

import asyncio
from collections.abc import Callable
from math import inf

import structlog

from zinniaspool.core.dispatch import TargetPool, TargetState
from zinniaspool.core.dispatch.speed import REPORTED_STEPS
from zinniaspool.core.fleet import InstanceId
from zinniaspool.core.ids import NodeId
from zinniaspool.core.messages.fleet import SlowTarget
from zinniaspool.gateway.moves import Rerouter
from zinniaspool.gateway.targets import TargetIndex

__all__ = ["SlowTargetWatcher"]

_log = structlog.get_logger(__name__)

CHECK_INTERVAL_S = 0.05
"""Pause between two checks, in seconds. A stream that has just had an event
has the most time to get its next one elsewhere."""

REPORT_INTERVAL_S = 1.0
"""Pause between two reports of one slow head to the holder, in seconds. The
holder may have changed, and the slow VM may report its slowness late."""


class SlowTargetWatcher:
    """Logs which heads are slow and reroutes requests from them.

    Args:
        node: This process's VM.
        index: The targets.
        rerouter: Interrupts attempts whose requests must leave a target.
        send_to_holder: Sends a message to the holder.
    """

    def __init__(
        self,
        node: NodeId,
        index: TargetIndex,
        rerouter: Rerouter,
        send_to_holder: Callable[[SlowTarget], None],
    ) -> None:
        self._node = node
        self._index = index
        self._send_to_holder = send_to_holder
        self._reported_at: dict[InstanceId, float] = {}
        self._rerouter = rerouter
        self._slow: set[TargetState] = set()

    async def run(self) -> None:
        """Check the targets until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._check(loop.time())

    def _check(self, now: float) -> None:
        slow = set()
        for pool in self._index.list_pools():
            for state in list(pool.busy):
                if state.target.draining and state.streaming:
                    self._rerouter.reroute_from_closed(state, now)
            for state in pool.slow.list_avoided():
                slow.add(state)
                if state not in self._slow:
                    _log_speed("target-slow", state, pool, now)
                if state.local_requests:
                    self._rerouter.reroute_from_slow(state, pool, now)
                    self._report(state, now)
        for state in self._slow - slow:
            if not state.removed:
                _log.info(
                    "target-recovered",
                    instance=state.target.instance,
                    group=state.target.group or "",
                    pace=round(state.pace, 2),
                )
        self._slow = slow

    def _report(self, state: TargetState, now: float) -> None:
        """Report a slow head to the holder, which queries the members."""
        instance = state.target.instance
        if now < self._reported_at.get(instance, -inf) + REPORT_INTERVAL_S:
            return
        self._reported_at = {
            other: at
            for other, at in self._reported_at.items()
            if now < at + REPORT_INTERVAL_S
        }
        self._reported_at[instance] = now
        self._send_to_holder(SlowTarget(instance, self._node, state.pace))


def _log_speed(event: str, state: TargetState, pool: TargetPool, now: float) -> None:
    """Log a head's pace and what it was derived from."""
    peers = state.speed.peers
    _log.warning(
        event,
        instance=state.target.instance,
        group=state.target.group or "",
        pace=round(state.pace, 2),
        own_pace=state.speed.reported / REPORTED_STEPS,
        peer_paces=",".join(f"{pace:g}" for pace in peers.measured),
        remembered=peers.remembered,
        own=state.local_requests,
        load=round(state.estimate_load(now), 1),
        gap_ms=int(pool.predict_gap(state, now) * 1000),
    )
