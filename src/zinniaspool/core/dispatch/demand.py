"""Measures the demand for a model, and exchanges it as digests.

One process sees a few requests a second, too few to tell which customer uses
more than its share. So the processes of a subset send each other the demand
for each model by urgency, and by customer for the largest customers.
"""

import math
from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from functools import lru_cache
from zlib import crc32

from zinniaspool.core.fleet import ClassDigest, ModelDigest
from zinniaspool.core.ids import CustomerId, ModelName, NodeId, ServiceName

__all__ = [
    "REST",
    "DemandMeter",
    "DemandSums",
    "PeerDigests",
    "abbreviate_customer",
    "decode_amount",
    "encode_amount",
    "identify_model",
    "make_model_digest",
    "sum_digests",
]

MEMORY_S = 2.0
"""Time constant of the measured demand, in seconds. With a shorter one, the
chance arrivals of a small customer look like a demand above its share."""

MIN_MEMORY_S = 0.5
"""Shortest time over which demand is measured after the start, in seconds."""

NEGLIGIBLE_SLOTS = 0.005
"""Demand below which a customer is forgotten, in slots."""

DIGEST_LIFETIME_S = 3.0
"""Time for which a digest counts, in seconds: about three are sent in it."""

AMOUNT_STEPS = 16.0  # codes for each doubling
AMOUNT_UNIT = 1 / 16  # slots
"""Resolution of amounts in digests: one byte holds 0 to 4,000 slots with an
error of at most 3%."""

HASH_BYTES = 3
"""Bytes of a customer's hash in digests. Among 200 customers, one pair in a
thousand fleets shares a hash, and then shares what one of them would get."""

REST = CustomerId("*")
"""Stands for the customers that digests don't list."""


class DemandMeter:
    """Measures the slots that requests use, over the last few seconds."""

    def __init__(self) -> None:
        self._sums: dict[tuple[int, CustomerId], tuple[float, float]] = {}
        self._started_at: float | None = None

    def add(
        self, urgency: int, customer: CustomerId, slot_s: float, now: float
    ) -> None:
        """Add a request.

        Args:
            urgency: Its urgency.
            customer: Its customer's short name.
            slot_s: How long it uses a slot, in seconds.
            now: Seconds.
        """
        if self._started_at is None:
            self._started_at = now
        key = (urgency, customer)
        self._sums[key] = (self._decay(key, now) + slot_s, now)

    def measure(self, now: float) -> dict[int, dict[CustomerId, float]]:
        """Return the slots in use, by urgency and customer."""
        if self._started_at is None:
            return {}
        elapsed_s = max(MIN_MEMORY_S, now - self._started_at)
        memory_s = MEMORY_S * (1.0 - math.exp(-elapsed_s / MEMORY_S))
        found: dict[int, dict[CustomerId, float]] = {}
        for key in list(self._sums):
            slots = self._decay(key, now) / memory_s
            if slots < NEGLIGIBLE_SLOTS:
                del self._sums[key]
                continue
            found.setdefault(key[0], {})[key[1]] = slots
        return found

    def _decay(self, key: tuple[int, CustomerId], now: float) -> float:
        total, at = self._sums.get(key, (0.0, now))
        return total * math.exp((at - now) / MEMORY_S)


@lru_cache(maxsize=4096)
def abbreviate_customer(customer: CustomerId) -> CustomerId:
    """Return the short name by which digests list a customer."""
    data = (crc32(customer.encode()) & 0xFFFFFF).to_bytes(HASH_BYTES, "big")
    return CustomerId(data.hex())


def identify_model(service: ServiceName, model: ModelName | None) -> int:
    """Return the number by which digests list a model."""
    return crc32(f"{service}/{model or ''}".encode())


def encode_amount(slots: float) -> int:
    """Return the code of a number of slots, 0 to 255."""
    code = round(AMOUNT_STEPS * math.log2(1.0 + max(0.0, slots) / AMOUNT_UNIT))
    return min(255, code)


def decode_amount(code: int) -> float:
    """Return the number of slots that a code stands for."""
    return float(2.0 ** (code / AMOUNT_STEPS) - 1.0) * AMOUNT_UNIT


