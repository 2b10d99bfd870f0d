"""Has streams in progress end in time, although their targets become slower.

The end of each stream is predicted from the pace of its own events. If it lies
beyond its time, the stream goes on at a target where it ends sooner.
"""

import asyncio
import math
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum
from statistics import median

import structlog

from zinniaspool.core.dispatch import (
    PaceSpread,
    RunningStream,
    TargetPool,
    TargetState,
    UsualStream,
    is_sooner,
    predict_end,
)
from zinniaspool.core.dispatch.speed import SLOW_PACE
from zinniaspool.core.fleet import RequestKind
from zinniaspool.core.ids import ModelName, ServiceName
from zinniaspool.gateway.calls import GatewayAttempt, GatewayCall
from zinniaspool.gateway.moves import Rerouter
from zinniaspool.gateway.stops import END_RESERVE_S, PACE_INTERVAL_S, StopGuard
from zinniaspool.gateway.targets import TargetIndex

__all__ = ["StreamEndWatcher"]

_log = structlog.get_logger(__name__)

CHECK_INTERVAL_S = 0.05
"""Pause between two checks, in seconds: about two events of a stream."""

WATCHED_PART = 0.5
"""Part of a stream's time after which it is watched. Few streams take so long.
In a process that stops it is watched from its first event on."""


@dataclass(frozen=True, slots=True)
class _Watched:
    """A stream in progress, and what is known of its kind.

    Attributes:
        attempt: Its attempt.
        pool: The targets of its model.
        usual: Recent streams of its kind.
        id_tokens: Tokens that an id of its events has.
        stream: What is left of it, if it is as long as it may be.
        shown: What streams in progress show of each target.
        spread: What streams of its model have shown lately.
        usual_token_s: Usual time of a token, in seconds; 0 if unknown.
    """

    attempt: GatewayAttempt
    pool: TargetPool
    usual: UsualStream
    id_tokens: float
    stream: RunningStream
    shown: "_ShownPaces"
    spread: PaceSpread
    usual_token_s: float

    @property
    def usual_ids_left(self) -> float:
        """By how much its ids still rise if it is as long as usual.

        One that is longer already may be as long as it may be.
        """
        ratio = self.usual.usual_part / self.usual.longest_part
        last_id = self.attempt.cursor.last_id or 0
        usual_left = (self.stream.ids_left + last_id) * ratio - last_id
        return usual_left if usual_left >= 1.0 else self.stream.ids_left

    def predict_end_here(self, ids_left: float, now: float) -> float:
        """Return when it will end where it is, in seconds.

        A few events don't show that a target is slower than others. Unless it
        is much slower, its pace counts half, and the usual one as much.
        """
        stream = replace(self.stream, ids_left=ids_left)
        usual_s = self.usual_token_s * self.id_tokens
        if usual_s < stream.id_s <= SLOW_PACE * usual_s:
            stream = replace(stream, id_s=(stream.id_s + usual_s) / 2)
        return predict_end(stream, now)

    def predict_end_elsewhere(
        self, state: TargetState, ids_left: float, now: float
    ) -> float:
        """Return when it would end at another target, in seconds.

        It is expected to be as slow there as streams in progress are, and not
        faster than usual. Events that are kept back are written again.
        """
        call, attempt = self.attempt.call, self.attempt
        written = int((call.last_event_id or 0) * self.id_tokens)
        prompt = call.terms.prompt_tokens + written
        first_s = self.pool.predict_first_event(state, prompt, now)
        token_s = self.shown.find(state) or self.spread.find_at(state, now) or 0.0
        token_s = max(self.usual_token_s * state.pace, token_s)
        kept_back = (attempt.cursor.last_id or 0) - (call.last_event_id or 0)
        ids = ids_left + kept_back
        return now + first_s + (ids - 1) * token_s * self.id_tokens


class _KeptFor(Enum):
    """Why a stream that is behind stays where it is."""

    UNKNOWN_PACE = "unknown-pace"
    IN_TIME = "in-time"
    NO_TARGET = "no-target"
    NO_GAIN = "no-gain"
    BEYOND_TIME = "beyond-time"
    NOT_ALLOWED = "not-allowed"


