"""Claims: which keys have been begun, kept in the platform's store.

Keys are hashed into slots. A slot's head is one value in the store: its
owner, the newest claims, and the names of archives that hold the older ones.
A claim is written by a compare-and-swap of the head before the first byte of
its request goes upstream, and all claims that gathered meanwhile go with it.

The swap is also the fence between owners. A new owner reads every claim and
then swaps the head under its own name; an older owner that was frozen and
still believes the slot to be its own fails its next swap, so it can begin
nothing more. No lease is needed for that, and none has to be renewed.
"""

from collections.abc import Container
from dataclasses import dataclass, field
from enum import Enum
from itertools import count

import msgspec

from zinniaspool.core.ids import Address, Incarnation, NodeId, Revision
from zinniaspool.core.requests.keys import Fingerprint, KeyHash

__all__ = [
    "SLOTS",
    "Claim",
    "ClaimEnd",
    "DeleteArchive",
    "OperationEnd",
    "ReadArchive",
    "ReadHead",
    "SettledClaim",
    "SlotHead",
    "SlotMachine",
    "SlotOperation",
    "SlotOwner",
    "SlotState",
    "StoreAnswer",
    "WriteArchive",
    "WriteHead",
    "find_slot",
]

SLOTS = 32
"""Hash slots of claims: writes of a fleet stay below the store's rate."""
CLAIMS_PER_ARCHIVE = 128
"""Claims that a slot's head holds before they move to an archive; chosen, so
that a head, which is written anew with each swap, stays at a few kilobytes."""


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """One begun request."""

    key: KeyHash
    fingerprint: Fingerprint


class SlotOwner(msgspec.Struct, frozen=True, array_like=True):
    """The process that begins a slot's requests."""

    node: NodeId
    incarnation: Incarnation
    address: Address


class SlotHead(msgspec.Struct, frozen=True):
    """A slot's value in the store.

    Attributes:
        tag: Unique to the write, so that a lost answer can be settled.
        owner: Who wrote it.
        claims: The newest claims.
        archives: Numbers of the archives that hold the others.
    """

    tag: str
    owner: SlotOwner
    claims: tuple[Claim, ...] = ()
    archives: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class ReadHead:
    """Read the slot's head."""


@dataclass(frozen=True, slots=True)
class ReadArchive:
    """Read one archive."""

    number: int


@dataclass(frozen=True, slots=True)
class WriteHead:
    """Swap the slot's head."""

    head: SlotHead
    expected: Revision


@dataclass(frozen=True, slots=True)
class WriteArchive:
    """Write a new archive."""

    number: int
    claims: tuple[Claim, ...]


@dataclass(frozen=True, slots=True)
class DeleteArchive:
    """Delete an archive that no head lists any more."""

    number: int


SlotOperation = ReadHead | ReadArchive | WriteHead | WriteArchive | DeleteArchive


class OperationEnd(Enum):
    """What the store said to an operation."""

    DONE = "done"
    CONFLICT = "conflict"
    FAILED = "failed"
    """Nothing was done."""

    UNKNOWN = "unknown"
    """No answer came: a write may have taken effect, or may yet."""


@dataclass(frozen=True, slots=True)
class StoreAnswer:
    """The store's answer to an operation.

    Attributes:
        end: Whether it was done.
        revision: The revision read or written.
        head: The head read; None when it is absent.
        claims: The archive read.
    """

    end: OperationEnd
    revision: Revision = Revision(0)
    head: SlotHead | None = None
    claims: tuple[Claim, ...] = ()


class SlotState(Enum):
    """What this process is to a slot."""

    OTHERS = "others"
    """Not its owner; nothing may be begun."""

    READING = "reading"
    RECALLING = "recalling"
    """Reading the archives of the owners before."""

    FENCING = "fencing"
    """Swapping the head, so that no earlier owner can."""

    OWNED = "owned"
    SETTLING = "settling"
    """Reading back what became of a write whose answer was lost."""


class ClaimEnd(Enum):
    """What became of a wanted claim."""

    WRITTEN = "written"
    """It is in the store: its request may begin."""

    KNOWN = "known"
    """An earlier owner had written it: its request may have run."""

    REFUSED = "refused"
    """Its request has not begun, and this process may not begin it."""


@dataclass(slots=True)
class _Archive:
    number: int
    claims: tuple[Claim, ...]


@dataclass(slots=True)
class SettledClaim:
    """A wanted claim that has come to its end.

    Attributes:
        key: Its key.
        end: What became of it.
        known: The claim that stood in the store already.
    """

    key: KeyHash
    end: ClaimEnd
    known: Claim | None = None


@dataclass(slots=True)
class _Memory:
    """What an owner holds of its slot beside the store."""

    head: dict[KeyHash, Claim] = field(default_factory=dict)
    archives: list[_Archive] = field(default_factory=list)
    to_read: list[int] = field(default_factory=list)
    to_delete: list[int] = field(default_factory=list)


