"""Tests of the sums of several plays, and of the command that runs them."""

import asyncio

import msgspec

from tests.installation import Answer
from tests.site_figures import PlayFigures
from tests.site_plays import EndedPlay, run_plays
from tests.site_promises import EndedRequest, RunLog

EVENTS = b"id:1\n\nid:2\n\n"


def _make_stream(name: str, after_stop_s: float, answer: Answer) -> EndedRequest:
    return EndedRequest(
        name, "advice", "n0", after_stop_s, 10.0, 2.0, 8.0, answer, wanted=2
    )


def _count(cut: int) -> PlayFigures:
    """Return the figures of a whole stream, a refused one and cut ones."""
    whole = Answer(200, body=EVENTS, first_at=10.5)
    lost = [
        _make_stream(f"cut-{number}", 3.2, Answer(200, body=b"id:1\n", whole=False))
        for number in range(cut)
    ]
    ended = [
        _make_stream("whole", 3.1, whole),
        _make_stream("refused", 4.0, Answer(503, first_at=10.1)),
        *lost,
    ]
    return PlayFigures.count(ended, RunLog([], []), {"lost": lost})


def test_figures_of_plays_are_summed_as_they_were_written() -> None:
    """Guards against figures that change on their way to the sum."""
    written = [msgspec.json.encode(_count(cut)) for cut in (0, 2)]
    plays = [msgspec.json.decode(one, type=PlayFigures) for one in written]
    total = PlayFigures.sum(plays)
    assert (total.sent, total.broken) == (6, {"lost": 2})
    assert total.ends == {"whole": 2, "failed": 2, "lost": 2}
    assert total.stream_statuses == {200: 4, 503: 2}
    assert total.served == {3: (2, 4), 4: (0, 2)}
    assert total.first_events_s == {3: [0.5, 0.5]}
    assert len(total.lost) == 2
    assert [play.is_sound() for play in (*plays, total)] == [True, False, False]


def test_a_play_that_breaks_a_promise_or_counts_nothing_is_not_sound() -> None:
    """Guards against broken plays that end as sound ones."""
    assert EndedPlay(1, 0, _count(0)).is_sound()
    assert not EndedPlay(1, 0, _count(1)).is_sound()
    assert not EndedPlay(1, 1, _count(0)).is_sound()
    (failed,) = asyncio.run(run_plays([1], ["no-such-profile.toml"]))
    assert failed.figures is None
    assert not failed.is_sound()
