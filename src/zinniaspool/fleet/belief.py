"""What a process believes of the fleet, decoded once from the store's copy."""

from collections.abc import Callable, Collection, Mapping
from typing import TypeVar

import msgspec
import structlog
from result import Err

from zinniaspool.core.fleet import (
    HELD_PREFIX,
    HOLDER_KEY,
    NODES_PREFIX,
    Catalog,
    EngineStatus,
    HolderRecord,
    Instance,
    InstanceId,
    InstanceTable,
    MirrorChange,
    NodeRecord,
    StoreMirror,
    has_restarted,
)
from zinniaspool.core.ids import ContentId, NodeId
from zinniaspool.fleet.sight import boot_time
from zinniaspool.fleet.spelling import FleetSpelling

__all__ = ["FleetBelief"]

_log = structlog.get_logger(__name__)
_T = TypeVar("_T")

LOST_TRUST_S = 4.0
"""For how long what a holder last told of lost instances is believed, in
seconds. The entry of one that is gone lapses within that; one that lives would
be left unused for good if its holder was lost before it took that back."""

_NEVER_S = -1e6
"""When what is believed was last confirmed, before it ever was: long ago."""

MOST_BIRTHS = 4096
"""Instances whose newest start is remembered, also after their entries are
gone: several times those of the largest fleet planned for."""


