"""Tries now and then whether callers get through to the other entry VMs."""

import asyncio
from collections.abc import Callable

import structlog

from zinniaspool.core.fleet import NodeRecord, ProbeOutcome, ReachabilityTracker
from zinniaspool.core.ids import Address, NodeId, split_address
from zinniaspool.fleet import FleetBelief

__all__ = ["NodeProber", "try_address"]

_log = structlog.get_logger(__name__)

PROBE_S = 0.5
"""Pause between tries, in seconds; one costs some tenths of a millisecond."""

CONNECT_S = 0.3
"""Longest wait for a connection, in seconds: hundreds of round trips within a
region."""


class NodeProber:
    """Keeps up to date which VMs can be reached.

    Args:
        belief: The entry processes that there are.
        own: This VM.
        reachability: What the tries show.
        on_lost: Told of a VM that has become unreachable from here.
    """

    def __init__(
        self,
        belief: FleetBelief,
        own: NodeId,
        reachability: ReachabilityTracker,
        on_lost: Callable[[NodeId], None],
    ) -> None:
        self._belief = belief
        self._own = own
        self._reachability = reachability
        self._on_lost = on_lost

    async def run(self) -> None:
        """Try others until cancelled."""
        while True:
            others = [name for name in self._belief.nodes if name != self._own]
            chosen = self._reachability.choose_probes(others)
            records = [self._belief.nodes[name] for name in chosen]
            await asyncio.gather(asyncio.sleep(PROBE_S), *map(self._try, records))

    async def _try(self, record: NodeRecord) -> None:
        outcome = await try_address(record.caller_address)
        if self._reachability.record_outcome(record.node, outcome):
            _log.warning("node-unreachable", peer=record.node, outcome=outcome.value)
            self._on_lost(record.node)


async def try_address(address: Address) -> ProbeOutcome:
    """Connect as a caller would, and close again."""
    host, port = split_address(address)
    try:
        async with asyncio.timeout(CONNECT_S):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return ProbeOutcome.REFUSED
    except (OSError, TimeoutError):
        return ProbeOutcome.NO_ANSWER
    writer.close()
    return ProbeOutcome.REACHED
