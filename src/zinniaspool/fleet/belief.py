"""A process's view of the fleet, decoded once from its mirror of the store.

Each process mirrors the keys of the store that all processes share. The view
decodes them into the configuration, the instances and the processes, and calls
its listeners when any of these changes.
"""

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from typing import TypeVar

import structlog
from result import Err

from zinniaspool.core.decoding import decode_json
from zinniaspool.core.fleet import (
    HELD_PREFIX,
    HOLDER_KEY,
    NODES_PREFIX,
    PLANS_PREFIX,
    Catalog,
    EngineStatus,
    HolderRecord,
    Instance,
    InstanceId,
    InstanceIncarnation,
    InstanceState,
    InstanceTable,
    LeavingRun,
    LeavingRuns,
    LeavingSource,
    MirrorChange,
    NodeRecord,
    RetainedStates,
    ServiceSpec,
    StoredItem,
    StoreMirror,
    has_restarted,
)
from zinniaspool.core.generations import format_revision
from zinniaspool.core.ids import FailureDomainId, NodeId, TraitId
from zinniaspool.core.messages.fleet import LeavingInstance
from zinniaspool.fleet.evacuations import EvacuationOrders
from zinniaspool.fleet.listeners import call_listeners
from zinniaspool.fleet.retention import RecordRetention
from zinniaspool.fleet.sight import read_boot_clock
from zinniaspool.fleet.spelling import FleetCodec
from zinniaspool.fleet.unreadable import UnreadableValues, ValueKind

__all__ = ["FleetView", "RecordArrival"]

_log = structlog.get_logger(__name__)
_RecordT = TypeVar("_RecordT", NodeRecord, HolderRecord)

UNREACHABLE_TTL_S = 4.0
"""For how long the holder's last list of unreachable instances is used, in
seconds. The record of an instance that has ended lapses within this time. A
list without an expiry would exclude a live instance for good if the holder
failed before it withdrew the report."""

_NEVER_CONFIRMED_S = -1e6
"""Time of the last confirmation while there is none yet: far in the past."""

LEAVING_REPORTED_S = 60.0
"""For how long followers are sent a run that leaves and has no record, in
seconds. Its record may return until it has ended."""

MAX_KNOWN_INCARNATIONS = 4096
"""Instances whose newest start time is remembered, also after their records
are removed: several times those of the largest fleet that is planned for."""


@dataclass(frozen=True, slots=True)
class RecordArrival:
    """An instance's record that has arrived in this process.

    Attributes:
        instance: The decoded record.
        is_written: Whether the instance has written it since the one before.
            A record may also be amended by an engine's status.
        is_new: Whether the record is the first of this incarnation.
    """

    instance: Instance
    is_written: bool
    is_new: bool


