"""Learns how much slower than predicted the engine of a target works.

The pace of a target is the actual over the predicted time of its passes: 1 is
as configured, 4 takes four times as long. All streams of a head get an event
with each pass, so that the time between two events shows it. How many prompts
were read in a pass isn't known exactly. So each pass gives a range: the least
pace, if all known unread prompts were read in it, and the greatest, if none
were. The estimate is the median of the last passes, each taken as the value of
its range that is nearest to the estimate. A single late pass, as after a delay
of this process or with a prompt that it doesn't know of, changes nothing.

A process has few streams at each target. So the processes that share a target
report to each other what they measured, and use the median. A pace that
no process measures decays towards 1, so that the target is tried again.

If the configured times are wrong, all targets differ from them alike. So a
target is compared with the fastest quarter of its model's targets, where these
are slower than configured too.
"""

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from statistics import median

__all__ = [
    "CONFIRM_S",
    "NO_PACES",
    "REPORTED_STEPS",
    "SLOW_PACE",
    "UNNOTICED_PACE",
    "MedianPace",
    "PaceEstimate",
    "PeerPaces",
    "TargetSpeed",
    "sum_up_paces",
]

SLOW_PACE = 2.5
RECOVERED_PACE = 2.0
"""Pace from which a target counts as slow, and below which it no longer does.
From 2.5 on, first events and gaps at usual load are too late for callers, so
that the target is worth as little as a lost one. The distance keeps a target
whose pace varies around one value from changing back and forth."""

CONFIRM_S = 0.25
"""Time for which a pace must stay above that of slow targets until the target
counts as slow, in seconds. Prompts that no process of the subset knows of make
a healthy target's passes up to three times as long, two or three in a row.
Without a delay, such a target was avoided for 0.1 to 0.25 s."""

UNNOTICED_PACE = 1.3
"""Pace below which a target counts as working as configured. Loads that are
known late make predicted passes wrong by up to a fifth."""

MAX_PACE = 16.0
"""Largest pace that is learned. A head that takes even longer has stalled."""

WINDOW = 7
"""Samples of which the median is taken."""

INITIAL_SAMPLES = 3
"""Samples of the previous estimate in a window that begins anew. A single late
pass is less than half of such a window."""

MIN_LONG_PACE = 3.0
MIN_VERY_LONG_PACE = 6.0
"""Least pace of a pass from which it counts as two and as three samples. A
pass that takes six times as long is evidence for as long a time, and a head at
a twelfth of its speed has only two or three passes in a second."""

SAME_PASS_PART = 0.5
"""Part of a predicted pass below which two events belong to the same pass.
The events of a pass come within a few milliseconds."""

FRESH_S = 1.0
"""Time for which a measured pace counts as current, in seconds. A stream of a
slow head has several events in this time."""

HALF_LIFE_S = 3.0
"""Time after which half of what exceeds 1 is left of a pace that is no longer
measured, in seconds. Engines are slow for six to nine seconds; a slow target
also gets probing requests meanwhile."""

REPORTED_STEPS = 4
"""Steps of a reported pace between 1 and 2. Reports change only now and then,
and a pace takes one byte."""


MEDIAN_STEP_PART = 0.02
"""Part by which one pass changes the learned median of a model's paces. It
follows a change within some tens of passes, and passes that read prompts of
other processes don't move it."""


@dataclass(frozen=True, slots=True)
class PeerPaces:
    """What the other processes report of a target's pace.

    Attributes:
        measured: Paces of those that have requests there and measure it now.
        remembered: Greatest pace of those that measured it earlier; 0 if
            there is none.
    """

    measured: tuple[float, ...] = ()
    remembered: float = 0.0


NO_PACES = PeerPaces()


