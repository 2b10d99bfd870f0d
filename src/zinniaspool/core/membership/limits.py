"""Rates, intervals and sizes of the gossip protocol."""

from dataclasses import dataclass

__all__ = ["GossipLimits"]


@dataclass(frozen=True, slots=True)
class GossipLimits:
    """Limits of the gossip of one process; they don't depend on fleet size.

    Attributes:
        round_interval_s: Mean time between two rounds; each compares
            versions with a random peer.
        min_push_interval_s: Minimum time between two pushes.
        min_limits_push_interval_s: Minimum time between two pushes that
            include ``Topic.LIMITS``. Every entry process publishes on it all
            the time, and each message costs its sender and receiver more
            than its bytes.
        fanout: Number of peers that receive a push.
        compared_versions: Number of versions in a comparison, in addition to
            those of the configuration.
        probe_helpers: Number of peers that probe a member which did not
            respond to this process.
        suspicion_s: Time that a suspected member has to refute the suspicion.
        unresponsive_kept_s: Time for which the record of an unresponsive
            member is kept.
        leaving_kept_s: The same time for a member that had announced that it
            leaves.
        freeze_threshold_s: Time without activity after which this process
            considers itself to have been frozen.
        reseed_interval_s: Mean time between two attempts to contact a seed
            at which no responsive member listens.
        bytes_per_s: Maximum rate of sent notices, in bytes a second.
    """

    round_interval_s: float = 1.0
    min_push_interval_s: float = 0.1
    min_limits_push_interval_s: float = 0.5
    fanout: int = 3
    compared_versions: int = 6
    probe_helpers: int = 2
    suspicion_s: float = 3.0
    unresponsive_kept_s: float = 3600.0
    leaving_kept_s: float = 60.0
    freeze_threshold_s: float = 2.0
    reseed_interval_s: float = 10.0
    bytes_per_s: int = 2500
