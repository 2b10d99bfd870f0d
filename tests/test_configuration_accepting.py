"""Changes of the configuration are accepted once or refused with a reason."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import pytest
from result import Err, Ok, Result

from tests.configuration_net import make_configuration
from zinniaspool.core.configuration import (
    PART_PREFIX,
    ROOT_KEY,
    DifferenceKind,
    compare_parts,
    decode_root,
    hash_content,
    join_parts,
    split_parts,
)
from zinniaspool.core.ids import Revision
from zinniaspool.store import (
    AcceptedRoot,
    ConfigurationStore,
    LeaseId,
    Proposal,
    StoreFault,
    StoreListing,
    StoreValue,
)
from zinniaspool.store.client import WatchBatch
from zinniaspool_standins.kvstore import KeyValueState

Hook = Callable[[str], Awaitable[None]]


@dataclass(slots=True)
class _LossyStore:
    """A store in memory that loses requests and responses of root writes.

    Attributes:
        state: The store's contents.
        lost_responses: Number of the next root writes that take effect but
            whose response is lost.
        lost_requests: Number of the next root writes that never arrive.
        before_root: Called once, before the next root write.
        after_root: Called once, after the next root write took effect.
    """

    state: KeyValueState = field(default_factory=KeyValueState)
    lost_responses: int = 0
    lost_requests: int = 0
    before_root: Hook | None = None
    after_root: Hook | None = None

    async def get(self, key: str) -> Result[StoreValue | None, StoreFault]:
        return Ok(self.state.get(key))

    async def list(self, prefix: str) -> Result[StoreListing, StoreFault]:
        return Ok(self.state.list(prefix))

    async def swap(
        self, key: str, value: str, expected: Revision, lease: LeaseId | None = None
    ) -> Result[Revision, StoreFault]:
        if key == ROOT_KEY and self.before_root is not None:
            hook, self.before_root = self.before_root, None
            await hook(key)
        if key == ROOT_KEY and self.lost_requests:
            self.lost_requests -= 1
            return Err(StoreFault.UNKNOWN)
        written = self.state.swap(key, value, expected, lease)
        if isinstance(written, StoreFault):
            return Err(written)
        if key == ROOT_KEY and self.after_root is not None:
            hook, self.after_root = self.after_root, None
            await hook(key)
        if key == ROOT_KEY and self.lost_responses:
            self.lost_responses -= 1
            return Err(StoreFault.UNKNOWN)
        return Ok(written)

    async def delete(self, key: str, expected: Revision) -> Result[None, StoreFault]:
        fault = self.state.delete(key, expected)
        return Err(fault) if fault else Ok(None)

    async def grant(self, ttl_s: float) -> Result[LeaseId, StoreFault]:
        return Err(StoreFault.UNAVAILABLE)

    async def renew(self, lease: LeaseId) -> Result[None, StoreFault]:
        return Err(StoreFault.UNAVAILABLE)

    async def revoke(self, lease: LeaseId) -> Result[None, StoreFault]:
        return Err(StoreFault.UNAVAILABLE)

    async def watch(
        self, prefix: str, after: Revision, timeout_s: float
    ) -> Result[WatchBatch, StoreFault]:
        return Err(StoreFault.UNAVAILABLE)


def _propose(change: int, tag: str = "") -> Proposal:
    contents = split_parts(make_configuration(change, customers=4))
    return Proposal(tag or f"tag{change}", "operator", contents)


async def _read(store: _LossyStore) -> AcceptedRoot | None:
    return (await ConfigurationStore(store).read()).unwrap()


async def _accept(store: _LossyStore, change: int, tag: str = "") -> Revision:
    base = await _read(store)
    accepted = await ConfigurationStore(store).accept(_propose(change, tag), base)
    return accepted.unwrap()


def test_of_two_racing_operators_the_second_sees_what_the_first_changed() -> None:
    """Both read the same base; the parts of the second change nothing."""

    async def race() -> None:
        store = _LossyStore()
        await _accept(store, 1)
        base = await _read(store)
        first = await ConfigurationStore(store).accept(_propose(2), base)
        second = await ConfigurationStore(store).accept(_propose(3), base)
        assert isinstance(first, Ok)
        assert isinstance(second, Err)
        fault = second.err_value
        assert fault.fault is StoreFault.CONFLICT
        assert base is not None
        assert fault.current is not None
        assert fault.current.revision == first.ok_value
        shown = compare_parts(base.contents, fault.current.contents)
        assert {d.part for d in shown} == {"customer/customer1", "customer/customer2"}
        assert all(d.kind is DifferenceKind.CHANGED for d in shown)
        assert 'may_use.0: "owner0" -> "owner2"' in shown[1].lines

    asyncio.run(race())


@pytest.mark.parametrize("overtaken", [False, True])
def test_a_lost_response_is_resolved_by_reading_back(overtaken: bool) -> None:
    """A swap took effect, its response was lost, another swap may follow.

    If this counted as a failure, the operator would apply the change again,
    over the change of another operator. The tag in the root, or in the history
    once the root was replaced, shows that the change was accepted and at which
    revision.
    """

    async def lose() -> None:
        store = _LossyStore()
        await _accept(store, 1)
        base = await _read(store)

        async def overtake(_: str) -> None:
            store.lost_responses = 0
            await _accept(store, 5)
            store.lost_responses = 1

        store.lost_responses = 1
        if overtaken:
            store.after_root = overtake
        accepted = await ConfigurationStore(store).accept(_propose(2), base)
        assert isinstance(accepted, Ok)
        found = await ConfigurationStore(store).read_revision(accepted.ok_value)
        kept = found.unwrap()
        assert kept is not None
        assert kept.contents == _propose(2).contents
        now = await _read(store)
        assert now is not None
        assert now.contents == _propose(5 if overtaken else 2).contents

    asyncio.run(lose())


def test_a_write_that_never_arrived_is_retried_once() -> None:
    async def retry() -> None:
        store = _LossyStore()
        await _accept(store, 1)
        store.lost_requests = 2
        revision = await _accept(store, 2)
        now = await _read(store)
        assert now is not None
        assert now.revision == revision
        assert now.root.number == 2

    asyncio.run(retry())


def test_parts_of_a_change_in_progress_survive_a_collection() -> None:
    """Another operator collects garbage while a change is being accepted.

    No root names the parts of the change yet. If they were deleted, the root
    accepted a moment later would name parts that no process has, and no
    process could activate it. This holds for new parts and for parts left
    from an earlier attempt.
    """

    async def collect() -> None:
        store = _LossyStore()
        left = _propose(3).contents
        for content in left.values():
            store.state.swap(
                PART_PREFIX + hash_content(content), content, Revision(0), None
            )
        await _accept(store, 1)
        deleted: list[int] = []

        async def collect_now(_: str) -> None:
            deleted.append(await ConfigurationStore(store).collect_garbage())

        store.before_root = collect_now
        await _accept(store, 3)
        assert deleted == [0]
        now = await _read(store)
        assert now is not None
        assert now.contents == left

    asyncio.run(collect())


def test_collection_bounds_history_and_parts_and_keeps_rollbacks_possible() -> None:
    async def grow() -> None:
        store = _LossyStore()
        for change in range(1, 200):
            await _accept(store, change)
        keys = [value.key for value in store.state.list("config/").values]
        assert sum(key.startswith("config/history/") for key in keys) <= 64 + 16
        assert sum(key.startswith(PART_PREFIX) for key in keys) <= 2 * (64 + 16) + 8
        history = (await ConfigurationStore(store).list_history()).unwrap()
        revisions = [kept.revision for kept in history]
        assert revisions == sorted(set(revisions))
        assert [kept.root.number for kept in history][-1] == 199
        for kept in history:
            past = (
                await ConfigurationStore(store).read_revision(kept.revision)
            ).unwrap()
            assert past is not None

    asyncio.run(grow())


def test_joined_parts_equal_the_configuration_that_was_split() -> None:
    configuration = make_configuration(1, customers=3, vms=12, domains=3)
    contents = split_parts(configuration)
    assert len(contents) == 1 + 3 + 3
    joined = join_parts(
        {name: hash_content(content) for name, content in contents.items()},
        {hash_content(content): content for content in contents.values()},
    )
    assert split_parts(joined) == contents
    assert joined.rules == configuration.rules
    assert set(joined.inventory.vms) == set(configuration.inventory.vms)


def test_an_accepted_root_names_its_base_and_its_author() -> None:
    async def accept() -> None:
        store = _LossyStore()
        first = await _accept(store, 1)
        await _accept(store, 2)
        found = store.state.get(ROOT_KEY)
        assert found is not None
        root = decode_root(found.value)
        assert (root.base, root.number, root.author) == (first, 2, "operator")

    asyncio.run(accept())
