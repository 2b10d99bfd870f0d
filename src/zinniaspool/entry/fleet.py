"""The replica groups that serve, as known to an entry process."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from zinniaspool.core.decoding import DECODE_ERRORS
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

__all__ = ["ServingUpstream", "ServingUpstreamTable"]


@dataclass(frozen=True, slots=True)
class ServingUpstream:
    """A group that may be sent requests now.

    Attributes:
        model: Model that the group runs.
        customers: Customers whose requests the group may run.
        report: The group as an upstream, and its newest report.
    """

    model: ModelName
    customers: tuple[CustomerId, ...]
    report: UpstreamReport


class ServingUpstreamTable:
    """The groups that serve, by the configuration, plans and heartbeats.

    Args:
        stale_after_s: Age in seconds from which an engine report is ignored.

    Attributes:
        configuration: Configuration in effect, or None before the first one.
        evidence: Plans of the fabric domains and newest heartbeats.
    """

    def __init__(self, stale_after_s: float) -> None:
        self.configuration: Configuration | None = None
        self._stale_after_s = stale_after_s
        self.evidence = EvidenceTable(stale_after_s)
        self._vms: Mapping[VmId, Vm] = {}
        self._models: Mapping[ModelName, ModelRule] = {}

    def configure(self, configuration: Configuration) -> None:
        """Apply a newer configuration."""
        self.configuration = configuration
        self._vms = {vm.id: vm for vm in configuration.inventory.vms}
        self._models = {model.name: model for model in configuration.rules.models}

    def apply_notice(self, notice: Notice, now: float) -> None:
        """Apply a fabric domain's plan, or its heartbeat about its groups."""
        try:
            if notice.key.startswith(PLAN_PREFIX):
                self.evidence.apply_plan(decode_plan(notice.payload))
            elif notice.key.startswith(BEAT_PREFIX):
                heartbeat = decode_heartbeat(notice.payload)
                self.evidence.apply_heartbeat(heartbeat, notice.age_s, now)
        except DECODE_ERRORS:
            # The notice has an unknown version, so its groups count as absent.
            return

    def list_serving(self, now: float) -> Iterator[ServingUpstream]:
        """Yield the groups whose VMs have all recently reported this group."""
        for serving in self.evidence.find_serving(now):
            group = serving.group
            rule = self._models.get(group.model)
            head = self._vms.get(group.vms[0])
            if rule is None or head is None:
                continue
            upstream = Upstream(
                UpstreamId(group.id),
                head.address,
                head.failure_domain,
                rule.slots_per_group,
                group.id,
                group.epoch,
                group.version,
            )
            report = UpstreamReport(
                upstream,
                serving.made_at + self._stale_after_s,
                serving.running + serving.waiting,
                serving.made_at,
            )
            yield ServingUpstream(group.model, group.customers, report)
