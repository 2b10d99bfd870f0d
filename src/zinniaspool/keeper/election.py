"""Election of the holder, the control process that plans replica groups.

The holder is the process that last wrote the holder's key in the store. The
key has no lease. A process that finds that the holder no longer plans replaces
the key by a compare-and-swap, and a plan is written only while the key is as
the plan's holder wrote it. So no process can take over while the store is down
for all. Groups are still repaired during such an outage: a holder that no
longer reaches the store goes on as long as every other VM reports that it
doesn't reach the store either. If one of them does, another process may have
taken over, and the holder stops planning.
"""

import asyncio
import random
import secrets

import msgspec
import structlog
from result import Err

from zinniaspool.core.fleet import HOLDER_KEY, HolderRecord
from zinniaspool.core.generations import find_generation, format_revision
from zinniaspool.core.ids import Address, NodeId, Revision
from zinniaspool.core.storage import KeyWrite, StoreFault
from zinniaspool.fleet import (
    FleetStore,
    FleetView,
    HolderHeartbeat,
    PeerExchange,
    read_boot_clock,
)
from zinniaspool.fleet.mesh import HolderTerm, is_connection_refused

__all__ = ["HolderElection", "compute_candidacy_delay_s"]

_log = structlog.get_logger(__name__)

STORE_TRUST_S = 1.1
"""How long a holder goes on planning after the store last answered it, in
seconds. It is slightly longer than the time between two answers. Other
processes wait longer than this before one of them takes over."""

PEER_REPORTS_VALID_S = 0.9
"""How long the peers' reports that they don't reach the store either are
valid, in seconds."""

CHECK_PAUSE_S = 0.1
"""Pause between two checks, in seconds."""

HOLDER_TIMEOUT_S = 1.0
"""How long no process may have received a message from the holder before
another process takes over, in seconds. It covers about three queries to the
holder, so that a holder that is busy with many peers doesn't count as
unreachable."""

ENDED_HOLDER_TIMEOUT_S = 0.15
"""The same if the holder's VM refuses connections, in seconds: the holder's
process has ended then."""

MAX_PEERS_QUERIED = 8
"""How many peers are asked when they last received a message from the holder,
and how many are asked first whether they reach the store. There are enough of
them that a few peers that are cut off themselves do not decide the outcome."""

RECLAIM_S = 1.0
"""Time after a restore of the store in which no process takes over, in
seconds. The process that planned before gets the key back meanwhile, although
the store may have lost it."""

FAILED_TERM_PAUSE_S = 3.0
"""How long a process that failed to plan leaves the key to others, in
seconds. If there are none, it takes the key again."""

UNCONFIGURED_DELAY_S = 1.0
"""How much longer a process waits that can't read the configuration, in
seconds. One that has started before still has the last one."""

MAX_JITTER_S = 0.1
"""Longest random delay of a candidate, in seconds. It spreads the candidates,
so that mostly a single write decides the election."""

MAX_WEAK_VM_DELAY_S = 0.4
"""How much longer the weakest VM waits before it becomes a candidate, in
seconds. The holder sends each change to all other processes, and on a VM with
a slow link or processor these changes would be late for all of them."""

STRONG_CORES, STRONG_MBPS = 2.0, 100.0
"""Processor cores, and link rate in Mbit/s, from which on a VM has no delay as
a candidate. Sending the changes of a whole fleet takes such a VM a few
hundredths of its time."""


def compute_candidacy_delay_s(cores: float, link_mbps: float) -> float:
    """Return how long a VM waits before it becomes a candidate, in seconds."""
    strength = (min(1.0, cores / STRONG_CORES) + min(1.0, link_mbps / STRONG_MBPS)) / 2
    return MAX_WEAK_VM_DELAY_S * (1.0 - strength)


