"""Keeps a process's mirror of the store up to date, from a peer or the store.

If every process watched the store, the store would spend its allowance of
calls on sending all of them the same changes. So the holder watches it, the
other processes follow the holder, a relay or their VM's control process, and
they turn to the store only when that source fails or falls behind.
"""

import asyncio
import random
import zlib
from collections.abc import Callable
from dataclasses import dataclass

import structlog
from result import Err, Ok, Result

from zinniaspool.core.decoding import DECODE_ERRORS
from zinniaspool.core.fleet import (
    FANOUT,
    HolderRecord,
    LeavingSource,
    MirrorEvent,
    ModelDemandReport,
    NodeState,
    StoredItem,
    choose_relays,
)
from zinniaspool.core.generations import find_generation, format_revision
from zinniaspool.core.ids import Address, FailureDomainId, NodeId, Revision
from zinniaspool.core.messages.fleet import FleetUpdate, FleetWatch
from zinniaspool.core.storage import StoreFault
from zinniaspool.fleet.belief import FleetView
from zinniaspool.fleet.mesh import NEVER_RECEIVED_AGE_S, PeerExchange, unpack_items
from zinniaspool.fleet.retention import RetentionTimer
from zinniaspool.fleet.settings import NodeSettings
from zinniaspool.fleet.sight import HolderHeartbeat
from zinniaspool.fleet.store import FleetStore

__all__ = ["FleetFollower", "ProcessLocation", "make_location"]

_log = structlog.get_logger(__name__)

WATCH_WAIT_S = 0.5
"""Longest wait of one watch of the store, in seconds. A connection that no
longer responds is noticed only when the answer is overdue, and a change must
be known within two seconds."""

WATCH_OVERDUE_S = 0.4
"""How late a watch's answer may be before the watch is repeated on another
connection, in seconds; a slow store takes half of that. Together with the wait
it stays below the age at which followers give up a mirror: when the holder
waited for 1.4 s on an unresponsive connection, the whole fleet turned to the
store."""

PEER_WAIT_S = 0.25
"""How long a peer may wait for a change before it answers, in seconds. A peer
that is suspended or cut off is noticed by its overdue answer, well within the
two seconds in which a change must be known."""

MAX_PEER_AGE_S = 1.1
"""Age up to which a peer's mirror is followed, in seconds: a little more than
passes between two answers of the store to a healthy peer."""

WATCH_PAUSE_S = 0.05
"""Pause between watches, in seconds. Several changes of an instance in a row
then cost one call."""

MIN_RETRY_DELAY_S = 0.15
"""First pause after a failed call, in seconds; it doubles up to the longest
one."""

MAX_RETRY_DELAY_S = 0.6
"""Longest pause after a failed call, in seconds. The store's return must be
noticed well within the second that a change may take from then on."""

PEER_BACKOFF_S = 0.7
"""For how long a peer that gave no fresh answer is avoided, in seconds."""

MAX_SEEDS = 3
"""Seeds that are tried in a row: enough that one of them most likely reaches
the store when only some VMs can't."""

FIRST_START_WAIT_S = 3.0
"""For how long a process requests the mirror of others when the whole system
starts, in seconds. No caller is served yet, and a few processes send a mirror
of some tens of kilobytes to all others."""

LOCAL_ENTRY_WAIT_S = 1.2
"""For how long a control process waits for the mirror of its VM's entry
process when both restart, in seconds. The entry process starts first and reads
the store for both: after a power loss of all VMs, twice as many reads of about
half a megabyte each would fill the store's link for seconds."""

SOURCE_RETRY_DELAY_S = 0.06
"""Pause between two requests for an initial mirror, in seconds."""

MAX_REREAD_DELAY_S = 0.6
"""Longest pause before a process behind a relay reads the whole store again,
because the store dropped the history since its mirror, in seconds. For most
processes, the one that they follow has read it by then."""

LOCAL_HOP_AGE_S = 0.35
"""How much older a mirror may be when it comes through the VM's own control
process, in seconds: the longest wait of one more request, and its transfer."""

