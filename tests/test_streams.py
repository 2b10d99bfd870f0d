"""Token streams that go on at another upstream."""

from hypothesis import given, strategies as st
from result import Err

from zinniaspool.core.requests import EventCursor, StreamFault

_DONE = b"event: done\ndata: {}\n\n"


def _events(first: int, count: int, newline: bytes = b"\n") -> bytes:
    lines = b"".join(b"id: %d\ndata: t%d\n\n" % (k, k) for k in range(first, count + 1))
    return (lines + _DONE).replace(b"\n", newline)


@given(
    st.integers(1, 30),
    st.lists(st.integers(0, 400), max_size=4),
    st.lists(st.integers(1, 40), min_size=1, max_size=20),
    st.sampled_from([b"\n", b"\r\n"]),
)
def test_a_stream_lost_anywhere_goes_on_without_a_gap(
    count: int, losses: list[int], reads: list[int], newline: bytes
) -> None:
    """The caller reads every token once, in order, however reads fall.

    Upstreams are lost after any number of bytes, also inside an event; the
    next one starts after the last id passed on.
    """
    cursor, seen = EventCursor(), b""
    for most in [*losses, None]:
        cursor.resume()
        data = _events((cursor.last_id or 0) + 1, count, newline)[:most]
        k = 0
        while data:
            size = reads[k % len(reads)]
            part, data, k = data[:size], data[size:], k + 1
            seen += cursor.take(part).unwrap()
        # A stream that was cut before its first id cannot be resumed: the
        # relay ends it, so nothing of it may be counted here either.
        if cursor.last_id is None:
            seen = b""
        if most is not None and most >= len(_events(1, count, newline)):
            break
        if seen.endswith(_DONE.replace(b"\n", newline)):
            break
    assert seen + cursor.end() == _events(1, count, newline)


def test_an_upstream_that_starts_anew_is_not_passed_on() -> None:
    """The caller must not read its first tokens again.

    The second upstream ignores Last-Event-ID and begins at token 1.
    """
    cursor = EventCursor()
    cursor.take(_events(1, 3)[: -len(_DONE)]).unwrap()
    cursor.resume()
    assert cursor.take(_events(1, 5)) == Err(StreamFault.NOT_RESUMED)


def test_an_event_without_end_is_given_up() -> None:
    cursor = EventCursor()
    taken = cursor.take(b"data: " + b"x" * (1024 * 1024 + 1))
    assert taken == Err(StreamFault.EVENT_TOO_LARGE)