@dataclass(frozen=True, slots=True)
class _Choice:
    """What was found for a stream that is behind.

    Attributes:
        kept_for: Why it stays; None if it should be moved.
        other: The best other target; None without one.
        ends_at: When it is predicted to end there, in seconds.
        targets: How many targets were compared.
        slow: How many were left out as slow.
    """

    kept_for: _KeptFor | None
    other: TargetState | None = None
    ends_at: float = 0.0
    targets: int = 0
    slow: int = 0


class _ShownPaces:
    """The times of a token that streams in progress of one model show.

    Args:
        streams: The attempts of the streams, and the tokens that an id of
            their events has.
    """

    def __init__(self, streams: Iterable[tuple[GatewayAttempt, float]]) -> None:
        by_target: dict[TargetState, list[float]] = {}
        for attempt, id_tokens in streams:
            id_s = attempt.pace.estimate()
            if id_s is not None:
                by_target.setdefault(attempt.state, []).append(id_s / id_tokens)
        self._by_target = {state: median(by_target[state]) for state in by_target}

    def find(self, state: TargetState) -> float:
        """Return the time of a token that is shown of a target, in seconds.

        Returns:
            0 if no stream is in progress there.
        """
        return self._by_target.get(state, 0.0)


class StreamEndWatcher:
    """Reroutes streams that won't end in time where they are.

    Args:
        stop_guard: Has the requests in progress, and what recent ones took.
        index: The targets.
        rerouter: Begins attempts at other targets.
    """

    def __init__(
        self, stop_guard: StopGuard, index: TargetIndex, rerouter: Rerouter
    ) -> None:
        self._stop_guard = stop_guard
        self._index = index
        self._rerouter = rerouter
        self._recorded_at = -math.inf

    async def run(self) -> None:
        """Check the streams in progress until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._check(loop.time())

    def _check(self, now: float) -> None:
        if now - self._recorded_at >= PACE_INTERVAL_S:
            self._recorded_at = now
            self._stop_guard.record_paces(now)
            self._check_closed(now)
        calls = [call for call in self._stop_guard.running if _is_watched(call, now)]
        usual_by_kind = self._sum_up(calls, now)
        shown: dict[TargetPool, _ShownPaces] = {}
        for call in calls:
            attempt = call.leader
            if attempt is None or not _may_be_rerouted(attempt):
                continue
            pool = self._index.find_pool(call.service, call.terms.model)
            usual = usual_by_kind[_find_kind(call)]
            stream = _describe(attempt, pool, usual)
            if stream is None or predict_end(stream, now) <= _find_limit(call):
                continue
            if pool not in shown:
                shown[pool] = _ShownPaces(self._list_streams(call, pool, now))
            id_tokens = _find_id_tokens(pool, usual)
            spread = self._stop_guard.find_spread(call)
            usual_s = spread.find_usual_elsewhere(attempt.state, now)
            usual_s = usual_s or usual.token_s
            watched = _Watched(
                attempt, pool, usual, id_tokens, stream, shown[pool], spread, usual_s
            )
            self._check_stream(watched, now)

    def _check_closed(self, now: float) -> None:
        """Reroute the streams that are slow at closed heads."""
        calls = [call for call in self._stop_guard.running if _is_at_closed(call)]
        usual_by_kind = self._sum_up(calls, now)
        for call in calls:
            attempt = call.leader
            if attempt is None or not _may_be_rerouted(attempt):
                continue
            pool = self._index.find_pool(call.service, call.terms.model)
            usual = usual_by_kind[_find_kind(call)]
            spread = self._stop_guard.find_spread(call)
            token_s = spread.find_usual_elsewhere(attempt.state, now) or usual.token_s
            if token_s:
                id_s = token_s * _find_id_tokens(pool, usual)
                self._rerouter.reroute_from_closed(attempt, id_s, now)

    def _check_stream(self, watched: _Watched, now: float) -> None:
        """Reroute a stream that won't end in time, if it will elsewhere."""
        ends_at = predict_end(watched.stream, now)
        attempt = watched.attempt
        if not attempt.is_behind:
            attempt.is_behind = True
            _log_behind(watched, ends_at, now)
        ends_at = watched.predict_end_here(watched.stream.ids_left, now)
        cost_s = max(
            self._stop_guard.move_costs.estimate(now), watched.pool.forecast.spread_s
        )
        choice = _find_sooner(watched, ends_at, cost_s, now)
        if choice.kept_for is None and choice.other is not None:
            if self._rerouter.reroute_behind(attempt, choice.other, now):
                shown_s = attempt.pace.estimate_longest()
                left_id_s = shown_s or watched.stream.id_s
                attempt.left_token_s = left_id_s / watched.id_tokens
                attempt.left_at = now
                attempt.call.spread = watched.spread
                _log_move(watched, choice.other, ends_at, now)
                return
            choice = replace(choice, kept_for=_KeptFor.NOT_ALLOWED)
        _log_kept(watched, choice, ends_at, now)

    def _list_streams(
        self, call: GatewayCall, pool: TargetPool, now: float
    ) -> list[tuple[GatewayAttempt, float]]:
        """Return the streams in progress of a request's model.

        Returns:
            Their attempts, and the tokens that an id of their events has.
        """
        calls = [
            other
            for other in self._stop_guard.running
            if other.service == call.service and other.terms.model == call.terms.model
        ]
        usual = self._sum_up(calls, now)
        return [
            (other.leader, _find_id_tokens(pool, usual[_find_kind(other)]))
            for other in calls
            if other.leader is not None
        ]

    def _sum_up(
        self, calls: Iterable[GatewayCall], now: float
    ) -> dict[tuple[str, ServiceName, ModelName | None], UsualStream]:
        """Return what recent streams of each kind among some calls show."""
        kinds = {_find_kind(call): call for call in calls}
        return {
            kind: self._stop_guard.sum_up_streams(call, now)
            for kind, call in kinds.items()
        }


