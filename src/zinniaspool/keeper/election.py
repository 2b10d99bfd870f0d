"""Who plans groups: the process that last wrote the holder's key.

The key has no lease. Whoever finds that the holder plans no more replaces it
by a compare-and-swap, and plans are written only while the key stands as their
holder wrote it. So nobody can take over while the store is down for all, and
losses are still repaired then: a holder that no longer hears from the store
goes on as long as every other VM says that it hears nothing either. If one of
them reaches the store, another process may have taken over, and it stops.
"""

import asyncio
import random
import secrets

import msgspec
import structlog
from result import Err

from zinniaspool.core.fleet import HOLDER_KEY, HolderRecord
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

__all__ = ["HolderElection", "find_delay_s"]

_log = structlog.get_logger(__name__)

TRUST_S = 1.1
"""For how long after the store last answered a holder plans on, in seconds:
somewhat over what passes between two answers. The others wait for longer
than this before one of them takes over."""

WORD_S = 0.9
"""For how long the others' word that the store is down for them too counts,
in seconds."""

CHECK_S = 0.1
"""Pause between looks, in seconds."""

UNHEARD_S = 1.0
"""For how long a holder must have been unheard of, by anybody, before another
takes over, in seconds: some three questions to it, so that one that is busy
with many is not taken for gone."""

ENDED_S = 0.15
"""The same where its VM refuses connections: its process has ended."""

MOST_ASKED = 8
"""How many others are asked whether they hear the holder: enough that a few
that are cut off themselves do not decide."""

STAND_BACK_S = 0.1
"""Candidates wait a random part of this, so that one write decides mostly."""

WEAK_S = 0.4
"""How much longer the weakest candidate waits, in seconds: a holder tells all
others of each change, which a slow link or processor makes late for all."""

STRONG_CORES, STRONG_MBPS = 2.0, 100.0
"""From here on a VM counts as strong: where a whole fleet's changes take a few
hundredths of its time."""


def find_delay_s(cores: float, link_mbps: float) -> float:
    """Return how long a VM waits before it stands for holder, in seconds."""
    strength = (min(1.0, cores / STRONG_CORES) + min(1.0, link_mbps / STRONG_MBPS)) / 2
    return WEAK_S * (1.0 - strength)


