"""Streams of which a stopping VM knows only how long they may be."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from tests.installation import Answer, eventually, run
from tests.test_planned_stops import StoppedInstallation

pytestmark = pytest.mark.processes

MOST, USUAL = 70, 10
"""Events that a stream may have, about 2.2 s, and those that it mostly has."""

STREAMS, AT_ONCE = 272, 16


async def _ask(made: StoppedInstallation, events: int) -> Answer:
    """Ask for a stream of some events that states the most it may have."""
    return await made.ask(
        "n0",
        f"/drafts/one?events={events}",
        deadline_ms=int(made.deadline_s * 1000),
        x_zinniaspool_model="small",
        x_zinniaspool_token_count=f"100,{MOST}",
    )


@asynccontextmanager
async def _stop(
    left_s: float, streams: int, heads: int = 2
) -> AsyncIterator[StoppedInstallation]:
    """Stop a VM that has seen streams of the usual length.

    Args:
        left_s: Time that it has left within the block, in seconds.
        streams: How many it has seen.
        heads: Heads of the model at the least.
    """
    async with StoppedInstallation.running(nodes=2, engines=4 + 4 * heads) as made:
        made.configure()
        await made.settle()
        await eventually(lambda: len(made.heads("small")) >= heads)
        for _ in range(streams // AT_ONCE):
            await asyncio.gather(*(_ask(made, USUAL) for _ in range(AT_ONCE)))
        made.nodes["n0"].gateway.stop()
        await asyncio.sleep(made.grace_s - left_s)
        yield made


def _describe(answer: Answer) -> str:
    return f"status {answer.status}, {len(answer.events)} of {MOST} events"


def test_a_stream_as_long_as_it_may_be_is_not_cut_after_short_ones() -> None:
    """Guards against a stream taken for as short as those before it."""

    async def check() -> None:
        async with _stop(left_s=1.9, streams=STREAMS) as made:
            answer = await _ask(made, MOST)
            assert answer.whole, _describe(answer)

    run(check)
