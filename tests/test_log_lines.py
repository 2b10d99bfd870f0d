"""Log lines never block a process, and the most important lines stay."""

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
    """A full pipe must not make callers wait until the log's reader reads.

    The writer keeps a bounded number of bytes and counts the lines that it
    drops. Once the pipe is read again, the writer logs how many it dropped.
    """
    reader, descriptor = os.pipe()
    writer = LineWriter(descriptor, request_lines_per_s=1e9)
    for number in range(20_000):
        writer.write(f"event=request-ended n={number} {'x' * 80}", LineClass.REQUEST, 0)
    writer.write("event=store-lost", LineClass.PROCESS, 0)
    assert writer.dropped[LineClass.REQUEST] > 0
    assert writer.dropped[LineClass.PROCESS] == 0
    text = b""
    while part := read_all(reader):
        text += part
        writer.flush()
    assert b"event=store-lost\n" in text
    assert b"event=log-lines-dropped request=" in text
    assert len(text) < 512 * 1024


def test_a_flood_of_request_lines_keeps_the_lines_of_the_process() -> None:
    """A flood of refusals must not push out the lines that give its cause."""
    reader, descriptor = os.pipe()
    writer = LineWriter(descriptor, request_lines_per_s=10.0)
    for number in range(1000):
        writer.write(f"event=request-refused n={number}", LineClass.REQUEST, 5.0)
        if number % 100 == 0:
            writer.write("event=group-phase", LineClass.PROCESS, 5.0)
    text = read_all(reader)
    assert text.count(b"event=group-phase") == 10
    assert text.count(b"event=request-refused") == 20
    assert writer.dropped == {LineClass.REQUEST: 980}


def test_a_reader_that_has_closed_the_pipe_causes_no_error() -> None:
    reader, descriptor = os.pipe()
    os.close(reader)
    writer = LineWriter(descriptor)
    writer.write("event=started", LineClass.PROCESS, 0.0)
    writer.write("event=stopped", LineClass.PROCESS, 0.0)
