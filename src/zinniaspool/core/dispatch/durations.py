"""Predicts until when requests may be in progress at most.

A stopping process has a fixed time left. A request that takes
longer would be cut, and one that is refused although it would end in time is
sent elsewhere for nothing. A cut costs its caller the answer, and a refusal
costs one more try. So the longest time is predicted from the longest answer
that a request allows, and from the time of a token in recent answers.

The longest pause of each stream is kept apart from the time of its tokens. It
shows how long upstreams are silent at times, whatever the length of a stream.
"""

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from functools import cached_property
from statistics import median

from zinniaspool.core.dispatch.spread import find_high_quantile

__all__ = [
    "SLOWDOWN_PART",
    "AnswerTiming",
    "DurationForecast",
    "StreamTiming",
    "UsualStream",
]

RECENT_ANSWERS = 256
"""Answers of one kind that are kept."""

RECENT_S = 300.0
"""Time for which an answer counts, in seconds."""

MIN_PASSES = 5
"""Passes from which on a stream shows the time of a token."""

MIN_LENGTHS = 128
"""Streams after which their lengths count too. Fewer may all have ended early
by chance."""

LENGTH_FACTOR = 1.25
"""Longest over recent length of a stream. With exponential lengths, one in
two hundred is longer than all of the 128 before it."""

MIN_RESERVE_S = 0.4
"""Least time reserved for what isn't predicted: pauses, further attempts,
slower upstreams and delays of the process, in seconds."""

MAX_PAUSE_S = 2.0
"""Longest pause that is expected, in seconds. An upstream that is silent for
longer is considered lost."""

SLOWDOWN_PART = 0.1
"""Part of the time of a stream by which it may take longer: an upstream works
more slowly the more requests it has."""


@dataclass(frozen=True, slots=True)
class StreamTiming:
    """What one stream showed, whole or in progress.

    Attributes:
        passes: Passes of its upstream that yielded tokens.
        writing_s: Time from the first of them to the last, in seconds.
        longest_pause_s: Longest pause between two of them, in seconds.
        tokens_per_pass: Tokens that a pass yields.
        allowed_tokens: Tokens that the stream could have had; 0 if unknown.
        last_id: Id of its last event; 0 if unknown, or if the ids of the
            events don't show how many there were.
    """

    passes: int
    writing_s: float
    longest_pause_s: float
    tokens_per_pass: int
    allowed_tokens: int
    last_id: int = 0

    @property
    def token_s(self) -> float | None:
        """Time of a token, in seconds; None if too few passes were seen.

        The longest pause doesn't count.
        """
        if self.passes < MIN_PASSES:
            return None
        writing_s = max(0.0, self.writing_s - self.longest_pause_s)
        return writing_s / (self.passes - 2) / self.tokens_per_pass

    @property
    def tokens(self) -> int:
        """Tokens that it had."""
        return self.passes * self.tokens_per_pass

    @property
    def written_part(self) -> float:
        """Part of the allowed tokens that it had, at most 1."""
        if not self.allowed_tokens:
            return 1.0
        return min(1.0, self.tokens / self.allowed_tokens)


@dataclass(frozen=True, slots=True)
class AnswerTiming:
    """How long one answered request took.

    Attributes:
        ended_at: When its answer ended, in seconds on the event loop's clock.
        took_s: Time from its arrival to the end of its answer, in seconds.
        stream: Its stream; None for an answer without one.
    """

    ended_at: float
    took_s: float
    stream: StreamTiming | None = None


@dataclass(frozen=True, slots=True)
class UsualStream:
    """What recent streams of one kind show.

    Attributes:
        token_s: Their usual time of a token, in seconds; 0 if unknown.
        id_tokens: Tokens that an id of an event has; 0 if unknown.
        usual_part: Part of the allowed tokens that is usually written.
        longest_part: Largest part of them that is written.
        longest_length: The most tokens of a stream that states no length; None
            if too few streams are known.
    """

    token_s: float
    id_tokens: float
    usual_part: float
    longest_part: float
    longest_length: int | None


