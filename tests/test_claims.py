"""Tests claims of keys in the store, with faults in random order.

Owners of one slot run against a store whose writes may be delayed until after
the head is read again, whose responses may be lost, and which may be
unavailable. Owners are frozen while an operation is under way, and other
owners acquire the slot.
"""

from dataclasses import dataclass, field

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from zinniaspool.core.ids import (
    Address,
    CustomerId,
    IdempotencyKey,
    Incarnation,
    NodeId,
    Revision,
)
from zinniaspool.core.requests.claims import (
    Claim,
    ClaimOutcome,
    DeleteArchive,
    OperationOutcome,
    ReadArchive,
    ReadHead,
    SlotHead,
    SlotOperation,
    SlotOwner,
    SlotState,
    SlotStateMachine,
    StoreResponse,
    WriteArchive,
    WriteHead,
)
from zinniaspool.core.requests.keys import (
    Fingerprint,
    KeyDecision,
    KeyHash,
    KeyLimits,
    KeyTable,
    compute_fingerprint,
    hash_key,
)

_KEYS = [KeyHash(f"k{n}") for n in range(6)]
_BODY = Fingerprint("body")


class _Outcome:
    size = 10


@dataclass
class _Store:
    """A store with the head and the archives of one slot."""

    revision: int = 0
    head: SlotHead | None = None
    archives: dict[int, tuple[Claim, ...]] = field(default_factory=dict)

    def apply(self, operation: SlotOperation) -> StoreResponse:
        match operation:
            case ReadHead():
                return StoreResponse(
                    OperationOutcome.DONE, Revision(self.revision), self.head
                )
            case ReadArchive(number):
                if number not in self.archives:
                    return StoreResponse(OperationOutcome.CONFLICT)
                return StoreResponse(
                    OperationOutcome.DONE, claims=self.archives[number]
                )
            case WriteHead(head, expected):
                if expected != self.revision:
                    return StoreResponse(OperationOutcome.CONFLICT)
                self.revision, self.head = self.revision + 1, head
                return StoreResponse(OperationOutcome.DONE, Revision(self.revision))
            case WriteArchive(number, claims):
                if number in self.archives:
                    return StoreResponse(OperationOutcome.CONFLICT)
                self.archives[number] = claims
                return StoreResponse(OperationOutcome.DONE)
            case DeleteArchive(number):
                self.archives.pop(number, None)
                return StoreResponse(OperationOutcome.DONE)


@dataclass
class _Process:
    """An owner of the slot, with the store operation that is under way."""

    machine: SlotStateMachine
    table: KeyTable[_Outcome] = field(default_factory=lambda: KeyTable(KeyLimits()))
    operation: SlotOperation | None = None
    response: StoreResponse | None = None


def _make_process(number: int) -> _Process:
    owner = SlotOwner(NodeId(f"n{number}"), Incarnation(number), Address("a:1"))
    return _Process(SlotStateMachine(owner, 0.0))


