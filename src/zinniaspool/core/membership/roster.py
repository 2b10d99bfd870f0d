"""What one process knows of the fleet: notices, members, suspicions."""

import random
from collections.abc import Iterable

import msgspec

from zinniaspool.core.ids import Incarnation, NodeId
from zinniaspool.core.membership.limits import GossipLimits
from zinniaspool.core.membership.members import (
    Member,
    MemberRecord,
    MemberState,
    MemberTable,
    Standing,
    decode_record,
    encode_record,
    make_version,
    read_sequence,
    read_standing,
)
from zinniaspool.core.membership.notices import Notice, NoticeTable, Topic
from zinniaspool.core.membership.suspicion import SuspicionTable
from zinniaspool.core.messages.membership import WireNotice

__all__ = ["Roster"]

_LIVE_LIFETIME_S = 1e9
"""Seconds; longer than any process lives."""


class Roster:
    """Members and notices as one process knows them.

    Args:
        own: What this process says of itself.
        source: The random source.
        limits: Rates and times.
        now: Seconds.
    """

    def __init__(
        self,
        own: MemberRecord,
        source: random.Random,
        limits: GossipLimits,
        now: float,
    ) -> None:
        self.own = own
        self.superseded_by: Incarnation | None = None
        self.notices = NoticeTable(source)
        self.members = MemberTable()
        self.suspicions = SuspicionTable(limits.suspicion_s)
        self._limits = limits
        self._sequence = int(own.incarnation)
        self._fresh: list[Notice] = []
        self._peers: list[Member] | None = None
        self._heard: dict[NodeId, float] = {}
        self._announce(now)

    def set_state(self, state: MemberState, now: float) -> None:
        """Tell the fleet what this process does now."""
        if state is self.own.state:
            return
        self.own = msgspec.structs.replace(self.own, state=state)
        self._sequence += 1
        self._announce(now)

    def step(self, now: float) -> None:
        """Forget what has expired and hold overdue suspects silent."""
        for notice in self.notices.expire(now):
            if notice.topic is Topic.MEMBERS:
                self._forget(NodeId(notice.key))
        for node in self.suspicions.take_ended(now):
            self.accuse(node, Standing.SILENT, now)

    def take(
        self, notices: Iterable[WireNotice], now: float, *, spread: bool = True
    ) -> int:
        """Take notices that a peer sent; return how many were news here.

        Args:
            notices: What was sent.
            now: Seconds.
            spread: Whether what is news here is passed on to others.
        """
        count = 0
        for notice in notices:
            if notice.topic == Topic.MEMBERS.value and notice.key == self.own.node:
                self._contradict(notice, now)
            else:
                count += self.put(notice, now, spread=spread)
        return count

    def put(self, notice: WireNotice, now: float, *, spread: bool = True) -> bool:
        """Keep a notice if it is newer than what is known."""
        fresh = self.notices.put(notice, now, spread=spread)
        if fresh is None:
            return False
        self._fresh.append(fresh)
        if fresh.topic is Topic.MEMBERS:
            self._update_member(fresh, now)
        return True

    def take_fresh(self) -> list[Notice]:
        """Return the notices that became known since the last call."""
        fresh, self._fresh = self._fresh, []
        return fresh

    def list_peers(self) -> list[Member]:
        """Return the other members that are not silent."""
        if self._peers is None:
            self._peers = [
                member
                for member in self.members.list_unsorted()
                if member.node != self.own.node
                and member.state is not MemberState.SILENT
            ]
        return self._peers

    def find_standing(self, node: NodeId) -> Standing:
        """Return what is held of a member."""
        return read_standing(self.members.find_version(node))

    def hear(self, node: NodeId, now: float) -> None:
        """Note that a member spoke to this process."""
        self._heard[node] = now
        self.suspicions.clear(node)

    def heard_since(self, node: NodeId, since: float) -> bool:
        """Return whether a member has spoken since a time."""
        return self._heard.get(node, float("-inf")) >= since

    def tell_of(self, node: NodeId, now: float) -> list[WireNotice]:
        """Return what is held against a peer, so that it can contradict."""
        notice = self.notices.find(Topic.MEMBERS, node, now)
        if notice is None or read_standing(notice.version) is Standing.ANSWERS:
            return []
        return [notice]

    def accuse(self, node: NodeId, standing: Standing, now: float) -> None:
        """Raise what is held against a member, unless it speaks again."""
        notice = self.notices.find(Topic.MEMBERS, node, now)
        if notice is None or node == self.own.node:
            return
        version = make_version(read_sequence(notice.version), standing)
        lifetime_s = _LIVE_LIFETIME_S
        if standing is Standing.SILENT:
            lifetime_s = self._find_kept_s(node)
        accusation = WireNotice(
            Topic.MEMBERS.value, node, version, notice.payload, 0.0, lifetime_s
        )
        self.put(accusation, now)

    def _find_kept_s(self, node: NodeId) -> float:
        member = self.members.find(node)
        if member is not None and member.state is MemberState.LEAVING:
            return self._limits.leaving_kept_s
        return self._limits.silent_kept_s

    def _contradict(self, notice: WireNotice, now: float) -> None:
        if notice.version <= make_version(self._sequence, Standing.ANSWERS):
            return
        record = decode_record(notice.payload)
        if record is not None and record.incarnation > self.own.incarnation:
            # A later start under the same name has taken this one's place;
            # contradicting it would make the two overrule each other for
            # ever, and callers would be sent to either.
            self.superseded_by = record.incarnation
            return
        self._sequence = read_sequence(notice.version) + 1
        self._announce(now)

    def _announce(self, now: float) -> None:
        version = make_version(self._sequence, Standing.ANSWERS)
        record = encode_record(self.own)
        notice = WireNotice(
            Topic.MEMBERS.value, self.own.node, version, record, 0.0, _LIVE_LIFETIME_S
        )
        self.put(notice, now)

    def _update_member(self, notice: Notice, now: float) -> None:
        node = NodeId(notice.key)
        self.members.update(notice.key, notice.version, notice.payload)
        self._peers = None
        if read_standing(notice.version) is Standing.SUSPECT:
            self.suspicions.suspect(node, now)
        else:
            self.suspicions.clear(node)

    def _forget(self, node: NodeId) -> None:
        self.members.forget(node)
        self.suspicions.clear(node)
        self._heard.pop(node, None)
        self._peers = None
