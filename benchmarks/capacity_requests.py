"""The slopes of requests, tokens and claims, kept for the capacity page.

Run as ``python -m benchmarks.capacity_requests [--write]``.
"""

import asyncio

import msgspec

from benchmarks.claim_calls import measure_claim_cost
from benchmarks.measurements import keep_rows
from benchmarks.relay import wait_until_serving
from benchmarks.rig import start_rig
from benchmarks.streaming import measure_tokens

__all__ = ["ClaimRow", "TokenRow"]

_TOKENS = ((16, 1), (64, 1), (64, 4), (64, 16))
_CLAIM_RATES = (5.0, 20.0, 100.0, 440.0, 880.0)


class TokenRow(msgspec.Struct):
    """Processor time of an entry process for one token passed on.

    Attributes:
        streams: Streams at once.
        tokens_a_write: Tokens in each write of the upstream.
        cpu_us: Microseconds a token.
    """

    streams: int
    tokens_a_write: int
    cpu_us: int


class ClaimRow(msgspec.Struct):
    """Store calls for keyed calls.

    Attributes:
        keyed_per_s: Keyed calls a second, over the fleet.
        calls_per_s: Store calls a second.
        written_kb_per_s: Bytes written a second, in thousands.
    """

    keyed_per_s: float
    calls_per_s: float
    written_kb_per_s: float


def _measure_tokens() -> list[TokenRow]:
    rows = []
    with start_rig() as rig:
        asyncio.run(wait_until_serving(rig))
        for streams, a_write in _TOKENS:
            cost = asyncio.run(measure_tokens(rig.entry, streams, a_write))
            rows.append(TokenRow(streams, a_write, round(cost.cpu_us)))
    return rows


def _measure_claims() -> list[ClaimRow]:
    costs = [measure_claim_cost(rate) for rate in _CLAIM_RATES]
    return [
        ClaimRow(
            cost.rate, round(cost.calls_per_s, 1), round(cost.bytes_per_s / 1000, 1)
        )
        for cost in costs
    ]


def main() -> None:
    """Measure and print."""
    keep_rows("tokens", _measure_tokens())
    keep_rows("claims", _measure_claims())


if __name__ == "__main__":
    main()
