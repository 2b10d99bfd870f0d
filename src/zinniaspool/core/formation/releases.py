"""Which VMs are known to be out of a group that is no more.

A VM may be used again only once it is in no group: the head of its last one
may still take requests. What shows that is its own answer to the order to
leave, or its group's head's. An entry alone does not: entries from before a VM
joined come in after an outage.
"""

from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from zinniaspool.core.fleet import Instance, InstanceId
from zinniaspool.core.formation.lifecycle import LEFT, RETRY_S, FleetSight, GroupRun
from zinniaspool.core.formation.orders import GroupOrder, OrderAction, OrderOutcome
from zinniaspool.core.ids import Epoch, GroupId

__all__ = ["ReleaseBook"]

REMEMBERED = 512
"""Groups known to be over whose members' entries may still name them, for a
few tens of milliseconds each; far more than end in that time."""


@dataclass(slots=True)
class _Stray:
    """A group that a VM holds though no plan names it."""

    group: GroupId
    epoch: Epoch
    asked_at: float = float("-inf")


class ReleaseBook:
    """Groups that are over, VMs that left, and VMs that still have to."""

    def __init__(self) -> None:
        self._ended: deque[GroupId] = deque(maxlen=REMEMBERED)
        self._left: deque[tuple[InstanceId, GroupId]] = deque(maxlen=REMEMBERED)
        self._strays: dict[InstanceId, _Stray] = {}

    def remember_end(self, run: GroupRun) -> None:
        """Note who is known to be out of a group that is given up.

        Where its head did not answer, the head and others that were away may
        come back and still hold it: only those that left are free.
        """
        group = run.record.group
        if run.record.head in run.released:
            self._ended.append(group)
        self._left += [(one, group) for one in run.released]

    def forget(self, instance: InstanceId) -> None:
        """Take that a VM has started again and is in no group of before."""
        self._strays.pop(instance, None)
        kept = [one for one in self._left if one[0] != instance]
        self._left.clear()
        self._left += kept

    def is_free(self, one: Instance) -> bool:
        """Tell whether a VM that no plan names is in no group any more.

        An engine that is asked to leave a group it is not in says that this
        is so already; it may well be in another one, whose head serves.
        """
        if one.id in self._strays:
            return False
        held = one.membership
        if held is None or held.group in self._ended:
            return True
        return (one.id, held.group) in self._left

    def find_strays(
        self,
        unplanned: Iterable[Instance],
        groups: Collection[GroupId],
        sight: FleetSight,
        now: float,
    ) -> list[GroupOrder]:
        """Return orders that free VMs of groups that no plan names.

        Such a one was cut off when its group was given up, or carried out a
        late order.

        Args:
            unplanned: VMs that no plan names.
            groups: Groups that a plan names.
            sight: All VMs.
            now: Seconds.
        """
        for one in unplanned:
            held = one.membership
            if held is None or held.group in groups or self.is_free(one):
                continue
            stray = self._strays.get(one.id)
            if stray is None or stray.group != held.group:
                self._strays[one.id] = _Stray(held.group, held.epoch)
        for gone in self._strays.keys() - sight.instances.keys():
            del self._strays[gone]
        orders = []
        for instance, stray in self._strays.items():
            if instance not in sight.lost and now - stray.asked_at >= RETRY_S:
                stray.asked_at = now
                orders.append(
                    GroupOrder(instance, OrderAction.LEAVE, stray.group, stray.epoch)
                )
        return orders

    def note(self, order: GroupOrder, outcome: OrderOutcome) -> None:
        """Take that a VM has left, by its own answer."""
        stray = self._strays.get(order.instance)
        if stray is None or order.action is not OrderAction.LEAVE:
            return
        if stray.group == order.group and outcome in LEFT:
            del self._strays[order.instance]
            self._left.append((order.instance, stray.group))
