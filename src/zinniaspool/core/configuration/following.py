"""How a process follows the accepted configuration.

A few processes of each failure domain watch the store. What they see spreads
by notices, and the other processes request the changed parts from peers.
Every process also polls the store itself now and then, so that no failure of
other processes can keep it behind for long.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from zinniaspool.core.configuration.holding import LocalConfiguration, Manifest
from zinniaspool.core.configuration.parts import PartHash, Root
from zinniaspool.core.configuration.votes import StartupVote
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
    "ActivateConfiguration",
    "Announce",
    "FollowAction",
    "FollowLimits",
    "FollowStateMachine",
    "ReadPart",
    "ReadRoot",
    "SendPeerRequest",
    "WatchRoot",
]


@dataclass(frozen=True, slots=True)
class FollowLimits:
    """Intervals and sizes of following; times are in seconds.

    Attributes:
        mean_poll_interval_s: Mean time between two reads of the root by a
            process that does not watch.
        first_retry_pause_s: Base of the pause after a failed call to the
            store; the pause grows with each failure.
        max_retry_pause_s: Longest such pause.
        max_part_read_delay_s: Longest time that a starting watcher waits
            before it reads parts from the store.
        max_join_wait_s: Longest time that a starting process waits until
            peers are known.
        first_fetch_pause_s: Base of the pause between two requests for parts;
            the pause grows with each request that brought none.
        max_fetch_pause_s: Longest such pause before it is randomized.
        max_peer_fetches: Requests to peers before parts are read from the
            store.
        max_parts_per_store_read: Parts read from the store at a time.
        max_vote_requests: Peers whose revision is requested at a time by a
            process that starts without the store.
    """

    mean_poll_interval_s: float = 90.0
    first_retry_pause_s: float = 0.5
    max_retry_pause_s: float = 15.0
    max_part_read_delay_s: float = 3.0
    max_join_wait_s: float = 2.0
    first_fetch_pause_s: float = 0.2
    max_fetch_pause_s: float = 15.0
    max_peer_fetches: int = 8
    max_parts_per_store_read: int = 16
    max_vote_requests: int = 8


@dataclass(frozen=True, slots=True)
class ReadRoot:
    """Action: read the root from the store.

    The result goes to ``handle_root`` or ``handle_store_failure``.
    """


@dataclass(frozen=True, slots=True)
class WatchRoot:
    """Action: watch the store for a root newer than a revision.

    The result goes to ``handle_root`` or ``handle_store_failure``.

    Attributes:
        after: Revision of the newest root that is already known.
    """

    after: Revision


@dataclass(frozen=True, slots=True)
class ReadPart:
    """Action: read a part from the store.

    The result goes to ``handle_part``.

    Attributes:
        part: Hash of the part.
    """

    part: PartHash


@dataclass(frozen=True, slots=True)
class SendPeerRequest:
    """Action: send a request to a peer.

    The result goes to ``handle_peer_response``.

    Attributes:
        node: Member that must listen at the address.
        address: Address that receives the request.
        message: The request.
    """

    node: NodeId
    address: Address
    message: ConfigurationRequest


@dataclass(frozen=True, slots=True)
class Announce:
    """Action: publish an announcement to the fleet.

    Attributes:
        announcement: Names the newest known revision.
    """

    announcement: Announcement


@dataclass(frozen=True, slots=True)
class ActivateConfiguration:
    """Action: use a configuration from now on.

    Attributes:
        configuration: The new active configuration.
        revision: Its revision.
    """

    configuration: Configuration
    revision: Revision


FollowAction = (
    ReadRoot | WatchRoot | ReadPart | SendPeerRequest | Announce | ActivateConfiguration
)


class FollowStateMachine:
    """Follows the accepted configuration in one process, without I/O.

    A process that has never reached the store doesn't activate anything
    until a vote among the members confirms a revision.

    Args:
        node: Name of this process.
        seeds: Peer addresses from the settings of this process.
        rng: Random source.
        now: Current time in seconds.
        limits: Intervals and sizes.

    Attributes:
        limits: Intervals and sizes.
        local: The active and the pending configuration of this process.
        watches: Whether this process watches the store for its failure
            domain.
    """

    def __init__(
        self,
        node: NodeId,
        seeds: Sequence[Address],
        rng: random.Random,
        now: float,
        limits: FollowLimits | None = None,
    ) -> None:
        self.limits = limits or FollowLimits()
        self.local = LocalConfiguration()
        self.watches = False
        self._node = node
        self._rng = rng
        self._started_at = now
        self._vote = StartupVote(seeds)
        self._is_confirmed = False
        self._store_call_open = False
        self._store_failures = 0
        self._next_store_call_at = now
        self._open_fetches = 0
        self._next_fetch_at = now
        self._fetch_attempts = 0
        self._part_reads_allowed_at = (
            now + self.limits.max_part_read_delay_s * rng.random()
        )
        self._announced_revision = Revision(0)
        self._min_wanted_revision = Revision(0)
        self._must_read_root = True
        self._ranked_members: Sequence[Member] | None = None

    @property
    def revision(self) -> Revision:
        """The active revision; 0 for none."""
        return self.local.revision

    def step(
        self, now: float, members: Sequence[Member], *, joined: bool
    ) -> list[FollowAction]:
        """Return the actions that are due; call it several times a second.

        Args:
            now: Current time in seconds.
            members: The known members, including this process.
            joined: Whether this process has received all notices of a peer.
        """
        if not joined and now - self._started_at < self.limits.max_join_wait_s:
            return []
        self._update_watcher_role(members, now)
        actions = self._start_store_call(now)
        actions += self._start_fetch(now, members)
        if not self._is_confirmed and self._store_failures:
            actions += self._request_votes(now, members)
        return actions

    def handle_announcement(
        self, announcement: Announcement, now: float
    ) -> list[FollowAction]:
        """Handle a peer's announcement that a revision was accepted."""
        if announcement.revision <= self.local.known_revision:
            return []
        if not self.local.set_pending_from_announcement(announcement):
            self._min_wanted_revision = max(
                self._min_wanted_revision, announcement.revision
            )
        self._fetch_without_pause(now)
        return self._announce_and_activate(now)

    def handle_root(
        self, revision: Revision, root: Root | None, now: float
    ) -> list[FollowAction]:
        """Handle a response from the store about the root.

        Args:
            revision: Revision of the root.
            root: The root; None if it is unchanged or there is none.
            now: Current time in seconds.
        """
        self._store_call_open = False
        self._store_failures = 0
        self._must_read_root = False
        self._next_store_call_at = (
            now if self.watches else now + self._draw_poll_interval()
        )
        self._is_confirmed = True
        if root is not None and self.local.set_pending(Manifest(revision, root.parts)):
            self._fetch_without_pause(now)
        return self._announce_and_activate(now)

    def handle_store_failure(self, now: float) -> None:
        """Handle the failure of a read or watch of the root."""
        self._store_call_open = False
        self._store_failures += 1
        self._must_read_root = True
        # All processes see an outage end at about the same time. Random
        # pauses over a growing range keep them from retrying at once, which
        # would exceed the store's limit and make the calls fail again.
        longest = min(
            self.limits.max_retry_pause_s,
            self.limits.first_retry_pause_s * 2 ** min(self._store_failures, 10),
        )
        self._next_store_call_at = now + longest * (0.1 + 0.9 * self._rng.random())

    def handle_part(
        self, part: PartHash, content: str | None, now: float
    ) -> list[FollowAction]:
        """Handle a part read from the store; None if it could not be read."""
        self._open_fetches -= 1
        if content is not None:
            self._fetch_attempts = 0
            self.local.add_parts((PartContent(part, content),))
        return self._announce_and_activate(now)

    def handle_peer_response(
        self,
        request: SendPeerRequest,
        response: ConfigurationResponse | None,
        now: float,
    ) -> list[FollowAction]:
        """Handle a peer's response; None if none arrived."""
        if request.message == _VOTE_REQUEST:
            self._vote.record_vote(
                request.node, response.in_force if response else None
            )
            return self._announce_and_activate(now)
        self._open_fetches -= 1
        if response is None:
            return []
        if response.manifest_revision:
            self.local.set_pending(
                Manifest(response.manifest_revision, response.manifest)
            )
        missing = len(self.local.list_missing_parts())
        self.local.add_parts(response.parts)
        if len(self.local.list_missing_parts()) < missing:
            self._fetch_attempts = 0
        return self._announce_and_activate(now)

    def _update_watcher_role(self, members: Sequence[Member], now: float) -> None:
        # Ranking all members costs time, and the members seldom change.
        if members is self._ranked_members:
            return
        self._ranked_members = members
        watches = is_watcher(self._node, members)
        if watches and not self.watches and not self._store_failures:
            self._next_store_call_at = min(self._next_store_call_at, now)
        self.watches = watches

    def _start_store_call(self, now: float) -> list[FollowAction]:
        if self._store_call_open or now < self._next_store_call_at:
            return []
        self._store_call_open = True
        if self.watches and not self._must_read_root:
            return [WatchRoot(self.local.known_revision)]
        return [ReadRoot()]

    def _start_fetch(self, now: float, members: Sequence[Member]) -> list[FollowAction]:
        missing = self.local.list_missing_parts()
        unknown = self._min_wanted_revision > self.local.known_revision
        if not (missing or unknown) or self._open_fetches or now < self._next_fetch_at:
            return []
        self._next_fetch_at = now + self._draw_fetch_pause()
        peers = [
            member
            for member in members
            if member.node != self._node
            and member.state is not MemberState.UNRESPONSIVE
        ]
        self._fetch_attempts += 1
        if missing and self._may_read_parts(now, alone=not peers):
            return self._read_parts(missing)
        if not peers:
            return []
        peer = self._rng.choice(peers)
        self._open_fetches = 1
        wanted_from = self._min_wanted_revision if unknown else Revision(0)
        message = ConfigurationRequest(wanted_from, tuple(missing))
        return [SendPeerRequest(peer.node, peer.peer_address, message)]

    def _may_read_parts(self, now: float, *, alone: bool) -> bool:
        """Return whether this process may read parts from the store.

        When a whole fleet starts at once, each process at first knows too few
        others and considers itself a watcher. If all of them read every part,
        they would exceed the store's limit several times over. So each waits
        for a random time, after which the first processes can provide parts.
        """
        if self._store_failures:
            return False
        if self.watches and (alone or now >= self._part_reads_allowed_at):
            return True
        return self._fetch_attempts > self.limits.max_peer_fetches

    def _read_parts(self, missing: list[PartHash]) -> list[FollowAction]:
        requested = missing[: self.limits.max_parts_per_store_read]
        self._open_fetches = len(requested)
        return [ReadPart(part) for part in requested]

    def _request_votes(
        self, now: float, members: Sequence[Member]
    ) -> list[FollowAction]:
        other_members = [member for member in members if member.node != self._node]
        voters = self._vote.choose_voters(
            other_members, self.limits.max_vote_requests, now, self._rng
        )
        return [
            SendPeerRequest(member.node, member.peer_address, _VOTE_REQUEST)
            for member in voters
        ]

    def _announce_and_activate(self, now: float) -> list[FollowAction]:
        actions: list[FollowAction] = []
        announcement = self.local.make_announcement()
        if (
            announcement is not None
            and announcement.revision > self._announced_revision
        ):
            self._announced_revision = announcement.revision
            actions.append(Announce(announcement))
        if not self._is_confirmed:
            decided = self._vote.decide()
            if decided is None or decided > self.local.known_revision:
                self._min_wanted_revision = max(
                    self._min_wanted_revision, decided or Revision(0)
                )
                return actions
            self._is_confirmed = True
        configuration = self.local.activate_pending()
        if configuration is not None:
            self._fetch_attempts = 0
            actions.append(ActivateConfiguration(configuration, self.revision))
        return actions

    def _fetch_without_pause(self, now: float) -> None:
        self._fetch_attempts = 0
        self._next_fetch_at = now

    def _draw_fetch_pause(self) -> float:
        # If a part is not available anywhere, the whole fleet must not
        # request it several times a second.
        pause_s = self.limits.first_fetch_pause_s * _FETCH_PAUSE_GROWTH ** min(
            self._fetch_attempts, 20
        )
        return min(pause_s, self.limits.max_fetch_pause_s) * (0.5 + self._rng.random())

    def _draw_poll_interval(self) -> float:
        return self.limits.mean_poll_interval_s * (0.5 + self._rng.random())


_FETCH_PAUSE_GROWTH = 1.5
"""Factor by which the pause grows with each failed fetch."""
_VOTE_REQUEST = ConfigurationRequest()
"""Requests only the active revision of a peer."""
