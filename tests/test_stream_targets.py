"""Which targets the streams of a request go on at."""

from collections.abc import Sequence
from typing import cast

import pytest

from tests.test_dispatch import find, make_pool
from tests.test_lost_heads import MODEL, ROUTE, SERVICE
from zinniaspool.core.dispatch import (
    Attempts,
    PaceSpread,
    Progress,
    RequestTerms,
    RetryTerms,
    RunningStream,
    TargetPool,
    UsualStream,
)
from zinniaspool.core.dispatch.attempts import RetryAllowance
from zinniaspool.core.ids import ContentId, RequestId
from zinniaspool.gateway.calls import GatewayCall
from zinniaspool.gateway.endings import _find_sooner, _KeptFor, _Watched
from zinniaspool.http import Exchange

USUAL_S = 0.03
"""Usual time from one event to the next, in seconds."""


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
    watched = _Watched(call.leader, pool, usual, 1.0, stream, PaceSpread(), USUAL_S)
    choice = _find_sooner(watched, 60.0 * id_s, 0.0, 0.0)
    assert choice.other is find(pool, "y") and choice.ends_at > call.stream_deadline
    assert choice.kept_for is kept_for
