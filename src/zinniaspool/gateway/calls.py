"""The state of a caller's request that all its attempts share."""

import asyncio
from dataclasses import dataclass, field

from zinniaspool.core.dispatch import (
    Attempts,
    EventCursor,
    Progress,
    RequestTerms,
    TargetState,
)
from zinniaspool.core.fleet import CustomerSpec, InstanceId, RouteSpec
from zinniaspool.core.ids import ContentId, FabricDomainId, ServiceName, TraitId
from zinniaspool.http import ClientResponse, Exchange

__all__ = ["FailedAnswer", "GatewayCall"]


@dataclass(frozen=True, slots=True)
class FailedAnswer:
    """A failed answer of an upstream, kept to be passed on.

    The caller gets it if no other upstream answers the request.
    """

    response: ClientResponse
    body: bytes


@dataclass(eq=False, slots=True)
class GatewayCall:
    """A caller's request in progress.

    Times are in seconds on the event loop's clock.

    Attributes:
        exchange: The caller's HTTP exchange.
        terms: What the caller states about its request.
        route: The route that the request matches.
        service: The service of the route that was drawn for the request.
        customer: Customer that sent it; None for an anonymous caller.
        received_at: Time at which it had arrived completely.
        deadline: Time until which the caller must have its answer.
        attempts: Decides whether it may be sent again.
        content: Content id, which stays the same if the caller sends the
            request again with another request id.
        traits: What it may have in common with other requests.
        cursor: Position in its event stream.
        progress: How much of the answer the caller has received.
        tried: Instances that it was sent to.
        suspected_domains: Fabric domains in which a target stalled while it
            had the request.
        target_state: State of the target of its latest attempt.
        attempt_timeout: Timeout of the current attempt; None if the attempt
            has ended or was interrupted.
        rerouted: Whether the current attempt was interrupted so that the
            request leaves its target.
        reroute_cause: Why it was interrupted; empty if it was not.
        stopped_by: What ended the last failed attempt; empty if none failed.
        first_event_overdue: Whether this was done because the first event was
            overdue. The target may still serve other requests.
        trial: The trait that the current attempt is the trial of, or None.
        has_event: Whether the current attempt has had an event.
        writing_since: Time of the current attempt's first event.
        event_reads: Reads of the current attempt's events.
        is_answer: Whether the current attempt counts as answered: it is
            complete, or goes on for long enough.
        unanswered_out_of_subset: Whether the current attempt is at a target
            out of this process's subset and nothing has come back.
        failed_answer: An upstream's failure that the caller gets if no other
            upstream answers.
        first_byte_s: Time from its arrival to the first byte that went to the
            caller, in seconds.
        last_event_at: Time at which the newest event went to the caller.
        longest_pause_s: Longest pause between two events, in seconds.
        late: Whether it was admitted although its answer will be late.
        urgency: Urgency that is sent to upstreams, 0 is the most urgent; None
            to send none.
        sent_at: Time at which the current attempt was sent.
        predicted_first_event_s: Predicted time from then to the attempt's
            first event, in seconds.
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
    cursor: EventCursor = field(default_factory=EventCursor)
    progress: Progress = Progress.NOTHING
    tried: list[InstanceId] = field(default_factory=list)
    suspected_domains: set[FabricDomainId | None] = field(default_factory=set)
    target_state: TargetState | None = None
    attempt_timeout: asyncio.Timeout | None = None
    rerouted: bool = False
    reroute_cause: str = ""
    stopped_by: str = ""
    first_event_overdue: bool = False
    trial: TraitId | None = None
    has_event: bool = False
    writing_since: float = 0.0
    event_reads: int = 0
    is_answer: bool = False
    unanswered_out_of_subset: bool = False
    failed_answer: FailedAnswer | None = None
    first_byte_s: float | None = None
    last_event_at: float = 0.0
    longest_pause_s: float = 0.0
    late: bool = False
    urgency: int | None = None
    sent_at: float = 0.0
    predicted_first_event_s: float = 0.0

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
