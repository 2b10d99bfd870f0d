"""Probes whether callers can reach the other entry VMs.

A probe connects to the address that callers use. The directory leaves out the
VMs that can't be reached.
"""

import asyncio
from collections.abc import Callable

import structlog

from zinniaspool.core.fleet import NodeRecord, ProbeOutcome, ReachabilityTracker
from zinniaspool.core.ids import Address, NodeId, split_address
from zinniaspool.fleet import FleetView

__all__ = ["NodeProber", "probe_address"]

_log = structlog.get_logger(__name__)

PROBE_INTERVAL_S = 0.5
"""Pause between probes, in seconds. A probe costs a few tenths of a
millisecond."""

CONNECT_TIMEOUT_S = 0.3
"""Longest wait for a connection, in seconds: hundreds of round trips within a
region."""


class NodeProber:
    """Probes the other entry VMs and records which of them can be reached.

    Args:
        fleet_view: Has the records of the other entry processes.
        local_node: This VM.
        reachability: Chooses the VMs to probe, and keeps the outcomes.
        on_unreachable: Called with a VM that has become unreachable from here.
    """

    def __init__(
        self,
        fleet_view: FleetView,
        local_node: NodeId,
        reachability: ReachabilityTracker,
        on_unreachable: Callable[[NodeId], None],
    ) -> None:
        self._fleet_view = fleet_view
        self._local_node = local_node
        self._reachability = reachability
        self._on_unreachable = on_unreachable

    async def run(self) -> None:
        """Probe other VMs until cancelled."""
        while True:
            others = [
                name for name in self._fleet_view.nodes if name != self._local_node
            ]
            chosen = self._reachability.choose_probes(others)
            records = [self._fleet_view.nodes[name] for name in chosen]
            await asyncio.gather(
                asyncio.sleep(PROBE_INTERVAL_S), *map(self._probe, records)
            )

    async def _probe(self, record: NodeRecord) -> None:
        outcome = await probe_address(record.caller_address)
        if self._reachability.record_outcome(record.node, outcome):
            _log.warning("node-unreachable", peer=record.node, outcome=outcome.value)
            self._on_unreachable(record.node)


async def probe_address(address: Address) -> ProbeOutcome:
    """Connect to an address as a caller would, and close the connection."""
    host, port = split_address(address)
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return ProbeOutcome.REFUSED
    except (OSError, TimeoutError):
        return ProbeOutcome.NO_ANSWER
    writer.close()
    return ProbeOutcome.REACHED
