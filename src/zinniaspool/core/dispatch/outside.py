"""How many requests a process sends to targets that others share.

Pattern: circuit breaker. What the others have at those targets is not told to
this process, so that it sends there by what answers have shown typically. In
an overload of the whole fleet each process would take the others' targets for
emptier than its own, send there what its own cannot take, and make everybody
late: played with thirty processes at 2.2 times the usual load, nobody was
answered on time any more. So few requests wait there for their first event at
a time, and none for a while after one that came later than was predicted.
Where only this process's own targets are short, the others answer as
predicted.
"""

__all__ = ["OutsideBreaker"]

MOST_WAITING = 1
"""Requests that wait for a first event there at a time: at about 0.2 s each,
as much as one process is asked for in a second."""

LATE_S = 0.1
"""Seconds by which a first event may come later than predicted: about the time
of one pass, in which others' requests come in between."""

REST_S = 2.0
"""For how long none are sent there after a late one, in seconds; doubled for
each late one in a row."""

MOST_REST_S = 16.0
"""The longest such time, in seconds: about as long as a burst takes."""


class OutsideBreaker:
    """Counts this process's requests outside its own targets."""

    def __init__(self) -> None:
        self._waiting = 0
        self._rest_s = REST_S
        self._closed_until = float("-inf")

    def allows(self, now: float) -> bool:
        """Tell whether one more may be sent there."""
        return now >= self._closed_until and self._waiting < MOST_WAITING

    def begin(self) -> None:
        """Count one that is sent there."""
        self._waiting += 1

    def note_first(self, late_s: float, now: float) -> None:
        """Take a first event from there.

        Args:
            late_s: How much later it came than predicted, in seconds.
            now: Seconds.
        """
        self._waiting -= 1
        if late_s <= LATE_S:
            self._rest_s = REST_S
        else:
            self._rest(now)

    def note_none(self, now: float) -> None:
        """Take that one has ended there without a first event."""
        self._waiting -= 1
        self._rest(now)

    def _rest(self, now: float) -> None:
        if now >= self._closed_until:
            self._closed_until = now + self._rest_s
            self._rest_s = min(MOST_REST_S, self._rest_s * 2)
