"""Who follows whom, and what that costs each VM of a fleet of any size."""

import asyncio
from collections import Counter

import msgspec
import pytest
from hypothesis import given, strategies as st
from result import Err, Ok

from zinniaspool.core.fleet import (
    FANOUT,
    HOLDER_KEY,
    NODES_PREFIX,
    DemandTotals,
    HolderRecord,
    MirrorEvent,
    ModelDemandReport,
    NodeRecord,
    NodeState,
    StoredItem,
    choose_relays,
)
from zinniaspool.core.ids import (
    Address,
    FailureDomainId,
    ModelName,
    NodeId,
    Revision,
    ServiceName,
)
from zinniaspool.core.messages.fleet import FleetUpdate, FleetWatch
from zinniaspool.core.storage import StoreFault, WatchResult
from zinniaspool.fleet import FleetBelief, FleetFollower, HolderSight, Place
from zinniaspool.fleet.mesh import pack_items
from zinniaspool.platform.spelling import PlatformSpelling

MODEL = (ServiceName("s"), ModelName("m"))


def make_fleet(size: int, domains: int = 5) -> dict[NodeId, FailureDomainId]:
    return {
        NodeId(f"vm-{number}"): FailureDomainId(f"d{number % domains}")
        for number in range(size)
    }


def find_lead(
    own: NodeId, holder: NodeId, nodes: dict[NodeId, FailureDomainId]
) -> NodeId:
    return (choose_relays(own, holder, nodes) or [holder])[0]


def test_a_small_fleet_follows_the_holder_itself() -> None:
    nodes = make_fleet(8, 3)
    assert all(choose_relays(one, NodeId("vm-0"), nodes) == [] for one in nodes)


@pytest.mark.parametrize("size", [30, 67, 195, 380])
def test_nobody_tells_the_whole_fleet(size: int) -> None:
    """One holder that told 194 VMs of each change had no time to plan."""
    nodes, holder = make_fleet(size), NodeId("vm-3")
    followers = Counter(find_lead(one, holder, nodes) for one in nodes if one != holder)
    assert max(followers.values()) <= 2 * FANOUT


@given(size=st.integers(2, 250), held_by=st.integers(0, 249))
def test_each_way_ends_at_the_holder_after_one_relay_at_most(
    size: int, held_by: int
) -> None:
    nodes = make_fleet(size)
    holder = NodeId(f"vm-{held_by % size}")
    for one in nodes:
        if one == holder:
            continue
        lead = find_lead(one, holder, nodes)
        assert lead == holder or find_lead(lead, holder, nodes) == holder
        assert lead == holder or nodes[lead] == nodes[one]


def test_most_have_a_second_relay_when_the_first_is_lost() -> None:
    nodes, holder = make_fleet(195), NodeId("vm-3")
    for one in nodes:
        chosen = choose_relays(one, holder, nodes)
        assert len(chosen) in (0, 2)
        assert len(set(chosen)) == len(chosen)


def make_demand(busy: float) -> list[ModelDemandReport]:
    return [ModelDemandReport(*MODEL, busy)]


def test_demand_is_summed_over_followers_and_forgotten_with_them() -> None:
    sums = DemandTotals()
    sums.update(NodeId("a"), make_demand(2.0), 0.0)
    sums.update(NodeId("b"), make_demand(3.5), 0.4)
    sums.update(NodeId("a"), make_demand(1.0), 0.5)
    assert sums.sum_by_model(0.6) == make_demand(4.5)
    assert sums.sum_by_model(1.45) == make_demand(1.0)
    assert sums.sum_by_model(9.0) == []


class FakeMesh:
    """Peers that answer or do not, by address."""

    def __init__(self) -> None:
        self.silent: set[Address] = set()
        self.asked: list[Address] = []
        self.as_of = Revision(5)
        self.demands: list[list[ModelDemandReport]] = []

    async def ask(self, address: Address, watch: FleetWatch) -> FleetUpdate | None:
        self.asked.append(address)
        self.demands.append(watch.demands)
        await asyncio.sleep(0.001)
        if address in self.silent:
            return None
        return FleetUpdate(
            "src",
            1,
            not watch.as_of,
            pack_items([]),
            self.as_of,
            0.0,
            "start",
            0.0,
            False,
        )


class FakeStore:
    """A store that only counts what it is asked."""

    def __init__(self) -> None:
        self.watches = 0

    async def watch(
        self, prefix: str, after: Revision, wait_s: float, overdue_s: float
    ) -> Ok[WatchResult] | Err[StoreFault]:
        self.watches += 1
        await asyncio.sleep(0.001)
        events: list[MirrorEvent] = []
        return Ok(WatchResult(events, after))


def make_belief(size: int) -> FleetBelief:
    belief = FleetBelief(PlatformSpelling(), reads_instances=False)
    items = []
    for node, domain in make_fleet(size).items():
        number = node.removeprefix("vm-")
        record = NodeRecord(
            node,
            Address(f"10.0.0.{number}:80"),
            Address(f"10.0.0.{number}:81"),
            domain,
            "r",
            NodeState.READY,
            Address(f"10.0.0.{number}:82"),
        )
        value = msgspec.json.encode(record)
        items.append(StoredItem(NODES_PREFIX + node, value, Revision(2)))
    holder = HolderRecord(NodeId("vm-3"), Address("10.0.0.3:82"), "start")
    items.append(StoredItem(HOLDER_KEY, msgspec.json.encode(holder), Revision(3)))
    belief.take(belief.mirror.replace(items, Revision(4), 0.0))
    return belief


