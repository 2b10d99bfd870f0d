"""Processes tell each other what the store told one of them.

One process, the holder of the plans, watches the store; the others ask it for
changes. A fleet in which each process watches for itself would spend its calls
on telling everyone the same, and processes that the store turns away would
learn nothing.
"""

import asyncio
import secrets
import zlib
from collections.abc import Awaitable, Callable, Collection
from typing import NamedTuple

import msgspec

from zinniaspool.core.fleet import DemandTotals, ModelDemandReport, StoredItem
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
    StoreStatus,
    StoreStatusRequest,
)
from zinniaspool.fleet.belief import FleetBelief
from zinniaspool.fleet.sight import HolderSight, boot_time
from zinniaspool.peers import PeerHandler, PeerLinks, PeerListener, encode_frame

__all__ = ["FleetMesh", "Lead", "is_nobody_there", "unpack_items"]

ANSWER_S = 0.6
"""Longest wait for a peer, in seconds; a question itself waits for under half
of this. One that was cut off is given up in time for a change to be known
within two seconds, though two processes are asked one after the other."""

NOTE_S = 0.3
"""Longest wait for a note to leave, in seconds: a later one is worthless."""


FRESH_WORD_S = 1.0
"""For how long a process's own knowledge of the store counts, in seconds."""

WORD_WAIT_S = 0.4
"""How long an answer waits for such knowledge, in seconds."""


PACK_LEVEL = 1
"""Least effort. Entries resemble each other, so that a sixth is left all the
same; each change goes to every VM, over links of a megabyte a second."""

MOST_UNPACKED_BYTES = 16 * 1024 * 1024
"""Largest copy after unpacking: a value has a megabyte at most, and a fleet's
entries come to about as much."""

NEVER_S = 1e6
"""Age of what was never heard."""


class Lead(NamedTuple):
    """Which start of which process plans groups, and when it said so."""

    start: str
    age_s: float
    provisional: bool