RELAY_HOP_AGE_S = 0.8
"""How much older a mirror may be when it comes through a relay, in seconds: as
long as the store needs to serve the holder and the relays again after a second
without it. With a shorter time, a fleet of 67 VMs turned to the store all at
once and read all of it."""

RELAY_BATCH_PAUSE_S = 0.1
"""Pause after an update before the next is requested, in seconds, in a fleet
with relays. While many keys change, each VM then gets ten answers a second and
not one for each change. A change after a period without any is sent at once.
"""


@dataclass(frozen=True, slots=True)
class ProcessLocation:
    """Where a process runs.

    Attributes:
        node: Its VM.
        failure_domain: That VM's failure domain.
        first_start: Whether the whole system starts for the first time.
        local_entry: Where the VM's entry process answers requests of peers.
        seeds: Control processes of other VMs, as a first contact at the start.
    """

    node: NodeId
    failure_domain: FailureDomainId
    first_start: bool = False
    local_entry: Address | None = None
    seeds: tuple[Address, ...] = ()

    def list_local_entry(self) -> tuple[Address, ...]:
        """Return the address of the VM's entry process, if there is one."""
        return () if self.local_entry is None else (self.local_entry,)


def _to_ms(age_s: float) -> int:
    """Return an age in milliseconds for the log; -1 if there is none."""
    return -1 if age_s >= NEVER_RECEIVED_AGE_S else int(age_s * 1000)


def make_location(node: NodeSettings) -> ProcessLocation:
    """Return where a process with these settings runs."""
    return ProcessLocation(
        node.node,
        node.failure_domain,
        node.first_start,
        Address(f"{node.ip}:{node.first_port}"),
        () if node.control_address in node.seeds else node.seeds,
    )


@dataclass(slots=True)
class _Source:
    """The peer that is followed, and how far its changes are known.

    Attributes:
        address: Where it listens.
        source: The run of the peer's process that sent the last update.
        serial: The last change of its mirror that the update contains.
    """

    address: Address
    source: str = ""
    serial: int = 0


