"""What a target costs a request, and whether a request may use a slot there.

The cost of a target is mainly its load in relation to its slots.
"""

from zlib import crc32

from zinniaspool.core.dispatch.failures import (
    compute_ramp_cost,
    estimate_error_part,
)
from zinniaspool.core.dispatch.shares import PeerCounts, apportion
from zinniaspool.core.dispatch.targets import TargetState

__all__ = [
    "LATE_EVENT_COST",
    "PASS_TOLERANCE_S",
    "SUSPECTED_DOMAIN_COST",
    "compute_cost",
    "has_slot",
    "weigh_own_load",
]

ERROR_COST = 3.0
"""Cost of a target that always fails, in full targets."""

REMOTE_DOMAIN_COST = 0.25
"""Cost of a target in another failure domain, in full targets. Operators pay
for the traffic between domains, and a target that is a quarter fuller answers
about as soon as long as it has free slots. A full target is never preferred
because it is near."""

OUT_OF_SUBSET_COST = 0.5
"""Cost of a target out of this process's subset, in full targets. Other
processes share that target, count on its slots and don't report its load to
this one. This process uses it once the targets of its subset are fuller by
this much."""

MIN_SPARE_SLOTS = 2.0  # requests
SPARE_PART = 0.15
"""Free slots from which a process uses a slot beyond its own part: in
requests, and as a part of the target's slots. About as many requests begin
between two load reports of the peers."""

OUT_OF_SUBSET_SPARE_PART = 0.45
"""Spare part for targets out of the subset, where a process only knows a
typical load, and knows it late. At 2.2 times the usual load of thirty
processes, fewer requests are on time with a smaller part."""

SHORTAGE_SPARE_PART = 0.25
"""Spare part for targets out of the subset while this process's targets have
fewer slots than its share of all slots. After a fabric domain has failed,
the room that its callers need is elsewhere."""

SUSPECTED_DOMAIN_COST = 1.0
"""Cost of a target, in full targets, in whose fabric domain another target
stalled for the same request. If the whole domain lost its power, its other
heads are stalled too, and most requests can be rerouted only once."""

PASS_TOLERANCE_S = 0.03
"""Time after the predicted end of a pass in which an event may still come, in
seconds. Prompts that this process doesn't know of make passes of healthy heads
longer than predicted. With 5 ms, most long passes of a healthy head made
processes avoid it. Heads that fail at the same
moment had their last events within a pass of each other, so that all of them
are past this time when the first one is found stalled."""

LATE_EVENT_COST = 1.0
"""Cost of a target, in full targets, whose streams should have had an event by
now. VMs often fail several at a time, and a head is known to be stalled only
after some passes. Without this cost, streams would be rerouted from one
stalled head to the next."""

FULL_TARGET_READING_S = 0.2
"""Time to read unread prompts that costs as much as a full target, in seconds.
A first event takes as long if it doesn't wait for other prompts."""

FRESH_REPORT_S = 0.1
OLD_REPORT_S = 0.2
"""Time between load reports up to which they alone count, and from which they
count as old, in seconds. Processes report every 0.05 s unless they lack
processor time."""

OLD_REPORTS_OWN_WEIGHT = 0.5
"""Weight of a process's own load while its peers' reports are old. With
reports that were 0.25 to 0.75 s old, the loads of ten targets had a standard
deviation of 9 requests without it, of 2 with it, and of 4 if each request took
the better of two targets drawn at random."""


def compute_cost(
    state: TargetState,
    load: float,
    read_s: float,
    prompt_tokens: int,
    now: float,
    *,
    is_remote: bool,
) -> float:
    """Return the cost of one more request at a target, in full targets.

    Args:
        state: The target.
        load: Requests at the target.
        read_s: Time to read one prompt token, in seconds.
        prompt_tokens: Length of the request's prompt.
        now: Seconds.
        is_remote: Whether the target is in another failure domain.
    """
    cost = (load + 1) / state.effective_slots + compute_ramp_cost(state, now)
    unread = state.known_unread_tokens + prompt_tokens
    cost += read_s * unread / FULL_TARGET_READING_S * state.pace
    cost += ERROR_COST * estimate_error_part(state, now)
    if is_remote:
        cost += REMOTE_DOMAIN_COST
    if not state.in_subset:
        cost += OUT_OF_SUBSET_COST
    return cost


def weigh_own_load(report_interval_s: float) -> float:
    """Return the weight of a process's own load in the cost of targets.

    Args:
        report_interval_s: Time between two load reports of the peers, in
            seconds.
    """
    exceeded_s = report_interval_s - FRESH_REPORT_S
    part = exceeded_s / (OLD_REPORT_S - FRESH_REPORT_S)
    return OLD_REPORTS_OWN_WEIGHT * max(0.0, min(1.0, part))


def has_slot(
    state: TargetState, now: float, peer_counts: PeerCounts, *, has_shortage: bool
) -> bool:
    """Return whether a request can begin at a target without a wait.

    Args:
        state: The target.
        now: Seconds.
        peer_counts: The processes of this process's subset.
        has_shortage: Whether this process's targets have fewer slots than its
            share of all slots.
    """
    slots = state.effective_slots
    position = crc32(state.target.instance.encode())
    if state.local_requests < apportion(int(state.subset_slots), peer_counts, position):
        return True
    spare_part = SPARE_PART
    if not state.in_subset:
        spare_part = SHORTAGE_SPARE_PART if has_shortage else OUT_OF_SUBSET_SPARE_PART
    return slots - state.estimate_load(now) >= max(MIN_SPARE_SLOTS, spare_part * slots)
