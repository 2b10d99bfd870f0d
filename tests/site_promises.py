"""What a load run promises, checked by what callers and upstreams saw."""

import math
from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus

from tests.installation import Answer

__all__ = [
    "LIMIT_SLACK_S",
    "LOSS_SLACK_S",
    "EndedRequest",
    "LostUpstream",
    "RequestEnd",
    "RunLog",
]

LIMIT_SLACK_S = 0.2
"""An answer that ends so long before its time limit or later isn't cut, in
seconds."""

LOSS_SLACK_S = 0.2
"""A connection that is closed so soon after a request was sent crossed it, in
seconds, unless an upstream got the request."""

LEAVING_SLACK_S = 0.5
"""Time after a caller has left within which an upstream may still get its
request, in seconds."""

NOT_RUN = (
    HTTPStatus.REQUEST_TIMEOUT,
    HTTPStatus.MISDIRECTED_REQUEST,
    HTTPStatus.TOO_MANY_REQUESTS,
    HTTPStatus.SERVICE_UNAVAILABLE,
)
"""Statuses that say that a request hasn't run and won't."""


class RequestEnd(Enum):
    """How a request ended for its caller."""

    WHOLE = "whole"
    FAILED = "failed"
    LOST = "lost"
    AT_LIMIT = "at its limit"
    CROSSED = "crossed a close"
    UNSENT = "unsent"
    LEFT = "caller left"


@dataclass(frozen=True, slots=True)
class LostUpstream:
    """An upstream that was lost, from one time to another, in seconds."""

    upstream: str
    began_at: float
    ended_at: float


@dataclass(frozen=True, slots=True)
class EndedRequest:
    """How one request ended.

    Times are in seconds of the loop's clock.

    Attributes:
        name: Its id.
        route: Its route.
        vm: Where it was sent.
        after_stop_s: How long after the stop signal to that VM it was sent;
            None without one.
        sent_at: When it was sent, to its last byte.
        took_s: Time from then to its end.
        limit_s: Time from then to its limit.
        answer: What its caller got.
        wanted: How many events it asked for; 0 for a plain request.
        left_at: When its caller left.
        in_pieces: Whether its body came in chunks.
    """

    name: str
    route: str
    vm: str
    after_stop_s: float | None
    sent_at: float
    took_s: float
    limit_s: float
    answer: Answer
    wanted: int = 0
    left_at: float = math.inf
    in_pieces: bool = False

    def describe(self) -> str:
        """Return it as a line of a report."""
        after = ""
        if self.after_stop_s is not None:
            after = f", {self.after_stop_s:.2f} s after SIGTERM"
        pieces = ", in pieces" if self.in_pieces else ""
        return (
            f"{self.name} {self.route} at {self.vm}{after}{pieces}, took "
            f"{self.took_s:.2f} s: status {self.answer.status}, "
            f"{len(self.answer.events)} of {self.wanted} events"
        )


class RunLog:
    """What upstreams saw of all requests.

    Args:
        ran_at: When each upstream began to run each request, in seconds.
        begun: The upstreams that made an event of each stream.
        losses: The upstreams that were lost meanwhile.
    """

    def __init__(
        self,
        ran_at: Sequence[Mapping[str, Sequence[float]]],
        begun: Sequence[Mapping[str, set[str]]],
        losses: Sequence[LostUpstream] = (),
    ) -> None:
        self._ran_at: defaultdict[str, list[float]] = defaultdict(list)
        for one in ran_at:
            for request, times in one.items():
                self._ran_at[request] += times
        self._begun: defaultdict[str, set[str]] = defaultdict(set)
        for other in begun:
            for request, upstreams in other.items():
                self._begun[request] |= upstreams
        self._losses = losses

    def judge(self, one: EndedRequest) -> RequestEnd:
        """Return how a request ended."""
        answer = one.answer
        if not answer.sent:
            return RequestEnd.UNSENT
        if answer.whole:
            if answer.status != HTTPStatus.OK:
                return RequestEnd.FAILED
            is_whole = answer.events == list(range(1, one.wanted + 1))
            return RequestEnd.WHOLE if is_whole else RequestEnd.LOST
        if not math.isinf(one.left_at):
            return RequestEnd.LEFT
        if one.took_s >= one.limit_s - LIMIT_SLACK_S:
            return RequestEnd.AT_LIMIT
        if answer.status or one.took_s > LOSS_SLACK_S or one.name in self._ran_at:
            return RequestEnd.LOST
        return RequestEnd.CROSSED

    def list_began(self, one: EndedRequest) -> set[str]:
        """Return the upstreams that began a stream and weren't lost then."""
        return self._begun[one.name] - {
            loss.upstream
            for loss in self._losses
            if loss.began_at <= one.sent_at + one.took_s
            and loss.ended_at >= one.sent_at
        }

    def list_beyond_limits(
        self, ended: Sequence[EndedRequest], max_attempts: Mapping[str, int]
    ) -> list[EndedRequest]:
        """Return what began at more upstreams than its route allows."""
        return [
            one for one in ended if len(self.list_began(one)) > max_attempts[one.route]
        ]

    def list_run_though_refused(
        self, ended: Sequence[EndedRequest]
    ) -> list[EndedRequest]:
        """Return what ran though its caller was told that it hasn't."""
        return [
            one
            for one in ended
            if one.answer.status in NOT_RUN and one.name in self._ran_at
        ]

    def list_run_after_leaving(
        self, ended: Sequence[EndedRequest], slack_s: float = 0.0
    ) -> list[EndedRequest]:
        """Return what reached an upstream long after its caller had left.

        Args:
            ended: The requests.
            slack_s: By how much the times may be late, in seconds.
        """
        return [
            one
            for one in ended
            if any(
                at > one.left_at + LEAVING_SLACK_S + slack_s
                for at in self._ran_at.get(one.name, ())
            )
        ]

    def list_run_twice(self, ended: Sequence[EndedRequest], route: str) -> list[str]:
        """Return the requests of a route that ran more than once."""
        return [
            one.name
            for one in ended
            if one.route == route and len(self._ran_at.get(one.name, ())) > 1
        ]
