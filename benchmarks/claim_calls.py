"""Store calls of a keyed call, by the rate of keyed calls.

The slots of claims are driven on a virtual clock against a store that takes
five milliseconds; each slot has one owner. Run as
``python -m benchmarks.claim_calls``.
"""

import heapq
import random
from collections import Counter
from dataclasses import dataclass

from zinniaspool.core.ids import (
    Address,
    CustomerId,
    IdempotencyKey,
    Incarnation,
    NodeId,
    Revision,
)
from zinniaspool.core.requests.claims import (
    SLOT_COUNT,
    Claim,
    ClaimOutcome,
    OperationOutcome,
    ReadHead,
    SlotOperation,
    SlotOwner,
    SlotStateMachine,
    StoreResponse,
    WriteArchive,
    WriteHead,
    find_slot,
)
from zinniaspool.core.requests.keys import (
    KeyLimits,
    KeyTable,
    compute_fingerprint,
    hash_key,
)

__all__ = ["ClaimCost", "measure_claim_cost"]

_STORE_S = 0.005
_STEP_S = 0.005
_LENGTH_S = 60.0


@dataclass(frozen=True, slots=True)
class ClaimCost:
    """What keyed calls cost the store.

    Attributes:
        rate: Keyed calls a second.
        calls: Store calls a keyed call.
        calls_per_s: Store calls a second.
        bytes_per_s: Bytes written a second.
        wait_p50_s: Time until half of the claims are written.
        wait_p99_s: Time until 99 in 100 are.
    """

    rate: float
    calls: float
    calls_per_s: float
    bytes_per_s: float
    wait_p50_s: float
    wait_p99_s: float


@dataclass(slots=True)
class _Slot:
    machine: SlotStateMachine
    revision: int = 0
    operation: SlotOperation | None = None


@dataclass(slots=True)
class _Run:
    slots: list[_Slot]
    source: random.Random
    asked: dict[str, float]
    waits: list[float]
    calls: Counter[str]
    written: int = 0


def measure_claim_cost(
    rate: float, writes_per_s: float = 200.0, retention_s: float = 30.0
) -> ClaimCost:
    """Return the cost at a rate of keyed calls.

    Args:
        rate: Keyed calls a second, over the fleet.
        writes_per_s: Most swaps a second that the slots are allowed.
        retention_s: How long claims are kept; short, so that a run of a
            minute sees archives go as well.
    """
    owner = SlotOwner(NodeId("n"), Incarnation(1), Address("a:1"))
    slots = [
        _Slot(SlotStateMachine(owner, SLOT_COUNT / writes_per_s))
        for _ in range(SLOT_COUNT)
    ]
    run = _Run(slots, random.Random(1), {}, [], Counter())
    for slot in slots:
        slot.machine.acquire()
    table: KeyTable[_Nothing] = KeyTable(KeyLimits(retention_s=retention_s))
    arrivals = _make_arrivals(run.source, rate)
    events: list[tuple[float, int]] = []
    now = forgotten = 0.0
    while now < _LENGTH_S:
        while arrivals and arrivals[-1] <= now:
            _ask(run, table, arrivals.pop(), len(arrivals))
        while events and events[0][0] <= now:
            _answer(run, run.slots[heapq.heappop(events)[1]], table, now)
        if now - forgotten >= 5.0:
            forgotten = now
            for key in table.expire(now):
                run.slots[find_slot(key)].machine.discard(key)
            for slot in run.slots:
                slot.machine.drop_archives(table)
        for number, slot in enumerate(run.slots):
            if slot.operation is None:
                slot.operation = slot.machine.next_operation(now)
                if slot.operation is not None:
                    heapq.heappush(events, (now + _STORE_S, number))
        now += _STEP_S
    return _sum_up(run, rate)


class _Nothing:
    size = 0


def _make_arrivals(source: random.Random, rate: float) -> list[float]:
    arrivals, when = [], 0.0
    while when < _LENGTH_S - 2.0:
        when += source.expovariate(rate)
        arrivals.append(when)
    return arrivals[::-1]


def _ask(run: _Run, table: KeyTable[_Nothing], when: float, number: int) -> None:
    key = hash_key(CustomerId("care"), IdempotencyKey(f"key-{number}"))
    fingerprint = compute_fingerprint("/send", str(number).encode())
    run.asked[key] = when
    table.record_begun(key, fingerprint)
    run.slots[find_slot(key)].machine.submit(Claim(key, fingerprint))


def _answer(run: _Run, slot: _Slot, table: KeyTable[_Nothing], now: float) -> None:
    operation = slot.operation
    assert operation is not None
    slot.operation = None
    run.calls[type(operation).__name__] += 1
    answer = StoreResponse(OperationOutcome.DONE)
    match operation:
        case ReadHead():
            answer = StoreResponse(OperationOutcome.DONE, Revision(slot.revision))
        case WriteHead(head):
            slot.revision += 1
            run.written += 60 * len(head.claims) + 120
            answer = StoreResponse(OperationOutcome.DONE, Revision(slot.revision))
        case WriteArchive(_, claims):
            run.written += 60 * len(claims)
        case _:
            run.calls["read before delete"] += 1
    slot.machine.handle_response(operation, answer, now)
    for settled in slot.machine.pop_results():
        assert settled.outcome is ClaimOutcome.WRITTEN
        run.waits.append(now - run.asked.pop(settled.key))
        table.record_outcome(settled.key, _Nothing(), now)


def _sum_up(run: _Run, rate: float) -> ClaimCost:
    waits = sorted(run.waits)
    calls = sum(run.calls.values())
    return ClaimCost(
        rate,
        calls / len(waits),
        calls / _LENGTH_S,
        run.written / _LENGTH_S,
        waits[len(waits) // 2],
        waits[int(len(waits) * 0.99)],
    )


def main() -> None:
    """Print the table."""
    print("keyed/s | calls a call | calls/s | written kB/s | p50 ms | p99 ms")
    for rate in (5, 20, 100, 440, 880):
        cost = measure_claim_cost(rate)
        row = f"{cost.rate:7.0f} | {cost.calls:12.2f} | {cost.calls_per_s:7.1f} | "
        row += f"{cost.bytes_per_s / 1000:12.1f} | {cost.wait_p50_s * 1000:6.0f} | "
        print(row + f"{cost.wait_p99_s * 1000:6.0f}")


if __name__ == "__main__":
    main()
