"""Predicts until when requests may be in progress at most.

A process that was told to stop has a fixed time left. A request that takes
longer would be cut, and one that is refused although it would end in time is
sent elsewhere for nothing. So the longest time is predicted from the longest
answer that a request allows, and from what recent answers of its kind took.

The longest pause of each stream is kept apart from its writing time. It shows
how long upstreams are silent at times, whatever the length of the stream.
"""

from collections import deque
from dataclasses import dataclass

__all__ = ["AnswerTiming", "DurationForecast"]

RECENT_ANSWERS = 128
"""Answers of one kind that are kept."""

RECENT_S = 300.0
"""Time for which an answer counts, in seconds."""

MIN_STREAM_TOKENS = 16
"""Allowed tokens from which a stream shows the time for each of them. The time
of a shorter one is mostly that of single passes."""

MIN_RESERVE_S = 0.4
"""Least time reserved for pauses, further attempts and delays of the process,
in seconds."""

MIN_STREAMS = 16
"""Streams from which on their writing times alone are used. Fewer may all have
ended early, or run while their upstreams had little to do."""

MAX_RESERVE_S = 2.0
"""Longest time reserved for them, in seconds. An upstream that is silent for
longer is considered lost."""

FEW_STREAMS_FACTOR = 1.05
"""Longest over recent time of a token while fewer streams were seen."""

LOAD_FACTOR = 1.05
"""Longest over recent time of a token in any case: an upstream works more
slowly the more requests it has."""


@dataclass(frozen=True, slots=True)
class AnswerTiming:
    """How long one request took, in seconds.

    Attributes:
        ended_at: When its answer ended, on the event loop's clock.
        took_s: Time from its arrival to the end of its answer.
        writing_s: Time from the first byte of its answer to the end.
        longest_pause_s: Longest pause between two of its events.
        allowed_tokens: Tokens that its answer could have had; 0 if unknown.
    """

    ended_at: float
    took_s: float
    writing_s: float
    longest_pause_s: float
    allowed_tokens: int

    @property
    def s_per_token(self) -> float | None:
        """Time between two tokens, in seconds; None if unknown.

        It is as if the answer had all tokens that it could have had. The
        first token and the longest pause don't count.
        """
        if self.allowed_tokens < MIN_STREAM_TOKENS:
            return None
        intervals = self.allowed_tokens - 2
        return max(0.0, self.writing_s - self.longest_pause_s) / intervals


class DurationForecast:
    """Predicts the longest time of requests of one kind."""

    def __init__(self) -> None:
        self._answers: deque[AnswerTiming] = deque(maxlen=RECENT_ANSWERS)

    def record(self, timing: AnswerTiming) -> None:
        """Record an answered request."""
        self._answers.append(timing)

    def predict_longest_call(self, now: float) -> float | None:
        """Return the longest time of a request without a stream, in seconds.

        Returns:
            None if no such request was answered recently.
        """
        recent = self._list_recent(now)
        if not recent:
            return None
        return max(answer.took_s for answer in recent)

    def predict_longest_writing(
        self, allowed_tokens: int, fallback_token_s: float, now: float
    ) -> float | None:
        """Return the longest time from a stream's first event on, in seconds.

        Pauses don't count.

        Args:
            allowed_tokens: Tokens that the answer can have.
            fallback_token_s: Longest time of a token by other evidence, for
                routes of which few streams were seen; 0 if there is none.
            now: Seconds.

        Returns:
            None if nothing is known of such streams.
        """
        token_s, count = self._measure_token_time(now)
        if count < MIN_STREAMS:
            token_s = max(token_s, fallback_token_s) * FEW_STREAMS_FACTOR
        return allowed_tokens * token_s * LOAD_FACTOR if token_s else None

    def measure_token_time(self, now: float) -> float:
        """Return the longest time of a token, in seconds; 0 if unknown."""
        return self._measure_token_time(now)[0]

    def measure_pause(self, now: float) -> float:
        """Return the time to reserve for pauses of upstreams, in seconds."""
        pauses = [answer.longest_pause_s for answer in self._list_recent(now)]
        return min(MAX_RESERVE_S, max(MIN_RESERVE_S, *pauses, 0.0))

    def _measure_token_time(self, now: float) -> tuple[float, int]:
        seen = [
            answer.s_per_token
            for answer in self._list_recent(now)
            if answer.s_per_token is not None
        ]
        return max(seen, default=0.0), len(seen)

    def _list_recent(self, now: float) -> list[AnswerTiming]:
        while self._answers and now - self._answers[0].ended_at > RECENT_S:
            self._answers.popleft()
        return list(self._answers)
