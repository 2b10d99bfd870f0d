"""Avoids slow targets, and probes whether they have recovered."""

import random
from collections.abc import Iterable

from zinniaspool.core.dispatch.speed import UNNOTICED_PACE
from zinniaspool.core.dispatch.targets import TargetState

__all__ = ["SlowTargets"]

MIN_FAST_PART = 0.5
"""Part of the usable targets that must not be slow, so that the slow ones are
avoided."""

USUAL_PACE_MEMORY_S = 10.0
"""Time for which a measured pace counts in the usual pace of the targets, in
seconds. A process with few requests measures a few targets in it."""

PROBE_INTERVAL_S = 1.0
PROBE_SPREAD = 1.5
"""Shortest time between requests at a slow target before it gets a probing
request, in seconds, and the longest as a multiple. The processes that share
the target see each other's requests within 0.1 s, so that about one request a
second from all of them together shows whether it has recovered."""


class SlowTargets:
    """Compares the paces of a pool's targets.

    Args:
        random_source: Spreads the probing requests of different processes.
    """

    def __init__(self, random_source: random.Random) -> None:
        self._random_source = random_source
        self._slowed: set[TargetState] = set()
        self._measured: set[TargetState] = set()
        self._usual_pace = 1.0

    def record(self, state: TargetState, now: float) -> None:
        """Take into account what has become known of a target's pace.

        A removed target may still stream, and is forgotten already.
        """
        if state.removed:
            return
        state.speed.update(now)
        self._measured.add(state)
        if state.speed.absolute_pace >= UNNOTICED_PACE:
            self._update_usual_pace(now)
        self._compare(state, now)

    def forget(self, state: TargetState) -> None:
        """Forget a target that has been removed."""
        self._slowed.discard(state)
        self._measured.discard(state)

    def update(self, busy: Iterable[TargetState], now: float) -> None:
        """Let the paces decay that are no longer measured.

        Args:
            busy: Targets at which this process has requests.
            now: Seconds.
        """
        self._update_usual_pace(now)
        for state in {*busy, *self._slowed}:
            if state.removed:
                continue
            state.speed.update(now)
            self._compare(state, now)
            if not state.speed.is_slow:
                continue
            if state.local_requests or state.peer_load.requests:
                spread = self._random_source.uniform(1.0, PROBE_SPREAD)
                state.speed.probe_at = now + PROBE_INTERVAL_S * spread

    def _compare(self, state: TargetState, now: float) -> None:
        was_slow = state.speed.is_slow
        state.speed.compare(self._usual_pace, now)
        if was_slow and not state.speed.is_slow:
            state.ramps_from = now
        known_pace = max(state.speed.absolute_pace, state.speed.peers.remembered)
        if known_pace >= UNNOTICED_PACE:
            self._slowed.add(state)
        else:
            self._slowed.discard(state)

    def _update_usual_pace(self, now: float) -> None:
        """Update the pace of the fastest quarter of the targets."""
        oldest = now - USUAL_PACE_MEMORY_S
        self._measured = {
            state for state in self._measured if state.speed.measured_at >= oldest
        }
        paces = sorted(state.speed.measured_pace for state in self._measured)
        self._usual_pace = 1.0
        if paces and paces[len(paces) // 4] >= UNNOTICED_PACE:
            self._usual_pace = paces[len(paces) // 4]

    def list_avoided(self) -> list[TargetState]:
        """Return the targets that get only probing requests."""
        return [state for state in self._slowed if state.speed.is_slow]

    def list_reported(self, busy: Iterable[TargetState]) -> list[TargetState]:
        """Return the targets of which other processes must know something."""
        remembered = (state for state in self._slowed if state.speed.reported)
        return [state for state in {*busy, *remembered} if not state.removed]

    def filter_usable(self, usable: list[TargetState]) -> list[TargetState]:
        """Return the usable targets without the slow ones.

        Where most of them seem slow, the engines are slower than configured or
        this process is delayed. Then all of them are returned, and their paces
        only decide between them.
        """
        if not self._slowed:
            return usable
        fast = [state for state in usable if not state.speed.is_slow]
        return fast if len(fast) >= MIN_FAST_PART * len(usable) else usable

    def find_probe(self, now: float) -> TargetState | None:
        """Return a slow target that needs a probing request, or None."""
        for state in self._slowed:
            speed = state.speed
            if not (speed.is_slow and state.in_subset and state.is_usable(now)):
                continue
            if state.local_requests or state.peer_load.requests:
                continue
            if now >= speed.probe_at:
                return state
        return None
