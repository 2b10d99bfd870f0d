"""Tests of which process plans while the store is down."""

import asyncio
from typing import Any, cast

import msgspec
import pytest

from tests.virtual_time import run_in_virtual_time
from zinniaspool.core.fleet import (
    HOLDER_KEY,
    NODES_PREFIX,
    HolderRecord,
    NodeRecord,
    NodeState,
    StoredItem,
)
from zinniaspool.core.generations import make_revision
from zinniaspool.core.ids import Address, FailureDomainId, NodeId
from zinniaspool.fleet import FleetView, HolderHeartbeat
from zinniaspool.keeper.election import HolderElection
from zinniaspool.platform.spelling import PlatformCodec

NODE, ADDRESS = NodeId("n0"), Address("10.0.0.1:81")


class CutOffPeers:
    """Peers that don't reach the store either."""

    async def query_store_status(self, address: Address) -> bool:
        return False


def make_election(view: FleetView) -> HolderElection:
    """Return the election of a process that doesn't reach the store."""
    peers = cast(Any, CutOffPeers())
    return HolderElection(
        cast(Any, None), view, peers, HolderHeartbeat(), NODE, ADDRESS
    )


def make_peer() -> StoredItem:
    """Return the record of another VM."""
    record = NodeRecord(
        NodeId("n1"),
        Address("10.0.0.2:80"),
        Address("10.0.0.2:81"),
        FailureDomainId("hall-a"),
        "north",
        NodeState.READY,
    )
    key = NODES_PREFIX + record.node
    return StoredItem(key, msgspec.json.encode(record), make_revision(2, 3))


@pytest.mark.parametrize("is_own_start", [False, True])
def test_a_key_lost_to_another_process_is_not_resumed_from_a_restored_store(
    *, is_own_start: bool
) -> None:
    """Guards against two processes that plan after a restore.

    The key of an earlier start on this VM is resumed; that start has ended.
    """

    async def test() -> None:
        view = FleetView(PlatformCodec())
        election = make_election(view)
        start = election._record.start if is_own_start else "before"
        record = HolderRecord(NODE, ADDRESS, start)
        key = StoredItem(HOLDER_KEY, msgspec.json.encode(record), make_revision(2, 5))
        view.apply_changes(
            view.mirror.replace([make_peer(), key], make_revision(2, 9), 0.0)
        )
        task = asyncio.create_task(election.run())
        await asyncio.sleep(2.0)
        assert election.may_plan is not is_own_start
        task.cancel()

    run_in_virtual_time(test)


def test_a_holder_whose_key_was_taken_over_and_removed_does_not_plan() -> None:
    """Guards against a holder whose every plan the store refuses.

    It learns of its successor's key and of its removal at the same moment.
    """
    view = FleetView(PlatformCodec())
    election = make_election(view)
    election.revision = make_revision(2, 5)
    for as_of, is_held in ((4, True), (7, False)):
        view.apply_changes(
            view.mirror.replace([make_peer()], make_revision(2, as_of), 0.0)
        )
        assert election.holds_key is is_held
    view.apply_changes(view.mirror.replace([make_peer()], make_revision(3, 1), 0.0))
    assert election.holds_key
