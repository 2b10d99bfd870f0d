"""Streams at a stopping VM while the paces of heads vary."""

import asyncio
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from random import Random

import pytest

from tests.installation import Answer, eventually, run
from tests.test_planned_stops import StoppedInstallation
from zinniaspool_standins.runners import Runner

pytestmark = pytest.mark.processes

PASS_S = 0.03
"""Usual time from one event to the next, in seconds."""

PACE_HELD_S = 0.2
"""Time for which a head that varies has the same pace, in seconds."""

LENGTHS = range(48, 93, 2)
"""Events of streams that are asked for at once: few and too many for the time
that is left, so that some are accepted with the least room."""


async def _ask(made: StoppedInstallation, events: int, name: str) -> Answer:
    """Ask for a stream that has as many events as it states."""
    return await made.ask(
        "n0",
        f"/drafts/one?events={events}",
        deadline_ms=int(made.deadline_s * 1000),
        request_id=name,
        x_zinniaspool_model="small",
        x_zinniaspool_token_count=f"100,{events}",
    )


async def _ask_all(made: StoppedInstallation, lengths: Iterable[int]) -> list[str]:
    """Ask for streams at once.

    Returns:
        What became of each, as ``whole``, ``refused`` or a description of an
        answer that was cut, in the order of the lengths.
    """
    lengths = list(lengths)
    names = [f"late-{number}" for number in range(len(lengths))]
    answers = await asyncio.gather(
        *(_ask(made, *asked) for asked in zip(lengths, names, strict=True))
    )
    return [
        _describe(answer, events, made.runs_of(name))
        for answer, events, name in zip(answers, lengths, names, strict=True)
    ]


def _describe(answer: Answer, events: int, heads: list[str]) -> str:
    if answer.whole and answer.status == 200 and len(answer.events) == events:
        return "whole"
    if answer.whole and answer.status != 200:
        return "refused"
    return f"status {answer.status}, {len(answer.events)} of {events} events at {heads}"


def _list_cut(outcomes: list[str]) -> list[str]:
    return [one for one in outcomes if one not in ("whole", "refused")]


@asynccontextmanager
async def _stop(
    left_s: float, heads: int = 3, pace: float = 1.0, older: int = 0
) -> AsyncIterator[StoppedInstallation]:
    """Stop a VM that knows its streams.

    Args:
        left_s: Time that it has left within the block, in seconds.
        heads: Heads of the model at the least.
        pace: Their pace until then.
        older: Streams that the stopping VM has in progress.
    """
    async with StoppedInstallation.running(nodes=2, engines=4 + 4 * heads) as made:
        made.configure()
        await made.settle()
        await eventually(lambda: len(made.heads("small")) >= heads)
        _set_pace(made.heads("small"), pace)
        for k in range(4):
            await asyncio.gather(*(_ask(made, 20, f"early-{k}-{n}") for n in range(8)))
        made.nodes["n0"].gateway.stop()
        running = [
            asyncio.create_task(_ask(made, 140, f"older-{n}")) for n in range(older)
        ]
        await asyncio.sleep(made.grace_s - left_s)
        yield made
        await asyncio.gather(*running)


def _set_pace(heads: Iterable[Runner], pace: float) -> None:
    for one in heads:
        one.faults.pace = pace


async def _vary(heads: Iterable[Runner], paces: list[float], seed: int) -> None:
    """Have each head go through some paces again and again, until cancelled.

    The order is another one at each head and in each round.
    """
    random = Random(seed)

    async def vary(head: Runner, random: Random) -> None:
        while True:
            for head.faults.pace in random.sample(paces, len(paces)):
                await asyncio.sleep(PACE_HELD_S)

    async with asyncio.TaskGroup() as group:
        for one in heads:
            group.create_task(vary(one, Random(random.random())))


def test_a_stream_has_room_for_paces_that_others_showed() -> None:
    """Guards against a stream cut at a head that is as slow as others were."""

    async def check() -> None:
        left_s, pace = 3.2, 1.45
        async with _stop(left_s=left_s + 1.0, older=6) as made:
            heads = made.heads("small")
            varying = asyncio.create_task(_vary(heads, [1.0, 1.2, 1.5], 1))
            await asyncio.sleep(1.0)
            varying.cancel()
            _set_pace(heads, 1.0)
            asking = asyncio.create_task(_ask_all(made, LENGTHS))
            await asyncio.sleep(0.3)
            _set_pace(heads, pace)
            outcomes = await asking
            assert not _list_cut(outcomes), outcomes
            short = [one for one in LENGTHS if one * pace * PASS_S < left_s - 1.0]
            assert set(outcomes[: len(short)]) == {"whole"}, outcomes

    run(check)


def test_streams_end_whole_at_heads_that_are_alike() -> None:
    """Guards against streams that are moved back and forth until cut."""

    async def check() -> None:
        async with _stop(left_s=3.5) as made:
            heads = made.heads("small")
            asking = asyncio.create_task(_ask_all(made, [70] * 8))
            await asyncio.sleep(0.25)
            for one in heads:
                one.times.lag_s = (0.1, 0.25)
            varying = asyncio.create_task(_vary(heads, [1.0, 1.3, 1.9, 2.2], 1))
            outcomes = await asking
            varying.cancel()
            runs = [made.runs_of(f"late-{n}") for n in range(8)]
            assert all(len(one) == len(set(one)) <= 2 for one in runs), (outcomes, runs)
            assert set(outcomes) == {"whole"}, (outcomes, runs)

    run(check)


