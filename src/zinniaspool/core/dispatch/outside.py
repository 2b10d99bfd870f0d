"""Limits what a process sends to targets out of its subset.

The number of such requests that wait for a first event is limited by a window
with additive increase and multiplicative decrease (AIMD), as in TCP. The
processes that share those targets don't report their loads to this one, which
estimates them by what answers typically show. In an overload of the whole
fleet, each process would assume that the others' targets are emptier than its
own, send them what its own can't run, and delay all requests. If only this
process's targets are short, as after the failure of a fabric domain, the other
targets answer as predicted and have room for its requests.

The answers show which of the two it is. Each first event in time lets one more
request wait out of the subset. Each late first event halves the window, and
closes it for a while if only one request was allowed.
"""

__all__ = ["OutOfSubsetUtilization", "OutOfSubsetWindow"]

USUAL_UTILIZATION_PART = 0.5
"""Part of a target's slots that is assumed to be in use as long as nothing is
known, about as at usual load. If such targets were assumed to be as full as
those of the subset, a process with full targets would never try them and never
find that they have room."""

UTILIZATION_WEIGHT = 0.3
"""Weight of one answer in the utilization of a failure domain's targets. A
process gets few answers from out of its subset."""

UTILIZATION_HALF_LIFE_S = 2.0
"""Time after which half of the learned utilization counts, in seconds. A
refused caller stays away for about as long, so that such a target is tried
again when the caller comes back."""

INITIAL_WINDOW = 1.0
"""Requests that may wait for a first event out of the subset before any came
in time."""

MAX_WINDOW = 16.0
"""Largest number of requests that may wait out of the subset. It is several
times what one process receives in the time of a first event, so that it
doesn't bind where there is room."""

LATE_TOLERANCE_S = 0.1
"""Time by which a first event may be later than predicted, in seconds: about
one pass, during which requests of other processes arrive."""

BACKOFF_S = 2.0
"""Time for which no request is sent out of the subset after a late first
event, in seconds. It doubles with each late one in a row."""

MAX_BACKOFF_S = 16.0
"""Longest such time, in seconds: about the duration of a burst."""


class OutOfSubsetUtilization:
    """Estimated utilization of the targets in one failure domain.

    Callers and unreachable targets differ by failure domain, so that the
    utilization in one domain shows little about the others.
    """

    def __init__(self) -> None:
        self._utilization = USUAL_UTILIZATION_PART
        self._measured_at = 0.0

    def estimate(self, now: float) -> float:
        """Return the part of slots in use, by the answers received so far."""
        weight: float = 0.5 ** (
            max(0.0, now - self._measured_at) / UTILIZATION_HALF_LIFE_S
        )
        return (
            USUAL_UTILIZATION_PART
            + (self._utilization - USUAL_UTILIZATION_PART) * weight
        )

    def record(self, utilization: float, now: float) -> None:
        """Record the utilization of one of the domain's targets."""
        before = self.estimate(now)
        self._utilization, self._measured_at = (
            before + UTILIZATION_WEIGHT * (utilization - before),
            now,
        )


class OutOfSubsetWindow:
    """Limits this process's requests out of its subset."""

    def __init__(self) -> None:
        self._waiting = 0
        self._window = INITIAL_WINDOW
        self._backoff_s = BACKOFF_S
        self._closed_until = float("-inf")

    def allows(self, now: float) -> bool:
        """Tell whether one more request may be sent out of the subset."""
        return now >= self._closed_until and self._waiting < int(self._window)

    def begin_request(self) -> None:
        """Count a request that is sent out of the subset."""
        self._waiting += 1

    def record_first_event(self, late_s: float, now: float) -> None:
        """Record a first event from out of the subset.

        Args:
            late_s: How much later than predicted it came, in seconds.
            now: Seconds.
        """
        # An answer in time is evidence for a window of this size only while
        # at least half of the window is in use.
        is_used = self._waiting * 2 >= self._window
        self._waiting -= 1
        if late_s > LATE_TOLERANCE_S:
            self._narrow(now)
            return
        self._backoff_s = BACKOFF_S
        if is_used:
            self._window = min(MAX_WINDOW, self._window + 1.0)

    def record_reroute(self) -> None:
        """Record that a request was rerouted from a stalled target.

        A stalled target shows nothing about the load of the others.
        """
        self._waiting -= 1

    def record_unanswered(self, now: float) -> None:
        """Record that a request has ended without a first event."""
        self._waiting -= 1
        self._narrow(now)

    def _narrow(self, now: float) -> None:
        if self._window >= INITIAL_WINDOW * 2:
            self._window /= 2
            return
        self._window = INITIAL_WINDOW
        if now >= self._closed_until:
            self._closed_until = now + self._backoff_s
            self._backoff_s = min(MAX_BACKOFF_S, self._backoff_s * 2)
