"""Tracks which VMs have left a group that has ended.

A VM may be used again only once it is in no group, since the head of its last
group may still accept requests. Its own answer to a leave order shows that, or
the answer of its group's head. An instance record alone does not, since
records from before a VM joined may arrive after an outage.

An order without an answer may be carried out seconds later, so a VM may join
its last group again. An answer counts until the VM's record has changed and
names the group still.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from typing import Any, NamedTuple, Self

from zinniaspool.core.fleet import Instance, InstanceId, Membership
from zinniaspool.core.formation.lifecycle import (
    LEFT_OUTCOMES,
    RETRY_S,
    GroupRun,
    InstanceView,
)
from zinniaspool.core.formation.orders import GroupOrder, OrderAction, OrderOutcome
from zinniaspool.core.ids import Epoch, GroupId

__all__ = ["ReleaseTracker"]

MAX_REMEMBERED = 512
"""Ended groups, and members that left, to remember. The members' records may
still name a group for a few tens of milliseconds after its end, and far fewer
groups end in that time."""


@dataclass(slots=True)
class _OrphanedGroup:
    """A group that a VM reports to be in though no plan names the group.

    Attributes:
        group: The group.
        epoch: The group's epoch, as the VM reports it.
        ordered_at: Time of the last order to leave it, in seconds.
    """

    group: GroupId
    epoch: Epoch
    ordered_at: float = float("-inf")


class _MembershipReport(NamedTuple):
    """The parts of a record that change when a VM joins a group again."""

    membership: Membership | None
    order_count: int
    started_at_ms: int | None

    @classmethod
    def from_record(cls, record: Instance) -> Self:
        return cls(record.membership, record.order_count, record.started_at_ms)


class ReleaseTracker:
    """Tracks ended groups, VMs that have left and VMs that must leave."""

    def __init__(self) -> None:
        self._ended_groups: dict[GroupId, InstanceId] = {}
        self._released: dict[tuple[InstanceId, GroupId], _MembershipReport | None] = {}
        self._orphans: dict[InstanceId, _OrphanedGroup] = {}

    def record_group_end(self, run: GroupRun, view: InstanceView) -> None:
        """Record which members are known to have left an ended group.

        If the head was unreachable, the head and other unreachable members
        may come back and still be in the group. Only the members that have
        left are free then.
        """
        record = run.record
        for member in run.released:
            if (member, record.group) not in self._released:
                self._record_release(member, record.group, view)
        if record.head in run.released:
            self._ended_groups[record.group] = record.head
            _drop_oldest(self._ended_groups)

    def on_restart(self, instance: InstanceId) -> None:
        """Record that a VM has restarted, so that it has left every group."""
        self._orphans.pop(instance, None)
        for release in [it for it in self._released if it[0] == instance]:
            del self._released[release]

    def is_free(self, instance: Instance, view: InstanceView) -> bool:
        """Return whether a VM that no plan names has left its last group.

        An engine that is ordered to leave a group that it is not in answers
        that it has left. It may be in another group, whose head serves, so
        the answer frees the VM of the named group only.
        """
        if instance.id in self._orphans:
            return False
        membership = instance.membership
        if membership is None or self._has_left(instance, membership.group):
            return True
        head = self._ended_groups.get(membership.group)
        if head is None or head == instance.id or head not in view.instances:
            return False
        return self._has_left(view.instances[head], membership.group)

    def _has_left(self, instance: Instance, group: GroupId) -> bool:
        """Return whether a VM has left a group and hasn't joined it again."""
        release = (instance.id, group)
        if release not in self._released:
            return False
        membership = instance.membership
        if membership is None or membership.group != group:
            return True
        return self._released[release] == _MembershipReport.from_record(instance)

    def _record_release(
        self, instance: InstanceId, group: GroupId, view: InstanceView
    ) -> None:
        known = view.instances.get(instance)
        report = None if known is None else _MembershipReport.from_record(known)
        self._released.pop((instance, group), None)
        self._released[(instance, group)] = report
        _drop_oldest(self._released)

    def is_leaving(self, instance: InstanceId) -> bool:
        """Return whether a VM was ordered to leave a group in no plan."""
        return instance in self._orphans

    def list_orphan_releases(
        self,
        unplanned: Iterable[Instance],
        planned_groups: Collection[GroupId],
        view: InstanceView,
        now: float,
    ) -> list[GroupOrder]:
        """Return orders that release VMs from groups that no plan names.

        Such a VM was cut off when its group was given up, or carried out a
        late order. The VMs of whole groups that serve are not among them.

        Args:
            unplanned: VMs that no plan names.
            planned_groups: Groups that a plan names.
            view: The known instances.
            now: Current time, in seconds.
        """
        for vm in unplanned:
            membership = vm.membership
            if (
                membership is None
                or membership.group in planned_groups
                or self.is_free(vm, view)
            ):
                continue
            orphan = self._orphans.get(vm.id)
            if orphan is None or orphan.group != membership.group:
                self._orphans[vm.id] = _OrphanedGroup(
                    membership.group, membership.epoch
                )
        for removed in self._orphans.keys() - view.instances.keys():
            del self._orphans[removed]
        orders = []
        for instance, orphan in self._orphans.items():
            if instance not in view.unreachable and now - orphan.ordered_at >= RETRY_S:
                orphan.ordered_at = now
                orders.append(
                    GroupOrder(instance, OrderAction.LEAVE, orphan.group, orphan.epoch)
                )
        return orders

    def on_order_outcome(
        self, order: GroupOrder, outcome: OrderOutcome, view: InstanceView
    ) -> None:
        """Record that a VM has left a group, by its own answer."""
        if order.action is not OrderAction.LEAVE or outcome not in LEFT_OUTCOMES:
            return
        if order.group is None:
            return
        self._record_release(order.instance, order.group, view)
        orphan = self._orphans.get(order.instance)
        if orphan is not None and orphan.group == order.group:
            del self._orphans[order.instance]


def _drop_oldest(remembered: dict[Any, Any]) -> None:
    if len(remembered) > MAX_REMEMBERED:
        del remembered[next(iter(remembered))]
