"""Decides where requests go: targets, their load, stalls and retries."""

from zinniaspool.core.dispatch.admission import (
    AdmissionController,
    AdmissionLimits,
    AdmissionRequest,
    Refusal,
)
from zinniaspool.core.dispatch.attempts import (
    NOT_RUN_FAILURES,
    AttemptFailure,
    Attempts,
    Progress,
    RetryStop,
    RetryTerms,
)
from zinniaspool.core.dispatch.backpressure import Backpressure
from zinniaspool.core.dispatch.choice import weigh_own_load
from zinniaspool.core.dispatch.cold import ColdBound, ColdShare, find_cold_share
from zinniaspool.core.dispatch.contention import CapacityDivision, Claim, Standing
from zinniaspool.core.dispatch.contents import identify_content
from zinniaspool.core.dispatch.demand import PeerDigests, identify_model
from zinniaspool.core.dispatch.durations import (
    SLOWDOWN_PART,
    AnswerTiming,
    DurationForecast,
    StreamTiming,
    UsualStream,
)
from zinniaspool.core.dispatch.endings import (
    EventPace,
    MoveCosts,
    RunningStream,
    is_sooner,
    predict_end,
)
from zinniaspool.core.dispatch.loads import LoadChangeTracker, PeerLoads
from zinniaspool.core.dispatch.pace import EngineTiming, FirstEventForecast
from zinniaspool.core.dispatch.patience import CallerTimeoutEstimator
from zinniaspool.core.dispatch.pools import TargetPool
from zinniaspool.core.dispatch.quarantine import (
    CrashFindings,
    Quarantine,
    TraitStatus,
    Verdict,
)
from zinniaspool.core.dispatch.rates import AnnouncedRate
from zinniaspool.core.dispatch.relocation import (
    RunningAttempt,
    would_be_on_time_elsewhere,
)
from zinniaspool.core.dispatch.repeats import (
    RetryBucket,
    RetryLimits,
    RetryPurpose,
    SlackSharers,
)
from zinniaspool.core.dispatch.shares import PeerCounts
from zinniaspool.core.dispatch.silence import (
    StallLimits,
    back_off,
    clear_disproved_stall,
    compute_stall_timeout,
    find_stall_times,
    is_lost,
    suspect,
)
from zinniaspool.core.dispatch.spread import PaceSpread
from zinniaspool.core.dispatch.streams import EventCursor, StreamFault
from zinniaspool.core.dispatch.subsets import Subset, assign_domains, find_subset
from zinniaspool.core.dispatch.targets import Target, TargetState
from zinniaspool.core.dispatch.terms import InstanceLoad, InstanceNotice, RequestTerms
from zinniaspool.core.dispatch.tickets import Ticket, TicketState
from zinniaspool.core.dispatch.traits import (
    TraitKind,
    find_kind,
    find_terms,
    identify_traits,
)

__all__ = [
    "NOT_RUN_FAILURES",
    "SLOWDOWN_PART",
    "AdmissionController",
    "AdmissionLimits",
    "AdmissionRequest",
    "AnnouncedRate",
    "AnswerTiming",
    "AttemptFailure",
    "Attempts",
    "Backpressure",
    "CallerTimeoutEstimator",
    "CapacityDivision",
    "Claim",
    "ColdBound",
    "ColdShare",
    "CrashFindings",
    "DurationForecast",
    "EngineTiming",
    "EventCursor",
    "EventPace",
    "MoveCosts",
    "PaceSpread",
    "FirstEventForecast",
    "InstanceLoad",
    "InstanceNotice",
    "LoadChangeTracker",
    "PeerCounts",
    "PeerDigests",
    "PeerLoads",
    "Progress",
    "RetryStop",
    "Quarantine",
    "Refusal",
    "RequestTerms",
    "RetryBucket",
    "RetryLimits",
    "RetryPurpose",
    "RetryTerms",
    "RunningAttempt",
    "RunningStream",
    "StallLimits",
    "SlackSharers",
    "Standing",
    "StreamFault",
    "StreamTiming",
    "Subset",
    "Target",
    "TargetPool",
    "TargetState",
    "Ticket",
    "TicketState",
    "TraitKind",
    "TraitStatus",
    "UsualStream",
    "Verdict",
    "assign_domains",
    "back_off",
    "clear_disproved_stall",
    "compute_stall_timeout",
    "find_cold_share",
    "find_kind",
    "find_stall_times",
    "find_subset",
    "find_terms",
    "identify_content",
    "identify_model",
    "identify_traits",
    "is_lost",
    "is_sooner",
    "predict_end",
    "suspect",
    "weigh_own_load",
    "would_be_on_time_elsewhere",
]
