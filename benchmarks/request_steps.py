"""Work of the core for one request, by the number of upstreams.

Run as ``python -m benchmarks.request_steps``.
"""

import random
import sys
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from types import FrameType
from typing import Any

from zinniaspool.core.errors import Fault
from zinniaspool.core.ids import Address, CustomerId, FailureDomainId, UpstreamId
from zinniaspool.core.requests import (
    Admission,
    AttemptOutcome,
    Attempts,
    CustomerShare,
    PeerCounts,
    RetryBudget,
    RetryTerms,
    Upstream,
    UpstreamPool,
    UpstreamReport,
    compute_local_shares,
    hash_prefix,
)

__all__ = ["RequestWork", "measure_request_work"]

_CARE = CustomerId("care")
_SLOTS = 8
_REQUESTS = 400
_BODY = b"x" * 1024


@dataclass(frozen=True, slots=True)
class RequestWork:
    """What one request costs the core.

    Attributes:
        upstreams: How many there are.
        calls: Function calls, of Python and of C.
        bytes: Largest number of bytes allocated at a time.
    """

    upstreams: int
    calls: float
    bytes: float


def measure_request_work(upstreams: int) -> RequestWork:
    """Return the work of a request: admission, choice, attempt, end."""
    run = _prepare(upstreams)
    for _ in range(_REQUESTS):
        run()
    return RequestWork(upstreams, _count_calls(run), _measure_bytes(run))


def _prepare(upstreams: int) -> Callable[[], None]:
    source = random.Random(1)
    pool = UpstreamPool(source, FailureDomainId("d0"))
    pool.sync(
        (
            UpstreamReport(
                Upstream(
                    UpstreamId(f"u{n}"),
                    Address(f"u{n}"),
                    FailureDomainId(f"d{n % 3}"),
                    _SLOTS,
                ),
                load=source.randrange(_SLOTS),
            )
            for n in range(upstreams)
        ),
        0.0,
    )
    admission = Admission()
    shares = tuple(
        CustomerShare(CustomerId(f"c{n}"), upstreams // 10, 1) for n in range(9)
    )
    shares += (CustomerShare(_CARE, upstreams // 10, 1),)
    local = compute_local_shares(pool.slots, shares, {}, {}, PeerCounts(8, 8, 0))
    admission.set_shares(local, {}, 0.0)
    budget = RetryBudget()
    clock = iter(range(1, 10_000_000))

    def run() -> None:
        now = next(clock) * 0.01
        ticket = admission.submit(_CARE, 3, now + 10.0, now)
        assert not isinstance(ticket, Fault)
        budget.deposit()
        attempts = Attempts(RetryTerms(True, now + 10.0), budget)
        state = pool.choose(now, hash_prefix(b"salt", _BODY))
        assert state is not None
        attempts.begin(now)
        pool.begin(state, now)
        pool.record_load(state, 3, now - 0.5, now)
        pool.end(state, now + 0.5, AttemptOutcome.ANSWERED, 0.1, 0.5)
        admission.end(ticket, now + 0.5, answered=True)

    return run


def _count_calls(run: Callable[[], None]) -> float:
    calls = 0

    def profile(frame: FrameType, event: str, arg: Any) -> None:
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(profile)
    try:
        for _ in range(_REQUESTS):
            run()
    finally:
        sys.setprofile(None)
    return calls / _REQUESTS


def _measure_bytes(run: Callable[[], None]) -> float:
    total = 0
    tracemalloc.start()
    try:
        for _ in range(_REQUESTS):
            tracemalloc.reset_peak()
            before, _ = tracemalloc.get_traced_memory()
            run()
            _, peak = tracemalloc.get_traced_memory()
            total += peak - before
    finally:
        tracemalloc.stop()
    return total / _REQUESTS


def main() -> None:
    """Print the table."""
    print("upstreams | calls a request | bytes a request")
    for upstreams in (65, 150, 300, 600):
        work = measure_request_work(upstreams)
        print(f"{work.upstreams:9d} | {work.calls:15.1f} | {work.bytes:.0f}")


if __name__ == "__main__":
    main()
