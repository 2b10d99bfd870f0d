"""Decides which requests a stopping process still takes.

A process is killed a fixed time after its stop signal. Until then it
takes the requests that will have ended, by the longest time that is predicted
for them, and refuses the others at once, so that their callers can go to
another VM.
"""

import asyncio
import math
from collections.abc import Collection
from dataclasses import dataclass, replace

import structlog

from zinniaspool.core.dispatch import (
    NOT_RUN_FAILURES,
    AnswerTiming,
    AttemptFailure,
    DurationForecast,
    MoveCosts,
    PaceSpread,
    Progress,
    StreamTiming,
    TargetPool,
    TargetState,
    UsualStream,
)
from zinniaspool.core.fleet import Catalog, RequestKind
from zinniaspool.core.ids import ModelName, ServiceName
from zinniaspool.gateway.calls import GatewayAttempt, GatewayCall, StopForecast
from zinniaspool.gateway.clocks import StopClock
from zinniaspool.gateway.targets import TargetIndex
from zinniaspool.telemetry import StopReason

__all__ = ["END_RESERVE_S", "PACE_INTERVAL_S", "StopGuard"]

_log = structlog.get_logger(__name__)

CONFIGURED_TIME_FACTOR = 1.5
"""Longest over configured time of a token: passes also read the prompts of
other requests."""

PACE_INTERVAL_S = 0.25
"""Pause between two records of the paces that streams show, in seconds."""

PACE_HOLD_FACTOR = 2.0
"""Multiple of its longest time from which on a stream is passed on before its
pace is known: there is time to find that its target is slow, and to go on
elsewhere."""

DOUBT_PART = 0.15
"""Further part of its time that a stream needs if it didn't fit when its pace
became known. Its first event is late already, and more room costs little."""

END_RESERVE_S = 0.15
"""Time before a stream's limit at which it should end, in seconds. A stream
that is to end just in time is cut by the next pause."""

MAX_HELD_BYTES = 256 * 1024
"""Most bytes of a stream's events that are kept back."""

UNKNOWN_CALL_FACTOR = 2.0
"""Longest time of a request without a stream before any was answered, as a
multiple of the time within which its route wants the answer."""


@dataclass(frozen=True, slots=True)
class _LongestRest:
    """The longest time that is predicted for what is left of a stream.

    Attributes:
        writing_s: Time from its next event on, in seconds.
        reserve_s: Time to reserve beside it, in seconds.
    """

    writing_s: float
    reserve_s: float


