"""Upstreams and what one entry process knows of each."""

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

__all__ = ["DrawSet", "FreshUpstream", "Upstream", "UpstreamState"]

_KEPT_COUNTS = 1024
"""Counts kept to find the load at a past report; seconds of them."""
LATENCY_SAMPLES = 5
"""Answers whose least latency counts; see :meth:`UpstreamState.measure`."""

_T = TypeVar("_T")


@dataclass(frozen=True, slots=True)
class Upstream:
    """Where a request can be sent.

    Attributes:
        id: The group, or the plain service's address.
        address: Where it listens.
        failure_domain: Where it runs.
        slots: Requests that it runs at a time.
        group: The replica group, or None for a plain service.
        epoch: The group's epoch.
        version: The model's version; a stream is resumed on the same one.
    """

    id: UpstreamId
    address: Address
    failure_domain: FailureDomainId
    slots: int
    group: GroupId | None = None
    epoch: Epoch = Epoch(0)
    version: ModelVersion | None = None


@dataclass(frozen=True, slots=True)
class FreshUpstream:
    """An upstream and the newest report about it.

    Attributes:
        upstream: Which.
        fresh_until: When what shows that it serves is too old; infinite for
            a plain service.
        load: Requests there by its report, or None without one.
        load_at: When the report was made.
    """

    upstream: Upstream
    fresh_until: float = float("inf")
    load: int | None = None
    load_at: float = 0.0


class _Count(NamedTuple):
    at: float
    own: int


class UpstreamState:
    """One upstream as this process sees it.

    Attributes:
        upstream: Which.
        own: Requests that this process has there.
        others: Requests that others are thought to have there.
        reported: Requests that others had there at the newest report.
        surplus: By how many that is above the mean, smoothed.
        reported_at: When that report was made.
        fresh_until: When what shows that it serves is too old.
        leaving: Whether it gets nothing more.
        gone: Whether it is no longer among the upstreams.
        failures: Failures in a row.
        ejections: Ejections in a row.
        ejected_until: When it may be tried again.
        probing: Whether one request is trying it.
        latency_s: Least time to the first byte of the last few answers.
        measured_at: When it was last measured.
        slowness: Its latency as a multiple of the median one.
    """

    __slots__ = (
        "_counts",
        "_latencies",
        "ejected_until",
        "ejections",
        "failures",
        "fresh_until",
        "gone",
        "latency_s",
        "leaving",
        "measured_at",
        "others",
        "own",
        "probing",
        "reported",
        "reported_at",
        "slowness",
        "surplus",
        "upstream",
    )

    def __init__(self, upstream: Upstream) -> None:
        self.upstream = upstream
        self.own = 0
        self.others = 0.0
        self.reported = 0
        self.surplus = 0.0
        self.reported_at = float("-inf")
        self.fresh_until = float("inf")
        self.leaving = False
        self.gone = False
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.probing = False
        self.latency_s = 0.0
        self._latencies: deque[float] = deque(maxlen=LATENCY_SAMPLES)
        self.measured_at = 0.0
        self.slowness = 1.0
        self._counts: deque[_Count] = deque(maxlen=_KEPT_COUNTS)

    @property
    def load(self) -> float:
        """Requests that are thought to be there now."""
        return self.own + self.others

    def count(self, change: int, now: float) -> None:
        """Count a request of this process that begins or ends."""
        self.own += change
        self._counts.append(_Count(now, self.own))

    def own_at(self, when: float) -> int:
        """Return what this process had there at a time in the past."""
        counts = self._counts
        own = counts[0].own if counts else self.own
        while counts and counts[0].at <= when:
            own = counts.popleft().own
        # Kept as the state before the next one, for later reports.
        counts.appendleft(_Count(when, own))
        return own

    def measure(self, latency_s: float, now: float) -> None:
        """Take one measurement of the time to a first byte.

        The least of a few counts: a queue that comes and goes makes some
        answers late, a straggler all of them.
        """
        self._latencies.append(latency_s)
        self.latency_s = min(self._latencies)
        self.measured_at = now

    @property
    def measured(self) -> bool:
        """Whether enough answers have been measured to judge its speed."""
        return len(self._latencies) == LATENCY_SAMPLES


class DrawSet(Generic[_T]):
    """A set from which members are drawn at random in constant time."""

    __slots__ = ("_items", "_places")

    def __init__(self) -> None:
        self._items: list[_T] = []
        self._places: dict[_T, int] = {}

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, item: _T) -> bool:
        return item in self._places

    def __iter__(self) -> Iterator[_T]:
        return iter(self._items)

    def set(self, item: _T, inside: bool) -> None:
        """Put an item in or take it out."""
        if inside == (item in self._places):
            return
        if inside:
            self._places[item] = len(self._items)
            self._items.append(item)
            return
        place = self._places.pop(item)
        last = self._items.pop()
        if last is not item:
            self._items[place] = last
            self._places[last] = place

    def draw(self, source: random.Random) -> _T:
        """Return a random item; the set must not be empty."""
        return self._items[int(source.random() * len(self._items))]
