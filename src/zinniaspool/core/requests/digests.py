"""Digests: what one entry process tells the others of its requests."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec

from zinniaspool.core.dispatch.shares import Peers
from zinniaspool.core.ids import CustomerId, NodeId

__all__ = ["Digest", "DigestBook", "ServiceDemand", "decode_digest", "encode_digest"]


class ServiceDemand(msgspec.Struct, frozen=True, array_like=True):
    """Requests of one service, in progress and waiting.

    Attributes:
        service: ``models/NAME`` or ``services/NAME``.
        customers: Their number by customer.
    """

    service: str
    customers: dict[CustomerId, float]


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """All requests of one entry process."""

    node: NodeId
    services: tuple[ServiceDemand, ...]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Digest)


def encode_digest(digest: Digest) -> bytes:
    """Return a digest as it travels."""
    return _encoder.encode(digest)


def decode_digest(data: bytes) -> Digest:
    """Return the digest that was encoded.

    Raises:
        msgspec.MsgspecError: The bytes are no digest.
    """
    return _decoder.decode(data)


@dataclass(frozen=True, slots=True)
class _Heard:
    digest: Digest
    made_at: float


class DigestBook:
    """The other entry processes' newest digests.

    Args:
        own: This process.
        fresh_s: Age from which a digest says nothing.
        cut_off_s: Time after which a process that is not heard is taken to
            have ended; until then its part of the capacity is left to it.
    """

    def __init__(
        self, own: NodeId, fresh_s: float = 3.0, cut_off_s: float = 60.0
    ) -> None:
        self._own = own
        self._fresh_s = fresh_s
        self._cut_off_s = cut_off_s
        self._heard: dict[NodeId, _Heard] = {}

    def take(self, digest: Digest, made_at: float) -> None:
        """Take a digest.

        Args:
            digest: The digest.
            made_at: When it was made, on this process's clock.
        """
        if digest.node != self._own:
            self._heard[digest.node] = _Heard(digest, made_at)

    def sum_demands(self, now: float) -> dict[str, dict[CustomerId, float]]:
        """Return the demands of the processes heard, by service."""
        found: dict[str, dict[CustomerId, float]] = {}
        for heard in self._heard.values():
            if heard.made_at < now - self._fresh_s:
                continue
            for service in heard.digest.services:
                total = found.setdefault(service.service, {})
                for customer, demand in service.customers.items():
                    total[customer] = total.get(customer, 0.0) + demand
        return found

    def describe_peers(
        self, alive: Iterable[NodeId], since: Mapping[NodeId, float], now: float
    ) -> Peers:
        """Return which processes the shares are divided between.

        Args:
            alive: The entry processes that membership holds alive.
            since: When each process that it holds silent was found so.
            now: Seconds.
        """
        recent = now - self._cut_off_s
        lost = {node for node, when in since.items() if when > recent}
        names = sorted({self._own, *alive, *lost})
        heard = sum(
            name == self._own
            or (name in self._heard and self._heard[name].made_at > now - self._fresh_s)
            for name in names
        )
        return Peers(len(names), heard, names.index(self._own))