class StopGuard:
    """Finds the requests that may outlast a stopping process.

    Args:
        clock: The time that is left.
        index: The targets.

    Attributes:
        running: The requests in progress.
        move_costs: By how much moved streams had their next event too late.
    """

    def __init__(self, clock: StopClock, index: TargetIndex) -> None:
        self.running: set[GatewayCall] = set()
        self.move_costs = MoveCosts()
        self._clock = clock
        self._index = index
        self._of_routes: dict[
            tuple[str, ServiceName, ModelName | None], DurationForecast
        ] = {}
        self._of_services: dict[
            tuple[ServiceName, ModelName | None], DurationForecast
        ] = {}
        self._spreads: dict[tuple[ServiceName, ModelName | None], PaceSpread] = {}
        self._pauses: dict[
            tuple[ServiceName, ModelName | None], tuple[float, float]
        ] = {}

    def begin_stop(self, now: float) -> None:
        """Have all requests end in time, from the stop signal on."""
        self._clock.begin(now)
        for call in self.running:
            call.shorten_deadline(self._clock.ends_at)

    def extend_deadline(self, call: GatewayCall) -> None:
        """Give a stream that begins the time reserved for an error answer."""
        call.extend_deadline()
        call.shorten_deadline(self._clock.ends_at)

    def record_answer(self, call: GatewayCall) -> None:
        """Record a request whose caller has its upstream's answer now."""
        now = asyncio.get_running_loop().time()
        pool = self._index.find_pool(call.service, call.terms.model)
        stream = call.measure_stream(pool.forecast.timing.tokens_per_pass)
        timing = AnswerTiming(now, now - call.received_at, stream)
        for forecast in self._find_forecasts(call):
            forecast.record(timing)

    def record_paces(self, now: float) -> None:
        """Record the paces that the streams in progress show.

        Args:
            now: Seconds; this is called each ``PACE_INTERVAL_S``.
        """
        id_tokens: dict[DurationForecast, float] = {}
        for call in self.running:
            attempt = call.leader
            if attempt is None or now - attempt.read_at > PACE_INTERVAL_S:
                continue
            if attempt.pace.estimate() is None:
                continue
            of_route, _ = self._find_forecasts(call)
            if of_route not in id_tokens:
                id_tokens[of_route] = self._find_id_tokens(call, now)
            self._record_pace(attempt, id_tokens[of_route], now)

    def record_left(self, attempt: GatewayAttempt, now: float) -> None:
        """Record the pace of a stream that leaves its target."""
        if attempt.pace.estimate() is not None:
            self._record_pace(attempt, self._find_id_tokens(attempt.call, now), now)

    def _record_pace(
        self, attempt: GatewayAttempt, id_tokens: float, now: float
    ) -> None:
        token_s = (attempt.pace.estimate_longest() or 0.0) / id_tokens
        self.find_spread(attempt.call).record(attempt.state, token_s, now)

    def record_vain_move(self, attempt: GatewayAttempt) -> None:
        """Record that a stream was moved to a target where it had no event."""
        if attempt.failure in NOT_RUN_FAILURES:
            return
        waited_s = attempt.ended_at - attempt.sent_at
        late_s = max(waited_s, attempt.predicted_first_event_s)
        self.move_costs.record(late_s, attempt.ended_at)

    def record_end(self, call: GatewayCall, *, is_refused: bool) -> None:
        """Count a request that came after the stop signal and has ended."""
        if self._clock.measure_since(call.received_at) is None:
            return
        _log_accepted(call, self._clock.ends_at)
        reason = StopReason.DEADLINE
        if call.deadline_after_stop:
            is_predicted = call.longest_s is not None
            reason = StopReason.FORECAST if is_predicted else StopReason.UNKNOWN
        allowed_s = call.deadline - call.received_at
        self._clock.tally.add(reason, allowed_s, call.longest_s, is_refused=is_refused)

    def apply_catalog(self, catalog: Catalog) -> None:
        """Forget the routes and services that the configuration hasn't."""
        names = {route.name for host in catalog.routes.values() for route in host}
        for of_route in [key for key in self._of_routes if key[0] not in names]:
            del self._of_routes[of_route]
        services = catalog.services
        for by_service in (self._of_services, self._spreads, self._pauses):
            for key in [one for one in by_service if one[0] not in services]:
                del by_service[key]

    def should_refuse(self, call: GatewayCall, pool: TargetPool) -> bool:
        """Return whether a request may still be in progress at the end.

        Args:
            call: The request; nothing of it has been sent to an upstream, or
                every upstream has refused it.
            pool: Its targets.
        """
        if not call.deadline_after_stop:
            return False
        now = asyncio.get_running_loop().time()
        forecast = self._predict(call, pool, now)
        longest_s = forecast.longest_s
        refuses = longest_s is None or longest_s > forecast.left_s
        if refuses or call.stop_forecast is None:
            _log.info(
                "request-outlasts-stop" if refuses else "request-fits-stop",
                request=call.terms.id,
                **forecast.list_keys(),
                allowed_tokens=call.terms.max_output_tokens,
                route=call.route.name,
                model=call.terms.model or "",
            )
        call.stop_forecast = forecast
        return refuses

    def can_begin_again(self, call: GatewayCall, pool: TargetPool) -> bool:
        """Return whether a request that may have run can still end elsewhere.

        A stream of which nothing was answered needs its longest time, since
        its caller gets a whole error answer otherwise: by all paces that were
        shown, or with a reserve by those of targets that it didn't leave. One
        that would be cut needs its usual time. An answer without a stream
        isn't cut.

        Args:
            call: The request; its newest attempt has failed.
            pool: Its targets.
        """
        if not _may_be_cut(call):
            return True
        now = asyncio.get_running_loop().time()
        first_s = _predict_first_event(call, pool, now)
        left_s = self._clock.ends_at - now - first_s
        if call.progress is not Progress.NOTHING:
            usual_s = self._predict_usual_writing(call, call.last_event_id, now)
            return usual_s is None or usual_s <= left_s
        longest = self._predict_longest(call, pool, now)
        if longest is None or longest.writing_s <= left_s:
            return True
        return self._fits_elsewhere(call, pool, left_s, now)

    def _fits_elsewhere(
        self, call: GatewayCall, pool: TargetPool, left_s: float, now: float
    ) -> bool:
        """Return whether a stream fits at targets that it didn't leave.

        Args:
            call: The request.
            pool: Its targets.
            left_s: Time that is left from its first event on, in seconds.
            now: Seconds.
        """
        left = {former.state for former in call.history}
        longest = self._predict_longest(call, pool, now, without=left)
        return longest is None or longest.writing_s + longest.reserve_s <= left_s

    def awaits_end(self, attempt: GatewayAttempt, now: float) -> bool:
        """Return whether an attempt's events are kept back.

        While its stream may still be cut, it can go on elsewhere from the
        start, or its caller can get a whole error answer. So it begins once
        its longest time from then on fits.

        Args:
            attempt: The attempt; it has an event.
            now: Seconds.
        """
        call = attempt.call
        if not _may_be_cut(call) or call.progress is not Progress.NOTHING:
            return False
        if not _has_known_length(call) or len(attempt.held) > MAX_HELD_BYTES:
            return False
        pool = self._index.find_pool(call.service, call.terms.model)
        longest = self._predict_longest(call, pool, now, attempt)
        if longest is None:
            return False
        needed_s = longest.writing_s + longest.reserve_s
        if attempt.pace.estimate() is None:
            needed_s = max(needed_s, PACE_HOLD_FACTOR * longest.writing_s)
            return now + needed_s > self._clock.ends_at
        if attempt.is_doubtful or _was_too_late(call):
            needed_s += DOUBT_PART * longest.writing_s
        attempt.is_doubtful = now + needed_s > self._clock.ends_at
        return attempt.is_doubtful

    def begins_too_late(self, attempt: GatewayAttempt, now: float) -> bool:
        """Return whether an attempt's stream will hardly end in time.

        Its caller has nothing of it yet. If it is as long as usual, it takes
        longer at its own pace than is left. If it can't be begun elsewhere
        either, it goes on as long as it would end at the usual pace. One that
        a stop didn't accept, or that may run once, is given up with its first
        event only.

        Args:
            attempt: The attempt; it has an event, and its events are kept
                back.
            now: Seconds.
        """
        call, last_id = attempt.call, attempt.cursor.last_id or 0
        is_bound = call.stop_forecast is not None and call.route.repeatable
        if not is_bound and attempt.event_reads > 1:
            return False
        pace_s = attempt.pace.estimate()
        if pace_s is None:
            usual_s = self._predict_usual_writing(call, last_id, now)
            return usual_s is not None and now + usual_s > self._clock.ends_at
        id_tokens = self._find_id_tokens(call, now)
        ids_left = _count_ids_left(attempt, id_tokens)
        if now + ids_left * pace_s <= self._clock.ends_at:
            return False
        # A stream is longer than what any attempt has shown of it.
        shown_id = max(former.cursor.last_id or 0 for former in call.history)
        usual = self.sum_up_streams(call, now)
        usual_id = usual.usual_part * (ids_left + last_id)
        if usual_id >= shown_id + 1:
            ids_left = usual_id - last_id
        if usual.token_s and not self._may_begin_elsewhere(call, now):
            pace_s = min(pace_s, usual.token_s * id_tokens)
        return now + ids_left * pace_s > self._clock.ends_at

    def _may_begin_elsewhere(self, call: GatewayCall, now: float) -> bool:
        """Return whether a stream that is given up may be begun once more.

        It is given up for its pace, by which it wouldn't fit anywhere.
        """
        if not call.route.repeatable or not call.attempts.may_begin_alternative:
            return False
        pool = self._index.find_pool(call.service, call.terms.model)
        first_s = _predict_first_event(call, pool, now)
        return self._fits_elsewhere(
            call, pool, self._clock.ends_at - now - first_s, now
        )

    def find_spread(self, call: GatewayCall) -> PaceSpread:
        """Return the paces that streams of a request's model show."""
        return self._spreads.setdefault((call.service, call.terms.model), PaceSpread())

    def sum_up_streams(self, call: GatewayCall, now: float) -> UsualStream:
        """Return what recent streams of a request's route show."""
        return self._find_forecasts(call)[0].sum_up(now)

    def _predict(self, call: GatewayCall, pool: TargetPool, now: float) -> StopForecast:
        """Return the longest time of a request, and what it consists of."""
        of_route, of_service = self._find_forecasts(call)
        running = self._list_running_streams(call)
        forecast = StopForecast(self._clock.ends_at - now, streams=len(running))
        if call.route.kind is not RequestKind.STREAM and not _has_known_length(call):
            longest_s = of_route.predict_longest_call(now)
            if longest_s is None:
                longest_s = max(
                    of_service.predict_longest_call(now) or 0.0,
                    UNKNOWN_CALL_FACTOR * call.route.objective_s,
                )
            reserve_s = of_service.predict_reserve(0.0, _find_pause(running), now)
            return replace(
                forecast, longest_s=longest_s + reserve_s, reserve_s=reserve_s
            )
        longest = self._predict_longest(call, pool, now)
        if longest is None:
            return forecast
        writing_s = longest.writing_s
        first_event_s = _predict_first_event(call, pool, now)
        # An upstream may also answer without a stream.
        whole_s = of_route.predict_longest_call(now, with_streams=False) or 0.0
        reserve_s = longest.reserve_s
        longest_s = max(first_event_s + writing_s, whole_s) + reserve_s
        ids = _count_left(call, 0) / self._find_id_tokens(call, now)
        return replace(
            forecast,
            id_s=writing_s / max(1.0, ids),
            longest_s=longest_s,
            first_s=first_event_s,
            writing_s=writing_s,
            reserve_s=reserve_s,
        )

    def _predict_longest(
        self,
        call: GatewayCall,
        pool: TargetPool,
        now: float,
        attempt: GatewayAttempt | None = None,
        without: Collection[TargetState] = (),
    ) -> _LongestRest | None:
        """Return the longest time of what is left of a stream.

        Args:
            call: The request.
            pool: Its targets.
            now: Seconds.
            attempt: The attempt that goes on; None for one to come.
            without: Targets whose paces don't count.

        Returns:
            None if it states no length, or nothing is known of its model.
        """
        own_s = None if attempt is None else attempt.pace.estimate_longest()
        if attempt is None or own_s is None:
            writing_s = self._predict_longest_writing(call, pool, without, now)
        else:
            id_tokens = self._find_id_tokens(call, now)
            shown_s = self.find_spread(call).find_longest(now, without) * id_tokens
            writing_s = _count_ids_left(attempt, id_tokens) * max(own_s, shown_s)
        if writing_s is None:
            return None
        _, of_service = self._find_forecasts(call)
        if attempt is None:
            pause_s = _find_pause(self._list_running_streams(call))
            reserve_s = of_service.predict_reserve(writing_s, pause_s, now)
        else:
            pause_s = max(END_RESERVE_S, self._find_recent_pause(call, now))
            reserve_s = of_service.predict_reserve(writing_s, pause_s, now, least_s=0.0)
        return _LongestRest(writing_s, reserve_s)

    def _find_recent_pause(self, call: GatewayCall, now: float) -> float:
        """Return the longest pause of a model's running streams, in seconds.

        It is measured once each ``PACE_INTERVAL_S``, as it is asked for with
        each event that is kept back.
        """
        model = call.service, call.terms.model
        measured_at, pause_s = self._pauses.get(model, (-math.inf, 0.0))
        if now - measured_at > PACE_INTERVAL_S:
            pause_s = _find_pause(self._list_running_streams(call))
            self._pauses[model] = now, pause_s
        return pause_s

    def _predict_longest_writing(
        self,
        call: GatewayCall,
        pool: TargetPool,
        without: Collection[TargetState],
        now: float,
    ) -> float | None:
        """Return the longest time of a stream of unknown pace, in seconds.

        Args:
            call: The request.
            pool: Its targets.
            without: Those whose paces don't count.
            now: Seconds.

        Returns:
            None if it states no length, or nothing is known of its model.
        """
        of_route, of_service = self._find_forecasts(call)
        if not call.terms.max_output_tokens:
            return None
        running = self._list_running_streams(call, without)
        running_token_s = [stream.token_s or 0.0 for stream in running]
        other_token_s = max(
            of_service.measure_token_time(now),
            self.find_spread(call).find_longest(now, without),
            *running_token_s,
        )
        if not other_token_s:
            other_token_s = CONFIGURED_TIME_FACTOR * max(
                (pool.predict_token_time(one) for one in pool.list_eligible(now)),
                default=0.0,
            )
        written = int((call.last_event_id or 0) * of_route.measure_id_tokens(now))
        return of_route.predict_longest_writing(
            _count_left(call, written),
            other_token_s or call.route.max_pause_s or 0.0,
            now,
        )

    def _predict_usual_writing(
        self, call: GatewayCall, last_event_id: int | None, now: float
    ) -> float | None:
        """Return the usual time of a stream after an event, in seconds."""
        if not _has_known_length(call):
            return None
        of_route, _ = self._find_forecasts(call)
        written = int((last_event_id or 0) * of_route.measure_id_tokens(now))
        return of_route.predict_usual_writing(
            call.terms.max_output_tokens, written, now
        )

    def _list_running_streams(
        self, call: GatewayCall, without: Collection[TargetState] = ()
    ) -> list[StreamTiming]:
        """Return what streams in progress of a request's model show.

        Args:
            call: The request.
            without: Targets whose streams don't count.
        """
        pool = self._index.find_pool(call.service, call.terms.model)
        tokens_per_pass = pool.forecast.timing.tokens_per_pass
        streams = [
            other.measure_stream(tokens_per_pass)
            for other in self.running
            if other.terms.model == call.terms.model and other.service == call.service
            if other.leader is None or other.leader.state not in without
        ]
        return [stream for stream in streams if stream is not None]

    def _find_id_tokens(self, call: GatewayCall, now: float) -> float:
        """Return the tokens that an id of a stream's events has."""
        of_route, _ = self._find_forecasts(call)
        pool = self._index.find_pool(call.service, call.terms.model)
        return of_route.measure_id_tokens(now) or pool.forecast.timing.tokens_per_pass

    def _find_forecasts(
        self, call: GatewayCall
    ) -> tuple[DurationForecast, DurationForecast]:
        """Return what is known of a request's route, and of its service.

        Both are of the model that is asked for.
        """
        model = call.terms.model
        return (
            self._of_routes.setdefault(
                (call.route.name, call.service, model), DurationForecast()
            ),
            self._of_services.setdefault((call.service, model), DurationForecast()),
        )


