"""Simulation of many gossip state machines over a faulty network."""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec

from zinniaspool.core.ids import Address, FailureDomainId, Incarnation, NodeId
from zinniaspool.core.membership import (
    GossipLimits,
    GossipStateMachine,
    MemberRecord,
    MemberState,
    Role,
    SendMessage,
    SendRequest,
)
from zinniaspool.core.messages.membership import (
    CompareRequest,
    CompareResponse,
    JoinPage,
    ProbeRequest,
    ProbeResponse,
)

__all__ = ["GossipNetwork"]

_STEP_S = 0.1
"""Seconds between two steps of a state machine."""
_REQUEST_TIMEOUT_S = 1.0
"""Seconds after which a request without a response fails."""
_HEADER_BYTES = 4
"""Bytes that a frame's header adds to each message."""
_encoder = msgspec.msgpack.Encoder()

CanReach = Callable[[NodeId, NodeId], bool]
"""Whether messages of the first node reach the second."""


@dataclass(order=True)
class _ScheduledCall:
    at: float
    number: int
    run: Callable[[], None] = field(compare=False)


def _reaches_always(_: NodeId, __: NodeId) -> bool:
    return True


class GossipNetwork:
    """Runs gossip state machines over simulated time.

    It counts messages and bytes. A request that can't reach its peer, or whose
    response can't return, fails after the timeout of the real links.
    """

    def __init__(self, seed: int = 1, limits: GossipLimits | None = None) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.limits = limits or GossipLimits()
        self.machines: dict[NodeId, GossipStateMachine] = {}
        self.addresses: dict[Address, NodeId] = {}
        self.frozen: set[NodeId] = set()
        self.can_reach: CanReach = _reaches_always
        self.loss_probability = 0.0
        self.messages: Counter[NodeId] = Counter()
        self.sent_bytes: Counter[NodeId] = Counter()
        self.steps = 0
        self._scheduled_calls: list[_ScheduledCall] = []
        self._sequence_numbers = itertools.count()

    def start(
        self,
        name: str,
        seeds: Iterable[str] = (),
        address: str | None = None,
        domain: str = "domain0",
    ) -> GossipStateMachine:
        """Start one state machine; it replaces one with the same name."""
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
        rng = random.Random(self.rng.random())
        machine = GossipStateMachine(
            record, [Address(s) for s in seeds], rng, self.now, self.limits
        )
        self.machines[node] = machine
        self.addresses[peer] = node
        self._call_after(self.rng.random() * _STEP_S, lambda: self._step(node, machine))
        return machine

    def stop(self, name: str) -> None:
        """Kill one state machine."""
        del self.machines[NodeId(name)]

    def run(self, seconds: float) -> None:
        """Advance the simulated time."""
        end_at = self.now + seconds
        while self._scheduled_calls and self._scheduled_calls[0].at <= end_at:
            event = heapq.heappop(self._scheduled_calls)
            self.now = event.at
            event.run()
        self.now = end_at

    def run_until(self, check: Callable[[], bool], max_s: float) -> float:
        """Advance the time until a check is true; return how long it took."""
        started_at = self.now
        while not check():
            assert self.now - started_at < max_s, (
                "the check did not become true in time"
            )
            self.run(_STEP_S)
        return self.now - started_at

    def process_updates(self, node: NodeId) -> None:
        """Drain new notices; is called after each event of a node."""
        self.machines[node].drain_new_notices()

    def _call_after(self, seconds: float, run: Callable[[], None]) -> None:
        event = _ScheduledCall(self.now + seconds, next(self._sequence_numbers), run)
        heapq.heappush(self._scheduled_calls, event)

    def _is_running(self, node: NodeId, machine: GossipStateMachine) -> bool:
        return self.machines.get(node) is machine

    def _step(self, node: NodeId, machine: GossipStateMachine) -> None:
        if not self._is_running(node, machine):
            return
        if node not in self.frozen:
            self.steps += 1
            for action in machine.step(self.now):
                self._send(node, machine, action)
            self.process_updates(node)
        self._call_after(_STEP_S, lambda: self._step(node, machine))

    def _send(
        self,
        node: NodeId,
        machine: GossipStateMachine,
        action: SendRequest | SendMessage,
    ) -> None:
        self._count_sent(node, action.message)
        target = self._find_reached(node, action.address, action.node)
        if isinstance(action, SendMessage):
            if target is not None:
                self._call_after(
                    self._draw_delay(),
                    lambda: self._deliver_message(node, target, action),
                )
            return
        if target is None:
            self._call_after(
                _REQUEST_TIMEOUT_S,
                lambda: self._deliver_response(node, machine, action, None),
            )
            return
        self._call_after(
            self._draw_delay(),
            lambda: self._deliver_request(node, machine, target, action),
        )

    def _find_reached(
        self, node: NodeId, address: Address, expected_node: NodeId | None
    ) -> NodeId | None:
        target = self.addresses.get(address)
        if target not in self.machines or (
            expected_node is not None and target != expected_node
        ):
            return None
        if (
            not self.can_reach(node, target)
            or self.rng.random() < self.loss_probability
        ):
            return None
        return target

    def _deliver_message(
        self, node: NodeId, target: NodeId, action: SendMessage
    ) -> None:
        if target in self.machines and target not in self.frozen:
            self.machines[target].receive(node, action.message, self.now)
            self.process_updates(target)

    def _deliver_request(
        self,
        node: NodeId,
        machine: GossipStateMachine,
        target: NodeId,
        request: SendRequest,
    ) -> None:
        recipient = self.machines.get(target)
        response: ProbeResponse | CompareResponse | JoinPage | None = None
        if recipient is not None and target not in self.frozen:
            if isinstance(request.message, ProbeRequest):
                probed = self._find_reached(
                    target, request.message.address, request.message.node
                )
                is_reached = probed is not None and probed not in self.frozen
                can_respond = probed is not None and self.can_reach(probed, target)
                response = ProbeResponse(is_reached and can_respond)
                self._count_sent(target, CompareRequest((), ()))
            else:
                response = recipient.receive(node, request.message, self.now)
                self.process_updates(target)
            self._count_sent(target, response)
        is_lost = (
            not self.can_reach(target, node)
            or self.rng.random() < self.loss_probability
        )
        if response is None or is_lost:
            self._call_after(
                _REQUEST_TIMEOUT_S,
                lambda: self._deliver_response(node, machine, request, None),
            )
            return
        self._call_after(
            self._draw_delay(),
            lambda: self._deliver_response(node, machine, request, response),
        )

    def _deliver_response(
        self,
        node: NodeId,
        machine: GossipStateMachine,
        request: SendRequest,
        response: object,
    ) -> None:
        if not self._is_running(node, machine):
            return
        if node in self.frozen:
            self._call_after(
                _STEP_S,
                lambda: self._deliver_response(node, machine, request, response),
            )
            return
        for action in machine.handle_response(request, response, self.now):  # type: ignore[arg-type]
            self._send(node, machine, action)
        self.process_updates(node)

    def _count_sent(self, node: NodeId, message: object) -> None:
        self.messages[node] += 1
        self.sent_bytes[node] += len(_encoder.encode(message)) + _HEADER_BYTES

    def _draw_delay(self) -> float:
        return 0.001 + 0.01 * self.rng.random()


def describe_states(machine: GossipStateMachine) -> dict[str, MemberState]:
    """Return the state of each member as one state machine knows it."""
    return {str(member.node): member.state for member in machine.list_members()}
