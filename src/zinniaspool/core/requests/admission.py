"""Which requests may begin, which wait a little, which are refused at once."""

import heapq
from collections.abc import Mapping
from dataclasses import dataclass, field
from itertools import count
from math import ceil, floor

from zinniaspool.core.dispatch.shares import LocalShares
from zinniaspool.core.dispatch.tickets import Ticket, TicketState
from zinniaspool.core.errors import ErrorKind, Fault
from zinniaspool.core.ids import CustomerId

__all__ = ["Admission", "AdmissionLimits", "LineState"]

_MEAN_WEIGHT = 0.05
"""Weight of the newest request in the mean time: some twenty count."""
_FIRST_MEAN_S = 1.0
"""Seconds taken for a request's time before any was measured."""
_LEAST_RISE = 1.01
"""Factor by which the least time rises with each request, so that an old
low value fades within some seventy."""
_TRIED_ONE_IN = 8
"""One of so many requests that seem too short is tried all the same, so
that the estimate can recover."""
_AFTER_GUARANTEES = 1e9
"""A rank behind all within their guarantee."""


@dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """How long requests may wait here.

    Attributes:
        wait_s: Longest wait.
        wait_part: Longest wait as a part of what is left until the deadline,
            so that a refusal leaves time to ask elsewhere.
        most_waiting: Requests of one customer that wait at a time.
        most_retry_after_s: Longest time that a refused caller is sent away.
    """

    wait_s: float = 2.0
    wait_part: float = 0.25
    most_waiting: int = 256
    most_retry_after_s: int = 30


@dataclass(frozen=True, slots=True)
class LineState:
    """One customer's requests here, for the state dump.

    Attributes:
        in_progress: Those that have begun.
        waiting: Those that wait.
        limit: How many may have begun, but for what is lent.
        guaranteed: How many of those it can always have here.
        mean_s: What an answered request takes.
        least_s: What the quickest of the recent ones took.
    """

    in_progress: int
    waiting: int
    limit: float
    guaranteed: float
    mean_s: float
    least_s: float


@dataclass(slots=True)
class _Line:
    """One customer's requests here."""

    in_progress: int = 0
    waiting: int = 0
    limit: float = 0.0
    weight: int = 1
    guaranteed: float = 0.0
    mean_s: float = 0.0
    least_s: float = 0.0
    too_short: int = 0
    queue: list[tuple[int, int, Ticket]] = field(default_factory=list)

    @property
    def over(self) -> float:
        return max(0.0, self.in_progress - self.limit)

    def measure(self, took_s: float) -> None:
        """Follow what answered requests take."""
        if not self.mean_s:
            self.mean_s = self.least_s = took_s
        self.mean_s += _MEAN_WEIGHT * (took_s - self.mean_s)
        self.least_s = min(took_s, self.least_s * _LEAST_RISE)

    def is_too_short(self, left_s: float) -> bool:
        """Whether no request of late was answered in so short a time.

        One in a few is let through all the same. Short requests that come
        after many long ones would otherwise be refused for ever, since none
        would be measured.
        """
        if left_s >= self.least_s:
            return False
        self.too_short += 1
        return self.too_short % _TRIED_ONE_IN != 0

    def estimate_wait(self, ahead: int) -> float:
        """Return when so many requests before another one will have begun."""
        return ahead * (self.mean_s or _FIRST_MEAN_S) / max(1, self.in_progress)


