"""How long a caller has waited already, by what it says it will still wait.

A caller that was refused, or whose connection failed, comes again within the
deadline it began with, and says how long it waits from now on. Its answer is
late in any case: taken for a new request, it gets a slot in which another
one's would have been on time. In a burst of 2.2 times the usual traffic, one
slot in seven went to such.
"""

__all__ = ["PatienceWatch"]

FADE = 0.999
"""Factor by which the longest patience fades with each request, so that one
odd caller is forgotten within a thousand."""

FIRST_PART = 0.8
"""Part of the longest patience from which a caller is taken for a new one,
before anything was learned."""

LEARNED_PART = 0.05
"""Part of the callers who are least patient and taken for new all the same."""

STEP = 0.002
"""By how much one request moves what is learned."""

MARGIN = 0.03
"""Part of the longest patience by which it must be undercut, so that a caller
who is new and a little impatient is not taken for one that comes again."""


class PatienceWatch:
    """What is usual among the callers of one route."""

    def __init__(self) -> None:
        self._longest_s = 0.0
        self._usual_part = FIRST_PART

    def measure_waited(self, patience_s: float) -> float:
        """Return for how long a caller has waited at least, in seconds."""
        usual_s = self._longest_s * (self._usual_part - MARGIN)
        return max(0.0, usual_s - patience_s)

    def note(self, patience_s: float, *, calm: bool) -> None:
        """Take how long a caller says it will wait.

        Args:
            patience_s: Seconds from now on.
            calm: Whether nobody has been refused of late, so that callers
                are new ones.
        """
        self._longest_s = max(patience_s, self._longest_s * FADE)
        if not calm:
            return
        below = patience_s < self._longest_s * self._usual_part
        move = STEP * (LEARNED_PART - 1 if below else LEARNED_PART)
        self._usual_part = min(1.0, max(0.0, self._usual_part + move))
