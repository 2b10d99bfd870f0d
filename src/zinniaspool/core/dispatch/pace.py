"""Predicts the time to a first event from the engine's configured timing.

An engine works in passes: a few token steps for all running requests, and
between the passes it reads the prompts of newly arrived requests. So a first
event waits for the prompts before it, for its own prompt and for a pass.
Measurements on two models, at usual load and over a burst, gave 93 ms that
load doesn't explain, one and a half passes, 18 ms for each thousand tokens of
the request's own prompt, which is the reading speed, and 12 ms for each
thousand tokens of the prompts before it.
"""

import math
from dataclasses import dataclass

from zinniaspool.core.fleet import EngineSpec, ModelSpec

__all__ = ["EngineTiming", "FirstEventForecast"]

INITIAL_OVERHEAD_S = 0.09
"""Time to a first event that load doesn't explain, before any was measured, in
seconds."""

INITIAL_REQUEST_S = 1.0
"""Time that a request is assumed to spend at its engine before any was
measured, in seconds."""

REQUEST_TIME_WEIGHT = 0.05
"""Weight of the newest answer in the mean time of a request. About twenty
answers count, which arrive in under a second at usual traffic."""

LEARNING_STEP_S = 0.001
"""Change of a learned value by one first event, in seconds. The value follows
a change within about a hundred first events, a few seconds, and is stable to a
few milliseconds."""

INITIAL_LEARNING_STEP_S = 0.016
STEP_HALVING_EVENTS = 8
"""Learning of the very first events: the initial step, in seconds, and the
number of events after which it is halved, down to the usual step. A process
that has one request in three seconds for a model would otherwise use the
initial values for minutes and refuse callers who would be answered in time."""

SPREAD_PART = 0.8
"""Part of the first events that come within the prediction and its spread."""

PASSES_BEFORE_FIRST_EVENT = 1.5
"""Passes that a request waits for before its first event: the current one,
half of it on average, and the one in which its prompt is read."""

LEFT_TO_READ_PART = 0.7
"""Part of the unread prompts before a request that is still to be read when it
arrives. The others are being read, and their first events are on their way."""

LONGEST_READ_PART = 0.65
"""Prompt tokens that the longest pass of a healthy engine reads, as a part of
what one pass can read. In a run of a day with 58 entry processes, the gaps of
healthy heads ended at about 100 ms (small model) and 160 ms (large model),
which both correspond to about 7,000 of 10,240 tokens at eight requests. The
timeout adds a margin. With 0.55 or 0.6, one in 1,000 streams of the large
model was rerouted from a healthy head in the model of passes, with 0.65 none,
and detection was earlier by 3 ms at most."""

UNKNOWN_READ_PART = 0.2
"""Prompt tokens read in a pass beside those that are known, as a part of what
one pass can read: one step. It counts if most of a pass's reading is known. It
isn't limited by what a pass can read, since it also covers running requests
that this process doesn't know of."""

UNLIMITED_PASS_FACTOR = 2.5
"""Longest over predicted pass if the configuration doesn't limit what one pass
reads. The longest passes measured of healthy heads took up to three times as
long as predicted, and the timeout's margin is added to it."""


