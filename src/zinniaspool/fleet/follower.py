"""Keeps the copy of the store up to date, from the store or from a peer."""

import asyncio
import random
import zlib
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import structlog
from result import Err, Ok, Result

from zinniaspool.core.fleet import (
    FANOUT,
    HolderRecord,
    MirrorEvent,
    ModelDemandReport,
    NodeState,
    StoredItem,
    choose_relays,
)
from zinniaspool.core.ids import Address, FailureDomainId, NodeId, Revision
from zinniaspool.core.messages.fleet import FleetUpdate, FleetWatch
from zinniaspool.core.storage import StoreFault
from zinniaspool.fleet.belief import FleetBelief
from zinniaspool.fleet.mesh import FleetMesh, unpack_items
from zinniaspool.fleet.settings import NodeSettings
from zinniaspool.fleet.sight import HolderSight
from zinniaspool.fleet.store import FleetStore

__all__ = ["FleetFollower", "Place", "make_place"]

_log = structlog.get_logger(__name__)

WAIT_S = 0.5
"""Longest wait of one watch, in seconds. A connection that went silent shows
only when the answer is overdue, and a change must be known within two."""

OVERDUE_S = 0.4
"""How late a watch's answer may be before another is asked for on another
connection, in seconds: a slow store takes half of that. Both times together
stay below the age at which followers leave a copy: while the holder waited for
1.4 s on a connection gone silent, the whole fleet went to the store."""

PEER_WAIT_S = 0.25
"""Longest wait of a question to a peer, in seconds: one that was frozen or cut
off shows by an answer overdue, well within the time for a change."""

FRESH_S = 1.1
"""Age up to which a peer's copy is followed, in seconds: somewhat over what a
sound peer lets pass between two answers of the store."""

GATHER_S = 0.05
"""Pause between watches, in seconds: an instance that changes several times in
a row then costs one call."""

RETRY_S = 0.15
"""First pause after a failed call, in seconds; it doubles up to the next."""

MOST_RETRY_S = 0.6
"""Longest pause: the store's return must be noticed well within the second
that a change may take from there."""

SHUN_S = 0.7
"""For how long a peer that gave no fresh answer is not asked, in seconds."""


MOST_SEEDS = 3
"""Peers that are asked in a row: enough that one of them most likely reaches
the store where only some VMs do not."""

FIRST_START_S = 3.0
"""For how long a process asks others for their copy when the whole system
starts, in seconds: nobody is served yet, and a few processes tell a copy of
some tens of kilobytes to all others."""

OWN_ENTRY_S = 1.2
"""For how long a control process waits for the copy of its VM's entry process
when both start again, in seconds. That one starts first and reads the store
for both: after a loss of power of all VMs, twice as many readings of some
half a megabyte each would fill the store's link for seconds."""

SOURCE_RETRY_S = 0.06
"""Pause between two such questions, in seconds."""

REREAD_S = 0.6
"""Longest pause before the store is read anew whose history was dropped, in
seconds, where relays stand between: the one that is followed has read it by
then for most."""

OWN_HOP_S = 0.35
"""How much older a copy may be that came by the VM's own control process, in
seconds: the longest wait of one more question, and the way."""

RELAY_HOP_S = 0.8
"""The same for a relay: as long as the holder and the relays need to be served
again after a second without the store. With the shorter time a fleet of 67 VMs
asked the store all at once then, and read it whole."""

RELAY_GATHER_S = 0.1
"""Pause after news before more is asked for, in seconds, where relays stand
between: while many things change, each VM then takes ten answers a second and
not one for each change. A change after a quiet moment is told at once."""


@dataclass(frozen=True, slots=True)
class Place:
    """Where a process runs.

    Attributes:
        node: Its VM.
        domain: That VM's failure domain.
        first_start: Whether the whole system starts for the first time.
        own_entry: Where the VM's entry process tells others of the fleet.
        seeds: Control processes of other VMs that may be reached at the start.
    """

    node: NodeId
    domain: FailureDomainId
    first_start: bool = False
    own_entry: Address | None = None
    seeds: tuple[Address, ...] = ()

    def list_own_entry(self) -> tuple[Address, ...]:
        """Return where the VM's entry process is, if there is one."""
        return () if self.own_entry is None else (self.own_entry,)