def _log_accepted(call: GatewayCall, ends_at: float) -> None:
    """Log what an accepted stream was promised, and what it had."""
    forecast, first_s, leader = call.stop_forecast, call.first_byte_s, call.leader
    if forecast is None or first_s is None or leader is None:
        return
    ids = (call.last_event_id or 0) - leader.resumed_after
    if call.route.kind is not RequestKind.STREAM or not ids:
        return
    writing_s = leader.read_at - leader.writing_since - leader.blocked_s
    id_s = writing_s / max(1, ids - 1)
    begun_at = min(one.writing_since for one in call.history if one.has_event)
    first_event_s = begun_at - call.received_at
    _log.info(
        "stop-stream-ended",
        request=call.terms.id,
        id_ms=f"{int(forecast.id_s * 1000)}/{int(id_s * 1000)}",
        first_ms=f"{int(forecast.first_s * 1000)}/{int(first_event_s * 1000)}",
        held_ms=int((first_s - first_event_s) * 1000),
        left_ms=f"{int(forecast.left_s * 1000)}/"
        f"{int((ends_at - call.last_event_at) * 1000)}",
        reserve_ms=int(forecast.reserve_s * 1000),
        last_event=call.last_event_id,
        attempts=call.attempts.sent,
        pause_ms=int(call.longest_pause_s * 1000),
        route=call.route.name,
    )


