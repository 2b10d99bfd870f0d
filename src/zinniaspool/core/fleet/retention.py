"""The holder's decision which instances without a record are retained.

An upstream whose record has expired may still serve, or may be leaving
without having announced it. Its own answers tell these apart: an instance is
retained only while it answers that it is healthy, under its own id, and its
status shows the same run in the same group.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from enum import Enum

from zinniaspool.core.fleet.instances import (
    LOADED_STATES,
    Instance,
    InstanceId,
    InstanceState,
    Membership,
)
from zinniaspool.core.fleet.status import EngineStatus

__all__ = [
    "Health",
    "HealthAnswer",
    "RetentionEnd",
    "RetentionTracker",
    "find_objection",
    "is_same_membership",
    "may_retain",
]

QUERY_INTERVAL_S = 1.0
"""Time from one decision about a retained instance to its next queries, in
seconds. With the queries and the way to the entry processes, an instance that
begins to leave gets no request after 2 s. A health answer costs the upstream
about a twentieth of a request, so a shorter interval isn't worth it."""

MAX_RETENTION_S = 12.0
"""Longest time for which an instance is retained, in seconds. Upstreams lose
the store for 5 to 10 s."""

MAX_UNCONFIRMED_S = 2.0
"""Time since the last agreeing answers after which missing ones end a
retention even if this process was too busy to read them, in seconds."""

STALL_MEMORY_S = 3.0
"""For how long a reported stall is remembered, in seconds. If streams stall
again within this time although the instance has answered meanwhile, its
answers are not believed."""


class Health(Enum):
    """What an instance answers to a health query."""

    HEALTHY = "healthy"
    UNHEALTHY = "unhealthy"
    """It does not consider itself healthy, or it is leaving."""

    MISDIRECTED = "misdirected"
    """Another instance has the address now."""


@dataclass(frozen=True, slots=True)
class HealthAnswer:
    """The answer to a health query.

    Attributes:
        health: The answer.
        instance: The instance that it names; None if it names none.
        is_leaving: Whether it states that the instance is leaving.
    """

    health: Health
    instance: InstanceId | None
    is_leaving: bool = False


class RetentionEnd(Enum):
    """Why an instance is not retained, or no longer."""

    RECORD_RETURNED = "record-returned"
    NO_HEALTH = "no-health"
    NO_STATUS = "no-status"
    UNHEALTHY = "unhealthy"
    MISDIRECTED = "misdirected"
    OTHER_INSTANCE = "other-instance"
    LEAVING = "leaving"
    RESTARTED = "restarted"
    OTHER_MEMBERSHIP = "other-membership"
    STALLED = "stalled"
    TOO_LONG = "too-long"
    UNDECIDED = "undecided"
    """The answers came too late."""

    EVACUATED = "evacuated"
    """Its failure domain is evacuated, and a health query is a request too."""


def may_retain(instance: Instance) -> bool:
    """Return whether an instance may be kept when its record is removed.

    One that announced that it is leaving ends with its record. A VM outside a
    group has nothing to preserve, and without a record no process learns that
    a joining member has become ready.
    """
    membership = instance.membership
    return (
        instance.state is InstanceState.READY
        and membership is not None
        and membership.state in LOADED_STATES
    )


def is_same_membership(known: Membership | None, reported: Membership | None) -> bool:
    """Return whether a member is still at the same place in the same group."""
    if known is None or reported is None:
        return False
    return (known.group, known.epoch, known.rank) == (
        reported.group,
        reported.epoch,
        reported.rank,
    )


def find_objection(
    instance: Instance, health: HealthAnswer | None, status: EngineStatus | None
) -> RetentionEnd | None:
    """Return why the answers do not allow to retain an instance, or None.

    Args:
        instance: Its last record.
        health: Its answer to the health query; None if both are missing.
        status: Its status; None if both queries were not answered.
    """
    if health is not None:
        if health.health is Health.MISDIRECTED:
            return RetentionEnd.MISDIRECTED
        if health.is_leaving:
            return RetentionEnd.LEAVING
        if health.health is Health.UNHEALTHY:
            return RetentionEnd.UNHEALTHY
        if health.instance != instance.id:
            return RetentionEnd.OTHER_INSTANCE
    if status is not None:
        if status.is_leaving:
            return RetentionEnd.LEAVING
        if status.born != instance.started_at_ms:
            return RetentionEnd.RESTARTED
        is_loaded = (
            status.membership is not None and status.membership.state in LOADED_STATES
        )
        is_same = is_same_membership(instance.membership, status.membership)
        if not is_same or not is_loaded or status.model != instance.model:
            return RetentionEnd.OTHER_MEMBERSHIP
    if status is None:
        return RetentionEnd.NO_STATUS
    return RetentionEnd.NO_HEALTH if health is None else None


