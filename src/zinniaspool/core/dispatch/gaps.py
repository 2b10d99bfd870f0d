"""How long a head lets pass between two events, by its figures and what came.

Pattern: an adaptive timeout, like the retransmission timer of TCP. Every
stream at a head gets an event with each pass, so that the time between two
events of any of them is that of one pass: its token steps, and the prompts
that are read between them. What is added to that is learned.
"""

__all__ = ["GapForecast"]

FIRST_SPREAD_S = 0.06
"""By how much a gap may be longer than predicted before any was measured, in
seconds: about the time of one more pass."""

MOST_SPREAD_S = 0.3
"""The most that is learned, in seconds: with more, streams that stand still
would be noticed later than their callers accept a pause."""

FADE = 0.0005
"""Part by which what was learned fades with each gap: a process has some
hundred a second of a busy model."""

CAUTION = 1.5
"""Factor on the longest excess over the prediction, as far as it has not
faded. With both, a gap as long as one of the last eight hundred is no
silence."""

LEAST_S = 0.03
"""Time on top of that, in seconds: the look for silence itself may be late by
as much, and events of two passes may come in one read."""

FALSE_FACTOR = 1.5
"""By how much more is allowed after a head that was taken for silent went on:
its gap was not measured, since its streams had been moved."""


class GapForecast:
    """What is learned of one model's gaps.

    Attributes:
        spread_s: By how much gaps were longer than predicted at most of late.
    """

    def __init__(self) -> None:
        self.spread_s = FIRST_SPREAD_S

    def allow(self, predicted_s: float) -> float:
        """Return after what time without any event a head is silent."""
        return predicted_s + CAUTION * self.spread_s + LEAST_S

    def note(self, predicted_s: float, took_s: float) -> None:
        """Take how long a gap was and was predicted to be."""
        excess_s = took_s - predicted_s
        faded_s = self.spread_s * (1 - FADE)
        self.spread_s = min(MOST_SPREAD_S, max(faded_s, excess_s))

    def note_false_silence(self) -> None:
        """Take that a head went on that had been taken for silent."""
        wider_s = max(LEAST_S, self.spread_s * FALSE_FACTOR)
        self.spread_s = min(MOST_SPREAD_S, wider_s)
