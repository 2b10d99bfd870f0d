"""The phases of one replica group, from joining to its end, and its orders.

Each step derives the group's phase from what its members report, and returns
the orders that the phase needs.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from zinniaspool.core.fleet import (
    Instance,
    InstanceId,
    InstanceState,
    Membership,
    MembershipState,
)
from zinniaspool.core.formation.orders import GroupOrder, OrderAction, OrderOutcome
from zinniaspool.core.formation.records import GroupPhase, GroupRecord

__all__ = ["LEFT_OUTCOMES", "SERVING_STATES", "GroupRun", "InstanceView"]

RETRY_S = 0.5
"""Seconds until an order without effect is repeated. Answers take milliseconds
and effects show in the store within tens of milliseconds, so an order whose
effect does not show by then was most likely lost."""

UNFIT_RETRY_S = 0.25
"""Seconds until an order that did not fit the engine's state is repeated. The
engine is busy with another order that ends in a moment."""

MIN_CLOSING_S = 9.0
"""Time that every group may take to close, in seconds. Processes may learn
seconds late that it closes, and send it requests until then."""

CLOSING_MARGIN_S = 1.0
"""Time that a group may take to close beyond the longest timeout of its
service's routes, in seconds."""

MAX_DRAINING_S = 9.0
"""Longest time that a group may take to close once a member leaves, in
seconds. The member stays for ten seconds at most."""


@dataclass(slots=True)
class InstanceView:
    """What the planner knows of the instances.

    Attributes:
        instances: The instances by their records in the store.
        unreachable: Instances that have ended, as far as is known, though
            their records may still be in the store. Their groups end.
        suspected: Instances that answer no query, and may still go on. Their
            last records count for their groups.
        unrecorded: Instances whose records were removed, and that are kept
            for their groups. They join no other group, since no record would
            show other processes that they have.
        not_orderable: The suspected ones, and those that answer only through
            an entry process, or may. Orders come from the holder alone and
            don't reach them.
    """

    instances: Mapping[InstanceId, Instance]
    unreachable: set[InstanceId] = field(default_factory=set)
    suspected: set[InstanceId] = field(default_factory=set)
    unrecorded: Collection[InstanceId] = ()
    not_orderable: frozenset[InstanceId] = frozenset()

    def find_reachable(self, instance: InstanceId) -> Instance | None:
        """Return a known instance that is not unreachable, or None."""
        return None if instance in self.unreachable else self.instances.get(instance)

    def find_orderable(self, instance: InstanceId) -> Instance | None:
        """Return a known instance that orders reach, or None."""
        if instance in self.not_orderable:
            return None
        return self.find_reachable(instance)


