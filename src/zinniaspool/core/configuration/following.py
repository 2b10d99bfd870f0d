"""How a process follows the accepted configuration.

A few processes of each failure domain watch the store; what they see spreads
by notices, and the parts that changed are asked from peers. Every process
looks at the store itself now and then, so that no failure of the others can
keep it behind for long.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from zinniaspool.core.configuration.holding import Holding, Manifest
from zinniaspool.core.configuration.parts import PartHash, Root
from zinniaspool.core.configuration.votes import StartVote
from zinniaspool.core.configuration.watchers import is_watcher
from zinniaspool.core.deployment import Configuration
from zinniaspool.core.ids import Address, NodeId, Revision
from zinniaspool.core.membership import Member, MemberState
from zinniaspool.core.messages.configuration import (
    Announcement,
    ConfigurationRequest,
    ConfigurationResponse,
    PartContent,
)

__all__ = [
    "Announce",
    "AskPeer",
    "FollowAction",
    "FollowLimits",
    "FollowMachine",
    "PutInForce",
    "ReadPart",
    "ReadRoot",
    "WatchRoot",
]


@dataclass(frozen=True, slots=True)
class FollowLimits:
    """Paces of following, all in seconds but the counts.

    Attributes:
        check_in_s: Mean time between two looks of a process that does not
            watch.
        retry_s: First pause after a failed call to the store.
        most_retry_s: Longest such pause.
        spread_s: Longest wait of a watcher at the start before it reads
            parts from the store.
        join_s: Longest wait at the start for peers to be known.
        fetch_s: First pause between two questions for parts; it grows with
            each that brought none.
        most_fetch_s: Longest such pause.
        peer_tries: Questions to peers before the store is asked for parts.
        store_parts: Parts read from the store at a time.
        asked_in_vote: Peers asked at a time at a start without the store.
    """

    check_in_s: float = 90.0
    retry_s: float = 0.5
    most_retry_s: float = 15.0
    spread_s: float = 3.0
    join_s: float = 2.0
    fetch_s: float = 0.2
    most_fetch_s: float = 15.0
    peer_tries: int = 8
    store_parts: int = 16
    asked_in_vote: int = 8


@dataclass(frozen=True, slots=True)
class ReadRoot:
    """Read the root from the store; ends in ``take_root``."""


@dataclass(frozen=True, slots=True)
class WatchRoot:
    """Wait for a root later than a revision; ends in ``take_root``."""

    after: Revision


@dataclass(frozen=True, slots=True)
class ReadPart:
    """Read a part from the store; ends in ``take_part``."""

    part: PartHash


@dataclass(frozen=True, slots=True)
class AskPeer:
    """Ask a peer; ends in ``take_peer``."""

    node: NodeId
    address: Address
    message: ConfigurationRequest


@dataclass(frozen=True, slots=True)
class Announce:
    """Tell the fleet."""

    announcement: Announcement


@dataclass(frozen=True, slots=True)
class PutInForce:
    """The configuration that is in force from now on."""

    configuration: Configuration
    revision: Revision


FollowAction = ReadRoot | WatchRoot | ReadPart | AskPeer | Announce | PutInForce


class FollowMachine:
    """One process's view of the accepted configuration.

    Args:
        node: This process.
        seeds: Peer addresses that the process is told at the start.
        source: The random source.
        now: Seconds.
        limits: Paces.
    """

    def __init__(
        self,
        node: NodeId,
        seeds: Sequence[Address],
        source: random.Random,
        now: float,
        limits: FollowLimits | None = None,
    ) -> None:
        self.limits = limits or FollowLimits()
        self.holding = Holding()
        self.watches = False
        self._node = node
        self._source = source
        self._started_at = now
        self._vote = StartVote(seeds)
        self._vouched = False
        self._store_busy = False
        self._store_failures = 0
        self._store_at = now
        self._fetching = 0
        self._fetch_at = now
        self._tries = 0
        self._parts_at = now + self.limits.spread_s * source.random()
        self._announced = Revision(0)
        self._wanted_from = Revision(0)
        self._read_at_first = True
        self._elected_from: Sequence[Member] | None = None

    @property
    def revision(self) -> Revision:
        """The revision in force; 0 for none."""
        return self.holding.revision

    def step(
        self, now: float, members: Sequence[Member], *, joined: bool
    ) -> list[FollowAction]:
        """Return what is due; call it several times a second.

        Args:
            now: Seconds.
            members: The members known, this process among them.
            joined: Whether a peer has told all it knows.
        """
        if not joined and now - self._started_at < self.limits.join_s:
            return []
        self._elect(members, now)
        actions = self._step_store(now)
        actions += self._step_fetch(now, members)
        if not self._vouched and self._store_failures:
            actions += self._step_vote(now, members)
        return actions

    def take_notice(self, announcement: Announcement, now: float) -> list[FollowAction]:
        """Take a peer's word that a revision was accepted."""
        if announcement.revision <= self.holding.known_revision:
            return []
        if not self.holding.want_announced(announcement):
            self._wanted_from = max(self._wanted_from, announcement.revision)
        self._hurry(now)
        return self._settle(now)

    def take_root(
        self, revision: Revision, root: Root | None, now: float
    ) -> list[FollowAction]:
        """Take what the store answered; no root when it is unchanged."""
        self._store_busy = False
        self._store_failures = 0
        self._read_at_first = False
        self._store_at = now if self.watches else now + self._draw_check_in()
        self._vouched = True
        if root is not None and self.holding.want(Manifest(revision, root.parts)):
            self._hurry(now)
        return self._settle(now)

    def take_store_failure(self, now: float) -> None:
        """Note that a read or watch of the root failed."""
        self._store_busy = False
        self._store_failures += 1
        self._read_at_first = True
        # All processes see an outage end at about the same time. Pauses
        # drawn at random over a growing range keep them from coming back at
        # once, which would exceed the store's limit and fail them again.
        longest = min(
            self.limits.most_retry_s,
            self.limits.retry_s * 2 ** min(self._store_failures, 10),
        )
        self._store_at = now + longest * (0.1 + 0.9 * self._source.random())

    def take_part(
        self, part: PartHash, content: str | None, now: float
    ) -> list[FollowAction]:
        """Take a part that the store answered with, or None."""
        self._fetching -= 1
        if content is not None:
            self._tries = 0
            self.holding.add_parts((PartContent(part, content),))
        return self._settle(now)

    def take_peer(
        self, ask: AskPeer, answer: ConfigurationResponse | None, now: float
    ) -> list[FollowAction]:
        """Take a peer's answer, or None when none came."""
        if ask.message == _VOTE_ASK:
            self._vote.take(ask.node, answer.in_force if answer else None)
            return self._settle(now)
        self._fetching -= 1
        if answer is None:
            return []
        if answer.manifest_revision:
            self.holding.want(Manifest(answer.manifest_revision, answer.manifest))
        missing = len(self.holding.list_missing())
        self.holding.add_parts(answer.parts)
        if len(self.holding.list_missing()) < missing:
            self._tries = 0
        return self._settle(now)

    def _elect(self, members: Sequence[Member], now: float) -> None:
        # Ranking all members costs time, and they seldom change.
        if members is self._elected_from:
            return
        self._elected_from = members
        watches = is_watcher(self._node, members)
        if watches and not self.watches and not self._store_failures:
            self._store_at = min(self._store_at, now)
        self.watches = watches

    def _step_store(self, now: float) -> list[FollowAction]:
        if self._store_busy or now < self._store_at:
            return []
        self._store_busy = True
        if self.watches and not self._read_at_first:
            return [WatchRoot(self.holding.known_revision)]
        return [ReadRoot()]

    def _step_fetch(self, now: float, members: Sequence[Member]) -> list[FollowAction]:
        missing = self.holding.list_missing()
        unknown = self._wanted_from > self.holding.known_revision
        if not (missing or unknown) or self._fetching or now < self._fetch_at:
            return []
        self._fetch_at = now + self._draw_fetch_pause()
        peers = [
            member
            for member in members
            if member.node != self._node and member.state is not MemberState.SILENT
        ]
        self._tries += 1
        if missing and self._may_read_parts(now, alone=not peers):
            return self._read_parts(missing)
        if not peers:
            return []
        peer = self._source.choice(peers)
        self._fetching = 1
        wanted_from = self._wanted_from if unknown else Revision(0)
        message = ConfigurationRequest(wanted_from, tuple(missing))
        return [AskPeer(peer.node, peer.peer_address, message)]

    def _may_read_parts(self, now: float, *, alone: bool) -> bool:
        """Return whether the store may be asked for parts.

        When a whole fleet starts at once, each process at first knows too
        few others and takes itself for a watcher; all of them reading every
        part exceeds the store's limit several times. So each waits for a
        time drawn at random, within which the first ones have parts to give.
        """
        if self._store_failures:
            return False
        if self.watches and (alone or now >= self._parts_at):
            return True
        return self._tries > self.limits.peer_tries

    def _read_parts(self, missing: list[PartHash]) -> list[FollowAction]:
        chosen = missing[: self.limits.store_parts]
        self._fetching = len(chosen)
        return [ReadPart(part) for part in chosen]

    def _step_vote(self, now: float, members: Sequence[Member]) -> list[FollowAction]:
        others = [member for member in members if member.node != self._node]
        asked = self._vote.choose(others, self.limits.asked_in_vote, now, self._source)
        return [
            AskPeer(member.node, member.peer_address, _VOTE_ASK) for member in asked
        ]

    def _settle(self, now: float) -> list[FollowAction]:
        actions: list[FollowAction] = []
        announcement = self.holding.announce()
        if announcement is not None and announcement.revision > self._announced:
            self._announced = announcement.revision
            actions.append(Announce(announcement))
        if not self._vouched:
            decided = self._vote.decide()
            if decided is None or decided > self.holding.known_revision:
                self._wanted_from = max(self._wanted_from, decided or Revision(0))
                return actions
            self._vouched = True
        configuration = self.holding.settle()
        if configuration is not None:
            self._tries = 0
            actions.append(PutInForce(configuration, self.revision))
        return actions

    def _hurry(self, now: float) -> None:
        self._tries = 0
        self._fetch_at = now

    def _draw_fetch_pause(self) -> float:
        # Parts that are nowhere to be had must not be asked for by a whole
        # fleet several times a second.
        pause_s = self.limits.fetch_s * _FETCH_GROWTH ** min(self._tries, 20)
        return min(pause_s, self.limits.most_fetch_s) * (0.5 + self._source.random())

    def _draw_check_in(self) -> float:
        return self.limits.check_in_s * (0.5 + self._source.random())


_FETCH_GROWTH = 1.5
"""Factor by which the pause grows with each failed fetch; chosen."""
_VOTE_ASK = ConfigurationRequest()
