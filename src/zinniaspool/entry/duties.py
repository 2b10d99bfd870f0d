"""What an entry process does all the time beside answering callers."""

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
from zinniaspool.entry.gate import Gate
from zinniaspool.entry.services import ServiceIndex
from zinniaspool.node import NodeFrame

__all__ = ["EntryDuties"]

_log = structlog.get_logger(__name__)
_STEP_S = 0.1
"""Seconds between looks at what is due."""
_SHARE_EVERY_S = 0.2
"""Seconds between new shares of the limits; chosen."""
_DIGEST_EVERY_S = 0.5
"""Seconds between digests of demand to peers; chosen."""
_SPEED_EVERY_S = 1.0
"""Seconds between comparisons of upstreams' speeds."""
_DIGEST_KEPT_S = 5.0
"""Seconds that a digest counts: ten of them may be lost."""
_MS = 1000
"""Milliseconds in a second."""


class EntryDuties:
    """Follows groups, shares limits with peers, and watches itself.

    Args:
        frame: The process.
        index: The models and services.
        gate: Lets requests begin.
    """

    def __init__(self, frame: NodeFrame, index: ServiceIndex, gate: Gate) -> None:
        self._frame = frame
        self._index = index
        self._gate = gate
        self._book = DigestTable(frame.node)
        self._loads: dict[NodeId, float] = {}
        self._lost_since: dict[NodeId, float] = {}
        self._version = 0
        self._began = 0.0
        self._fleet_changed = True
        self._level = 0

    def start(self) -> None:
        """Begin to listen to the other entry processes."""
        self._began = asyncio.get_running_loop().time()
        self._frame.board.subscribe(Topic.LIMITS, self._take_digest)

    def note_fleet(self) -> None:
        """Note that what is known of the groups has changed."""
        self._fleet_changed = True

    def list_loads(self) -> Mapping[NodeId, float]:
        """Return the requests that each entry process carries."""
        return {**self._loads, self._frame.node: float(self._gate.in_progress)}

    async def run(self) -> None:
        """Do what is due until cancelled."""
        loop = asyncio.get_running_loop()
        shared = said = compared = float("-inf")
        while True:
            due = loop.time() + _STEP_S
            await asyncio.sleep(_STEP_S)
            now = loop.time()
            self._watch_self(now - due)
            if self._fleet_changed:
                self._fleet_changed = False
                self._index.sync(now)
            if now - shared >= _SHARE_EVERY_S:
                shared = now
                self.share(now)
            if now - said >= _DIGEST_EVERY_S:
                said = now
                self._publish_digest()
            if now - compared >= _SPEED_EVERY_S:
                compared = now
                self._index.step(now)

    def share(self, now: float) -> None:
        """Work the limits out anew from the digests."""
        alive = []
        for member in self._frame.members():
            if member.role is not Role.ENTRY:
                continue
            if member.state is MemberState.UNRESPONSIVE:
                self._lost_since.setdefault(member.node, now)
                continue
            self._lost_since.pop(member.node, None)
            if member.state is not MemberState.STARTING:
                alive.append(member.node)
        peers = self._book.describe_peers(alive, self._lost_since, now)
        elsewhere = self._book.sum_demands(now)
        self._gate.admit(self._index.share(elsewhere, peers, now))

    def _watch_self(self, lag_s: float) -> None:
        brownout = self._gate.brownout
        brownout.update(max(0.0, lag_s), self._gate.in_progress)
        if brownout.level != self._level:
            self._level = brownout.level
            _log.warning("brownout", level=self._level, lag_s=round(lag_s, 3))

    def _publish_digest(self) -> None:
        services = tuple(
            ServiceDemand(line.name, demands)
            for line in self._index.lines()
            if (demands := line.admission.list_demands())
        )
        digest = Digest(self._frame.node, services)
        # An incarnation is a time of day: adding the time since the start
        # keeps the versions of this start below those of the next one.
        passed_s = asyncio.get_running_loop().time() - self._began
        version = self._frame.incarnation + int(passed_s * _MS)
        self._version = max(self._version + 1, version)
        self._frame.board.publish(
            Topic.LIMITS,
            self._frame.node,
            self._version,
            encode_digest(digest),
            _DIGEST_KEPT_S,
        )

    def _take_digest(self, notice: Notice) -> None:
        digest = decode_digest(notice.payload)
        now = asyncio.get_running_loop().time()
        self._book.record(digest, now - notice.age_s)
        self._loads[digest.node] = sum(
            sum(service.customers.values()) for service in digest.services
        )
