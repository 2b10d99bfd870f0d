"""What an entry process knows of the fleet's upstreams."""

from collections.abc import Mapping

import msgspec

from zinniaspool.core.deployment import (
    Configuration,
    ModelRule,
    ServiceRule,
    Share,
    Vm,
)
from zinniaspool.core.groups import EvidenceBook
from zinniaspool.core.groups.beats import (
    BEAT_PREFIX,
    PLAN_PREFIX,
    decode_beat,
    decode_plan,
)
from zinniaspool.core.ids import (
    CustomerId,
    ServiceName,
    UpstreamId,
    VmId,
)
from zinniaspool.core.membership import Notice
from zinniaspool.core.requests import Upstream

__all__ = ["FleetView"]


class FleetView:
    """Configuration, plans and engine reports, as known here.

    Args:
        stale_after_s: Age from which an engine report is void.
    """

    def __init__(self, stale_after_s: float) -> None:
        self.configuration: Configuration | None = None
        self.evidence = EvidenceBook(stale_after_s)
        self._vms: Mapping[VmId, Vm] = {}

    def configure(self, configuration: Configuration) -> None:
        """Take a newer configuration."""
        self.configuration = configuration
        self._vms = {vm.id: vm for vm in configuration.inventory.vms}

    def take_notice(self, notice: Notice, now: float) -> None:
        """Take a domain's plan, or the evidence that its groups are whole."""
        try:
            if notice.key.startswith(PLAN_PREFIX):
                self.evidence.take_plan(decode_plan(notice.payload))
            elif notice.key.startswith(BEAT_PREFIX):
                beat = decode_beat(notice.payload)
                self.evidence.take_beat(beat, notice.age_s, now)
        except msgspec.MsgspecError:
            # Of a version not known here: the group counts as absent.
            return

    def find_model(self, name: str, customer: CustomerId) -> ModelRule | None:
        """Return a model that the customer shares."""
        if self.configuration is None:
            return None
        for model in self.configuration.rules.models:
            if model.name == name and _shares(model.shares, customer):
                return model
        return None

    def find_service(self, name: str, customer: CustomerId) -> ServiceRule | None:
        """Return a plain service that the customer shares."""
        if self.configuration is None:
            return None
        for service in self.configuration.rules.services:
            if service.name == ServiceName(name) and _shares(service.shares, customer):
                return service
        return None

    def list_groups(
        self, model: ModelRule, customer: CustomerId, now: float
    ) -> list[Upstream]:
        """Return the serving groups that may run a customer's requests."""
        found = []
        for serving in self.evidence.find_serving(now):
            group = serving.group
            if group.model != model.name or customer not in group.customers:
                continue
            first = self._vms.get(group.vms[0])
            if first is None:
                continue
            found.append(
                Upstream(
                    UpstreamId(group.id),
                    first.address,
                    first.failure_domain,
                    model.slots_per_group,
                    group.id,
                    group.epoch,
                )
            )
        return found

    def list_service(self, service: ServiceRule) -> list[Upstream]:
        """Return a plain service's upstreams."""
        return [
            Upstream(
                UpstreamId(upstream.address),
                upstream.address,
                upstream.failure_domain,
                service.slots_per_upstream,
            )
            for upstream in service.upstreams
        ]


def _shares(shares: tuple[Share, ...], customer: CustomerId) -> bool:
    return any(share.customer == customer for share in shares)
