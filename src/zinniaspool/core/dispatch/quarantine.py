"""Which contents upstreams crash under, so that they are sent to none."""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from zinniaspool.core.fleet import InstanceId, InstanceLife
from zinniaspool.core.ids import ContentId

__all__ = ["HOLD_S", "Quarantine", "Verdict"]

MOST_CRASHES = 3
"""Upstreams that may crash while they have a content. All that one has is lost
with it, so that one or two crashes tell nothing of a single request."""

HOLD_S = 600.0
"""For how long a content is held back, and a crash remembered, in seconds."""

SOUND_S = 60.0
"""For how long a whole answer clears its content, in seconds."""

MOST_CONTENTS = 4096
"""Contents of which crashes, or answers, are remembered."""


class Verdict(Enum):
    """What is believed of a content after a crash."""

    OPEN = "open"
    HELD = "held"
    """It is to be held back from now on."""

    CLEARED = "cleared"
    """Upstreams have answered it whole: others' crashes are not its fault."""


@dataclass(slots=True)
class _Suspicion:
    """The upstreams that crashed while they had a content."""

    since: float
    lives: set[InstanceLife] = field(default_factory=set)


class Quarantine:
    """Counts crashes by content, over all entry processes.

    Attributes:
        held: How many contents are held back.
    """

    def __init__(self) -> None:
        self._suspicions: OrderedDict[ContentId, _Suspicion] = OrderedDict()
        self._held: dict[ContentId, float] = {}
        self._answered: OrderedDict[ContentId, float] = OrderedDict()

    @property
    def held(self) -> int:
        """How many contents are held back."""
        return len(self._held)

    def is_held(self, content: ContentId, now: float) -> bool:
        """Tell whether a content is sent to no upstream."""
        until = self._held.get(content)
        if until is None:
            return False
        if until > now:
            return True
        del self._held[content]
        return False

    def is_near(self, content: ContentId) -> bool:
        """Tell whether one more crash would have a content held back."""
        suspicion = self._suspicions.get(content)
        return suspicion is not None and len(suspicion.lives) + 1 >= MOST_CRASHES

    def list_crashed(self, content: ContentId) -> list[InstanceId]:
        """Return the instances that crashed while they had a content."""
        suspicion = self._suspicions.get(content)
        lives = () if suspicion is None else suspicion.lives
        return sorted(life.instance for life in lives)

    def note_crash(self, content: ContentId, life: InstanceLife, now: float) -> Verdict:
        """Take that an instance crashed while it had a content."""
        suspicion = self._suspicions.get(content)
        if suspicion is None or now - suspicion.since > HOLD_S:
            suspicion = self._suspicions[content] = _Suspicion(now)
        suspicion.lives.add(life)
        self._suspicions.move_to_end(content)
        if len(self._suspicions) > MOST_CONTENTS:
            self._suspicions.popitem(last=False)
        if len(suspicion.lives) < MOST_CRASHES or self.is_held(content, now):
            return Verdict.OPEN
        return self.hold(content, now, now + HOLD_S)

    def hold(
        self, content: ContentId, now: float, until: float = float("inf")
    ) -> Verdict:
        """Hold a content back, unless it has just been answered.

        Args:
            content: Which.
            now: Seconds.
            until: When it is let go, in seconds, if nobody releases it.
        """
        if now - self._answered.get(content, float("-inf")) < SOUND_S:
            self.release(content)
            return Verdict.CLEARED
        self._held[content] = until
        return Verdict.HELD

    def release(self, content: ContentId) -> None:
        """Forget that upstreams crashed under a content."""
        self._held.pop(content, None)
        self._suspicions.pop(content, None)

    def note_answer(self, content: ContentId, now: float) -> bool:
        """Take that an upstream answered a content whole.

        Returns:
            Whether it was held back, so that others must be told.
        """
        was_held = self.is_held(content, now)
        self.release(content)
        self._answered[content] = now
        self._answered.move_to_end(content)
        if len(self._answered) > MOST_CONTENTS:
            self._answered.popitem(last=False)
        return was_held