def make_model_digest(
    model: int,
    demand: Mapping[int, Mapping[CustomerId, float]],
    use: Mapping[int, Mapping[CustomerId, float]],
    backlogs_s: Mapping[int, float],
    max_customers: int,
) -> ModelDigest:
    """Return the digest of one model.

    Args:
        model: The model's number.
        demand: Slots that all requests would use, by urgency and customer.
        use: Slots that the admitted requests use.
        backlogs_s: Time until the last refused caller comes back, by urgency,
            in seconds.
        max_customers: Customers to list, over all classes; the largest ones.
    """
    largest = sorted(
        (
            (slots, urgency, customer)
            for urgency, customers in demand.items()
            for customer, slots in customers.items()
        ),
        reverse=True,
    )[:max_customers]
    listed: defaultdict[int, bytes] = defaultdict(bytes)
    for slots, urgency, customer in largest:
        used = use.get(urgency, {}).get(customer, 0.0)
        listed[urgency] += bytes.fromhex(customer) + bytes(
            (encode_amount(slots), encode_amount(used))
        )
    classes = [
        ClassDigest(
            urgency,
            encode_amount(sum(customers.values())),
            encode_amount(sum(use.get(urgency, {}).values())),
            encode_amount(backlogs_s.get(urgency, 0.0)),
            listed[urgency],
            len(customers) - len(listed[urgency]) // (HASH_BYTES + 2),
        )
        for urgency, customers in sorted(demand.items())
    ]
    return ModelDigest(model, classes)


@dataclass(slots=True)
class DemandSums:
    """The sums of several digests of one class, in slots.

    Attributes:
        demand: Demand by customer, with one entry for all that aren't listed.
        used: Use by customer.
        rest: Number of customers that aren't listed.
        backlog_s: Times until the last refused callers come back, in seconds.
    """

    demand: defaultdict[CustomerId, float] = field(
        default_factory=lambda: defaultdict(float)
    )
    used: defaultdict[CustomerId, float] = field(
        default_factory=lambda: defaultdict(float)
    )
    rest: int = 0
    backlog_s: float = 0.0


def sum_digests(digests: Iterable[ModelDigest]) -> dict[int, DemandSums]:
    """Return the sums of digests of one model by urgency."""
    found: dict[int, DemandSums] = {}
    for digest in digests:
        for one in digest.classes:
            _add_class(found.setdefault(one.urgency, DemandSums()), one)
    return found


def _add_class(sums: DemandSums, one: ClassDigest) -> None:
    demand, used = decode_amount(one.demand), decode_amount(one.used)
    sums.backlog_s += decode_amount(one.backlog)
    size = HASH_BYTES + 2
    for start in range(0, len(one.customers) - size + 1, size):
        entry = one.customers[start : start + size]
        customer = CustomerId(entry[:HASH_BYTES].hex())
        customer_demand, customer_used = map(decode_amount, entry[HASH_BYTES:])
        sums.demand[customer] += customer_demand
        sums.used[customer] += customer_used
        demand, used = demand - customer_demand, used - customer_used
    if one.rest > 0:
        sums.demand[REST] += max(0.0, demand)
        sums.used[REST] += max(0.0, used)
        sums.rest = max(sums.rest, one.rest)


class PeerDigests:
    """The newest digests of the other processes of the subset.

    Attributes:
        version: Counts the changes.
    """

    def __init__(self) -> None:
        self.version = 0
        self._received: dict[NodeId, tuple[float, dict[int, ModelDigest]]] = {}

    def record(self, node: NodeId, models: Iterable[ModelDigest], now: float) -> None:
        """Record a peer's digest."""
        self._received[node] = (now, {digest.model: digest for digest in models})
        self.version += 1

    def keep_members(self, members: Collection[NodeId]) -> None:
        """Forget processes that are no longer in the subset."""
        self._received = {
            node: received
            for node, received in self._received.items()
            if node in members
        }
        self.version += 1

    def list_fresh(self, model: int, now: float) -> list[ModelDigest]:
        """Return the digests of a model that count now."""
        return [
            models[model]
            for received_at, models in self._received.values()
            if now - received_at <= DIGEST_LIFETIME_S and model in models
        ]

    def count_silent(self, now: float) -> int:
        """Return the number of members whose last digest no longer counts.

        A process that never sent one runs an older version, or has just
        started. Its capacity isn't set aside.
        """
        return sum(
            now - received_at > DIGEST_LIFETIME_S
            for received_at, _ in self._received.values()
        )
