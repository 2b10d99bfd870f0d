"""Predicts events of a pool's targets, and learns from how late they come."""

import random

from zinniaspool.core.dispatch.choice import PASS_TOLERANCE_S
from zinniaspool.core.dispatch.pace import FirstEventForecast
from zinniaspool.core.dispatch.slow import SlowTargets
from zinniaspool.core.dispatch.speed import MedianPace
from zinniaspool.core.dispatch.targets import TargetState
from zinniaspool.core.dispatch.timeouts import AdaptiveTimeout, PassTimeout

__all__ = ["TargetPredictions"]

INITIAL_FIRST_EVENT_EXCESS_S = 0.08  # seconds, about one first event
MAX_FIRST_EVENT_EXCESS_S = 0.6  # seconds, less than callers wait
FIRST_EVENT_EXCESS_DECAY_PART = 0.005
"""Learning of first events: the initial and the largest excess over the
prediction, in seconds, and the part by which the excess decays with each of
them. A process sees a few a second."""

MIN_PASS_S = 0.005
"""Time since a target's last event below which an event is of the same pass,
in seconds. Most events need no further computation because of it."""


class TargetPredictions:
    """What is predicted of the targets of one pool, and learned from events.

    Args:
        random_source: Spreads the probing requests of different processes.

    Attributes:
        slow: The targets that work slower than predicted.
        forecast: Predicts first events and passes.
        gap_timeout: Learns how much later than predicted an event may come.
        model_pace: Learns how much slower than configured the model's engines
            are.
        first_event_timeout: Learns the same of first events.
    """

    def __init__(self, random_source: random.Random) -> None:
        self.slow = SlowTargets(random_source)
        self.forecast = FirstEventForecast()
        self.gap_timeout = PassTimeout()
        self.model_pace = MedianPace()
        self.first_event_timeout = AdaptiveTimeout(
            INITIAL_FIRST_EVENT_EXCESS_S,
            MAX_FIRST_EVENT_EXCESS_S,
            FIRST_EVENT_EXCESS_DECAY_PART,
        )

    def predict_first_event(
        self, state: TargetState, prompt_tokens: int, now: float
    ) -> float:
        """Return the predicted time to a request's first event, in seconds.

        Args:
            state: The target.
            prompt_tokens: Length of the request's prompt.
            now: Seconds.
        """
        load, unread = state.estimate_load(now), state.known_unread_tokens
        slots = state.target.slots
        return self.forecast.predict(load, slots, unread, prompt_tokens, state.pace)

    def predict_gap(self, state: TargetState, now: float) -> float:
        """Return the predicted time to a target's next event, in seconds."""
        return state.pace * self._predict_pass(state, state.peak_unread_tokens, now)

    def predict_longest_gap(self, state: TargetState, now: float) -> float:
        """Return the longest time to a healthy target's event, in seconds."""
        load = min(state.estimate_load(now), state.target.slots)
        unread = state.peak_unread_tokens
        return state.pace * self.forecast.timing.predict_longest_pass(load, unread)

    def predict_token_time(self, slots: int) -> float:
        """Return the time of a token of a stream at a full target, in seconds.

        Args:
            slots: Requests that the target runs at a time.

        Returns:
            0 if the operator doesn't state the times of engines.
        """
        timing = self.forecast.timing
        if not timing.is_configured:
            return 0.0
        return timing.predict_pass(slots, 0.0) / timing.tokens_per_pass

    def _predict_pass(
        self, state: TargetState, unread_tokens: float, now: float
    ) -> float:
        """Return the time of a pass at an engine that works as configured."""
        load = min(state.estimate_load(now), state.target.slots)
        return self.forecast.timing.predict_pass(load, unread_tokens)

    def is_past_pass_end(
        self, state: TargetState, since_event_s: float, now: float
    ) -> bool:
        """Return whether the current pass should have brought an event by now.

        Args:
            state: The target.
            since_event_s: Time since its last event, in seconds.
            now: Seconds.
        """
        return since_event_s >= self.predict_gap(state, now) + PASS_TOLERANCE_S

    def record_event(self, state: TargetState, now: float) -> None:
        """Record that an event came from a target.

        If the target was found stalled, the timeout was too short.
        """
        if state.consecutive_stalls:
            self.gap_timeout.record_false_alarm(self.model_pace.value)
        elif state.streaming:
            gap_s = now - state.last_event_at
            longest_s = self.predict_longest_gap(state, now)
            self.gap_timeout.record(longest_s, gap_s, self.model_pace.value)
        if state.streaming and not state.blocked_streams:
            self._learn_pace(state, now)
        state.last_event_at, state.backoff_until, state.consecutive_stalls = now, 0.0, 0
        state.peak_unread_tokens = state.known_unread_tokens

    def _learn_pace(self, state: TargetState, now: float) -> None:
        """Learn a target's pace from the time since its last event."""
        took_s = now - state.last_event_at
        if took_s < MIN_PASS_S:
            return
        shortest_s = self._predict_pass(state, 0.0, now)
        timing = self.forecast.timing
        read_tokens = min(state.peak_unread_tokens, timing.max_read_tokens)
        longest_s = shortest_s + timing.read_s * read_tokens
        self.model_pace.record(took_s, state.pace * shortest_s, state.pace * longest_s)
        state.speed.record_pass(took_s, shortest_s, longest_s, now)
        self.slow.record(state, now)

    def record_first_event(
        self, state: TargetState, predicted_s: float, took_s: float, now: float
    ) -> None:
        """Record a first event's predicted and actual time.

        Args:
            state: The target.
            predicted_s: The predicted time, in seconds.
            took_s: The actual time, in seconds.
            now: Seconds.
        """
        engine_s = (predicted_s - self.forecast.overhead_s) / state.pace
        if engine_s > 0.0 and state.estimate_load(now) < state.target.slots:
            waited_s = self.forecast.overhead_s + self.forecast.spread_s
            least = (took_s - waited_s) / engine_s
            state.speed.record_first_event(max(0.0, least), took_s / engine_s, now)
            self.slow.record(state, now)
        self.forecast.record_first_event(predicted_s, took_s)
        self.first_event_timeout.record(predicted_s, took_s)
