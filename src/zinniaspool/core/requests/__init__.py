"""Decides about requests in an entry process: admission, routing, retries."""

from zinniaspool.core.dispatch.attempts import (
    AttemptFailure,
    Attempts,
    Progress,
    RetryTerms,
)
from zinniaspool.core.dispatch.shares import (
    CustomerShare,
    LocalShares,
    PeerCounts,
    compute_local_shares,
    divide_capacity,
)
from zinniaspool.core.dispatch.streams import EventCursor, StreamFault
from zinniaspool.core.dispatch.tickets import Ticket, TicketState
from zinniaspool.core.requests.admission import (
    Admission,
    AdmissionLimits,
    CustomerQueueState,
)
from zinniaspool.core.requests.brownout import Brownout, BrownoutLimits
from zinniaspool.core.requests.budget import RetryBudget
from zinniaspool.core.requests.headers import (
    NORMAL_URGENCY,
    parse_timeout,
    parse_urgency,
)
from zinniaspool.core.requests.routing import (
    AttemptOutcome,
    RoutingLimits,
    UpstreamPool,
    hash_prefix,
)
from zinniaspool.core.requests.upstreams import (
    Upstream,
    UpstreamReport,
    UpstreamState,
)

__all__ = [
    "Admission",
    "AdmissionLimits",
    "AttemptOutcome",
    "AttemptFailure",
    "Attempts",
    "Brownout",
    "BrownoutLimits",
    "RetryTerms",
    "CustomerShare",
    "EventCursor",
    "UpstreamReport",
    "CustomerQueueState",
    "LocalShares",
    "NORMAL_URGENCY",
    "PeerCounts",
    "Progress",
    "RetryBudget",
    "RoutingLimits",
    "StreamFault",
    "Ticket",
    "TicketState",
    "Upstream",
    "UpstreamPool",
    "UpstreamState",
    "hash_prefix",
    "parse_timeout",
    "parse_urgency",
    "divide_capacity",
    "compute_local_shares",
]