async def follow(
    belief: FleetBelief, mesh: FakeMesh, store: FakeStore, own: NodeId
) -> None:
    follower = FleetFollower(
        store,  # type: ignore[arg-type]
        belief,
        mesh,  # type: ignore[arg-type]
        HolderSight(),
        lambda: False,
        list,
        lambda: make_demand(1.0),
        Place(own, make_fleet(195)[own]),
    )
    follower._read = True
    task = asyncio.create_task(follower.run())
    await asyncio.sleep(0.2)
    task.cancel()


def test_a_lost_relay_is_replaced_and_the_store_asked_meanwhile() -> None:
    """A change that comes while the relay is dead must not be missed.

    The relay gives no answer: the store is asked at once, and then the next
    relay, so that neither the store nor the holder has the whole fleet to
    tell for longer than one question.
    """
    own = NodeId("vm-20")
    first, second = choose_relays(own, NodeId("vm-3"), make_fleet(195))
    mesh, store = FakeMesh(), FakeStore()
    address = Address(f"10.0.0.{first.removeprefix('vm-')}:82")
    mesh.silent.add(address)
    asyncio.run(follow(make_belief(195), mesh, store, own))
    assert mesh.asked[0] == address
    others = set(mesh.asked[1:])
    assert others == {Address(f"10.0.0.{second.removeprefix('vm-')}:82")}
    assert store.watches == 1


def test_demand_is_told_on_the_way_to_the_holder() -> None:
    mesh = FakeMesh()
    asyncio.run(follow(make_belief(195), mesh, FakeStore(), NodeId("vm-20")))
    assert mesh.demands and all(one == make_demand(1.0) for one in mesh.demands)


def test_a_control_process_that_starts_again_takes_its_vm_s_copy() -> None:
    """After a loss of power of all VMs the store's link is full for seconds.

    Both processes of each VM read all entries from the store at the same
    moment. The entry process, for which callers wait, reads for both.
    """
    own, entry = NodeId("vm-20"), Address("10.0.0.20:81")
    mesh, store = FakeMesh(), FakeStore()
    belief = FleetBelief(PlatformSpelling(), reads_instances=False)
    follower = FleetFollower(
        store,  # type: ignore[arg-type]
        belief,
        mesh,  # type: ignore[arg-type]
        HolderSight(),
        lambda: False,
        list,
        list,
        Place(own, FailureDomainId("d0"), own_entry=entry),
    )

    async def test() -> None:
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(0.05)
        task.cancel()

    asyncio.run(test())
    assert mesh.asked[0] == entry
    assert belief.mirror.as_of == mesh.as_of


def test_those_behind_a_relay_wait_longer_than_it_before_they_ask_the_store() -> None:
    """After a second without the store the whole fleet would ask it at once.

    The holder's copy ages, and with it all others. Who follows the holder asks
    the store first, and the others have fresh news before it is their turn,
    all well within the time in which a change must be known.
    """
    holder, nodes = NodeId("vm-3"), make_fleet(195)
    relay = next(
        one for one in nodes if one != holder and not choose_relays(one, holder, nodes)
    )
    follower = NodeId("vm-20")
    assert choose_relays(follower, holder, nodes)

    def find_fresh_s(own: NodeId, own_control: Address | None = None) -> float:
        return FleetFollower(
            FakeStore(),  # type: ignore[arg-type]
            make_belief(195),
            FakeMesh(),  # type: ignore[arg-type]
            HolderSight(),
            lambda: False,
            list,
            list,
            Place(own, nodes[own]),
            own_control,
        )._fresh_s

    entry_s = find_fresh_s(follower, Address("10.0.0.20:82"))
    assert find_fresh_s(relay) + 0.6 < find_fresh_s(follower) < entry_s < 2.5


class SilentOnceStore(FakeStore):
    """A store whose first connection gives no answer."""

    async def watch(
        self, prefix: str, after: Revision, wait_s: float, overdue_s: float
    ) -> Ok[WatchResult] | Err[StoreFault]:
        self.watches += 1
        await asyncio.sleep(0.001)
        if self.watches == 1:
            return Err(StoreFault.UNKNOWN)
        gone = MirrorEvent(NODES_PREFIX + "vm-7", None, Revision(6))
        return Ok(WatchResult([gone], Revision(6)))


def test_one_connection_that_goes_silent_is_no_outage_of_the_store() -> None:
    """The whole fleet would ask the store, and losses be believed late.

    The holder's watch gets no answer, since its connection has gone silent.
    It asks again on another one at once: its copy stays fresh for those who
    follow it, and a removal is believed as at any time.
    """
    belief, store = make_belief(8), SilentOnceStore()
    follower = FleetFollower(
        store,  # type: ignore[arg-type]
        belief,
        FakeMesh(),  # type: ignore[arg-type]
        HolderSight(),
        lambda: True,
        list,
        list,
        Place(NodeId("vm-3"), FailureDomainId("d3")),
    )
    follower._read = True

    async def test() -> None:
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(0.03)
        task.cancel()

    asyncio.run(test())
    assert follower.reachable
    assert NodeId("vm-7") not in belief.nodes


def test_a_holder_is_doubted_by_who_got_no_answer_from_it() -> None:
    """Otherwise every VM would try the holder's address between two words."""
    sight = HolderSight()
    holder = HolderRecord(NodeId("vm-3"), Address("10.0.0.3:82"), "start")
    sight.hear(holder, 0.0, provisional=False)
    assert not sight.is_unanswered(holder)
    sight.note_unanswered(holder)
    assert sight.is_unanswered(holder)
    sight.hear(holder, 0.0, provisional=False)
    assert not sight.is_unanswered(holder)
