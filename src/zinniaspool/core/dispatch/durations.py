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
ended early."""

MAX_RESERVE_S = 2.0
"""Longest time reserved for them, in seconds. An upstream that is silent for
longer is considered lost."""

LOAD_FACTOR = 1.1
"""Longest over recent writing time: upstreams work more slowly the more
requests they have."""

UNKNOWN_WRITING_FACTOR = 1.5
"""Longest over predicted writing time before any stream was seen: passes also
read the prompts of other requests."""


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
        """Writing time for each allowed token, in seconds; None if unknown."""
        if self.allowed_tokens < MIN_STREAM_TOKENS:
            return None
        return max(0.0, self.writing_s - self.longest_pause_s) / self.allowed_tokens


class DurationForecast:
    """Predicts the longest time of requests of one kind.

    A kind is a route, and the model that is asked for.
    """

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
        return max(answer.took_s for answer in recent) + MIN_RESERVE_S

    def predict_longest_stream(
        self,
        allowed_tokens: int,
        configured_token_s: float,
        running_token_s: float,
        now: float,
    ) -> float | None:
        """Return the longest time from a stream's first event on, in seconds.

        Args:
            allowed_tokens: Tokens that the answer can have.
            configured_token_s: Time for each token by the engine's
                configuration, in seconds; 0 if it isn't known.
            running_token_s: Longest mean time between events of the streams in
                progress, in seconds; 0 without streams. An event has one token
                at least.
            now: Seconds.

        Returns:
            None if nothing is known of such streams.
        """
        recent = self._list_recent(now)
        seen = [one.s_per_token for one in recent if one.s_per_token is not None]
        longest_s = max(seen, default=0.0)
        if len(seen) < MIN_STREAMS:
            configured_s = configured_token_s * UNKNOWN_WRITING_FACTOR
            longest_s = max(longest_s, configured_s, running_token_s)
        if not longest_s:
            return None
        pause_s = max((answer.longest_pause_s for answer in recent), default=0.0)
        reserve_s = min(MAX_RESERVE_S, max(MIN_RESERVE_S, pause_s))
        return allowed_tokens * longest_s * LOAD_FACTOR + reserve_s

    def _list_recent(self, now: float) -> list[AnswerTiming]:
        while self._answers and now - self._answers[0].ended_at > RECENT_S:
            self._answers.popleft()
        return list(self._answers)
