"""Callers are not sent to entry VMs that cannot be reached."""

import asyncio
import random

from tests.installation import Installation, eventually, run
from zinniaspool.core.fleet import Reachability, TryOutcome
from zinniaspool.core.ids import NodeId

MOST_LOST = 4
OTHERS = [NodeId(f"n{number}") for number in range(7)]


def make_reachability() -> Reachability:
    return Reachability(random.Random(1))


def test_one_lost_try_excludes_nobody() -> None:
    """A link that loses packets now and then loses a connection's first."""
    seen = make_reachability()
    assert not seen.note(OTHERS[0], TryOutcome.SILENT)
    assert OTHERS[0] in seen.list_usable(OTHERS)
    assert OTHERS[0] in seen.choose(OTHERS)
    assert seen.note(OTHERS[0], TryOutcome.SILENT)
    assert OTHERS[0] not in seen.list_usable(OTHERS)


def test_an_unreachable_vm_is_tried_until_it_is_back() -> None:
    seen = make_reachability()
    assert seen.note(OTHERS[0], TryOutcome.REFUSED)
    assert not seen.note(OTHERS[0], TryOutcome.REFUSED)
    for _ in range(5):
        assert OTHERS[0] in seen.choose(OTHERS)
    seen.note(OTHERS[0], TryOutcome.REACHED)
    assert seen.list_usable(OTHERS) == set(OTHERS)


def test_who_reaches_hardly_anybody_excludes_nobody() -> None:
    """Callers would all be sent to one VM that is cut off from the others."""
    seen = make_reachability()
    for name in OTHERS[:MOST_LOST]:
        seen.note(name, TryOutcome.REFUSED)
    assert seen.list_usable(OTHERS) == set(OTHERS)


def test_a_vm_that_another_one_does_not_reach_is_tried_next() -> None:
    seen = make_reachability()
    for name in OTHERS:
        seen.suspect(name)
        assert name in seen.choose(OTHERS)


def test_callers_are_not_told_of_a_vm_that_is_gone_though_the_store_is_down() -> None:
    """A caller that is sent to a VM without power waits for a second.

    The VM ends while the store is down, so that its record stays where it is.
    The others do not reach it, and leave it out of their answers.
    """

    async def test() -> None:
        async with Installation.running() as made:
            await made.add_node("n2")
            await made.settle()
            node = made.nodes["n0"]
            await eventually(lambda: len(node.gateway.list_addresses()) == 3)
            made.store.faults.down = "silent"
            await asyncio.sleep(0.2)
            await made.kill("n1")
            await eventually(lambda: len(node.gateway.list_addresses()) == 2, 3.0)

    run(test)
