"""Limits how many refused requests are recorded in the journal."""

from dataclasses import dataclass

from zinniaspool.core.ids import CustomerId

__all__ = ["RefusalLimiter"]


@dataclass(slots=True)
class _TokenBucket:
    tokens: float
    updated_at: float
    omitted: int = 0


class RefusalLimiter:
    """Limits the rate of recorded refusals of each customer.

    The journal keeps a fixed number of records. If every refusal of a
    customer that is shed continuously were recorded, the refusals of all
    other customers would be displaced within seconds.

    Args:
        rate_per_s: Mean number of recorded refusals of one customer a second.
        burst: Number of successive refusals recorded after a pause.
    """

    def __init__(self, rate_per_s: float = 2.0, burst: int = 60) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._buckets: dict[CustomerId, _TokenBucket] = {}

    def admit(self, customer: CustomerId, now: float) -> int | None:
        """Return how many refusals were omitted since the last recorded one.

        None means that this refusal must not be recorded.
        """
        bucket = self._buckets.get(customer)
        if bucket is None:
            bucket = self._buckets[customer] = _TokenBucket(self._burst, now)
        earned = (now - bucket.updated_at) * self._rate_per_s
        bucket.tokens = min(self._burst, bucket.tokens + earned)
        bucket.updated_at = now
        if bucket.tokens < 1:
            bucket.omitted += 1
            return None
        bucket.tokens -= 1
        omitted, bucket.omitted = bucket.omitted, 0
        return omitted
