"""What a domain's keeper tells operators of its decisions."""

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
from zinniaspool.node import NodeFrame

__all__ = ["DomainNotes"]

_KINDS = {
    ChangeKind.FORMED: DecisionKind.GROUP_FORMED,
    ChangeKind.REPAIRED: DecisionKind.GROUP_REPAIRED,
    ChangeKind.DRAINING: DecisionKind.GROUP_DRAINING,
    ChangeKind.RELEASING: DecisionKind.GROUP_RELEASING,
    ChangeKind.DISSOLVED: DecisionKind.GROUP_DISSOLVED,
    ChangeKind.VM_OUT: DecisionKind.VM_OUT,
    ChangeKind.VM_BACK: DecisionKind.VM_BACK,
    ChangeKind.KEPT_WAITING: DecisionKind.GROUP_WAITS,
}


class DomainNotes:
    """Records one domain's decisions, each once.

    Args:
        frame: Where decisions are recorded.
        domain: The fabric domain.
    """

    def __init__(self, frame: NodeFrame, domain: FabricDomainId) -> None:
        self._frame = frame
        self._domain = domain
        self._index: FleetIndex | None = None
        self._idle: dict[VmId, IdleReason] = {}
        self._ready: dict[GroupId, GroupPlan] = {}
        self._shortfalls: frozenset[tuple[str, str]] = frozenset()

    def configure(self, index: FleetIndex) -> None:
        """Take a newer configuration."""
        self._index = index

    def note_held(self) -> None:
        """Record that this process took the lease."""
        self._decide(DecisionKind.DOMAIN_HELD, (), "took the lease")

    def note_released(self, reason: str) -> None:
        """Record that this process no longer holds the domain."""
        self._decide(DecisionKind.DOMAIN_RELEASED, (), reason)

    def note_changes(self, plan: DomainPlan, changes: Iterable[PlanChange]) -> None:
        """Record the changes of a plan that now stands in the store."""
        groups = {f"group:{group.id}": group for group in plan.groups}
        for change in changes:
            if change.kind is not ChangeKind.KEPT_WAITING:
                self._note_change(change, groups)

    def note_step(self, holder: Holder) -> None:
        """Record new waits, idle VMs and shortfalls of the last step."""
        groups = {f"group:{group.id}": group for group in holder.plan.groups}
        for change in holder.pop_new_waits():
            self._note_change(change, groups)
        idle = {found.vm: found.reason for found in holder.idle_vms}
        for vm, reason in idle.items():
            if self._idle.get(vm) is not reason:
                owner = self._owner(vm)
                subjects = (f"vm:{vm}",)
                self._decide(DecisionKind.VM_IDLE, subjects, reason.value, owner)
        self._idle = idle
        if holder.last_result is None:
            return
        found = holder.last_result.shortfalls
        shortfalls = frozenset((f"model:{s.model}", s.reason) for s in found)
        for subject, reason_text in sorted(shortfalls - self._shortfalls):
            customers = self._customers_of_model(subject.removeprefix("model:"))
            self._decide(DecisionKind.SHORTFALL, (subject,), reason_text, customers)
        self._shortfalls = shortfalls

    def note_ready(self, plan: DomainPlan, ready: frozenset[GroupId]) -> None:
        """Record the groups that began or ceased to serve."""
        now = {group.id: group for group in plan.groups if group.id in ready}
        for group in now.values():
            if group.id not in self._ready:
                self._note_group(
                    DecisionKind.GROUP_SERVES, group, "every VM reports it ready"
                )
        for group in self._ready.values():
            if group.id not in now:
                self._note_group(
                    DecisionKind.GROUP_STOPPED, group, "a VM no longer reports it ready"
                )
        self._ready = now

    def note_order(self, order: Order, status: int) -> None:
        """Record an order that an engine answered."""
        subjects: tuple[str, ...] = (f"vm:{order.vm}",)
        if order.group is not None:
            subjects = (f"group:{order.group}", *subjects)
        self._decide(
            DecisionKind.ORDER_SENT,
            subjects,
            order.kind.value,
            self._owner(order.vm),
            status=str(status),
            epoch=str(order.epoch),
        )

    def _note_change(self, change: PlanChange, groups: dict[str, GroupPlan]) -> None:
        customers = ""
        for subject in change.subjects:
            if subject in groups:
                customers = ",".join(groups[subject].customers)
            elif subject.startswith("vm:") and not customers:
                customers = self._owner(VmId(subject.removeprefix("vm:")))
        fields = {"rejected": change.rejected} if change.rejected else {}
        kind = _KINDS[change.kind]
        self._decide(kind, change.subjects, change.reason, customers, **fields)

    def _note_group(self, kind: DecisionKind, group: GroupPlan, reason: str) -> None:
        self._decide(kind, (f"group:{group.id}",), reason, ",".join(group.customers))

    def _owner(self, vm: VmId) -> str:
        found = self._index.vms.get(vm) if self._index else None
        return found.owner if found else ""

    def _customers_of_model(self, name: str) -> str:
        if self._index is None:
            return ""
        return ",".join(
            customer
            for model in self._index.models.values()
            if model.name == name
            for customer in self._index.get_customers(model)
        )

    def _decide(
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
        self._frame.decide(kind, subjects, reason, **fields)
