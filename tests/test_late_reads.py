"""Streams of a VM whose programs get a part of the processor's time."""

import asyncio
import contextlib
import signal
from collections.abc import AsyncIterator
from http import HTTPStatus
from pathlib import Path

import pytest

from tests.installation import Answer, eventually
from tests.silent_processes import Caller, read_lines
from zinniaspool.core.dispatch.streams import EventCursor
from zinniaspool_standins.hosts import RunnerHost, make_hosted_runners
from zinniaspool_standins.installation import Installation, make_rules
from zinniaspool_standins.nodes import EntryNode, end_nodes, make_nodes
from zinniaspool_standins.runners import RunnerFaults, RunnerTimes

GRACE_S = 8.0
SETTLE_S = 20.0
PERIOD_S, RUNNING_S = 0.1, 0.03
WARM_STREAMS, WARM_EVENTS = 6, 60
EVENTS, PACE = 110, 1.9
"""Events of a stream, and by how much all heads become slower once it was
accepted: it still ends within the stop time where it is."""


def _make_event(number: int) -> bytes:
    return b"id: %d\ndata: token\n\n" % number


@pytest.mark.parametrize("events_per_pass", [1, 3])
def test_passes_are_counted_though_some_are_read_at_once(events_per_pass: int) -> None:
    """Guards against streams that a late process takes for shorter ones."""
    cursor, number = EventCursor(), 0
    for passes_read in (1, 2, 3, 2, 1, 4, 2, 3, 1, 2):
        events = passes_read * events_per_pass
        data = b"".join(_make_event(number + one + 1) for one in range(events))
        number += events
        cursor.feed(data)
    assert cursor.passes.count == 21


def test_a_pass_that_comes_in_two_reads_is_one() -> None:
    """Guards against passes that are counted twice for a cut read."""
    cursor = EventCursor()
    for number in range(0, 60, 3):
        events = [_make_event(number + one) for one in (1, 2, 3)]
        if number == 30:
            cursor.feed(events[0])
            cursor.feed(b"".join(events[1:]))
        else:
            cursor.feed(b"".join(events))
    assert cursor.passes.count == 20


class _Installation(Installation):
    """Routes that may take as long as a VM stops."""

    def configure(self, **changes: object) -> None:
        """Write the next version of the rules."""
        made = make_rules(self.version, self.keys)
        made["routes"][0]["timeout-ms"] = GRACE_S * 1000
        made["services"][0]["engine"]["step_ms"] = RunnerTimes().pass_s * 1000
        super().configure(
            **{"routes": made["routes"], "services": made["services"], **changes}
        )


@contextlib.asynccontextmanager
async def _hold_up(node: EntryNode) -> AsyncIterator[None]:
    """Have a VM's programs run in a part of each period only."""

    async def hold() -> None:
        while True:
            node.send(signal.SIGSTOP)
            await asyncio.sleep(PERIOD_S - RUNNING_S)
            node.send(signal.SIGCONT)
            await asyncio.sleep(RUNNING_S)

    holding = asyncio.create_task(hold())
    try:
        yield
    finally:
        holding.cancel()
        node.send(signal.SIGCONT)


async def _slow_down(hosts: list[RunnerHost], request: str) -> None:
    """Have all heads be slower once a stream has begun."""
    await eventually(lambda: any(host.begun[request] for host in hosts))
    for host in hosts:
        for name in host.list_heads():
            await host.set_faults(name, RunnerFaults(pace=PACE))


async def _stop_beside_slow_heads(folder: Path) -> tuple[Answer, list[str]]:
    """Return a stream's answer, and what the log has of it."""
    async with _Installation.running(nodes=0, engines=0, plain=0) as made:
        hosts = [
            RunnerHost(
                f"e{number}",
                make_hosted_runners(f"e{number}", "drafting", f"d{number}", 4),
                made.store,
                folder,
            )
            for number in range(4)
        ]
        nodes: list[EntryNode] = []
        try:
            for host in hosts:
                await host.start()
            nodes = await make_nodes(made, folder, 1, grace_s=GRACE_S)
            caller = Caller(nodes[0].front, "small")
            await eventually(
                lambda: (
                    sum("small" in host.list_open_groups().values() for host in hosts)
                    > 1
                ),
                SETTLE_S,
            )
            await asyncio.sleep(1.0)
            async with _hold_up(nodes[0]):
                warm = await asyncio.gather(
                    *(
                        caller.draft(f"warm-{n}", WARM_EVENTS, deadline_s=GRACE_S)
                        for n in range(WARM_STREAMS)
                    )
                )
                assert all(one.status == HTTPStatus.OK for one in warm)
                nodes[0].send(signal.SIGTERM)
                sending = asyncio.create_task(
                    caller.draft("late", EVENTS, deadline_s=GRACE_S)
                )
                await _slow_down(hosts, "late")
                answer = await sending
            logged = [
                f"{line.event} {line.fields}"
                for line in read_lines(nodes)
                if line.fields.get("request") == "late"
            ]
            return answer, logged
        finally:
            await end_nodes(nodes)
            for host in hosts:
                await host.end()


def test_a_late_vm_that_stops_leaves_streams_where_they_end_in_time(
    tmp_path: Path,
) -> None:
    """Guards against streams that a late VM moves until they are cut."""
    answer, logged = asyncio.run(_stop_beside_slow_heads(tmp_path))
    assert answer.events == list(range(1, EVENTS + 1)), "\n".join(logged)
    behind = [line for line in logged if line.startswith("stream-behind")]
    assert behind == [], "\n".join(logged)