class HolderElection:
    """Acquires the holder's key for this process and tracks whether it has it.

    Args:
        store: The store.
        fleet_view: What this process knows of the store's contents.
        peers: Queries other processes.
        heartbeat: When this process last received a message from the holder.
        node: This process's VM.
        address: Where peers reach this process.
        candidacy_delay_s: How long this process waits for stronger VMs to
            become the holder, in seconds.

    Attributes:
        revision: Revision of the key as this process wrote it; 0 while this
            process does not have the key.
        acquired: Set when this process acquires the key.
    """

    def __init__(
        self,
        store: FleetStore,
        fleet_view: FleetView,
        peers: PeerExchange,
        heartbeat: HolderHeartbeat,
        node: NodeId,
        address: Address,
        candidacy_delay_s: float = 0.0,
    ) -> None:
        self.revision = Revision(0)
        self.acquired = asyncio.Event()
        self._store = store
        self._fleet_view = fleet_view
        self._peers = peers
        self._heartbeat = heartbeat
        self._record = HolderRecord(node, address, secrets.token_hex(6))
        self._candidacy_delay_s = candidacy_delay_s
        self._provisional_until = float("-inf")
        self._candidate_from = float("-inf")
        self._predecessor_start = ""

    @property
    def holds_key(self) -> bool:
        """Whether this process wrote the key and knows of no later write."""
        if not self.revision:
            return False
        mirror = self._fleet_view.mirror
        item = mirror.get(HOLDER_KEY)
        if item is None:
            # A later holder may have written and removed it since.
            return self._is_key_void or mirror.as_of < self.revision
        if item.revision <= self.revision:
            return True
        holder = self._fleet_view.holder
        return (
            self._is_key_void
            and holder is not None
            and holder.start in (self._record.start, self._predecessor_start)
        )

    @property
    def _is_key_void(self) -> bool:
        """Whether the store was restored since this process wrote the key."""
        generation = self._fleet_view.mirror.generation
        return find_generation(self.revision) < generation

    @property
    def may_plan(self) -> bool:
        """Whether this process may plan now.

        The time for which the VM was suspended counts. On the loop's clock no
        time passes meanwhile, so a process that was frozen would take its
        last confirmation for recent.
        """
        return self.holds_key and (self.store_answers or self.provisional)

    @property
    def term(self) -> HolderTerm | None:
        """The term that this process announces to peers while it may plan."""
        if not self.may_plan:
            return None
        return HolderTerm(self._record.start, 0.0, self.provisional)

    @property
    def provisional(self) -> bool:
        """Whether only the peers' reports of an outage allow planning.

        The store does not answer this process, and peers have confirmed that
        it is down for them too.
        """
        return not self.store_answers and read_boot_clock() < self._provisional_until

    @property
    def store_answers(self) -> bool:
        """Whether the store has answered this process recently."""
        return read_boot_clock() - self._fleet_view.store_confirmed_at < STORE_TRUST_S

    async def run(self) -> None:
        """Keep the key or try to acquire it, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_PAUSE_S)
            if self.revision and not self.holds_key:
                _log.warning("holder-lost", reason="another process took over")
                self.revision = Revision(0)
            if self.holds_key and self._is_key_void:
                await self._reclaim_key()
            elif self.holds_key:
                await self._check_store_outage()
            elif self.store_answers:
                if read_boot_clock() < self._candidate_from:
                    continue
                if await self._is_vacant():
                    await self._write_key()
            else:
                await self._resume_earlier_start()

    async def resign(self) -> None:
        """Remove the key, so that another process takes over at once."""
        if not self.holds_key:
            return
        revision, self.revision = self.revision, Revision(0)
        await self._store.commit([(HOLDER_KEY, revision)], [], [HOLDER_KEY])

    async def withdraw(self) -> None:
        """Resign for good, since this process ends.

        If the answer of the store is late or lost, the key names this process
        meanwhile, and it would take the key again.
        """
        self._candidate_from = float("inf")
        await self.resign()

    async def give_up(self) -> None:
        """Let another process plan, since this one failed to.

        While the store doesn't answer, no other process could acquire the key,
        and this one keeps it.
        """
        if not self.holds_key or not self.store_answers:
            return
        _log.error("holder-failed", node=self._record.node)
        self._candidate_from = read_boot_clock() + FAILED_TERM_PAUSE_S
        await self.resign()

    async def _check_store_outage(self) -> None:
        """Find out whether the store is down for all or only for this VM."""
        age_s = read_boot_clock() - self._fleet_view.store_confirmed_at
        if (
            age_s < STORE_TRUST_S * 0.6
            or read_boot_clock() < self._provisional_until - PEER_REPORTS_VALID_S / 2
        ):
            return
        requested_at = read_boot_clock()
        addresses = [
            record.peer_address
            for record in self._fleet_view.nodes.values()
            if record.node != self._record.node
        ]
        # If only this VM is cut off, or an answer was lost, a sample of the
        # peers shows it already. All peers are queried only if each of the
        # sample reports that it doesn't reach the store.
        random.shuffle(addresses)
        sample, rest = addresses[:MAX_PEERS_QUERIED], addresses[MAX_PEERS_QUERIED:]
        reports = await asyncio.gather(*map(self._peers.query_store_status, sample))
        if all(reachable is False for reachable in reports):
            reports += await asyncio.gather(*map(self._peers.query_store_status, rest))
        if addresses and all(reachable is False for reachable in reports):
            if read_boot_clock() >= self._provisional_until:
                _log.warning("holding-provisionally", asked=len(addresses))
            self._provisional_until = requested_at + PEER_REPORTS_VALID_S

    async def _resume_earlier_start(self) -> None:
        """Continue as the holder after a restart while the store is down.

        The earlier start of this process has ended, since this start listens
        at its address, and no other process can have acquired the key while
        the store is down for all. A key of this start that it doesn't hold was
        lost to another process, and came back with a restore.
        """
        holder = self._fleet_view.holder
        item = self._fleet_view.mirror.get(HOLDER_KEY)
        if holder is None or item is None or holder.node != self._record.node:
            return
        if holder.start == self._record.start:
            return
        await self._check_store_outage()
        if read_boot_clock() < self._provisional_until and not self.store_answers:
            self._on_acquired(item.revision, inherited=True)

    async def _is_vacant(self) -> bool:
        """Tell whether no process plans, as far as this one and peers know."""
        if read_boot_clock() - self._fleet_view.restored_at < RECLAIM_S:
            return False
        holder = self._fleet_view.holder
        if holder is None:
            await self._wait_as_candidate()
            return self._fleet_view.holder is None
        if holder.node == self._record.node:
            # An earlier start of this process wrote the key.
            return True
        age_s = self._heartbeat.compute_age_s(holder)
        if age_s < ENDED_HOLDER_TIMEOUT_S:
            return False
        if age_s < HOLDER_TIMEOUT_S and not self._heartbeat.is_unresponsive(holder):
            # Between two messages of the holder there is no reason to suspect
            # it. If each process tried to connect to it meanwhile, the whole
            # fleet would do so all the time.
            return False
        ended = await is_connection_refused(holder.peer_address)
        timeout_s = ENDED_HOLDER_TIMEOUT_S if ended else HOLDER_TIMEOUT_S
        if self._heartbeat.compute_age_s(holder) < timeout_s:
            return False
        await self._wait_as_candidate()
        addresses = [
            record.peer_address
            for record in self._fleet_view.nodes.values()
            if record.node not in (self._record.node, holder.node)
        ]
        addresses = random.sample(addresses, min(len(addresses), MAX_PEERS_QUERIED))
        answers = await asyncio.gather(*map(self._peers.query_holder_age, addresses))
        ages = [age for age in answers if age is not None]
        if addresses and not ages:
            # If no peer answers, this process is cut off itself.
            return False
        if any(age < timeout_s for age in ages):
            return False
        return self._fleet_view.holder == holder

    async def _wait_as_candidate(self) -> None:
        """Wait for processes that are better placed to plan."""
        delay_s = self._candidacy_delay_s + random.random() * MAX_JITTER_S
        if self._fleet_view.is_configuration_unreadable:
            delay_s += UNCONFIGURED_DELAY_S
        await asyncio.sleep(delay_s)

    async def _reclaim_key(self) -> None:
        """Get the key at its revision in the store's new generation.

        The restored store has the key as this process wrote it, or lost it, or
        has the one of the process from which this one took over.
        """
        item, holder = self._fleet_view.mirror.get(HOLDER_KEY), self._fleet_view.holder
        is_own = holder is not None and holder.start == self._record.start
        if item is not None and is_own:
            self.revision = item.revision
            return
        revision = await self._commit_key()
        # This process may have resigned meanwhile.
        if revision is not None and self.revision:
            self.revision = revision
            _log.info("holder-key-rewritten", revision=format_revision(revision))

    async def _write_key(self) -> None:
        before = self._fleet_view.holder
        revision = await self._commit_key()
        if revision is not None:
            self._predecessor_start = "" if before is None else before.start
            self._on_acquired(revision)

    async def _commit_key(self) -> Revision | None:
        """Write the key if it is as known; return its revision, or None."""
        current = self._fleet_view.mirror.get(HOLDER_KEY)
        expected = Revision(0) if current is None else current.revision
        value = msgspec.json.encode(self._record)
        committed = await self._store.commit(
            [(HOLDER_KEY, expected)], [KeyWrite(HOLDER_KEY, value)]
        )
        if not isinstance(committed, Err):
            return committed.ok_value
        if committed.err_value is StoreFault.UNKNOWN:
            return await self._resolve_unknown_write(value)
        return None

    async def _resolve_unknown_write(self, value: bytes) -> Revision | None:
        """Return a write's revision if it was applied without an answer."""
        stored = await self._store.get(HOLDER_KEY)
        if isinstance(stored, Err) or stored.ok_value is None:
            return None
        return stored.ok_value.revision if stored.ok_value.value == value else None

    def _on_acquired(self, revision: Revision, *, inherited: bool = False) -> None:
        self.revision = revision
        self.acquired.set()
        _log.info(
            "holder-taken", revision=format_revision(revision), inherited=inherited
        )