@dataclass(frozen=True, slots=True)
class EngineTiming:
    """The timing of one model's engines.

    Attributes:
        pass_s: Time of a pass with no prompt to read and no running request,
            in seconds.
        pass_per_request_s: Additional time of a pass for each running request,
            in seconds.
        read_s: Time to read one prompt token, in seconds.
        max_read_tokens: Most prompt tokens that are read in one pass.
        tokens_per_pass: Tokens of each running request that a pass yields.
        is_configured: Whether the operator states these times.
    """

    pass_s: float
    pass_per_request_s: float
    read_s: float
    max_read_tokens: float = math.inf
    tokens_per_pass: int = 1
    is_configured: bool = True

    @classmethod
    def from_specs(cls, engine: EngineSpec, model: ModelSpec) -> "EngineTiming":
        """Return a model's timing by its operator's configuration."""
        steps = engine.steps_per_pass * model.time_factor
        return cls(
            steps * engine.step_s,
            steps * engine.step_per_request_s,
            model.time_factor / engine.prefill_tokens_per_s,
            engine.steps_per_pass * engine.prefill_chunk_tokens,
            engine.steps_per_pass,
            engine.is_timed,
        )

    def predict_pass(self, requests: float, unread_tokens: float) -> float:
        """Return the predicted time of a pass, in seconds.

        Args:
            requests: Requests that run at the engine.
            unread_tokens: Prompt tokens that are to be read. Those that one
                pass can't read are left for the next one.
        """
        return (
            self.pass_s
            + self.pass_per_request_s * requests
            + self.read_s * min(unread_tokens, self.max_read_tokens)
        )

    def predict_longest_pass(self, requests: float, unread_tokens: float) -> float:
        """Return the time of the longest pass of a healthy engine, in seconds.

        It reads prompts that this process doesn't know of. How many doesn't
        depend on how many are known.

        Args:
            requests: Requests that run at the engine.
            unread_tokens: Prompt tokens known to be unread.
        """
        if math.isinf(self.max_read_tokens):
            return UNLIMITED_PASS_FACTOR * self.predict_pass(requests, unread_tokens)
        usual_tokens = LONGEST_READ_PART * self.max_read_tokens
        unknown_tokens = UNKNOWN_READ_PART * self.max_read_tokens
        known_tokens = min(unread_tokens, self.max_read_tokens)
        read_tokens = max(usual_tokens, known_tokens + unknown_tokens)
        return self.predict_pass(requests, 0.0) + self.read_s * read_tokens

    def predict_first_event(
        self, requests: float, unread_tokens: float, prompt_tokens: int
    ) -> float:
        """Return the part of the time to a first event that load explains.

        Args:
            requests: Requests that run at the engine.
            unread_tokens: Prompt tokens that are to be read before this
                request's.
            prompt_tokens: Length of this request's prompt.
        """
        one_pass = self.predict_pass(requests, 0.0)
        return PASSES_BEFORE_FIRST_EVENT * one_pass + self.read_s * (
            prompt_tokens + LEFT_TO_READ_PART * unread_tokens
        )


class FirstEventForecast:
    """Predicts first events of one model and learns from measured ones.

    Attributes:
        timing: The timing of the model's engines.
        overhead_s: Time to a first event that load doesn't explain, in
            seconds.
        spread_s: Time by which most first events are at most later than
            predicted, in seconds.
        mean_request_s: Mean time of a request at its engine, in seconds.
    """

    def __init__(self) -> None:
        self.timing = EngineTiming(0.0, 0.0, 0.0)
        self.overhead_s = INITIAL_OVERHEAD_S
        self.spread_s = 0.0
        self.mean_request_s = INITIAL_REQUEST_S
        self._step_s = INITIAL_LEARNING_STEP_S
        self._recorded = 0

    def predict(
        self,
        load: float,
        slots: int,
        unread_tokens: int,
        prompt_tokens: int,
        pace: float = 1.0,
    ) -> float:
        """Return the predicted time to a request's first event, in seconds.

        Args:
            load: Requests at the engine.
            slots: Requests that the engine runs at a time.
            unread_tokens: Prompt tokens that are to be read before this
                request's.
            prompt_tokens: Length of this request's prompt.
            pace: Factor by which the engine works slower than configured.
        """
        wait_s = max(0.0, load + 1 - slots) * self.mean_request_s / slots * pace
        reading_s = self.timing.predict_first_event(
            min(load, slots), unread_tokens, prompt_tokens
        )
        # The overhead passes before a slot is needed.
        return max(wait_s, self.overhead_s) + reading_s * pace

    def record_first_event(self, predicted_s: float, took_s: float) -> None:
        """Record a first event's predicted and actual time, in seconds.

        The forecast learns the median of the errors, and how far most events
        are off. Unlike a mean, these aren't spoiled by a stalled engine, whose
        error of seconds shows nothing about the others.
        """
        error_s = took_s - predicted_s
        self.overhead_s = _update_quantile(
            self.overhead_s, error_s > 0, 0.5, self._step_s
        )
        beyond = error_s > self.spread_s
        self.spread_s = _update_quantile(
            self.spread_s, beyond, SPREAD_PART, LEARNING_STEP_S
        )
        self._recorded += 1
        if self._recorded % STEP_HALVING_EVENTS == 0:
            self._step_s = max(LEARNING_STEP_S, self._step_s / 2)

    def record_request_time(self, took_s: float) -> None:
        """Record an answered request's time at its engine, in seconds."""
        self.mean_request_s += REQUEST_TIME_WEIGHT * (took_s - self.mean_request_s)


def _update_quantile(
    quantile_s: float, beyond: bool, part: float, step_s: float
) -> float:
    """Return a quantile of errors after one more measurement.

    Args:
        quantile_s: The quantile so far, in seconds.
        beyond: Whether the new error is larger.
        part: Part of the errors that the quantile exceeds.
        step_s: Learning step, in seconds.
    """
    step_change_s = 2 * step_s * (part if beyond else part - 1)
    return max(0.0, quantile_s + step_change_s)