class ClaimsMachine(RuleBasedStateMachine):
    """Checks that each key's request runs at most once over all processes."""

    def __init__(self) -> None:
        super().__init__()
        self.store = _Store()
        self.late_operations: list[SlotOperation] = []
        self.processes = [_make_process(n) for n in range(3)]
        self.started = 3
        self.runs: dict[KeyHash, int] = {}

    @rule(n=st.integers(0, 2), key=st.sampled_from(_KEYS))
    def submit_request(self, n: int, key: KeyHash) -> None:
        process = self.processes[n]
        if process.table.classify(key, _BODY) is KeyDecision.RUN:
            # The slot is also acquired from an owner that still runs, as
            # after a false suspicion.
            head = self.store.head
            process.machine.acquire(head.owner if head is not None else None)
            process.table.record_begun(key, _BODY)
            process.machine.submit(Claim(key, _BODY))

    @rule(n=st.integers(0, 2), key=st.sampled_from(_KEYS))
    def cancel_claim(self, n: int, key: KeyHash) -> None:
        """The caller's deadline passes before its claim has a result."""
        process = self.processes[n]
        process.machine.cancel(key)
        if process.table.classify(key, _BODY) is KeyDecision.WAIT and not self._ran(
            n, key
        ):
            process.table.release(key)

    @rule(n=st.integers(0, 2))
    def begin_operation(self, n: int) -> None:
        process = self.processes[n]
        if process.operation is None:
            process.operation = process.machine.next_operation(0.0)
            process.response = None

    @rule(n=st.integers(0, 2))
    def apply_operation(self, n: int) -> None:
        process = self.processes[n]
        if process.operation is not None and process.response is None:
            process.response = self.store.apply(process.operation)

    @rule(n=st.integers(0, 2))
    def deliver_response(self, n: int) -> None:
        process = self.processes[n]
        if process.operation is not None and process.response is not None:
            self._deliver(process, process.response)

    @rule(n=st.integers(0, 2))
    def lose_response(self, n: int) -> None:
        """The response is lost; the operation took effect, or still may."""
        process = self.processes[n]
        if process.operation is None:
            return
        if process.response is None:
            self.late_operations.append(process.operation)
        self._deliver(process, StoreResponse(OperationOutcome.UNKNOWN))

    @rule()
    def apply_late_operation(self) -> None:
        if self.late_operations:
            self.store.apply(self.late_operations.pop())

    @rule(n=st.integers(0, 2))
    def fail_operation(self, n: int) -> None:
        process = self.processes[n]
        if process.operation is not None and process.response is None:
            self._deliver(process, StoreResponse(OperationOutcome.FAILED))

    @rule(n=st.integers(0, 2))
    def restart(self, n: int) -> None:
        process = self.processes[n]
        if process.operation is not None and process.response is None:
            self.late_operations.append(process.operation)
        self.processes[n] = _make_process(self.started)
        self.started += 1

    @invariant()
    def each_key_ran_at_most_once(self) -> None:
        assert all(count == 1 for count in self.runs.values()), self.runs

    def _deliver(self, process: _Process, response: StoreResponse) -> None:
        assert process.operation is not None
        operation, process.operation, process.response = process.operation, None, None
        process.machine.handle_response(operation, response, 0.0)
        for claim in process.machine.pop_recalled_claims():
            process.table.record_remote(claim.key, claim.fingerprint, 0.0)
        for result in process.machine.pop_results():
            if result.outcome is ClaimOutcome.WRITTEN:
                self.runs[result.key] = self.runs.get(result.key, 0) + 1
                process.table.record_outcome(result.key, _Outcome(), 0.0)
            else:
                process.table.release(result.key)
                if result.outcome is ClaimOutcome.KNOWN:
                    process.table.record_remote(result.key, _BODY, 0.0)

    def _ran(self, n: int, key: KeyHash) -> bool:
        return self.processes[n].table.get_outcome(key) is not None


TestClaims = ClaimsMachine.TestCase
TestClaims.settings = settings(
    max_examples=300, stateful_step_count=60, deadline=None, derandomize=True
)


def _drive(machine: SlotStateMachine, store: _Store, now: float) -> int:
    calls = 0
    while (operation := machine.next_operation(now)) is not None:
        calls += 1
        machine.handle_response(operation, store.apply(operation), now)
    return calls


def test_pending_claims_share_one_swap() -> None:
    store, process = _Store(), _make_process(0)
    process.machine.acquire()
    for n in range(40):
        process.machine.submit(Claim(KeyHash(f"first{n}"), _BODY))
    assert _drive(process.machine, store, 0.0) == 2
    for n in range(40):
        process.machine.submit(Claim(KeyHash(f"second{n}"), _BODY))
    assert _drive(process.machine, store, 1.0) == 1
    ends = {result.outcome for result in process.machine.pop_results()}
    assert ends == {ClaimOutcome.WRITTEN}


def test_archives_bound_the_head_and_are_read_by_a_new_owner() -> None:
    """A new owner knows claims that were archived long before."""
    store, process = _Store(), _make_process(0)
    process.machine.acquire()
    for n in range(1000):
        process.machine.submit(Claim(KeyHash(f"k{n}"), _BODY))
        _drive(process.machine, store, float(n))
        assert store.head is not None and len(store.head.claims) <= 128
    new_owner = _make_process(1)
    assert store.head is not None
    new_owner.machine.acquire(store.head.owner)
    new_owner.machine.submit(Claim(KeyHash("k3"), _BODY))
    _drive(new_owner.machine, store, 0.0)
    assert [result.outcome for result in new_owner.machine.pop_results()] == [
        ClaimOutcome.KNOWN
    ]
    assert len(new_owner.machine.pop_recalled_claims()) == 1000
    # The earlier owner assumes that it owns the slot until its next swap.
    process.machine.pop_results()
    process.machine.submit(Claim(KeyHash("late"), _BODY))
    new_owner.machine.submit(Claim(KeyHash("new"), _BODY))
    _drive(new_owner.machine, store, 0.0)
    _drive(process.machine, store, 5000.0)
    (result,) = process.machine.pop_results()
    assert result.outcome is ClaimOutcome.REFUSED
    assert process.machine.state is SlotState.OTHERS


