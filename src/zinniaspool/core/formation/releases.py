"""Tracks which VMs have left a group that has ended.

A VM may be used again only once it is in no group, since the head of its last
group may still accept requests. Its own answer to a leave order shows that, or
the answer of its group's head. An instance record alone does not, since
records from before a VM joined may arrive after an outage.
"""

from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from zinniaspool.core.fleet import Instance, InstanceId
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


class ReleaseTracker:
    """Tracks ended groups, VMs that have left and VMs that must leave."""

    def __init__(self) -> None:
        self._ended_groups: deque[GroupId] = deque(maxlen=MAX_REMEMBERED)
        self._released: deque[tuple[InstanceId, GroupId]] = deque(maxlen=MAX_REMEMBERED)
        self._orphans: dict[InstanceId, _OrphanedGroup] = {}

    def record_group_end(self, run: GroupRun) -> None:
        """Record which members are known to have left an ended group.

        If the head was unreachable, the head and other unreachable members
        may come back and still be in the group. Only the members that have
        left are free then.
        """
        group = run.record.group
        if run.record.head in run.released:
            self._ended_groups.append(group)
        self._released += [(member, group) for member in run.released]

    def on_restart(self, instance: InstanceId) -> None:
        """Record that a VM has restarted, so that it has left every group."""
        self._orphans.pop(instance, None)
        kept = [release for release in self._released if release[0] != instance]
        self._released.clear()
        self._released += kept

    def is_free(self, instance: Instance) -> bool:
        """Return whether a VM that no plan names has left its last group.

        An engine that is ordered to leave a group that it is not in answers
        that it has left. It may be in another group, whose head serves, so
        the answer frees the VM of the named group only.
        """
        if instance.id in self._orphans:
            return False
        membership = instance.membership
        if membership is None or membership.group in self._ended_groups:
            return True
        return (instance.id, membership.group) in self._released

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
                or self.is_free(vm)
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

    def on_order_outcome(self, order: GroupOrder, outcome: OrderOutcome) -> None:
        """Record that a VM has left an orphaned group, by its own answer."""
        orphan = self._orphans.get(order.instance)
        if orphan is None or order.action is not OrderAction.LEAVE:
            return
        if orphan.group == order.group and outcome in LEFT_OUTCOMES:
            del self._orphans[order.instance]
            self._released.append((order.instance, orphan.group))
