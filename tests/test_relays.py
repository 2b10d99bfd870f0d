"""Choice of the peer to follow, and its cost to each VM at any fleet size."""

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
from zinniaspool.fleet import FleetFollower, FleetView, HolderHeartbeat, ProcessLocation
from zinniaspool.fleet.mesh import pack_items
from zinniaspool.platform.spelling import PlatformCodec

MODEL = (ServiceName("s"), ModelName("m"))


def make_fleet(size: int, domains: int = 5) -> dict[NodeId, FailureDomainId]:
    return {
        NodeId(f"vm-{number}"): FailureDomainId(f"d{number % domains}")
        for number in range(size)
    }


def find_source(
    own: NodeId, holder: NodeId, nodes: dict[NodeId, FailureDomainId]
) -> NodeId:
    return (choose_relays(own, holder, nodes) or [holder])[0]


def test_a_small_fleet_follows_the_holder_itself() -> None:
    nodes = make_fleet(8, 3)
    assert all(choose_relays(node, NodeId("vm-0"), nodes) == [] for node in nodes)


@pytest.mark.parametrize("size", [30, 67, 195, 380])
def test_no_process_has_the_whole_fleet_as_followers(size: int) -> None:
    """A holder that sent each change to 194 VMs had no time to plan."""
    nodes, holder = make_fleet(size), NodeId("vm-3")
    followers = Counter(
        find_source(node, holder, nodes) for node in nodes if node != holder
    )
    assert max(followers.values()) <= 2 * FANOUT


@given(size=st.integers(2, 250), held_by=st.integers(0, 249))
def test_each_path_reaches_the_holder_through_at_most_one_relay(
    size: int, held_by: int
) -> None:
    nodes = make_fleet(size)
    holder = NodeId(f"vm-{held_by % size}")
    for node in nodes:
        if node == holder:
            continue
        source = find_source(node, holder, nodes)
        assert source == holder or find_source(source, holder, nodes) == holder
        assert source == holder or nodes[source] == nodes[node]


def test_a_process_behind_a_relay_has_a_second_one() -> None:
    nodes, holder = make_fleet(195), NodeId("vm-3")
    for node in nodes:
        chosen = choose_relays(node, holder, nodes)
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


class FakeExchange:
    """Peers that answer, except those at the unresponsive addresses."""

    def __init__(self) -> None:
        self.unresponsive: set[Address] = set()
        self.requested: list[Address] = []
        self.as_of = Revision(5)
        self.demands: list[list[ModelDemandReport]] = []

    async def request_update(
        self, address: Address, watch: FleetWatch
    ) -> FleetUpdate | None:
        self.requested.append(address)
        self.demands.append(watch.demands)
        await asyncio.sleep(0.001)
        if address in self.unresponsive:
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
    """A store without changes that counts its watches."""

    def __init__(self) -> None:
        self.watches = 0

    async def watch(
        self, prefix: str, after: Revision, wait_s: float, overdue_s: float
    ) -> Ok[WatchResult] | Err[StoreFault]:
        self.watches += 1
        await asyncio.sleep(0.001)
        events: list[MirrorEvent] = []
        return Ok(WatchResult(events, after))


def make_view(size: int) -> FleetView:
    view = FleetView(PlatformCodec(), decodes_instances=False)
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
    view.apply_changes(view.mirror.replace(items, Revision(4), 0.0))
    return view


async def follow(
    view: FleetView, exchange: FakeExchange, store: FakeStore, own: NodeId
) -> None:
    follower = FleetFollower(
        store,  # type: ignore[arg-type]
        view,
        exchange,  # type: ignore[arg-type]
        HolderHeartbeat(),
        lambda: False,
        list,
        lambda: make_demand(1.0),
        ProcessLocation(own, make_fleet(195)[own]),
    )
    follower._mirror_complete = True
    task = asyncio.create_task(follower.run())
    await asyncio.sleep(0.2)
    task.cancel()


def test_an_unresponsive_relay_is_replaced_and_the_store_queried_meanwhile() -> None:
    """A change must not be missed while the relay does not answer.

    The store is queried at once, and then the next relay, so that neither the
    store nor the holder has to serve the whole fleet for more than one
    request.
    """
    own = NodeId("vm-20")
    first, second = choose_relays(own, NodeId("vm-3"), make_fleet(195))
    exchange, store = FakeExchange(), FakeStore()
    address = Address(f"10.0.0.{first.removeprefix('vm-')}:82")
    exchange.unresponsive.add(address)
    asyncio.run(follow(make_view(195), exchange, store, own))
    assert exchange.requested[0] == address
    later = set(exchange.requested[1:])
    assert later == {Address(f"10.0.0.{second.removeprefix('vm-')}:82")}
    assert store.watches == 1


