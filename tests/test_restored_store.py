"""Tests of a store that comes back from a copy some seconds old.

What was written since is gone, and the revisions and leases of that time are
given out again.
"""

import asyncio
from base64 import b64decode, b64encode

import msgspec
import pytest
from result import Err
from structlog.testing import capture_logs

from tests.installation import Installation, eventually, free_address, run
from zinniaspool.core.dispatch import identify_content
from zinniaspool.core.fleet import (
    HELD_PREFIX,
    NODES_PREFIX,
    PLANS_PREFIX,
    InstanceId,
    MirrorEvent,
    StoredItem,
)
from zinniaspool.core.generations import make_revision
from zinniaspool.core.ids import Revision
from zinniaspool.core.storage import KeyWrite, StoreFault
from zinniaspool.fleet import FleetView
from zinniaspool.http import HttpClient
from zinniaspool.platform.kvstore import KvStore
from zinniaspool.platform.spelling import PlatformCodec
from zinniaspool_standins.pagestore import PageStore

IN_FORCE_S = 2.0
"""Time after its acknowledgement in which a configuration is in force."""

REPEATED_BODY = b"asked again"
RECORD = HELD_PREFIX + identify_content("POST", "/drafts/one", "care", REPEATED_BODY)
RECORDED = b64encode(b'{"node":"n9","crashed":["i-97","i-98","i-99"]}').decode()


def count_planning(made: Installation) -> int:
    """Return how many control processes plan groups now."""
    return sum(node.keeper.may_plan for node in made.nodes.values())


def find_planning(made: Installation) -> str:
    """Return the VM whose control process plans groups, or an empty name."""
    planning = [name for name, node in made.nodes.items() if node.keeper.may_plan]
    return planning[0] if planning else ""


def list_versions(made: Installation) -> list[int]:
    """Return the version of the configuration at each entry process."""
    views = [node.gateway._fleet_view for node in made.nodes.values()]
    return [0 if view.catalog is None else view.catalog.version for view in views]


async def make_changes(made: Installation, count: int = 6) -> None:
    """Write some versions, and wait until the last one is in force."""
    for _ in range(count):
        made.configure()
    await eventually(lambda: set(list_versions(made)) == {made.version})


def test_log_lines_show_a_restored_store() -> None:
    """Guards against a restore of the store that no log line shows."""

    async def test() -> None:
        async with Installation.running(nodes=1) as made:
            await made.settle()
            kept = made.store.make_copy()
            with capture_logs() as lines:
                await made.restore_store(kept)
                await eventually(
                    lambda: any(line["event"] == "store-restored" for line in lines)
                )

    run(test)


def test_a_change_after_a_restored_store_is_in_force_in_time() -> None:
    """Guards against revisions that are compared across a restore."""

    async def test() -> None:
        async with Installation.running(nodes=2) as made:
            await made.settle()
            kept = made.store.make_copy()
            await make_changes(made)
            await made.restore_store(kept)
            made.keys = ["another-key"]
            made.configure()
            await asyncio.sleep(IN_FORCE_S)
            assert list_versions(made) == [made.version] * 2
            for node in made.nodes:
                assert (await made.draft(node, "small", 1)).status == 401

    run(test)


def test_an_older_configuration_is_not_put_in_force_by_a_restored_store() -> None:
    """Guards against a configuration that goes back for a while."""

    async def test() -> None:
        async with Installation.running(nodes=2) as made:
            await made.settle()
            kept = made.store.make_copy()
            await make_changes(made)
            made.store.restore(kept)
            for _ in range(20):
                await asyncio.sleep(0.1)
                assert list_versions(made) == [made.version] * 2

    run(test)


def list_groups(made: Installation) -> set[str]:
    """Return the names of all open groups."""
    return made.groups("large") | made.groups("small")


async def repair_group(made: Installation) -> None:
    """Replace a member of a group, and wait until a plan names a new group."""
    before = list_groups(made)
    lost = made.runners[made.heads("small")[0].members[1]]
    lost.faults.dark = True
    made.replace_runner(lost)

    def list_saved() -> list[str]:
        plan = b64decode(made.store.get(PLANS_PREFIX + "d0") or "").decode()
        return [name for name in list_groups(made) - before if name in plan]

    await eventually(list_saved)


def test_groups_are_repaired_after_a_restored_store() -> None:
    """Guards against a holder whose plans the store refuses for good."""

    async def test() -> None:
        async with Installation.running(nodes=2, engines=6) as made:
            await made.settle()
            kept = made.store.make_copy()
            await repair_group(made)
            await made.restore_store(kept)
            await asyncio.sleep(0.5)
            await repair_group(made)
            for node in made.nodes:
                await made.await_served(node, "small")
            made.assert_sound()

    run(test)


def test_a_vm_that_started_after_the_copy_is_listed_again() -> None:
    """Guards against an entry VM whose record the restore has lost."""

    async def test() -> None:
        async with Installation.running(nodes=1) as made:
            await made.settle()
            kept = made.store.make_copy()
            await made.add_node("n9")
            await made.await_served("n9", "small")
            await eventually(lambda: made.store.get(NODES_PREFIX + "n9"))
            await made.restore_store(kept)
            await eventually(lambda: made.store.get(NODES_PREFIX + "n9"), 2.0)

    run(test)


