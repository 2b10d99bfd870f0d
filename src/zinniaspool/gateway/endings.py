"""Follows when streams in progress will end, by the pace of their events."""

import asyncio
from collections.abc import Iterable

import structlog

from zinniaspool.core.dispatch import (
    RunningStream,
    TargetPool,
    UsualStream,
    predict_end,
)
from zinniaspool.core.fleet import RequestKind
from zinniaspool.core.ids import ModelName, ServiceName
from zinniaspool.gateway.calls import GatewayAttempt, GatewayCall
from zinniaspool.gateway.stops import StopGuard
from zinniaspool.gateway.targets import TargetIndex

__all__ = ["StreamEndWatcher"]

_log = structlog.get_logger(__name__)

CHECK_INTERVAL_S = 0.05
"""Pause between two checks, in seconds: about two events of a stream."""

WATCHED_PART = 0.5
"""Part of a stream's time after which it is watched, unless the process stops.
Few streams take so long."""


class StreamEndWatcher:
    """Logs which streams won't end in time where they are.

    Args:
        stop_guard: Has the requests in progress, and what recent ones took.
        index: The targets.
    """

    def __init__(self, stop_guard: StopGuard, index: TargetIndex) -> None:
        self._stop_guard = stop_guard
        self._index = index

    async def run(self) -> None:
        """Check the streams in progress until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._check(loop.time())

    def _check(self, now: float) -> None:
        watched = [call for call in self._stop_guard.running if _is_watched(call, now)]
        usual = self._sum_up(watched, now)
        for call in watched:
            attempt = call.leader
            if attempt is None or attempt.is_blocked:
                continue
            pool = self._index.find_pool(call.service, call.terms.model)
            stream = _describe_stream(attempt, pool, usual[_find_kind(call)])
            if stream is None:
                continue
            ends_at = predict_end(stream, now)
            if ends_at > call.stream_deadline and not attempt.is_behind:
                attempt.is_behind = True
                _log_behind(attempt, stream, ends_at, now)

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
    if call.deadline_after_stop:
        return True
    allowed_s = call.stream_deadline - call.received_at
    return now - call.received_at > WATCHED_PART * allowed_s


def _find_kind(call: GatewayCall) -> tuple[str, ServiceName, ModelName | None]:
    return call.route.name, call.service, call.terms.model


def _describe_stream(
    attempt: GatewayAttempt, pool: TargetPool, usual: UsualStream
) -> RunningStream | None:
    """Return what is left of an attempt's stream, and its pace.

    Returns:
        None if nothing is known of its length or its pace.
    """
    terms = attempt.call.terms
    id_tokens = usual.id_tokens or pool.forecast.timing.tokens_per_pass
    tokens: float = usual.longest_length or 0
    if terms.max_output_tokens:
        tokens = terms.max_output_tokens * usual.longest_part
    if not tokens:
        return None
    id_s = attempt.pace.estimate() or usual.token_s * id_tokens * attempt.state.pace
    if not id_s:
        return None
    ids_left = max(1.0, tokens / id_tokens - (attempt.cursor.last_id or 0))
    next_s = id_s if attempt.has_event else attempt.predicted_first_event_s
    return RunningStream(ids_left, id_s, attempt.read_at, next_s)


def _log_behind(
    attempt: GatewayAttempt, stream: RunningStream, ends_at: float, now: float
) -> None:
    call = attempt.call
    _log.info(
        "stream-behind",
        request=call.terms.id,
        route=call.route.name,
        model=call.terms.model or "",
        instance=attempt.state.target.instance,
        attempts=call.attempts.number,
        last_event=attempt.cursor.last_id or 0,
        ids_left=int(stream.ids_left),
        id_ms=int(stream.id_s * 1000),
        quiet_ms=int((now - stream.read_at) * 1000),
        left_ms=int((call.stream_deadline - now) * 1000),
        needed_ms=int((ends_at - now) * 1000),
    )
