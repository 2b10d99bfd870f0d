"""Notices: small versioned values whose newest version all processes need.

The table of notices keeps the newest version of each key and selects which
notices to send next within a byte budget.
"""

import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum

from zinniaspool.core.messages.membership import KnownVersion, WireNotice

__all__ = ["Notice", "NoticeTable", "Topic"]

MAX_PAYLOAD_BYTES = 64 * 1024
"""Maximum size of a payload; larger values travel in other messages."""
_NOTICE_OVERHEAD_BYTES = 34
"""Approximate bytes that msgpack adds to the key and payload of a notice."""

_FRAME_RESERVE_BYTES = 256
"""Bytes kept free for the frame of a message."""
_PUSHES = 1
"""Number of pushes in which a new notice is sent; each push goes to a few
random peers."""
_EXCHANGES = 4
"""Number of exchanges (requests or responses of a comparison) that repeat a
new notice; the value follows from ``benchmarks.capacity_gossip``."""
_FREQUENT_TOPIC_EXCHANGES = 1
"""The same for topics whose next version follows within seconds, so that it
makes up for a lost notice."""


class Topic(Enum):
    """Subject of a notice; notices with smaller numbers are sent first."""

    CONFIGURATION = 1
    LEAVING = 2
    MEMBERS = 3
    PLANS = 4
    GROUPS = 5
    LIMITS = 6


_FREQUENT_TOPICS = (Topic.GROUPS, Topic.LIMITS)


@dataclass(frozen=True, slots=True)
class Notice:
    """One published value as a subscriber receives it.

    Attributes:
        topic: Subject of the value.
        key: Key of the value within the topic.
        version: Orders the values of one key.
        payload: The value, encoded by its publisher.
        age_s: Seconds since the value was published. Messages carry ages
            instead of times of day, so that no common clock is needed.
    """

    topic: Topic
    key: str
    version: int
    payload: bytes
    age_s: float


@dataclass(frozen=True, slots=True)
class _NoticeKey:
    topic: Topic
    key: str


@dataclass(slots=True)
class _StoredNotice:
    """A notice in the table, with the number of times to send it.

    Attributes:
        name: Topic and key.
        version: Orders the values of one key.
        payload: The encoded value.
        born: Time of publication by this process's clock.
        lifetime_s: Age at which the notice expires.
        pushes_left: Number of pushes that still send the notice.
        exchanges_left: Number of exchanges that still repeat the notice.
    """

    name: _NoticeKey
    version: int
    payload: bytes
    born: float
    lifetime_s: float
    pushes_left: int
    exchanges_left: int

    @property
    def size(self) -> int:
        return _NOTICE_OVERHEAD_BYTES + len(self.name.key) + len(self.payload)

    def encode(self, now: float) -> WireNotice:
        return WireNotice(
            self.name.topic.value,
            self.name.key,
            self.version,
            self.payload,
            max(0.0, now - self.born),
            self.lifetime_s,
        )


