"""Entry and control processes of 100 VMs in one loop, with simulated time."""

import asyncio
from dataclasses import dataclass, field
from typing import Any

import msgspec
from result import Ok, Result

from tests.fake_engines import (
    DOMAINS,
    LINK_DELAY_S,
    MODEL,
    RECORDS,
    SERVICE,
    FakeEngines,
    SoundPaths,
)
from zinniaspool.core.fleet import (
    HOLDER_KEY,
    NODES_PREFIX,
    PLANS_PREFIX,
    HolderRecord,
    InstanceId,
    MirrorEvent,
    NodeRecord,
    NodeState,
    StoredItem,
)
from zinniaspool.core.formation import (
    DomainPlan,
    GroupRecord,
)
from zinniaspool.core.ids import (
    Address,
    Epoch,
    FabricDomainId,
    FailureDomainId,
    GroupId,
    NodeId,
    Revision,
)
from zinniaspool.core.messages.fleet import (
    FleetUpdate,
    FleetWatch,
    InstanceAnswer,
    InstanceQuery,
)
from zinniaspool.core.storage import StoreFault, WatchResult
from zinniaspool.fleet import (
    FleetFollower,
    FleetView,
    HolderHeartbeat,
    PeerExchange,
    ProcessLocation,
)
from zinniaspool.fleet.mesh import ANSWER_TIMEOUT_S, HolderTerm
from zinniaspool.fleet.queries import ENTRY_TIMEOUT_S
from zinniaspool.gateway.queries import STATUS_TIMEOUT_S, InstanceQueryHandler
from zinniaspool.gateway.targets import TargetIndex
from zinniaspool.keeper.holder import GroupHolder
from zinniaspool.keeper.relays import EntryRelay
from zinniaspool.platform.rules import RULES_KEY
from zinniaspool.platform.spelling import PlatformCodec
from zinniaspool_standins.installation import make_rules

__all__ = [
    "DOMAINS",
    "RECORDS",
    "VM_COUNT",
    "FakeEngines",
    "SimulatedFleet",
    "SimulatedProcess",
    "list_engines",
    "list_heads",
    "make_entry_address",
    "wait_until",
]

VM_COUNT = 100


def list_engines(domain: str) -> set[InstanceId]:
    return {
        InstanceId(n) for n, record in RECORDS.items() if record["domain"] == domain
    }


def list_heads(domain: str) -> set[InstanceId]:
    return {
        InstanceId(name)
        for name in list_engines(domain)
        if RECORDS[name]["group"]["rank"] == 0
    }


def make_plan(domain: str) -> DomainPlan:
    groups: dict[str, list[InstanceId]] = {}
    for name, record in RECORDS.items():
        if record["domain"] == domain:
            groups.setdefault(record["group"]["name"], []).append(InstanceId(name))
    records = tuple(
        GroupRecord(GroupId(group), Epoch(2), SERVICE, MODEL, tuple(members))
        for group, members in groups.items()
    )
    return DomainPlan(FabricDomainId(domain), records)


@dataclass
class FakeStore:
    """The platform's store; it keeps unreachable VMs' records for seconds."""

    events: list[MirrorEvent] = field(default_factory=list)

    def put(self, key: str, value: bytes | None) -> Revision:
        revision = Revision(len(self.events) + 1)
        self.events.append(MirrorEvent(key, value, revision))
        return revision

    async def watch(
        self, prefix: str, after: Revision, wait_s: float, overdue_s: float
    ) -> Result[WatchResult, StoreFault]:
        ends_at = asyncio.get_running_loop().time() + wait_s
        while len(self.events) <= after:
            if asyncio.get_running_loop().time() >= ends_at:
                break
            await asyncio.sleep(0.01)
        return Ok(WatchResult(self.events[after:], Revision(len(self.events))))

    async def probe(self) -> bool:
        return True


class FakePlanStore:
    """Plans whose writes succeed at once."""

    def load(self, mirror: object) -> list[DomainPlan]:
        return [make_plan(domain) for domain in DOMAINS]

    async def save(self, plan: DomainPlan, holder_revision: Revision) -> None:
        return None


