"""Begins attempts at other targets for requests whose target may have failed.

That is so if the target has stalled or was removed, if the request's first
event is overdue, or if the target is too slow. The attempt at the first target
goes on until another one has the next event. A stream that won't end in time
there waits for that event, as its target may have the next one itself. So does
a stream at a closed head that has been slow for several events.
"""

import asyncio
from enum import Enum
from math import inf
from typing import Protocol

import structlog

from zinniaspool.core.dispatch import (
    Progress,
    RunningAttempt,
    TargetPool,
    TargetState,
    would_be_on_time_elsewhere,
)
from zinniaspool.core.dispatch.speed import SLOW_PACE
from zinniaspool.core.ids import TraitId
from zinniaspool.gateway.calls import GatewayAttempt, GatewayCall, RerouteCause
from zinniaspool.gateway.targets import TargetIndex

__all__ = ["AttemptStarter", "RerouteCondition", "Rerouter"]

_log = structlog.get_logger(__name__)

PREDICTION_TOLERANCE_S = 0.05
"""Time by which a stream that is rerouted to be on time may be predicted to be
late, in seconds. It is about the error of predicted first events: 99 of 100
came at most 38 or 51 ms late (docs/design/shifted-work.md). A stricter limit
would leave streams at lost heads that could be on time elsewhere."""

RETRY_INTERVAL_S = 0.1
"""Pause before a late idempotent request is tried elsewhere again, in
seconds."""

LATE_WAIT_PART = 1 / 3
"""Part of its time that a request which was admitted late waits for its first
event at one target."""

FIRST_EVENT_FACTOR = 2.0
MIN_HOLD_S, MAX_HOLD_S = 0.2, 1.0
"""How long a stream's events are kept back for another target's: a multiple of
the predicted first event, within these bounds in seconds. Callers leave
a stream after a pause of two seconds."""

CAUGHT_UP_GAPS = 2
"""Gaps of a slow head within which a stream's next event must come elsewhere.
The stream is late by about one gap once, where it would be with each event."""


class RerouteCondition(Enum):
    """Which target a request is rerouted to.

    Attributes:
        ANY_TARGET: The best one, also if it is full.
        FREE_SLOT: One with a free slot. If all targets are full, the prompt of
            a rerouted request that waits would be read twice.
        ON_TIME: One with a free slot where a stream goes on within the pause
            that callers accept. Otherwise it is left where it is: its head may
            only be slow, and a stream has just one more attempt. One that the
            end of the process may cut, or that has had an attempt in vain,
            keeps the last one in any case.
    """

    ANY_TARGET = "any-target"
    FREE_SLOT = "free-slot"
    ON_TIME = "on-time"


class AttemptStarter(Protocol):
    """Begins attempts beside those that requests have."""

    def begin_alternative(self, call: GatewayCall, state: TargetState) -> bool:
        """Begin an attempt at another target.

        Returns:
            Whether it was begun; False if the request may not be sent again.
        """
        ...