class _Shown:
    """What some answers show; each part is measured once.

    A stopping process asks for it with each request that it may refuse and
    with each event that it keeps back.

    Args:
        answers: The answers.
    """

    def __init__(self, answers: Iterable[AnswerTiming]) -> None:
        self._answers = list(answers)
        self._streams = [one.stream for one in self._answers if one.stream is not None]

    @cached_property
    def longest_call_s(self) -> float | None:
        """Longest time of an answer, in seconds."""
        return find_high_quantile([one.took_s for one in self._answers])

    @cached_property
    def longest_whole_s(self) -> float | None:
        """Longest time of an answer without a stream, in seconds."""
        return find_high_quantile(
            [one.took_s for one in self._answers if one.stream is None]
        )

    @cached_property
    def usual_token_s(self) -> float | None:
        """Usual time of a token, in seconds."""
        return median(self._token_times) if self._token_times else None

    @cached_property
    def longest_token_s(self) -> float:
        """Longest time of a token, in seconds; 0 if unknown."""
        return find_high_quantile(self._token_times) or 0.0

    @cached_property
    def id_tokens(self) -> float:
        """Tokens that an id of an event has; 0 if unknown."""
        streams = [one for one in self._streams if one.last_id]
        return median([one.tokens / one.last_id for one in streams] or [0.0])

    @cached_property
    def usual_part(self) -> float:
        """Part of the allowed tokens that is usually written."""
        return median(self._written_parts or [1.0])

    @cached_property
    def longest_part(self) -> float:
        """Largest part of the allowed tokens that is written."""
        if len(self._written_parts) < MIN_LENGTHS:
            return 1.0
        return min(1.0, max(self._written_parts) * LENGTH_FACTOR)

    @cached_property
    def longest_length(self) -> int | None:
        """The most tokens of a stream that states no length."""
        lengths = [stream.tokens for stream in self._streams]
        if len(lengths) < MIN_LENGTHS:
            return None
        return math.ceil(max(lengths) * LENGTH_FACTOR)

    @cached_property
    def longest_pause_s(self) -> float:
        """Longest pause of an upstream, in seconds."""
        return max((one.longest_pause_s for one in self._streams), default=0.0)

    @cached_property
    def _token_times(self) -> list[float]:
        times = [stream.token_s for stream in self._streams]
        return [one for one in times if one is not None]

    @cached_property
    def _written_parts(self) -> list[float]:
        return [stream.written_part for stream in self._streams]


class DurationForecast:
    """Predicts the longest time of requests of one kind."""

    def __init__(self) -> None:
        self._answers: deque[AnswerTiming] = deque(maxlen=RECENT_ANSWERS)
        self._shown: _Shown | None = None

    def record(self, timing: AnswerTiming) -> None:
        """Record an answered request."""
        self._answers.append(timing)
        self._shown = None

    def predict_longest_call(
        self, now: float, *, with_streams: bool = True
    ) -> float | None:
        """Return the longest time of a request of unknown length, in seconds.

        Args:
            now: Seconds.
            with_streams: Whether answers that were streams count.

        Returns:
            None if no such request was answered recently.
        """
        shown = self._sum_up(now)
        return shown.longest_call_s if with_streams else shown.longest_whole_s

    def predict_longest_writing(
        self, allowed_tokens: int, other_token_s: float, now: float
    ) -> float | None:
        """Return the longest time from a stream's first event on, in seconds.

        Pauses and slower upstreams don't count. The stream may be as long as
        it states: how long others were doesn't limit it.

        Args:
            allowed_tokens: Tokens that the answer can have.
            other_token_s: Longest time of a token by other evidence, in
                seconds; 0 if there is none.
            now: Seconds.

        Returns:
            None if nothing is known of such streams.
        """
        token_s = max(self.measure_token_time(now), other_token_s)
        if not token_s:
            return None
        return allowed_tokens * token_s

    def predict_longest_length(self, now: float) -> int | None:
        """Return the most tokens of a stream that states no length.

        Returns:
            None if too few streams are known.
        """
        return self._sum_up(now).longest_length

    def measure_id_tokens(self, now: float) -> float:
        """Return how many tokens an id of an event has; 0 if unknown."""
        return self._sum_up(now).id_tokens

    def predict_usual_writing(
        self, allowed_tokens: int, written_tokens: int, now: float
    ) -> float | None:
        """Return the usual time that is left of a stream, in seconds.

        Args:
            allowed_tokens: Tokens that the answer can have.
            written_tokens: Those that it has already.
            now: Seconds.

        Returns:
            None if nothing is known of such streams.
        """
        shown = self._sum_up(now)
        if shown.usual_token_s is None:
            return None
        usual_tokens = allowed_tokens * shown.usual_part
        return max(0.0, usual_tokens - written_tokens) * shown.usual_token_s

    def sum_up(self, now: float) -> UsualStream:
        """Return what recent streams show."""
        shown = self._sum_up(now)
        return UsualStream(
            shown.usual_token_s or 0.0,
            shown.id_tokens,
            shown.usual_part,
            shown.longest_part,
            shown.longest_length,
        )

    def measure_token_time(self, now: float) -> float:
        """Return the longest time of a token, in seconds; 0 if unknown."""
        return self._sum_up(now).longest_token_s

    def predict_reserve(
        self,
        writing_s: float,
        other_pause_s: float,
        now: float,
        least_s: float = MIN_RESERVE_S,
    ) -> float:
        """Return the time to reserve beside that of an answer, in seconds.

        A long stream has more time to become slower. What is reserved for it
        also covers the least reserve, which it rarely needs as well.

        Args:
            writing_s: Longest time from its first event on, in seconds; 0 for
                an answer without a stream.
            other_pause_s: Longest pause by other evidence, in seconds; 0 if
                there is none.
            now: Seconds.
            least_s: Least time to reserve, in seconds.
        """
        pause_s = min(MAX_PAUSE_S, max(self.measure_pause(now), other_pause_s))
        return max(least_s, SLOWDOWN_PART * writing_s + pause_s)

    def measure_pause(self, now: float) -> float:
        """Return the longest pause of an upstream, in seconds."""
        return self._sum_up(now).longest_pause_s

    def _sum_up(self, now: float) -> _Shown:
        while self._answers and now - self._answers[0].ended_at > RECENT_S:
            self._answers.popleft()
            self._shown = None
        if self._shown is None:
            self._shown = _Shown(self._answers)
        return self._shown
