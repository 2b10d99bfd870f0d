"""How many requests a process sends to targets that others share.

Pattern: additive increase, multiplicative decrease (AIMD), as in TCP. What
the others have at those targets is not told to this process, so that it sends
there by what answers have shown typically. In an overload of the whole fleet
each process would take the others' targets for emptier than its own, send
there what its own cannot take, and make everybody late. Where only this
process's own targets are short, as after the loss of a fabric domain, the
others answer as predicted and have room for all that its own had. Which of
both it is shows by the answers: each first event on time lets one more wait
there, each late one halves how many may, and a late one while only one may
closes the window for a while.
"""

__all__ = ["OutsideUse", "OutsideWindow"]

USUAL_USE = 0.5
"""Part of its slots that a target is taken to use of which nothing is known,
about as at usual load. Taken for as full as the own ones, targets elsewhere
would never be tried when the own ones are full, nor be found to have room."""

USE_WEIGHT = 0.3
"""Weight of one answer in what a failure domain's targets use: a process has
few answers from there."""

USE_HALF_LIFE_S = 2.0
"""Seconds after which half of what was learned counts: about as long as a
refused caller stays away, so that it is tried again by then."""

FIRST_WINDOW = 1.0
"""Requests that may wait there for a first event before any came in time."""

MOST_WINDOW = 16.0
"""The most that may: several times what one process is asked for in the time
that a first event takes, so that it never binds where there is room."""

LATE_S = 0.1
"""Seconds by which a first event may come later than predicted: about the time
of one pass, in which others' requests come in between."""

REST_S = 2.0
"""For how long none are sent there after a late one, in seconds; doubled for
each late one in a row."""

MOST_REST_S = 16.0
"""The longest such time, in seconds: about as long as a burst takes."""


class OutsideUse:
    """The part of their slots that the targets of a failure domain use.

    Callers, and targets lost, differ by failure domain, so that one's own use
    says little of the others'.
    """

    def __init__(self) -> None:
        self._use = USUAL_USE
        self._at = 0.0

    def estimate(self, now: float) -> float:
        """Return the part by what answers from there have told."""
        fresh: float = 0.5 ** (max(0.0, now - self._at) / USE_HALF_LIFE_S)
        return USUAL_USE + (self._use - USUAL_USE) * fresh

    def note(self, use: float, now: float) -> None:
        """Take what part of its slots one of the targets uses."""
        before = self.estimate(now)
        self._use, self._at = before + USE_WEIGHT * (use - before), now


class OutsideWindow:
    """Counts this process's requests outside its own targets."""

    def __init__(self) -> None:
        self._waiting = 0
        self._window = FIRST_WINDOW
        self._rest_s = REST_S
        self._closed_until = float("-inf")

    def allows(self, now: float) -> bool:
        """Tell whether one more may be sent there."""
        return now >= self._closed_until and self._waiting < int(self._window)

    def begin(self) -> None:
        """Count one that is sent there."""
        self._waiting += 1

    def note_first(self, late_s: float, now: float) -> None:
        """Take a first event from there.

        Args:
            late_s: How much later it came than predicted, in seconds.
            now: Seconds.
        """
        # What a window of this size has shown is shown only while it is used.
        used = self._waiting * 2 >= self._window
        self._waiting -= 1
        if late_s > LATE_S:
            self._narrow(now)
            return
        self._rest_s = REST_S
        if used:
            self._window = min(MOST_WINDOW, self._window + 1.0)

    def withdraw(self) -> None:
        """Take that one was moved, since its target stands still.

        That says nothing of how much the others have there.
        """
        self._waiting -= 1

    def note_none(self, now: float) -> None:
        """Take that one has ended there without a first event."""
        self._waiting -= 1
        self._narrow(now)

    def _narrow(self, now: float) -> None:
        if self._window >= FIRST_WINDOW * 2:
            self._window /= 2
            return
        self._window = FIRST_WINDOW
        if now >= self._closed_until:
            self._closed_until = now + self._rest_s
            self._rest_s = min(MOST_REST_S, self._rest_s * 2)
