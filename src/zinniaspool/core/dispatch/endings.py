"""Predicts when streams in progress end, from the pace that they show.

The end of a stream that is accepted by a stopping process is predicted from
recent streams. Its target may become slower or silent later on, and only its
own events show that.
"""

from collections import deque
from dataclasses import dataclass
from statistics import median

__all__ = ["EventPace", "MoveCosts", "RunningStream", "is_sooner", "predict_end"]

WINDOW = 7
"""Gaps of which the median is the pace: a single pause doesn't change it."""

MIN_GAPS = 3
"""Gaps from which on a stream shows its own pace."""

LONG_WINDOW, MIN_LONG_GAPS = 24, 8
"""Gaps of which the mean is the pace over a longer time, and how many there
must be. Some passes read prompts, which the median of a few doesn't show."""

LATE_FACTOR = 1.3
"""Multiple of the usual gap from which on events may have been read late."""

SILENCE_FACTOR = 2.0
"""Multiple of the usual gap from which on a target counts as silent. A silence
is expected to last as long again as it has lasted so far."""


RECENT_MOVES, MOVE_MEMORY_S = 5, 10.0
"""Moved streams whose cost counts, and for how long, in seconds."""

MIN_GAIN_S = 0.1
"""Time by which a stream must be predicted to end sooner elsewhere to be worth
another attempt, in seconds: about the error of a predicted first event."""


class EventPace:
    """The recent time from one event of a stream to the next."""

    __slots__ = ("_gaps", "_reads")

    def __init__(self) -> None:
        self._gaps: deque[float] = deque(maxlen=WINDOW)
        self._reads: deque[tuple[float, int]] = deque(maxlen=LONG_WINDOW)

    def record(self, gap_s: float, ids: int) -> None:
        """Record a read of events.

        Args:
            gap_s: Time since the events before, in seconds.
            ids: By how much the events' ids have risen.
        """
        if ids > 0:
            self._gaps.append(gap_s / ids)
            self._reads.append((gap_s, ids))

    def may_be_late(self, gap_s: float, ids: int) -> bool:
        """Return whether a read may be much later than its events.

        Args:
            gap_s: Time since the read before, in seconds.
            ids: By how much the events' ids have risen.
        """
        usual_s = self.estimate()
        return usual_s is None or gap_s > LATE_FACTOR * usual_s * ids

    def estimate(self) -> float | None:
        """Return the time by which an id rises by one, in seconds.

        Returns:
            None if too few events were read.
        """
        return median(self._gaps) if len(self._gaps) >= MIN_GAPS else None

    def estimate_longest(self) -> float | None:
        """Return the longer one of the recent pace and that of a longer time.

        Returns:
            Seconds; None if too few events were read.
        """
        pace_s = self.estimate()
        return None if pace_s is None else max(pace_s, self._measure_mean() or 0.0)

    def estimate_shortest(self) -> float | None:
        """Return the shorter one of the recent pace and that of a longer time.

        Returns:
            Seconds; None if too few events were read.
        """
        pace_s, mean_s = self.estimate(), self._measure_mean()
        return pace_s if pace_s is None or mean_s is None else min(pace_s, mean_s)

    def _measure_mean(self) -> float | None:
        """Return the mean time by which an id rises by one, in seconds.

        The longest gap doesn't count: pauses are measured apart.

        Returns:
            None if too few events were read.
        """
        if len(self._reads) < MIN_LONG_GAPS:
            return None
        longest_s, its_ids = max(self._reads)
        gaps_s = sum(gap_s for gap_s, _ in self._reads) - longest_s
        return gaps_s / (sum(ids for _, ids in self._reads) - its_ids)


class MoveCosts:
    """By how much moved streams had their next event later than predicted."""

    def __init__(self) -> None:
        self._costs: deque[tuple[float, float]] = deque(maxlen=RECENT_MOVES)

    def record(self, late_s: float, now: float) -> None:
        """Record by how much a first event was later than predicted.

        Args:
            late_s: Seconds, below 0 if it was earlier.
            now: Seconds.
        """
        self._costs.append((now, late_s))

    def estimate(self, now: float) -> float:
        """Return by how much the next one may be late, in seconds."""
        recent = [late_s for at, late_s in self._costs if now - at <= MOVE_MEMORY_S]
        return max(0.0, median(recent or [0.0]))


@dataclass(frozen=True, slots=True)
class RunningStream:
    """A stream in progress at one target.

    Attributes:
        ids_left: By how much its ids still rise, at least 1.
        id_s: Time by which they rise by one, in seconds.
        read_at: Time of its last event or, before the first one, of its
            request, in seconds.
        next_s: Usual time from then to its next event, in seconds.
    """

    ids_left: float
    id_s: float
    read_at: float
    next_s: float


def predict_end(stream: RunningStream, now: float) -> float:
    """Return when a stream will end where it is, in seconds."""
    quiet_s, next_s = now - stream.read_at, stream.next_s
    if quiet_s > SILENCE_FACTOR * next_s:
        next_s = 2 * quiet_s
    # The next event may come at any moment, and not before now.
    next_at = max(now, stream.read_at + next_s)
    return next_at + (stream.ids_left - 1) * stream.id_s


def is_sooner(ends_at: float, other_ends_at: float) -> bool:
    """Return whether a stream should go on where it ends sooner.

    Args:
        ends_at: When it ends where it is, in seconds.
        other_ends_at: When it ends at another target, in seconds.
    """
    return other_ends_at + MIN_GAIN_S <= ends_at
