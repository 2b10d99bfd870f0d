"""Quarantines request contents that crash upstreams.

A quarantined content is sent to no upstream, so that a request which comes
again and again can't end one upstream after another.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from zinniaspool.core.fleet import InstanceId, InstanceIncarnation
from zinniaspool.core.ids import ContentId

__all__ = ["HOLD_S", "Quarantine", "QuarantineStatus"]

CRASHES_TO_QUARANTINE = 3
"""Number of upstream incarnations that must crash while they have a content
before it is quarantined. A crash ends all requests of its upstream, so that
one or two crashes show nothing about a single content."""

HOLD_S = 600.0
"""Time for which a content is quarantined and a crash is remembered, in
seconds."""

CLEARED_S = 60.0
"""Time for which a complete answer clears its content, in seconds."""

MAX_CONTENTS = 4096
"""Contents for which crashes, or answers, are remembered."""


class QuarantineStatus(Enum):
    """The status of a content after a crash or a quarantine request."""

    OPEN = "open"
    QUARANTINED = "held"
    """The content is quarantined from now on."""

    CLEARED = "cleared"
    """Upstreams have answered the content completely, so that the crashes of
    others have another cause."""


@dataclass(slots=True)
class _CrashRecord:
    """The incarnations of upstreams that crashed while they had a content."""

    since: float
    incarnations: set[InstanceIncarnation] = field(default_factory=set)


class Quarantine:
    """Counts crashes by content, over all entry processes."""

    def __init__(self) -> None:
        self._crashes: OrderedDict[ContentId, _CrashRecord] = OrderedDict()
        self._quarantined_until: dict[ContentId, float] = {}
        self._answered: OrderedDict[ContentId, float] = OrderedDict()

    @property
    def quarantined_count(self) -> int:
        """Number of quarantined contents."""
        return len(self._quarantined_until)

    def is_quarantined(self, content: ContentId, now: float) -> bool:
        """Tell whether a content is quarantined."""
        until = self._quarantined_until.get(content)
        if until is None:
            return False
        if until > now:
            return True
        del self._quarantined_until[content]
        return False

    def is_near_quarantine(self, content: ContentId) -> bool:
        """Tell whether one more crash would quarantine a content."""
        record = self._crashes.get(content)
        return (
            record is not None and len(record.incarnations) + 1 >= CRASHES_TO_QUARANTINE
        )

    def list_crashed_instances(self, content: ContentId) -> list[InstanceId]:
        """Return the instances that crashed while they had a content."""
        record = self._crashes.get(content)
        incarnations = () if record is None else record.incarnations
        return sorted(incarnation.instance for incarnation in incarnations)

    def record_crash(
        self, content: ContentId, incarnation: InstanceIncarnation, now: float
    ) -> QuarantineStatus:
        """Record that an instance crashed while it had a content.

        Args:
            content: The content.
            incarnation: The crashed incarnation, which counts once however
                many processes report it.
            now: Seconds.

        Returns:
            What the crash means for the content. OPEN also stands for a
            content that was quarantined before.
        """
        record = self._crashes.get(content)
        if record is None or now - record.since > HOLD_S:
            record = self._crashes[content] = _CrashRecord(now)
        record.incarnations.add(incarnation)
        self._crashes.move_to_end(content)
        if len(self._crashes) > MAX_CONTENTS:
            self._crashes.popitem(last=False)
        if len(record.incarnations) < CRASHES_TO_QUARANTINE or self.is_quarantined(
            content, now
        ):
            return QuarantineStatus.OPEN
        return self.quarantine(content, now, now + HOLD_S)

    def quarantine(
        self, content: ContentId, now: float, until: float = float("inf")
    ) -> QuarantineStatus:
        """Quarantine a content, unless it was answered a short time ago.

        Args:
            content: The content.
            now: Seconds.
            until: Time at which the quarantine ends if it isn't released
                before, in seconds.
        """
        if now - self._answered.get(content, float("-inf")) < CLEARED_S:
            self.release(content)
            return QuarantineStatus.CLEARED
        self._quarantined_until[content] = until
        return QuarantineStatus.QUARANTINED

    def release(self, content: ContentId) -> None:
        """Forget the quarantine and the crashes of a content."""
        self._quarantined_until.pop(content, None)
        self._crashes.pop(content, None)

    def record_answer(self, content: ContentId, now: float) -> bool:
        """Record that an upstream answered a content completely.

        Returns:
            Whether the content was quarantined, so that the other processes
            must be informed.
        """
        was_quarantined = self.is_quarantined(content, now)
        self.release(content)
        self._answered[content] = now
        self._answered.move_to_end(content)
        if len(self._answered) > MAX_CONTENTS:
            self._answered.popitem(last=False)
        return was_quarantined