def test_a_slot_acquired_concurrently_stays_with_the_first_owner() -> None:
    """Two processes find the slot without an owner at the same time.

    If the second process acquired the slot from the first one, repeats of the
    first process's requests would be answered "outcome unknown", although the
    first process still runs. So the second one learns who the owner is.
    """
    store, first, second = _Store(), _make_process(0), _make_process(1)
    for process, key in ((first, "k1"), (second, "k2")):
        process.machine.acquire(None)
        process.machine.submit(Claim(KeyHash(key), _BODY))
        _drive(process.machine, store, 0.0)
    assert store.head is not None
    assert second.machine.owner == store.head.owner == first.machine.owner
    (result,) = second.machine.pop_results()
    assert result.outcome is ClaimOutcome.REFUSED
    second.machine.acquire(store.head.owner)
    second.machine.submit(Claim(KeyHash("k2"), _BODY))
    _drive(second.machine, store, 0.0)
    assert [result.outcome for result in second.machine.pop_results()] == [
        ClaimOutcome.WRITTEN
    ]


def test_a_late_write_does_not_confirm_a_later_write() -> None:
    """A claim counts only if the very write that contains it is found.

    The response to the first write is lost, and the next read of the head
    does not find that write. It takes effect just before the second write,
    which therefore fails. The head then contains a write of this process, but
    not the write with the second claim.
    """
    store, process = _Store(), _make_process(0)
    machine = process.machine
    machine.acquire()
    machine.submit(Claim(KeyHash("first"), _BODY))
    operation = machine.next_operation(0.0)
    assert isinstance(operation, ReadHead)
    machine.handle_response(operation, store.apply(operation), 0.0)
    late = machine.next_operation(0.0)
    assert isinstance(late, WriteHead)
    machine.handle_response(late, StoreResponse(OperationOutcome.UNKNOWN), 0.0)
    operation = machine.next_operation(0.0)
    assert isinstance(operation, ReadHead)
    machine.handle_response(operation, store.apply(operation), 0.0)
    machine.submit(Claim(KeyHash("second"), _BODY))
    second = machine.next_operation(0.0)
    assert isinstance(second, WriteHead)
    store.apply(late)
    machine.handle_response(second, store.apply(second), 0.0)
    operation = machine.next_operation(0.0)
    assert isinstance(operation, ReadHead)
    machine.handle_response(operation, store.apply(operation), 0.0)
    assert machine.pop_results() == []
    _drive(machine, store, 1.0)
    assert store.head is not None
    assert {claim.key for claim in store.head.claims} == {"first", "second"}
    assert [result.outcome for result in machine.pop_results()] == [
        ClaimOutcome.WRITTEN
    ] * 2


def test_a_lost_response_to_an_archive_write_blocks_no_claim() -> None:
    store, process = _Store(), _make_process(0)
    machine = process.machine
    machine.acquire()
    lost = 0
    for n in range(200):
        machine.submit(Claim(KeyHash(f"k{n}"), _BODY))
        while (operation := machine.next_operation(float(n))) is not None:
            response = store.apply(operation)
            if isinstance(operation, WriteArchive) and not lost:
                lost, response = 1, StoreResponse(OperationOutcome.UNKNOWN)
            machine.handle_response(operation, response, float(n))
        assert [result.outcome for result in machine.pop_results()] == [
            ClaimOutcome.WRITTEN
        ]
    assert store.head is not None
    assert len(store.archives) == len(store.head.archives) == 1


def test_archives_without_remembered_keys_are_deleted() -> None:
    store, process = _Store(), _make_process(0)
    process.machine.acquire()
    for n in range(600):
        process.machine.submit(Claim(KeyHash(f"k{n}"), _BODY))
        _drive(process.machine, store, float(n))
    for n in range(600):
        process.machine.discard(KeyHash(f"k{n}"))
    process.machine.drop_archives(())
    process.machine.submit(Claim(KeyHash("new"), _BODY))
    _drive(process.machine, store, 601.0)
    assert store.head is not None
    assert (store.archives, len(store.head.claims)) == ({}, 1)


def test_outcomes_are_dropped_before_keys() -> None:
    """A repeat of a request whose outcome was dropped does not run again.

    More outcomes are recorded than the table may store. If a key were removed
    together with its outcome, the next repeat would run as a new request.
    """
    table: KeyTable[_Outcome] = KeyTable(KeyLimits(10.0, 100, 35))
    for key in _KEYS:
        table.record_begun(key, _BODY)
        table.record_outcome(key, _Outcome(), 0.0)
    decisions = [table.classify(key, _BODY) for key in _KEYS]
    assert decisions == [KeyDecision.DROPPED] * 3 + [KeyDecision.REPEAT] * 3
    assert table.classify(_KEYS[0], Fingerprint("other")) is KeyDecision.REUSED
    assert table.expire(10.0) == _KEYS


def test_customers_do_not_share_keys() -> None:
    key = IdempotencyKey("bill-7")
    assert hash_key(CustomerId("a"), key) != hash_key(CustomerId("b"), key)
    shifted = hash_key(CustomerId("a1"), IdempotencyKey("2"))
    assert shifted != hash_key(CustomerId("a"), IdempotencyKey("12"))
    assert compute_fingerprint("/a", b"b") != compute_fingerprint("/a", b"c")
