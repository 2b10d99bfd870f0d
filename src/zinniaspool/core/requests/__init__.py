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
    "NORMAL_URGENCY",
    "Admission",
    "AdmissionLimits",
    "AttemptFailure",
    "AttemptOutcome",
    "Attempts",
    "Brownout",
    "BrownoutLimits",
    "CustomerQueueState",
    "CustomerShare",
    "EventCursor",
    "LocalShares",
    "PeerCounts",
    "Progress",
    "RetryBudget",
    "RetryTerms",
    "RoutingLimits",
    "StreamFault",
    "Ticket",
    "TicketState",
    "Upstream",
    "UpstreamPool",
    "UpstreamReport",
    "UpstreamState",
    "compute_local_shares",
    "divide_capacity",
    "hash_prefix",
    "parse_timeout",
    "parse_urgency",
]
