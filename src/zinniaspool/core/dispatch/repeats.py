"""Limits how many requests one process may send to a second upstream.

All processes share one limit for each service: in any window, a part of the
requests and a fixed number, the slack. They don't exchange what they use.
Each process earns retries by its own requests and, for its share of the
slack, by time. It starts with none, so that a process which replaces another
one can't use again what that one has used, and only a part of a window's
retries can be saved up.
"""

from collections import Counter, deque
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from enum import Enum

from zinniaspool.core.ids import NodeId

__all__ = [
    "RetryBucket",
    "RetryLimits",
    "RetryPurpose",
    "RetryReport",
    "SlackSharers",
]

WINDOW_PARTS = 20
"""Parts of the window that are counted together."""

EARNED_PART = 0.7
"""Part of the limit that is earned within a window."""

SAVED_PART = 0.27
"""Part of the limit of the last window that may be saved up for a failure of
many requests at once. With what is earned in the next window, it stays below
the limit, also if the processes see different lists for a moment."""


class RetryPurpose(Enum):
    """Why a request is to be sent to another upstream."""

    AFTER_FAILURE = "after-failure"
    """Its last attempt failed and may have run."""

    AFTER_REFUSAL = "after-refusal"
    """An upstream refused it."""

    ALTERNATIVE = "alternative"
    """Its attempt is silent, slow or late, and goes on."""


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


@dataclass(frozen=True, slots=True)
class RetryReport:
    """One service's retries in a process's last window.

    Attributes:
        requests: Requests of callers.
        retries: Retries that were granted.
        allowed: This process's part of the limit.
        available: Retries that may be granted now.
        granted: Retries that were granted since the process started.
        denied: Retries that were denied since then.
    """

    requests: int
    retries: int
    allowed: float
    available: float
    granted: Mapping[RetryPurpose, int]
    denied: Mapping[RetryPurpose, int]


class RetryBucket:
    """Grants one service's retries.

    Unlimited retries turn a failure into an overload: upstreams that fail
    under load get every request twice, and the overload outlasts its cause.

    Args:
        limits: The retries that all processes may make.
        since: Time from which this process's share of the slack counts, in
            seconds.

    Attributes:
        slack_share: This process's share of the slack, in retries a window.
    """

    def __init__(self, limits: RetryLimits, since: float) -> None:
        self.slack_share = 0.0
        self._limits = limits
        self._part_s = limits.window_s / WINDOW_PARTS
        self._requests: deque[tuple[int, int]] = deque()
        self._retries: deque[tuple[int, int]] = deque()
        self._available = 0.0
        self._refilled_at = since
        self._granted: Counter[RetryPurpose] = Counter()
        self._denied: Counter[RetryPurpose] = Counter()

    def record_request(self, now: float) -> None:
        """Count a request for the service."""
        self._increment(self._requests, now)
        self._available += EARNED_PART * self._limits.ratio
        self.refill(now)

    def refill(self, now: float) -> None:
        """Add what this process has earned by its share of the slack.

        It must be called before the share changes.
        """
        elapsed_s = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        # One retry may always be saved up, so that few requests can get one
        # at all. Of a small share, only what exceeds it is earned.
        share = self.slack_share
        per_window = min(EARNED_PART * share, max(0.0, share - 1.0))
        earned = per_window * elapsed_s / self._limits.window_s
        most = max(1.0, SAVED_PART * self._compute_allowed(now))
        self._available = min(most, self._available + earned)

    def try_acquire(self, purpose: RetryPurpose, now: float) -> bool:
        """Count a retry; return False if the limits don't allow it."""
        self.refill(now)
        if self._available < 1.0:
            self._denied[purpose] += 1
            return False
        self._available -= 1.0
        self._granted[purpose] += 1
        self._increment(self._retries, now)
        return True

    def report(self, now: float) -> RetryReport:
        """Return the counts of the window that ends now."""
        self.refill(now)
        return RetryReport(
            self._count(self._requests, now),
            self._count(self._retries, now),
            self._compute_allowed(now),
            self._available,
            self._granted,
            self._denied,
        )

    def _compute_allowed(self, now: float) -> float:
        """Return this process's part of the limit in the last window."""
        requests = self._count(self._requests, now)
        return self._limits.ratio * requests + self.slack_share

    def _count(self, counts: deque[tuple[int, int]], now: float) -> int:
        self._drop_expired(counts, now)
        return sum(count for _, count in counts)

    def _increment(self, counts: deque[tuple[int, int]], now: float) -> None:
        self._drop_expired(counts, now)
        part = int(now / self._part_s)
        if counts and counts[-1][0] == part:
            counts[-1] = (part, counts[-1][1] + 1)
        else:
            counts.append((part, 1))

    def _drop_expired(self, counts: deque[tuple[int, int]], now: float) -> None:
        oldest = int(now / self._part_s) - WINDOW_PARTS
        while counts and counts[0][0] < oldest:
            counts.popleft()


class SlackSharers:
    """The processes among which the slack is divided.

    A process that is no longer listed may have used its share within the last
    window, and may not know yet that it isn't listed.

    Args:
        window_s: Time for which it still counts, in seconds.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._listed: frozenset[NodeId] = frozenset()
        self._removed_at: dict[NodeId, float] = {}

    def update(self, listed: Collection[NodeId], now: float) -> None:
        """Set which processes are listed.

        Args:
            listed: The VMs of all listed processes.
            now: Seconds.
        """
        before, self._listed = self._listed, frozenset(listed)
        for node in self._listed:
            self._removed_at.pop(node, None)
        for node in before - self._listed:
            self._removed_at[node] = now

    def count(self, now: float) -> int:
        """Return their number.

        Args:
            now: Seconds.
        """
        for node, removed_at in list(self._removed_at.items()):
            if removed_at + self._window_s <= now:
                del self._removed_at[node]
        return max(1, len(self._listed) + len(self._removed_at))