class SlotMachine:
    """One slot, as one process drives it: one store operation at a time.

    Args:
        own: This process.
        interval_s: Least time between two swaps of the head; claims that
            come meanwhile share the next one.
    """

    def __init__(self, own: SlotOwner, interval_s: float) -> None:
        self.state = SlotState.OTHERS
        self.owner: SlotOwner | None = None
        self.settled: list[SettledClaim] = []
        self.recalled: list[Claim] = []
        self._own = own
        self._gone: SlotOwner | None = None
        self._interval_s = interval_s
        self._tags = count(1)
        self._wanted: dict[KeyHash, Claim] = {}
        self._writing: tuple[Claim, ...] = ()
        self._written: SlotHead | None = None
        self._revision = Revision(0)
        self._memory = _Memory()
        self._next_write = 0.0
        self._not_archived_at = Revision(-1)
        self._busy = False

    def take(self, gone: SlotOwner | None = None) -> None:
        """Begin to take the slot over, unless that is on its way.

        Args:
            gone: The owner to take it from; None where it had none. The slot
                stays with any other owner that the store names by then.
        """
        if self.state is SlotState.OTHERS:
            self.state = SlotState.READING
            self._gone = gone

    @property
    def wants(self) -> bool:
        """Whether a claim is not settled."""
        return bool(self._wanted)

    def want(self, claim: Claim) -> None:
        """Have a claim written; ``settled`` tells what became of it."""
        self._wanted[claim.key] = claim

    def withdraw(self, key: KeyHash) -> None:
        """Give up a claim that is not settled; its request must not run."""
        self._wanted.pop(key, None)
        self._writing = tuple(claim for claim in self._writing if claim.key != key)

    def forget(self, key: KeyHash) -> None:
        """Drop a claim whose retention is over or whose request never ran."""
        self._memory.head.pop(key, None)

    def drop_archives(self, remembered: Container[KeyHash]) -> None:
        """Drop archives none of whose keys is remembered any more."""
        kept = []
        for archive in self._memory.archives:
            if any(claim.key in remembered for claim in archive.claims):
                kept.append(archive)
            else:
                self._memory.to_delete.append(archive.number)
        self._memory.archives = kept

    def next_time(self) -> float:
        """Return the time from which the next swap may go out."""
        return self._next_write if self.state is SlotState.OWNED else 0.0

    def next_operation(self, now: float) -> SlotOperation | None:
        """Return what is to be asked of the store, one at a time."""
        if self._busy:
            return None
        operation = self._choose_operation(now)
        self._busy = operation is not None
        return operation

    def take_answer(
        self, operation: SlotOperation, answer: StoreAnswer, now: float
    ) -> None:
        """Take the store's answer to the operation given out last."""
        self._busy = False
        match operation:
            case ReadHead():
                self._take_head(answer)
            case ReadArchive():
                self._take_archive(operation, answer)
            case WriteHead():
                self._take_write(operation, answer)
            case WriteArchive():
                self._take_archived(operation, answer)
            case DeleteArchive():
                pass

    # What to ask next.

    def _choose_operation(self, now: float) -> SlotOperation | None:
        if not self._wanted and self.state is not SlotState.OWNED:
            return None
        match self.state:
            case SlotState.OTHERS:
                return None
            case SlotState.READING | SlotState.SETTLING:
                return ReadHead()
            case SlotState.RECALLING:
                return ReadArchive(self._memory.to_read[0])
            case SlotState.FENCING:
                return self._write_head(now)
            case SlotState.OWNED:
                return self._choose_write(now)

    def _choose_write(self, now: float) -> SlotOperation | None:
        memory = self._memory
        if self._wanted and now >= self._next_write:
            if self._must_archive():
                return WriteArchive(self._revision, tuple(memory.head.values()))
            return self._write_head(now)
        assert self._written is not None
        for number in memory.to_delete:
            if number not in self._written.archives:
                memory.to_delete.remove(number)
                return DeleteArchive(number)
        return None

    def _must_archive(self) -> bool:
        if self._revision == self._not_archived_at or not self._memory.head:
            return False
        return len(self._memory.head) + len(self._wanted) > CLAIMS_PER_ARCHIVE

    def _write_head(self, now: float) -> WriteHead:
        self._next_write = now + self._interval_s
        self._writing = tuple(self._wanted.values())
        claims = {**self._memory.head, **self._wanted}
        tag = f"{self._own.node}:{self._own.incarnation}:{next(self._tags)}"
        self._written = SlotHead(
            tag,
            self._own,
            tuple(claims.values()),
            tuple(archive.number for archive in self._memory.archives),
        )
        return WriteHead(self._written, self._revision)

    # What the store said.

    def _take_head(self, answer: StoreAnswer) -> None:
        if answer.end is not OperationEnd.DONE:
            self._refuse_wanted()
            return
        if self.state is SlotState.SETTLING:
            self._settle(answer)
            return
        if answer.head is not None and not self._may_take(answer.head.owner):
            # Processes that saw the slot free, or its owner gone, in the
            # same moment take it one after the other. Each would fence the
            # one before off, and the repeats of what that one has run would
            # be told "outcome unknown" though it lives and knows.
            self._lose(answer.head)
            return
        self._revision = answer.revision
        self._memory = _Memory()
        if answer.head is not None:
            self._memory.head = {claim.key: claim for claim in answer.head.claims}
            self._memory.to_read = list(answer.head.archives)
        self._continue_recalling()

    def _may_take(self, owner: SlotOwner) -> bool:
        return owner in (self._own, self._gone)

    def _take_archive(self, operation: ReadArchive, answer: StoreAnswer) -> None:
        if answer.end is not OperationEnd.DONE:
            self._refuse_wanted()
            # An archive that is gone was dropped by an owner that came
            # between: its head is to be read anew.
            self.state = SlotState.READING
            return
        self._memory.to_read.remove(operation.number)
        self._memory.archives.append(_Archive(operation.number, answer.claims))
        self._continue_recalling()

    def _continue_recalling(self) -> None:
        more = bool(self._memory.to_read)
        self.state = SlotState.RECALLING if more else SlotState.FENCING
        if not more:
            self._answer_known()

    def _answer_known(self) -> None:
        known = dict(self._memory.head)
        for archive in self._memory.archives:
            known.update((claim.key, claim) for claim in archive.claims)
        self.recalled.extend(known.values())
        for key in [key for key in self._wanted if key in known]:
            del self._wanted[key]
            self.settled.append(SettledClaim(key, ClaimEnd.KNOWN, known[key]))

    def _take_write(self, operation: WriteHead, answer: StoreAnswer) -> None:
        match answer.end:
            case OperationEnd.DONE:
                self._confirm(operation.head, answer.revision)
            case OperationEnd.CONFLICT | OperationEnd.UNKNOWN:
                # A conflict may be with an own write whose answer was lost.
                self.state = SlotState.SETTLING
            case OperationEnd.FAILED:
                self._refuse_wanted()

    def _settle(self, answer: StoreAnswer) -> None:
        assert self._written is not None
        found = answer.head
        if found is not None and found.tag == self._written.tag:
            self._confirm(found, answer.revision)
            return
        if answer.revision == self._revision:
            # Not written so far, and it may still be on its way. The next
            # write expects the same revision, so only one of the two can
            # take effect, and both hold what they must.
            fenced = found is not None and found.owner == self._own
            self.state = SlotState.OWNED if fenced else SlotState.FENCING
            return
        if found is not None and found.owner == self._own:
            # An own write that was given up earlier has taken effect since.
            # It holds claims that were then answered as not run: they are
            # no longer wanted and drop out with the next write.
            self._revision = answer.revision
            self.state = SlotState.OWNED
            return
        self._lose(found)

    def _confirm(self, head: SlotHead, revision: Revision) -> None:
        self._revision = revision
        self.state = SlotState.OWNED
        self.owner = self._own
        for claim in self._writing:
            del self._wanted[claim.key]
            self._memory.head[claim.key] = claim
            self.settled.append(SettledClaim(claim.key, ClaimEnd.WRITTEN))
        self._writing = ()

    def _take_archived(self, operation: WriteArchive, answer: StoreAnswer) -> None:
        match answer.end:
            case OperationEnd.DONE:
                archive = _Archive(operation.number, operation.claims)
                self._memory.archives.append(archive)
                for claim in operation.claims:
                    self._memory.head.pop(claim.key, None)
            case OperationEnd.FAILED:
                self._refuse_wanted()
            case OperationEnd.CONFLICT | OperationEnd.UNKNOWN:
                # The number is the revision of the head that this owner
                # wrote itself, so nobody else can have used it: what stands
                # there is an own write, which no head will list.
                self._not_archived_at = self._revision
                self._memory.to_delete.append(operation.number)

    def _lose(self, found: SlotHead | None) -> None:
        self.state = SlotState.OTHERS
        self.owner = found.owner if found is not None else None
        self._memory = _Memory()
        self._refuse_wanted()

    def take_settled(self) -> list[SettledClaim]:
        """Return the claims that have come to their end since last asked."""
        settled, self.settled = self.settled, []
        return settled

    def take_recalled(self) -> list[Claim]:
        """Return the earlier owners' claims that were read."""
        recalled, self.recalled = self.recalled, []
        return recalled

    def _refuse_wanted(self) -> None:
        for key in self._wanted:
            self.settled.append(SettledClaim(key, ClaimEnd.REFUSED))
        self._wanted.clear()
        self._writing = ()


def find_slot(key: KeyHash) -> int:
    """Return the slot that a key belongs to."""
    return int(key[:4], 16) % SLOTS