def test_a_stream_given_up_at_one_head_has_room_at_the_next() -> None:
    """Guards against a second attempt begun in the time of the first one."""

    async def check() -> None:
        async with _stop(left_s=3.4, pace=1.2, heads=2) as made:
            late, *others = made.heads("small")
            _set_pace(others, 1.0)
            late.faults.pace, late.times.lag_s = 2.2, (0.1, 0.1)
            asking = asyncio.create_task(_ask_all(made, LENGTHS))
            await asyncio.sleep(0.7)
            _set_pace(others, 1.5)
            outcomes = await asking
            assert not _list_cut(outcomes), outcomes

    run(check)


def test_a_head_left_after_few_events_is_not_gone_back_to() -> None:
    """Guards against a stream moved to a head that was too slow before."""

    async def check() -> None:
        async with _stop(left_s=3.4, heads=2) as made:
            heads = made.heads("small")
            asking = asyncio.create_task(_ask_all(made, [70]))
            await eventually(lambda: made.runs_of("late-0"))
            first = made.runners[made.runs_of("late-0")[0]]
            await asyncio.sleep(0.5)
            first.faults.silent = True
            others = [one for one in heads if one is not first]
            for one in others:
                one.times.pass_s *= 8
            await eventually(lambda: any("late-0" in one.begun for one in others))
            first.faults.silent = False
            first.times.pass_s *= 1.4
            outcomes = await asking
            runs = made.runs_of("late-0")
            assert all(runs.count(one.id) <= 1 for one in others), (outcomes, runs)

    run(check)


def test_a_stream_leaves_a_slow_head_if_only_slow_heads_have_others() -> None:
    """Guards against free heads that count as slow as those with streams."""

    async def check() -> None:
        async with _stop(left_s=4.0, heads=4) as made:
            names = [f"late-{number}" for number in range(8)]
            asking = {name: asyncio.create_task(_ask(made, 70, name)) for name in names}
            await asyncio.sleep(0.5)
            at_head = {name: made.runs_of(name)[0] for name in names}
            slow = sorted(set(at_head.values()))[:2]
            for name in names:
                if at_head[name] not in slow:
                    asking.pop(name).cancel()
            _set_pace([made.runners[one] for one in slow], 3.0)
            answers = {name: await task for name, task in asking.items()}
            outcomes = [
                _describe(answer, 70, made.runs_of(name))
                for name, answer in answers.items()
            ]
            assert set(outcomes) == {"whole"}, outcomes

    run(check)


def test_a_stream_given_up_at_a_slow_head_is_begun_at_a_usual_one() -> None:
    """Guards against an error answer while a usual head would have time."""

    async def check() -> None:
        async with _stop(left_s=5.0) as made:
            heads = made.heads("small")
            _set_pace(heads, 3.0)
            asking = asyncio.create_task(_ask_all(made, [90]))
            await eventually(lambda: made.runs_of("late-0"))
            first = made.runs_of("late-0")
            _set_pace((one for one in heads if one.id not in first), 1.0)
            outcomes = await asking
            assert outcomes == ["whole"], (outcomes, made.runs_of("late-0"))

    run(check)


def test_streams_that_begin_slowly_go_on_where_they_may_still_end() -> None:
    """Guards against an error answer since heads were slow for a moment."""

    async def check() -> None:
        async with _stop(left_s=4.2) as made:
            heads, names = made.heads("small"), [f"late-{n}" for n in range(6)]
            asking = asyncio.create_task(_ask_all(made, [90] * len(names)))
            await eventually(lambda: all(made.runs_of(name) for name in names))
            _set_pace(heads, 3.0)
            await asyncio.sleep(0.7)
            _set_pace(heads, 1.0)
            outcomes = await asking
            assert set(outcomes) == {"whole"}, outcomes

    run(check)


def test_a_stream_that_begins_late_has_room_for_a_pause_that_was_seen() -> None:
    """Guards against a known pause that is counted on at acceptance only."""

    async def check() -> None:
        async with _stop(left_s=6.0, heads=2, older=4) as made:
            heads = made.heads("small")
            await _silence(heads, 0.9)
            await asyncio.sleep(1.2)
            asking = asyncio.create_task(_ask_all(made, range(30, 77, 2)))
            await _silence(heads, 0.5)
            await asyncio.sleep(0.5)
            await _silence(heads, 0.9)
            outcomes = await asking
            assert not _list_cut(outcomes), outcomes
            assert "whole" in outcomes, outcomes

    run(check)


async def _silence(heads: Iterable[Runner], for_s: float) -> None:
    """Have heads answer nobody for a time in seconds."""
    for one in heads:
        one.faults.silent = True
    await asyncio.sleep(for_s)
    for one in heads:
        one.faults.silent = False
