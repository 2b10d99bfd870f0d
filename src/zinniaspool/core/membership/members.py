"""Members: the processes of the fleet and what is known of each."""

from dataclasses import dataclass
from enum import Enum

import msgspec

from zinniaspool.core.ids import Address, FailureDomainId, Incarnation, NodeId

__all__ = ["Member", "MemberRecord", "MemberState", "MemberTable", "Role", "Standing"]

_STANDINGS = 4
"""Standings that a member can have within one version."""


class Role(Enum):
    """Which program a member runs."""

    ENTRY = "entry"
    CONTROL = "control"


class MemberState(Enum):
    """What a member does, as far as is known."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"
    SILENT = "silent"
    """It answers neither this process nor others."""


class Standing(Enum):
    """What others hold of a member; of two equally new, the higher counts."""

    ANSWERS = 0
    SUSPECT = 1
    SILENT = 2


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """What a member says of itself."""

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
    """A process of the fleet, as known here.

    Attributes:
        node: Its name.
        role: Which program.
        state: What it does.
        peer_address: Where it listens to peers.
        caller_address: Where it listens to callers; empty for none.
        operator_address: Where it listens to operators; empty for none.
        failure_domain: Where it runs.
        incarnation: Which of its starts.
    """

    node: NodeId
    role: Role
    state: MemberState
    peer_address: Address
    caller_address: Address
    operator_address: Address
    failure_domain: FailureDomainId
    incarnation: Incarnation


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(MemberRecord)


def encode_record(record: MemberRecord) -> bytes:
    """Return a record as a notice's payload."""
    return _encoder.encode(record)


def decode_record(payload: bytes) -> MemberRecord | None:
    """Return the record in a payload; None when it can't be read here."""
    try:
        return _decoder.decode(payload)
    except msgspec.MsgspecError:
        return None


def make_version(sequence: int, standing: Standing) -> int:
    """Return the version of a member's notice.

    The member itself counts ``sequence`` up, and others only raise the
    standing, so that a word of the member's own always beats what others
    hold of its older ones.
    """
    return sequence * _STANDINGS + standing.value


def read_sequence(version: int) -> int:
    """Return the member's own count in a version."""
    return version // _STANDINGS


def read_standing(version: int) -> Standing:
    """Return what others hold, from a version."""
    rank = version % _STANDINGS
    return Standing(min(rank, Standing.SILENT.value))


@dataclass(frozen=True, slots=True)
class _Known:
    version: int
    member: Member


class MemberTable:
    """The members by name, from their newest notices."""

    def __init__(self) -> None:
        self._known: dict[NodeId, _Known] = {}
        self._listed: tuple[Member, ...] | None = None

    def __len__(self) -> int:
        return len(self._known)

    def update(self, key: str, version: int, payload: bytes) -> Member | None:
        """Take a newer notice; None when it can't be read here."""
        record = decode_record(payload)
        if record is None or record.node != key:
            return None
        member = _describe(record, version)
        self._listed = None
        self._known[record.node] = _Known(version, member)
        return member

    def forget(self, node: NodeId) -> None:
        """Take a member out."""
        self._known.pop(node, None)
        self._listed = None

    def find(self, node: NodeId) -> Member | None:
        """Return a member."""
        known = self._known.get(node)
        return None if known is None else known.member

    def find_version(self, node: NodeId) -> int:
        """Return the version of what is known of a member; -1 for nothing."""
        known = self._known.get(node)
        return -1 if known is None else known.version

    def list_all(self) -> tuple[Member, ...]:
        """Return all members, by name; the same tuple while none changes."""
        if self._listed is None:
            known = self._known
            self._listed = tuple(known[node].member for node in sorted(known))
        return self._listed

    def list_unsorted(self) -> list[Member]:
        """Return all members."""
        return [known.member for known in self._known.values()]


def _describe(record: MemberRecord, version: int) -> Member:
    silent = read_standing(version) is Standing.SILENT
    return Member(
        record.node,
        record.role,
        MemberState.SILENT if silent else record.state,
        record.peer_address,
        record.caller_address,
        record.operator_address,
        record.failure_domain,
        record.incarnation,
    )
