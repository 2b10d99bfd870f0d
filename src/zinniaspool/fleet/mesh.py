"""Exchange of the store's changes and of status between processes.

One process, the holder, watches the store; the others request its changes from
the holder or from each other. If each process watched for itself, the fleet
would spend its calls on sending the same to all of them, and processes whose
calls the store rejects would learn of no change.
"""

import asyncio
import secrets
import zlib
from collections.abc import Awaitable, Callable, Collection
from typing import NamedTuple

import msgspec

from zinniaspool.core.fleet import DemandTotals, ModelDemandReport, StoredItem
from zinniaspool.core.generations import find_generation
from zinniaspool.core.ids import (
    Address,
    FailureDomainId,
    Incarnation,
    NodeId,
    Revision,
    split_address,
)
from zinniaspool.core.messages import PROTOCOL_VERSION, Hello, Message
from zinniaspool.core.messages.fleet import (
    FleetUpdate,
    FleetUpdateItem,
    FleetWatch,
    LeavingInstance,
    StoreStatus,
    StoreStatusRequest,
)
from zinniaspool.fleet.belief import FleetView
from zinniaspool.fleet.sight import HolderHeartbeat, read_boot_clock
from zinniaspool.peers import (
    PeerHandler,
    PeerLinks,
    PeerListener,
    TunnelHandler,
    encode_frame,
)

__all__ = [
    "NEVER_RECEIVED_AGE_S",
    "HolderTerm",
    "PeerExchange",
    "is_connection_refused",
    "unpack_items",
]

ANSWER_TIMEOUT_S = 0.6
"""Longest wait for a peer's answer, in seconds; a request for updates lets the
peer wait for a change for less than half of it. The request to a peer that is
cut off is given up in time for a change to be known within two seconds, even
if two processes are tried one after the other."""

SEND_TIMEOUT_S = 0.3
"""Longest time to send a one-way message, in seconds; later it has no use."""


STORE_STATUS_TTL_S = 1.0
"""For how long the result of a process's own call to the store is reported to
peers, in seconds."""

STORE_STATUS_WAIT_S = 0.4
"""How long a status report waits for the result of a probe, in seconds."""

COMPRESSION_LEVEL = 1
"""Level of zlib with the least effort. Instance records resemble each other,
so that it still compresses them to a sixth. Each change goes to every VM, over
links of a megabyte a second."""

MAX_UNPACKED_BYTES = 16 * 1024 * 1024
"""Largest update after decompression: a value has a megabyte at most, and the
instance records of a fleet come to about as much."""

NEVER_RECEIVED_AGE_S = 1e6
"""Age in seconds of a heartbeat that was never received."""


class HolderTerm(NamedTuple):
    """Which start of which process plans groups, and when it confirmed that.

    Attributes:
        start: Names the start of the holder's process; empty if unknown.
        age_s: Seconds since the holder's last heartbeat.
        provisional: Whether the holder then reported that no process reaches
            the store.
    """

    start: str
    age_s: float
    provisional: bool


