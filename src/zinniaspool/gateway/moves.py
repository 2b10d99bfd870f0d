"""Attempts that end so that their requests go on at another target."""

import asyncio
from math import inf

from zinniaspool.core.dispatch import Progress, TargetState
from zinniaspool.core.ids import ContentId
from zinniaspool.gateway.calls import GatewayCall
from zinniaspool.gateway.targets import TargetIndex

__all__ = ["Moves"]


class Moves:
    """Requests under way by target, and which of them must leave it.

    Args:
        index: The targets.
    """

    def __init__(self, index: TargetIndex) -> None:
        self._index = index
        self._running: dict[TargetState, set[GatewayCall]] = {}

    def begin(self, call: GatewayCall, state: TargetState) -> None:
        """Take that a request has an attempt at a target."""
        self._running.setdefault(state, set()).add(call)

    def end(self, call: GatewayCall, state: TargetState) -> None:
        """Take that this attempt has ended."""
        call.patience = None
        running = self._running[state]
        running.discard(call)
        if not running:
            del self._running[state]

    def move_from(self, state: TargetState, *, only_to_room: bool = False) -> None:
        """End the attempts at a target, so that they go on elsewhere.

        Args:
            state: The target.
            only_to_room: Whether they go only where a slot is free: where all
                targets are full, a request that waits is read there twice.
        """
        now = asyncio.get_running_loop().time()
        for call in list(self._running.get(state, ())):
            self._move(call, state, now, only_to_room=only_to_room)

    def withdraw(self, content: ContentId) -> None:
        """End the attempts of a content that have had no event yet."""
        now = asyncio.get_running_loop().time()
        for calls in list(self._running.values()):
            for call in list(calls):
                if call.content == content and not call.seen_event:
                    self._end_attempt(call, now)

    def _end_attempt(self, call: GatewayCall, now: float) -> None:
        if call.patience is None:
            return
        call.moved = True
        call.patience.reschedule(now)
        call.patience = None

    def _move(
        self, call: GatewayCall, state: TargetState, now: float, *, only_to_room: bool
    ) -> bool:
        """End an attempt so that it goes on elsewhere; False if it may not."""
        if call.patience is None or not self._may_move(call):
            return False
        other = self._choose_other(call, state, now)
        if other is None:
            return False
        if only_to_room and other.estimate_load(now) >= other.target.slots:
            return False
        call.doubted.add(state.target.fabric_domain)
        self._end_attempt(call, now)
        return True

    def _choose_other(
        self, call: GatewayCall, state: TargetState, now: float
    ) -> TargetState | None:
        """Return where a request would go on that is moved now, or None."""
        pool = self._index.find(call.service, call.terms.model)
        return pool.choose(
            now,
            [*call.tried, state.target.instance],
            call.terms.prompt_tokens,
            suspected_domains={*call.doubted, state.target.fabric_domain},
        )

    def move_overdue(self, now: float) -> list[TargetState]:
        """End first attempts whose first event is overdue.

        A head may take a request and never answer it while it goes on with
        others. The caller would wait until it leaves.

        Returns:
            The targets of such attempts that write nothing for this process
            either, so that they may stand still altogether.
        """
        owing = []
        for state, calls in list(self._running.items()):
            overdue = [call for call in calls if self._is_overdue(call, now)]
            if overdue and not state.streaming:
                owing.append(state)
            for call in overdue:
                call.overdue = self._move(call, state, now, only_to_room=True)
        return owing

    def find_next_overdue(self) -> float:
        """Return when a first event is overdue next; infinite for never."""
        return min(
            (
                self._find_due(call)
                for calls in self._running.values()
                for call in calls
                if self._may_be_overdue(call)
            ),
            default=inf,
        )

    def _is_overdue(self, call: GatewayCall, now: float) -> bool:
        return self._may_be_overdue(call) and now >= self._find_due(call)

    def _may_be_overdue(self, call: GatewayCall) -> bool:
        # One that was taken though it will be late waits behind the others.
        if call.terms.model is None or call.late or call.seen_event:
            return False
        return call.attempts.number == 1

    def _find_due(self, call: GatewayCall) -> float:
        pool = self._index.find(call.service, call.terms.model)
        return call.sent_at + pool.first_event_timeout.compute_timeout(call.predicted_s)

    def _may_move(self, call: GatewayCall) -> bool:
        if not call.route.repeatable or call.progress is Progress.PARTIAL:
            return False
        return call.attempts.number < call.route.max_attempts
