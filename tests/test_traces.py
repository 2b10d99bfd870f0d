"""A trace of a request shows the log lines that give its cause."""

from pathlib import Path

from typer.testing import CliRunner

from zinniaspool.cli.main import app
from zinniaspool.telemetry.traces import LogLine, parse_line, trace_request

_RUNNER = CliRunner()


def make_line(second: float, node: str, event: str, **fields: str) -> str:
    timestamp = f"2026-01-02T03:04:{second:09.6f}Z"
    values = " ".join(f"{name}={value}" for name, value in fields.items())
    return (
        f"timestamp={timestamp} level=info event={event} {values} "
        f"node={node} program=entry"
    )


def parse_lines(*lines: str) -> list[LogLine]:
    return [line for line in map(parse_line, lines) if line is not None]


def list_events(request: str, *lines: str) -> list[str]:
    return [line.event for line in trace_request(parse_lines(*lines), request).lines]


def test_the_trace_of_a_refusal_shows_that_its_models_group_ended() -> None:
    """A caller's request was refused since no upstream serves its model.

    The phases of the model's group are in the holder's log, and their reason
    gives the cause. Groups of other models are not shown.
    """
    found = list_events(
        "r1",
        make_line(20.0, "n2", "group-phase", group="g1", model="m", phase="ending"),
        make_line(20.1, "n2", "group-phase", group="g2", model="other", phase="ending"),
        make_line(
            21.0, "n1", "request-ended", request="r1", end="no-upstream", model="m"
        ),
        make_line(40.0, "n2", "group-phase", group="g1", model="m", phase="serving"),
    )
    assert found == ["group-phase", "request-ended"]


def test_the_trace_of_a_rerouted_stream_shows_the_stalled_head() -> None:
    found = list_events(
        "r1",
        make_line(5.0, "n1", "target-silent", instance="i1", quiet_ms="260"),
        make_line(5.0, "n1", "target-silent", instance="i9", quiet_ms="260"),
        make_line(5.0, "n3", "target-gone", instance="i1", group="g1"),
        make_line(5.1, "n1", "attempt-failed", request="r1", instance="i1", group="g1"),
        make_line(
            5.2, "n3", "group-phase", group="g1", members="i1,i2", phase="ending"
        ),
        make_line(5.9, "n1", "request-ended", request="r1", end="answered", group="g2"),
        make_line(5.9, "n1", "request-ended", request="r2", end="answered", group="g2"),
    )
    assert found == ["target-silent", "attempt-failed", "group-phase", "request-ended"]


def test_the_trace_shows_events_of_the_requests_process() -> None:
    """The outcome is unknown because the process lost its connections.

    Lines of other processes about the store do not concern this request.
    """
    found = list_events(
        "r1",
        make_line(4.0, "n1", "store-lost", fault="failed"),
        make_line(4.0, "n7", "store-lost", fault="failed"),
        make_line(5.0, "n1", "request-ended", request="r1", end="upstream-lost"),
    )
    assert found == ["store-lost", "request-ended"]


def test_a_line_may_have_a_collectors_prefix_and_quoted_values() -> None:
    line = make_line(1.0, "n1", "plan-unsaved", reason='"a \\"b\\" c=d"')
    found = parse_line(f"  12.5 n1/entry {line}")
    assert found is not None
    assert found.fields == {"reason": 'a "b" c=d'}
    assert (found.node, found.program) == ("n1", "entry")
    assert parse_line("Traceback (most recent call last):") is None
    assert parse_line("timestamp=yesterday event=started") is None


def test_the_command_reads_files_and_pipes(tmp_path: Path) -> None:
    """The command shows the trace and reports that lines are missing."""
    text = "\n".join(
        [
            make_line(5.0, "n1", "log-lines-dropped", request="7"),
            make_line(5.0, "n1", "request-ended", request="r1", end="answered"),
        ]
    )
    path = tmp_path / "all.log"
    path.write_text(text)
    shown = _RUNNER.invoke(app, ["trace", "r1", str(path)])
    piped = _RUNNER.invoke(app, ["trace", "r1"], input=text)
    assert shown.output == piped.output
    assert shown.exit_code == 0
    assert "03:04:05.000 n1/entry request-ended" in shown.output
    assert "some are missing" in shown.output
    unknown = _RUNNER.invoke(app, ["trace", "r9", str(path)])
    assert unknown.exit_code == 1
    assert "no line names request r9" in unknown.output
