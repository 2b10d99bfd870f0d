"""Many gossip machines in one process over a network of the test's making."""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec

from zinniaspool.core.ids import Address, FailureDomainId, Incarnation, NodeId
from zinniaspool.core.membership import (
    Ask,
    GossipLimits,
    GossipMachine,
    MemberRecord,
    MemberState,
    Role,
    Tell,
)
from zinniaspool.core.messages.membership import (
    CompareRequest,
    CompareResponse,
    JoinPage,
    ProbeRequest,
    ProbeResponse,
)

__all__ = ["GossipNet"]

_STEP_S = 0.1
_ASK_S = 1.0
_HEADER_BYTES = 4
_encoder = msgspec.msgpack.Encoder()

Reaches = Callable[[NodeId, NodeId], bool]


@dataclass(order=True)
class _Event:
    at: float
    number: int
    run: Callable[[], None] = field(compare=False)


def _always(_: NodeId, __: NodeId) -> bool:
    return True


class GossipNet:
    """Runs machines over simulated time; counts messages and bytes.

    A question that cannot reach its peer, or whose answer cannot come back,
    fails after the time that the real links wait.
    """

    def __init__(self, seed: int = 1, limits: GossipLimits | None = None) -> None:
        self.now = 0.0
        self.source = random.Random(seed)
        self.limits = limits or GossipLimits()
        self.machines: dict[NodeId, GossipMachine] = {}
        self.addresses: dict[Address, NodeId] = {}
        self.frozen: set[NodeId] = set()
        self.reaches: Reaches = _always
        self.loss = 0.0
        self.messages: Counter[NodeId] = Counter()
        self.sent_bytes: Counter[NodeId] = Counter()
        self.steps = 0
        self._events: list[_Event] = []
        self._numbers = itertools.count()

    def start(
        self,
        name: str,
        seeds: Iterable[str] = (),
        address: str | None = None,
        domain: str = "domain0",
    ) -> GossipMachine:
        """Start one machine, a replacement if the name is taken."""
        node = NodeId(name)
        peer = Address(address or name)
        record = MemberRecord(
            node,
            Incarnation(int(self.now * 1000) + 1),
            Role.ENTRY,
            MemberState.READY,
            FailureDomainId(domain),
            peer,
            Address(f"{name}:callers"),
            Address(""),
            1,
        )
        source = random.Random(self.source.random())
        machine = GossipMachine(
            record, [Address(s) for s in seeds], source, self.now, self.limits
        )
        self.machines[node] = machine
        self.addresses[peer] = node
        self._after(self.source.random() * _STEP_S, lambda: self._step(node, machine))
        return machine

    def stop(self, name: str) -> None:
        """Kill one machine."""
        del self.machines[NodeId(name)]

    def run(self, seconds: float) -> None:
        """Let time pass."""
        ends = self.now + seconds
        while self._events and self._events[0].at <= ends:
            event = heapq.heappop(self._events)
            self.now = event.at
            event.run()
        self.now = ends

    def run_until(self, check: Callable[[], bool], most_s: float) -> float:
        """Let time pass until a check holds; return how long it took."""
        began = self.now
        while not check():
            assert self.now - began < most_s, "did not come true in time"
            self.run(_STEP_S)
        return self.now - began

    def settle(self, node: NodeId) -> None:
        """Called after each event of a node; hands on what became known."""
        self.machines[node].take_fresh()

    def _after(self, seconds: float, run: Callable[[], None]) -> None:
        event = _Event(self.now + seconds, next(self._numbers), run)
        heapq.heappush(self._events, event)

    def _is(self, node: NodeId, machine: GossipMachine) -> bool:
        return self.machines.get(node) is machine

    def _step(self, node: NodeId, machine: GossipMachine) -> None:
        if not self._is(node, machine):
            return
        if node not in self.frozen:
            self.steps += 1
            for action in machine.step(self.now):
                self._carry_out(node, machine, action)
            self.settle(node)
        self._after(_STEP_S, lambda: self._step(node, machine))

    def _carry_out(
        self, node: NodeId, machine: GossipMachine, action: Ask | Tell
    ) -> None:
        self._count(node, action.message)
        target = self._find(node, action.address, action.node)
        if isinstance(action, Tell):
            if target is not None:
                self._after(self._delay(), lambda: self._tell(node, target, action))
            return
        if target is None:
            self._after(_ASK_S, lambda: self._answer(node, machine, action, None))
            return
        self._after(self._delay(), lambda: self._ask(node, machine, target, action))

    def _find(
        self, node: NodeId, address: Address, meant: NodeId | None
    ) -> NodeId | None:
        target = self.addresses.get(address)
        if target not in self.machines or (meant is not None and target != meant):
            return None
        if not self.reaches(node, target) or self.source.random() < self.loss:
            return None
        return target

    def _tell(self, node: NodeId, target: NodeId, action: Tell) -> None:
        if target in self.machines and target not in self.frozen:
            self.machines[target].receive(node, action.message, self.now)
            self.settle(target)

    def _ask(
        self, node: NodeId, machine: GossipMachine, target: NodeId, ask: Ask
    ) -> None:
        asked = self.machines.get(target)
        answer: ProbeResponse | CompareResponse | JoinPage | None = None
        if asked is not None and target not in self.frozen:
            if isinstance(ask.message, ProbeRequest):
                probed = self._find(target, ask.message.address, ask.message.node)
                alive = probed is not None and probed not in self.frozen
                back = probed is not None and self.reaches(probed, target)
                answer = ProbeResponse(alive and back)
                self._count(target, CompareRequest((), ()))
            else:
                answer = asked.receive(node, ask.message, self.now)
                self.settle(target)
            self._count(target, answer)
        lost = not self.reaches(target, node) or self.source.random() < self.loss
        if answer is None or lost:
            self._after(_ASK_S, lambda: self._answer(node, machine, ask, None))
            return
        self._after(self._delay(), lambda: self._answer(node, machine, ask, answer))

    def _answer(
        self, node: NodeId, machine: GossipMachine, ask: Ask, answer: object
    ) -> None:
        if not self._is(node, machine):
            return
        if node in self.frozen:
            self._after(_STEP_S, lambda: self._answer(node, machine, ask, answer))
            return
        for action in machine.take_answer(ask, answer, self.now):  # type: ignore[arg-type]
            self._carry_out(node, machine, action)
        self.settle(node)

    def _count(self, node: NodeId, message: object) -> None:
        self.messages[node] += 1
        self.sent_bytes[node] += len(_encoder.encode(message)) + _HEADER_BYTES

    def _delay(self) -> float:
        return 0.001 + 0.01 * self.source.random()


def describe_states(machine: GossipMachine) -> dict[str, MemberState]:
    """Return what a machine holds of each member."""
    return {str(member.node): member.state for member in machine.members()}
