"""The state of a caller's request in progress, and of its attempts."""

import asyncio
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from enum import Enum

from zinniaspool.core.dispatch import (
    NOT_RUN_FAILURES,
    AttemptFailure,
    Attempts,
    EventCursor,
    EventPace,
    PaceSpread,
    Progress,
    RequestTerms,
    StreamTiming,
    TargetPool,
    TargetState,
)
from zinniaspool.core.fleet import (
    CustomerSpec,
    InstanceId,
    InstanceIncarnation,
    RouteSpec,
)
from zinniaspool.core.ids import ContentId, FabricDomainId, ServiceName, TraitId
from zinniaspool.http import ClientResponse, Exchange

__all__ = ["FailedAnswer", "GatewayAttempt", "GatewayCall", "RerouteCause"]

FASTER = 0.7
"""Part of the time of a token at a target that a stream left as too slow, by
which it may be less now, so that the stream may go back."""


class RerouteCause(Enum):
    """Why a request should leave its target."""

    STALLED = "stalled"
    REFUSED = "connection-refused"
    PEER_REPORT = "peer-report"
    OVERDUE = "first-event-overdue"
    SLOW = "slow"
    INSTANCE_LOST = "instance-lost"
    GROUP_ENDED = "group-ended"
    PATH_CHANGED = "path-changed"
    QUARANTINED = "quarantined"
    BEHIND = "behind"


@dataclass(frozen=True, slots=True)
class FailedAnswer:
    """A failed answer of an upstream, kept to be passed on.

    The caller gets it if no other upstream answers the request.
    """

    response: ClientResponse
    body: bytes


@dataclass(eq=False, slots=True)
class GatewayAttempt:
    """One attempt of a caller's request at a target.

    Times are in seconds on the event loop's clock.

    Attributes:
        call: The request.
        state: State of the target.
        cursor: Position in the target's event stream.
        number: Number of the attempt, from 1.
        trial: The trait that the attempt is the trial of, or None.
        is_uncounted: Whether it is left out of the number of attempts: its
            target had the request before, or has ended since.
        timeout: Its timeout; None before it begins and after it has ended.
        task: The task that runs it beside another attempt; None for one that
            runs in the request's own task.
        reroute_cause: Why another attempt was begun beside it, or why it was
            interrupted; None if neither happened.
        first_event_overdue: Whether that was because its first event was
            overdue. The target may still serve other requests.
        has_led: Whether its events or answer have gone to the caller, or it
            took the place of an attempt that failed.
        superseded: Whether another attempt goes on in place of this one.
        resumed_after: Id of the last event before it; 0 from the start.
        sent_at: Time at which it was sent.
        ended_at: Time at which it ended.
        failure: How it failed; None if it goes on or answered.
        predicted_first_event_s: Predicted time from then to its first event,
            in seconds.
        has_event: Whether it has had an event.
        writing_since: Time of its first event.
        event_reads: Reads of its events.
        read_at: Time at which the last of them arrived, or at which it was
            sent; later by the time that its caller took to read them.
        pace: The recent time from one event to the next.
        is_blocked: Whether an event waits for the caller to read.
        blocked_s: Time in which events waited for the caller to read, in
            seconds.
        is_doubtful: Whether its events are kept back although its pace is
            known.
        is_behind: Whether its stream was found not to end in time there.
        left_token_s: Time of a token when its stream was moved as behind, in
            seconds; None if it wasn't.
        left_at: When that was.
        kept_for: Why its stream stayed although it was behind, for the log.
        silent_outcomes: What was logged of its stream when its head was
            silent.
        moved_from: The attempt whose stream was behind and goes on here; None
            if there is none.
        held: Events that were kept back while another attempt was to go on, or
            until the stream's end was certain.
        is_answer: Whether it counts as answered: it is complete, or goes on
            for long enough.
        unanswered_out_of_subset: Whether its target is out of this process's
            subset and nothing has come back.
    """

    call: "GatewayCall"
    state: TargetState
    cursor: EventCursor
    number: int
    trial: TraitId | None = None
    is_uncounted: bool = False
    timeout: asyncio.Timeout | None = None
    task: "asyncio.Task[AttemptFailure | None] | None" = None
    reroute_cause: RerouteCause | None = None
    first_event_overdue: bool = False
    has_led: bool = False
    superseded: bool = False
    resumed_after: int = 0
    sent_at: float = 0.0
    ended_at: float = 0.0
    failure: AttemptFailure | None = None
    predicted_first_event_s: float = 0.0
    has_event: bool = False
    writing_since: float = 0.0
    event_reads: int = 0
    read_at: float = 0.0
    pace: EventPace = field(default_factory=EventPace)
    is_blocked: bool = False
    blocked_s: float = 0.0
    is_doubtful: bool = False
    is_behind: bool = False
    left_token_s: float | None = None
    left_at: float = 0.0
    kept_for: set[str] = field(default_factory=set)
    silent_outcomes: set[str] = field(default_factory=set)
    moved_from: "GatewayAttempt | None" = None
    held: bytes = b""
    is_answer: bool = False
    unanswered_out_of_subset: bool = False

    @property
    def is_leading(self) -> bool:
        """Whether its events and answer go to the caller."""
        return self.call.leader is self

    def describe(self) -> str:
        """Return what became of it, for the log.

        Its number and instance, the times when it was sent and ended, in
        milliseconds since its request arrived, the events before it and up to
        its end, and how it ended. For one that ended since another one was
        begun in its place, this is the reason for that.
        """
        call = self.call
        sent_ms = int((self.sent_at - call.received_at) * 1000)
        ended_ms = int((self.ended_at - call.received_at) * 1000)
        ended = "answered" if self.failure is None else self.failure.value
        if self.failure is AttemptFailure.STALLED and self.reroute_cause is not None:
            ended = self.reroute_cause.value
        return (
            f"{self.number}@{self.state.target.instance}:{sent_ms}-{ended_ms}:"
            f"{self.resumed_after}-{self.cursor.last_id or 0}:{ended}"
        )

    def reschedule_timeout(self, at: float) -> None:
        """Have the attempt time out at another time, in seconds."""
        if self.timeout is not None and not self.timeout.expired():
            self.timeout.reschedule(at)

    def interrupt(self, now: float) -> None:
        """End this attempt at once."""
        self.superseded = True
        timeout, self.timeout = self.timeout, None
        if timeout is not None and not timeout.expired():
            timeout.reschedule(now)


