"""Callers are not sent to entry VMs that cannot be reached."""

import asyncio
import random

from tests.installation import Installation, eventually, run
from zinniaspool.core.fleet import ProbeOutcome, ReachabilityTracker
from zinniaspool.core.fleet.reachability import FAILURES_UNTIL_GONE
from zinniaspool.core.ids import NodeId

UNREACHABLE_VMS = 4
OTHERS = [NodeId(f"n{number}") for number in range(7)]


def make_tracker() -> ReachabilityTracker:
    return ReachabilityTracker(random.Random(1))


def test_one_failed_probe_excludes_no_vm() -> None:
    """A link that loses packets may lose the first one of a connection."""
    tracker = make_tracker()
    assert not tracker.record_outcome(OTHERS[0], ProbeOutcome.NO_ANSWER)
    assert OTHERS[0] in tracker.list_usable(OTHERS, has_path=True)
    assert OTHERS[0] in tracker.choose_probes(OTHERS)
    assert tracker.record_outcome(OTHERS[0], ProbeOutcome.NO_ANSWER)
    assert OTHERS[0] not in tracker.list_usable(OTHERS, has_path=True)


def test_an_unreachable_vm_is_probed_until_it_is_back() -> None:
    tracker = make_tracker()
    assert tracker.record_outcome(OTHERS[0], ProbeOutcome.REFUSED)
    assert not tracker.record_outcome(OTHERS[0], ProbeOutcome.REFUSED)
    for _ in range(5):
        assert OTHERS[0] in tracker.choose_probes(OTHERS)
    tracker.record_outcome(OTHERS[0], ProbeOutcome.REACHED)
    assert tracker.list_usable(OTHERS, has_path=True) == set(OTHERS)


def test_a_vm_that_reaches_hardly_any_other_excludes_none() -> None:
    """All callers would be sent to a VM that is cut off from the others."""
    tracker = make_tracker()
    for name in OTHERS[:UNREACHABLE_VMS]:
        tracker.record_outcome(name, ProbeOutcome.REFUSED)
    assert tracker.list_usable(OTHERS, has_path=True) == set(OTHERS)


def test_vms_that_stay_unreachable_are_left_out_however_many_they_are() -> None:
    """Guards against VMs without power that are announced until leases expire.

    One had been unreachable for long when half of them lost their power.
    """
    tracker = make_tracker()
    first, *others = OTHERS[:UNREACHABLE_VMS]
    for _ in range(FAILURES_UNTIL_GONE):
        tracker.record_outcome(first, ProbeOutcome.NO_ANSWER)
    for name in others:
        tracker.record_outcome(name, ProbeOutcome.REFUSED)
    for has_path in (True, False):
        assert tracker.list_usable(OTHERS, has_path=has_path) == {*OTHERS} - {first}
    for _ in range(FAILURES_UNTIL_GONE - 1):
        for name in others:
            tracker.record_outcome(name, ProbeOutcome.NO_ANSWER)
    for has_path in (True, False):
        usable = tracker.list_usable(OTHERS, has_path=has_path)
        assert usable == {*OTHERS[UNREACHABLE_VMS:]}


def test_a_vm_that_reaches_nothing_excludes_none() -> None:
    """Its callers may reach the others, and it can't serve them itself."""
    tracker = make_tracker()
    for _ in range(FAILURES_UNTIL_GONE):
        for name in OTHERS:
            tracker.record_outcome(name, ProbeOutcome.NO_ANSWER)
    assert tracker.list_usable(OTHERS, has_path=False) == set(OTHERS)
    assert tracker.list_usable(OTHERS, has_path=True) == set()


def test_a_vm_that_another_process_did_not_reach_is_probed_next() -> None:
    tracker = make_tracker()
    for name in OTHERS:
        tracker.suspect(name)
        assert name in tracker.choose_probes(OTHERS)


def test_an_ended_vm_is_not_announced_while_the_store_is_down() -> None:
    """A caller that is sent to a VM without power waits for a second.

    The VM ends while the store is down, so its record stays in all copies.
    The other VMs cannot reach it and stop announcing it.
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


def test_the_only_vm_that_is_left_announces_itself_alone() -> None:
    """Guards against ended VMs in the answers until their leases expire."""

    async def test() -> None:
        async with Installation.running() as made:
            await made.settle()
            node = made.nodes["n0"]
            await eventually(lambda: len(node.gateway.list_addresses()) == 2)
            await made.kill("n1")
            await eventually(lambda: len(node.gateway.list_addresses()) == 1, 8.0)
            assert NodeId("n1") in node.gateway._fleet_view.nodes

    run(test)
