"""What a control process knows of all fabric domains."""

import asyncio
import time

from zinniaspool.core.decoding import DECODE_ERRORS
from zinniaspool.core.deployment import Configuration
from zinniaspool.core.groups import EvidenceTable, OtherDomainsView
from zinniaspool.core.groups.beats import (
    BEAT_PREFIX,
    PLAN_PREFIX,
    DomainHeartbeat,
    decode_heartbeat,
    decode_plan,
)
from zinniaspool.core.ids import FabricDomainId, ModelName
from zinniaspool.core.membership import Notice
from zinniaspool.core.plans import DomainPlan

__all__ = ["FleetTable"]

_PEAK_LEAD_S = 1800.0
"""How long before an announced peak no VM is reassigned for convenience, in
seconds."""


class FleetTable:
    """Plans and evidence of all domains, and the announced peaks of demand.

    Args:
        stale_after_s: Age from which a report counts as absent, in seconds.
    """

    def __init__(self, stale_after_s: float) -> None:
        self._evidence = EvidenceTable(stale_after_s)
        self._configuration: Configuration | None = None

    @property
    def plans(self) -> dict[FabricDomainId, DomainPlan]:
        """The newest known plan of each domain."""
        return self._evidence.plans

    def configure(self, configuration: Configuration) -> None:
        """Apply a newer configuration."""
        self._configuration = configuration

    def update_plan(self, plan: DomainPlan) -> None:
        """Store a plan unless a newer plan of its domain is known."""
        self._evidence.apply_plan(plan)

    def on_notice(self, notice: Notice) -> DomainHeartbeat | None:
        """Apply a notice with a plan or a heartbeat; return the heartbeat.

        A notice that cannot be decoded is ignored.
        """
        try:
            if notice.key.startswith(PLAN_PREFIX):
                self.update_plan(decode_plan(notice.payload))
            if not notice.key.startswith(BEAT_PREFIX):
                return None
            heartbeat = decode_heartbeat(notice.payload)
        except DECODE_ERRORS:
            return None
        now = asyncio.get_running_loop().time()
        self._evidence.apply_heartbeat(heartbeat, notice.age_s, now)
        return heartbeat

    def make_knowledge(self, domain: FabricDomainId) -> OtherDomainsView:
        """Return what the holder of a domain needs to know of the others."""
        now = asyncio.get_running_loop().time()
        plans = {name: plan for name, plan in self.plans.items() if name != domain}
        ready = frozenset(
            serving.group.id for serving in self._evidence.find_serving(now)
        )
        return OtherDomainsView(plans, ready, self._find_peaks())

    def _find_peaks(self) -> frozenset[ModelName]:
        if self._configuration is None:
            return frozenset()
        now = time.time()
        return frozenset(
            peak.model
            for peak in self._configuration.rules.peaks
            if peak.starts_at - _PEAK_LEAD_S <= now < peak.ends_at
        )
