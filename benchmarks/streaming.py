"""Processor time a token on the streaming path.

Run as ``python -m benchmarks.streaming``. The upstream sends each stream's
tokens at a steady pace, so many in each write; an entry process and a bare
h11 relay pass them on. Counted beside the time: how many reads the callers
saw for each write of the upstream.
"""

import asyncio
from dataclasses import dataclass

from benchmarks.raw_caller import Load, run_load
from benchmarks.relay import wait_until_serving
from benchmarks.rig import Side, start_rig

__all__ = ["TokenCost", "measure_tokens"]

_WRITES = 40
_TOKEN_BYTES = 40
_PAUSE_MS = 25
_REQUESTS_EACH = 2
_SETTINGS = ((1, 1), (16, 1), (64, 1), (64, 4), (64, 16))


@dataclass(frozen=True, slots=True)
class TokenCost:
    """What one setting costs one process.

    Attributes:
        cpu_us: Processor time a token, in microseconds.
        reads_a_write: Reads of the callers for each write of the upstream.
    """

    cpu_us: float
    reads_a_write: float


async def measure_tokens(side: Side, streams: int, a_write: int) -> TokenCost:
    """Return a process's cost for streams with so many tokens a write."""
    tokens = _WRITES * a_write
    target = f"{side.prefix}/stream/{tokens}/{_TOKEN_BYTES}/{_PAUSE_MS}/{a_write}"
    requests = streams * _REQUESTS_EACH
    before = side.read_cpu()
    load: Load = await run_load(side.address, target, b"x" * 64, streams, requests)
    used = side.read_cpu() - before
    if load.failed:
        raise RuntimeError(f"{side.name}: {load.failed} answers failed")
    # The head and the last event are written beside the tokens.
    writes = (_WRITES + 2) * requests
    return TokenCost(used / (tokens * requests) * 1e6, load.reads / writes)


def main() -> None:
    """Print the table."""
    print("| streams | tokens a write | entry | bare | entry's reads a write |")
    print("| --- | --- | --- | --- | --- |")
    with start_rig() as rig:
        asyncio.run(wait_until_serving(rig))
        for streams, a_write in _SETTINGS:
            entry = asyncio.run(measure_tokens(rig.entry, streams, a_write))
            bare = asyncio.run(measure_tokens(rig.bare, streams, a_write))
            print(
                f"| {streams} | {a_write} | {entry.cpu_us:.0f} us "
                f"| {bare.cpu_us:.0f} us | {entry.reads_a_write:.2f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
