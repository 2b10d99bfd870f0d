"""What a control process knows of all domains."""

import asyncio
import time

import msgspec

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

__all__ = ["FleetBook"]

_PEAK_LEAD_S = 1800.0
"""How long before an announced peak nothing is moved for convenience."""


class FleetBook:
    """Plans and evidence of all domains, and the announced peaks.

    Args:
        stale_after_s: Age from which a report counts as absent.
    """

    def __init__(self, stale_after_s: float) -> None:
        self._evidence = EvidenceTable(stale_after_s)
        self._configuration: Configuration | None = None

    @property
    def plans(self) -> dict[FabricDomainId, DomainPlan]:
        """The newest plan known of each domain."""
        return self._evidence.plans

    def configure(self, configuration: Configuration) -> None:
        """Take a newer configuration."""
        self._configuration = configuration

    def take_plan(self, plan: DomainPlan) -> None:
        """Take a plan, unless a newer one is known."""
        self._evidence.apply_plan(plan)

    def take_notice(self, notice: Notice) -> DomainHeartbeat | None:
        """Take a plan or a beat, and return the beat."""
        try:
            if notice.key.startswith(PLAN_PREFIX):
                self.take_plan(decode_plan(notice.payload))
            if not notice.key.startswith(BEAT_PREFIX):
                return None
            beat = decode_heartbeat(notice.payload)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return None
        now = asyncio.get_running_loop().time()
        self._evidence.apply_heartbeat(beat, notice.age_s, now)
        return beat

    def knowledge(self, domain: FabricDomainId) -> OtherDomainsView:
        """Return what the holder of a domain has to know of the others."""
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
