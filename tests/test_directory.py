"""Which VMs callers are sent to while one of them is being stopped."""

import asyncio
import random

import msgspec

from tests.virtual_time import run_in_virtual_time
from zinniaspool.core.fleet import (
    NODES_PREFIX,
    NodeRecord,
    NodeState,
    ReachabilityTracker,
    StoredItem,
)
from zinniaspool.core.generations import make_revision
from zinniaspool.core.ids import Address, FailureDomainId, NodeId
from zinniaspool.fleet import FleetView
from zinniaspool.gateway.directory import LEAVING_MARGIN_S, DirectoryHandler
from zinniaspool.platform.spelling import PlatformCodec

NODE = NodeId("n1")
ADDRESS = Address("10.0.0.1:80")
LEFT_S = 6.0


def write_record(view: FleetView, state: NodeState, number: int) -> None:
    """Have the VM's record arrive from the store."""
    record = NodeRecord(
        NODE, ADDRESS, Address("10.0.0.1:81"), FailureDomainId("hall"), "north", state
    )
    revision = make_revision(1, number)
    item = StoredItem(NODES_PREFIX + NODE, msgspec.json.encode(record), revision)
    view.apply_changes(view.mirror.replace([item], revision, 0.0))


def make_directory() -> tuple[FleetView, DirectoryHandler]:
    """Return a directory and its view of the fleet."""
    view = FleetView(PlatformCodec())
    reachability = ReachabilityTracker(random.Random(1))
    return view, DirectoryHandler(view, lambda: None, 2.0, reachability)


def test_a_vm_that_was_started_again_is_announced_at_once() -> None:
    """Guards against a restarted VM that is taken for the stopping one."""

    async def test() -> None:
        view, directory = make_directory()
        write_record(view, NodeState.READY, 1)
        assert directory.list_addresses() == [ADDRESS]
        directory.handle_leaving(NODE, LEFT_S)
        assert directory.list_addresses() == []
        write_record(view, NodeState.LEAVING, 2)
        assert directory.list_addresses() == []
        write_record(view, NodeState.READY, 3)
        assert directory.list_addresses() == [ADDRESS]

    run_in_virtual_time(test)


def test_a_vm_that_left_without_a_record_is_announced_again() -> None:
    """Guards against a VM that is left out until the store answers."""

    async def test() -> None:
        view, directory = make_directory()
        write_record(view, NodeState.READY, 1)
        directory.handle_leaving(NODE, LEFT_S)
        await asyncio.sleep(LEFT_S + LEAVING_MARGIN_S - 0.1)
        assert directory.list_addresses() == []
        await asyncio.sleep(0.2)
        assert directory.list_addresses() == [ADDRESS]

    run_in_virtual_time(test)