class PaceEstimate:
    """The pace of one target as this process measures it."""

    __slots__ = ("_known_at", "_measured_at", "_pace", "_samples")

    def __init__(self) -> None:
        self._pace = 1.0
        self._known_at = self._measured_at = -math.inf
        self._samples: deque[float] = deque(maxlen=WINDOW)

    def record(self, least: float, greatest: float, now: float) -> None:
        """Record a pass by the range of paces that it is consistent with.

        Args:
            least: The pace if all known prompts were read in it.
            greatest: The pace if none of them was.
            now: Seconds.
        """
        if not self.is_fresh(now):
            self._begin_window(self.estimate(now))
        sample = min(MAX_PACE, max(least, min(self._pace, greatest)))
        weight = 1 + (least >= MIN_LONG_PACE) + (least >= MIN_VERY_LONG_PACE)
        self._samples.extend([sample] * weight)
        self._pace = sorted(self._samples)[(len(self._samples) - 1) // 2]
        self._known_at = self._measured_at = now

    def adopt(self, pace: float, now: float) -> None:
        """Replace the estimate by what other processes measure now."""
        self._begin_window(pace)
        self._known_at = now

    def estimate(self, now: float) -> float:
        """Return the pace, decayed since it was last known."""
        age_s = now - self._known_at - FRESH_S
        if age_s <= 0.0:
            return self._pace
        weight: float = 0.5 ** (age_s / HALF_LIFE_S)
        return 1.0 + (self._pace - 1.0) * weight

    def is_measured(self, now: float) -> bool:
        """Return whether enough recent samples show the pace."""
        return len(self._samples) == WINDOW and self.is_fresh(now)

    def is_fresh(self, now: float) -> bool:
        """Return whether there is a recent sample."""
        return now - self._measured_at <= FRESH_S

    def _begin_window(self, pace: float) -> None:
        self._pace = pace
        self._samples.clear()
        self._samples.extend([pace] * INITIAL_SAMPLES)


class MedianPace:
    """The median pace of the passes of all engines of a model.

    A target's own pace is relative to the other targets. This one shows where
    all of them are slower than configured, or where there is no other one.
    """

    __slots__ = ("_median",)

    def __init__(self) -> None:
        self._median = 1.0

    @property
    def value(self) -> float:
        """The pace to predict with; 1 if it is nearly as configured."""
        return 1.0 if self._median < UNNOTICED_PACE else self._median

    def record(self, took_s: float, shortest_s: float, longest_s: float) -> None:
        """Record the time between two events of a target's streams.

        Args:
            took_s: The time, in seconds.
            shortest_s: Predicted time of a pass without prompts, in seconds.
            longest_s: Predicted time with all known prompts, in seconds.
        """
        if took_s < SAME_PASS_PART * shortest_s or shortest_s <= 0.0:
            return
        if took_s > self._median * longest_s:
            self._median = min(MAX_PACE, self._median * (1.0 + MEDIAN_STEP_PART))
        elif took_s < self._median * shortest_s:
            self._median = max(1.0, self._median / (1.0 + MEDIAN_STEP_PART))


class TargetSpeed:
    """The pace of one target, as measured here and as reported by peers.

    Attributes:
        absolute_pace: The pace in relation to the configured times.
        measured_pace: That pace when it was last measured by any process.
        measured_at: Time of that, in seconds.
        pace: The pace to predict with, in relation to the other targets; at
            least 1.
        is_slow: Whether the target is avoided because of its pace.
        slow_since: Time at which that began, in seconds.
        peers: What the other processes report.
        reported: The pace that this process reports to them, in quarters; 0 if
            it doesn't know.
        probe_at: Time from which a slow target may get a probing request, in
            seconds.
    """

    __slots__ = (
        "_above_since",
        "_own",
        "absolute_pace",
        "is_slow",
        "measured_at",
        "measured_pace",
        "pace",
        "peers",
        "probe_at",
        "reported",
        "slow_since",
    )

    def __init__(self) -> None:
        self._own = PaceEstimate()
        self.absolute_pace = self.measured_pace = self.pace = 1.0
        self.measured_at = -math.inf
        self.is_slow = False
        self.slow_since = -math.inf
        self._above_since = math.inf
        self.peers = NO_PACES
        self.reported = 0
        self.probe_at = -math.inf

    def record_pass(
        self, took_s: float, shortest_s: float, longest_s: float, now: float
    ) -> None:
        """Record the time between two events of the target's streams.

        Args:
            took_s: The time, in seconds.
            shortest_s: Predicted time of a pass without prompts, in seconds.
            longest_s: Predicted time with all known prompts, in seconds.
            now: Seconds.
        """
        if took_s < SAME_PASS_PART * shortest_s or shortest_s <= 0.0:
            return
        self._own.record(took_s / longest_s, took_s / shortest_s, now)

    def record_first_event(self, least: float, greatest: float, now: float) -> None:
        """Record a first event by the range of paces it is consistent with."""
        self._own.record(least, greatest, now)

    def update(self, now: float) -> None:
        """Combine what this process and its peers know now."""
        own, measured = self._own, self.peers.measured
        is_measured = own.is_measured(now)
        if is_measured:
            self.absolute_pace = median((own.estimate(now), *measured))
        elif measured:
            self.absolute_pace = median(measured)
            if not own.is_fresh(now):
                own.adopt(self.absolute_pace, now)
        else:
            self.absolute_pace = max(own.estimate(now), self.peers.remembered)
        if is_measured or measured:
            self.measured_pace, self.measured_at = self.absolute_pace, now
        self.reported = self._compute_reported(now)

    def compare(self, usual_pace: float, now: float) -> None:
        """Set the pace in relation to the usual one of the model's targets."""
        pace = self.absolute_pace / usual_pace
        self.pace = 1.0 if pace < UNNOTICED_PACE else pace
        self._above_since = (
            min(self._above_since, now) if self.pace >= SLOW_PACE else math.inf
        )
        was_slow = self.is_slow
        if was_slow:
            self.is_slow = self.pace >= RECOVERED_PACE
        else:
            self.is_slow = now - self._above_since >= CONFIRM_S
        if self.is_slow and not was_slow:
            self.slow_since = now

    def _compute_reported(self, now: float) -> int:
        own = self._own.estimate(now)
        if own < UNNOTICED_PACE:
            return REPORTED_STEPS if self._own.is_measured(now) else 0
        return round(own * REPORTED_STEPS)


def sum_up_paces(reports: Iterable[tuple[int, int]]) -> PeerPaces:
    """Return what peers know of a target's pace.

    Args:
        reports: Requests at the target and reported pace in quarters, of each
            peer.
    """
    known = [
        (requests, quarters / REPORTED_STEPS)
        for requests, quarters in reports
        if quarters > 0
    ]
    if not known:
        return NO_PACES
    measured = tuple(pace for requests, pace in known if requests)
    remembered = max((pace for requests, pace in known if not requests), default=0.0)
    return PeerPaces(measured, remembered)
