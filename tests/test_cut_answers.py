"""What the logs have of an answer that was cut, also those of other VMs."""

import asyncio
import time
from collections.abc import Iterable
from types import SimpleNamespace
from typing import cast

import pytest
from structlog.testing import capture_logs
from structlog.typing import EventDict

from tests.installation import eventually, run
from tests.test_outlasting_streams import SLOW, Stream, begin_stream
from tests.test_planned_stops import StoppedInstallation
from zinniaspool.core.ids import NodeId, RequestId
from zinniaspool.core.messages.fleet import CutAnswer
from zinniaspool.gateway.calls import GatewayCall
from zinniaspool.gateway.cuts import (
    MAX_REPORTS_PER_S,
    CutAnswerReporter,
    list_keys,
)
from zinniaspool.gateway.lateness import LoopLateness
from zinniaspool.telemetry.logs import render_line
from zinniaspool_standins.runners import Runner

HELD_S = 0.3

COLLECTED_CHARS = 200
"""Characters of a line that a collected log keeps."""


@pytest.mark.processes
def test_another_vm_logs_an_answer_that_a_stopping_one_cut() -> None:
    """Guards against a cut answer whose reason is gone with its VM."""

    async def check() -> None:
        with capture_logs() as lines:
            async with begin_stream() as (made, stream):
                await _finish_at(made.heads("small"), stream)

                def has_report() -> bool:
                    return any(line["event"] == "peer-cut-answer" for line in lines)

                await eventually(has_report, 2.0)
        own = next(line for line in lines if line["event"] == "answer-cut")
        report = next(line for line in lines if line["event"] == "peer-cut-answer")
        assert report["vm"] == "n0" and report["by"] == "stop"
        shared = own.keys() & report.keys() - {"event", "log_level"}
        assert {"request", "attempts", "after_stop_ms", "loop_late_ms"} <= shared
        assert [own[key] for key in shared] == [report[key] for key in shared]

    run(check)


@pytest.mark.processes
def test_the_log_says_why_a_stream_that_was_cut_stayed() -> None:
    """Guards against streams that are behind and stay for no known reason."""

    async def check() -> None:
        with capture_logs() as lines:
            async with begin_stream() as (made, stream):
                await _finish_at(made.heads("small"), stream)
        kept = _collect(lines, "stream-kept")
        assert all(
            key in kept for key in ("reason=", "left_ms=", "here_ms=", "there_ms=")
        ), kept

    run(check)


@pytest.mark.processes
def test_the_log_has_what_an_accepted_stream_was_promised_and_had() -> None:
    """Guards against a forecast whose error the log doesn't show."""

    async def check() -> None:
        with capture_logs() as lines:
            async with StoppedInstallation.running(nodes=2, engines=10) as made:
                made.configure()
                await made.settle()
                await asyncio.gather(*(made.draft("n0", "small", 20) for _ in range(8)))
                made.nodes["n0"].gateway.stop()
                answer = await made.draft(
                    "n0", "small", 40, "late", deadline_ms=int(made.deadline_s * 1000)
                )
                assert answer.whole
        ended = _collect(lines, "stop-stream-ended")
        assert "last_event=40" in ended, ended
        for key in ("id_ms", "first_ms", "left_ms"):
            (value,) = [one for one in ended.split() if one.startswith(f"{key}=")]
            promised, had = (int(one) for one in value.split("=")[1].split("/"))
            assert promised > 0 and had > 0, ended

    run(check)


@pytest.mark.processes
def test_the_log_has_how_long_a_moved_stream_waited() -> None:
    """Guards against moves whose cost the log doesn't show."""

    async def check() -> None:
        with capture_logs() as lines:
            async with begin_stream() as (_, stream):
                await _finish_at([stream.head], stream)
        went_on = _collect(lines, "stream-went-on")
        assert "took_ms=" in went_on and "predicted_ms=" in went_on, went_on

    run(check)


async def _finish_at(heads: Iterable[Runner], stream: Stream) -> None:
    """Have a stream in progress go on while some heads are slow."""
    for head in heads:
        head.faults.pace = SLOW
    await stream.finish()


def _collect(lines: list[EventDict], event: str) -> str:
    """Return the first line of an event as far as collected logs keep it."""
    return collect_line(next(line for line in lines if line["event"] == event))


def collect_line(line: EventDict) -> str:
    """Return a line as far as collected logs keep it."""
    keys = {"timestamp": "2026-12-06T04:54:14.666465Z", "level": "info"}
    keys |= {key: value for key, value in line.items() if key != "log_level"}
    return str(render_line(None, "", keys))[:COLLECTED_CHARS]


def test_a_held_up_event_loop_counts_as_late_for_a_while() -> None:
    """Guards against decisions by a late timer that the log doesn't show."""

    async def check() -> None:
        lateness = LoopLateness()
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        loop.call_later(0.01, time.sleep, HELD_S)
        await lateness.sleep(0.05)
        assert HELD_S - 0.05 <= lateness.measure_longest(began_at) < 2 * HELD_S
        await lateness.sleep(0.05)
        assert lateness.measure_longest(loop.time()) == 0.0

    asyncio.run(check())


def test_the_reports_of_cut_answers_are_limited() -> None:
    """Guards against a flood of messages while many upstreams fail."""

    async def check() -> None:
        sent: list[CutAnswer] = []
        reporter = CutAnswerReporter(NodeId("n0"), LoopLateness(), sent.append)
        call = SimpleNamespace(
            terms=SimpleNamespace(id="r", max_output_tokens=1),
            route=SimpleNamespace(name="drafts"),
            stopped_by="stop",
            received_at=0.0,
            last_event_id=None,
            stop_forecast=None,
            longest_s=None,
            describe_attempts=lambda: "",
        )
        for _ in range(3 * MAX_REPORTS_PER_S):
            reporter.report(cast(GatewayCall, call), -1)
        assert MAX_REPORTS_PER_S <= len(sent) <= 2 * MAX_REPORTS_PER_S

    asyncio.run(check())


def test_what_decides_stands_first_in_the_line_of_a_cut_answer() -> None:
    """Guards against collected lines that end before what decides."""
    attempts = "1@i-a3047946:26-1370:0-41:behind,"
    attempts += "2@i-753a50c6:1370-2551:41-74:timed-out"
    report = CutAnswer(
        NodeId("front-banqiao-hall-1"),
        RequestId("15a328aed395e971"),
        "r-nmnx4kd",
        "stop",
        2553,
        5201,
        74,
        0,
        attempts,
        1280,
        2549,
    )
    keys = {"timestamp": "2026-12-06T04:54:14.666465Z", "level": "warning"}
    for event in ("answer-cut", "peer-cut-answer"):
        line = render_line(None, "", keys | {"event": event} | list_keys(report))
        collected = str(line)[:COLLECTED_CHARS]
        assert attempts in collected and "fit_ms=1280/2549" in collected, line
