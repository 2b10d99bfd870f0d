"""Claims of keys in the store: random orders of everything that can go wrong.

Owners of one slot are driven against a store whose writes may be delayed
past a read-back, whose answers may be lost, and which may be out; owners are
frozen with an operation on its way, and other owners take the slot over.
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
    ClaimEnd,
    DeleteArchive,
    OperationEnd,
    ReadArchive,
    ReadHead,
    SlotHead,
    SlotMachine,
    SlotOperation,
    SlotOwner,
    SlotState,
    StoreAnswer,
    WriteArchive,
    WriteHead,
)
from zinniaspool.core.requests.keys import (
    Fingerprint,
    KeyHash,
    KeyLimits,
    KeyTable,
    KeyVerdict,
    hash_key,
    take_fingerprint,
)

_KEYS = [KeyHash(f"k{n}") for n in range(6)]
_BODY = Fingerprint("body")


class _Kept:
    size = 10


@dataclass
class _Store:
    """One slot's head and archives."""

    revision: int = 0
    head: SlotHead | None = None
    archives: dict[int, tuple[Claim, ...]] = field(default_factory=dict)

    def apply(self, operation: SlotOperation) -> StoreAnswer:
        match operation:
            case ReadHead():
                return StoreAnswer(
                    OperationEnd.DONE, Revision(self.revision), self.head
                )
            case ReadArchive(number):
                if number not in self.archives:
                    return StoreAnswer(OperationEnd.CONFLICT)
                return StoreAnswer(OperationEnd.DONE, claims=self.archives[number])
            case WriteHead(head, expected):
                if expected != self.revision:
                    return StoreAnswer(OperationEnd.CONFLICT)
                self.revision, self.head = self.revision + 1, head
                return StoreAnswer(OperationEnd.DONE, Revision(self.revision))
            case WriteArchive(number, claims):
                if number in self.archives:
                    return StoreAnswer(OperationEnd.CONFLICT)
                self.archives[number] = claims
                return StoreAnswer(OperationEnd.DONE)
            case DeleteArchive(number):
                self.archives.pop(number, None)
                return StoreAnswer(OperationEnd.DONE)


@dataclass
class _Process:
    """An owner as the shell drives it, with the store call on its way."""

    machine: SlotMachine
    table: KeyTable[_Kept] = field(default_factory=lambda: KeyTable(KeyLimits()))
    calling: SlotOperation | None = None
    answer: StoreAnswer | None = None


def _make_process(number: int) -> _Process:
    owner = SlotOwner(NodeId(f"n{number}"), Incarnation(number), Address("a:1"))
    return _Process(SlotMachine(owner, 0.0))


class ClaimsMachine(RuleBasedStateMachine):
    """Every key's request runs at most once, whoever is asked."""

    def __init__(self) -> None:
        super().__init__()
        self.store = _Store()
        self.late: list[SlotOperation] = []
        self.processes = [_make_process(n) for n in range(3)]
        self.started = 3
        self.runs: dict[KeyHash, int] = {}

    @rule(n=st.integers(0, 2), key=st.sampled_from(_KEYS))
    def ask(self, n: int, key: KeyHash) -> None:
        process = self.processes[n]
        if process.table.judge(key, _BODY) is KeyVerdict.RUN:
            # Also from an owner that lives: a false suspicion.
            head = self.store.head
            process.machine.take(head.owner if head is not None else None)
            process.table.begin(key, _BODY)
            process.machine.want(Claim(key, _BODY))

    @rule(n=st.integers(0, 2), key=st.sampled_from(_KEYS))
    def give_up(self, n: int, key: KeyHash) -> None:
        """The caller's time is over before its claim is settled."""
        process = self.processes[n]
        process.machine.withdraw(key)
        if process.table.judge(key, _BODY) is KeyVerdict.WAIT and not self._ran(n, key):
            process.table.release(key)

    @rule(n=st.integers(0, 2))
    def call_store(self, n: int) -> None:
        process = self.processes[n]
        if process.calling is None:
            process.calling = process.machine.next_operation(0.0)
            process.answer = None

    @rule(n=st.integers(0, 2))
    def take_effect(self, n: int) -> None:
        process = self.processes[n]
        if process.calling is not None and process.answer is None:
            process.answer = self.store.apply(process.calling)

    @rule(n=st.integers(0, 2))
    def answer(self, n: int) -> None:
        process = self.processes[n]
        if process.calling is not None and process.answer is not None:
            self._hand_answer(process, process.answer)

    @rule(n=st.integers(0, 2))
    def lose_answer(self, n: int) -> None:
        """The answer is lost; the write has taken effect, or yet may."""
        process = self.processes[n]
        if process.calling is None:
            return
        if process.answer is None:
            self.late.append(process.calling)
        self._hand_answer(process, StoreAnswer(OperationEnd.UNKNOWN))

    @rule()
    def take_late_effect(self) -> None:
        if self.late:
            self.store.apply(self.late.pop())

    @rule(n=st.integers(0, 2))
    def refuse(self, n: int) -> None:
        process = self.processes[n]
        if process.calling is not None and process.answer is None:
            self._hand_answer(process, StoreAnswer(OperationEnd.FAILED))

    @rule(n=st.integers(0, 2))
    def restart(self, n: int) -> None:
        process = self.processes[n]
        if process.calling is not None and process.answer is None:
            self.late.append(process.calling)
        self.processes[n] = _make_process(self.started)
        self.started += 1

    @invariant()
    def each_key_ran_at_most_once(self) -> None:
        assert all(count == 1 for count in self.runs.values()), self.runs

    def _hand_answer(self, process: _Process, answer: StoreAnswer) -> None:
        assert process.calling is not None
        operation, process.calling, process.answer = process.calling, None, None
        process.machine.take_answer(operation, answer, 0.0)
        for claim in process.machine.take_recalled():
            process.table.recall(claim.key, claim.fingerprint, 0.0)
        for settled in process.machine.take_settled():
            if settled.end is ClaimEnd.WRITTEN:
                self.runs[settled.key] = self.runs.get(settled.key, 0) + 1
                process.table.finish(settled.key, _Kept(), 0.0)
            else:
                process.table.release(settled.key)
                if settled.end is ClaimEnd.KNOWN:
                    process.table.recall(settled.key, _BODY, 0.0)

    def _ran(self, n: int, key: KeyHash) -> bool:
        return self.processes[n].table.get_outcome(key) is not None


