"""Rates and times of gossip."""

from dataclasses import dataclass

__all__ = ["GossipLimits"]


@dataclass(frozen=True, slots=True)
class GossipLimits:
    """Rates of gossip; each is of one process, whatever the fleet's size.

    Attributes:
        round_s: Time between two comparisons with a random peer.
        push_s: Least time between two pushes.
        slow_push_s: Least time between two pushes of ``Topic.LIMITS``, which
            every entry process publishes all the time: each message costs
            its sender and receiver more than its bytes.
        fanout: Peers that get a push.
        compared: Versions in a comparison beside the configuration's.
        helpers: Peers that are asked about a member that does not answer.
        suspicion_s: Time that a suspect has to contradict.
        silent_kept_s: Time for which a silent member is remembered.
        leaving_kept_s: The same for one that had said that it leaves.
        stall_s: Time without a step from which this process takes itself
            to have been frozen.
        reseed_s: Time between two tries at a seed that is no live member's.
        bytes_per_s: Most bytes of notices sent a second.
    """

    round_s: float = 1.0
    push_s: float = 0.1
    slow_push_s: float = 0.5
    fanout: int = 3
    compared: int = 6
    helpers: int = 2
    suspicion_s: float = 3.0
    silent_kept_s: float = 3600.0
    leaving_kept_s: float = 60.0
    stall_s: float = 2.0
    reseed_s: float = 10.0
    bytes_per_s: int = 2500
