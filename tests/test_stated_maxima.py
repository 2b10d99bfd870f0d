"""Streams of which a stopping VM knows only how long they may be."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from http import HTTPStatus

import pytest
from structlog.testing import capture_logs

from tests.installation import Answer, eventually, run
from tests.test_planned_stops import StoppedInstallation
from zinniaspool.gateway.moves import Rerouter
from zinniaspool_standins.runners import Runner

pytestmark = pytest.mark.processes

MOST, USUAL = 70, 10
"""Events that a stream may have, about 2.2 s, and those that it mostly has."""

SLOW = 5.0
STREAMS, AT_ONCE = 272, 16


async def _ask(made: StoppedInstallation, events: int, name: str = "") -> Answer:
    """Ask for a stream of some events that states the most it may have."""
    return await made.ask(
        "n0",
        f"/drafts/one?events={events}",
        deadline_ms=int(made.deadline_s * 1000),
        request_id=name or f"short-{made.requests}",
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


@pytest.mark.parametrize("slow_heads", ["all", "first"])
def test_a_stream_at_a_slow_head_ends_or_gets_a_whole_error(slow_heads: str) -> None:
    """Guards against a stream begun where it can't end before the process."""

    async def check() -> None:
        async with _stop(left_s=3.6, streams=2 * AT_ONCE) as made:
            loop, heads = asyncio.get_running_loop(), made.heads("small")
            began_at = loop.time()
            asking = asyncio.create_task(_ask(made, MOST, "late"))
            await eventually(lambda: bool(made.runs_of("late")))
            first: Runner = made.runners[made.runs_of("late")[0]]
            for one in heads if slow_heads == "all" else [first]:
                one.faults.pace = SLOW
            answer = await asking
            assert answer.whole, _describe(answer)
            if slow_heads == "first":
                assert answer.status == HTTPStatus.OK, _describe(answer)
            else:
                assert loop.time() - began_at < 2.0

    run(check)


def test_a_stream_that_waits_for_its_first_event_is_not_behind(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against prompts read twice while all heads are busy."""
    # Later first events were seen before.
    monkeypatch.setattr(Rerouter, "_is_overdue", lambda *_: False)

    async def check() -> None:
        with capture_logs() as lines:
            async with _stop(left_s=3.0, streams=2 * AT_ONCE) as made:
                heads = made.heads("small")
                for one in heads:
                    one.times.pass_s *= 12
                asking = asyncio.create_task(_ask(made, MOST, "late"))
                await asyncio.sleep(0.33)
                for one in heads:
                    one.times.pass_s /= 12
                answer = await asking
                assert answer.whole, _describe(answer)
        behind = [line for line in lines if line["event"] == "stream-behind"]
        assert all(line["last_event"] for line in behind), behind

    run(check)


@pytest.mark.parametrize("equally_slow", [True, False])
def test_a_stream_is_moved_where_others_end_sooner(equally_slow: bool) -> None:
    """Guards against attempts used for heads that are as slow.

    Other streams in progress show how slow they are.
    """

    async def check() -> None:
        with capture_logs() as lines:
            async with _stop(left_s=6.0, streams=2 * AT_ONCE) as made:
                names = [f"late-{number}" for number in range(4)]
                asking = [asyncio.create_task(_ask(made, MOST, name)) for name in names]
                await asyncio.sleep(0.8)
                slow = made.heads("small")
                if not equally_slow:
                    slow = [made.runners[made.runs_of(names[0])[0]]]
                for one in slow:
                    one.faults.pace = SLOW
                await asyncio.gather(*asking)
        moved = [line for line in lines if line["event"] == "stream-moved"]
        assert bool(moved) is not equally_slow, moved

    run(check)
