"""Periodic background tasks of an entry process."""

import asyncio
from collections.abc import Mapping

import structlog

from zinniaspool.core.ids import NodeId
from zinniaspool.core.membership import MemberState, Notice, Role, Topic
from zinniaspool.core.requests.digests import (
    Digest,
    DigestTable,
    ServiceDemand,
    decode_digest,
    encode_digest,
)
from zinniaspool.entry.gate import AdmissionQueues
from zinniaspool.entry.services import ServiceIndex
from zinniaspool.node import NodeRuntime

__all__ = ["EntryBackgroundTasks"]

_log = structlog.get_logger(__name__)
_PASS_INTERVAL_S = 0.1
"""Seconds between passes that check which tasks are due."""
_SHARE_INTERVAL_S = 0.2
"""Seconds between updates of the customers' local shares."""
_DIGEST_INTERVAL_S = 0.5
"""Seconds between publications of the demand digest to peers."""
_SLOWNESS_INTERVAL_S = 1.0
"""Seconds between updates of the upstreams' slowness."""
_DIGEST_LIFETIME_S = 5.0
"""Seconds that a digest is valid; ten successive digests may be lost."""
_MS_PER_S = 1000
"""Milliseconds per second."""


class EntryBackgroundTasks:
    """Follows groups, shares limits with peers and updates the brownout level.

    Args:
        frame: Parts that every process has: membership, gossip and others.
        index: Models and plain services.
        queues: Admits requests.
    """

    def __init__(
        self, frame: NodeRuntime, index: ServiceIndex, queues: AdmissionQueues
    ) -> None:
        self._frame = frame
        self._index = index
        self._queues = queues
        self._digests = DigestTable(frame.node)
        self._remote_loads: dict[NodeId, float] = {}
        self._unresponsive_since: dict[NodeId, float] = {}
        self._digest_version = 0
        self._started_at = 0.0
        self._fleet_changed = True
        self._logged_brownout_level = 0

    def start(self) -> None:
        """Subscribe to the digests of the other entry processes."""
        self._started_at = asyncio.get_running_loop().time()
        self._frame.gossip.subscribe(Topic.LIMITS, self._on_digest)

    def mark_fleet_changed(self) -> None:
        """Make the next pass synchronize the models' upstreams."""
        self._fleet_changed = True

    def list_loads(self) -> Mapping[NodeId, float]:
        """Return the number of requests in each entry process."""
        return {**self._remote_loads, self._frame.node: float(self._queues.in_progress)}

    async def run(self) -> None:
        """Run the tasks that are due until cancelled."""
        loop = asyncio.get_running_loop()
        shares_updated = published = slowness_updated = float("-inf")
        while True:
            due = loop.time() + _PASS_INTERVAL_S
            await asyncio.sleep(_PASS_INTERVAL_S)
            now = loop.time()
            self._update_brownout(now - due)
            if self._fleet_changed:
                self._fleet_changed = False
                self._index.sync_groups(now)
            if now - shares_updated >= _SHARE_INTERVAL_S:
                shares_updated = now
                self.update_shares(now)
            if now - published >= _DIGEST_INTERVAL_S:
                published = now
                self._publish_digest()
            if now - slowness_updated >= _SLOWNESS_INTERVAL_S:
                slowness_updated = now
                self._index.update_slowness(now)

    def update_shares(self, now: float) -> None:
        """Recompute the local limits from the digests."""
        alive = []
        for member in self._frame.list_members():
            if member.role is not Role.ENTRY:
                continue
            if member.state is MemberState.UNRESPONSIVE:
                self._unresponsive_since.setdefault(member.node, now)
                continue
            self._unresponsive_since.pop(member.node, None)
            if member.state is not MemberState.STARTING:
                alive.append(member.node)
        peers = self._digests.describe_peers(alive, self._unresponsive_since, now)
        remote_demands = self._digests.sum_demands(now)
        self._queues.wake_admitted(
            self._index.update_shares(remote_demands, peers, now)
        )

    def _update_brownout(self, lag_s: float) -> None:
        brownout = self._queues.brownout
        brownout.update(max(0.0, lag_s), self._queues.in_progress)
        if brownout.level != self._logged_brownout_level:
            self._logged_brownout_level = brownout.level
            _log.warning(
                "brownout", level=self._logged_brownout_level, lag_s=round(lag_s, 3)
            )

    def _publish_digest(self) -> None:
        services = tuple(
            ServiceDemand(service.name, demands)
            for service in self._index.list_services()
            if (demands := service.admission.list_demands())
        )
        digest = Digest(self._frame.node, services)
        # An incarnation is a time in milliseconds. Adding the time since the
        # start keeps this incarnation's versions below those of the next one.
        uptime_s = asyncio.get_running_loop().time() - self._started_at
        version = self._frame.incarnation + int(uptime_s * _MS_PER_S)
        self._digest_version = max(self._digest_version + 1, version)
        self._frame.gossip.publish(
            Topic.LIMITS,
            self._frame.node,
            self._digest_version,
            encode_digest(digest),
            _DIGEST_LIFETIME_S,
        )

    def _on_digest(self, notice: Notice) -> None:
        digest = decode_digest(notice.payload)
        now = asyncio.get_running_loop().time()
        self._digests.record(digest, now - notice.age_s)
        self._remote_loads[digest.node] = sum(
            sum(service.customers.values()) for service in digest.services
        )