class FleetView:
    """Configuration, instances and processes, as the mirrored store has them.

    Args:
        codec: Decodes records that instances and operators write.
        decodes_instances: Whether instance records are decoded as they
            arrive. A process that only relays the mirror doesn't need them,
            and there are more of them, and more changes to them, than of
            everything else together.
        retains_instances: Whether instances are kept for a while after their
            records were removed, as the holder decides.
        clock: Returns seconds on a clock that goes on while the VM is
            suspended.

    Attributes:
        mirror: The local copy of the store.
        catalog: The active configuration; None until it is known.
        instance_table: All instances.
        nodes: Entry processes, by VM.
        holder: The process that plans groups.
        on_catalog: Called after the configuration's key changed.
        on_record: Called with each usable record as it arrives.
        on_instances: Called after instances or their reachability changed.
        on_nodes: Called after an entry process or the holder changed.
        on_change: Called after any change.
        on_leaving: Called with each run of an instance that begins to leave.
        on_evacuation: Called with the failure domains whose evacuation began
            and those whose evacuation ended, before ``on_instances``.
        quarantined: Traits whose requests are recorded as sent to no upstream.
        on_quarantine: Called with the traits that were added to and removed
            from the quarantine.
        on_restored: Called after the store came back from an older copy, with
            the quarantined traits whose records it has lost.
        restored_at: When this process learned of the last restore, on the
            clock that goes on while the VM is suspended.
        store_confirmed_at: When the store last answered this process itself,
            on the clock that goes on while the VM is suspended.
        unreachable: Instances that the holder reports as unreachable. It
            notices seconds before their records lapse; without its report
            each process would send requests there until it notices by itself.
        retention: The instances that are kept without a record.
        leaving: The runs of instances that have said that they leave. Their
            instances are in the leaving state, whatever their records say.
        unreadable: The values in the store that can't be used.
    """

    def __init__(
        self,
        codec: FleetCodec,
        *,
        decodes_instances: bool = True,
        retains_instances: bool = False,
        clock: Callable[[], float] = read_boot_clock,
    ) -> None:
        self._codec = codec
        self._decodes_instances = decodes_instances
        self._clock = clock
        self.leaving = LeavingRuns()
        self.unreadable = UnreadableValues()
        self.mirror = StoreMirror(self._is_ephemeral)
        self.catalog: Catalog | None = None
        self.instance_table = InstanceTable()
        self.retention = RecordRetention(
            codec,
            self.instance_table,
            self.leaving,
            clock,
            is_enabled=retains_instances,
        )
        self.nodes: dict[NodeId, NodeRecord] = {}
        self.holder: HolderRecord | None = None
        self.on_catalog: list[Callable[[], None]] = []
        self.on_record: list[Callable[[RecordArrival], None]] = []
        self.on_instances: list[Callable[[], None]] = []
        self.on_nodes: list[Callable[[], None]] = []
        self.on_leaving: list[Callable[[InstanceIncarnation], None]] = []
        self.on_change: list[Callable[[], None]] = []
        self._evacuations = EvacuationOrders(codec.evacuations_prefix)
        self.on_evacuation = self._evacuations.listeners
        self.quarantined: frozenset[TraitId] = frozenset()
        self.on_quarantine: list[
            Callable[[frozenset[TraitId], frozenset[TraitId]], None]
        ] = []
        self.on_restored: list[Callable[[frozenset[TraitId]], None]] = []
        self.restored_at = _NEVER_CONFIRMED_S
        self._generation: int | None = None
        self.store_confirmed_at = _NEVER_CONFIRMED_S
        self.unreachable: frozenset[InstanceId] = frozenset()
        self._unreachable_reported_at = _NEVER_CONFIRMED_S
        self._confirmed_at = _NEVER_CONFIRMED_S
        self._newest_starts: dict[InstanceId, int] = {}

    @property
    def instances(self) -> Mapping[InstanceId, Instance]:
        """All instances by their ids."""
        return self.instance_table.by_id

    @property
    def is_configuration_unreadable(self) -> bool:
        """Whether the store has a configuration, and this process has none."""
        return self.catalog is None and bool(self.mirror.get(self._codec.rules_key))

    @property
    def evacuated(self) -> frozenset[FailureDomainId]:
        """Failure domains whose upstreams must get no requests."""
        return self._evacuations.domains

    def start_decoding_instances(self) -> None:
        """Decode all instances now, and later changes as they arrive."""
        self._decodes_instances = True
        for item in self.mirror.list_by_prefix(self._codec.instances_prefix):
            self._apply_instance(MirrorChange(item.key, None, item))
        self.retention.adopt_recent(self._find_service)

    def stop_decoding_instances(self) -> None:
        """Stop decoding instances and forget the known ones."""
        self._decodes_instances = False
        self.unreadable.forget(ValueKind.INSTANCE)
        for instance in list(self.instances):
            self.retention.drop(instance)
            self.instance_table.remove(instance)

    def record_confirmation(self, confirmed_at: float) -> None:
        """Record that the whole view was up to date.

        Args:
            confirmed_at: When it was, in seconds.
        """
        self._confirmed_at = max(self._confirmed_at, confirmed_at)

    def record_store_confirmation(self, confirmed_at: float) -> None:
        """Record that the store itself confirmed the view.

        Args:
            confirmed_at: When it did, in seconds.
        """
        self.record_confirmation(confirmed_at)
        self.store_confirmed_at = read_boot_clock()

    def apply_status(self, instance: InstanceId, status: EngineStatus) -> None:
        """Apply an engine's status report where its record is out of date."""
        if status.is_leaving:
            self.record_leaving(
                InstanceIncarnation(instance, status.born), LeavingSource.STATUS
            )
        key = self._codec.instances_prefix + instance
        item, known = self.mirror.get(key), self.instances.get(instance)
        if known is None:
            return
        if item is None:
            if self.retention.apply_status(known, status):
                self._notify(self.on_instances)
            return
        if self._is_outdated(instance, status.born):
            return
        reported = (status.membership, status.model, status.staged)
        same = reported == (known.membership, known.model, known.staged)
        if same and not has_restarted(known.started_at_ms, status.born):
            return
        updated = self._codec.apply_status(item.value, status)
        if isinstance(updated, Err):
            self.unreadable.reject(ValueKind.INSTANCE, key, updated.err_value)
            return
        self.apply_changes(self.mirror.amend(key, updated.ok_value))

    def record_leaving(
        self,
        incarnation: InstanceIncarnation,
        source: LeavingSource,
        reported_by: NodeId | None = None,
    ) -> bool:
        """Record that a run of an instance has said that it leaves.

        Args:
            incarnation: The run.
            source: How this process learned it.
            reported_by: VM that reported it; None if from the instance itself.

        Returns:
            Whether that was unknown.
        """
        if not self._add_leaving(incarnation, source, reported_by):
            return False
        known = self.instances.get(incarnation.instance)
        if known is not None:
            self.instance_table.put(self.leaving.mark(known))
        self._notify(self.on_instances)
        return True

    def list_leaving_since(self, serial: int) -> list[LeavingRun]:
        """Return the runs that began to leave after a serial of the mirror.

        Those are left out that the store's records show, and those that have
        most likely ended: there may be hundreds of them a day.
        """
        now, prefix = self._clock(), self._codec.instances_prefix
        return [
            run
            for run in self.leaving.list_since(serial)
            if now - run.learned_at <= LEAVING_REPORTED_S
            or self.mirror.get(prefix + run.incarnation.instance) is not None
        ]

    def apply_leaving_report(
        self, report: LeavingInstance, source: LeavingSource
    ) -> None:
        """Apply another process's report of a run that leaves."""
        incarnation = InstanceIncarnation(report.instance, report.born)
        self.record_leaving(incarnation, source, report.node)

    def _add_leaving(
        self,
        incarnation: InstanceIncarnation,
        source: LeavingSource,
        reported_by: NodeId | None = None,
    ) -> bool:
        if self._is_outdated(*incarnation):
            return False
        serial = self.mirror.serial + 1
        run = LeavingRun(incarnation, source, self._clock(), reported_by, serial)
        if not self.leaving.record(run):
            return False
        # Followers are sent the run, though no key has changed.
        self.mirror.bump_serial()
        _log.info(
            "instance-leaving",
            instance=incarnation.instance,
            born=incarnation.started_at_ms or 0,
            by=source.value,
            told_by=reported_by or "",
        )
        call_listeners(self.on_leaving, incarnation)
        return True

    def measure_leaving(self, incarnation: InstanceIncarnation) -> float | None:
        """Return for how long a run is known to leave, in seconds.

        Returns:
            None if it isn't known to leave.
        """
        run = self.leaving.find(incarnation)
        return None if run is None else self._clock() - run.learned_at

    def update_unreachable(
        self, unreachable: Collection[InstanceId], reported_at: float
    ) -> None:
        """Replace the list of unreachable instances, unless it is outdated.

        Args:
            unreachable: All instances that the holder reports as unreachable.
            reported_at: When it reported them, in seconds.
        """
        if reported_at < self._unreachable_reported_at:
            return
        self._unreachable_reported_at = reported_at
        self._set_unreachable(frozenset(unreachable))

    def expire_unreachable(self, now: float) -> None:
        """Discard the holder's list of unreachable instances if it is old."""
        if self.unreachable and now - self._unreachable_reported_at > UNREACHABLE_TTL_S:
            self._set_unreachable(frozenset())

    def _set_unreachable(self, unreachable: frozenset[InstanceId]) -> None:
        if unreachable == self.unreachable:
            return
        _log.info(
            "instances-lost",
            lost=",".join(sorted(unreachable - self.unreachable)),
            back=",".join(sorted(self.unreachable - unreachable)),
        )
        self.unreachable = unreachable
        self.mirror.bump_serial()
        self.instance_table.set_unreachable(unreachable)
        self._notify(self.on_instances)

    def update_retained(self, retained: RetainedStates, age_s: float) -> None:
        """Replace the list of retained instances, unless it is outdated.

        Args:
            retained: All instances that the holder retains.
            age_s: How long ago the holder reported them, in seconds.
        """
        self.retention.receive_report(retained, age_s)
        self.settle_retained()

    def settle_retained(self) -> None:
        """Drop the removed instances that nothing keeps any more."""
        if not self.retention.is_enabled:
            return
        report_changed = self.retention.collect_report_change()
        if report_changed:
            _log.info(
                "instances-retained", retained=",".join(sorted(self.retention.retained))
            )
            # Followers are sent the new list, though no key has changed.
            self.mirror.bump_serial()
        dropped = self.retention.list_due()
        for instance in dropped:
            self._remove_instance(instance)
        restored = self._decodes_instances and self.retention.restore_missing()
        if dropped or restored:
            self._notify(self.on_instances)
        elif report_changed:
            self._notify([])

    def drop_removed(self, instance: InstanceId) -> None:
        """Drop an instance that was kept although its record was removed."""
        if self.retention.is_kept(instance):
            self._remove_instance(instance)
            self._notify(self.on_instances)

    def _notify(self, listeners: list[Callable[[], None]]) -> None:
        call_listeners((*listeners, *self.on_change))

    def _find_service(self, instance: Instance) -> ServiceSpec | None:
        if self.catalog is None:
            return None
        return self.catalog.services.get(instance.service)

    def has_ended(self, instance: InstanceId, started_at_ms: int | None) -> bool:
        """Return whether an incarnation of an instance has ended.

        It has if the instance is unknown or has started again since.
        """
        known = self.instances.get(instance)
        return known is None or has_restarted(started_at_ms, known.started_at_ms)

    def compute_age_s(self, now: float) -> float:
        """Return the seconds since the view was last confirmed."""
        return now - self._confirmed_at

    def apply_changes(self, changes: list[MirrorChange]) -> None:
        """Apply changes of the mirror to the view and call the listeners."""
        listeners: set[int] = set()
        quarantined = set(self.quarantined)
        lost_traits: set[TraitId] = set()
        is_restored = self._update_generation()
        for change in changes:
            if change.key == self._codec.rules_key:
                self._apply_rules(change)
                listeners.add(0)
            elif change.key.startswith(self._codec.instances_prefix):
                if is_restored and self._is_overtaken(change):
                    continue
                self.retention.remember(change)
                if self._decodes_instances:
                    self._apply_instance(change)
                    listeners.add(1)
            elif change.key.startswith(NODES_PREFIX):
                self._apply_node(change)
                listeners.add(2)
            elif change.key.startswith(HELD_PREFIX):
                trait = TraitId(change.key.removeprefix(HELD_PREFIX))
                if change.after is not None:
                    quarantined.add(trait)
                    continue
                self.unreadable.accept(change.key)
                quarantined.discard(trait)
                if is_restored:
                    lost_traits.add(trait)
            elif change.key.startswith(PLANS_PREFIX):
                # The next holder reads the plan that replaces it.
                self.unreadable.accept(change.key)
            elif change.key == HOLDER_KEY:
                self._apply_holder(change)
                listeners.add(2)
        # Before the other listeners: a target that arrives with the same
        # changes must not get a request first.
        self._evacuations.apply_changes(changes, self._knows_domain)
        for number, group in enumerate(
            (self.on_catalog, self.on_instances, self.on_nodes)
        ):
            if number in listeners:
                call_listeners(group)
        self._set_quarantined(frozenset(quarantined), frozenset(lost_traits))
        if is_restored:
            call_listeners(self.on_restored, frozenset(lost_traits))
        if changes:
            call_listeners(self.on_change)

    def _update_generation(self) -> bool:
        """Return whether the mirror now shows another generation."""
        before, generation = self._generation, self.mirror.generation
        if not self.mirror.is_loaded or generation == before:
            return False
        self._generation = generation
        if before is None:
            return False
        self.restored_at = read_boot_clock()
        _log.warning("mirror-restored", generation=generation, before=before)
        return True

    def _is_overtaken(self, change: MirrorChange) -> bool:
        """Keep what is known of an instance if the restored record is older.

        The instance writes its record again within seconds. Until then an
        upstream that is leaving would get requests again.
        """
        if change.before is None or change.after is None:
            return False
        known = self._codec.decode_instance(change.key, change.before.value)
        restored = self._codec.decode_instance(change.key, change.after.value)
        if isinstance(known, Err) or isinstance(restored, Err):
            return False
        if not restored.ok_value.is_overtaken_by(known.ok_value):
            return False
        self.mirror.amend(change.key, change.before.value)
        return True

    def _knows_domain(self, domain: FailureDomainId) -> bool:
        """Return whether an instance or an entry VM is in a failure domain.

        A process that doesn't decode instances can't tell.
        """
        if not self._decodes_instances:
            return True
        domains = {instance.failure_domain for instance in self.instances.values()}
        return domain in domains or any(
            node.failure_domain == domain for node in self.nodes.values()
        )

    def _set_quarantined(
        self, quarantined: frozenset[TraitId], lost: frozenset[TraitId]
    ) -> None:
        """Set the recorded traits, of which lost records release nothing."""
        before, self.quarantined = self.quarantined, quarantined
        added, removed = quarantined - before, before - quarantined - lost
        if not added and not removed:
            return
        call_listeners(self.on_quarantine, added, removed)

    def _apply_rules(self, change: MirrorChange) -> None:
        if change.after is None:
            return
        decoded = self._codec.decode_rules(change.after.value)
        if isinstance(decoded, Err):
            # Only valid configurations are written to the store; the active
            # one stays in effect until a new one can be decoded.
            self.unreadable.reject(
                ValueKind.CONFIGURATION, change.key, decoded.err_value
            )
            return
        self.unreadable.accept(change.key)
        catalog = decoded.ok_value
        if self.catalog is not None and catalog.version < self.catalog.version:
            _log.warning(
                "configuration-outdated",
                version=catalog.version,
                in_force=self.catalog.version,
                revision=format_revision(change.after.revision),
            )
            return
        self.catalog = catalog
        _log.info(
            "configuration-in-force",
            version=catalog.version,
            revision=format_revision(change.after.revision),
        )

    def _apply_instance(self, change: MirrorChange) -> None:
        instance = InstanceId(change.key.removeprefix(self._codec.instances_prefix))
        if change.after is None:
            self.unreadable.accept(change.key)
            if not self._keep_removed(instance):
                self._remove_instance(instance)
            return
        decoded = self._codec.decode_instance(change.key, change.after.value)
        if isinstance(decoded, Err):
            self._reject_record(instance, change.key, decoded.err_value)
            return
        record = decoded.ok_value
        if self._is_outdated(instance, record.started_at_ms):
            self._reject_record(
                instance, change.key, "written by an earlier incarnation", keep=True
            )
            self._apply_leaving_without_start(record)
            return
        self.unreadable.accept(change.key)
        is_new = self._record_start(instance, record.started_at_ms)
        incarnation = InstanceIncarnation(instance, record.started_at_ms)
        if record.state is InstanceState.LEAVING:
            self._add_leaving(incarnation, LeavingSource.RECORD)
        else:
            self.leaving.withdraw_record(incarnation)
        record = self.leaving.mark(record)
        before = self.instances.get(instance)
        self.retention.forget(instance)
        self.instance_table.put(record)
        if before is not None and before.state is not record.state:
            _log.info("instance-state", instance=instance, state=record.state.value)
        written = (
            change.before is None or change.before.revision < change.after.revision
        )
        call_listeners(self.on_record, RecordArrival(record, written, is_new))

    def _apply_leaving_without_start(self, record: Instance) -> None:
        """Close an instance at whose address a record says that it leaves.

        The record isn't used otherwise, since it may be of an earlier run.
        """
        known = self.instances.get(record.id)
        if (
            known is not None
            and record.started_at_ms is None
            and record.state is InstanceState.LEAVING
            and record.address == known.address
        ):
            incarnation = InstanceIncarnation(known.id, known.started_at_ms)
            self._add_leaving(incarnation, LeavingSource.RECORD)
            self.instance_table.put(self.leaving.mark(known))

    def _reject_record(
        self, instance: InstanceId, key: str, reason: str, *, keep: bool = False
    ) -> None:
        """Reject a record; the records of other instances stay in use.

        Args:
            instance: The instance that the key names.
            key: The record's key.
            reason: Why the record is rejected.
            keep: Whether the known state of the instance stays in use.
        """
        self.unreadable.reject(ValueKind.INSTANCE, key, reason)
        if not keep:
            self._remove_instance(instance)

    def _keep_removed(self, instance: InstanceId) -> bool:
        """Return whether an instance is kept though its record was removed."""
        known = self.instances.get(instance)
        if known is None or instance in self.unreachable:
            return False
        return self.retention.keep(known, self._find_service(known))

    def _remove_instance(self, instance: InstanceId) -> None:
        self.retention.drop(instance)
        if self.instance_table.remove(instance) is not None:
            _log.info("instance-gone", instance=instance)

    def _is_outdated(self, instance: InstanceId, started_at_ms: int | None) -> bool:
        """Return whether data is of an earlier incarnation than the newest.

        A write from before a restart can arrive after it. The instance is no
        longer in that group and no longer has that model loaded.
        """
        newest = self._newest_starts.get(instance)
        return newest is not None and (started_at_ms is None or started_at_ms < newest)

    def _record_start(self, instance: InstanceId, started_at_ms: int | None) -> bool:
        """Record an incarnation's start; return whether it was unknown."""
        if started_at_ms is None:
            return False
        before = self._newest_starts.pop(instance, None)
        self._newest_starts[instance] = started_at_ms
        if has_restarted(before, started_at_ms):
            _log.info("instance-reborn", instance=instance, born=started_at_ms)
        if len(self._newest_starts) > MAX_KNOWN_INCARNATIONS:
            del self._newest_starts[next(iter(self._newest_starts))]
        return before != started_at_ms

    def _apply_node(self, change: MirrorChange) -> None:
        node = NodeId(change.key.removeprefix(NODES_PREFIX))
        if change.after is None:
            self.unreadable.accept(change.key)
            self.nodes.pop(node, None)
            return
        record = self._decode(change.after, NodeRecord, ValueKind.NODE)
        if record is not None:
            self.nodes[node] = record

    def _is_ephemeral(self, key: str) -> bool:
        """Return whether a key lapses unless its owner renews a lease."""
        return key.startswith((self._codec.instances_prefix, NODES_PREFIX))

    def _apply_holder(self, change: MirrorChange) -> None:
        if change.after is None:
            self.unreadable.accept(change.key)
            self.holder = None
        else:
            self.holder = self._decode(change.after, HolderRecord, ValueKind.HOLDER)
        node = None if self.holder is None else self.holder.node
        _log.info("holder-changed", holder=node or "none")

    def _decode(
        self, item: StoredItem, record_type: type[_RecordT], kind: ValueKind
    ) -> _RecordT | None:
        decoded = decode_json(item.value, record_type)
        if isinstance(decoded, Err):
            self.unreadable.reject(kind, item.key, decoded.err_value)
            return None
        fault = decoded.ok_value.find_fault()
        if fault is not None:
            self.unreadable.reject(kind, item.key, fault)
            return None
        self.unreadable.accept(item.key)
        return decoded.ok_value
