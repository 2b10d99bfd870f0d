"""Idempotency keys that a process remembers, with their requests' outcomes."""

import hashlib
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from typing import Generic, NewType, Protocol, TypeVar

from zinniaspool.core.ids import CustomerId, IdempotencyKey

__all__ = [
    "Fingerprint",
    "KeyDecision",
    "KeyHash",
    "KeyLimits",
    "KeyTable",
    "RememberedKeys",
    "SizedOutcome",
    "StoredOutcome",
    "compute_fingerprint",
    "hash_key",
]

KeyHash = NewType("KeyHash", str)
"""Hash of an idempotency key and its customer. The same key of another
customer has another hash."""

Fingerprint = NewType("Fingerprint", str)
"""Hash of a request. It distinguishes a repeat of the request from another
request with the same key."""

_HASH_BYTES = 16
"""Bytes of a key's hash, enough that no two keys share a hash."""
_FINGERPRINT_BYTES = 8
"""Bytes of a body's fingerprint, enough to notice another body."""


class SizedOutcome(Protocol):
    """The outcome of a request, with which its repeats are answered."""

    @property
    def size(self) -> int:
        """Number of bytes that storing the outcome takes."""
        ...


class RememberedKeys(Protocol):
    """The keys that a process remembers, independent of their outcomes."""

    def __contains__(self, key: object) -> bool:
        """Whether a key is remembered."""
        ...

    def record_remote(self, key: KeyHash, fingerprint: Fingerprint, now: float) -> None:
        """Record a key whose request another process has begun."""
        ...


_Outcome = TypeVar("_Outcome", bound=SizedOutcome)


class KeyDecision(Enum):
    """How to proceed with a request that has an idempotency key."""

    RUN = "run"
    """The key is new, and the request may run under it."""

    WAIT = "wait"
    """The same request is running."""

    REPEAT = "repeat"
    """The same request has ended, and its outcome is stored."""

    REUSED = "reused"
    """The key belongs to another request."""

    UNKNOWN = "unknown"
    """Another process began the same request, and its outcome is unknown."""

    DROPPED = "dropped"
    """The same request has ended, and its outcome is no longer stored."""

    FULL = "full"
    """The table has no room for another key, so the request must not run."""


@dataclass(frozen=True, slots=True)
class KeyLimits:
    """Limits of a table of keys.

    Attributes:
        retention_s: Seconds for which an ended request's key is remembered.
        max_keys: Maximum number of keys remembered at a time.
        max_bytes: Maximum bytes of all stored outcomes together.
    """

    retention_s: float = 600.0
    max_keys: int = 200_000
    max_bytes: int = 32 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class StoredOutcome(Generic[_Outcome]):
    """A remembered key with the outcome of its request."""

    key: KeyHash
    fingerprint: Fingerprint
    outcome: _Outcome


@dataclass(slots=True)
class _Record(Generic[_Outcome]):
    """What is remembered of one key.

    Attributes:
        fingerprint: The fingerprint of the key's request.
        running: Whether the request runs in this process.
        expires_at: Time at which the key of an ended request is removed.
        remote: Whether another process began the request.
        outcome: The outcome of the request, if it is stored.
    """

    fingerprint: Fingerprint
    running: bool
    expires_at: float
    remote: bool = False
    outcome: _Outcome | None = None


class KeyTable(Generic[_Outcome]):
    """Keys and their requests' outcomes, bounded in number and bytes.

    Args:
        limits: The bounds, and how long keys are remembered.
    """

    def __init__(self, limits: KeyLimits) -> None:
        self._limits = limits
        self._records: dict[KeyHash, _Record[_Outcome]] = {}
        self._stored_sizes: OrderedDict[KeyHash, int] = OrderedDict()
        self._stored_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    def __contains__(self, key: object) -> bool:
        return key in self._records

    def classify(self, key: KeyHash, fingerprint: Fingerprint) -> KeyDecision:
        """Return how to proceed with a request; the table is unchanged."""
        record = self._records.get(key)
        if record is None:
            full = len(self._records) >= self._limits.max_keys
            return KeyDecision.FULL if full else KeyDecision.RUN
        if record.fingerprint != fingerprint:
            return KeyDecision.REUSED
        if record.running:
            return KeyDecision.WAIT
        if record.outcome is not None:
            return KeyDecision.REPEAT
        return KeyDecision.UNKNOWN if record.remote else KeyDecision.DROPPED

    def get_outcome(self, key: KeyHash) -> _Outcome | None:
        """Return the outcome of a key's request, or None if not stored."""
        record = self._records.get(key)
        return None if record is None else record.outcome

    def list_outcomes(self) -> list[StoredOutcome[_Outcome]]:
        """Return all stored outcomes, oldest first."""
        stored = []
        for key in self._stored_sizes:
            record = self._records[key]
            if record.outcome is not None:
                stored.append(StoredOutcome(key, record.fingerprint, record.outcome))
        return stored

    def record_begun(self, key: KeyHash, fingerprint: Fingerprint) -> None:
        """Record a key whose request begins to run in this process."""
        self._records[key] = _Record(fingerprint, True, 0.0)

    def record_remote(self, key: KeyHash, fingerprint: Fingerprint, now: float) -> None:
        """Record a key whose request another process has begun."""
        if key not in self._records:
            expires = now + self._limits.retention_s
            self._records[key] = _Record(fingerprint, False, expires, True)

    def record_outcome(
        self, key: KeyHash, outcome: _Outcome, now: float, remember_until: float = 0.0
    ) -> None:
        """Record the outcome of a request.

        If the stored outcomes exceed their bound, the oldest are dropped.

        Args:
            key: The request's key.
            outcome: The outcome, with which repeats are answered.
            now: Current time in seconds.
            remember_until: Time until which the key is at least remembered.
        """
        record = self._records[key]
        record.running = False
        record.expires_at = max(now + self._limits.retention_s, remember_until)
        record.outcome = outcome
        self._stored_sizes[key] = outcome.size
        self._stored_bytes += outcome.size
        while self._stored_bytes > self._limits.max_bytes:
            self._drop_outcome(next(iter(self._stored_sizes)))

    def release(self, key: KeyHash) -> None:
        """Remove a key whose request did not run, so that a repeat can."""
        self._records.pop(key, None)

    def expire(self, now: float) -> list[KeyHash]:
        """Remove the keys whose retention is over and return them."""
        expired = [
            key
            for key, record in self._records.items()
            if not record.running and record.expires_at <= now
        ]
        for key in expired:
            self._drop_outcome(key)
            del self._records[key]
        return expired

    def _drop_outcome(self, key: KeyHash) -> None:
        # The key itself stays. If it were removed, a repeat would run again.
        self._stored_bytes -= self._stored_sizes.pop(key, 0)
        self._records[key].outcome = None


def hash_key(customer: CustomerId, key: IdempotencyKey) -> KeyHash:
    """Return the hash under which a customer's key is remembered."""
    text = f"{len(customer)}:{customer}{key}".encode()
    return KeyHash(hashlib.blake2b(text, digest_size=_HASH_BYTES).hexdigest())


def compute_fingerprint(path: str, body: bytes) -> Fingerprint:
    """Return the hash of a request's path and body."""
    digest = hashlib.blake2b(path.encode(), digest_size=_FINGERPRINT_BYTES)
    digest.update(b"\0" + body)
    return Fingerprint(digest.hexdigest())
