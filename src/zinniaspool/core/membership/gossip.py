"""Gossip protocol: spreads notices and detects unresponsive members.

Each process pushes new notices to a few random peers at once, and in every
round compares a sample of versions with one random peer, which repairs what
the pushes missed. A member that does not respond is probed through other
members before it is suspected. The code performs no I/O: the caller drives
the state machine with the current time and performs the returned actions.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from zinniaspool.core.ids import Address, NodeId
from zinniaspool.core.membership.limits import GossipLimits
from zinniaspool.core.membership.members import (
    Liveness,
    Member,
    MemberRecord,
    MemberState,
)
from zinniaspool.core.membership.notices import Notice, Topic, measure_notices
from zinniaspool.core.membership.roster import Roster
from zinniaspool.core.messages.membership import (
    CompareRequest,
    CompareResponse,
    JoinPage,
    JoinRequest,
    ProbeRequest,
    ProbeResponse,
    Push,
    WireNotice,
)

__all__ = ["GossipAction", "GossipStateMachine", "SendMessage", "SendRequest"]

_JOIN_PAGE_BYTES = 16 * 1024
"""Size of one page for a joining process, about ten network packets."""
_UNRESPONSIVE_ROUND_PROBABILITY = 0.1
"""Probability that a round also contacts an unresponsive member, so that the
halves of a partition find each other again."""


@dataclass(frozen=True, slots=True)
class SendRequest:
    """Action: send a request and pass its result to ``handle_response``.

    Attributes:
        node: Member that must listen at the address; None for any member.
        address: Address that receives the request.
        message: The request.
        asked_at: Time at which the request was made, in seconds.
        about: Member whose responsiveness is probed; None for other requests.
    """

    node: NodeId | None
    address: Address
    message: CompareRequest | ProbeRequest | JoinRequest
    asked_at: float
    about: NodeId | None = None


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Action: send a message that has no response.

    Attributes:
        node: Member that must listen at the address.
        address: Address that receives the message.
        message: The message.
    """

    node: NodeId
    address: Address
    message: Push


GossipAction = SendRequest | SendMessage