@dataclass(slots=True)
class GroupRun:
    """The state of one planned group, as the holder knows it.

    Attributes:
        record: The group as its plan has it.
        phase: The group's phase.
        since: Time at which that phase began, in seconds.
        released: Members that are known to be out of the group.
        reason: Why the group entered this phase, for a person.
        epoch_stale: Whether an engine has seen a higher epoch than the
            group's.
        restarted: Members that have restarted since the group was planned.
        awaits_plan: Whether the store has no plan yet that names the group.
            Until then its members are not ordered to join, nor its head to
            open.
    """

    record: GroupRecord
    phase: GroupPhase = GroupPhase.FORMING
    since: float = 0.0
    released: set[InstanceId] = field(default_factory=set)
    reason: str = "planned"
    epoch_stale: bool = False
    restarted: set[InstanceId] = field(default_factory=set)
    awaits_plan: bool = False
    _leaving_since: float | None = None
    _must_release: set[InstanceId] = field(default_factory=set)
    _leave_unfit: set[InstanceId] = field(default_factory=set)
    _ordered_at: dict[tuple[InstanceId, OrderAction], float] = field(
        default_factory=dict
    )

    def enter_phase(self, phase: GroupPhase, reason: str, now: float) -> None:
        """Enter another phase; all orders that it needs are due at once."""
        self.phase, self.reason, self.since = phase, reason, now
        self._ordered_at.clear()

    @property
    def ended(self) -> bool:
        """Whether all members that must leave the group have left it."""
        return self.phase is GroupPhase.ENDING and self.released.issuperset(
            self._must_release
        )

    def step(
        self, view: InstanceView, longest_timeout_s: float, now: float
    ) -> list[GroupOrder]:
        """Update the phase from the view, and return the orders due now.

        Args:
            view: The known instances.
            longest_timeout_s: Longest timeout of a request that the group may
                run, in seconds.
            now: Current time, in seconds.
        """
        self._update_phase(view, longest_timeout_s, now)
        match self.phase:
            case GroupPhase.FORMING if not self.awaits_plan:
                return self._list_forming_orders(view, now)
            case GroupPhase.CLOSING:
                return self._order_if_due(self.record.head, OrderAction.CLOSE, now)
            case GroupPhase.ENDING:
                return self._list_release_orders(view, now)
        return []

    def on_order_outcome(
        self, order: GroupOrder, outcome: OrderOutcome, now: float
    ) -> None:
        """Apply the outcome of an order about this group."""
        key = (order.instance, order.action)
        if outcome is OrderOutcome.UNFIT:
            self._ordered_at[key] = now - RETRY_S + UNFIT_RETRY_S
        if order.action is OrderAction.LEAVE:
            if outcome in LEFT_OUTCOMES:
                self.released.add(order.instance)
            if outcome is OrderOutcome.UNFIT:
                self._leave_unfit.add(order.instance)
        if order.action is OrderAction.JOIN and outcome is OrderOutcome.STALE:
            self.epoch_stale = True
            self.enter_phase(GroupPhase.ENDING, "epoch-stale", now)

    # Phases.

    def _update_phase(
        self, view: InstanceView, longest_timeout_s: float, now: float
    ) -> None:
        if self.phase is GroupPhase.ENDING:
            return
        if self.restarted:
            # The record of a restarted member may still name the group, or
            # name it again after a late order. What the member had loaded for
            # the group is gone all the same, and the head can finish no
            # request.
            self.enter_phase(
                GroupPhase.ENDING, f"member-reborn:{min(self.restarted)}", now
            )
            return
        missing = [
            member
            for member in self.record.members
            if view.find_reachable(member) is None
        ]
        if missing:
            self.enter_phase(GroupPhase.ENDING, f"member-lost:{missing[0]}", now)
            return
        leaving = [
            member for member in self.record.members if self._is_leaving(member, view)
        ]
        self._update_leaving_since(leaving, now)
        match self.phase:
            case GroupPhase.FORMING:
                self._update_forming(view, leaving, now)
            case GroupPhase.SERVING:
                self._update_serving(view, leaving, now)
            case GroupPhase.STANDBY:
                membership = self._find_membership(self.record.head, view)
                if leaving or membership is None:
                    self.enter_phase(GroupPhase.ENDING, "standby-out", now)
            case GroupPhase.CLOSING:
                membership = self._find_membership(self.record.head, view)
                closed = membership is None or membership.state in _CLOSED_STATES
                if closed or self._closes_too_long(longest_timeout_s, now):
                    self.enter_phase(GroupPhase.ENDING, self.reason, now)

    def _update_forming(
        self, view: InstanceView, leaving: list[InstanceId], now: float
    ) -> None:
        head = self._find_membership(self.record.head, view)
        if leaving:
            # A process that takes over as holder knows no group's phase yet.
            is_serving = head is not None and head.state in SERVING_STATES
            phase = GroupPhase.CLOSING if is_serving else GroupPhase.ENDING
            self.enter_phase(phase, f"member-leaving:{leaving[0]}", now)
            return
        if head is None:
            return
        if self.record.standby and head.state is MembershipState.READY:
            self.enter_phase(GroupPhase.STANDBY, "ready", now)
        elif head.state is MembershipState.OPEN:
            self.enter_phase(GroupPhase.SERVING, "open", now)
        elif head.state is MembershipState.BROKEN:
            self.enter_phase(GroupPhase.ENDING, "broken", now)

    def _update_serving(
        self, view: InstanceView, leaving: list[InstanceId], now: float
    ) -> None:
        if leaving:
            self.enter_phase(GroupPhase.CLOSING, f"member-leaving:{leaving[0]}", now)
            return
        for member in self.record.members:
            membership = self._find_membership(member, view)
            if membership is None or membership.state is MembershipState.BROKEN:
                self.enter_phase(GroupPhase.ENDING, f"member-out:{member}", now)
                return
        head = self._find_membership(self.record.head, view)
        if head is not None and head.state is MembershipState.READY:
            self.enter_phase(GroupPhase.FORMING, "closed", now)

    def _update_leaving_since(self, leaving: list[InstanceId], now: float) -> None:
        if not leaving:
            self._leaving_since = None
        elif self._leaving_since is None:
            self._leaving_since = now

    def _closes_too_long(self, longest_timeout_s: float, now: float) -> bool:
        closing_s = max(MIN_CLOSING_S, longest_timeout_s + CLOSING_MARGIN_S)
        ends_at = self.since + closing_s
        if self._leaving_since is not None:
            ends_at = min(ends_at, self._leaving_since + MAX_DRAINING_S)
        return now > ends_at

    def _is_leaving(self, member: InstanceId, view: InstanceView) -> bool:
        found = view.find_reachable(member)
        return found is not None and found.state is InstanceState.LEAVING

    def _find_membership(
        self, member: InstanceId, view: InstanceView
    ) -> Membership | None:
        """Return a member's own report of its place in this group, or None."""
        found = view.find_reachable(member)
        membership = None if found is None else found.membership
        if membership is None:
            return None
        is_this_group = (membership.group, membership.epoch) == (
            self.record.group,
            self.record.epoch,
        )
        return membership if is_this_group else None

    # Orders.

    def _list_forming_orders(self, view: InstanceView, now: float) -> list[GroupOrder]:
        orders: list[GroupOrder] = []
        ready = 0
        for member in self.record.members:
            membership = self._find_membership(member, view)
            if membership is None:
                orders += self._order_if_due(member, OrderAction.JOIN, now)
            elif (
                membership.state is MembershipState.READY
                and member not in view.unrecorded
                and member not in view.not_orderable
            ):
                ready += 1
        # An open head accepts requests at once, and no engine checks the other
        # members. A group opened early would run requests that it cannot
        # finish, so only each member's own report of being ready counts. One
        # whose record was removed may have ended since it was ready.
        if ready == len(self.record.members) and not self.record.standby:
            orders += self._order_if_due(self.record.head, OrderAction.OPEN, now)
        return orders

    def _list_release_orders(self, view: InstanceView, now: float) -> list[GroupOrder]:
        self._update_released(view)
        orders = []
        for member in self._must_release - self.released:
            orders += self._order_if_due(member, OrderAction.LEAVE, now)
        return orders

    def _update_released(self, view: InstanceView) -> None:
        """Update which members must leave before the VMs are used again.

        An open head may keep serving until it has left, so the group is
        released once a head that answers has left it. A head that orders
        don't reach can't be ordered to leave. Each other member must leave
        then, so that no VM is in two groups while that head still serves.
        """
        head = self.record.head
        found = view.find_orderable(head)
        if found is not None:
            self._must_release = {head}
        else:
            self._must_release = {
                member
                for member in self.record.members
                if view.find_orderable(member) is not None
            }
        if self.awaits_plan:
            # No member was ordered to join.
            self._must_release = {
                member
                for member in self._must_release
                if self._find_membership(member, view) is not None
            }
        for member in self._must_release & self._leave_unfit:
            if self._find_membership(member, view) is None:
                self.released.add(member)

    def _order_if_due(
        self, instance: InstanceId, action: OrderAction, now: float
    ) -> list[GroupOrder]:
        """Return an order, or nothing while it is too early to repeat it."""
        key = (instance, action)
        ordered_at = self._ordered_at.get(key)
        if ordered_at is not None and now - ordered_at < RETRY_S:
            return []
        self._ordered_at[key] = now
        record = self.record
        if action is OrderAction.JOIN:
            return [
                GroupOrder(
                    instance,
                    action,
                    record.group,
                    record.epoch,
                    record.model,
                    record.members,
                )
            ]
        return [GroupOrder(instance, action, record.group, record.epoch)]


LEFT_OUTCOMES = frozenset(
    {OrderOutcome.HOLDS, OrderOutcome.ACCEPTED, OrderOutcome.GONE}
)
"""Outcomes of a leave order that show that the VM is in the group no more."""

SERVING_STATES = frozenset({MembershipState.OPEN, MembershipState.CLOSING})
"""States of a head that has running requests, or may get some."""

_CLOSED_STATES = frozenset({MembershipState.READY, MembershipState.BROKEN})
