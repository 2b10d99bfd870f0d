"""Digests, in which entry processes report their requests to each other.

From the digests, each entry process computes its share of the capacity.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec

from zinniaspool.core.dispatch.shares import PeerCounts
from zinniaspool.core.ids import CustomerId, NodeId

__all__ = ["Digest", "DigestTable", "ServiceDemand", "decode_digest", "encode_digest"]


class ServiceDemand(msgspec.Struct, frozen=True, array_like=True):
    """Requests for one service, in progress and waiting.

    Attributes:
        service: ``models/NAME`` or ``services/NAME``.
        customers: Number of requests of each customer.
    """

    service: str
    customers: dict[CustomerId, float]


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """Numbers of all requests of one entry process."""

    node: NodeId
    services: tuple[ServiceDemand, ...]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Digest)


def encode_digest(digest: Digest) -> bytes:
    """Return a digest in its encoded form."""
    return _encoder.encode(digest)


def decode_digest(data: bytes) -> Digest:
    """Return the digest that was encoded.

    Raises:
        msgspec.MsgspecError: The bytes are not an encoded digest.
    """
    return _decoder.decode(data)


@dataclass(frozen=True, slots=True)
class _ReceivedDigest:
    digest: Digest
    made_at: float


class DigestTable:
    """The newest digest of each other entry process.

    Args:
        local_node: This process.
        fresh_s: Age in seconds from which a digest is ignored.
        presumed_ended_s: Seconds after which an unresponsive process is
            presumed to have ended. Until then, its share of the capacity
            stays reserved for it.
    """

    def __init__(
        self, local_node: NodeId, fresh_s: float = 3.0, presumed_ended_s: float = 60.0
    ) -> None:
        self._local_node = local_node
        self._fresh_s = fresh_s
        self._presumed_ended_s = presumed_ended_s
        self._received: dict[NodeId, _ReceivedDigest] = {}

    def record(self, digest: Digest, made_at: float) -> None:
        """Record a received digest.

        Args:
            digest: The digest.
            made_at: Time at which it was made, on this process's clock.
        """
        if digest.node != self._local_node:
            self._received[digest.node] = _ReceivedDigest(digest, made_at)

    def sum_demands(self, now: float) -> dict[str, dict[CustomerId, float]]:
        """Return the total demands in fresh digests, by service."""
        totals: dict[str, dict[CustomerId, float]] = {}
        for received in self._received.values():
            if received.made_at < now - self._fresh_s:
                continue
            for service in received.digest.services:
                total = totals.setdefault(service.service, {})
                for customer, demand in service.customers.items():
                    total[customer] = total.get(customer, 0.0) + demand
        return totals

    def describe_peers(
        self,
        alive: Iterable[NodeId],
        unresponsive_since: Mapping[NodeId, float],
        now: float,
    ) -> PeerCounts:
        """Return the processes between which the shares are divided.

        Args:
            alive: The entry processes that are alive by membership.
            unresponsive_since: Time since which each other entry process has
                been unresponsive.
            now: Current time in seconds.
        """
        recent = now - self._presumed_ended_s
        unresponsive = {
            node for node, when in unresponsive_since.items() if when > recent
        }
        names = sorted({self._local_node, *alive, *unresponsive})
        fresh = sum(
            name == self._local_node
            or (
                name in self._received
                and self._received[name].made_at > now - self._fresh_s
            )
            for name in names
        )
        return PeerCounts(len(names), fresh, names.index(self._local_node))
