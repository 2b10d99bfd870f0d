"""How much longer than predicted something may take before it is overdue.

Pattern: an adaptive timeout, like the retransmission timer of TCP. What a
prediction leaves out is learned from how late things came: the longest excess
of late counts, and fades.
"""

__all__ = ["AdaptiveTimeout"]

CAUTION = 1.5
"""Factor on the longest excess, as far as it has not faded: something as late
as one of the last few hundred is not overdue yet."""

LEAST_S = 0.03
"""Time on top of that, in seconds: the look itself may be late by as much, and
what two passes bring may come in one read."""

FALSE_FACTOR = 1.5
"""By how much more is allowed after something came that counted as overdue:
how late it was is not measured where it was given up."""


class AdaptiveTimeout:
    """What is learned of how late one kind of thing comes.

    Args:
        first_s: The longest excess taken before any was measured, in seconds.
        most_s: The most that is learned, in seconds.
        fade: Part by which what was learned fades with each thing that comes.

    Attributes:
        excess_s: The longest excess, as far as it has not faded.
    """

    def __init__(self, first_s: float, most_s: float, fade: float) -> None:
        self.excess_s = first_s
        self._most_s = most_s
        self._fade = fade

    def allow(self, predicted_s: float) -> float:
        """Return after what time something is overdue, in seconds."""
        return predicted_s + CAUTION * self.excess_s + LEAST_S

    def note(self, predicted_s: float, took_s: float) -> None:
        """Take how long something took and was predicted to take."""
        faded_s = self.excess_s * (1 - self._fade)
        self.excess_s = min(self._most_s, max(faded_s, took_s - predicted_s))

    def note_false(self) -> None:
        """Take that something came that had counted as overdue."""
        wider_s = max(LEAST_S, self.excess_s * FALSE_FACTOR)
        self.excess_s = min(self._most_s, wider_s)