class Rerouter:
    """Tracks attempts by target, and has requests sent elsewhere.

    Args:
        index: The targets.

    Attributes:
        starter: Begins the attempts at other targets.
    """

    starter: AttemptStarter

    def __init__(self, index: TargetIndex) -> None:
        self._index = index
        self._attempts: dict[TargetState, set[GatewayAttempt]] = {}

    def begin_attempt(self, attempt: GatewayAttempt) -> None:
        """Record that an attempt runs at its target from now on."""
        self._attempts.setdefault(attempt.state, set()).add(attempt)

    def end_attempt(self, attempt: GatewayAttempt) -> None:
        """Record that an attempt has ended."""
        attempt.timeout = None
        attempts = self._attempts[attempt.state]
        attempts.discard(attempt)
        if not attempts:
            del self._attempts[attempt.state]

    def reroute_from(
        self,
        state: TargetState,
        cause: RerouteCause,
        condition: RerouteCondition = RerouteCondition.ANY_TARGET,
    ) -> None:
        """Have the requests at a target sent to other targets too.

        Args:
            state: The target.
            cause: Why they should leave it.
            condition: Which targets they are sent to.
        """
        now = asyncio.get_running_loop().time()
        for attempt in self._list_attempts(state):
            self._reroute(attempt, now, cause, condition)

    def reroute_waiting_from(self, state: TargetState, cause: RerouteCause) -> None:
        """Do the same for those requests that have had no event there.

        Args:
            state: The target.
            cause: Why they should leave it.
        """
        now = asyncio.get_running_loop().time()
        for attempt in self._list_attempts(state):
            if not attempt.has_event:
                self._reroute(attempt, now, cause, RerouteCondition.ANY_TARGET)

    def reroute_from_slow(
        self, state: TargetState, pool: TargetPool, now: float
    ) -> None:
        """Reroute the requests that are on time only away from a slow target.

        Args:
            state: The target.
            pool: The targets of its model.
            now: Seconds.
        """
        for attempt in self._list_attempts(state):
            if not self._may_reroute(attempt):
                continue
            other = self._choose_other(attempt, now)
            if other is not None and would_be_on_time_elsewhere(
                pool, _describe_attempt(attempt), state, other, now
            ):
                self._begin_alternative(attempt, other, RerouteCause.SLOW, now)

    def reroute_from_closed(
        self, attempt: GatewayAttempt, usual_id_s: float, now: float
    ) -> None:
        """Reroute a stream at a closed head if it is slow by its events.

        A slow group is closed to be formed anew, which waits for its streams.

        Args:
            attempt: The stream's attempt; its head takes no new requests.
            usual_id_s: Usual time from one event to the next elsewhere, in
                seconds.
            now: Seconds.
        """
        if not self._may_reroute(attempt, may_repeat=True):
            return
        other = self._choose_other(attempt, now)
        if other is None:
            return
        caught_up_at = self._find_catch_up(attempt, other, usual_id_s, now)
        if caught_up_at is not None and self._begin_alternative(
            attempt, other, RerouteCause.SLOW, now
        ):
            # The head's next event would end the attempt elsewhere.
            call = attempt.call
            held_until = min(now + MAX_HOLD_S, caught_up_at)
            call.holds_until = max(call.holds_until, held_until)

    def reroute_behind(
        self, attempt: GatewayAttempt, other: TargetState, now: float
    ) -> bool:
        """Reroute a stream that won't end in time to a target where it will.

        Args:
            attempt: The stream's attempt.
            other: The target.
            now: Seconds.

        Returns:
            Whether an attempt was begun there.
        """
        return self._may_reroute(attempt, may_repeat=True) and self._begin_alternative(
            attempt, other, RerouteCause.BEHIND, now
        )

    def reroute_late(self, attempt: GatewayAttempt) -> None:
        """Have an idempotent request sent elsewhere too: its answer is late.

        It is tried again until the attempt ends: another attempt may not be
        possible now, or may be refused.
        """
        if attempt.timeout is None:
            return
        loop = asyncio.get_running_loop()
        if self._reroute(
            attempt, loop.time(), RerouteCause.OVERDUE, RerouteCondition.ANY_TARGET
        ):
            attempt.first_event_overdue = True
        loop.call_later(RETRY_INTERVAL_S, self.reroute_late, attempt)

    def interrupt_trait(self, trait: TraitId) -> None:
        """Interrupt a trait's attempts that have had no event yet."""
        now = asyncio.get_running_loop().time()
        for state in list(self._attempts):
            for attempt in self._list_attempts(state):
                if trait in attempt.call.traits and not attempt.has_event:
                    attempt.reroute_cause = RerouteCause.QUARANTINED
                    attempt.interrupt(now)

    def has_older_attempt(self, state: TargetState, sent_before: float) -> bool:
        """Return whether an attempt at a target was sent before a time."""
        return any(one.sent_at < sent_before for one in self._list_attempts(state))

    def _list_attempts(self, state: TargetState) -> list[GatewayAttempt]:
        return list(self._attempts.get(state, ()))

    def _reroute(
        self,
        attempt: GatewayAttempt,
        now: float,
        cause: RerouteCause,
        condition: RerouteCondition,
    ) -> bool:
        """Begin an attempt elsewhere if a request can go on there.

        Returns:
            Whether an attempt was begun.
        """
        # A target that the request left takes it again if it is needed.
        may_repeat = condition is RerouteCondition.ANY_TARGET
        if not self._may_reroute(attempt, may_repeat=may_repeat):
            return False
        other = self._choose_other(attempt, now)
        if other is None:
            return False
        fits = self._fits(attempt.call, other, now, condition)
        if condition is RerouteCondition.ON_TIME:
            self._log_silent(attempt, other, now, is_rerouted=fits)
        return fits and self._begin_alternative(attempt, other, cause, now)

    def _begin_alternative(
        self,
        attempt: GatewayAttempt,
        other: TargetState,
        cause: RerouteCause,
        now: float,
    ) -> bool:
        if not self.starter.begin_alternative(attempt.call, other):
            return False
        call = attempt.call
        is_needed = cause is RerouteCause.BEHIND or call.deadline_after_stop
        if is_needed and call.progress is Progress.RESUMABLE:
            self._hold_events(call, other, now)
        attempt.reroute_cause = cause
        if cause is RerouteCause.BEHIND and call.newest_attempt is not None:
            call.newest_attempt.moved_from = attempt
        call.suspected_domains.add(attempt.state.target.fabric_domain)
        return True

    def _find_catch_up(
        self,
        attempt: GatewayAttempt,
        other: TargetState,
        usual_id_s: float,
        now: float,
    ) -> float | None:
        """Return until when a stream must go on elsewhere to gain by it.

        Both its recent events and those of a longer time must show that it is
        slow where it is: a few late ones don't.

        Args:
            attempt: The stream's attempt.
            other: The target that it would go to.
            usual_id_s: Usual time from one event to the next elsewhere, in
                seconds.
            now: Seconds.

        Returns:
            Seconds; None if it should stay.
        """
        call = attempt.call
        if call.progress is not Progress.RESUMABLE or _keeps_last_attempt(call):
            return None
        here_s, least_s = attempt.pace.estimate(), attempt.pace.estimate_shortest()
        if here_s is None or least_s is None or least_s < SLOW_PACE * usual_id_s:
            return None
        pool = self._index.find_pool(call.service, call.terms.model)
        first_s = pool.predict_first_event(other, call.terms.prompt_tokens, now)
        caught_up_at = call.last_event_at + CAUGHT_UP_GAPS * here_s
        if now + first_s > caught_up_at:
            return None
        fits = self._fits(call, other, now, RerouteCondition.FREE_SLOT)
        return caught_up_at if fits else None

    def _log_silent(
        self,
        attempt: GatewayAttempt,
        other: TargetState,
        now: float,
        *,
        is_rerouted: bool,
    ) -> None:
        """Log once whether a stream at a silent head goes on elsewhere."""
        outcome = "rerouted" if is_rerouted else "stays"
        if outcome in attempt.silent_outcomes:
            return
        attempt.silent_outcomes.add(outcome)
        call = attempt.call
        pool = self._index.find_pool(call.service, call.terms.model)
        first_s = pool.predict_first_event(other, call.terms.prompt_tokens, now)
        within_s = call.compute_wanted_event_time(now)
        _log.info(
            "stream-silent",
            request=call.terms.id,
            instance=attempt.state.target.instance,
            to=other.target.instance,
            outcome=outcome,
            quiet_ms=int((now - call.last_event_at) * 1000),
            first_ms=int(first_s * 1000),
            within_ms=-1 if within_s is None else int(within_s * 1000),
            id_ms=int((attempt.pace.estimate() or 0.0) * 1000),
        )

    def _hold_events(self, call: GatewayCall, other: TargetState, now: float) -> None:
        """Have a request go on at another target once it has an event there.

        Its attempts are few, and a slow target may have the next event first.
        """
        pool = self._index.find_pool(call.service, call.terms.model)
        first_s = pool.predict_first_event(other, call.terms.prompt_tokens, now)
        hold_s = max(MIN_HOLD_S, FIRST_EVENT_FACTOR * first_s)
        call.holds_until = now + min(MAX_HOLD_S, hold_s)

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
        if condition is RerouteCondition.FREE_SLOT:
            return True
        if _keeps_last_attempt(call):
            return False
        if within_s is None:
            return True
        if call.progress is Progress.NOTHING:
            return True
        pool = self._index.find_pool(call.service, call.terms.model)
        predicted_s = pool.predict_first_event(other, call.terms.prompt_tokens, now)
        return predicted_s <= within_s + PREDICTION_TOLERANCE_S

    def _choose_other(self, attempt: GatewayAttempt, now: float) -> TargetState | None:
        """Return the target that a request would be sent to, or None."""
        call = attempt.call
        pool = self._index.find_pool(call.service, call.terms.model)
        return pool.choose_alternative(
            now,
            call.list_excluded(pool),
            call.terms.prompt_tokens,
            call.compute_wanted_event_time(now),
            {*call.suspected_domains, attempt.state.target.fabric_domain},
            avoided=call.list_avoided(now),
        )

    def reroute_overdue(
        self, now: float, suspected_since: float = -inf
    ) -> list[TargetState]:
        """Reroute requests whose newest attempt has an overdue first event.

        A head may accept a request and never answer it while it serves others.
        The caller would otherwise wait until it gives up.

        Args:
            now: Seconds.
            suspected_since: Time before which attempts were sent that don't
                make their targets suspected, in seconds.

        Returns:
            The targets of such attempts that have no stream of this process
            either, so that they may have stalled for all requests.
        """
        suspects = []
        for state, attempts in list(self._attempts.items()):
            overdue = [one for one in attempts if self._is_overdue(one, now)]
            is_suspected = any(
                one.sent_at >= suspected_since and not one.call.late for one in overdue
            )
            if is_suspected and not state.streaming:
                suspects.append(state)
            for attempt in overdue:
                if self._reroute(
                    attempt, now, RerouteCause.OVERDUE, RerouteCondition.FREE_SLOT
                ):
                    attempt.first_event_overdue = True
        return suspects

    def find_next_overdue(self) -> float:
        """Return when the next first event is overdue, or infinity."""
        return min(
            (
                self._find_first_event_deadline(attempt)
                for attempts in self._attempts.values()
                for attempt in attempts
                if self._may_be_overdue(attempt)
            ),
            default=inf,
        )

    def _is_overdue(self, attempt: GatewayAttempt, now: float) -> bool:
        if not self._may_be_overdue(attempt):
            return False
        return now >= self._find_first_event_deadline(attempt)

    def _may_be_overdue(self, attempt: GatewayAttempt) -> bool:
        call = attempt.call
        if call.terms.model is None or attempt.has_event:
            return False
        return attempt is call.newest_attempt and self._may_begin_another(call)

    def _may_reroute(
        self, attempt: GatewayAttempt, *, may_repeat: bool = False
    ) -> bool:
        """Return whether another attempt may be begun beside one.

        Only the newest attempt of a request is looked at: while it is not
        suspected, the request needs no further one.

        Args:
            attempt: The attempt.
            may_repeat: Whether a target that the request left may take it
                again.
        """
        call = attempt.call
        if attempt.superseded or attempt is not call.newest_attempt:
            return False
        if not call.route.repeatable or call.progress is Progress.PARTIAL:
            return False
        return self._may_begin_another(call) or (may_repeat and call.may_repeat)

    def _may_begin_another(self, call: GatewayCall) -> bool:
        """Return whether a request may be sent to one more target."""
        call.leave_out_ended(self._index.has_ended)
        return call.attempts.may_begin_alternative

    def _find_first_event_deadline(self, attempt: GatewayAttempt) -> float:
        call = attempt.call
        pool = self._index.find_pool(call.service, call.terms.model)
        timeout_s = pool.first_event_timeout.compute_timeout(
            attempt.predicted_first_event_s
        )
        if call.late:
            # It waits behind the others at its target.
            left_s = call.deadline - attempt.sent_at
            timeout_s = max(timeout_s, LATE_WAIT_PART * left_s)
        return attempt.sent_at + timeout_s


def _keeps_last_attempt(call: GatewayCall) -> bool:
    """Return whether a request has one attempt left that it may need later."""
    was_in_vain = call.attempts.uncounted > 0
    is_last = call.attempts.is_next_last
    return is_last and (call.deadline_after_stop or was_in_vain)


def _describe_attempt(attempt: GatewayAttempt) -> RunningAttempt:
    call = attempt.call
    has_begun = attempt.has_event and call.progress is not Progress.NOTHING
    return RunningAttempt(
        call.terms.prompt_tokens,
        attempt.sent_at,
        call.received_at + call.route.objective_s,
        inf if call.route.max_pause_s is None else call.route.max_pause_s,
        call.last_event_at if has_begun else None,
    )