def test_a_quarantine_outlasts_a_restored_store() -> None:
    """Guards against a restore that releases a request that crashes."""

    async def test() -> None:
        async with Installation.running(nodes=2) as made:
            await made.settle()
            kept = made.store.make_copy()
            made.store.put(RECORD, RECORDED)
            await asyncio.sleep(1.0)
            await made.restore_store(kept)
            await eventually(lambda: made.store.get(RECORD), 4.0)
            for node in made.nodes:
                answer = await made.draft(node, "small", 2, body=REPEATED_BODY)
                assert answer.headers.get("x-error-kind") == "quarantined"

    run(test)


def test_one_process_plans_after_a_restore_that_lost_the_holders_key() -> None:
    """Guards against an earlier holder that plans beside its successor.

    The restored store has the earlier holder's key, and that process runs.
    """

    async def test() -> None:
        async with Installation.running(nodes=3, engines=9) as made:
            await made.settle()
            first = find_planning(made)
            kept = made.store.make_copy()
            cut = made.nodes[first].file.store_address
            made.store.faults.only, made.store.faults.down = [cut], "reset"
            await eventually(lambda: find_planning(made) not in ("", first))
            second = find_planning(made)
            made.store.faults.only, made.store.faults.down = [], ""
            await make_changes(made, 2)
            await made.restore_store(kept)
            for _ in range(150):
                assert count_planning(made) <= 1
                await asyncio.sleep(0.02)
            assert find_planning(made) == second
            made.assert_sound()

    run(test)


def test_revisions_and_leases_of_before_a_restore_are_void() -> None:
    """Guards against a call that hits what was given out again."""

    async def test() -> None:
        server = PageStore()
        address = free_address()
        await server.listen(address)
        store = KvStore(HttpClient(), address)
        kept = server.make_copy()
        lease = (await store.grant(60.0)).unwrap()
        first = (await store.commit([], [KeyWrite("a", b"1", lease)])).unwrap()
        server.restore(kept)
        other = KvStore(HttpClient(), address)
        assert (await other.grant(60.0)).unwrap() != lease
        second = (await other.commit([], [KeyWrite("a", b"2")])).unwrap()
        assert second > first
        renewed = await store.renew(lease)
        assert isinstance(renewed, Err) and renewed.err_value is StoreFault.NO_LEASE
        over = await store.commit([("a", first)], [KeyWrite("a", b"3")])
        assert isinstance(over, Err) and over.err_value is StoreFault.CONFLICT
        ended = await store.end_lease(lease)
        assert isinstance(ended, Err) and ended.err_value is StoreFault.NO_LEASE
        watched = (await store.watch("", first, 0.1)).unwrap()
        assert not watched.complete
        item = (await store.get("a")).unwrap()
        assert item is not None and (item.value, item.revision) == (b"2", second)

    run(test)


def make_view() -> FleetView:
    """Return a view that has read a store of one instance, i-1."""
    view = FleetView(PlatformCodec())
    changes = view.mirror.replace(
        [make_item(make_revision(1, 5))], make_revision(1, 9), 0.0
    )
    view.apply_changes(changes)
    return view


def make_item(revision: Revision, state: str = "ready", orders: int = 3) -> StoredItem:
    """Return the record of i-1 as the store has it."""
    entry = {
        "service": "cards",
        "address": "10.0.0.1:80",
        "zone": "a",
        "version": "v1",
        "slots": 8,
        "state": state,
        "cold-left-ms": 0,
        "seq-no": orders,
    }
    return StoredItem("servers/i-1", msgspec.json.encode(entry), revision)


@pytest.mark.parametrize(("state", "orders"), [("draining", 3), ("ready", 4)])
def test_a_restored_record_does_not_take_back_what_is_known(
    state: str, orders: int
) -> None:
    """Guards against requests to an upstream that is known to be leaving."""
    view = make_view()
    known = make_item(make_revision(1, 12), state, orders)
    event = MirrorEvent(known.key, known.value, known.revision)
    view.apply_changes(view.mirror.apply([event], known.revision, 1.0))
    before = view.instances[InstanceId("i-1")]
    restored = make_item(make_revision(2, 5))
    view.apply_changes(view.mirror.replace([restored], make_revision(2, 9), 2.0))
    assert view.instances[InstanceId("i-1")] == before
    item = view.mirror.get("servers/i-1")
    assert item == StoredItem(known.key, known.value, restored.revision)
    rewritten = MirrorEvent(restored.key, restored.value, make_revision(2, 10))
    view.apply_changes(view.mirror.apply([rewritten], rewritten.revision, 3.0))
    assert view.instances[InstanceId("i-1")] != before


def test_a_removed_record_of_the_copy_counts_as_absent_for_a_while() -> None:
    """Guards against requests to an upstream that has ended since the copy."""
    for write_again in (False, True):
        view = make_view()
        removal = MirrorEvent("servers/i-1", None, make_revision(1, 12))
        view.apply_changes(view.mirror.apply([removal], removal.revision, 1.0))
        restored = make_item(make_revision(2, 5))
        changes = view.mirror.replace([restored], make_revision(2, 9), 2.0)
        view.apply_changes(changes + view.mirror.apply_due_changes(6.9))
        assert not view.instances
        if write_again:
            event = MirrorEvent(restored.key, restored.value, make_revision(2, 10))
            view.apply_changes(view.mirror.apply([event], event.revision, 6.9))
        else:
            view.apply_changes(view.mirror.apply_due_changes(7.0))
        assert InstanceId("i-1") in view.instances
