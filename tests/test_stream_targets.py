"""Which targets the streams of a request go on at."""

import asyncio
from collections.abc import Sequence
from dataclasses import replace
from typing import Protocol, cast
from unittest.mock import Mock

import pytest

from tests.test_dispatch import find, make_pool, make_target
from tests.test_lost_heads import MODEL, ROUTE, SERVICE
from tests.virtual_time import run_in_virtual_time
from zinniaspool.core.dispatch import (
    AttemptFailure,
    Attempts,
    PaceSpread,
    Progress,
    RequestTerms,
    RetryTerms,
    RunningStream,
    TargetPool,
    TargetState,
    TraitStatus,
    UsualStream,
    Verdict,
)
from zinniaspool.core.dispatch.attempts import RetryAllowance
from zinniaspool.core.ids import ContentId, FailureDomainId, RequestId
from zinniaspool.fleet import FleetView
from zinniaspool.gateway.calls import GatewayCall
from zinniaspool.gateway.carrier import RequestForwarder
from zinniaspool.gateway.endings import (
    StreamEndWatcher,
    _find_sooner,
    _KeptFor,
    _ShownPaces,
    _Watched,
)
from zinniaspool.gateway.moves import Rerouter
from zinniaspool.gateway.targets import TargetIndex
from zinniaspool.http import Exchange
from zinniaspool.platform.spelling import PlatformCodec

USUAL_S = 0.03
"""Usual time from one event to the next, in seconds."""

NOW = 2.0
"""When a target is chosen, in seconds."""


def _make_call(pool: TargetPool, heads: Sequence[str], left_s: float) -> GatewayCall:
    """Return a stream at the last one of some heads, which it has left."""
    terms = RequestTerms(RequestId("r"), 6.0, MODEL, 0, 70, None, None)
    attempts = Attempts(RetryTerms(True, left_s, 4), cast(RetryAllowance, None))
    call = GatewayCall(
        cast(Exchange, None),
        terms,
        ROUTE,
        SERVICE,
        None,
        0.0,
        left_s,
        attempts,
        ContentId("c"),
    )
    call.progress, call.last_event_id = Progress.RESUMABLE, 10
    for head in heads:
        attempt = call.make_attempt(find(pool, head))
        call.lead(attempt, 0.0)
    return call


@pytest.mark.parametrize(
    ("usual_part", "id_s", "kept_for"),
    [
        (0.5, 0.1, None),
        (1.0, 0.1, _KeptFor.BEYOND_TIME),
        (0.5, 0.04, _KeptFor.BEYOND_TIME),
    ],
)
def test_a_stream_moves_to_an_end_beyond_its_time_only_if_it_is_usually_shorter(
    usual_part: float, id_s: float, kept_for: _KeptFor | None
) -> None:
    """Guards against streams moved in vain that have the length they state."""
    pool = make_pool("x", "y")
    call = _make_call(pool, ["x"], left_s=1.5)
    assert call.leader is not None
    usual = UsualStream(USUAL_S, 1.0, usual_part, 1.0, None)
    stream = RunningStream(60.0, id_s, 0.0, id_s)
    shown = _ShownPaces([])
    watched = _Watched(
        call.leader, pool, usual, 1.0, stream, shown, PaceSpread(), USUAL_S
    )
    choice = _find_sooner(watched, 60.0 * id_s, 0.0, 0.0)
    assert choice.other is find(pool, "y") and choice.ends_at > call.stream_deadline
    assert choice.kept_for is kept_for


class _Chooser(Protocol):
    """Chooses the target that a stream goes on at."""

    def __call__(self, call: GatewayCall, index: TargetIndex) -> TargetState | None: ...


def _choose_after_silence(call: GatewayCall, index: TargetIndex) -> TargetState | None:
    assert call.leader is not None
    return Rerouter(index)._choose_other(call.leader, NOW)


def _choose_after_failure(call: GatewayCall, index: TargetIndex) -> TargetState | None:
    pool = index.find_pool(SERVICE, MODEL)
    verdict = Verdict(TraitStatus.CLEAR)
    return RequestForwarder(Mock(), index, Mock(), Mock(), Mock())._choose(
        call, pool, verdict
    )


@pytest.mark.parametrize("choose", [_choose_after_silence, _choose_after_failure])
@pytest.mark.parametrize(
    ("heads", "shown_s", "expected"),
    [
        ("xyz", None, "z"),
        ("xyz", 0.06, "z"),
        ("xyz", 0.03, "x"),
        ("xy", None, "x"),
    ],
)
def test_a_stream_returns_to_a_head_it_left_as_slow_only_without_another(
    choose: _Chooser, heads: str, shown_s: float | None, expected: str
) -> None:
    """Guards against streams that a silence brings back to a slow head."""

    async def check() -> None:
        await asyncio.sleep(NOW)
        index = TargetIndex(FleetView(PlatformCodec()), FailureDomainId("a"))
        pool = index.find_pool(SERVICE, MODEL)
        pool.update([make_target(name) for name in heads], 0.0)
        call = _make_call(pool, ["x", "y"], left_s=6.0)
        left = call.history[0]
        left.left_token_s, left.left_at = 0.07, 1.0
        call.spread = PaceSpread()
        call.spread.record(left.state, 0.03, 0.8)
        if shown_s is not None:
            call.spread.record(left.state, shown_s, 1.5)
        pool.begin_request(find(pool, heads[-1]), 100)
        chosen = choose(call, index)
        assert chosen is find(pool, expected)
        # The number of attempts allows no further upstream.
        call.attempts._terms = replace(call.attempts._terms, max_attempts=0)
        assert choose(call, index) is find(pool, "x")

    run_in_virtual_time(check)


def test_a_stream_that_is_moved_avoids_its_head_until_others_are_faster() -> None:
    """Guards against a move that later choices know nothing of."""
    pool, spread = make_pool("x", "y"), PaceSpread()
    call = _make_call(pool, ["x"], left_s=2.5)
    assert call.leader is not None
    usual = UsualStream(3 * USUAL_S, 1 / 3, 1.0, 1.0, None)
    stream = RunningStream(60.0, 0.1, 0.0, 0.1)
    shown = _ShownPaces([])
    watched = _Watched(
        call.leader, pool, usual, 1 / 3, stream, shown, spread, 3 * USUAL_S
    )
    guard = Mock()
    guard.move_costs.estimate.return_value = 0.0
    watcher = StreamEndWatcher(guard, Mock(), Mock())
    watcher._check_stream(watched, 0.0)
    head = find(pool, "x")
    assert call.list_avoided(0.0) == {head}
    spread.record(head, 0.1 / (1 / 3), 0.5)
    assert call.list_avoided(0.6) == {head}
    spread.record(head, 0.05 / (1 / 3), 1.0)
    assert not call.list_avoided(1.1)


def test_a_stream_avoids_a_head_where_it_would_end_too_late() -> None:
    """Guards against a head that gets a stream again which it gave up."""
    pool = make_pool("x", "y")
    call = _make_call(pool, ["x", "y"], left_s=6.0)
    assert not call.list_avoided(NOW)
    call.history[0].failure = AttemptFailure.TOO_LATE
    assert call.list_avoided(NOW) == {find(pool, "x")}
    # It was slow for all its streams, and is so no longer.
    find(pool, "x").speed.slow_since = 0.5
    assert not call.list_avoided(NOW)
