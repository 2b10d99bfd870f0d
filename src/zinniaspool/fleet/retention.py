"""The instances that a view keeps although their records were removed."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

import structlog
from result import Err

from zinniaspool.core.fleet import (
    EngineStatus,
    Instance,
    InstanceId,
    InstanceTable,
    LeavingRuns,
    Membership,
    MembershipState,
    MirrorChange,
    RemovedInstances,
    RetainedStates,
    ServiceSpec,
    is_same_membership,
    may_retain,
)
from zinniaspool.fleet.spelling import FleetCodec

__all__ = ["RecordRetention", "RetentionTimer"]

_log = structlog.get_logger(__name__)

MIN_TIMER_S = 0.01
"""Shortest delay of the timer, in seconds. The loop's clock and the one on
which instances are kept may differ by a fraction of it; without a least delay
the timer would fire again and again until both agree."""


class RecordRetention:
    """Keeps instances whose records were removed, as the holder decides.

    Args:
        codec: Decodes the records of instances.
        table: The instances of the view.
        leaving: The runs of instances that leave.
        clock: Returns seconds on a clock that goes on while the VM is
            suspended.
        is_enabled: Whether instances may be kept at all.
    """

    def __init__(
        self,
        codec: FleetCodec,
        table: InstanceTable,
        leaving: LeavingRuns,
        clock: Callable[[], float],
        *,
        is_enabled: bool,
    ) -> None:
        self.is_enabled = is_enabled
        self.clock = clock
        self._codec = codec
        self._table = table
        self._leaving = leaving
        self._removed = RemovedInstances()
        self._report_changed = False

    @property
    def retained(self) -> RetainedStates:
        """The instances that the holder retains, by its last report."""
        return self._removed.get_retained(self.clock())

    def list_kept(self) -> dict[InstanceId, float]:
        """Return the kept instances, with the times of their removal."""
        return dict(self._removed.kept)

    def find_recent(self, instance: InstanceId) -> Instance | None:
        """Return an instance that is known or was removed lately, or None."""
        known = self._table.by_id.get(instance)
        if known is not None or not self._removed.is_recent(instance, self.clock()):
            return known
        return self._decode(instance)

    def remember(self, change: MirrorChange) -> None:
        """Remember the last record of an instance until it has another one.

        A removal that was deferred after an outage of the store is old
        already, so that its instance isn't kept for longer.
        """
        if not self.is_enabled or change.was_deferred:
            return
        instance = self._find_id(change.key)
        if change.before is not None and change.after is None:
            self._removed.remember(instance, change.before.value, self.clock())
        elif change.after is not None and not self._removed.is_kept(instance):
            self._removed.forget(instance)

    def forget(self, instance: InstanceId) -> None:
        """Forget a removal, since a later record has arrived."""
        self._removed.forget(instance)

    def drop(self, instance: InstanceId) -> None:
        """Stop keeping an instance."""
        self._removed.drop(instance)

    def keep(self, known: Instance, service: ServiceSpec | None) -> bool:
        """Return whether an instance whose record was removed now is kept.

        Args:
            known: The instance as its last record has it.
            service: The specification of its service, if that is known.
        """
        if self._removed.get_record(known.id) is None:
            return False
        if not _is_queried(service) or not may_retain(known):
            return False
        return self._removed.keep(known.id, self.clock())

    def is_kept(self, instance: InstanceId) -> bool:
        """Return whether an instance is kept without a record."""
        return self._removed.is_kept(instance)

    def adopt_recent(
        self, find_service: Callable[[Instance], ServiceSpec | None]
    ) -> None:
        """Keep what was removed lately until the new holder has decided."""
        now = self.clock()
        for instance in self._removed.list_recent(now):
            known = self._decode(instance)
            if known is None or instance in self._table.by_id:
                continue
            if _is_queried(find_service(known)) and may_retain(known):
                self._table.put(known)
                self._removed.adopt(instance, now)
        self._apply_states()

    def receive_report(self, retained: RetainedStates, age_s: float) -> None:
        """Take the holder's report, before the changes that came with it.

        Args:
            retained: All instances that the holder retains.
            age_s: The report's age, in seconds.
        """
        now = self.clock()
        if self.is_enabled and self._removed.apply_report(retained, now - age_s, now):
            self._report_changed = True

    def collect_report_change(self) -> bool:
        """Return whether the report has changed since the last call."""
        changed, self._report_changed = self._report_changed, False
        return changed

    def list_due(self) -> list[InstanceId]:
        """Return the kept instances that must be dropped now."""
        return self._removed.list_due(self.clock())

    def restore_missing(self) -> bool:
        """Put retained instances back; return whether anything changed."""
        now, changed = self.clock(), False
        for instance in self._removed.list_missing(now):
            known = self._decode(instance)
            if known is None or instance in self._table.by_id:
                continue
            self._table.put(known)
            self._removed.adopt(instance, now)
            _log.info("instance-restored", instance=instance)
            changed = True
        return self._apply_states() or changed

    def apply_status(self, known: Instance, status: EngineStatus) -> bool:
        """Apply a kept member's status; return whether it changed anything.

        Only its state in its group can change. A member of another group, or
        one that has restarted, is not retained: the holder decides that.
        """
        if not self._removed.is_kept(known.id) or status.membership is None:
            return False
        if status.born != known.started_at_ms:
            return False
        if not is_same_membership(known.membership, status.membership):
            return False
        return self._set_state(known, status.membership.state)

    def find_delay_s(self) -> float | None:
        """Return the seconds until an instance may have to be dropped."""
        due_at = self._removed.find_next_due(self.clock())
        return None if due_at is None else max(MIN_TIMER_S, due_at - self.clock())

    def _apply_states(self) -> bool:
        changed = False
        for instance, state in self.retained.items():
            known = self._table.by_id.get(instance)
            if known is not None and self._removed.is_kept(instance):
                changed = self._set_state(known, state) or changed
        return changed

    def _set_state(self, known: Instance, state: MembershipState) -> bool:
        before = known.membership
        if before is None or before.state is state:
            return False
        membership = Membership(before.group, before.epoch, before.rank, state)
        self._table.put(replace(known, membership=membership))
        return True

    def _decode(self, instance: InstanceId) -> Instance | None:
        record = self._removed.get_record(instance)
        if record is None:
            return None
        key = self._codec.instances_prefix + instance
        decoded = self._codec.decode_instance(key, record.value)
        if isinstance(decoded, Err):
            _log.warning("entry-unreadable", key=key, reason=decoded.err_value)
            return None
        return self._leaving.mark(decoded.ok_value)

    def _find_id(self, key: str) -> InstanceId:
        return InstanceId(key.removeprefix(self._codec.instances_prefix))


class RetentionTimer:
    """Has kept instances dropped in time, also while no update arrives.

    Args:
        retention: The kept instances.
        settle: Drops the instances that nothing keeps any more.
    """

    def __init__(self, retention: RecordRetention, settle: Callable[[], None]) -> None:
        self._retention = retention
        self._settle = settle
        self._handle: asyncio.TimerHandle | None = None

    def schedule(self) -> None:
        """Set the timer to the next instance that may have to be dropped."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
        delay_s = self._retention.find_delay_s()
        if delay_s is not None:
            loop = asyncio.get_running_loop()
            self._handle = loop.call_later(delay_s, self._fire)

    def _fire(self) -> None:
        self._handle = None
        self._settle()
        self.schedule()


def _is_queried(service: ServiceSpec | None) -> bool:
    """Return whether instances of a service are queried for their health.

    Plain services have no groups that would end with their instances.
    """
    return (
        service is not None
        and service.engine is not None
        and service.health_path is not None
    )