class PeerExchange:
    """Sends requests to peers and answers theirs.

    Args:
        node: This process's VM.
        domain: Its failure domain.
        view: This process's view of the fleet.
        handler: Handles messages of other kinds than this module's requests.
        heartbeat: The holder's last heartbeat.
        probe_store: Queries the store and returns whether it answered.
        find_local_term: Returns this process's term as the holder; None while
            it does not plan groups.
        serve_tunnel: Serves tunnels to upstreams; None if this process serves
            none.
    """

    def __init__(
        self,
        node: NodeId,
        domain: FailureDomainId,
        view: FleetView,
        handler: PeerHandler,
        heartbeat: HolderHeartbeat,
        probe_store: Callable[[], Awaitable[bool]],
        find_local_term: Callable[[], HolderTerm | None] = lambda: None,
        serve_tunnel: TunnelHandler | None = None,
    ) -> None:
        self._node = node
        self._view = view
        self._handler = handler
        self._heartbeat = heartbeat
        self._probe_store = probe_store
        self._find_local_term = find_local_term
        self._demands = DemandTotals()
        self._compressed: tuple[object, bytes] | None = None
        self._probe_task: asyncio.Task[None] | None = None
        self._probed_at = float("-inf")
        self._store_reachable: bool | None = None
        self._source = f"{node}-{secrets.token_hex(4)}"
        hello = Hello(PROTOCOL_VERSION, node, Incarnation(0), domain, "")
        self._hello = hello
        self._query_links = self.make_links(ANSWER_TIMEOUT_S)
        self._send_links = self.make_links(SEND_TIMEOUT_S)
        self._pending_sends: set[asyncio.Task[bool]] = set()
        self._listener = PeerListener(
            node, lambda _: True, self._handle, serve_tunnel=serve_tunnel
        )
        self._changed = asyncio.Event()
        view.on_change.append(self._notify_waiting)

    async def listen(self, address: Address) -> None:
        """Accept requests of peers from now on."""
        await self._listener.listen(address)

    def close(self) -> None:
        """Close all connections."""
        self._listener.close()
        self._query_links.close()
        self._send_links.close()

    def make_links(self, timeout_s: float) -> PeerLinks:
        """Return connections to peers of their own, closed by the caller.

        Args:
            timeout_s: Longest time for one call, in seconds.
        """
        return PeerLinks(lambda: self._hello, timeout_s)

    async def request_update(
        self, address: Address, watch: FleetWatch
    ) -> FleetUpdate | None:
        """Request an update from a process; return None if no answer came."""
        answer = await self._query_links.request(address, watch)
        return answer if isinstance(answer, FleetUpdate) else None

    async def request(self, address: Address, message: Message) -> Message | None:
        """Send a request to a process; return None if no answer came."""
        return await self._query_links.request(address, message)

    def sum_demands(self) -> list[ModelDemandReport]:
        """Return the demand for models summed over all followers."""
        return self._demands.sum_by_model(asyncio.get_running_loop().time())

    async def query_store_status(self, address: Address) -> bool | None:
        """Query whether a process reaches the store; return None if unknown.

        A process that has ended, whose VM refuses connections, does not.
        """
        status = await self._query_links.request(address, StoreStatusRequest())
        if isinstance(status, StoreStatus):
            return status.reachable
        return False if await is_connection_refused(address) else None

    async def query_holder_age(self, address: Address) -> float | None:
        """Query the age of the last heartbeat of the holder at a process.

        Returns:
            Its age in seconds; None if no answer came.
        """
        status = await self._query_links.request(address, StoreStatusRequest())
        return status.holder_unheard_s if isinstance(status, StoreStatus) else None

    def send(self, addresses: Collection[Address], message: Message) -> None:
        """Send a message that has no answer; drop it if it can't be sent."""
        if not addresses:
            return
        frame = encode_frame(message)
        for address in addresses:
            if not self._send_links.send_nowait(address, frame):
                sending = asyncio.create_task(self._send_links.send(address, message))
                self._pending_sends.add(sending)
                sending.add_done_callback(self._pending_sends.discard)

    async def _handle(self, hello: Hello, message: Message) -> Message | None:
        if isinstance(message, FleetWatch):
            now = asyncio.get_running_loop().time()
            self._demands.update(hello.node, message.demands, now)
            return await self._create_update(message)
        if isinstance(message, StoreStatusRequest):
            return await self._create_store_status()
        return await self._handler(hello, message)

    async def _create_store_status(self) -> StoreStatus:
        now = read_boot_clock()
        if now - self._view.store_confirmed_at < STORE_STATUS_TTL_S:
            self._store_reachable, self._probed_at = True, now
        elif (
            now - self._probed_at > STORE_STATUS_TTL_S / 2 and self._probe_task is None
        ):
            self._probe_task = asyncio.create_task(self._probe())
        if self._probe_task is not None and now - self._probed_at > STORE_STATUS_TTL_S:
            await asyncio.wait([self._probe_task], timeout=STORE_STATUS_WAIT_S)
        fresh = read_boot_clock() - self._probed_at <= STORE_STATUS_TTL_S
        holder = self._view.holder
        age_s = (
            NEVER_RECEIVED_AGE_S
            if holder is None
            else self._heartbeat.compute_age_s(holder)
        )
        return StoreStatus(self._store_reachable if fresh else None, age_s)

    async def _probe(self) -> None:
        try:
            self._store_reachable = await self._probe_store()
            self._probed_at = read_boot_clock()
        finally:
            self._probe_task = None

    async def _create_update(self, watch: FleetWatch) -> FleetUpdate:
        mirror = self._view.mirror
        # Only the whole copy shows what the store lost when it was restored.
        behind = find_generation(watch.as_of) - mirror.generation
        known = watch.source == self._source and watch.serial > 0 and not behind
        if known and mirror.serial == watch.serial:
            await self._wait_for_change(min(watch.wait_s, ANSWER_TIMEOUT_S / 2))
        source, whole = self._source, False
        since: object = (known, watch.serial if known else watch.as_of)
        if known:
            changed = mirror.list_since_serial(watch.serial)
        elif not watch.as_of or behind < 0:
            changed, whole = mirror.list_since_serial(0), True
        elif mirror.history_start and mirror.history_start <= watch.as_of:
            # What the peer already has isn't sent again: when there is a new
            # holder, all processes send it a request at the same moment.
            changed = mirror.list_since_revision(watch.as_of)
        else:
            changed, source = [], ""
        leaving = self._view.list_leaving_since(watch.serial if known else 0)
        term = self._describe_holder()
        return FleetUpdate(
            source,
            mirror.serial if source else 0,
            whole,
            self._pack(since, changed),
            mirror.confirmed_as_of,
            self._view.compute_age_s(asyncio.get_running_loop().time()),
            term.start,
            term.age_s,
            term.provisional,
            self._view.unreachable,
            dict(self._view.retention.retained),
            [LeavingInstance(*run.incarnation, run.reported_by) for run in leaving],
        )

    def _describe_holder(self) -> HolderTerm:
        local_term = self._find_local_term()
        if local_term is not None:
            return local_term
        holder = self._heartbeat.last_holder
        if holder is None:
            return HolderTerm("", NEVER_RECEIVED_AGE_S, provisional=False)
        age_s = self._heartbeat.compute_age_s(holder)
        return HolderTerm(holder.start, age_s, self._heartbeat.provisional)

    def _pack(
        self, since: object, changed: list[tuple[str, StoredItem | None, Revision]]
    ) -> bytes:
        """Return items in their wire format.

        The last result is cached, since many followers request the same
        changes at the same moment.
        """
        key = (since, self._view.mirror.serial)
        if self._compressed is None or self._compressed[0] != key:
            self._compressed = (key, pack_items(changed))
        return self._compressed[1]

    async def _wait_for_change(self, wait_s: float) -> None:
        changed = self._changed
        try:
            async with asyncio.timeout(wait_s):
                await changed.wait()
        except TimeoutError:
            return

    def _notify_waiting(self) -> None:
        # Each change sets its own event, so that each waiting request wakes.
        self._changed.set()
        self._changed = asyncio.Event()


def pack_items(changed: list[tuple[str, StoredItem | None, Revision]]) -> bytes:
    """Return items in their wire format."""
    items = [
        FleetUpdateItem(key, None if item is None else item.value, revision)
        for key, item, revision in changed
    ]
    if not items:
        return b""
    return zlib.compress(msgspec.msgpack.encode(items), COMPRESSION_LEVEL)


def unpack_items(packed: bytes) -> list[FleetUpdateItem]:
    """Return the items that ``pack_items`` encoded.

    Raises:
        zlib.error: The data can't be decompressed or is too large.
        msgspec.MsgspecError: The decompressed data are no items.
    """
    if not packed:
        return []
    unpacker = zlib.decompressobj()
    data = unpacker.decompress(packed, MAX_UNPACKED_BYTES)
    if not unpacker.eof:
        raise zlib.error("truncated, or too large")
    return msgspec.msgpack.decode(data, type=list[FleetUpdateItem])


async def is_connection_refused(address: Address) -> bool:
    """Return whether a VM is up but refuses connections at an address."""
    host, port = split_address(address)
    try:
        async with asyncio.timeout(SEND_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False
