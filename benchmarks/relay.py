"""How an entry process compares with a bare h11 relay, in one run.

Run as ``python -m benchmarks.relay``. Both relays, the upstream and the
callers are processes of their own; rounds alternate between the relays so
that both meet the same noise. Ratios are medians over the rounds.
"""

import asyncio
import statistics
import sys
from dataclasses import dataclass

from benchmarks.raw_caller import Load, run_load
from benchmarks.rig import Rig, Side, start_rig

__all__ = ["SHAPES", "Comparison", "Shape", "compare", "measure", "wait_until_serving"]

_CONNECTIONS = 32
_ROUNDS = 5
_READY_S = 30.0
_LOOK_S = 0.1


@dataclass(frozen=True, slots=True)
class Shape:
    """One kind of request.

    Attributes:
        name: For the table.
        target: What the upstream is asked for.
        body: What the caller sends.
        requests: How many a round.
    """

    name: str
    target: str
    body: bytes
    requests: int


SHAPES = (
    Shape("plain, 1 kB", "/plain/1024", b"x" * 1024, 3200),
    Shape("plain, 64 kB", "/plain/65536", b"x" * 65536, 1600),
    Shape("stream, 1 kB in 16 events", "/stream/16/64/0", b"x" * 1024, 1600),
    Shape("stream, 64 kB in 64 events", "/stream/64/1024/0", b"x" * 1024, 640),
)


@dataclass(frozen=True, slots=True)
class Comparison:
    """One shape's figures.

    Attributes:
        shape: Which.
        rate: The entry process's requests a second against the bare relay's.
        cpu: The bare relay's processor time a request against the entry
            process's.
        added_p50: The entry process's added time against the bare relay's.
        added_p99: The same at the 99th percentile.
        entry_rate: Requests a second.
        entry_cpu_us: Processor time a request, in microseconds.
    """

    shape: Shape
    rate: float
    cpu: float
    added_p50: float
    added_p99: float
    entry_rate: float
    entry_cpu_us: float


@dataclass(frozen=True, slots=True)
class _Measured:
    load: Load
    cpu_s: float


async def measure(side: Side, shape: Shape, connections: int, requests: int) -> Load:
    """Return what a load of one shape saw.

    Raises:
        RuntimeError: An answer failed.
    """
    target = side.prefix + shape.target
    load = await run_load(side.address, target, shape.body, connections, requests)
    if load.failed:
        raise RuntimeError(f"{side.name}: {load.failed} answers failed")
    return load


async def _measure_cpu(side: Side, shape: Shape, requests: int) -> _Measured:
    before = side.read_cpu()
    load = await measure(side, shape, _CONNECTIONS, requests)
    return _Measured(load, (side.read_cpu() - before) / requests)


async def wait_until_serving(rig: Rig) -> None:
    """Wait until both relays answer.

    Raises:
        TimeoutError: One does not.
    """
    async with asyncio.timeout(_READY_S):
        for side in (rig.direct, rig.bare, rig.entry):
            while not await _answers(side):  # noqa: ASYNC110 - nothing tells
                await asyncio.sleep(_LOOK_S)


async def _answers(side: Side) -> bool:
    try:
        load = await run_load(side.address, side.prefix + "/plain/1", b"x", 1, 1)
    except OSError:
        return False
    return not load.failed


async def compare(rig: Rig, shape: Shape, rounds: int = _ROUNDS) -> Comparison:
    """Return one shape's figures.

    Rates and processor time are taken with many connections, added times
    with one, where nothing queues.
    """
    for side in (rig.entry, rig.bare):
        await measure(side, shape, _CONNECTIONS, shape.requests // 4)
    entry, bare, added = [], [], []
    for _ in range(rounds):
        entry.append(await _measure_cpu(rig.entry, shape, shape.requests))
        bare.append(await _measure_cpu(rig.bare, shape, shape.requests))
        single = [
            await measure(side, shape, 1, shape.requests // 8)
            for side in (rig.direct, rig.entry, rig.bare)
        ]
        added.append(single)
    pairs = list(zip(entry, bare, strict=True))
    return Comparison(
        shape,
        statistics.median(e.load.rate / b.load.rate for e, b in pairs),
        statistics.median(b.cpu_s / e.cpu_s for e, b in pairs),
        statistics.median(_compare_added(one, 0.5) for one in added),
        statistics.median(_compare_added(one, 0.99) for one in added),
        statistics.median(e.load.rate for e in entry),
        statistics.median(e.cpu_s for e in entry) * 1e6,
    )


def _compare_added(loads: list[Load], part: float) -> float:
    direct, entry, bare = (load.quantile(part) for load in loads)
    return (entry - direct) / max(bare - direct, 1e-6)


def main() -> None:
    """Print the table."""
    rounds = int(sys.argv[1]) if len(sys.argv) > 1 else _ROUNDS
    print("| request | rate | processor time | added p50 | added p99 | entry |")
    print("| --- | --- | --- | --- | --- | --- |")
    with start_rig() as rig:
        asyncio.run(wait_until_serving(rig))
        for shape in SHAPES:
            found = asyncio.run(compare(rig, shape, rounds))
            print(
                f"| {shape.name} | {found.rate:.2f} | {found.cpu:.2f} "
                f"| {found.added_p50:.2f} | {found.added_p99:.2f} "
                f"| {found.entry_rate:.0f}/s, {found.entry_cpu_us:.0f} us |",
                flush=True,
            )


if __name__ == "__main__":
    main()