class NoticeTable:
    """The newest notice of each key, and which notices are still to be sent.

    Args:
        rng: Random source.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._notices: dict[_NoticeKey, _StoredNotice] = {}
        self._spreading: dict[_NoticeKey, _StoredNotice] = {}

    def __len__(self) -> int:
        return len(self._notices)

    def put(
        self, notice: WireNotice, now: float, *, spread: bool = True
    ) -> Notice | None:
        """Store a notice if it is newer than the known one.

        Args:
            notice: The received or published notice.
            now: Current time in seconds.
            spread: Whether the notice is sent on to other processes.

        Returns:
            The notice, or None if it is not newer, has expired, is too large,
            or has a topic that only a newer version of the software knows.
        """
        try:
            topic = Topic(notice.topic)
        except ValueError:
            return None
        age_s = max(0.0, notice.age_s)
        expired = age_s >= notice.lifetime_s
        if expired or len(notice.payload) > MAX_PAYLOAD_BYTES:
            return None
        name = _NoticeKey(topic, notice.key)
        known = self._notices.get(name)
        # Notices arrive over many paths and out of order. Accepting an older
        # one would revert a change until the next round.
        if known is not None and notice.version <= known.version:
            return None
        stored = _StoredNotice(
            name,
            notice.version,
            notice.payload,
            now - age_s,
            notice.lifetime_s,
            _PUSHES,
            _FREQUENT_TOPIC_EXCHANGES if topic in _FREQUENT_TOPICS else _EXCHANGES,
        )
        self._notices[name] = stored
        self._spreading.pop(name, None)
        if spread:
            self._spreading[name] = stored
        return Notice(topic, notice.key, notice.version, notice.payload, age_s)

    def find(self, topic: Topic, key: str, now: float) -> WireNotice | None:
        """Return the newest notice of a key in its wire form."""
        stored = self._notices.get(_NoticeKey(topic, key))
        return None if stored is None else stored.encode(now)

    def list_topic(self, topic: Topic, now: float) -> list[Notice]:
        """Return the newest notice of each key of a topic."""
        return [
            _make_notice(stored, now)
            for name, stored in self._notices.items()
            if name.topic is topic
        ]

    def expire(self, now: float) -> list[Notice]:
        """Remove the notices that are past their lifetime and return them."""
        expired = [
            stored
            for stored in self._notices.values()
            if now - stored.born >= stored.lifetime_s
        ]
        for stored in expired:
            del self._notices[stored.name]
            self._spreading.pop(stored.name, None)
        return [_make_notice(stored, now) for stored in expired]

    def dequeue_pushes(
        self, budget_bytes: int, now: float, *, include_limits: bool = True
    ) -> list[WireNotice]:
        """Return the notices to push now, most urgent topic first.

        Args:
            budget_bytes: Maximum size of the notices.
            now: Current time in seconds.
            include_limits: Whether notices of ``Topic.LIMITS`` are included.
        """
        due = [stored for stored in self._spreading.values() if stored.pushes_left]
        if not include_limits:
            due = [stored for stored in due if stored.name.topic is not Topic.LIMITS]
        selected = list(self._select_within_budget(budget_bytes, due))
        for stored in selected:
            stored.pushes_left -= 1
        self._drop_spread()
        return [stored.encode(now) for stored in selected]

    def dequeue_exchanged(self, budget_bytes: int, now: float) -> list[WireNotice]:
        """Return the recent notices to send along with an exchange."""
        exchangeable = (
            stored for stored in self._spreading.values() if stored.exchanges_left
        )
        selected = list(self._select_within_budget(budget_bytes, exchangeable))
        for stored in selected:
            stored.exchanges_left -= 1
        self._drop_spread()
        return [stored.encode(now) for stored in selected]

    def sample_versions(self, count: int) -> list[KnownVersion]:
        """Return versions that a peer compares with its own.

        The result contains the versions of the configuration and a few others
        at random. So the cost of one comparison does not depend on the number
        of keys, and over the rounds each key is compared.
        """
        configuration_names = [
            n for n in self._notices if n.topic is Topic.CONFIGURATION
        ]
        other_names = [n for n in self._notices if n.topic is not Topic.CONFIGURATION]
        sampled = self._rng.sample(other_names, min(count, len(other_names)))
        return [
            KnownVersion(name.topic.value, name.key, self._notices[name].version)
            for name in (*configuration_names, *sampled)
        ]

    def find_newer(
        self, known: Iterable[KnownVersion], budget_bytes: int, now: float
    ) -> list[WireNotice]:
        """Return the notices of which a peer knows an older version or none.

        Args:
            known: Versions that the peer knows; -1 for none.
            budget_bytes: Maximum size of the notices.
            now: Current time in seconds.
        """
        newer_notices = []
        for known_version in known:
            stored = self._find(known_version)
            if stored is not None and stored.version > known_version.version:
                newer_notices.append(stored)
        return [
            stored.encode(now)
            for stored in self._select_within_budget(budget_bytes, newer_notices)
        ]

    def find_older(self, known: Iterable[KnownVersion]) -> list[KnownVersion]:
        """Return the known versions of the keys that a peer knows newer."""
        older_versions = []
        for known_version in known:
            stored = self._find(known_version)
            version = -1 if stored is None else stored.version
            if known_version.version > version:
                older_versions.append(
                    KnownVersion(known_version.topic, known_version.key, version)
                )
        return older_versions

    def list_page(self, after: str, budget_bytes: int, now: float) -> list[WireNotice]:
        """Return one page of all notices, for a joining process.

        Args:
            after: Page key of the last notice of the previous page.
            budget_bytes: Maximum size of the page; the first notice is
                included in any case.
            now: Current time in seconds.
        """
        remaining = sorted(
            (
                stored
                for stored in self._notices.values()
                if make_page_key(stored.name) > after
            ),
            key=lambda stored: make_page_key(stored.name),
        )
        page: list[WireNotice] = []
        for stored in remaining:
            budget_bytes -= stored.size
            if budget_bytes < 0 and page:
                break
            page.append(stored.encode(now))
        return page

    def _find(self, known: KnownVersion) -> _StoredNotice | None:
        try:
            topic = Topic(known.topic)
        except ValueError:
            return None
        return self._notices.get(_NoticeKey(topic, known.key))

    def _select_within_budget(
        self, budget_bytes: int, candidates: Iterable[_StoredNotice]
    ) -> Iterator[_StoredNotice]:
        for stored in sorted(candidates, key=lambda stored: stored.name.topic.value):
            # A notice larger than the remaining budget is sent all the same,
            # and the overdraft is made up for before the next one. If it were
            # skipped, smaller notices of less urgent topics would use up the
            # budget each time: a plan would never be sent beside a stream of
            # heartbeats.
            min_budget_bytes = 1
            if stored.name.topic is Topic.LIMITS:
                # Digests of limits are published all the time and would use
                # up the whole budget. A change of the configuration that is
                # published in between would then have to wait at every hop.
                min_budget_bytes = stored.size + _FRAME_RESERVE_BYTES
            if budget_bytes < min_budget_bytes:
                return
            budget_bytes -= stored.size
            yield stored

    def _drop_spread(self) -> None:
        for name in [
            name
            for name, stored in self._spreading.items()
            if not stored.pushes_left and not stored.exchanges_left
        ]:
            del self._spreading[name]


def make_page_key(name: _NoticeKey) -> str:
    """Return the key by which the pages of a table are sorted."""
    return f"{name.topic.value}/{name.key}"


def measure_notices(notices: Iterable[WireNotice]) -> int:
    """Return the approximate size of notices on the wire, in bytes."""
    return sum(_NOTICE_OVERHEAD_BYTES + len(n.key) + len(n.payload) for n in notices)


def _make_notice(stored: _StoredNotice, now: float) -> Notice:
    age_s = max(0.0, now - stored.born)
    name = stored.name
    return Notice(name.topic, name.key, stored.version, stored.payload, age_s)