@dataclass(slots=True)
class _Retention:
    """What the holder knows of an instance without a record.

    Attributes:
        removed_at: When its record was removed, in seconds.
        query_at: When it is due to be queried, in seconds.
        inherited: Whether the previous holder retained it.
        confirmed_at: When its answers last agreed; None before that.
        stalled_at: When its group's streams were last reported as stalled.
        querying: Whether queries to it are under way.
    """

    removed_at: float
    query_at: float
    inherited: bool
    confirmed_at: float | None = None
    stalled_at: float | None = None
    querying: bool = False


class RetentionTracker:
    """Which instances the holder retains, since when, and why it stops."""

    def __init__(self) -> None:
        self._retentions: dict[InstanceId, _Retention] = {}

    def track(
        self, instance: InstanceId, removed_at: float, now: float, *, inherited: bool
    ) -> None:
        """Track an instance whose record was removed; query it at once.

        Args:
            instance: The instance.
            removed_at: When its record was removed, in seconds.
            now: Current time, in seconds.
            inherited: Whether the previous holder retained it.
        """
        if instance not in self._retentions:
            self._retentions[instance] = _Retention(removed_at, now, inherited)

    def list_tracked(self) -> list[InstanceId]:
        """Return all tracked instances."""
        return list(self._retentions)

    def list_retained(self) -> list[InstanceId]:
        """Return the instances to report as retained.

        Those of the previous holder are among them until the first decision,
        so that a change of the holder interrupts nothing.
        """
        return [
            instance
            for instance, retention in self._retentions.items()
            if retention.inherited or retention.confirmed_at is not None
        ]

    def get_age_s(self, instance: InstanceId, now: float) -> float:
        """Return the seconds since a tracked instance's record was removed."""
        return now - self._retentions[instance].removed_at

    def is_retained(self, instance: InstanceId) -> bool:
        """Return whether the answers of an instance have agreed."""
        retention = self._retentions.get(instance)
        return retention is not None and retention.confirmed_at is not None

    def end(self, instance: InstanceId) -> None:
        """Stop tracking an instance."""
        self._retentions.pop(instance, None)

    def list_expired(self, now: float) -> list[InstanceId]:
        """Return the instances that were retained for the longest time."""
        return [
            instance
            for instance, retention in self._retentions.items()
            if now - retention.removed_at > MAX_RETENTION_S
        ]

    def start_due_queries(self, now: float, limit: int) -> list[InstanceId]:
        """Return the instances to query now, which count as queried.

        Args:
            now: Current time, in seconds.
            limit: How many instances may be queried at a time. Those without
                a decision come first, since they are dropped without one.
        """
        running = sum(it.querying for it in self._retentions.values())
        due = sorted(
            (retention.confirmed_at is not None, retention.query_at, instance)
            for instance, retention in self._retentions.items()
            if not retention.querying and retention.query_at <= now
        )
        chosen = [instance for _, _, instance in due[: max(0, limit - running)]]
        for instance in chosen:
            self._retentions[instance].querying = True
        return chosen

    def apply_answers(
        self,
        instance: Instance,
        health: HealthAnswer | None,
        status: EngineStatus | None,
        now: float,
        *,
        was_delayed: bool,
    ) -> RetentionEnd | None:
        """Decide on an instance by its answers; return why it ends, or None.

        Args:
            instance: Its last record.
            health: Its health; None if it did not answer twice.
            status: Its status; None if it did not answer twice.
            now: Current time, in seconds.
            was_delayed: Whether this process was too busy to read answers in
                time. Missing answers then count only after a while.
        """
        retention = self._retentions.get(instance.id)
        if retention is None:
            return None
        retention.querying = False
        end = find_objection(instance, health, status)
        if end is None:
            retention.confirmed_at, retention.inherited = now, False
            retention.query_at = now + QUERY_INTERVAL_S
            return None
        confirmed_at = retention.confirmed_at
        if confirmed_at is None:
            confirmed_at = retention.removed_at
        is_missing = end in (RetentionEnd.NO_HEALTH, RetentionEnd.NO_STATUS)
        if was_delayed and is_missing and now - confirmed_at < MAX_UNCONFIRMED_S:
            retention.query_at = now
            return None
        return end

    def apply_stall(
        self, members: Collection[InstanceId], now: float
    ) -> list[InstanceId]:
        """Record that the streams of a group stall; return which ones to end.

        The tracked members are queried at once. If the streams stall again
        although they have answered meanwhile, the answers are wrong.
        """
        ended = []
        for instance in members:
            retention = self._retentions.get(instance)
            if retention is None:
                continue
            before, retention.stalled_at = retention.stalled_at, now
            retention.query_at = now
            if before is None or now - before > STALL_MEMORY_S:
                continue
            if retention.confirmed_at is not None and retention.confirmed_at > before:
                ended.append(instance)
        return ended

    def list_gone(self, kept: Mapping[InstanceId, float]) -> list[InstanceId]:
        """Return the tracked instances that are no longer kept."""
        return [instance for instance in self._retentions if instance not in kept]
