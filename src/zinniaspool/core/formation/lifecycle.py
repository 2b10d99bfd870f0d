"""One group's way from joining to its end: the next orders it needs."""

from collections.abc import Mapping
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

__all__ = ["LEFT", "FleetSight", "GroupRun"]

RETRY_S = 0.5
"""Seconds until an order without effect is given again. Answers take
milliseconds and effects show in the store within tens of them, so that what
is not seen by then was most likely lost."""

UNFIT_RETRY_S = 0.25
"""Seconds until an order is given again that did not fit the engine's state:
it is busy with one that ends in a moment."""

CLOSE_S = 9.0
"""Longest time that a closing group may take: callers wait eight seconds at
most, and a leaving member stays for ten."""


@dataclass(slots=True)
class FleetSight:
    """What the planner believes of the instances.

    Attributes:
        instances: By their entries in the store.
        lost: Those that answer nobody, though their entry may still be there.
    """

    instances: Mapping[InstanceId, Instance]
    lost: set[InstanceId] = field(default_factory=set)

    def find(self, instance: InstanceId) -> Instance | None:
        """Return an instance that is there and answers, or None."""
        return None if instance in self.lost else self.instances.get(instance)


@dataclass(slots=True)
class GroupRun:
    """A group under way.

    Attributes:
        record: Its plan.
        phase: How far it has come.
        since: When that phase began, in seconds.
        released: Members that are known to be out of it.
        reason: Why it came to this phase, for a person.
        stale: Whether an engine has seen a higher epoch than the group's.
        reborn: Members that have started again since the group was planned.
    """

    record: GroupRecord
    phase: GroupPhase = GroupPhase.FORMING
    since: float = 0.0
    released: set[InstanceId] = field(default_factory=set)
    reason: str = "planned"
    stale: bool = False
    reborn: set[InstanceId] = field(default_factory=set)
    _must_release: set[InstanceId] = field(default_factory=set)
    _not_held: set[InstanceId] = field(default_factory=set)
    _given: dict[tuple[InstanceId, OrderAction], float] = field(default_factory=dict)

    def move(self, phase: GroupPhase, reason: str, now: float) -> None:
        """Go to another phase."""
        self.phase, self.reason, self.since = phase, reason, now
        self._given.clear()

    @property
    def ended(self) -> bool:
        """Whether all that could hold it have let it go."""
        return self.phase is GroupPhase.ENDING and self.released.issuperset(
            self._must_release
        )

    def step(self, sight: FleetSight, now: float) -> list[GroupOrder]:
        """Judge what is seen, and return the orders due now."""
        self._judge(sight, now)
        match self.phase:
            case GroupPhase.FORMING:
                return self._form(sight, now)
            case GroupPhase.CLOSING:
                return self._give(self.record.head, OrderAction.CLOSE, now)
            case GroupPhase.ENDING:
                return self._release(sight, now)
        return []

    def note(self, order: GroupOrder, outcome: OrderOutcome, now: float) -> None:
        """Take an order's outcome."""
        key = (order.instance, order.action)
        if outcome is OrderOutcome.UNFIT:
            self._given[key] = now - RETRY_S + UNFIT_RETRY_S
        if order.action is OrderAction.LEAVE:
            if outcome in LEFT:
                self.released.add(order.instance)
            if outcome is OrderOutcome.UNFIT:
                self._not_held.add(order.instance)
        if order.action is OrderAction.JOIN and outcome is OrderOutcome.STALE:
            self.stale = True
            self.move(GroupPhase.ENDING, "epoch-stale", now)

    # Judging.

    def _judge(self, sight: FleetSight, now: float) -> None:
        if self.phase is GroupPhase.ENDING:
            return
        if self.reborn:
            # Its entry may still name the group, or name it again by a late
            # order. What it held for the group is gone all the same, and the
            # head serves on for nothing.
            self.move(GroupPhase.ENDING, f"member-reborn:{min(self.reborn)}", now)
            return
        missing = [one for one in self.record.members if sight.find(one) is None]
        if missing:
            self.move(GroupPhase.ENDING, f"member-lost:{missing[0]}", now)
            return
        leaving = [one for one in self.record.members if self._is_leaving(one, sight)]
        match self.phase:
            case GroupPhase.FORMING:
                self._judge_forming(sight, leaving, now)
            case GroupPhase.SERVING:
                self._judge_serving(sight, leaving, now)
            case GroupPhase.STANDBY:
                held = self._held(self.record.head, sight)
                if leaving or held is None:
                    self.move(GroupPhase.ENDING, "standby-out", now)
            case GroupPhase.CLOSING:
                held = self._held(self.record.head, sight)
                closed = held is None or held.state in _CLOSED
                if closed or now - self.since > CLOSE_S:
                    self.move(GroupPhase.ENDING, self.reason, now)

    def _judge_forming(
        self, sight: FleetSight, leaving: list[InstanceId], now: float
    ) -> None:
        if leaving:
            self.move(GroupPhase.ENDING, f"member-leaving:{leaving[0]}", now)
            return
        head = self._held(self.record.head, sight)
        if head is None:
            return
        if self.record.standby and head.state is MembershipState.READY:
            self.move(GroupPhase.STANDBY, "ready", now)
        elif head.state is MembershipState.OPEN:
            self.move(GroupPhase.SERVING, "open", now)
        elif head.state is MembershipState.BROKEN:
            self.move(GroupPhase.ENDING, "broken", now)

    def _judge_serving(
        self, sight: FleetSight, leaving: list[InstanceId], now: float
    ) -> None:
        if leaving:
            self.move(GroupPhase.CLOSING, f"member-leaving:{leaving[0]}", now)
            return
        for one in self.record.members:
            held = self._held(one, sight)
            if held is None or held.state is MembershipState.BROKEN:
                self.move(GroupPhase.ENDING, f"member-out:{one}", now)
                return
        head = self._held(self.record.head, sight)
        if head is not None and head.state is MembershipState.READY:
            self.move(GroupPhase.FORMING, "closed", now)

    def _is_leaving(self, one: InstanceId, sight: FleetSight) -> bool:
        found = sight.find(one)
        return found is not None and found.state is InstanceState.LEAVING

    def _held(self, one: InstanceId, sight: FleetSight) -> Membership | None:
        """Return a member's own word on this group, or None."""
        found = sight.find(one)
        held = None if found is None else found.membership
        if held is None:
            return None
        mine = (held.group, held.epoch) == (self.record.group, self.record.epoch)
        return held if mine else None

    # Ordering.

    def _form(self, sight: FleetSight, now: float) -> list[GroupOrder]:
        orders: list[GroupOrder] = []
        ready = 0
        for one in self.record.members:
            held = self._held(one, sight)
            if held is None:
                orders += self._give(one, OrderAction.JOIN, now)
            elif held.state is MembershipState.READY:
                ready += 1
        # An open head takes requests at once, and no engine checks the other
        # members: opened early, the group would run requests that nobody can
        # finish. Only each member's own word counts.
        if ready == len(self.record.members) and not self.record.standby:
            orders += self._give(self.record.head, OrderAction.OPEN, now)
        return orders

    def _release(self, sight: FleetSight, now: float) -> list[GroupOrder]:
        self._note_released(sight)
        orders = []
        for one in self._must_release - self.released:
            orders += self._give(one, OrderAction.LEAVE, now)
        return orders

    def _note_released(self, sight: FleetSight) -> None:
        """Find who must let the group go before its members are used again.

        An open head may serve on until it has left, so that with a head that
        answers its own leaving is what counts. A head that answers nobody
        can't be told anything; then each other member leaves, and no VM is
        in two groups whatever that head still believes.
        """
        head = self.record.head
        there = sight.find(head)
        if there is not None:
            self._must_release = {head}
        else:
            self._must_release = {
                one for one in self.record.members if sight.find(one) is not None
            }
        for one in self._must_release & self._not_held:
            if self._held(one, sight) is None:
                self.released.add(one)

    def _give(
        self, instance: InstanceId, action: OrderAction, now: float
    ) -> list[GroupOrder]:
        key = (instance, action)
        given = self._given.get(key)
        if given is not None and now - given < RETRY_S:
            return []
        self._given[key] = now
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


LEFT = frozenset({OrderOutcome.HOLDS, OrderOutcome.ACCEPTED, OrderOutcome.GONE})
"""Answers to a leave order that show that the instance is not in the group."""

_CLOSED = frozenset({MembershipState.READY, MembershipState.BROKEN})
