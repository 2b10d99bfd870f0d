"""How long a first event takes, by an engine's figures and what was seen.

An engine works in passes: a few token steps for all that write, and between
them the prompts of those that have come are read. So a first event waits for
the prompts before it and its own, and for a pass. Measured on two models, at
usual load and over a burst: 93 ms that nothing explains, one and a half
passes, 18 ms for each thousand tokens of its own prompt, which is the reading
speed, and 12 ms for those of the prompts before it.
"""

from dataclasses import dataclass

from zinniaspool.core.fleet import EngineSpec, ModelSpec

__all__ = ["EnginePace", "FirstEventForecast"]

FIRST_REST_S = 0.09
"""Seconds of a first event that load does not explain, before any was
measured."""

FIRST_STAY_S = 1.0
"""Seconds taken for a request's stay before any was measured."""

STAY_WEIGHT = 0.05
"""Weight of the newest answer in the mean stay: some twenty count, which come
in under a second at usual traffic."""

STEP_S = 0.001
"""By how much one first event moves what is learned of them, in seconds: it
follows within some hundred, a few seconds, and rests within a few
milliseconds."""

FIRST_STEP_S = 0.016
HALVED_AFTER = 8
"""By how much the very first ones move it, in seconds, and after how many that
is halved, down to the usual step. A process that has one request in three
seconds for a model would otherwise go on for minutes with what was taken
before any was measured, and refuse callers who would be answered in time."""

TRUSTED_PART = 0.8
"""Part of the first events that come within the prediction and its spread."""

PASSES = 1.5
"""Passes that a request waits for before its first event: the one under way,
half of it on average, and the one in which its prompt is read."""

LEFT_TO_READ = 0.7
"""Part of the unread prompts before a request that is still to be read when it
comes: some are being read, and their first events are on their way."""


@dataclass(frozen=True, slots=True)
class EnginePace:
    """The figures of one model's engines.

    Attributes:
        pass_s: Seconds of a pass with nothing to read and nobody writing.
        pass_per_request_s: Seconds more for each request that writes.
        read_s: Seconds to read one prompt token.
    """

    pass_s: float
    pass_per_request_s: float
    read_s: float

    @classmethod
    def of(cls, engine: EngineSpec, model: ModelSpec) -> "EnginePace":
        """Return the pace of a model by its operator's figures."""
        steps = engine.stride * model.pace
        return cls(
            steps * engine.step_s,
            steps * engine.step_per_request_s,
            model.pace / engine.prefill_tokens_per_s,
        )

    def predict_pass(self, requests: float, unread: float) -> float:
        """Return how long one pass takes, in seconds.

        Args:
            requests: Requests that write at the engine.
            unread: Prompt tokens that are read in it.
        """
        return self.pass_s + self.pass_per_request_s * requests + self.read_s * unread

    def predict_first(self, requests: float, unread: float, prompt: int) -> float:
        """Return the part of a first event's time that load explains.

        Args:
            requests: Requests that write at the engine.
            unread: Prompt tokens that are to be read before this request's.
            prompt: Tokens of this request's prompt.
        """
        one_pass = self.predict_pass(requests, 0.0)
        return PASSES * one_pass + self.read_s * (prompt + LEFT_TO_READ * unread)


class FirstEventForecast:
    """Predicts first events of one model, and learns from those that come.

    Attributes:
        pace: The engines' figures.
        rest_s: Seconds of a first event that load does not explain.
        spread_s: By how much most first events come later than predicted.
        stay_s: Mean time of a request at its engine.
    """

    def __init__(self) -> None:
        self.pace = EnginePace(0.0, 0.0, 0.0)
        self.rest_s = FIRST_REST_S
        self.spread_s = 0.0
        self.stay_s = FIRST_STAY_S
        self._step_s = FIRST_STEP_S
        self._noted = 0

    def predict(self, load: float, slots: int, unread: int, prompt: int) -> float:
        """Return how long a request's first event would take, in seconds.

        Args:
            load: Requests at the engine.
            slots: How many it runs at a time.
            unread: Prompt tokens that are to be read before this request's.
            prompt: Tokens of this request's prompt.
        """
        wait_s = max(0.0, load + 1 - slots) * self.stay_s / slots
        reading_s = self.pace.predict_first(min(load, slots), unread, prompt)
        # What load does not explain passes before a slot is needed.
        return max(wait_s, self.rest_s) + reading_s

    def note_first(self, predicted_s: float, took_s: float) -> None:
        """Take how long a first event took and was predicted to take.

        What is learned is the middle of all errors, and how far most of them
        are off: an engine that stands still is wrong by seconds and says
        nothing of the others.
        """
        error_s = took_s - predicted_s
        self.rest_s = _follow(self.rest_s, error_s > 0, 0.5, self._step_s)
        beyond = error_s > self.spread_s
        self.spread_s = _follow(self.spread_s, beyond, TRUSTED_PART, STEP_S)
        self._noted += 1
        if self._noted % HALVED_AFTER == 0:
            self._step_s = max(STEP_S, self._step_s / 2)

    def note_stay(self, took_s: float) -> None:
        """Take how long an answered request was at its engine."""
        self.stay_s += STAY_WEIGHT * (took_s - self.stay_s)


def _follow(quantile_s: float, beyond: bool, part: float, step_s: float) -> float:
    """Return a quantile of errors after one more that was beyond it or not."""
    moved_s = 2 * step_s * (part if beyond else part - 1)
    return max(0.0, quantile_s + moved_s)