def _is_watched(call: GatewayCall, now: float) -> bool:
    if call.route.kind is not RequestKind.STREAM or call.terms.model is None:
        return False
    # Before its first event it waits for its target's other work, as it would
    # elsewhere, unless that takes very long.
    has_event = call.leader is not None and call.leader.has_event
    if call.deadline_after_stop and has_event:
        return True
    allowed_s = call.stream_deadline - call.received_at
    return now - call.received_at > WATCHED_PART * allowed_s


def _is_at_closed(call: GatewayCall) -> bool:
    """Return whether a request is a stream at a closed head."""
    if call.route.kind is not RequestKind.STREAM or call.terms.model is None:
        return False
    return call.leader is not None and call.leader.state.target.draining


def _may_be_rerouted(attempt: GatewayAttempt) -> bool:
    """Return whether a stream depends on an attempt and its target alone.

    One that has failed may have crashed its target, which is found out before
    its request is sent again.
    """
    if attempt.is_blocked or attempt.call.alternatives:
        return False
    return attempt.failure is None and not attempt.superseded


def _find_kind(call: GatewayCall) -> tuple[str, ServiceName, ModelName | None]:
    return call.route.name, call.service, call.terms.model


def _find_limit(call: GatewayCall) -> float:
    """Return when a stream should have ended, in seconds."""
    return call.stream_deadline - END_RESERVE_S


def _find_id_tokens(pool: TargetPool, usual: UsualStream) -> float:
    """Return the tokens that an id of a stream's events has."""
    return usual.id_tokens or pool.forecast.timing.tokens_per_pass


def _describe(
    attempt: GatewayAttempt, pool: TargetPool, usual: UsualStream
) -> RunningStream | None:
    """Return what is left of an attempt's stream, and its pace.

    Returns:
        None if nothing is known of its length or its pace.
    """
    terms = attempt.call.terms
    id_tokens = _find_id_tokens(pool, usual)
    tokens: float = usual.longest_length or 0
    if terms.max_output_tokens:
        tokens = terms.max_output_tokens * usual.longest_part
    if not tokens:
        return None
    id_s = attempt.pace.estimate()
    if id_s is not None and id_s <= SLOW_PACE * usual.token_s * id_tokens:
        id_s = attempt.pace.estimate_shortest()
    if id_s is None:
        pace = attempt.state.pace if attempt.state.speed.is_slow else 1.0
        id_s = usual.token_s * id_tokens * pace
    if not id_s:
        return None
    ids_left = max(1.0, tokens / id_tokens - (attempt.cursor.last_id or 0))
    next_s = id_s if attempt.has_event else attempt.predicted_first_event_s
    return RunningStream(ids_left, id_s, attempt.read_at, next_s)


