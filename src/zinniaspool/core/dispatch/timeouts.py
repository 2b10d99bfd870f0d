"""Learns how much later than predicted an event may come.

These are adaptive timeouts, like the retransmission timer of TCP. They learn
what the prediction leaves out from how late events came. For first events, the
longest recent excess over the prediction counts, and decays. Events of streams
are many and come with the engine's passes, so that a high quantile of the
excess is known.
"""

from math import inf

__all__ = ["AdaptiveTimeout", "PassTimeout"]

SAFETY_FACTOR = 1.5
"""Factor on the longest excess, so far as it hasn't decayed. An event as late
as one of the last few hundred isn't overdue yet."""

MIN_MARGIN_S = 0.03
"""Time added to the timeout, in seconds. The check itself may be late by as
much, and one read may bring the events of two passes."""

FALSE_ALARM_FACTOR = 1.5
"""Factor on the longest excess after an event came that was considered
overdue. Its real excess isn't measured, since the wait for it had ended."""

NETWORK_SPREAD_S = 0.004
"""Time by which the network may delay one event more than the one before it,
in seconds. It doesn't grow with the pass."""

PASS_MARGIN_S = 0.01
"""Time added to the timeout of a pass, in seconds: the spread of the network
and the part of the prefill work that peers haven't reported yet. A process
that is late itself reads what has arrived before it decides, so that its own
delays need no margin."""

PASS_QUANTILE = 0.9998
"""Quantile of actual over longest predicted passes that is learned. It only
exceeds 1 where an engine's figures are wrong or its load is unusual. A stream
has about 30 passes, so that the quantile of a pass must be high for one false
alarm in 500 streams."""

PASS_LEARNING_PART = 0.05
"""Part by which one longer pass raises the learned factor. Each other pass
reduces it by a 5,000th part of that, so that it stays at its quantile. With
0.01, 5 to 6 of 1,000 streams were rerouted from slow heads of the large model
in the model of passes, with 0.05 2 to 4."""

INITIAL_PASSES = 200
"""Passes after which the learned factor replaces the initial excess."""

INITIAL_TIMEOUT_S = 0.12
"""Shortest timeout before its margin until enough passes were measured, in
seconds: some passes of the slowest model. The engine's configured figures may
be wrong."""

MIN_MEASURED_PART = 0.5
MIN_MEASURED_S = 0.01
"""A gap that is shorter than this part of the predicted pass and than this, in
seconds, is none between passes: events of several streams come with each
pass, and only the first of them ends it."""

ALARM_WIDENING_S = 0.025
"""Time added to all timeouts by a false alarm, in seconds, beside a part of
what earlier ones added. With 10 ms, 6 of 1,000 streams were rerouted from slow
heads of the large model, with 25 ms 2 to 4."""

MAX_WIDENING_S = 0.1  # seconds
WIDENING_DECAY_PART = 0.0002
"""Largest sum of these, and the part by which it decays with each pass. A
process sees 10 to 200 passes a second, so that a false alarm counts for about
a minute: the rate of false alarms stays at about one in as long."""


class PassTimeout:
    """The learned relative excess of the passes of a model's engines.

    The excess is that over the longest pass predicted of a healthy engine. It
    is relative, since the passes of a slow engine take longer in proportion,
    whatever prompts they read.

    Passes of a healthy engine that read unknown prompts look like those of a
    slow one, but none exceeds the longest. So the usual pace doesn't count
    until one has.

    Attributes:
        factor: The learned quantile of the actual over the predicted time; at
            least 1.
        widening_s: What recent false alarms add, in seconds.
    """

    def __init__(self) -> None:
        self.factor = 1.0
        self.widening_s = 0.0
        self._measured = 0

    def compute_timeout(self, predicted_s: float) -> float:
        """Return the time after which an event is overdue, in seconds.

        Args:
            predicted_s: The longest time predicted of a healthy head's pass,
                in seconds.

        Returns:
            Seconds; infinite if the pass isn't predicted, since the engine's
            figures aren't configured.
        """
        if predicted_s <= 0.0:
            return inf
        expected_s = predicted_s * self.factor
        if self._measured < INITIAL_PASSES:
            expected_s = max(expected_s, INITIAL_TIMEOUT_S)
        return expected_s + PASS_MARGIN_S + self.widening_s

    def record(self, predicted_s: float, took_s: float, pace: float = 1.0) -> None:
        """Record the actual time of a pass.

        Args:
            predicted_s: The longest time predicted of it, in seconds.
            took_s: The actual time, in seconds.
            pace: Usual over predicted time of the model's passes.
        """
        if took_s < min(MIN_MEASURED_S, MIN_MEASURED_PART * predicted_s):
            return
        if predicted_s <= 0.0:
            return
        factor = (took_s - NETWORK_SPREAD_S) / predicted_s
        self.widening_s *= 1.0 - WIDENING_DECAY_PART
        self._measured += 1
        is_initial = self._measured <= INITIAL_PASSES
        if factor > self.factor:
            raised = self.factor * (1.0 + PASS_LEARNING_PART)
            learned = max(pace, factor if is_initial else raised)
        elif is_initial:
            learned = self.factor
        else:
            decrease_part = PASS_LEARNING_PART * (1.0 - PASS_QUANTILE) / PASS_QUANTILE
            learned = self.factor * (1.0 - decrease_part)
        self.factor = max(1.0, learned)

    def record_false_alarm(self, pace: float = 1.0) -> None:
        """Record that an event came that was considered overdue.

        Its real excess isn't measured, since the wait for it had ended.

        Args:
            pace: Usual over predicted time of the model's passes.
        """
        self.factor = max(self.factor, pace)
        widened_s = self.widening_s * FALSE_ALARM_FACTOR + ALARM_WIDENING_S
        self.widening_s = min(MAX_WIDENING_S, widened_s)


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
