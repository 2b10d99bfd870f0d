"""Limits how many requests of each service are sent to another upstream."""

import asyncio
from collections.abc import Callable, Collection, Iterator

import structlog

from zinniaspool.core.dispatch import (
    RetryBucket,
    RetryLimits,
    RetryPurpose,
    SlackSharers,
)
from zinniaspool.core.ids import NodeId, ServiceName
from zinniaspool.telemetry import Sample

__all__ = ["RetryBudgets", "ServiceRetries"]

_log = structlog.get_logger(__name__)

LOG_INTERVAL_S = 1.0
"""Pause between two log lines about one service, in seconds."""


class ServiceRetries:
    """The requests and retries of one service.

    Args:
        bucket: Grants the retries.
    """

    def __init__(self, bucket: RetryBucket) -> None:
        self._bucket = bucket

    def record_request(self) -> None:
        """Count a caller's request."""
        self._bucket.record_request(asyncio.get_running_loop().time())

    def withdraw(self, purpose: RetryPurpose) -> bool:
        """Withdraw one retry; return False if the budget is used up."""
        return self._bucket.try_acquire(purpose, asyncio.get_running_loop().time())


class RetryBudgets:
    """The retries of all services.

    Args:
        limits: The retries of a service that all processes may make.
        node: This process's VM.
        is_registered: Returns whether this process's record in the store is
            certain to be valid. Otherwise, the other processes may not count
            it among those that share the slack, and it earns none.
    """

    def __init__(
        self, limits: RetryLimits, node: NodeId, is_registered: Callable[[], bool]
    ) -> None:
        self._limits = limits
        self._node = node
        self._is_registered = is_registered
        self._is_listed = False
        self._sharers = SlackSharers(limits.window_s)
        self._slack_share = 0.0
        self._shared_since = 0.0
        self._buckets: dict[ServiceName, RetryBucket] = {}
        self._logged_at = 0.0
        self._logged_counts: dict[ServiceName, tuple[int, int]] = {}

    def update_sharers(self, listed: Collection[NodeId], now: float) -> None:
        """Set which processes share the slack.

        Args:
            listed: The VMs whose entry processes have a record.
            now: Seconds.
        """
        self._is_listed = self._node in listed
        self._sharers.update(listed, now)
        self.refill(now)

    def refill(self, now: float) -> None:
        """Add what the services have earned, and compute this process's share.

        Args:
            now: Seconds.
        """
        share = 0.0
        if self._is_listed and self._is_registered():
            share = self._limits.slack / self._sharers.count(now)
        if not self._slack_share:
            self._shared_since = now
        self._slack_share = share
        for bucket in self._buckets.values():
            bucket.refill(now)
            bucket.slack_share = share

    def find(self, service: ServiceName) -> ServiceRetries:
        """Return the retries of a service."""
        bucket = self._buckets.get(service)
        if bucket is None:
            # A service that is called for the first time has earned its share
            # for as long as this process has had one.
            bucket = RetryBucket(self._limits, self._shared_since)
            bucket.slack_share = self._slack_share
            self._buckets[service] = bucket
        return ServiceRetries(bucket)

    def log_changes(self, now: float) -> None:
        """Log the services with retries since the last log line.

        Args:
            now: Seconds.
        """
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_at = now
        for service, bucket in self._buckets.items():
            report = bucket.report(now)
            counts = (sum(report.granted.values()), sum(report.denied.values()))
            before = self._logged_counts.get(service, (0, 0))
            if counts == before:
                continue
            self._logged_counts[service] = counts
            purposes = {
                purpose.name.lower(): report.granted.get(purpose, 0)
                for purpose in RetryPurpose
            }
            _log.info(
                "retries-counted",
                service=service,
                requests=report.requests,
                retries=report.retries,
                allowed=round(report.allowed, 1),
                available=round(report.available, 1),
                shared_by=self._sharers.count(now),
                slack_share=round(self._slack_share, 1),
                granted=counts[0] - before[0],
                denied=counts[1] - before[1],
                **purposes,
            )

    def list_granted(self) -> Iterator[Sample]:
        """Yield the retries by service, purpose and result."""
        now = asyncio.get_running_loop().time()
        for service, bucket in self._buckets.items():
            report = bucket.report(now)
            results = {"granted": report.granted, "denied": report.denied}
            for result, counts in results.items():
                for purpose, count in counts.items():
                    labels = {"service": service, "purpose": purpose.value}
                    yield Sample({**labels, "result": result}, count)

    def list_windows(self) -> Iterator[Sample]:
        """Yield the requests, the retries and the limit of the last window."""
        now = asyncio.get_running_loop().time()
        for service, bucket in self._buckets.items():
            report = bucket.report(now)
            for count, value in (
                ("requests", report.requests),
                ("retries", report.retries),
                ("allowed", report.allowed),
                ("available", report.available),
            ):
                yield Sample({"service": service, "count": count}, value)

    def list_process_count(self) -> Iterator[Sample]:
        """Yield the number of processes that share the slack."""
        yield Sample({}, self._sharers.count(asyncio.get_running_loop().time()))
