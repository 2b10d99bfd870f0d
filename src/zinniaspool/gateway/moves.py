"""Interrupts attempts so that their requests go on at another target.

A request leaves its target if the target has stalled or was removed, if the
request's first event is overdue, or if one of its traits was quarantined.
"""

import asyncio
from enum import Enum
from math import inf

from zinniaspool.core.dispatch import (
    Progress,
    RunningAttempt,
    TargetPool,
    TargetState,
    would_be_on_time_elsewhere,
)
from zinniaspool.core.ids import TraitId
from zinniaspool.gateway.calls import GatewayCall
from zinniaspool.gateway.targets import TargetIndex

__all__ = ["RerouteCause", "RerouteCondition", "Rerouter"]

PREDICTION_TOLERANCE_S = 0.05
"""Time by which a stream that is rerouted to be on time may be predicted to be
late, in seconds. It is about the error of predicted first events: 99 of 100
came at most 38 or 51 ms late (docs/design/shifted-work.md). A stricter limit
would leave streams at lost heads that could be on time elsewhere."""


class RerouteCause(Enum):
    """Why a request leaves its target."""

    STALLED = "stalled"
    REFUSED = "connection-refused"
    PEER_REPORT = "peer-report"
    OVERDUE = "first-event-overdue"
    SLOW = "slow"
    INSTANCE_LOST = "instance-lost"
    GROUP_ENDED = "group-ended"
    PATH_CHANGED = "path-changed"
    QUARANTINED = "quarantined"


class RerouteCondition(Enum):
    """Which target a request is rerouted to.

    Attributes:
        ANY_TARGET: The best one, also if it is full.
        FREE_SLOT: One with a free slot. If all targets are full, the prompt of
            a rerouted request that waits would be read twice.
        ON_TIME: One with a free slot where a stream goes on within the pause
            that callers accept. Otherwise it is left where it is: its head may
            only be slow, and a stream has just one more attempt.
    """

    ANY_TARGET = "any-target"
    FREE_SLOT = "free-slot"
    ON_TIME = "on-time"


