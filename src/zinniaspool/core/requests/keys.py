"""What is remembered of idempotency keys while their answers are kept."""

import hashlib
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from typing import Generic, NewType, Protocol, TypeVar

from zinniaspool.core.ids import CustomerId, IdempotencyKey

__all__ = [
    "Fingerprint",
    "KeptOutcome",
    "KeyHash",
    "KeyLimits",
    "KeyMemory",
    "KeyTable",
    "KeyVerdict",
    "Outcome",
    "hash_key",
    "take_fingerprint",
]

KeyHash = NewType("KeyHash", str)
"""A key within its customer; another customer's same key is another."""

Fingerprint = NewType("Fingerprint", str)
"""Tells a repeat of a request from another request under the same key."""

_HASH_BYTES = 16
"""Bytes of a key's hash: no two keys share one."""
_FINGERPRINT_BYTES = 8
"""Bytes of a body's fingerprint, enough to notice another body."""


class Outcome(Protocol):
    """How a request ended, as its repeats are told."""

    @property
    def size(self) -> int:
        """Bytes that keeping it takes."""
        ...


class KeyMemory(Protocol):
    """The keys that a process remembers, whatever their outcomes are."""

    def __contains__(self, key: object) -> bool:
        """Whether a key is remembered."""
        ...

    def recall(self, key: KeyHash, fingerprint: Fingerprint, now: float) -> None:
        """Note a key whose request another process has begun."""
        ...


_Outcome = TypeVar("_Outcome", bound=Outcome)


class KeyVerdict(Enum):
    """What is to be done with a request that brings a key."""

    RUN = "run"
    """The key is new: it is this request's now."""

    WAIT = "wait"
    """The same request is running."""

    REPEAT = "repeat"
    """The same request has ended, and how is known."""

    REUSED = "reused"
    """The key belongs to another request."""

    UNKNOWN = "unknown"
    """Another process began the same request: how it ended is not known."""

    DROPPED = "dropped"
    """The same request has ended, and its answer is no longer kept."""

    FULL = "full"
    """Nothing more can be remembered: it must not run."""


@dataclass(frozen=True, slots=True)
class KeyLimits:
    """How much is remembered.

    Attributes:
        retention_s: How long an ended request's answer is kept.
        most_keys: Keys remembered at a time.
        most_bytes: Bytes of all kept answers together.
    """

    retention_s: float = 600.0
    most_keys: int = 200_000
    most_bytes: int = 32 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class KeptOutcome(Generic[_Outcome]):
    """How a remembered key's request ended."""

    key: KeyHash
    fingerprint: Fingerprint
    outcome: _Outcome


@dataclass(slots=True)
class _Record(Generic[_Outcome]):
    fingerprint: Fingerprint
    running: bool
    expires: float
    recalled: bool = False
    outcome: _Outcome | None = None


class KeyTable(Generic[_Outcome]):
    """Keys and how their requests ended, bounded in number and bytes.

    Args:
        limits: How much is remembered.
    """

    def __init__(self, limits: KeyLimits) -> None:
        self._limits = limits
        self._records: dict[KeyHash, _Record[_Outcome]] = {}
        self._kept: OrderedDict[KeyHash, int] = OrderedDict()
        self._kept_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    def __contains__(self, key: object) -> bool:
        return key in self._records

    def judge(self, key: KeyHash, fingerprint: Fingerprint) -> KeyVerdict:
        """Return what is to be done with a request, changing nothing."""
        record = self._records.get(key)
        if record is None:
            full = len(self._records) >= self._limits.most_keys
            return KeyVerdict.FULL if full else KeyVerdict.RUN
        if record.fingerprint != fingerprint:
            return KeyVerdict.REUSED
        if record.running:
            return KeyVerdict.WAIT
        if record.outcome is not None:
            return KeyVerdict.REPEAT
        return KeyVerdict.UNKNOWN if record.recalled else KeyVerdict.DROPPED

    def get_outcome(self, key: KeyHash) -> _Outcome | None:
        """Return how a request ended, where that is kept."""
        record = self._records.get(key)
        return None if record is None else record.outcome

    def list_outcomes(self) -> list[KeptOutcome[_Outcome]]:
        """Return all kept outcomes, oldest first."""
        kept = []
        for key in self._kept:
            record = self._records[key]
            if record.outcome is not None:
                kept.append(KeptOutcome(key, record.fingerprint, record.outcome))
        return kept

    def begin(self, key: KeyHash, fingerprint: Fingerprint) -> None:
        """Note that a key's request runs from now."""
        self._records[key] = _Record(fingerprint, True, 0.0)

    def recall(self, key: KeyHash, fingerprint: Fingerprint, now: float) -> None:
        """Note a key whose request another process has begun."""
        if key not in self._records:
            expires = now + self._limits.retention_s
            self._records[key] = _Record(fingerprint, False, expires, True)

    def finish(
        self, key: KeyHash, outcome: _Outcome, now: float, until: float = 0.0
    ) -> None:
        """Note how a request ended.

        Args:
            key: Its key.
            outcome: What its repeats are told.
            now: Seconds.
            until: Remember the key at least this long.
        """
        record = self._records[key]
        record.running = False
        record.expires = max(now + self._limits.retention_s, until)
        record.outcome = outcome
        self._kept[key] = outcome.size
        self._kept_bytes += outcome.size
        while self._kept_bytes > self._limits.most_bytes:
            self._drop_outcome(next(iter(self._kept)))

    def release(self, key: KeyHash) -> None:
        """Forget a key whose request was not run, so that it can be."""
        self._records.pop(key, None)

    def expire(self, now: float) -> list[KeyHash]:
        """Forget the keys whose time is over and return them."""
        ended = [
            key
            for key, record in self._records.items()
            if not record.running and record.expires <= now
        ]
        for key in ended:
            self._drop_outcome(key)
            del self._records[key]
        return ended

    def _drop_outcome(self, key: KeyHash) -> None:
        # The key itself stays: forgetting it would let a repeat run again.
        self._kept_bytes -= self._kept.pop(key, 0)
        self._records[key].outcome = None


def hash_key(customer: CustomerId, key: IdempotencyKey) -> KeyHash:
    """Return the hash by which a customer's key is remembered."""
    text = f"{len(customer)}:{customer}{key}".encode()
    return KeyHash(hashlib.blake2b(text, digest_size=_HASH_BYTES).hexdigest())


def take_fingerprint(target: str, body: bytes) -> Fingerprint:
    """Return what a request and its repeats have in common."""
    digest = hashlib.blake2b(target.encode(), digest_size=_FINGERPRINT_BYTES)
    digest.update(b"\0" + body)
    return Fingerprint(digest.hexdigest())