class FleetMesh:
    """This process's side of it: answers others, asks others.

    Args:
        node: This process's VM.
        domain: Its failure domain.
        belief: What it knows.
        handler: Takes messages that are no questions.
        sight: When the holder was last heard.
        probe_store: Asks the store for anything; tells whether it answered.
        find_own_lead: Returns what this process says while it plans groups.
    """

    def __init__(
        self,
        node: NodeId,
        domain: FailureDomainId,
        belief: FleetBelief,
        handler: PeerHandler,
        sight: HolderSight,
        probe_store: Callable[[], Awaitable[bool]],
        find_own_lead: Callable[[], Lead | None] = lambda: None,
    ) -> None:
        self._node = node
        self._belief = belief
        self._handler = handler
        self._sight = sight
        self._probe_store = probe_store
        self._find_own_lead = find_own_lead
        self._demands = DemandTotals()
        self._packed: tuple[object, bytes] | None = None
        self._probing: asyncio.Task[None] | None = None
        self._probed_at = float("-inf")
        self._reachable: bool | None = None
        self._source = f"{node}-{secrets.token_hex(4)}"
        hello = Hello(PROTOCOL_VERSION, node, Incarnation(0), domain, "")
        self._asking = PeerLinks(lambda: hello, ANSWER_S)
        self._telling = PeerLinks(lambda: hello, NOTE_S)
        self._sending: set[asyncio.Task[bool]] = set()
        self._listener = PeerListener(node, lambda _: True, self._take)
        self._news = asyncio.Event()
        belief.on_change.append(self._wake)

    async def listen(self, address: Address) -> None:
        """Answer others from now on."""
        await self._listener.listen(address)

    def close(self) -> None:
        """Close all connections."""
        self._listener.close()
        self._asking.close()
        self._telling.close()

    async def ask(self, address: Address, watch: FleetWatch) -> FleetUpdate | None:
        """Ask a process for news; None where no answer came."""
        answer = await self._asking.ask(address, watch)
        return answer if isinstance(answer, FleetUpdate) else None

    def sum_demands(self) -> list[ModelDemandReport]:
        """Return how much the models are asked for at all that follow this."""
        return self._demands.sum_by_model(asyncio.get_running_loop().time())

    async def ask_store(self, address: Address) -> bool | None:
        """Ask whether a process reaches the store; None where unknown.

        One that has ended reaches nothing: its VM refuses connections there.
        """
        word = await self._asking.ask(address, StoreStatusRequest())
        if isinstance(word, StoreStatus):
            return word.reachable
        return False if await is_nobody_there(address) else None

    async def ask_holder(self, address: Address) -> float | None:
        """Ask for how long a process has not heard the holder."""
        word = await self._asking.ask(address, StoreStatusRequest())
        return word.holder_unheard_s if isinstance(word, StoreStatus) else None

    def tell(self, addresses: Collection[Address], message: Message) -> None:
        """Send a note that has no answer; one that cannot leave is lost."""
        if not addresses:
            return
        frame = encode_frame(message)
        for address in addresses:
            if not self._telling.post(address, frame):
                sending = asyncio.create_task(self._telling.send(address, message))
                self._sending.add(sending)
                sending.add_done_callback(self._sending.discard)

    async def _take(self, hello: Hello, message: Message) -> Message | None:
        if isinstance(message, FleetWatch):
            now = asyncio.get_running_loop().time()
            self._demands.update(hello.node, message.demands, now)
            return await self._answer(message)
        if isinstance(message, StoreStatusRequest):
            return await self._tell_store()
        return await self._handler(hello, message)

    async def _tell_store(self) -> StoreStatus:
        now = boot_time()
        if now - self._belief.confirmed_at_boot < FRESH_WORD_S:
            self._reachable, self._probed_at = True, now
        elif now - self._probed_at > FRESH_WORD_S / 2 and self._probing is None:
            self._probing = asyncio.create_task(self._probe())
        if self._probing is not None and now - self._probed_at > FRESH_WORD_S:
            await asyncio.wait([self._probing], timeout=WORD_WAIT_S)
        fresh = boot_time() - self._probed_at <= FRESH_WORD_S
        holder = self._belief.holder
        unheard_s = NEVER_S if holder is None else self._sight.unheard_s(holder)
        return StoreStatus(self._reachable if fresh else None, unheard_s)

    async def _probe(self) -> None:
        try:
            self._reachable = await self._probe_store()
            self._probed_at = boot_time()
        finally:
            self._probing = None

    async def _answer(self, watch: FleetWatch) -> FleetUpdate:
        mirror = self._belief.mirror
        known = watch.source == self._source and watch.serial > 0
        if known and mirror.serial == watch.serial:
            await self._wait_for_news(min(watch.wait_s, ANSWER_S / 2))
        source, whole = self._source, False
        since: object = (known, watch.serial if known else watch.as_of)
        if known:
            changed = mirror.list_since_serial(watch.serial)
        elif not watch.as_of:
            changed, whole = mirror.list_since_serial(0), True
        elif mirror.history_start and mirror.history_start <= watch.as_of:
            # All that a process already has need not go over the link again:
            # when a new holder is followed, all ask at the same moment.
            changed = mirror.list_since_revision(watch.as_of)
        else:
            changed, source = [], ""
        lead = self._describe_lead()
        return FleetUpdate(
            source,
            mirror.serial if source else 0,
            whole,
            self._pack(since, changed),
            mirror.confirmed_as_of,
            self._belief.age(asyncio.get_running_loop().time()),
            lead.start,
            lead.age_s,
            lead.provisional,
            self._belief.lost,
        )

    def _describe_lead(self) -> Lead:
        own = self._find_own_lead()
        if own is not None:
            return own
        heard = self._sight.heard
        if heard is None:
            return Lead("", NEVER_S, provisional=False)
        unheard_s = self._sight.unheard_s(heard)
        return Lead(heard.start, unheard_s, self._sight.provisional)

    def _pack(
        self, since: object, changed: list[tuple[str, StoredItem | None, Revision]]
    ) -> bytes:
        """Return items as they go over the wire.

        Many ask for the same at the same moment, so that it is kept.
        """
        key = (since, self._belief.mirror.serial)
        if self._packed is None or self._packed[0] != key:
            self._packed = (key, pack_items(changed))
        return self._packed[1]

    async def _wait_for_news(self, wait_s: float) -> None:
        news = self._news
        try:
            async with asyncio.timeout(wait_s):
                await news.wait()
        except TimeoutError:
            return

    def _wake(self) -> None:
        # A new event for each change, so that whoever waits sees its own.
        self._news.set()
        self._news = asyncio.Event()


def pack_items(changed: list[tuple[str, StoredItem | None, Revision]]) -> bytes:
    """Return items as they go over the wire."""
    items = [
        FleetUpdateItem(key, None if item is None else item.value, revision)
        for key, item, revision in changed
    ]
    if not items:
        return b""
    return zlib.compress(msgspec.msgpack.encode(items), PACK_LEVEL)


def unpack_items(packed: bytes) -> list[FleetUpdateItem]:
    """Return the items that were packed.

    Raises:
        zlib.error: They are not what compression makes, or too large.
        msgspec.MsgspecError: They are no items.
    """
    if not packed:
        return []
    unpacker = zlib.decompressobj()
    data = unpacker.decompress(packed, MOST_UNPACKED_BYTES)
    if not unpacker.eof:
        raise zlib.error("too large")
    return msgspec.msgpack.decode(data, type=list[FleetUpdateItem])


async def is_nobody_there(address: Address) -> bool:
    """Tell whether a VM is there and refuses connections at an address."""
    host, port = split_address(address)
    try:
        async with asyncio.timeout(NOTE_S):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False
