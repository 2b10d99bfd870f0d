"""Notices: small values that every process should know the newest of."""

import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum

from zinniaspool.core.messages.membership import KnownVersion, WireNotice

__all__ = ["Notice", "NoticeTable", "Topic"]

MOST_PAYLOAD_BYTES = 64 * 1024
"""Bytes of one notice; larger values go by their own way."""
_OVERHEAD_BYTES = 34
"""About what msgpack adds to a notice's key and payload on the wire."""

_RESERVE_BYTES = 256
"""Bytes kept for a message's frame."""
_PUSHES = 1
"""Times that a notice is pushed at once to each chosen peer."""
_EXCHANGES = 4
"""Exchanges in which a notice is told again; measured with
benchmarks.capacity_gossip."""
_EXCHANGES_OF_FREQUENT = 1
"""For topics whose next version comes within seconds and repairs a loss."""


class Topic(Enum):
    """What a notice is about; a smaller number is sent first."""

    CONFIGURATION = 1
    LEAVING = 2
    MEMBERS = 3
    PLANS = 4
    GROUPS = 5
    LIMITS = 6


_FREQUENT = (Topic.GROUPS, Topic.LIMITS)


@dataclass(frozen=True, slots=True)
class Notice:
    """One value as a subscriber gets it.

    Attributes:
        topic: What it is about.
        key: Whose value it is, within the topic.
        version: Orders the values of one key.
        payload: The value, encoded by its publisher.
        age_s: Seconds since it was published. Ages travel in place of times
            of day, so that no common clock is needed.
    """

    topic: Topic
    key: str
    version: int
    payload: bytes
    age_s: float


@dataclass(frozen=True, slots=True)
class _Name:
    topic: Topic
    key: str


