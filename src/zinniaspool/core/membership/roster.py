"""What one process knows of the fleet: notices, members and suspicions."""

import random
from collections.abc import Iterable

import msgspec

from zinniaspool.core.ids import Incarnation, NodeId
from zinniaspool.core.membership.limits import GossipLimits
from zinniaspool.core.membership.members import (
    Liveness,
    Member,
    MemberRecord,
    MemberState,
    MemberTable,
    decode_record,
    encode_record,
    make_version,
    read_liveness,
    read_sequence,
)
from zinniaspool.core.membership.notices import Notice, NoticeTable, Topic
from zinniaspool.core.membership.suspicion import SuspicionTable
from zinniaspool.core.messages.membership import WireNotice

__all__ = ["Roster"]

_LIVE_LIFETIME_S = 1e9
"""Lifetime of the record of a member that responds, in seconds; longer than
any process runs."""


class Roster:
    """Members, notices and suspicions as one process knows them.

    Args:
        own_record: The record that this process publishes about itself.
        rng: Random source.
        limits: Rates and times.
        now: Current time in seconds.

    Attributes:
        own_record: The record that this process publishes about itself.
        superseded_by: Incarnation of a later process with the same name; None
            while none is known.
        notices: The newest notice of each key.
        members: The known members, including this process.
        suspicions: Members that are being probed or are suspected.
    """

    def __init__(
        self,
        own_record: MemberRecord,
        rng: random.Random,
        limits: GossipLimits,
        now: float,
    ) -> None:
        self.own_record = own_record
        self.superseded_by: Incarnation | None = None
        self.notices = NoticeTable(rng)
        self.members = MemberTable()
        self.suspicions = SuspicionTable(limits.suspicion_s)
        self._limits = limits
        self._sequence = int(own_record.incarnation)
        self._new_notices: list[Notice] = []
        self._peers: list[Member] | None = None
        self._last_contact_at: dict[NodeId, float] = {}
        self._publish_own_record(now)

    def set_state(self, state: MemberState, now: float) -> None:
        """Publish a new state of this process."""
        if state is self.own_record.state:
            return
        self.own_record = msgspec.structs.replace(self.own_record, state=state)
        self._sequence += 1
        self._publish_own_record(now)

    def advance(self, now: float) -> None:
        """Remove expired notices; mark timed-out suspects unresponsive."""
        for notice in self.notices.expire(now):
            if notice.topic is Topic.MEMBERS:
                self._remove_member(NodeId(notice.key))
        for node in self.suspicions.pop_timed_out(now):
            self.lower_liveness(node, Liveness.UNRESPONSIVE, now)

    def apply_notices(
        self, notices: Iterable[WireNotice], now: float, *, spread: bool = True
    ) -> int:
        """Apply a peer's notices and return how many were newer than known.

        Args:
            notices: The received notices.
            now: Current time in seconds.
            spread: Whether newer notices are sent on to other processes.
        """
        count = 0
        for notice in notices:
            if (
                notice.topic == Topic.MEMBERS.value
                and notice.key == self.own_record.node
            ):
                self._refute(notice, now)
            else:
                count += self.store_notice(notice, now, spread=spread)
        return count

    def store_notice(
        self, notice: WireNotice, now: float, *, spread: bool = True
    ) -> bool:
        """Store a notice if it is newer than the known one.

        Args:
            notice: The received or published notice.
            now: Current time in seconds.
            spread: Whether the notice is sent on to other processes.
        """
        new_notice = self.notices.put(notice, now, spread=spread)
        if new_notice is None:
            return False
        self._new_notices.append(new_notice)
        if new_notice.topic is Topic.MEMBERS:
            self._update_member(new_notice, now)
        return True

    def drain_new_notices(self) -> list[Notice]:
        """Return the notices stored since the last call."""
        new_notices, self._new_notices = self._new_notices, []
        return new_notices

    def list_peers(self) -> list[Member]:
        """Return the other members, without the unresponsive ones."""
        if self._peers is None:
            self._peers = [
                member
                for member in self.members.list_unsorted()
                if member.node != self.own_record.node
                and member.state is not MemberState.UNRESPONSIVE
            ]
        return self._peers

    def find_liveness(self, node: NodeId) -> Liveness:
        """Return the liveness of a member in its newest notice."""
        return read_liveness(self.members.find_version(node))

    def record_contact(self, node: NodeId, now: float) -> None:
        """Record that this process received a message from a member."""
        self._last_contact_at[node] = now
        self.suspicions.clear(node)

    def had_contact_since(self, node: NodeId, since: float) -> bool:
        """Return whether a message from a member was received since a time."""
        return self._last_contact_at.get(node, float("-inf")) >= since

    def list_liveness_reports(self, node: NodeId, now: float) -> list[WireNotice]:
        """Return the notice that reports a peer as not responding, if any.

        The notice is sent to the peer itself, so that the peer can refute it.
        """
        notice = self.notices.find(Topic.MEMBERS, node, now)
        if notice is None or read_liveness(notice.version) is Liveness.RESPONSIVE:
            return []
        return [notice]

    def lower_liveness(self, node: NodeId, liveness: Liveness, now: float) -> None:
        """Report a member as suspected or unresponsive.

        A newer record from the member itself overrules the report.
        """
        notice = self.notices.find(Topic.MEMBERS, node, now)
        if notice is None or node == self.own_record.node:
            return
        version = make_version(read_sequence(notice.version), liveness)
        lifetime_s = _LIVE_LIFETIME_S
        if liveness is Liveness.UNRESPONSIVE:
            lifetime_s = self._find_kept_time_s(node)
        report = WireNotice(
            Topic.MEMBERS.value, node, version, notice.payload, 0.0, lifetime_s
        )
        self.store_notice(report, now)

    def _find_kept_time_s(self, node: NodeId) -> float:
        member = self.members.find(node)
        if member is not None and member.state is MemberState.LEAVING:
            return self._limits.leaving_kept_s
        return self._limits.unresponsive_kept_s

    def _refute(self, notice: WireNotice, now: float) -> None:
        if notice.version <= make_version(self._sequence, Liveness.RESPONSIVE):
            return
        record = decode_record(notice.payload)
        if record is not None and record.incarnation > self.own_record.incarnation:
            # A later process with the same name has replaced this one. If
            # this process refuted the notice, the two would overrule each
            # other for ever, and callers would be sent to either.
            self.superseded_by = record.incarnation
            return
        self._sequence = read_sequence(notice.version) + 1
        self._publish_own_record(now)

    def _publish_own_record(self, now: float) -> None:
        version = make_version(self._sequence, Liveness.RESPONSIVE)
        record = encode_record(self.own_record)
        notice = WireNotice(
            Topic.MEMBERS.value,
            self.own_record.node,
            version,
            record,
            0.0,
            _LIVE_LIFETIME_S,
        )
        self.store_notice(notice, now)

    def _update_member(self, notice: Notice, now: float) -> None:
        node = NodeId(notice.key)
        self.members.update(notice.key, notice.version, notice.payload)
        self._peers = None
        if read_liveness(notice.version) is Liveness.SUSPECTED:
            self.suspicions.suspect(node, now)
        else:
            self.suspicions.clear(node)

    def _remove_member(self, node: NodeId) -> None:
        self.members.remove(node)
        self.suspicions.clear(node)
        self._last_contact_at.pop(node, None)
        self._peers = None