def test_demand_is_reported_on_the_way_to_the_holder() -> None:
    exchange = FakeExchange()
    asyncio.run(follow(make_view(195), exchange, FakeStore(), NodeId("vm-20")))
    assert exchange.demands and all(
        demand == make_demand(1.0) for demand in exchange.demands
    )


def test_a_restarted_control_process_copies_the_mirror_of_its_vm() -> None:
    """Otherwise the store's link is full for seconds after a power loss.

    Both processes of each VM would read all records from the store at the same
    moment. The entry process, for which callers wait, reads for both.
    """
    own, entry = NodeId("vm-20"), Address("10.0.0.20:81")
    exchange, store = FakeExchange(), FakeStore()
    view = FleetView(PlatformCodec(), decodes_instances=False)
    follower = FleetFollower(
        store,  # type: ignore[arg-type]
        view,
        exchange,  # type: ignore[arg-type]
        HolderHeartbeat(),
        lambda: False,
        list,
        list,
        ProcessLocation(own, FailureDomainId("d0"), local_entry=entry),
    )

    async def test() -> None:
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(0.05)
        task.cancel()

    asyncio.run(test())
    assert exchange.requested[0] == entry
    assert view.mirror.as_of == exchange.as_of


def test_followers_of_a_relay_wait_longer_than_it_before_they_query_the_store() -> None:
    """Otherwise the whole fleet queries the store after a second without it.

    The holder's mirror ages, and all others with it. The processes that follow
    the holder query the store first, and the others get a fresh update before
    they reach their own limit, all well within the time in which a change must
    be known.
    """
    holder, nodes = NodeId("vm-3"), make_fleet(195)
    relay = next(
        node
        for node in nodes
        if node != holder and not choose_relays(node, holder, nodes)
    )
    follower = NodeId("vm-20")
    assert choose_relays(follower, holder, nodes)

    def find_max_age_s(own: NodeId, local_control: Address | None = None) -> float:
        return FleetFollower(
            FakeStore(),  # type: ignore[arg-type]
            make_view(195),
            FakeExchange(),  # type: ignore[arg-type]
            HolderHeartbeat(),
            lambda: False,
            list,
            list,
            ProcessLocation(own, nodes[own]),
            local_control,
        )._max_age_s

    entry_s = find_max_age_s(follower, Address("10.0.0.20:82"))
    assert find_max_age_s(relay) + 0.6 < find_max_age_s(follower) < entry_s < 2.5


class UnresponsiveOnceStore(FakeStore):
    """A store whose first watch gets no answer."""

    async def watch(
        self, prefix: str, after: Revision, wait_s: float, overdue_s: float
    ) -> Ok[WatchResult] | Err[StoreFault]:
        self.watches += 1
        await asyncio.sleep(0.001)
        if self.watches == 1:
            return Err(StoreFault.UNKNOWN)
        removal = MirrorEvent(NODES_PREFIX + "vm-7", None, Revision(6))
        return Ok(WatchResult([removal], Revision(6)))


def test_one_unresponsive_connection_is_no_outage_of_the_store() -> None:
    """Otherwise the whole fleet turns to the store and defers removals.

    The holder's watch gets no answer, since its connection stopped responding.
    The holder repeats it on another connection at once, so that its mirror
    stays fresh for its followers and a removal is applied as at any time.
    """
    view, store = make_view(8), UnresponsiveOnceStore()
    follower = FleetFollower(
        store,  # type: ignore[arg-type]
        view,
        FakeExchange(),  # type: ignore[arg-type]
        HolderHeartbeat(),
        lambda: True,
        list,
        list,
        ProcessLocation(NodeId("vm-3"), FailureDomainId("d3")),
    )
    follower._mirror_complete = True

    async def test() -> None:
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(0.03)
        task.cancel()

    asyncio.run(test())
    assert follower.reachable
    assert NodeId("vm-7") not in view.nodes


def test_a_holder_without_an_answer_is_unresponsive_until_its_next_heartbeat() -> None:
    """Otherwise every VM tries the holder's address between two heartbeats."""
    heartbeat = HolderHeartbeat()
    holder = HolderRecord(NodeId("vm-3"), Address("10.0.0.3:82"), "start")
    heartbeat.record(holder, 0.0, provisional=False)
    assert not heartbeat.is_unresponsive(holder)
    heartbeat.mark_unresponsive(holder)
    assert heartbeat.is_unresponsive(holder)
    heartbeat.record(holder, 0.0, provisional=False)
    assert not heartbeat.is_unresponsive(holder)
