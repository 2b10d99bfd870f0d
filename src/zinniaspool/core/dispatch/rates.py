"""How often an upstream may be sent a request that has announced a limit."""

__all__ = ["AnnouncedRate"]

LEAST_PER_S = 0.25
"""Least rate that is used, in requests a second: only an answer tells that a
limit, also one of none at all, is over."""

BURST = 2.0
"""Requests that may follow each other at once."""


class AnnouncedRate:
    """Spaces the requests that several processes send to one upstream.

    Pattern: generic cell rate algorithm. Each request makes the next one due
    later by the time that one takes at the rate. The processes tell each other
    of every request, so that together they send what the upstream takes,
    however they are spread.

    Args:
        per_s: Requests a second, from all processes.
        now: Seconds.
    """

    def __init__(self, per_s: float, now: float) -> None:
        self.per_s = per_s
        self._due = now

    def allows(self, part: float, now: float) -> bool:
        """Tell whether one more request may be sent.

        Args:
            part: The part of the upstream that is shared by those that tell
                each other.
            now: Seconds.
        """
        if not part:
            return False
        return self._due <= now + (BURST - 1.0) * self._spacing_s(part)

    def count(self, part: float, now: float) -> None:
        """Count a request that one of those processes has sent."""
        if part:
            self._due = max(self._due, now) + self._spacing_s(part)

    def _spacing_s(self, part: float) -> float:
        return 1.0 / (max(self.per_s, LEAST_PER_S) * part)
