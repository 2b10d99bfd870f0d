"""Finds out which upstreams are cold, and limits the requests to them.

An upstream is cold according to its record; from the start of its incarnation,
if this process learns of it during traffic; and after its failure domain is
returned from an evacuation. All times are measured from the arrival of the
report in this process, so that no VM's clock matters.
"""

import asyncio
from dataclasses import dataclass

import structlog

from zinniaspool.core.dispatch import (
    ColdBound,
    ColdShare,
    TargetState,
    find_cold_share,
)
from zinniaspool.core.dispatch.cold import WINDOW_S
from zinniaspool.core.fleet import Instance, InstanceIncarnation, ServiceSpec
from zinniaspool.core.ids import FailureDomainId, NodeId, ServiceName
from zinniaspool.fleet import FleetView, RecordArrival
from zinniaspool.gateway.targets import TargetIndex

__all__ = ["ColdTracker"]

_log = structlog.get_logger(__name__)


@dataclass(slots=True)
class _ColdSpell:
    """How long an upstream is cold, as far as this process knows.

    Attributes:
        service: The upstream's service.
        failure_domain: Its failure domain.
        reason: How this process first learned of it, for a person.
        by_record: Time until which it is cold by its record, in seconds.
        by_start: The same by its start, or by the end of an evacuation.
    """

    service: ServiceName
    failure_domain: FailureDomainId
    reason: str
    by_record: float = float("-inf")
    by_start: float = float("-inf")

    @property
    def until(self) -> float:
        """Time at which the upstream is warm, in seconds."""
        return max(self.by_record, self.by_start)


class ColdTracker:
    """Keeps the cold upstreams and this process's share of each.

    Args:
        node: This process's VM.
        fleet_view: The known state of the fleet.
        index: The targets.
        bound: How many requests a cold upstream may get.

    Attributes:
        request_count: Requests that this process sent to cold upstreams.
    """

    def __init__(
        self,
        node: NodeId,
        fleet_view: FleetView,
        index: TargetIndex,
        bound: ColdBound,
    ) -> None:
        self.request_count = 0
        self._node = node
        self._fleet_view = fleet_view
        self._index = index
        self._bound = bound
        self._has_traffic = False
        self._listed_at: float | None = None
        self._spells: dict[InstanceIncarnation, _ColdSpell] = {}
        fleet_view.on_record.append(self._handle_record)
        fleet_view.on_evacuation.append(self._handle_evacuation)
        fleet_view.on_catalog.append(self._update_shares)
        fleet_view.on_nodes.append(self._update_shares)

    def record_request(self, state: TargetState) -> None:
        """Count a request that this process sends to a target."""
        # Before the first traffic, coldness has no meaning: upstreams that
        # start before it are warm by then.
        self._has_traffic = True
        if state.backpressure is None or state.backpressure.cold is None:
            return
        self.request_count += 1
        state.backpressure.cold.record_request(self._now())

    def expire(self, now: float) -> None:
        """End the spells of upstreams that are warm by now.

        Args:
            now: Seconds.
        """
        for incarnation, spell in list(self._spells.items()):
            if spell.until > now:
                continue
            del self._spells[incarnation]
            known = self._index.backpressure.get(incarnation)
            if known is not None and known.cold is not None:
                known.cold = None
                _log.info("upstream-warm", instance=incarnation.instance)

    def _handle_record(self, arrival: RecordArrival) -> None:
        record, now = arrival.instance, self._now()
        spec = self._find_service(record.service)
        incarnation = _identify(record)
        if arrival.is_written and (record.cold_left_s or incarnation in self._spells):
            spell = self._open_spell(record, "record")
            spell.by_record = now + record.cold_left_s
            self._apply(incarnation, spell)
        if arrival.is_new and self._has_traffic and spec is not None:
            spell = self._open_spell(record, "start")
            spell.by_start = now + spec.cold_start_s
            self._apply(incarnation, spell)

    def _handle_evacuation(
        self, _: frozenset[FailureDomainId], ended: frozenset[FailureDomainId]
    ) -> None:
        if not self._has_traffic:
            return
        for record in self._fleet_view.instances.values():
            spec = self._find_service(record.service)
            if record.failure_domain in ended and spec is not None:
                spell = self._open_spell(record, "evacuation-ended")
                spell.by_start = self._now() + spec.cold_start_s
                self._apply(_identify(record), spell)

    def _open_spell(self, record: Instance, reason: str) -> _ColdSpell:
        """Return an upstream's spell, which begins now if there is none."""
        incarnation, now = _identify(record), self._now()
        spell = self._spells.get(incarnation)
        if spell is None or spell.until <= now:
            spell = _ColdSpell(record.service, record.failure_domain, reason)
            self._spells[incarnation] = spell
        return spell

    def _update_shares(self) -> None:
        """Recompute all shares by the entry VMs and the configuration."""
        if self._node not in self._fleet_view.nodes:
            self._listed_at = None
        elif self._listed_at is None:
            self._listed_at = self._now()
        for incarnation, spell in self._spells.items():
            self._apply(incarnation, spell)

    def _apply(self, incarnation: InstanceIncarnation, spell: _ColdSpell) -> None:
        """Limit the requests to an upstream for as long as it is cold."""
        spec, now = self._find_service(spell.service), self._now()
        known = self._index.backpressure.get(incarnation)
        if spec is None or not spec.cold_per_s or spell.until <= now:
            # The next check ends the spell, even if it is over early.
            if known is not None and known.cold is not None:
                known.cold.until = now
            return
        known = self._index.remember_backpressure(incarnation)
        was_cold = known.cold is not None and known.cold.until > now
        if known.cold is None:
            known.cold = ColdShare(spell.until)
        known.cold.until = spell.until
        known.cold.requests = find_cold_share(
            self._node,
            {
                node: record.failure_domain
                for node, record in self._fleet_view.nodes.items()
            },
            incarnation,
            spell.failure_domain,
            self._bound.count_shared(spec.cold_per_s),
        )
        if self._listed_at is not None:
            # By then the VMs that registered at the same time know of each
            # other, and requests of an earlier start of this process are out
            # of the window.
            known.cold.opens_at = self._listed_at + WINDOW_S
        if not was_cold:
            _log.info(
                "upstream-cold",
                instance=incarnation.instance,
                reason=spell.reason,
                left_ms=int((spell.until - now) * 1000),
                share=known.cold.requests,
            )

    def _find_service(self, service: ServiceName) -> ServiceSpec | None:
        catalog = self._fleet_view.catalog
        return None if catalog is None else catalog.services.get(service)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def _identify(record: Instance) -> InstanceIncarnation:
    return InstanceIncarnation(record.id, record.started_at_ms)
