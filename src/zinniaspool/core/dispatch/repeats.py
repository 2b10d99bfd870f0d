"""Limits how many requests one process may send to a second upstream."""

from collections import deque
from dataclasses import dataclass

__all__ = ["RetryLimits", "RetryWindow"]

BUCKETS = 20
"""Parts of the window that are counted together."""

ALLOWANCE_PART = 0.8
"""Part of the allowance that is used. The processes divide it evenly, but
their requests aren't spread evenly."""


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """The retries that all processes together may make.

    Attributes:
        ratio: Retries for each request.
        window_s: Time over which both are counted, in seconds.
        slack: Retries in addition, in each window.
    """

    ratio: float
    window_s: float
    slack: float


class RetryWindow:
    """Counts one service's requests and retries over a sliding window.

    Unlimited retries turn a failure into an overload: upstreams that fail
    under load get every request twice, and the overload outlasts its cause.

    Args:
        limits: The retries that all processes may make.

    Attributes:
        process_count: Number of entry processes that share the slack.
    """

    def __init__(self, limits: RetryLimits) -> None:
        self.process_count = 1
        self._limits = limits
        self._bucket_s = limits.window_s / BUCKETS
        self._requests: deque[tuple[int, int]] = deque()
        self._retries: deque[tuple[int, int]] = deque()

    def record_request(self, now: float) -> None:
        """Count a request for the service."""
        self._increment(self._requests, now)

    def try_acquire(self, now: float) -> bool:
        """Count a retry; return False if the limits don't allow it."""
        self._drop_expired(self._requests, now)
        self._drop_expired(self._retries, now)
        requests = sum(count for _, count in self._requests)
        retries = sum(count for _, count in self._retries)
        limits = self._limits
        allowed = limits.ratio * requests + limits.slack / max(1, self.process_count)
        if retries + 1 > allowed * ALLOWANCE_PART:
            return False
        self._increment(self._retries, now)
        return True

    def _increment(self, counts: deque[tuple[int, int]], now: float) -> None:
        self._drop_expired(counts, now)
        bucket = int(now / self._bucket_s)
        if counts and counts[-1][0] == bucket:
            counts[-1] = (bucket, counts[-1][1] + 1)
        else:
            counts.append((bucket, 1))

    def _drop_expired(self, counts: deque[tuple[int, int]], now: float) -> None:
        oldest = int(now / self._bucket_s) - BUCKETS
        while counts and counts[0][0] < oldest:
            counts.popleft()
