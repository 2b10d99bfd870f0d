"""Learns how much later than predicted an event may come.

This is an adaptive timeout, like the retransmission timer of TCP. It learns
what the prediction leaves out from how late events came: the longest recent
excess over the prediction counts, and decays.
"""

__all__ = ["AdaptiveTimeout"]

SAFETY_FACTOR = 1.5
"""Factor on the longest excess, so far as it hasn't decayed. An event as late
as one of the last few hundred isn't overdue yet."""

MIN_MARGIN_S = 0.03
"""Time added to the timeout, in seconds. The check itself may be late by as
much, and one read may bring the events of two passes."""

FALSE_ALARM_FACTOR = 1.5
"""Factor on the longest excess after an event came that was considered
overdue. Its real excess isn't measured, since the wait for it had ended."""


class AdaptiveTimeout:
    """The learned excess of one kind of event.

    Args:
        initial_excess_s: Longest excess assumed before any was measured, in
            seconds.
        max_excess_s: Largest excess that is learned, in seconds.
        decay_part: Part by which the learned excess decays with each event.

    Attributes:
        excess_s: The longest excess, so far as it hasn't decayed.
    """

    def __init__(
        self, initial_excess_s: float, max_excess_s: float, decay_part: float
    ) -> None:
        self.excess_s = initial_excess_s
        self._max_excess_s = max_excess_s
        self._decay_part = decay_part

    def compute_timeout(self, predicted_s: float) -> float:
        """Return the time after which an event is overdue, in seconds."""
        return predicted_s + SAFETY_FACTOR * self.excess_s + MIN_MARGIN_S

    def record(self, predicted_s: float, took_s: float) -> None:
        """Record the predicted and the actual time of an event, in seconds."""
        decayed_s = self.excess_s * (1 - self._decay_part)
        self.excess_s = min(self._max_excess_s, max(decayed_s, took_s - predicted_s))

    def record_false_alarm(self) -> None:
        """Record that an event came that was considered overdue."""
        widened_s = max(MIN_MARGIN_S, self.excess_s * FALSE_ALARM_FACTOR)
        self.excess_s = min(self._max_excess_s, widened_s)
