"""Claims of idempotency keys, which are kept in the platform's store.

A claim records that the request of an idempotency key may have begun, so
that no process runs the request a second time. Keys are hashed into slots,
and each slot has one owner, the process that begins the requests of its
keys. A slot's head is one value in the store. It contains the slot's owner,
the newest claims, and the numbers of the archives with the older claims. The
owner writes a claim by a compare-and-swap of the head before the first byte
of the claim's request goes upstream. All claims that are pending at that
time are written by the same swap.

The swap is also the fence between owners. A new owner reads every claim and
then swaps the head under its own name. An earlier owner that was frozen, and
still assumes that it owns the slot, fails its next swap and so can begin no
further request. The fence needs no lease, so no lease has to be renewed.
"""

from collections.abc import Container
from dataclasses import dataclass, field
from enum import Enum
from itertools import count

import msgspec

from zinniaspool.core.ids import Address, Incarnation, NodeId, Revision
from zinniaspool.core.requests.keys import Fingerprint, KeyHash

__all__ = [
    "SLOT_COUNT",
    "Claim",
    "ClaimOutcome",
    "ClaimResult",
    "DeleteArchive",
    "OperationOutcome",
    "ReadArchive",
    "ReadHead",
    "SlotHead",
    "SlotOperation",
    "SlotOwner",
    "SlotState",
    "SlotStateMachine",
    "StoreResponse",
    "WriteArchive",
    "WriteHead",
    "find_slot",
]

SLOT_COUNT = 32
"""Number of hash slots. It bounds the number of heads that all entry
processes together write, so that their writes stay below the store's rate."""
MAX_HEAD_CLAIMS = 128
"""Claims in a slot's head before they are moved to an archive. Each swap
writes the whole head, so the bound keeps a write at a few kilobytes."""


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """The claim of one request that has begun or is about to begin."""

    key: KeyHash
    fingerprint: Fingerprint


class SlotOwner(msgspec.Struct, frozen=True, array_like=True):
    """The process that begins the requests of a slot's keys."""

    node: NodeId
    incarnation: Incarnation
    address: Address


class SlotHead(msgspec.Struct, frozen=True):
    """A slot's value in the store.

    Attributes:
        tag: Identifies the write. A process that received no response to
            its write finds out by the tag whether it took effect.
        owner: The process that wrote the head.
        claims: The newest claims.
        archives: Numbers of the archives with the older claims.
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
    """Read an archive of the slot."""

    number: int


@dataclass(frozen=True, slots=True)
class WriteHead:
    """Swap the slot's head if it still has the expected revision."""

    head: SlotHead
    expected: Revision


@dataclass(frozen=True, slots=True)
class WriteArchive:
    """Write a new archive under an unused number."""

    number: int
    claims: tuple[Claim, ...]


@dataclass(frozen=True, slots=True)
class DeleteArchive:
    """Delete an archive that the slot's head no longer lists."""

    number: int


SlotOperation = ReadHead | ReadArchive | WriteHead | WriteArchive | DeleteArchive


class OperationOutcome(Enum):
    """The outcome of a store operation."""

    DONE = "done"
    CONFLICT = "conflict"
    FAILED = "failed"
    """The operation had no effect."""

    UNKNOWN = "unknown"
    """No response was received: a write may have taken effect, or may still
    take effect later."""


@dataclass(frozen=True, slots=True)
class StoreResponse:
    """The store's response to an operation.

    Attributes:
        outcome: Whether the operation took effect.
        revision: The revision that was read or written.
        head: The head that was read; None if the store has no head.
        claims: The claims of the archive that was read.
    """

    outcome: OperationOutcome
    revision: Revision = Revision(0)
    head: SlotHead | None = None
    claims: tuple[Claim, ...] = ()


class SlotState(Enum):
    """Whether this process owns a slot, or how far its acquisition is."""

    OTHERS = "others"
    """This process does not own the slot and may begin no request in it."""

    READING = "reading"
    """This process reads the head in order to acquire the slot."""

    RECALLING = "recalling"
    """This process reads the archives that earlier owners wrote."""

    FENCING = "fencing"
    """This process swaps the head, so that no earlier owner can."""

    OWNED = "owned"
    """This process owns the slot, as far as it knows."""

    SETTLING = "settling"
    """This process reads the head to find out whether a write took effect
    that had a conflict or got no response."""