class HolderElection:
    """Takes and keeps the holder's key while this process lives.

    Args:
        store: The store.
        belief: Its copy.
        mesh: Asks the others.
        sight: When the holder was last heard.
        node: This process's VM.
        address: Where the others reach this process.
        delay_s: How long it lets stronger VMs go first, in seconds.

    Attributes:
        revision: Of the key as this process wrote it; 0 while it does not
            hold it.
        taken: Set when it takes the key.
    """

    def __init__(
        self,
        store: FleetStore,
        belief: FleetView,
        mesh: PeerExchange,
        sight: HolderHeartbeat,
        node: NodeId,
        address: Address,
        delay_s: float = 0.0,
    ) -> None:
        self.revision = Revision(0)
        self.taken = asyncio.Event()
        self._store = store
        self._belief = belief
        self._mesh = mesh
        self._sight = sight
        self._record = HolderRecord(node, address, secrets.token_hex(6))
        self._delay_s = delay_s
        self._word_until = float("-inf")

    @property
    def claims(self) -> bool:
        """Whether this process wrote the key and knows of no later writer."""
        if not self.revision:
            return False
        item = self._belief.mirror.get(HOLDER_KEY)
        return item is None or item.revision <= self.revision

    @property
    def holds(self) -> bool:
        """Whether this process may plan now.

        The time that a VM stands still counts: a process that was frozen
        wakes up with a clock on which no time has passed.
        """
        return self.claims and (self.confirmed or self.provisional)

    @property
    def lead(self) -> HolderTerm | None:
        """What this process tells others while it may plan."""
        if not self.holds:
            return None
        return HolderTerm(self._record.start, 0.0, self.provisional)

    @property
    def provisional(self) -> bool:
        """Whether it plans on the others' word that the store is down."""
        return not self.confirmed and read_boot_clock() < self._word_until

    @property
    def confirmed(self) -> bool:
        """Whether the store answered this process a moment ago."""
        return read_boot_clock() - self._belief.store_confirmed_at < TRUST_S

    async def run(self) -> None:
        """Stand for holder until cancelled."""
        while True:
            await asyncio.sleep(CHECK_S)
            if self.revision and not self.claims:
                _log.warning("holder-lost", reason="another process took over")
                self.revision = Revision(0)
            if self.claims:
                await self._ask_whether_down()
            elif self.confirmed:
                if await self._is_vacant():
                    await self._take()
            else:
                await self._inherit()

    async def resign(self) -> None:
        """Remove the key, so that another takes over at once."""
        if not self.claims:
            return
        revision, self.revision = self.revision, Revision(0)
        await self._store.commit([(HOLDER_KEY, revision)], [], [HOLDER_KEY])

    async def _ask_whether_down(self) -> None:
        """Learn whether the store is away for all, or only for this VM."""
        age_s = read_boot_clock() - self._belief.store_confirmed_at
        if age_s < TRUST_S * 0.6 or read_boot_clock() < self._word_until - WORD_S / 2:
            return
        asked_at = read_boot_clock()
        others = [
            one.peer_address
            for one in self._belief.nodes.values()
            if one.node != self._record.node
        ]
        # Where only this VM is cut off, or an answer was lost, some say so
        # already; all are asked only where these reach nothing either.
        random.shuffle(others)
        some, rest = others[:MOST_ASKED], others[MOST_ASKED:]
        words = await asyncio.gather(*map(self._mesh.query_store_status, some))
        if all(word is False for word in words):
            words += await asyncio.gather(*map(self._mesh.query_store_status, rest))
        if others and all(word is False for word in words):
            if read_boot_clock() >= self._word_until:
                _log.warning("holding-provisionally", asked=len(others))
            self._word_until = asked_at + WORD_S

    async def _inherit(self) -> None:
        """Go on for an earlier start of this process while the store is down.

        That start is over, since this one has its address, and nobody else
        can have taken the key while the store is down for all.
        """
        holder = self._belief.holder
        item = self._belief.mirror.get(HOLDER_KEY)
        if holder is None or item is None or holder.node != self._record.node:
            return
        await self._ask_whether_down()
        if read_boot_clock() < self._word_until and not self.confirmed:
            self._hold(item.revision, inherited=True)

    async def _is_vacant(self) -> bool:
        """Tell whether nobody plans, as far as others know too."""
        holder = self._belief.holder
        if holder is None:
            await asyncio.sleep(self._delay_s + random.random() * STAND_BACK_S)
            return self._belief.holder is None
        if holder.node == self._record.node:
            # Written by an earlier start of this process.
            return True
        unheard_s = self._sight.compute_age_s(holder)
        if unheard_s < ENDED_S:
            return False
        if unheard_s < UNHEARD_S and not self._sight.is_unresponsive(holder):
            # Between two words of it there is nothing to doubt. Were each
            # process to try its address meanwhile, it would be asked by the
            # whole fleet all the time.
            return False
        ended = await is_connection_refused(holder.peer_address)
        unheard_s = ENDED_S if ended else UNHEARD_S
        if self._sight.compute_age_s(holder) < unheard_s:
            return False
        await asyncio.sleep(self._delay_s + random.random() * STAND_BACK_S)
        others = [
            one.peer_address
            for one in self._belief.nodes.values()
            if one.node not in (self._record.node, holder.node)
        ]
        others = random.sample(others, min(len(others), MOST_ASKED))
        heard = await asyncio.gather(*map(self._mesh.query_holder_age, others))
        ages = [age for age in heard if age is not None]
        if others and not ages:
            # Whom nobody answers is cut off itself.
            return False
        if any(age < unheard_s for age in ages):
            return False
        return self._belief.holder == holder

    async def _take(self) -> None:
        current = self._belief.mirror.get(HOLDER_KEY)
        expected = Revision(0) if current is None else current.revision
        value = msgspec.json.encode(self._record)
        done = await self._store.commit(
            [(HOLDER_KEY, expected)], [KeyWrite(HOLDER_KEY, value)]
        )
        if not isinstance(done, Err):
            self._hold(done.ok_value)
        elif done.err_value is StoreFault.UNKNOWN:
            await self._settle(value)

    async def _settle(self, value: bytes) -> None:
        """Find out whether a write without an answer was done."""
        found = await self._store.get(HOLDER_KEY)
        if isinstance(found, Err) or found.ok_value is None:
            return
        if found.ok_value.value == value:
            self._hold(found.ok_value.revision)

    def _hold(self, revision: Revision, *, inherited: bool = False) -> None:
        self.revision = revision
        self.taken.set()
        _log.info("holder-taken", revision=revision, inherited=inherited)