class FleetBelief:
    """Rules, instances and nodes as the store's copy has them.

    Args:
        spelling: Reads what others write.
        reads_instances: Whether instances are decoded as they come. A process
            that only passes the copy on has no use for them, and there are
            more of them, and more changes, than of all else.

    Attributes:
        mirror: The store's copy.
        catalog: The rules in force; None until they are known.
        book: All instances.
        nodes: Entry processes, by VM.
        holder: Who plans groups.
        held: Contents that are recorded as sent to no upstream.
        confirmed_at_boot: When the store last answered this process itself,
            on the clock that counts standstills.
        lost: Instances that the holder takes for lost. It finds out seconds
            before their entries lapse; without its word each process would
            send requests there until it has noticed by itself.
    """

    def __init__(
        self, spelling: FleetSpelling, *, reads_instances: bool = True
    ) -> None:
        self._spelling = spelling
        self._reads_instances = reads_instances
        self.mirror = StoreMirror(self._lapses)
        self.catalog: Catalog | None = None
        self.book = InstanceTable()
        self.nodes: dict[NodeId, NodeRecord] = {}
        self.holder: HolderRecord | None = None
        self.on_catalog: list[Callable[[], None]] = []
        self.on_instances: list[Callable[[], None]] = []
        self.on_nodes: list[Callable[[], None]] = []
        self.on_change: list[Callable[[], None]] = []
        self.held: frozenset[ContentId] = frozenset()
        self.on_held: list[
            Callable[[frozenset[ContentId], frozenset[ContentId]], None]
        ] = []
        self.confirmed_at_boot = _NEVER_S
        self.lost: frozenset[InstanceId] = frozenset()
        self._lost_told_at = _NEVER_S
        self._confirmed = _NEVER_S
        self._births: dict[InstanceId, int] = {}
        self._refused: dict[InstanceId, str] = {}

    @property
    def instances(self) -> Mapping[InstanceId, Instance]:
        """All instances by their ids."""
        return self.book.by_id

    def read_instances(self) -> None:
        """Decode all instances now, and from now on as they come."""
        self._reads_instances = True
        for item in self.mirror.list_by_prefix(self._spelling.entries_prefix):
            self._take_entry(MirrorChange(item.key, None, item))

    def ignore_instances(self) -> None:
        """Decode no instances from now on, and forget those that are known."""
        self._reads_instances = False
        for one in list(self.instances):
            self.book.remove(one)

    def confirm(self, at: float) -> None:
        """Note that all that is believed was so at a time, in seconds."""
        self._confirmed = max(self._confirmed, at)

    def confirm_by_store(self, at: float) -> None:
        """Note that the store itself confirmed it, at a time in seconds."""
        self.confirm(at)
        self.confirmed_at_boot = boot_time()

    def amend(self, instance: InstanceId, status: EngineStatus) -> None:
        """Believe what an engine says of itself, where its entry is behind."""
        key = self._spelling.entries_prefix + instance
        item, known = self.mirror.get(key), self.instances.get(instance)
        if item is None or known is None:
            return
        if self._is_outdated(instance, status.born):
            return
        told = (status.membership, status.model, status.staged)
        same = told == (known.membership, known.model, known.staged)
        if same and not has_restarted(known.started_at_ms, status.born):
            return
        amended = self._spelling.amend_entry(item.value, status)
        if isinstance(amended, Err):
            _log.warning("entry-unreadable", key=key, reason=amended.err_value)
            return
        self.take(self.mirror.amend(key, amended.ok_value))

    def take_lost(self, lost: Collection[InstanceId], told_at: float) -> None:
        """Believe which instances the holder takes for lost.

        Args:
            lost: All of them.
            told_at: When it said so, in seconds.
        """
        if told_at < self._lost_told_at:
            return
        self._lost_told_at = told_at
        self._set_lost(frozenset(lost))

    def expire_lost(self, now: float) -> None:
        """Forget what a holder said that has not been heard for long."""
        if self.lost and now - self._lost_told_at > LOST_TRUST_S:
            self._set_lost(frozenset())

    def _set_lost(self, lost: frozenset[InstanceId]) -> None:
        if lost == self.lost:
            return
        _log.info(
            "instances-lost",
            lost=",".join(sorted(lost - self.lost)),
            back=",".join(sorted(self.lost - lost)),
        )
        self.lost = lost
        self.mirror.bump_serial()
        self.book.set_unreachable(lost)
        for listener in (*self.on_instances, *self.on_change):
            listener()

    def is_over(self, instance: InstanceId, born: int | None) -> bool:
        """Tell whether the life of an instance that began then has ended."""
        known = self.instances.get(instance)
        return known is None or has_restarted(born, known.started_at_ms)

    def age(self, now: float) -> float:
        """Return for how many seconds nothing has confirmed the belief."""
        return now - self._confirmed

    def take(self, changes: list[MirrorChange]) -> None:
        """Take changes of the copy and tell who listens."""
        listeners: set[int] = set()
        held = set(self.held)
        for change in changes:
            if change.key == self._spelling.rules_key:
                self._take_rules(change)
                listeners.add(0)
            elif change.key.startswith(self._spelling.entries_prefix):
                if self._reads_instances:
                    self._take_entry(change)
                    listeners.add(1)
            elif change.key.startswith(NODES_PREFIX):
                self._take_node(change)
                listeners.add(2)
            elif change.key.startswith(HELD_PREFIX):
                content = ContentId(change.key.removeprefix(HELD_PREFIX))
                if change.after is None:
                    held.discard(content)
                else:
                    held.add(content)
            elif change.key == HOLDER_KEY:
                self._take_holder(change)
                listeners.add(2)
        for number, group in enumerate(
            (self.on_catalog, self.on_instances, self.on_nodes)
        ):
            if number in listeners:
                for listener in group:
                    listener()
        self._set_held(frozenset(held))
        if changes:
            for listener in self.on_change:
                listener()

    def _set_held(self, held: frozenset[ContentId]) -> None:
        before, self.held = self.held, held
        if held == before:
            return
        for listener in self.on_held:
            listener(held - before, before - held)

    def _take_rules(self, change: MirrorChange) -> None:
        if change.after is None:
            return
        read = self._spelling.read_rules(change.after.value)
        if isinstance(read, Err):
            # The store takes valid configurations only; the rules in force
            # stay until one can be read.
            _log.error(
                "configuration-unreadable",
                revision=change.after.revision,
                reason=read.err_value,
            )
            return
        catalog = read.ok_value
        if self.catalog is not None and catalog.version < self.catalog.version:
            return
        self.catalog = catalog
        _log.info(
            "configuration-in-force",
            version=catalog.version,
            revision=change.after.revision,
        )

    def _take_entry(self, change: MirrorChange) -> None:
        instance = InstanceId(change.key.removeprefix(self._spelling.entries_prefix))
        if change.after is None:
            self._refused.pop(instance, None)
            self._drop(instance)
            return
        read = self._spelling.read_entry(change.key, change.after.value)
        if isinstance(read, Err):
            self._refuse_entry(instance, change.key, read.err_value)
            return
        found = read.ok_value
        if self._is_outdated(instance, found.started_at_ms):
            self._refuse_entry(instance, change.key, "of an earlier life", keep=True)
            return
        self._refused.pop(instance, None)
        self._note_birth(instance, found.started_at_ms)
        before = self.instances.get(instance)
        self.book.put(found)
        if before is not None and before.state is not found.state:
            _log.info("instance-state", instance=instance, state=found.state.value)

    def _refuse_entry(
        self, instance: InstanceId, key: str, reason: str, *, keep: bool = False
    ) -> None:
        """Take that an entry names no instance to use; the others hold.

        Whoever writes it may do so many times a second: it is logged anew only
        for another reason.
        """
        if self._refused.get(instance) != reason:
            self._refused[instance] = reason
            _log.warning("entry-unreadable", key=key, reason=reason)
        if not keep:
            self._drop(instance)

    def _drop(self, instance: InstanceId) -> None:
        if self.book.remove(instance) is not None:
            _log.info("instance-gone", instance=instance)

    def _is_outdated(self, instance: InstanceId, born: int | None) -> bool:
        """Tell whether something is of an earlier life than the newest known.

        A write from before a restart can come in after it. Its group and its
        model are held by nobody any more.
        """
        newest = self._births.get(instance)
        return newest is not None and (born is None or born < newest)

    def _note_birth(self, instance: InstanceId, born: int | None) -> None:
        if born is None:
            return
        before = self._births.pop(instance, None)
        self._births[instance] = born
        if has_restarted(before, born):
            _log.info("instance-reborn", instance=instance, born=born)
        if len(self._births) > MOST_BIRTHS:
            del self._births[next(iter(self._births))]

    def _take_node(self, change: MirrorChange) -> None:
        node = NodeId(change.key.removeprefix(NODES_PREFIX))
        if change.after is None:
            self.nodes.pop(node, None)
            return
        record = _decode(change.after.value, NodeRecord)
        if record is not None:
            self.nodes[node] = record

    def _lapses(self, key: str) -> bool:
        return key.startswith((self._spelling.entries_prefix, NODES_PREFIX))

    def _take_holder(self, change: MirrorChange) -> None:
        value = None if change.after is None else change.after.value
        self.holder = None if value is None else _decode(value, HolderRecord)
        node = None if self.holder is None else self.holder.node
        _log.info("holder-changed", holder=node or "none")


def _decode(value: bytes, kind: type[_T]) -> _T | None:
    try:
        return msgspec.json.decode(value, type=kind)
    except msgspec.MsgspecError as error:
        _log.error("record-unreadable", kind=kind.__name__, reason=str(error))
        return None
