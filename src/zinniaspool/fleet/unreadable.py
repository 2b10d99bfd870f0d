"""The values in the store that this process can't use, by key."""

from collections import Counter
from collections.abc import Mapping
from enum import Enum

import structlog

__all__ = ["UnreadableValues", "ValueKind"]

_log = structlog.get_logger(__name__)


class ValueKind(Enum):
    """What a value should have been."""

    CONFIGURATION = "configuration"
    HOLDER = "holder"
    INSTANCE = "instance"
    NODE = "node"
    PLAN = "plan"
    QUARANTINE = "quarantine"


_EVENTS = {
    ValueKind.CONFIGURATION: "configuration-unreadable",
    ValueKind.HOLDER: "record-unreadable",
    ValueKind.INSTANCE: "entry-unreadable",
    ValueKind.NODE: "record-unreadable",
    ValueKind.PLAN: "plan-unreadable",
    ValueKind.QUARANTINE: "quarantine-record-unreadable",
}


class UnreadableValues:
    """Logs each unusable value once, counts them and knows the current ones.

    A value may be written many times a second, so it is logged again only if
    the reason changes.

    Attributes:
        counts: Number of values that were rejected so far, by kind.
    """

    def __init__(self) -> None:
        self.counts: Counter[ValueKind] = Counter()
        self._current: dict[str, tuple[ValueKind, str]] = {}

    @property
    def current(self) -> Mapping[str, tuple[ValueKind, str]]:
        """The kind of each value that is unusable now, and the reason."""
        return self._current

    def reject(self, kind: ValueKind, key: str, reason: str) -> None:
        """Record that a value can't be used.

        Args:
            kind: What the value should have been.
            key: The value's key.
            reason: Why it can't be used.
        """
        self.counts[kind] += 1
        if self._current.get(key) == (kind, reason):
            return
        self._current[key] = (kind, reason)
        _log.warning(_EVENTS[kind], key=key, reason=reason)

    def forget(self, kind: ValueKind) -> None:
        """Forget the unusable values of a kind, which is decoded no more."""
        self._current = {
            key: value for key, value in self._current.items() if value[0] is not kind
        }

    def accept(self, key: str) -> None:
        """Record that a key's value can be used, or that it has none."""
        self._current.pop(key, None)