class ClaimOutcome(Enum):
    """The outcome of a submitted claim."""

    WRITTEN = "written"
    """The claim is in the store: its request may begin."""

    KNOWN = "known"
    """An earlier owner wrote a claim of the key: the request may have run."""

    REFUSED = "refused"
    """The request has not begun, and this process may not begin it."""


@dataclass(slots=True)
class _Archive:
    number: int
    claims: tuple[Claim, ...]


@dataclass(slots=True)
class ClaimResult:
    """The result of a submitted claim.

    Attributes:
        key: The claim's key.
        outcome: Whether the claim's request may begin.
        existing: The claim of the key that an earlier owner wrote, where
            the outcome is ``KNOWN``.
    """

    key: KeyHash
    outcome: ClaimOutcome
    existing: Claim | None = None


@dataclass(slots=True)
class _SlotContents:
    """An owner's copy of its slot's claims.

    Attributes:
        head: Claims in the head, by key.
        archives: Archives that have been read or written.
        to_read: Numbers of the archives that have not been read yet.
        to_delete: Numbers of the archives to delete from the store.
    """

    head: dict[KeyHash, Claim] = field(default_factory=dict)
    archives: list[_Archive] = field(default_factory=list)
    to_read: list[int] = field(default_factory=list)
    to_delete: list[int] = field(default_factory=list)