@dataclass(slots=True)
class _Entry:
    name: _Name
    version: int
    payload: bytes
    born: float
    lifetime_s: float
    pushes_left: int
    exchanges_left: int

    @property
    def size(self) -> int:
        return _OVERHEAD_BYTES + len(self.name.key) + len(self.payload)

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
    """The newest notice of each key, and what is still to be passed on.

    Args:
        source: The random source.
    """

    def __init__(self, source: random.Random) -> None:
        self._source = source
        self._entries: dict[_Name, _Entry] = {}
        self._hot: dict[_Name, _Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def put(
        self, notice: WireNotice, now: float, *, spread: bool = True
    ) -> Notice | None:
        """Keep a notice if it is newer than what is known.

        Args:
            notice: What came.
            now: Seconds.
            spread: Whether it is to be passed on.

        Returns:
            The notice, or None when it is old, expired, too large, or of a
            topic that only a newer version knows.
        """
        try:
            topic = Topic(notice.topic)
        except ValueError:
            return None
        age_s = max(0.0, notice.age_s)
        expired = age_s >= notice.lifetime_s
        if expired or len(notice.payload) > MOST_PAYLOAD_BYTES:
            return None
        name = _Name(topic, notice.key)
        known = self._entries.get(name)
        # Notices arrive by many ways and out of order; taking an older one
        # would turn a change back until the next round.
        if known is not None and notice.version <= known.version:
            return None
        entry = _Entry(
            name,
            notice.version,
            notice.payload,
            now - age_s,
            notice.lifetime_s,
            _PUSHES,
            _EXCHANGES_OF_FREQUENT if topic in _FREQUENT else _EXCHANGES,
        )
        self._entries[name] = entry
        self._hot.pop(name, None)
        if spread:
            self._hot[name] = entry
        return Notice(topic, notice.key, notice.version, notice.payload, age_s)

    def find(self, topic: Topic, key: str, now: float) -> WireNotice | None:
        """Return the newest notice of a key, to be passed on."""
        entry = self._entries.get(_Name(topic, key))
        return None if entry is None else entry.encode(now)

    def list_topic(self, topic: Topic, now: float) -> list[Notice]:
        """Return the newest notices of a topic."""
        return [
            _read(entry, now)
            for name, entry in self._entries.items()
            if name.topic is topic
        ]

    def expire(self, now: float) -> list[Notice]:
        """Forget what is past its lifetime and return it."""
        ended = [
            entry
            for entry in self._entries.values()
            if now - entry.born >= entry.lifetime_s
        ]
        for entry in ended:
            del self._entries[entry.name]
            self._hot.pop(entry.name, None)
        return [_read(entry, now) for entry in ended]

    def take_pushes(
        self, budget_bytes: int, now: float, *, all_topics: bool = True
    ) -> list[WireNotice]:
        """Return what is to be pushed now, most urgent topic first.

        Args:
            budget_bytes: Most bytes of notices.
            now: Seconds.
            all_topics: Whether those of ``Topic.LIMITS`` are among them.
        """
        due = [entry for entry in self._hot.values() if entry.pushes_left]
        if not all_topics:
            due = [entry for entry in due if entry.name.topic is not Topic.LIMITS]
        chosen = list(self._choose(budget_bytes, due))
        for entry in chosen:
            entry.pushes_left -= 1
        self._cool()
        return [entry.encode(now) for entry in chosen]

    def take_exchanged(self, budget_bytes: int, now: float) -> list[WireNotice]:
        """Return the recent notices that go along with an exchange."""
        hot = (entry for entry in self._hot.values() if entry.exchanges_left)
        chosen = list(self._choose(budget_bytes, hot))
        for entry in chosen:
            entry.exchanges_left -= 1
        self._cool()
        return [entry.encode(now) for entry in chosen]

    def sample_known(self, count: int) -> list[KnownVersion]:
        """Return versions for a peer to compare with its own.

        Those of the configuration always, and a few others at random: the
        cost of one comparison stays the same however many keys there are,
        and over the rounds each key has its turn.
        """
        always = [n for n in self._entries if n.topic is Topic.CONFIGURATION]
        others = [n for n in self._entries if n.topic is not Topic.CONFIGURATION]
        drawn = self._source.sample(others, min(count, len(others)))
        return [
            KnownVersion(name.topic.value, name.key, self._entries[name].version)
            for name in (*always, *drawn)
        ]

    def find_newer(
        self, known: Iterable[KnownVersion], budget_bytes: int, now: float
    ) -> list[WireNotice]:
        """Return what a peer knows only an older version of, or nothing."""
        newer = []
        for each in known:
            entry = self._find(each)
            if entry is not None and entry.version > each.version:
                newer.append(entry)
        return [entry.encode(now) for entry in self._choose(budget_bytes, newer)]

    def find_older(self, known: Iterable[KnownVersion]) -> list[KnownVersion]:
        """Return what a peer knows a newer version of, as known here."""
        older = []
        for each in known:
            entry = self._find(each)
            version = -1 if entry is None else entry.version
            if each.version > version:
                older.append(KnownVersion(each.topic, each.key, version))
        return older

    def page(self, after: str, budget_bytes: int, now: float) -> list[WireNotice]:
        """Return notices in the order of their page keys, for a new peer."""
        later = sorted(
            (entry for entry in self._entries.values() if page_key(entry.name) > after),
            key=lambda entry: page_key(entry.name),
        )
        page: list[WireNotice] = []
        for entry in later:
            budget_bytes -= entry.size
            if budget_bytes < 0 and page:
                break
            page.append(entry.encode(now))
        return page

    def _find(self, known: KnownVersion) -> _Entry | None:
        try:
            topic = Topic(known.topic)
        except ValueError:
            return None
        return self._entries.get(_Name(topic, known.key))

    def _choose(self, budget_bytes: int, entries: Iterable[_Entry]) -> Iterator[_Entry]:
        for entry in sorted(entries, key=lambda entry: entry.name.topic.value):
            # A notice larger than what is left goes out all the same, and
            # what it overdraws is saved up before the next. Passing over it
            # would let smaller ones of less urgent topics use up the budget
            # each time: a plan would never leave beside a stream of beats.
            least = 1
            if entry.name.topic is Topic.LIMITS:
                # Digests of limits come all the time and would use up
                # whatever there is: a change of configuration that comes
                # between would have to wait at every hop.
                least = entry.size + _RESERVE_BYTES
            if budget_bytes < least:
                return
            budget_bytes -= entry.size
            yield entry

    def _cool(self) -> None:
        for name in [
            name
            for name, entry in self._hot.items()
            if not entry.pushes_left and not entry.exchanges_left
        ]:
            del self._hot[name]


def page_key(name: _Name) -> str:
    """Return what pages of a whole table are ordered by."""
    return f"{name.topic.value}/{name.key}"


def measure_notices(notices: Iterable[WireNotice]) -> int:
    """Return about how many bytes notices take on the wire."""
    return sum(_OVERHEAD_BYTES + len(n.key) + len(n.payload) for n in notices)


def _read(entry: _Entry, now: float) -> Notice:
    age_s = max(0.0, now - entry.born)
    name = entry.name
    return Notice(name.topic, name.key, entry.version, entry.payload, age_s)
