"""Upstreams, and the state that an entry process keeps of each upstream."""

import random
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Generic, NamedTuple, TypeVar

from zinniaspool.core.ids import (
    Address,
    Epoch,
    FailureDomainId,
    GroupId,
    ModelVersion,
    UpstreamId,
)

__all__ = ["RandomSet", "Upstream", "UpstreamReport", "UpstreamState"]

_MAX_LOAD_SAMPLES = 1024
"""Samples of the local load that are kept, several seconds' worth. They yield
the local load at the time of a past report."""
LATENCY_SAMPLES = 5
"""Answers whose minimum latency is an upstream's latency; see
:meth:`UpstreamState.record_latency`."""

_T = TypeVar("_T")


@dataclass(frozen=True, slots=True)
class Upstream:
    """A replica group or plain service to which requests can be sent.

    Attributes:
        id: The replica group, or the plain service's address.
        address: The address at which the upstream listens.
        failure_domain: The failure domain in which the upstream runs.
        slots: Number of requests that the upstream runs concurrently.
        group: The replica group, or None for a plain service.
        epoch: The group's epoch.
        version: The model's version. A stream is resumed only at an upstream
            with the same version.
    """

    id: UpstreamId
    address: Address
    failure_domain: FailureDomainId
    slots: int
    group: GroupId | None = None
    epoch: Epoch = Epoch(0)
    version: ModelVersion | None = None


@dataclass(frozen=True, slots=True)
class UpstreamReport:
    """An upstream and the newest report about it.

    Attributes:
        upstream: The upstream.
        fresh_until: Time at which the reports that the upstream serves are
            too old; infinite for a plain service.
        load: Number of requests at the upstream according to its load
            report, or None without a load report.
        load_counted_at: Time at which the load report was made.
    """

    upstream: Upstream
    fresh_until: float = float("inf")
    load: int | None = None
    load_counted_at: float = 0.0


class _LoadSample(NamedTuple):
    """The local load from a time on."""

    at: float
    local_load: int


class UpstreamState:
    """The state that this process keeps of one upstream.

    Attributes:
        upstream: The upstream.
        local_load: Requests of this process at the upstream.
        remote_load: Estimated requests of other processes at the upstream.
        reported_remote_load: Requests of other processes at the upstream at
            the time of its newest report.
        remote_surplus: Smoothed difference of the reported remote load from
            its mean over all upstreams.
        reported_at: Time at which the newest load report was made.
        fresh_until: Time at which the reports that the upstream serves are
            too old.
        leaving: Whether the upstream is leaving and gets no more requests.
        removed: Whether the upstream was removed from its pool.
        failures: Successive failures.
        ejections: Successive ejections.
        ejected_until: Time from which a request may probe the upstream.
        probing: Whether a request probes the ejected upstream.
        latency_s: Minimum time to the first byte over the last few answers.
        measured_at: Time of the last latency measurement.
        slowness: The latency as a multiple of the upstreams' median latency.
    """

    __slots__ = (
        "_load_samples",
        "_latencies",
        "ejected_until",
        "ejections",
        "failures",
        "fresh_until",
        "removed",
        "latency_s",
        "leaving",
        "measured_at",
        "remote_load",
        "local_load",
        "probing",
        "reported_remote_load",
        "reported_at",
        "slowness",
        "remote_surplus",
        "upstream",
    )

    def __init__(self, upstream: Upstream) -> None:
        self.upstream = upstream
        self.local_load = 0
        self.remote_load = 0.0
        self.reported_remote_load = 0
        self.remote_surplus = 0.0
        self.reported_at = float("-inf")
        self.fresh_until = float("inf")
        self.leaving = False
        self.removed = False
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.probing = False
        self.latency_s = 0.0
        self._latencies: deque[float] = deque(maxlen=LATENCY_SAMPLES)
        self.measured_at = 0.0
        self.slowness = 1.0
        self._load_samples: deque[_LoadSample] = deque(maxlen=_MAX_LOAD_SAMPLES)

    @property
    def load(self) -> float:
        """Estimated number of requests at the upstream now."""
        return self.local_load + self.remote_load

    def add_local_load(self, change: int, now: float) -> None:
        """Add the change when a request of this process begins or ends."""
        self.local_load += change
        self._load_samples.append(_LoadSample(now, self.local_load))

    def local_load_at(self, when: float) -> int:
        """Return this process's load at the upstream at a past time."""
        samples = self._load_samples
        load = samples[0].local_load if samples else self.local_load
        while samples and samples[0].at <= when:
            load = samples.popleft().local_load
        # Later reports need the load before the next sample.
        samples.appendleft(_LoadSample(when, load))
        return load

    def record_latency(self, latency_s: float, now: float) -> None:
        """Record the time to the first byte of one answer.

        The upstream's latency is the minimum of the last few answers. A
        temporary queue delays only some answers, a straggler delays all.
        """
        self._latencies.append(latency_s)
        self.latency_s = min(self._latencies)
        self.measured_at = now

    @property
    def is_measured(self) -> bool:
        """Whether enough latencies are recorded to compare the upstream."""
        return len(self._latencies) == LATENCY_SAMPLES


class RandomSet(Generic[_T]):
    """A set from which a random member is drawn in constant time."""

    __slots__ = ("_items", "_positions")

    def __init__(self) -> None:
        self._items: list[_T] = []
        self._positions: dict[_T, int] = {}

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, item: _T) -> bool:
        return item in self._positions

    def __iter__(self) -> Iterator[_T]:
        return iter(self._items)

    def set_member(self, item: _T, is_member: bool) -> None:
        """Add or remove an item."""
        if is_member == (item in self._positions):
            return
        if is_member:
            self._positions[item] = len(self._items)
            self._items.append(item)
            return
        position = self._positions.pop(item)
        last = self._items.pop()
        if last is not item:
            self._items[position] = last
            self._positions[last] = position

    def draw(self, rng: random.Random) -> _T:
        """Return a random member of the set, which must not be empty."""
        return self._items[int(rng.random() * len(self._items))]