class Rerouter:
    """Tracks the current attempts by target, and interrupts them.

    Args:
        index: The targets.
    """

    def __init__(self, index: TargetIndex) -> None:
        self._index = index
        self._calls: dict[TargetState, set[GatewayCall]] = {}

    def begin_attempt(self, call: GatewayCall, state: TargetState) -> None:
        """Record that a request has an attempt at a target from now on."""
        self._calls.setdefault(state, set()).add(call)

    def end_attempt(self, call: GatewayCall, state: TargetState) -> None:
        """Record that this attempt has ended."""
        call.attempt_timeout = None
        calls = self._calls[state]
        calls.discard(call)
        if not calls:
            del self._calls[state]

    def reroute_from(
        self,
        state: TargetState,
        cause: RerouteCause,
        condition: RerouteCondition = RerouteCondition.ANY_TARGET,
    ) -> None:
        """Reroute the requests at a target to other targets.

        Args:
            state: The target.
            cause: Why they leave it.
            condition: Which targets they are rerouted to.
        """
        now = asyncio.get_running_loop().time()
        for call in list(self._calls.get(state, ())):
            self._reroute(call, state, now, cause, condition)

    def reroute_from_slow(
        self, state: TargetState, pool: TargetPool, now: float
    ) -> None:
        """Reroute the requests that are on time only away from a slow target.

        Args:
            state: The target.
            pool: The targets of its model.
            now: Seconds.
        """
        for call in list(self._calls.get(state, ())):
            if call.attempt_timeout is None or not self._may_reroute(call):
                continue
            other = self._choose_other(call, state, now)
            if other is None or not would_be_on_time_elsewhere(
                pool, _describe_attempt(call), state, other, now
            ):
                continue
            if call.attempts.reserve_retry():
                self._interrupt_attempt(call, now, RerouteCause.SLOW)

    def interrupt_trait(self, trait: TraitId) -> None:
        """Interrupt a trait's attempts that have had no event yet."""
        now = asyncio.get_running_loop().time()
        for calls in list(self._calls.values()):
            for call in list(calls):
                if trait in call.traits and not call.has_event:
                    self._interrupt_attempt(call, now, RerouteCause.QUARANTINED)

    def _interrupt_attempt(
        self, call: GatewayCall, now: float, cause: RerouteCause
    ) -> None:
        if call.attempt_timeout is None:
            return
        call.rerouted = True
        call.reroute_cause = cause.value
        call.attempt_timeout.reschedule(now)
        call.attempt_timeout = None

    def _reroute(
        self,
        call: GatewayCall,
        state: TargetState,
        now: float,
        cause: RerouteCause,
        condition: RerouteCondition,
    ) -> bool:
        """Interrupt an attempt if its request can go on at another target.

        Returns:
            Whether the attempt was interrupted.
        """
        if call.attempt_timeout is None or not self._may_reroute(call):
            return False
        other = self._choose_other(call, state, now)
        if other is None:
            return False
        if not self._fits(call, other, now, condition):
            return False
        call.suspected_domains.add(state.target.fabric_domain)
        self._interrupt_attempt(call, now, cause)
        return True

    def _fits(
        self,
        call: GatewayCall,
        other: TargetState,
        now: float,
        condition: RerouteCondition,
    ) -> bool:
        if condition is RerouteCondition.ANY_TARGET:
            return True
        if other.estimate_load(now) >= other.target.slots:
            return False
        within_s = call.compute_wanted_event_time(now)
        if condition is RerouteCondition.FREE_SLOT or within_s is None:
            return True
        if call.progress is Progress.NOTHING:
            return True
        pool = self._index.find_pool(call.service, call.terms.model)
        predicted_s = pool.predict_first_event(other, call.terms.prompt_tokens, now)
        return predicted_s <= within_s + PREDICTION_TOLERANCE_S

    def _choose_other(
        self, call: GatewayCall, state: TargetState, now: float
    ) -> TargetState | None:
        """Return the target that a request would be rerouted to, or None."""
        pool = self._index.find_pool(call.service, call.terms.model)
        return pool.choose(
            now,
            [*call.tried, state.target.instance],
            call.terms.prompt_tokens,
            call.compute_wanted_event_time(now),
            suspected_domains={*call.suspected_domains, state.target.fabric_domain},
        )

    def reroute_overdue(self, now: float) -> list[TargetState]:
        """Reroute requests whose first attempt has an overdue first event.

        A head may accept a request and never answer it while it serves others.
        The caller would otherwise wait until it gives up.

        Returns:
            The targets of such attempts that have no stream of this process
            either, so that they may have stalled for all requests.
        """
        suspects = []
        for state, calls in list(self._calls.items()):
            overdue = [call for call in calls if self._is_overdue(call, now)]
            if overdue and not state.streaming:
                suspects.append(state)
            for call in overdue:
                call.first_event_overdue = self._reroute(
                    call, state, now, RerouteCause.OVERDUE, RerouteCondition.FREE_SLOT
                )
        return suspects

    def find_next_overdue(self) -> float:
        """Return when the next first event is overdue, or infinity."""
        return min(
            (
                self._find_first_event_deadline(call)
                for calls in self._calls.values()
                for call in calls
                if self._may_be_overdue(call)
            ),
            default=inf,
        )

    def _is_overdue(self, call: GatewayCall, now: float) -> bool:
        return self._may_be_overdue(call) and now >= self._find_first_event_deadline(
            call
        )

    def _may_be_overdue(self, call: GatewayCall) -> bool:
        # A request that was admitted although it will be late waits behind the
        # others.
        if call.terms.model is None or call.late or call.has_event:
            return False
        return call.attempts.number == 1

    def _find_first_event_deadline(self, call: GatewayCall) -> float:
        pool = self._index.find_pool(call.service, call.terms.model)
        return call.sent_at + pool.first_event_timeout.compute_timeout(
            call.predicted_first_event_s
        )

    def _may_reroute(self, call: GatewayCall) -> bool:
        if not call.route.repeatable or call.progress is Progress.PARTIAL:
            return False
        return call.attempts.number < call.route.max_attempts


def _describe_attempt(call: GatewayCall) -> RunningAttempt:
    return RunningAttempt(
        call.terms.prompt_tokens,
        call.sent_at,
        call.received_at + call.route.objective_s,
        inf if call.route.max_pause_s is None else call.route.max_pause_s,
        call.last_event_at if call.has_event else None,
    )
