"""Tests token streams that are resumed at another upstream."""

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
def test_a_stream_cut_anywhere_is_resumed_without_a_gap(
    count: int, cuts: list[int], reads: list[int], newline: bytes
) -> None:
    """The caller reads every token once and in order, at any read sizes.

    Streams are cut after any number of bytes, also inside an event. The next
    upstream starts after the last id that was passed on.
    """
    cursor, received = EventCursor(), b""
    for length in [*cuts, None]:
        cursor.resume()
        data = _events((cursor.last_id or 0) + 1, count, newline)[:length]
        k = 0
        while data:
            size = reads[k % len(reads)]
            part, data, k = data[:size], data[size:], k + 1
            received += cursor.feed(part).unwrap()
        # A stream that was cut before its first id cannot be resumed. The
        # relay ends it, so its bytes must not count here either.
        if cursor.last_id is None:
            received = b""
        if length is not None and length >= len(_events(1, count, newline)):
            break
        if received.endswith(_DONE.replace(b"\n", newline)):
            break
    assert received + cursor.finish() == _events(1, count, newline)


def test_a_stream_that_restarts_at_the_first_token_is_rejected() -> None:
    """The caller must not receive the first tokens a second time.

    The second upstream ignores Last-Event-ID and starts at token 1.
    """
    cursor = EventCursor()
    cursor.feed(_events(1, 3)[: -len(_DONE)]).unwrap()
    cursor.resume()
    assert cursor.feed(_events(1, 5)) == Err(StreamFault.NOT_RESUMED)


@given(
    st.integers(1, 40),
    st.lists(st.tuples(st.sets(st.integers(1, 39)), st.integers(0, 400)), max_size=4),
    st.sets(st.integers(1, 39)),
)
def test_a_stream_whose_ids_only_increase_is_resumed_without_a_gap(
    count: int, cuts: list[tuple[set[int], int]], ends: set[int]
) -> None:
    """The caller reads every token once and in order.

    An event has several tokens and the id of the last one. Each upstream ends
    its events at other tokens.
    """
    cursor, received = EventCursor(), b""
    for bounds, length in [*cuts, (ends, None)]:
        cursor.resume()
        data = _make_batches(cursor.last_id or 0, count, bounds)[:length]
        received += cursor.feed(data).unwrap()
        if cursor.last_id is None:
            received = b""
        if cursor.last_id == count:
            break
    tokens = [
        int(token)
        for line in received.splitlines()
        if line.startswith(b"data:")
        for token in line[5:].split()
    ]
    assert tokens == list(range(1, count + 1))


def _make_batches(after: int, count: int, bounds: set[int]) -> bytes:
    """Return the events after an id; they end at some tokens and the last."""
    events = b""
    for last in sorted({bound for bound in bounds if after < bound < count} | {count}):
        tokens = b" ".join(b"%d" % token for token in range(after + 1, last + 1))
        events += b"id: %d\ndata: %s\n\n" % (last, tokens)
        after = last
    return events


def test_a_stream_that_repeats_its_last_event_is_rejected() -> None:
    """The caller must not receive an event a second time."""
    cursor = EventCursor()
    cursor.feed(_make_batches(0, 9, {4})).unwrap()
    cursor.resume()
    assert cursor.feed(_make_batches(4, 12, {9})) == Err(StreamFault.NOT_RESUMED)


def test_an_id_that_is_too_long_for_a_number_ends_no_stream() -> None:
    """The caller's stream would end with the failed conversion."""
    cursor = EventCursor()
    events = b"id: %s\ndata: t1\n\n" % (b"9" * 5000)
    assert cursor.feed(events).unwrap() == events
    assert not cursor.resumable


def test_an_event_without_an_end_is_rejected() -> None:
    cursor = EventCursor()
    taken = cursor.feed(b"data: " + b"x" * (1024 * 1024 + 1))
    assert taken == Err(StreamFault.EVENT_TOO_LARGE)
