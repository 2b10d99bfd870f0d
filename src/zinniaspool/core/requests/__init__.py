"""Requests: where they go, how often, and what their callers are told."""

from zinniaspool.core.requests.attempts import (
    AttemptFailure,
    Attempts,
    CallTerms,
    Progress,
)
from zinniaspool.core.requests.budget import RetryBudget
from zinniaspool.core.requests.headers import (
    NORMAL_URGENCY,
    parse_timeout,
    parse_urgency,
)
from zinniaspool.core.requests.routing import Router, Upstream
from zinniaspool.core.requests.streams import EventCursor, StreamFault

__all__ = [
    "NORMAL_URGENCY",
    "AttemptFailure",
    "Attempts",
    "CallTerms",
    "EventCursor",
    "Progress",
    "RetryBudget",
    "Router",
    "StreamFault",
    "Upstream",
    "parse_timeout",
    "parse_urgency",
]