class GossipStateMachine:
    """One process's side of the gossip protocol, without I/O.

    Args:
        own_record: The record that this process publishes about itself.
        seeds: Peer addresses from which a starting process requests notices.
        rng: Random source.
        now: Current time in seconds.
        limits: Rates and sizes.

    Attributes:
        limits: Rates and sizes.
        roster: Members, notices and suspicions as this process knows them.
        joined: Whether this process has received all notices of a peer; also
            true where there is no seed.
    """

    def __init__(
        self,
        own_record: MemberRecord,
        seeds: Iterable[Address],
        rng: random.Random,
        now: float,
        limits: GossipLimits | None = None,
    ) -> None:
        self.limits = limits or GossipLimits()
        self.roster = Roster(own_record, rng, self.limits, now)
        self._seeds = [seed for seed in seeds if seed != own_record.peer_address]
        self._rng = rng
        self._notices = self.roster.notices
        self._suspicions = self.roster.suspicions
        self._last_active_at = now
        self._frozen_until = float("-inf")
        self._allowance_refilled_at = now
        self._next_round_at = now + self.limits.round_interval_s * rng.random()
        self._next_push_at = now
        self._next_limits_push_at = now
        self._next_join_at = now
        self._join_cursor: str | None = None
        self._join_update_count = 0
        self._rejoin_pause_s = 0.0
        self._allowance_bytes = float(self.limits.bytes_per_s)
        self.joined = not self._seeds

    def list_members(self) -> tuple[Member, ...]:
        """Return all known members, including this process, sorted by name."""
        return self.roster.members.list_all()

    def list_notices(self, topic: Topic, now: float) -> list[Notice]:
        """Return the newest notice of each key of a topic."""
        return self._notices.list_topic(topic, now)

    def drain_new_notices(self) -> list[Notice]:
        """Return the notices stored since the last call."""
        return self.roster.drain_new_notices()

    def publish(
        self,
        topic: Topic,
        key: str,
        version: int,
        payload: bytes,
        expires_s: float,
        now: float,
    ) -> None:
        """Publish a value to the fleet unless a newer version is known.

        Args:
            topic: Topic of the value.
            key: Key of the value within the topic.
            version: Orders the values of one key.
            payload: The encoded value.
            expires_s: Age in seconds at which the notice expires.
            now: Current time in seconds.
        """
        notice = WireNotice(topic.value, key, version, payload, 0.0, expires_s)
        self.roster.store_notice(notice, now)

    def set_state(self, state: MemberState, now: float) -> None:
        """Publish a new state of this process."""
        self.roster.set_state(state, now)

    def step(self, now: float) -> list[GossipAction]:
        """Return the actions that are due; call it several times a second."""
        self._detect_freeze(now)
        self._refill_allowance(now)
        self.roster.advance(now)
        actions: list[GossipAction] = []
        if now >= self._next_join_at:
            actions += self._request_join(now)
        if now >= self._next_round_at:
            self._next_round_at = now + self.limits.round_interval_s * (
                0.5 + self._rng.random()
            )
            actions += self._start_round(now)
        if now >= self._next_push_at:
            actions += self._start_push(now)
        return actions

    def receive(
        self,
        sender: NodeId,
        message: Push | CompareRequest | JoinRequest,
        now: float,
    ) -> CompareResponse | JoinPage | None:
        """Handle a peer's message and return the response, if it has one."""
        self._detect_freeze(now)
        self.roster.record_contact(sender, now)
        self.roster.apply_notices(message.notices, now)
        match message:
            case CompareRequest():
                return self._respond_to_compare(sender, message, now)
            case JoinRequest():
                return self._respond_to_join(message, now)
            case Push():
                return None

    def handle_response(
        self,
        request: SendRequest,
        response: CompareResponse | JoinPage | ProbeResponse | None,
        now: float,
    ) -> list[GossipAction]:
        """Handle the response to a request; None if none arrived."""
        was_frozen = self._detect_freeze(now) or request.asked_at < self._frozen_until
        if (
            isinstance(response, CompareResponse | JoinPage)
            and request.node is not None
        ):
            self.roster.record_contact(request.node, now)
        match request.message, response:
            case CompareRequest(), CompareResponse():
                self.roster.apply_notices(response.notices, now)
                return self._push_wanted(request, response, now)
            case JoinRequest(), JoinPage():
                return self._handle_join_page(request, response, now)
            case JoinRequest(), _:
                self._join_cursor = None
                return []
            case ProbeRequest(), _:
                alive = isinstance(response, ProbeResponse) and response.alive
                return self._handle_probe_result(request, alive=alive, now=now)
            case CompareRequest(), _ if request.node is not None and not was_frozen:
                return self._request_probes(request.node, now)
        return []

    def _start_round(self, now: float) -> list[GossipAction]:
        peers = self.roster.list_peers()
        contacted = self._rng.sample(peers, min(1, len(peers)))
        unresponsive = [
            member
            for member in self.roster.members.list_unsorted()
            if member.state is MemberState.UNRESPONSIVE
        ]
        # If processes contacted only responsive members, no process would
        # notice that a partition has healed. Contacting an unresponsive
        # member now and then is enough for the halves to find each other.
        if unresponsive and (
            not peers or self._rng.random() < _UNRESPONSIVE_ROUND_PROBABILITY
        ):
            contacted.append(self._rng.choice(unresponsive))
        return [self._make_compare_request(member, now) for member in contacted]

    def _make_compare_request(self, member: Member, now: float) -> SendRequest:
        notices = self._spend(
            self._notices.dequeue_exchanged(int(self._allowance_bytes), now)
        ) + self.roster.list_liveness_reports(member.node, now)
        known = tuple(self._notices.sample_versions(self.limits.compared_versions))
        message = CompareRequest(tuple(notices), known)
        return SendRequest(member.node, member.peer_address, message, now)

    def _respond_to_compare(
        self, sender: NodeId, message: CompareRequest, now: float
    ) -> CompareResponse:
        newer = self._notices.find_newer(message.known, int(self._allowance_bytes), now)
        self._spend(newer)
        recent = self._notices.dequeue_exchanged(int(self._allowance_bytes), now)
        self._spend(recent)
        liveness_reports = self.roster.list_liveness_reports(sender, now)
        wanted = tuple(self._notices.find_older(message.known))
        return CompareResponse((*liveness_reports, *newer, *recent), wanted)

    def _push_wanted(
        self, request: SendRequest, response: CompareResponse, now: float
    ) -> list[GossipAction]:
        wanted = self._notices.find_newer(
            response.wanted, int(self._allowance_bytes), now
        )
        if not wanted or request.node is None:
            return []
        self._spend(wanted)
        return [SendMessage(request.node, request.address, Push(tuple(wanted)))]

    def _start_push(self, now: float) -> list[GossipAction]:
        peers = self.roster.list_peers()
        if not peers:
            return []
        fanout = min(self.limits.fanout, len(peers))
        budget = int(self._allowance_bytes) // fanout
        include_limits = now >= self._next_limits_push_at
        notices = self._notices.dequeue_pushes(
            budget, now, include_limits=include_limits
        )
        if not notices:
            return []
        self._next_push_at = now + self.limits.min_push_interval_s
        if include_limits:
            self._next_limits_push_at = now + self.limits.min_limits_push_interval_s
        self._allowance_bytes -= measure_notices(notices) * fanout
        message = Push(tuple(notices))
        return [
            SendMessage(member.node, member.peer_address, message)
            for member in self._rng.sample(peers, fanout)
        ]

    def _request_join(self, now: float) -> list[GossipAction]:
        """Request all notices: from a seed at the start, later from a member.

        The first peer may itself have just started and know little, as when
        the whole fleet restarts. So a new process repeats the request, with
        growing pauses, until a response contains nothing new.
        """
        if self._join_cursor is not None:
            return []
        pause_s = self.limits.round_interval_s
        if self.joined:
            pause_s = max(
                pause_s, self._rejoin_pause_s or self.limits.reseed_interval_s
            )
        self._next_join_at = now + pause_s * (0.5 + self._rng.random())
        address = self._choose_join_address()
        if address is None:
            return []
        own_notice = self._notices.find(Topic.MEMBERS, self.roster.own_record.node, now)
        self._join_cursor = ""
        self._join_update_count = 0
        notices = () if own_notice is None else (own_notice,)
        return [SendRequest(None, address, JoinRequest(notices, ""), now)]

    def _choose_join_address(self) -> Address | None:
        addresses = [member.peer_address for member in self.roster.list_peers()]
        if self._rejoin_pause_s and addresses:
            return self._rng.choice(addresses)
        # These are the seeds at which no responsive member listens. Without
        # contacting them, two halves of a fleet that were started separately
        # would never find each other.
        unconnected_seeds = [seed for seed in self._seeds if seed not in addresses]
        if not self.joined and not unconnected_seeds:
            unconnected_seeds = self._seeds
        return self._rng.choice(unconnected_seeds) if unconnected_seeds else None

    def _respond_to_join(self, message: JoinRequest, now: float) -> JoinPage:
        page = self._notices.list_page(message.after, _JOIN_PAGE_BYTES, now)
        last = f"{page[-1].topic}/{page[-1].key}" if page else ""
        more = bool(last) and bool(self._notices.list_page(last, 0, now))
        return JoinPage(tuple(page), last if more else "")

    def _handle_join_page(
        self, request: SendRequest, page: JoinPage, now: float
    ) -> list[GossipAction]:
        # These notices are not spread further: the other peers already know
        # what one peer lists from its whole table.
        self._join_update_count += self.roster.apply_notices(
            page.notices, now, spread=False
        )
        if page.after:
            self._join_cursor = page.after
            return [
                SendRequest(
                    request.node, request.address, JoinRequest((), page.after), now
                )
            ]
        self._join_cursor = None
        if not self.joined or self._rejoin_pause_s:
            self._rejoin_pause_s = (
                2 * self._rejoin_pause_s or self.limits.round_interval_s
            )
        if self.joined and not self._join_update_count:
            self._rejoin_pause_s = 0.0
        self.joined = True
        return []

    def _request_probes(self, node: NodeId, now: float) -> list[GossipAction]:
        member = self.roster.members.find(node)
        if member is None or self._suspicions.is_being_probed(node):
            return []
        if self.roster.find_liveness(node) is Liveness.UNRESPONSIVE:
            return []
        other_peers = [
            member for member in self.roster.list_peers() if member.node != node
        ]
        helpers = self._rng.sample(
            other_peers, min(self.limits.probe_helpers, len(other_peers))
        )
        if not helpers:
            self.roster.lower_liveness(node, Liveness.SUSPECTED, now)
            return []
        self._suspicions.start_probe(node, len(helpers))
        probe = ProbeRequest(node, member.peer_address)
        return [
            SendRequest(helper.node, helper.peer_address, probe, now, node)
            for helper in helpers
        ]

    def _handle_probe_result(
        self, request: SendRequest, *, alive: bool, now: float
    ) -> list[GossipAction]:
        if request.about is None:
            return []
        if not self._suspicions.record_probe_result(request.about, alive=alive):
            return []
        # The member may have contacted this process in the meantime, over
        # the opposite direction of the link.
        if not self.roster.had_contact_since(request.about, request.asked_at):
            self.roster.lower_liveness(request.about, Liveness.SUSPECTED, now)
        return []

    def _detect_freeze(self, now: float) -> bool:
        """Return whether this process was frozen until now.

        After a freeze the timers of open requests have expired although
        their responses lie unread. If the process then suspected its peers,
        it would declare healthy members unresponsive.
        """
        was_frozen = now - self._last_active_at > self.limits.freeze_threshold_s
        if was_frozen:
            self._frozen_until = now
            self._suspicions.restart_all(now)
        self._last_active_at = now
        return was_frozen

    def _refill_allowance(self, now: float) -> None:
        rate = self.limits.bytes_per_s
        earned = rate * (now - self._allowance_refilled_at)
        self._allowance_refilled_at = now
        self._allowance_bytes = min(rate, self._allowance_bytes + earned)

    def _spend(self, notices: list[WireNotice]) -> list[WireNotice]:
        """Deduct the size of notices from the allowance and return them."""
        self._allowance_bytes -= measure_notices(notices)
        return notices
