"""Sizes of the notices that are published all the time.

Run as ``python -m benchmarks.capacity_messages [--write]``. Bytes of a notice
as it is encoded within a message, at the coming size.
"""

import msgspec

from benchmarks.measurements import keep_rows
from zinniaspool.core.groups.beats import (
    DomainHeartbeat,
    GroupHeartbeat,
    encode_heartbeat,
)
from zinniaspool.core.ids import (
    CustomerId,
    Epoch,
    FabricDomainId,
    NodeId,
)
from zinniaspool.core.membership.notices import Topic
from zinniaspool.core.messages.membership import WireNotice
from zinniaspool.core.requests.digests import Digest, ServiceDemand, encode_digest

__all__ = ["MessageRow"]

_VERSION = 1_790_000_000_000_000


class MessageRow(msgspec.Struct):
    """One kind of notice.

    Attributes:
        notice: What it holds.
        bytes: On the wire, within a message.
    """

    notice: str
    bytes: int


def _measure(name: str, topic: Topic, key: str, payload: bytes) -> MessageRow:
    notice = WireNotice(topic.value, key, _VERSION, payload, 0.123456, 4.0)
    return MessageRow(name, len(msgspec.msgpack.encode(notice)))


def _make_beat(groups: int) -> bytes:
    group = GroupHeartbeat(2**62, 250, 12, 3)
    source = f"control17/{_VERSION}"
    domain = FabricDomainId("fabric-north-17")
    return encode_heartbeat(
        DomainHeartbeat(domain, source, 12345.678, Epoch(123_456), (group,) * groups)
    )


def _make_digest(services: int, customers: int) -> bytes:
    demands = {CustomerId(f"customer{k}"): float(k) for k in range(customers)}
    lines = tuple(ServiceDemand(f"models/model{k}", demands) for k in range(services))
    return encode_digest(Digest(NodeId("entry117"), lines))


def main() -> None:
    """Measure and print."""
    beat_key = "beat/fabric-north-17/control17"
    keep_rows(
        "messages",
        [
            _measure("beat of 1 group", Topic.GROUPS, beat_key, _make_beat(1)),
            _measure("beat of 8 groups", Topic.GROUPS, beat_key, _make_beat(8)),
            _measure(
                "digest, 2 services, 5 customers",
                Topic.LIMITS,
                "entry117",
                _make_digest(2, 5),
            ),
            _measure(
                "digest, nothing asked for",
                Topic.LIMITS,
                "entry117",
                _make_digest(0, 0),
            ),
        ],
    )


if __name__ == "__main__":
    main()
