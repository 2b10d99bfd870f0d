"""Gossip: how notices spread, and how members are found silent."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from zinniaspool.core.ids import Address, NodeId
from zinniaspool.core.membership.limits import GossipLimits
from zinniaspool.core.membership.members import (
    Member,
    MemberRecord,
    MemberState,
    Standing,
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

__all__ = ["Action", "Ask", "GossipMachine", "Tell"]

_PAGE_BYTES = 16 * 1024
"""Bytes of one page for a joining process; chosen, ten packets."""
_SILENT_ROUND_CHANCE = 0.1
"""Part of the rounds that try a silent member, so that cut halves find
each other again."""


@dataclass(frozen=True, slots=True)
class Ask:
    """Send a message and hand the answer, or None, to ``take_answer``.

    Attributes:
        node: Who must be listening there; None when any member will do.
        address: Where.
        message: What.
        asked_at: When.
        about: The member that a helper is asked about.
    """

    node: NodeId | None
    address: Address
    message: CompareRequest | ProbeRequest | JoinRequest
    asked_at: float
    about: NodeId | None = None


@dataclass(frozen=True, slots=True)
class Tell:
    """Send a message that has no answer."""

    node: NodeId
    address: Address
    message: Push


Action = Ask | Tell


class GossipMachine:
    """One process's part in the fleet's gossip.

    Args:
        own: What this process says of itself.
        seeds: Peer addresses to ask at the start.
        source: The random source.
        now: Seconds.
        limits: Rates and sizes.
    """

    def __init__(
        self,
        own: MemberRecord,
        seeds: Iterable[Address],
        source: random.Random,
        now: float,
        limits: GossipLimits | None = None,
    ) -> None:
        self.limits = limits or GossipLimits()
        self.roster = Roster(own, source, self.limits, now)
        self._seeds = [seed for seed in seeds if seed != own.peer_address]
        self._source = source
        self._notices = self.roster.notices
        self._suspicions = self.roster.suspicions
        self._stepped_at = now
        self._stalled_at = float("-inf")
        self._refilled_at = now
        self._round_at = now + self.limits.round_s * source.random()
        self._push_at = now
        self._slow_push_at = now
        self._seed_at = now
        self._join_after: str | None = None
        self._join_news = 0
        self._rejoin_s = 0.0
        self._allowance = float(self.limits.bytes_per_s)
        self.joined = not self._seeds

    def members(self) -> tuple[Member, ...]:
        """Return all members known, this process among them, by name."""
        return self.roster.members.list_all()

    def list_notices(self, topic: Topic, now: float) -> list[Notice]:
        """Return the newest notices of a topic."""
        return self._notices.list_topic(topic, now)

    def take_fresh(self) -> list[Notice]:
        """Return the notices that became known since the last call."""
        return self.roster.take_fresh()

    def publish(
        self,
        topic: Topic,
        key: str,
        version: int,
        payload: bytes,
        expires_s: float,
        now: float,
    ) -> None:
        """Make a value known to the whole fleet, unless a newer one is."""
        notice = WireNotice(topic.value, key, version, payload, 0.0, expires_s)
        self.roster.put(notice, now)

    def set_state(self, state: MemberState, now: float) -> None:
        """Tell the fleet what this process does now."""
        self.roster.set_state(state, now)

    def step(self, now: float) -> list[Action]:
        """Return what is due; call it several times a second."""
        self._notice_stall(now)
        self._refill(now)
        self.roster.step(now)
        actions: list[Action] = []
        if now >= self._seed_at:
            actions += self._ask_seed(now)
        if now >= self._round_at:
            self._round_at = now + self.limits.round_s * (0.5 + self._source.random())
            actions += self._start_round(now)
        if now >= self._push_at:
            actions += self._start_push(now)
        return actions

    def receive(
        self,
        sender: NodeId,
        message: Push | CompareRequest | JoinRequest,
        now: float,
    ) -> CompareResponse | JoinPage | None:
        """Take a peer's message and return the answer, if it has one."""
        self._notice_stall(now)
        self.roster.hear(sender, now)
        self.roster.take(message.notices, now)
        match message:
            case CompareRequest():
                return self._answer_compare(sender, message, now)
            case JoinRequest():
                return self._answer_join(message, now)
            case Push():
                return None

    def take_answer(
        self,
        ask: Ask,
        answer: CompareResponse | JoinPage | ProbeResponse | None,
        now: float,
    ) -> list[Action]:
        """Take what came of a question; None when no answer came."""
        stalled = self._notice_stall(now) or ask.asked_at < self._stalled_at
        if isinstance(answer, CompareResponse | JoinPage) and ask.node is not None:
            self.roster.hear(ask.node, now)
        match ask.message, answer:
            case CompareRequest(), CompareResponse():
                self.roster.take(answer.notices, now)
                return self._push_wanted(ask, answer, now)
            case JoinRequest(), JoinPage():
                return self._take_page(ask, answer, now)
            case JoinRequest(), _:
                self._join_after = None
                return []
            case ProbeRequest(), _:
                alive = isinstance(answer, ProbeResponse) and answer.alive
                return self._take_probe(ask, alive=alive, now=now)
            case CompareRequest(), _ if ask.node is not None and not stalled:
                return self._ask_helpers(ask.node, now)
        return []

    def _start_round(self, now: float) -> list[Action]:
        peers = self.roster.list_peers()
        chosen = self._source.sample(peers, min(1, len(peers)))
        silent = [
            member
            for member in self.roster.members.list_unsorted()
            if member.state is MemberState.SILENT
        ]
        # A partition that heals is noticed by nobody who only asks those
        # that answer; one silent member now and then is enough to meet.
        if silent and (not peers or self._source.random() < _SILENT_ROUND_CHANCE):
            chosen.append(self._source.choice(silent))
        return [self._compare_with(member, now) for member in chosen]

    def _compare_with(self, member: Member, now: float) -> Ask:
        notices = self._spend(
            self._notices.take_exchanged(int(self._allowance), now)
        ) + self.roster.tell_of(member.node, now)
        known = tuple(self._notices.sample_known(self.limits.compared))
        message = CompareRequest(tuple(notices), known)
        return Ask(member.node, member.peer_address, message, now)

    def _answer_compare(
        self, sender: NodeId, message: CompareRequest, now: float
    ) -> CompareResponse:
        newer = self._notices.find_newer(message.known, int(self._allowance), now)
        self._spend(newer)
        recent = self._notices.take_exchanged(int(self._allowance), now)
        self._spend(recent)
        told = self.roster.tell_of(sender, now)
        wanted = tuple(self._notices.find_older(message.known))
        return CompareResponse((*told, *newer, *recent), wanted)

    def _push_wanted(
        self, ask: Ask, answer: CompareResponse, now: float
    ) -> list[Action]:
        wanted = self._notices.find_newer(answer.wanted, int(self._allowance), now)
        if not wanted or ask.node is None:
            return []
        self._spend(wanted)
        return [Tell(ask.node, ask.address, Push(tuple(wanted)))]

    def _start_push(self, now: float) -> list[Action]:
        peers = self.roster.list_peers()
        if not peers:
            return []
        fanout = min(self.limits.fanout, len(peers))
        budget = int(self._allowance) // fanout
        slow = now >= self._slow_push_at
        notices = self._notices.take_pushes(budget, now, all_topics=slow)
        if not notices:
            return []
        self._push_at = now + self.limits.push_s
        if slow:
            self._slow_push_at = now + self.limits.slow_push_s
        self._allowance -= measure_notices(notices) * fanout
        message = Push(tuple(notices))
        return [
            Tell(member.node, member.peer_address, message)
            for member in self._source.sample(peers, fanout)
        ]

    def _ask_seed(self, now: float) -> list[Action]:
        """Ask for all notices: a seed at the start, a member afterwards.

        The first peer asked may itself have just started and know little,
        as when the whole fleet restarts. So a new process asks again, more
        and more slowly, until an answer held nothing new.
        """
        if self._join_after is not None:
            return []
        pause_s = self.limits.round_s
        if self.joined:
            pause_s = max(pause_s, self._rejoin_s or self.limits.reseed_s)
        self._seed_at = now + pause_s * (0.5 + self._source.random())
        address = self._choose_to_join()
        if address is None:
            return []
        own = self._notices.find(Topic.MEMBERS, self.roster.own.node, now)
        self._join_after = ""
        self._join_news = 0
        notices = () if own is None else (own,)
        return [Ask(None, address, JoinRequest(notices, ""), now)]

    def _choose_to_join(self) -> Address | None:
        addresses = [member.peer_address for member in self.roster.list_peers()]
        if self._rejoin_s and addresses:
            return self._source.choice(addresses)
        # Seeds that no live member listens at: a fleet that was started in
        # two halves has no other way to meet.
        unmet = [seed for seed in self._seeds if seed not in addresses]
        if not self.joined and not unmet:
            unmet = self._seeds
        return self._source.choice(unmet) if unmet else None

    def _answer_join(self, message: JoinRequest, now: float) -> JoinPage:
        page = self._notices.page(message.after, _PAGE_BYTES, now)
        last = f"{page[-1].topic}/{page[-1].key}" if page else ""
        more = bool(last) and bool(self._notices.page(last, 0, now))
        return JoinPage(tuple(page), last if more else "")

    def _take_page(self, ask: Ask, page: JoinPage, now: float) -> list[Action]:
        # What one peer has told of everything, the others know already.
        self._join_news += self.roster.take(page.notices, now, spread=False)
        if page.after:
            self._join_after = page.after
            return [Ask(ask.node, ask.address, JoinRequest((), page.after), now)]
        self._join_after = None
        if not self.joined or self._rejoin_s:
            self._rejoin_s = 2 * self._rejoin_s or self.limits.round_s
        if self.joined and not self._join_news:
            self._rejoin_s = 0.0
        self.joined = True
        return []

    def _ask_helpers(self, node: NodeId, now: float) -> list[Action]:
        member = self.roster.members.find(node)
        if member is None or self._suspicions.is_doubted(node):
            return []
        if self.roster.find_standing(node) is Standing.SILENT:
            return []
        others = [member for member in self.roster.list_peers() if member.node != node]
        helpers = self._source.sample(others, min(self.limits.helpers, len(others)))
        if not helpers:
            self.roster.accuse(node, Standing.SUSPECT, now)
            return []
        self._suspicions.doubt(node, len(helpers))
        probe = ProbeRequest(node, member.peer_address)
        return [Ask(h.node, h.peer_address, probe, now, node) for h in helpers]

    def _take_probe(self, ask: Ask, *, alive: bool, now: float) -> list[Action]:
        if ask.about is None:
            return []
        if not self._suspicions.take_reply(ask.about, alive=alive):
            return []
        # It may have spoken to us meanwhile, over the other direction.
        if not self.roster.heard_since(ask.about, ask.asked_at):
            self.roster.accuse(ask.about, Standing.SUSPECT, now)
        return []

    def _notice_stall(self, now: float) -> bool:
        """Return whether this process stood still since its last step.

        After a freeze the timers of open questions are over although the
        answers lie unread; accusing then would have the frozen process
        declare the healthy ones silent.
        """
        stalled = now - self._stepped_at > self.limits.stall_s
        if stalled:
            self._stalled_at = now
            self._suspicions.restart(now)
        self._stepped_at = now
        return stalled

    def _refill(self, now: float) -> None:
        rate = self.limits.bytes_per_s
        earned = rate * (now - self._refilled_at)
        self._refilled_at = now
        self._allowance = min(rate, self._allowance + earned)

    def _spend(self, notices: list[WireNotice]) -> list[WireNotice]:
        self._allowance -= measure_notices(notices)
        return notices