class FleetFollower:
    """Follows a peer on the way to the holder, or else the store itself.

    Args:
        store: The store.
        view: The view of the fleet that is kept up to date.
        exchange: Sends requests to peers.
        heartbeat: Records the holder's heartbeats that peers pass on.
        is_holder: Returns whether this process is the one that others follow.
        list_seeds: Returns peers to try when neither the store nor the holder
            answers.
        list_demands: Returns the demand for models at this process and all its
            followers.
        location: Where this process runs.
        local_control: This VM's control process, which an entry process
            follows, so that only one process of each VM gets updates over the
            network. It is None for the control process itself, which follows
            the holder or a relay.

    Attributes:
        reachable: Whether the last source that was tried, a peer or the store,
            gave an update.
    """

    def __init__(
        self,
        store: FleetStore,
        view: FleetView,
        exchange: PeerExchange,
        heartbeat: HolderHeartbeat,
        is_holder: Callable[[], bool],
        list_seeds: Callable[[], list[Address]],
        list_demands: Callable[[], list[ModelDemandReport]],
        location: ProcessLocation,
        local_control: Address | None = None,
    ) -> None:
        self.reachable = True
        self._store = store
        self._view = view
        self._exchange = exchange
        self._heartbeat = heartbeat
        self._is_holder = is_holder
        self._list_seeds = list_seeds
        self._list_demands = list_demands
        self._location = location
        self._local_control = local_control
        self._relays: list[Address] | None = None
        view.on_nodes.append(self._reset_relays)
        timer = RetentionTimer(view.retention, view.settle_retained)
        view.on_change.append(timer.schedule)
        self._mirror_complete = False
        self._retry_delay_s = MIN_RETRY_DELAY_S
        self._source: _Source | None = None
        self._backoff_until: dict[Address, float] = {}

    async def run(self) -> None:
        """Keep the view up to date until cancelled."""
        await self._copy_initial_mirror()
        while True:
            self._view.expire_unreachable(self._now())
            if await self._follow_peers():
                self._view.apply_changes(
                    self._view.mirror.apply_due_changes(self._now())
                )
                continue
            result = await self._follow_store()
            if not isinstance(result, Err):
                await asyncio.sleep(
                    RELAY_BATCH_PAUSE_S if self._uses_relays else WATCH_PAUSE_S
                )
            elif await self._follow_seeds():
                await asyncio.sleep(MIN_RETRY_DELAY_S)
            else:
                await asyncio.sleep(self._retry_delay_s)

    async def _copy_initial_mirror(self) -> None:
        """Copy the mirror of a process that reads the store in any case."""
        location = self._location
        if not location.first_start and self._local_control is not None:
            # Callers wait for this entry process, so it tries one seed once.
            # The other VMs have long started, or start at the same time after
            # a power loss; the store is available in either case.
            if location.seeds:
                await self._follow(random.choice(location.seeds), 0.0)
            return
        if location.first_start:
            sources, wait_s = location.seeds, FIRST_START_WAIT_S
        else:
            sources, wait_s = location.list_local_entry(), LOCAL_ENTRY_WAIT_S
        if self._local_control is not None:
            sources = (self._local_control,)
        deadline = self._now() + wait_s
        while sources and self._now() < deadline:
            if await self._follow(random.choice(sources), 0.0):
                return
            await asyncio.sleep(SOURCE_RETRY_DELAY_S)

    async def _follow_peers(self) -> bool:
        """Follow the best peer that is not avoided.

        A change may be missed while a peer does not answer, and the store
        reports it at once; so the store is tried before a second peer.

        Returns:
            Whether the peer gave an update that is fresh.
        """
        if self._is_holder() or not self._view.mirror.is_loaded:
            return False
        now = self._now()
        for address in self._list_sources():
            if self._backoff_until.get(address, 0.0) <= now:
                return await self._follow(address, PEER_WAIT_S, toward_holder=True)
        return False

    def _list_sources(self) -> list[Address]:
        """Return the peers that this process may follow, best first."""
        if self._local_control is not None:
            return [self._local_control]
        holder = self._view.holder
        if holder is None or holder.node == self._location.node:
            # An earlier term of this process is no source of changes.
            return []
        return [*self._find_relays(holder), holder.peer_address]

    def _find_relays(self, holder: HolderRecord) -> list[Address]:
        if self._relays is None:
            location, nodes = self._location, self._view.nodes
            domains = {
                record.node: record.failure_domain
                for record in nodes.values()
                if record.control_address and record.state is NodeState.READY
            }
            domains[location.node] = location.failure_domain
            chosen = choose_relays(location.node, holder.node, domains)
            self._relays = [nodes[name].control_address for name in chosen]
        return self._relays

    def _reset_relays(self) -> None:
        self._relays = None

    @property
    def _uses_relays(self) -> bool:
        """Whether the fleet is so large that most VMs follow relays."""
        return len(self._view.nodes) > FANOUT

    @property
    def _max_age_s(self) -> float:
        """Age up to which a peer's mirror is followed, in seconds.

        It grows with each process between this one and the holder. When the
        holder's own connection to the store stops responding, all mirrors age
        together. The processes that follow the holder directly then turn to
        the store first, and the others get its changes from them before they
        reach their own limit. With one limit for all, the store would have to
        send the changes to the whole fleet.
        """
        holder = self._view.holder
        max_age_s = MAX_PEER_AGE_S
        if holder is not None and self._find_relays(holder):
            max_age_s += RELAY_HOP_AGE_S
        if self._local_control is not None:
            max_age_s += LOCAL_HOP_AGE_S
        return max_age_s

    def _accepts(self, update: FleetUpdate) -> bool:
        """Return whether a peer's update is fresh enough to be applied.

        While no process reaches the store, the holder's mirror is as old as
        any other, but only the holder knows what it has changed since.
        """
        if not update.as_of:
            return False
        if find_generation(update.as_of) < self._view.mirror.generation:
            return False
        holder = self._view.holder
        is_from_term = holder is not None and update.leader == holder.start
        if (
            is_from_term
            and update.provisional
            and update.leader_age_s <= self._max_age_s
        ):
            return True
        # A process without a mirror serves no caller, so an old one is better
        # than none.
        return update.age_s <= self._max_age_s or not self._view.mirror.is_loaded

    # Updates from peers.

    async def _follow(
        self,
        address: Address,
        wait_s: float = PEER_WAIT_S,
        *,
        toward_holder: bool = False,
    ) -> bool:
        """Request an update of a peer and apply it if it is fresh.

        Args:
            address: Where the peer listens.
            wait_s: For how long the peer may wait for a change, in seconds.
            toward_holder: Whether the peer is on the way to the holder. Demand
                is sent only there, since it would be counted twice otherwise.

        Returns:
            Whether the update was fresh and could be applied.
        """
        peer = self._source
        if peer is None or peer.address != address:
            peer = self._source = _Source(address)
        as_of = self._view.mirror.as_of
        demands = self._list_demands() if toward_holder else []
        update = await self._exchange.request_update(
            address, FleetWatch(peer.source, peer.serial, as_of, wait_s, demands)
        )
        if update is None:
            self._mark_unresponsive(address)
        if update is not None and not update.source and update.as_of:
            update = await self._close_gap(address, update)
        if update is None or not self._accepts(update):
            self._back_off(address, update)
            return False
        self._backoff_until.pop(address, None)
        peer.source, peer.serial = update.source, update.serial
        for leaving in update.leaving:
            self._view.apply_leaving_report(leaving, LeavingSource.UPDATE)
        holder = self._view.holder
        if holder is not None and update.leader == holder.start:
            # A removal that the update contains may be of an instance that
            # the holder already retains.
            self._view.retention.receive_report(update.retained, update.leader_age_s)
        try:
            self._apply_update(update)
        except (zlib.error, *DECODE_ERRORS) as error:
            _log.error("news-unreadable", address=address, reason=str(error))
            return False
        holder = self._view.holder
        if holder is not None and update.leader == holder.start:
            self._heartbeat.record(
                holder, update.leader_age_s, provisional=update.provisional
            )
            self._view.update_unreachable(
                update.lost, self._now() - update.leader_age_s
            )
            self._view.update_retained(update.retained, update.leader_age_s)
        self.reachable = True
        if (
            toward_holder
            and update.items
            and self._local_control is None
            and self._uses_relays
        ):
            await asyncio.sleep(RELAY_BATCH_PAUSE_S)
        return True

    def _back_off(self, address: Address, update: FleetUpdate | None) -> None:
        if address not in self._backoff_until:
            _log.info(
                "peer-stale",
                address=address,
                answered=update is not None,
                age_ms=-1 if update is None else _to_ms(update.age_s),
                leader_ms=-1 if update is None else _to_ms(update.leader_age_s),
            )
        self._backoff_until[address] = self._now() + PEER_BACKOFF_S

    def _mark_unresponsive(self, address: Address) -> None:
        holder = self._view.holder
        if holder is not None and address == holder.peer_address:
            self._heartbeat.mark_unresponsive(holder)

    async def _close_gap(
        self, address: Address, update: FleetUpdate
    ) -> FleetUpdate | None:
        """Get the changes that a peer lacks, from before its mirror began.

        The store returns them in one call. If it does not answer, the peer's
        whole mirror is requested.
        """
        if self._mirror_complete and not isinstance(await self._follow_store(), Err):
            return await self._exchange.request_update(
                address, FleetWatch("", 0, self._view.mirror.as_of, 0.0)
            )
        if (
            update.as_of <= self._view.mirror.as_of
            and update.leader_age_s > self._max_age_s
        ):
            return None
        return await self._exchange.request_update(
            address, FleetWatch("", 0, Revision(0), 0.0)
        )

    def _apply_update(self, update: FleetUpdate) -> None:
        mirror, now = self._view.mirror, self._now()
        received = unpack_items(update.items)
        if update.whole:
            items = [
                StoredItem(item.key, item.value, item.revision)
                for item in received
                if item.value is not None
            ]
            changes = mirror.replace(items, update.as_of, now, amended=True)
            # The mirror is now complete up to the update's revision, so the
            # store is only queried for later changes.
            self._mirror_complete = True
        else:
            events = [
                MirrorEvent(item.key, item.value, item.revision) for item in received
            ]
            changes = mirror.apply(events, update.as_of, now, amended=True)
        self._view.record_confirmation(now - update.age_s)
        self._view.apply_changes(changes)

    async def _follow_seeds(self) -> bool:
        """Request updates of the holder and of seeds while the store fails.

        Returns:
            Whether one of them gave an update that is fresh.
        """
        now = self._now()
        seeds = [
            address
            for address in self._list_seeds()
            if self._backoff_until.get(address, 0) <= now
        ]
        chosen = random.sample(seeds, min(len(seeds), MAX_SEEDS))
        holder = self._view.holder
        if holder is not None and not self._is_holder():
            chosen.insert(0, holder.peer_address)
        for seed in chosen:
            if await self._follow(seed, 0.0):
                return True
        return False

    # Updates from the store.

    async def _follow_store(self) -> Result[None, StoreFault]:
        self._source = None
        result = await (self._watch() if self._mirror_complete else self._read_all())
        self._record_result(result)
        return result

    async def _read_all(self) -> Result[None, StoreFault]:
        reading = await self._store.read("")
        if isinstance(reading, Err):
            return reading
        self._mirror_complete = True
        contents = reading.ok_value
        outdated = self._view.mirror.count_outdated(contents.items)
        if outdated:
            _log.warning(
                "read-outdated",
                keys=outdated,
                read_as_of=format_revision(contents.as_of),
                as_of=format_revision(self._view.mirror.as_of),
            )
        changes = self._view.mirror.replace(contents.items, contents.as_of, self._now())
        self._view.apply_changes(changes)
        return Ok(None)

    async def _watch(self) -> Result[None, StoreFault]:
        mirror = self._view.mirror
        watched = await self._store.watch(
            "", mirror.as_of, WATCH_WAIT_S, WATCH_OVERDUE_S
        )
        if isinstance(watched, Err) and watched.err_value is StoreFault.UNKNOWN:
            # One connection that stopped responding is not an outage of the
            # store: the removals that come next are not deferred.
            watched = await self._store.watch("", mirror.as_of, 0.0, WATCH_OVERDUE_S)
        if isinstance(watched, Err):
            return watched
        batch = watched.ok_value
        if not batch.complete:
            # The store dropped the history since the mirror's revision, so all
            # keys must be read again. The process that is followed reads them
            # for its followers; if each VM did so itself, the store would send
            # the records of the whole fleet to every VM.
            _log.info("history-dropped", as_of=format_revision(mirror.as_of))
            self._mirror_complete = False
            if self._uses_relays and not self._is_holder():
                await asyncio.sleep(random.uniform(0.0, MAX_REREAD_DELAY_S))
                self._backoff_until.clear()
            return Ok(None)
        self._view.apply_changes(mirror.apply(batch.events, batch.as_of, self._now()))
        return Ok(None)

    def _record_result(self, result: Result[None, StoreFault]) -> None:
        now = self._now()
        mirror = self._view.mirror
        if isinstance(result, Err):
            mirror.mark_outage(now)
            if self.reachable:
                _log.warning("store-lost", fault=result.err_value.value)
            self.reachable = False
            delay_s = min(MAX_RETRY_DELAY_S, self._retry_delay_s * 2)
            self._retry_delay_s = delay_s * random.uniform(0.7, 1.0)
            return
        if not self.reachable:
            _log.info("store-regained", as_of=format_revision(mirror.as_of))
        self.reachable = True
        self._retry_delay_s = MIN_RETRY_DELAY_S
        if self._mirror_complete:
            self._view.record_store_confirmation(now)
        self._view.apply_changes(mirror.apply_due_changes(now))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