@dataclass(frozen=True, slots=True)
class StopForecast:
    """Why a stopping process expects a request to end in time, or not.

    Attributes:
        left_s: Time that the process had left, in seconds.
        longest_s: Longest time of the request, in seconds; None if unknown.
        first_s: Time to its first event, in seconds.
        writing_s: Longest time from then on, in seconds.
        reserve_s: Time that is reserved beside these, in seconds.
        id_s: Longest time from one event to the next, in seconds; 0 if
            unknown.
        streams: Streams of its model in progress at this process.
    """

    left_s: float
    longest_s: float | None = None
    first_s: float = 0.0
    writing_s: float = 0.0
    reserve_s: float = 0.0
    id_s: float = 0.0
    streams: int = 0

    def list_keys(self) -> dict[str, int]:
        """Return it for the log, in milliseconds; -1 for what is unknown."""
        longest_s = self.longest_s
        return {
            "left_ms": int(self.left_s * 1000),
            "longest_ms": -1 if longest_s is None else int(longest_s * 1000),
            "first_ms": int(self.first_s * 1000),
            "writing_ms": int(self.writing_s * 1000),
            "reserve_ms": int(self.reserve_s * 1000),
            "id_ms": int(self.id_s * 1000),
            "streams": self.streams,
        }


@dataclass(eq=False, slots=True)
class GatewayCall:
    """A caller's request in progress.

    A request has one attempt, whose events go to the caller. If its target is
    suspected to have failed, other attempts are begun beside it. The first one
    that has the next event, or the whole answer, goes on, and the others are
    ended. Silence alone doesn't show that a target has failed, so no attempt
    is ended for one that may be refused or be silent too.

    Times are in seconds on the event loop's clock.

    Attributes:
        exchange: The caller's HTTP exchange.
        terms: What the caller states about its request.
        route: The route that the request matches.
        service: The service of the route that was drawn for the request.
        customer: Customer that sent it; None for an anonymous caller.
        received_at: Time at which it had arrived completely.
        deadline: Time until which the caller must have its answer, or this
            process ends.
        attempts: Decides whether it may be sent again.
        content: Content id, which stays the same if the caller sends the
            request again with another request id.
        traits: What it may have in common with other requests.
        last_event_id: Id of the last event that went to the caller; None
            before the first one.
        progress: How much of the answer the caller has received.
        tried: Instances that it was sent to.
        left: Instances at which an attempt ended because another one went on.
            They may take the request again.
        history: Its attempts, in the order in which they were made.
        suspected_domains: Fabric domains in which a target stalled while it
            had the request.
        leader: The attempt whose events go to the caller; None before the
            first one.
        alternatives: The attempts beside it, the newest last.
        stopped_by: What ended the last failed attempt; empty if none failed.
        is_served: Whether its caller gets an upstream's success.
        failed_answer: An upstream's failure that the caller gets if no other
            upstream answers.
        first_byte_s: Time from its arrival to the first byte that went to the
            caller, in seconds.
        last_event_at: Time at which the newest events had been written to it.
        longest_pause_s: Longest pause until the next events, in seconds.
        late: Whether it was admitted although its answer will be late.
        urgency: Urgency that is sent to upstreams, 0 is the most urgent; None
            to send none.
        deadline_after_stop: Whether its own deadline is later than the end of
            this process.
        stop_forecast: By what it was accepted or refused while the process
            stopped; None if its own deadline is earlier.
        error_reserve_s: Time after its deadline that is reserved for an error
            answer, in seconds; a stream that has begun needs none.
        holds_until: Time until which the leader's events are kept back while
            there is an alternative, so that the alternative goes on although
            it has its event later.
        waits_until: Time until which it waits for a target, since none was
            left after a lost attempt; None if it doesn't wait.
        spread: What streams of its model show; None before it has left a
            target as too slow.
    """

    exchange: Exchange
    terms: RequestTerms
    route: RouteSpec
    service: ServiceName
    customer: CustomerSpec | None
    received_at: float
    deadline: float
    attempts: Attempts
    content: ContentId
    traits: tuple[TraitId, ...] = ()
    last_event_id: int | None = None
    progress: Progress = Progress.NOTHING
    tried: list[InstanceId] = field(default_factory=list)
    left: set[InstanceId] = field(default_factory=set)
    history: list[GatewayAttempt] = field(default_factory=list)
    suspected_domains: set[FabricDomainId | None] = field(default_factory=set)
    leader: GatewayAttempt | None = None
    alternatives: list[GatewayAttempt] = field(default_factory=list)
    stopped_by: str = ""
    is_served: bool = False
    failed_answer: FailedAnswer | None = None
    first_byte_s: float | None = None
    last_event_at: float = 0.0
    longest_pause_s: float = 0.0
    late: bool = False
    urgency: int | None = None
    deadline_after_stop: bool = False
    stop_forecast: StopForecast | None = None
    error_reserve_s: float = 0.0
    holds_until: float = 0.0
    waits_until: float | None = None
    spread: PaceSpread | None = None

    @property
    def longest_s(self) -> float | None:
        """Longest time that was predicted for it in a stop, in seconds."""
        return None if self.stop_forecast is None else self.stop_forecast.longest_s

    @property
    def stream_deadline(self) -> float:
        """Time until which a stream that has begun may go on, in seconds."""
        if self.deadline_after_stop:
            return self.deadline
        return self.deadline + self.error_reserve_s

    @property
    def newest_attempt(self) -> GatewayAttempt | None:
        """The attempt that was begun last."""
        return self.alternatives[-1] if self.alternatives else self.leader

    def make_attempt(
        self,
        state: TargetState,
        trial: TraitId | None = None,
        *,
        is_repeat: bool = False,
    ) -> GatewayAttempt:
        """Return an attempt that goes on after the last event passed on."""
        instance = state.target.instance
        self.left.discard(instance)
        self.tried.append(instance)
        cursor = EventCursor()
        cursor.last_id = self.last_event_id
        cursor.resume()
        attempt = GatewayAttempt(self, state, cursor, self.attempts.sent, trial)
        attempt.is_uncounted = is_repeat
        attempt.resumed_after = self.last_event_id or 0
        self.history.append(attempt)
        return attempt

    def describe_attempts(self) -> str:
        """Return what became of its attempts, for the log."""
        return ",".join(attempt.describe() for attempt in self.history)

    def list_upstreams(self) -> set[InstanceId]:
        """Return the instances that may have begun to run it."""
        return {
            attempt.state.target.instance
            for attempt in self.history
            if attempt.failure not in NOT_RUN_FAILURES
        }

    @property
    def may_repeat(self) -> bool:
        """Whether a target that it left may take it again."""
        return bool(self.left) and self.attempts.may_repeat

    def is_repeat(self, state: TargetState) -> bool:
        """Return whether an attempt at a target is no further upstream."""
        return state.target.instance in self.left and self.attempts.may_repeat

    def leave_out_ended(self, has_ended: Callable[[InstanceIncarnation], bool]) -> None:
        """Leave out attempts whose targets have ended, if no other is allowed.

        An attempt of which nothing has arrived may have begun. Only the end of
        its target shows that it doesn't run there.

        Args:
            has_ended: Returns whether an incarnation is known to have ended.
        """
        if self.attempts.may_begin_alternative:
            return
        for attempt in self.history:
            if attempt.is_uncounted or attempt.failure is AttemptFailure.NOT_SENT:
                continue
            target = attempt.state.target
            if has_ended(target.incarnation):
                self.left.discard(target.instance)
                attempt.is_uncounted = self.attempts.uncount()

    def list_excluded(self, pool: TargetPool) -> Collection[InstanceId]:
        """Return the instances that its next attempt may not be sent to.

        Those that it left may take it again. If the number of attempts allows
        no further target, all others are among them.
        """
        if self.attempts.may_begin_alternative:
            return [one for one in self.tried if one not in self.left]
        kept = self.left if self.attempts.may_repeat else set()
        return {
            state.target.instance for state in pool if state.target.instance not in kept
        }

    def list_avoided(self, now: float) -> set[TargetState]:
        """Return the targets that it goes to only if there is no other one.

        Args:
            now: Seconds.
        """
        return {one.state for one in self.history if self._is_too_slow(one, now)}

    def _is_too_slow(self, former: GatewayAttempt, now: float) -> bool:
        """Return whether an attempt shows that its target is too slow.

        The target was left as too slow, or had no event in time. It is one to
        go back to if it has been faster since, or if it was slow for all its
        streams and is so no longer.
        """
        if former.left_token_s is None and former.failure is not (
            AttemptFailure.TOO_LATE
        ):
            return former.moved_from is not None and not former.has_led
        speed = former.state.speed
        if former.sent_at < speed.slow_since and not speed.is_slow:
            return False
        if former.left_token_s is None or self.spread is None:
            return True
        token_s = self.spread.find_at(former.state, now, former.left_at)
        return token_s is None or token_s > FASTER * former.left_token_s

    def shorten_deadline(self, deadline: float) -> None:
        """Have the request end when this process does, at the latest.

        Args:
            deadline: Time until which this process serves requests.
        """
        if self.deadline <= deadline:
            return
        self.deadline, self.deadline_after_stop = deadline, True
        self.attempts.shorten_deadline(deadline)
        for attempt in (self.leader, *self.alternatives):
            if attempt is not None:
                attempt.reschedule_timeout(deadline)

    def extend_deadline(self) -> None:
        """Have a stream that has begun go on until its last moment."""
        self.deadline, self.error_reserve_s = self.stream_deadline, 0.0
        if self.leader is not None:
            self.leader.reschedule_timeout(self.deadline)

    def lead(self, attempt: GatewayAttempt, now: float) -> None:
        """Have an attempt go on alone: it has the next event or the answer."""
        if self.leader is attempt and not self.alternatives:
            return
        others = [self.leader, *self.alternatives]
        self.leader, attempt.has_led = attempt, True
        self.alternatives.clear()
        for other in others:
            if other is not None and other is not attempt:
                other.interrupt(now)
                self.left.add(other.state.target.instance)

    def holds_back(self, attempt: GatewayAttempt, now: float) -> bool:
        """Return whether an attempt's events wait for another attempt's."""
        if not self.alternatives or self.leader is not attempt:
            return False
        if self.terms.model is None:
            return False
        return now < self.holds_until

    def promote_alternative(self) -> GatewayAttempt | None:
        """Have an alternative go on, since the leader has failed.

        Returns:
            The new leader; None if there is no alternative.
        """
        if not self.alternatives:
            return None
        self.leader = self.alternatives.pop(0)
        self.leader.has_led = True
        return self.leader

    def measure_stream(self, tokens_per_pass: int) -> StreamTiming | None:
        """Return what its stream shows so far; None without one.

        Args:
            tokens_per_pass: Tokens that a pass of its upstream yields.
        """
        leader = self.leader
        if leader is None or not leader.has_event:
            return None
        if self.progress is Progress.NOTHING:
            return None
        is_from_start = leader.number == 1 and self.terms.resume_after is None
        return StreamTiming(
            leader.cursor.passes.count,
            self.last_event_at - leader.writing_since - leader.blocked_s,
            self.longest_pause_s,
            tokens_per_pass,
            self.terms.max_output_tokens,
            (self.last_event_id or 0) if is_from_start else 0,
        )

    def compute_wanted_event_time(self, now: float) -> float | None:
        """Return within which time its next attempt should have an event.

        Returns:
            Seconds, below 0 if it is late already; None if no time is wanted.
        """
        if self.terms.model is None or self.late:
            return None
        if self.progress is Progress.NOTHING:
            return self.received_at + self.route.objective_s - now
        if self.route.max_pause_s is None:
            return None
        return self.last_event_at + self.route.max_pause_s - now
