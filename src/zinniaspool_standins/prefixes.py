"""An engine's prefix cache: bounded, with events that come late and gappy."""

import hashlib
from collections import OrderedDict, deque
from collections.abc import Iterable
from enum import Enum
from itertools import count

import msgspec

__all__ = ["CacheChange", "CacheEvent", "PrefixCache"]

_WORDS_PER_BLOCK = 4
_KEPT_EVENTS = 1024
_BLOCK_CHARACTERS = 16


class CacheChange(Enum):
    """What happened to a block."""

    STORED = "stored"
    EVICTED = "evicted"


class CacheEvent(msgspec.Struct, frozen=True):
    """One change of the cache; a missing number is a lost event."""

    number: int
    change: CacheChange
    block: str


class PrefixCache:
    """Blocks of prompts that need not be computed again, oldest out first.

    Args:
        capacity: Blocks that fit.
        lag_s: Age from which an event is told.
        lose_every: Each event whose number is a multiple of this is lost; 0
            for none.
    """

    def __init__(self, capacity: int, lag_s: float, lose_every: int) -> None:
        self._capacity = capacity
        self._lag_s = lag_s
        self._lose_every = lose_every
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=_KEPT_EVENTS)
        self._numbers = count(1)

    def admit(self, prompt: str, salt: str, now: float) -> int:
        """Keep a prompt's blocks; return how many were not there yet."""
        missing = 0
        for block in _split_blocks(prompt, salt):
            if block in self._blocks:
                self._blocks.move_to_end(block)
                continue
            missing += 1
            self._store(block, now)
        return missing

    def list_events(self, after: int, now: float) -> list[CacheEvent]:
        """Return the events with a later number that are old enough."""
        return [
            event
            for at, event in self._events
            if event.number > after and at <= now - self._lag_s
        ]

    def export(self) -> list[str]:
        """Return the blocks, least recently used first."""
        return list(self._blocks)

    def load(self, blocks: Iterable[str], now: float) -> None:
        """Keep blocks that another engine exported."""
        for block in blocks:
            if block not in self._blocks:
                self._store(block, now)

    def clear(self, now: float) -> None:
        """Drop every block."""
        while self._blocks:
            self._evict(now)

    def _store(self, block: str, now: float) -> None:
        self._blocks[block] = None
        self._tell(CacheChange.STORED, block, now)
        while len(self._blocks) > self._capacity:
            self._evict(now)

    def _evict(self, now: float) -> None:
        block, _ = self._blocks.popitem(last=False)
        self._tell(CacheChange.EVICTED, block, now)

    def _tell(self, change: CacheChange, block: str, now: float) -> None:
        number = next(self._numbers)
        if self._lose_every and number % self._lose_every == 0:
            return
        self._events.append((now, CacheEvent(number, change, block)))


def _split_blocks(prompt: str, salt: str) -> list[str]:
    words = prompt.split()
    digest = hashlib.sha256(salt.encode())
    blocks = []
    for start in range(0, len(words), _WORDS_PER_BLOCK):
        digest.update(" ".join(words[start : start + _WORDS_PER_BLOCK]).encode())
        blocks.append(digest.hexdigest()[:_BLOCK_CHARACTERS])
    return blocks
