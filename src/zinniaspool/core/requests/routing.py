"""Which upstream takes a request."""

import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from zinniaspool.core.ids import Address, Epoch, FailureDomainId, GroupId, UpstreamId

__all__ = ["Router", "Upstream"]

_CHOICES = 2


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
    """

    id: UpstreamId
    address: Address
    failure_domain: FailureDomainId
    slots: int
    group: GroupId | None = None
    epoch: Epoch = Epoch(0)


class Router:
    """Chooses the less loaded of a few random upstreams.

    Args:
        source: The random source.
    """

    def __init__(self, source: random.Random) -> None:
        self._source = source
        self._in_progress: Counter[UpstreamId] = Counter()

    def choose(self, upstreams: Sequence[Upstream]) -> Upstream | None:
        """Return an upstream with a free slot, or None."""
        free = [
            upstream
            for upstream in upstreams
            if self._in_progress[upstream.id] < upstream.slots
        ]
        if not free:
            return None
        drawn = self._source.sample(free, min(_CHOICES, len(free)))
        return min(drawn, key=lambda upstream: self._in_progress[upstream.id])

    def begin(self, upstream: UpstreamId) -> None:
        """Count a request that was sent."""
        self._in_progress[upstream] += 1

    def end(self, upstream: UpstreamId) -> None:
        """Count a request that has ended."""
        self._in_progress[upstream] -= 1
        if not self._in_progress[upstream]:
            del self._in_progress[upstream]