TestClaims = ClaimsMachine.TestCase
TestClaims.settings = settings(
    max_examples=300, stateful_step_count=60, deadline=None, derandomize=True
)


def _drive(machine: SlotMachine, store: _Store, now: float) -> int:
    calls = 0
    while (operation := machine.next_operation(now)) is not None:
        calls += 1
        machine.take_answer(operation, store.apply(operation), now)
    return calls


def test_claims_that_gather_share_one_swap() -> None:
    store, process = _Store(), _make_process(0)
    process.machine.take()
    for n in range(40):
        process.machine.want(Claim(KeyHash(f"first{n}"), _BODY))
    assert _drive(process.machine, store, 0.0) == 2
    for n in range(40):
        process.machine.want(Claim(KeyHash(f"second{n}"), _BODY))
    assert _drive(process.machine, store, 1.0) == 1
    ends = {settled.end for settled in process.machine.take_settled()}
    assert ends == {ClaimEnd.WRITTEN}


def test_archives_bound_the_head_and_are_recalled() -> None:
    """A new owner knows claims that left the head long before."""
    store, process = _Store(), _make_process(0)
    process.machine.take()
    for n in range(1000):
        process.machine.want(Claim(KeyHash(f"k{n}"), _BODY))
        _drive(process.machine, store, float(n))
        assert store.head is not None and len(store.head.claims) <= 128
    heir = _make_process(1)
    assert store.head is not None
    heir.machine.take(store.head.owner)
    heir.machine.want(Claim(KeyHash("k3"), _BODY))
    _drive(heir.machine, store, 0.0)
    assert [settled.end for settled in heir.machine.take_settled()] == [ClaimEnd.KNOWN]
    assert len(heir.machine.take_recalled()) == 1000
    # The owner before believes the slot to be its own until it swaps.
    process.machine.take_settled()
    process.machine.want(Claim(KeyHash("late"), _BODY))
    heir.machine.want(Claim(KeyHash("new"), _BODY))
    _drive(heir.machine, store, 0.0)
    _drive(process.machine, store, 5000.0)
    (settled,) = process.machine.take_settled()
    assert settled.end is ClaimEnd.REFUSED
    assert process.machine.state is SlotState.OTHERS


def test_a_slot_taken_in_the_same_moment_stays_with_the_first() -> None:
    """A process that also saw the slot free asks the first one from then on.

    Were it to take the slot over, repeats of what the first one has run
    would be told "outcome unknown", though the first one lives.
    """
    store, first, second = _Store(), _make_process(0), _make_process(1)
    for process, key in ((first, "k1"), (second, "k2")):
        process.machine.take(None)
        process.machine.want(Claim(KeyHash(key), _BODY))
        _drive(process.machine, store, 0.0)
    assert store.head is not None
    assert second.machine.owner == store.head.owner == first.machine.owner
    (settled,) = second.machine.take_settled()
    assert settled.end is ClaimEnd.REFUSED
    second.machine.take(store.head.owner)
    second.machine.want(Claim(KeyHash("k2"), _BODY))
    _drive(second.machine, store, 0.0)
    assert [settled.end for settled in second.machine.take_settled()] == [
        ClaimEnd.WRITTEN
    ]


