"""Which requests begin now, which wait a moment, which are refused at once.

Pattern: more is asked of a model than its groups can do, in a burst, after
groups were lost, or when the entry VMs come back after an outage and all that
was asked meanwhile comes at once. Upstreams that take everything answer
everybody late: at 2.2 times the usual traffic, one answer in eight was on
time where there were slots for five, and it stayed so for seconds after the
burst.

So a request begins at once where it can still be on time. One that will be
late in any case is worth a quarter of one on time, and takes as much of a
slot: it gets what those on time leave over, in a short line, or is refused.
"""

import random
from collections import deque
from dataclasses import dataclass

from zinniaspool.core.dispatch.pools import TargetPool
from zinniaspool.core.dispatch.targets import TargetState
from zinniaspool.core.dispatch.tickets import Ticket, TicketState
from zinniaspool.core.ids import CustomerId

__all__ = ["Admission", "AdmissionLimits", "Ask", "Refusal"]

FREE_PART = 0.5
"""Part of a target's slots up to which it takes whatever can be on time by the
clock, however long its prompt: nothing waits there, and a prediction that is
wrong must not refuse what there is room for."""

LEAST_SEEN_S = 0.5
"""Shortest time over which a rate is measured, in seconds: a few requests that
come together at the start are no rate yet."""

QUIET_S = 10.0
"""Seconds without a request after which a rate is measured anew."""

LEAST_RATE = 0.01
"""Requests a second below which nothing is left over."""

STARTED_S = 0.4
"""Seconds from the end of a wait to the first event, with some to spare."""

CALM_S = 6.0
"""Seconds after a refusal in which its caller may come again."""

RATE_WINDOW_S = 3.0
"""Seconds over which begun requests are counted. Whether anything is left over
shows only after some of them: refused for the first fullest second after a
return, callers would be sent away for good whom the next one has room for."""


@dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """How those that will be late are treated.

    Attributes:
        kept_part: Part of each target's slots that they leave free. Requests
            in progress vary by about their square root: at usual load two
            slots of thirteen keep nearly all that come next from waiting.
        wait_s: Longest wait in the line. Callers leave a stream that says
            nothing after two seconds, and its first event takes a part of
            that.
        retry_after_s: When to come back where nothing is left over at all:
            about as long as callers wait in any case.
    """

    kept_part: float = 0.15
    wait_s: float = 1.2
    retry_after_s: float = 2.0


@dataclass(frozen=True, slots=True)
class Ask:
    """What decides when a request may begin.

    Attributes:
        customer: Whose it is.
        urgency: 0 is the most urgent.
        on_time_until: Until when its first event is on time, in seconds.
        leaves_at: When its caller leaves without a first event, in seconds.
        prompt: Tokens of its prompt.
    """

    customer: CustomerId
    urgency: int
    on_time_until: float
    leaves_at: float
    prompt: int = 0


@dataclass(frozen=True, slots=True)
class Refusal:
    """A request that is refused.

    Attributes:
        retry_after_s: When to come back, in seconds.
        first_s: How soon a first event would come at the best target; None
            where there is none.
        in_line: Late requests that wait here.
        rest_rate: How many of those this process may begin a second.
    """

    retry_after_s: float
    first_s: float | None
    in_line: int
    rest_rate: float


@dataclass(frozen=True, slots=True)
class _Waiting:
    """A request that waits, and until when."""

    ticket: Ticket
    until: float

    @property
    def left(self) -> bool:
        """Whether its caller has gone."""
        return self.ticket.state is not TicketState.WAITING


