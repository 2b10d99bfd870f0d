"""Reports this process's demand to the other processes of its subset."""

import asyncio
from collections.abc import Callable, Sequence

import msgspec

from zinniaspool.core.ids import NodeId
from zinniaspool.core.messages import Message
from zinniaspool.core.messages.fleet import DemandDigest
from zinniaspool.gateway.gate import AdmissionQueues

__all__ = ["DemandReporter", "fit_digest"]

DIGEST_BYTES_PER_S = 1000
"""Largest size of the digests that this process sends, to all its peers
together, in bytes a second."""

FRAME_PREFIX_BYTES = 4
"""Bytes before each message of a connection between processes."""

MIN_DIGEST_INTERVAL_S = 1.0
MAX_DIGEST_INTERVAL_S = 1.4
"""Pause between two digests, in seconds. A digest counts for 3 s, so that one
may be lost."""

MAX_DIGEST_CUSTOMERS = 12
"""Customers that a digest lists for each model."""

_encoder = msgspec.msgpack.Encoder()


class DemandReporter:
    """Sends a digest to the subset about once a second.

    Args:
        queues: Measure the demand.
        list_peers: Returns the other processes of the subset.
        send: Sends a message to processes.
    """

    def __init__(
        self,
        queues: AdmissionQueues,
        list_peers: Callable[[], Sequence[NodeId]],
        send: Callable[[Sequence[NodeId], Message], None],
    ) -> None:
        self._queues = queues
        self._list_peers = list_peers
        self._send = send

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            peers = self._list_peers()
            digest, pause_s = fit_digest(self._queues.make_digest, len(peers))
            self._send(peers, digest)
            self._queues.end_contention()
            await asyncio.sleep(pause_s)


def fit_digest(
    make_digest: Callable[[int], DemandDigest], peers: int
) -> tuple[DemandDigest, float]:
    """Return a digest of bounded size, and the pause after it in seconds.

    Args:
        make_digest: Returns a digest with a largest number of customers for
            each model.
        peers: Processes that it is sent to.
    """
    customers = MAX_DIGEST_CUSTOMERS
    while True:
        digest = make_digest(customers)
        size = len(_encoder.encode(digest)) + FRAME_PREFIX_BYTES
        pause_s = size * peers / DIGEST_BYTES_PER_S
        if pause_s <= MAX_DIGEST_INTERVAL_S or not customers:
            return digest, max(MIN_DIGEST_INTERVAL_S, pause_s)
        customers //= 2
