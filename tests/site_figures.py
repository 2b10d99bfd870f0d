"""What a play of tests/site_load.py counted, in a form that can be summed."""

import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from http import HTTPStatus
from statistics import median, quantiles
from typing import Self, TypeVar

import msgspec

from tests.site_promises import EndedRequest, RequestEnd, RunLog
from zinniaspool.telemetry.traces import LogLine

__all__ = ["PlayFigures", "describe_moves", "describe_served"]


MIN_EVENTS = 5
"""Events from which on an attempt shows a pace."""

ATTEMPT = re.compile(r"@[^:]*:(\d+)-(\d+):(\d+)-(\d+):")
"""The times and ids in the log's description of an attempt."""

_Key = TypeVar("_Key", int, str)


class PlayFigures(msgspec.Struct):
    """What one play counted, or several together.

    Attributes:
        sent: Requests sent.
        ends: How many of them ended in which way.
        stream_statuses: How many streams had which status.
        broken: How many requests broke each promise.
        too_late: Requests that came too late at upstreams that leave.
        events: Lines of the logs, by event.
        killed: Processes that were killed at the end of their time.
        served: How many requests sent to stopping VMs were served and how many
            there were, by the second after the signal.
        first_events_s: How long streams sent to stopping VMs waited for their
            first event, in seconds, by the second after the signal.
        late_s: By how much the callers' loop was late at most, in seconds.
        lost: A line for each lost request.
    """

    sent: int = 0
    ends: dict[str, int] = {}
    stream_statuses: dict[int, int] = {}
    broken: dict[str, int] = {}
    too_late: int = 0
    events: dict[str, int] = {}
    killed: list[str] = []
    served: dict[int, tuple[int, int]] = {}
    first_events_s: dict[int, list[float]] = {}
    late_s: float = 0.0
    lost: list[str] = []

    @classmethod
    def count(
        cls,
        ended: Sequence[EndedRequest],
        runs: RunLog,
        broken: Mapping[str, Sequence[EndedRequest]],
    ) -> Self:
        """Count what the requests themselves show."""
        ends = {one.name: runs.judge(one) for one in ended}
        streams = [one for one in ended if one.wanted]
        served: defaultdict[int, tuple[int, int]] = defaultdict(lambda: (0, 0))
        first_events_s: defaultdict[int, list[float]] = defaultdict(list)
        for one in ended:
            if one.after_stop_s is None or one.after_stop_s < 0:
                continue
            second, end = int(one.after_stop_s), ends[one.name]
            whole, sent = served[second]
            served[second] = (
                whole + (end is RequestEnd.WHOLE),
                sent + (end is not RequestEnd.LEFT),
            )
            answer = one.answer
            if answer.status == HTTPStatus.OK and one.wanted and answer.first_at:
                first_events_s[second].append(answer.first_at - one.sent_at)
        return cls(
            sent=len(ended),
            ends=Counter(end.value for end in ends.values()),
            stream_statuses=Counter(one.answer.status for one in streams),
            broken={text: len(found) for text, found in broken.items()},
            served=served,
            first_events_s=first_events_s,
            lost=[one.describe() for one in broken["lost"]],
        )

    @classmethod
    def sum(cls, plays: Sequence["PlayFigures"]) -> Self:
        """Return the figures of several plays together."""
        served: defaultdict[int, tuple[int, int]] = defaultdict(lambda: (0, 0))
        first_events_s: defaultdict[int, list[float]] = defaultdict(list)
        for play in plays:
            for second, (whole, sent) in play.served.items():
                before = served[second]
                served[second] = (before[0] + whole, before[1] + sent)
            for second, waits_s in play.first_events_s.items():
                first_events_s[second] += waits_s
        return cls(
            sent=sum(play.sent for play in plays),
            ends=_add(play.ends for play in plays),
            stream_statuses=_add(play.stream_statuses for play in plays),
            broken=_add(play.broken for play in plays),
            too_late=sum(play.too_late for play in plays),
            events=_add(play.events for play in plays),
            killed=[name for play in plays for name in play.killed],
            served=served,
            first_events_s=first_events_s,
            late_s=max((play.late_s for play in plays), default=0.0),
            lost=[line for play in plays for line in play.lost],
        )

    def is_sound(self) -> bool:
        """Return whether no promise was broken."""
        return not self.too_late and not any(self.broken.values())

    def describe(self) -> str:
        """Return the figures as lines of a report."""
        statuses = ", ".join(
            f"{self.stream_statuses.get(status, 0)} status {status.value}"
            for status in (
                HTTPStatus.GATEWAY_TIMEOUT,
                HTTPStatus.SERVICE_UNAVAILABLE,
            )
        )
        broken = ", ".join(f"{count} {text}" for text, count in self.broken.items())
        return "\n  ".join(
            [
                f"{self.sent} sent: {self.ends}, own loop late by "
                f"{self.late_s:.2f} s at most",
                f"streams: {statuses}",
                f"broken: {broken}, {self.too_late} too late",
                f"events: {self.events}",
                f"killed at the end of their time: {len(self.killed)}",
                f"served by second after a stop or failure: "
                f"{describe_served(self.served)}",
                f"seconds to the first event, median/95%, by second after it: "
                f"{_describe_waits(self.first_events_s)}",
                *(f"lost: {line}" for line in self.lost),
            ]
        )


def describe_served(served: Mapping[int, tuple[int, int]]) -> str:
    """Return how many of how many requests were served, by second."""
    return ", ".join(
        f"{second}: {whole}/{sent}" for second, (whole, sent) in sorted(served.items())
    )


def describe_moves(
    ended: Sequence[EndedRequest], runs: RunLog, lines: Sequence[LogLine]
) -> str:
    """Return how streams ended that were moved as behind.

    Returns:
        How many ended in which way, and for how many of those whose
        attempts show it the events came faster after the move.
    """
    names = {line.fields["request"] for line in lines if line.event == "stream-moved"}
    ends = Counter(runs.judge(one).value for one in ended if one.name in names)
    faster = compared = 0
    for line in lines:
        if line.event != "request-ended" or line.fields["request"] not in names:
            continue
        paces = _list_paces(line.fields["history"])
        if len(paces) > 1:
            compared += 1
            faster += paces[-1] < paces[0]
    return f"{dict(ends)}, events came faster for {faster} of {compared}"


def _list_paces(history: str) -> list[float]:
    """Return the milliseconds an event of attempts that had some events."""
    paces = []
    for found in ATTEMPT.findall(history):
        sent, ended, first, last = (int(one) for one in found)
        if last - first >= MIN_EVENTS:
            paces.append((ended - sent) / (last - first))
    return paces


def _add(counts: Iterable[Mapping[_Key, int]]) -> dict[_Key, int]:
    total: Counter[_Key] = Counter()
    for one in counts:
        total.update(one)
    return dict(total)


def _describe_waits(waits_s: Mapping[int, Sequence[float]]) -> str:
    """Return the median and the 95th percentile of waits, by second."""
    return ", ".join(
        f"{second}: {median(found):.2f}/{_find_95th(found):.2f} of {len(found)}"
        for second, found in sorted(waits_s.items())
    )


def _find_95th(values: Sequence[float]) -> float:
    if len(values) == 1:
        return values[0]
    return quantiles(values, n=20, method="inclusive")[-1]