def _may_be_cut(call: GatewayCall) -> bool:
    """Return whether the end of the process may cut a request's answer."""
    return call.deadline_after_stop and call.route.kind is RequestKind.STREAM


def _was_too_late(call: GatewayCall) -> bool:
    """Return whether a request was given up at a target as too slow."""
    return any(one.failure is AttemptFailure.TOO_LATE for one in call.history)


def _find_pause(streams: Collection[StreamTiming]) -> float:
    """Return the longest pause of some streams, in seconds."""
    return max((stream.longest_pause_s for stream in streams), default=0.0)


def _has_known_length(call: GatewayCall) -> bool:
    return call.terms.model is not None and call.terms.max_output_tokens > 0


def _count_left(call: GatewayCall, written: int) -> int:
    """Return how many tokens a request's stream may still have.

    Args:
        call: The request.
        written: Tokens that it has already. If they are more than it states,
            it states what is left.
    """
    allowed = call.terms.max_output_tokens
    return allowed - written if written < allowed else allowed


def _count_ids_left(attempt: GatewayAttempt, id_tokens: float) -> float:
    """Return by how much the ids of an attempt's stream may still rise.

    Args:
        attempt: The attempt; its request states a length.
        id_tokens: Tokens that an id has.
    """
    first_id = attempt.call.terms.resume_after or 0
    written = max(0, (attempt.cursor.last_id or 0) - first_id)
    return max(0.0, attempt.call.terms.max_output_tokens / id_tokens - written)


def _predict_first_event(call: GatewayCall, pool: TargetPool, now: float) -> float:
    """Return the time to a request's first event at the best target."""
    prompt = call.terms.prompt_tokens
    states = pool.list_eligible(now)
    return min(
        (pool.predict_first_event(state, prompt, now) for state in states),
        default=0.0,
    )
