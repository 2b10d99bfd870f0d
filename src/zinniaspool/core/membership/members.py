"""Members: the processes of the fleet and what is known of each.

A member publishes a record about itself as a notice. Other processes may
publish the same record with a lower liveness when the member does not
respond. The version of the notice orders both kinds of notice.
"""

from dataclasses import dataclass
from enum import Enum

import msgspec

from zinniaspool.core.decoding import DECODE_ERRORS
from zinniaspool.core.ids import Address, FailureDomainId, Incarnation, NodeId

__all__ = ["Liveness", "Member", "MemberRecord", "MemberState", "MemberTable", "Role"]

_LIVENESS_LEVELS = 4
"""Number of versions reserved for each sequence number, one for each liveness
and one unused."""


class Role(Enum):
    """The program that a member runs."""

    ENTRY = "entry"
    CONTROL = "control"


class MemberState(Enum):
    """State of a member as other processes know it."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"
    UNRESPONSIVE = "silent"
    """The member responds neither to this process nor to others."""


class Liveness(Enum):
    """Whether a member responds to the other members.

    A higher value means that the member is closer to being given up. Of two
    notices with the same sequence number, the one with the higher value wins.
    """

    RESPONSIVE = 0
    SUSPECTED = 1
    UNRESPONSIVE = 2


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """The record that a member publishes about itself.

    Attributes:
        node: Name of the member.
        incarnation: Identifies the start of the member's process; a later
            start has a higher value.
        role: Program that the member runs.
        state: State that the member reports.
        failure_domain: Failure domain in which the member runs.
        peer_address: Address at which the member listens to peers.
        caller_address: Address at which it listens to callers; empty if none.
        operator_address: Address at which it listens to operators; empty if
            none.
        protocol: Version of the peer protocol that the member uses.
    """

    node: NodeId
    incarnation: Incarnation
    role: Role
    state: MemberState
    failure_domain: FailureDomainId
    peer_address: Address
    caller_address: Address
    operator_address: Address
    protocol: int


@dataclass(frozen=True, slots=True)
class Member:
    """A process of the fleet as this process knows it.

    Attributes:
        node: Name of the member.
        role: Program that the member runs.
        state: Reported state, or unresponsive.
        peer_address: Address at which the member listens to peers.
        caller_address: Address at which it listens to callers; empty if none.
        operator_address: Address at which it listens to operators; empty if
            none.
        failure_domain: Failure domain in which the member runs.
        incarnation: Identifies the start of the member's process.
    """

    node: NodeId
    role: Role
    state: MemberState
    peer_address: Address
    caller_address: Address
    operator_address: Address
    failure_domain: FailureDomainId
    incarnation: Incarnation


_record_encoder = msgspec.msgpack.Encoder()
_record_decoder = msgspec.msgpack.Decoder(MemberRecord)


def encode_record(record: MemberRecord) -> bytes:
    """Encode a record as the payload of a notice."""
    return _record_encoder.encode(record)


def decode_record(payload: bytes) -> MemberRecord | None:
    """Decode a notice's payload; return None if it is not a known record."""
    try:
        return _record_decoder.decode(payload)
    except DECODE_ERRORS:
        return None


def make_version(sequence: int, liveness: Liveness) -> int:
    """Return the version of a notice about a member.

    Only the member itself increases ``sequence``; other processes only raise
    the value of ``liveness``. So a newer record from the member itself always
    wins over what others report about its older records.
    """
    return sequence * _LIVENESS_LEVELS + liveness.value


def read_sequence(version: int) -> int:
    """Return the sequence number in a version, which the member counts up."""
    return version // _LIVENESS_LEVELS


def read_liveness(version: int) -> Liveness:
    """Return the liveness in a version."""
    level = version % _LIVENESS_LEVELS
    return Liveness(min(level, Liveness.UNRESPONSIVE.value))


@dataclass(frozen=True, slots=True)
class _KnownMember:
    version: int
    member: Member


class MemberTable:
    """Members by name, taken from the newest notice about each."""

    def __init__(self) -> None:
        self._known_members: dict[NodeId, _KnownMember] = {}
        self._sorted_members: tuple[Member, ...] | None = None

    def __len__(self) -> int:
        return len(self._known_members)

    def update(self, key: str, version: int, payload: bytes) -> Member | None:
        """Store the member described by a newer notice.

        Returns None and keeps the known member if the payload can't be
        decoded or describes another member.

        Args:
            key: Name of the member, the key of the notice.
            version: Version of the notice.
            payload: The encoded record.
        """
        record = decode_record(payload)
        if record is None or record.node != key:
            return None
        member = _make_member(record, version)
        self._sorted_members = None
        self._known_members[record.node] = _KnownMember(version, member)
        return member

    def remove(self, node: NodeId) -> None:
        """Remove a member."""
        self._known_members.pop(node, None)
        self._sorted_members = None

    def find(self, node: NodeId) -> Member | None:
        """Return a member, or None if it is not known."""
        known = self._known_members.get(node)
        return None if known is None else known.member

    def find_version(self, node: NodeId) -> int:
        """Return the version of a member's notice; -1 if it is not known."""
        known = self._known_members.get(node)
        return -1 if known is None else known.version

    def list_all(self) -> tuple[Member, ...]:
        """Return all members sorted by name.

        The same tuple is returned while no member changes.
        """
        if self._sorted_members is None:
            known = self._known_members
            self._sorted_members = tuple(known[node].member for node in sorted(known))
        return self._sorted_members

    def list_unsorted(self) -> list[Member]:
        """Return all members in no particular order."""
        return [known.member for known in self._known_members.values()]


def _make_member(record: MemberRecord, version: int) -> Member:
    unresponsive = read_liveness(version) is Liveness.UNRESPONSIVE
    return Member(
        record.node,
        record.role,
        MemberState.UNRESPONSIVE if unresponsive else record.state,
        record.peer_address,
        record.caller_address,
        record.operator_address,
        record.failure_domain,
        record.incarnation,
    )
