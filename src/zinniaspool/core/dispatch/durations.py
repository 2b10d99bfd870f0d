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
from dataclasses import dataclass
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


class DurationForecast:
    """Predicts the longest time of requests of one kind."""

    def __init__(self) -> None:
        self._answers: deque[AnswerTiming] = deque(maxlen=RECENT_ANSWERS)

    def record(self, timing: AnswerTiming) -> None:
        """Record an answered request."""
        self._answers.append(timing)

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
        return find_high_quantile(
            [
                answer.took_s
                for answer in self._list_recent(now)
                if with_streams or answer.stream is None
            ]
        )

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
        lengths = [stream.tokens for stream in self._list_streams(now)]
        if len(lengths) < MIN_LENGTHS:
            return None
        return math.ceil(max(lengths) * LENGTH_FACTOR)

    def measure_id_tokens(self, now: float) -> float:
        """Return how many tokens an id of an event has; 0 if unknown."""
        streams = [stream for stream in self._list_streams(now) if stream.last_id]
        return median([one.tokens / one.last_id for one in streams] or [0.0])

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
        streams = self._list_streams(now)
        times = [one.token_s for one in streams if one.token_s is not None]
        if not times:
            return None
        usual_tokens = allowed_tokens * median(one.written_part for one in streams)
        return max(0.0, usual_tokens - written_tokens) * median(times)

    def sum_up(self, now: float) -> UsualStream:
        """Return what recent streams show."""
        streams = self._list_streams(now)
        times = [one.token_s for one in streams if one.token_s is not None]
        return UsualStream(
            median(times or [0.0]),
            self.measure_id_tokens(now),
            median([one.written_part for one in streams] or [1.0]),
            self._find_longest_part(now),
            self.predict_longest_length(now),
        )

    def measure_token_time(self, now: float) -> float:
        """Return the longest time of a token, in seconds; 0 if unknown."""
        seen = [stream.token_s for stream in self._list_streams(now)]
        return find_high_quantile([one for one in seen if one is not None]) or 0.0

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
        pauses = [stream.longest_pause_s for stream in self._list_streams(now)]
        return max(pauses, default=0.0)

    def _find_longest_part(self, now: float) -> float:
        """Return the largest part of the allowed tokens that is written."""
        parts = [stream.written_part for stream in self._list_streams(now)]
        if len(parts) < MIN_LENGTHS:
            return 1.0
        return min(1.0, max(parts) * LENGTH_FACTOR)

    def _list_streams(self, now: float) -> list[StreamTiming]:
        return [one.stream for one in self._list_recent(now) if one.stream is not None]

    def _list_recent(self, now: float) -> list[AnswerTiming]:
        while self._answers and now - self._answers[0].ended_at > RECENT_S:
            self._answers.popleft()
        return list(self._answers)