class SlotStateMachine:
    """State machine, without I/O, of one slot in one process.

    The caller executes one store operation at a time: it fetches the
    operation from :meth:`next_operation` and passes the store's response to
    :meth:`handle_response`.

    Args:
        local_owner: This process.
        interval_s: Minimum seconds between two swaps of the head. Claims
            that are submitted meanwhile share the next swap.

    Attributes:
        state: Whether this process owns the slot.
        owner: The slot's owner as last known, or None.
        results: Results of claims that have not been fetched yet.
        recalled_claims: Earlier owners' claims that have not been fetched
            yet.
    """

    def __init__(self, local_owner: SlotOwner, interval_s: float) -> None:
        self.state = SlotState.OTHERS
        self.owner: SlotOwner | None = None
        self.results: list[ClaimResult] = []
        self.recalled_claims: list[Claim] = []
        self._local_owner = local_owner
        self._previous_owner: SlotOwner | None = None
        self._interval_s = interval_s
        self._tags = count(1)
        self._pending: dict[KeyHash, Claim] = {}
        self._in_flight: tuple[Claim, ...] = ()
        self._last_head: SlotHead | None = None
        self._revision = Revision(0)
        self._contents = _SlotContents()
        self._next_write_at = 0.0
        self._archive_failed_at = Revision(-1)
        self._awaiting_response = False

    def acquire(self, previous_owner: SlotOwner | None = None) -> None:
        """Start to acquire the slot, unless the acquisition is under way.

        Args:
            previous_owner: The owner to acquire the slot from; None if the
                slot had none. If the store names another owner by then, the
                slot stays with that owner.
        """
        if self.state is SlotState.OTHERS:
            self.state = SlotState.READING
            self._previous_owner = previous_owner

    @property
    def has_pending(self) -> bool:
        """Whether a submitted claim has no result yet."""
        return bool(self._pending)

    def submit(self, claim: Claim) -> None:
        """Submit a claim to be written; its result goes to ``results``."""
        self._pending[claim.key] = claim

    def cancel(self, key: KeyHash) -> None:
        """Cancel a claim that has no result; its request must not run."""
        self._pending.pop(key, None)
        self._in_flight = tuple(claim for claim in self._in_flight if claim.key != key)

    def discard(self, key: KeyHash) -> None:
        """Discard a claim that has expired or whose request never ran."""
        self._contents.head.pop(key, None)

    def drop_archives(self, remembered_keys: Container[KeyHash]) -> None:
        """Drop the archives that contain no remembered key."""
        kept = []
        for archive in self._contents.archives:
            if any(claim.key in remembered_keys for claim in archive.claims):
                kept.append(archive)
            else:
                self._contents.to_delete.append(archive.number)
        self._contents.archives = kept

    def next_write_time(self) -> float:
        """Return the earliest time of the next swap."""
        return self._next_write_at if self.state is SlotState.OWNED else 0.0

    def next_operation(self, now: float) -> SlotOperation | None:
        """Return the store operation to execute next.

        It is None while an operation is under way or none is needed.
        """
        if self._awaiting_response:
            return None
        operation = self._choose_operation(now)
        self._awaiting_response = operation is not None
        return operation

    def handle_response(
        self, operation: SlotOperation, response: StoreResponse, now: float
    ) -> None:
        """Handle the store's response to the last returned operation."""
        self._awaiting_response = False
        match operation:
            case ReadHead():
                self._on_head_read(response)
            case ReadArchive():
                self._on_archive_read(operation, response)
            case WriteHead():
                self._on_head_written(operation, response)
            case WriteArchive():
                self._on_archive_written(operation, response)
            case DeleteArchive():
                pass

    # Choice of the next operation.

    def _choose_operation(self, now: float) -> SlotOperation | None:
        if not self._pending and self.state is not SlotState.OWNED:
            return None
        match self.state:
            case SlotState.OTHERS:
                return None
            case SlotState.READING | SlotState.SETTLING:
                return ReadHead()
            case SlotState.RECALLING:
                return ReadArchive(self._contents.to_read[0])
            case SlotState.FENCING:
                return self._make_head_write(now)
            case SlotState.OWNED:
                return self._choose_write(now)

    def _choose_write(self, now: float) -> SlotOperation | None:
        contents = self._contents
        if self._pending and now >= self._next_write_at:
            if self._must_archive():
                return WriteArchive(self._revision, tuple(contents.head.values()))
            return self._make_head_write(now)
        assert self._last_head is not None
        for number in contents.to_delete:
            if number not in self._last_head.archives:
                contents.to_delete.remove(number)
                return DeleteArchive(number)
        return None

    def _must_archive(self) -> bool:
        if self._revision == self._archive_failed_at or not self._contents.head:
            return False
        return len(self._contents.head) + len(self._pending) > MAX_HEAD_CLAIMS

    def _make_head_write(self, now: float) -> WriteHead:
        self._next_write_at = now + self._interval_s
        self._in_flight = tuple(self._pending.values())
        claims = {**self._contents.head, **self._pending}
        tag = (
            f"{self._local_owner.node}:{self._local_owner.incarnation}"
            f":{next(self._tags)}"
        )
        self._last_head = SlotHead(
            tag,
            self._local_owner,
            tuple(claims.values()),
            tuple(archive.number for archive in self._contents.archives),
        )
        return WriteHead(self._last_head, self._revision)

    # Responses of the store.

    def _on_head_read(self, response: StoreResponse) -> None:
        if response.outcome is not OperationOutcome.DONE:
            self._refuse_pending()
            return
        if self.state is SlotState.SETTLING:
            self._resolve_write(response)
            return
        if response.head is not None and not self._may_acquire_from(
            response.head.owner
        ):
            # Processes that found the slot without an owner, or its owner
            # ended, at the same time acquire it one after the other. Each
            # would fence off the process before it, and repeats of requests
            # that the fenced process has run would be answered "outcome
            # unknown", although that process still runs and knows their
            # outcomes.
            self._yield_slot(response.head)
            return
        self._revision = response.revision
        self._contents = _SlotContents()
        if response.head is not None:
            self._contents.head = {claim.key: claim for claim in response.head.claims}
            self._contents.to_read = list(response.head.archives)
        self._continue_recalling()

    def _may_acquire_from(self, owner: SlotOwner) -> bool:
        return owner in (self._local_owner, self._previous_owner)

    def _on_archive_read(self, operation: ReadArchive, response: StoreResponse) -> None:
        if response.outcome is not OperationOutcome.DONE:
            self._refuse_pending()
            # A missing archive was dropped by another process that acquired
            # the slot in between, so that process's head must be read.
            self.state = SlotState.READING
            return
        self._contents.to_read.remove(operation.number)
        self._contents.archives.append(_Archive(operation.number, response.claims))
        self._continue_recalling()

    def _continue_recalling(self) -> None:
        unread = bool(self._contents.to_read)
        self.state = SlotState.RECALLING if unread else SlotState.FENCING
        if not unread:
            self._resolve_known_claims()

    def _resolve_known_claims(self) -> None:
        known = dict(self._contents.head)
        for archive in self._contents.archives:
            known.update((claim.key, claim) for claim in archive.claims)
        self.recalled_claims.extend(known.values())
        for key in [key for key in self._pending if key in known]:
            del self._pending[key]
            self.results.append(ClaimResult(key, ClaimOutcome.KNOWN, known[key]))

    def _on_head_written(self, operation: WriteHead, response: StoreResponse) -> None:
        match response.outcome:
            case OperationOutcome.DONE:
                self._confirm_write(operation.head, response.revision)
            case OperationOutcome.CONFLICT | OperationOutcome.UNKNOWN:
                # The conflicting write may be an earlier write of this
                # process whose response was lost.
                self.state = SlotState.SETTLING
            case OperationOutcome.FAILED:
                self._refuse_pending()

    def _resolve_write(self, response: StoreResponse) -> None:
        assert self._last_head is not None
        found = response.head
        if found is not None and found.tag == self._last_head.tag:
            self._confirm_write(found, response.revision)
            return
        if response.revision == self._revision:
            # The write has not taken effect, but it still may. The next
            # write expects the same revision, so only one of the two can
            # take effect, and both contain every claim that they must.
            fenced = found is not None and found.owner == self._local_owner
            self.state = SlotState.OWNED if fenced else SlotState.FENCING
            return
        if found is not None and found.owner == self._local_owner:
            # An earlier write of this process, which was abandoned, has
            # taken effect since. It contains claims whose requests were
            # answered as not run. They are no longer pending, so the next
            # write removes them.
            self._revision = response.revision
            self.state = SlotState.OWNED
            return
        self._yield_slot(found)

    def _confirm_write(self, head: SlotHead, revision: Revision) -> None:
        self._revision = revision
        self.state = SlotState.OWNED
        self.owner = self._local_owner
        for claim in self._in_flight:
            del self._pending[claim.key]
            self._contents.head[claim.key] = claim
            self.results.append(ClaimResult(claim.key, ClaimOutcome.WRITTEN))
        self._in_flight = ()

    def _on_archive_written(
        self, operation: WriteArchive, response: StoreResponse
    ) -> None:
        match response.outcome:
            case OperationOutcome.DONE:
                archive = _Archive(operation.number, operation.claims)
                self._contents.archives.append(archive)
                for claim in operation.claims:
                    self._contents.head.pop(claim.key, None)
            case OperationOutcome.FAILED:
                self._refuse_pending()
            case OperationOutcome.CONFLICT | OperationOutcome.UNKNOWN:
                # The archive's number is the revision of a head that this
                # process wrote, so no other process can have used it. An
                # archive under this number was written by this process, and
                # no head will list it.
                self._archive_failed_at = self._revision
                self._contents.to_delete.append(operation.number)

    def _yield_slot(self, found: SlotHead | None) -> None:
        self.state = SlotState.OTHERS
        self.owner = found.owner if found is not None else None
        self._contents = _SlotContents()
        self._refuse_pending()

    def pop_results(self) -> list[ClaimResult]:
        """Return the results of claims since the last call."""
        results, self.results = self.results, []
        return results

    def pop_recalled_claims(self) -> list[Claim]:
        """Return the earlier owners' claims read since the last call."""
        recalled, self.recalled_claims = self.recalled_claims, []
        return recalled

    def _refuse_pending(self) -> None:
        for key in self._pending:
            self.results.append(ClaimResult(key, ClaimOutcome.REFUSED))
        self._pending.clear()
        self._in_flight = ()


def find_slot(key: KeyHash) -> int:
    """Return the number of the slot that a key belongs to."""
    return int(key[:4], 16) % SLOT_COUNT