class Admission:
    """Admits the requests for one service in one entry process.

    A refusal tells a customer about its own requests only: its queue, its
    times, its limit. Its Retry-After is worked out from nothing else, so that
    no answer shows how much of the fleet a rival uses.

    Args:
        limits: How long requests may wait.
    """

    def __init__(self, limits: AdmissionLimits | None = None) -> None:
        self.in_progress = 0
        self._limits = limits or AdmissionLimits()
        self._lines: dict[CustomerId, _Line] = {}
        self._numbers = count()
        self._spare = 0.0
        self._over = 0.0
        self._waiting: set[CustomerId] = set()

    def set_shares(
        self, shares: LocalShares, weights: Mapping[CustomerId, int], now: float
    ) -> list[Ticket]:
        """Take new limits and return the waiting requests they admit."""
        # Limits are whole numbers of requests; what rounding takes from each
        # customer here is lent to all, or it would be idle in every process.
        self._spare = shares.spare
        for customer, limit in shares.limits.items():
            line = self._get_line(customer)
            line.limit = floor(limit)
            self._spare += limit - line.limit
            line.guaranteed = shares.guaranteed.get(customer, 0.0)
            line.weight = weights.get(customer, 1)
        self._over = sum(line.over for line in self._lines.values())
        return self._admit_waiting(now)

    def list_demands(self) -> dict[CustomerId, float]:
        """Return each customer's requests in progress and waiting."""
        return {
            customer: float(line.in_progress + line.waiting)
            for customer, line in self._lines.items()
            if line.in_progress or line.waiting
        }

    def describe(self) -> dict[CustomerId, LineState]:
        """Return each customer's state."""
        return {
            customer: LineState(
                line.in_progress,
                line.waiting,
                line.limit,
                line.guaranteed,
                round(line.mean_s, 3),
                round(line.least_s, 3),
            )
            for customer, line in self._lines.items()
        }

    def ask(
        self, customer: CustomerId, urgency: int, deadline: float, now: float
    ) -> Ticket | Fault:
        """Admit a request, let it wait, or refuse it at once."""
        line = self._get_line(customer)
        left_s = deadline - now
        if line.is_too_short(left_s):
            return Fault(ErrorKind.DEADLINE_TOO_SHORT, retry_after=1)
        longest = min(self._limits.wait_s, self._limits.wait_part * left_s)
        ticket = Ticket(customer, urgency, TicketState.WAITING, now + longest)
        if not line.queue and self._has_room(line):
            self._begin(line, ticket, now)
            return ticket
        wait_s = self._estimate_wait(line, urgency)
        if line.waiting >= self._limits.most_waiting or wait_s > longest:
            return self._refuse(line)
        if wait_s + line.least_s > left_s:
            return Fault(ErrorKind.DEADLINE_TOO_SHORT, retry_after=1)
        heapq.heappush(line.queue, (urgency, next(self._numbers), ticket))
        line.waiting += 1
        self._waiting.add(customer)
        return ticket

    def give_up(self, ticket: Ticket) -> Fault:
        """Take a waiting request out and return what its caller is told."""
        line = self._lines[ticket.customer]
        line.waiting -= 1
        ticket.state = TicketState.ENDED
        return self._refuse(line)

    def end(self, ticket: Ticket, now: float, *, answered: bool) -> list[Ticket]:
        """Count a request that has ended; return those admitted for it.

        Args:
            ticket: The request's.
            now: Seconds.
            answered: Whether it ended with an answer, so that its time says
                what such requests take.
        """
        line = self._lines[ticket.customer]
        ticket.state = TicketState.ENDED
        before = line.over
        line.in_progress -= 1
        self.in_progress -= 1
        self._over += line.over - before
        if answered:
            line.measure(now - ticket.began)
        return self._admit_waiting(now) if self._waiting else []

    def _get_line(self, customer: CustomerId) -> _Line:
        line = self._lines.get(customer)
        if line is None:
            line = self._lines[customer] = _Line()
        return line

    def _has_room(self, line: _Line) -> bool:
        return line.in_progress + 1 <= line.limit or self._over + 1 <= self._spare

    def _begin(self, line: _Line, ticket: Ticket, now: float) -> None:
        before = line.over
        line.in_progress += 1
        self.in_progress += 1
        self._over += line.over - before
        ticket.state = TicketState.ADMITTED
        ticket.began = now

    def _admit_waiting(self, now: float) -> list[Ticket]:
        admitted = []
        while self._waiting:
            line = self._choose_line()
            if line is None:
                break
            ticket = heapq.heappop(line.queue)[2]
            if ticket.state is not TicketState.WAITING:
                continue
            line.waiting -= 1
            self._begin(line, ticket, now)
            admitted.append(ticket)
        return admitted

    def _choose_line(self) -> _Line | None:
        """Return the line whose first request may begin: guarantees first."""
        found, least = None, 0.0
        for customer in list(self._waiting):
            line = self._lines[customer]
            if not line.queue:
                self._waiting.discard(customer)
                continue
            if not self._has_room(line):
                continue
            within = line.in_progress < line.guaranteed
            rank = line.in_progress / line.weight + (
                0.0 if within else _AFTER_GUARANTEES
            )
            if found is None or rank < least:
                found, least = line, rank
        return found

    def _estimate_wait(self, line: _Line, urgency: int) -> float:
        ahead = sum(1 for waiting in line.queue if waiting[0] <= urgency)
        return line.estimate_wait(ahead)

    def _refuse(self, line: _Line) -> Fault:
        wait_s = line.estimate_wait(line.waiting + 1)
        retry_after = min(self._limits.most_retry_after_s, max(1, ceil(wait_s)))
        within = line.in_progress < line.guaranteed
        kind = ErrorKind.OVERLOADED if within else ErrorKind.LIMIT_REACHED
        return Fault(kind, retry_after=retry_after)
