"""Log lines never hold up a process, and the ones that matter stay."""

import os

from zinniaspool.telemetry.lines import LineClass, LineWriter


def read_all(descriptor: int) -> bytes:
    os.set_blocking(descriptor, False)
    parts = []
    try:
        while part := os.read(descriptor, 1 << 20):
            parts.append(part)
    except BlockingIOError:
        pass
    return b"".join(parts)


def test_a_reader_that_never_reads_holds_nothing_up() -> None:
    """Callers would wait for as long as the log's reader sleeps.

    Its pipe fills up. The writer keeps a bounded number of lines and counts
    what it drops; once the pipe is read again it says how many they were.
    """
    reader, descriptor = os.pipe()
    writer = LineWriter(descriptor, per_s=1e9)
    for number in range(20_000):
        writer.write(f"event=request-ended n={number} {'x' * 80}", LineClass.REQUEST, 0)
    writer.write("event=store-lost", LineClass.BELIEF, 0)
    assert writer.dropped[LineClass.REQUEST] > 0
    assert writer.dropped[LineClass.BELIEF] == 0
    text = b""
    while part := read_all(reader):
        text += part
        writer.flush()
    assert b"event=store-lost\n" in text
    assert b"event=log-lines-dropped request=" in text
    assert len(text) < 512 * 1024


def test_a_flood_of_requests_leaves_lines_of_beliefs() -> None:
    """A storm of refusals must not push out why it began."""
    reader, descriptor = os.pipe()
    writer = LineWriter(descriptor, per_s=10.0)
    for number in range(1000):
        writer.write(f"event=request-refused n={number}", LineClass.REQUEST, 5.0)
        if number % 100 == 0:
            writer.write("event=group-phase", LineClass.BELIEF, 5.0)
    text = read_all(reader)
    assert text.count(b"event=group-phase") == 10
    assert text.count(b"event=request-refused") == 20
    assert writer.dropped == {LineClass.REQUEST: 980}


def test_a_reader_that_is_gone_ends_nothing() -> None:
    reader, descriptor = os.pipe()
    os.close(reader)
    writer = LineWriter(descriptor)
    writer.write("event=started", LineClass.BELIEF, 0.0)
    writer.write("event=stopped", LineClass.BELIEF, 0.0)
