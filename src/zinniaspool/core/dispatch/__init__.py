"""Where requests go: targets, their load, silence, and repeats."""

from zinniaspool.core.dispatch.admission import (
    Admission,
    AdmissionLimits,
    Ask,
    Refusal,
)
from zinniaspool.core.dispatch.attempts import (
    AttemptFailure,
    Attempts,
    CallTerms,
    Progress,
)
from zinniaspool.core.dispatch.contents import identify_content
from zinniaspool.core.dispatch.loads import LoadChanges, PeerLoads
from zinniaspool.core.dispatch.pace import EnginePace, FirstEventForecast
from zinniaspool.core.dispatch.patience import PatienceWatch
from zinniaspool.core.dispatch.pools import TargetPool
from zinniaspool.core.dispatch.quarantine import (
    HOLD_S,
    Quarantine,
    Verdict,
)
from zinniaspool.core.dispatch.rates import AnnouncedRate
from zinniaspool.core.dispatch.repeats import RepeatLimits, RepeatWindow
from zinniaspool.core.dispatch.shares import Peers
from zinniaspool.core.dispatch.silence import (
    SilenceLimits,
    doubt,
    find_next_silence,
    find_silent,
    rest_silent,
)
from zinniaspool.core.dispatch.streams import EventCursor, StreamFault
from zinniaspool.core.dispatch.subsets import Subset, find_subset
from zinniaspool.core.dispatch.targets import Target, TargetState
from zinniaspool.core.dispatch.terms import CallerTerms, InstanceLoad
from zinniaspool.core.dispatch.tickets import Ticket, TicketState

__all__ = [
    "Subset",
    "find_subset",
    "AttemptFailure",
    "Attempts",
    "CallTerms",
    "CallerTerms",
    "InstanceLoad",
    "AnnouncedRate",
    "HOLD_S",
    "Quarantine",
    "Verdict",
    "Progress",
    "Peers",
    "EventCursor",
    "StreamFault",
    "Ticket",
    "TicketState",
    "Admission",
    "AdmissionLimits",
    "Ask",
    "Refusal",
    "EnginePace",
    "FirstEventForecast",
    "LoadChanges",
    "PatienceWatch",
    "PeerLoads",
    "RepeatLimits",
    "RepeatWindow",
    "SilenceLimits",
    "Target",
    "TargetPool",
    "TargetState",
    "find_next_silence",
    "find_silent",
    "identify_content",
    "doubt",
    "rest_silent",
]
