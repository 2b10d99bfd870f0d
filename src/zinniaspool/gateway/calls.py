"""One caller's request on its way, and what all its attempts share."""

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
from zinniaspool.core.ids import ContentId, FabricDomainId, ServiceName
from zinniaspool.http import ClientResponse, Exchange

__all__ = ["GatewayCall", "HeldAnswer"]


@dataclass(frozen=True, slots=True)
class HeldAnswer:
    """An upstream's failure that is passed on if nothing better comes."""

    response: ClientResponse
    body: bytes


@dataclass(eq=False, slots=True)
class GatewayCall:
    """One request.

    Attributes:
        exchange: The caller's side.
        terms: What the caller says.
        route: What binds it.
        service: Which of the route's services got it.
        customer: Whose it is, if anybody's.
        received: When it was here whole, in seconds.
        deadline: When it must have its answer.
        attempts: Judges whether it may be sent again.
        content: What it asks; the same when it comes again with another id.
        cursor: Where its stream stands.
        progress: What of an answer the caller has.
        tried: Instances that had it.
        doubted: Fabric domains where one of those stood still.
        state: Where it is now.
        patience: Ends the attempt under way.
        moved: Whether that was ended so that its target is left.
        overdue: Whether it was so because its first event did not come, while
            the target may have gone on with others.
        seen_event: Whether the attempt under way has had an event.
        unheard_outside: Whether it is at a target that this process does not
            share, and nothing has come back.
        held: An upstream's failure to pass on if nothing better comes.
        first_s: Seconds until the first byte went to the caller.
        last_event_at: When the newest event went to the caller, in seconds.
        longest_pause_s: Longest pause between two events.
        late: Whether it was taken though it will be late.
        urgency: What upstreams are told of it, 0 first; None for nothing.
        sent_at: When the attempt under way left, in seconds.
        predicted_s: How long its first event was predicted to take then.
    """

    exchange: Exchange
    terms: RequestTerms
    route: RouteSpec
    service: ServiceName
    customer: CustomerSpec | None
    received: float
    deadline: float
    attempts: Attempts
    content: ContentId
    cursor: EventCursor = field(default_factory=EventCursor)
    progress: Progress = Progress.NOTHING
    tried: list[InstanceId] = field(default_factory=list)
    doubted: set[FabricDomainId | None] = field(default_factory=set)
    state: TargetState | None = None
    patience: asyncio.Timeout | None = None
    moved: bool = False
    overdue: bool = False
    seen_event: bool = False
    unheard_outside: bool = False
    held: HeldAnswer | None = None
    first_s: float | None = None
    last_event_at: float = 0.0
    longest_pause_s: float = 0.0
    late: bool = False
    urgency: int | None = None
    sent_at: float = 0.0
    predicted_s: float = 0.0
