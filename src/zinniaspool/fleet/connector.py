"""Opens connections to upstreams, directly or through other VMs.

A VM may lose its path to all upstreams while callers, the store and the other
VMs still reach it. Each connection that does not open directly is therefore
also tried through another VM. That the other VM reaches the upstream shows
that the path of this one is at fault, and not the upstream.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Coroutine, Iterator, Sequence
from typing import Any, TypeVar

import structlog

from zinniaspool.core.fleet import (
    Instance,
    InstanceIncarnation,
    InstanceState,
    LeavingSource,
    NodeRecord,
    NodeState,
    PathMonitor,
    ProbeOutcome,
)
from zinniaspool.core.ids import (
    Address,
    FailureDomainId,
    Incarnation,
    NodeId,
    split_address,
)
from zinniaspool.core.messages import PROTOCOL_VERSION, Hello
from zinniaspool.core.messages.fleet import TunnelRequest
from zinniaspool.fleet.belief import FleetView
from zinniaspool.fleet.races import PathRace
from zinniaspool.fleet.tunnels import MAX_LAG_S, UnreachedError, open_tunnel
from zinniaspool.peers import limit_running_time

__all__ = ["UpstreamConnector"]

_log = structlog.get_logger(__name__)

MAX_RELAYS = 3
"""VMs through which one connection is tried."""

RELAY_PAUSE_S = 1.0
"""Time for which a VM through which no connection came about is tried last, in
seconds. By its end its record shows whether it has lost its path."""

UNREACHED_S = 0.5
"""Time for which an upstream that no VM reaches is not tried through others
again, in seconds."""

CHECKED_UPSTREAMS = 2
"""Other upstreams that are tried to distinguish a lost path from an upstream
that has ended."""

FORGET_UNREACHED_S = 5.0
"""Time after which it is forgotten that no VM reached it, in seconds."""

VERDICT_TIMEOUT_S = 0.6
"""Longest wait for other VMs' word on an upstream, in seconds: their own
connection, and the check of their path."""

CHECK_TIMEOUT_S = 0.25
"""Longest wait for one of them, in seconds."""

CONFIRM_PAUSE_S = 0.5
"""Shortest pause between two such checks, in seconds."""

RETRY_PAUSE_S = 0.5
"""Pause between direct connections that are tried while the path is lost, in
seconds."""

ProtocolT = TypeVar("ProtocolT", bound=asyncio.Protocol)


class UpstreamConnector:
    """Opens the connections of one process to upstreams.

    Args:
        node: This process's VM.
        domain: Its failure domain.
        fleet_view: Knows the upstreams and the other VMs.
        carries_requests: Whether its connections are for requests of callers,
            which upstreams that leave don't get.

    Attributes:
        on_idle_obsolete: Called when idle connections must not be used any
            more: the path was lost or regained, or a VM that they lead through
            leaves.
        on_path_change: Called when the path was lost or regained.
        counts: Number of connections, by path and outcome.
    """

    def __init__(
        self,
        node: NodeId,
        domain: FailureDomainId,
        fleet_view: FleetView,
        *,
        carries_requests: bool = False,
    ) -> None:
        self.on_idle_obsolete: list[Callable[[], None]] = []
        self.on_path_change: list[Callable[[], None]] = []
        self.counts: Counter[tuple[str, str]] = Counter()
        self._node = node
        self._domain = domain
        self._fleet_view = fleet_view
        self._carries_requests = carries_requests
        self._hello = Hello(PROTOCOL_VERSION, node, Incarnation(0), domain, "")
        self._monitor = PathMonitor()
        self._reached_at = float("-inf")
        self._lost_at = 0.0
        self._checked_at = float("-inf")
        self._unreached_at: dict[Address, float] = {}
        self._relay_pauses: dict[NodeId, float] = {}
        self._leaving_until: dict[NodeId, float] = {}
        self._used_relays: set[NodeId] = set()
        fleet_view.on_nodes.append(self._handle_nodes)
        self._tasks: set[asyncio.Task[None]] = set()
        self._check: asyncio.Task[bool] | None = None

    @property
    def is_path_lost(self) -> bool:
        """Whether this VM reaches no upstream directly."""
        return self._monitor.is_lost

    def close(self) -> None:
        """End all checks."""
        for task in self._tasks:
            task.cancel()

    async def connect(
        self,
        make_protocol: Callable[[], ProtocolT],
        address: Address,
        timeout_s: float,
    ) -> ProtocolT:
        """Open a connection on the first path that leads to an upstream.

        See ``zinniaspool.http.Connector``.
        """
        transport, protocol = await self._open(
            make_protocol, address, timeout_s, for_requests=self._carries_requests
        )
        if transport.is_closing():
            raise ConnectionResetError("closed at once")
        return protocol

    async def probe(self, address: Address, timeout_s: float) -> ProbeOutcome:
        """Find out whether an upstream can be connected to on any path."""
        try:
            transport, _ = await self._open(asyncio.Protocol, address, timeout_s)
        except ConnectionRefusedError:
            return ProbeOutcome.REFUSED
        except (OSError, TimeoutError):
            return ProbeOutcome.NO_ANSWER
        transport.abort()
        return ProbeOutcome.REACHED

    async def is_online(self) -> bool:
        """Return whether this VM reaches any upstream now, on any path.

        If it reaches none, an upstream that does not answer it may be sound.
        """
        asked_at = asyncio.get_running_loop().time()
        if not self._list_upstreams():
            return True
        if self._check is None or self._check.done():
            self._check = asyncio.create_task(self._reach_any())
        reached = await asyncio.shield(self._check)
        return reached or self._reached_at >= asked_at

    async def can_judge(self, address: Address, since: float) -> bool:
        """Return whether the silence of an upstream is its own fault.

        It is if this VM reaches other upstreams directly, or if another VM
        that does has not reached this one.

        Args:
            address: The upstream's address.
            since: When it was queried, in seconds.
        """
        if await self.confirm_path(since, address):
            return True
        if not self._was_unreached(address, since):
            await self.probe(address, VERDICT_TIMEOUT_S)
        return self._was_unreached(address, since)

    async def is_refused(self, address: Address) -> bool:
        """Return whether no process listens at an upstream's address.

        A device on this VM's path may refuse connections too. So a refusal
        counts only if this VM reaches another upstream directly.
        """
        since = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                transport, _ = await self._open_directly(asyncio.Protocol, address)
        except ConnectionRefusedError:
            return await self.confirm_path(since, address)
        except (OSError, TimeoutError):
            return False
        transport.abort()
        return False

    def _was_unreached(self, address: Address, since: float) -> bool:
        return self._unreached_at.get(address, float("-inf")) >= since

    async def confirm_path(self, since: float, unreached: Address) -> bool:
        """Return whether this VM has reached an upstream directly since then.

        Args:
            since: Seconds.
            unreached: Address of an upstream that it did not reach.
        """
        if self._monitor.is_lost:
            return False
        addresses = self._sample_upstreams(unreached)
        if self._monitor.last_direct_at < since and addresses:
            await asyncio.gather(*map(self._try_directly, addresses))
        return self._monitor.last_direct_at >= since

    # Opening connections.

    def _make_tunnel_request(
        self, address: Address, *, for_requests: bool
    ) -> TunnelRequest:
        """Return the request for a tunnel; for requests it names the run."""
        instance = self._find_instance(address) if for_requests else None
        if instance is None:
            return TunnelRequest(address, self._node)
        return TunnelRequest(address, self._node, instance.id, instance.started_at_ms)

    def _find_instance(self, address: Address) -> Instance | None:
        """Return the instance that listens at an address, or None.

        One that leaves may have ended, and another one may have its address.
        """
        instances = self._fleet_view.instances.values()
        return max(
            (one for one in instances if one.address == address),
            key=lambda one: one.state is InstanceState.READY,
            default=None,
        )

    async def _open(
        self,
        make_protocol: Callable[[], ProtocolT],
        address: Address,
        timeout_s: float,
        *,
        for_requests: bool = False,
    ) -> tuple[asyncio.Transport, ProtocolT]:
        loop = asyncio.get_running_loop()
        began_at = loop.time()

        def begin(
            relay: NodeRecord | None,
        ) -> Coroutine[Any, Any, tuple[asyncio.Transport, ProtocolT]]:
            if relay is None:
                return self._open_directly(make_protocol, address)
            request = self._make_tunnel_request(address, for_requests=for_requests)
            return self._open_tunnel(make_protocol, request, relay)

        race = PathRace(begin, self._list_paths(address))
        try:
            async with limit_running_time(timeout_s):
                opened = await race.run()
        except (OSError, TimeoutError):
            self._pause_relays(race.begun)
            now = loop.time()
            was_late = now - began_at > timeout_s + MAX_LAG_S
            if not was_late and not self._is_unreached(address, now):
                self._record_failure(address, now)
            raise
        self._pause_relays(race.begun[: race.winner])
        now = loop.time()
        self._record_reached(address, now)
        if race.begun[race.winner] is None:
            self._record_direct(now)
        else:
            self._record_failure(address, now)
        return opened

    async def _open_directly(
        self, make_protocol: Callable[[], ProtocolT], address: Address
    ) -> tuple[asyncio.Transport, ProtocolT]:
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        try:
            transport, protocol = await loop.create_connection(
                make_protocol, host, port
            )
        except OSError as error:
            refused = isinstance(error, ConnectionRefusedError)
            self.counts["direct", "refused" if refused else "failed"] += 1
            raise
        except asyncio.CancelledError:
            self.counts["direct", "no-answer"] += 1
            raise
        self.counts["direct", "open"] += 1
        return transport, protocol

    async def _open_tunnel(
        self,
        make_protocol: Callable[[], ProtocolT],
        request: TunnelRequest,
        relay: NodeRecord,
    ) -> tuple[asyncio.Transport, ProtocolT]:
        try:
            opened = await open_tunnel(
                make_protocol,
                relay.peer_address,
                self._hello,
                request,
                lambda: self._record_leaving(request, relay.node),
            )
        except UnreachedError as error:
            self.counts["tunnel", error.outcome.value] += 1
            if error.is_conclusive:
                self._record_unreached(request.address)
            raise
        except OSError:
            self.counts["tunnel", "failed"] += 1
            raise
        self.counts["tunnel", "open"] += 1
        self._used_relays.add(relay.node)
        if self._is_leaving(relay.node):
            self._drop_idle()
        return opened

    def _record_leaving(self, request: TunnelRequest, reported_by: NodeId) -> None:
        if request.instance is not None:
            self._fleet_view.record_leaving(
                InstanceIncarnation(request.instance, request.born),
                LeavingSource.TUNNEL,
                reported_by,
            )

    def _list_paths(self, address: Address) -> Iterator[NodeRecord | None]:
        """Yield the VMs to try in turn; None stands for the direct path.

        The VMs are chosen only when the first of them is needed: almost all
        connections open directly.
        """
        now = asyncio.get_running_loop().time()
        is_unreached = self._is_unreached(address, now)
        if not self._monitor.is_lost:
            yield None
            if not is_unreached:
                yield from self._choose_relays(now)
        elif not is_unreached:
            yield from self._choose_relays(now)
            yield None

    def _is_unreached(self, address: Address, now: float) -> bool:
        """Return whether no VM reached an upstream a moment ago."""
        return self._was_unreached(address, now - UNREACHED_S)

    def _record_unreached(self, address: Address) -> None:
        now = asyncio.get_running_loop().time()
        self._unreached_at[address] = now
        self._unreached_at = {
            other: at
            for other, at in self._unreached_at.items()
            if now - at <= FORGET_UNREACHED_S
        }

    def _record_reached(self, address: Address, now: float) -> None:
        self._reached_at = now
        self._unreached_at.pop(address, None)

    def _pause_relays(self, relays: Sequence[NodeRecord | None]) -> None:
        """Try VMs last that did not answer before another path led on."""
        until = asyncio.get_running_loop().time() + RELAY_PAUSE_S
        for relay in relays:
            if relay is not None:
                self._relay_pauses[relay.node] = until

    def _choose_relays(self, now: float) -> list[NodeRecord]:
        """Return the VMs to try, the likeliest first."""
        self._relay_pauses = {
            node: until for node, until in self._relay_pauses.items() if until > now
        }
        usable = [
            record
            for record in self._fleet_view.nodes.values()
            if record.node != self._node and record.state is NodeState.READY
        ]

        def rank(record: NodeRecord) -> tuple[bool, bool, bool, bool, float]:
            # A VM that takes its path for lost may be wrong, a paused one may
            # just have been late, and one that left may have started again.
            is_leaving = self._is_leaving(record.node)
            is_paused = record.node in self._relay_pauses
            is_remote = record.failure_domain != self._domain
            return (
                is_leaving,
                not record.has_upstream_path,
                is_paused,
                is_remote,
                random.random(),
            )

        return sorted(usable, key=rank)[:MAX_RELAYS]

    # The state of the path.

    def _record_direct(self, now: float) -> None:
        if not self._monitor.record_direct(now):
            return
        _log.info("upstream-path-regained", after_ms=int((now - self._lost_at) * 1000))
        self._notify()

    def _record_failure(self, address: Address, now: float) -> None:
        known = len(self._list_upstreams())
        if self._monitor.record_failure(address, now, known):
            self._lost_at = now
            _log.warning("upstream-path-lost", upstream=address, known=known)
            self._start(self._regain_path())
            self._notify()
        elif not self._monitor.is_lost and now - self._checked_at > CONFIRM_PAUSE_S:
            self._checked_at = now
            for other in self._sample_upstreams(address):
                self._start(self._probe_quietly(other))

    def _notify(self) -> None:
        self._drop_idle()
        for listener in self.on_path_change:
            listener()

    def _handle_nodes(self) -> None:
        """Use no idle tunnels through VMs that leave.

        A leaving VM ends some seconds later, and would cut requests there.
        """
        nodes = self._fleet_view.nodes
        if any(
            node not in nodes or nodes[node].state is not NodeState.READY
            for node in self._used_relays
        ):
            self._drop_idle()

    def find_relay(self, peer_name: tuple[str, int] | None) -> NodeId | None:
        """Return the VM that a connection leads through, or None.

        Args:
            peer_name: Host and port at the connection's other end.
        """
        for record in self._fleet_view.nodes.values():
            if split_address(record.peer_address) == peer_name:
                return record.node
        return None

    def handle_leaving(self, node: NodeId, left_s: float) -> None:
        """Use no idle tunnels through a VM that is being stopped.

        Its record may show that much later.

        Args:
            node: The VM.
            left_s: Time until it ends its connections, in seconds.
        """
        self._leaving_until[node] = asyncio.get_running_loop().time() + left_s
        if node in self._used_relays:
            self._drop_idle()

    def _is_leaving(self, node: NodeId) -> bool:
        ends_at = self._leaving_until.get(node)
        return ends_at is not None and asyncio.get_running_loop().time() < ends_at

    def _drop_idle(self) -> None:
        self._used_relays.clear()
        for listener in self.on_idle_obsolete:
            listener()

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _probe_quietly(self, address: Address) -> None:
        await self.probe(address, CHECK_TIMEOUT_S)

    async def _regain_path(self) -> None:
        """Try direct connections until the path is regained."""
        while self._monitor.is_lost:
            await asyncio.sleep(RETRY_PAUSE_S)
            for address in self._sample_upstreams():
                if not await self._try_directly(address):
                    self._monitor.record_failed_retry()
                    break

    async def _try_directly(self, address: Address) -> bool:
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                transport, _ = await self._open_directly(asyncio.Protocol, address)
        except (OSError, TimeoutError):
            return False
        transport.abort()
        now = asyncio.get_running_loop().time()
        self._record_reached(address, now)
        self._record_direct(now)
        return True

    async def _reach_any(self) -> bool:
        outcomes = await asyncio.gather(
            *(
                self.probe(address, CHECK_TIMEOUT_S)
                for address in self._sample_upstreams()
            )
        )
        return ProbeOutcome.REACHED in outcomes

    def _list_upstreams(self) -> list[Address]:
        return [instance.address for instance in self._fleet_view.instances.values()]

    def _sample_upstreams(self, other_than: Address | None = None) -> list[Address]:
        known = [one for one in self._list_upstreams() if one != other_than]
        return random.sample(known, min(CHECKED_UPSTREAMS, len(known)))
