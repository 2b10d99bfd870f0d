"""For how long a process keeps instances whose records were removed.

A record expires when its upstream has lost the store for some seconds. The
upstream may still serve, or it may be leaving; the store shows both in the
same way. The holder finds out and reports which instances it retains. Until
its decision arrives, every process keeps the instance for a short time.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from zinniaspool.core.fleet.instances import InstanceId, MembershipState

__all__ = ["RemovedInstances", "RemovedRecord", "RetainedStates"]

RetainedStates = Mapping[InstanceId, MembershipState]
"""The instances that the holder retains, with the state of each in its group.
Their records are missing, so no other message reports that a group closes."""

GRACE_S = 0.8
"""For how long a process keeps a removed instance without the holder's
decision, in seconds. The holder's queries take 0.57 s at most; the rest covers
the way of the removal to the holder and of the decision back."""

MAX_UNHEARD_S = 1.1
"""Age of the holder's last heartbeat up to which a removed instance is kept
without its decision, in seconds. The heartbeat takes up to three waits of
0.25 s on the way through a relay and a control process. With the grace, a
process that was cut off keeps an instance for less than 2 s after its
removal."""

REPORT_TTL_S = 1.5
"""For how long the holder's last report is used, in seconds: the age that its
heartbeat may have at other processes, and the time of an election after the
holder has ended. Without an expiry, processes that are cut off from the holder
would go on sending requests to an instance that leaves."""

RECENT_S = 2.0
"""Age of a removal up to which a new holder queries the instance, in seconds,
although its predecessor did not report it as retained."""

REMEMBERED_S = 15.0
"""For how long a removed record is remembered, in seconds: longer than any
instance is retained."""

MAX_REMEMBERED = 1024
"""Removed records that are remembered: more than instances of the largest
fleet that is planned for."""


@dataclass(frozen=True, slots=True)
class RemovedRecord:
    """The last record of an instance before its removal.

    Attributes:
        value: The record as the store had it.
        removed_at: When this process learned of the removal, in seconds.
    """

    value: bytes
    removed_at: float


@dataclass(slots=True)
class _Kept:
    """An instance that this process keeps without a record.

    Attributes:
        since: When this process began to keep it, in seconds.
        was_retained: Whether the holder has reported it as retained since.
    """

    since: float
    was_retained: bool = False


class RemovedInstances:
    """Which removed instances a process keeps, and which it must drop now.

    All times are of one clock that goes on while the VM is suspended.
    """

    def __init__(self) -> None:
        self._records: dict[InstanceId, RemovedRecord] = {}
        self._kept: dict[InstanceId, _Kept] = {}
        self._retained: dict[InstanceId, MembershipState] = {}
        self._reported_at = float("-inf")
        self._unheard_s = float("inf")

    @property
    def kept(self) -> Mapping[InstanceId, float]:
        """The kept instances, with the times of their removal."""
        return {instance: self._records[instance].removed_at for instance in self._kept}

    def is_kept(self, instance: InstanceId) -> bool:
        """Return whether an instance is kept without a record."""
        return instance in self._kept

    def get_record(self, instance: InstanceId) -> RemovedRecord | None:
        """Return the remembered record of a removed instance, or None."""
        return self._records.get(instance)

    def is_recent(self, instance: InstanceId, now: float) -> bool:
        """Return whether an instance was removed lately enough to be kept."""
        record = self._records.get(instance)
        return record is not None and now - record.removed_at <= REMEMBERED_S

    def get_retained(self, now: float) -> RetainedStates:
        """Return the holder's last report; empty once it is too old."""
        return self._retained if now < self._reported_at + REPORT_TTL_S else {}

    def remember(self, instance: InstanceId, value: bytes, now: float) -> None:
        """Remember the last record of an instance that was removed now."""
        for name, record in list(self._records.items()):
            is_recent = now - record.removed_at <= REMEMBERED_S
            if is_recent and len(self._records) < MAX_REMEMBERED:
                break
            if name not in self._kept:
                del self._records[name]
        self._records.pop(instance, None)
        self._records[instance] = RemovedRecord(value, now)

    def forget(self, instance: InstanceId) -> None:
        """Forget a removal, since a later record has arrived."""
        self._records.pop(instance, None)
        self._kept.pop(instance, None)

    def keep(self, instance: InstanceId, now: float) -> bool:
        """Return whether an instance whose record was removed is kept.

        Its last record must be remembered.
        """
        retained = instance in self.get_retained(now)
        unheard_s = max(now - self._reported_at, self._unheard_s)
        if not retained and unheard_s > MAX_UNHEARD_S:
            return False
        self._kept[instance] = _Kept(now, retained)
        return True

    def adopt(self, instance: InstanceId, now: float) -> None:
        """Keep a remembered instance that a holder retains or will query."""
        self._kept[instance] = _Kept(now)

    def drop(self, instance: InstanceId) -> None:
        """Stop keeping an instance."""
        self._kept.pop(instance, None)

    def apply_report(
        self, retained: RetainedStates, reported_at: float, now: float
    ) -> bool:
        """Replace the holder's report, unless a later one is known.

        Args:
            retained: All instances that the holder retains.
            reported_at: When the holder reported them, in seconds.
            now: Current time, in seconds.

        Returns:
            Whether other instances, or other states, are reported now.
        """
        if reported_at < self._reported_at:
            return False
        if reported_at > self._reported_at:
            self._unheard_s = now - self._reported_at
        changed = retained != self.get_retained(now)
        self._retained, self._reported_at = dict(retained), reported_at
        return changed

    def list_due(self, now: float) -> list[InstanceId]:
        """Return the kept instances that must be dropped now.

        An instance that was retained is dropped as soon as it is no longer
        reported, and any other at the end of its grace.
        """
        retained = self.get_retained(now)
        due = []
        for instance, kept in self._kept.items():
            if instance in retained:
                kept.was_retained = True
            elif kept.was_retained or now >= kept.since + GRACE_S:
                due.append(instance)
        return due

    def list_missing(self, now: float) -> list[InstanceId]:
        """Return the retained instances that this process has dropped."""
        return [
            instance
            for instance in self.get_retained(now)
            if instance in self._records and instance not in self._kept
        ]

    def list_recent(self, now: float) -> list[InstanceId]:
        """Return the removed instances that a new holder queries."""
        retained = self.get_retained(now)
        return [
            instance
            for instance, record in self._records.items()
            if instance in retained or now - record.removed_at <= RECENT_S
        ]

    def find_next_due(self, now: float) -> float | None:
        """Return when an instance must be dropped next unless reported."""
        retained = self.get_retained(now)
        return min(
            (
                self._reported_at + REPORT_TTL_S
                if instance in retained
                else kept.since + GRACE_S
                for instance, kept in self._kept.items()
            ),
            default=None,
        )
