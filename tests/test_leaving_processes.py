"""Upstreams that leave, and entry VMs whose programs run as processes."""

import asyncio
from collections import Counter
from pathlib import Path

from tests.installation import Installation
from tests.silent_processes import Caller
from zinniaspool_standins.cuts import CutKind
from zinniaspool_standins.nodes import EntryNode, end_nodes, make_nodes
from zinniaspool_standins.runners import Runner

DRAIN_S = 2.0
SPREAD_S = 1.0

KEPT_CHARACTERS = 200
"""Length of a log line from which on collectors may cut it."""


async def ask_for(nodes: list[EntryNode], seconds: float) -> Counter[int]:
    """Send a plain request to each VM every 40 ms; return their statuses."""
    callers = [Caller(node.front, "") for node in nodes]
    ends_at = asyncio.get_running_loop().time() + seconds
    statuses: Counter[int] = Counter()
    number = 0
    while asyncio.get_running_loop().time() < ends_at:
        for caller in callers:
            number += 1
            answer = await caller.ask(f"ask-{number}", "GET", "/receipts/1")
            statuses[answer.status] += 1
        await asyncio.sleep(0.04)
    for caller in callers:
        caller.close()
    return statuses


def list_sources(runners: list[Runner], since: float) -> set[str]:
    """Return the VMs whose requests have reached some upstreams since then."""
    return {
        one.vm
        for runner in runners
        for one in runner.leaving.arrivals
        if one.at > since
    }


def find_start_of_line(node: EntryNode, event: str) -> set[str]:
    """Return the fields that collectors keep of the first line of an event."""
    text = node.processes[0].log.read_text()
    return next(
        set(line[:KEPT_CHARACTERS].split())
        for line in text.splitlines()
        if f" event={event} " in line
    )


def test_processes_send_nothing_to_an_upstream_that_leaves(tmp_path: Path) -> None:
    """Guards against requests that a VM sends or carries there later.

    One VM loses its paths to the upstreams after the other one has learned it.
    """

    async def test() -> None:
        async with Installation.running(nodes=0, engines=0, plain=3) as made:
            runners = list(made.runners.values())
            addresses = [one.address for one in runners]
            nodes = await make_nodes(made, tmp_path, 2, upstreams=addresses)
            cut, other = nodes
            try:
                async with asyncio.timeout(30):
                    while (await ask_for(nodes, 0.2)).keys() != {200}:
                        pass
                leaving = runners[0]
                leaving.faults.says_leaving = True
                async with asyncio.timeout(10):
                    while not leaving.leaving.said:
                        await ask_for([other], 0.1)
                assert {vm for vm, _ in leaving.leaving.said} == {other.host}
                await asyncio.sleep(DRAIN_S)
                cut.cut(CutKind.HANG)
                await ask_for([cut], 1.0)
                began_at = asyncio.get_running_loop().time()
                assert (await ask_for(nodes, 1.5)).keys() == {200}
                assert list_sources(runners, began_at) == {other.host}
                assert leaving.leaving.list_late(DRAIN_S) == []
                assert leaving.leaving.list_late_in_fleet(SPREAD_S) == []
                for node, sources in (
                    (other, {"by=answer"}),
                    (cut, {"by=peer", "by=update"}),
                ):
                    run = {f"instance={leaving.id}", f"born={leaving.born}"}
                    run.add(f"node={node.name}")
                    begun = find_start_of_line(node, "instance-leaving")
                    assert begun >= run and begun & sources
                    assert find_start_of_line(node, "target-closed") >= run
                cut.cut(None)
                async with asyncio.timeout(10):
                    while cut.host not in list_sources(runners, began_at):
                        await ask_for([cut], 0.1)
            finally:
                await end_nodes(nodes)

    asyncio.run(test())