def make_place(node: NodeSettings) -> Place:
    """Return where a process with these settings runs."""
    return Place(
        node.node,
        node.failure_domain,
        node.first_start,
        Address(f"{node.ip}:{node.first_port}"),
        () if node.control_address in node.seeds else node.seeds,
    )


@dataclass(slots=True)
class _Peer:
    """What the last answer of the peer that is followed said."""

    address: Address
    source: str = ""
    serial: int = 0


class FleetFollower:
    """Follows the store, through the holder wherever it is up to date.

    Args:
        store: The store.
        belief: What is kept up to date.
        mesh: Asks peers.
        sight: When the holder was last heard.
        is_holder: Tells whether this process is the one that others follow.
        list_seeds: Returns peers to ask when neither store nor holder answer.
        list_demands: Returns how much the models are asked for, here and at
            all that follow this process.
        place: Where this process runs.
        own_control: This VM's control process, which is followed where there
            is one: so only one process of a VM is told over the network. The
            control process itself has none, and follows the holder or a relay.
    """

    def __init__(
        self,
        store: FleetStore,
        belief: FleetBelief,
        mesh: FleetMesh,
        sight: HolderSight,
        is_holder: Callable[[], bool],
        list_seeds: Callable[[], list[Address]],
        list_demands: Callable[[], list[ModelDemandReport]],
        place: Place,
        own_control: Address | None = None,
    ) -> None:
        self.reachable = True
        self._store = store
        self._belief = belief
        self._mesh = mesh
        self._sight = sight
        self._is_holder = is_holder
        self._list_seeds = list_seeds
        self._list_demands = list_demands
        self._place = place
        self._own_control = own_control
        self._relays: list[Address] | None = None
        belief.on_nodes.append(self._forget_relays)
        self._read = False
        self._pause_s = RETRY_S
        self._peer: _Peer | None = None
        self._shunned: dict[Address, float] = {}

    async def run(self) -> None:
        """Follow until cancelled."""
        await self._begin_with_sources()
        while True:
            self._belief.expire_lost(self._now())
            if await self._follow_peers():
                self._belief.take(self._belief.mirror.apply_due_removals(self._now()))
                continue
            done = await self._follow_store()
            if not isinstance(done, Err):
                await asyncio.sleep(RELAY_GATHER_S if self._has_relays else GATHER_S)
            elif await self._ask_seeds():
                await asyncio.sleep(RETRY_S)
            else:
                await asyncio.sleep(self._pause_s)

    async def _begin_with_sources(self) -> None:
        """Learn all from a process that reads the store in any case."""
        place = self._place
        if not place.first_start and self._own_control is not None:
            # Callers wait for it. The others have long started, or start as
            # well after a loss of power, and the store is there in any case.
            if place.seeds:
                await self._follow(random.choice(place.seeds), 0.0)
            return
        if place.first_start:
            sources, wait_s = place.seeds, FIRST_START_S
        else:
            sources, wait_s = place.list_own_entry(), OWN_ENTRY_S
        if self._own_control is not None:
            sources = (self._own_control,)
        ends = self._now() + wait_s
        while sources and self._now() < ends:
            if await self._follow(random.choice(sources), 0.0):
                return
            await asyncio.sleep(SOURCE_RETRY_S)

    async def _follow_peers(self) -> bool:
        """Take news of the peer that is followed; False where it has none.

        While one is waited for in vain, a change may be missed, and the store
        tells it at once; so a second peer is not tried before the store is.
        """
        if self._is_holder() or not self._belief.mirror.is_loaded:
            return False
        now = self._now()
        for address in self._list_leads():
            if self._shunned.get(address, 0.0) <= now:
                return await self._follow(address, PEER_WAIT_S, leads=True)
        return False

    def _list_leads(self) -> list[Address]:
        """Return whom this process may follow, best first."""
        if self._own_control is not None:
            return [self._own_control]
        holder = self._belief.holder
        if holder is None:
            return []
        return [*self._find_relays(holder), holder.peer_address]

    def _find_relays(self, holder: HolderRecord) -> list[Address]:
        if self._relays is None:
            place, nodes = self._place, self._belief.nodes
            domains = {
                one.node: one.failure_domain
                for one in nodes.values()
                if one.control_address and one.state is NodeState.READY
            }
            domains[place.node] = place.domain
            chosen = choose_relays(place.node, holder.node, domains)
            self._relays = [nodes[name].control_address for name in chosen]
        return self._relays

    def _forget_relays(self) -> None:
        self._relays = None

    @property
    def _has_relays(self) -> bool:
        """Whether the fleet is so large that relays stand between."""
        return len(self._belief.nodes) > FANOUT

    @property
    def _fresh_s(self) -> float:
        """Age up to which a peer's copy is followed, in seconds.

        More for each process between this one and the holder. When the
        holder's own connection to the store has gone silent, the copies of
        all age together; those who follow it directly then ask the store, and
        the others have their news before it is their turn. The store would
        have to tell the whole fleet otherwise.
        """
        holder = self._belief.holder
        fresh_s = FRESH_S
        if holder is not None and self._find_relays(holder):
            fresh_s += RELAY_HOP_S
        if self._own_control is not None:
            fresh_s += OWN_HOP_S
        return fresh_s

    def _accepts(self, news: FleetUpdate) -> bool:
        """Tell whether a peer's news are to be followed.

        While the store is down for all, the holder's copy is as old as any,
        but the holder alone knows what it has changed since.
        """
        if not news.as_of:
            return False
        holder = self._belief.holder
        led = holder is not None and news.leader == holder.start
        if led and news.provisional and news.leader_age_s <= self._fresh_s:
            return True
        # A process that knows nothing serves nobody: an old copy is better.
        return news.age_s <= self._fresh_s or not self._belief.mirror.is_loaded

    # From peers.

    async def _follow(
        self, address: Address, wait_s: float = PEER_WAIT_S, *, leads: bool = False
    ) -> bool:
        """Take news of a peer; False where it has none that is fresh.

        Args:
            address: Where it listens.
            wait_s: For how long it may wait for news, in seconds.
            leads: Whether it is on the way to the holder. Only there demand
                is told, lest it be counted twice.
        """
        peer = self._peer
        if peer is None or peer.address != address:
            peer = self._peer = _Peer(address)
        as_of = self._belief.mirror.as_of
        demands = self._list_demands() if leads else []
        news = await self._mesh.ask(
            address, FleetWatch(peer.source, peer.serial, as_of, wait_s, demands)
        )
        if news is None:
            self._note_unanswered(address)
        if news is not None and not news.source and news.as_of:
            news = await self._close_gap(address, news)
        if news is None or not self._accepts(news):
            self._shun(address, news)
            return False
        self._shunned.pop(address, None)
        peer.source, peer.serial = news.source, news.serial
        try:
            self._take_news(news)
        except (zlib.error, msgspec.MsgspecError) as error:
            _log.error("news-unreadable", address=address, reason=str(error))
            return False
        holder = self._belief.holder
        if holder is not None and news.leader == holder.start:
            self._sight.hear(holder, news.leader_age_s, provisional=news.provisional)
            self._belief.take_lost(news.lost, self._now() - news.leader_age_s)
        self.reachable = True
        if leads and news.items and self._own_control is None and self._has_relays:
            await asyncio.sleep(RELAY_GATHER_S)
        return True

    def _shun(self, address: Address, news: FleetUpdate | None) -> None:
        if address not in self._shunned:
            _log.info(
                "peer-stale",
                address=address,
                age_ms=-1 if news is None else int(news.age_s * 1000),
                leader_ms=-1 if news is None else int(news.leader_age_s * 1000),
            )
        self._shunned[address] = self._now() + SHUN_S

    def _note_unanswered(self, address: Address) -> None:
        holder = self._belief.holder
        if holder is not None and address == holder.peer_address:
            self._sight.note_unanswered(holder)

    async def _close_gap(
        self, address: Address, news: FleetUpdate
    ) -> FleetUpdate | None:
        """Learn what a peer cannot tell: changes before it knew the store.

        The store tells it in one call; where it does not answer, the peer's
        whole copy is asked for.
        """
        if self._read and not isinstance(await self._follow_store(), Err):
            return await self._mesh.ask(
                address, FleetWatch("", 0, self._belief.mirror.as_of, 0.0)
            )
        if (
            news.as_of <= self._belief.mirror.as_of
            and news.leader_age_s > self._fresh_s
        ):
            return None
        return await self._mesh.ask(address, FleetWatch("", 0, Revision(0), 0.0))

    def _take_news(self, news: FleetUpdate) -> None:
        mirror, now = self._belief.mirror, self._now()
        told = unpack_items(news.items)
        if news.whole:
            items = [
                StoredItem(one.key, one.value, one.revision)
                for one in told
                if one.value is not None
            ]
            changes = mirror.replace(items, news.as_of, now, amended=True)
            # Complete up to its revision, so that the store need only be
            # asked for what came after it.
            self._read = True
        else:
            events = [MirrorEvent(one.key, one.value, one.revision) for one in told]
            changes = mirror.apply(events, news.as_of, now, amended=True)
        self._belief.confirm(now - news.age_s)
        self._belief.take(changes)

    async def _ask_seeds(self) -> bool:
        """Ask peers, when neither the store nor the holder answers.

        Returns:
            Whether one of them had news that are fresh.
        """
        now = self._now()
        seeds = [one for one in self._list_seeds() if self._shunned.get(one, 0) <= now]
        chosen = random.sample(seeds, min(len(seeds), MOST_SEEDS))
        holder = self._belief.holder
        if holder is not None and not self._is_holder():
            chosen.insert(0, holder.peer_address)
        for seed in chosen:
            if await self._follow(seed, 0.0):
                return True
        return False

    # From the store.

    async def _follow_store(self) -> Result[None, StoreFault]:
        self._peer = None
        done = await (self._watch() if self._read else self._read_all())
        self._settle(done)
        return done

    async def _read_all(self) -> Result[None, StoreFault]:
        reading = await self._store.read("")
        if isinstance(reading, Err):
            return reading
        self._read = True
        found = reading.ok_value
        changes = self._belief.mirror.replace(found.items, found.as_of, self._now())
        self._belief.take(changes)
        return Ok(None)

    async def _watch(self) -> Result[None, StoreFault]:
        mirror = self._belief.mirror
        seen = await self._store.watch("", mirror.as_of, WAIT_S, OVERDUE_S)
        if isinstance(seen, Err) and seen.err_value is StoreFault.UNKNOWN:
            # One connection that went silent is no outage: the removals that
            # come next are to be believed.
            seen = await self._store.watch("", mirror.as_of, 0.0, OVERDUE_S)
        if isinstance(seen, Err):
            return seen
        batch = seen.ok_value
        if not batch.complete:
            # The history between is gone: only a whole reading tells.
            # The one that is followed reads it for all; each reading for
            # itself would be the whole fleet's entries for every VM.
            _log.info("history-dropped", as_of=mirror.as_of)
            self._read = False
            if self._has_relays and not self._is_holder():
                await asyncio.sleep(random.uniform(0.0, REREAD_S))
                self._shunned.clear()
            return Ok(None)
        self._belief.take(mirror.apply(batch.events, batch.as_of, self._now()))
        return Ok(None)

    def _settle(self, done: Result[None, StoreFault]) -> None:
        now = self._now()
        mirror = self._belief.mirror
        if isinstance(done, Err):
            mirror.mark_outage(now)
            if self.reachable:
                _log.warning("store-lost", fault=done.err_value.value)
            self.reachable = False
            longest = min(MOST_RETRY_S, self._pause_s * 2)
            self._pause_s = longest * random.uniform(0.7, 1.0)
            return
        if not self.reachable:
            _log.info("store-regained", as_of=mirror.as_of)
        self.reachable = True
        self._pause_s = RETRY_S
        if self._read:
            self._belief.confirm_by_store(now)
        self._belief.take(mirror.apply_due_removals(now))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
