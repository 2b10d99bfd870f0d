"""Entry processes in one event loop, with a store and links that can fail."""

import asyncio
import random
from dataclasses import dataclass, field

from result import Err, Ok, Result

from tests.fakes import FakeUpstream
from zinniaspool.core.deployment import (
    Configuration,
    CustomerRule,
    Inventory,
    RepairWeights,
    Rules,
    ServiceRule,
    ServiceUpstream,
    Share,
)
from zinniaspool.core.ids import (
    Address,
    CustomerId,
    FailureDomainId,
    Incarnation,
    NodeId,
    Revision,
    ServiceName,
)
from zinniaspool.core.membership import Member, MemberState, Role
from zinniaspool.core.messages import ForwardedAnswer, ForwardedCall, Message
from zinniaspool.core.requests import PeerCounts
from zinniaspool.core.requests.claims import SlotOwner
from zinniaspool.core.requests.keys import KeyLimits, KeyTable
from zinniaspool.entry.calls import CallRunner
from zinniaspool.entry.claims import ClaimStore
from zinniaspool.entry.fleet import ServingUpstreamTable
from zinniaspool.entry.forwarding import CallForwarder
from zinniaspool.entry.gate import AdmissionQueues
from zinniaspool.entry.handover import AnswerHandover
from zinniaspool.entry.once import KeyedCallHandler, KeyedCallLimits
from zinniaspool.entry.relay import RequestRelay
from zinniaspool.entry.services import ServiceIndex
from zinniaspool.entry.sinks import CallOutcome
from zinniaspool.http import HttpClient
from zinniaspool.peers import PeerLinks
from zinniaspool.store import HttpStore, LeaseId, StoreFault, StoreValue
from zinniaspool_standins.kvstore import KeyValueState

__all__ = ["Cluster", "FakeStore", "Node"]

CUSTOMER = CustomerId("care")
_DOMAIN = FailureDomainId("d")


class FakeStore(HttpStore):
    """A store in memory that counts calls and fails on request.

    Attributes:
        state: The values.
        unavailable: Whether calls fail.
        lose_answers: Number of further swaps that take effect but whose
            response is lost.
        writes: Number of swaps that were called.
        swap_gate: If set, swaps wait for this event before they take effect.
        swap_blocked: Set once a swap waits for the gate.
    """

    def __init__(self) -> None:
        super().__init__(HttpClient(), (Address("127.0.0.1:1"),))
        self.state = KeyValueState()
        self.unavailable = False
        self.lose_answers = 0
        self.writes = 0
        self.swap_gate: asyncio.Event | None = None
        self.swap_blocked = asyncio.Event()

    async def get(self, key: str) -> Result[StoreValue | None, StoreFault]:
        """See the base class."""
        self.calls += 1
        await asyncio.sleep(0)
        return (
            Err(StoreFault.UNAVAILABLE) if self.unavailable else Ok(self.state.get(key))
        )

    async def swap(
        self, key: str, value: str, expected: Revision, lease: LeaseId | None = None
    ) -> Result[Revision, StoreFault]:
        """See the base class."""
        self.calls += 1
        self.writes += 1
        if self.swap_gate is not None:
            self.swap_blocked.set()
            await self.swap_gate.wait()
        await asyncio.sleep(0.002)
        if self.unavailable:
            return Err(StoreFault.UNAVAILABLE)
        written = self.state.swap(key, value, expected, lease)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return Err(StoreFault.UNKNOWN)
        return Err(written) if isinstance(written, StoreFault) else Ok(written)


@dataclass
class Node:
    """The part of an entry process that runs keyed calls."""

    name: NodeId
    incarnation: Incarnation
    handler: KeyedCallHandler
    forwarder: CallForwarder
    claim_store: ClaimStore
    state: MemberState = MemberState.READY


class _Links(PeerLinks):
    def __init__(self, cluster: "Cluster") -> None:
        self._cluster = cluster

    async def send(
        self, address: Address, message: Message, node: NodeId | None = None
    ) -> bool:
        await asyncio.sleep(0)
        return self._cluster.deliver(address, message)


@dataclass
class Cluster:
    """A store, one plain service, and nodes that start and end.

    Attributes:
        upstream: The only upstream of the service.
        store: The store that all nodes share.
        nodes: The running nodes by name, which is also their address.
        unreachable: Names of nodes that receive no messages.
        start_count: Number of starts, from which incarnations are formed.
    """

    upstream: FakeUpstream
    store: FakeStore = field(default_factory=FakeStore)
    nodes: dict[str, Node] = field(default_factory=dict)
    unreachable: set[str] = field(default_factory=set)
    start_count: int = 0

    def start(self, name: str, **limits: float) -> Node:
        """Start a node, or restart it as a new incarnation."""
        self.start_count += 1
        configuration = self._configure()
        index = ServiceIndex(ServingUpstreamTable(2.0), random.Random(0), _DOMAIN)
        index.configure(configuration, 0.0)
        index.update_shares({}, PeerCounts(1, 1, 0), 0.0)
        local_owner = SlotOwner(
            NodeId(name), Incarnation(self.start_count), Address(name)
        )
        table = KeyTable[CallOutcome](KeyLimits())
        claim_store = ClaimStore(self.store, local_owner, 10_000.0, table)
        links = _Links(self)
        forwarder = CallForwarder(links, Address(name), self.list_members)
        runner = CallRunner(index, AdmissionQueues(), RequestRelay(HttpClient()))
        handover = AnswerHandover(self.store, f"{name}:{self.start_count}")
        time_limits = KeyedCallLimits(**limits)
        handler = KeyedCallHandler(
            local_owner,
            runner,
            claim_store,
            forwarder,
            links,
            table,
            handover,
            time_limits,
        )
        node = Node(
            local_owner.node, local_owner.incarnation, handler, forwarder, claim_store
        )
        self.nodes[name] = node
        return node

    def kill(self, name: str) -> None:
        """End a node; it leaves the members that all nodes know."""
        del self.nodes[name]

    def list_members(self) -> list[Member]:
        """Return the members as all nodes know them."""
        return [
            Member(
                node.name,
                Role.ENTRY,
                node.state,
                Address(name),
                Address(name),
                Address(""),
                _DOMAIN,
                node.incarnation,
            )
            for name, node in self.nodes.items()
        ]

    def deliver(self, address: Address, message: Message) -> bool:
        """Deliver a message to the node at an address, unless unreachable."""
        node = self.nodes.get(address)
        if node is None or address in self.unreachable:
            return False
        if isinstance(message, ForwardedCall):
            node.handler.handle_forwarded(message)
        if isinstance(message, ForwardedAnswer):
            node.forwarder.handle_answer(message)
        return True

    def _configure(self) -> Configuration:
        service = ServiceRule(
            ServiceName("dispatch"),
            (ServiceUpstream(self.upstream.address, _DOMAIN),),
            64,
            (Share(CUSTOMER, 16),),
            non_idempotent=("send",),
        )
        rules = Rules(
            (CustomerRule(CUSTOMER, (CUSTOMER,)),),
            (),
            (service,),
            RepairWeights(1.0, 1.0),
        )
        return Configuration(Inventory(()), rules)