def _find_sooner(
    watched: _Watched, ends_at: float, cost_s: float, now: float
) -> _Choice:
    """Find the target where a stream ends soonest.

    Args:
        watched: The stream.
        ends_at: When it will end where it is, in seconds.
        cost_s: By how much its next event may be later than predicted, in
            seconds.
        now: Seconds.
    """
    if not watched.usual_token_s:
        return _Choice(_KeptFor.UNKNOWN_PACE)
    if ends_at <= _find_limit(watched.attempt.call):
        return _Choice(_KeptFor.IN_TIME)
    pool, call = watched.pool, watched.attempt.call
    excluded = {*call.list_excluded(pool), watched.attempt.state.target.instance}
    usable = pool.list_alternatives(now, excluded)
    others = [state for state in usable if not state.speed.is_slow]
    slow = len(usable) - len(others)
    avoided = call.list_avoided(now)
    others = [state for state in others if state not in avoided]
    choice = _Choice(_KeptFor.NO_TARGET, targets=len(others), slow=slow)
    ids_left = watched.stream.ids_left
    ends = {
        state: watched.predict_end_elsewhere(state, ids_left, now) for state in others
    }
    other = min(others, key=lambda state: ends[state], default=None)
    if other is None:
        return choice
    choice = replace(choice, other=other, ends_at=ends[other])
    if not is_sooner(ends_at, ends[other] + cost_s):
        return replace(choice, kept_for=_KeptFor.NO_GAIN)
    if not _has_time(watched, other, now):
        return replace(choice, kept_for=_KeptFor.BEYOND_TIME)
    return replace(choice, kept_for=None)


def _has_time(watched: _Watched, other: TargetState, now: float) -> bool:
    """Return whether a stream can end in time at another target.

    If it is as long as usual, that is enough where it can't end in time
    without being moved.
    """
    limit, ids_left = watched.attempt.call.stream_deadline, watched.usual_ids_left
    longest_left = watched.stream.ids_left
    if watched.predict_end_elsewhere(other, longest_left, now) <= limit:
        return True
    if watched.predict_end_here(ids_left, now) <= limit:
        return False
    return watched.predict_end_elsewhere(other, ids_left, now) <= limit


def _log_behind(watched: _Watched, ends_at: float, now: float) -> None:
    attempt, stream = watched.attempt, watched.stream
    call = attempt.call
    _log.info(
        "stream-behind",
        request=call.terms.id,
        instance=attempt.state.target.instance,
        left_ms=int((call.stream_deadline - now) * 1000),
        needed_ms=int((ends_at - now) * 1000),
        ids_left=int(stream.ids_left),
        id_ms=int(stream.id_s * 1000),
        quiet_ms=int((now - stream.read_at) * 1000),
        attempts=call.attempts.sent,
        last_event=attempt.cursor.last_id or 0,
        route=call.route.name,
        model=call.terms.model or "",
    )


def _log_move(
    watched: _Watched, other: TargetState, ends_at: float, now: float
) -> None:
    """Log where a stream goes on, and its predicted end here and there."""
    attempt = watched.attempt
    call = attempt.call
    there_at = watched.predict_end_elsewhere(other, watched.stream.ids_left, now)
    _log.info(
        "stream-moved",
        request=call.terms.id,
        instance=attempt.state.target.instance,
        to=other.target.instance,
        left_ms=int((call.stream_deadline - now) * 1000),
        here_ms=int((ends_at - now) * 1000),
        there_ms=int((there_at - now) * 1000),
        ids_left=int(watched.stream.ids_left),
        attempts=call.attempts.sent,
        last_event=attempt.cursor.last_id or 0,
        route=call.route.name,
    )


def _log_kept(watched: _Watched, choice: _Choice, ends_at: float, now: float) -> None:
    """Log why a stream stays, once for each reason."""
    attempt, other = watched.attempt, choice.other
    call, kept_for = attempt.call, choice.kept_for
    if kept_for is None or kept_for.value in attempt.kept_for:
        return
    attempt.kept_for.add(kept_for.value)
    _log.info(
        "stream-kept",
        request=call.terms.id,
        reason=kept_for.value,
        left_ms=int((call.stream_deadline - now) * 1000),
        here_ms=int((ends_at - now) * 1000),
        there_ms=-1 if other is None else int((choice.ends_at - now) * 1000),
        to="" if other is None else other.target.instance,
        targets=choice.targets,
        slow=choice.slow,
        instance=attempt.state.target.instance,
        ids_left=int(watched.stream.ids_left),
        id_ms=int(watched.stream.id_s * 1000),
        attempts=call.attempts.sent,
        last_event=attempt.cursor.last_id or 0,
        route=call.route.name,
    )
