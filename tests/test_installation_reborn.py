"""Runners that start again under their ids, over the platform's protocols."""

import asyncio

from tests.installation import Installation, eventually, run


def test_a_member_that_starts_again_never_counts_for_its_old_group() -> None:
    """Callers notice a short pause at most.

    A member of a group crashes and starts again at once, under its id and at
    its address, so that nobody misses it. Its head keeps its connections and
    stands still. The group is given up by the member's start, and another one
    serves under another name.
    """

    async def test() -> None:
        async with Installation.running(engines=9) as made:
            await eventually(lambda: len(made.heads("large")) >= 2)
            await made.settle()
            head = made.heads("large")[0]
            assert head.group is not None
            old = head.group["name"]
            made.runners[head.members[1]].restart()
            await eventually(lambda: old not in made.groups("large"), 3.0)
            await eventually(lambda: len(made.heads("large")) >= 2)
            runs = len(head.runs) if head.group is None else 0
            for _ in range(6):
                answer = await made.draft("n0", "large", events=3)
                assert (answer.status, answer.events) == (200, [1, 2, 3])
            assert head.group is not None or len(head.runs) == runs
            made.assert_sound()

    run(test)


def test_a_head_that_starts_again_is_used_as_what_it_is_now() -> None:
    """A request would be sent on a connection of before, and be lost."""

    async def test() -> None:
        async with Installation.running(engines=9) as made:
            await eventually(lambda: len(made.heads("large")) >= 2)
            await made.settle()
            head = made.heads("large")[0]
            head.restart()
            await asyncio.sleep(0.5)
            for _ in range(6):
                answer = await made.draft("n0", "large", events=3)
                assert (answer.status, answer.events) == (200, [1, 2, 3])
            await eventually(lambda: len(made.heads("large")) >= 2)
            made.assert_sound()

    run(test)


def test_a_member_that_starts_again_behind_a_cut_is_found_by_its_answer() -> None:
    """Its entry names the group for as long as the cut lasts.

    The group's callers notice that the head stands still; the holder asks
    the members, and the one that started again says so.
    """

    async def test() -> None:
        async with Installation.running(engines=9) as made:
            await eventually(lambda: len(made.heads("large")) >= 2)
            await made.settle()
            head = made.heads("large")[0]
            assert head.group is not None
            old = head.group["name"]
            reborn = made.runners[head.members[1]]
            reborn.faults.cut = True
            reborn.restart()
            asking = [
                asyncio.create_task(made.draft("n0", "large", events=30))
                for _ in range(4)
            ]
            await eventually(lambda: old not in made.groups("large"), 4.0)
            for answer in await asyncio.gather(*asking):
                assert answer.events == list(range(1, 31))
            made.assert_sound()

    run(test)


def test_an_entry_of_another_writer_stops_nobody() -> None:
    """All processes read it; callers notice nothing."""

    async def test() -> None:
        async with Installation.running() as made:
            await made.settle()
            for number, text in enumerate(("", "AAAA", "e30=", "/w==")):
                made.store.put(f"servers/foreign-{number}", text)
            await asyncio.sleep(0.5)
            for node in made.nodes:
                assert (await made.draft(node, events=2)).status == 200
            made.store.put("servers/foreign-0", "e30=")
            made.configure()
            await asyncio.sleep(0.5)
            assert (await made.draft("n0", events=2)).status == 200
            made.assert_sound()

    run(test)
