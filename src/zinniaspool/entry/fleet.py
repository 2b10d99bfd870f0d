"""What an entry process knows of the fleet's upstreams."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

import msgspec

from zinniaspool.core.deployment import Configuration, ModelRule, Vm
from zinniaspool.core.groups import EvidenceTable
from zinniaspool.core.groups.beats import (
    BEAT_PREFIX,
    PLAN_PREFIX,
    decode_heartbeat,
    decode_plan,
)
from zinniaspool.core.ids import (
    CustomerId,
    ModelName,
    UpstreamId,
    VmId,
)
from zinniaspool.core.membership import Notice
from zinniaspool.core.requests import Upstream, UpstreamReport

__all__ = ["FleetView", "ServingUpstream"]


@dataclass(frozen=True, slots=True)
class ServingUpstream:
    """A group that may be sent requests now.

    Attributes:
        model: What it runs.
        customers: Whose requests it may run.
        fresh: The group as an upstream, and its newest report.
    """

    model: ModelName
    customers: tuple[CustomerId, ...]
    fresh: UpstreamReport


class FleetView:
    """Configuration, plans and engine reports, as known here.

    Args:
        stale_after_s: Age from which an engine report is void.
    """

    def __init__(self, stale_after_s: float) -> None:
        self.configuration: Configuration | None = None
        self._stale_after_s = stale_after_s
        self.evidence = EvidenceTable(stale_after_s)
        self._vms: Mapping[VmId, Vm] = {}
        self._models: Mapping[ModelName, ModelRule] = {}

    def configure(self, configuration: Configuration) -> None:
        """Take a newer configuration."""
        self.configuration = configuration
        self._vms = {vm.id: vm for vm in configuration.inventory.vms}
        self._models = {model.name: model for model in configuration.rules.models}

    def take_notice(self, notice: Notice, now: float) -> None:
        """Take a domain's plan, or the evidence that its groups are whole."""
        try:
            if notice.key.startswith(PLAN_PREFIX):
                self.evidence.apply_plan(decode_plan(notice.payload))
            elif notice.key.startswith(BEAT_PREFIX):
                beat = decode_heartbeat(notice.payload)
                self.evidence.apply_heartbeat(beat, notice.age_s, now)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            # Of a version not known here: its groups count as absent.
            return

    def list_serving(self, now: float) -> Iterator[ServingUpstream]:
        """Yield the groups whose every VM freshly reports this very group."""
        for serving in self.evidence.find_serving(now):
            group = serving.group
            rule = self._models.get(group.model)
            first = self._vms.get(group.vms[0])
            if rule is None or first is None:
                continue
            upstream = Upstream(
                UpstreamId(group.id),
                first.address,
                first.failure_domain,
                rule.slots_per_group,
                group.id,
                group.epoch,
                group.version,
            )
            fresh = UpstreamReport(
                upstream,
                serving.made_at + self._stale_after_s,
                serving.running + serving.waiting,
                serving.made_at,
            )
            yield ServingUpstream(group.model, group.customers, fresh)
