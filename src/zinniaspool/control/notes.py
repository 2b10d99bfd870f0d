"""Records the decisions about one fabric domain for operators."""

from collections.abc import Iterable

from zinniaspool.core.groups import (
    ChangeKind,
    FleetIndex,
    Holder,
    IdleReason,
    PlanChange,
)
from zinniaspool.core.ids import FabricDomainId, GroupId, VmId
from zinniaspool.core.journal import DecisionKind
from zinniaspool.core.plans import DomainPlan, GroupPlan, Order
from zinniaspool.node import NodeRuntime

__all__ = ["DecisionRecorder"]

_DECISION_KINDS = {
    ChangeKind.FORMED: DecisionKind.GROUP_FORMED,
    ChangeKind.REPAIRED: DecisionKind.GROUP_REPAIRED,
    ChangeKind.DRAINING: DecisionKind.GROUP_DRAINING,
    ChangeKind.RELEASING: DecisionKind.GROUP_RELEASING,
    ChangeKind.DISSOLVED: DecisionKind.GROUP_DISSOLVED,
    ChangeKind.VM_OUT: DecisionKind.VM_OUT,
    ChangeKind.VM_BACK: DecisionKind.VM_BACK,
    ChangeKind.KEPT_WAITING: DecisionKind.GROUP_WAITS,
}


class DecisionRecorder:
    """Records the decisions about one domain, each of them once.

    Args:
        frame: Writes decisions to the journal and the log.
        domain: The fabric domain.
    """

    def __init__(self, frame: NodeRuntime, domain: FabricDomainId) -> None:
        self._frame = frame
        self._domain = domain
        self._index: FleetIndex | None = None
        self._idle: dict[VmId, IdleReason] = {}
        self._ready: dict[GroupId, GroupPlan] = {}
        self._shortfalls: frozenset[tuple[str, str]] = frozenset()

    def configure(self, index: FleetIndex) -> None:
        """Apply a newer configuration."""
        self._index = index

    def record_lease_acquired(self) -> None:
        """Record that this process has acquired the domain's lease."""
        self._record(DecisionKind.DOMAIN_HELD, (), "took the lease")

    def record_domain_released(self, reason: str) -> None:
        """Record that this process no longer holds the domain."""
        self._record(DecisionKind.DOMAIN_RELEASED, (), reason)

    def record_changes(self, plan: DomainPlan, changes: Iterable[PlanChange]) -> None:
        """Record the changes of a plan that is in the store now."""
        groups = {f"group:{group.id}": group for group in plan.groups}
        for change in changes:
            if change.kind is not ChangeKind.KEPT_WAITING:
                self._record_change(change, groups)

    def record_step(self, holder: Holder) -> None:
        """Record what is new in the holder's last planning step.

        These are groups that wait, idle VMs and shortfalls of models.
        """
        groups = {f"group:{group.id}": group for group in holder.plan.groups}
        for change in holder.pop_new_waits():
            self._record_change(change, groups)
        idle = {idle_vm.vm: idle_vm.reason for idle_vm in holder.idle_vms}
        for vm, reason in idle.items():
            if self._idle.get(vm) is not reason:
                owner = self._find_owner(vm)
                subjects = (f"vm:{vm}",)
                self._record(DecisionKind.VM_IDLE, subjects, reason.value, owner)
        self._idle = idle
        if holder.last_result is None:
            return
        current = holder.last_result.shortfalls
        shortfalls = frozenset((f"model:{s.model}", s.reason) for s in current)
        for subject, reason_text in sorted(shortfalls - self._shortfalls):
            customers = self._customers_of_model(subject.removeprefix("model:"))
            self._record(DecisionKind.SHORTFALL, (subject,), reason_text, customers)
        self._shortfalls = shortfalls

    def record_ready(self, plan: DomainPlan, ready: frozenset[GroupId]) -> None:
        """Record the groups that have begun or ceased to serve."""
        serving = {group.id: group for group in plan.groups if group.id in ready}
        for group in serving.values():
            if group.id not in self._ready:
                self._record_group(
                    DecisionKind.GROUP_SERVES, group, "every VM reports it ready"
                )
        for group in self._ready.values():
            if group.id not in serving:
                self._record_group(
                    DecisionKind.GROUP_STOPPED, group, "a VM no longer reports it ready"
                )
        self._ready = serving

    def record_order(self, order: Order, status: int) -> None:
        """Record an order that an engine has answered."""
        subjects: tuple[str, ...] = (f"vm:{order.vm}",)
        if order.group is not None:
            subjects = (f"group:{order.group}", *subjects)
        self._record(
            DecisionKind.ORDER_SENT,
            subjects,
            order.kind.value,
            self._find_owner(order.vm),
            status=str(status),
            epoch=str(order.epoch),
        )

    def _record_change(self, change: PlanChange, groups: dict[str, GroupPlan]) -> None:
        customers = ""
        for subject in change.subjects:
            if subject in groups:
                customers = ",".join(groups[subject].customers)
            elif subject.startswith("vm:") and not customers:
                customers = self._find_owner(VmId(subject.removeprefix("vm:")))
        fields = {"rejected": change.rejected} if change.rejected else {}
        kind = _DECISION_KINDS[change.kind]
        self._record(kind, change.subjects, change.reason, customers, **fields)

    def _record_group(self, kind: DecisionKind, group: GroupPlan, reason: str) -> None:
        self._record(kind, (f"group:{group.id}",), reason, ",".join(group.customers))

    def _find_owner(self, vm: VmId) -> str:
        found_vm = self._index.vms.get(vm) if self._index else None
        return found_vm.owner if found_vm else ""

    def _customers_of_model(self, name: str) -> str:
        if self._index is None:
            return ""
        return ",".join(
            customer
            for model in self._index.models.values()
            if model.name == name
            for customer in self._index.get_customers(model)
        )

    def _record(
        self,
        kind: DecisionKind,
        subjects: tuple[str, ...],
        reason: str,
        customers: str = "",
        **fields: str,
    ) -> None:
        subjects = (*subjects, f"domain:{self._domain}")
        if customers:
            fields["customers"] = customers
        self._frame.record_decision(kind, subjects, reason, **fields)