class Admission:
    """Admits the requests for one model in one entry process.

    Args:
        pool: Where they go.
        source: Spreads the returns of refused callers.
        limits: How those that will be late are treated.
    """

    def __init__(
        self,
        pool: TargetPool,
        source: random.Random,
        limits: AdmissionLimits | None = None,
    ) -> None:
        self._pool = pool
        self._source = source
        self._limits = limits or AdmissionLimits()
        self._asked: deque[float] = deque()
        self._asked_first = float("-inf")
        self._begun: deque[float] = deque()
        self._line: deque[_Waiting] = deque()
        self._allowance = 0.0
        self._refused_at = float("-inf")

    def ask(self, ask: Ask, now: float) -> Ticket | Refusal:
        """Admit a request, let it wait, or refuse it at once."""
        ticket = Ticket(ask.customer, ask.urgency, TicketState.WAITING, now)
        if ask.on_time_until > now:
            self._note_asked(now)
        if self._can_be_on_time(ask, now):
            self._begun.append(now)
            return _admit(ticket, now)
        return self._ask_late(ticket, ask, now) or self.refuse(ask, now)

    def measure_demand(self, now: float) -> float:
        """Return how many slots all that is asked for here would take.

        What is refused counts as what is taken, by as long as it would have
        stayed; who comes again counts once.
        """
        _drop_before(self._asked, now - RATE_WINDOW_S)
        seen_s = min(RATE_WINDOW_S, max(LEAST_SEEN_S, now - self._asked_first))
        return len(self._asked) / seen_s * self._pool.forecast.stay_s

    def step(self, now: float) -> list[Ticket]:
        """Let those that wait begin, as far as there is room now.

        Returns:
            Those that do not wait any more: admitted ones, and ended ones
            that have waited in vain.
        """
        part = self._count_own_room(now)
        self._allowance = part + self._allowance % 1.0
        done = []
        while self._line and (self._line[0].left or self._allowance >= 1.0):
            one = self._line.popleft()
            if not one.left:
                self._allowance -= 1.0
                done.append(_admit(one.ticket, now))
        while self._line and (self._line[0].left or self._line[0].until <= now):
            one = self._line.popleft()
            if not one.left:
                one.ticket.state = TicketState.ENDED
                done.append(one.ticket)
        return done

    def is_calm(self, now: float) -> bool:
        """Whether no caller that was refused can come again now."""
        return now - self._refused_at > CALM_S

    def refuse(self, ask: Ask, now: float) -> Refusal:
        """Return what one that cannot be taken is told."""
        self._refused_at = now
        rate = self._measure_rest(now)
        wait_s = min(self._limits.retry_after_s, self._predict_wait(rate, now))
        # Callers that are all told the same come again all at once.
        wait_s *= self._source.uniform(0.75, 1.25)
        usable = self._pool.list_usable(now)
        first_s = min(
            (self._pool.predict_first(one, ask.prompt, now) for one in usable),
            default=None,
        )
        return Refusal(round(wait_s, 2), first_s, len(self._line), rate)

    def _note_asked(self, now: float) -> None:
        if now - (self._asked[-1] if self._asked else self._asked_first) > QUIET_S:
            self._asked_first = now
        self._asked.append(now)

    def _can_be_on_time(self, ask: Ask, now: float) -> bool:
        left_s = ask.on_time_until - now
        if left_s <= 0:
            return False
        left_s -= self._pool.forecast.spread_s
        return any(
            self._takes(state, ask, left_s, now) for state in self._pool.list_open(now)
        )

    def _takes(self, state: TargetState, ask: Ask, left_s: float, now: float) -> bool:
        if state.load(now) + 1 <= state.target.slots * FREE_PART:
            return True
        if not self._pool.has_place(state, now):
            return False
        return self._pool.predict_first(state, ask.prompt, now) <= left_s

    # Those that will be late.

    def _ask_late(self, ticket: Ticket, ask: Ask, now: float) -> Ticket | None:
        """Admit a late request or let it wait; None where there is no room."""
        ticket.late = True
        if not self._line and self._allowance >= 1.0:
            self._allowance -= 1.0
            return _admit(ticket, now)
        until = min(now + self._limits.wait_s, ask.leaves_at - STARTED_S)
        if now + self._predict_wait(self._measure_rest(now), now) > until:
            return None
        self._line.append(_Waiting(ticket, until))
        return ticket

    def _count_own_room(self, now: float) -> float:
        """Return how many late requests may begin here now."""
        states, count = self._pool.list_divided(now)
        return sum(self._room_at(state, now) for state in states) / count

    def _room_at(self, state: TargetState, now: float) -> float:
        slots = state.target.slots
        return max(0.0, slots * (1 - self._limits.kept_part) - state.load(now))

    def _measure_rest(self, now: float) -> float:
        """Return how many late requests a second this process may begin."""
        _drop_before(self._begun, now - RATE_WINDOW_S)
        states, count = self._pool.list_divided(now)
        slots = sum(one.slots or one.target.slots for one in states)
        able = slots * (1 - self._limits.kept_part) / self._pool.forecast.stay_s
        return max(0.0, able / count - len(self._begun) / RATE_WINDOW_S)

    def _predict_wait(self, rate: float, now: float) -> float:
        """Return for how long one more would wait in the line, in seconds."""
        room = self._count_own_room(now)
        return max(0.0, len(self._line) + 1 - room) / max(rate, LEAST_RATE)


def _admit(ticket: Ticket, now: float) -> Ticket:
    ticket.state, ticket.began = TicketState.ADMITTED, now
    return ticket


def _drop_before(times: deque[float], oldest: float) -> None:
    while times and times[0] < oldest:
        times.popleft()