def test_a_late_write_of_ones_own_does_not_confirm_a_later_one() -> None:
    """A claim counts only when the very write that holds it is found.

    The first write's answer is lost and a read-back does not find it; it
    takes effect just before the second write, which therefore fails. What
    is then found is an own write, but not the one with the second claim.
    """
    store, process = _Store(), _make_process(0)
    machine = process.machine
    machine.take()
    machine.want(Claim(KeyHash("first"), _BODY))
    operation = machine.next_operation(0.0)
    assert isinstance(operation, ReadHead)
    machine.take_answer(operation, store.apply(operation), 0.0)
    late = machine.next_operation(0.0)
    assert isinstance(late, WriteHead)
    machine.take_answer(late, StoreAnswer(OperationEnd.UNKNOWN), 0.0)
    operation = machine.next_operation(0.0)
    assert isinstance(operation, ReadHead)
    machine.take_answer(operation, store.apply(operation), 0.0)
    machine.want(Claim(KeyHash("second"), _BODY))
    second = machine.next_operation(0.0)
    assert isinstance(second, WriteHead)
    store.apply(late)
    machine.take_answer(second, store.apply(second), 0.0)
    operation = machine.next_operation(0.0)
    assert isinstance(operation, ReadHead)
    machine.take_answer(operation, store.apply(operation), 0.0)
    assert machine.take_settled() == []
    _drive(machine, store, 1.0)
    assert store.head is not None
    assert {claim.key for claim in store.head.claims} == {"first", "second"}
    assert [settled.end for settled in machine.take_settled()] == [ClaimEnd.WRITTEN] * 2


def test_an_archive_whose_answer_was_lost_holds_nothing_up() -> None:
    store, process = _Store(), _make_process(0)
    machine = process.machine
    machine.take()
    lost = 0
    for n in range(200):
        machine.want(Claim(KeyHash(f"k{n}"), _BODY))
        while (operation := machine.next_operation(float(n))) is not None:
            answer = store.apply(operation)
            if isinstance(operation, WriteArchive) and not lost:
                lost, answer = 1, StoreAnswer(OperationEnd.UNKNOWN)
            machine.take_answer(operation, answer, float(n))
        assert [settled.end for settled in machine.take_settled()] == [ClaimEnd.WRITTEN]
    assert store.head is not None
    assert len(store.archives) == len(store.head.archives) == 1


def test_archives_go_when_nothing_in_them_is_remembered() -> None:
    store, process = _Store(), _make_process(0)
    process.machine.take()
    for n in range(600):
        process.machine.want(Claim(KeyHash(f"k{n}"), _BODY))
        _drive(process.machine, store, float(n))
    for n in range(600):
        process.machine.forget(KeyHash(f"k{n}"))
    process.machine.drop_archives(())
    process.machine.want(Claim(KeyHash("new"), _BODY))
    _drive(process.machine, store, 601.0)
    assert store.head is not None
    assert (store.archives, len(store.head.claims)) == ({}, 1)


def test_answers_are_dropped_before_keys_are() -> None:
    """A repeat reads that the answer is gone; it never runs again.

    More answers end than may be kept. Forgetting a key with its answer
    would make the next repeat a new request.
    """
    table: KeyTable[_Kept] = KeyTable(KeyLimits(10.0, 100, 35))
    for key in _KEYS:
        table.begin(key, _BODY)
        table.finish(key, _Kept(), 0.0)
    verdicts = [table.judge(key, _BODY) for key in _KEYS]
    assert verdicts == [KeyVerdict.DROPPED] * 3 + [KeyVerdict.REPEAT] * 3
    assert table.judge(_KEYS[0], Fingerprint("other")) is KeyVerdict.REUSED
    assert table.expire(10.0) == _KEYS


def test_customers_do_not_share_keys() -> None:
    key = IdempotencyKey("bill-7")
    assert hash_key(CustomerId("a"), key) != hash_key(CustomerId("b"), key)
    shifted = hash_key(CustomerId("a1"), IdempotencyKey("2"))
    assert shifted != hash_key(CustomerId("a"), IdempotencyKey("12"))
    assert take_fingerprint("/a", b"b") != take_fingerprint("/a", b"c")