class FakeElection:
    """An election whose outcome the test sets."""

    def __init__(self) -> None:
        self.acquired = asyncio.Event()
        self.holds_key = self.may_plan = self.store_answers = False
        self.provisional = False
        self.revision = Revision(0)
        self.given_up = 0

    async def give_up(self) -> None:
        self.given_up += 1
        self.holds_key = self.may_plan = False

    def acquire(self) -> None:
        self.holds_key = self.may_plan = self.store_answers = True
        self.acquired.set()


class SimulatedProcess:
    """One process of the fleet, without sockets."""

    def __init__(self, fleet: "SimulatedFleet", number: int, *, entry: bool) -> None:
        self.number = number
        self.node = NodeId(f"vm-{number}")
        self.domain = FailureDomainId(f"hall-{number % 3}")
        self.fleet_view = FleetView(
            PlatformCodec(),
            decodes_instances=entry,
            retains_instances=fleet.retains_instances,
        )
        self.election = FakeElection()
        self.index = TargetIndex(self.fleet_view, self.domain)
        if entry:
            self.fleet_view.on_instances.append(self._refresh)
        sight = HolderHeartbeat()
        self.peers = PeerExchange(
            self.node,
            self.domain,
            self.fleet_view,
            None,  # type: ignore[arg-type]
            sight,
            fleet.store.probe,
            lambda: (
                HolderTerm(f"start-{number}", 0.0, False)
                if self.election.may_plan
                else None
            ),
        )
        self.follower = FleetFollower(
            fleet.store,  # type: ignore[arg-type]
            self.fleet_view,
            fleet,  # type: ignore[arg-type]
            sight,
            lambda: self.election.holds_key,
            list,
            list,
            ProcessLocation(self.node, self.domain),
            make_control_address(number) if entry else None,
        )
        self.queries = InstanceQueryHandler(self.fleet_view, fleet.engines)
        self.holder = GroupHolder(
            self.fleet_view,
            self.election,  # type: ignore[arg-type]
            FakePlanStore(),  # type: ignore[arg-type]
            fleet.engines,
            EntryRelay(
                self.fleet_view,
                ProcessLocation(
                    self.node, self.domain, local_entry=make_entry_address(number)
                ),
                fleet.request_answer,
            ),
            list,
            5.0,
            0.0,
            SoundPaths(fleet.engines.refusing),
        )

    def _refresh(self) -> None:
        self.index.refresh(asyncio.get_running_loop().time())

    @property
    def targets(self) -> set[InstanceId]:
        """The heads to which this process would send requests."""
        pool = self.index.find_pool(SERVICE, MODEL)
        return {state.target.instance for state in pool}

    async def run(self) -> None:
        self.follower._mirror_complete = True
        await asyncio.gather(self.follower.run(), self.holder.run())


def make_control_address(number: int) -> Address:
    return Address(f"10.0.0.{number}:82")


def make_entry_address(number: int) -> Address:
    return Address(f"10.0.0.{number}:81")


