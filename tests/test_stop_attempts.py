"""Attempts of streams at a stopping entry VM: probes."""

import asyncio

import pytest

from tests.installation import Answer, run
from tests.test_planned_stops import StoppedInstallation
from zinniaspool.core.dispatch import TargetPool, TargetState
from zinniaspool.core.ids import ModelName, ServiceName
from zinniaspool_standins.runners import Runner

pytestmark = pytest.mark.processes

EVENTS = 30


async def _stop(made: StoppedInstallation, left_s: float) -> tuple[Runner, TargetPool]:
    """Stop a VM that knows its streams, and wait for a part of the stop time.

    Returns:
        A head of the model, and the stopping process's targets.
    """
    made.configure()
    await made.settle()
    for _ in range(4):
        await asyncio.gather(*(made.draft("n0", "small", 20) for _ in range(8)))
    gateway = made.nodes["n0"].gateway
    gateway.stop()
    await asyncio.sleep(made.grace_s - left_s)
    pool = gateway._index.find_pool(ServiceName("drafting"), ModelName("small"))
    return made.heads("small")[0], pool


async def _draft(made: StoppedInstallation, count: int) -> list[Answer]:
    return await asyncio.gather(
        *(
            made.draft("n0", "small", EVENTS, f"late-{k}", deadline_ms=8000)
            for k in range(count)
        )
    )


def test_a_stopping_vm_probes_no_slow_target(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an accepted stream that a slow head ends too late."""

    async def check() -> None:
        async with StoppedInstallation.running(nodes=2, engines=10) as made:
            head, pool = await _stop(made, left_s=1.8)
            head.faults.pace = 2.5
            slow = next(one for one in pool if one.target.instance == head.id)

            def find_probe(_: float) -> TargetState | None:
                return None if slow.local_requests else slow

            def list_fast(usable: list[TargetState]) -> list[TargetState]:
                return [one for one in usable if one is not slow]

            monkeypatch.setattr(pool.slow, "find_probe", find_probe)
            monkeypatch.setattr(pool.slow, "filter_usable", list_fast)
            answers = await _draft(made, 4)
            assert [len(one.events) for one in answers if one.whole] == [EVENTS] * 4

    run(check)