class SimulatedFleet:
    """Entry and control processes of many VMs in one event loop.

    Args:
        retains_instances: Whether the settings of all VMs allow to retain
            instances whose records were removed.

    Attributes:
        silent_entries: Entry processes that answer no queries of the holder,
            as those of an older version.
        cut_entries: Entry processes whose VMs reach no engine.
        requested_entries: The entry processes that it sent queries to.
    """

    def __init__(self, *, retains_instances: bool = False) -> None:
        self.retains_instances = retains_instances
        self.store, self.engines = FakeStore(), FakeEngines()
        self.silent_entries: set[Address] = set()
        self.cut_entries: set[Address] = set()
        self.requested_entries: list[Address] = []
        self._fill_store()
        self.controls = [
            SimulatedProcess(self, n, entry=False) for n in range(VM_COUNT)
        ]
        self.entries = [SimulatedProcess(self, n, entry=True) for n in range(VM_COUNT)]
        self._by_address = {
            make_control_address(n): control for n, control in enumerate(self.controls)
        }
        self._tasks: dict[SimulatedProcess, asyncio.Task[None]] = {}
        for process in (*self.controls, *self.entries):
            items = [
                StoredItem(event.key, event.value, event.revision)
                for event in self.store.events
                if event.value is not None
            ]
            as_of = Revision(len(self.store.events))
            process.fleet_view.apply_changes(
                process.fleet_view.mirror.replace(items, as_of, 0.0)
            )
            self._tasks[process] = asyncio.create_task(process.run())

    def _fill_store(self) -> None:
        for number in range(VM_COUNT):
            record = NodeRecord(
                NodeId(f"vm-{number}"),
                Address(f"10.0.0.{number}:80"),
                make_entry_address(number),
                FailureDomainId(f"hall-{number % 3}"),
                "r",
                NodeState.READY,
                make_control_address(number),
            )
            key = NODES_PREFIX + record.node
            self.store.put(key, msgspec.json.encode(record))
        for name, instance_record in RECORDS.items():
            self.store.put(f"servers/{name}", msgspec.json.encode(instance_record))
        for domain in DOMAINS:
            key = PLANS_PREFIX + domain
            self.store.put(key, msgspec.json.encode(make_plan(domain)))
        self.store.put(RULES_KEY, msgspec.json.encode(make_rules(1, ["key"])))
        self.write_holder(0)

    def write_holder(self, number: int) -> None:
        """Write to the store which process is the holder."""
        record = HolderRecord(
            NodeId(f"vm-{number}"), make_control_address(number), f"start-{number}"
        )
        self.store.put(HOLDER_KEY, msgspec.json.encode(record))

    def write_record(self, name: InstanceId, **changes: object) -> None:
        """Write an engine's record as its engine would."""
        record = {**RECORDS[name], **changes}
        self.store.put(f"servers/{name}", msgspec.json.encode(record))

    def remove_record(self, name: InstanceId) -> None:
        """Remove an engine's record, as the store does when it expires."""
        self.store.put(f"servers/{name}", None)

    def take_over(self, number: int) -> SimulatedProcess:
        """Make a control process the holder."""
        self.write_holder(number)
        self.controls[number].election.acquire()
        return self.controls[number]

    def kill(self, control: SimulatedProcess) -> None:
        """End the processes of a VM; its peers get no answer any more."""
        ended = [process for process in self._tasks if process.node == control.node]
        for process in ended:
            self._tasks.pop(process).cancel()
        self.entries = [process for process in self.entries if process not in ended]
        self._by_address = {
            address: process
            for address, process in self._by_address.items()
            if process != control
        }

    async def request_update(
        self, address: Address, watch: FleetWatch
    ) -> FleetUpdate | None:
        """Deliver a query of one process to another, and its answer."""
        await asyncio.sleep(LINK_DELAY_S)
        asked = self._by_address.get(address)
        if asked is None:
            await asyncio.sleep(ANSWER_TIMEOUT_S - LINK_DELAY_S)
            return None
        news = await asked.peers._create_update(watch)
        await asyncio.sleep(LINK_DELAY_S)
        return news

    async def request_answer(
        self, address: Address, query: InstanceQuery
    ) -> InstanceAnswer | None:
        """Deliver the holder's query to an entry process, and its answer."""
        self.requested_entries.append(address)
        entry = next(
            (it for it in self.entries if make_entry_address(it.number) == address),
            None,
        )
        if entry is None or address in self.silent_entries:
            await asyncio.sleep(ENTRY_TIMEOUT_S)
            return None
        await asyncio.sleep(LINK_DELAY_S)
        if address in self.cut_entries:
            await asyncio.sleep(STATUS_TIMEOUT_S)
            return InstanceAnswer()
        answer = await entry.queries.handle(query)
        await asyncio.sleep(LINK_DELAY_S)
        return answer

    def count_users(self, heads: set[InstanceId]) -> int:
        """Return how many entry processes would use any of the heads."""
        return sum(not heads.isdisjoint(process.targets) for process in self.entries)

    def stop(self) -> None:
        for task in self._tasks.values():
            task.cancel()


async def wait_until(check: Any, timeout_s: float) -> float:
    """Wait until a condition is met; return that time."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + timeout_s
    while not check():
        assert loop.time() < ends_at, "condition not met in time"
        await asyncio.sleep(0.005)
    return loop.time()
